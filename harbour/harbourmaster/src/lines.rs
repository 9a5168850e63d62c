//! Connections of other processes that come to this one.

use crate::master::Command;
use std::time::Duration;
use tideway::attach;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// A failed accept is tried again after this: descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Takes connections until the program ends; each gets a number, and what comes on it goes to the owner.
pub async fn listen(listener: TcpListener, commands: mpsc::Sender<Command>, numbers: impl Fn() -> u64) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(both) => both,
            Err(_) => {
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (number, commands) = (numbers(), commands.clone());
        tideway::spawn(async move {
            let (line, mut reader) = attach(stream, peer);
            if commands.send(Command::Opened { number, line, dialed: None }).await.is_err() {
                return;
            }
            loop {
                match reader.next().await {
                    Ok(flag) => {
                        if commands.send(Command::Frame { number, flag }).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        let _ = commands.send(Command::Closed { number, error }).await;
                        return;
                    }
                }
            }
        });
    }
}
