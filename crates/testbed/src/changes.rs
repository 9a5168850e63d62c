//! What the judge knows of the operator's changes: which may be in force when.

use crate::history::{Line, Seen};
use crate::judge::{Breaks, Rule, Terms};
use std::collections::{BTreeMap, BTreeSet};

struct Change {
    version: u64,
    base: u64,
    valid: bool,
    routes: Vec<u64>,
    sent: u64,
    acked: Option<u64>,
    turned: Option<(u64, u16)>,
}

impl Change {
    /// Whether it may be in force at some time: a change with no clear answer may be, or not.
    fn may_be(&self) -> bool {
        self.valid && self.turned.is_none()
    }
}

/// A request on the route of a change.
struct Probe {
    version: u64,
    machine: usize,
    sent: u64,
    at: u64,
    there: bool,
}

/// All changes, and what was seen of them.
#[derive(Default)]
pub(crate) struct Changes {
    all: BTreeMap<u64, Change>,
    probes: Vec<Probe>,
    reads: Vec<(u64, usize, Option<u64>, bool)>,
}

impl Changes {
    pub(crate) fn read(lines: &[Line]) -> Self {
        let mut changes = Self::default();
        for Line { at, seen } in lines {
            match seen {
                Seen::Order { version, base, valid, routes } => {
                    let (version, base, valid) = (*version, *base, *valid);
                    let new = Change {
                        version,
                        base,
                        valid,
                        routes: routes.clone(),
                        sent: *at,
                        acked: None,
                        turned: None,
                    };
                    changes.all.insert(version, new);
                }
                Seen::Acked { version } => {
                    changes.all.get_mut(version).into_iter().for_each(|c| c.acked = Some(*at));
                }
                Seen::Turned { version, status } => {
                    changes.all.get_mut(version).into_iter().for_each(|c| c.turned = Some((*at, *status)));
                }
                Seen::Probed { version, machine, sent, status: status @ (200 | 404) } => {
                    let (version, machine, sent, there) = (*version, *machine, *sent, *status == 200);
                    changes.probes.push(Probe { version, machine, sent, at: *at, there });
                }
                Seen::Read { machine, version, same } => changes.reads.push((*at, *machine, *version, *same)),
                _ => {}
            }
        }
        changes
    }

    /// The newest that was acknowledged by then.
    fn newest(&self, by: u64) -> Option<&Change> {
        let acked = |change: &&Change| change.acked.is_some_and(|at| at <= by);
        self.all.values().filter(acked).max_by_key(|change| change.version)
    }

    pub(crate) fn judge(&self, terms: &Terms, breaks: &mut Breaks<'_>) {
        self.orders(breaks);
        for probe in &self.probes {
            self.probe(probe, terms, breaks);
        }
        self.read_back(breaks);
    }

    fn orders(&self, breaks: &mut Breaks<'_>) {
        let mut taken = BTreeMap::new();
        for change in self.all.values() {
            let Change { version, base, .. } = change;
            if let Some(at) = change.acked {
                if !change.valid {
                    breaks.add(Rule::Config, at, || format!("r{version} is invalid and acknowledged"));
                } else if let Some(other) = taken.insert(*base, *version) {
                    breaks.add(Rule::Config, at, || {
                        format!("r{other} and r{version} are both acknowledged on r{base}")
                    });
                }
            }
            // On the newest version, with nobody who may have won, there is no reason for it.
            if let Some((at, status)) = change.turned.filter(|_| change.valid) {
                let rival = |c: &&Change| c.version != *version && c.base == *base && c.may_be();
                let newest = self.newest(change.sent).map(|c| c.version) == Some(*base);
                if newest && !self.all.values().any(|c| rival(&c)) {
                    breaks.add(Rule::Config, at, || format!("r{version}, valid on r{base}: {status}"));
                }
            }
        }
    }

    /// A machine in touch handles a request by a version that may be in force.
    fn probe(&self, probe: &Probe, terms: &Terms, breaks: &mut Breaks<'_>) {
        let Probe { version, machine, sent, at, there } = *probe;
        if !breaks.troubles.in_touch(Some(machine), sent.saturating_sub(terms.apply), at) {
            return;
        }
        let Some(base) = self.newest(sent.saturating_sub(terms.apply)) else { return };
        let newer = |c: &&Change| c.version > base.version && c.sent <= at && c.may_be();
        let mut possible = std::iter::once(base).chain(self.all.values().filter(newer));
        if !possible.any(|change| change.routes.contains(&version) == there) {
            let is = if there { "is there" } else { "is not there" };
            breaks.add(Rule::Config, at, || format!("machine {}: the route of r{version} {is}", machine + 1));
        }
    }

    /// What is acknowledged is there at the end, as it was sent.
    fn read_back(&self, breaks: &mut Breaks<'_>) {
        let Some(newest) = self.newest(u64::MAX) else { return };
        let older = |read: &Option<u64>| read.is_some_and(|version| version < newest.version);
        let at = self.reads.last().map_or(0, |(at, ..)| *at);
        let version = newest.version;
        if !self.reads.is_empty() && self.reads.iter().all(|(_, _, read, _)| older(read)) {
            return breaks.add(Rule::Lost, at, || format!("r{version} was acknowledged and exists nowhere"));
        }
        let known: BTreeSet<_> = self.all.values().filter(|c| c.may_be()).map(|c| c.version).collect();
        for (at, machine, read, same) in &self.reads {
            let machine = machine + 1;
            match read {
                Some(read) if *read >= version && *same && known.contains(read) => {}
                Some(read) => breaks.add(Rule::Config, *at, || {
                    let how = if *same { "" } else { ", not as it was sent" };
                    format!("machine {machine} reads back r{read}{how}, where r{version} was acknowledged")
                }),
                None => breaks.add(Rule::Config, *at, || format!("machine {machine} reads back nothing")),
            }
        }
    }
}
