//! Single rules of a follower that is sent pieces.

use raft::{Input, Message, Node, Output, PersistentState, Timing, TransferId, TransferKind, VoterId};

const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };
const SNAPSHOT: TransferId =
    TransferId { kind: TransferKind::Snapshot, index: 9, term: 1, length: 100, checksum: 7 };

fn voter(host: usize) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation: 0 }
}

fn follower() -> Node {
    let founders = (0..3).map(voter).collect();
    let (term, vote, snapshot, entries) = (0, None, None, Vec::new());
    Node::start(PersistentState { me: voter(0), term, vote, snapshot, entries, founders }, TIMING, 1, 0)
}

/// How many bytes it says are there after a piece, as it says so at once; none if it says nothing.
fn received(
    node: &mut Node, from: usize, term: u64, transfer: TransferId, offset: u64, length: usize,
) -> Option<u64> {
    let message = Message::Chunk { term, transfer, offset, bytes: vec![5; length] };
    let mut out = Vec::new();
    node.handle(10, Input::Received { from: voter(from), message }, &mut out);
    assert!(!out.iter().any(|output| matches!(output, Output::Install { .. })), "no payload is whole here");
    out.into_iter().find_map(|output| match output {
        Output::Send {
            message: Message::ChunkReceived { transfer: of, offset: at, received, .. }, ..
        } => {
            assert_eq!((of, at), (transfer, offset));
            Some(received)
        }
        _ => None,
    })
}

#[test]
fn pieces_are_taken_in_order_and_once() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 40, 40), Some(0), "the first one is missing");
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 40), Some(40));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 40), Some(40), "again");
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 40, 61), Some(40), "longer than it was to be");
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 40, 40), Some(80));
}

#[test]
fn another_leader_goes_on_with_the_same_payload_and_begins_with_another() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 60), Some(60));
    assert_eq!(received(&mut node, 2, 2, SNAPSHOT, 0, 60), Some(60), "the next leader's first piece");
    // Its term is written down now; the one before is told of it once that is on disk, and changes nothing.
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 10), None);
    assert_eq!(received(&mut node, 2, 2, TransferId { checksum: 8, ..SNAPSHOT }, 60, 10), Some(0));
    assert_eq!(received(&mut node, 2, 2, SNAPSHOT, 60, 10), Some(0));
}

#[test]
fn what_does_not_have_its_checksum_is_sent_again() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 60), Some(60));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 40), Some(100));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 40), Some(0));
    let endless = TransferId { length: u64::MAX, ..SNAPSHOT };
    assert_eq!(received(&mut node, 1, 1, endless, 0, 40), Some(0), "nothing is kept of what has no end");
}
