//! The list of backends: what it says, and the watch that keeps it fresh.

use crate::backends::list::List;
use crate::backends::pool::Backends;
use crate::control::engine::Engine;
use crate::observe::usage::{ConnectionUse, ResourceUsage};
use crate::time::clock::Backoff;
use crate::wire::body::OutgoingBody;
use crate::wire::connection::Connection;
use bytes::Bytes;
use doorcourse::Event;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch::Receiver;

/// How long one call of the watch may wait for news.
const LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// A call that is silent for this much longer has been lost.
const LONG_POLL_SLACK: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Between calls after a fault: the watch lasts as long as the next call comes within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Larger fleets than this retry their watches no more often, all together, than so many gateways do:
/// a new watch is dear, and who all come at once keep discovery overbooked, so that none of them hears the news.
const FULL_RATE_GATEWAYS: u32 = 3;
/// How often their pause doubles at most.
const MAX_DOUBLINGS: u32 = 2;
/// The longest list that is read.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Brings a list to the connections first, so that nothing is sent by an older word, then to the decisions.
pub fn apply_list(list: List, backends: &Backends, engine: &Engine) {
    backends.update(list.seq, list.whole, &list.hosts);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) });
}

/// Keeps a watch going for ever, at the newest address; while discovery is silent the last list stays.
pub async fn watch(
    mut address: Receiver<SocketAddr>, backends: Rc<Backends>, engine: Rc<Engine>, mut backoff: Backoff,
    usage: Rc<ResourceUsage>,
) {
    let mut error_logged = false;
    loop {
        let at = *address.borrow_and_update();
        let watching = async {
            match Connection::connect(at, CONNECT_TIMEOUT, &usage, ConnectionUse::Discovery).await {
                Ok(mut connection) => poll(&mut connection, at, &backends, &engine, &mut backoff).await,
                Err(error) => format!("no connection: {error}"),
            }
        };
        let error = tokio::select! {
            error = watching => error,
            // A call that waits at the old address would hear no news any more.
            Ok(()) = address.changed() => continue,
        };
        if !std::mem::replace(&mut error_logged, true) {
            eprintln!("discovery: {error} (told once)");
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// The pauses of one of so many gateways.
pub fn backoff(gateways: u32, seed: u64) -> Backoff {
    let first = RETRY_DELAY * (gateways / FULL_RATE_GATEWAYS).max(1);
    Backoff::new(first, if first > RETRY_DELAY { first * (1 << MAX_DOUBLINGS) } else { first }, seed)
}

/// One call after another on one connection, until something is wrong with it.
async fn poll(
    connection: &mut Connection, address: SocketAddr, backends: &Backends, engine: &Engine,
    backoff: &mut Backoff,
) -> String {
    loop {
        let uri = format!("/discovery/hosts?after={}&wait_ms={}", backends.seq(), LONG_POLL_WAIT.as_millis());
        let request =
            Request::get(uri).header("Host", address.to_string()).body(OutgoingBody::new(Bytes::new(), None));
        let Ok(request) = request else { return "the call cannot be written".into() };
        let answer = tokio::time::timeout(
            LONG_POLL_WAIT + LONG_POLL_SLACK,
            connection.exchange(request, MAX_LIST_BYTES),
        )
        .await;
        let list = match answer {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => List::parse(&body),
            Ok(Ok((head, _))) => return format!("answered {}", head.status),
            Ok(Err(_)) => return "the connection broke".into(),
            Err(_) => return "silent".into(),
        };
        match list {
            Ok(list) => {
                backoff.reset();
                apply_list(list, backends, engine);
            }
            Err(error) => return error.to_string(),
        }
        if !connection.is_reusable().await {
            return "the connection was closed".into();
        }
    }
}
