//! Health reports of other gateways: they prevent attempts, but never override a recent answer to this gateway and
//! never eject more than half of the backends.

mod helper;
use doorcourse::*;
use helper::*;

/// Later than the time to live of any report.
const LATE: Millis = 1e9;

fn late_harness(backends: &[&str]) -> Harness {
    let mut harness = Harness::new(settings(), backends);
    harness.now = LATE;
    harness
}

fn report(harness: &mut Harness, backend: &str, down: bool) {
    harness.handle(Event::HealthReport { backend: backend.into(), down });
}

/// Serves requests one after the other and returns the backend of each.
fn backends_used(harness: &mut Harness, ids: std::ops::Range<u64>) -> Vec<String> {
    let mut all = Vec::new();
    for id in ids {
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &chosen, Outcome::Served);
        all.push(chosen.to_string());
    }
    all
}

#[test]
fn reported_backend_is_avoided_until_the_report_expires_or_is_withdrawn() {
    for withdrawn in [true, false] {
        let mut harness = late_harness(&["a1", "a2", "a3"]);
        report(&mut harness, "a1", true);
        assert!(!backends_used(&mut harness, 1..20).contains(&"a1".to_owned()));
        if withdrawn {
            report(&mut harness, "a1", false);
        } else {
            // The report expires after a fifth of the warm-up time.
            harness.now += 3_600.0;
        }
        assert!(backends_used(&mut harness, 20..40).contains(&"a1".to_owned()), "withdrawn: {withdrawn}");
    }
}

#[test]
fn recent_answer_outweighs_a_report() {
    let mut harness = late_harness(&["a1", "a2", "a3"]);
    let before = backends_used(&mut harness, 1..20);
    assert!(before.contains(&"a1".to_owned()));
    report(&mut harness, "a1", true);
    assert!(backends_used(&mut harness, 20..40).contains(&"a1".to_owned()));
}

#[test]
fn reports_eject_at_most_half_of_the_backends() {
    let names = ["a1", "a2", "a3", "a4"];
    let mut harness = late_harness(&names);
    report(&mut harness, "nobody", true);
    for name in names {
        report(&mut harness, name, true);
    }
    let backends_used = backends_used(&mut harness, 1..40);
    let left = names.iter().filter(|name| backends_used.iter().any(|chosen| chosen == *name)).count();
    assert_eq!(left, 2, "{backends_used:?}");
}

#[test]
fn unresponsive_backend_is_reported_but_not_a_full_or_failing_one() {
    for (outcome, expected) in
        [(Outcome::ConnectFailed, true), (Outcome::Full, false), (Outcome::Error, false)]
    {
        let mut harness = late_harness(&["a1"]);
        let reported =
            |all: &[Action]| all.iter().any(|a| matches!(a, Action::HealthObserved { down: true, .. }));
        harness.request(1, "c", "plain", "unsafe");
        let mut actions = harness.actions.clone();
        let call = counter_call(&actions).expect("a counter call");
        actions = harness.reply_total(call.0, call.1);
        let (id, chosen) = first_send(&actions).expect("an attempt");
        assert!(!reported(&harness.end_attempt(id, 0, &chosen, outcome)), "a single failure is not reported");
        harness.now += 2000.0;
        let second = harness.dispatch(2, "d", "plain", "unsafe");
        assert_eq!(reported(&harness.end_attempt(2, 0, &second, outcome)), expected, "{outcome:?}");
        harness.now += 4000.0;
        let third = harness.dispatch(3, "e", "plain", "safe");
        let back = harness.end_attempt(3, 0, &third, Outcome::Served);
        assert!(back.iter().any(|a| matches!(a, Action::HealthObserved { down: false, .. })), "{back:?}");
    }
}
