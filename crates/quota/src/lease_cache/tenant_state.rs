//! State of one tenant at a gateway: its block, its fallback slice and its demand.

use super::*;

impl TenantState {
    /// Discards a block whose window has ended and updates the smoothed demand from past windows.
    pub(super) fn advance_window(&mut self, now: Millis) {
        let Some(params) = self.params else { return };
        if now >= self.window_ends_at {
            self.returned = self.returned.saturating_add(std::mem::take(&mut self.block));
            (self.received, self.spent) = (0, 0);
        }
        self.settle_slice(now);
        let windows = ((now - self.demand_since) / params.window).floor();
        if windows >= 1.0 {
            let smoothed = if self.has_demand {
                DEMAND_SMOOTHING * self.requests_in_window + (1.0 - DEMAND_SMOOTHING) * self.demand
            } else {
                self.requests_in_window
            };
            self.demand = smoothed * (1.0 - DEMAND_SMOOTHING).powf((windows - 1.0).min(64.0));
            self.has_demand |= self.requests_in_window > 0.0;
            self.requests_in_window = 0.0;
            self.demand_since += windows * params.window;
        }
        if self.has_demand && now > self.last_request_at + IDLE_TIMEOUT {
            (self.has_demand, self.demand, self.returned, self.slice_debt) = (false, 0.0, 0, 0);
        }
    }

    /// Demand expected until the block's window ends, or for a whole window if there is no current block.
    pub(super) fn remaining_demand(&self, now: Millis) -> f64 {
        let window = self.params.map_or(1.0, |p| p.window);
        if now < self.window_ends_at {
            self.demand * ((self.window_ends_at - now) / window).min(1.0)
        } else {
            self.demand
        }
    }

    pub(super) fn is_exhausted(&self, now: Millis) -> bool {
        now < self.window_ends_at && self.remaining < 1 && self.block < 1
    }

    pub(super) fn spend_unit(&mut self) -> bool {
        let has_unit = self.block > 0;
        if has_unit {
            self.block -= 1;
            self.spent += 1;
            self.granted += 1;
        }
        has_unit
    }

    /// Opens the fallback slice of the current window. Unspent whole units expire with their window. Fractions carry
    /// over, so that a gateway whose slice is smaller than one unit gets a unit every few windows. The first slice
    /// starts with a random fraction: otherwise all gateways would get their unit in the same window.
    pub(super) fn open_slice(&mut self, now: Millis, fleet_size: f64, random: f64) {
        let Some(params) = self.params else { return };
        if now < self.slice_ends_at {
            return;
        }
        let new_window = now >= self.slice_ends_at + params.window;
        let initial = if new_window { random } else { self.slice_units.fract() };
        let fleet_share = params.refill / fleet_size;
        self.settle_slice(now);
        self.slice_is_charged = now >= self.slices_until;
        if now < self.window_ends_at {
            self.slice_ends_at = self.window_ends_at;
            self.slice_units = initial + (fleet_share - f64::from(self.received)).max(0.0);
            return;
        }
        let slice_start = if !new_window { self.slice_ends_at } else { now };
        let slice_start = if now < self.window_ends_at + params.window {
            slice_start.max(self.window_ends_at)
        } else {
            slice_start
        };
        self.slice_ends_at = slice_start + params.window;
        self.slice_units = initial + fleet_share;
    }

    pub(super) fn spend_slice_unit(&mut self) -> bool {
        let has_unit = self.slice_units >= 1.0;
        if has_unit {
            self.slice_units -= 1.0;
            self.slice_used += 1;
            self.granted += 1;
            self.granted_by_slice += 1;
        }
        has_unit
    }

    /// Adds the units spent from an expired fallback slice to the debt, unless they were deducted from a block.
    fn settle_slice(&mut self, now: Millis) {
        if now < self.slice_ends_at {
            return;
        }
        let used = std::mem::take(&mut self.slice_used);
        if self.slice_is_charged {
            self.slice_debt = self.slice_debt.saturating_add(used);
        }
    }

    pub(super) fn refuse(&mut self, now: Millis, random: f64) -> Verdict {
        self.refused += 1;
        let window = self.params.map_or(1000.0, |p| p.window);
        let window_end = if now < self.window_ends_at { self.window_ends_at } else { self.slice_ends_at };
        let until_window_end = if now < window_end { window_end - now } else { window * 0.5 };
        Verdict::Refused { retry_after: until_window_end + window * RETRY_JITTER_RATIO * random }
    }

    /// Whether a lease request is needed now.
    pub(super) fn should_request(&self, now: Millis) -> bool {
        // No block is left when a window starts. For a tenant with enough demand, the gateway requests a block
        // before the first client request of the window arrives.
        let new_window =
            now >= self.window_ends_at && self.window_ends_at > 0.0 && self.demand >= MIN_PREFETCH_DEMAND;
        (self.needs_block || new_window) && !self.is_exhausted(now)
    }

    /// Returns the units needed at once and the units to request.
    pub(super) fn request_size(&self, now: Millis, params: WindowParams, fleet_size: f64) -> (u32, u32) {
        let needed = self.waiting.len() as u32;
        let target = if self.has_demand {
            (self.remaining_demand(now) * BLOCK_MARGIN + 0.5).floor()
        } else {
            (self.burst / fleet_size).max(1.0)
        };
        let target = target.min(params.max_units) as u32;
        (needed, target.saturating_sub(self.block).max(needed))
    }

    /// Applies a holder's grant. The window's end is counted from when the request was sent, so the block expires
    /// early rather than late.
    pub(super) fn apply_grant(&mut self, now: Millis, sent_at: Millis, tenant_grant: &TenantGrant) {
        let window_ends_at = sent_at + tenant_grant.ends_in;
        match tenant_grant.status {
            CounterStatus::FallbackSlice => {
                self.slices_until = window_ends_at.max(now + PROBE_INTERVAL * 0.25);
                return;
            }
            CounterStatus::RetryLater => {
                self.retry_at = now + RETRY_DELAY;
                return;
            }
            CounterStatus::Open => {}
        }
        self.settle_slice(now);
        self.slice_debt -= std::mem::take(&mut self.slice_debt_in_flight).min(self.slice_debt);
        if now >= window_ends_at {
            self.returned = self.returned.saturating_add(tenant_grant.granted);
            return;
        }
        if tenant_grant.window != self.window || now >= self.window_ends_at {
            self.returned = self.returned.saturating_add(std::mem::take(&mut self.block));
            (self.received, self.spent, self.window_ends_at) = (0, 0, window_ends_at);
        }
        self.window = tenant_grant.window;
        self.window_ends_at = self.window_ends_at.max(window_ends_at);
        self.remaining = tenant_grant.remaining;
        // Units spent from the fallback slice earlier in this window are deducted from this block.
        let prepaid = if now < self.slice_ends_at { tenant_grant.granted.min(self.slice_used) } else { 0 };
        self.slice_used -= prepaid;
        self.slice_units = self.slice_units.fract();
        self.received = self.received.saturating_add(tenant_grant.granted);
        self.spent = self.spent.saturating_add(prepaid);
        self.block = self.block.saturating_add(tenant_grant.granted - prepaid);
    }

    pub(super) fn serve_waiting(
        &mut self, now: Millis, fleet_size: f64, random: f64, out: &mut Vec<(u64, Verdict)>,
    ) {
        while let Some((request, _)) = self.waiting.front().copied() {
            let verdict = if self.spend_unit() {
                Verdict::Granted
            } else if now < self.slices_until {
                self.open_slice(now, fleet_size, random);
                if self.spend_slice_unit() { Verdict::Granted } else { self.refuse(now, random) }
            } else if self.is_exhausted(now) {
                self.refuse(now, random)
            } else {
                self.needs_block = true;
                return;
            };
            self.waiting.pop_front();
            out.push((request, verdict));
        }
    }

    /// Grants all waiting requests of a tenant without a limit.
    pub(super) fn grant_all_waiting(&mut self, out: &mut Vec<(u64, Verdict)>) {
        self.granted += self.waiting.len() as u64;
        out.extend(self.waiting.drain(..).map(|(request, _)| (request, Verdict::Granted)));
    }
}
