//! Simulated operator: sends configuration changes, races of two changes and invalid changes, and reads the result. A
//! race is two changes to the same base version, of which the control planes may accept only one.

use crate::backend::request_path;
use crate::control::Control;
use crate::history::{Event, History};
use crate::http::Answer;
use crate::plan::{APPLY_MS, FIRST_VERSION, HOST, KINDS, SERVICES, TENANTS, configuration};
use crate::random::{SeededRandom, mix, random_seed};
use bytes::Bytes;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Timeout for the acknowledgement of a change.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout per control plane for reading the final configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(350);

/// The operator. No other party changes the configuration.
pub struct Operator {
    /// Client for the control planes.
    pub control: Control,
    /// Client address of each machine.
    pub fronts: Vec<SocketAddr>,
    /// History that events are recorded in.
    pub history: Arc<History>,
    /// The newest acknowledged configuration.
    pub newest: Value,
    /// Version of the newest acknowledged configuration.
    pub version: u64,
    /// The highest version sent so far. No version is reused, so each one identifies one body.
    highest: u64,
    /// Configurations without a definite answer, which may be in force.
    unresolved: Vec<(u64, Value)>,
}

/// Versions of the changes whose routes a configuration contains. Each valid change adds one route.
fn routes(of: &Value) -> Vec<u64> {
    let labels = of["route_table"].as_object().into_iter().flat_map(|table| table.keys());
    labels.filter_map(|label| label.strip_prefix("more-")?.parse().ok()).collect()
}

/// Version of a configuration.
fn version_of(of: &Value) -> Option<u64> {
    of["generation"].as_str()?.strip_prefix('r')?.parse().ok()
}

impl Operator {
    /// Creates an operator that has not sent the first configuration.
    pub fn new(control: Control, fronts: Vec<SocketAddr>, history: Arc<History>) -> Self {
        let newest = configuration(FIRST_VERSION);
        Self {
            control,
            fronts,
            history,
            newest,
            version: FIRST_VERSION,
            highest: FIRST_VERSION,
            unresolved: Vec::new(),
        }
    }

    /// Sends the first configuration. Returns `None` without a definite answer by `until`.
    pub async fn first(&self, until: Instant) -> Option<Answer> {
        let body = Bytes::from(self.newest.to_string());
        self.send(None, FIRST_VERSION, 0, &body, Vec::new(), until).await
    }

    /// Sends a change until the answer is definite, and records the exchange. Invalid changes have no routes.
    async fn send(
        &self, first: Option<SocketAddr>, version: u64, base: u64, body: &Bytes, routes: Vec<u64>,
        until: Instant,
    ) -> Option<Answer> {
        let valid = config::Config::parse(body).is_ok_and(|config| config.version.0 > base);
        self.history.record(Event::ChangeSent { version, base, valid, routes });
        let answer = self.control.replace(first, base, body, until).await;
        match &answer {
            Some(answer) if answer.status.is_success() => self.history.record(Event::Acked { version }),
            Some(answer) => {
                self.history.record(Event::ChangeRejected { version, status: answer.status.as_u16() })
            }
            None => false,
        };
        answer
    }

    /// Copies the newest configuration with a new version and a route of its own.
    fn next_configuration(&self, version: u64) -> Value {
        let mut next = self.newest.clone();
        next["generation"] = json!(format!("r{version}"));
        add_route(&mut next, version);
        next
    }

    /// Allocates a version; versions increase in uneven steps.
    fn allocate_version(&mut self) -> u64 {
        self.highest += 1 + self.highest % 3;
        self.highest
    }

    /// Sends a change with one more route. Returns whether the change was acknowledged.
    pub async fn change(&mut self, first: Option<SocketAddr>, modify: impl FnOnce(&mut Value)) -> bool {
        let version = self.allocate_version();
        let mut next = self.next_configuration(version);
        modify(&mut next);
        let body = Bytes::from(next.to_string());
        let answer =
            self.send(first, version, self.version, &body, routes(&next), Instant::now() + ACK_TIMEOUT).await;
        match answer {
            Some(answer) if answer.status.is_success() => {
                (self.newest, self.version) = (next, version);
                true
            }
            Some(_) => false,
            None => {
                self.history
                    .late(format!("r{version}: no acknowledgement within {} s", ACK_TIMEOUT.as_secs()));
                self.unresolved.push((version, next));
                self.resolve_unanswered().await;
                false
            }
        }
    }

    /// After a change without a definite answer, reads the configuration to learn whether the change is in force.
    async fn resolve_unanswered(&mut self) {
        let Some(read) = self.control.read(Instant::now() + ACK_TIMEOUT).await else { return };
        if let Some(version) = version_of(&read).filter(|version| *version > self.version)
            && self.unresolved.iter().any(|(_, body)| *body == read)
        {
            (self.newest, self.version) = (read, version);
        }
    }

    /// Sends valid, racing and invalid changes in turn until `until`. Returns a summary.
    pub async fn run_changes(&mut self, begin: Instant, until: Instant, seed: u64) -> String {
        let mut random = SeededRandom::new(seed, 3);
        let mut checks = JoinSet::new();
        let (mut acknowledged, mut races, mut rejected) = (0, 0, 0);
        let mut slowest = Duration::ZERO;
        for round in 0.. {
            let at = begin + CHANGE_INTERVAL * round;
            if at >= until {
                break;
            }
            sleep_until(at).await;
            match round % 4 {
                1 => rejected += u32::from(self.send_invalid_change(round as usize / 4).await),
                3 => {
                    if let Some((won, lost)) = self.race(&mut random).await {
                        races += 1;
                        checks.spawn(self.probe_when_in_force(won));
                        checks.spawn(self.probe_when_in_force(lost));
                    }
                }
                _ => {
                    let sent = Instant::now();
                    if self.change(None, |_| ()).await {
                        acknowledged += 1;
                        slowest = slowest.max(sent.elapsed());
                        checks.spawn(self.probe_when_in_force(self.version));
                    }
                }
            }
        }
        while checks.join_next().await.is_some() {}
        let ms = slowest.as_millis();
        format!(
            "{acknowledged} changes acknowledged (slowest {ms} ms), {races} races with one winner, {rejected} invalid changes rejected"
        )
    }

    /// Removes all added routes. Returns a summary.
    pub async fn remove_added_routes(&mut self) -> String {
        let old = routes(&self.newest);
        let before = self.version;
        let first = configuration(FIRST_VERSION);
        if !self.change(None, |next| next["route_table"] = first["route_table"].clone()).await {
            return format!("the routes up to r{before} were not removed");
        }
        let mut checks = JoinSet::new();
        for version in old.into_iter().take(8) {
            checks.spawn(self.probe_when_in_force(version));
        }
        while checks.join_next().await.is_some() {}
        format!("r{} removes the routes up to r{before}", self.version)
    }

    /// Sends two changes to the same base, of which only one may win. Returns the winner and the loser.
    async fn race(&mut self, random: &mut SeededRandom) -> Option<(u64, u64)> {
        let base = self.version;
        let (low, high) = (self.allocate_version(), self.allocate_version());
        let (one, two) = (self.next_configuration(low), self.next_configuration(high));
        let (body_one, body_two) = (Bytes::from(one.to_string()), Bytes::from(two.to_string()));
        let addresses = self.control.addresses();
        let first = random.below(addresses.len());
        let (first_address, second_address) = (addresses[first], addresses[(first + 1) % addresses.len()]);
        let until = Instant::now() + ACK_TIMEOUT;
        let (a, b) = tokio::join!(
            self.send(Some(first_address), low, base, &body_one, routes(&one), until),
            self.send(Some(second_address), high, base, &body_two, routes(&two), until)
        );
        let won = |answer: &Option<Answer>| answer.as_ref().is_some_and(|a| a.status.is_success());
        let (won_one, won_two) = (won(&a), won(&b));
        if a.is_none() || b.is_none() {
            let late = format!(
                "r{low} and r{high} raced on r{base}: no definite answer within {} s",
                ACK_TIMEOUT.as_secs()
            );
            self.history.late(late);
        }
        if won_two {
            (self.newest, self.version) = (two, high);
        } else if won_one {
            (self.newest, self.version) = (one, low);
        } else {
            self.unresolved.extend([(low, one), (high, two)]);
            self.resolve_unanswered().await;
        }
        match (won_one, won_two) {
            (true, false) => Some((low, high)),
            (false, true) => Some((high, low)),
            _ => None,
        }
    }

    /// Sends an invalid change, which must be rejected.
    async fn send_invalid_change(&mut self, variant: usize) -> bool {
        let version = self.allocate_version();
        let mut next = self.newest.clone();
        next["generation"] = json!(format!("r{version}"));
        let what = invalidate(&mut next, variant, self.version);
        let mut body = next.to_string();
        if what == TRUNCATED {
            body.truncate(body.len() / 2);
        }
        let (body, until) = (Bytes::from(body), Instant::now() + ACK_TIMEOUT);
        // An invalid change that reuses the current version in its body is still recorded under a new version.
        match self.send(None, version, self.version, &body, Vec::new(), until).await {
            Some(answer) => answer.status.is_client_error(),
            None => {
                self.history.late(format!("{what}: no answer within {} s", ACK_TIMEOUT.as_secs()));
                false
            }
        }
    }

    /// Waits until a configuration must be in force, then requests its route from every data plane.
    fn probe_when_in_force(&self, version: u64) -> impl Future<Output = ()> + Send + 'static {
        let (fronts, history) = (self.fronts.clone(), self.history.clone());
        async move {
            sleep(Duration::from_millis(APPLY_MS)).await;
            for (machine, front) in fronts.into_iter().enumerate() {
                probe(machine, front, version, &history).await;
            }
        }
    }

    /// Records the final configuration of each control plane.
    pub async fn read_back(&self) {
        for (machine, address) in self.control.addresses().iter().enumerate() {
            let read = Control::new([*address]).read(Instant::now() + READ_TIMEOUT).await;
            let sent =
                |read: &Value| *read == self.newest || self.unresolved.iter().any(|(_, body)| body == read);
            let (version, same) = (read.as_ref().and_then(version_of), read.as_ref().is_some_and(sent));
            self.history.record(Event::Read { machine, version, same });
        }
    }
}

const TRUNCATED: &str = "a truncated configuration";

/// Makes a valid configuration invalid in one of eight ways.
fn invalidate(next: &mut Value, variant: usize, current: u64) -> &'static str {
    let route = KINDS[0].label;
    let route = &mut next["route_table"][route];
    match variant % 8 {
        0 => {
            route["target"] = json!("nobody");
            "a route to an unknown service"
        }
        1 => {
            route["deadline_ms"] = json!(0);
            "a deadline of 0"
        }
        2 => TRUNCATED,
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
            "a version that is not above the current one"
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

/// Adds a route that identifies the change, so that probes can tell whether the change is in force.
fn add_route(next: &mut Value, version: u64) {
    let service = SERVICES[version as usize % SERVICES.len()].0;
    next["route_table"][format!("more-{version}")] = json!({ "authority": HOST,
        "path_prefix": format!("/more-{version}/"), "variant": "pure", "deadline_ms": 1000, "goal_ms": 300,
        "rank": 3, "target": service, "max_tries": 2, "public": false });
}

/// Requests the route of a change until the answer tells whether the route exists, and records the answer.
async fn probe(machine: usize, front: SocketAddr, version: u64, history: &History) {
    let within = Duration::from_secs(1);
    for _ in 0..5 {
        let id = mix(random_seed());
        history.record(Event::Sent { id, kind: None, tenant: Some(0), pure: true });
        let sent = history.at(Instant::now().into_std());
        let (text, key) = (format!("{id:016x}"), format!("Bearer {}", TENANTS[0].key));
        let headers =
            [("Host", HOST), ("X-Attempt-Id", &*text), ("X-Deadline-Left", "1000"), ("Authorization", &*key)];
        let path = request_path(&format!("/more-{version}/"), id);
        let call = crate::http::call(front, "GET", &path, &headers, Bytes::new(), within);
        let status = timeout(within, call).await.ok().flatten().map(|answer| answer.status.as_u16());
        if let Some(status @ (200 | 401 | 403 | 404)) = status {
            history.record(Event::Probed { version, machine, sent, status });
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_valid_unless_invalidated() {
        let mut next = configuration(4);
        add_route(&mut next, 4);
        assert!(config::Config::parse(next.to_string().as_bytes()).is_ok());
        for variant in (0..8).filter(|variant| ![2, 5].contains(variant)) {
            let mut invalid_configuration = next.clone();
            let what = invalidate(&mut invalid_configuration, variant, 3);
            assert!(config::Config::parse(invalid_configuration.to_string().as_bytes()).is_err(), "{what}");
        }
    }
}
