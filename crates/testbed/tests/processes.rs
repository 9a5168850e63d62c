//! Runs the `testbed` program end to end.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::HashSet;
use std::io::{BufRead as _, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout that is far longer than any step takes, for busy machines.
const LONG: Duration = Duration::from_secs(180);
const LOOKS: Duration = Duration::from_millis(20);

fn start(arguments: &[&str]) -> (Child, BufReader<std::process::ChildStdout>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_testbed"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let said = BufReader::new(child.stdout.take().expect("it is piped"));
    (child, said)
}

/// Reads lines until one contains `words`.
fn read_until(said: &mut BufReader<std::process::ChildStdout>, words: &str) {
    let mut all = String::new();
    while !all.contains(words) {
        let read = said.read_line(&mut all).expect("text");
        assert!(read > 0, "it ended without {words:?}:\n{all}");
    }
}

fn wait(child: &mut Child) -> ExitStatus {
    let until = Instant::now() + LONG;
    loop {
        if let Some(status) = child.try_wait().expect("it can be asked") {
            return status;
        }
        if Instant::now() > until {
            let _ = child.kill();
            panic!("it does not end");
        }
        sleep(LOOKS);
    }
}

/// Fields of `/proc/PID/stat` after the process name; `None` if the process has exited.
fn account(pid: u32) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().map(str::to_owned).collect();
    (fields.first()? != "Z").then_some(fields)
}

/// Child processes of `parent` with their start times.
fn children(parent: u32) -> HashSet<(u32, String)> {
    let pids = Path::new("/proc").read_dir().expect("there is one");
    let pids = pids.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    pids.filter_map(|pid: u32| {
        let fields = account(pid)?;
        (fields[1] == parent.to_string()).then(|| (pid, fields[19].clone()))
    })
    .collect()
}

fn all_gone(children: &HashSet<(u32, String)>) {
    let until = Instant::now() + LONG;
    let there = |(pid, at): &&(u32, String)| account(*pid).is_some_and(|fields| fields[19] == *at);
    while let Some(left) = children.iter().find(there) {
        assert!(Instant::now() < until, "{left:?} is still there");
        sleep(LOOKS);
    }
}

#[test]
fn a_demo_bears_the_death_of_its_leader() {
    let (mut child, said) = start(&["demo", "--seconds", "3", "--trouble", "leader", "--rate", "100"]);
    let said: Vec<_> = said.lines().map(|line| line.expect("text")).collect();
    let status = wait(&mut child);
    let all = said.join("\n");
    assert!(status.success(), "{status}\n{all}");
    assert!(all.contains(" leads: killed"), "{all}");
    for kind in ["tide", "backend", "cargo", "duty"] {
        let line = said.iter().find(|line| line.starts_with(kind)).expect("each kind has a line");
        let served: u64 = line.split_whitespace().nth(3).and_then(|n| n.parse().ok()).expect("a count");
        assert!(served > 0, "{all}");
    }
}

#[test]
fn a_demo_that_is_told_to_end_leaves_no_process() {
    let (mut child, mut said) = start(&["demo", "--seconds", "600", "--rate", "20"]);
    read_until(&mut said, "requests a second");
    let children = children(child.id());
    assert_eq!(children.len(), 7, "{children:?}");
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("an id");
    kill_process(pid, Signal::TERM).expect("it runs");
    assert!(!wait(&mut child).success());
    all_gone(&children);
}

#[test]
fn a_quiet_trial_accuses_nobody() {
    let place = tempfile::tempdir().expect("a folder");
    let keep = place.path().to_str().expect("a plain name");
    let (mut child, said) = start(&["trial", "calm", "--keep", keep]);
    let all: Vec<_> = said.lines().map(|line| line.expect("text")).collect();
    let status = wait(&mut child).code();
    // Status 3 means no verdict: the machine was too busy.
    assert!(matches!(status, Some(0 | 3)), "{status:?}\n{}", all.join("\n"));
    if status == Some(0) {
        let page = std::fs::read_to_string(place.path().join("calm-1/page.html")).expect("a page");
        assert!(page.contains("no rule broken") && page.matches("<svg").count() == 5);
    }
}

#[test]
fn a_trial_that_is_told_to_end_leaves_no_process() {
    let (mut child, _said) = start(&["trial", "calm", "--seeds", "1..9"]);
    let until = Instant::now() + LONG;
    let mut started = HashSet::new();
    while started.len() < 7 {
        assert!(Instant::now() < until, "{started:?}");
        sleep(LOOKS);
        started = children(child.id());
    }
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("an id");
    kill_process(pid, Signal::TERM).expect("it runs");
    assert_eq!(wait(&mut child).code(), Some(2));
    all_gone(&started);
}

#[test]
fn a_bad_line_is_told_with_its_place() {
    let place = tempfile::tempdir().expect("a folder");
    let file = place.path().join("bad.toml");
    std::fs::write(&file, "seconds = 5.0\nrate = 9.0\n[[fault]]\nat = 1.0\nfault = \"kill\"\non = \"h9\"\n")
        .expect("written");
    let told = Command::new(env!("CARGO_BIN_EXE_testbed")).arg("trial").arg(&file).output().expect("it runs");
    let words = String::from_utf8_lossy(&told.stderr).into_owned();
    assert_eq!((told.status.code(), words.lines().count()), (Some(2), 1), "{words}");
    assert!(words.contains("bad.toml:3:1: on: unknown party h9"), "{words}");
}

#[test]
fn what_is_up_comes_down_and_can_come_up_again() {
    let place = tempfile::tempdir().expect("a folder");
    let dir = place.path().to_str().expect("a plain name");
    for turn in 0..2 {
        let (mut child, mut said) = start(&["up", "--dir", dir]);
        read_until(&mut said, "testbed down");
        let children = children(child.id());
        assert_eq!(children.len(), 7, "{turn}: {children:?}");
        let (mut down, _) = start(&["down", "--dir", dir]);
        assert!(wait(&mut down).success());
        assert!(wait(&mut child).success());
        all_gone(&children);
        let settings = std::fs::read_to_string(place.path().join("settings/machine-1-control-plane.toml"));
        assert!(settings.expect("it is kept").contains("bootstrap = false"));
        assert!(!place.path().join("processes.json").exists());
    }
}

#[test]
fn a_scale_run_measures_hollow_data_planes_and_leaves_no_process() {
    let few = ["--processes", "1", "--backends", "1", "--requests", "5", "--seconds", "6"];
    let (mut child, mut said) = start(&[&["scale", "--gateways", "3"], &few[..]].concat());
    read_until(&mut said, "3 hollow data planes have r1");
    let children = children(child.id());
    // Four control planes, four data planes and one process of hollow data planes.
    assert_eq!(children.len(), 9);
    read_until(&mut said, "| change: came to all gateways | 1.0 |");
    assert!(wait(&mut child).success());
    all_gone(&children);
}
