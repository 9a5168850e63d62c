//! Metrics for operators: counters that start at zero with the process and are updated when requests and attempts end.
//!
//! An attempt is one transmission of a request to one backend; a retry is a further attempt. Each attempt may use only
//! a share of the request's time budget.

use crate::observe::usage::ResourceUsage;
use crate::time::budget::EventLoopLag;
use crate::time::clock::millis;
use doorcourse::{Name, Pool, Settings};
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// A backend answered.
    Served,
    /// Refused; safe to retry.
    Refused,
    /// Failed; the request may have been executed.
    Failed,
}

/// The stages in which a request spends its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Receiving the body.
    Body,
    /// Waiting for quota: a lease of units for the customer.
    QuotaWait,
    /// Waiting for a backend with capacity.
    CapacityWait,
    /// Waiting for quota or capacity without ever being sent.
    Unsent,
    /// Establishing a connection.
    Connect,
    /// Processing by the backend.
    Backend,
    /// Writing the answer to the client.
    WriteAnswer,
}

const STAGES: [(&str, Stage); 7] = [
    ("body", Stage::Body),
    ("block", Stage::QuotaWait),
    ("room", Stage::CapacityWait),
    ("unsent", Stage::Unsent),
    ("connect", Stage::Connect),
    ("backend", Stage::Backend),
    ("pass_on", Stage::WriteAnswer),
];

#[derive(Default)]
struct ClassCounters {
    ok: Cell<u64>,
    shed: Cell<u64>,
    errors: Cell<u64>,
    /// For each stage the number of passes and their total duration.
    stage_times: [Cell<(u64, Duration)>; STAGES.len()],
    /// Attempts that timed out, by their share of the budget and by all of it.
    share_timeouts: Cell<u64>,
    budget_timeouts: Cell<u64>,
}

/// The metrics of this process since its start.
pub struct Metrics {
    classes: Vec<(Name, ClassCounters)>,
    attempts: Cell<u64>,
    active: Cell<u64>,
    applied: Cell<u64>,
    rejected: Cell<u64>,
    event_loop_lag: Rc<EventLoopLag>,
    usage: Rc<ResourceUsage>,
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new(settings: &Settings) -> Rc<Self> {
        Rc::new(Self {
            classes: settings.classes.iter().map(|c| (c.name.clone(), ClassCounters::default())).collect(),
            attempts: Cell::default(),
            active: Cell::default(),
            applied: Cell::default(),
            rejected: Cell::default(),
            event_loop_lag: Rc::default(),
            usage: Rc::default(),
        })
    }

    /// The lag of the event loop.
    pub fn event_loop_lag(&self) -> &Rc<EventLoopLag> {
        &self.event_loop_lag
    }

    /// The resource usage of the process.
    pub fn usage(&self) -> &Rc<ResourceUsage> {
        &self.usage
    }

    fn position(&self, class: &str) -> Option<usize> {
        self.classes.iter().position(|(name, _)| **name == *class)
    }

    fn counters(&self, class: &str) -> Option<&ClassCounters> {
        self.position(class).map(|at| &self.classes[at].1)
    }

    /// Records the time that a request of a class spent in a stage.
    pub fn record_stage(&self, class: &str, stage: Stage, time: Duration) {
        if let Some(counters) = self.counters(class) {
            counters.stage_times[stage as usize].update(|(times, sum)| (times + 1, sum + time));
        }
    }

    /// Counts an attempt that timed out, because all of the request's budget (`all`) or the attempt's share was used.
    pub fn attempt_timed_out(&self, class: &str, all: bool) {
        if let Some(counters) = self.counters(class) {
            if all { &counters.budget_timeouts } else { &counters.share_timeouts }.update(|n| n + 1);
        }
    }

    /// Counts an accepted request as active until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>, class: &str) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest { metrics: self.clone(), class: self.position(class) }
    }

    /// The number of accepted requests that have not ended.
    pub fn active(&self) -> u64 {
        self.active.get()
    }

    /// Counts an attempt that was written whole.
    pub fn attempt_written(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Counts a reload of the configuration, applied or rejected.
    pub fn record_reload(&self, applied: bool) {
        let count = if applied { &self.applied } else { &self.rejected };
        count.set(count.get() + 1);
    }

    /// All metrics as one line of JSON. `group` holds the metrics of this process's membership in a group of gateways.
    pub fn to_json_line(&self, pool: Pool, group: Option<Value>) -> String {
        let classes = |of: fn(&ClassCounters) -> Value| {
            let pairs = self.classes.iter().map(|(name, counters)| (name.to_string(), of(counters)));
            Value::Object(pairs.collect::<Map<_, _>>())
        };
        let times = |counters: &ClassCounters| {
            let pairs = STAGES.iter().map(|(name, stage)| {
                let (times, sum) = counters.stage_times[*stage as usize].get();
                ((*name).to_owned(), json!([times, millis(sum).round()]))
            });
            Value::Object(pairs.collect::<Map<_, _>>())
        };
        let (late_timers, max_lag) = self.event_loop_lag.totals();
        let mut all = json!({
            "ok": classes(|counters| counters.ok.get().into()),
            "shed": classes(|counters| counters.shed.get().into()),
            "errors": classes(|counters| counters.errors.get().into()),
            "time_ms": classes(times),
            "tries_cut": classes(|counters| counters.share_timeouts.get().into()),
            "tries_used_up": classes(|counters| counters.budget_timeouts.get().into()),
            "too_late": pool.too_late,
            "retries_denied": pool.retries_denied,
            "loop_late": late_timers,
            "loop_late_most_ms": millis(max_lag).round(),
            "cost": self.usage.to_json(),
            "tries": self.attempts.get(),
            "active": self.active.get(),
            "pool_size": pool.size,
            "pool_ejected": pool.ejected,
            "config_applied": self.applied.get(),
            "config_rejected": self.rejected.get(),
        });
        if let Some(group) = group {
            all["group"] = group;
        }
        all.to_string()
    }
}

/// Guard of an active request. If dropped without an outcome, the client has left and no outcome is counted.
pub struct ActiveRequest {
    metrics: Rc<Metrics>,
    class: Option<usize>,
}

impl ActiveRequest {
    /// Records the outcome of the request.
    pub fn finish(self, result: RequestResult) {
        let Some((_, counters)) = self.class.and_then(|class| self.metrics.classes.get(class)) else {
            return;
        };
        let count = match result {
            RequestResult::Served => &counters.ok,
            RequestResult::Refused => &counters.shed,
            RequestResult::Failed => &counters.errors,
        };
        count.set(count.get() + 1);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.metrics.active.set(self.metrics.active.get() - 1);
    }
}
