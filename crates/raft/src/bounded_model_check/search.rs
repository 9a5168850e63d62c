//! Breadth-first search over all possible events, visiting each state once.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::world::{Event, World};

/// The extent of a search.
#[derive(Debug)]
pub struct Reach {
    /// The number of distinct states.
    pub states: usize,
    /// The number of events tried in these states.
    pub events: usize,
    /// The number of events from the start up to which all states were explored.
    pub depth: usize,
    /// Whether no unexplored states remain.
    pub exhausted: bool,
    /// The largest number of committed entries in any state.
    pub committed: usize,
    /// The lengths of the shortest and the longest list of voters that any node used.
    pub list_lengths: (usize, usize),
}

/// Maps each state to its predecessor, the event that led to the state, and whether the disk write of that event is
/// still pending.
type Seen = HashMap<u64, Option<(u64, Event, bool)>>;

/// Explores all states up to `depth` events from the start, or until there are more than `max_states` states.
///
/// # Errors
/// A violated property and the events that lead to the violation.
pub fn search(start: World, depth: usize, max_states: usize) -> Result<Reach, String> {
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
    while reach.depth < depth && !level.is_empty() && seen.len() <= max_states {
        let mut next = Vec::new();
        for (digest, world) in level {
            world.measure(&mut reach);
            for event in world.events() {
                reach.events += 1;
                let (done, sync_pending) = world
                    .after(&event)
                    .map_err(|violation| path(&start, &seen, digest, &event, &violation))?;
                for (after, sync_pending) in [(Some(done), false), (sync_pending, true)] {
                    let Some(after) = after else { continue };
                    let found = after.digest();
                    if let Entry::Vacant(place) = seen.entry(found) {
                        place.insert(Some((digest, event.clone(), sync_pending)));
                        next.push((found, after));
                    }
                }
            }
            if seen.len() > max_states {
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

/// A violation followed by the events that led to it, one per line.
fn path(start: &World, seen: &Seen, mut digest: u64, last: &Event, violation: &str) -> String {
    let mut path = vec![(last.clone(), false)];
    while let Some(Some((before, event, sync_pending))) = seen.get(&digest) {
        path.push((event.clone(), *sync_pending));
        digest = *before;
    }
    let mut lines = vec![violation.to_owned()];
    let mut world = start.clone();
    for (event, sync_pending) in path.into_iter().rev() {
        lines.push(world.describe(&event, sync_pending));
        let Ok((done, later)) = world.after(&event) else { break };
        world = later.filter(|_| sync_pending).unwrap_or(done);
    }
    lines.join("\n    ")
}
