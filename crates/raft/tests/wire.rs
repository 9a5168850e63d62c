//! Messages beside a process of the version before, which knows none of pieces: what both say is read by both, and what it
//! can't know it does not take for something else.

use bitcode::{Decode, Encode};
use raft::{Entry, Message, Payload, Snapshot, TransferId, TransferKind, VoterId};

/// The messages of the version before, as it declared them.
#[derive(Debug, PartialEq, Encode, Decode)]
enum Former {
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

/// The same messages, as both versions declare them.
fn both(n: u64) -> Vec<(Former, Message)> {
    macro_rules! same {
        ($($name:ident { $($field:ident: $value:expr),* }),*) => {
            vec![$((Former::$name { $($field: $value),* }, Message::$name { $($field: $value),* })),*]
        };
    }
    same![
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
fn messages_of_the_version_before_are_read_by_both() {
    for (former, now) in NUMBERS.into_iter().flat_map(both) {
        let bytes = bitcode::encode(&now);
        assert_eq!(bytes, bitcode::encode(&former));
        assert_eq!(bitcode::decode::<Message>(&bytes).expect("a message"), now);
        assert_eq!(bitcode::decode::<Former>(&bytes).expect("a message"), former);
    }
}

#[test]
fn the_version_before_takes_no_piece_for_anything_else() {
    for number in NUMBERS {
        for kind in [TransferKind::Snapshot, TransferKind::Entry] {
            let transfer = TransferId { kind, index: number, term: 3, length: number / 2, checksum: number };
            let bytes = vec![number as u8; 20];
            let piece = Message::Chunk { term: number, transfer, offset: number, bytes };
            let answer = Message::ChunkReceived { term: number, transfer, offset: 0, received: number };
            for message in [piece, answer] {
                let bytes = bitcode::encode(&message);
                assert!(bitcode::decode::<Former>(&bytes).is_err(), "{message:?}");
                assert_eq!(bitcode::decode::<Message>(&bytes).expect("a message"), message);
            }
        }
    }
}
