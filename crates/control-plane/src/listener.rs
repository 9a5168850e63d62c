//! Connections of other processes that come to this one.

use crate::command::Command;
use config::Detours;
use observability::Seldom;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use transport::{Line, Reader, attach, dial};

/// A failed accept is tried again after this: descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How a process comes to connections with others.
pub trait Connector {
    /// Connects to a process. The owner hears of it under this number: that it stands, what comes on it, and its end;
    /// or its end alone.
    fn connect(&self, connection: u64, to: SocketAddr, commands: mpsc::Sender<Command>);
}

/// Connections over TCP, by the ways that lead to others.
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

/// Takes connections until the program ends; each gets a connection, and what comes on it goes to the owner.
pub async fn listen(
    listener: TcpListener, commands: mpsc::Sender<Command>, connection_ids: impl Fn() -> u64,
) {
    let (started_at, mut accept_failures) = (Instant::now(), Seldom::new(1, 10_000));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(both) => both,
            Err(error) => {
                if let Some(left_out) = accept_failures.pass(started_at.elapsed().as_millis() as u64) {
                    spdlog::warn!("no process can be taken: {}", error, kv: { step = "accept", left_out });
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

/// Tells the owner of a connection that stands, then of all that comes on it until it is over.
pub async fn run_connection(
    connection: u64, line: Line, mut reader: Reader, dialed: Option<SocketAddr>,
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
