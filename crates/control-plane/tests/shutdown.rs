//! Graceful shutdown of a control plane: leadership is transferred, orders keep being accepted, and no pending call
//! is lost.
//!
//! An order is an operator's request to change the configuration.

#[path = "support/simulation.rs"]
#[allow(dead_code)] // These tests cut no links and hang no disks.
mod simulation;

use control_plane::{Call, Faults, Reply};
use simulation::Simulation;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const VOTERS: usize = 3;
const NON_VOTERS: usize = 1;
/// Timeout of an operator's change.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for the transfer of leadership. An election after a silence takes at least 320 ms.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(150);
/// Time limit for each order during the transfer.
const MAX_ORDER_TIME: Duration = Duration::from_millis(250);
const POLL_INTERVAL: Duration = Duration::from_millis(15);

fn config(version: u64) -> Vec<u8> {
    format!(
        r#"{{"generation":"r{version}","route_table":{{"r":{{"authority":"h.example","path_prefix":"/",
        "variant":"pure","deadline_ms":1000,"goal_ms":500,"rank":1,"target":"s","max_tries":2,"public":true}}}},
        "service_table":{{"s":{{"health_path":"/h","max_conns":10,"protocol":"h1","tls_mode":false}}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}},
        "tenant_table":{{"t":{{"api_keys":["key"],"rank":1,"rate_per_s":10,"burst_size":10}}}}}}"#
    )
    .into_bytes()
}

async fn change(simulation: &Simulation, process: usize, version: u64) -> Option<Reply> {
    let order = protocol::LeaderCall::Replace { base: version - 1, body: config(version) };
    simulation.call(process, Call::Order(order), CHANGE_TIMEOUT).await
}

async fn status(simulation: &Simulation, process: usize) -> serde_json::Value {
    let status = simulation.call(process, Call::Status, CHANGE_TIMEOUT).await.expect("a status");
    serde_json::from_slice(&status.body).expect("JSON")
}

/// The leader: the process whose status reports that it holds the leader lease.
async fn leader(simulation: &Simulation) -> usize {
    loop {
        for process in 0..simulation.size() {
            if status(simulation, process).await["log"]["holds_lease"] == true {
                return process;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends changes one after the other through one process while the leader is shut down halfway.
async fn send_changes_while_the_leader_shuts_down(seed: u64, through_the_leader: bool) {
    let simulation = Simulation::start(VOTERS, NON_VOTERS, seed, Faults::default());
    let stopping = leader(&simulation).await;
    let process = if through_the_leader { stopping } else { VOTERS };
    let mut done = None;
    for version in 1..=40 {
        if version == 20 {
            done = Some((Instant::now(), simulation.shut_down(stopping).await));
        }
        let sent = Instant::now();
        let reply = change(&simulation, process, version).await;
        assert_eq!(reply.map(|reply| reply.status), Some(200), "seed {seed}, version {version}");
        // For the first order, the processes have yet to find each other.
        assert!(
            version == 1 || sent.elapsed() < MAX_ORDER_TIME,
            "seed {seed}, version {version} took {:?}",
            sent.elapsed()
        );
        sleep(POLL_INTERVAL).await;
    }
    let (since, done) = done.expect("the shutdown was requested");
    let in_time = timeout(MAX_TRANSFER_TIME, done).await;
    assert!(in_time.is_ok_and(|done| done.is_ok()), "seed {seed}: not shut down after {:?}", since.elapsed());
    assert_ne!(leader(&simulation).await, stopping, "seed {seed}: the former leader still leads");
}

fn run_on_simulated_clock(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario);
}

#[test]
fn orders_are_accepted_while_the_leader_shuts_down() {
    for (seed, through_the_leader) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        run_on_simulated_clock(send_changes_while_the_leader_shuts_down(seed, through_the_leader));
    }
}

/// Time limit for a change after the loss of a voter: an election, the first lease, and a round trip.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(1500);
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A planned replacement: a new voter has joined, and the voter that it replaces shuts down. Immediately afterwards
/// another voter is lost.
#[test]
fn an_even_voter_list_tolerates_another_loss_once_a_voter_has_shut_down() {
    for seed in 0..12 {
        run_on_simulated_clock(async move {
            let simulation = Simulation::start(4, NON_VOTERS, seed, Faults::default());
            let first_leader = leader(&simulation).await;
            change(&simulation, first_leader, 1).await.expect("an answer");
            sleep(SETTLE_TIME).await;
            // The seeds shut down the leader and each other voter in turn.
            let stopping = (first_leader + seed as usize) % 4;
            let done = simulation.shut_down(stopping).await;
            assert!(timeout(MAX_TRANSFER_TIME, done).await.is_ok(), "seed {seed}: not shut down");
            simulation.freeze(stopping);
            let next = (stopping + 1) % 4;
            simulation.freeze(next);
            let lost = Instant::now();
            let target = (stopping + 2) % 4;
            while change(&simulation, target, 2).await.is_none_or(|reply| reply.status != 200) {
                assert!(lost.elapsed() < MAX_RECOVERY_TIME, "seed {seed}: no change is accepted");
            }
            assert!(lost.elapsed() < MAX_RECOVERY_TIME, "seed {seed}: {:?}", lost.elapsed());
        });
    }
}

/// A voter that shuts down must not be added again before its restart.
#[test]
fn a_stopping_voter_is_not_added_again_and_an_odd_list_stays_unchanged() {
    for (voters, left) in [(4, 3), (3, 3)] {
        run_on_simulated_clock(async move {
            let simulation = Simulation::start(voters, NON_VOTERS, 5, Faults::default());
            let first_leader = leader(&simulation).await;
            change(&simulation, first_leader, 1).await.expect("an answer");
            sleep(SETTLE_TIME).await;
            let done = simulation.shut_down((first_leader + 1) % voters).await;
            assert!(timeout(MAX_TRANSFER_TIME, done).await.is_ok(), "not shut down");
            // The process has answered everything and keeps running.
            sleep(SETTLE_TIME).await;
            let remaining = status(&simulation, first_leader).await["log"]["standing"]["voters"].clone();
            assert_eq!(remaining, left, "of {voters} voters");
        });
    }
}

/// A former leader that kept granting quota beside its successor would exceed quotas.
#[test]
fn quota_counters_are_released_with_leadership() {
    for seed in 0..20 {
        run_on_simulated_clock(async move {
            let simulation = Simulation::start(VOTERS, NON_VOTERS, seed, Faults::default());
            let stopping = leader(&simulation).await;
            change(&simulation, stopping, 1).await.expect("an answer");
            let counts = |status: serde_json::Value| status["counts"].as_array().map(Vec::len);
            assert_eq!(
                counts(status(&simulation, stopping).await),
                Some(1),
                "seed {seed}: the leader holds no counter"
            );
            let done = simulation.shut_down(stopping).await;
            assert!(timeout(MAX_TRANSFER_TIME, done).await.is_ok(), "seed {seed}: not shut down");
            assert_eq!(
                counts(status(&simulation, stopping).await),
                Some(0),
                "seed {seed}: the former leader still holds counters"
            );
        });
    }
}
