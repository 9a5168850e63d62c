//! Many callers over kept connections to backends that misbehave in every way that is known, by a seed: each caller gets
//! its own answer or a failure, an effectful request runs once at most, and what is promised not to run never does.

mod backend;
mod callers;
mod clock;
#[path = "../helper/mod.rs"]
mod helper;
mod history;

use data_plane::Faults;
use history::{Violation, play};

/// Worlds that are drawn.
const WORLDS: u64 = 6;
/// A planted fault is found in one of so many; most in the first.
const MOST_WORLDS: u64 = 40;
/// Says how many worlds are drawn, for longer searches.
const WORLDS_VARIABLE: &str = "ANSWERS_WORLDS";

fn worlds() -> u64 {
    std::env::var(WORLDS_VARIABLE).ok().and_then(|worlds| worlds.parse().ok()).unwrap_or(WORLDS)
}

#[test]
fn everybody_gets_the_own_answer_and_nothing_runs_that_must_not() {
    let (mut served, mut kept, mut refused, mut failed) = (0, 0, 0, 0);
    for seed in 1..=worlds() {
        let outcome = play(seed, Faults::default());
        assert_eq!(outcome.violations, [], "seed {seed}");
        served += outcome.served;
        kept += outcome.reused;
        refused += outcome.refused;
        failed += outcome.failed;
    }
    println!("{served} served, {kept} on kept connections, {refused} refused, {failed} failed");
    // Else the worlds would show little.
    assert!(
        served > 500 && kept > 500 && refused > 100 && failed > 100,
        "{served} {kept} {refused} {failed}"
    );
}

#[yare::parameterized(
    ids_are_not_compared = { Faults { any_answer: true, ..Faults::default() }, |v| matches!(v, Violation::ForeignAnswer { .. }) },
    a_broken_request_is_sent_again = { Faults { repeats_broken: true, ..Faults::default() }, |v| matches!(v, Violation::RanTwice { .. }) },
    silence_counts_as_never_sent = { Faults { silence_is_unsent: true, ..Faults::default() }, |v| matches!(v, Violation::BrokenPromise { .. } | Violation::RanTwice { .. }) },
    a_connection_is_kept_after_a_time_out = { Faults { keeps_given_up: true, ..Faults::default() }, |v| matches!(v, Violation::OddReused { .. }) },
    a_connection_is_kept_after_what_is_no_answer = { Faults { keeps_odd: true, ..Faults::default() }, |v| matches!(v, Violation::OddReused { .. }) },
    a_request_uses_a_connection_twice = { Faults { any_carrier: true, ..Faults::default() }, |v| matches!(v, Violation::BrokenPromise { .. } | Violation::RanTwice { .. }) },
)]
fn planted_faults_are_found(faults: Faults, is_it: fn(&Violation) -> bool) {
    assert!((1..=MOST_WORLDS).any(|seed| play(seed, faults).violations.iter().any(is_it)));
}
