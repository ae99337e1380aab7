use super::*;

#[test]
fn a_slow_engine_misses_the_oldest_and_is_told_once() {
    let (events, mut told) = mpsc::unbounded_channel();
    let mailbox = Mailbox::new(events);
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    let kept = (0..MAILBOX_CAPACITY + 3).filter(|n| mailbox.deliver(from, vec![(*n % 256) as u8])).count();
    assert_eq!(kept, MAILBOX_CAPACITY);
    let waiting = mailbox.take();
    assert_eq!((waiting.len(), waiting.front().map(|(_, bytes)| bytes[0])), (MAILBOX_CAPACITY, Some(3)));
    assert!(matches!(told.try_recv(), Ok(EngineEvent::DatagramsReceived)) && told.try_recv().is_err());
    assert!(mailbox.deliver(from, Vec::new()) && told.try_recv().is_ok(), "the next is told again");
}
