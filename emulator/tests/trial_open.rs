//! What a trial opens is closed with it, so that hundreds can be played by one process. It has a test program of its
//! own, as it counts what the whole process has open.

use fennelscale_lab::trial::schedule::Schedule;
use fennelscale_lab::trial::{Options, report};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn a_trial_that_is_over_holds_nothing_open() {
    let descriptors = || std::fs::read_dir("/proc/self/fd").expect("read").count();
    let head = "gateways = 3\nbackends = 6\nzones = [\"a\"]\nseconds = 1.0\nrate = 20.0\n";
    let schedule = |seed| Schedule::read("short.toml", head, seed, None).expect("a schedule");
    let program = Path::new(env!("CARGO_BIN_EXE_fennelscale-lab")).with_file_name("fennelscale");
    let options = Options { program, old: None, keep: None };
    let before = descriptors();
    let trials = [schedule(1), schedule(2)];
    report::run_all(&trials, &options, 2, |_| {}).await.expect("played");
    // The relays of one trial alone are more than this.
    let closed = async {
        while descriptors() > before + 15 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(60), closed).await.expect("it is still open");
}
