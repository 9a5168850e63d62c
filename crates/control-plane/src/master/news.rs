//! What followers and other masters are told, and when.

use super::*;
use failure_detector::State;
use protocol::Departure;

impl ControlPlane {
    pub(super) fn pulse_for(&self, number: u64, now: u64) -> Heartbeat {
        let (leader, epoch, fresh) = self.leader(now);
        let (assignment, deputies) = self.deputies(epoch);
        let name = self.peers.get(&number).and_then(|p| p.hail.as_ref()).map_or("", |h| h.name.as_str());
        Heartbeat {
            leader: leader.map(|l| l.to_string()),
            epoch,
            fresh,
            assignment,
            deputies,
            version: self.ledger.version(),
            fleet: self.slice_divisor(now).max(1),
            number: self.number_in_fleet(now, name),
        }
    }

    pub(super) fn pulse(&mut self, now: u64) {
        let followers: Vec<u64> = self.peers.iter().filter(|(_, p)| p.follows).map(|(n, _)| *n).collect();
        for number in followers {
            let pulse = self.pulse_for(number, now);
            if let Some(peer) = self.peers.get(&number) {
                peer.line.send(&Message::Heartbeat(pulse));
            }
        }
        // A master without a log follows those that have one, and only those: two that followed each other would send
        // each other's news of old round in a circle.
        if self.node.is_none() {
            let have = self.sheets.held();
            for address in self.incarnations.keys() {
                if let Some(line) = self.line_to(address) {
                    line.send(&Message::Follow { have });
                }
            }
        }
    }

    pub(super) fn on_pulse(&mut self, pulse: Heartbeat, now: u64) {
        let newer = pulse.fresh && pulse.epoch >= self.told.epoch;
        if self.node.is_none() && pulse.leader.is_some() && (newer || now > self.told_at + WORD) {
            let known = (self.told.epoch, self.told.assignment);
            // Two that are followed may tell of assignments in either order.
            if (pulse.epoch, pulse.assignment) >= known || pulse.epoch != known.0 {
                (self.told, self.told_at) = (pulse, now);
            }
        }
    }

    pub(super) fn on_sheet(&mut self, sheet: ConfigSnapshot) {
        if self.node.is_none() && sheet.version > self.ledger.version() {
            let base = self.ledger.version();
            let change = Change { base, version: sheet.version, digest: [0; 32], body: sheet.body };
            let verdict = self.ledger.apply(Place::default(), change);
            let now = self.now();
            self.watch.change(now, sheet.version, verdict);
            self.renewed();
        }
    }

    /// A configuration as a difference. Whoever sent one that makes nothing here is asked for the whole.
    pub(super) fn on_splice(&mut self, number: u64, splice: &ConfigDelta) {
        if self.node.is_some() || splice.version <= self.ledger.version() {
            return;
        }
        match sheets::rebuild(self.ledger.body_of(splice.base), splice) {
            Ok(sheet) => self.on_sheet(sheet),
            Err(unfit) => {
                spdlog::warn!("{}", unfit, kv: { step = "splice" });
                if let Some(peer) = self.peers.get(&number) {
                    peer.line.send(&Message::Whole);
                }
            }
        }
    }

    /// The newest configuration goes to a follower that has another one.
    pub(super) fn send_sheet(&mut self, number: u64) {
        // The ledger may be ahead of what is sent: then all followers are told shortly.
        if self.changed {
            return;
        }
        let (Some(body), Some(peer)) = (self.ledger.body(), self.peers.get_mut(&number)) else { return };
        if peer.has.version >= self.ledger.version() {
            return;
        }
        let frame = self.sheets.frame(peer.has, self.ledger.body_of(peer.has.version), body);
        peer.has = self.sheets.held();
        peer.line.send_frame(frame);
    }

    pub(super) fn on_whole(&mut self, number: u64) {
        if let (Some(body), Some(peer)) = (self.ledger.body(), self.peers.get_mut(&number)) {
            if self.changed {
                peer.has = Held::default();
                return;
            }
            peer.has = self.sheets.held();
            peer.line.send_frame(self.sheets.whole(body));
        }
    }

    pub(super) fn round(&mut self, now: u64) {
        let heard = self.register.round();
        if !heard.is_empty() {
            self.to_masters(&Message::Heard(heard));
        }
        let changed = self.register.sweep(now);
        self.tell_berths(changed);
        self.tend_voters(now);
        self.count_quays(now);
        self.look_round(now);
        self.to_masters(&Message::ControlPlanes(self.cards()));
        self.fleet.sweep(now);
        self.fleet.divides_by(now, self.slice_divisor(now));
        if !self.grown && now >= YOUNG {
            self.grown = true;
            self.to_followers(&Message::Backends { whole: true, berths: self.register.all(now) });
            self.take_root(now);
        }
        self.watch.quays(now, self.fleet.incarnations());
        self.resize_fleet(now);
    }

    /// DataPlanes that are heard here, and those of which other masters say so: their word stands while they are heard.
    fn count_quays(&mut self, now: u64) {
        let mut quays = self.quays_here(now);
        let told = self.peers.values().filter(|peer| now < peer.heard + QUAY_SILENT);
        for (name, life) in quays.iter().chain(told.flat_map(|peer| &peer.quays)) {
            self.fleet.heard(now, name, *life);
        }
        quays.sort_unstable();
        if quays != self.told_quays.0 || now >= self.told_quays.1 + QUAYS_AGAIN {
            self.to_masters(&Message::DataPlanes(quays.clone()));
            self.told_quays = (quays, now);
        }
    }

    /// Takes in what the watch of the neighbours knows of quays. Of a death only its witnesses are known: who is cut off
    /// from them may go on spending, and counts on as one that is not heard. Who said that it ends does not.
    fn look_round(&mut self, now: u64) {
        let Some(lookout) = &self.lookout else { return };
        if self.peers.values().any(|peer| peer.hail.is_some() && now < peer.heard + QUAY_SILENT) {
            lookout.ashore();
        }
        if lookout.is_adrift() {
            return;
        }
        let (fleet, mut departures) = (&mut self.fleet, Vec::new());
        lookout.each(|word| match word.state {
            State::Here if word.card.quay => fleet.heard(now, &word.card.name, word.card.life),
            State::Left if word.card.quay => {
                let (name, incarnation) = (word.card.name.clone(), word.card.life);
                departures.push(Departure { name, incarnation, ago_ms: 0 });
            }
            _ => {}
        });
        self.on_departures(departures, now);
    }

    pub(super) fn tell_berths(&mut self, berths: Vec<Backend>) {
        if !berths.is_empty() {
            let now = self.now();
            self.watch.berths(now, &berths);
            self.to_followers(&Message::Backends { whole: false, berths: berths.clone() });
            self.tell_tree(relay_tree::Input::Change(berths));
        }
    }

    /// A newer configuration is in force.
    pub(super) fn renewed(&mut self) {
        let Some(body) = self.ledger.body() else { return };
        self.config = Config::parse(body).ok();
        self.sheets = ConfigEncoder::new(self.ledger.version(), body);
        let followers: Vec<u64> = self.peers.iter().filter(|(_, p)| p.follows).map(|(n, _)| *n).collect();
        for number in followers {
            self.send_sheet(number);
        }
        self.tell_tree_sheet();
        let (now, quotas) = (self.now(), self.quotas());
        self.office.quotas(now as f64, quotas);
    }

    pub(super) fn quotas(&self) -> Vec<Quota> {
        let tenants = self.config.iter().filter_map(|c| c.tenants.as_ref()).flat_map(|t| t.values());
        tenants
            .map(|t| Quota { tenant: t.label.to_string(), rate_per_s: t.rate_per_s, burst: t.burst_size })
            .collect()
    }
}
