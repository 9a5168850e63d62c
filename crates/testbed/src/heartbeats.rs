//! Heartbeats of simulated backends to the control planes. A drain announces that a backend will stop; a departure
//! announces that the backend stops now.

use crate::control::Control;
use crate::plan::DRAIN_MS;
use crate::random::{SeededRandom, random_seed};
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
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Heartbeat contents that do not change during the life of a backend.
pub struct BackendInfo {
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
    pub started: Instant,
    /// Duration of the warm-up after the start.
    pub warmup: Duration,
}

/// Sends the heartbeats of one backend.
pub struct HeartbeatSender {
    info: BackendInfo,
    control: Control,
    state: Mutex<HeartbeatState>,
}

struct HeartbeatState {
    calls: u64,
    draining: bool,
    target: Option<SocketAddr>,
}

impl HeartbeatSender {
    /// Creates a sender that has not sent anything.
    pub fn new(info: BackendInfo, control: Control) -> Arc<Self> {
        let state = HeartbeatState { calls: 0, draining: false, target: None };
        Arc::new(Self { info, control, state: Mutex::new(state) })
    }

    /// Sends heartbeats periodically; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut random = SeededRandom::new(random_seed(), 0);
        loop {
            self.send().await;
            sleep(INTERVAL.mul_f64(0.8 + 0.4 * random.unit())).await;
        }
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    async fn send(&self) -> bool {
        // Send one at a time, so that call counts arrive in increasing order.
        let mut state = self.state.lock().await;
        state.calls += 1;
        let BackendInfo { id, service, address, zone, capacity, started, warmup } = &self.info;
        let phase = if state.draining { "draining" } else { "serving" };
        let warmup_left = warmup.saturating_sub(started.elapsed()).as_millis() as u64;
        let heartbeat = json!({
            "address": address.to_string(),
            "summary": { "target": service, "generation": "v1", "zone": zone, "capacity": capacity },
            "condition": { "phase": phase, "call_count": state.calls, "warmup_left_ms": warmup_left },
        });
        let path = format!("/Backends.Heartbeat/{id}");
        let answer = self.control.send(state.target, &path, Bytes::from(heartbeat.to_string())).await;
        let reply = answer.as_ref().and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        state.target = reply.and_then(|reply| reply["beat_target"].as_str()?.parse().ok());
        answer.is_some()
    }

    /// Announces the drain. Returns the drain deadline, or `None` when no control plane acknowledged the drain.
    pub async fn announce_drain(&self) -> Option<Instant> {
        self.state.lock().await.draining = true;
        let until = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < until {
            if self.send().await {
                return Some(Instant::now() + Duration::from_millis(DRAIN_MS));
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Announces the departure; returns whether it was acknowledged.
    pub async fn announce_departure(&self) -> bool {
        let path = format!("/Backends.Departure/{}", self.info.id);
        self.control.send(None, &path, Bytes::from_static(b"{}")).await.is_some()
    }
}
