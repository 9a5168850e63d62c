//! Backends: the list, room and ejection of each, and the choice among them.

use super::*;

/// Weight of the newest answer in the share of late ones, and of the newest first total in a plan's odds.
pub(super) const NEWEST: f64 = 0.1;
/// Weight of the newest latency in the usual latency of its class.
pub(super) const USUAL_WEIGHT: f64 = 0.02;
/// A failure is a late answer if it took this many times the usual latency.
pub(super) const LATE_LATENCIES: f64 = 4.0;
/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
pub(super) const ROOM_FIRST: f64 = 3.5;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
pub(super) const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
pub(super) const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
pub(super) const ROOM_STEP: f64 = 0.12;
/// The least room at one backend for one gateway: the sum over all backends still binds.
pub(super) const ROOM_LEAST: f64 = 0.2;
/// Late answers beyond `ROOM_LATE` turn away this many times their share of the fresh requests, never all;
/// those let in without a total as if they were worth `BLIND_RANK` times less.
pub(super) const TAKE_SLOPE: f64 = 2.0;
pub(super) const TAKE_LEAST: f64 = 0.05;
pub(super) const BLIND_RANK: f64 = 40.0;
/// The word of another gateway, whose duty it is to tell, holds for this share of the cold time.
pub(super) const WORD_SHARE: f64 = 0.2;
/// A backend that failed is tried again after this share of the cold time for each failure in a row ...
pub(super) const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
pub(super) const EJECT_TOLD: u32 = 2;
/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
pub(super) const ZONE_BIAS: f64 = 5.0;
/// One of many keeps to so many own backends, others look `STRANGE` times further: connections are few.
pub(super) const OWN_BACKENDS: usize = 5;
pub(super) const STRANGE: f64 = 100.0;
/// A cold backend gets this part of its capacity's share of an even part of all sends. Warm ones are not sent
/// more than they can do, so all gateways together stay under the multiple that fells it.
pub(super) const COLD_MULTIPLE: f64 = 0.8;
/// Of many a cold one gets as much for its capacity as a warm one, at most this part of what fells it.
pub(super) const COLD_PART_MANY: f64 = 0.5;
/// A backend that operators gave back gets its first request after this many ms at the latest.
pub(super) const UNUSED_MOST: Millis = 2500.0;

impl Backend {
    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    pub(super) fn note_latency(&mut self, late: bool) {
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).max(ROOM_LEAST.max(self.least));
        }
    }

    pub(super) fn judged(&self, name: &Name, down: bool) -> Action {
        Action::HealthObserved { backend: name.clone(), zone: self.zone.clone(), down }
    }

    pub(super) fn ready(&self) -> bool {
        self.state == BackendState::Ready && !self.detached
    }

    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    pub(super) fn warmth(&self, now: Millis, settings: &Settings) -> f64 {
        let starts = [self.started, self.returned].into_iter().flatten();
        let Some(started) = starts.reduce(f64::max) else { return 1.0 };
        let age = ((now - started) / settings.warmup_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_capacity + (1.0 - settings.cold_capacity) * age
    }

    /// Guards against dead, stalled and failing backends, which show in outcomes long before the list does:
    /// one that fails at once looks free and would draw the more. Nothing is sent for as long again as the
    /// failure took, where calling off stops no work what was given up still has to be worked through, and
    /// longer with each failure in a row.
    pub(super) fn failed(&mut self, now: Millis, latency: Millis, settings: &Settings) -> bool {
        self.failures += 1;
        let share = EJECT_SHARE * f64::from(self.failures);
        self.eject_until = now + latency.max(settings.warmup_time * share);
        self.failures == EJECT_TOLD
    }
}

impl Gateway {
    pub(super) fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            self.backends.values_mut().for_each(|b| b.state = BackendState::Gone);
        }
        let room = ROOM_FIRST / f64::from(self.settings.gateways);
        for BackendEntry { name, zone, cell, state, started } in list {
            let (salt, near) = (hash(&name), zone == self.settings.zone);
            let backend = self.backends.entry(name).or_default();
            if backend.room == 0.0 || backend.started != started {
                let Backend { detached, returned, sent, out, least, .. } = *backend;
                let rest = Backend { salt, near, least, sent, out, ..Backend::default() };
                *backend = Backend { zone, cell, started, room: room.max(least), detached, returned, ..rest };
            }
            backend.state = state;
        }
        self.choose_own();
        self.drain_queue(out);
    }

    /// Picks this gateway's own backends: a stretch of the list in the order of hashes, which starts where
    /// its number lies among all gateways. So every backend is the own one of equally many, which draws of
    /// each gateway by itself would not give, and one that comes or goes moves most by a place or none.
    pub(super) fn choose_own(&mut self) {
        let (number, gateways) = (self.settings.gateway_index as usize, self.settings.gateways as usize);
        let mut ready: Vec<_> = self.backends.iter_mut().filter(|(_, b)| b.ready()).collect();
        ready.sort_unstable_by_key(|(_, backend)| backend.salt);
        let count = ready.len();
        let start = number * count / gateways.max(1);
        for (at, (_, backend)) in ready.into_iter().enumerate() {
            backend.own = (at + count - start) % count < OWN_BACKENDS;
        }
    }

    /// The operators' word goes before the list's, and may come before the list has named the backend. One
    /// that comes back counts as started just now: nobody tells whether it was restarted meanwhile.
    pub(super) fn on_detach(&mut self, name: Name, detached: bool, out: &mut Vec<Action>) {
        let salt = hash(&name);
        let backend = self.backends.entry(name).or_default();
        backend.salt = salt;
        if std::mem::replace(&mut backend.detached, detached) && !detached {
            backend.room = backend.room.min(ROOM_FIRST / f64::from(self.settings.gateways));
            (backend.returned, backend.failures, backend.eject_until) = (Some(self.now), 0, self.now);
        }
        self.choose_own();
        self.drain_queue(out);
    }

    /// Another gateway, whose duty it is to tell, says that a backend is down, or answers again. Who has just
    /// had an answer believes its own eyes, and no word takes out more than half of all.
    pub(super) fn on_word(&mut self, name: &Name, down: bool, out: &mut Vec<Action>) {
        let (now, holds) = (self.now, self.settings.warmup_time * WORD_SHARE);
        let ready = self.backends.values().filter(|b| b.ready());
        let most = ready.clone().filter(|b| now < b.eject_until).count() * 2 >= ready.count();
        let Some(backend) = self.backends.get_mut(name) else { return };
        if !down {
            (backend.failures, backend.eject_until) = (0, now);
        } else if !most && now > backend.heard + holds {
            backend.eject_until = backend.eject_until.max(now + holds);
        }
        self.drain_queue(out);
    }

    /// What the operators are shown of the backends at this time.
    pub fn pool(&self, now: Millis) -> Pool {
        let listed = self.backends.values().filter(|b| b.state != BackendState::Gone);
        let ejected = listed.clone().filter(|b| b.detached || now < b.eject_until).count();
        let (too_late, retries_denied) = (self.too_late, self.retries_denied);
        Pool { size: listed.count(), ejected, too_late, retries_denied }
    }

    pub(super) fn room(&self) -> f64 {
        self.backends.values().filter(|b| b.ready()).map(|b| b.room).sum()
    }

    /// The backend that should answer first: the one with the fewest requests of this gateway, near if equal.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::Keyed);
        let home = tied.and_then(|(_, home)| self.backends.get(home));
        let (mut out, mut room, mut ready, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        for backend in self.backends.values() {
            out += f64::from(backend.out);
            if backend.ready() {
                (room, ready) = (room + backend.room, ready + 1.0);
                capacity += backend.warmth(self.now, &self.settings);
            }
        }
        if out >= f64::max(room, 1.0) {
            return None;
        }
        let ready = f64::max(ready, 1.0);
        let salt = self.random;
        let far = 1.0 + self.settings.price_cross_zone * ZONE_BIAS;
        let many = self.many();
        // One draw for all cold backends of many gateways: draws for each would hit several at once, and all
        // but one of the hits be lost.
        let mut lot = unit(mix(salt)) * ready;
        let cold_share = if many {
            (self.settings.overload_factor * COLD_PART_MANY).min(ready / f64::max(capacity, 1e-9))
        } else {
            COLD_MULTIPLE * self.take()
        };
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let (group, zone, cell) = (class.dedup_scope, &backend.zone, backend.cell);
            let same = |h: &Backend| if group == DedupScope::Zone { h.zone == *zone } else { h.cell == cell };
            let in_group = group == DedupScope::All || home.is_none_or(same);
            let full = f64::from(backend.out) >= backend.room.ceil();
            let luck = unit(salt ^ backend.salt);
            let warmth = backend.warmth(self.now, &self.settings);
            // The cold budget: by chance its share of an even part, from the first ms. Guards cold backends
            // with no agreement and no warm backend.
            let part = if warmth < 1.0 { warmth * cold_share } else { 0.0 };
            let missed = if many { !(0.0..part).contains(&lot) } else { luck * ready >= part };
            lot -= part;
            let cold = warmth < 1.0 && missed;
            // One request is no load, and who was given back is to be seen in use again.
            let unused = backend.returned.filter(|at| backend.sent <= *at);
            let cold = cold && unused.is_none_or(|at| self.now < at + UNUSED_MOST);
            if !backend.ready() || !in_group || full || cold || self.now < backend.eject_until {
                continue;
            }
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if backend.near { 1.0 } else { far };
            let far = if backend.own || !many { far } else { far * STRANGE };
            let score = if warmth < 1.0 { 0.0 } else { (1.0 + f64::from(backend.out)) * far * draw };
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.chance();
        chosen
    }

    pub(super) fn on_backend(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.out = backend.out.saturating_sub(1);
        let class = self.requests.get(&end.id).map_or(0, |r| r.class);
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if backend.failures >= EJECT_TOLD {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                    out.push(backend.judged(name, false));
                }
                backend.failures = 0;
                let seen = &mut self.class_seen[class];
                *seen += 1.0;
                *usual += (latency - *usual) * USUAL_WEIGHT.max(1.0 / *seen);
                latency > self.settings.classes[class].latency_target * ROOM_SHARE
            }
            Outcome::NeverSent => return,
            // Its client has left; else it was called off as stalled.
            Outcome::CalledOff if !self.requests.contains_key(&end.id) => return,
            Outcome::Full => true,
            // A client with little time left proves nothing of the fleet, one that left nothing at all.
            _ => latency > *usual * LATE_LATENCIES,
        };
        backend.note_latency(late);
        self.late += NEWEST * (f64::from(u8::from(late)) - self.late);
        if matches!(end.outcome, Outcome::Served | Outcome::Error | Outcome::Full) {
            backend.heard = now;
        }
        let lost = end.outcome != Outcome::Served;
        if lost && backend.failed(now, latency, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {EJECT_TOLD} failures in a row")));
        }
        // Full or failing it runs, and others may fare better there.
        if lost && backend.failures >= EJECT_TOLD && !matches!(end.outcome, Outcome::Full | Outcome::Error) {
            out.push(backend.judged(name, true));
        }
    }
}
