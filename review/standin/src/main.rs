//! Stand-ins for clients, backends, the operator and the platform, and the cases of the review.
//!
//! `standin CASE RECORD` runs a case from the repository's root. Status 0: the rule held; 1: it was broken; 2: the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod backend;
mod client;
mod cut;
mod fleet;
mod http;
mod operator;
mod record;
mod relay;
mod requota;
mod tenants;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// A case runs for 120 s at most.
const LONGEST: Duration = Duration::from_secs(117);

/// What a case came to.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let watchdog = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        fleet::end_all();
        watchdog.say("the case could not run: it took too long");
        std::process::exit(2);
    });
    let run = || match case.as_str() {
        "cut" => cut::run(&record, trouble),
        "tenants" => tenants::run(&record, trouble),
        "requota" => requota::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err("the stand-in panicked".into()));
    fleet::end_all();
    match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
