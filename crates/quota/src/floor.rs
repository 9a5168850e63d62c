//! What the log says of a count, so that a new holder need not begin with nothing: it has never been below a floor.
//!
//! A holder that dies takes its counts with it. Its successor knows neither what was granted nor which blocks are out,
//! and without more has to wait for a window and to begin with none of the burst. A floor is a word in the log that
//! bounds what can be gone: while it stands, no grant takes the count below it. Whoever comes next begins with that much,
//! at once. Tenants far below their quota have a floor that never changes; one that goes near it has its floor taken
//! away by an entry of the log before more is granted.

use crate::Millis;

/// A count's least over this long decides whether its floor may rise: longer than the judged span of a quota.
const OBSERVATION_PERIOD: Millis = 6000.0;
/// The floor of a quiet tenant, as a share of the most that a window may grant: its usual blocks stay above it.
const FLOOR_RATIO: f64 = 0.5;
/// A count this close to its floor, as a share of a refill, is about to need what lies below.
const NEAR_FLOOR_RATIO: f64 = 0.25;

/// A tenant's floor, in units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Floor {
    /// No grant goes below: the highest of what the log says and what was asked of it and may yet be decided.
    enforced: u32,
    /// What the newest entry says that was asked for, or the log itself.
    proposed: u32,
    min_free: f64,
    observed_since: Millis,
}

impl Floor {
    /// A floor as the log has it.
    pub fn new(now: Millis, units: u32) -> Self {
        Self { enforced: units, proposed: units, min_free: f64::INFINITY, observed_since: now }
    }

    /// Units that no grant may take.
    pub fn enforced(&self) -> f64 {
        f64::from(self.enforced)
    }

    /// The count has so many units free now.
    pub fn record_free(&mut self, free: f64) {
        self.min_free = self.min_free.min(free);
    }

    /// Whether the count is about to need what lies below its floor.
    pub fn needs_lowering(&self, refill: f64) -> bool {
        self.proposed > 0 && self.min_free < self.enforced() + refill * NEAR_FLOOR_RATIO
    }

    /// Another floor that the log should say, if any; `most` and `refill` are those of the tenant's windows.
    pub fn next_proposal(&mut self, now: Millis, max_units: f64, refill: f64) -> Option<u32> {
        let quiet_floor = (max_units * FLOOR_RATIO).max(0.0) as u32;
        if self.needs_lowering(refill) || self.proposed > quiet_floor {
            let lowered = if self.needs_lowering(refill) { 0 } else { quiet_floor };
            (self.min_free, self.observed_since) = (f64::INFINITY, now);
            return Some(lowered);
        }
        if now < self.observed_since + OBSERVATION_PERIOD {
            return None;
        }
        let min_free = std::mem::replace(&mut self.min_free, f64::INFINITY);
        self.observed_since = now;
        (self.proposed < quiet_floor
            && min_free.is_finite()
            && min_free >= f64::from(quiet_floor) + refill * NEAR_FLOOR_RATIO * 2.0)
            .then_some(quiet_floor)
    }

    /// An entry with this floor is on its way: it may be decided whatever becomes of this holder.
    pub fn propose(&mut self, units: u32) {
        self.proposed = units;
        self.enforced = self.enforced.max(units);
    }

    /// The log says what was asked for last.
    pub fn commit(&mut self) {
        self.enforced = self.proposed;
    }
}
