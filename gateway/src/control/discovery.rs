//! The list of backends: what it says, and the watch that keeps it fresh.

use crate::backends::list::List;
use crate::backends::pool::Backends;
use crate::control::engine::Engine;
use crate::observe::cost::{Cost, Use};
use crate::time::clock::Retry;
use crate::wire::body::Outgoing;
use crate::wire::link::Link;
use bytes::Bytes;
use doorcourse::Event;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch::Receiver;

/// How long one call of the watch may wait for news.
const WAIT: Duration = Duration::from_secs(10);
/// A call that is silent for this much longer has been lost.
const PATIENCE: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Between calls after a fault: the watch lasts as long as the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Larger fleets than this retry their watches no more often, all together, than so many gateways do:
/// a new watch is dear, and who all come at once keep discovery overbooked, so that none of them hears the news.
const RETRIERS: u32 = 3;
/// How often their pause doubles at most.
const DOUBLINGS: u32 = 2;
/// The longest list that is read.
const LONGEST: usize = 1 << 20;

/// Brings a list to the connections first, so that nothing is sent by an older word, then to the decisions.
pub fn tell(list: List, backends: &Backends, engine: &Engine) {
    backends.update(list.seq, list.whole, &list.hosts);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) });
}

/// Keeps a watch going for ever, at the newest address; while discovery is silent the last list stays.
pub async fn watch(
    mut address: Receiver<SocketAddr>, backends: Rc<Backends>, engine: Rc<Engine>, mut retry: Retry,
    cost: Rc<Cost>,
) {
    let mut told = false;
    loop {
        let at = *address.borrow_and_update();
        let watching = async {
            match Link::connect(at, CONNECT_TIMEOUT, &cost, Use::Discovery).await {
                Ok(mut link) => calls(&mut link, at, &backends, &engine, &mut retry).await,
                Err(error) => format!("no connection: {error}"),
            }
        };
        let fault = tokio::select! {
            fault = watching => fault,
            // A call that waits at the old address would hear no news any more.
            Ok(()) = address.changed() => continue,
        };
        if !std::mem::replace(&mut told, true) {
            eprintln!("discovery: {fault} (told once)");
        }
        tokio::time::sleep(retry.pause()).await;
    }
}

/// The pauses of one of so many gateways.
pub fn retry(gateways: u32, seed: u64) -> Retry {
    let first = PAUSE * (gateways / RETRIERS).max(1);
    Retry::new(first, if first > PAUSE { first * (1 << DOUBLINGS) } else { first }, seed)
}

/// One call after another on one connection, until something is wrong with it.
async fn calls(
    link: &mut Link, address: SocketAddr, backends: &Backends, engine: &Engine, retry: &mut Retry,
) -> String {
    loop {
        let uri = format!("/discovery/hosts?after={}&wait_ms={}", backends.seq(), WAIT.as_millis());
        let request =
            Request::get(uri).header("Host", address.to_string()).body(Outgoing::new(Bytes::new(), None));
        let Ok(request) = request else { return "the call cannot be written".into() };
        let answer = tokio::time::timeout(WAIT + PATIENCE, link.exchange(request, LONGEST)).await;
        let list = match answer {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => List::parse(&body),
            Ok(Ok((head, _))) => return format!("answered {}", head.status),
            Ok(Err(_)) => return "the connection broke".into(),
            Err(_) => return "silent".into(),
        };
        match list {
            Ok(list) => {
                retry.reset();
                tell(list, backends, engine);
            }
            Err(error) => return error.to_string(),
        }
        if !link.is_free().await {
            return "the connection was closed".into();
        }
    }
}
