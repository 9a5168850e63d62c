//! A panic ends every process that the tool has started, stopped ones too. It has a test program of its own: it would
//! end those of the other tests.

use fennelscale_lab::live::process::{self, Process};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[tokio::test(flavor = "multi_thread")]
async fn a_panic_ends_the_processes_also_one_that_is_stopped() {
    let folder = std::env::temp_dir().join(format!("fennelscale-panic-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_fennelscale-lab")).with_file_name("examples").join("liar");
    let config = folder.join("config.json");
    std::fs::write(&config, r#"{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9"}"#)
        .expect("written");
    let started = Process::start(&program, &config, &folder, &folder.join("tmp"), None).await;
    let mut process = started.expect("started");
    process::kill_all_on_panic();
    process::signal(process.pid, rustix::process::Signal::STOP);
    // As it would be in a program that aborts: the process is not dropped, only the hook runs.
    let panicked = std::thread::spawn(|| panic!("on purpose")).join();
    assert!(panicked.is_err());
    let ended = async {
        while process.ended().is_none() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(60), ended).await.expect("it has not ended");
    std::fs::remove_dir_all(&folder).expect("removed");
}
