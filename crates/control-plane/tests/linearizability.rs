//! Tests of the linearizability checker: it accepts valid register histories and rejects invalid ones.

#[path = "support/linearizability.rs"]
mod linearizability;

use linearizability::{Answer, ConfigRegister, History, Order, check};

/// Event of a history.
enum Event {
    Call(usize, Order),
    Answer(usize, Answer),
}
use Event::{Answer as Answered, Call};

fn replace(base: u64, version: u64) -> Order {
    Order::Replace { base, version, content: version }
}

fn newest(version: u64) -> Answer {
    Answer::Newest((version > 0).then_some((version, version)))
}

fn is_linearizable(events: Vec<Event>) -> bool {
    let mut history = History::default();
    let mut numbers = std::collections::BTreeMap::new();
    for event in events {
        match event {
            Call(name, order) => drop(numbers.insert(name, history.invoke(order))),
            Answered(name, answer) => history.answer(numbers[&name], answer),
        }
    }
    check(&ConfigRegister, &history).is_ok()
}

#[test]
fn sequential_calls_observe_earlier_ones() {
    let first = || vec![Call(1, replace(0, 1)), Answered(1, Answer::Accepted), Call(2, Order::Read)];
    let with = |answer| first().into_iter().chain([Answered(2, answer)]).collect();
    assert!(is_linearizable(with(newest(1))));
    assert!(!is_linearizable(with(newest(0))), "a stale read after an acknowledged change");
    assert!(!is_linearizable(with(newest(2))), "a read of a value that was never written");
}

#[test]
fn overlapping_calls_may_take_effect_in_either_order() {
    let overlapping = |answer| {
        vec![Call(1, replace(0, 1)), Call(2, Order::Read), Answered(2, answer), Answered(1, Answer::Accepted)]
    };
    assert!(is_linearizable(overlapping(newest(0))));
    assert!(is_linearizable(overlapping(newest(1))));
    let backwards = vec![
        Call(1, replace(0, 1)),
        Call(2, Order::Read),
        Answered(2, newest(1)),
        Call(3, Order::Read),
        Answered(3, newest(0)),
        Answered(1, Answer::Accepted),
    ];
    assert!(!is_linearizable(backwards), "a later read observed an older value");
}

#[test]
fn a_call_without_an_answer_may_take_effect_late_or_never() {
    for seen in [0, 1] {
        assert!(is_linearizable(vec![
            Call(1, replace(0, 1)),
            Call(2, Order::Read),
            Answered(2, newest(seen))
        ]));
    }
    let late = [(2, 0), (3, 1), (4, 1)];
    let reads =
        late.iter().flat_map(|(name, seen)| [Call(*name, Order::Read), Answered(*name, newest(*seen))]);
    assert!(is_linearizable([Call(1, replace(0, 1))].into_iter().chain(reads).collect()));
    let undone = [(2, 1), (3, 0)];
    let reads =
        undone.iter().flat_map(|(name, seen)| [Call(*name, Order::Read), Answered(*name, newest(*seen))]);
    assert!(
        !is_linearizable([Call(1, replace(0, 1))].into_iter().chain(reads).collect()),
        "a change took effect and disappeared"
    );
}

#[test]
fn two_changes_of_one_version_are_not_both_accepted() {
    let other = || Order::Replace { base: 0, version: 1, content: 7 };
    let both = vec![
        Call(1, replace(0, 1)),
        Call(2, other()),
        Answered(1, Answer::Accepted),
        Answered(2, Answer::Accepted),
    ];
    assert!(!is_linearizable(both));
    let one = vec![
        Call(1, replace(0, 1)),
        Call(2, other()),
        Answered(1, Answer::Refused),
        Answered(2, Answer::Accepted),
    ];
    assert!(is_linearizable(one));
}

#[test]
fn a_refusal_needs_a_reason_and_is_final() {
    assert!(
        !is_linearizable(vec![Call(1, replace(0, 1)), Answered(1, Answer::Refused)]),
        "no other version was current"
    );
    let retried = |answer| {
        vec![
            Call(1, replace(0, 1)),
            Call(2, replace(1, 2)),
            Answered(2, Answer::Accepted),
            Call(3, replace(0, 1)),
            Answered(3, answer),
        ]
    };
    assert!(
        is_linearizable(retried(Answer::Accepted)),
        "a retried order is acknowledged after a newer version"
    );
    assert!(!is_linearizable(retried(Answer::Refused)), "an accepted order was refused on retry");
}

#[test]
fn long_histories_with_many_concurrent_calls_are_checked_quickly() {
    let mut history = History::default();
    for round in 0..60 {
        // Of eight orders on the same base one is accepted; two get no answer.
        let calls: Vec<_> = (0..8)
            .map(|caller| {
                let (base, version, content) = (round, round + 1, caller);
                history.invoke(Order::Replace { base, version, content })
            })
            .collect();
        let reads: Vec<_> = (0..4).map(|_| history.invoke(Order::Read)).collect();
        history.answer(calls[5], Answer::Accepted);
        for call in [0, 1, 2, 3, 4] {
            history.answer(calls[call], Answer::Refused);
        }
        for read in reads {
            history.answer(read, Answer::Newest(Some((round + 1, 5))));
        }
    }
    assert!(check(&ConfigRegister, &history).is_ok());
    let stale = history.invoke(Order::Read);
    history.answer(stale, Answer::Newest(Some((59, 5))));
    let violation = check(&ConfigRegister, &history).expect_err("the last read is stale");
    assert!(violation.to_string().contains("Newest(Some((59, 5)))"), "{violation}");
}
