//! A frame of megabytes on a slow link goes through for as long as the peer takes some of it.

#[path = "support/data_plane.rs"]
mod data_plane;

use data_plane::hello;
use protocol::{ConfigId, FrameError, Message};
use std::time::Duration;
use tokio::io::{AsyncReadExt, duplex};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};
use transport::{ConnectionError, attach, write_while_progressing};

/// What the link takes at once, in bytes.
const AT_ONCE: usize = 8 * 1024;

/// Whether two megabytes go through to a peer that takes `AT_ONCE` bytes each `pause`, until it has `at_most`.
async fn goes_through(pause: Duration, at_most: usize) -> (bool, Duration) {
    let (mut near, mut far) = duplex(AT_ONCE);
    let reader = tokio::spawn(async move {
        let (mut taken, mut bytes) = (0, vec![0; AT_ONCE]);
        while taken < at_most {
            sleep(pause).await;
            match far.read(&mut bytes).await {
                Ok(read) if read > 0 => taken += read,
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    });
    let began = Instant::now();
    let whole = write_while_progressing(&mut near, &vec![7; 2 << 20]).await;
    reader.abort();
    (whole, began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_slow_link_is_no_lost_one() {
    // 2 Mbit/s.
    let (whole, took) = goes_through(Duration::from_millis(32), usize::MAX).await;
    assert!(whole && took > Duration::from_secs(8), "{whole} after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_takes_nothing_is_lost() {
    let (whole, took) = goes_through(Duration::from_millis(32), 1 << 20).await;
    assert!(!whole && took < Duration::from_secs(7), "{whole} after {took:?}");
}

/// Whoever connects may be anybody: before it has said who it is a long frame is not even read. Afterwards it is.
#[test]
fn the_first_frame_of_a_connection_that_came_is_short() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        for (name, is_read) in [("edge-1".to_owned(), true), ("e".repeat(5000), false)] {
            let near = TcpStream::connect(address).await.expect("a connection");
            let (stream, peer) = listener.accept().await.expect("it comes");
            let (line, _replies) = attach(near, address);
            let (_line, mut reader) = attach(stream, peer);
            reader.expect_hello();
            line.send(&Message::Hello(hello(&name)));
            line.send(&Message::BackendHeartbeats(vec![("i".repeat(5000), 1)]));
            line.send(&Message::Follow { have: ConfigId::default() });
            match reader.next().await {
                Ok(Message::Hello(_)) => {
                    assert!(is_read, "a name of {} bytes", name.len());
                    assert!(matches!(reader.next().await, Ok(Message::BackendHeartbeats(_))));
                }
                Err(ConnectionError::FrameError { source: FrameError::TooLong(_), .. }) => assert!(!is_read),
                other => panic!("{other:?}"),
            }
        }
    });
}
