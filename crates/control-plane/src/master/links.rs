//! Connections with other processes, and what comes on them.

use super::*;

impl Master {
    pub(super) fn on_opened(&mut self, number: u64, line: Line, dialed: Option<SocketAddr>) {
        let now = self.now();
        if let Some(to) = dialed {
            self.dialing.remove(&to);
            line.send(&Flag::Hail(self.settings.me.clone()));
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

    pub(super) fn other_masters(&self) -> BTreeSet<SocketAddr> {
        let known = self.masters.keys().chain(&self.settings.seeds);
        known.copied().filter(|address| *address != self.settings.address).collect()
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

    pub(super) fn to_masters(&self, flag: &Flag) {
        let frame: Rc<[u8]> = protocol::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.dialed.is_some()) {
            peer.line.send_frame(frame.clone());
        }
    }

    pub(super) fn to_followers(&self, flag: &Flag) {
        let frame: Rc<[u8]> = protocol::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.follows) {
            peer.line.send_frame(frame.clone());
        }
    }

    pub(super) fn cards(&self) -> Vec<MasterCard> {
        let me = (&self.settings.address, &self.settings.me.zone);
        let known = self.masters.iter().chain([me]);
        let cards: BTreeSet<_> =
            known.map(|(a, zone)| MasterCard { address: a.to_string(), zone: zone.clone() }).collect();
        cards.into_iter().collect()
    }

    /// What another master has to know of all that this one knows.
    pub(super) fn tell_everything(&self, number: u64, now: u64) {
        let Some(peer) = self.peers.get(&number) else { return };
        peer.line.send(&Flag::Masters(self.cards()));
        peer.line.send(&Flag::Berths { whole: false, berths: self.register.everything(now) });
        peer.line.send(&Flag::Quays(self.quays_here(now)));
    }

    pub(super) fn quays_here(&self, now: u64) -> Vec<(String, u64)> {
        let hails = self.peers.values().filter(|p| (p.follows || p.here) && now < p.heard + QUAY_SILENT);
        let quays = hails.filter_map(|p| p.hail.as_ref()).filter(|h| h.plane == Plane::Quay);
        quays.map(|h| (h.name.clone(), h.life)).collect()
    }

    pub(super) fn on_frame(&mut self, number: u64, flag: Flag) {
        let now = self.now();
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.heard = now;
        self.frames += 1;
        match flag {
            Flag::Hail(hail) => self.on_hail(number, hail, now),
            Flag::Welcome(hail) => self.meet(&hail),
            Flag::Log { incarnation, message } => self.on_log(number, incarnation, &message),
            Flag::Masters(cards) => {
                for card in cards {
                    if let Ok(address) = card.address.parse() {
                        self.learn_master(address, card.zone);
                    }
                }
            }
            Flag::Follow { have } => self.on_follow(number, have, now),
            Flag::Berths { berths, .. } => {
                let changed = self.register.hear(now, berths);
                self.tell_berths(changed);
            }
            Flag::Heard(heard) => {
                let back = self.register.alive(now, &heard);
                self.tell_berths(back);
            }
            Flag::Quays(quays) => {
                quays.iter().for_each(|(name, life)| self.fleet.heard(now, name, *life));
                peer.quays = quays;
            }
            Flag::Here { epoch } => {
                // Below a relay a quay follows no master: its sign to the holders of the counts says that it lives.
                peer.here = self.root.is_some();
                if let Some(hail) = &peer.hail {
                    self.office.heard(now as f64, &hail.name, epoch);
                }
            }
            Flag::Offer { number: offer, answered, draws } => {
                self.on_offer(number, offer, answered, draws, now)
            }
            Flag::Lease { number: offer, roster, ends_in } => self.on_lease(offer, &roster, ends_in, now),
            Flag::Roster(roster) => self.on_roster(&roster, now),
            Flag::Handover(handover) => self.on_handover(handover, now),
            Flag::Draw(draw) => self.on_draw(number, draw, now),
            Flag::Ask { token, order } => self.on_order(Asker::There { peer: number, token }, order, now),
            Flag::Told { token, status, body } => {
                if let Some(waiting) = self.waiting.remove(&token) {
                    let _ = waiting.reply.send(Reply { status, body });
                }
            }
            // News of another master, for those without a log.
            Flag::Pulse(pulse) => self.on_pulse(pulse, now),
            Flag::Sheet(sheet) => self.on_sheet(sheet),
            Flag::Splice(splice) => self.on_splice(number, &splice),
            Flag::Whole => self.on_whole(number),
            Flag::Relay(word) => self.on_relay(number, word),
            Flag::Grant(_) | Flag::NotHolder { .. } => {}
        }
    }

    pub(super) fn on_hail(&mut self, number: u64, hail: Hail, now: u64) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.hail = Some(hail.clone());
        match hail.plane {
            Plane::Quay => {
                self.fleet.heard(now, &hail.name, hail.life);
                self.office.heard(now as f64, &hail.name, quota::Epoch::default());
            }
            Plane::Master => {
                let mut me = self.settings.me.clone();
                me.incarnation = self.node.as_ref().map(|node| node.me().incarnation);
                if let Some(peer) = self.peers.get(&number) {
                    peer.line.send(&Flag::Welcome(me));
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

    pub(super) fn meet(&mut self, hail: &Hail) {
        let Ok(address) = hail.address.parse() else { return };
        self.learn_master(address, hail.zone.clone());
        if let Some(incarnation) =
            hail.incarnation.filter(|_| hail.quorum && self.masters.contains_key(&address))
        {
            self.incarnations.insert(address, incarnation);
        }
    }

    /// Whoever has a disk that counts and is no voter yet is to become one: the log wants to be asked until it is.
    pub(super) fn take_in(&mut self) {
        let Some(node) = self.node.as_ref().filter(|node| node.is_leader()) else { return };
        let voters = self.incarnations.iter().map(|(address, incarnation)| VoterId {
            address: address.to_string(),
            incarnation: *incarnation,
        });
        let missing: Vec<_> = voters.filter(|voter| !node.members().contains(voter)).collect();
        for voter in missing {
            self.log(Input::AddVoter(voter));
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
            && hail.plane == Plane::Quay
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
        peer.line.send(&Flag::Pulse(pulse));
        self.send_sheet(number);
        let young = now < YOUNG;
        let berths = if young { self.register.everything(now) } else { self.register.all(now) };
        let cards = self.cards();
        if let Some(peer) = self.peers.get(&number) {
            peer.line.send(&Flag::Berths { whole: !young, berths });
            peer.line.send(&Flag::Masters(cards));
        }
    }
}
