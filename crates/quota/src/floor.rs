//! Floors: lower bounds of counters, recorded in the replicated log, from which a new holder can start.
//!
//! When a holder crashes, its counters are lost. Its successor knows neither the units granted nor the blocks (units
//! granted to one gateway for one window) that are still in use. Without more information, the successor has to wait
//! for one window and then start without any burst. A floor bounds the loss: while the log records a floor for a
//! counter, no grant takes the counter below the floor. A new holder therefore starts at once with the units of the
//! floor. The floor of a tenant far below its quota never changes. Before a tenant near its quota receives more units,
//! a log entry removes its floor.

use crate::Millis;

/// A floor rises only if the counter stayed above the new floor for this long. Longer than the compliance span, the
/// 5 s over which the use of a quota is checked.
const OBSERVATION_PERIOD: Millis = 6000.0;
/// Floor of a tenant that uses little of its quota, as a fraction of `max_units`, the most units that one window may
/// grant to the tenant. The counter of such a tenant normally stays above this floor.
const FLOOR_RATIO: f64 = 0.5;
/// A counter is near its floor when the distance is below this fraction of a refill. The floor must then be lowered.
const NEAR_FLOOR_RATIO: f64 = 0.25;

/// The floor of one tenant's counter, in units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Floor {
    /// Floor enforced on grants: the higher of the committed floor and a proposed floor that may still be committed.
    enforced: u32,
    /// The floor last proposed for the log, or the committed floor.
    proposed: u32,
    /// Lowest number of free units seen since `observed_since`.
    min_free: f64,
    observed_since: Millis,
}

impl Floor {
    /// Creates a floor from its committed value.
    pub fn new(now: Millis, units: u32) -> Self {
        Self { enforced: units, proposed: units, min_free: f64::INFINITY, observed_since: now }
    }

    /// Units that must not be granted.
    pub fn enforced(&self) -> f64 {
        f64::from(self.enforced)
    }

    /// Records the free units of the counter.
    pub fn record_free(&mut self, free: f64) {
        self.min_free = self.min_free.min(free);
    }

    /// Whether the counter is so near its floor that the next grants need units below the floor.
    pub fn needs_lowering(&self, refill: f64) -> bool {
        self.proposed > 0 && self.min_free < self.enforced() + refill * NEAR_FLOOR_RATIO
    }

    /// Returns the floor to propose for the log, if it has to change. `max_units` and `refill` are those of the
    /// tenant's windows.
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

    /// Records that a log entry with this floor was proposed. The entry may be committed even if this holder fails.
    pub fn propose(&mut self, units: u32) {
        self.proposed = units;
        self.enforced = self.enforced.max(units);
    }

    /// Records that the log committed the last proposed floor.
    pub fn commit(&mut self) {
        self.enforced = self.proposed;
    }
}
