//! What became of the requests, and what the rules and a single bucket for the whole fleet would say to it.

use super::Load;
use quota::{CounterStatus, Grant};
use std::collections::VecDeque;

/// The span over which a quota is judged, in ms, and what it may exceed it by.
const SPAN: f64 = 5000.0;
const EXCESS: f64 = 1.1;
const SLACK: f64 = 20.0;
/// Figures begin here: before, the fleet starts.
const FROM: f64 = 4000.0;

struct Tenant {
    rate: f64,
    burst: f64,
    /// A single bucket: units, and when it was last filled.
    bucket: (f64, f64),
    ran: Vec<f64>,
    asked: u64,
    allowed: u64,
    refused: u64,
}

pub struct Judge {
    now: f64,
    tenants: Vec<Tenant>,
    waits: Vec<f64>,
    draws: u64,
    bytes: u64,
    granted: f64,
}

/// What a run of a world cost and served.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    pub asked: f64,
    /// Requests that a single bucket would have let through.
    pub allowed: f64,
    pub ran: f64,
    pub refused: f64,
    /// For each tenant that got less than a single bucket would have let through, how much less.
    pub missed: f64,
    pub waited: f64,
    pub wait_mean: f64,
    pub wait_p99: f64,
    pub draws: f64,
    pub bytes: f64,
    pub granted: f64,
    /// The worst span, as a share of the judged bound.
    pub worst: f64,
}

impl Judge {
    pub fn new(loads: &[Load]) -> Self {
        let tenant = |load: &Load| Tenant {
            rate: load.quota.rate_per_s,
            burst: load.quota.burst,
            bucket: (load.quota.burst, 0.0),
            ran: Vec::new(),
            asked: 0,
            allowed: 0,
            refused: 0,
        };
        let tenants = loads.iter().map(tenant).collect();
        Self { now: 0.0, tenants, waits: Vec::new(), draws: 0, bytes: 0, granted: 0.0 }
    }

    fn counts(&self) -> bool {
        self.now >= FROM
    }

    pub fn asked(&mut self, now: f64, tenant: usize) {
        self.now = now;
        let counts = self.counts();
        let t = &mut self.tenants[tenant];
        let most = t.burst.max(1.0);
        t.bucket.0 = (t.bucket.0 + (now - t.bucket.1) * t.rate / 1000.0).min(most);
        t.bucket.1 = now;
        let fits = t.bucket.0 >= 1.0;
        if fits {
            t.bucket.0 -= 1.0;
        }
        if counts {
            t.asked += 1;
            t.allowed += u64::from(fits);
        }
    }

    pub fn runs(&mut self, at: f64, tenant: usize, waited: f64) {
        let counts = self.counts();
        self.tenants[tenant].ran.push(at);
        if counts && waited > 0.0 {
            self.waits.push(waited);
        }
    }

    pub fn refused(&mut self, tenant: usize) {
        if self.counts() {
            self.tenants[tenant].refused += 1;
        }
    }

    pub fn sent(&mut self, bytes: Option<usize>) {
        if self.counts() {
            self.bytes += bytes.unwrap_or(0) as u64;
        }
    }

    pub fn drew(&mut self) {
        self.draws += u64::from(self.counts());
    }

    pub fn granted(&mut self, grant: &Grant) {
        if self.counts() {
            let open = grant.grants.iter().filter(|share| share.status == CounterStatus::Open);
            self.granted += open.map(|share| f64::from(share.granted)).sum::<f64>();
        }
    }

    /// The worst span of any tenant as a share of the judged bound.
    pub fn worst(&self) -> f64 {
        self.tenants.iter().map(Tenant::worst).fold(0.0, f64::max)
    }

    pub fn figures(&self) -> Figures {
        let mut f = Figures { draws: self.draws as f64, bytes: self.bytes as f64, ..Figures::default() };
        for t in &self.tenants {
            let ran = t.ran.iter().filter(|at| **at >= FROM).count() as f64;
            f.asked += t.asked as f64;
            f.allowed += t.allowed as f64;
            f.ran += ran;
            f.refused += t.refused as f64;
            f.missed += (t.allowed as f64 - ran).max(0.0);
        }
        let mut waits = self.waits.clone();
        waits.sort_by(f64::total_cmp);
        f.waited = waits.len() as f64;
        f.wait_mean = waits.iter().sum::<f64>() / f.waited.max(1.0);
        f.wait_p99 = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0);
        f.granted = self.granted;
        f.worst = self.worst();
        f
    }
}

impl Tenant {
    fn worst(&self) -> f64 {
        let bound = (self.rate * SPAN / 1000.0 + self.burst) * EXCESS + SLACK;
        let mut ran = self.ran.clone();
        ran.sort_by(f64::total_cmp);
        let (mut span, mut worst) = (VecDeque::new(), 0);
        for at in ran {
            span.push_back(at);
            while span.front().is_some_and(|first| at - first > SPAN) {
                span.pop_front();
            }
            worst = worst.max(span.len());
        }
        worst as f64 / bound
    }
}
