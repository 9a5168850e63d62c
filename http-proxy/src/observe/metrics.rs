//! The figures that operators read: plain counters, all zero when the process starts, kept where requests and
//! attempts end.

use crate::observe::usage::ResourceUsage;
use crate::time::budget::EventLoopLag;
use crate::time::clock::millis;
use doorcourse::{Name, Pool, Settings};
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// With a backend's answer.
    Served,
    /// Harmless to try again.
    Refused,
    /// With no promise.
    Failed,
}

/// Where the time of a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body comes in.
    Body,
    /// It waits for a block of its customer.
    QuotaWait,
    /// It waits for a backend with room.
    CapacityWait,
    /// It waits for either, and is never sent on.
    Unsent,
    /// A connection comes up.
    Connect,
    /// A backend has it.
    Backend,
    /// The answer goes out to the client.
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
    /// For each stage how often it was gone through, and how long that took in all.
    stage_times: [Cell<(u64, Duration)>; STAGES.len()],
    /// Attempts that ended because their share of the budget, or all of it, was used up.
    share_timeouts: Cell<u64>,
    budget_timeouts: Cell<u64>,
}

/// What this process has done since its start.
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
    /// All zero.
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

    /// How late the event loop runs.
    pub fn event_loop_lag(&self) -> &Rc<EventLoopLag> {
        &self.event_loop_lag
    }

    /// What the process costs.
    pub fn usage(&self) -> &Rc<ResourceUsage> {
        &self.usage
    }

    fn position(&self, class: &str) -> Option<usize> {
        self.classes.iter().position(|(name, _)| **name == *class)
    }

    fn counters(&self, class: &str) -> Option<&ClassCounters> {
        self.position(class).map(|at| &self.classes[at].1)
    }

    /// A request of a class has spent this much of its time in a stage.
    pub fn record_stage(&self, class: &str, stage: Stage, time: Duration) {
        if let Some(counters) = self.counters(class) {
            counters.stage_times[stage as usize].update(|(times, sum)| (times + 1, sum + time));
        }
    }

    /// An attempt ended because its time was over: that of the whole request, or its share of it.
    pub fn attempt_timed_out(&self, class: &str, all: bool) {
        if let Some(counters) = self.counters(class) {
            if all { &counters.budget_timeouts } else { &counters.share_timeouts }.update(|n| n + 1);
        }
    }

    /// A request is taken; it is active until what this gives back is dropped.
    pub fn start_request(self: &Rc<Self>, class: &str) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest { metrics: self.clone(), class: self.position(class) }
    }

    /// How many requests are taken and have not ended.
    pub fn active(&self) -> u64 {
        self.active.get()
    }

    /// An attempt is written whole.
    pub fn attempt_written(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// The configuration was read again, and used or not.
    pub fn record_reload(&self, applied: bool) {
        let count = if applied { &self.applied } else { &self.rejected };
        count.set(count.get() + 1);
    }

    /// All figures, as one line of JSON; those of the group where there is one.
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

/// A request that is taken and has not ended. Dropped without an end its client has left: that counts nowhere.
pub struct ActiveRequest {
    metrics: Rc<Metrics>,
    class: Option<usize>,
}

impl ActiveRequest {
    /// It ended like this.
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
