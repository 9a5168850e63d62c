//! A finished trial leaves no file descriptors open, so one process can run hundreds of trials. The test is the only
//! one in this file because it counts the descriptors of the whole test process.

use fennelscale_lab::trial::schedule::Schedule;
use fennelscale_lab::trial::{Options, report};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn a_finished_trial_leaves_no_descriptors_open() {
    let descriptors = || std::fs::read_dir("/proc/self/fd").expect("list the descriptors").count();
    let header = "gateways = 3\nbackends = 6\nzones = [\"a\"]\nseconds = 1.0\nrate = 20.0\n";
    let schedule = |seed| Schedule::read("short.toml", header, seed, None).expect("valid schedule");
    let program = Path::new(env!("CARGO_BIN_EXE_fennelscale-lab")).with_file_name("fennelscale");
    let options = Options { program, old: None, keep: None };
    let before = descriptors();
    let trials = [schedule(1), schedule(2)];
    report::run_all(&trials, &options, 2, |_| {}).await.expect("both trials run");
    // The relays of a single trial use more than 15 descriptors.
    let closed = async {
        while descriptors() > before + 15 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(60), closed)
        .await
        .expect("descriptors of the finished trials are still open");
}
