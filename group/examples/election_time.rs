//! Measures how long a group cannot commit entries: three voters on loopback, with several rounds of group formation,
//! leader loss, and restart of all voters with their disks. Prints the time from each event to the next committed
//! entry.

use fennelscale_group::clock::Clock;
use fennelscale_group::member::MemberRequest;
use fennelscale_group::run::{Handle, Settings, start};
use fennelscale_group::state_machine::{Reply, Session};
use fennelscale_group::voter::{GroupResponse, VoterEndpoint};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SESSION_TTL: Duration = Duration::from_secs(6);
const ROUNDS: usize = 6;

type Error = Box<dyn std::error::Error>;

/// Waits until an entry is committed and returns the elapsed time. A request for an absence with limit 0 is always
/// refused, but its refusal requires a committed entry.
async fn time_to_commit(handle: &Handle) -> Duration {
    let started = Instant::now();
    while !matches!(
        handle.request(MemberRequest::RequestAbsence(0)).await,
        GroupResponse::Reply(Reply::AbsenceLimitReached(_))
    ) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let mut times = [Vec::new(), Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        let directory =
            std::env::temp_dir().join(format!("fennelscale-elect-{}-{round}", std::process::id()));
        let mut voters = Vec::new();
        for number in 0..3 {
            let probe = std::net::TcpListener::bind("127.250.0.1:0")?;
            voters
                .push(VoterEndpoint { name: format!("v{number}"), address: probe.local_addr()?.to_string() });
        }
        let start_voter = |endpoint: &VoterEndpoint| -> Result<Handle, Error> {
            let address: SocketAddr = endpoint.address.parse()?;
            let session = Session { name: endpoint.name.clone(), zone: "z".into(), version: "1".into() };
            let voter = Some((address, directory.join(&endpoint.name)));
            let settings = Settings {
                group: "elect".into(),
                session,
                candidate_duties: Vec::new(),
                voters: voters.clone(),
                session_ttl: SESSION_TTL,
                voter,
            };
            loop {
                // The port and the file of a voter that was just stopped may still be in use.
                match start(settings.clone(), Clock::Boot, |_| {}) {
                    Ok(handle) => return Ok(handle),
                    Err(_) => std::thread::sleep(Duration::from_millis(5)),
                }
            }
        };
        let mut handles = voters.iter().map(start_voter).collect::<Result<Vec<_>, _>>()?;
        let formation_time = time_to_commit(&handles[0]).await;
        tokio::time::sleep(SESSION_TTL / 2).await;
        let leader = handles[0].status().view.leader.unwrap_or_default();
        let leader_index = voters.iter().position(|endpoint| endpoint.name == leader).unwrap_or(0);
        drop(handles.remove(leader_index));
        let failover_time = time_to_commit(&handles[0]).await;
        drop(handles);
        let handles = voters.iter().map(start_voter).collect::<Result<Vec<_>, _>>()?;
        let restart_time = time_to_commit(&handles[0]).await;
        for (times, time) in times.iter_mut().zip([formation_time, failover_time, restart_time]) {
            times.push(time.as_millis());
        }
        drop(handles);
        let _ = std::fs::remove_dir_all(&directory);
    }
    for (label, times) in ["group formation", "leader loss", "restart of all voters"].iter().zip(times) {
        println!("{label}: {times:?} ms");
    }
    Ok(())
}
