//! Words of other gateways about backends: they spare tries, never go before one's own eyes, and never take out more
//! than half.

mod helper;
use doorcourse::*;
use helper::*;

/// Later than all that a word holds for.
const LATE: Millis = 1e9;

fn door(backends: &[&str]) -> Door {
    let mut door = Door::new(settings(), backends);
    door.now = LATE;
    door
}

fn word(door: &mut Door, backend: &str, down: bool) {
    door.tell(Event::HealthReport { backend: backend.into(), down });
}

/// Which backends get so many requests one after the other, each served at once.
fn used(door: &mut Door, ids: std::ops::Range<u64>) -> Vec<String> {
    let mut all = Vec::new();
    for id in ids {
        let at = door.served(id, &format!("c{id}"), "plain", "safe");
        door.end(id, 0, &at, Outcome::Served);
        all.push(at.to_string());
    }
    all
}

#[test]
fn a_word_spares_a_try_until_it_fades_or_is_taken_back() {
    for taken_back in [true, false] {
        let mut door = door(&["a1", "a2", "a3"]);
        word(&mut door, "a1", true);
        assert!(!used(&mut door, 1..20).contains(&"a1".to_owned()));
        if taken_back {
            word(&mut door, "a1", false);
        } else {
            // A fifth of the cold time.
            door.now += 3_600.0;
        }
        assert!(used(&mut door, 20..40).contains(&"a1".to_owned()), "taken back: {taken_back}");
    }
}

#[test]
fn who_has_just_had_an_answer_believes_its_own_eyes() {
    let mut door = door(&["a1", "a2", "a3"]);
    let before = used(&mut door, 1..20);
    assert!(before.contains(&"a1".to_owned()));
    word(&mut door, "a1", true);
    assert!(used(&mut door, 20..40).contains(&"a1".to_owned()));
}

#[test]
fn no_words_take_out_more_than_half_of_all_and_unknown_ones_nothing() {
    let names = ["a1", "a2", "a3", "a4"];
    let mut door = door(&names);
    word(&mut door, "nobody", true);
    for name in names {
        word(&mut door, name, true);
    }
    let used = used(&mut door, 1..40);
    let left = names.iter().filter(|name| used.iter().any(|at| at == *name)).count();
    assert_eq!(left, 2, "{used:?}");
}

#[test]
fn what_is_found_out_of_a_backend_is_told_but_not_that_it_is_full_or_failing() {
    for (outcome, told) in [(Outcome::ConnectFailed, true), (Outcome::Full, false), (Outcome::Error, false)] {
        let mut door = door(&["a1"]);
        let judged =
            |did: &[Action]| did.iter().any(|a| matches!(a, Action::HealthObserved { down: true, .. }));
        door.ask(1, "c", "plain", "unsafe");
        let mut did = door.did.clone();
        let call = count(&did).expect("a call");
        did = door.total(call.0, call.1);
        let (id, at) = sent(&did).expect("sent");
        assert!(!judged(&door.end(id, 0, &at, outcome)), "one failure is chance");
        door.now += 2000.0;
        let second = door.served(2, "d", "plain", "unsafe");
        assert_eq!(judged(&door.end(2, 0, &second, outcome)), told, "{outcome:?}");
        door.now += 4000.0;
        let third = door.served(3, "e", "plain", "safe");
        let back = door.end(3, 0, &third, Outcome::Served);
        assert!(back.iter().any(|a| matches!(a, Action::HealthObserved { down: false, .. })), "{back:?}");
    }
}
