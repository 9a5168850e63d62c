//! Open-loop load: requests arrive at random times, independent of earlier answers.

use crate::clients::{Client, ClientRequest, Ids, Platform};
use crate::history::{End, Event, History};
use crate::plan::{KINDS, TENANTS};
use crate::random::SeededRandom;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::sleep_until;

/// Number of clients.
const CLIENTS: usize = 64;
/// Maximum number of outstanding requests. Further ones count as failed, to bound memory if the fleet hangs.
const MAX_OUTSTANDING: usize = 4096;
/// Upper limit of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results of one kind of request.
#[derive(Clone, Debug)]
pub struct KindTally {
    /// Number of requests.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within the latency goal.
    pub within_goal: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Failures by status; `None` for no answer.
    pub failures: BTreeMap<Option<u16>, u64>,
    /// Latency of served requests from their due time, in microseconds.
    pub times: Histogram<u64>,
}

impl KindTally {
    fn new() -> Option<Self> {
        let times = Histogram::new_with_max(MAX_LATENCY_US, 3).ok()?;
        Some(Self {
            requests: 0,
            served: 0,
            within_goal: 0,
            refused: 0,
            failed: 0,
            failures: BTreeMap::new(),
            times,
        })
    }

    fn add(&mut self, end: End, latency: Duration, goal: Duration) {
        self.requests += 1;
        match end {
            End::Served => {
                self.served += 1;
                self.within_goal += u64::from(latency <= goal);
                self.times.saturating_record(latency.as_micros() as u64);
            }
            End::Refused => self.refused += 1,
            End::Failed(status) => {
                self.failed += 1;
                *self.failures.entry(status).or_default() += 1;
            }
        }
    }
}

/// A load.
pub struct Load {
    /// Seed of the load.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Load factor of the last tenant.
    pub last_tenant_factor: LoadFactor,
}

/// Load factor of the last tenant, which may change while the load runs.
#[derive(Clone)]
pub struct LoadFactor(Arc<AtomicU64>);

impl LoadFactor {
    /// Starts with `factor` times the tenant's usual share.
    pub fn new(factor: f64) -> Self {
        Self(Arc::new(AtomicU64::new(factor.to_bits())))
    }

    /// Changes the factor.
    pub fn set(&self, factor: f64) {
        self.0.store(factor.to_bits(), Ordering::Relaxed);
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed)).max(1.0)
    }
}

/// Results by kind, and the delay of the testbed itself.
#[derive(Clone)]
pub struct Tallies(Arc<Mutex<Inner>>);

struct Inner {
    kinds: Vec<KindTally>,
    /// Delay from a request's due time until its client was started.
    late: Option<Histogram<u64>>,
}

impl Default for Tallies {
    fn default() -> Self {
        let kinds = KINDS.iter().filter_map(|_| KindTally::new()).collect();
        let late = Histogram::new_with_max(MAX_LATENCY_US, 3).ok();
        Self(Arc::new(Mutex::new(Inner { kinds, late })))
    }
}

impl Tallies {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current results by kind.
    pub fn kinds(&self) -> Vec<KindTally> {
        self.inner().kinds.clone()
    }

    /// 99th percentile of the testbed's own delay.
    pub fn late(&self) -> Duration {
        let late = self.inner().late.as_ref().map_or(0, |late| late.value_at_quantile(0.99));
        Duration::from_micros(late)
    }

    /// Numbers of requests, served requests and requests served within the goal, over all kinds.
    pub fn counts(&self) -> (u64, u64, u64) {
        let counts = (0, 0, 0);
        self.inner()
            .kinds
            .iter()
            .fold(counts, |(a, s, i), t| (a + t.requests, s + t.served, i + t.within_goal))
    }

    fn record_start_delay(&self, due: Instant) {
        if let Some(late) = &mut self.inner().late {
            late.saturating_record(due.elapsed().as_micros() as u64);
        }
    }

    fn add(&self, kind: usize, end: End, due: Instant) {
        let goal = Duration::from_millis(KINDS[kind].goal_ms);
        if let Some(tally) = self.inner().kinds.get_mut(kind) {
            tally.add(end, due.elapsed(), goal);
        }
    }
}

impl Load {
    /// Runs the load; returns when all requests have ended, which their deadlines bound.
    pub async fn run(&self, platform: Arc<Platform>, history: Arc<History>, tallies: Tallies) {
        let ids = Arc::new(Ids::new(self.seed));
        let client = |n| Arc::new(Client::new(n, self.seed, platform.clone(), history.clone(), ids.clone()));
        let clients: Vec<_> = (0..CLIENTS as u64).map(client).collect();
        let outstanding = Arc::new(Semaphore::new(MAX_OUTSTANDING));
        let mut random = SeededRandom::new(self.seed, 0);
        // The excess of the last tenant is added to the usual load.
        let keyed_share: f64 = KINDS.iter().filter(|kind| !kind.public).map(|kind| kind.share).sum();
        let small_share = TENANTS[TENANTS.len() - 1].share;
        let start = Instant::now();
        let mut at = Duration::ZERO;
        loop {
            let more = keyed_share * small_share * (self.last_tenant_factor.get() - 1.0);
            at += Duration::from_secs_f64(random.exponential() / (self.rate * (1.0 + more)));
            if at >= self.duration {
                break;
            }
            let excess = random.unit() < more / (1.0 + more);
            let (kind, tenant) = if excess {
                let share = |kind: &crate::plan::Kind| if kind.public { 0.0 } else { kind.share };
                (random.weighted_index(KINDS.iter().map(share)), Some(TENANTS.len() - 1))
            } else {
                let kind = random.weighted_index(KINDS.iter().map(|kind| kind.share));
                let tenant = random.weighted_index(TENANTS.iter().map(|tenant| tenant.share));
                (kind, (!KINDS[kind].public).then_some(tenant))
            };
            let client = clients[random.below(CLIENTS)].clone();
            let due = start + at;
            sleep_until(due.into()).await;
            tallies.record_start_delay(due);
            if let Some(tenant) = tenant {
                history.record(Event::Requested { tenant });
            }
            let Ok(permit) = outstanding.clone().try_acquire_owned() else {
                tallies.add(kind, End::Failed(None), due);
                continue;
            };
            let client_request = ClientRequest {
                kind,
                tenant,
                pure: KINDS[kind].pure,
                prefix: KINDS[kind].prefix.into(),
                key: tenant.map(|tenant| TENANTS[tenant].key),
                deadline: Duration::from_millis(KINDS[kind].deadline_ms),
                due,
            };
            let (tallies, history) = (tallies.clone(), history.clone());
            tokio::spawn(async move {
                let (end, tries) = client.execute(&client_request).await;
                tallies.add(kind, end, due);
                let due = history.at(due);
                history.record(Event::Done { kind, owed: !excess, due, end, tries });
                drop(permit);
            });
        }
        let _ = outstanding.acquire_many(MAX_OUTSTANDING as u32).await;
    }
}
