//! Keeps the list of backends up to date by long polling the discovery service. A watch is the state that the service
//! keeps for a gateway between two polls.

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

/// How long the discovery service may hold a long poll.
const LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// A long poll without an answer for this much longer has failed.
const LONG_POLL_SLACK: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay between polls after an error. The discovery service keeps a watch if the next poll comes within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The retry rate of a larger fleet is limited to the rate of this many gateways: a new watch is expensive for the
/// discovery service, and a fleet that reconnects at once would overload the service so that no gateway gets an update.
const FULL_RATE_GATEWAYS: u32 = 3;
/// How many times the range of the retry delay doubles at most.
const MAX_DOUBLINGS: u32 = 2;
/// Maximum size of a list.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Applies a list to the connections first, so that no request is sent by an outdated list, and then to the decision
/// engine.
pub fn apply_list(list: List, backends: &Backends, engine: &Engine) {
    backends.update(list.seq, list.whole, &list.hosts);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) });
}

/// Polls the discovery service at its current address. While the service does not answer, the last list stays in use.
/// Never returns.
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
                Err(error) => format!("cannot connect: {error}"),
            }
        };
        let error = tokio::select! {
            error = watching => error,
            // A poll that waits at the old address would receive no updates.
            Ok(()) = address.changed() => continue,
        };
        if !std::mem::replace(&mut error_logged, true) {
            eprintln!("discovery: {error} (logged once)");
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// The backoff of one gateway in a fleet of `gateways`.
pub fn backoff(gateways: u32, seed: u64) -> Backoff {
    let first = RETRY_DELAY * (gateways / FULL_RATE_GATEWAYS).max(1);
    Backoff::new(first, if first > RETRY_DELAY { first * (1 << MAX_DOUBLINGS) } else { first }, seed)
}

/// Polls repeatedly on one connection; returns the error that ends it.
async fn poll(
    connection: &mut Connection, address: SocketAddr, backends: &Backends, engine: &Engine,
    backoff: &mut Backoff,
) -> String {
    loop {
        let uri = format!("/discovery/hosts?after={}&wait_ms={}", backends.seq(), LONG_POLL_WAIT.as_millis());
        let request =
            Request::get(uri).header("Host", address.to_string()).body(OutgoingBody::new(Bytes::new(), None));
        let Ok(request) = request else { return "invalid request".into() };
        let answer = tokio::time::timeout(
            LONG_POLL_WAIT + LONG_POLL_SLACK,
            connection.exchange(request, MAX_LIST_BYTES),
        )
        .await;
        let list = match answer {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => List::parse(&body),
            Ok(Ok((head, _))) => return format!("status {}", head.status),
            Ok(Err(_)) => return "the connection failed".into(),
            Err(_) => return "no answer in time".into(),
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
