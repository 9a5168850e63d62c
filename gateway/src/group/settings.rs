//! What the configuration says of the group: `group`, an object. Without it there is none.

use super::scout::duty;
use fennelscale_group::machine::Session;
use fennelscale_group::member::Want;
use fennelscale_group::voter::Node;
use fennelscale_group::{run, store};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The life of a session where nothing is said, and its bounds, in ms.
const DEFAULT_LIFE_MS: u64 = 6000;
const LIFE_RANGE_MS: std::ops::RangeInclusive<u64> = 1000..=60_000;
/// The share of the fleet that may be away by leave where nothing is said.
const DEFAULT_AWAY_RATIO: f64 = 0.1;
/// Duties besides the zone's own.
const MAX_DUTIES: usize = 16;
/// Letters of a name.
const MAX_NAME_LENGTH: usize = 64;

#[derive(Deserialize)]
struct File {
    name: String,
    voters: Vec<Voter>,
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
struct Voter {
    name: String,
    address: String,
}

/// The settings of a gateway's part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the group's own thread runs by.
    pub run: run::Settings,
    /// The share of the fleet that may be away by leave at once.
    pub away_at_once: f64,
    /// Whether words about backends are told and heard.
    pub scout: bool,
    /// Where each act under a duty is written down, for trials.
    pub acts: Option<PathBuf>,
}

impl Settings {
    /// Goes on without the other voters, all of whom are lost for good and named in `lost`. Gives what to tell.
    ///
    /// # Errors
    /// When this gateway is no voter, or its disk or the names will not do.
    pub fn rescue(&self, lost: &[String]) -> Result<String, String> {
        let Some((_, folder)) = &self.run.voter else { return Err("this gateway is no voter".into()) };
        let (me, group) = (&self.run.session.name, &self.run.group);
        let id = store::rescue(folder, me, group, lost).map_err(|error| error.to_string())?;
        Ok(format!("group {group}: {me} is its only voter now, with number {id}; GROUP ADD takes others in"))
    }
}

/// Reads the object; `me` and `zone` are the gateway's.
///
/// # Errors
/// One line that names the place, when a value cannot be used.
pub fn read(value: &Value, me: &str, zone: &str) -> Result<Settings, String> {
    let file = File::deserialize(value).map_err(|error| format!("group: {error}"))?;
    let is_valid_name =
        |name: &str| (1..=MAX_NAME_LENGTH).contains(&name.len()) && !name.contains(char::is_whitespace);
    let invalid = |what: &str| Err(format!("group.{what}"));
    if !is_valid_name(&file.name) || !is_valid_name(me) {
        return invalid("name: 1 to 64 letters without blanks, of the group and of the gateway");
    }
    if ![1, 3, 5].contains(&file.voters.len()) {
        return invalid("voters: 1, 3 or 5 of them");
    }
    let names: BTreeSet<&str> = file.voters.iter().map(|voter| voter.name.as_str()).collect();
    if names.len() != file.voters.len() || !names.iter().all(|name| is_valid_name(name)) {
        return invalid("voters: each has a name of its own");
    }
    if let Some(voter) = file.voters.iter().find(|voter| voter.address.parse::<SocketAddr>().is_err()) {
        return Err(format!("group.voters: {}: no address, or an unusable one", voter.name));
    }
    let life = file.life_ms.unwrap_or(DEFAULT_LIFE_MS);
    if !LIFE_RANGE_MS.contains(&life) {
        return invalid("life_ms: 1000 to 60000");
    }
    let away_at_once = file.away_at_once.unwrap_or(DEFAULT_AWAY_RATIO);
    if !(away_at_once > 0.0 && away_at_once <= 1.0) {
        return invalid("away_at_once: above 0 and up to 1");
    }
    if file.duties.len() > MAX_DUTIES || !file.duties.iter().all(|duty| is_valid_name(duty)) {
        return invalid("duties: up to 16 names of 1 to 64 letters without blanks");
    }
    let listen = file.listen.as_ref().map(|text| text.parse::<SocketAddr>());
    let voter = match (listen, file.dir) {
        (Some(Ok(listen)), Some(dir)) => Some((listen, dir)),
        (None, None) if !names.contains(me) => None,
        (Some(Err(_)), _) => return invalid("listen: an unusable address"),
        _ => return invalid("listen, group.dir: a voter needs both, and another gateway neither"),
    };
    let scout = (file.scout && !zone.is_empty()).then(|| duty(zone));
    let wants = file.duties.into_iter().chain(scout).map(|duty| Want { duty, rank: 0 }).collect();
    let voters = file.voters.into_iter().map(|v| Node { name: v.name, address: v.address }).collect();
    let session =
        Session { name: me.to_owned(), zone: zone.to_owned(), version: env!("CARGO_PKG_VERSION").to_owned() };
    let life = Duration::from_millis(life);
    let run = run::Settings { group: file.name, session, wants, voters, life, voter };
    Ok(Settings { run, away_at_once, scout: file.scout, acts: file.acts })
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
    fn unusable_values_are_named_in_one_line() {
        assert!(read(&valid_settings(), "g0", "a").is_ok());
        let changed = |key: &str, value: Value| {
            let mut file = valid_settings();
            file[key] = value;
            read(&file, "g0", "a").expect_err(key)
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
        // A gateway that is no voter has no address and no disk.
        assert!(read(&valid_settings(), "g1", "a").is_ok(), "a voter to be, that the list does not name yet");
        let mut member = valid_settings();
        (member["listen"], member["dir"]) = (Value::Null, Value::Null);
        assert!(read(&member, "g1", "a").is_ok());
        assert!(read(&member, "g0", "a").is_err());
    }
}
