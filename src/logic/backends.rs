//! Backends: list, in-flight limits, ejection and choice. A cold backend has just started and is warming up.

use super::*;

/// Weight of the newest answer in `Gateway::late`, and of a customer's first total in `Gateway::plan_odds`.
pub(super) const NEWEST_WEIGHT: f64 = 0.1;
/// Weight of the newest latency in the mean latency of its class.
pub(super) const LATENCY_WEIGHT: f64 = 0.02;
/// A failure counts as a late answer if it took this many times the mean latency.
pub(super) const LATE_FAILURE_LATENCIES: f64 = 4.0;
/// Initial in-flight limit of one backend over all gateways together; later the limit follows latencies.
pub(super) const INITIAL_LIMIT: f64 = 3.5;
/// Answers are late after this share of the latency target; the rest is for the network, queues and variance.
pub(super) const ON_TIME_SHARE: f64 = 0.6;
/// Target share of late answers: the limit of a backend grows below this share and shrinks above it.
pub(super) const LATE_TARGET: f64 = 0.1;
/// Relative change of the limit: a late answer lowers it by nine tenths of this, one in time adds a tenth.
pub(super) const LIMIT_STEP: f64 = 0.12;
/// Minimum limit of one backend for one gateway; the sum of the limits of all backends applies too.
pub(super) const MIN_LIMIT: f64 = 0.2;
/// Load shedding refuses this many times the excess of late answers over `LATE_TARGET`, but never everything.
/// Requests admitted without a total are shed as if worth `UNVERIFIED_FACTOR` times less.
pub(super) const SHED_SLOPE: f64 = 2.0;
pub(super) const MIN_ADMIT_SHARE: f64 = 0.05;
pub(super) const UNVERIFIED_FACTOR: f64 = 40.0;
/// Another gateway's report that a backend is down expires after this share of the warm-up time.
pub(super) const REPORT_TTL_SHARE: f64 = 0.2;
/// Ejection time for each failure in a row, as a share of the warm-up time.
pub(super) const EJECT_SHARE: f64 = 0.02;
/// An ejection is logged and reported at this many failures in a row.
pub(super) const REPORT_AT: u32 = 2;
/// A backend in another zone scores this much worse for each point of the cross-zone price; prices are small.
pub(super) const CROSS_ZONE_BIAS: f64 = 5.0;
/// In a large fleet a gateway prefers this many backends, to open few connections; others score worse.
pub(super) const PREFERRED_BACKENDS: usize = 5;
pub(super) const NON_PREFERRED_FACTOR: f64 = 100.0;
/// A cold backend gets an even part of the requests, times its current share of capacity, times this. Warm
/// backends get no more than their capacity, so all gateways together stay below the cold overload factor.
pub(super) const COLD_LOAD: f64 = 0.8;
/// Large fleet: a cold backend gets up to an even part times its capacity share, `overload_factor` and this.
pub(super) const COLD_LOAD_LARGE_FLEET: f64 = 0.5;
/// A backend that operators put back into use gets its first request within this time, in ms.
pub(super) const MAX_UNUSED_AFTER_ATTACH: Millis = 2500.0;

impl Backend {
    /// Adapts the limit to `LATE_TARGET`: protects backends of unknown capacity from overload of any cause.
    pub(super) fn note_latency(&mut self, late: bool) {
        let used = f64::from(self.in_flight) + 1.0 >= self.limit.floor();
        if late || used {
            let step = LIMIT_STEP * (LATE_TARGET - f64::from(u8::from(late)));
            self.limit = (self.limit * (1.0 + step)).max(MIN_LIMIT.max(self.min_limit));
        }
    }

    pub(super) fn health_observed(&self, name: &Name, down: bool) -> Action {
        Action::HealthObserved { backend: name.clone(), zone: self.zone.clone(), down }
    }

    pub(super) fn ready(&self) -> bool {
        self.state == BackendState::Ready && !self.detached
    }

    /// The minimum share of capacity that a starting backend has by now; the share grows at least linearly.
    pub(super) fn warm_capacity(&self, now: Millis, settings: &Settings) -> f64 {
        let starts = [self.started, self.returned].into_iter().flatten();
        let Some(started) = starts.reduce(f64::max) else { return 1.0 };
        let age = ((now - started) / settings.warmup_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_capacity + (1.0 - settings.cold_capacity) * age
    }

    /// Ejects the backend after a failure. Outcomes reveal dead, stalled and failing backends long before the
    /// list does, and a backend that fails fast looks idle and would attract load. The ejection grows with
    /// each failure and lasts at least as long as the attempt: the work may continue after the call-off.
    pub(super) fn note_failure(&mut self, now: Millis, latency: Millis, settings: &Settings) -> bool {
        self.failures += 1;
        let share = EJECT_SHARE * f64::from(self.failures);
        self.eject_until = now + latency.max(settings.warmup_time * share);
        self.failures == REPORT_AT
    }
}

impl Gateway {
    pub(super) fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            self.backends.values_mut().for_each(|b| b.state = BackendState::Gone);
        }
        let base = INITIAL_LIMIT / f64::from(self.settings.gateways);
        for BackendEntry { name, zone, cell, state, started } in list {
            let (name_hash, same_zone) = (hash(&name), zone == self.settings.zone);
            let backend = self.backends.entry(name).or_default();
            if backend.limit == 0.0 || backend.started != started {
                let Backend { detached, returned, sent, in_flight, min_limit, .. } = *backend;
                let rest = Backend { name_hash, same_zone, min_limit, sent, in_flight, ..Backend::default() };
                *backend =
                    Backend { zone, cell, started, limit: base.max(min_limit), detached, returned, ..rest };
            }
            backend.state = state;
        }
        self.choose_preferred();
        self.drain_queue(out);
    }

    /// Selects this gateway's preferred backends: a range of the list in hash order that starts in proportion
    /// to the gateway's index. Unlike random draws, this makes equally many gateways prefer each backend, and
    /// a backend that is added or removed shifts most ranges by one place or none.
    pub(super) fn choose_preferred(&mut self) {
        let (index, gateways) = (self.settings.gateway_index as usize, self.settings.gateways as usize);
        let mut ready: Vec<_> = self.backends.iter_mut().filter(|(_, b)| b.ready()).collect();
        ready.sort_unstable_by_key(|(_, backend)| backend.name_hash);
        let count = ready.len();
        let start = index * count / gateways.max(1);
        for (place, (_, backend)) in ready.into_iter().enumerate() {
            backend.preferred = (place + count - start) % count < PREFERRED_BACKENDS;
        }
    }

    /// Operators override the list, and may detach a backend before the list names it. An attached backend
    /// counts as started now, since it may have been restarted meanwhile.
    pub(super) fn on_detach(&mut self, name: Name, detached: bool, out: &mut Vec<Action>) {
        let name_hash = hash(&name);
        let backend = self.backends.entry(name).or_default();
        backend.name_hash = name_hash;
        if std::mem::replace(&mut backend.detached, detached) && !detached {
            backend.limit = backend.limit.min(INITIAL_LIMIT / f64::from(self.settings.gateways));
            (backend.returned, backend.failures, backend.eject_until) = (Some(self.now), 0, self.now);
        }
        self.choose_preferred();
        self.drain_queue(out);
    }

    /// Applies another gateway's report that a backend is down or answers again. An answer that this gateway
    /// received recently outweighs the report, and reports never eject more than half of the backends.
    pub(super) fn on_health_report(&mut self, name: &Name, down: bool, out: &mut Vec<Action>) {
        let (now, ttl) = (self.now, self.settings.warmup_time * REPORT_TTL_SHARE);
        let ready = self.backends.values().filter(|b| b.ready());
        let half_ejected = ready.clone().filter(|b| now < b.eject_until).count() * 2 >= ready.count();
        let Some(backend) = self.backends.get_mut(name) else { return };
        if !down {
            (backend.failures, backend.eject_until) = (0, now);
        } else if !half_ejected && now > backend.answered_at + ttl {
            backend.eject_until = backend.eject_until.max(now + ttl);
        }
        self.drain_queue(out);
    }

    /// Figures of the backends and of denied requests, for operators.
    pub fn pool(&self, now: Millis) -> Pool {
        let listed = self.backends.values().filter(|b| b.state != BackendState::Gone);
        let ejected = listed.clone().filter(|b| b.detached || now < b.eject_until).count();
        let (too_late, retries_denied) = (self.too_late, self.retries_denied);
        Pool { size: listed.count(), ejected, too_late, retries_denied }
    }

    pub(super) fn total_limit(&self) -> f64 {
        self.backends.values().filter(|b| b.ready()).map(|b| b.limit).sum()
    }

    /// Chooses the backend with the fewest attempts of this gateway in flight, in its own zone if equal.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let bound = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::Keyed);
        let group_backend = bound.and_then(|(_, name)| self.backends.get(name));
        let (mut in_flight, mut limit, mut ready, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        for backend in self.backends.values() {
            in_flight += f64::from(backend.in_flight);
            if backend.ready() {
                (limit, ready) = (limit + backend.limit, ready + 1.0);
                capacity += backend.warm_capacity(self.now, &self.settings);
            }
        }
        if in_flight >= f64::max(limit, 1.0) {
            return None;
        }
        let ready = f64::max(ready, 1.0);
        let seed = self.random;
        let zone_bias = 1.0 + self.settings.price_cross_zone * CROSS_ZONE_BIAS;
        let large = self.large_fleet();
        // In a large fleet, one random draw covers all cold backends: with a draw for each, several backends
        // could be drawn for the same request, and all but one of these draws would be wasted.
        let mut draw = unit_interval(mix(seed)) * ready;
        let cold_share = if large {
            (self.settings.overload_factor * COLD_LOAD_LARGE_FLEET).min(ready / f64::max(capacity, 1e-9))
        } else {
            COLD_LOAD * self.admit_share()
        };
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let (scope, zone, cell) = (class.dedup_scope, &backend.zone, backend.cell);
            let same = |b: &Backend| if scope == DedupScope::Zone { b.zone == *zone } else { b.cell == cell };
            let in_group = scope == DedupScope::All || group_backend.is_none_or(same);
            let full = f64::from(backend.in_flight) >= backend.limit.ceil();
            let random = unit_interval(seed ^ backend.name_hash);
            let warm = backend.warm_capacity(self.now, &self.settings);
            // Random choice limits a cold backend to its share of the load, from the first ms. This needs no
            // coordination among gateways and no warm backend.
            let part = if warm < 1.0 { warm * cold_share } else { 0.0 };
            let missed = if large { !(0.0..part).contains(&draw) } else { random * ready >= part };
            draw -= part;
            let cold = warm < 1.0 && missed;
            // One request does not overload a cold backend, and operators expect an attached one in use soon.
            let unused_since = backend.returned.filter(|at| backend.sent <= *at);
            let cold = cold && unused_since.is_none_or(|at| self.now < at + MAX_UNUSED_AFTER_ATTACH);
            if !backend.ready() || !in_group || full || cold || self.now < backend.eject_until {
                continue;
            }
            // In a large fleet the score has a random factor, so that gateways try backends in varied orders.
            let jitter = if large { -random.max(1e-12).ln() } else { 1.0 + 0.1 * random };
            let bias = if backend.same_zone { 1.0 } else { zone_bias };
            let bias = if backend.preferred || !large { bias } else { bias * NON_PREFERRED_FACTOR };
            let score = if warm < 1.0 { 0.0 } else { (1.0 + f64::from(backend.in_flight)) * bias * jitter };
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.chance();
        chosen
    }

    pub(super) fn record_outcome(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let class = self.requests.get(&end.id).map_or(0, |r| r.class);
        let mean = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if backend.failures >= REPORT_AT {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                    out.push(backend.health_observed(name, false));
                }
                backend.failures = 0;
                let answers = &mut self.class_answers[class];
                *answers += 1.0;
                *mean += (latency - *mean) * LATENCY_WEIGHT.max(1.0 / *answers);
                latency > self.settings.classes[class].latency_target * ON_TIME_SHARE
            }
            Outcome::NeverSent => return,
            // The client disconnected. If the client still waits, the call-off is due to a stalled attempt.
            Outcome::CalledOff if !self.requests.contains_key(&end.id) => return,
            Outcome::Full => true,
            // An attempt that its client's deadline cut short says little about the load of the backends.
            _ => latency > *mean * LATE_FAILURE_LATENCIES,
        };
        backend.note_latency(late);
        self.late += NEWEST_WEIGHT * (f64::from(u8::from(late)) - self.late);
        if matches!(end.outcome, Outcome::Served | Outcome::Error | Outcome::Full) {
            backend.answered_at = now;
        }
        let failed = end.outcome != Outcome::Served;
        if failed && backend.note_failure(now, latency, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {REPORT_AT} failures in a row")));
        }
        // A backend that answers `Full` or `Error` is alive and may serve other gateways: no report as down.
        if failed && backend.failures >= REPORT_AT && !matches!(end.outcome, Outcome::Full | Outcome::Error) {
            out.push(backend.health_observed(name, true));
        }
    }
}
