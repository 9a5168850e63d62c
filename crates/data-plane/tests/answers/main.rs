//! Random scenarios: many clients send requests on reused connections to backends that misbehave in every known way.
//! Each client receives its own answer or a failure, an effectful request runs at most once, and a request whose answer
//! promises that it did not run never runs.

mod backend;
mod callers;
mod clock;
#[path = "../helper/mod.rs"]
mod helper;
mod history;

use data_plane::Faults;
use history::{Violation, run_scenario};

/// The default number of scenarios.
const SCENARIOS: u64 = 6;
/// The number of scenarios within which an injected fault must be found. Most faults are found in the first scenario.
const MAX_SCENARIOS: u64 = 40;
/// The environment variable for the number of scenarios, for longer searches.
const SCENARIOS_VARIABLE: &str = "ANSWERS_WORLDS";

fn scenarios() -> u64 {
    std::env::var(SCENARIOS_VARIABLE).ok().and_then(|scenarios| scenarios.parse().ok()).unwrap_or(SCENARIOS)
}

#[test]
fn clients_get_their_own_answers_and_nothing_runs_against_a_promise() {
    let (mut served, mut reused, mut refused, mut failed) = (0, 0, 0, 0);
    for seed in 1..=scenarios() {
        let outcome = run_scenario(seed, Faults::default());
        assert_eq!(outcome.violations, [], "seed {seed}");
        served += outcome.served;
        reused += outcome.reused;
        refused += outcome.refused;
        failed += outcome.failed;
    }
    println!("{served} served, {reused} on reused connections, {refused} refused, {failed} failed");
    // With fewer requests of each kind, the scenarios would prove little.
    assert!(
        served > 500 && reused > 500 && refused > 100 && failed > 100,
        "{served} {reused} {refused} {failed}"
    );
}

#[yare::parameterized(
    ids_are_not_compared = { Faults { accept_any_answer: true, ..Faults::default() }, |v| matches!(v, Violation::ForeignAnswer { .. }) },
    a_broken_request_is_sent_again = { Faults { resend_broken: true, ..Faults::default() }, |v| matches!(v, Violation::DuplicateExecution { .. }) },
    a_timeout_counts_as_never_sent = { Faults { timeout_is_unsent: true, ..Faults::default() }, |v| matches!(v, Violation::BrokenPromise { .. } | Violation::DuplicateExecution { .. }) },
    a_connection_is_reused_after_a_timeout = { Faults { reuse_timed_out: true, ..Faults::default() }, |v| matches!(v, Violation::InvalidConnectionReused { .. }) },
    a_connection_is_reused_after_an_invalid_answer = { Faults { reuse_unmatched: true, ..Faults::default() }, |v| matches!(v, Violation::InvalidConnectionReused { .. }) },
    attempts_of_a_request_share_a_connection = { Faults { share_connection: true, ..Faults::default() }, |v| matches!(v, Violation::BrokenPromise { .. } | Violation::DuplicateExecution { .. }) },
)]
fn injected_faults_are_found(faults: Faults, matches_fault: fn(&Violation) -> bool) {
    assert!((1..=MAX_SCENARIOS).any(|seed| run_scenario(seed, faults).violations.iter().any(matches_fault)));
}
