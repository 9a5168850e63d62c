//! This process as a root of the tree of relays.

use super::*;
use protocol::relay::Word;
use relay_tree::{Input as Moved, Output as Passed, Relay, Settings};
use transport::Signals;

/// A root, and the connections on which relays follow it.
pub(super) struct Root {
    relay: Relay,
    lines: BTreeMap<SocketAddr, u64>,
    signals: Signals,
    outputs: Vec<Passed>,
    next: u64,
}

impl ControlPlane {
    /// From when it may be followed: before, its list does not say who is not there.
    pub(super) fn take_root(&mut self, now: u64) {
        let Some(room) = self.settings.relay_room else { return };
        let (me, seed) = (self.settings.address, self.settings.seed | 1);
        let settings = Settings { me, room, epoch: Some(seed), roots: vec![me], seed };
        let relay = Relay::new(settings);
        let (lines, signals) = (BTreeMap::new(), Signals::default());
        self.root = Some(Root { relay, lines, signals, outputs: Vec::new(), next: now });
        self.tell_tree(Moved::Change(self.register.all(now)));
        self.tell_tree_config_snapshot();
    }

    pub(super) fn tell_tree_config_snapshot(&mut self) {
        if let Some(body) = self.config_history.body() {
            let config_snapshot =
                ConfigSnapshot { version: self.config_history.version(), body: body.to_vec() };
            self.tell_tree(Moved::ConfigSnapshot(config_snapshot));
        }
    }

    pub(super) fn tell_tree(&mut self, input: Moved) {
        let now = self.now();
        let Some(root) = &mut self.root else { return };
        root.relay.handle(now, input, &mut root.outputs);
        for output in root.outputs.drain(..) {
            if let Passed::Send { to, word } = output
                && let Some(peer) = root.lines.get(&to).and_then(|number| self.peers.get(number))
            {
                peer.line.send_frame(root.signals.frame(word));
            }
        }
    }

    pub(super) fn tend_tree(&mut self, now: u64) {
        let Some(root) = &mut self.root else { return };
        root.lines.retain(|_, number| self.peers.contains_key(number));
        if now < root.next {
            return;
        }
        root.next = now + 2 * TICK;
        let told = self.heartbeat_for(0, now);
        let own = self.settings.address;
        let roots = self.other_control_planes().into_iter().chain([own]).collect();
        self.tell_tree(Moved::Told(told));
        self.tell_tree(Moved::Roots(roots));
        self.tell_tree(Moved::Tick);
    }

    pub(super) fn on_relay(&mut self, number: u64, word: Word) {
        let Some(root) = &mut self.root else { return };
        if let Word::Join { at, .. } = &word
            && let Ok(address) = at.parse()
        {
            root.lines.retain(|_, other| *other != number);
            root.lines.insert(address, number);
        }
        let from = root.lines.iter().find(|(_, other)| **other == number);
        if let Some(from) = from.map(|(address, _)| *address) {
            self.tell_tree(Moved::Heard { from, word });
        }
    }
}
