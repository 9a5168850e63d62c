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
    let result = match case.as_str() {
        "tenants" => tenants::run(&record, trouble),
        "cut" => cut::run(&record, trouble),
        "requota" => requota::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
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
