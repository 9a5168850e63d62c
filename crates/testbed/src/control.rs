//! HTTP client of backends and the operator for the control planes; it fails over between their addresses.

use crate::wire::{Answer, call};
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Timeout of a call.
const SILENCE: Duration = Duration::from_secs(1);
/// Timeout of a configuration change, which may be large and waits for disks.
const CHANGE: Duration = Duration::from_secs(3);
/// Initial retry backoff, which doubles with each failure.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Maximum number of redirects per call.
const REDIRECTS: usize = 2;

/// Control plane addresses, used in rotation.
#[derive(Clone)]
pub struct Control {
    addresses: Arc<[SocketAddr]>,
    /// Addresses that the control planes announce, in the same order as `addresses`.
    own: Arc<[SocketAddr]>,
    turn: Arc<AtomicUsize>,
}

impl Control {
    /// Creates a client that calls the addresses directly.
    pub fn new(addresses: impl Into<Arc<[SocketAddr]>>) -> Self {
        let addresses = addresses.into();
        Self { own: addresses.clone(), addresses, turn: Arc::default() }
    }

    /// Creates a client that calls relays at `addresses`; redirects to an address in `own` also go through its relay.
    pub fn by_ways(addresses: impl Into<Arc<[SocketAddr]>>, own: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self { own: own.into(), ..Self::new(addresses) }
    }

    fn way(&self, to: SocketAddr) -> SocketAddr {
        let known = self.own.iter().position(|own| *own == to);
        known.and_then(|index| self.addresses.get(index)).copied().unwrap_or(to)
    }

    /// All addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn next(&self) -> SocketAddr {
        self.addresses[self.turn.fetch_add(1, Ordering::Relaxed) % self.addresses.len()]
    }

    /// Makes one call to `at` or to the next address, and follows redirects.
    pub async fn once(
        &self, at: Option<SocketAddr>, method: &str, path: &str, headers: &[(&str, &str)], body: Bytes,
        within: Duration,
    ) -> Option<Answer> {
        let mut address = at.map_or_else(|| self.next(), |at| self.way(at));
        let mut path = path.to_owned();
        for _ in 0..=REDIRECTS {
            let answer = call(address, method, &path, headers, body.clone(), within).await?;
            let Some(location) = answer.location.as_deref().filter(|_| answer.status.as_u16() == 307) else {
                return Some(answer);
            };
            let (host, rest) = location.strip_prefix("http://")?.split_once('/')?;
            (address, path) = (self.way(host.parse().ok()?), format!("/{rest}"));
        }
        None
    }

    /// Sends a backend's message, trying all addresses with a timeout each. Returns `None` when none acknowledged it.
    pub async fn tell(&self, at: Option<SocketAddr>, path: &str, body: Bytes) -> Option<Answer> {
        for turn in 0..=self.addresses.len() {
            let at = at.filter(|_| turn == 0);
            let answer = self.once(at, "POST", path, &[], body.clone(), SILENCE).await;
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
        let mut pause = PAUSE;
        while Instant::now() < until {
            let headers = [("X-Base-Version", base.as_str())];
            let answer =
                self.once(at.take(), "POST", "/Config.Replace", &headers, body.clone(), CHANGE).await;
            match answer {
                Some(answer) if answer.status.is_success() || ends(answer.status.as_u16()) => {
                    return Some(answer);
                }
                _ => {}
            }
            sleep_until((Instant::now() + pause).min(until)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        None
    }

    /// Reads the configuration, with retries until `until`.
    pub async fn read(&self, until: Instant) -> Option<Value> {
        while Instant::now() < until {
            let answer = self.once(None, "GET", "/Config.Read", &[], Bytes::new(), SILENCE).await;
            if let Some(answer) = answer.filter(|answer| answer.status.is_success()) {
                return serde_json::from_slice(&answer.body).ok();
            }
            sleep(PAUSE).await;
        }
        None
    }

    /// Reads the status of one control plane.
    pub async fn status(&self, at: SocketAddr) -> Option<Value> {
        let answer = self.once(Some(at), "GET", "/Harbour.Status", &[], Bytes::new(), SILENCE).await?;
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
fn ends(status: u16) -> bool {
    matches!(status, 400 | 409 | 412 | 413 | 422)
}
