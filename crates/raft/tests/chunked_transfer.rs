//! Rules of a follower that receives a chunked transfer.
//!
//! A chunked transfer sends a long snapshot or entry in several messages.

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

/// The number of received bytes that the follower reports after a chunk; `None` if the follower does not respond.
fn received(
    node: &mut Node, from: usize, term: u64, transfer: TransferId, offset: u64, length: usize,
) -> Option<u64> {
    let message = Message::Chunk { term, transfer, offset, bytes: vec![5; length] };
    let mut out = Vec::new();
    node.handle(10, Input::Received { from: voter(from), message }, &mut out);
    assert!(
        !out.iter().any(|output| matches!(output, Output::Install { .. })),
        "no payload is complete in these tests"
    );
    out.into_iter().find_map(|output| match output {
        Output::Send {
            message:
                Message::ChunkReceived { transfer: answered_transfer, offset: answered_offset, received, .. },
            ..
        } => {
            assert_eq!((answered_transfer, answered_offset), (transfer, offset));
            Some(received)
        }
        _ => None,
    })
}

#[test]
fn chunks_are_accepted_in_order_and_once() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 40, 40), Some(0), "the first chunk is missing");
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 40), Some(40));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 40), Some(40), "a repeated chunk");
    assert_eq!(
        received(&mut node, 1, 1, SNAPSHOT, 40, 61),
        Some(40),
        "a chunk beyond the end of the payload"
    );
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 40, 40), Some(80));
}

#[test]
fn next_leader_resumes_the_same_payload_and_restarts_another() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 60), Some(60));
    assert_eq!(received(&mut node, 2, 2, SNAPSHOT, 0, 60), Some(60), "the first chunk from the next leader");
    // The follower saves the new term. The former leader gets a response only once the save is durable, and its chunk
    // has no effect.
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 10), None);
    assert_eq!(received(&mut node, 2, 2, TransferId { checksum: 8, ..SNAPSHOT }, 60, 10), Some(0));
    assert_eq!(received(&mut node, 2, 2, SNAPSHOT, 60, 10), Some(0));
}

#[test]
fn payload_with_wrong_checksum_is_received_again() {
    let mut node = follower();
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 0, 60), Some(60));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 40), Some(100));
    assert_eq!(received(&mut node, 1, 1, SNAPSHOT, 60, 40), Some(0));
    let oversized = TransferId { length: u64::MAX, ..SNAPSHOT };
    assert_eq!(
        received(&mut node, 1, 1, oversized, 0, 40),
        Some(0),
        "a payload above the maximum size is not stored"
    );
}
