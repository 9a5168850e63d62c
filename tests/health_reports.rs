//! Words of other gateways about backends: they spare tries, never go before one's own eyes, and never take out more
//! than half.

mod helper;
use doorcourse::*;
use helper::*;

/// Later than all that a word holds for.
const LATE: Millis = 1e9;

fn harness(backends: &[&str]) -> Harness {
    let mut harness = Harness::new(settings(), backends);
    harness.now = LATE;
    harness
}

fn word(harness: &mut Harness, backend: &str, down: bool) {
    harness.handle(Event::HealthReport { backend: backend.into(), down });
}

/// Which backends get so many requests one after the other, each served at once.
fn used(harness: &mut Harness, ids: std::ops::Range<u64>) -> Vec<String> {
    let mut all = Vec::new();
    for id in ids {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &at, Outcome::Served);
        all.push(at.to_string());
    }
    all
}

#[test]
fn a_word_spares_a_try_until_it_fades_or_is_taken_back() {
    for taken_back in [true, false] {
        let mut harness = harness(&["a1", "a2", "a3"]);
        word(&mut harness, "a1", true);
        assert!(!used(&mut harness, 1..20).contains(&"a1".to_owned()));
        if taken_back {
            word(&mut harness, "a1", false);
        } else {
            // A fifth of the cold time.
            harness.now += 3_600.0;
        }
        assert!(used(&mut harness, 20..40).contains(&"a1".to_owned()), "taken back: {taken_back}");
    }
}

#[test]
fn who_has_just_had_an_answer_believes_its_own_eyes() {
    let mut harness = harness(&["a1", "a2", "a3"]);
    let before = used(&mut harness, 1..20);
    assert!(before.contains(&"a1".to_owned()));
    word(&mut harness, "a1", true);
    assert!(used(&mut harness, 20..40).contains(&"a1".to_owned()));
}

#[test]
fn no_words_take_out_more_than_half_of_all_and_unknown_ones_nothing() {
    let names = ["a1", "a2", "a3", "a4"];
    let mut harness = harness(&names);
    word(&mut harness, "nobody", true);
    for name in names {
        word(&mut harness, name, true);
    }
    let used = used(&mut harness, 1..40);
    let left = names.iter().filter(|name| used.iter().any(|at| at == *name)).count();
    assert_eq!(left, 2, "{used:?}");
}

#[test]
fn what_is_found_out_of_a_backend_is_told_but_not_that_it_is_full_or_failing() {
    for (outcome, told) in [(Outcome::ConnectFailed, true), (Outcome::Full, false), (Outcome::Error, false)] {
        let mut harness = harness(&["a1"]);
        let reported =
            |all: &[Action]| all.iter().any(|a| matches!(a, Action::HealthObserved { down: true, .. }));
        harness.request(1, "c", "plain", "unsafe");
        let mut actions = harness.actions.clone();
        let call = counter_call(&actions).expect("a call");
        actions = harness.reply_total(call.0, call.1);
        let (id, at) = first_send(&actions).expect("sent");
        assert!(!reported(&harness.end_attempt(id, 0, &at, outcome)), "one failure is chance");
        harness.now += 2000.0;
        let second = harness.dispatch(2, "d", "plain", "unsafe");
        assert_eq!(reported(&harness.end_attempt(2, 0, &second, outcome)), told, "{outcome:?}");
        harness.now += 4000.0;
        let third = harness.dispatch(3, "e", "plain", "safe");
        let back = harness.end_attempt(3, 0, &third, Outcome::Served);
        assert!(back.iter().any(|a| matches!(a, Action::HealthObserved { down: false, .. })), "{back:?}");
    }
}
