use super::*;

#[test]
fn events_come_by_time_and_then_in_the_order_of_their_coming() {
    let mut queue = Queue::default();
    let events = [(5, 'c'), (2, 'a'), (5, 'd'), (3, 'b'), (9, 'e')];
    events.into_iter().for_each(|(at, event)| queue.push(at, event));
    assert_eq!(queue.pop(1), None);
    let due: Vec<_> = std::iter::from_fn(|| queue.pop(5)).collect();
    assert_eq!(due, [(2, 'a'), (3, 'b'), (5, 'c'), (5, 'd')]);
    queue.push(5, 'f');
    assert_eq!([queue.pop(9), queue.pop(9)], [Some((5, 'f')), Some((9, 'e'))]);
}
