//! Runs the group thread of a process: a member and, if configured, a voter. The rest of the process uses a [`Handle`]
//! and never blocks on the group while it serves a request.
//!
//! A session registers one process in the group for as long as the process renews it. A duty is a named role that at
//! most one session holds at a time. A guard ([`crate::lease::Guard`]) is the local permission to perform a held duty.

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

/// Maximum number of requests queued for the group thread.
const MAX_PENDING_REQUESTS: usize = 64;
/// Maximum number of incoming connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Settings of a process in its group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The group name.
    pub group: String,
    /// The name, zone and version of this process.
    pub session: Session,
    /// The duties that this process claims when they are free.
    pub candidate_duties: Vec<CandidateDuty>,
    /// The initial voters of the group, which members also send their requests to.
    pub voters: Vec<VoterEndpoint>,
    /// The time-to-live of a session.
    pub session_ttl: Duration,
    /// The listen address and data directory of a voter, or `None` for a process that is only a member.
    pub voter: Option<(SocketAddr, PathBuf)>,
}

/// The reason why the group thread could not start.
#[derive(Debug)]
pub struct StartError(String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// Gives the rest of the process access to its group thread.
pub struct Handle {
    requests: mpsc::Sender<PendingRequest>,
    status: watch::Receiver<MemberStatus>,
    held_duties: HeldDuties,
    clock: Clock,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the guard of a duty, if this process holds the duty.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.held_duties.guard(duty)
    }

    /// Returns the guards of all duties that this process holds.
    pub fn guards(&self) -> Vec<Guard> {
        self.held_duties.all()
    }

    /// Returns the current status of the member.
    pub fn status(&self) -> MemberStatus {
        self.status.borrow().clone()
    }

    /// Subscribes to changes of the status.
    pub fn subscribe(&self) -> watch::Receiver<MemberStatus> {
        self.status.clone()
    }

    /// Returns the time since the group last opened or renewed the session of this process.
    pub fn contact_age(&self) -> Option<Duration> {
        let last_renewal = self.status.borrow().last_renewal;
        last_renewal.map(|renewed_at| self.clock.now().saturating_sub(renewed_at))
    }

    /// Sends a request to the group and waits for the response. Most requests are answered within about a third of the
    /// session TTL. A change of the voters may take several times [`crate::member::MEMBERSHIP_CHANGE_TIMEOUT`].
    pub async fn request(&self, request: MemberRequest) -> GroupResponse {
        let (responder, response) = oneshot::channel();
        // A full queue means that the group does not respond in time, so treat the group as unavailable.
        if self.requests.try_send((request, responder)).is_err() {
            return GroupResponse::Unavailable;
        }
        response.await.unwrap_or(GroupResponse::Unavailable)
    }

    /// Leaves the group: releases all duties and closes the session if the group can be reached.
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

/// Starts the group thread. `log` receives log messages.
///
/// # Errors
/// If a voter cannot listen on its address or cannot use its data directory.
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
            // Prefer the voter in this process: requests to it need no network hop to another machine.
            let mut voters = voters;
            voters.sort_by_key(|endpoint| endpoint.name != session.name);
            let member_settings = MemberSettings { session, candidate_duties, voters, session_ttl };
            let (member, status) = Member::new(member_settings, &group, member_clock, member_duties);
            let _ = startup_sender.send(Ok(status));
            member.run(request_receiver).await;
        });
        // Do not wait for tasks that are still blocked on other processes.
        runtime.shutdown_background();
    };
    let thread = std::thread::Builder::new().name("group".into()).spawn(run);
    let thread = thread.map_err(|error| StartError(error.to_string()))?;
    let status = startup_result
        .recv()
        .unwrap_or_else(|_| Err(StartError("the group thread ended during startup".into())))?;
    Ok(Handle { requests, status, held_duties, clock, thread: Some(thread) })
}

/// Starts the voter, if this process is configured as one.
fn start_voter(
    settings: &Settings, clock: &Clock, log: &(impl Fn(String) + Clone + Send + 'static),
) -> Result<(), StartError> {
    let Some((address, directory)) = &settings.voter else { return Ok(()) };
    let (name, group) = (&settings.session.name, &settings.group);
    let start_error =
        |context: &str, error: &dyn fmt::Display| StartError(format!("group {group}: {context}: {error}"));
    // The Raft identity joins the group and voter names with a space, so the group name must not contain whitespace.
    if group.contains(char::is_whitespace) {
        return Err(start_error("the group name contains whitespace", &name));
    }
    let listener =
        bind_listener(*address).map_err(|e| start_error(&format!("cannot listen at {address}"), &e))?;
    let store =
        Store::open(directory, name, group, log).map_err(|e| start_error("cannot open the store", &e))?;
    if is_tmpfs(directory) {
        log(format!(
            "group {group}: {} is in memory (tmpfs): this voter loses its state when the machine restarts",
            directory.display()
        ));
    }
    let endpoint = settings.voters.iter().find(|endpoint| endpoint.name == *name).cloned();
    let endpoint = endpoint.unwrap_or(VoterEndpoint { name: name.clone(), address: address.to_string() });
    let timeouts = Timeouts::from_session_ttl(settings.session_ttl);
    let voter = Voter::start(store, endpoint, group, timeouts, clock.clone(), &settings.voters, log.clone());
    let voter = voter.map_err(|e| start_error("cannot start the voter", &e))?;
    log(format!("group {group}: voter {name} (incarnation {}) listens at {address}", voter.incarnation()));
    tokio::task::spawn_local(serve(listener, voter.clone()));
    let voters = settings.voters.clone();
    tokio::task::spawn_local(async move { voter.join(&voters).await });
    Ok(())
}

/// Returns whether a directory is on a file system in memory.
fn is_tmpfs(directory: &std::path::Path) -> bool {
    /// The magic number of tmpfs in the Linux kernel.
    const TMPFS: i64 = 0x0102_1994;
    rustix::fs::statfs(directory).is_ok_and(|stat| stat.f_type == TMPFS)
}
