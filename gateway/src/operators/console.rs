//! The operators' console: a TCP address at which each connection carries one command and its reply. The length of a
//! command, the time per connection and the number of connections are limited, so that no peer can block the console.
//!
//! In lame-duck mode the gateway moves its clients to other gateways. A detached backend gets no new requests.

use crate::backends::pool::spawn;
use crate::clients::frontend::Frontend;
use crate::control::engine::Engine;
use crate::group::GroupMembership;
use crate::observe::metrics::Metrics;
use crate::observe::usage::ConnectionUse;
use crate::state::detached::DetachedBackends;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Maximum length of a command.
const MAX_LINE_BYTES: usize = 256;
/// Timeout for receiving the command.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing the reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections; an additional one replaces the oldest.
const MAX_CALLERS: usize = 8;
/// Data after the command is read and discarded for at most this time and this many bytes: closing the connection with
/// unread data would reset it, and the reply would be lost.
const DRAIN_LIMITS: (Duration, u64) = (Duration::from_millis(200), 64 * 1024);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The parts of the gateway that console commands act on.
pub struct Console {
    /// The client side, with the lame-duck mode.
    pub frontend: Rc<Frontend>,
    /// The decision engine.
    pub engine: Rc<Engine>,
    /// The metrics that `INFO` shows.
    pub metrics: Rc<Metrics>,
    /// The backends that operators have detached.
    pub detached: Rc<DetachedBackends>,
    /// The gateway's group membership, if any.
    pub group: Option<Rc<GroupMembership>>,
}

impl Console {
    /// Serves commands. Never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        // Each connection's task awaits the receiver of its sender here: dropping the sender closes the connection.
        let callers: Rc<RefCell<VecDeque<oneshot::Sender<()>>>> = Rc::default();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (keep_open, mut evicted) = oneshot::channel();
            {
                let mut callers = callers.borrow_mut();
                callers.retain(|caller| !caller.is_closed());
                if callers.len() >= MAX_CALLERS {
                    callers.pop_front();
                }
                callers.push_back(keep_open);
            }
            let (console, open) =
                (self.clone(), self.metrics.usage().connection_opened(ConnectionUse::Console));
            spawn(async move {
                let _open = open;
                tokio::select! {
                    // A caller that aborts the connection gets no reply.
                    _ = console.handle(stream) => {}
                    _ = &mut evicted => {}
                }
            });
        }
    }

    async fn handle(&self, mut stream: TcpStream) -> io::Result<()> {
        let reply = match timeout(READ_TIMEOUT, read_line(&mut stream)).await {
            Ok(line) => match line? {
                Ok(line) => self.answer(&line).await,
                Err(error) => format!("NO {error}\n"),
            },
            Err(_) => "NO call came in time\n".into(),
        };
        timeout(WRITE_TIMEOUT, async {
            stream.write_all(reply.as_bytes()).await?;
            stream.shutdown().await
        })
        .await??;
        let mut rest = stream.take(DRAIN_LIMITS.1);
        let _ = timeout(DRAIN_LIMITS.0, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
        Ok(())
    }

    /// Executes a command and returns the reply.
    async fn answer(&self, line: &str) -> String {
        if let Some(("GROUP", rest)) = line.split_once(char::is_whitespace).or(Some((line.trim(), ""))) {
            let args: Vec<&str> = rest.split_ascii_whitespace().collect();
            return match &self.group {
                Some(group) => group.execute(&args).await + "\n",
                None => "NO this gateway is in no group\n".into(),
            };
        }
        let mut args = line.split_ascii_whitespace();
        let reply = match (args.next(), args.next(), args.next()) {
            (Some("PING"), None, _) if self.frontend.is_ready() => "YES ready to serve".into(),
            (Some("PING"), None, _) => "NO this process takes no clients, yet or any more".into(),
            (Some("INFO"), None, _) => {
                let group = self.group.as_ref().map(|group| group.status());
                format!("{}\nEND", self.metrics.to_json_line(self.engine.pool(), group))
            }
            (Some("LAMEDUCK"), None, _) => {
                self.frontend.set_lame_duck(true);
                "YES clients are sent away".into()
            }
            (Some("REJOIN"), None, _) => {
                self.frontend.set_lame_duck(false);
                "YES clients are taken".into()
            }
            (Some(call @ ("DETACH" | "ATTACH")), Some(id), None) => self.set(id, call == "DETACH"),
            (Some("DETACH" | "ATTACH"), None, _) => "NO the backend's ID is missing".into(),
            (Some("PING" | "INFO" | "LAMEDUCK" | "REJOIN" | "DETACH" | "ATTACH"), ..) => {
                "NO too many words for this call".into()
            }
            (Some(_), ..) => {
                "NO such call: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN or GROUP".into()
            }
            (None, ..) => "NO call came".into(),
        };
        reply + "\n"
    }

    fn set(&self, id: &str, detach: bool) -> String {
        let done = if detach { "left out" } else { "in use" };
        match self.detached.set(id, detach) {
            Ok(true) => format!("YES {id} is {done}"),
            Ok(false) => "NO backend has this ID".into(),
            // The change is effective in this process but not stored, so a succeeding process would not apply it.
            Err(error) => format!("YES {id} is {done}, but until this process ends only: {error}"),
        }
    }
}

/// Reads a command up to the end of the line or of the stream.
async fn read_line(stream: &mut TcpStream) -> io::Result<Result<String, &'static str>> {
    let (mut bytes, mut filled) = ([0; MAX_LINE_BYTES], 0);
    loop {
        let end = bytes[..filled].iter().position(|b| *b == b'\n');
        if end.is_none() && filled == bytes.len() {
            return Ok(Err("the line is too long"));
        }
        let read = if end.is_none() { stream.read(&mut bytes[filled..]).await? } else { 0 };
        if read == 0 {
            let text = std::str::from_utf8(&bytes[..end.unwrap_or(filled)]);
            return Ok(text.map(str::to_owned).map_err(|_| "the line is not text"));
        }
        filled += read;
    }
}
