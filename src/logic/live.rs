//! Settings that change while a gateway runs: what it has learned and holds stays.

use super::*;

/// How many requests all gateways together may keep out at a backend for each that it works on.
const SLOTS_ROOM: f64 = 2.0;

impl Gateway {
    /// Adds a class, unless there is one of that name. Classes are never taken away: requests name them by place.
    pub fn add_class(&mut self, class: Class) {
        if self.settings.classes.iter().all(|known| known.name != class.name) {
            self.settings.classes.push(class);
            self.class_latency.push(0.0);
            self.class_seen.push(0.0);
        }
    }

    /// Backends that are gone and have nothing out are remembered no more: lives come and go as long as this one lasts.
    pub fn remove_gone_backends(&mut self) {
        self.backends.retain(|_, backend| backend.state != BackendState::Gone || backend.out > 0);
    }

    /// There are so many gateways from now on, of which this one has that number. Room at a backend is this gateway's
    /// part of what all keep out there, so it shrinks and grows with the parts.
    pub fn resize(&mut self, gateways: u32, number: u32) {
        let gateways = gateways.max(1);
        let part = f64::from(self.settings.gateways) / f64::from(gateways);
        (self.settings.gateways, self.settings.gateway_index) = (gateways, number.min(gateways - 1));
        for backend in self.backends.values_mut().filter(|backend| backend.room > 0.0) {
            backend.least *= part;
            backend.room = (backend.room * part).max(ROOM_LEAST.max(backend.least));
        }
        self.retries = self.retries.min(retry_most(&self.settings));
        self.choose_own();
    }

    /// A backend works on so many requests at once. All gateways together may always keep that many out there, and some
    /// more: what is waited for there is shorter than a way back to the client, and no gateway sees the others' share.
    pub fn set_backend_slots(&mut self, name: &Name, slots: u32) {
        let gateways = f64::from(self.settings.gateways);
        if let Some(backend) = self.backends.get_mut(name) {
            let told = std::mem::replace(&mut backend.least, f64::from(slots) * SLOTS_ROOM / gateways);
            // What was taken for its room before it told is worth less than its own word.
            backend.room = if told > 0.0 { backend.room.max(backend.least) } else { backend.least };
        }
    }
}
