//! Measures the cost of a group: three voters on their own threads and 300 sessions on one thread, first idle and then
//! after the loss of the leader. Prints the CPU time per thread as counted by the kernel, and the resident memory.

use fennelscale_group::clock::Clock;
use fennelscale_group::member::{CandidateDuty, HeldDuties, Member, MemberSettings, MemberStatus};
use fennelscale_group::run::{Handle, Settings, start};
use fennelscale_group::state_machine::Session;
use fennelscale_group::voter::VoterEndpoint;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

const SESSION_TTL: Duration = Duration::from_secs(6);
const MEMBERS: usize = 300;
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);

fn session_named(name: String) -> Session {
    Session { name, zone: "z".into(), version: "1".into() }
}

/// Returns the CPU time in clock ticks for each thread, by thread ID and name.
fn cpu_ticks() -> BTreeMap<(String, String), u64> {
    let mut all = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((head, rest)) = stat.rsplit_once(") ") else { continue };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        let fields: Vec<&str> = rest.split(' ').collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        all.insert((task.file_name().to_string_lossy().into_owned(), name), field(11) + field(12));
    }
    all
}

async fn print_usage(label: &str, time: Duration) {
    let before = cpu_ticks();
    sleep(time).await;
    println!("{label}, {} s:", time.as_secs());
    for (thread, after) in cpu_ticks() {
        let used = after - before.get(&thread).copied().unwrap_or(0);
        if used > 0 {
            println!(
                "  thread {} {}: {:.1} ms of CPU time per second",
                thread.1,
                thread.0,
                used as f64 * 10.0 / time.as_secs_f64()
            );
        }
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    println!("  {}", status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default());
}

async fn wait_for_sessions(statuses: &[watch::Receiver<MemberStatus>]) {
    while statuses.iter().any(|status| status.borrow().session.is_none()) {
        sleep(Duration::from_millis(20)).await;
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = std::env::temp_dir().join(format!("fennelscale-cost-{}", std::process::id()));
    let mut voters = Vec::new();
    for number in 0..3 {
        let probe = std::net::TcpListener::bind("127.252.0.1:0")?;
        voters.push(VoterEndpoint { name: format!("v{number}"), address: probe.local_addr()?.to_string() });
    }
    let mut handles: Vec<Handle> = Vec::new();
    for endpoint in &voters {
        let address: SocketAddr = endpoint.address.parse()?;
        let voter = Some((address, directory.join(&endpoint.name)));
        let (session, voters) = (session_named(endpoint.name.clone()), voters.clone());
        let settings = Settings {
            group: "cost".into(),
            session,
            candidate_duties: Vec::new(),
            voters,
            session_ttl: SESSION_TTL,
            voter,
        };
        handles.push(start(settings, Clock::Boot, |text| println!("{text}"))?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut statuses, mut request_senders) = (Vec::new(), Vec::new());
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
            let (member, status) = Member::new(settings, "cost", Clock::Boot, HeldDuties::default());
            let (request_sender, request_receiver) = mpsc::channel(1);
            tokio::task::spawn_local(member.run(request_receiver));
            request_senders.push(request_sender);
            statuses.push(status);
        }
        wait_for_sessions(&statuses).await;
        sleep(SESSION_TTL).await;
        print_usage("300 sessions, idle", MEASUREMENT_TIME).await;
        let leader = handles[0].status().view.leader.unwrap_or_default();
        let leader_index = voters.iter().position(|endpoint| endpoint.name == leader).unwrap_or(0);
        drop(handles.remove(leader_index));
        print_usage("300 sessions, leader lost", MEASUREMENT_TIME).await;
        wait_for_sessions(&statuses).await;
    });
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}
