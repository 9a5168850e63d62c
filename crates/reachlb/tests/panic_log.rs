//! A panic ends a process of the gateway without a chance to ask the process afterwards. The log must therefore say
//! which calls led to the panic.

use std::process::{Command, Stdio};

/// Set in the environment of the child process, which panics.
const CHILD_VARIABLE: &str = "REACHLB_TEST_PANICS";

/// Calls a function of the standard library that panics. The location of the panic does not name this function.
#[inline(never)]
fn convert_infinite_delay() -> std::time::Duration {
    std::time::Duration::from_secs_f64(std::hint::black_box(f64::INFINITY))
}

/// Guards against an abort that leaves only a location inside the standard library in the log.
#[test]
fn a_panic_is_logged_as_one_line_with_the_calls_that_led_to_it() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        reachlb::start_logs("info").expect("the logs start");
        convert_infinite_delay();
    }
    let test = "a_panic_is_logged_as_one_line_with_the_calls_that_led_to_it";
    let child = Command::new(std::env::current_exe().expect("the path of the test"))
        .args(["--exact", test, "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .env_remove("RUST_BACKTRACE")
        .stdin(Stdio::null())
        .output()
        .expect("the child process runs");
    assert!(!child.status.success());
    let log = String::from_utf8_lossy(&child.stderr);
    let lines = log.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let panics: Vec<_> = lines.filter(|line| line["kv"]["step"] == "panic").collect();
    let [panic] = &panics[..] else { panic!("{} lines in {log}", panics.len()) };
    assert_eq!(panic["level"], "critical");
    let text = panic["payload"].as_str().expect("a text");
    assert!(text.contains("cannot convert float seconds to Duration"), "{text}");
    let backtrace = panic["kv"]["backtrace"].as_str().expect("a backtrace");
    assert!(backtrace.contains("convert_infinite_delay"), "{backtrace}");
}
