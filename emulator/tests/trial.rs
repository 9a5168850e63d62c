//! The trials' judge finds each rule broken on purpose and names who did it; relays do what their faults say and
//! distort nothing else; nothing that the tool starts outlives it.

use fennelscale_lab::live::process;
use fennelscale_lab::trial::judge::{Rule, Verdict};
use fennelscale_lab::trial::relay::{Flow, Net, Party};
use fennelscale_lab::trial::schedule::{BUILT_IN_TRIALS, Schedule};
use fennelscale_lab::trial::{Options, play};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

const LONG: Duration = Duration::from_secs(60);
const LAB: &str = env!("CARGO_BIN_EXE_fennelscale-lab");
/// The two parties of the tests of links.
const ENDS: (Party, Party) = (Party::Gateway(30), Party::Backend(0));

async fn soon<T>(what: &str, wanted: impl Future<Output = T>) -> T {
    timeout(LONG, wanted).await.unwrap_or_else(|_| panic!("waited in vain: {what}"))
}

fn beside(name: &str) -> PathBuf {
    let path = Path::new(LAB).with_file_name(name);
    assert!(path.exists(), "{}: cargo test --workspace builds it", path.display());
    path
}

/// A way through a relay, and a listener behind it.
async fn way() -> (Net, std::net::SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let net = Net::default();
    let address = net.way(ENDS.0, ENDS.1, listener.local_addr().expect("bound"), true).expect("a relay");
    (net, address, listener)
}

async fn pair(address: std::net::SocketAddr, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let near = soon("a connection", TcpStream::connect(address)).await.expect("connected");
    let (far, from) = soon("its other side", listener.accept()).await.expect("accepted");
    assert_eq!(from.ip().to_string(), "127.0.0.40", "the address says who connects");
    (near, far)
}

fn both() -> [(Party, Party); 2] {
    [(ENDS.0, ENDS.1), (ENDS.1, ENDS.0)]
}

#[tokio::test]
async fn a_relay_passes_bytes_a_half_close_and_a_reset_as_they_are() {
    let (_net, address, listener) = way().await;
    let (mut near, mut far) = pair(address, &listener).await;
    near.write_all(b"question").await.expect("written");
    near.shutdown().await.expect("half closed");
    let mut question = String::new();
    soon("the question's end", far.read_to_string(&mut question)).await.expect("read");
    far.write_all(b"answer").await.expect("written after the half-close");
    drop(far);
    let mut answer = String::new();
    soon("the answer", near.read_to_string(&mut answer)).await.expect("read");
    assert_eq!((question.as_str(), answer.as_str()), ("question", "answer"));

    let (near, mut far) = pair(address, &listener).await;
    near.set_zero_linger().expect("to be reset");
    drop(near);
    let end = soon("the reset", far.read(&mut [0; 8])).await;
    assert_eq!(end.expect_err("no clean end").kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_reader_that_stops_stops_its_writer_through_a_relay() {
    let (_net, address, listener) = way().await;
    let (near, mut far) = pair(address, &listener).await;
    let (piece, mut written) = (vec![7; 1 << 16], 0);
    // Until nothing has been taken for a while: then the sockets' and the relay's bounded store are full.
    while let Ok(ready) = timeout(Duration::from_millis(500), near.writable()).await {
        ready.expect("writable");
        written += near.try_write(&piece).unwrap_or(0);
        assert!(written < 64 << 20, "nothing stops the writer");
    }
    let mut read = 0;
    let mut into = vec![0; 1 << 16];
    while read < written {
        read += soon("the rest", far.read(&mut into)).await.expect("read");
    }
    assert_eq!(read, written);
}

#[tokio::test]
async fn a_hole_leaves_connections_silent_and_lets_none_come_up() {
    let (net, address, listener) = way().await;
    let (mut idle, mut idle_far) = pair(address, &listener).await;
    let (mut used, mut used_far) = pair(address, &listener).await;
    net.begin(0, &both(), Flow::Hole);
    used.write_all(b"lost").await.expect("written into the hole");
    let nothing = timeout(Duration::from_millis(200), used_far.read(&mut [0; 8])).await;
    assert!(nothing.is_err(), "something came through: {nothing:?}");
    // A few may still have been in the line when the relay hid; whoever comes then finds nobody.
    let mut kept = Vec::new();
    let hidden = async {
        loop {
            match timeout(Duration::from_millis(200), TcpStream::connect(address)).await {
                Ok(stream) => kept.push(stream.expect("not refused")),
                Err(_) => return,
            }
        }
    };
    soon("a connection that does not come up", hidden).await;
    net.end(0);
    let end = soon("the reset", used.read(&mut [0; 8])).await;
    assert!(end.is_err(), "what lost bytes must not go on: {end:?}");
    idle.write_all(b"still").await.expect("written");
    let mut bytes = [0; 5];
    soon("what was idle goes on", idle_far.read_exact(&mut bytes)).await.expect("read");
    assert_eq!(&bytes, b"still");
    // Who came too early is reset; then all is as before.
    let passes = async {
        loop {
            let Ok(mut near) = TcpStream::connect(address).await else { continue };
            let accepted = timeout(Duration::from_millis(200), listener.accept()).await;
            if let Ok(Ok((mut far, _))) = accepted
                && near.write_all(b"again").await.is_ok()
                && far.read_exact(&mut bytes).await.is_ok()
            {
                return;
            }
        }
    };
    soon("a connection that passes", passes).await;
}

#[tokio::test]
async fn one_direction_alone_can_be_at_fault() {
    let (net, address, listener) = way().await;
    let (mut near, mut far) = pair(address, &listener).await;
    net.begin(3, &[(ENDS.1, ENDS.0)], Flow::Mute);
    near.write_all(b"there").await.expect("written");
    let mut bytes = [0; 5];
    soon("the way there", far.read_exact(&mut bytes)).await.expect("read");
    far.write_all(b"back").await.expect("written");
    let nothing = timeout(Duration::from_millis(200), near.read(&mut [0; 8])).await;
    assert!(nothing.is_err(), "an answer came through: {nothing:?}");
    // New ones come up: only their answers vanish.
    let (mut fresh, mut fresh_far) = pair(address, &listener).await;
    net.end(3);
    fresh_far.write_all(b"heard").await.expect("written");
    soon("an answer after it", fresh.read_exact(&mut bytes)).await.expect("read");
    assert_eq!(&bytes, b"heard");
}

#[tokio::test]
async fn resets_cuts_delays_and_throttles_hold_as_stated() {
    let (net, address, listener) = way().await;
    let (mut near, _far) = pair(address, &listener).await;
    net.begin(1, &both(), Flow::Reset);
    soon("the reset", near.read(&mut [0; 8])).await.expect_err("reset");
    let refused = soon("a refusal", async {
        loop {
            if let Err(error) = TcpStream::connect(address).await {
                return error;
            }
        }
    });
    assert_eq!(refused.await.kind(), ErrorKind::ConnectionRefused);
    net.end(1);
    let opened = async {
        while TcpStream::connect(address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    soon("open again", opened).await;
    let _ = soon("the connection that came up", listener.accept()).await;

    net.begin(2, &both(), Flow::CutAfter(10));
    let (mut near, mut far) = pair(address, &listener).await;
    near.write_all(b"0123456789abcdef").await.expect("written");
    let mut bytes = [0; 10];
    soon("the first bytes", far.read_exact(&mut bytes)).await.expect("read");
    soon("the cut", far.read(&mut [0; 8])).await.expect_err("reset in the midst");
    net.end(2);

    net.begin(4, &both(), Flow::Delayed(80.0, 120.0));
    let (mut near, mut far) = pair(address, &listener).await;
    let begun = Instant::now();
    near.write_all(b"0123456789").await.expect("written");
    soon("late bytes", far.read_exact(&mut bytes)).await.expect("read");
    assert!(begun.elapsed() >= Duration::from_millis(80), "{:?}", begun.elapsed());
    net.end(4);

    net.begin(5, &both(), Flow::Throttled(10_000));
    let (mut near, mut far) = pair(address, &listener).await;
    let begun = Instant::now();
    near.write_all(&[1; 3000]).await.expect("written");
    soon("slow bytes", far.read_exact(&mut [0; 3000])).await.expect("read");
    // The last piece of a twentieth of a second's bytes is not waited for.
    assert!(begun.elapsed() >= Duration::from_millis(240), "{:?}", begun.elapsed());
}

/// A folder with the lying gateway under the name of one lie.
fn liar(lie: &str) -> (PathBuf, PathBuf) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("fennelscale-liar-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join(format!("liar-{lie}"));
    let _ = std::fs::remove_file(&program);
    std::os::unix::fs::symlink(beside("examples").join("liar"), &program).expect("a link");
    (folder, program)
}

async fn lied(lie: &str, faults: &str) -> Verdict {
    let (folder, program) = liar(lie);
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\", \"b\"]\nseconds = 4.0\nrate = 120.0\n";
    let schedule = Schedule::read("lie.toml", &format!("{head}{faults}"), 1, None).expect("a schedule");
    let options = Options { program, old: None, keep: None };
    let verdict = soon("a trial", play(&schedule, &options)).await.expect("played");
    std::fs::remove_dir_all(&folder).expect("removed");
    verdict
}

async fn finds(lie: &str, faults: &str, rule: Rule, who: &[&str]) {
    let verdict = lied(lie, faults).await;
    let found: Vec<_> = verdict.breaks.iter().filter(|broke| broke.rule == rule).collect();
    assert!(!found.is_empty(), "{lie}: {verdict:?}");
    for broke in found {
        assert!(who.iter().any(|who| broke.parties.iter().any(|p| p == who)), "{lie}: {broke:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_finds_who_repeats_refuses_forges_and_keeps() {
    tokio::join!(
        finds("repeats", "", Rule::Duplicate, &["g1"]),
        finds("refuses", "", Rule::Duplicate, &["g1"]),
        finds("forges", "", Rule::Forged, &["g1"]),
        finds("keeps", "", Rule::Lost, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_finds_who_ignores_drains_ceilings_and_cold_starts() {
    let drain = "[[fault]]\nat = 0.2\nfor = 3.6\nfault = \"drain\"\non = \"b0\"\n";
    let crash = "[[fault]]\nat = 0.2\nfor = 0.2\nfault = \"crash\"\non = \"b0\"\n";
    tokio::join!(
        finds("nothing", drain, Rule::Drain, &["g0", "g1", "g2"]),
        finds("nothing", "", Rule::Ceiling, &["g0", "g1", "g2"]),
        finds("shoves", crash, Rule::Fall, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_finds_processes_that_die_hoard_or_will_not_end() {
    let restart = "[[fault]]\nat = 0.2\nfor = 0.1\nfault = \"restart\"\non = \"g1\"\n";
    tokio::join!(
        finds("dies", "", Rule::Crash, &["g1"]),
        finds("hoards", "", Rule::Limit, &["g1"]),
        finds("deaf", restart, Rule::Crash, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_accused_of_nothing_with_a_zone_cut_and_one_stopped() {
    let faults = "[[fault]]\nat = 1.5\nfor = 1.0\nfault = \"cut\"\nfrom = \"zone:a\"\nto = \"*\"\n\
                  [[fault]]\nat = 2.0\nfor = 1.0\nfault = \"stop\"\non = \"g1\"\n";
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\", \"b\"]\nseconds = 5.0\nrate = 60.0\n";
    let schedule = Schedule::read("two.toml", &format!("{head}{faults}"), 1, None).expect("a schedule");
    let options = Options { program: beside("fennelscale"), old: None, keep: None };
    let verdict = soon("a trial", play(&schedule, &options)).await.expect("played");
    assert!(verdict.void.is_some() || verdict.broken == 0, "{verdict:?}");
    assert_eq!(verdict.through.len(), 2, "{verdict:?}");
    let served: u64 = verdict.classes.iter().map(|(_, tally)| tally[1]).sum();
    assert!(served > 100, "{verdict:?}");
}

#[test]
fn a_seed_draws_the_same_faults_each_time_and_all_that_is_drawn_can_be_played() {
    let text = BUILT_IN_TRIALS.iter().find(|(name, _)| *name == "nemesis").expect("shipped").1;
    let read = |seed| Schedule::read("nemesis", text, seed, None).expect("a schedule");
    let mut seen = std::collections::HashSet::new();
    for seed in 0..500 {
        let faults = read(seed).faults;
        assert!(!faults.is_empty());
        assert_eq!(faults, read(seed).faults);
        seen.insert(format!("{faults:?}"));
    }
    assert!(seen.len() > 450, "{} of 500 differ", seen.len());
    for (name, text) in BUILT_IN_TRIALS {
        Schedule::read(name, text, 1, None).expect("a shipped trial can be played");
    }
}

#[test]
fn a_cut_of_a_zone_is_one_line_and_leaves_the_zone_whole_inside() {
    let text = BUILT_IN_TRIALS.iter().find(|(name, _)| *name == "zone-cut").expect("shipped").1;
    let schedule = Schedule::read("zone-cut", text, 1, None).expect("a schedule");
    let links = &schedule.faults[0].links;
    let (north, other) = (Party::Backend(0), Party::Backend(1));
    assert!(!links.contains(&(Party::Gateway(0), north)));
    assert!(links.contains(&(Party::Gateway(0), other)) && links.contains(&(other, Party::Gateway(0))));
    assert!(links.contains(&(Party::Gateway(1), north)) && !links.contains(&(Party::Gateway(1), other)));
    assert!(links.contains(&(Party::Counter, Party::Gateway(0))));
}

#[test]
fn a_bad_schedule_is_told_in_one_line_with_its_place_and_starts_nothing() {
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\", \"b\"]\nseconds = 4.0\nrate = 60.0\n";
    let fault = |rest: &str| format!("{head}[[fault]]\nat = 1.0\nfor = 1.0\n{rest}\n");
    let bad = [
        (head.replace("= 3", "= 2"), ":1:12: "),
        (head.replace("60.0", "1e9"), ":5:8: "),
        (fault("fault = \"quake\""), ":9:9: "),
        (fault("fault = \"cut\"\nfrom = \"g9\"\nto = \"*\""), ":6:1: "),
        (fault("fault = \"cut\"\nfrom = \"b1\"\nto = \"b2\""), ":6:1: "),
        (fault("fault = \"kill\"\non = \"b1\""), ":6:1: "),
        (fault("fault = \"stop\"\non = \"g1\"\nwhen = 3"), ":11:1: "),
        (fault("fault = \"delay\"\nfrom = \"g1\"\nto = \"*\""), ":6:1: "),
        (fault("fault = \"stop\"\non = \"g1\"").replace("for = 1.0", "for = 9.0"), ":6:1: "),
        ("gateways = ".into(), ":1:"),
    ];
    for (text, place) in bad {
        let error = Schedule::read("f.toml", &text, 1, None).expect_err(&text).to_string();
        assert!(error.starts_with(&format!("f.toml{place}")) && !error.contains('\n'), "{error}");
    }
    let folder = std::env::temp_dir().join(format!("fennelscale-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("bad.toml");
    std::fs::write(&file, fault("fault = \"quake\"")).expect("written");
    let ran = Command::new(LAB).arg("trial").arg(&file).env("TMPDIR", &folder).output().expect("run");
    assert_eq!(ran.status.code(), Some(2));
    assert_eq!(String::from_utf8_lossy(&ran.stderr).lines().count(), 1);
    assert_eq!(std::fs::read_dir(&folder).expect("read").count(), 1, "something else was written");
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// The processes whose command line holds a text.
fn running(text: &str) -> usize {
    let all = std::fs::read_dir("/proc").expect("read").flatten();
    let of = |entry: &std::fs::DirEntry| {
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment).contains(text)
    };
    all.filter(of).count()
}

#[test]
fn nothing_is_left_when_the_tool_is_interrupted_or_told_to_end() {
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let folder = std::env::temp_dir().join(format!("fennelscale-left-{}-{signal:?}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mark = folder.display().to_string();
        let mut tool = Command::new(LAB)
            .args(["trial", "stall", "--gateway"])
            .arg(beside("fennelscale"))
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        let begun = std::time::Instant::now();
        // The tool and its three gateways.
        while running(&mark) < 4 {
            assert!(begun.elapsed() < LONG, "the gateways did not start");
            std::thread::sleep(Duration::from_millis(20));
        }
        process::signal(tool.id(), signal);
        tool.wait().expect("ended");
        while running(&mark) > 0 {
            assert!(begun.elapsed() < LONG, "{} processes are left", running(&mark));
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(std::fs::read_dir(&folder).expect("read").count(), 0, "files are left");
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
