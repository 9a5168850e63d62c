//! A panic kills every process that the emulator has started, including paused ones. The test is the only one in this
//! file because the panic would kill the processes of other tests in the same test process.

use fennelscale_lab::live::process::{self, Process};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[tokio::test(flavor = "multi_thread")]
async fn a_panic_kills_all_started_processes_including_paused_ones() {
    let folder = std::env::temp_dir().join(format!("fennelscale-panic-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let program = Path::new(env!("CARGO_BIN_EXE_fennelscale-lab")).with_file_name("examples").join("liar");
    let config = folder.join("config.json");
    std::fs::write(&config, r#"{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9"}"#)
        .expect("write the configuration");
    let started = Process::start(&program, &config, &folder, &folder.join("tmp"), None).await;
    let mut process = started.expect("started");
    process::kill_all_on_panic();
    process::signal(process.pid, rustix::process::Signal::STOP);
    // Simulates a program that aborts on panic: `process` is not dropped, only the panic hook runs.
    let panicked = std::thread::spawn(|| panic!("on purpose")).join();
    assert!(panicked.is_err());
    let ended = async {
        while process.ended().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(60), ended).await.expect("the paused process was not killed");
    std::fs::remove_dir_all(&folder).expect("remove the folder");
}
