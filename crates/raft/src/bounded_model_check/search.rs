//! Breadth first over all that may happen, each state once.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::world::{Event, World};

/// How far a search got.
#[derive(Debug)]
pub struct Reach {
    /// Different ones.
    pub states: usize,
    /// What was tried in them.
    pub events: usize,
    /// All states so many events from the start were looked at.
    pub depth: usize,
    /// Whether there are no others.
    pub exhausted: bool,
    /// The most entries that were committed in any of them.
    pub committed: usize,
    /// The shortest and the longest list of voters that any node went by.
    pub list_lengths: (usize, usize),
}

/// By what a state was reached first: from which, and whether the disk is still busy with it.
type Seen = HashMap<u64, Option<(u64, Event, bool)>>;

/// Looks at all states up to that many events from the start, or until there are too many of them.
///
/// # Errors
/// What must never be, and the events that lead there.
pub fn search(start: World, depth: usize, most: usize) -> Result<Reach, String> {
    let mut seen: Seen = HashMap::from([(start.digest(), None)]);
    let mut reach = Reach {
        states: 1,
        events: 0,
        depth: 0,
        exhausted: false,
        committed: 0,
        list_lengths: (usize::MAX, 0),
    };
    let mut level = vec![(start.digest(), start.clone())];
    while reach.depth < depth && !level.is_empty() && seen.len() <= most {
        let mut next = Vec::new();
        for (digest, world) in level {
            world.measure(&mut reach);
            for event in world.events() {
                reach.events += 1;
                let (done, busy) =
                    world.after(&event).map_err(|fault| path(&start, &seen, digest, &event, &fault))?;
                for (after, busy) in [(Some(done), false), (busy, true)] {
                    let Some(after) = after else { continue };
                    let found = after.digest();
                    if let Entry::Vacant(place) = seen.entry(found) {
                        place.insert(Some((digest, event.clone(), busy)));
                        next.push((found, after));
                    }
                }
            }
            if seen.len() > most {
                reach.states = seen.len();
                return Ok(reach);
            }
        }
        reach.depth += 1;
        level = next;
    }
    (reach.states, reach.exhausted) = (seen.len(), level.is_empty());
    Ok(reach)
}

/// A fault, and all that led there, a line each.
fn path(start: &World, seen: &Seen, mut digest: u64, last: &Event, fault: &str) -> String {
    let mut path = vec![(last.clone(), false)];
    while let Some(Some((before, event, busy))) = seen.get(&digest) {
        path.push((event.clone(), *busy));
        digest = *before;
    }
    let mut lines = vec![fault.to_owned()];
    let mut world = start.clone();
    for (event, busy) in path.into_iter().rev() {
        lines.push(world.describe(&event, busy));
        let Ok((done, later)) = world.after(&event) else { break };
        world = later.filter(|_| busy).unwrap_or(done);
    }
    lines.join("\n    ")
}
