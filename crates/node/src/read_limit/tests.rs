//! Messages of different lengths, and the turns of other tasks between their reads.

use std::future::poll_fn;

use tokio::io::{AsyncReadExt, repeat};

use super::*;

/// A stream that always has more to read.
fn endless() -> (LimitedStream<tokio::io::Repeat>, Arc<MessageBytes>) {
    let message = Arc::new(MessageBytes::default());
    (LimitedStream::new(repeat(b'0'), message.clone()), message)
}

#[tokio::test]
async fn a_message_is_read_up_to_the_limit_and_no_further() {
    let (mut stream, message) = endless();
    for _ in 0..2 {
        let mut read = vec![0; MAX_MESSAGE_BYTES];
        stream.read_exact(&mut read).await.expect("within the limit");
        let error = stream.read_exact(&mut [0]).await.expect_err("over the limit");
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        message.begin_message();
    }
}

/// Guards against a connection that keeps all others waiting because it always has more to read.
#[tokio::test]
async fn a_stream_that_always_has_more_lets_others_run() {
    let (mut stream, _message) = endless();
    let mut buffer = vec![0; 2 * MAX_TURN_BYTES];
    let mut read = 0;
    let is_woken = poll_fn(|context| {
        loop {
            let mut buffer = ReadBuf::new(&mut buffer[..1_000]);
            match Pin::new(&mut stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) => read += buffer.filled().len(),
                Poll::Ready(Err(error)) => panic!("{error}"),
                Poll::Pending => return Poll::Ready(true),
            }
        }
    });
    assert!(is_woken.await);
    assert!((MAX_TURN_BYTES..MAX_TURN_BYTES + 1_000).contains(&read), "{read} bytes in a turn");
    // Whoever waits is woken again without any event on the socket.
    stream.turn_bytes = MAX_TURN_BYTES;
    stream.read_exact(&mut buffer).await.expect("it goes on");
}
