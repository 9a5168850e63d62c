//! Data planes that have announced their departure, and the number of data planes that quotas are divided by.
//!
//! A departed data plane spends no quota any more. Any control plane may become a quota holder and must then know of
//! the departure. So each control plane forwards a new departure immediately, and sends all remembered departures on
//! each new connection to a control plane.
//!
//! The fleet is the set of data planes that may spend quota. A data plane without a quota lease spends a slice: its
//! share of each quota, which is the quota divided by the slice divisor, a number of data planes that the control
//! planes publish.

use super::*;
use protocol::{Departure, UNDERSTANDS_DEPARTURES};
use quota::Epoch;
use registry::SILENT_DATA_PLANE_TIMEOUT_MS;

/// A data plane without a quota lease spends a slice: the quota divided by the number of data planes seen within this
/// window (the slice divisor). An isolated data plane keeps the last divisor it received, which must not be a small one
/// from a moment when many data planes restart.
const SLICE_DIVISOR_WINDOW_MS: u64 = SILENT_DATA_PLANE_TIMEOUT_MS;
/// A smaller fleet is recorded in the log only after this long: a restarted data plane is back by then.
const FLEET_SHRINK_DELAY_MS: u64 = 5000;
/// A process that has run for this long knows every data plane that still counts in the fleet.
const FLEET_DISCOVERY_MS: u64 = 30_000;

impl ControlPlane {
    /// A data plane announces on its connection that it has ended, or a control plane that it is shutting down.
    pub(super) fn on_leave(&mut self, connection: u64, now: u64) {
        let Some(hello) = self.peers.get(&connection).and_then(|peer| peer.hello.clone()) else { return };
        match hello.plane {
            Plane::DataPlane => self.on_data_plane_departure(connection, &hello, now),
            Plane::ControlPlane => self.on_control_plane_shutdown(connection, &hello),
        }
    }

    fn on_data_plane_departure(&mut self, connection: u64, hello: &Hello, now: u64) {
        let departure =
            Departure { name: hello.name.clone(), incarnation: hello.process_incarnation, ago_ms: 0 };
        self.on_departures(vec![departure], now);
        if let Some(peer) = self.peers.get(&connection) {
            peer.line.send(&Message::LeaveAccepted);
        }
    }

    /// Data planes have announced their departure, here or at another process. Known departures are ignored.
    pub(super) fn on_departures(&mut self, mut departures: Vec<Departure>, now: u64) {
        departures.retain(|departure| self.fleet.record_departure(now, departure));
        if departures.is_empty() {
            return;
        }
        self.exclude_departed();
        self.resize_fleet(now);
        let frame: Rc<[u8]> = protocol::frame(&Message::Departures(departures)).into();
        for peer in self.peers.values().filter(|peer| peer.supports_departures) {
            peer.line.send_frame(frame.clone());
        }
    }

    /// The peer announces that it understands messages about departed data planes.
    pub(super) fn on_departures_supported(&mut self, connection: u64, now: u64) {
        let departures = self.fleet.departures(now);
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.supports_departures = true;
        if !departures.is_empty() {
            peer.line.send(&Message::Departures(departures));
        }
    }

    /// Announces to another control plane that it may send departures to this process.
    pub(super) fn departures_support() -> Message {
        Message::NotHolder { number: UNDERSTANDS_DEPARTURES }
    }

    /// Registers a sign of life of a data plane, unless the message was sent before the departure of that data plane.
    pub(super) fn on_data_plane_contact(&mut self, hello: &Hello, epoch: Epoch, now: u64) {
        if !self.has_departed(hello) {
            self.quota_service.record_contact(now as f64, &hello.name, epoch);
        }
    }

    /// Whether this incarnation of a data plane has announced its departure.
    pub(super) fn has_departed(&self, hello: &Hello) -> bool {
        self.fleet.has_departed(&hello.name, hello.process_incarnation)
    }

    /// Removes departed data planes from the quota service, which would otherwise reserve slices for them.
    pub(super) fn exclude_departed(&mut self) {
        for name in self.fleet.departed_names() {
            self.quota_service.remove_gateway(name);
        }
    }

    /// Adjusts the quota service to the current number of data planes.
    pub(super) fn resize_fleet(&mut self, now: u64) {
        let counted = self.quota_fleet_size(now);
        self.quota_service.set_fleet_size(now as f64, counted);
        let wide = self.fleet.oversized_slices(counted);
        self.quota_service.set_oversized_slices(wide);
    }

    /// The number of data planes that may spend quota. The quota service reserves a slice of each quota for every
    /// silent data plane, which may still spend its slice.
    pub(super) fn quota_fleet_size(&self, now: u64) -> u32 {
        self.fleet.size().max(self.recorded_fleet_size(now))
    }

    /// The number of data planes by which each data plane divides its slices.
    pub(super) fn slice_divisor(&self, now: u64) -> u32 {
        self.fleet.size_within(now, SLICE_DIVISOR_WINDOW_MS).max(self.recorded_fleet_size(now))
    }

    /// The index of a data plane among those that [`Self::slice_divisor`] counts.
    pub(super) fn fleet_index(&self, now: u64, name: &str) -> u32 {
        self.fleet.index_within(now, SLICE_DIVISOR_WINDOW_MS, name)
    }

    /// The fleet size that the log should record.
    pub(super) fn fleet_size_to_record(&self, now: u64) -> u32 {
        self.fleet.size_within(now, FLEET_SHRINK_DELAY_MS)
    }

    /// The fleet size known from before this process started: a new process does not know most data planes yet.
    /// The size comes from the log, or, without a Raft log, from the last heartbeat.
    fn recorded_fleet_size(&self, now: u64) -> u32 {
        match &self.node {
            _ if now >= FLEET_DISCOVERY_MS => 0,
            Some(_) => self.config_history.fleet_size(),
            None => self.last_heartbeat.fleet_size,
        }
    }
}
