//! Three voters and 300 sessions of one process: they come back together after the voters were away, and what they
//! cost a voter is bounded.

use fennelscale_group::clock::Clock;
use fennelscale_group::member::{CandidateDuty, HeldDuties, Member, MemberSettings};
use fennelscale_group::run::{Handle, Settings, start};
use fennelscale_group::state_machine::Session;
use fennelscale_group::voter::VoterEndpoint;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

const LONG: Duration = Duration::from_secs(100);
const LIFE: Duration = Duration::from_millis(4000);
const MEMBERS: usize = 300;

fn of(name: String) -> Session {
    Session { name, zone: "z".into(), version: "1".into() }
}

fn voter(node: &VoterEndpoint, voters: &[VoterEndpoint], folder: &std::path::Path) -> Handle {
    let at: SocketAddr = node.address.parse().expect("an address");
    let settings = Settings {
        group: "many".into(),
        session: of(node.name.clone()),
        candidate_duties: Vec::new(),
        voters: voters.to_vec(),
        session_ttl: LIFE,
        voter: Some((at, folder.join(&node.name))),
    };
    let begun = Instant::now();
    loop {
        match start(settings.clone(), Clock::Boot, |_| {}) {
            Ok(handle) => return handle,
            Err(error) => assert!(begun.elapsed() < LONG, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

async fn until(what: &str, met: impl Fn() -> bool) -> Duration {
    let begun = Instant::now();
    while !met() {
        assert!(begun.elapsed() < LONG, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    begun.elapsed()
}

#[tokio::test]
async fn three_hundred_sessions_come_back_after_the_voters_were_away() {
    let folder = std::env::temp_dir().join(format!("fennelscale-many-{}", std::process::id()));
    let node = |n: usize| {
        let probe = std::net::TcpListener::bind(format!("127.251.0.{}:0", n + 1));
        let address = probe.and_then(|probe| probe.local_addr()).expect("a port").to_string();
        VoterEndpoint { name: format!("v{n}"), address }
    };
    let voters: Vec<VoterEndpoint> = (0..3).map(node).collect();
    let all_start = || -> Vec<Handle> { voters.iter().map(|node| voter(node, &voters, &folder)).collect() };
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let mut handles = all_start();
            let mut standings = Vec::new();
            let mut orders = Vec::new();
            for number in 0..MEMBERS {
                let candidate_duties = vec![CandidateDuty { duty: format!("d{}", number % 3), rank: 0 }];
                let mut known = voters.clone();
                known.rotate_left(number % 3);
                let me = MemberSettings {
                    session: of(format!("m{number}")),
                    candidate_duties,
                    voters: known,
                    session_ttl: LIFE,
                };
                let (member, standing) = Member::new(me, "many", Clock::Boot, HeldDuties::default());
                let (order, ordered) = mpsc::channel(1);
                tokio::task::spawn_local(member.run(ordered));
                orders.push(order);
                standings.push(standing);
            }
            let in_group = || standings.iter().filter(|standing| standing.borrow().session.is_some()).count();
            until("all sessions", || in_group() == MEMBERS).await;
            let held = |handles: &[Handle]| {
                let view = handles[0].status().view;
                view.duties.len() == 3 && view.duties.values().all(|(_, holder)| holder.is_some())
            };
            until("all duties", || held(&handles)).await;
            // Longer than a life: all sessions are over, and the voters come back with their disks.
            handles.clear();
            tokio::time::sleep(LIFE + LIFE / 2).await;
            handles = all_start();
            let fresh = |age: Duration| {
                let now = Clock::Boot.now();
                let heard = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < age);
                standings.iter().filter(|standing| heard(standing.borrow().last_renewal)).count()
            };
            let back = until("all sessions again", || fresh(LIFE / 2) == MEMBERS).await;
            assert!(back < LIFE * 5, "{back:?}");
            until("all duties again", || held(&handles)).await;
        })
        .await;
    let _ = std::fs::remove_dir_all(&folder);
}
