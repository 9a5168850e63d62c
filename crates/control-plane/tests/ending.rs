//! A process of control that is to end hands over its lead: orders go on, and none that waits there is lost.

#[path = "support/simulation.rs"]
#[allow(dead_code)] // Nothing is cut off here, and no disk hangs.
mod simulation;

use control_plane::{Call, Faults, Reply};
use simulation::Simulation;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const VOTERS: usize = 3;
const WITHOUT_LOG: usize = 1;
/// An operator waits so long for the answer to a change.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);
/// The lead is handed over within this; an election after a silence takes 320 ms at the least.
const HANDED_OVER_WITHIN: Duration = Duration::from_millis(150);
/// No order waits longer than this while the lead is handed over.
const LONGEST_ORDER: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(15);

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
    simulation.call(process, Call::Order(order), ANSWER_WITHIN).await
}

async fn status(simulation: &Simulation, process: usize) -> serde_json::Value {
    let status = simulation.call(process, Call::Status, ANSWER_WITHIN).await.expect("a status");
    serde_json::from_slice(&status.body).expect("JSON")
}

/// Who leads, as each process says of itself.
async fn leader(simulation: &Simulation) -> usize {
    loop {
        for process in 0..simulation.size() {
            if status(simulation, process).await["log"]["holds_lease"] == true {
                return process;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Changes one after the other through a process, while the leader is told to end halfway. Gives the longest that one
/// took, and who led before.
async fn changes_while_the_leader_ends(seed: u64, through_the_leader: bool) {
    let simulation = Simulation::start(VOTERS, WITHOUT_LOG, seed, Faults::default());
    let ends = leader(&simulation).await;
    let process = if through_the_leader { ends } else { VOTERS };
    let mut ended = None;
    for version in 1..=40 {
        if version == 20 {
            ended = Some((Instant::now(), simulation.end(ends).await));
        }
        let sent = Instant::now();
        let reply = change(&simulation, process, version).await;
        assert_eq!(reply.map(|reply| reply.status), Some(200), "seed {seed}, version {version}");
        // At first the processes have yet to find each other.
        assert!(
            version == 1 || sent.elapsed() < LONGEST_ORDER,
            "seed {seed}, version {version} took {:?}",
            sent.elapsed()
        );
        sleep(PAUSE).await;
    }
    let (since, ended) = ended.expect("it was told to end");
    let in_time = timeout(HANDED_OVER_WITHIN, ended).await;
    assert!(in_time.is_ok_and(|ended| ended.is_ok()), "seed {seed}: not ended after {:?}", since.elapsed());
    assert_ne!(leader(&simulation).await, ends, "seed {seed}: it leads on");
}

fn on_simulated_clock(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), play);
}

#[test]
fn orders_go_on_while_the_leader_ends() {
    for (seed, through_the_leader) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        on_simulated_clock(changes_while_the_leader_ends(seed, through_the_leader));
    }
}

/// Control goes on within this after a voter is lost: an election, the first lease, and a round.
const AFTER_A_LOSS: Duration = Duration::from_millis(1500);
const SETTLED: Duration = Duration::from_secs(3);

/// A planned replacement: the successor votes, one of the former voters ends, and right then another one is lost.
#[test]
fn an_even_list_bears_another_loss_as_soon_as_a_voter_has_ended() {
    for seed in 0..12 {
        on_simulated_clock(async move {
            let simulation = Simulation::start(4, WITHOUT_LOG, seed, Faults::default());
            let leads = leader(&simulation).await;
            change(&simulation, leads, 1).await.expect("an answer");
            sleep(SETTLED).await;
            // The leader itself, and each of the others, in turn.
            let ends = (leads + seed as usize) % 4;
            let ended = simulation.end(ends).await;
            assert!(timeout(HANDED_OVER_WITHIN, ended).await.is_ok(), "seed {seed}: not ended");
            simulation.freeze(ends);
            let next = (ends + 1) % 4;
            simulation.freeze(next);
            let lost = Instant::now();
            let asked = (ends + 2) % 4;
            while change(&simulation, asked, 2).await.is_none_or(|reply| reply.status != 200) {
                assert!(lost.elapsed() < AFTER_A_LOSS, "seed {seed}: no change is taken");
            }
            assert!(lost.elapsed() < AFTER_A_LOSS, "seed {seed}: {:?}", lost.elapsed());
        });
    }
}

/// One that ends is no voter again before it has started anew.
#[test]
fn who_ends_is_not_added_again_and_an_odd_list_stays_as_it_is() {
    for (voters, left) in [(4, 3), (3, 3)] {
        on_simulated_clock(async move {
            let simulation = Simulation::start(voters, WITHOUT_LOG, 5, Faults::default());
            let leads = leader(&simulation).await;
            change(&simulation, leads, 1).await.expect("an answer");
            sleep(SETTLED).await;
            let ended = simulation.end((leads + 1) % voters).await;
            assert!(timeout(HANDED_OVER_WITHIN, ended).await.is_ok(), "not ended");
            // It has answered all and goes on for as long as it is let.
            sleep(SETTLED).await;
            let standing = status(&simulation, leads).await["log"]["standing"]["voters"].clone();
            assert_eq!(standing, left, "of {voters}");
        });
    }
}

/// A former leader that granted units on beside its successor would break quotas.
#[test]
fn counts_are_given_up_with_the_lead() {
    for seed in 0..20 {
        on_simulated_clock(async move {
            let simulation = Simulation::start(VOTERS, WITHOUT_LOG, seed, Faults::default());
            let ends = leader(&simulation).await;
            change(&simulation, ends, 1).await.expect("an answer");
            let counts = |status: serde_json::Value| status["counts"].as_array().map(Vec::len);
            assert_eq!(counts(status(&simulation, ends).await), Some(1), "seed {seed}: it holds no count");
            let ended = simulation.end(ends).await;
            assert!(timeout(HANDED_OVER_WITHIN, ended).await.is_ok(), "seed {seed}: not ended");
            assert_eq!(counts(status(&simulation, ends).await), Some(0), "seed {seed}: it holds counts on");
        });
    }
}
