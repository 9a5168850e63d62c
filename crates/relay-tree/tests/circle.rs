//! Nobody follows a process that follows him; and if it came to that, silence would end it.

use protocol::relay::Word;
use relay_tree::{Input, Output, Relay, SILENT, Settings};
use std::net::SocketAddr;

/// A root, and two that are to follow one another below it.
struct Row {
    relays: Vec<(SocketAddr, Relay)>,
    /// Whoever is deaf hears nothing.
    deaf: Vec<SocketAddr>,
    /// Whether heartbeats lose on the way by which they came.
    pathless: bool,
}

impl Row {
    fn new(pathless: bool) -> Self {
        let address = |at: u8| SocketAddr::from(([10, 0, 0, at], 7000));
        let relay = |at: u8, epoch, root| {
            let me = address(at);
            let settings = Settings { me, room: 1, epoch, roots: vec![address(root)], seed: u64::from(at) };
            (me, Relay::new(settings))
        };
        // The second one knows the first as a root: it will be told by it where to go.
        let mut row = Self {
            relays: vec![relay(0, Some(7), 0), relay(1, None, 0), relay(2, None, 1)],
            deaf: vec![],
            pathless,
        };
        row.play(0, 0, Input::Told(protocol::Heartbeat { fresh: true, ..protocol::Heartbeat::default() }));
        row
    }

    fn play(&mut self, now: u64, at: usize, input: Input) {
        let mut outputs = Vec::new();
        let (from, relay) = &mut self.relays[at];
        let from = *from;
        relay.handle(now, input, &mut outputs);
        for output in outputs {
            let Output::Send { to, mut word } = output else { continue };
            if matches!(word, Word::Roots(_)) {
                // They would tell the second one of the root.
                continue;
            }
            if let (Word::Heartbeat { path, .. }, true) = (&mut word, self.pathless) {
                path.clear();
            }
            let next = self.relays.iter().position(|(address, _)| *address == to);
            if let Some(next) = next.filter(|_| !self.deaf.contains(&to) && !self.deaf.contains(&from)) {
                self.play(now, next, Input::Heard { from, word });
            }
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(100) {
            (0..3).for_each(|at| self.play(now, at, Input::Tick));
        }
    }

    fn follows(&self, at: usize) -> Option<usize> {
        let to = self.relays[at].1.following()?;
        self.relays.iter().position(|(address, _)| *address == to)
    }

    /// The first one loses the root without a sign and is named the second, which still believes in the root.
    fn turn(&mut self) {
        self.run(0, 3000);
        assert_eq!((self.follows(1), self.follows(2)), (Some(0), Some(1)));
        let (root, last) = (self.relays[0].0, self.relays[2].0);
        self.play(3000, 0, Input::Tick);
        let refer = Word::Refer { to: vec![last.to_string()] };
        self.deaf.push(root);
        // What tells those below that it has lost its place is lost as well, as if it came too late.
        let mut outputs = Vec::new();
        self.relays[1].1.handle(3001, Input::Heard { from: root, word: refer }, &mut outputs);
        for output in outputs {
            if let Output::Send { to, word: word @ Word::Join { .. } } = output {
                assert_eq!(to, last);
                let from = self.relays[1].0;
                self.play(3002, 2, Input::Heard { from, word });
            }
        }
    }
}

#[test]
fn who_follows_him_does_not_take_him() {
    let mut row = Row::new(false);
    row.turn();
    assert_eq!(row.follows(1), None);
}

#[test]
fn a_circle_hears_no_new_heartbeat_and_ends() {
    let mut row = Row::new(true);
    row.turn();
    assert_eq!((row.follows(1), row.follows(2)), (Some(2), Some(1)), "nobody saw the way");
    row.run(3100, 3100 + 2 * SILENT);
    assert!(row.follows(1) != Some(2) || row.follows(2) != Some(1));
    // The root is heard again, and all is as it was.
    row.deaf.clear();
    row.run(3100 + 2 * SILENT, 12_000);
    assert_eq!((row.follows(1), row.follows(2)), (Some(0), Some(1)));
}
