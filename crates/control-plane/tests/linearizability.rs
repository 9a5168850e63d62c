//! The linearizability checker itself: it takes what a register may do, and finds what it may not.

#[path = "support/linearizability.rs"]
mod linearizability;

use linearizability::{Answer, ConfigRegister, History, Order, check};

/// What happens in a history, in order.
enum Event {
    Call(usize, Order),
    Answer(usize, Answer),
}
use Event::{Answer as Says, Call};

fn replace(base: u64, version: u64) -> Order {
    Order::Replace { base, version, content: version }
}

fn newest(version: u64) -> Answer {
    Answer::Newest((version > 0).then_some((version, version)))
}

fn holds(events: Vec<Event>) -> bool {
    let mut history = History::default();
    let mut numbers = std::collections::BTreeMap::new();
    for event in events {
        match event {
            Call(name, order) => drop(numbers.insert(name, history.invoke(order))),
            Says(name, answer) => history.answer(numbers[&name], answer),
        }
    }
    check(&ConfigRegister, &history).is_ok()
}

#[test]
fn calls_one_after_the_other_see_each_other() {
    let first = || vec![Call(1, replace(0, 1)), Says(1, Answer::Taken), Call(2, Order::Read)];
    let with = |answer| first().into_iter().chain([Says(2, answer)]).collect();
    assert!(holds(with(newest(1))));
    assert!(!holds(with(newest(0))), "a read of what was before an acknowledged change");
    assert!(!holds(with(newest(2))), "a read of what nobody wrote");
}

#[test]
fn calls_that_overlap_may_come_in_either_order() {
    let overlapping =
        |answer| vec![Call(1, replace(0, 1)), Call(2, Order::Read), Says(2, answer), Says(1, Answer::Taken)];
    assert!(holds(overlapping(newest(0))));
    assert!(holds(overlapping(newest(1))));
    let backwards = vec![
        Call(1, replace(0, 1)),
        Call(2, Order::Read),
        Says(2, newest(1)),
        Call(3, Order::Read),
        Says(3, newest(0)),
        Says(1, Answer::Taken),
    ];
    assert!(!holds(backwards), "a read after a read is older");
}

#[test]
fn a_lost_answer_may_have_happened_or_not_and_late() {
    for seen in [0, 1] {
        assert!(holds(vec![Call(1, replace(0, 1)), Call(2, Order::Read), Says(2, newest(seen))]));
    }
    let late = [(2, 0), (3, 1), (4, 1)];
    let reads = late.iter().flat_map(|(name, seen)| [Call(*name, Order::Read), Says(*name, newest(*seen))]);
    assert!(holds([Call(1, replace(0, 1))].into_iter().chain(reads).collect()));
    let gone = [(2, 1), (3, 0)];
    let reads = gone.iter().flat_map(|(name, seen)| [Call(*name, Order::Read), Says(*name, newest(*seen))]);
    assert!(
        !holds([Call(1, replace(0, 1))].into_iter().chain(reads).collect()),
        "it was there and went away"
    );
}

#[test]
fn two_changes_of_one_version_are_not_both_taken() {
    let other = || Order::Replace { base: 0, version: 1, content: 7 };
    let both = vec![Call(1, replace(0, 1)), Call(2, other()), Says(1, Answer::Taken), Says(2, Answer::Taken)];
    assert!(!holds(both));
    let one =
        vec![Call(1, replace(0, 1)), Call(2, other()), Says(1, Answer::Refused), Says(2, Answer::Taken)];
    assert!(holds(one));
}

#[test]
fn a_refusal_needs_a_reason_and_lasts() {
    assert!(!holds(vec![Call(1, replace(0, 1)), Says(1, Answer::Refused)]), "nothing else was current");
    let resent = |answer| {
        vec![
            Call(1, replace(0, 1)),
            Call(2, replace(1, 2)),
            Says(2, Answer::Taken),
            Call(3, replace(0, 1)),
            Says(3, answer),
        ]
    };
    assert!(holds(resent(Answer::Taken)), "an order that was sent again, with a newer one in place");
    assert!(!holds(resent(Answer::Refused)), "taken first, then refused");
}

#[test]
fn long_histories_of_many_who_call_at_once_are_checked_in_time() {
    let mut history = History::default();
    for round in 0..60 {
        // Of eight on the same base one wins, two get no answer.
        let calls: Vec<_> = (0..8)
            .map(|who| {
                let (base, version, content) = (round, round + 1, who);
                history.invoke(Order::Replace { base, version, content })
            })
            .collect();
        let reads: Vec<_> = (0..4).map(|_| history.invoke(Order::Read)).collect();
        history.answer(calls[5], Answer::Taken);
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
    let violation = check(&ConfigRegister, &history).expect_err("the last read is old");
    assert!(violation.to_string().contains("Newest(Some((59, 5)))"), "{violation}");
}
