//! Connections between processes: dialing, accepting, and forwarding messages to the event loop.

use crate::command::Command;
use config::Detours;
use observability::LogRateLimiter;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use transport::{FrameReader, FrameSender, attach, dial};

/// Pause after a failed accept, since the process may be out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Opens connections to other processes.
pub trait Connector {
    /// Connects to a process. The event loop receives the opened connection, its messages and its end under this id;
    /// if the connection fails, only its end.
    fn connect(&self, connection: u64, to: SocketAddr, commands: mpsc::Sender<Command>);
}

/// Connects over TCP, through alternative addresses where they are configured.
#[derive(Clone, Debug, Default)]
pub struct TcpConnector(pub Detours);

impl Connector for TcpConnector {
    fn connect(&self, connection: u64, to: SocketAddr, commands: mpsc::Sender<Command>) {
        let detours = self.0.clone();
        transport::spawn(async move {
            match dial(to, &detours).await {
                Ok((line, reader)) => run_connection(connection, line, reader, Some(to), commands).await,
                Err(error) => drop(commands.send(Command::Closed { connection, error }).await),
            }
        });
    }
}

/// Accepts connections until the program ends. Each connection gets an id, and its messages go to the event loop.
pub async fn listen(
    listener: TcpListener, commands: mpsc::Sender<Command>, connection_ids: impl Fn() -> u64,
) {
    let (started_at, mut accept_failures) = (Instant::now(), LogRateLimiter::new(1, 10_000));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(both) => both,
            Err(error) => {
                if let Some(left_out) = accept_failures.try_acquire(started_at.elapsed().as_millis() as u64) {
                    spdlog::warn!("cannot accept a connection of another process: {}", error, kv: { step = "accept", left_out });
                }
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (connection, commands) = (connection_ids(), commands.clone());
        transport::spawn(async move {
            let (line, mut reader) = attach(stream, peer);
            reader.expect_hello();
            run_connection(connection, line, reader, None, commands).await;
        });
    }
}

/// Reports an open connection to the event loop, then every message until the connection closes.
pub async fn run_connection(
    connection: u64, line: FrameSender, mut reader: FrameReader, dialed: Option<SocketAddr>,
    commands: mpsc::Sender<Command>,
) {
    if commands.send(Command::Opened { connection, line, dialed }).await.is_err() {
        return;
    }
    loop {
        let next = match reader.next().await {
            Ok(message) => Command::Message { connection, message },
            Err(error) => Command::Closed { connection, error },
        };
        let is_closed = matches!(next, Command::Closed { .. });
        if commands.send(next).await.is_err() || is_closed {
            return;
        }
    }
}
