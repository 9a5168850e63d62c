//! What followers and other control planes are told, and when.

use super::*;
use failure_detector::State;
use protocol::Departure;

impl ControlPlane {
    pub(super) fn heartbeat_for(&self, number: u64, now: u64) -> Heartbeat {
        let (leader, epoch, fresh) = self.leader(now);
        let (assignment, deputies) = self.deputies(epoch);
        let name = self.peers.get(&number).and_then(|p| p.hello.as_ref()).map_or("", |h| h.name.as_str());
        Heartbeat {
            leader: leader.map(|l| l.to_string()),
            epoch,
            fresh,
            assignment,
            deputies,
            version: self.config_history.version(),
            fleet: self.slice_divisor(now).max(1),
            number: self.number_in_fleet(now, name),
        }
    }

    pub(super) fn heartbeat(&mut self, now: u64) {
        let followers: Vec<u64> = self.peers.iter().filter(|(_, p)| p.follows).map(|(n, _)| *n).collect();
        for number in followers {
            let heartbeat = self.heartbeat_for(number, now);
            if let Some(peer) = self.peers.get(&number) {
                peer.line.send(&Message::Heartbeat(heartbeat));
            }
        }
        // A control plane without a log follows those that have one, and only those: two that followed each other would send
        // each other's news of old round in a circle.
        if self.node.is_none() {
            let have = self.config_encoder.held();
            for address in self.incarnations.keys() {
                if let Some(line) = self.line_to(address) {
                    line.send(&Message::Follow { have });
                }
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: u64) {
        let newer = heartbeat.fresh && heartbeat.epoch >= self.told.epoch;
        if self.node.is_none() && heartbeat.leader.is_some() && (newer || now > self.told_at + WORD) {
            let known = (self.told.epoch, self.told.assignment);
            // Two that are followed may tell of assignments in either order.
            if (heartbeat.epoch, heartbeat.assignment) >= known || heartbeat.epoch != known.0 {
                (self.told, self.told_at) = (heartbeat, now);
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
            let verdict = self.config_history.apply(Place::default(), change);
            let now = self.now();
            self.watch.change(now, config_snapshot.version, verdict);
            self.renewed();
        }
    }

    /// A configuration as a difference. Whoever sent one that makes nothing here is asked for the whole.
    pub(super) fn on_config_delta(&mut self, number: u64, config_delta: &ConfigDelta) {
        if self.node.is_some() || config_delta.version <= self.config_history.version() {
            return;
        }
        match config_snapshots::rebuild(self.config_history.body_of(config_delta.base), config_delta) {
            Ok(config_snapshot) => self.on_config_snapshot(config_snapshot),
            Err(unfit) => {
                spdlog::warn!("{}", unfit, kv: { step = "config_delta" });
                if let Some(peer) = self.peers.get(&number) {
                    peer.line.send(&Message::Whole);
                }
            }
        }
    }

    /// The newest configuration goes to a follower that has another one.
    pub(super) fn send_config_snapshot(&mut self, number: u64) {
        // The history may be ahead of what is sent: then all followers are told shortly.
        if self.changed {
            return;
        }
        let (Some(body), Some(peer)) = (self.config_history.body(), self.peers.get_mut(&number)) else {
            return;
        };
        if peer.has.version >= self.config_history.version() {
            return;
        }
        let frame = self.config_encoder.frame(peer.has, self.config_history.body_of(peer.has.version), body);
        peer.has = self.config_encoder.held();
        peer.line.send_frame(frame);
    }

    pub(super) fn on_whole(&mut self, number: u64) {
        if let (Some(body), Some(peer)) = (self.config_history.body(), self.peers.get_mut(&number)) {
            if self.changed {
                peer.has = Held::default();
                return;
            }
            peer.has = self.config_encoder.held();
            peer.line.send_frame(self.config_encoder.whole(body));
        }
    }

    pub(super) fn round(&mut self, now: u64) {
        let heard = self.register.round();
        if !heard.is_empty() {
            self.to_control_planes(&Message::Heard(heard));
        }
        let changed = self.register.sweep(now);
        self.tell_backends(changed, Origin::Silence);
        self.tend_voters(now);
        self.count_data_planes(now);
        self.look_round(now);
        self.tend_directory(now);
        self.to_control_planes(&Message::ControlPlanes(self.connected_cards(now)));
        self.fleet.sweep(now);
        let (.., current) = self.leader(now);
        // A process that is behind may know of few, as one that has just started does; by its word no slice grows.
        if current {
            self.fleet.divides_by(now, self.slice_divisor(now));
        }
        if !self.grown && now >= YOUNG {
            self.grown = true;
            self.to_followers(&Message::Backends { whole: true, backends: self.register.all(now) });
        }
        self.watch.data_planes(now, self.fleet.incarnations());
        self.resize_fleet(now);
    }

    /// DataPlanes that are heard here, and those of which other control planes say so: their word stands while they are heard.
    fn count_data_planes(&mut self, now: u64) {
        let mut data_planes = self.data_planes_here(now);
        let told = self.peers.values().filter(|peer| now < peer.heard + PEER_SILENT);
        for (name, life) in data_planes.iter().chain(told.flat_map(|peer| &peer.data_planes)) {
            self.fleet.heard(now, name, *life);
        }
        data_planes.sort_unstable();
        if data_planes != self.told_data_planes.0 || now >= self.told_data_planes.1 + DATA_PLANES_AGAIN {
            self.to_control_planes(&Message::DataPlanes(data_planes.clone()));
            self.told_data_planes = (data_planes, now);
        }
    }

    /// Takes in what the watch of the neighbours knows of data planes. Of a death only its witnesses are known: who is cut off
    /// from them may go on spending, and counts on as one that is not heard. Who said that it ends does not.
    fn look_round(&mut self, now: u64) {
        let Some(neighbor_watch) = &self.neighbor_watch else { return };
        if self.peers.values().any(|peer| peer.hello.is_some() && now < peer.heard + PEER_SILENT) {
            neighbor_watch.in_contact();
        }
        if neighbor_watch.is_isolated() {
            return;
        }
        let (fleet, mut departures) = (&mut self.fleet, Vec::new());
        neighbor_watch.each(|word| match word.state {
            State::Here if word.card.data_plane => fleet.heard(now, &word.card.name, word.card.life),
            State::Left if word.card.data_plane => {
                let (name, incarnation) = (word.card.name.clone(), word.card.life);
                departures.push(Departure { name, incarnation, ago_ms: 0 });
            }
            _ => {}
        });
        self.on_departures(departures, now);
    }

    pub(super) fn tell_backends(&mut self, backends: Vec<Backend>, origin: Origin<'_>) {
        if !backends.is_empty() {
            let now = self.now();
            self.watch.backends(now, &backends, origin);
            let urgent = self.for_followers.add(backends);
            self.backends_to_followers(urgent);
        }
    }

    fn backends_to_followers(&self, backends: Vec<Backend>) {
        if !backends.is_empty() {
            self.to_followers(&Message::Backends { whole: false, backends });
        }
    }

    fn backends_to_control_planes(&self, backends: Vec<Backend>) {
        if !backends.is_empty() {
            self.to_control_planes(&Message::Backends { whole: false, backends });
        }
    }

    /// A backend's own call changes what is known of it: all are told.
    pub(super) fn tell_called_backends(&mut self, backends: Vec<Backend>) {
        let urgent = self.for_control_planes.add(backends.clone());
        self.backends_to_control_planes(urgent);
        self.tell_backends(backends, Origin::Call);
    }

    /// Changes that could wait are told together.
    pub(super) fn tell_waiting_backends(&mut self) {
        let (for_control_planes, for_followers) = (self.for_control_planes.take(), self.for_followers.take());
        self.backends_to_control_planes(for_control_planes);
        self.backends_to_followers(for_followers);
    }

    /// A newer configuration is in force.
    pub(super) fn renewed(&mut self) {
        let Some(body) = self.config_history.body() else { return };
        self.config = Config::parse(body).ok();
        self.config_encoder = ConfigEncoder::new(self.config_history.version(), body);
        let followers: Vec<u64> = self.peers.iter().filter(|(_, p)| p.follows).map(|(n, _)| *n).collect();
        for number in followers {
            self.send_config_snapshot(number);
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
