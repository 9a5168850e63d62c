//! The replicated state under random commands: a duty has one holder, fences never decrease, records are written only
//! under the current fence, and absences stay within their limit. Replaying the log must produce the same state.

use fennelscale_group::state_machine::{Command, MAX_SESSIONS, Reply, Session, State};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

fn session_info(name: u64) -> Session {
    Session { name: format!("g{name}"), zone: "z".into(), version: "1".into() }
}

fn open(session: u64) -> Command {
    Command::OpenSession { session, info: session_info(session % 10), seen_fences: Vec::new() }
}

fn random_command(random: &mut SmallRng, state: &State) -> Command {
    let session = random.random_range(0..14);
    let duty = format!("d{}", random.random_range(0..3));
    // The current fence, one of the two fences before it, or occasionally a fence that was never granted.
    let current = state.duties.get(&duty).map_or(0, |duty| duty.fence);
    let fence = current.saturating_sub(random.random_range(0..3)) + u64::from(random.random_bool(0.05));
    match random.random_range(0..9) {
        0 => {
            let seen_fences = if random.random_bool(0.2) { vec![(duty, fence + 3)] } else { Vec::new() };
            Command::OpenSession { session, info: session_info(session % 10), seen_fences }
        }
        1 => Command::CloseSession { session },
        2 => Command::ExpireSession { session, term: random.random_range(1..3) },
        3 | 4 => Command::ClaimDuty { session, duty },
        5 => Command::ReleaseDuty {
            session,
            duty,
            fence,
            to: random.random_bool(0.5).then(|| session_info(3).name),
        },
        6 => Command::WriteRecord { session, duty, fence, key: "k".into(), value: vec![session as u8] },
        7 => Command::RequestAbsence { session, max_absent: 2 },
        _ => Command::ExpireAbsence {
            name: session_info(random.random_range(0..10)).name,
            term: random.random_range(1..3),
        },
    }
}

#[test]
fn random_logs_keep_the_invariants_and_replay_to_the_same_state() {
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut state, mut log) = (State::default(), Vec::new());
        let mut last_granted: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..300 {
            let command = random_command(&mut random, &state);
            let before = state.clone();
            let reply = state.apply(1, &command);
            log.push(command.clone());
            for (name, duty) in &state.duties {
                let old = before.duties.get(name).cloned().unwrap_or_default();
                assert!(duty.fence >= old.fence, "fence decreased: {command:?}");
                if let Some(holder) = duty.holder {
                    assert!(state.sessions.contains_key(&holder), "holder without a session: {command:?}");
                    if old.holder != Some(holder) {
                        let last = last_granted.insert(name.clone(), duty.fence);
                        assert!(
                            last.is_none_or(|last| duty.fence > last),
                            "fence granted twice: {command:?}"
                        );
                        // A duty changes its holder only by a release or after the holder's session has ended.
                        let by_release = matches!(&command, Command::ReleaseDuty { session, .. } if old.holder == Some(*session));
                        assert!(
                            old.holder.is_none() || by_release,
                            "duty taken from its holder: {command:?}"
                        );
                    }
                }
            }
            if let (Command::WriteRecord { session, duty, fence, .. }, Reply::Done) = (&command, &reply) {
                let held = &before.duties[duty];
                assert_eq!(
                    (held.holder, held.fence),
                    (Some(*session), *fence),
                    "write without holding the duty"
                );
            }
            if let (Command::ExpireSession { session, term: 2 }, true) = (&command, before.sessions.len() > 3)
            {
                assert_eq!(
                    before.sessions.get(session),
                    state.sessions.get(session),
                    "an expiry from another term took effect"
                );
            }
            assert!(state.absences.len() <= 2, "{command:?}");
            let names: BTreeSet<&String> = state.absences.keys().collect();
            assert_eq!(names.len(), state.absences.len());
            assert!(state.revision >= before.revision);
        }
        let mut replayed = State::default();
        for command in &log {
            replayed.apply(1, command);
        }
        assert_eq!(state, replayed);
    }
}

#[test]
fn a_repeated_claim_gets_the_same_fence() {
    let mut state = State::default();
    state.apply(1, &open(1));
    state.apply(1, &open(2));
    let claim = |session| Command::ClaimDuty { session, duty: "d".into() };
    assert_eq!(state.apply(1, &claim(1)), Reply::Held(1));
    assert_eq!(state.apply(1, &claim(1)), Reply::Held(1));
    assert_eq!(state.apply(1, &claim(2)), Reply::NotHeld { holder: Some(1), fence: 1 });
    state.apply(1, &Command::ExpireSession { session: 1, term: 1 });
    assert_eq!(state.apply(1, &claim(1)), Reply::NoSession);
    assert_eq!(state.apply(1, &claim(2)), Reply::Held(2));
}

#[test]
fn a_group_that_lost_its_state_continues_above_remembered_fences_with_one_holder() {
    let mut state = State::default();
    state.apply(1, &open(1));
    assert_eq!(state.apply(1, &Command::ClaimDuty { session: 1, duty: "d".into() }), Reply::Held(1));
    let seen_fences = vec![("d".to_owned(), 40)];
    state.apply(1, &Command::OpenSession { session: 2, info: session_info(2), seen_fences });
    // The holder may still be acting: it keeps the duty under a fence above every fence seen so far.
    assert_eq!((state.duties["d"].holder, state.duties["d"].fence), (Some(1), 41));
}

#[test]
fn the_state_is_bounded() {
    let mut state = State::default();
    for session in 0..=MAX_SESSIONS as u64 {
        state.apply(1, &open(session));
    }
    assert_eq!((state.sessions.len(), state.apply(1, &open(5000))), (MAX_SESSIONS, Reply::LimitExceeded));
    for number in 0..1000 {
        state.apply(1, &Command::ClaimDuty { session: 1, duty: number.to_string() });
    }
    assert!(state.duties.len() <= 64);
    let write = |key: String, bytes| {
        let value = vec![0; bytes];
        Command::WriteRecord { session: 1, duty: "0".into(), fence: 1, key, value }
    };
    assert_eq!(state.apply(1, &write("k".into(), 9000)), Reply::LimitExceeded);
    for number in 0..1000 {
        state.apply(1, &write(number.to_string(), 10));
    }
    assert!(state.records.len() <= 256);
    let set_address = |name: String| Command::SetVoterAddress { name, address: "10.0.0.1:1".into() };
    let accepted_addresses =
        (0..1000).filter(|n| state.apply(1, &set_address(format!("v{n}"))) == Reply::Done).count();
    assert_eq!((accepted_addresses, state.voter_addresses.len()), (64, 64));
    assert_eq!(state.apply(1, &set_address("v1".into())), Reply::Done, "a known address is replaced");
    state.set_voters(&["v1", "w"]);
    assert_eq!(state.voter_addresses.keys().collect::<Vec<_>>(), ["v1"]);
    let too_long = Session { name: "x".repeat(100), zone: "z".into(), version: "1".into() };
    assert_eq!(
        state.apply(1, &Command::OpenSession { session: 1, info: too_long, seen_fences: Vec::new() }),
        Reply::LimitExceeded
    );
}
