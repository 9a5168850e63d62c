//! Connections with other processes, and what comes on them.

use super::*;
use protocol::UNDERSTANDS_DEPARTURES;

impl ControlPlane {
    pub(super) fn on_opened(&mut self, number: u64, line: Line, dialed: Option<SocketAddr>) {
        let now = self.now();
        if let Some(to) = dialed {
            self.dialing.remove(&to);
            line.send(&Message::Hello(self.settings.me.clone()));
        }
        let peer = Peer {
            line,
            hail: None,
            dialed,
            follows: false,
            here: false,
            has: Held::default(),
            heard: now,
            opened: now,
            quays: Vec::new(),
            understands_departures: false,
        };
        self.peers.insert(number, peer);
        if dialed.is_some() {
            self.tell_everything(number, now);
        }
    }

    pub(super) fn on_closed(&mut self, number: u64, error: &LineError) {
        let Some(peer) = self.peers.remove(&number) else {
            // It never came up.
            let until = self.now() + REDIAL + self.draw(REDIAL);
            if let Some(dialing) = self.dialing.values_mut().find(|(dialing, _)| *dialing == number) {
                dialing.1 = until;
            }
            let now = self.now();
            if let Some(left_out) = self.watch.pass("dial", now) {
                spdlog::debug!("{}", error, kv: { step = "dial", left_out });
            }
            return;
        };
        let name = peer.hail.map_or_else(String::new, |hail| hail.name);
        spdlog::debug!("{}", error, kv: { step = "line", peer = name.as_str() });
    }

    /// A line of ours to a master.
    pub(super) fn line_to(&self, address: &SocketAddr) -> Option<&Line> {
        let ours = self.peers.values().find(|p| p.dialed.as_ref() == Some(address) && !p.line.is_lost());
        ours.map(|p| &p.line)
    }

    /// The number of that line, and the line.
    pub(super) fn connection_to(&self, address: &SocketAddr) -> Option<(u64, Line)> {
        let ours = |peer: &Peer| peer.dialed.as_ref() == Some(address) && !peer.line.is_lost();
        let (number, peer) = self.peers.iter().find(|(_, peer)| ours(peer))?;
        Some((*number, peer.line.clone()))
    }

    pub(super) fn other_masters(&self) -> BTreeSet<SocketAddr> {
        let known = self.masters.keys().chain(&self.settings.seeds).copied();
        // After a restart the settings may name none of the voters, and nobody else may be left to tell of them.
        let voters = self.node.iter().flat_map(|node| node.members());
        let voters = voters.filter_map(|voter| voter.address.parse().ok());
        known.chain(voters).filter(|address| *address != self.settings.address).collect()
    }

    /// Each master has a connection of its own to every other one.
    pub(super) fn tend_lines(&mut self, now: u64) {
        let silent: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.line.is_lost() || p.hail.is_none() && p.dialed.is_none() && now > p.opened + 3000
            })
            .map(|(number, _)| *number)
            .collect();
        for number in silent {
            self.peers.remove(&number);
        }
        self.dialing.retain(|_, (_, until)| now < *until);
        for to in self.other_masters() {
            if self.line_to(&to).is_some() || self.dialing.contains_key(&to) {
                continue;
            }
            let number = (self.numbers)();
            self.dialing.insert(to, (number, now + DIALING));
            self.connect.connect(number, to, self.commands.clone());
        }
    }

    pub(super) fn to_masters(&self, flag: &Message) {
        let frame: Rc<[u8]> = protocol::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.dialed.is_some()) {
            peer.line.send_frame(frame.clone());
        }
    }

    pub(super) fn to_followers(&self, flag: &Message) {
        let frame: Rc<[u8]> = protocol::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.follows) {
            peer.line.send_frame(frame.clone());
        }
    }

    pub(super) fn cards(&self) -> Vec<ControlPlaneAddress> {
        let me = (&self.settings.address, &self.settings.me.zone);
        let known = self.masters.iter().chain([me]);
        let cards: BTreeSet<_> = known
            .map(|(a, zone)| ControlPlaneAddress { address: a.to_string(), zone: zone.clone() })
            .collect();
        cards.into_iter().collect()
    }

    /// What another master has to know of all that this one knows.
    pub(super) fn tell_everything(&self, number: u64, now: u64) {
        let Some(peer) = self.peers.get(&number) else { return };
        peer.line.send(&Message::ControlPlanes(self.cards()));
        peer.line.send(&Message::Backends { whole: false, berths: self.register.everything(now) });
        peer.line.send(&Message::DataPlanes(self.quays_here(now)));
    }

    pub(super) fn quays_here(&self, now: u64) -> Vec<(String, u64)> {
        let hails = self.peers.values().filter(|p| (p.follows || p.here) && now < p.heard + QUAY_SILENT);
        let quays = hails.filter_map(|p| p.hail.as_ref());
        let quays = quays.filter(|h| h.plane == Plane::DataPlane && !self.has_departed(h));
        quays.map(|h| (h.name.clone(), h.life)).collect()
    }

    pub(super) fn on_frame(&mut self, number: u64, flag: Message) {
        let now = self.now();
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.heard = now;
        self.frames += 1;
        match flag {
            Message::Hello(hail) => self.on_hail(number, hail, now),
            Message::Welcome(hail) => self.meet(&hail),
            Message::Log { incarnation, message } => self.on_log(number, incarnation, &message),
            Message::ControlPlanes(cards) => {
                for card in cards {
                    if let Ok(address) = card.address.parse() {
                        self.learn_master(address, card.zone);
                    }
                }
            }
            Message::Follow { have } => self.on_follow(number, have, now),
            Message::Backends { berths, .. } => {
                let changed = self.register.hear(now, berths);
                self.tell_berths(changed);
            }
            Message::Heard(heard) => {
                let back = self.register.alive(now, &heard);
                self.tell_berths(back);
            }
            Message::DataPlanes(quays) => {
                quays.iter().for_each(|(name, life)| self.fleet.heard(now, name, *life));
                peer.quays = quays;
                self.resize_fleet(now);
            }
            Message::Leave => self.on_leave(number, now),
            Message::Departures(departures) => self.on_departures(departures, now),
            Message::Here { epoch } => {
                // Below a relay a quay follows no master: its sign to the holders of the counts says that it lives.
                peer.here = self.root.is_some();
                if let Some(hail) = peer.hail.clone() {
                    self.heard_data_plane(&hail, epoch, now);
                }
            }
            Message::Offer { number: offer, answered, draws } => {
                self.on_offer(number, offer, answered, draws, now)
            }
            Message::Lease { number: offer, roster, ends_in } => self.on_lease(offer, &roster, ends_in, now),
            Message::HolderAssignment(roster) => self.on_roster(&roster, now),
            Message::Handover(handover) => self.on_handover(handover, now),
            Message::LeaseRequest(draw) => self.on_draw(number, draw, now),
            Message::Ask { token, order } => self.on_order(Asker::There { peer: number, token }, order, now),
            Message::Told { token, status, body } => self.on_told(number, token, Reply { status, body }),
            // Update of another master, for those without a log.
            Message::Heartbeat(pulse) => self.on_pulse(pulse, now),
            Message::ConfigSnapshot(sheet) => self.on_sheet(sheet),
            Message::ConfigDelta(splice) => self.on_splice(number, &splice),
            Message::Whole => self.on_whole(number),
            Message::Relay(word) => self.on_relay(number, word),
            Message::NotHolder { number: UNDERSTANDS_DEPARTURES } => {
                self.on_understands_departures(number, now)
            }
            Message::Grant(_) | Message::NotHolder { .. } | Message::LeaveAccepted => {}
        }
    }

    pub(super) fn on_hail(&mut self, number: u64, hail: Hello, now: u64) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.hail = Some(hail.clone());
        match hail.plane {
            Plane::DataPlane => {
                self.fleet.heard(now, &hail.name, hail.life);
                // First that it is there: else it would stand in for one that is silent.
                self.resize_fleet(now);
                self.heard_data_plane(&hail, quota::Epoch::default(), now);
            }
            Plane::ControlPlane => {
                let mut me = self.settings.me.clone();
                me.incarnation = self.node.as_ref().map(|node| node.me().incarnation);
                if let Some(peer) = self.peers.get(&number) {
                    peer.line.send(&Message::Welcome(me));
                    peer.line.send(&Self::understands_departures());
                }
                self.meet(&hail);
            }
        }
    }

    pub(super) fn learn_master(&mut self, address: SocketAddr, zone: String) {
        // Machines that serve control are some dozens; more are somebody's fault.
        if address != self.settings.address && self.masters.len() < 256 {
            self.masters.insert(address, zone);
        }
    }

    pub(super) fn meet(&mut self, hail: &Hello) {
        let Ok(address) = hail.address.parse() else { return };
        self.learn_master(address, hail.zone.clone());
        if let Some(incarnation) =
            hail.incarnation.filter(|_| hail.quorum && self.masters.contains_key(&address))
        {
            self.incarnations.insert(address, incarnation);
        }
    }

    pub(super) fn on_log(&mut self, number: u64, incarnation: u64, message: &[u8]) {
        if let Some(message) = ContactMessage::read(message) {
            return self.on_contact(number, &message);
        }
        let Some(hail) = self.peers.get(&number).and_then(|p| p.hail.as_ref()) else { return };
        let from = VoterId { address: hail.address.clone(), incarnation };
        if let Ok(message) = bitcode::decode(message) {
            self.log(Input::Heard { from, message });
        }
    }

    pub(super) fn on_follow(&mut self, number: u64, have: Held, now: u64) {
        let pulse = self.pulse_for(number, now);
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if let Some(hail) = &peer.hail
            && hail.plane == Plane::DataPlane
        {
            self.fleet.heard(now, &hail.name, hail.life);
        }
        // A sign of life may have been on its way while a newer one was sent.
        if have.version >= peer.has.version {
            peer.has = have;
        }
        if std::mem::replace(&mut peer.follows, true) {
            return;
        }
        peer.line.send(&Message::Heartbeat(pulse));
        self.send_sheet(number);
        let young = now < YOUNG;
        let berths = if young { self.register.everything(now) } else { self.register.all(now) };
        let cards = self.cards();
        if let Some(peer) = self.peers.get(&number) {
            peer.line.send(&Message::Backends { whole: !young, berths });
            peer.line.send(&Message::ControlPlanes(cards));
        }
    }
}
