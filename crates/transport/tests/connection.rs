//! Connections: slow links, stalled peers and the size limit of the first frame.

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

/// Buffer size of the simulated link in bytes.
const LINK_BUFFER_BYTES: usize = 8 * 1024;

/// Writes two megabytes to a peer that reads up to `LINK_BUFFER_BYTES` bytes after each `pause` and stops reading
/// after `limit` bytes. Returns whether all bytes were written, and the duration.
async fn write_through(pause: Duration, limit: usize) -> (bool, Duration) {
    let (mut near, mut far) = duplex(LINK_BUFFER_BYTES);
    let reader = tokio::spawn(async move {
        let (mut received, mut bytes) = (0, vec![0; LINK_BUFFER_BYTES]);
        while received < limit {
            sleep(pause).await;
            match far.read(&mut bytes).await {
                Ok(read) if read > 0 => received += read,
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    });
    let started_at = Instant::now();
    let completed = write_while_progressing(&mut near, &vec![7; 2 << 20]).await;
    reader.abort();
    (completed, started_at.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_slow_link_does_not_count_as_lost() {
    // 2 Mbit/s.
    let (completed, elapsed) = write_through(Duration::from_millis(32), usize::MAX).await;
    assert!(completed && elapsed > Duration::from_secs(8), "{completed} after {elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_stops_reading_counts_as_lost() {
    let (completed, elapsed) = write_through(Duration::from_millis(32), 1 << 20).await;
    assert!(!completed && elapsed < Duration::from_secs(7), "{completed} after {elapsed:?}");
}

/// An unidentified peer may be any process: a long first frame is rejected by its announced length, before its body
/// is decoded. Frames after the `Hello` may be long.
#[test]
fn the_first_frame_of_an_accepted_connection_is_limited() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        for (name, fits) in [("edge-1".to_owned(), true), ("e".repeat(5000), false)] {
            let near = TcpStream::connect(address).await.expect("a connection");
            let (stream, peer) = listener.accept().await.expect("an accepted connection");
            let (sender, _replies) = attach(near, address);
            let (_reply_sender, mut reader) = attach(stream, peer);
            reader.expect_hello();
            sender.send(&Message::Hello(hello(&name)));
            sender.send(&Message::BackendHeartbeats(vec![("i".repeat(5000), 1)]));
            sender.send(&Message::Follow { have: ConfigId::default() });
            match reader.next().await {
                Ok(Message::Hello(_)) => {
                    assert!(fits, "a name of {} bytes", name.len());
                    assert!(matches!(reader.next().await, Ok(Message::BackendHeartbeats(_))));
                }
                Err(ConnectionError::InvalidFrame { source: FrameError::TooLong(_), .. }) => assert!(!fits),
                other => panic!("{other:?}"),
            }
        }
    });
}
