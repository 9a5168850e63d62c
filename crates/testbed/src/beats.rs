//! What a backend says of itself to control.

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

/// How often it beats, roughly.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// If nobody acknowledges the drain, it ends all the same after this.
const UNHEARD: Duration = Duration::from_secs(6);

/// What stays the same in all beats of a life.
pub struct About {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What it works on at once.
    pub capacity: usize,
    /// When it started, and for how long it is slow from then on.
    pub born: Instant,
    /// See there.
    pub warmup: Duration,
}

/// One life's voice.
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
    /// Nothing is said yet.
    pub fn new(about: About, control: Control) -> Arc<Self> {
        let said = Said { calls: 0, draining: false, target: None };
        Arc::new(Self { about, control, said: Mutex::new(said) })
    }

    /// Beats until it is dropped.
    pub async fn beat(self: Arc<Self>) {
        let mut chance = Chance::new(wild(), 0);
        loop {
            self.say().await;
            sleep(INTERVAL.mul_f64(0.8 + 0.4 * chance.unit())).await;
        }
    }

    /// One beat; true when it was acknowledged.
    async fn say(&self) -> bool {
        // One at a time, so that the counts rise in the order in which they are sent.
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

    /// Says that it drains. The moment from which it has to be left alone, or nothing when nobody heard it.
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

    /// Says that it ends.
    pub async fn departs(&self) -> bool {
        let path = format!("/Backends.Departure/{}", self.about.id);
        self.control.tell(None, &path, Bytes::from_static(b"{}")).await.is_some()
    }
}
