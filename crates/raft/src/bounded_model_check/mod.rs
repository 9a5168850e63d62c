//! Bounded model checking: explores every order of events among a few voters up to a depth, and checks Raft's safety
//! properties in each state.

#[path = "../../tests/fake_disk/mod.rs"]
mod fake_disk;
mod search;
mod time_abstraction;
mod world;

use search::search;
use world::{Budget, Event, Fault, World, voter};
use yare::parameterized;

const QUIET: Budget = Budget {
    term: 3,
    slow_syncs: 0,
    restarts: 0,
    wipes: 0,
    proposals: 0,
    joins: 0,
    leaves: 0,
    compactions: 0,
    step_downs: 0,
};

/// Three voters that have never had a leader.
fn founding(fault: Fault) -> World {
    World::new(3, 0, fault).with(Budget { term: 2, slow_syncs: 2, restarts: 1, ..QUIET })
}

/// The first voter leads. The third voter has received nothing of the entry that the other two have committed.
fn with_leader(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { term: 1, ..QUIET });
    world.then(Event::RequestVote(0)).settle(&[0, 1]).drop_messages()
}

fn fresh(fault: Fault) -> World {
    World::new(3, 0, fault).with(Budget { term: 1, slow_syncs: 2, ..QUIET })
}

fn proposing(fault: Fault) -> World {
    with_leader(fault).with(Budget { proposals: 2, restarts: 1, ..QUIET })
}

fn with_wipes(fault: Fault) -> World {
    with_leader(fault).with(Budget { term: 3, slow_syncs: 1, restarts: 1, wipes: 1, ..QUIET })
}

/// The first voter led and appended an entry, then the second voter did, and neither entry was replicated. Now the
/// first voter leads again.
fn conflicting_logs(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { step_downs: 2, ..QUIET });
    let world = world
        .then(Event::RequestVote(0))
        .deliver_last(1, 0)
        .deliver_last(0, 1)
        .then(Event::StepDown(0))
        .drop_messages();
    let world = world
        .then(Event::RequestVote(1))
        .deliver_last(2, 1)
        .deliver_last(1, 2)
        .then(Event::StepDown(1))
        .drop_messages();
    let world =
        world.then(Event::RequestVote(0)).then(Event::RequestVote(0)).deliver_last(2, 0).deliver_last(0, 2);
    world.with(Budget { term: 4, ..QUIET })
}

/// As `conflicting_logs`, and the second voter has received the last message of the first.
fn conflicting_logs_after_contact(fault: Fault) -> World {
    conflicting_logs(fault).deliver_last(1, 0)
}

/// A fourth host receives the log in order to become a voter, and one of the three voters is to leave.
fn joining(fault: Fault) -> World {
    let world = World::new(3, 1, fault).with(Budget { joins: 1, ..QUIET });
    let world =
        world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Add(0, voter(3, 9))).deliver_last(3, 0);
    world.with(Budget { term: 2, slow_syncs: 1, leaves: 1, ..QUIET })
}

/// A leader has appended a list without the third voter, and another voter does not know that list yet.
fn leaving(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(2, 0)));
    world.with(Budget { term: 3, restarts: 1, leaves: 1, ..QUIET })
}

/// The third voter has lost its disk and returns with another incarnation.
fn replaced_disk(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { wipes: 1, joins: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1, 2]).drop_messages().then(Event::Wipe(2));
    world.then(Event::Add(0, voter(2, 1))).deliver_last(2, 0).with(Budget { term: 2, restarts: 1, ..QUIET })
}

/// The third voter is gone for good. A fourth host has the log and is about to become a voter, after which the third
/// voter is to be removed. Another voter may restart, or the leader may be removed, at any moment in between.
fn replaced_host(fault: Fault) -> World {
    let world = World::new(3, 1, fault).with(Budget { joins: 1, leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).drop_messages();
    let world = world.then(Event::Add(0, voter(3, 9))).settle(&[0, 3]);
    world.with(Budget { term: 2, restarts: 1, leaves: 2, proposals: 1, ..QUIET })
}

/// One of four voters was removed, but still receives and answers messages of the leader.
fn one_of_four_removed(fault: Fault) -> World {
    let world = World::new(4, 0, fault).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1, 2, 3]);
    let world = world.then(Event::Remove(0, voter(2, 0))).settle(&[0, 1, 2, 3]).drop_messages();
    world.with(Budget { term: 2, proposals: 1, ..QUIET })
}

/// A leader has appended a list without itself.
fn leader_removes_itself(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(0, 0)));
    world.with(Budget { term: 3, slow_syncs: 1, restarts: 1, proposals: 1, ..QUIET })
}

/// A removed voter returns with its old incarnation and is to become a voter again.
fn removed_voter_returns(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { leaves: 1, ..QUIET });
    let world = world.then(Event::RequestVote(0)).settle(&[0, 1]).then(Event::Remove(0, voter(2, 0)));
    world.settle(&[0, 1]).drop_messages().with(Budget { term: 3, joins: 1, restarts: 1, ..QUIET })
}

/// The leader has compacted the entries that the third voter lacks.
fn compacted(fault: Fault) -> World {
    let world = World::new(3, 0, fault).with(Budget { proposals: 1, compactions: 1, ..QUIET });
    let world = world
        .then(Event::RequestVote(0))
        .settle(&[0, 1])
        .then(Event::Propose(0))
        .settle(&[0, 1])
        .drop_messages();
    world.then(Event::Compact(0)).with(Budget {
        term: 2,
        slow_syncs: 1,
        restarts: 1,
        proposals: 1,
        compactions: 1,
        ..QUIET
    })
}

/// As `compacted`, and the leader has started to send its snapshot in chunks.
fn chunked_transfer(fault: Fault) -> World {
    compacted(fault).with_chunked_transfers().then(Event::Heartbeat(0)).deliver_last(2, 0).deliver_last(0, 2)
}

#[parameterized(
    from_founding = { founding, 6, (3, 3) },
    from_wipes = { with_wipes, 5, (3, 3) },
    from_conflicting_logs = { conflicting_logs, 7, (3, 3) },
    from_joining = { joining, 5, (2, 4) },
    from_leaving = { leaving, 5, (1, 3) },
    from_replaced_disk = { replaced_disk, 8, (2, 3) },
    from_compacted = { compacted, 5, (3, 3) },
    from_chunked_transfer = { chunked_transfer, 6, (3, 3) },
    from_replaced_host = { replaced_host, 6, (3, 4) },
    from_one_of_four_removed = { one_of_four_removed, 7, (3, 3) },
    from_leader_removes_itself = { leader_removes_itself, 4, (2, 3) },
    from_removed_voter_returns = { removed_voter_returns, 5, (2, 3) },
)]
fn no_violation_is_reachable(scenario: fn(Fault) -> World, depth: usize, list_lengths: (usize, usize)) {
    let reach =
        search(scenario(Fault::None), depth, usize::MAX).unwrap_or_else(|violation| panic!("{violation}"));
    println!("{:?} {reach:?}", std::thread::current().name());
    assert!(reach.depth == depth && reach.committed > 0, "{reach:?}");
    // The search must reach the expected list lengths; otherwise it does not cover membership changes.
    assert_eq!(reach.list_lengths, list_lengths, "{reach:?}");
}

/// Searches up to a million states from each scenario and prints the depth reached.
#[parameterized(
    from_founding = { founding },
    from_wipes = { with_wipes },
    from_conflicting_logs = { conflicting_logs },
    from_joining = { joining },
    from_leaving = { leaving },
    from_replaced_disk = { replaced_disk },
    from_compacted = { compacted },
    from_chunked_transfer = { chunked_transfer },
    from_replaced_host = { replaced_host },
    from_one_of_four_removed = { one_of_four_removed },
    from_leader_removes_itself = { leader_removes_itself },
    from_removed_voter_returns = { removed_voter_returns },
)]
#[ignore = "takes some minutes: cargo test --release -p raft --lib -- --ignored --nocapture --test-threads 2"]
fn no_violation_within_a_million_states(scenario: fn(Fault) -> World) {
    let reach =
        search(scenario(Fault::None), 100, 1_000_000).unwrap_or_else(|violation| panic!("{violation}"));
    println!("{:?} {reach:?}", std::thread::current().name());
}

#[parameterized(
    vote_before_sync = { Fault::VoteBeforeSync, founding, "votes in term" },
    entries_before_sync = { Fault::EntriesBeforeSync, fresh, "but its disk ends at" },
    old_term = { Fault::OldTermCounts, conflicting_logs_after_contact, "without committed entry" },
    wiped_voter_counts = { Fault::WipedVoterCounts, with_wipes, "votes of 3" },
    removed_voter_counts = { Fault::RemovedVoterCounts, one_of_four_removed, "without committed entry" },
    overlapping_list_changes = { Fault::OverlappingListChanges, proposing, "two membership changes are pending" },
)]
fn injected_faults_are_detected(fault: Fault, scenario: fn(Fault) -> World, expected: &str) {
    let violation = search(scenario(fault), 10, 1_000_000).expect_err("the search finds no violation");
    println!("{violation}");
    assert!(violation.contains(expected), "{violation}");
}
