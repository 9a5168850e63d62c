//! Metrics of a simulation run: compliance with the quotas, and a comparison with a single token bucket for the whole
//! fleet.

use super::Load;
use quota::{CounterStatus, Grant};
use std::collections::VecDeque;

/// Compliance bound of a quota: in any span of this length (ms), a tenant may exceed `rate * span + burst` by this
/// ratio and this many units.
const COMPLIANCE_SPAN: f64 = 5000.0;
const COMPLIANCE_EXCESS: f64 = 1.1;
const COMPLIANCE_SLACK: f64 = 20.0;
/// Metrics start at this time (ms), when the fleet has started up.
const WARM_UP: f64 = 4000.0;

struct Tenant {
    rate: f64,
    burst: f64,
    /// Token bucket of the whole fleet: available units and the time of the last refill.
    bucket: (f64, f64),
    run_times: Vec<f64>,
    requests: u64,
    allowed: u64,
    refused: u64,
}

pub struct LoadMetrics {
    now: f64,
    tenants: Vec<Tenant>,
    wait_times: Vec<f64>,
    lease_requests: u64,
    lease_bytes: u64,
    granted: f64,
}

/// Cost and throughput of a simulation run.
#[derive(Debug, Default, Clone)]
pub struct Summary {
    pub requests: f64,
    /// Requests that a single token bucket would have granted.
    pub allowed: f64,
    pub completed: f64,
    pub refused: f64,
    /// Sum over the tenants of the requests that the token bucket would have granted and the fleet did not run.
    pub missed: f64,
    pub waited: f64,
    pub wait_mean: f64,
    pub wait_p99: f64,
    pub lease_requests: f64,
    pub lease_bytes: f64,
    pub granted: f64,
    /// The most requests of a tenant that ran within any compliance span, as a fraction of the compliance bound.
    pub worst_span_ratio: f64,
}

impl LoadMetrics {
    pub fn new(loads: &[Load]) -> Self {
        let tenant = |load: &Load| Tenant {
            rate: load.quota.rate_per_s,
            burst: load.quota.burst,
            bucket: (load.quota.burst, 0.0),
            run_times: Vec::new(),
            requests: 0,
            allowed: 0,
            refused: 0,
        };
        let tenants = loads.iter().map(tenant).collect();
        Self { now: 0.0, tenants, wait_times: Vec::new(), lease_requests: 0, lease_bytes: 0, granted: 0.0 }
    }

    fn is_measuring(&self) -> bool {
        self.now >= WARM_UP
    }

    pub fn record_request(&mut self, now: f64, tenant: usize) {
        self.now = now;
        let is_measuring = self.is_measuring();
        let t = &mut self.tenants[tenant];
        let max_units = t.burst.max(1.0);
        t.bucket.0 = (t.bucket.0 + (now - t.bucket.1) * t.rate / 1000.0).min(max_units);
        t.bucket.1 = now;
        let has_unit = t.bucket.0 >= 1.0;
        if has_unit {
            t.bucket.0 -= 1.0;
        }
        if is_measuring {
            t.requests += 1;
            t.allowed += u64::from(has_unit);
        }
    }

    pub fn record_run(&mut self, at: f64, tenant: usize, waited: f64) {
        let is_measuring = self.is_measuring();
        self.tenants[tenant].run_times.push(at);
        if is_measuring && waited > 0.0 {
            self.wait_times.push(waited);
        }
    }

    pub fn record_refusal(&mut self, tenant: usize) {
        if self.is_measuring() {
            self.tenants[tenant].refused += 1;
        }
    }

    pub fn record_message(&mut self, lease_bytes: Option<usize>) {
        if self.is_measuring() {
            self.lease_bytes += lease_bytes.unwrap_or(0) as u64;
        }
    }

    pub fn record_lease_request(&mut self) {
        self.lease_requests += u64::from(self.is_measuring());
    }

    pub fn record_grant(&mut self, grant: &Grant) {
        if self.is_measuring() {
            let open = grant.grants.iter().filter(|tenant| tenant.status == CounterStatus::Open);
            self.granted += open.map(|tenant| f64::from(tenant.granted)).sum::<f64>();
        }
    }

    /// The most requests of a tenant that ran in any compliance span so far, as a fraction of the compliance bound.
    pub fn worst_span_ratio(&self) -> f64 {
        self.tenants.iter().map(Tenant::worst_span_ratio).fold(0.0, f64::max)
    }

    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            lease_requests: self.lease_requests as f64,
            lease_bytes: self.lease_bytes as f64,
            ..Summary::default()
        };
        for t in &self.tenants {
            let completed = t.run_times.iter().filter(|at| **at >= WARM_UP).count() as f64;
            summary.requests += t.requests as f64;
            summary.allowed += t.allowed as f64;
            summary.completed += completed;
            summary.refused += t.refused as f64;
            summary.missed += (t.allowed as f64 - completed).max(0.0);
        }
        let mut wait_times = self.wait_times.clone();
        wait_times.sort_by(f64::total_cmp);
        summary.waited = wait_times.len() as f64;
        summary.wait_mean = wait_times.iter().sum::<f64>() / summary.waited.max(1.0);
        summary.wait_p99 = wait_times.get(wait_times.len() * 99 / 100).copied().unwrap_or(0.0);
        summary.granted = self.granted;
        summary.worst_span_ratio = self.worst_span_ratio();
        summary
    }
}

impl Tenant {
    fn worst_span_ratio(&self) -> f64 {
        let bound =
            (self.rate * COMPLIANCE_SPAN / 1000.0 + self.burst) * COMPLIANCE_EXCESS + COMPLIANCE_SLACK;
        let mut run_times = self.run_times.clone();
        run_times.sort_by(f64::total_cmp);
        let (mut window, mut max_requests) = (VecDeque::new(), 0);
        for at in run_times {
            window.push_back(at);
            while window.front().is_some_and(|first| at - first > COMPLIANCE_SPAN) {
                window.pop_front();
            }
            max_requests = max_requests.max(window.len());
        }
        max_requests as f64 / bound
    }
}
