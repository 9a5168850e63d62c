//! Settings that change while a gateway runs; leases and learned values are kept.

use super::*;

/// In-flight limit of a backend, over all gateways, for each request that it can work on concurrently.
const LIMIT_PER_SLOT: f64 = 2.0;

impl Gateway {
    /// Adds a class, unless a class of that name exists. Classes are never removed, since requests refer to them by
    /// index.
    pub fn add_class(&mut self, class: Class) {
        if self.settings.classes.iter().all(|known| known.name != class.name) {
            self.settings.classes.push(class);
            self.class_latency.push(0.0);
            self.class_answers.push(0.0);
        }
    }

    /// Removes backends that are gone and have no attempts in flight. Without this, the state of every backend that
    /// ever ran would accumulate.
    pub fn remove_gone_backends(&mut self) {
        self.backends.retain(|_, backend| backend.state != BackendState::Gone || backend.in_flight > 0);
    }

    /// Changes the number of gateways and this gateway's index. The limit of a backend is this gateway's part of the
    /// limit of all gateways, so it is scaled.
    pub fn resize(&mut self, gateways: u32, index: u32) {
        let gateways = gateways.max(1);
        let part = f64::from(self.settings.gateways) / f64::from(gateways);
        (self.settings.gateways, self.settings.gateway_index) = (gateways, index.min(gateways - 1));
        for backend in self.backends.values_mut().filter(|backend| backend.limit > 0.0) {
            backend.min_limit *= part;
            backend.limit = (backend.limit * part).max(MIN_LIMIT.max(backend.min_limit));
        }
        self.retry_budget = self.retry_budget.min(max_retry_budget(&self.settings));
        self.choose_preferred();
    }

    /// Sets how many requests a backend can work on concurrently. All gateways together may always have
    /// `LIMIT_PER_SLOT` times as many in flight: a queue at the backend delays a request less than a round trip to its
    /// client would, and a gateway does not know how many requests the other gateways have in flight.
    pub fn set_backend_slots(&mut self, name: &Name, slots: u32) {
        let gateways = f64::from(self.settings.gateways);
        if let Some(backend) = self.backends.get_mut(name) {
            let previous =
                std::mem::replace(&mut backend.min_limit, f64::from(slots) * LIMIT_PER_SLOT / gateways);
            // A limit learned before the first announcement of slots is less reliable than the announcement.
            backend.limit =
                if previous > 0.0 { backend.limit.max(backend.min_limit) } else { backend.min_limit };
        }
    }
}
