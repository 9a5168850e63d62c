//! The figures that operators read: plain counters, all zero when the process starts, kept where requests and
//! attempts end.

use crate::observe::cost::Cost;
use crate::time::budget::Lateness;
use crate::time::clock::millis;
use doorcourse::{Name, Pool, Settings};
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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
    Block,
    /// It waits for a backend with room.
    Room,
    /// It waits for either, and is never sent on.
    Unsent,
    /// A connection comes up.
    Connect,
    /// A backend has it.
    Backend,
    /// The answer goes out to the client.
    PassOn,
}

const STAGES: [(&str, Stage); 7] = [
    ("body", Stage::Body),
    ("block", Stage::Block),
    ("room", Stage::Room),
    ("unsent", Stage::Unsent),
    ("connect", Stage::Connect),
    ("backend", Stage::Backend),
    ("pass_on", Stage::PassOn),
];

#[derive(Default)]
struct Row {
    ok: Cell<u64>,
    shed: Cell<u64>,
    errors: Cell<u64>,
    /// For each stage how often it was gone through, and how long that took in all.
    times: [Cell<(u64, Duration)>; STAGES.len()],
    /// Attempts that ended because their share of the budget, or all of it, was used up.
    cut: Cell<u64>,
    used_up: Cell<u64>,
}

/// What this process has done since its start.
pub struct Figures {
    classes: Vec<(Name, Row)>,
    tries: Cell<u64>,
    active: Cell<u64>,
    applied: Cell<u64>,
    rejected: Cell<u64>,
    lateness: Rc<Lateness>,
    cost: Rc<Cost>,
}

impl Figures {
    /// All zero.
    pub fn new(settings: &Settings) -> Rc<Self> {
        Rc::new(Self {
            classes: settings.classes.iter().map(|c| (c.name.clone(), Row::default())).collect(),
            tries: Cell::default(),
            active: Cell::default(),
            applied: Cell::default(),
            rejected: Cell::default(),
            lateness: Rc::default(),
            cost: Rc::default(),
        })
    }

    /// How late the event loop runs.
    pub fn lateness(&self) -> &Rc<Lateness> {
        &self.lateness
    }

    /// What the process costs.
    pub fn cost(&self) -> &Rc<Cost> {
        &self.cost
    }

    fn position(&self, class: &str) -> Option<usize> {
        self.classes.iter().position(|(name, _)| **name == *class)
    }

    fn row(&self, class: &str) -> Option<&Row> {
        self.position(class).map(|at| &self.classes[at].1)
    }

    /// A request of a class has spent this much of its time in a stage.
    pub fn spent(&self, class: &str, stage: Stage, time: Duration) {
        if let Some(row) = self.row(class) {
            row.times[stage as usize].update(|(times, sum)| (times + 1, sum + time));
        }
    }

    /// An attempt ended because its time was over: that of the whole request, or its share of it.
    pub fn cut(&self, class: &str, whole: bool) {
        if let Some(row) = self.row(class) {
            if whole { &row.used_up } else { &row.cut }.update(|n| n + 1);
        }
    }

    /// A request is taken; it is active until what this gives back is dropped.
    pub fn taken(self: &Rc<Self>, class: &str) -> Taken {
        self.active.set(self.active.get() + 1);
        Taken { figures: self.clone(), class: self.position(class) }
    }

    /// How many requests are taken and have not ended.
    pub fn active(&self) -> u64 {
        self.active.get()
    }

    /// An attempt is written whole.
    pub fn tried(&self) {
        self.tries.set(self.tries.get() + 1);
    }

    /// The configuration was read again, and used or not.
    pub fn reloaded(&self, used: bool) {
        let count = if used { &self.applied } else { &self.rejected };
        count.set(count.get() + 1);
    }

    /// All figures, as one line of JSON; those of the group where there is one.
    pub fn line(&self, pool: Pool, group: Option<Value>) -> String {
        let classes = |of: fn(&Row) -> Value| {
            let pairs = self.classes.iter().map(|(name, row)| (name.to_string(), of(row)));
            Value::Object(pairs.collect::<Map<_, _>>())
        };
        let times = |row: &Row| {
            let pairs = STAGES.iter().map(|(name, stage)| {
                let (times, sum) = row.times[*stage as usize].get();
                ((*name).to_owned(), json!([times, millis(sum).round()]))
            });
            Value::Object(pairs.collect::<Map<_, _>>())
        };
        let (late, latest) = self.lateness.told();
        let mut all = json!({
            "ok": classes(|row| row.ok.get().into()),
            "shed": classes(|row| row.shed.get().into()),
            "errors": classes(|row| row.errors.get().into()),
            "time_ms": classes(times),
            "tries_cut": classes(|row| row.cut.get().into()),
            "tries_used_up": classes(|row| row.used_up.get().into()),
            "too_late": pool.too_late,
            "retries_denied": pool.retries_denied,
            "loop_late": late,
            "loop_late_most_ms": millis(latest).round(),
            "cost": self.cost.told(),
            "tries": self.tries.get(),
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
pub struct Taken {
    figures: Rc<Figures>,
    class: Option<usize>,
}

impl Taken {
    /// It ended like this.
    pub fn ended(self, ending: Ending) {
        let Some((_, row)) = self.class.and_then(|class| self.figures.classes.get(class)) else { return };
        let count = match ending {
            Ending::Served => &row.ok,
            Ending::Refused => &row.shed,
            Ending::Failed => &row.errors,
        };
        count.set(count.get() + 1);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.figures.active.set(self.figures.active.get() - 1);
    }
}
