//! What happens in the midst of a demo, and is over before its end.

use crate::backend::{Backend, path_of};
use crate::chance::{Chance, mix, wild};
use crate::control::Control;
use crate::fault::Fault;
use crate::fleet::Process;
use crate::ledger::{Ledger, Sent};
use crate::plan::{APPLY_MS, FIRST, HOST, KINDS, SERVICES, TENANTS, configuration};
use crate::report::Teller;
use crate::site::ZONES;
use bytes::Bytes;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How often it is looked whether something has come to pass.
const LOOKS: Duration = Duration::from_millis(20);
/// A killed harbourmaster comes back after this.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Zones stop for this long.
const STOPPED: Duration = Duration::from_secs(3);
/// By how much the small tenant's load grows.
pub const GREED: f64 = 5.0;
/// A change has to be acknowledged within this.
const ACK: Duration = Duration::from_secs(5);
/// At the end each harbourmaster has this long to say what it holds.
const READ: Duration = Duration::from_secs(20);
/// A process that has come back has to have caught up by then.
const CATCH_UP: Duration = Duration::from_secs(8);

/// A trouble.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Everything is calm.
    #[default]
    None,
    /// The leading harbourmaster is killed and comes back.
    Leader,
    /// The same, and its disk is lost.
    Disk,
    /// All processes of one zone stop for a while.
    Zone,
    /// The backends are replaced one by one.
    Release,
    /// The operator changes the configuration all the time.
    Config,
    /// A tenant asks far more than its quota.
    Quota,
}

/// The troubles, by name.
pub const TROUBLES: [(&str, Trouble); 7] = [
    ("none", Trouble::None),
    ("leader", Trouble::Leader),
    ("disk", Trouble::Disk),
    ("zone", Trouble::Zone),
    ("release", Trouble::Release),
    ("config", Trouble::Config),
    ("quota", Trouble::Quota),
];

impl FromStr for Trouble {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = TROUBLES.iter().find(|(name, _)| *name == text);
        found.map(|(_, trouble)| *trouble).ok_or_else(|| {
            let names: Vec<_> = TROUBLES.iter().map(|(name, _)| *name).collect();
            format!("{text:?} is none of {}", names.join(", "))
        })
    }
}

/// Everything that a trouble can get at.
pub struct Scene {
    /// The harbourmasters.
    pub masters: Vec<Process>,
    /// Their folders.
    pub data: Vec<PathBuf>,
    /// The quays, one on each machine.
    pub quays: Vec<Process>,
    /// Where clients go, on each machine.
    pub fronts: Vec<SocketAddr>,
    /// Whom backends and the operator call.
    pub control: Control,
    /// The backends of the moment.
    pub backends: Vec<Arc<Backend>>,
    /// The judge's notes.
    pub ledger: Arc<Ledger>,
    /// Prints.
    pub teller: Teller,
    /// The newest configuration that was acknowledged.
    pub newest: Value,
    /// Its number.
    pub version: u64,
    /// The highest number that was ever sent: none is used twice, so that each names one body.
    pub highest: u64,
    /// For how long there is load.
    pub lasts: Duration,
    /// The demo's seed.
    pub seed: u64,
}

impl Scene {
    /// Plays a trouble; returns when everything has been put right again.
    ///
    /// # Errors
    /// When a process cannot be started again.
    pub async fn play(&mut self, trouble: Trouble) -> Result<(), Fault> {
        let start = Instant::now();
        match trouble {
            Trouble::None | Trouble::Quota => Ok(()),
            Trouble::Leader => self.leader(start, false).await,
            Trouble::Disk => self.leader(start, true).await,
            Trouble::Zone => {
                self.zone(start).await;
                Ok(())
            }
            Trouble::Release => self.release(start).await,
            Trouble::Config => {
                self.changes(start).await;
                Ok(())
            }
        }
    }

    async fn leader(&mut self, start: Instant, disk: bool) -> Result<(), Fault> {
        sleep_until(start + self.lasts.div_f64(4.0).min(Duration::from_secs(3))).await;
        let Some(leader) = self.control.leader().await else {
            self.ledger.late("no harbourmaster says that it leads".to_owned());
            return Ok(());
        };
        let killed = Instant::now();
        self.masters[leader].kill().await;
        let name = self.masters[leader].name().to_owned();
        if disk {
            let folder = &self.data[leader];
            std::fs::remove_dir_all(folder).map_err(Fault::file(folder))?;
            std::fs::create_dir_all(folder).map_err(Fault::file(folder))?;
        }
        self.teller.say(format!("{name} leads: killed{}", if disk { ", and its disk is lost" } else { "" }));
        let (control, teller) = (self.control.clone(), self.teller);
        // The operator does not wait until there is a leader again.
        let change = self.change(None, |_| ());
        let elected = async move {
            while killed.elapsed() < ACK {
                if let Some(next) = control.leader().await {
                    let ms = killed.elapsed().as_millis();
                    teller.say(format!(
                        "the harbourmaster of machine {} leads, {ms} ms after the kill",
                        next + 1
                    ));
                    return;
                }
                sleep(LOOKS).await;
            }
        };
        let (acknowledged, ()) = tokio::join!(change, elected);
        let ms = killed.elapsed().as_millis();
        if acknowledged {
            self.teller
                .say(format!("r{}, sent at once, was acknowledged within {ms} ms of the kill", self.version));
        }
        sleep_until(killed + BACK_AFTER).await;
        let back = Instant::now();
        self.masters[leader].restart()?;
        self.teller.say(format!("{name} starts again"));
        let due = format!("r{}", self.version);
        loop {
            let status = self.control.status(self.control.addresses()[leader]).await;
            if status
                .is_some_and(|status| status["version"] == due.as_str() && status["log"]["voter"] == true)
            {
                let ms = back.elapsed().as_millis();
                self.teller.say(format!("{name} knows {due} and votes again after {ms} ms"));
                return Ok(());
            }
            if back.elapsed() > CATCH_UP {
                let late = format!(
                    "{name} does not know {due} or has no vote, {} s after its start",
                    CATCH_UP.as_secs()
                );
                self.teller.say(&late);
                self.ledger.late(late);
                return Ok(());
            }
            sleep(LOOKS).await;
        }
    }

    async fn zone(&mut self, start: Instant) {
        sleep_until(start + self.lasts.div_f64(4.0).min(Duration::from_secs(3))).await;
        let zone = ZONES[0];
        let there = |machine: &usize| ZONES[*machine] == zone;
        let quays = || self.quays.iter().enumerate().filter(|(m, _)| there(m)).map(|(_, quay)| quay);
        let masters = || self.masters.iter().enumerate().filter(|(m, _)| there(m)).map(|(_, master)| master);
        quays().chain(masters()).for_each(|process| process.signal(Signal::STOP));
        let names: Vec<_> = quays().chain(masters()).map(Process::name).collect();
        self.teller.say(format!("zone {zone} stops: {}", names.join(", ")));
        sleep(STOPPED).await;
        quays().chain(masters()).for_each(|process| process.signal(Signal::CONT));
        self.teller.say(format!("zone {zone} goes on"));
    }

    async fn release(&mut self, start: Instant) -> Result<(), Fault> {
        let begin = self.lasts.div_f64(8.0).min(Duration::from_secs(2));
        // A drain takes its time after the last replacement.
        let room = self.lasts.saturating_sub(begin + Duration::from_secs(3)).max(Duration::from_secs(1));
        let pace = (room / self.backends.len() as u32).min(Duration::from_secs(2));
        let mut leaving = JoinSet::new();
        for index in 0..self.backends.len() {
            sleep_until(start + begin + pace * index as u32).await;
            let old = self.backends[index].clone();
            let number = mix(self.seed ^ (index as u64 + 1) << 32);
            let ledger = Some(self.ledger.clone());
            let new =
                Backend::start(&old.service, &old.zone, number, false, self.control.clone(), ledger).await?;
            self.teller
                .say(format!("{} of {}: {} takes over from {}", old.zone, old.service, new.id, old.id));
            self.backends[index] = new;
            leaving.spawn(async move { old.leave().await });
        }
        while let Some(left) = leaving.join_next().await {
            if !left.unwrap_or(false) {
                self.ledger.late("a backend's leave was not acknowledged".to_owned());
            }
        }
        self.teller.say("all old backends have left");
        Ok(())
    }

    /// Numbers rise by uneven steps.
    fn next(&mut self) -> u64 {
        self.highest += 1 + self.highest % 3;
        self.highest
    }

    /// Sends the next change: a further route. True when it was acknowledged.
    async fn change(&mut self, first: Option<SocketAddr>, more: impl FnOnce(&mut Value)) -> bool {
        let version = self.next();
        let mut next = self.newest.clone();
        next["generation"] = json!(format!("r{version}"));
        add_route(&mut next, version);
        more(&mut next);
        let body = Bytes::from(next.to_string());
        let answer = self.control.replace(first, self.version, &body, Instant::now() + ACK).await;
        match answer {
            Some(answer) if answer.status.is_success() => {
                (self.newest, self.version) = (next, version);
                true
            }
            Some(answer) => {
                self.ledger.config(format!("r{version} on r{}: {}", self.version, answer.status));
                false
            }
            None => {
                self.ledger.late(format!("r{version}: no acknowledgement in {} s", ACK.as_secs()));
                // Without a clear answer it may be in force or not; what can be read is what holds.
                let read = self.control.read(Instant::now() + ACK).await;
                if read.as_ref() == Some(&next) {
                    (self.newest, self.version) = (next, version);
                }
                false
            }
        }
    }

    async fn changes(&mut self, start: Instant) {
        let begin = start + self.lasts.div_f64(8.0).min(Duration::from_secs(1));
        // What the last one changes has to be in force before the end.
        let until = start + self.lasts.saturating_sub(Duration::from_millis(APPLY_MS));
        let pace = Duration::from_millis(350);
        let mut chance = Chance::new(self.seed, 3);
        let mut checks = JoinSet::new();
        let (mut taken, mut raced, mut refused) = (0, 0, 0);
        let mut slowest = Duration::ZERO;
        for round in 0.. {
            let at = begin + pace * round;
            if at >= until {
                break;
            }
            sleep_until(at).await;
            match round % 4 {
                1 => refused += u32::from(self.invalid(round as usize / 4).await),
                3 => {
                    if let Some((won, lost)) = self.race(&mut chance).await {
                        raced += 1;
                        checks.spawn(self.check(won, true));
                        checks.spawn(self.check(lost, false));
                    }
                }
                _ => {
                    let sent = Instant::now();
                    if self.change(None, |_| ()).await {
                        taken += 1;
                        slowest = slowest.max(sent.elapsed());
                        checks.spawn(self.check(self.version, true));
                    }
                }
            }
        }
        while checks.join_next().await.is_some() {}
        let ms = slowest.as_millis();
        self.teller.say(format!(
            "{taken} changes acknowledged (slowest {ms} ms), {raced} races with one winner, {refused} invalid ones refused"
        ));
        // All added routes go again.
        let old = self.newest["route_table"].clone();
        let before = self.version;
        let first = configuration(FIRST);
        if self.change(None, |next| next["route_table"] = first["route_table"].clone()).await {
            let mut checks = JoinSet::new();
            let labels = old.as_object().into_iter().flat_map(|table| table.keys());
            for version in labels.filter_map(|label| label.strip_prefix("more-")?.parse().ok()).take(8) {
                checks.spawn(self.check(version, false));
            }
            while checks.join_next().await.is_some() {}
            self.teller.say(format!("r{} takes the routes up to r{before} away again", self.version));
        }
    }

    /// Two changes on top of one version: exactly one may win. The winner and the loser.
    async fn race(&mut self, chance: &mut Chance) -> Option<(u64, u64)> {
        let base = self.version;
        let (low, high) = (self.next(), self.next());
        let make = |version: u64| {
            let mut next = self.newest.clone();
            next["generation"] = json!(format!("r{version}"));
            add_route(&mut next, version);
            next
        };
        let (one, two) = (make(low), make(high));
        let (body_one, body_two) = (Bytes::from(one.to_string()), Bytes::from(two.to_string()));
        let addresses = self.control.addresses();
        let first = chance.below(addresses.len());
        let (here, there) = (addresses[first], addresses[(first + 1) % addresses.len()]);
        let until = Instant::now() + ACK;
        let (a, b) = tokio::join!(
            self.control.replace(Some(here), base, &body_one, until),
            self.control.replace(Some(there), base, &body_two, until)
        );
        let won =
            |answer: &Option<crate::wire::Answer>| answer.as_ref().is_some_and(|a| a.status.is_success());
        let (won_one, won_two) = (won(&a), won(&b));
        if a.is_none() || b.is_none() {
            self.ledger
                .late(format!("r{low} and r{high} raced on r{base}: no clear answer in {} s", ACK.as_secs()));
        } else if won_one == won_two {
            let both = if won_one { "both" } else { "neither" };
            self.ledger.config(format!("r{low} and r{high} raced on r{base}: {both} acknowledged"));
        }
        // One without a clear answer may have won all the same.
        let read = if won_one || won_two { None } else { self.control.read(Instant::now() + ACK).await };
        if won_two || read.as_ref() == Some(&two) {
            (self.newest, self.version) = (two, high);
        } else if won_one || read.as_ref() == Some(&one) {
            (self.newest, self.version) = (one, low);
        }
        match (won_one, won_two) {
            (true, false) => Some((low, high)),
            (false, true) => Some((high, low)),
            _ => None,
        }
    }

    /// An invalid change has to be refused.
    async fn invalid(&mut self, turn: usize) -> bool {
        let version = self.next();
        let mut next = self.newest.clone();
        next["generation"] = json!(format!("r{version}"));
        let what = spoil(&mut next, turn, self.version);
        let mut body = next.to_string();
        if what == CUT {
            body.truncate(body.len() / 2);
        }
        let body = Bytes::from(body);
        let answer = self.control.replace(None, self.version, &body, Instant::now() + ACK).await;
        match answer {
            Some(answer) if answer.status.is_client_error() => true,
            Some(answer) => {
                self.ledger.config(format!("{what}: {}", answer.status));
                false
            }
            None => {
                self.ledger.late(format!("{what}: no answer in {} s", ACK.as_secs()));
                false
            }
        }
    }

    /// Once a configuration has to be in force, its own route is there, or not there, on every quay.
    fn check(&self, version: u64, there: bool) -> impl Future<Output = ()> + Send + 'static {
        let (fronts, ledger) = (self.fronts.clone(), self.ledger.clone());
        async move {
            sleep(Duration::from_millis(APPLY_MS)).await;
            for front in fronts {
                match probe(front, version, &ledger).await {
                    Some(status) if (status == 404) == there => {
                        let wanted = if there { "is to be there" } else { "is not to be there" };
                        ledger.config(format!("{front}: the route of r{version} {wanted}: {status}"));
                    }
                    _ => {}
                }
            }
        }
    }

    /// At the end: every harbourmaster knows the newest configuration that was acknowledged.
    pub async fn read_back(&self) {
        for address in self.control.addresses() {
            let read = Control::new([*address]).read(Instant::now() + READ).await;
            match read {
                Some(read) if read == self.newest => {}
                Some(read) => {
                    let got = &read["generation"];
                    self.ledger.config(format!(
                        "{address}: reads back {got} where r{} was acknowledged",
                        self.version
                    ));
                }
                None => self.ledger.config(format!("{address}: reads back nothing")),
            }
        }
    }
}

const CUT: &str = "a configuration that breaks off";

/// Makes a valid configuration invalid in one of several ways.
fn spoil(next: &mut Value, turn: usize, current: u64) -> &'static str {
    let route = KINDS[0].label;
    let route = &mut next["route_table"][route];
    match turn % 8 {
        0 => {
            route["target"] = json!("nobody");
            "a route to an unknown service"
        }
        1 => {
            route["deadline_ms"] = json!(0);
            "a deadline of 0"
        }
        2 => CUT,
        3 => {
            let shares = [json!({ "target": SERVICES[0].0, "share": 0 })];
            *route = json!({ "authority": HOST, "path_prefix": "/none/", "variant": "pure", "deadline_ms": 1000,
                "goal_ms": 100, "rank": 0, "max_tries": 1, "public": true, "weighted": shares });
            "shares that add up to 0"
        }
        4 => {
            next["tenant_table"][TENANTS[0].label]["api_keys"] = json!([TENANTS[1].key]);
            "a key that two tenants share"
        }
        5 => {
            next["generation"] = json!(format!("r{current}"));
            next["limits"]["idle_timeout_ms"] = json!(14_000);
            "a number that is not above the current one"
        }
        6 => {
            route["authority"] = json!("");
            "an empty host"
        }
        _ => {
            route["deadline_ms"] = json!(600_001);
            "a deadline of more than ten minutes"
        }
    }
}

/// Every change adds a route of its own, by which it is known whether it is in force.
fn add_route(next: &mut Value, version: u64) {
    let service = SERVICES[version as usize % SERVICES.len()].0;
    next["route_table"][format!("more-{version}")] = json!({ "authority": HOST,
        "path_prefix": format!("/more-{version}/"), "variant": "pure", "deadline_ms": 1000, "goal_ms": 300,
        "rank": 3, "target": service, "max_tries": 2, "public": false });
}

/// A request on the route of one change; the status, once it says something about the route.
async fn probe(front: SocketAddr, version: u64, ledger: &Ledger) -> Option<u16> {
    let within = Duration::from_secs(1);
    for _ in 0..5 {
        let id = mix(wild());
        ledger.sent(id, Sent { kind: None, tenant: Some(0), pure: true });
        let (text, key) = (format!("{id:016x}"), format!("Bearer {}", TENANTS[0].key));
        let headers =
            [("Host", HOST), ("X-Attempt-Id", &*text), ("X-Deadline-Left", "1000"), ("Authorization", &*key)];
        let path = path_of(&format!("/more-{version}/"), id);
        let asked = crate::wire::call(front, "GET", &path, &headers, Bytes::new(), within);
        let status = timeout(within, asked).await.ok().flatten().map(|answer| answer.status.as_u16());
        if let Some(status @ (200 | 401 | 403 | 404)) = status {
            return Some(status);
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_valid_and_spoilt_ones_are_not() {
        let mut next = configuration(4);
        add_route(&mut next, 4);
        assert!(manifest::Config::parse(next.to_string().as_bytes()).is_ok());
        for turn in (0..8).filter(|turn| ![2, 5].contains(turn)) {
            let mut spoilt = next.clone();
            let what = spoil(&mut spoilt, turn, 3);
            assert!(manifest::Config::parse(spoilt.to_string().as_bytes()).is_err(), "{what}");
        }
    }

    #[test]
    fn troubles_have_names() {
        assert_eq!("disk".parse(), Ok(Trouble::Disk));
        assert!("Disk".parse::<Trouble>().is_err());
    }
}
