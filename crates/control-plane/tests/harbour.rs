//! Masters as threads with a runtime each, over loopback and on real files: what an operator sees while they come and go.

use control_plane::{Change, Disk, Master, MasterSettings};
use protocol::{Flag, Hail, Held, Plane, Pulse, Sheet};
use raft::{Entry, Message, Snapshot, Timing, VoterId, What};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use transport::sheets::rebuild;

/// Whatever is waited for comes much sooner; a busy machine is given time.
const PATIENCE: Duration = Duration::from_secs(30);

/// So many of a harbour's five places have a disk.
const VOTERS: usize = 3;

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
                let me = Hail {
                    name: format!("m{at}"),
                    life: 1,
                    plane: Plane::Master,
                    address: address.to_string(),
                    zone: "a".into(),
                    quorum: log.is_some(),
                    incarnation: log.as_ref().map(|(_, saved)| saved.me.incarnation),
                };
                let timing = Timing { heartbeat: 40, election: 300, lease: 200 };
                let seed = at as u64 + 5;
                let settings = MasterSettings {
                    me,
                    address,
                    seeds,
                    beat_interval: 500,
                    timing,
                    draws_a_holder: 0.0,
                    relay_room: None,
                    seed,
                    ways: config::Detours::default(),
                };
                let numbers = Rc::new(Cell::new(0));
                let numbers: Rc<dyn Fn() -> u64> = Rc::new(move || {
                    numbers.set(numbers.get() + 1);
                    numbers.get()
                });
                let master = Master::new(settings, log, commands.clone(), numbers.clone());
                let listen = |address| {
                    let listener = TcpListener::bind(address).expect("the port");
                    listener.set_nonblocking(true).expect("not blocking");
                    tokio::net::TcpListener::from_std(listener).expect("a listener")
                };
                let to_peers = control_plane::listen(listen(address), commands.clone(), move || numbers());
                tokio::task::spawn_local(to_peers);
                tokio::task::spawn_local(control_plane::serve(listen(control), commands.clone(), 64));
                tokio::task::spawn_local(master.run(queue));
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
    static HARBOURS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high | 64, low, HARBOURS.fetch_add(1, Ordering::Relaxed));
    let held: Vec<_> = (0..count).map(|_| TcpListener::bind((own, 0)).expect("a port")).collect();
    held.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

struct Harbour {
    peers: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
    folder: tempfile::TempDir,
}

impl Harbour {
    fn new() -> Self {
        let ports = free_ports(10);
        let folder = tempfile::tempdir().expect("a folder");
        Self { peers: ports[..5].to_vec(), controls: ports[5..].to_vec(), folder }
    }

    fn start(&self, at: usize, first: bool) -> Process {
        let folder = (at < VOTERS).then(|| self.disk(at));
        Process::start(at, self.peers[at], &self.peers[..VOTERS], self.controls[at], folder, first)
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
    let harbour = Harbour::new();
    let masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(3)), 200);
    for master in &masters {
        assert_eq!(master.read(), (200, config(3)));
        assert_eq!(master.insist(0, &config(3)), 200, "the same again is taken already");
        assert_eq!(master.insist(0, &config(4)), 412);
        assert_eq!(master.insist(3, &config(3).replace("500", "600")), 409, "another one of this number");
        assert_eq!(master.insist(3, "{"), 400);
    }
    assert_eq!(masters[2].insist(3, &config(5)), 200);
    assert_eq!(masters[1].insist(0, &config(3)), 200, "also after a newer one");
    assert_eq!(masters[1].read(), (200, config(5)));
}

#[test]
fn operators_see_history_records_and_metrics() {
    let harbour = Harbour::new();
    let masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(1)), 200);
    assert_eq!(masters[0].insist(1, &config(2)), 200);
    assert_eq!(masters[0].insist(1, &config(4)), 412);
    let leader = &masters[leader(&masters)];
    let get = |path: &str| leader.call(&format!("GET {path} HTTP/1.1"), "").unwrap_or_default();
    assert_eq!(get("/Config.History/r1"), (200, config(1)));
    assert_eq!((get("/Config.History/r9").0, get("/Config.History/x").0), (404, 400));
    let (_, history) = get("/Config.History");
    assert!(history.contains(r#""version":"r2""#) && history.contains(r#""version":"r1""#), "{history}");
    let (_, events) = get("/Harbour.Events?about=r4");
    assert!(events.contains("r2, which is in place") && !events.contains(r#""step":"office""#), "{events}");
    let (_, metrics) = get("/metrics");
    assert!(metrics.contains(r#"reachlb_changes_total{plane="master",outcome="taken"} 2"#), "{metrics}");
}

#[test]
fn of_two_on_one_version_one_wins() {
    let harbour = Harbour::new();
    let masters = harbour.all(true);
    let mut base = 0;
    for round in 0..5 {
        let (one, other) = (config(base + 1), config(base + 2));
        let answers = std::thread::scope(|scope| {
            let threads = [
                scope.spawn(|| masters[0].insist(base, &one)),
                scope.spawn(|| masters[1].insist(base, &other)),
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
    let harbour = Harbour::new();
    let mut masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(1)), 200);
    let first = leader(&masters);
    masters[first].kill();
    let left = (first + 1) % 3;
    assert_eq!(masters[left].read(), (200, config(1)));
    assert_eq!(masters[left].insist(1, &config(2)), 200);
    masters.iter_mut().for_each(Process::kill);
    let masters = harbour.all(false);
    assert_eq!(masters[first].read(), (200, config(2)), "also at the one that was away");
}

/// The next configuration on this connection, in whatever form.
fn next_sheet(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Flag {
    until(|| {
        while let Some((flag, taken)) = protocol::unframe::<Flag>(buffer).expect("a message") {
            buffer.drain(..taken);
            if matches!(flag, Flag::Sheet(_) | Flag::Splice(_)) {
                return Some(flag);
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
    let harbour = Harbour::new();
    let masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(3)), 200);
    assert_eq!(until(|| masters[1].read().1.contains("r3").then_some(())), ());
    let hail = Hail {
        name: "q".into(),
        life: 1,
        plane: Plane::Quay,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        incarnation: None,
    };
    let mut stream = TcpStream::connect(harbour.peers[1]).expect("a line");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    let mut say = |flag: Flag| stream.write_all(&protocol::frame(&flag)).expect("sent");
    say(Flag::Hail(hail));
    say(Flag::Follow { have: Held::default() });
    let (mut read, mut buffer) = (stream.try_clone().expect("the same"), Vec::new());
    let Flag::Splice(first) = next_sheet(&mut read, &mut buffer) else { panic!("nothing was known") };
    assert_eq!(first.base, 0);
    let first = rebuild(None, &first).expect("the first");
    assert_eq!(first.body, config(3).into_bytes());
    assert_eq!(masters[2].insist(3, &config(4)), 200);
    let Flag::Splice(next) = next_sheet(&mut read, &mut buffer) else { panic!("it has the one before") };
    assert_eq!(next.base, 3);
    assert_eq!(rebuild(Some(&first.body), &next).expect("the next").body, config(4).into_bytes());
    // It could not make it out, so it says.
    let mut say = |flag: Flag| stream.write_all(&protocol::frame(&flag)).expect("sent");
    say(Flag::Whole);
    let whole = Sheet { version: 4, body: config(4).into_bytes() };
    assert_eq!(next_sheet(&mut read, &mut buffer), Flag::Sheet(whole));
}

#[test]
fn who_lost_its_disk_joins_as_somebody_else() {
    let harbour = Harbour::new();
    let mut masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(1)), 200);
    let lost = leader(&masters);
    masters[lost].kill();
    std::fs::remove_dir_all(harbour.disk(lost)).expect("its disk is gone");
    masters[lost] = harbour.start(lost, false);
    until(|| {
        let (_, body) = masters[lost].call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(r#""voter":true"#).then_some(())
    });
    // It counts now: with one of the others away there is a majority.
    masters[(lost + 1) % 3].kill();
    assert_eq!(masters[lost].insist(1, &config(2)), 200);
    assert_eq!(masters[lost].read(), (200, config(2)));
}

#[test]
fn a_voter_that_is_gone_is_taken_off_the_list_and_one_that_lives_is_not() {
    let harbour = Harbour::new();
    let mut masters = harbour.all(true);
    assert_eq!(masters[0].insist(0, &config(1)), 200);
    let first = leader(&masters);
    let (gone, other) = ((first + 1) % 3, (first + 2) % 3);
    let remove = |by: &Process, address: &str| {
        until(|| {
            let answer = by.call(&format!("POST /Voters.Remove/{address} HTTP/1.1"), "");
            answer.filter(|(status, _)| *status < 500 && *status != 202)
        })
    };
    let address = harbour.peers[gone].to_string();
    assert_eq!(remove(&masters[other], &address).0, 409, "it lives");
    assert_eq!(remove(&masters[other], "127.0.0.1:1").0, 404);
    assert_eq!(remove(&masters[other], "m1").0, 400);
    until(|| {
        let (status, why) = remove(&masters[other], &harbour.peers[leader(&masters)].to_string());
        (status == 409 && why.contains("leads")).then_some(())
    });
    masters[gone].kill();
    // Heard a moment ago, it counts as alive; who does not lead passes the call on.
    let (_, why) = until(|| Some(remove(&masters[other], &address)).filter(|(status, _)| *status == 404));
    let left = [first, other].map(|at| harbour.peers[at].to_string());
    assert!(left.iter().all(|voter| why.contains(voter)) && why.matches(&address).count() == 1, "{why}");
    assert_eq!(masters[other].insist(1, &config(2)), 200);
    // Started again with its disk, it joins again.
    masters[gone] = harbour.start(gone, false);
    until(|| Some(remove(&masters[other], &address)).filter(|(status, _)| *status == 409));
}

#[test]
fn a_log_that_is_told_again_sends_followers_its_last_configuration_only() {
    let harbour = Harbour::new();
    let mut masters = harbour.all(true);
    for version in 1..=9 {
        assert_eq!(masters[0].insist(version - 1, &config(version)), 200);
    }
    masters.iter_mut().for_each(Process::kill);
    let _masters = harbour.all(false);
    // It follows before there is a leader, as all do whose machines come back together.
    let mut follower = until(|| TcpStream::connect(harbour.peers[0]).ok());
    let hail = Hail {
        name: "q".into(),
        life: 1,
        plane: Plane::Quay,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        incarnation: None,
    };
    let frames = [Flag::Hail(hail), Flag::Follow { have: Held::default() }]
        .map(|flag| protocol::frame(&flag))
        .concat();
    follower.write_all(&frames).expect("sent");
    follower.set_read_timeout(Some(PATIENCE)).expect("a limit");
    let (mut read, mut sheets) = (Vec::new(), Vec::new());
    loop {
        while let Some((flag, length)) = protocol::unframe::<Flag>(&read).expect("a frame") {
            read.drain(..length);
            match flag {
                Flag::Sheet(sheet) => sheets.push(sheet.version),
                Flag::Splice(splice) => sheets.push(splice.version),
                Flag::Pulse(pulse) if pulse.fresh => {
                    assert_eq!((pulse.version, sheets), (9, vec![9]));
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
fn masters_without_a_log_do_not_send_each_other_round_in_a_circle() {
    let harbour = Harbour::new();
    let pair = &harbour.peers[VOTERS..];
    let start = |at: usize| Process::start(at, harbour.peers[at], pair, harbour.controls[at], None, true);
    let masters = [start(VOTERS), start(VOTERS + 1)];
    let figure = |process: &Process, name: &str| -> Option<u64> {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        serde_json::from_str::<serde_json::Value>(&body).ok()?.get(name)?.as_u64()
    };
    // They have met once each has heard the other's lists.
    for process in &masters {
        until(|| figure(process, "frames").filter(|frames| *frames > 6));
    }
    // Each hears of another leader, both as of this moment: as after a herd's death, when old news is still about.
    let voters: Vec<_> = (0..2)
        .map(|at| {
            let address = harbour.peers[at];
            let hail = Hail {
                name: format!("v{at}"),
                life: 1,
                plane: Plane::Master,
                address: address.to_string(),
                zone: "a".into(),
                quorum: true,
                incarnation: Some(0),
            };
            let pulse =
                Pulse { leader: Some(address.to_string()), epoch: 1, fresh: true, ..Pulse::default() };
            let mut stream = TcpStream::connect(pair[at]).expect("a line");
            let frames = [Flag::Hail(hail), Flag::Pulse(pulse)].map(|flag| protocol::frame(&flag)).concat();
            stream.write_all(&frames).expect("sent");
            stream
        })
        .collect();
    for process in &masters {
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
fn line_of_voter(harbour: &Harbour, at: usize, to: usize) -> TcpStream {
    let hail = Hail {
        name: format!("m{at}"),
        life: 1,
        plane: Plane::Master,
        address: harbour.peers[at].to_string(),
        zone: "a".into(),
        quorum: true,
        incarnation: Some(0),
    };
    let mut stream = until(|| TcpStream::connect(harbour.peers[to]).ok());
    stream.write_all(&protocol::frame(&Flag::Hail(hail))).expect("sent");
    stream
}

fn log_frame(message: &Message) -> Vec<u8> {
    protocol::frame(&Flag::Log { incarnation: 0, message: bitcode::encode(message) })
}

fn has_status(process: &Process, what: &str) {
    until(|| {
        let (_, body) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        body.contains(what).then_some(())
    });
}

/// What a process that was killed has on its disk.
fn on_disk(harbour: &Harbour, at: usize) -> raft::Saved {
    let opened = raft::store::Store::open(harbour.disk(at).join("log.redb"));
    opened.expect("the file is whole").1.expect("it is a voter's")
}

/// Entries that come already committed compact the log before they are on disk themselves.
#[test]
fn a_voter_that_catches_up_in_one_message_writes_its_entries_before_its_snapshot() {
    let harbour = Harbour::new();
    let mut process = harbour.start(0, true);
    let entry = |index: u64| {
        let change =
            Change { base: index - 1, version: index, digest: [index as u8; 32], body: config(index).into() };
        Entry { index, term: 1, what: What::Change(bitcode::encode(&change)) }
    };
    let entries = (1..=20).map(entry).collect();
    let append = Message::Append { term: 1, prev_index: 0, prev_term: 0, entries, commit: 20 };
    let mut line = line_of_voter(&harbour, 1, 0);
    line.write_all(&log_frame(&append)).expect("sent");
    has_status(&process, r#""commit":20"#);
    process.kill();
    let saved = on_disk(&harbour, 0);
    let base = saved.snapshot.map(|snapshot| snapshot.index);
    assert_eq!((base, saved.entries.len()), (Some(16), 4));
}

#[test]
fn a_voter_that_can_not_read_the_leaders_snapshot_falls_silent_and_keeps_its_log() {
    let harbour = Harbour::new();
    let mut process = harbour.start(0, true);
    let members = harbour.peers[..VOTERS]
        .iter()
        .map(|at| VoterId { address: at.to_string(), incarnation: 0 })
        .collect();
    let snapshot = Snapshot { index: 9, term: 1, members, state: b"of a version to come".to_vec() };
    let mut line = line_of_voter(&harbour, 1, 0);
    line.write_all(&log_frame(&Message::InstallSnapshot { term: 1, snapshot })).expect("sent");
    has_status(&process, r#""log":null"#);
    process.kill();
    let saved = on_disk(&harbour, 0);
    assert!(saved.snapshot.is_none() && saved.entries.is_empty(), "{saved:?}");
}
