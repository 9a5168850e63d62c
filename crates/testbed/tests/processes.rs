//! Runs the `testbed` program end to end.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::HashSet;
use std::io::{BufRead as _, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout that is far longer than any step takes, for busy machines.
const TIMEOUT: Duration = Duration::from_secs(180);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn start(arguments: &[&str]) -> (Child, BufReader<std::process::ChildStdout>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_testbed"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("testbed starts");
    let stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
    (child, stdout)
}

/// Reads lines until one contains `expected`.
fn read_until(stdout: &mut BufReader<std::process::ChildStdout>, expected: &str) {
    let mut all = String::new();
    while !all.contains(expected) {
        let read = stdout.read_line(&mut all).expect("UTF-8 output");
        assert!(read > 0, "testbed exited without printing {expected:?}:\n{all}");
    }
}

fn wait(child: &mut Child) -> ExitStatus {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(status) = child.try_wait().expect("the status is available") {
            return status;
        }
        if Instant::now() > until {
            let _ = child.kill();
            panic!("testbed did not exit in time");
        }
        sleep(POLL_INTERVAL);
    }
}

/// Fields of `/proc/PID/stat` after the process name; `None` if the process has exited.
fn proc_stat(pid: u32) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().map(str::to_owned).collect();
    (fields.first()? != "Z").then_some(fields)
}

/// Child processes of `parent` with their start times.
fn children(parent: u32) -> HashSet<(u32, String)> {
    let pids = Path::new("/proc").read_dir().expect("/proc is readable");
    let pids = pids.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    pids.filter_map(|pid: u32| {
        let fields = proc_stat(pid)?;
        (fields[1] == parent.to_string()).then(|| (pid, fields[19].clone()))
    })
    .collect()
}

fn assert_all_exited(children: &HashSet<(u32, String)>) {
    let until = Instant::now() + TIMEOUT;
    let is_running = |(pid, at): &&(u32, String)| proc_stat(*pid).is_some_and(|fields| fields[19] == *at);
    while let Some(child_process) = children.iter().find(is_running) {
        assert!(Instant::now() < until, "process {child_process:?} is still running");
        sleep(POLL_INTERVAL);
    }
}

#[test]
fn demo_survives_a_killed_leader() {
    let (mut child, stdout) = start(&["demo", "--seconds", "3", "--trouble", "leader", "--rate", "100"]);
    let stdout: Vec<_> = stdout.lines().map(|line| line.expect("UTF-8 output")).collect();
    let status = wait(&mut child);
    let all = stdout.join("\n");
    assert!(status.success(), "{status}\n{all}");
    assert!(all.contains(" leads: killed"), "{all}");
    for kind in ["tide", "backend", "cargo", "duty"] {
        let line = stdout.iter().find(|line| line.starts_with(kind)).expect("each kind has a line");
        let served: u64 =
            line.split_whitespace().nth(3).and_then(|n| n.parse().ok()).expect("number of served requests");
        assert!(served > 0, "{all}");
    }
}

#[test]
fn terminated_demo_leaves_no_process() {
    let (mut child, mut stdout) = start(&["demo", "--seconds", "600", "--rate", "20"]);
    read_until(&mut stdout, "requests a second");
    let children = children(child.id());
    assert_eq!(children.len(), 7, "{children:?}");
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("valid process id");
    kill_process(pid, Signal::TERM).expect("testbed runs");
    assert!(!wait(&mut child).success());
    assert_all_exited(&children);
}

#[test]
fn trial_without_faults_has_no_violations() {
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let keep = temp_dir.path().to_str().expect("UTF-8 path");
    let (mut child, stdout) = start(&["trial", "calm", "--keep", keep]);
    let all: Vec<_> = stdout.lines().map(|line| line.expect("UTF-8 output")).collect();
    let status = wait(&mut child).code();
    // Status 3 means no verdict: the machine was too busy.
    assert!(matches!(status, Some(0 | 3)), "{status:?}\n{}", all.join("\n"));
    if status == Some(0) {
        let page =
            std::fs::read_to_string(temp_dir.path().join("calm-1/page.html")).expect("page.html exists");
        assert!(page.contains("no rule broken") && page.matches("<svg").count() == 5);
    }
}

#[test]
fn terminated_trial_leaves_no_process() {
    let (mut child, _said) = start(&["trial", "calm", "--seeds", "1..9"]);
    let until = Instant::now() + TIMEOUT;
    let mut started = HashSet::new();
    while started.len() < 7 {
        assert!(Instant::now() < until, "{started:?}");
        sleep(POLL_INTERVAL);
        started = children(child.id());
    }
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw).expect("valid process id");
    kill_process(pid, Signal::TERM).expect("testbed runs");
    assert_eq!(wait(&mut child).code(), Some(2));
    assert_all_exited(&started);
}

#[test]
fn invalid_schedule_is_reported_with_its_position() {
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let file = temp_dir.path().join("bad.toml");
    std::fs::write(&file, "seconds = 5.0\nrate = 9.0\n[[fault]]\nat = 1.0\nfault = \"kill\"\non = \"h9\"\n")
        .expect("schedule file is written");
    let output =
        Command::new(env!("CARGO_BIN_EXE_testbed")).arg("trial").arg(&file).output().expect("testbed runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{stderr}");
    assert!(stderr.contains("bad.toml:3:1: on: unknown party h9"), "{stderr}");
}

#[test]
fn fleet_can_be_stopped_and_started_again() {
    let temp_dir = tempfile::tempdir().expect("cannot create the temporary directory");
    let dir = temp_dir.path().to_str().expect("UTF-8 path");
    for round in 0..2 {
        let (mut child, mut stdout) = start(&["up", "--dir", dir]);
        read_until(&mut stdout, "testbed down");
        let children = children(child.id());
        assert_eq!(children.len(), 7, "{round}: {children:?}");
        let (mut down, _) = start(&["down", "--dir", dir]);
        assert!(wait(&mut down).success());
        assert!(wait(&mut child).success());
        assert_all_exited(&children);
        let settings = std::fs::read_to_string(temp_dir.path().join("settings/machine-1-control-plane.toml"));
        assert!(settings.expect("settings file is kept").contains("bootstrap = false"));
        assert!(!temp_dir.path().join("processes.json").exists());
    }
}

#[test]
fn scale_run_measures_hollow_data_planes_and_leaves_no_process() {
    let small = ["--processes", "1", "--backends", "1", "--requests", "5", "--seconds", "6"];
    let (mut child, mut stdout) = start(&[&["scale", "--gateways", "3"], &small[..]].concat());
    read_until(&mut stdout, "3 hollow data planes have r1");
    let children = children(child.id());
    // Four control planes, four data planes and one process of hollow data planes.
    assert_eq!(children.len(), 9);
    read_until(&mut stdout, "| change: reached all gateways | 1.0 |");
    assert!(wait(&mut child).success());
    assert_all_exited(&children);
}
