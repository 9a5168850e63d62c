//! The `group` object of the configuration. Without the object the gateway is in no group. A duty is a named role that
//! at most one gateway of the group holds at a time; a voter is a gateway that takes part in the group's Raft quorum.

use super::scout::duty;
use fennelscale_group::member::CandidateDuty;
use fennelscale_group::state_machine::Session;
use fennelscale_group::voter::VoterEndpoint;
use fennelscale_group::{run, store};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Default lifetime of a session without renewal, and the permitted range, in ms.
const DEFAULT_LIFE_MS: u64 = 6000;
const LIFE_RANGE_MS: std::ops::RangeInclusive<u64> = 1000..=60_000;
/// Default for `away_at_once`.
const DEFAULT_AWAY_RATIO: f64 = 0.1;
/// Maximum number of duties in the configuration; the scout's duty is additional.
const MAX_DUTIES: usize = 16;
/// Maximum length of a name.
const MAX_NAME_LENGTH: usize = 64;

#[derive(Deserialize)]
struct RawSettings {
    name: String,
    voters: Vec<RawVoter>,
    listen: Option<String>,
    dir: Option<PathBuf>,
    life_ms: Option<u64>,
    #[serde(default)]
    duties: Vec<String>,
    away_at_once: Option<f64>,
    acts: Option<PathBuf>,
    #[serde(default = "default_true")]
    scout: bool,
}

fn default_true() -> bool {
    true
}

#[derive(Deserialize)]
struct RawVoter {
    name: String,
    address: String,
}

/// Settings of a gateway's group membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the group's thread.
    pub run: run::Settings,
    /// The share of the fleet that the group permits to be absent at the same time, as for a restart.
    pub away_at_once: f64,
    /// Whether health reports about backends are exchanged.
    pub scout: bool,
    /// File to which the gateway periodically writes which duties it holds; for tests.
    pub acts: Option<PathBuf>,
}

impl Settings {
    /// Rebuilds the group with this voter alone, after the permanent loss of all other voters, which `lost` names.
    /// Returns a message for the operator.
    ///
    /// # Errors
    /// When this gateway is not a voter, or the disk or the names are not usable.
    pub fn rescue(&self, lost: &[String]) -> Result<String, String> {
        let Some((_, directory)) = &self.run.voter else { return Err("this gateway is not a voter".into()) };
        let (me, group) = (&self.run.session.name, &self.run.group);
        let id = store::rescue(directory, me, group, lost).map_err(|error| error.to_string())?;
        Ok(format!("group {group}: {me} is the only voter now, with id {id}; GROUP ADD adds further voters"))
    }
}

/// Parses the object; `me` and `zone` are the gateway's name and zone.
///
/// # Errors
/// One line that names the invalid key.
pub fn read(value: &Value, me: &str, zone: &str) -> Result<Settings, String> {
    let raw = RawSettings::deserialize(value).map_err(|error| format!("group: {error}"))?;
    let is_valid_name =
        |name: &str| (1..=MAX_NAME_LENGTH).contains(&name.len()) && !name.contains(char::is_whitespace);
    let invalid = |what: &str| Err(format!("group.{what}"));
    if !is_valid_name(&raw.name) || !is_valid_name(me) {
        return invalid(
            "name: the names of the group and of the gateway need 1 to 64 characters without whitespace",
        );
    }
    if ![1, 3, 5].contains(&raw.voters.len()) {
        return invalid("voters: 1, 3 or 5 voters are required");
    }
    let names: BTreeSet<&str> = raw.voters.iter().map(|voter| voter.name.as_str()).collect();
    if names.len() != raw.voters.len() || !names.iter().all(|name| is_valid_name(name)) {
        return invalid("voters: the names must be valid and unique");
    }
    if let Some(voter) = raw.voters.iter().find(|voter| voter.address.parse::<SocketAddr>().is_err()) {
        return Err(format!("group.voters: {}: invalid address", voter.name));
    }
    let life = raw.life_ms.unwrap_or(DEFAULT_LIFE_MS);
    if !LIFE_RANGE_MS.contains(&life) {
        return invalid("life_ms: 1000 to 60000");
    }
    let away_at_once = raw.away_at_once.unwrap_or(DEFAULT_AWAY_RATIO);
    if !(away_at_once > 0.0 && away_at_once <= 1.0) {
        return invalid("away_at_once: above 0 and up to 1");
    }
    if raw.duties.len() > MAX_DUTIES || !raw.duties.iter().all(|duty| is_valid_name(duty)) {
        return invalid("duties: up to 16 names of 1 to 64 characters without whitespace");
    }
    let listen = raw.listen.as_ref().map(|text| text.parse::<SocketAddr>());
    let voter = match (listen, raw.dir) {
        (Some(Ok(listen)), Some(dir)) => Some((listen, dir)),
        (None, None) if !names.contains(me) => None,
        (Some(Err(_)), _) => return invalid("listen: invalid address"),
        _ => return invalid("listen, group.dir: required for a voter, not allowed for another gateway"),
    };
    let scout = (raw.scout && !zone.is_empty()).then(|| duty(zone));
    let candidate_duties =
        raw.duties.into_iter().chain(scout).map(|duty| CandidateDuty { duty, rank: 0 }).collect();
    let voters = raw.voters.into_iter().map(|v| VoterEndpoint { name: v.name, address: v.address }).collect();
    let session =
        Session { name: me.to_owned(), zone: zone.to_owned(), version: env!("CARGO_PKG_VERSION").to_owned() };
    let session_ttl = Duration::from_millis(life);
    let run = run::Settings { group: raw.name, session, candidate_duties, voters, session_ttl, voter };
    Ok(Settings { run, away_at_once, scout: raw.scout, acts: raw.acts })
}

#[cfg(test)]
mod tests {
    use super::read;
    use serde_json::{Value, json};

    fn valid_settings() -> Value {
        json!({"name": "fleet", "voters": [{"name": "g0", "address": "127.0.0.1:1"}],
            "listen": "127.0.0.1:1", "dir": "/nowhere"})
    }

    #[test]
    fn invalid_values_are_reported_in_one_line() {
        assert!(read(&valid_settings(), "g0", "a").is_ok());
        let changed = |key: &str, value: Value| {
            let mut raw = valid_settings();
            raw[key] = value;
            read(&raw, "g0", "a").expect_err(key)
        };
        for (key, value) in [
            ("name", json!("")),
            ("voters", json!([])),
            ("voters", json!([{"name": "g0", "address": "here"}])),
            ("listen", json!("here")),
            ("dir", Value::Null),
            ("life_ms", json!(5)),
            ("duties", json!(["a b"])),
            ("away_at_once", json!(0.0)),
        ] {
            let error = changed(key, value);
            assert!(error.starts_with("group.") && error.contains(key) && !error.contains('\n'), "{error}");
        }
        assert!(changed("life_ms", json!("long")).starts_with("group: "));
        // A gateway that is not a voter has no address and no disk.
        assert!(
            read(&valid_settings(), "g1", "a").is_ok(),
            "a gateway that is to become a voter need not be in the list"
        );
        let mut member = valid_settings();
        (member["listen"], member["dir"]) = (Value::Null, Value::Null);
        assert!(read(&member, "g1", "a").is_ok());
        assert!(read(&member, "g0", "a").is_err());
    }
}
