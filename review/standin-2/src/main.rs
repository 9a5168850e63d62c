//! The cases of the second review that are scripts: `review-standin-2 CASE REPO FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod address;
mod drains;
mod fleet;
mod headers;
mod http;
mod quota;
mod slow;
mod standins;

use fleet::Record;
use std::path::PathBuf;
use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repo, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE REPO FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let repo = PathBuf::from(repo);
    let verdict = match case.as_str() {
        "address" => address::run(&repo, &record, trouble),
        "drains" => drains::run(&repo, &record, trouble),
        "quota" => quota::run(&repo, &record, trouble),
        "slow" => slow::run(&repo, &record, trouble),
        "headers" => headers::run(&repo, &record, trouble),
        other => Verdict::NotRun(format!("no case {other:?}")),
    };
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    record.write();
    println!("{text}");
    exit(status);
}
