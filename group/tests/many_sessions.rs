//! Three voters and 300 sessions in one process. After an outage of all voters longer than the session TTL, all
//! sessions must reopen within five TTLs and all duties must be held again.

use fennelscale_group::clock::Clock;
use fennelscale_group::member::{CandidateDuty, HeldDuties, Member, MemberSettings};
use fennelscale_group::run::{Handle, Settings, start};
use fennelscale_group::state_machine::Session;
use fennelscale_group::voter::VoterEndpoint;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

const WAIT_TIMEOUT: Duration = Duration::from_secs(100);
const SESSION_TTL: Duration = Duration::from_millis(4000);
const MEMBERS: usize = 300;

fn session_named(name: String) -> Session {
    Session { name, zone: "z".into(), version: "1".into() }
}

fn start_voter(endpoint: &VoterEndpoint, voters: &[VoterEndpoint], directory: &std::path::Path) -> Handle {
    let address: SocketAddr = endpoint.address.parse().expect("invalid voter address");
    let settings = Settings {
        group: "many".into(),
        session: session_named(endpoint.name.clone()),
        candidate_duties: Vec::new(),
        voters: voters.to_vec(),
        session_ttl: SESSION_TTL,
        voter: Some((address, directory.join(&endpoint.name))),
    };
    let started = Instant::now();
    loop {
        match start(settings.clone(), Clock::Boot, |_| {}) {
            Ok(handle) => return handle,
            Err(error) => assert!(started.elapsed() < WAIT_TIMEOUT, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

async fn wait_until(description: &str, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn three_hundred_sessions_reopen_after_a_restart_of_all_voters() {
    let directory = std::env::temp_dir().join(format!("fennelscale-many-{}", std::process::id()));
    let endpoint = |n: usize| {
        let probe = std::net::TcpListener::bind(format!("127.251.0.{}:0", n + 1));
        let address =
            probe.and_then(|probe| probe.local_addr()).expect("cannot reserve a loopback port").to_string();
        VoterEndpoint { name: format!("v{n}"), address }
    };
    let voters: Vec<VoterEndpoint> = (0..3).map(endpoint).collect();
    let start_all_voters = || -> Vec<Handle> {
        voters.iter().map(|endpoint| start_voter(endpoint, &voters, &directory)).collect()
    };
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let mut handles = start_all_voters();
            let mut statuses = Vec::new();
            let mut request_senders = Vec::new();
            for number in 0..MEMBERS {
                let candidate_duties = vec![CandidateDuty { duty: format!("d{}", number % 3), rank: 0 }];
                let mut voter_order = voters.clone();
                voter_order.rotate_left(number % 3);
                let settings = MemberSettings {
                    session: session_named(format!("m{number}")),
                    candidate_duties,
                    voters: voter_order,
                    session_ttl: SESSION_TTL,
                };
                let (member, status) = Member::new(settings, "many", Clock::Boot, HeldDuties::default());
                let (request_sender, request_receiver) = mpsc::channel(1);
                tokio::task::spawn_local(member.run(request_receiver));
                request_senders.push(request_sender);
                statuses.push(status);
            }
            let open_sessions = || statuses.iter().filter(|status| status.borrow().session.is_some()).count();
            wait_until("all sessions", || open_sessions() == MEMBERS).await;
            let all_duties_held = |handles: &[Handle]| {
                let view = handles[0].status().view;
                view.duties.len() == 3 && view.duties.values().all(|(_, holder)| holder.is_some())
            };
            wait_until("all duties", || all_duties_held(&handles)).await;
            // The outage is longer than the session TTL: all sessions expire, and the voters return with their disks.
            handles.clear();
            tokio::time::sleep(SESSION_TTL + SESSION_TTL / 2).await;
            handles = start_all_voters();
            let recently_renewed = |age: Duration| {
                let now = Clock::Boot.now();
                let is_recent =
                    |renewed_at: Option<Duration>| renewed_at.is_some_and(|at| now.saturating_sub(at) < age);
                statuses.iter().filter(|status| is_recent(status.borrow().last_renewal)).count()
            };
            let recovery_time =
                wait_until("all sessions after the restart", || recently_renewed(SESSION_TTL / 2) == MEMBERS)
                    .await;
            assert!(recovery_time < SESSION_TTL * 5, "recovery took {recovery_time:?}");
            wait_until("all duties after the restart", || all_duties_held(&handles)).await;
        })
        .await;
    let _ = std::fs::remove_dir_all(&directory);
}
