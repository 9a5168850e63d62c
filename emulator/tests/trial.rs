//! Tests of trials: the judge detects deliberate violations of each rule and names the responsible gateway; relays
//! apply exactly the scheduled faults; all started processes and files are cleaned up.

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

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const EMULATOR: &str = env!("CARGO_BIN_EXE_fennelscale-lab");
/// The two ends of the link in the relay tests.
const ENDS: (Party, Party) = (Party::Gateway(30), Party::Backend(0));

async fn within_timeout<T>(what: &str, wanted: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, wanted).await.unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
}

fn built_program(name: &str) -> PathBuf {
    let path = Path::new(EMULATOR).with_file_name(name);
    assert!(path.exists(), "{} is missing: cargo test --workspace builds it", path.display());
    path
}

/// Creates a relay on one link, and the listener behind the relay.
async fn relayed_link() -> (Net, std::net::SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let net = Net::default();
    let address =
        net.way(ENDS.0, ENDS.1, listener.local_addr().expect("local address"), true).expect("open the relay");
    (net, address, listener)
}

async fn pair(address: std::net::SocketAddr, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let near = within_timeout("a connection", TcpStream::connect(address)).await.expect("connect");
    let (far, from) =
        within_timeout("the accepted side of the connection", listener.accept()).await.expect("accept");
    assert_eq!(from.ip().to_string(), "127.0.0.40", "the source address identifies gateway 30");
    (near, far)
}

fn both_directions() -> [(Party, Party); 2] {
    [(ENDS.0, ENDS.1), (ENDS.1, ENDS.0)]
}

#[tokio::test]
async fn a_relay_forwards_bytes_half_close_and_reset_unchanged() {
    let (_net, address, listener) = relayed_link().await;
    let (mut near, mut far) = pair(address, &listener).await;
    near.write_all(b"question").await.expect("write");
    near.shutdown().await.expect("half-close");
    let mut question = String::new();
    within_timeout("the question's end", far.read_to_string(&mut question)).await.expect("read");
    far.write_all(b"answer").await.expect("write after the half-close");
    drop(far);
    let mut answer = String::new();
    within_timeout("the answer", near.read_to_string(&mut answer)).await.expect("read");
    assert_eq!((question.as_str(), answer.as_str()), ("question", "answer"));

    let (near, mut far) = pair(address, &listener).await;
    near.set_zero_linger().expect("enable reset on close");
    drop(near);
    let end = within_timeout("the reset", far.read(&mut [0; 8])).await;
    assert_eq!(end.expect_err("a reset, not a clean close").kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_relay_propagates_backpressure() {
    let (_net, address, listener) = relayed_link().await;
    let (near, mut far) = pair(address, &listener).await;
    let (piece, mut written) = (vec![7; 1 << 16], 0);
    // Write until the socket accepts no data for a while: then the socket buffers and the relay's bounded buffer are
    // full.
    while let Ok(ready) = timeout(Duration::from_millis(500), near.writable()).await {
        ready.expect("writable");
        written += near.try_write(&piece).unwrap_or(0);
        assert!(written < 64 << 20, "the writer is not blocked");
    }
    let mut read = 0;
    let mut into = vec![0; 1 << 16];
    while read < written {
        read += within_timeout("the remaining bytes", far.read(&mut into)).await.expect("read");
    }
    assert_eq!(read, written);
}

#[tokio::test]
async fn a_cut_link_drops_all_data_and_accepts_no_connections() {
    let (net, address, listener) = relayed_link().await;
    let (mut idle, mut idle_far) = pair(address, &listener).await;
    let (mut used, mut used_far) = pair(address, &listener).await;
    net.begin(0, &both_directions(), Flow::BlackHole);
    used.write_all(b"lost").await.expect("written into the hole");
    let nothing = timeout(Duration::from_millis(200), used_far.read(&mut [0; 8])).await;
    assert!(nothing.is_err(), "data passed the cut: {nothing:?}");
    // A few connections may still complete from the listen backlog. Later connection attempts get no response.
    let mut kept = Vec::new();
    let hidden = async {
        loop {
            match timeout(Duration::from_millis(200), TcpStream::connect(address)).await {
                Ok(stream) => kept.push(stream.expect("not refused")),
                Err(_) => return,
            }
        }
    };
    within_timeout("a connection attempt without response", hidden).await;
    net.end(0);
    let end = within_timeout("the reset", used.read(&mut [0; 8])).await;
    assert!(end.is_err(), "a connection that lost bytes must be reset: {end:?}");
    idle.write_all(b"still").await.expect("write");
    let mut bytes = [0; 5];
    within_timeout("data on the connection that was idle", idle_far.read_exact(&mut bytes))
        .await
        .expect("read");
    assert_eq!(&bytes, b"still");
    // Connections opened during the fault are reset; afterwards the relay works as before.
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
    within_timeout("a connection through the repaired link", passes).await;
}

#[tokio::test]
async fn a_fault_can_affect_a_single_direction() {
    let (net, address, listener) = relayed_link().await;
    let (mut near, mut far) = pair(address, &listener).await;
    net.begin(3, &[(ENDS.1, ENDS.0)], Flow::Mute);
    near.write_all(b"there").await.expect("write");
    let mut bytes = [0; 5];
    within_timeout("data in the unaffected direction", far.read_exact(&mut bytes)).await.expect("read");
    far.write_all(b"back").await.expect("write");
    let nothing = timeout(Duration::from_millis(200), near.read(&mut [0; 8])).await;
    assert!(nothing.is_err(), "an answer passed the muted direction: {nothing:?}");
    // New connections can be opened; only the answers on them are dropped.
    let (mut fresh, mut fresh_far) = pair(address, &listener).await;
    net.end(3);
    fresh_far.write_all(b"heard").await.expect("write");
    within_timeout("an answer after the end of the fault", fresh.read_exact(&mut bytes)).await.expect("read");
    assert_eq!(&bytes, b"heard");
}

#[tokio::test]
async fn reset_cut_after_delay_and_throttle_act_as_configured() {
    let (net, address, listener) = relayed_link().await;
    let (mut near, _far) = pair(address, &listener).await;
    net.begin(1, &both_directions(), Flow::Reset);
    within_timeout("the reset", near.read(&mut [0; 8])).await.expect_err("reset");
    let refused = within_timeout("a refusal", async {
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
    within_timeout("an accepted connection after the reset", opened).await;
    let _ = within_timeout("the accepted connection", listener.accept()).await;

    net.begin(2, &both_directions(), Flow::CutAfter(10));
    let (mut near, mut far) = pair(address, &listener).await;
    near.write_all(b"0123456789abcdef").await.expect("write");
    let mut bytes = [0; 10];
    within_timeout("the first bytes", far.read_exact(&mut bytes)).await.expect("read");
    within_timeout("the reset after 10 bytes", far.read(&mut [0; 8]))
        .await
        .expect_err("reset after 10 bytes");
    net.end(2);

    net.begin(4, &both_directions(), Flow::Delayed(80.0, 120.0));
    let (mut near, mut far) = pair(address, &listener).await;
    let begun = Instant::now();
    near.write_all(b"0123456789").await.expect("write");
    within_timeout("the delayed bytes", far.read_exact(&mut bytes)).await.expect("read");
    assert!(begun.elapsed() >= Duration::from_millis(80), "{:?}", begun.elapsed());
    net.end(4);

    net.begin(5, &both_directions(), Flow::Throttled(10_000));
    let (mut near, mut far) = pair(address, &listener).await;
    let begun = Instant::now();
    near.write_all(&[1; 3000]).await.expect("write");
    within_timeout("the throttled bytes", far.read_exact(&mut [0; 3000])).await.expect("read");
    // The relay does not delay the last chunk, which holds the bytes of 50 ms.
    assert!(begun.elapsed() >= Duration::from_millis(240), "{:?}", begun.elapsed());
}

/// Creates a folder with a link to the example `liar`, a faulty gateway whose file name selects the fault.
fn liar_program(fault_name: &str) -> (PathBuf, PathBuf) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("fennelscale-liar-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let program = folder.join(format!("liar-{fault_name}"));
    let _ = std::fs::remove_file(&program);
    std::os::unix::fs::symlink(built_program("examples").join("liar"), &program).expect("create the link");
    (folder, program)
}

async fn run_with_liar(fault_name: &str, faults: &str) -> Verdict {
    let (folder, program) = liar_program(fault_name);
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\", \"b\"]\nseconds = 4.0\nrate = 120.0\n";
    let schedule = Schedule::read("lie.toml", &format!("{head}{faults}"), 1, None).expect("valid schedule");
    let options = Options { program, old: None, keep: None };
    let verdict = within_timeout("a trial", play(&schedule, &options)).await.expect("run the trial");
    std::fs::remove_dir_all(&folder).expect("remove the folder");
    verdict
}

async fn assert_detects(fault_name: &str, faults: &str, rule: Rule, suspects: &[&str]) {
    let verdict = run_with_liar(fault_name, faults).await;
    let found: Vec<_> = verdict.breaks.iter().filter(|violation| violation.rule == rule).collect();
    assert!(!found.is_empty(), "{fault_name}: {verdict:?}");
    for violation in found {
        assert!(
            suspects.iter().any(|suspect| violation.parties.iter().any(|p| p == suspect)),
            "{fault_name}: {violation:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_detects_repeated_refused_forged_and_unanswered_requests() {
    tokio::join!(
        assert_detects("repeats", "", Rule::Duplicate, &["g1"]),
        assert_detects("refuses", "", Rule::Duplicate, &["g1"]),
        assert_detects("forges", "", Rule::Forged, &["g1"]),
        assert_detects("keeps", "", Rule::Lost, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_detects_ignored_drains_ceilings_and_cold_starts() {
    let drain = "[[fault]]\nat = 0.2\nfor = 3.6\nfault = \"drain\"\non = \"b0\"\n";
    let crash = "[[fault]]\nat = 0.2\nfor = 0.2\nfault = \"crash\"\non = \"b0\"\n";
    tokio::join!(
        assert_detects("nothing", drain, Rule::Drain, &["g0", "g1", "g2"]),
        assert_detects("nothing", "", Rule::Ceiling, &["g0", "g1", "g2"]),
        assert_detects("shoves", crash, Rule::Fall, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_judge_detects_processes_that_exit_leak_or_ignore_sigterm() {
    let restart = "[[fault]]\nat = 0.2\nfor = 0.1\nfault = \"restart\"\non = \"g1\"\n";
    tokio::join!(
        assert_detects("dies", "", Rule::Crash, &["g1"]),
        assert_detects("hoards", "", Rule::Limit, &["g1"]),
        assert_detects("deaf", restart, Rule::Crash, &["g1"]),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn correct_gateways_violate_no_rule_during_a_zone_cut_and_a_pause() {
    let faults = "[[fault]]\nat = 1.5\nfor = 1.0\nfault = \"cut\"\nfrom = \"zone:a\"\nto = \"*\"\n\
                  [[fault]]\nat = 2.0\nfor = 1.0\nfault = \"stop\"\non = \"g1\"\n";
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\", \"b\"]\nseconds = 5.0\nrate = 60.0\n";
    let schedule = Schedule::read("two.toml", &format!("{head}{faults}"), 1, None).expect("valid schedule");
    let options = Options { program: built_program("fennelscale"), old: None, keep: None };
    let verdict = within_timeout("a trial", play(&schedule, &options)).await.expect("run the trial");
    assert!(verdict.void.is_some() || verdict.broken == 0, "{verdict:?}");
    assert_eq!(verdict.through.len(), 2, "{verdict:?}");
    let served: u64 = verdict.classes.iter().map(|(_, tally)| tally[1]).sum();
    assert!(served > 100, "{verdict:?}");
}

#[test]
fn a_seed_always_draws_the_same_valid_faults() {
    let text = BUILT_IN_TRIALS.iter().find(|(name, _)| *name == "nemesis").expect("built-in trial").1;
    let read = |seed| Schedule::read("nemesis", text, seed, None).expect("valid schedule");
    let mut seen = std::collections::HashSet::new();
    for seed in 0..500 {
        let faults = read(seed).faults;
        assert!(!faults.is_empty());
        assert_eq!(faults, read(seed).faults);
        seen.insert(format!("{faults:?}"));
    }
    assert!(seen.len() > 450, "{} of 500 differ", seen.len());
    for (name, text) in BUILT_IN_TRIALS {
        Schedule::read(name, text, 1, None).expect("built-in trials are valid");
    }
}

#[test]
fn a_zone_cut_keeps_the_links_inside_the_zone() {
    let text = BUILT_IN_TRIALS.iter().find(|(name, _)| *name == "zone-cut").expect("built-in trial").1;
    let schedule = Schedule::read("zone-cut", text, 1, None).expect("valid schedule");
    let links = &schedule.faults[0].links;
    let (north, other) = (Party::Backend(0), Party::Backend(1));
    assert!(!links.contains(&(Party::Gateway(0), north)));
    assert!(links.contains(&(Party::Gateway(0), other)) && links.contains(&(other, Party::Gateway(0))));
    assert!(links.contains(&(Party::Gateway(1), north)) && !links.contains(&(Party::Gateway(1), other)));
    assert!(links.contains(&(Party::Counter, Party::Gateway(0))));
}

#[test]
fn an_invalid_schedule_is_reported_with_its_position_and_starts_nothing() {
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
    std::fs::create_dir_all(&folder).expect("create the folder");
    let file = folder.join("bad.toml");
    std::fs::write(&file, fault("fault = \"quake\"")).expect("write");
    let ran = Command::new(EMULATOR)
        .arg("trial")
        .arg(&file)
        .env("TMPDIR", &folder)
        .output()
        .expect("run the emulator");
    assert_eq!(ran.status.code(), Some(2));
    assert_eq!(String::from_utf8_lossy(&ran.stderr).lines().count(), 1);
    assert_eq!(std::fs::read_dir(&folder).expect("read").count(), 1, "the folder contains other files");
    std::fs::remove_dir_all(&folder).expect("remove the folder");
}

/// Returns the number of processes whose environment contains a text.
fn running(text: &str) -> usize {
    let all = std::fs::read_dir("/proc").expect("read").flatten();
    let of = |entry: &std::fs::DirEntry| {
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment).contains(text)
    };
    all.filter(of).count()
}

#[test]
fn sigint_and_sigterm_leave_no_processes_or_files() {
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let folder = std::env::temp_dir().join(format!("fennelscale-left-{}-{signal:?}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the folder");
        let mark = folder.display().to_string();
        let mut tool = Command::new(EMULATOR)
            .args(["trial", "stall", "--gateway"])
            .arg(built_program("fennelscale"))
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("start the emulator");
        let begun = std::time::Instant::now();
        // The emulator and its three gateways.
        while running(&mark) < 4 {
            assert!(begun.elapsed() < TEST_TIMEOUT, "the gateways did not start");
            std::thread::sleep(Duration::from_millis(20));
        }
        process::signal(tool.id(), signal);
        tool.wait().expect("wait for the emulator");
        while running(&mark) > 0 {
            assert!(begun.elapsed() < TEST_TIMEOUT, "{} processes are left", running(&mark));
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(std::fs::read_dir(&folder).expect("read").count(), 0, "files are left");
        std::fs::remove_dir_all(&folder).expect("remove the folder");
    }
}
