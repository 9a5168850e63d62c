//! The figures that operators read: plain counters, all zero when the process starts, kept where requests and
//! attempts end.

use doorcourse::{Name, Pool, Settings};
use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::rc::Rc;

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

#[derive(Default)]
struct Row {
    ok: Cell<u64>,
    shed: Cell<u64>,
    errors: Cell<u64>,
}

/// What this process has done since its start.
pub struct Figures {
    classes: Vec<(Name, Row)>,
    tries: Cell<u64>,
    active: Cell<u64>,
    applied: Cell<u64>,
    rejected: Cell<u64>,
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
        })
    }

    /// A request is taken; it is active until what this gives back is dropped.
    pub fn taken(self: &Rc<Self>, class: &str) -> Taken {
        self.active.set(self.active.get() + 1);
        Taken { figures: self.clone(), class: self.classes.iter().position(|(name, _)| **name == *class) }
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

    /// All figures, as one line of JSON.
    pub fn line(&self, pool: Pool) -> String {
        let classes = |of: fn(&Row) -> &Cell<u64>| {
            let pairs = self.classes.iter().map(|(name, row)| (name.to_string(), Value::from(of(row).get())));
            Value::Object(pairs.collect::<Map<_, _>>())
        };
        json!({
            "ok": classes(|row| &row.ok),
            "shed": classes(|row| &row.shed),
            "errors": classes(|row| &row.errors),
            "tries": self.tries.get(),
            "active": self.active.get(),
            "pool_size": pool.size,
            "pool_ejected": pool.ejected,
            "config_applied": self.applied.get(),
            "config_rejected": self.rejected.get(),
        })
        .to_string()
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
