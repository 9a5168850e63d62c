//! The operator's configuration changes: which of them may be in force at a given time. Each change adds a route; a
//! probe requests this route to find out whether the change is in force.

use crate::history::{Event, Record};
use crate::judge::{Rule, TimeBounds, Violations};
use std::collections::{BTreeMap, BTreeSet};

/// One change that the operator sent. Times are in microseconds on the history's clock.
struct Change {
    /// Version that the change creates.
    version: u64,
    /// Version that the change is based on.
    base: u64,
    valid: bool,
    /// Versions of the changes whose routes the configuration contains. Each valid change adds one route.
    routes: Vec<u64>,
    sent: u64,
    /// Time of the acknowledgement.
    acked: Option<u64>,
    /// Time and HTTP status of the rejection.
    rejected: Option<(u64, u16)>,
}

impl Change {
    /// Whether the change may be in force. A valid change without a definite answer may have been committed.
    fn may_be_in_force(&self) -> bool {
        self.valid && self.rejected.is_none()
    }
}

/// A request on the route that a change added.
struct Probe {
    version: u64,
    machine: usize,
    sent: u64,
    at: u64,
    route_found: bool,
}

/// All changes with their observations.
#[derive(Default)]
pub(crate) struct Changes {
    /// All changes by version.
    all: BTreeMap<u64, Change>,
    probes: Vec<Probe>,
    /// Final configuration of each control plane: time, machine, version if there was an answer, and whether the
    /// content equals the content sent under this version.
    reads: Vec<(u64, usize, Option<u64>, bool)>,
}

impl Changes {
    pub(crate) fn from_records(records: &[Record]) -> Self {
        let mut changes = Self::default();
        for Record { at, event } in records {
            match event {
                Event::ChangeSent { version, base, valid, routes } => {
                    let (version, base, valid) = (*version, *base, *valid);
                    let new = Change {
                        version,
                        base,
                        valid,
                        routes: routes.clone(),
                        sent: *at,
                        acked: None,
                        rejected: None,
                    };
                    changes.all.insert(version, new);
                }
                Event::Acked { version } => {
                    changes.all.get_mut(version).into_iter().for_each(|c| c.acked = Some(*at));
                }
                Event::ChangeRejected { version, status } => {
                    changes.all.get_mut(version).into_iter().for_each(|c| c.rejected = Some((*at, *status)));
                }
                Event::Probed { version, machine, sent, status: status @ (200 | 404) } => {
                    let (version, machine, sent, route_found) = (*version, *machine, *sent, *status == 200);
                    changes.probes.push(Probe { version, machine, sent, at: *at, route_found });
                }
                Event::Read { machine, version, same } => {
                    changes.reads.push((*at, *machine, *version, *same))
                }
                _ => {}
            }
        }
        changes
    }

    /// The newest change acknowledged by `by`.
    fn newest_acked(&self, by: u64) -> Option<&Change> {
        let acked = |change: &&Change| change.acked.is_some_and(|at| at <= by);
        self.all.values().filter(acked).max_by_key(|change| change.version)
    }

    pub(crate) fn judge(&self, bounds: &TimeBounds, violations: &mut Violations<'_>) {
        self.check_answers(violations);
        for probe in &self.probes {
            self.check_probe(probe, bounds, violations);
        }
        self.check_read_back(violations);
    }

    fn check_answers(&self, violations: &mut Violations<'_>) {
        let mut acked_by_base = BTreeMap::new();
        for change in self.all.values() {
            let Change { version, base, .. } = change;
            if let Some(at) = change.acked {
                if !change.valid {
                    violations.add(Rule::Config, at, || format!("r{version} is invalid and acknowledged"));
                } else if let Some(other) = acked_by_base.insert(*base, *version) {
                    violations.add(Rule::Config, at, || {
                        format!("r{other} and r{version} are both acknowledged on r{base}")
                    });
                }
            }
            // A valid change on the newest version, without a competing change that may have won, must not be rejected.
            if let Some((at, status)) = change.rejected.filter(|_| change.valid) {
                let rival = |c: &&Change| c.version != *version && c.base == *base && c.may_be_in_force();
                let newest = self.newest_acked(change.sent).map(|c| c.version) == Some(*base);
                if newest && !self.all.values().any(|c| rival(&c)) {
                    violations.add(Rule::Config, at, || {
                        format!("r{version} is valid on r{base} but was rejected: {status}")
                    });
                }
            }
        }
    }

    /// Checks that an undisturbed machine answered a probe by a configuration that may have been in force: the newest
    /// one acknowledged at least [`TimeBounds::apply`] before the probe, or a newer one.
    fn check_probe(&self, probe: &Probe, bounds: &TimeBounds, violations: &mut Violations<'_>) {
        let Probe { version, machine, sent, at, route_found } = *probe;
        if !violations.disruptions.undisturbed(Some(machine), sent.saturating_sub(bounds.apply), at) {
            return;
        }
        let Some(base) = self.newest_acked(sent.saturating_sub(bounds.apply)) else { return };
        let newer = |c: &&Change| c.version > base.version && c.sent <= at && c.may_be_in_force();
        let mut possible = std::iter::once(base).chain(self.all.values().filter(newer));
        if !possible.any(|change| change.routes.contains(&version) == route_found) {
            let state = if route_found { "is there" } else { "is not there" };
            violations.add(Rule::Config, at, || {
                format!("machine {}: the route of r{version} {state}", machine + 1)
            });
        }
    }

    /// Acknowledged changes must be readable at the end, as they were sent.
    fn check_read_back(&self, violations: &mut Violations<'_>) {
        let Some(newest) = self.newest_acked(u64::MAX) else { return };
        let older = |read: &Option<u64>| read.is_some_and(|version| version < newest.version);
        let at = self.reads.last().map_or(0, |(at, ..)| *at);
        let version = newest.version;
        if !self.reads.is_empty() && self.reads.iter().all(|(_, _, read, _)| older(read)) {
            return violations
                .add(Rule::Lost, at, || format!("r{version} was acknowledged and is on no control plane"));
        }
        let known: BTreeSet<_> =
            self.all.values().filter(|c| c.may_be_in_force()).map(|c| c.version).collect();
        for (at, machine, read, same) in &self.reads {
            let machine = machine + 1;
            match read {
                Some(read) if *read >= version && *same && known.contains(read) => {}
                Some(read) => violations.add(Rule::Config, *at, || {
                    let how = if *same { "" } else { " with other contents than sent" };
                    format!("machine {machine} returned r{read}{how}, although r{version} was acknowledged")
                }),
                None => violations
                    .add(Rule::Config, *at, || format!("machine {machine} returned no configuration")),
            }
        }
    }
}
