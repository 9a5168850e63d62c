//! Heartbeats of stand-in backends to the control planes.

use crate::chance::{Chance, wild};
use crate::control::Control;
use crate::plan::DRAIN_MS;
use bytes::Bytes;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Mean heartbeat interval.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a drain without acknowledgement is abandoned and the backend stops.
const UNHEARD: Duration = Duration::from_secs(6);

/// Heartbeat contents that do not change during the life of a backend.
pub struct About {
    /// Instance id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Number of requests processed concurrently.
    pub capacity: usize,
    /// Start time.
    pub born: Instant,
    /// Duration of the warm-up after the start.
    pub warmup: Duration,
}

/// Sends the heartbeats of one backend.
pub struct Voice {
    about: About,
    control: Control,
    said: Mutex<Said>,
}

struct Said {
    calls: u64,
    draining: bool,
    target: Option<SocketAddr>,
}

impl Voice {
    /// Creates a sender that has not sent anything.
    pub fn new(about: About, control: Control) -> Arc<Self> {
        let said = Said { calls: 0, draining: false, target: None };
        Arc::new(Self { about, control, said: Mutex::new(said) })
    }

    /// Sends heartbeats periodically; never returns.
    pub async fn beat(self: Arc<Self>) {
        let mut chance = Chance::new(wild(), 0);
        loop {
            self.say().await;
            sleep(INTERVAL.mul_f64(0.8 + 0.4 * chance.unit())).await;
        }
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    async fn say(&self) -> bool {
        // Send one at a time, so that call counts arrive in increasing order.
        let mut said = self.said.lock().await;
        said.calls += 1;
        let About { id, service, address, zone, capacity, born, warmup } = &self.about;
        let phase = if said.draining { "draining" } else { "serving" };
        let left = warmup.saturating_sub(born.elapsed()).as_millis() as u64;
        let beat = json!({
            "address": address.to_string(),
            "summary": { "target": service, "generation": "v1", "zone": zone, "capacity": capacity },
            "condition": { "phase": phase, "call_count": said.calls, "warmup_left_ms": left },
        });
        let path = format!("/Backends.Heartbeat/{id}");
        let answer = self.control.tell(said.target, &path, Bytes::from(beat.to_string())).await;
        let told = answer.as_ref().and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        said.target = told.and_then(|told| told["beat_target"].as_str()?.parse().ok());
        answer.is_some()
    }

    /// Announces the drain. Returns the drain deadline, or `None` when no control plane acknowledged the drain.
    pub async fn drains(&self) -> Option<Instant> {
        self.said.lock().await.draining = true;
        let until = Instant::now() + UNHEARD;
        while Instant::now() < until {
            if self.say().await {
                return Some(Instant::now() + Duration::from_millis(DRAIN_MS));
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Announces the departure; returns whether it was acknowledged.
    pub async fn departs(&self) -> bool {
        let path = format!("/Backends.Departure/{}", self.about.id);
        self.control.tell(None, &path, Bytes::from_static(b"{}")).await.is_some()
    }
}
