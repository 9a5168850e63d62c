//! ControlPlanes as threads with a runtime each, over loopback and on real files: what an operator sees while they come and go.

mod fleet;
mod played;

use control_plane::{Change, ControlPlane, ControlPlaneSettings, Disk, Losses, Tolerance};
use protocol::{ConfigId, ConfigSnapshot, Heartbeat, Hello, Message, Plane};
use raft::{Entry, Message as LogMessage, Payload, Snapshot, Timing, VoterId};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use transport::config_snapshots::rebuild;

/// Whatever is waited for comes much sooner; a busy machine is given time.
const PATIENCE: Duration = Duration::from_secs(30);

/// So many of a fleet's five places have a disk.
const VOTERS: usize = 3;

fn tolerance() -> Tolerance {
    let losses = Losses { machines: 1, zones: 0, regions: 0 };
    Tolerance { losses, ..Tolerance::default() }
}

struct Process {
    control: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Process {
    /// One with a disk that counts, or without one where no folder is given.
    fn start(
        at: usize, address: SocketAddr, seeds: &[SocketAddr], control: SocketAddr, folder: Option<PathBuf>,
        first: bool,
    ) -> Self {
        let (stop, stopped) = oneshot::channel::<()>();
        let seeds = seeds.to_vec();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let (commands, queue) = mpsc::channel(1024);
                let newcomer = |_: bool| {
                    let incarnation = if first { 0 } else { 77 };
                    let founders = seeds.iter().map(|a| VoterId { address: a.to_string(), incarnation: 0 });
                    let founders = if first { founders.collect() } else { Vec::new() };
                    (VoterId { address: address.to_string(), incarnation }, founders)
                };
                // The thread of the process before may take a moment to let go of the file.
                let log = folder.map(|folder| until(|| Disk::open(&folder, newcomer, commands.clone()).ok()));
                let me = Hello {
                    name: format!("m{at}"),
                    process_incarnation: 1,
                    plane: Plane::ControlPlane,
                    address: address.to_string(),
                    zone: "a".into(),
                    quorum: log.is_some(),
                    voter_incarnation: log.as_ref().map(|(_, saved)| saved.me.incarnation),
                };
                let timing = Timing { heartbeat: 40, election: 300, lease: 200 };
                let seed = at as u64 + 5;
                let settings = ControlPlaneSettings {
                    me,
                    address,
                    seeds,
                    heartbeat_interval_ms: 500,
                    timing,
                    tolerance: tolerance(),
                    retire_after_ms: 1_000,
                    max_lease_requests_per_holder: 0.0,
                    seed,
                    detours: config::Detours::default(),
                };
                let numbers = Rc::new(Cell::new(0));
                let numbers: Rc<dyn Fn() -> u64> = Rc::new(move || {
                    numbers.set(numbers.get() + 1);
                    numbers.get()
                });
                let control_plane = ControlPlane::new(settings, log, commands.clone(), numbers.clone());
                let listen = |address| {
                    let listener = TcpListener::bind(address).expect("the port");
                    listener.set_nonblocking(true).expect("not blocking");
                    tokio::net::TcpListener::from_std(listener).expect("a listener")
                };
                let to_peers = control_plane::listen(listen(address), commands.clone(), move || numbers());
                tokio::task::spawn_local(to_peers);
                tokio::task::spawn_local(control_plane::serve(listen(control), commands.clone(), 64));
                tokio::task::spawn_local(control_plane.run(queue));
                let _ = stopped.await;
            });
        });
        Self { control, stop: Some(stop), thread: Some(thread) }
    }

    /// Ends it with all its connections, as a killed process does; its files stay.
    fn kill(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "a process has panicked");
        }
    }

    /// Status and body of one call; none where nobody answers.
    fn call(&self, head: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.control).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        write!(stream, "{head}\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
    }

    fn replace(&self, base: u64, body: &str) -> Option<u16> {
        self.call(&format!("POST /Config.Replace HTTP/1.1\r\nX-Base-Version: r{base}"), body).map(|(s, _)| s)
    }

    /// Sends until there is an answer that is none of the kind that asks to come again.
    fn insist(&self, base: u64, body: &str) -> u16 {
        until(|| self.replace(base, body).filter(|status| *status < 500))
    }

    fn read(&self) -> (u16, String) {
        until(|| self.call("GET /Config.Read HTTP/1.1", "").filter(|(status, _)| *status < 500))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn until<T>(mut what: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = what() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "it did not come");
        std::thread::yield_now();
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"generation":"r{version}","route_table":{{"r":{{"authority":"h.example","path_prefix":"/","variant":"pure",
        "deadline_ms":1000,"goal_ms":500,"rank":1,"target":"s","max_tries":2,"public":true}}}},"service_table":{{"s":
        {{"health_path":"/h","max_conns":10,"protocol":"h1","tls_mode":false}}}},"limits":{{"max_header_bytes":16384,
        "max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Ports of a loopback address of its own: on a shared one, ports that are free now may be taken by the connections of
/// another test a moment later.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    static FLEETS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high | 64, low, FLEETS.fetch_add(1, Ordering::Relaxed));
    let held: Vec<_> = (0..count).map(|_| TcpListener::bind((own, 0)).expect("a port")).collect();
    held.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

struct TestFleet {
    peers: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
    folder: tempfile::TempDir,
}

impl TestFleet {
    fn new() -> Self {
        let ports = free_ports(10);
        let folder = tempfile::tempdir().expect("a folder");
        Self { peers: ports[..5].to_vec(), controls: ports[5..].to_vec(), folder }
    }

    fn start(&self, at: usize, first: bool) -> Process {
        let folder = (at < VOTERS).then(|| self.disk(at));
        Process::start(at, self.peers[at], &self.peers[..VOTERS], self.controls[at], folder, first)
    }

    /// One with a disk that is told of these seeds only.
    fn start_with_seeds(&self, at: usize, seeds: &[SocketAddr]) -> Process {
        Process::start(at, self.peers[at], seeds, self.controls[at], Some(self.disk(at)), false)
    }

    fn disk(&self, at: usize) -> PathBuf {
        self.folder.path().join(at.to_string())
    }

    fn all(&self, first: bool) -> Vec<Process> {
        (0..VOTERS).map(|at| self.start(at, first)).collect()
    }
}

/// Which of them leads, by its own word.
fn leader(processes: &[Process]) -> usize {
    until(|| {
        processes.iter().position(|process| {
            let status = process.call("GET /Harbour.Status HTTP/1.1", "");
            status.is_some_and(|(_, body)| body.contains(r#""holds_lease":true"#))
        })
    })
}

#[test]
fn any_process_takes_a_change_and_gives_it_back() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(3)), 200);
    for control_plane in &control_planes {
        assert_eq!(control_plane.read(), (200, config(3)));
        assert_eq!(control_plane.insist(0, &config(3)), 200, "the same again is taken already");
        assert_eq!(control_plane.insist(0, &config(4)), 412);
        assert_eq!(
            control_plane.insist(3, &config(3).replace("500", "600")),
            409,
            "another one of this number"
        );
        assert_eq!(control_plane.insist(3, "{"), 400);
    }
    assert_eq!(control_planes[2].insist(3, &config(5)), 200);
    assert_eq!(control_planes[1].insist(0, &config(3)), 200, "also after a newer one");
    assert_eq!(control_planes[1].read(), (200, config(5)));
}

#[test]
fn operators_see_history_records_and_metrics() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    assert_eq!(control_planes[0].insist(1, &config(2)), 200);
    assert_eq!(control_planes[0].insist(1, &config(4)), 412);
    let leader = &control_planes[leader(&control_planes)];
    let get = |path: &str| leader.call(&format!("GET {path} HTTP/1.1"), "").unwrap_or_default();
    assert_eq!(get("/Config.History/r1"), (200, config(1)));
    assert_eq!((get("/Config.History/r9").0, get("/Config.History/x").0), (404, 400));
    let (_, history) = get("/Config.History");
    assert!(history.contains(r#""version":"r2""#) && history.contains(r#""version":"r1""#), "{history}");
    let (_, events) = get("/Harbour.Events?about=r4");
    assert!(events.contains("r2, which is in place") && !events.contains(r#""step":"office""#), "{events}");
    let (_, metrics) = get("/metrics");
    assert!(
        metrics.contains(r#"reachlb_changes_total{plane="control-plane",outcome="taken"} 2"#),
        "{metrics}"
    );
}

#[test]
fn of_two_on_one_version_one_wins() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    let mut base = 0;
    for round in 0..5 {
        let (one, other) = (config(base + 1), config(base + 2));
        let answers = std::thread::scope(|scope| {
            let threads = [
                scope.spawn(|| control_planes[0].insist(base, &one)),
                scope.spawn(|| control_planes[1].insist(base, &other)),
            ];
            threads.map(|thread| thread.join().expect("an answer"))
        });
        let mut sorted = answers;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 412], "round {round}");
        base += if answers[0] == 200 { 1 } else { 2 };
    }
}

#[test]
fn a_change_survives_its_leader_and_all_of_them() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    let first = leader(&control_planes);
    control_planes[first].kill();
    let left = (first + 1) % 3;
    assert_eq!(control_planes[left].read(), (200, config(1)));
    assert_eq!(control_planes[left].insist(1, &config(2)), 200);
    control_planes.iter_mut().for_each(Process::kill);
    let control_planes = fleet.all(false);
    assert_eq!(control_planes[first].read(), (200, config(2)), "also at the one that was away");
}

#[test]
fn an_order_is_acknowledged_again_after_many_others_and_a_restart_of_all() {
    /// More than two snapshots hold.
    const ORDERS: u64 = 40;
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=ORDERS {
        assert_eq!(control_planes[version as usize % VOTERS].insist(version - 1, &config(version)), 200);
    }
    control_planes.iter_mut().for_each(Process::kill);
    let control_planes = fleet.all(false);
    for version in 1..=ORDERS {
        let at = &control_planes[(version as usize + 1) % VOTERS];
        assert_eq!(at.insist(version - 1, &config(version)), 200, "r{version} again");
        assert_eq!(at.insist(version - 1, &config(version).replace("500", "600")), 412, "another r{version}");
    }
    assert_eq!(control_planes[0].read(), (200, config(ORDERS)));
}

#[test]
fn the_first_order_may_come_to_all_machines_before_any_of_them_leads() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    let rival = config(1).replace("500", "600");
    let both = |at: &Process| (at.insist(0, &config(1)), at.insist(0, &rival));
    let answers: Vec<(u16, u16)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            control_planes.iter().map(|control_plane| scope.spawn(|| both(control_plane))).collect();
        threads.into_iter().map(|thread| thread.join().expect("an answer")).collect()
    });
    assert_eq!(answers, [(200, 412); VOTERS]);
    assert_eq!(control_planes[0].read(), (200, config(1)));
}

#[test]
fn an_order_whose_leader_ends_meanwhile_is_confirmed_once_and_its_rival_refused() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=3 {
        let (order, base) = (config(version), version - 1);
        let rival = order.replace("500", "600");
        let first = leader(&control_planes);
        let mut ending = control_planes.remove(first);
        let (one, other) = std::thread::scope(|scope| {
            let one = scope.spawn(|| control_planes[0].insist(base, &order));
            let other = scope.spawn(|| control_planes[1].insist(base, &rival));
            ending.kill();
            (one.join().expect("an answer"), other.join().expect("an answer"))
        });
        assert_eq!(one.min(other), 200, "r{version}");
        assert_eq!(one.max(other), 412, "r{version}");
        let (kept, lost) = if one == 200 { (order, rival) } else { (rival, order) };
        control_planes.insert(first, fleet.start(first, false));
        for at in &control_planes {
            assert_eq!((at.insist(base, &kept), at.insist(base, &lost)), (200, 412), "r{version}");
            assert_eq!(at.read(), (200, kept.clone()));
        }
    }
}

#[test]
fn an_order_on_a_version_to_come_is_neither_taken_nor_refused() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    assert_eq!(until(|| control_planes[1].replace(3, &config(4))), 503);
    assert_eq!(control_planes[2].insist(1, &config(3)), 200);
    assert_eq!(control_planes[1].insist(3, &config(4)), 200, "its version has come");
}

#[test]
fn an_order_that_breaks_off_is_not_refused_for_good() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    for (length, body) in
        [("Content-Length: 100", "{"), ("Transfer-Encoding: chunked", "1\r\n{\r\nno length")]
    {
        let mut stream = until(|| TcpStream::connect(control_planes[0].control).ok());
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        write!(stream, "POST /Config.Replace HTTP/1.1\r\nHost: c\r\n{length}\r\n\r\n{body}").expect("sent");
        stream.shutdown(std::net::Shutdown::Write).expect("half closed");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("all of it");
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408 "), "{answer}");
        println!("{length}: {answer:?}");
    }
}

/// The next configuration on this connection, in whatever form.
fn next_config_snapshot(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Message {
    until(|| {
        while let Some((message, taken)) = protocol::unframe::<Message>(buffer).expect("a message") {
            buffer.drain(..taken);
            if matches!(message, Message::ConfigSnapshot(_) | Message::ConfigDelta(_)) {
                return Some(message);
            }
        }
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).expect("the next bytes");
        buffer.extend_from_slice(&bytes[..read]);
        None
    })
}

#[test]
fn a_follower_gets_differences_and_the_whole_when_it_asks() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(3)), 200);
    assert_eq!(until(|| control_planes[1].read().1.contains("r3").then_some(())), ());
    let hello = Hello {
        name: "q".into(),
        process_incarnation: 1,
        plane: Plane::DataPlane,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        voter_incarnation: None,
    };
    let mut stream = TcpStream::connect(fleet.peers[1]).expect("a line");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    let mut say = |message: Message| stream.write_all(&protocol::frame(&message)).expect("sent");
    say(Message::Hello(hello));
    say(Message::Follow { have: ConfigId::default() });
    let (mut read, mut buffer) = (stream.try_clone().expect("the same"), Vec::new());
    let Message::ConfigDelta(first) = next_config_snapshot(&mut read, &mut buffer) else {
        panic!("nothing was known")
    };
    assert_eq!(first.base, 0);
    let first = rebuild(None, &first).expect("the first");
    assert_eq!(first.body, config(3).into_bytes());
    assert_eq!(control_planes[2].insist(3, &config(4)), 200);
    let Message::ConfigDelta(next) = next_config_snapshot(&mut read, &mut buffer) else {
        panic!("it has the one before")
    };
    assert_eq!(next.base, 3);
    assert_eq!(rebuild(Some(&first.body), &next).expect("the next").body, config(4).into_bytes());
    // It could not make it out, so it says.
    let mut say = |message: Message| stream.write_all(&protocol::frame(&message)).expect("sent");
    say(Message::SnapshotRequest);
    let whole = ConfigSnapshot { version: 4, body: config(4).into_bytes() };
    assert_eq!(next_config_snapshot(&mut read, &mut buffer), Message::ConfigSnapshot(whole));
}

#[test]
fn who_lost_its_disk_joins_as_somebody_else() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    let lost = leader(&control_planes);
    control_planes[lost].kill();
    std::fs::remove_dir_all(fleet.disk(lost)).expect("its disk is gone");
    control_planes[lost] = fleet.start(lost, false);
    until(|| {
        let (_, body) = control_planes[lost].call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(r#""voter":true"#).then_some(())
    });
    // It counts now: with one of the others away there is a majority.
    control_planes[(lost + 1) % 3].kill();
    assert_eq!(control_planes[lost].insist(1, &config(2)), 200);
    assert_eq!(control_planes[lost].read(), (200, config(2)));
}

/// Right after an acknowledgement one voter, the leader or another one, loses its disk, and everybody else is gone in the
/// same moment, also who has none. Whoever is asked afterwards tells of the change, or nothing yet.
#[test]
fn a_change_outlives_a_lost_disk_while_all_others_are_gone() {
    for is_leader in [true, false] {
        let fleet = TestFleet::new();
        let mut processes: Vec<_> = (0..=VOTERS).map(|at| fleet.start(at, true)).collect();
        assert_eq!(processes[0].insist(0, &config(1)), 200);
        let lost = (leader(&processes[..VOTERS]) + usize::from(!is_leader)) % VOTERS;
        assert_eq!(processes[VOTERS].insist(1, &config(2)), 200);
        processes.iter_mut().for_each(Process::kill);
        std::fs::remove_dir_all(fleet.disk(lost)).expect("its disk is gone");
        let processes: Vec<_> = (0..=VOTERS).map(|at| fleet.start(at, false)).collect();
        for process in processes.iter().chain(&processes) {
            assert_eq!(process.read(), (200, config(2)), "leader: {is_leader}");
        }
    }
}

#[test]
fn a_voter_that_is_gone_is_taken_off_the_list_and_one_that_lives_is_not() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    let first = leader(&control_planes);
    let (gone, other) = ((first + 1) % 3, (first + 2) % 3);
    let remove = |by: &Process, address: &str| {
        until(|| {
            let answer = by.call(&format!("POST /Voters.Remove/{address} HTTP/1.1"), "");
            answer.filter(|(status, _)| *status < 500 && *status != 202)
        })
    };
    let address = fleet.peers[gone].to_string();
    assert_eq!(remove(&control_planes[other], &address).0, 409, "it lives");
    assert_eq!(remove(&control_planes[other], "127.0.0.1:1").0, 404);
    assert_eq!(remove(&control_planes[other], "m1").0, 400);
    until(|| {
        let (status, why) = remove(&control_planes[other], &fleet.peers[leader(&control_planes)].to_string());
        (status == 409 && why.contains("leads")).then_some(())
    });
    control_planes[gone].kill();
    // Heard a moment ago, it counts as alive; who does not lead passes the call on.
    let (_, why) =
        until(|| Some(remove(&control_planes[other], &address)).filter(|(status, _)| *status == 404));
    let left = [first, other].map(|at| fleet.peers[at].to_string());
    assert!(left.iter().all(|voter| why.contains(voter)) && why.matches(&address).count() == 1, "{why}");
    assert_eq!(control_planes[other].insist(1, &config(2)), 200);
    // Started again with its disk, it joins again.
    control_planes[gone] = fleet.start(gone, false);
    until(|| Some(remove(&control_planes[other], &address)).filter(|(status, _)| *status == 409));
}

/// Waits until the leader says that its list of three bears the loss of a machine and names this one.
fn until_three_bear_a_loss(processes: &[&Process], voter: SocketAddr) {
    until(|| {
        let answers = processes.iter().filter_map(|process| process.call("GET /Harbour.Status HTTP/1.1", ""));
        let mut standings = answers.filter_map(|(_, body)| {
            let status: serde_json::Value = serde_json::from_str(&body).expect("JSON");
            let members = status["log"]["members"].to_string();
            Some(status["log"]["standing"].clone())
                .filter(|it| it.is_object() && members.contains(&voter.to_string()))
        });
        let standing = standings.next()?;
        let borne = &standing["further_losses"]["machines"];
        (standing["voters"] == 3 && *borne == 1 && standing["learners"] == serde_json::json!([]))
            .then_some(())
    });
}

#[test]
fn a_voter_that_was_replaced_under_another_address_leaves_the_list() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    let first = leader(&control_planes);
    let (gone, other) = ((first + 1) % 3, (first + 2) % 3);
    control_planes[gone].kill();
    let successor = fleet.start_with_seeds(3, &fleet.peers[..VOTERS]);
    until_three_bear_a_loss(&[&control_planes[first], &control_planes[other]], fleet.peers[3]);
    // The next loss is borne: of a list of four with a dead one, two would be left.
    control_planes[first].kill();
    assert_eq!(successor.insist(1, &config(2)), 200);
    assert_eq!(control_planes[other].read(), (200, config(2)));
}

#[test]
fn voters_find_each_other_again_though_no_seed_is_left() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].insist(0, &config(1)), 200);
    control_planes.iter_mut().for_each(Process::kill);
    // All seeds were exchanged meanwhile, and whoever they name is not up either.
    let restarted: Vec<_> = (0..VOTERS).map(|at| fleet.start_with_seeds(at, &fleet.peers[4..])).collect();
    assert_eq!(restarted[0].insist(1, &config(2)), 200);
    assert_eq!(restarted[2].read(), (200, config(2)));
}

#[test]
fn a_log_that_is_told_again_sends_followers_its_last_configuration_only() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=9 {
        assert_eq!(control_planes[0].insist(version - 1, &config(version)), 200);
    }
    control_planes.iter_mut().for_each(Process::kill);
    let _control_planes = fleet.all(false);
    // It follows before there is a leader, as all do whose machines come back together.
    let mut follower = until(|| TcpStream::connect(fleet.peers[0]).ok());
    let hello = Hello {
        name: "q".into(),
        process_incarnation: 1,
        plane: Plane::DataPlane,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        voter_incarnation: None,
    };
    let frames = [Message::Hello(hello), Message::Follow { have: ConfigId::default() }]
        .map(|message| protocol::frame(&message))
        .concat();
    follower.write_all(&frames).expect("sent");
    follower.set_read_timeout(Some(PATIENCE)).expect("a limit");
    let (mut read, mut config_snapshots) = (Vec::new(), Vec::new());
    loop {
        while let Some((message, length)) = protocol::unframe::<Message>(&read).expect("a frame") {
            read.drain(..length);
            match message {
                Message::ConfigSnapshot(config_snapshot) => config_snapshots.push(config_snapshot.version),
                Message::ConfigDelta(config_delta) => config_snapshots.push(config_delta.version),
                Message::Heartbeat(heartbeat) if heartbeat.fresh => {
                    assert_eq!((heartbeat.version, config_snapshots), (9, vec![9]));
                    return;
                }
                _ => {}
            }
        }
        let mut bytes = [0; 4096];
        let length = follower.read(&mut bytes).expect("news");
        assert!(length > 0, "the line is over");
        read.extend_from_slice(&bytes[..length]);
    }
}

#[test]
fn control_planes_without_a_log_do_not_send_each_other_round_in_a_circle() {
    let fleet = TestFleet::new();
    let pair = &fleet.peers[VOTERS..];
    let start = |at: usize| Process::start(at, fleet.peers[at], pair, fleet.controls[at], None, true);
    let control_planes = [start(VOTERS), start(VOTERS + 1)];
    let figure = |process: &Process, name: &str| -> Option<u64> {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        serde_json::from_str::<serde_json::Value>(&body).ok()?.get(name)?.as_u64()
    };
    // They have met once each has heard the other's lists.
    for process in &control_planes {
        until(|| figure(process, "frames").filter(|frames| *frames > 6));
    }
    // Each hears of another leader, both as of this moment: as after a herd's death, when old news is still about.
    let voters: Vec<_> = (0..2)
        .map(|at| {
            let address = fleet.peers[at];
            let hello = Hello {
                name: format!("v{at}"),
                process_incarnation: 1,
                plane: Plane::ControlPlane,
                address: address.to_string(),
                zone: "a".into(),
                quorum: true,
                voter_incarnation: Some(0),
            };
            let heartbeat =
                Heartbeat { leader: Some(address.to_string()), term: 1, fresh: true, ..Heartbeat::default() };
            let mut stream = TcpStream::connect(pair[at]).expect("a line");
            let frames = [Message::Hello(hello), Message::Heartbeat(heartbeat)]
                .map(|message| protocol::frame(&message))
                .concat();
            stream.write_all(&frames).expect("sent");
            stream
        })
        .collect();
    for process in &control_planes {
        let (began, before) = until(|| Some((figure(process, "up_ms")?, figure(process, "frames")?)));
        let after = until(|| {
            let up = figure(process, "up_ms")?;
            (up > began + 600).then(|| figure(process, "frames"))?
        });
        assert!(after - before < 100, "{} messages in some 600 ms", after - before);
    }
    drop(voters);
}

/// A connection to a process from one that says of itself that it is another voter.
fn line_of_voter(fleet: &TestFleet, at: usize, to: usize) -> TcpStream {
    let hello = Hello {
        name: format!("m{at}"),
        process_incarnation: 1,
        plane: Plane::ControlPlane,
        address: fleet.peers[at].to_string(),
        zone: "a".into(),
        quorum: true,
        voter_incarnation: Some(0),
    };
    let mut stream = until(|| TcpStream::connect(fleet.peers[to]).ok());
    stream.write_all(&protocol::frame(&Message::Hello(hello))).expect("sent");
    stream
}

fn log_frame(message: &LogMessage) -> Vec<u8> {
    protocol::frame(&Message::Log { incarnation: 0, message: bitcode::encode(message) })
}

fn has_status(process: &Process, what: &str) {
    until(|| {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(what).then_some(())
    });
}

/// What a process that was killed has on its disk.
fn on_disk(fleet: &TestFleet, at: usize) -> raft::PersistentState {
    let opened = raft::store::Store::open(fleet.disk(at).join("log.redb"));
    opened.expect("the file is whole").1.expect("it is a voter's")
}

/// Entries that come already committed compact the log before they are on disk themselves.
#[test]
fn a_voter_that_catches_up_in_one_message_writes_its_entries_before_its_snapshot() {
    let fleet = TestFleet::new();
    let mut process = fleet.start(0, true);
    let entry = |index: u64| {
        let change =
            Change { base: index - 1, version: index, digest: [index as u8; 32], body: config(index).into() };
        Entry { index, term: 1, payload: Payload::Change(bitcode::encode(&change)) }
    };
    let entries = (1..=20).map(entry).collect();
    let append = LogMessage::Append { term: 1, prev_index: 0, prev_term: 0, entries, commit: 20 };
    let mut line = line_of_voter(&fleet, 1, 0);
    // A message that a later version has added is ignored, and the connection stands.
    let unknown = protocol::frame(&Message::Log { incarnation: 0, message: vec![200, 1, 2, 3] });
    line.write_all(&unknown).expect("sent");
    line.write_all(&log_frame(&append)).expect("sent");
    has_status(&process, r#""commit":20"#);
    process.kill();
    let saved = on_disk(&fleet, 0);
    let base = saved.snapshot.map(|snapshot| snapshot.index);
    assert_eq!((base, saved.entries.len()), (Some(16), 4));
}

#[test]
fn a_voter_that_can_not_read_the_leaders_snapshot_falls_silent_and_keeps_its_log() {
    let fleet = TestFleet::new();
    let mut process = fleet.start(0, true);
    let members =
        fleet.peers[..VOTERS].iter().map(|at| VoterId { address: at.to_string(), incarnation: 0 }).collect();
    let snapshot = Snapshot { index: 9, term: 1, members, state: b"of a version to come".to_vec() };
    let mut line = line_of_voter(&fleet, 1, 0);
    line.write_all(&log_frame(&LogMessage::InstallSnapshot { term: 1, snapshot })).expect("sent");
    has_status(&process, r#""log":null"#);
    process.kill();
    let saved = on_disk(&fleet, 0);
    assert!(saved.snapshot.is_none() && saved.entries.is_empty(), "{saved:?}");
}

#[test]
fn a_voter_that_missed_large_configurations_catches_up_and_can_lead() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    let large = |version: u64| config(version) + &" ".repeat(400_000);
    let away = (leader(&control_planes) + 1) % 3;
    control_planes[away].kill();
    let asked = (away + 1) % 3;
    for version in 1..=20 {
        assert_eq!(control_planes[asked].insist(version - 1, &large(version)), 200);
    }
    control_planes[away] = fleet.start(away, false);
    has_status(&control_planes[away], r#""version":"r20""#);
    control_planes[asked].kill();
    assert_eq!(control_planes[away].read(), (200, large(20)));
    assert_eq!(control_planes[away].insist(20, &config(21)), 200);
}
