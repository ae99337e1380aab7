use super::*;

#[test]
fn a_full_mailbox_drops_the_oldest_datagrams_and_notifies_the_engine_once() {
    let (events, mut notifications) = mpsc::unbounded_channel();
    let mailbox = Mailbox::new(events);
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    let delivered_without_drop =
        (0..MAILBOX_CAPACITY + 3).filter(|n| mailbox.deliver(from, vec![(*n % 256) as u8])).count();
    assert_eq!(delivered_without_drop, MAILBOX_CAPACITY);
    let waiting = mailbox.take();
    assert_eq!((waiting.len(), waiting.front().map(|(_, bytes)| bytes[0])), (MAILBOX_CAPACITY, Some(3)));
    assert!(
        matches!(notifications.try_recv(), Ok(EngineEvent::DatagramsReceived))
            && notifications.try_recv().is_err()
    );
    assert!(
        mailbox.deliver(from, Vec::new()) && notifications.try_recv().is_ok(),
        "the next datagram notifies the engine again"
    );
}
