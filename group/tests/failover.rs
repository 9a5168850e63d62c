//! Groups of several voters and members on loopback sockets, each on its own thread. Duties must fail over when their
//! holder stops, and the group must recover from lost disks and from an outage of all processes.

use fennelscale_group::clock::Clock;
use fennelscale_group::lease::Guard;
use fennelscale_group::member::{CandidateDuty, MemberRequest};
use fennelscale_group::run::{Handle, Settings, start};
use fennelscale_group::state_machine::{Reply, Session};
use fennelscale_group::voter::{GroupRequest, GroupResponse, VoterEndpoint};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Short enough for a fast test, but long enough that no session expires on a busy machine. An election takes a sixth
/// to a third of this time.
const SESSION_TTL: Duration = Duration::from_millis(3000);

/// A group under test, with a data directory that is removed at the end.
struct TestGroup {
    directory: PathBuf,
    voters: Vec<VoterEndpoint>,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for TestGroup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl TestGroup {
    fn new(voters: usize) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("fennelscale-group-{}-{number}", std::process::id()));
        let subnet = (10 + std::process::id() % 240, number);
        let endpoint = |n: usize| {
            // Each voter gets its own loopback address, so no other process takes its port while the voter is stopped.
            let probe = std::net::TcpListener::bind(format!("127.{}.{}.{}:0", subnet.0, subnet.1, n + 1));
            let address = probe
                .and_then(|probe| probe.local_addr())
                .expect("cannot reserve a loopback port")
                .to_string();
            VoterEndpoint { name: format!("v{n}"), address }
        };
        Self { directory, voters: (0..voters).map(endpoint).collect(), log_lines: Arc::default() }
    }

    fn voter_directory(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn start_in(&self, name: &str, group: &str, duties: &[&str]) -> Handle {
        let session_info = Session { name: name.into(), zone: "z".into(), version: "1".into() };
        let endpoint = self.voters.iter().find(|endpoint| endpoint.name == name);
        let address =
            endpoint.map(|endpoint| endpoint.address.parse::<SocketAddr>().expect("invalid voter address"));
        let settings = Settings {
            group: group.into(),
            session: session_info,
            candidate_duties: duties
                .iter()
                .map(|duty| CandidateDuty { duty: (*duty).into(), rank: 0 })
                .collect(),
            voters: self.voters.clone(),
            session_ttl: SESSION_TTL,
            voter: address.map(|address| (address, self.voter_directory(name))),
        };
        let log_lines = self.log_lines.clone();
        let log = move |text: String| log_lines.lock().expect("log lock poisoned").push(text);
        let started = Instant::now();
        loop {
            // The port of a voter that was just stopped may not be free yet.
            match start(settings.clone(), Clock::Boot, log.clone()) {
                Ok(handle) => return handle,
                Err(error) => assert!(started.elapsed() < WAIT_TIMEOUT, "{error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn start(&self, name: &str, duties: &[&str]) -> Handle {
        self.start_in(name, "fleet", duties)
    }

    fn has_logged(&self, part: &str) -> bool {
        self.log_lines.lock().expect("log lock poisoned").iter().any(|text| text.contains(part))
    }
}

async fn wait_until<T>(description: &str, condition: impl Fn() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for {description}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn holder(all: &[&Handle], duty: &str) -> Option<(usize, Guard)> {
    let acting = |(index, handle): (usize, &&Handle)| {
        let guard = handle.guard(duty)?;
        guard.valid_fence().map(|_| (index, guard))
    };
    all.iter().enumerate().find_map(acting)
}

/// Sends a request, and repeats it while the group is unavailable, for example during an election.
async fn request_until_answered(handle: &Handle, request: impl Fn() -> MemberRequest) -> GroupResponse {
    let started = Instant::now();
    loop {
        match handle.request(request()).await {
            GroupResponse::Unavailable => {
                assert!(started.elapsed() < WAIT_TIMEOUT, "no response to {:?}", request())
            }
            answer => return answer,
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Stops a process abruptly: it neither releases duties nor closes its session.
fn kill(handle: Handle) {
    drop(handle);
}

#[tokio::test]
async fn a_duty_fails_over_when_its_holder_dies_and_never_has_two_holders() {
    let group = TestGroup::new(3);
    let voters: Vec<Handle> = (0..3).map(|n| group.start(&format!("v{n}"), &[])).collect();
    let (a, b) = (group.start("a", &["d"]), group.start("b", &["d"]));
    let (first, guard) = wait_until("a holder", || holder(&[&a, &b], "d")).await;
    assert_eq!(guard.valid_fence(), Some(1));
    let (stopped, remaining) = if first == 0 { (a, b) } else { (b, a) };
    assert!(remaining.guard("d").is_none());
    let old_guard = guard.clone();
    kill(stopped);
    let new_guard = wait_until("the next holder", || {
        let new_guard = remaining.guard("d").filter(|guard| guard.valid_fence().is_some());
        assert!(new_guard.is_none() || old_guard.valid_fence().is_none(), "two members hold the duty");
        new_guard
    })
    .await;
    assert_eq!(new_guard.valid_fence(), Some(2));
    drop(voters);
}

#[tokio::test]
async fn a_duty_is_handed_to_a_named_member_and_the_old_holder_cannot_write() {
    let group = TestGroup::new(3);
    let _voters: Vec<Handle> = (0..3).map(|n| group.start(&format!("v{n}"), &[])).collect();
    let a = group.start("a", &["d"]);
    let guard = wait_until("the holder", || a.guard("d").filter(|g| g.valid_fence().is_some())).await;
    let write = |value: &[u8]| MemberRequest::WriteRecord("d".into(), "k".into(), value.to_vec());
    assert_eq!(request_until_answered(&a, || write(b"one")).await, GroupResponse::Reply(Reply::Done));
    let b = group.start("b", &[]);
    wait_until("the session of the other member", || b.status().session).await;
    assert_eq!(
        request_until_answered(&a, || MemberRequest::ReleaseDuty("d".into(), Some("nobody".into()))).await,
        GroupResponse::Reply(Reply::NoSession)
    );
    // The holder stops acting as soon as it starts to release the duty, and does not get the duty again even though
    // the group refused the transfer.
    assert_eq!(guard.valid_fence(), None);
    assert!(a.guard("d").is_none());
    kill(a);
    let successor = group.start("c", &["d"]);
    wait_until("the next holder", || successor.guard("d").filter(|g| g.valid_fence().is_some())).await;
    let session = successor.status().session;
    assert_eq!(
        request_until_answered(&successor, || MemberRequest::ReleaseDuty("d".into(), Some("b".into()))).await,
        GroupResponse::Reply(Reply::Done)
    );
    let new_guard =
        wait_until("the guard of the named member", || b.guard("d").filter(|g| g.valid_fence().is_some()))
            .await;
    assert_eq!(successor.status().session, session, "the transfer required the end of a session");
    assert_eq!((new_guard.valid_fence(), successor.guard("d").is_some()), (Some(3), false));
    assert_eq!(request_until_answered(&b, || write(b"two")).await, GroupResponse::Reply(Reply::Done));
    assert!(matches!(
        request_until_answered(&successor, || write(b"three")).await,
        GroupResponse::Refused(_)
    ));
    let seen = wait_until("the record", || {
        successor.status().view.records.get("k").filter(|(_, fence, _)| *fence == 3).cloned()
    });
    assert_eq!(seen.await, ("d".to_owned(), 3, b"two".to_vec()));
}

#[tokio::test]
async fn fences_never_fall_after_all_voters_restart_with_or_without_their_disks() {
    let group = TestGroup::new(3);
    let start = |n: usize| group.start(&format!("v{n}"), &[]);
    let mut voters: Vec<Handle> = (0..3).map(start).collect();
    let a = group.start("a", &["d"]);
    let mut last = wait_until("a holder", || a.guard("d").and_then(|g| g.valid_fence())).await;
    for disks_removed in [false, true] {
        let held = a.guard("d").expect("the duty is not held");
        voters.drain(..).for_each(kill);
        wait_until("the end of the lease", || held.valid_fence().is_none().then_some(())).await;
        if disks_removed {
            (0..3).for_each(|n| {
                std::fs::remove_dir_all(group.voter_directory(&format!("v{n}")))
                    .expect("cannot remove the voter directory")
            });
        }
        voters = (0..3).map(start).collect();
        let fence =
            wait_until("a holder after the restart", || a.guard("d").and_then(|g| g.valid_fence())).await;
        // If the voters keep their disks, the session and its fence may survive.
        assert!(fence > last || (!disks_removed && fence == last), "fence {fence} after {last}");
        last = fence;
    }
}

#[tokio::test]
async fn a_voter_that_lost_its_disk_has_no_vote_until_it_is_added_again() {
    let group = TestGroup::new(3);
    let start = |n: usize| group.start(&format!("v{n}"), &[]);
    let (v0, v1, v2) = (start(0), start(1), start(2));
    let a = group.start("a", &["d"]);
    wait_until("a holder", || a.guard("d").and_then(|g| g.valid_fence())).await;
    kill(v2);
    std::fs::remove_dir_all(group.voter_directory("v2")).expect("cannot remove the voter directory");
    let v2 = start(2);
    wait_until("the log line of v2", || group.has_logged("v2 has no vote").then_some(())).await;
    let endpoint = group.voters[2].clone();
    let added =
        request_until_answered(&a, || MemberRequest::ChangeVoters(GroupRequest::AddVoter(endpoint.clone())))
            .await;
    assert_eq!(added, GroupResponse::Done);
    // The added voter counts towards the quorum: the group continues without one of the original voters.
    kill(v0);
    let held = a.guard("d").expect("the duty is not held");
    let b = group.start("b", &["d"]);
    // During an election the group may process the release later.
    let released = a.request(MemberRequest::ReleaseDuty("d".into(), None)).await;
    assert!(
        matches!(released, GroupResponse::Reply(Reply::Done) | GroupResponse::Unavailable),
        "{released:?}"
    );
    assert_eq!(held.valid_fence(), None);
    let next = wait_until("a holder with two voters", || holder(&[&a, &b], "d")).await.1;
    assert!(next.fence() > held.fence());
    let unknown =
        request_until_answered(&b, || MemberRequest::ChangeVoters(GroupRequest::RemoveVoter("v9".into())))
            .await;
    assert_eq!(unknown, GroupResponse::Refused("v9 is no voter".into()));
    // An earlier attempt without a response may already have removed the voter.
    let removed =
        request_until_answered(&b, || MemberRequest::ChangeVoters(GroupRequest::RemoveVoter("v0".into())))
            .await;
    assert!(
        matches!(&removed, GroupResponse::Done) || removed == GroupResponse::Refused("v0 is no voter".into()),
        "{removed:?}"
    );
    wait_until("two voters", || (b.status().view.voters.len() == 2).then_some(())).await;
    drop((v1, v2));
}

#[tokio::test]
async fn a_voter_missing_from_the_settings_is_reached_at_its_replicated_address() {
    let group = TestGroup::new(3);
    let voters: Vec<Handle> = (0..3).map(|n| group.start(&format!("v{n}"), &[])).collect();
    let a = group.start("a", &["d"]);
    let held = wait_until("a holder", || a.guard("d").filter(|g| g.valid_fence().is_some())).await;
    let mut larger_group = TestGroup::new(4);
    let new_voter = larger_group.voters[3].clone();
    larger_group.voters = group.voters.iter().cloned().chain([new_voter.clone()]).collect();
    let v3 = larger_group.start("v3", &[]);
    assert_eq!(
        request_until_answered(&a, || MemberRequest::ChangeVoters(GroupRequest::AddVoter(new_voter.clone())))
            .await,
        GroupResponse::Done
    );
    wait_until("four voters", || (a.status().view.voters.len() == 4).then_some(())).await;
    // The quorum of four voters is three, so the added voter must count, whichever voter leads.
    let leader = wait_until("the leader's name", || a.status().view.leader).await;
    let leader_index = group.voters.iter().position(|endpoint| endpoint.name == leader).unwrap_or(0);
    let followers: Vec<Handle> =
        voters.into_iter().enumerate().filter(|(n, _)| *n != leader_index).map(|(_, v)| v).collect();
    a.request(MemberRequest::SetEligible(false)).await;
    let b = group.start("b", &["d"]);
    let next = wait_until("the next holder", || b.guard("d").filter(|g| g.valid_fence().is_some())).await;
    assert!(next.fence() > held.fence());
    drop((followers, v3));
}

#[tokio::test]
async fn the_last_voter_continues_alone_when_all_others_are_named_as_lost() {
    let group = TestGroup::new(3);
    let start = |n: usize| group.start(&format!("v{n}"), &[]);
    let voters: Vec<Handle> = (0..3).map(start).collect();
    let a = group.start("a", &["d"]);
    let fence = wait_until("a holder", || a.guard("d").and_then(|g| g.valid_fence())).await;
    let write =
        request_until_answered(&a, || MemberRequest::WriteRecord("d".into(), "k".into(), b"kept".to_vec()))
            .await;
    assert_eq!(write, GroupResponse::Reply(Reply::Done));
    wait_until("the record at the voter", || (!voters[1].status().view.records.is_empty()).then_some(()))
        .await;
    voters.into_iter().for_each(kill);
    kill(a);
    let rescue = |n: usize, lost: &[&str]| {
        let lost: Vec<String> = lost.iter().map(|name| (*name).to_owned()).collect();
        fennelscale_group::store::rescue(
            &group.voter_directory(&format!("v{n}")),
            &format!("v{n}"),
            "fleet",
            &lost,
        )
    };
    let refused = wait_until("the release of the voter file", || {
        rescue(1, &["v0"]).err().map(|error| error.to_string()).filter(|why| !why.contains("open"))
    });
    assert_eq!(refused.await, "the other voters are v0, v2: name all of them, if all are lost");
    rescue(1, &["v2", "v0"]).expect("cannot continue from the disk of v1");
    let v1 = start(1);
    let b = group.start("b", &["d"]);
    let next = wait_until("a holder", || b.guard("d").and_then(|g| g.valid_fence())).await;
    assert!(next > fence, "fence {next} after {fence}");
    let view =
        wait_until("the record", || Some(b.status().view).filter(|view| !view.records.is_empty())).await;
    assert_eq!((view.records["k"].2.as_slice(), view.voters), (&b"kept"[..], vec!["v1".to_owned()]));
    // The lost voters return with empty disks.
    for n in [0, 2] {
        std::fs::remove_dir_all(group.voter_directory(&format!("v{n}")))
            .expect("cannot remove the voter directory");
    }
    let _others = (start(0), start(2));
    for n in [0, 2] {
        assert_eq!(
            request_until_answered(&b, || MemberRequest::ChangeVoters(GroupRequest::AddVoter(
                group.voters[n].clone()
            )))
            .await,
            GroupResponse::Done
        );
    }
    wait_until("three voters", || (b.status().view.voters.len() == 3).then_some(())).await;
    drop(v1);
}

#[tokio::test]
async fn a_damaged_file_and_a_file_of_another_group_are_set_aside() {
    let group = TestGroup::new(1);
    let v0 = group.start("v0", &["d"]);
    wait_until("a holder", || v0.guard("d").and_then(|g| g.valid_fence())).await;
    // A second process with the same name must not take the file from the running voter.
    let second_open =
        fennelscale_group::store::Store::open(&group.voter_directory("v0"), "v0", "fleet", |_| {});
    assert!(matches!(second_open, Err(fennelscale_group::store::StoreError::Busy)));
    v0.close().await;
    let file = group.voter_directory("v0").join("group.redb");
    let mut bytes = std::fs::read(&file).expect("cannot read the voter file");
    // Corrupt every copy of the group name in the file, since the file also holds outdated pages.
    let offsets: Vec<usize> =
        (0..bytes.len()).filter(|offset| bytes[*offset..].starts_with(b"fleet")).collect();
    assert!(!offsets.is_empty(), "the voter file does not contain the group name");
    offsets.iter().for_each(|offset| bytes[*offset] ^= 1);
    std::fs::write(&file, &bytes).expect("cannot write the voter file");
    kill(group.start("v0", &[]));
    assert!(group.has_logged("not used") && group.has_logged("group.aside-0"), "{:?}", group.log_lines);
    kill(group.start_in("v0", "other", &[]));
    assert!(group.has_logged("the file belongs to voter v0 of group fleet"), "{:?}", group.log_lines);
}

#[tokio::test]
async fn a_member_of_another_group_gets_no_session() {
    let group = TestGroup::new(1);
    let v0 = group.start("v0", &["d"]);
    wait_until("a holder", || v0.guard("d").and_then(|g| g.valid_fence())).await;
    let outsider = group.start_in("x", "other", &["d"]);
    let insider = group.start("y", &[]);
    wait_until("the session of the other member", || insider.status().session).await;
    tokio::time::sleep(SESSION_TTL / 2).await;
    assert!(outsider.status().session.is_none() && outsider.guard("d").is_none());
    wait_until("two sessions", || (insider.status().view.sessions == 2).then_some(())).await;
    assert!(outsider.status().session.is_none());
}

#[tokio::test]
async fn concurrent_absences_are_limited() {
    let group = TestGroup::new(1);
    let v0 = group.start("v0", &[]);
    let (a, b) = (group.start("a", &[]), group.start("b", &[]));
    for handle in [&v0, &a, &b] {
        wait_until("a session", || handle.status().session).await;
    }
    assert_eq!(
        request_until_answered(&a, || MemberRequest::RequestAbsence(1)).await,
        GroupResponse::Reply(Reply::Done)
    );
    assert_eq!(
        request_until_answered(&a, || MemberRequest::RequestAbsence(1)).await,
        GroupResponse::Reply(Reply::Done),
        "repeated request"
    );
    assert_eq!(
        request_until_answered(&b, || MemberRequest::RequestAbsence(1)).await,
        GroupResponse::Reply(Reply::AbsenceLimitReached(1))
    );
    a.close().await;
    assert_eq!(
        request_until_answered(&b, || MemberRequest::RequestAbsence(1)).await,
        GroupResponse::Reply(Reply::AbsenceLimitReached(1)),
        "the absent member has not returned yet"
    );
    let a = group.start("a", &[]);
    wait_until("the return of the absent member", || a.status().session).await;
    assert_eq!(
        request_until_answered(&b, || MemberRequest::RequestAbsence(1)).await,
        GroupResponse::Reply(Reply::Done)
    );
}
