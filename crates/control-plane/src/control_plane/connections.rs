//! Connections with other processes, and the dispatch of incoming messages.
//!
//! A peer is the process at the other end of a connection. It identifies itself with a [`Hello`]; a data plane, or
//! a control plane without a Raft log, may then subscribe to updates.

use super::*;
use protocol::{UNDERSTANDS_DEPARTURES, UNDERSTANDS_DRAINS};

impl ControlPlane {
    pub(super) fn on_opened(&mut self, connection: u64, line: FrameSender, dialed: Option<SocketAddr>) {
        let now = self.now();
        if let Some(to) = dialed {
            self.dialing.remove(&to);
            line.send(&Message::Hello(self.settings.me.clone()));
        }
        let peer = Peer {
            line,
            hello: None,
            dialed,
            is_subscriber: false,
            held: ConfigId::default(),
            last_received_at: now,
            opened_at: now,
            data_planes: Vec::new(),
            supports_departures: false,
            is_shutting_down: false,
        };
        self.peers.insert(connection, peer);
        if dialed.is_some() {
            self.send_full_state(connection, now);
        }
    }

    pub(super) fn on_closed(&mut self, connection: u64, error: &ConnectionError) {
        let Some(peer) = self.peers.remove(&connection) else {
            // The connection attempt failed.
            let until = self.now() + REDIAL_DELAY_MS + self.random_below(REDIAL_DELAY_MS);
            if let Some(dialing) = self.dialing.values_mut().find(|(dialing, _)| *dialing == connection) {
                dialing.1 = until;
            }
            let now = self.now();
            if let Some(left_out) = self.event_log.allow_line("dial", now) {
                spdlog::debug!("{}", error, kv: { step = "dial", left_out });
            }
            return;
        };
        let name = peer.hello.map_or_else(String::new, |hello| hello.name);
        spdlog::debug!("{}", error, kv: { step = "line", peer = name.as_str() });
    }

    /// The connection that this process dialed to a control plane.
    pub(super) fn line_to(&self, address: &SocketAddr) -> Option<&FrameSender> {
        let dialed = self.peers.values().find(|p| p.dialed.as_ref() == Some(address) && !p.line.is_lost());
        dialed.map(|p| &p.line)
    }

    /// Same as [`Self::line_to`], together with the id of the connection.
    pub(super) fn dialed_connection(&self, address: &SocketAddr) -> Option<(u64, FrameSender)> {
        let matches = |peer: &Peer| peer.dialed.as_ref() == Some(address) && !peer.line.is_lost();
        let (connection, peer) = self.peers.iter().find(|(_, peer)| matches(peer))?;
        Some((*connection, peer.line.clone()))
    }

    pub(super) fn other_control_planes(&self) -> BTreeSet<SocketAddr> {
        let known = self.directory.addresses().chain(&self.settings.seeds).copied();
        // Includes the voters from the Raft log: after a restart the seeds in the settings may be outdated, and no
        // running process may be left that reports the current voters.
        let voters = self.node.iter().flat_map(|node| node.members());
        let voters = voters.filter_map(|voter| voter.address.parse().ok());
        known.chain(voters).filter(|address| *address != self.settings.address).collect()
    }

    /// Closes stale connections and dials missing ones. Each control plane dials its own connection to every other
    /// control plane.
    pub(super) fn maintain_connections(&mut self, now: u64) {
        let stale: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.line.is_lost() || p.hello.is_none() && p.dialed.is_none() && now > p.opened_at + 3000
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in stale {
            self.peers.remove(&connection);
        }
        self.dialing.retain(|_, (_, until)| now < *until);
        for to in self.other_control_planes() {
            if self.line_to(&to).is_some() || self.dialing.contains_key(&to) {
                continue;
            }
            let connection = (self.connection_ids)();
            self.dialing.insert(to, (connection, now + DIAL_TIMEOUT_MS));
            self.connector.connect(connection, to, self.commands.clone());
        }
    }

    pub(super) fn send_to_control_planes(&self, message: &Message) {
        let frame: Rc<[u8]> = protocol::frame(message).into();
        for peer in self.peers.values().filter(|p| p.dialed.is_some()) {
            peer.line.send_frame(frame.clone());
        }
    }

    pub(super) fn send_to_subscribers(&self, message: &Message) {
        let frame: Rc<[u8]> = protocol::frame(message).into();
        for peer in self.peers.values().filter(|p| p.is_subscriber) {
            peer.line.send_frame(frame.clone());
        }
    }

    /// The addresses of all control planes, for subscribers: they switch to another one when this one is isolated.
    pub(super) fn control_plane_addresses(&self) -> Vec<ControlPlaneAddress> {
        self.addresses_of(self.directory.all())
    }

    /// The addresses of recently connected control planes, which other control planes receive.
    pub(super) fn connected_addresses(&self, now: u64) -> Vec<ControlPlaneAddress> {
        self.addresses_of(self.directory.recently_connected(now))
    }

    fn addresses_of<'a>(
        &'a self, known: impl Iterator<Item = (&'a SocketAddr, &'a str)>,
    ) -> Vec<ControlPlaneAddress> {
        let me = (&self.settings.address, self.settings.me.zone.as_str());
        let to_address = |(address, zone): (&SocketAddr, &str)| ControlPlaneAddress {
            address: address.to_string(),
            zone: zone.to_owned(),
        };
        let addresses: BTreeSet<_> = known.chain([me]).map(to_address).collect();
        addresses.into_iter().collect()
    }

    /// Records which control planes are connected, and forgets control planes that have had no connection for long.
    pub(super) fn maintain_directory(&mut self, now: u64) {
        let alive = self
            .peers
            .values()
            .filter(|peer| !peer.line.is_lost() && now < peer.last_received_at + PEER_TIMEOUT_MS);
        for hello in alive.filter_map(|peer| peer.hello.as_ref()) {
            if hello.plane == Plane::ControlPlane
                && let Ok(address) = hello.address.parse()
            {
                self.directory.mark_connected(now, &address);
            }
        }
        self.directory.sweep(now);
        self.quorum_incarnations.retain(|address, _| self.directory.contains(address));
    }

    /// Sends everything that another control plane needs to know when a connection opens.
    pub(super) fn send_full_state(&self, connection: u64, now: u64) {
        let Some(peer) = self.peers.get(&connection) else { return };
        peer.line.send(&Message::ControlPlanes(self.connected_addresses(now)));
        peer.line
            .send(&Message::Backends { is_complete: false, backends: self.register.all_including_gone(now) });
        peer.line.send(&Message::DataPlanes(self.local_data_planes(now)));
    }

    pub(super) fn local_data_planes(&self, now: u64) -> Vec<(String, u64)> {
        let subscribers =
            self.peers.values().filter(|p| p.is_subscriber && now < p.last_received_at + PEER_TIMEOUT_MS);
        let data_planes = subscribers.filter_map(|p| p.hello.as_ref());
        let data_planes = data_planes.filter(|h| h.plane == Plane::DataPlane && !self.has_departed(h));
        data_planes.map(|h| (h.name.clone(), h.process_incarnation)).collect()
    }

    pub(super) fn on_message(&mut self, connection: u64, message: Message) {
        let now = self.now();
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.last_received_at = now;
        self.messages_received += 1;
        match message {
            Message::Hello(hello) => self.on_hello(connection, hello, now),
            Message::Welcome(hello) => self.register_peer(&hello),
            Message::Log { incarnation, message } => self.on_log_message(connection, incarnation, &message),
            Message::ControlPlanes(control_planes) => {
                for control_plane in control_planes {
                    if let Ok(address) = control_plane.address.parse() {
                        self.learn_control_plane(address, control_plane.zone);
                    }
                }
            }
            Message::Follow { have } => self.on_follow(connection, have, now),
            Message::FreshnessQuery(question) => self.on_freshness_question(connection, question, now),
            Message::Backends { backends, .. } => {
                // A control plane that this process dialed has sent no name, so its address identifies the origin.
                let address = peer.dialed.map_or_else(String::new, |address| address.to_string());
                let origin = peer.hello.as_ref().map_or(address, |hello| hello.name.clone());
                let changed = self.register.merge_reports(now, backends);
                self.publish_backends(changed, Origin::Peer(&origin));
            }
            Message::BackendHeartbeats(heartbeats) => {
                let recovered = self.register.merge_heartbeats(now, &heartbeats);
                self.publish_backends(recovered, Origin::Silence);
            }
            Message::DataPlanes(data_planes) => {
                data_planes
                    .iter()
                    .for_each(|(name, incarnation)| self.fleet.record_contact(now, name, *incarnation));
                peer.data_planes = data_planes;
                self.resize_fleet(now);
            }
            Message::Leave => self.on_leave(connection, now),
            Message::Departures(departures) => self.on_departures(departures, now),
            Message::QuotaKeepalive { epoch } => {
                if let Some(hello) = peer.hello.clone() {
                    self.on_data_plane_contact(&hello, epoch, now);
                }
            }
            Message::HolderLeaseRequest { number: offer, answered, request_rate } => {
                self.on_holder_lease_request(connection, offer, answered, request_rate, now)
            }
            Message::HolderLease { number: offer, assignment, lease_ms } => {
                self.on_holder_lease(offer, &assignment, lease_ms, now)
            }
            Message::HolderAssignment(assignment) => self.on_assignment(&assignment, now),
            Message::Handover(handover) => self.on_handover(handover, now),
            Message::LeaseRequest(draw) => self.on_lease_request(connection, draw, now),
            Message::ForwardedCall { token, call } => {
                self.on_leader_call(Requester::Remote { peer: connection, token }, call, now)
            }
            Message::ForwardedReply { token, status, body } => {
                self.on_forwarded_reply(connection, token, Reply { status, body })
            }
            // Updates of another control plane, used by processes without a Raft log.
            Message::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
            Message::ConfigSnapshot(config_snapshot) => self.on_config_snapshot(config_snapshot),
            Message::ConfigDelta(config_delta) => self.on_config_delta(connection, &config_delta),
            Message::SnapshotRequest => self.on_snapshot_request(connection),
            Message::NotHolder { number: UNDERSTANDS_DEPARTURES } => {
                self.on_departures_supported(connection, now)
            }
            Message::NotHolder { number: UNDERSTANDS_DRAINS } => self.on_drains_supported(connection),
            Message::Grant(_)
            | Message::NotHolder { .. }
            | Message::LeaveAccepted
            | Message::FreshnessAnswer(_)
            | Message::Reserved => {}
        }
    }

    pub(super) fn on_hello(&mut self, connection: u64, hello: Hello, now: u64) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.hello = Some(hello.clone());
        match hello.plane {
            Plane::DataPlane => {
                self.fleet.record_contact(now, &hello.name, hello.process_incarnation);
                // The fleet size must include the new data plane before the quota service records contact with it.
                // Otherwise the quota service would count the new data plane as one of the known silent data planes.
                self.resize_fleet(now);
                self.on_data_plane_contact(&hello, quota::Epoch::default(), now);
                if let Some(peer) = self.peers.get(&connection) {
                    peer.line.send(&Self::freshness_support());
                }
            }
            Plane::ControlPlane => {
                let mut me = self.settings.me.clone();
                me.voter_incarnation = self.node.as_ref().map(|node| node.me().incarnation);
                if let Some(peer) = self.peers.get(&connection) {
                    peer.line.send(&Message::Welcome(me));
                    peer.line.send(&Self::drains_support());
                    peer.line.send(&Self::departures_support());
                }
                self.register_peer(&hello);
            }
        }
    }

    pub(super) fn learn_control_plane(&mut self, address: SocketAddr, zone: String) {
        if address != self.settings.address {
            let now = self.now();
            self.directory.learn(now, address, zone);
        }
    }

    pub(super) fn register_peer(&mut self, hello: &Hello) {
        let Ok(address) = hello.address.parse() else { return };
        self.learn_control_plane(address, hello.zone.clone());
        let now = self.now();
        self.directory.mark_connected(now, &address);
        if let Some(incarnation) =
            hello.voter_incarnation.filter(|_| hello.quorum && self.directory.contains(&address))
        {
            self.quorum_incarnations.insert(address, incarnation);
        }
    }

    pub(super) fn on_log_message(&mut self, connection: u64, incarnation: u64, message: &[u8]) {
        if let Some(message) = ContactMessage::decode(message) {
            return self.on_contact_message(connection, &message);
        }
        let Some(hello) = self.peers.get(&connection).and_then(|p| p.hello.as_ref()) else { return };
        let from = VoterId { address: hello.address.clone(), incarnation };
        if let Ok(message) = bitcode::decode(message) {
            self.step_raft(Input::Received { from, message });
        }
    }

    pub(super) fn on_follow(&mut self, connection: u64, have: ConfigId, now: u64) {
        let heartbeat = self.heartbeat_for(connection, now);
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if let Some(hello) = &peer.hello
            && hello.plane == Plane::DataPlane
        {
            self.fleet.record_contact(now, &hello.name, hello.process_incarnation);
        }
        // The subscriber may have sent this message before it received a newer configuration that is already recorded
        // here as sent; then the record stays.
        if have.version >= peer.held.version {
            peer.held = have;
        }
        if std::mem::replace(&mut peer.is_subscriber, true) {
            return;
        }
        peer.line.send(&Message::Heartbeat(heartbeat));
        self.send_config_snapshot(connection);
        let warming_up = now < WARMUP_MS;
        let mut backends =
            if warming_up { self.register.all_including_gone(now) } else { self.register.active(now) };
        if warming_up {
            backends.extend(self.drained_unknown());
        }
        let control_planes = self.control_plane_addresses();
        if let Some(peer) = self.peers.get(&connection) {
            peer.line.send(&Message::Backends { is_complete: !warming_up, backends });
            peer.line.send(&Message::ControlPlanes(control_planes));
        }
    }
}
