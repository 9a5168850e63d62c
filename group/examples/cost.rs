//! What a group costs: three voters on threads of their own and 300 sessions on one, for some seconds each idle and
//! through the loss of a voter. Prints processor time by thread as the kernel counts it, and resident memory.

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

const LIFE: Duration = Duration::from_secs(6);
const MEMBERS: usize = 300;
const IDLE: Duration = Duration::from_secs(15);

fn of(name: String) -> Session {
    Session { name, zone: "z".into(), version: "1".into() }
}

/// Ticks of processor time by thread: its number and name.
fn ticks() -> BTreeMap<(String, String), u64> {
    let mut all = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((head, rest)) = stat.rsplit_once(") ") else { continue };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        all.insert((task.file_name().to_string_lossy().into_owned(), name), ticks(11) + ticks(12));
    }
    all
}

async fn measured(what: &str, time: Duration) {
    let before = ticks();
    sleep(time).await;
    println!("{what}, {} s:", time.as_secs());
    for (thread, after) in ticks() {
        let used = after - before.get(&thread).copied().unwrap_or(0);
        if used > 0 {
            println!(
                "  thread {} {}: {:.1} ms of processor time a second",
                thread.1,
                thread.0,
                used as f64 * 10.0 / time.as_secs_f64()
            );
        }
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    println!("  {}", status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default());
}

async fn in_group(standings: &[watch::Receiver<MemberStatus>]) {
    while standings.iter().any(|standing| standing.borrow().session.is_none()) {
        sleep(Duration::from_millis(20)).await;
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::temp_dir().join(format!("fennelscale-cost-{}", std::process::id()));
    let mut voters = Vec::new();
    for number in 0..3 {
        let probe = std::net::TcpListener::bind("127.252.0.1:0")?;
        voters.push(VoterEndpoint { name: format!("v{number}"), address: probe.local_addr()?.to_string() });
    }
    let mut handles: Vec<Handle> = Vec::new();
    for node in &voters {
        let at: SocketAddr = node.address.parse()?;
        let voter = Some((at, folder.join(&node.name)));
        let (session, voters) = (of(node.name.clone()), voters.clone());
        let settings = Settings {
            group: "cost".into(),
            session,
            candidate_duties: Vec::new(),
            voters,
            session_ttl: LIFE,
            voter,
        };
        handles.push(start(settings, Clock::Boot, |text| println!("{text}"))?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut standings, mut orders) = (Vec::new(), Vec::new());
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
            let (member, standing) = Member::new(me, "cost", Clock::Boot, HeldDuties::default());
            let (order, ordered) = mpsc::channel(1);
            tokio::task::spawn_local(member.run(ordered));
            orders.push(order);
            standings.push(standing);
        }
        in_group(&standings).await;
        sleep(LIFE).await;
        measured("300 sessions, idle", IDLE).await;
        let leader = handles[0].status().view.leader.unwrap_or_default();
        let at = voters.iter().position(|node| node.name == leader).unwrap_or(0);
        drop(handles.remove(at));
        measured("the leader gone", IDLE).await;
        in_group(&standings).await;
    });
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
