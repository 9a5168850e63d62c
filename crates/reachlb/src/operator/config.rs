//! The `config` command: shows the current and former configurations, compares them, and replaces the current one.

use super::table::table;
use super::{CommandError, client};
use bytes::Bytes;
use config::{Config, Version};
use gumdrop::Options;
use hyper::Method;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// Arguments of the `config` command.
#[derive(Debug, Options)]
pub struct ConfigCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// print the configuration in force, byte for byte
    Get(Get),
    /// replace the configuration
    Replace(Replace),
    /// list the latest versions; epoch and index give their order, because machines do not share a clock
    History(Plain),
    /// show the changes from A to B, each a version (r12) or a file (default for B: the configuration in force, default
    /// for A and B: the two latest versions)
    Diff(Diff),
}

#[derive(Debug, Options)]
struct Get {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print this former version from the history of the process; needs no leader
    #[options(meta = "rN")]
    version: Option<Version>,
}

#[derive(Debug, Options)]
struct Plain {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the response unchanged
    json: bool,
}

#[derive(Debug, Options)]
struct Replace {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// version that the file builds on (default: the version in force)
    #[options(meta = "rN")]
    base: Option<Version>,
    /// print the result as JSON
    json: bool,
    #[options(free, required)]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct Diff {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the changes as a JSON list of lines
    json: bool,
    #[options(free)]
    which: Vec<String>,
}

/// Runs the `config` command.
pub async fn config(command: ConfigCommand) -> Result<String, CommandError> {
    match command.call {
        Some(Kind::Get(call)) => {
            let path = call.version.map_or("/Config.Read".to_owned(), |v| format!("/Config.History/{v}"));
            let response = client::get(&call.at, "read", &path).await?.success("read")?;
            let mut text = String::from_utf8_lossy(&response.body).into_owned();
            if !text.ends_with('\n') {
                text.push('\n');
            }
            Ok(text)
        }
        Some(Kind::Replace(call)) => replace(call).await,
        Some(Kind::History(call)) => {
            let body = client::get(&call.at, "history", "/Config.History").await?.json("history")?;
            Ok(if call.json { body.to_string() + "\n" } else { format_history(&body) })
        }
        Some(Kind::Diff(call)) => diff(call).await,
        None => Err(CommandError::InvalidInput {
            step: "read",
            subject: "arguments".into(),
            reason: "expected one of the subcommands get, replace, history, diff".into(),
        }),
    }
}

fn format_history(body: &Value) -> String {
    let versions = body["versions"].as_array().into_iter().flatten();
    let abbreviated = |digest: &Value| digest.as_str().unwrap_or_default().chars().take(16).collect();
    let cell = super::table::cell;
    let rows: Vec<Vec<String>> = versions
        .map(|v| {
            vec![
                cell(&v["version"]),
                abbreviated(&v["digest"]),
                cell(&v["epoch"]),
                cell(&v["index"]),
                cell(&v["body_kept"]),
            ]
        })
        .collect();
    table(&["version", "digest", "epoch", "index", "body kept"], &rows)
}

/// Parses a configuration with the parser of the processes.
fn parse(step: &'static str, subject: &str, body: &[u8]) -> Result<Config, CommandError> {
    let invalid = |fault: config::ConfigError| CommandError::InvalidInput {
        step,
        subject: subject.to_owned(),
        reason: fault.to_string(),
    };
    Config::parse(body).map_err(invalid)
}

fn read_file(path: &Path) -> Result<(Bytes, Config), CommandError> {
    let name = path.display().to_string();
    let body = std::fs::read(path).map_err(|error| CommandError::InvalidInput {
        step: "read",
        subject: name.clone(),
        reason: error.to_string(),
    })?;
    let config = parse("check", &name, &body)?;
    Ok((body.into(), config))
}

async fn replace(call: Replace) -> Result<String, CommandError> {
    let (body, config) = read_file(&call.file)?;
    let base = match call.base {
        Some(base) => base,
        None => {
            let current = client::get(&call.at, "read", "/Config.Read").await?;
            if current.status == 404 {
                Version(0)
            } else {
                let current = current.success("read")?;
                parse("read", "the configuration in force", &current.body)?.version
            }
        }
    };
    let response =
        client::call(&call.at, "replace", Method::POST, "/Config.Replace", Some(base.0), body).await?;
    let peer = response.success("replace")?.peer;
    let version = config.version;
    // A repeated call with an already accepted configuration succeeds even if a newer version is in force, so the
    // command reads the version in force afterwards.
    let current =
        client::get(&peer, "read", "/Config.Read").await.and_then(|response| response.success("read"));
    let current = current.and_then(|current| parse("read", "the configuration in force", &current.body));
    // The replacement has been accepted, even if the version in force cannot be read now.
    let current = current.map_or(version, |current| current.version);
    Ok(if call.json {
        json!({ "version": version.to_string(), "base": base.to_string(), "in_force": current.to_string(),
            "peer": peer })
        .to_string()
            + "\n"
    } else if current == version {
        format!("{version} is in force (on {base}, by {peer})\n")
    } else {
        format!("{version} was accepted, {current} is in force now (by {peer})\n")
    })
}

async fn diff(call: Diff) -> Result<String, CommandError> {
    let (before, after) = match call.which.as_slice() {
        [] => {
            let history = client::get(&call.at, "history", "/Config.History").await?.json("history")?;
            let nth_latest = |index: usize| history["versions"][index]["version"].as_str().map(str::to_owned);
            let (Some(after), Some(before)) = (nth_latest(0), nth_latest(1)) else {
                return Err(CommandError::InvalidInput {
                    step: "diff",
                    subject: "the history".into(),
                    reason: "fewer than two versions".into(),
                });
            };
            (read_version_or_file(&call.at, &before).await?, read_version_or_file(&call.at, &after).await?)
        }
        [before] => {
            let current = client::get(&call.at, "read", "/Config.Read").await?.success("read")?;
            (
                read_version_or_file(&call.at, before).await?,
                parse("read", "the configuration in force", &current.body)?,
            )
        }
        [before, after] => {
            (read_version_or_file(&call.at, before).await?, read_version_or_file(&call.at, after).await?)
        }
        _ => {
            return Err(CommandError::InvalidInput {
                step: "diff",
                subject: "arguments".into(),
                reason: "expected at most two versions or files".into(),
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

/// Reads a configuration by its version from a process, or from a file when `source` is not a version.
async fn read_version_or_file(addresses: &str, source: &str) -> Result<Config, CommandError> {
    match source.parse::<Version>() {
        Ok(version) => {
            let path = format!("/Config.History/{version}");
            let response = client::get(addresses, "read", &path).await?.success("read")?;
            parse("read", source, &response.body)
        }
        Err(_) => Ok(read_file(Path::new(source))?.1),
    }
}
