//! Updates sent to subscribers and to other control planes.
//!
//! A subscriber is a data plane, or a control plane without a Raft log. Other control planes receive the states of
//! backends and the lists of connected data planes, so that every process knows all of them.

use super::*;
use failure_detector::MemberState;
use protocol::{Departure, Phase};

impl ControlPlane {
    pub(super) fn heartbeat_for(&self, connection: u64, now: u64) -> Heartbeat {
        let (leader, term, fresh) = self.leader(now);
        let (assignment, other_holders) = self.deputies(term);
        let name = self.peers.get(&connection).and_then(|p| p.hello.as_ref()).map_or("", |h| h.name.as_str());
        Heartbeat {
            leader: leader.map(|l| l.to_string()),
            term,
            fresh,
            assignment,
            other_holders,
            version: self.config_history.version(),
            fleet_size: self.slice_divisor(now).max(1),
            data_plane_index: self.fleet_index(now, name),
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: u64) {
        let subscribers: Vec<u64> =
            self.peers.iter().filter(|(_, p)| p.is_subscriber).map(|(n, _)| *n).collect();
        for connection in subscribers {
            let heartbeat = self.heartbeat_for(connection, now);
            if let Some(peer) = self.peers.get(&connection) {
                peer.line.send(&Message::Heartbeat(heartbeat));
            }
        }
        // A control plane without a Raft log subscribes only to control planes with a Raft log. Two control planes
        // without a log that subscribed to each other would send each other's outdated updates back and forth.
        if self.node.is_none() {
            let have = self.config_encoder.config_id();
            for address in self.quorum_incarnations.keys() {
                if let Some(line) = self.line_to(address) {
                    line.send(&Message::Follow { have });
                }
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: u64) {
        let is_newer = heartbeat.fresh && heartbeat.term >= self.last_heartbeat.term;
        if self.node.is_none()
            && heartbeat.leader.is_some()
            && (is_newer || now > self.last_heartbeat_at + LEADER_REPORT_TTL_MS)
        {
            let known = (self.last_heartbeat.term, self.last_heartbeat.assignment);
            // Heartbeats of two control planes may arrive out of order, so an older holder assignment is ignored.
            if (heartbeat.term, heartbeat.assignment) >= known || heartbeat.term != known.0 {
                (self.last_heartbeat, self.last_heartbeat_at) = (heartbeat, now);
            }
        }
    }

    pub(super) fn on_config_snapshot(&mut self, config_snapshot: ConfigSnapshot) {
        if self.node.is_none() && config_snapshot.version > self.config_history.version() {
            let base = self.config_history.version();
            let change = Change {
                base,
                version: config_snapshot.version,
                digest: [0; 32],
                body: config_snapshot.body,
            };
            let verdict = self.config_history.apply(LogPosition::default(), change);
            let now = self.now();
            self.event_log.on_verdict(now, config_snapshot.version, verdict);
            self.on_config_changed();
        }
    }

    /// Handles a configuration sent as a delta. If the delta does not apply here, requests the whole configuration.
    pub(super) fn on_config_delta(&mut self, connection: u64, config_delta: &ConfigDelta) {
        if self.node.is_some() || config_delta.version <= self.config_history.version() {
            return;
        }
        match config_snapshots::rebuild(self.config_history.body_of(config_delta.base), config_delta) {
            Ok(config_snapshot) => self.on_config_snapshot(config_snapshot),
            Err(error) => {
                spdlog::warn!("{}", error, kv: { step = "config_delta" });
                if let Some(peer) = self.peers.get(&connection) {
                    peer.line.send(&Message::SnapshotRequest);
                }
            }
        }
    }

    /// Sends the newest configuration to a subscriber that has another one.
    pub(super) fn send_config_snapshot(&mut self, connection: u64) {
        // The encoder does not have the newest configuration of the history yet; `on_config_changed` sends that
        // configuration to all subscribers shortly.
        if self.config_changed {
            return;
        }
        let (Some(body), Some(peer)) = (self.config_history.body(), self.peers.get_mut(&connection)) else {
            return;
        };
        if peer.held.version >= self.config_history.version() {
            return;
        }
        let frame =
            self.config_encoder.frame(peer.held, self.config_history.body_of(peer.held.version), body);
        peer.held = self.config_encoder.config_id();
        peer.line.send_frame(frame);
    }

    pub(super) fn on_snapshot_request(&mut self, connection: u64) {
        if let (Some(body), Some(peer)) = (self.config_history.body(), self.peers.get_mut(&connection)) {
            if self.config_changed {
                peer.held = ConfigId::default();
                return;
            }
            peer.held = self.config_encoder.config_id();
            peer.line.send_frame(self.config_encoder.snapshot_frame(body));
        }
    }

    pub(super) fn gossip_round(&mut self, now: u64) {
        let heartbeats = self.register.take_heartbeats();
        if !heartbeats.is_empty() {
            self.send_to_control_planes(&Message::BackendHeartbeats(heartbeats));
        }
        let (.., current) = self.leader(now);
        if !current {
            self.register.disregard_silence(now);
        }
        let swept = self.register.sweep(now);
        self.publish_backends(swept.overdue, Origin::Silence);
        self.publish_silent_backends(now, swept.silent);
        self.maintain_voters(now);
        self.count_data_planes(now);
        self.apply_neighbor_watch(now);
        self.maintain_directory(now);
        self.send_to_control_planes(&Message::ControlPlanes(self.connected_addresses(now)));
        self.fleet.sweep(now);
        // An isolated or newly started process may know only few data planes. Its low count must not become the slice
        // divisor, since a smaller divisor enlarges the slices.
        if current {
            self.fleet.set_slice_divisor(now, self.slice_divisor(now));
        }
        if !self.warmed_up && now >= WARMUP_MS {
            self.warmed_up = true;
            self.send_all_active_backends(now);
        }
        self.event_log.on_data_planes(now, self.fleet.incarnations());
        self.resize_fleet(now);
    }

    /// Counts the data planes connected here and those that connected control planes report.
    fn count_data_planes(&mut self, now: u64) {
        let mut data_planes = self.local_data_planes(now);
        let reported = self.peers.values().filter(|peer| now < peer.last_received_at + PEER_TIMEOUT_MS);
        for (name, incarnation) in data_planes.iter().chain(reported.flat_map(|peer| &peer.data_planes)) {
            self.fleet.record_contact(now, name, *incarnation);
        }
        data_planes.sort_unstable();
        if data_planes != self.last_sent_data_planes.0
            || now >= self.last_sent_data_planes.1 + DATA_PLANES_RESEND_INTERVAL_MS
        {
            self.send_to_control_planes(&Message::DataPlanes(data_planes.clone()));
            self.last_sent_data_planes = (data_planes, now);
        }
    }

    /// Applies the results of the UDP failure detector between neighbouring processes. A data plane that its neighbours
    /// report as dead stays in the fleet until its silence times out: it may only be isolated from the neighbours and
    /// still spend quota. A data plane that announced its departure leaves the fleet at once.
    fn apply_neighbor_watch(&mut self, now: u64) {
        let Some(neighbor_watch) = &self.neighbor_watch else { return };
        if self
            .peers
            .values()
            .any(|peer| peer.hello.is_some() && now < peer.last_received_at + PEER_TIMEOUT_MS)
        {
            neighbor_watch.record_contact();
        }
        if neighbor_watch.is_isolated() {
            return;
        }
        let (fleet, mut departures) = (&mut self.fleet, Vec::new());
        neighbor_watch.for_each_member(|report| match report.state {
            MemberState::Alive if report.identity.data_plane => {
                fleet.record_contact(now, &report.identity.name, report.identity.start_id)
            }
            MemberState::Left if report.identity.data_plane => {
                let (name, incarnation) = (report.identity.name.clone(), report.identity.start_id);
                departures.push(Departure { name, incarnation, ago_ms: 0 });
            }
            _ => {}
        });
        self.on_departures(departures, now);
    }

    pub(super) fn publish_backends(&mut self, backends: Vec<Backend>, origin: Origin<'_>) {
        if !backends.is_empty() {
            let now = self.now();
            self.event_log.on_backends(now, &backends, origin);
            let urgent = self.subscriber_batch.add(backends);
            self.send_backends_to_subscribers(urgent);
        }
    }

    /// Tells the subscribers that backends count as silent here, by a complete list without them: a later report
    /// brings a missing backend back, but not one whose end was reported.
    fn publish_silent_backends(&mut self, now: u64, silent: Vec<Backend>) {
        if silent.is_empty() {
            return;
        }
        let ended: Vec<Backend> =
            silent.into_iter().map(|backend| Backend { phase: Phase::Gone, ..backend }).collect();
        self.event_log.on_backends(now, &ended, Origin::Silence);
        self.send_all_active_backends(now);
    }

    fn send_all_active_backends(&self, now: u64) {
        self.send_to_subscribers(&Message::Backends {
            is_complete: true,
            backends: self.register.active(now),
        });
    }

    fn send_backends_to_subscribers(&self, backends: Vec<Backend>) {
        if !backends.is_empty() {
            self.send_to_subscribers(&Message::Backends { is_complete: false, backends });
        }
    }

    fn send_backends_to_control_planes(&self, backends: Vec<Backend>) {
        if !backends.is_empty() {
            self.send_to_control_planes(&Message::Backends { is_complete: false, backends });
        }
    }

    /// Publishes a change caused by a backend's own call to subscribers and other control planes.
    pub(super) fn publish_called_backends(&mut self, backends: Vec<Backend>) {
        let urgent = self.control_plane_batch.add(backends.clone());
        self.send_backends_to_control_planes(urgent);
        self.publish_backends(backends, Origin::Call);
    }

    /// Sends the batched changes of backends.
    pub(super) fn flush_backend_batches(&mut self) {
        let (for_control_planes, for_subscribers) =
            (self.control_plane_batch.take(), self.subscriber_batch.take());
        self.send_backends_to_control_planes(for_control_planes);
        self.send_backends_to_subscribers(for_subscribers);
    }

    /// A newer configuration is in force.
    pub(super) fn on_config_changed(&mut self) {
        let Some(body) = self.config_history.body() else { return };
        self.config = Config::parse(body).ok();
        self.config_encoder = ConfigEncoder::new(self.config_history.version(), body);
        let subscribers: Vec<u64> =
            self.peers.iter().filter(|(_, p)| p.is_subscriber).map(|(n, _)| *n).collect();
        for connection in subscribers {
            self.send_config_snapshot(connection);
        }
        let (now, quotas) = (self.now(), self.quotas());
        self.quota_service.set_quotas(now as f64, quotas);
    }

    pub(super) fn quotas(&self) -> Vec<Quota> {
        let tenants = self.config.iter().filter_map(|c| c.tenants.as_ref()).flat_map(|t| t.values());
        tenants
            .map(|t| Quota { tenant: t.label.to_string(), rate_per_s: t.rate_per_s, burst: t.burst_size })
            .collect()
    }
}
