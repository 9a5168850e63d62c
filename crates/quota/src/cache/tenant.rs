//! One tenant at a gateway: its block, its slice, and its demand.

use super::*;

impl Tenant {
    /// Ends a block whose window is over and learns from the demand of windows gone by.
    pub(super) fn roll(&mut self, now: Millis) {
        let Some(terms) = self.terms else { return };
        if now >= self.ends_at {
            self.back = self.back.saturating_add(std::mem::take(&mut self.block));
            (self.got, self.spent) = (0, 0);
        }
        self.settle_slice(now);
        let windows = ((now - self.demand_from) / terms.window).floor();
        if windows >= 1.0 {
            let first =
                if self.known { NEWEST * self.asked + (1.0 - NEWEST) * self.demand } else { self.asked };
            self.demand = first * (1.0 - NEWEST).powf((windows - 1.0).min(64.0));
            self.known |= self.asked > 0.0;
            self.asked = 0.0;
            self.demand_from += windows * terms.window;
        }
        if self.known && now > self.asked_at + IDLE {
            (self.known, self.demand, self.back, self.slice_debt) = (false, 0.0, 0, 0);
        }
    }

    /// The demand until the block's window ends; of a whole window if none is open.
    pub(super) fn ahead(&self, now: Millis) -> f64 {
        let window = self.terms.map_or(1.0, |t| t.window);
        if now < self.ends_at { self.demand * ((self.ends_at - now) / window).min(1.0) } else { self.demand }
    }

    pub(super) fn spent_out(&self, now: Millis) -> bool {
        now < self.ends_at && self.left < 1 && self.block < 1
    }

    pub(super) fn spend(&mut self) -> bool {
        let fits = self.block > 0;
        if fits {
            self.block -= 1;
            self.spent += 1;
            self.granted += 1;
        }
        fits
    }

    /// Opens the slice of the present window. Whole units end with their window; fractions stay, so that gateways
    /// whose slice is less than a unit have one every few windows. Each starts from a fraction by lot: all together
    /// then have what the window allows, neither all nor none of them a unit at once.
    pub(super) fn open_slice(&mut self, now: Millis, gateways: f64, lot: f64) {
        let Some(terms) = self.terms else { return };
        if now < self.slice_ends {
            return;
        }
        let fresh = now >= self.slice_ends + terms.window;
        let part = if fresh { lot } else { self.slice.fract() };
        let mine = terms.refill / gateways;
        self.settle_slice(now);
        self.slice_is_owed = now >= self.slices_until;
        if now < self.ends_at {
            self.slice_ends = self.ends_at;
            self.slice = part + (mine - f64::from(self.got)).max(0.0);
            return;
        }
        let begin = if !fresh { self.slice_ends } else { now };
        let begin = if now < self.ends_at + terms.window { begin.max(self.ends_at) } else { begin };
        self.slice_ends = begin + terms.window;
        self.slice = part + mine;
    }

    pub(super) fn spend_slice(&mut self) -> bool {
        let fits = self.slice >= 1.0;
        if fits {
            self.slice -= 1.0;
            self.slice_used += 1;
            self.granted += 1;
            self.by_slice += 1;
        }
        fits
    }

    /// What was spent of a slice whose window is over is owed to the count, unless a block has paid for it.
    fn settle_slice(&mut self, now: Millis) {
        if now < self.slice_ends {
            return;
        }
        let used = std::mem::take(&mut self.slice_used);
        if self.slice_is_owed {
            self.slice_debt = self.slice_debt.saturating_add(used);
        }
    }

    pub(super) fn refuse(&mut self, now: Millis, lot: f64) -> Verdict {
        self.refused += 1;
        let window = self.terms.map_or(1000.0, |t| t.window);
        let end = if now < self.ends_at { self.ends_at } else { self.slice_ends };
        let rest = if now < end { end - now } else { window * 0.5 };
        Verdict::Refused { retry_after: rest + window * SPREAD * lot }
    }

    /// Whether a block is to be asked for now.
    pub(super) fn wants(&self, now: Millis) -> bool {
        // Every window begins with an empty hand; who will need a block has it before the first request.
        let fresh = now >= self.ends_at && self.ends_at > 0.0 && self.demand >= AHEAD;
        (self.wanted || fresh) && !self.spent_out(now)
    }

    /// Units needed at once, and units to ask for.
    pub(super) fn size(&self, now: Millis, terms: Terms, gateways: f64) -> (u32, u32) {
        let need = self.waiting.len() as u32;
        let target = if self.known {
            (self.ahead(now) * AMPLE + 0.5).floor()
        } else {
            (self.burst / gateways).max(1.0)
        };
        let target = target.min(terms.most) as u32;
        (need, target.saturating_sub(self.block).max(need))
    }

    pub(super) fn gone(&mut self, now: Millis) {
        self.roll(now);
        (self.block, self.left, self.ends_at) = (0, 0, f64::INFINITY);
        self.waiting.iter_mut().for_each(|(_, until)| *until = now);
    }

    /// Takes a share. The window's end is counted from when the draw was sent: it comes early rather than late.
    pub(super) fn take(&mut self, now: Millis, sent: Millis, share: &Share) {
        let ends_at = sent + share.ends_in;
        match share.standing {
            Standing::Slices => {
                self.slices_until = ends_at.max(now + PROBE * 0.25);
                return;
            }
            Standing::Later => {
                self.later_until = now + AGAIN;
                return;
            }
            Standing::Open => {}
        }
        self.settle_slice(now);
        self.slice_debt -= std::mem::take(&mut self.slice_debt_told).min(self.slice_debt);
        if now >= ends_at {
            self.back = self.back.saturating_add(share.granted);
            return;
        }
        if share.window != self.window || now >= self.ends_at {
            self.back = self.back.saturating_add(std::mem::take(&mut self.block));
            (self.got, self.spent, self.ends_at) = (0, 0, ends_at);
        }
        self.window = share.window;
        self.ends_at = self.ends_at.max(ends_at);
        self.left = share.left;
        // Slices of the present window were lent from this block.
        let lent = if now < self.slice_ends { share.granted.min(self.slice_used) } else { 0 };
        self.slice_used -= lent;
        self.slice = self.slice.fract();
        self.got = self.got.saturating_add(share.granted);
        self.spent = self.spent.saturating_add(lent);
        self.block = self.block.saturating_add(share.granted - lent);
    }

    pub(super) fn serve(&mut self, now: Millis, gateways: f64, lot: f64, out: &mut Vec<(u64, Verdict)>) {
        while let Some((request, _)) = self.waiting.front().copied() {
            let verdict = if self.spend() {
                Verdict::Granted
            } else if now < self.slices_until {
                self.open_slice(now, gateways, lot);
                if self.spend_slice() { Verdict::Granted } else { self.refuse(now, lot) }
            } else if self.spent_out(now) {
                self.refuse(now, lot)
            } else {
                self.wanted = true;
                return;
            };
            self.waiting.pop_front();
            out.push((request, verdict));
        }
    }
}
