//! The group's thread: a voter if this process is one, and a member in any case. The rest of the process talks to it
//! through a [`Handle`], and never waits for it where a request would.

use crate::clock::Clock;
use crate::lease::Guard;
use crate::member::{
    CandidateDuty, HeldDuties, Member, MemberRequest, MemberSettings, MemberStatus, PendingRequest,
};
use crate::state_machine::Session;
use crate::store::Store;
use crate::voter::{GroupResponse, Timeouts, Voter, VoterEndpoint};
use crate::wire::serve;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// Orders that wait.
const MAX_PENDING_REQUESTS: usize = 64;
/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// What a process brings to its group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The group's name.
    pub group: String,
    /// Who this process is.
    pub session: Session,
    /// Duties that it would do.
    pub candidate_duties: Vec<CandidateDuty>,
    /// The voters that the group is formed of, and those to ask.
    pub voters: Vec<VoterEndpoint>,
    /// The life of a session.
    pub session_ttl: Duration,
    /// Where a voter listens, and the folder of its disk; none for a member alone.
    pub voter: Option<(SocketAddr, PathBuf)>,
}

/// Why a group's part cannot run.
#[derive(Debug)]
pub struct StartError(String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// The way from the rest of the process to its part of the group.
pub struct Handle {
    requests: mpsc::Sender<PendingRequest>,
    status: watch::Receiver<MemberStatus>,
    held_duties: HeldDuties,
    clock: Clock,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// The guard of a duty, if this process holds it.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.held_duties.guard(duty)
    }

    /// The guards of all duties that this process holds.
    pub fn guards(&self) -> Vec<Guard> {
        self.held_duties.all()
    }

    /// How it stands.
    pub fn status(&self) -> MemberStatus {
        self.status.borrow().clone()
    }

    /// News of how it stands.
    pub fn subscribe(&self) -> watch::Receiver<MemberStatus> {
        self.status.clone()
    }

    /// How long ago the group last said that this session goes on.
    pub fn contact_age(&self) -> Option<Duration> {
        let last_renewal = self.status.borrow().last_renewal;
        last_renewal.map(|renewed_at| self.clock.now().saturating_sub(renewed_at))
    }

    /// Gives an order, and waits for its answer; there is one within a third of a session's life or so.
    pub async fn request(&self, request: MemberRequest) -> GroupResponse {
        let (responder, response) = oneshot::channel();
        // A group that does not keep up is as good as one that cannot be reached.
        if self.requests.try_send((request, responder)).is_err() {
            return GroupResponse::Unavailable;
        }
        response.await.unwrap_or(GroupResponse::Unavailable)
    }

    /// Leaves the group: duties are given up and the session ends, if the group can be told.
    pub async fn close(mut self) {
        self.request(MemberRequest::Close).await;
        drop(self.requests);
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Starts the thread. `tell` hears what belongs in the log.
///
/// # Errors
/// When a voter cannot listen or has no folder that it may write to.
pub fn start(
    settings: Settings, clock: Clock, log: impl Fn(String) + Clone + Send + 'static,
) -> Result<Handle, StartError> {
    let (requests, request_receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
    let (startup_sender, startup_result) = std::sync::mpsc::channel();
    let held_duties = HeldDuties::default();
    let (member_duties, member_clock) = (held_duties.clone(), clock.clone());
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => return drop(startup_sender.send(Err(StartError(error.to_string())))),
        };
        let local = LocalSet::new();
        local.block_on(&runtime, async {
            if let Err(error) = start_voter(&settings, &member_clock, &log) {
                return drop(startup_sender.send(Err(error)));
            }
            let Settings { group, session, candidate_duties, voters, session_ttl, .. } = settings;
            // Its own voter first: that one is nearest.
            let mut voters = voters;
            voters.sort_by_key(|endpoint| endpoint.name != session.name);
            let member_settings = MemberSettings { session, candidate_duties, voters, session_ttl };
            let (member, status) = Member::new(member_settings, &group, member_clock, member_duties);
            let _ = startup_sender.send(Ok(status));
            member.run(request_receiver).await;
        });
        // What still waits for others is not waited for.
        runtime.shutdown_background();
    };
    let thread = std::thread::Builder::new().name("group".into()).spawn(run);
    let thread = thread.map_err(|error| StartError(error.to_string()))?;
    let status = startup_result.recv().unwrap_or_else(|_| Err(StartError("it ended at its start".into())))?;
    Ok(Handle { requests, status, held_duties, clock, thread: Some(thread) })
}

/// Starts the voter, if this process is one.
fn start_voter(
    settings: &Settings, clock: &Clock, log: &(impl Fn(String) + Clone + Send + 'static),
) -> Result<(), StartError> {
    let Some((address, directory)) = &settings.voter else { return Ok(()) };
    let (name, group) = (&settings.session.name, &settings.group);
    let start_error =
        |context: &str, error: &dyn fmt::Display| StartError(format!("group {group}: {context}: {error}"));
    // The two stand side by side in the log.
    if group.contains(char::is_whitespace) {
        return Err(start_error("its name has blanks", &name));
    }
    let listener =
        bind_listener(*address).map_err(|e| start_error(&format!("cannot listen at {address}"), &e))?;
    let store = Store::open(directory, name, group, log).map_err(|e| start_error("no store", &e))?;
    if is_tmpfs(directory) {
        log(format!(
            "group {group}: {} counts as memory: what this voter knows goes with it",
            directory.display()
        ));
    }
    let endpoint = settings.voters.iter().find(|endpoint| endpoint.name == *name).cloned();
    let endpoint = endpoint.unwrap_or(VoterEndpoint { name: name.clone(), address: address.to_string() });
    let timeouts = Timeouts::from_session_ttl(settings.session_ttl);
    let voter = Voter::start(store, endpoint, group, timeouts, clock.clone(), &settings.voters, log.clone());
    let voter = voter.map_err(|e| start_error("voter", &e))?;
    log(format!("group {group}: voter {name} has number {} and listens at {address}", voter.incarnation()));
    tokio::task::spawn_local(serve(listener, voter.clone()));
    let voters = settings.voters.clone();
    tokio::task::spawn_local(async move { voter.join(&voters).await });
    Ok(())
}

/// Whether a folder's file system is kept in memory.
fn is_tmpfs(directory: &std::path::Path) -> bool {
    /// The number of the kernel's file system in memory.
    const TMPFS: i64 = 0x0102_1994;
    rustix::fs::statfs(directory).is_ok_and(|stat| stat.f_type == TMPFS)
}
