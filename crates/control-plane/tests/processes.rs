//! Control planes in threads with a runtime each, over loopback and on real files, as operators see them across
//! restarts.

mod data_planes;
mod fake_peer;

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

/// Time limit for each awaited condition, generous enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How many of a fleet's five processes store the Raft log.
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
    /// Starts a process that stores the Raft log in `directory`, or one without a log if there is no directory.
    fn start(
        at: usize, address: SocketAddr, seeds: &[SocketAddr], control: SocketAddr,
        directory: Option<PathBuf>, first: bool,
    ) -> Self {
        let (stop, stop_signal) = oneshot::channel::<()>();
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
                // The thread of the former process may still be closing the file.
                let log = directory
                    .map(|directory| wait_for(|| Disk::open(&directory, newcomer, commands.clone()).ok()));
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
                let connection_ids = Rc::new(Cell::new(0));
                let connection_ids: Rc<dyn Fn() -> u64> = Rc::new(move || {
                    connection_ids.set(connection_ids.get() + 1);
                    connection_ids.get()
                });
                let control_plane =
                    ControlPlane::new(settings, log, commands.clone(), connection_ids.clone());
                let listen = |address| {
                    let listener = TcpListener::bind(address).expect("the port");
                    listener.set_nonblocking(true).expect("not blocking");
                    tokio::net::TcpListener::from_std(listener).expect("a listener")
                };
                let to_peers =
                    control_plane::listen(listen(address), commands.clone(), move || connection_ids());
                tokio::task::spawn_local(to_peers);
                tokio::task::spawn_local(control_plane::serve(listen(control), commands.clone(), 64));
                tokio::task::spawn_local(control_plane.run(queue));
                let _ = stop_signal.await;
            });
        });
        Self { control, stop: Some(stop), thread: Some(thread) }
    }

    /// Stops the process with all its connections, as a kill does. Its files remain.
    fn kill(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "a process has panicked");
        }
    }

    /// Status and body of one call; `None` if there is no response.
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

    /// Retries until the response is not a 5xx status.
    fn replace_until_final(&self, base: u64, body: &str) -> u16 {
        wait_for(|| self.replace(base, body).filter(|status| *status < 500))
    }

    fn read(&self) -> (u16, String) {
        wait_for(|| self.call("GET /Config.Read HTTP/1.1", "").filter(|(status, _)| *status < 500))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn wait_for<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = attempt() {
            return found;
        }
        assert!(begun.elapsed() < WAIT_TIMEOUT, "the awaited condition did not hold in time");
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

/// Ports on a loopback address of this test only. On a shared address, the connections of another test could take a
/// port that is free now.
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
    directory: tempfile::TempDir,
}

impl TestFleet {
    fn new() -> Self {
        let ports = free_ports(10);
        let directory = tempfile::tempdir().expect("cannot create the temporary directory");
        Self { peers: ports[..5].to_vec(), controls: ports[5..].to_vec(), directory }
    }

    fn start(&self, at: usize, first: bool) -> Process {
        let directory = (at < VOTERS).then(|| self.disk(at));
        Process::start(at, self.peers[at], &self.peers[..VOTERS], self.controls[at], directory, first)
    }

    /// Starts a process with a log that knows only these seeds.
    fn start_with_seeds(&self, at: usize, seeds: &[SocketAddr]) -> Process {
        Process::start(at, self.peers[at], seeds, self.controls[at], Some(self.disk(at)), false)
    }

    fn disk(&self, at: usize) -> PathBuf {
        self.directory.path().join(at.to_string())
    }

    fn all(&self, first: bool) -> Vec<Process> {
        (0..VOTERS).map(|at| self.start(at, first)).collect()
    }
}

/// The leader: the process whose status reports that it holds the leader lease.
fn leader(processes: &[Process]) -> usize {
    wait_for(|| {
        processes.iter().position(|process| {
            let status = process.call("GET /Harbour.Status HTTP/1.1", "");
            status.is_some_and(|(_, body)| body.contains(r#""holds_lease":true"#))
        })
    })
}

#[test]
fn every_process_accepts_changes_and_serves_reads() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(3)), 200);
    for control_plane in &control_planes {
        assert_eq!(control_plane.read(), (200, config(3)));
        assert_eq!(
            control_plane.replace_until_final(0, &config(3)),
            200,
            "a repeated change is acknowledged"
        );
        assert_eq!(control_plane.replace_until_final(0, &config(4)), 412);
        assert_eq!(
            control_plane.replace_until_final(3, &config(3).replace("500", "600")),
            409,
            "another body of the same version"
        );
        assert_eq!(control_plane.replace_until_final(3, "{"), 400);
    }
    assert_eq!(control_planes[2].replace_until_final(3, &config(5)), 200);
    assert_eq!(
        control_planes[1].replace_until_final(0, &config(3)),
        200,
        "acknowledged after a newer version"
    );
    assert_eq!(control_planes[1].read(), (200, config(5)));
}

#[test]
fn operators_see_history_events_and_metrics() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    assert_eq!(control_planes[0].replace_until_final(1, &config(2)), 200);
    assert_eq!(control_planes[0].replace_until_final(1, &config(4)), 412);
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
fn of_two_concurrent_changes_on_one_version_one_is_accepted() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    let mut base = 0;
    for round in 0..5 {
        let (one, other) = (config(base + 1), config(base + 2));
        let answers = std::thread::scope(|scope| {
            let threads = [
                scope.spawn(|| control_planes[0].replace_until_final(base, &one)),
                scope.spawn(|| control_planes[1].replace_until_final(base, &other)),
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
fn a_change_survives_the_loss_of_its_leader_and_a_restart_of_all() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    let first = leader(&control_planes);
    control_planes[first].kill();
    let left = (first + 1) % 3;
    assert_eq!(control_planes[left].read(), (200, config(1)));
    assert_eq!(control_planes[left].replace_until_final(1, &config(2)), 200);
    control_planes.iter_mut().for_each(Process::kill);
    let control_planes = fleet.all(false);
    assert_eq!(control_planes[first].read(), (200, config(2)), "at the restarted process");
}

#[test]
fn a_repeated_order_is_acknowledged_after_many_others_and_a_restart_of_all() {
    /// More changes than two snapshots cover.
    const ORDERS: u64 = 40;
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=ORDERS {
        assert_eq!(
            control_planes[version as usize % VOTERS].replace_until_final(version - 1, &config(version)),
            200
        );
    }
    control_planes.iter_mut().for_each(Process::kill);
    let control_planes = fleet.all(false);
    for version in 1..=ORDERS {
        let at = &control_planes[(version as usize + 1) % VOTERS];
        assert_eq!(at.replace_until_final(version - 1, &config(version)), 200, "r{version} repeated");
        assert_eq!(
            at.replace_until_final(version - 1, &config(version).replace("500", "600")),
            412,
            "another body of r{version}"
        );
    }
    assert_eq!(control_planes[0].read(), (200, config(ORDERS)));
}

#[test]
fn the_first_order_may_reach_all_processes_before_one_leads() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    let rival = config(1).replace("500", "600");
    let both = |at: &Process| (at.replace_until_final(0, &config(1)), at.replace_until_final(0, &rival));
    let answers: Vec<(u16, u16)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            control_planes.iter().map(|control_plane| scope.spawn(|| both(control_plane))).collect();
        threads.into_iter().map(|thread| thread.join().expect("an answer")).collect()
    });
    assert_eq!(answers, [(200, 412); VOTERS]);
    assert_eq!(control_planes[0].read(), (200, config(1)));
}

#[test]
fn of_two_rival_orders_at_a_stopping_leader_exactly_one_is_accepted() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=3 {
        let (order, base) = (config(version), version - 1);
        let rival = order.replace("500", "600");
        let first = leader(&control_planes);
        let mut ending = control_planes.remove(first);
        let (one, other) = std::thread::scope(|scope| {
            let one = scope.spawn(|| control_planes[0].replace_until_final(base, &order));
            let other = scope.spawn(|| control_planes[1].replace_until_final(base, &rival));
            ending.kill();
            (one.join().expect("an answer"), other.join().expect("an answer"))
        });
        assert_eq!(one.min(other), 200, "r{version}");
        assert_eq!(one.max(other), 412, "r{version}");
        let (kept, lost) = if one == 200 { (order, rival) } else { (rival, order) };
        control_planes.insert(first, fleet.start(first, false));
        for at in &control_planes {
            assert_eq!(
                (at.replace_until_final(base, &kept), at.replace_until_final(base, &lost)),
                (200, 412),
                "r{version}"
            );
            assert_eq!(at.read(), (200, kept.clone()));
        }
    }
}

#[test]
fn an_order_on_a_future_version_is_neither_accepted_nor_refused() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    assert_eq!(wait_for(|| control_planes[1].replace(3, &config(4))), 503);
    assert_eq!(control_planes[2].replace_until_final(1, &config(3)), 200);
    assert_eq!(control_planes[1].replace_until_final(3, &config(4)), 200, "its base version is accepted now");
}

#[test]
fn an_interrupted_upload_gets_no_final_refusal() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    for (length, body) in
        [("Content-Length: 100", "{"), ("Transfer-Encoding: chunked", "1\r\n{\r\nno length")]
    {
        let mut stream = wait_for(|| TcpStream::connect(control_planes[0].control).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
        write!(stream, "POST /Config.Replace HTTP/1.1\r\nHost: c\r\n{length}\r\n\r\n{body}")
            .expect("cannot write to the stream");
        stream.shutdown(std::net::Shutdown::Write).expect("cannot shut down the write half");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("cannot read the answer");
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408 "), "{answer}");
        println!("{length}: {answer:?}");
    }
}

/// The next configuration on this connection, as a snapshot or as a delta.
fn next_config_snapshot(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Message {
    wait_for(|| {
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
fn a_subscriber_gets_deltas_and_the_whole_configuration_on_request() {
    let fleet = TestFleet::new();
    let control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(3)), 200);
    assert_eq!(wait_for(|| control_planes[1].read().1.contains("r3").then_some(())), ());
    let hello = Hello {
        name: "q".into(),
        process_incarnation: 1,
        plane: Plane::DataPlane,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        voter_incarnation: None,
    };
    let mut stream = TcpStream::connect(fleet.peers[1]).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    let mut send =
        |message: Message| stream.write_all(&protocol::frame(&message)).expect("cannot write to the stream");
    send(Message::Hello(hello));
    send(Message::Follow { have: ConfigId::default() });
    let (mut read, mut buffer) = (stream.try_clone().expect("cannot clone the stream"), Vec::new());
    let Message::ConfigDelta(first) = next_config_snapshot(&mut read, &mut buffer) else {
        panic!("a whole configuration instead of a delta to nothing")
    };
    assert_eq!(first.base, 0);
    let first = rebuild(None, &first).expect("cannot rebuild the first configuration");
    assert_eq!(first.body, config(3).into_bytes());
    assert_eq!(control_planes[2].replace_until_final(3, &config(4)), 200);
    let Message::ConfigDelta(next) = next_config_snapshot(&mut read, &mut buffer) else {
        panic!("a whole configuration instead of a delta to the former one")
    };
    assert_eq!(next.base, 3);
    assert_eq!(
        rebuild(Some(&first.body), &next).expect("cannot rebuild the next configuration").body,
        config(4).into_bytes()
    );
    // The data plane requests the whole configuration, as after a delta that does not apply.
    let mut send =
        |message: Message| stream.write_all(&protocol::frame(&message)).expect("cannot write to the stream");
    send(Message::SnapshotRequest);
    let whole = ConfigSnapshot { version: 4, body: config(4).into_bytes() };
    assert_eq!(next_config_snapshot(&mut read, &mut buffer), Message::ConfigSnapshot(whole));
}

#[test]
fn a_process_that_lost_its_disk_joins_as_a_new_voter() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    let lost = leader(&control_planes);
    control_planes[lost].kill();
    std::fs::remove_dir_all(fleet.disk(lost)).expect("the disk is removed");
    control_planes[lost] = fleet.start(lost, false);
    wait_for(|| {
        let (_, body) = control_planes[lost].call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(r#""voter":true"#).then_some(())
    });
    // The new voter counts: it forms a majority with only one of the others.
    control_planes[(lost + 1) % 3].kill();
    assert_eq!(control_planes[lost].replace_until_final(1, &config(2)), 200);
    assert_eq!(control_planes[lost].read(), (200, config(2)));
}

/// Right after an acknowledgement, one voter loses its disk (the leader or another one) and all processes stop,
/// including those without a log. After the restart, every read returns the change or is refused for the moment.
#[test]
fn a_change_survives_a_lost_disk_and_a_simultaneous_restart() {
    for is_leader in [true, false] {
        let fleet = TestFleet::new();
        let mut processes: Vec<_> = (0..=VOTERS).map(|at| fleet.start(at, true)).collect();
        assert_eq!(processes[0].replace_until_final(0, &config(1)), 200);
        let lost = (leader(&processes[..VOTERS]) + usize::from(!is_leader)) % VOTERS;
        assert_eq!(processes[VOTERS].replace_until_final(1, &config(2)), 200);
        processes.iter_mut().for_each(Process::kill);
        std::fs::remove_dir_all(fleet.disk(lost)).expect("the disk is removed");
        let processes: Vec<_> = (0..=VOTERS).map(|at| fleet.start(at, false)).collect();
        for process in processes.iter().chain(&processes) {
            assert_eq!(process.read(), (200, config(2)), "leader: {is_leader}");
        }
    }
}

#[test]
fn a_stopped_voter_can_be_removed_and_a_running_one_cannot() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    let first = leader(&control_planes);
    let (gone, other) = ((first + 1) % 3, (first + 2) % 3);
    let remove = |by: &Process, address: &str| {
        wait_for(|| {
            let answer = by.call(&format!("POST /Voters.Remove/{address} HTTP/1.1"), "");
            answer.filter(|(status, _)| *status < 500 && *status != 202)
        })
    };
    let address = fleet.peers[gone].to_string();
    assert_eq!(remove(&control_planes[other], &address).0, 409, "the voter is alive");
    assert_eq!(remove(&control_planes[other], "127.0.0.1:1").0, 404);
    assert_eq!(remove(&control_planes[other], "m1").0, 400);
    wait_for(|| {
        let (status, why) = remove(&control_planes[other], &fleet.peers[leader(&control_planes)].to_string());
        (status == 409 && why.contains("leads")).then_some(())
    });
    control_planes[gone].kill();
    // For a short time after its last message the voter still counts as alive. A non-leader forwards the call.
    let (_, why) =
        wait_for(|| Some(remove(&control_planes[other], &address)).filter(|(status, _)| *status == 404));
    let left = [first, other].map(|at| fleet.peers[at].to_string());
    assert!(left.iter().all(|voter| why.contains(voter)) && why.matches(&address).count() == 1, "{why}");
    assert_eq!(control_planes[other].replace_until_final(1, &config(2)), 200);
    // Restarted with its disk, the voter joins again.
    control_planes[gone] = fleet.start(gone, false);
    wait_for(|| Some(remove(&control_planes[other], &address)).filter(|(status, _)| *status == 409));
}

/// Waits until the leader reports three voters, including this one, that tolerate the loss of a machine.
fn wait_for_three_healthy_voters(processes: &[&Process], voter: SocketAddr) {
    wait_for(|| {
        let answers = processes.iter().filter_map(|process| process.call("GET /Harbour.Status HTTP/1.1", ""));
        let mut memberships = answers.filter_map(|(_, body)| {
            let status: serde_json::Value = serde_json::from_str(&body).expect("JSON");
            let members = status["log"]["members"].to_string();
            Some(status["log"]["standing"].clone())
                .filter(|membership| membership.is_object() && members.contains(&voter.to_string()))
        });
        let membership = memberships.next()?;
        let tolerated = &membership["further_losses"]["machines"];
        (membership["voters"] == 3 && *tolerated == 1 && membership["learners"] == serde_json::json!([]))
            .then_some(())
    });
}

#[test]
fn a_voter_replaced_at_another_address_is_removed() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    let first = leader(&control_planes);
    let (gone, other) = ((first + 1) % 3, (first + 2) % 3);
    control_planes[gone].kill();
    let successor = fleet.start_with_seeds(3, &fleet.peers[..VOTERS]);
    wait_for_three_healthy_voters(&[&control_planes[first], &control_planes[other]], fleet.peers[3]);
    // The next loss is tolerated, because the dead voter was removed: on a list of four with two dead voters, the two
    // live ones would be no majority.
    control_planes[first].kill();
    assert_eq!(successor.replace_until_final(1, &config(2)), 200);
    assert_eq!(control_planes[other].read(), (200, config(2)));
}

#[test]
fn voters_reconnect_when_no_seed_is_left() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    assert_eq!(control_planes[0].replace_until_final(0, &config(1)), 200);
    control_planes.iter_mut().for_each(Process::kill);
    // The settings now name other seeds, and no process runs at their addresses. The voters must find each other by the
    // list in the Raft log.
    let restarted: Vec<_> = (0..VOTERS).map(|at| fleet.start_with_seeds(at, &fleet.peers[4..])).collect();
    assert_eq!(restarted[0].replace_until_final(1, &config(2)), 200);
    assert_eq!(restarted[2].read(), (200, config(2)));
}

#[test]
fn a_replayed_log_sends_subscribers_only_its_last_configuration() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    for version in 1..=9 {
        assert_eq!(control_planes[0].replace_until_final(version - 1, &config(version)), 200);
    }
    control_planes.iter_mut().for_each(Process::kill);
    let _control_planes = fleet.all(false);
    // The data plane subscribes before there is a leader, as after a simultaneous restart of all machines.
    let mut subscriber = wait_for(|| TcpStream::connect(fleet.peers[0]).ok());
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
    subscriber.write_all(&frames).expect("cannot write to the stream");
    subscriber.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
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
        let length = subscriber.read(&mut bytes).expect("the next bytes");
        assert!(length > 0, "the connection is closed");
        read.extend_from_slice(&bytes[..length]);
    }
}

#[test]
fn control_planes_without_a_log_do_not_echo_updates_to_each_other() {
    let fleet = TestFleet::new();
    let pair = &fleet.peers[VOTERS..];
    let start = |at: usize| Process::start(at, fleet.peers[at], pair, fleet.controls[at], None, true);
    let control_planes = [start(VOTERS), start(VOTERS + 1)];
    let figure = |process: &Process, name: &str| -> Option<u64> {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        serde_json::from_str::<serde_json::Value>(&body).ok()?.get(name)?.as_u64()
    };
    // The two processes are connected once each has received the other's lists.
    for process in &control_planes {
        wait_for(|| figure(process, "frames").filter(|frames| *frames > 6));
    }
    // Each process receives a heartbeat that names another leader, both marked as current, like outdated updates
    // after a mass restart.
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
            let mut stream = TcpStream::connect(pair[at]).expect("a connection");
            let frames = [Message::Hello(hello), Message::Heartbeat(heartbeat)]
                .map(|message| protocol::frame(&message))
                .concat();
            stream.write_all(&frames).expect("cannot write to the stream");
            stream
        })
        .collect();
    for process in &control_planes {
        let (began, before) = wait_for(|| Some((figure(process, "up_ms")?, figure(process, "frames")?)));
        let after = wait_for(|| {
            let up = figure(process, "up_ms")?;
            (up > began + 600).then(|| figure(process, "frames"))?
        });
        assert!(after - before < 100, "{} messages in about 600 ms", after - before);
    }
    drop(voters);
}

/// Opens a connection to a process that introduces itself as another voter.
fn connect_as_voter(fleet: &TestFleet, at: usize, to: usize) -> TcpStream {
    let hello = Hello {
        name: format!("m{at}"),
        process_incarnation: 1,
        plane: Plane::ControlPlane,
        address: fleet.peers[at].to_string(),
        zone: "a".into(),
        quorum: true,
        voter_incarnation: Some(0),
    };
    let mut stream = wait_for(|| TcpStream::connect(fleet.peers[to]).ok());
    stream.write_all(&protocol::frame(&Message::Hello(hello))).expect("cannot write to the stream");
    stream
}

fn raft_frame(message: &LogMessage) -> Vec<u8> {
    protocol::frame(&Message::Log { incarnation: 0, message: bitcode::encode(message) })
}

fn wait_for_status(process: &Process, what: &str) {
    wait_for(|| {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(what).then_some(())
    });
}

/// The log on the disk of a killed process.
fn read_log(fleet: &TestFleet, at: usize) -> raft::PersistentState {
    let opened = raft::store::Store::open(fleet.disk(at).join("log.redb"));
    opened.expect("an intact file").1.expect("a voter's log")
}

/// Entries that arrive already committed cause a compaction before they are on disk themselves.
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
    let mut line = connect_as_voter(&fleet, 1, 0);
    // An unknown message of a later version is ignored, and the connection stays open.
    let unknown = protocol::frame(&Message::Log { incarnation: 0, message: vec![200, 1, 2, 3] });
    line.write_all(&unknown).expect("cannot write to the stream");
    line.write_all(&raft_frame(&append)).expect("cannot write to the stream");
    wait_for_status(&process, r#""commit":20"#);
    process.kill();
    let saved = read_log(&fleet, 0);
    let base = saved.snapshot.map(|snapshot| snapshot.index);
    assert_eq!((base, saved.entries.len()), (Some(16), 4));
}

#[test]
fn a_voter_that_cannot_read_a_snapshot_stops_and_keeps_its_log() {
    let fleet = TestFleet::new();
    let mut process = fleet.start(0, true);
    let members =
        fleet.peers[..VOTERS].iter().map(|at| VoterId { address: at.to_string(), incarnation: 0 }).collect();
    let snapshot = Snapshot { index: 9, term: 1, members, state: b"of a version to come".to_vec() };
    let mut line = connect_as_voter(&fleet, 1, 0);
    line.write_all(&raft_frame(&LogMessage::InstallSnapshot { term: 1, snapshot }))
        .expect("cannot write to the stream");
    wait_for_status(&process, r#""log":null"#);
    process.kill();
    let saved = read_log(&fleet, 0);
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
        assert_eq!(control_planes[asked].replace_until_final(version - 1, &large(version)), 200);
    }
    control_planes[away] = fleet.start(away, false);
    wait_for_status(&control_planes[away], r#""version":"r20""#);
    control_planes[asked].kill();
    assert_eq!(control_planes[away].read(), (200, large(20)));
    assert_eq!(control_planes[away].replace_until_final(20, &config(21)), 200);
}
