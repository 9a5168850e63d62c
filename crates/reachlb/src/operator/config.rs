//! The configuration: in force, former ones, what changed, another one.

use super::table::table;
use super::{CommandError, client};
use bytes::Bytes;
use config::{Config, Version};
use gumdrop::Options;
use hyper::Method;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// The arguments.
#[derive(Debug, Options)]
pub struct ConfigCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// print the one in force, byte for byte
    Get(Get),
    /// put another one in force
    Replace(Replace),
    /// list the last ones: epoch and index tell when, since no two machines share a clock
    History(Plain),
    /// what changed from A to B, each a version (r12) or a file; without B to the one in force, without A from the one
    /// before it
    Diff(Diff),
}

#[derive(Debug, Options)]
struct Get {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// a former one, as that process keeps it: this needs no leader
    #[options(meta = "rN")]
    version: Option<Version>,
}

#[derive(Debug, Options)]
struct Plain {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the answer as it is
    json: bool,
}

#[derive(Debug, Options)]
struct Replace {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// the version that the file builds on; without it, the one in force now
    #[options(meta = "rN")]
    base: Option<Version>,
    /// print the answer as JSON
    json: bool,
    #[options(free, required)]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct Diff {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print a list of lines
    json: bool,
    #[options(free)]
    which: Vec<String>,
}

/// Does what is asked.
pub async fn config(calls: ConfigCommand) -> Result<String, CommandError> {
    match calls.call {
        Some(Kind::Get(call)) => {
            let path = call.version.map_or("/Config.Read".to_owned(), |v| format!("/Config.History/{v}"));
            let answer = client::get(&call.at, "read", &path).await?.granted("read")?;
            let mut text = String::from_utf8_lossy(&answer.body).into_owned();
            if !text.ends_with('\n') {
                text.push('\n');
            }
            Ok(text)
        }
        Some(Kind::Replace(call)) => replace(call).await,
        Some(Kind::History(call)) => {
            let answer = client::get(&call.at, "history", "/Config.History").await?.json("history")?;
            Ok(if call.json { answer.to_string() + "\n" } else { history(&answer) })
        }
        Some(Kind::Diff(call)) => diff(call).await,
        None => Err(CommandError::Unusable {
            step: "read",
            what: "arguments".into(),
            why: "one of get, replace, history, diff is wanted".into(),
        }),
    }
}

fn history(answer: &Value) -> String {
    let versions = answer["versions"].as_array().into_iter().flatten();
    let short = |digest: &Value| digest.as_str().unwrap_or_default().chars().take(16).collect();
    let cell = super::table::cell;
    let rows: Vec<Vec<String>> = versions
        .map(|v| {
            vec![
                cell(&v["version"]),
                short(&v["digest"]),
                cell(&v["epoch"]),
                cell(&v["index"]),
                cell(&v["body_kept"]),
            ]
        })
        .collect();
    table(&["version", "digest", "epoch", "index", "body kept"], &rows)
}

/// Reads a body as a process would.
fn parse(step: &'static str, what: &str, body: &[u8]) -> Result<Config, CommandError> {
    let unusable = |fault: config::ConfigFault| CommandError::Unusable {
        step,
        what: what.to_owned(),
        why: fault.to_string(),
    };
    Config::parse(body).map_err(unusable)
}

fn file(path: &Path) -> Result<(Bytes, Config), CommandError> {
    let name = path.display().to_string();
    let body = std::fs::read(path).map_err(|error| CommandError::Unusable {
        step: "read",
        what: name.clone(),
        why: error.to_string(),
    })?;
    let config = parse("check", &name, &body)?;
    Ok((body.into(), config))
}

async fn replace(call: Replace) -> Result<String, CommandError> {
    let (body, config) = file(&call.file)?;
    let base = match call.base {
        Some(base) => base,
        None => {
            let present = client::get(&call.at, "read", "/Config.Read").await?;
            if present.status == 404 {
                Version(0)
            } else {
                let present = present.granted("read")?;
                parse("read", "the configuration in force", &present.body)?.version
            }
        }
    };
    let answer =
        client::call(&call.at, "replace", Method::POST, "/Config.Replace", Some(base.0), body).await?;
    let peer = answer.granted("replace")?.peer;
    let version = config.version;
    // The same configuration again is acknowledged also after newer ones.
    let present = client::get(&peer, "read", "/Config.Read").await.and_then(|answer| answer.granted("read"));
    let present = present.and_then(|present| parse("read", "the configuration in force", &present.body));
    // It was taken, whether anybody can be asked just now or not.
    let present = present.map_or(version, |present| present.version);
    Ok(if call.json {
        json!({ "version": version.to_string(), "base": base.to_string(), "in_force": present.to_string(),
            "peer": peer })
        .to_string()
            + "\n"
    } else if present == version {
        format!("{version} is in force (on {base}, by {peer})\n")
    } else {
        format!("{version} was taken, {present} is in force now (by {peer})\n")
    })
}

async fn diff(call: Diff) -> Result<String, CommandError> {
    let (before, after) = match call.which.as_slice() {
        [] => {
            let history = client::get(&call.at, "history", "/Config.History").await?.json("history")?;
            let newest = |at: usize| history["versions"][at]["version"].as_str().map(str::to_owned);
            let (Some(after), Some(before)) = (newest(0), newest(1)) else {
                return Err(CommandError::Unusable {
                    step: "diff",
                    what: "the history".into(),
                    why: "it does not have two versions".into(),
                });
            };
            (one(&call.at, &before).await?, one(&call.at, &after).await?)
        }
        [before] => {
            let present = client::get(&call.at, "read", "/Config.Read").await?.granted("read")?;
            (one(&call.at, before).await?, parse("read", "the configuration in force", &present.body)?)
        }
        [before, after] => (one(&call.at, before).await?, one(&call.at, after).await?),
        _ => {
            return Err(CommandError::Unusable {
                step: "diff",
                what: "arguments".into(),
                why: "at most two are compared".into(),
            });
        }
    };
    let lines = config::diff(&before, &after);
    Ok(if call.json {
        json!(lines).to_string() + "\n"
    } else if lines.is_empty() {
        "no difference\n".to_owned()
    } else {
        lines.join("\n") + "\n"
    })
}

/// A version, or a file.
async fn one(at: &str, which: &str) -> Result<Config, CommandError> {
    match which.parse::<Version>() {
        Ok(version) => {
            let path = format!("/Config.History/{version}");
            let answer = client::get(at, "read", &path).await?.granted("read")?;
            parse("read", which, &answer.body)
        }
        Err(_) => Ok(file(Path::new(which))?.1),
    }
}
