//! Wire compatibility with the previous release, which does not know chunked transfers: both releases decode the common
//! messages identically, and the previous release never decodes a new message as an old one.

use bitcode::{Decode, Encode};
use raft::{Entry, Message, Payload, Snapshot, TransferId, TransferKind, VoterId};

/// The messages as the previous release declared them.
#[derive(Debug, PartialEq, Encode, Decode)]
enum PreviousMessage {
    PreVote { round: u64, term: u64, last_index: u64, last_term: u64 },
    PreVoteAnswer { round: u64, term: u64, granted: bool },
    RequestVote { term: u64, last_index: u64, last_term: u64 },
    VoteAnswer { term: u64, granted: bool },
    Heartbeat { term: u64, echo: u64, commit: u64 },
    HeartbeatAnswer { term: u64, echo: u64, matched: u64 },
    Append { term: u64, prev_index: u64, prev_term: u64, entries: Vec<Entry>, commit: u64 },
    InstallSnapshot { term: u64, snapshot: Snapshot },
    AppendAccepted { term: u64, index: u64 },
    AppendRejected { term: u64, prev_index: u64, hint: u64 },
}

fn entries(number: u64) -> Vec<Entry> {
    let list = vec![VoterId { address: format!("n{number}"), incarnation: number }];
    let kinds =
        [Payload::Noop, Payload::Change(vec![number as u8; number as usize % 40]), Payload::Members(list)];
    kinds.into_iter().map(|payload| Entry { index: number, term: number, payload }).collect()
}

fn snapshot(number: u64) -> Snapshot {
    let members = vec![VoterId { address: "n1".into(), incarnation: number }];
    Snapshot { index: number, term: number / 2, members, state: vec![7; number as usize % 90] }
}

/// Pairs of equal messages, as both releases declare them.
fn in_both_versions(n: u64) -> Vec<(PreviousMessage, Message)> {
    macro_rules! pairs {
        ($($name:ident { $($field:ident: $value:expr),* }),*) => {
            vec![$((PreviousMessage::$name { $($field: $value),* }, Message::$name { $($field: $value),* })),*]
        };
    }
    pairs![
        PreVote { round: n, term: n + 1, last_index: n / 2, last_term: 3 },
        PreVoteAnswer { round: n, term: n + 1, granted: n.is_multiple_of(2) },
        RequestVote { term: n, last_index: n / 2, last_term: 3 },
        VoteAnswer { term: n, granted: n.is_multiple_of(2) },
        Heartbeat { term: n, echo: n + 7, commit: n / 3 },
        HeartbeatAnswer { term: n, echo: n + 7, matched: n / 3 },
        Append { term: n, prev_index: n + 7, prev_term: n / 3, entries: entries(n), commit: n },
        InstallSnapshot { term: n, snapshot: snapshot(n) },
        AppendAccepted { term: n, index: n / 5 },
        AppendRejected { term: n, prev_index: n / 5, hint: n / 6 }
    ]
}

const NUMBERS: [u64; 6] = [0, 1, 200, 70_000, 5 << 33, u64::MAX / 2];

#[test]
fn messages_of_the_previous_release_are_decoded_by_both() {
    for (previous, current) in NUMBERS.into_iter().flat_map(in_both_versions) {
        let bytes = bitcode::encode(&current);
        assert_eq!(bytes, bitcode::encode(&previous));
        assert_eq!(bitcode::decode::<Message>(&bytes).expect("a decodable message"), current);
        assert_eq!(bitcode::decode::<PreviousMessage>(&bytes).expect("a decodable message"), previous);
    }
}

#[test]
fn previous_release_rejects_chunk_messages() {
    for number in NUMBERS {
        for kind in [TransferKind::Snapshot, TransferKind::Entry] {
            let transfer = TransferId { kind, index: number, term: 3, length: number / 2, checksum: number };
            let bytes = vec![number as u8; 20];
            let piece = Message::Chunk { term: number, transfer, offset: number, bytes };
            let answer = Message::ChunkReceived { term: number, transfer, offset: 0, received: number };
            for message in [piece, answer] {
                let bytes = bitcode::encode(&message);
                assert!(bitcode::decode::<PreviousMessage>(&bytes).is_err(), "{message:?}");
                assert_eq!(bitcode::decode::<Message>(&bytes).expect("a decodable message"), message);
            }
        }
    }
}
