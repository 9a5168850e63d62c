//! Data planes that have said that they ended, and how many are counted for what.
//!
//! Whoever holds the counts next must know of a departure as well, so each process that learns of one passes it on at
//! once, and tells all that it remembers to each process that it connects to.

use super::*;
use protocol::{Departure, UNDERSTANDS_DEPARTURES};
use quota::Epoch;
use registry::COUNTED_WHILE_SILENT;

/// Data planes divide their slices by as many as there were within this span. One that is cut off goes on with the
/// number that it heard last: that must not be the small one of a moment in which many are started anew.
const SLICES_DIVIDED_OVER: u64 = COUNTED_WHILE_SILENT;
/// The log is told of a smaller fleet only after this long: a data plane that is started anew is back by then.
const SETTLES: u64 = 5000;
/// A process this old has heard of all data planes that there are, or they count no more.
const SETTLED: u64 = 30_000;

impl ControlPlane {
    /// A data plane says on its connection that it has ended, or a process of control that it is about to.
    pub(super) fn on_leave(&mut self, number: u64, now: u64) {
        let Some(hello) = self.peers.get(&number).and_then(|peer| peer.hello.clone()) else { return };
        match hello.plane {
            Plane::DataPlane => self.on_data_plane_leaves(number, &hello, now),
            Plane::ControlPlane => self.on_control_plane_ends(number, &hello),
        }
    }

    fn on_data_plane_leaves(&mut self, number: u64, hello: &Hello, now: u64) {
        let departure = Departure { name: hello.name.clone(), incarnation: hello.life, ago_ms: 0 };
        self.on_departures(vec![departure], now);
        if let Some(peer) = self.peers.get(&number) {
            peer.line.send(&Message::LeaveAccepted);
        }
    }

    /// Data planes have said here or elsewhere that they ended. What is known already changes nothing.
    pub(super) fn on_departures(&mut self, mut departures: Vec<Departure>, now: u64) {
        departures.retain(|departure| self.fleet.departed(now, departure));
        if departures.is_empty() {
            return;
        }
        self.silence_departed();
        self.resize_fleet(now);
        let frame: Rc<[u8]> = protocol::frame(&Message::Departures(departures)).into();
        for peer in self.peers.values().filter(|peer| peer.understands_departures) {
            peer.line.send_frame(frame.clone());
        }
    }

    /// The other end of a connection reads what data planes departed.
    pub(super) fn on_understands_departures(&mut self, number: u64, now: u64) {
        let departures = self.fleet.departures(now);
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.understands_departures = true;
        if !departures.is_empty() {
            peer.line.send(&Message::Departures(departures));
        }
    }

    /// What another process of control is told, that it may tell of departures here.
    pub(super) fn understands_departures() -> Message {
        Message::NotHolder { number: UNDERSTANDS_DEPARTURES }
    }

    /// A data plane gave a sign of life, unless it is one on its way from before its departure.
    pub(super) fn heard_data_plane(&mut self, hello: &Hello, epoch: Epoch, now: u64) {
        if !self.has_departed(hello) {
            self.quota_service.record_contact(now as f64, &hello.name, epoch);
        }
    }

    /// Whether this incarnation has said that it ended.
    pub(super) fn has_departed(&self, hello: &Hello) -> bool {
        self.fleet.has_departed(&hello.name, hello.life)
    }

    /// Departed data planes do not stand in for others of which nothing is heard.
    pub(super) fn silence_departed(&mut self) {
        for name in self.fleet.departed_names() {
            self.quota_service.remove_gateway(name);
        }
    }

    /// The counts go by the number of data planes as it is now.
    pub(super) fn resize_fleet(&mut self, now: u64) {
        let counted = self.counted_fleet(now);
        self.quota_service.set_fleet_size(now as f64, counted);
        let wide = self.fleet.wide_slices(counted);
        self.quota_service.set_oversized_slices(wide);
    }

    /// How many data planes may spend something: slices are held back for those of them that are silent.
    pub(super) fn counted_fleet(&self, now: u64) -> u32 {
        self.fleet.size().max(self.recorded_fleet(now))
    }

    /// By how many data planes each divides its slices.
    pub(super) fn slice_divisor(&self, now: u64) -> u32 {
        self.fleet.size_within(now, SLICES_DIVIDED_OVER).max(self.recorded_fleet(now))
    }

    /// The place of a data plane among those that [`Self::slice_divisor`] counts.
    pub(super) fn number_in_fleet(&self, now: u64, name: &str) -> u32 {
        self.fleet.number_within(now, SLICES_DIVIDED_OVER, name)
    }

    /// The size that the log should say, if another one.
    pub(super) fn fleet_to_record(&self, now: u64) -> u32 {
        self.fleet.size_within(now, SETTLES)
    }

    /// A process that has just started has yet to hear of most data planes: the log knows how many there were, or for a
    /// process without a log the one that it follows.
    fn recorded_fleet(&self, now: u64) -> u32 {
        match &self.node {
            _ if now >= SETTLED => 0,
            Some(_) => self.config_history.fleet(),
            None => self.told.fleet,
        }
    }
}
