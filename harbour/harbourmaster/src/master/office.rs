//! The office of the one who holds the counts.

use super::*;

impl Master {
    /// Whoever holds the lease of the log holds the counts.
    pub(super) fn tend_office(&mut self, now: u64) {
        let Some(node) = &self.node else { return };
        let (holds, term) = (node.is_leader() && node.holds_lease(now), node.term());
        if !holds {
            // The office ends with the term: a lease that comes back within it finds its counts as they were.
            if !node.is_leader() && self.holder.take().is_some() {
                self.watch.note(now, self.settings.address.to_string(), Happened::Office(false));
            }
        } else if self.holder.as_ref().is_none_or(|holder| holder.epoch() != term) {
            let first = term <= 1 && self.ledger.version() == 0;
            let mut holder = Holder::take_office(term, first, now as f64);
            holder.fleet(now as f64, self.fleet.size());
            holder.quotas(now as f64, &self.quotas());
            self.holder = Some(holder);
            self.watch.note(now, self.settings.address.to_string(), Happened::Office(true));
        }
    }

    pub(super) fn on_draw(&mut self, number: u64, draw: tally::Draw, now: u64) {
        let leads = self.node.as_ref().is_some_and(|node| node.is_leader() && node.holds_lease(now));
        let Some(peer) = self.peers.get(&number) else { return };
        let Some(hail) = &peer.hail else { return };
        self.fleet.heard(now, &hail.name, hail.life);
        let flag = match &mut self.holder {
            Some(holder) if leads => {
                self.watch.counted.draws.0 += 1;
                Flag::Grant(holder.draw(now as f64, &hail.name, &draw))
            }
            _ => {
                self.watch.counted.draws.1 += 1;
                Flag::NotHolder { number: draw.number }
            }
        };
        peer.line.send(&flag);
    }
}
