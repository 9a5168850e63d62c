//! Agreement, checked: all orders of what may happen to a few voters, up to a depth.

#[path = "../../tests/fake_disk/mod.rs"]
mod fake_disk;
mod search;
mod time_abstraction;
mod world;

use search::search;
use world::{Budget, Event, Plant, World, voter};
use yare::parameterized;

const QUIET: Budget = Budget {
    term: 3,
    lazy: 0,
    restarts: 0,
    wipes: 0,
    proposals: 0,
    joins: 0,
    leaves: 0,
    compactions: 0,
    give_ways: 0,
};

/// Three voters that have never had a leader.
fn founding(plant: Plant) -> World {
    World::new(3, 0, plant).with(Budget { term: 2, lazy: 2, restarts: 1, ..QUIET })
}

/// The first leads; the third has heard nothing of the entry that the other two have committed.
fn led(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { term: 1, ..QUIET });
    world.then(Event::RequestVote(0)).settle(&[0, 1]).lose()
}

fn fresh(plant: Plant) -> World {
    World::new(3, 0, plant).with(Budget { term: 1, lazy: 2, ..QUIET })
}

fn proposing(plant: Plant) -> World {
    led(plant).with(Budget { proposals: 2, restarts: 1, ..QUIET })
}

fn wiped(plant: Plant) -> World {
    led(plant).with(Budget { term: 3, lazy: 1, restarts: 1, wipes: 1, ..QUIET })
}

/// The first led and wrote an entry, then the second did, each for itself; now the first leads again.
fn split(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { give_ways: 2, ..QUIET });
    let world = world.then(Event::RequestVote(0)).hear(1, 0).hear(0, 1).then(Event::GiveWay(0)).lose();
    let world = world.then(Event::RequestVote(1)).hear(2, 1).hear(1, 2).then(Event::GiveWay(1)).lose();
    let world = world.then(Event::RequestVote(0)).then(Event::RequestVote(0)).hear(2, 0).hear(0, 2);
    world.with(Budget { term: 4, ..QUIET })
}

/// ... and the second has heard of it.
fn split_heard(plant: Plant) -> World {
    split(plant).hear(1, 0)
}

/// A fourth host has the log and wants to be a voter; one of the three is to leave.
fn joining(plant: Plant) -> World {
    let world = World::new(3, 1, plant).with(Budget { joins: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Add(0, voter(3, 9))).hear(3, 0);
    world.with(Budget { term: 2, lazy: 1, leaves: 1, ..QUIET })
}

/// A leader that has written a list without the third voter, and one that knows nothing of it.
fn leaving(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(2, 0)));
    world.with(Budget { term: 3, restarts: 1, leaves: 1, ..QUIET })
}

/// The third has lost its disk, and comes back under another number.
fn exchanged(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { wipes: 1, joins: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1, 2]).lose().then(Event::Wipe(2));
    world.then(Event::Add(0, voter(2, 1))).hear(2, 0).with(Budget { term: 2, restarts: 1, ..QUIET })
}

/// The third is gone for good. A fourth host has the log and is about to become a voter, and then the third is to leave;
/// another voter may be lost, or the leader may leave, at any moment in between.
fn replaced(plant: Plant) -> World {
    let world = World::new(3, 1, plant).with(Budget { joins: 1, leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).lose();
    let world = world.then(Event::Add(0, voter(3, 9))).settle(&[0, 3]);
    world.with(Budget { term: 2, restarts: 1, leaves: 2, proposals: 1, ..QUIET })
}

/// One of four was taken off the list, and goes on hearing the leader and answering it.
fn three_left(plant: Plant) -> World {
    let world = World::new(4, 0, plant).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1, 2, 3]);
    let world = world.then(Event::Remove(0, voter(2, 0))).settle(&[0, 1, 2, 3]).lose();
    world.with(Budget { term: 2, proposals: 1, ..QUIET })
}

/// A leader that has written a list without itself.
fn leaving_itself(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(0, 0)));
    world.with(Budget { term: 3, lazy: 1, restarts: 1, proposals: 1, ..QUIET })
}

/// A voter that was taken off the list comes back under its old number, and wants to be on it again.
fn returning(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(2, 0)));
    world.settle(&[0, 1]).lose().with(Budget { term: 3, joins: 1, restarts: 1, ..QUIET })
}

/// The leader has dropped the entries that the third lacks.
fn compacted(plant: Plant) -> World {
    let world = World::new(3, 0, plant).with(Budget { proposals: 1, compactions: 1, ..QUIET });
    let world =
        world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Propose(0)).settle(&[0, 1]).lose();
    world.then(Event::Compact(0)).with(Budget {
        term: 2,
        lazy: 1,
        restarts: 1,
        proposals: 1,
        compactions: 1,
        ..QUIET
    })
}

/// ... and has begun to send its snapshot piece by piece.
fn in_chunks(plant: Plant) -> World {
    compacted(plant).in_chunks().then(Event::Heartbeat(0)).hear(2, 0).hear(0, 2)
}

#[parameterized(
    from_founding = { founding, 6, (3, 3) },
    from_wiped = { wiped, 5, (3, 3) },
    from_split = { split, 7, (3, 3) },
    from_joining = { joining, 5, (2, 4) },
    from_leaving = { leaving, 5, (1, 3) },
    from_exchanged = { exchanged, 8, (2, 3) },
    from_compacted = { compacted, 5, (3, 3) },
    from_in_pieces = { in_chunks, 6, (3, 3) },
    from_replaced = { replaced, 6, (3, 4) },
    from_three_left = { three_left, 7, (3, 3) },
    from_leaving_itself = { leaving_itself, 4, (2, 3) },
    from_returning = { returning, 5, (2, 3) },
)]
fn nothing_that_must_never_be_is_within_reach(
    start: fn(Plant) -> World, depth: usize, list_lengths: (usize, usize),
) {
    let reach = search(start(Plant::Nothing), depth, usize::MAX).unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
    assert!(reach.depth == depth && reach.committed > 0, "{reach:?}");
    // Changes of the list that are never reached would prove nothing.
    assert_eq!(reach.list_lengths, list_lengths, "{reach:?}");
}

/// How deep a million states of each are.
#[parameterized(
    from_founding = { founding },
    from_wiped = { wiped },
    from_split = { split },
    from_joining = { joining },
    from_leaving = { leaving },
    from_exchanged = { exchanged },
    from_compacted = { compacted },
    from_in_pieces = { in_chunks },
    from_replaced = { replaced },
    from_three_left = { three_left },
    from_leaving_itself = { leaving_itself },
    from_returning = { returning },
)]
#[ignore = "some minutes: cargo test --release -p raft --lib -- --ignored --nocapture --test-threads 2"]
fn nothing_that_must_never_be_is_far_off(start: fn(Plant) -> World) {
    let reach = search(start(Plant::Nothing), 100, 1_000_000).unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
}

#[parameterized(
    vote_before_sync = { Plant::VoteBeforeSync, founding, "votes in term" },
    entries_before_sync = { Plant::EntriesBeforeSync, fresh, "on disk, which has" },
    old_term = { Plant::OldTermCounts, split_heard, "which was committed" },
    wiped_counts = { Plant::WipedCounts, wiped, "votes of 3" },
    removed_counts = { Plant::RemovedCounts, three_left, "which was committed" },
    second_list = { Plant::SecondList, proposing, "two changes of the list" },
)]
fn planted_faults_are_found(plant: Plant, start: fn(Plant) -> World, what: &str) {
    let fault = search(start(plant), 10, 1_000_000).expect_err("nothing is found");
    println!("{fault}");
    assert!(fault.contains(what), "{fault}");
}
