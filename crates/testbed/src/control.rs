//! HTTP client of backends and the operator for the control planes; it fails over between their addresses.

use crate::http::{Answer, call};
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a configuration change, which may be large and waits for disks.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Initial retry backoff, which doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum number of redirects per call.
const MAX_REDIRECTS: usize = 2;

/// Control plane addresses, used in rotation.
#[derive(Clone)]
pub struct Control {
    addresses: Arc<[SocketAddr]>,
    /// Addresses that the control planes announce, in the same order as `addresses`.
    announced: Arc<[SocketAddr]>,
    next_index: Arc<AtomicUsize>,
}

impl Control {
    /// Creates a client that calls the addresses directly.
    pub fn new(addresses: impl Into<Arc<[SocketAddr]>>) -> Self {
        let addresses = addresses.into();
        Self { announced: addresses.clone(), addresses, next_index: Arc::default() }
    }

    /// Creates a client that calls the relays at `addresses`. When a control plane redirects the client to an address
    /// in `announced`, the client calls the relay with the same index.
    pub fn via_relays(
        addresses: impl Into<Arc<[SocketAddr]>>, announced: impl Into<Arc<[SocketAddr]>>,
    ) -> Self {
        Self { announced: announced.into(), ..Self::new(addresses) }
    }

    fn relay_of(&self, to: SocketAddr) -> SocketAddr {
        let known = self.announced.iter().position(|announced| *announced == to);
        known.and_then(|index| self.addresses.get(index)).copied().unwrap_or(to)
    }

    /// All addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn next(&self) -> SocketAddr {
        self.addresses[self.next_index.fetch_add(1, Ordering::Relaxed) % self.addresses.len()]
    }

    /// Makes one call to `at` or to the next address, and follows redirects.
    pub async fn call_once(
        &self, at: Option<SocketAddr>, method: &str, path: &str, headers: &[(&str, &str)], body: Bytes,
        within: Duration,
    ) -> Option<Answer> {
        let mut address = at.map_or_else(|| self.next(), |at| self.relay_of(at));
        let mut path = path.to_owned();
        for _ in 0..=MAX_REDIRECTS {
            let answer = call(address, method, &path, headers, body.clone(), within).await?;
            let Some(location) = answer.location.as_deref().filter(|_| answer.status.as_u16() == 307) else {
                return Some(answer);
            };
            let (host, rest) = location.strip_prefix("http://")?.split_once('/')?;
            (address, path) = (self.relay_of(host.parse().ok()?), format!("/{rest}"));
        }
        None
    }

    /// Sends a backend's message, trying all addresses with a timeout each. Returns `None` when none acknowledged it.
    pub async fn send(&self, at: Option<SocketAddr>, path: &str, body: Bytes) -> Option<Answer> {
        for attempt in 0..=self.addresses.len() {
            let at = at.filter(|_| attempt == 0);
            let answer = self.call_once(at, "POST", path, &[], body.clone(), CALL_TIMEOUT).await;
            if let Some(answer) = answer.filter(|answer| answer.status.is_success()) {
                return Some(answer);
            }
        }
        None
    }

    /// Sends a change repeatedly until the answer is definite. Returns `None` when there is none by `until`.
    pub async fn replace(
        &self, first: Option<SocketAddr>, base: u64, body: &Bytes, until: Instant,
    ) -> Option<Answer> {
        let base = if base == 0 { "0".to_owned() } else { format!("r{base}") };
        let mut at = first;
        let mut backoff = INITIAL_BACKOFF;
        while Instant::now() < until {
            let headers = [("X-Base-Version", base.as_str())];
            let answer = self
                .call_once(at.take(), "POST", "/Config.Replace", &headers, body.clone(), CHANGE_TIMEOUT)
                .await;
            match answer {
                Some(answer) if answer.status.is_success() || is_definite(answer.status.as_u16()) => {
                    return Some(answer);
                }
                _ => {}
            }
            sleep_until((Instant::now() + backoff).min(until)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        None
    }

    /// Reads the configuration, with retries until `until`.
    pub async fn read(&self, until: Instant) -> Option<Value> {
        while Instant::now() < until {
            let answer = self.call_once(None, "GET", "/Config.Read", &[], Bytes::new(), CALL_TIMEOUT).await;
            if let Some(answer) = answer.filter(|answer| answer.status.is_success()) {
                return serde_json::from_slice(&answer.body).ok();
            }
            sleep(INITIAL_BACKOFF).await;
        }
        None
    }

    /// Reads the status of one control plane.
    pub async fn status(&self, at: SocketAddr) -> Option<Value> {
        let answer =
            self.call_once(Some(at), "GET", "/Harbour.Status", &[], Bytes::new(), CALL_TIMEOUT).await?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Index of the address whose control plane reports to be the leader.
    pub async fn leader(&self) -> Option<usize> {
        for (index, address) in self.addresses.iter().enumerate() {
            let status = self.status(*address).await;
            if status.is_some_and(|status| status["log"]["leads"] == true) {
                return Some(index);
            }
        }
        None
    }
}

/// Statuses after which a change must not be sent again.
fn is_definite(status: u16) -> bool {
    matches!(status, 400 | 409 | 412 | 413 | 422)
}
