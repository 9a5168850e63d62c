//! The data plane's side: a gateway's blocks of each tenant's count.

mod tenant;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::source::{PROBE, Source};
use crate::{Epoch, Grant, HolderAssignment, LeaseRequest, Millis, Quota, Share, Standing, Terms, Want};

/// The weight of the newest window in smoothed demand.
const NEWEST: f64 = 0.4;
/// A block covers this much of the demand expected until the window's end: demand comes unevenly.
const AMPLE: f64 = 1.15;
/// A block is renewed when less than this share of the demand until the window's end is left of it.
const RENEW: f64 = 0.35;
/// Tenants with less demand than this in a window are asked for as requests come: blocks taken ahead would mostly end
/// unused.
const AHEAD: f64 = 1.0;
/// A tenant without requests for this long is forgotten and starts anew.
const IDLE: Millis = 20_000.0;
/// Slices stop this long after the last word of any holder: by then the fleet's size is anyone's guess.
const SLICES_FOR: Millis = 30_000.0;
/// A count that is on its way between holders is asked for again after this long.
const AGAIN: Millis = 15.0;
/// Requests that may wait, for one tenant and in all.
const WAIT_MOST: usize = 512;
const WAIT_MOST_ALL: usize = 4096;
/// Refused requests are told to come back after the window's end, spread over this share of a window.
const SPREAD: f64 = 0.25;

/// The answer to a request that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Granted,
    /// A block was asked for; the verdict comes from `granted` or `tick`, at the latest at this time.
    Wait {
        /// By when the request has its verdict.
        until: Millis,
    },
    /// Block and count are spent.
    Refused {
        /// The span after which it is worth trying again.
        retry_after: Millis,
    },
}

/// What a tenant's cache says to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantFigures {
    /// The tenant's name.
    pub tenant: String,
    /// Units of the block in hand.
    pub block: u32,
    /// Smoothed requests per window.
    pub demand: f64,
    /// Requests that wait for a block.
    pub waiting: usize,
    /// Requests granted since the tenant was configured.
    pub granted: u64,
    /// Requests refused since then.
    pub refused: u64,
    /// Of those granted, how many by slices.
    pub by_slice: u64,
}

#[derive(Debug, Default)]
struct Tenant {
    /// None sets no limit.
    terms: Option<Terms>,
    burst: f64,
    block: u32,
    window: u64,
    /// Until when the block holds and what the holder said of the window counts.
    ends_at: Millis,
    /// Units got and spent of the block's window.
    got: u32,
    spent: u32,
    /// What the window's count had left when last heard.
    left: u32,
    waiting: VecDeque<(u64, Millis)>,
    in_flight: Option<u64>,
    wanted: bool,
    back: u32,
    /// The place of its holder among the sources.
    source: usize,
    /// Its count is on its way between holders: not to be asked for before.
    later_until: Millis,
    /// A holder that grants nothing yet has left the gateway its slices until then.
    slices_until: Millis,
    slice: f64,
    slice_ends: Millis,
    slice_used: u32,
    /// Whether the count has to be charged for the slice: its holder gave no answer, and grants all to others meanwhile.
    slice_is_owed: bool,
    /// Units of slices whose windows are over, and of which the count knows nothing yet.
    slice_debt: u32,
    /// So much of it stands in the draw on its way.
    slice_debt_told: u32,
    known: bool,
    demand: f64,
    asked: f64,
    demand_from: Millis,
    asked_at: Millis,
    granted: u64,
    refused: u64,
    by_slice: u64,
}

/// The leases of all tenants at one gateway.
#[derive(Debug)]
pub struct Cache {
    tenants: BTreeMap<String, Tenant>,
    gateways: f64,
    seed: u64,
    numbers: u64,
    epoch: Epoch,
    assignment: HolderAssignment,
    /// The holders, in the order of the assignment; never empty.
    sources: Vec<Source>,
    last_word: Option<Millis>,
    /// Planted by tests: grants of an older epoch are taken.
    ignores_epoch: bool,
    waiting: usize,
    /// Nothing is spent or drawn any more.
    closed: bool,
}

impl Cache {
    /// An empty cache. The seed spreads what is left to lots.
    pub fn new(seed: u64) -> Self {
        Self {
            tenants: BTreeMap::new(),
            gateways: 1.0,
            seed,
            numbers: 0,
            epoch: Epoch::default(),
            assignment: HolderAssignment::default(),
            sources: vec![Source::new("")],
            last_word: None,
            ignores_epoch: false,
            waiting: 0,
            closed: false,
        }
    }

    /// Takes a configuration. Blocks that are out end with their windows; tenants that are gone are dropped, and the
    /// requests that waited for them are refused at the next `tick`.
    pub fn quotas(&mut self, now: Millis, quotas: Vec<Quota>) {
        let mut old = std::mem::take(&mut self.tenants);
        for quota in quotas {
            let mut tenant =
                old.remove(&quota.tenant).unwrap_or_else(|| Tenant { demand_from: now, ..Tenant::default() });
            tenant.terms = Terms::of(&quota);
            tenant.source = self.assignment.place_of(&quota.tenant).unwrap_or(0);
            tenant.burst = quota.burst.max(0.0);
            self.tenants.insert(quota.tenant, tenant);
        }
        // Waiting requests need their verdict: their tenants stay, without a limit or a unit, until they have it.
        for (name, mut tenant) in old.into_iter().filter(|(_, t)| !t.waiting.is_empty()) {
            tenant.gone(now);
            self.tenants.insert(name, tenant);
        }
    }

    /// Takes an assignment: who holds what, unless it is an older one. Draws on their way to others are given up, and
    /// grants of an older epoch refused from now on.
    pub fn assignment(&mut self, assignment: &HolderAssignment) {
        if assignment.epoch < self.epoch || assignment.holders.is_empty() || *assignment == self.assignment {
            return;
        }
        self.turn(assignment.epoch);
        let old = std::mem::take(&mut self.sources);
        let mut old: Vec<Option<Source>> = old.into_iter().map(Some).collect();
        for name in &assignment.holders {
            let kept =
                old.iter_mut().find(|s| s.as_ref().is_some_and(|s| *s.name == **name)).and_then(Option::take);
            self.sources.push(kept.unwrap_or_else(|| Source::new(name)));
        }
        for source in old.into_iter().flatten() {
            for number in source.numbers() {
                self.free_flights(number);
            }
        }
        self.assignment = assignment.clone();
        for (name, t) in &mut self.tenants {
            t.source = assignment.place_of(name).unwrap_or(0);
            t.later_until = 0.0;
        }
    }

    /// The newest assignment that it was told.
    pub fn holders(&self) -> &HolderAssignment {
        &self.assignment
    }

    #[doc(hidden)]
    pub fn plant_ignored_epoch(&mut self) {
        self.ignores_epoch = true;
    }

    /// A newer epoch: units of an older one go back to nobody.
    fn turn(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.tenants.values_mut().for_each(|t| (t.back, t.slice_debt) = (0, 0));
        }
    }

    /// Takes the number of gateways in all.
    pub fn fleet(&mut self, gateways: u32) {
        self.gateways = f64::from(gateways.max(1));
    }

    /// A process that serves control says how many gateways there are, and whether it has heard the leader just now. One
    /// that has not may know of few: by its word slices grow smaller only.
    pub fn fleet_told(&mut self, now: Millis, gateways: u32, fresh: bool) {
        if fresh {
            self.fleet(gateways);
            self.word(now);
        } else {
            self.gateways = self.gateways.max(f64::from(gateways));
        }
    }

    /// Ends admission for good: requests that wait are refused, and nothing is spent or drawn from now on. Blocks in hand
    /// lapse with their windows.
    pub fn close(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        self.closed = true;
        self.waiting = 0;
        let mut seed = self.seed;
        for t in self.tenants.values_mut() {
            for (request, _) in std::mem::take(&mut t.waiting) {
                out.push((request, t.refuse(now, lot(&mut seed))));
            }
        }
        self.seed = seed;
    }

    /// A holder was heard of otherwise than by a grant: slices may go on.
    pub fn word(&mut self, now: Millis) {
        self.last_word = Some(now);
    }

    /// A request asks for a unit of its tenant.
    pub fn ask(&mut self, now: Millis, request: u64, tenant: &str, wait_at_most: Millis) -> Verdict {
        let lot = self.lot();
        let (gateways, slices) = (self.gateways, self.may_slice(now));
        let full = self.waiting >= WAIT_MOST_ALL;
        let Some(t) = self.tenants.get_mut(tenant) else { return Verdict::Refused { retry_after: 1000.0 } };
        let silent = self.sources.get_mut(t.source).is_some_and(|source| source.is_silent(now));
        if t.terms.is_none() {
            t.granted += 1;
            return Verdict::Granted;
        }
        if self.closed {
            return t.refuse(now, lot);
        }
        t.roll(now);
        t.asked += 1.0;
        t.asked_at = now;
        if t.waiting.is_empty() && t.spend() {
            let ahead = t.ahead(now);
            t.wanted |= t.left > 0 && ahead >= AHEAD && f64::from(t.block) < ahead * RENEW;
            return Verdict::Granted;
        }
        if t.spent_out(now) {
            return t.refuse(now, lot);
        }
        if silent || now < t.slices_until {
            t.wanted |= now >= t.slices_until;
            if slices {
                t.open_slice(now, gateways, lot);
            }
            return if slices && t.spend_slice() { Verdict::Granted } else { t.refuse(now, lot) };
        }
        if full || t.waiting.len() >= WAIT_MOST {
            return t.refuse(now, lot);
        }
        t.wanted = true;
        let until = now + wait_at_most.max(0.0);
        t.waiting.push_back((request, until));
        self.waiting += 1;
        Verdict::Wait { until }
    }

    /// A waiting request is gone; it needs no verdict.
    pub fn left(&mut self, request: u64) {
        for t in self.tenants.values_mut() {
            if let Some(at) = t.waiting.iter().position(|(r, _)| *r == request) {
                t.waiting.remove(at);
                self.waiting -= 1;
                return;
            }
        }
    }

    /// A request that was granted has not been run. Its unit can be spent again in its own window only; later it goes
    /// back to the count, which knows how much a window may hold.
    pub fn give_back(&mut self, now: Millis, tenant: &str) {
        let Some(t) = self.tenants.get_mut(tenant) else { return };
        t.roll(now);
        if t.spent > 0 {
            t.spent -= 1;
            t.block += 1;
        } else if now < t.slice_ends && t.slice_used > 0 {
            t.slice_used -= 1;
            t.slice += 1.0;
        } else {
            t.back = t.back.saturating_add(1);
        }
    }

    /// What is to be sent now, and to which holder: one message for all tenants of it.
    pub fn draw(&mut self, now: Millis) -> Vec<(Rc<str>, LeaseRequest)> {
        let mut draws: Vec<(usize, LeaseRequest)> = Vec::new();
        if self.closed {
            return Vec::new();
        }
        let (gateways, epoch) = (self.gateways, self.epoch);
        for (name, t) in &mut self.tenants {
            let Some(terms) = t.terms else { continue };
            if t.in_flight.is_some() || now < t.slices_until || now < t.later_until {
                continue;
            }
            t.roll(now);
            t.wanted &= !t.spent_out(now);
            if !t.wants(now) && t.slice_debt == 0 {
                continue;
            }
            if !self.sources.get_mut(t.source).is_some_and(|source| source.may_be_asked(now)) {
                continue;
            }
            let (need, add) = if t.wants(now) { t.size(now, terms, gateways) } else { (0, 0) };
            t.wanted = false;
            if add < 1 && t.slice_debt == 0 {
                continue;
            }
            t.slice_debt_told = t.slice_debt;
            let need = if t.slice_debt > 0 { add.saturating_add(t.slice_debt) } else { need };
            let at = draws.iter().position(|(place, _)| *place == t.source).unwrap_or_else(|| {
                self.numbers += 1;
                draws.push((t.source, LeaseRequest { number: self.numbers, epoch, wants: Vec::new() }));
                draws.len() - 1
            });
            if let Some((_, draw)) = draws.get_mut(at) {
                t.in_flight = Some(draw.number);
                draw.wants.push(Want { tenant: name.clone(), need, add, back: std::mem::take(&mut t.back) });
            }
        }
        // Units that go back are worth no message of their own.
        for (place, draw) in &mut draws {
            for (name, t) in &mut self.tenants {
                if t.back > 0 && t.source == *place && t.in_flight.is_none() && t.terms.is_some() {
                    let back = std::mem::take(&mut t.back);
                    draw.wants.push(Want { tenant: name.clone(), need: 0, add: 0, back });
                }
            }
        }
        let mut out = Vec::with_capacity(draws.len());
        for (place, draw) in draws {
            if let Some(source) = self.sources.get_mut(place) {
                source.asked(now, draw.number);
                out.push((source.name.clone(), draw));
            }
        }
        out
    }

    /// A holder's answer. That of a former holder, or to a draw given up, is ignored: its units stay counted until
    /// their window ends, and nobody spends them.
    pub fn granted(&mut self, now: Millis, grant: Grant, out: &mut Vec<(u64, Verdict)>) {
        let found = self.sources.iter_mut().find_map(|source| Some((source.take(grant.number)?, source)));
        let Some((sent, source)) = found else { return };
        if grant.epoch < self.epoch && !self.ignores_epoch {
            // It may not have heard of the newest assignment yet; without it its lease soon ends.
            for t in self.tenants.values_mut().filter(|t| t.in_flight == Some(grant.number)) {
                t.later_until = now + AGAIN;
            }
            return self.free_flights(grant.number);
        }
        source.answered();
        self.turn(grant.epoch);
        self.last_word = Some(now);
        let gateways = self.gateways;
        for share in grant.shares {
            let lot = self.lot();
            let Some(t) = self.tenants.get_mut(&share.tenant).filter(|t| t.in_flight == Some(grant.number))
            else {
                continue;
            };
            t.in_flight = None;
            t.take(now, sent.at, &share);
            let before = t.waiting.len();
            t.serve(now, gateways, lot, out);
            self.waiting -= before - t.waiting.len();
        }
        self.free_flights(grant.number);
    }

    /// A draw is given up: its answer is not waited for any more, and the holder counts as silent until it answers.
    pub fn silent(&mut self, now: Millis, number: u64) {
        if let Some(source) = self.sources.iter_mut().find_map(|source| source.take(number).map(|_| source)) {
            source.falls_silent(now);
            self.free_flights(number);
        }
    }

    /// Time has passed: requests that have waited long enough get their verdict.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        while let Some(late) = self.sources.iter().find_map(|source| source.late(now)) {
            self.silent(now, late);
        }
        let (gateways, slices) = (self.gateways, self.may_slice(now));
        let mut seed = self.seed;
        for t in self.tenants.values_mut().filter(|t| !t.waiting.is_empty()) {
            t.roll(now);
            let silent = self.sources.get_mut(t.source).is_some_and(|source| source.is_silent(now));
            let before = t.waiting.len();
            let mut waiting = std::mem::take(&mut t.waiting);
            waiting.retain(|(request, until)| {
                let lot = lot(&mut seed);
                if t.spend() {
                    out.push((*request, Verdict::Granted));
                    return false;
                }
                if !silent && now < *until {
                    return true;
                }
                // The answer is late: the even slice is lent, and comes off the next block if one comes.
                if slices && !t.spent_out(now) {
                    t.open_slice(now, gateways, lot);
                    if t.spend_slice() {
                        out.push((*request, Verdict::Granted));
                        return false;
                    }
                }
                out.push((*request, t.refuse(now, lot)));
                false
            });
            t.waiting = waiting;
            self.waiting -= before - t.waiting.len();
        }
        self.seed = seed;
    }

    /// When `tick` and `draw` have something to do at the latest, if nothing comes before.
    pub fn next_due(&self) -> Option<Millis> {
        if self.closed {
            return None;
        }
        let mut due = self.sources.iter().fold(f64::INFINITY, |due, source| due.min(source.next_due()));
        for t in self.tenants.values() {
            due = t.waiting.iter().fold(due, |d, (_, until)| d.min(*until));
            if t.in_flight.is_none() && t.terms.is_some() {
                let probe = self.sources.get(t.source).filter(|source| source.was_silent());
                let from = probe.map_or(0.0, |source| source.next_probe).max(t.later_until);
                if t.wanted {
                    due = due.min(if probe.is_some() { from } else { from.max(t.slices_until) });
                }
                if t.ends_at > 0.0 && (t.demand >= AHEAD || t.slice_debt > 0) {
                    due = due.min(from.max(t.ends_at).max(t.slices_until));
                }
            }
        }
        due.is_finite().then_some(due)
    }

    /// What operators see of each tenant.
    pub fn figures(&self) -> Vec<TenantFigures> {
        let one = |(tenant, t): (&String, &Tenant)| TenantFigures {
            tenant: tenant.clone(),
            block: t.block,
            demand: t.demand,
            waiting: t.waiting.len(),
            granted: t.granted,
            refused: t.refused,
            by_slice: t.by_slice,
        };
        self.tenants.iter().map(one).collect()
    }

    fn free_flights(&mut self, number: u64) {
        for t in self.tenants.values_mut().filter(|t| t.in_flight == Some(number)) {
            t.in_flight = None;
            t.wanted |= !t.waiting.is_empty();
        }
    }

    fn may_slice(&self, now: Millis) -> bool {
        // Who has heard of a newer assignment than it knows may spend slices of a count that grants elsewhere.
        let knows = self.assignment.epoch >= self.epoch || self.assignment.holders.is_empty();
        knows && self.last_word.is_some_and(|at| now < at + SLICES_FOR)
    }

    fn lot(&mut self) -> f64 {
        lot(&mut self.seed)
    }
}

/// A number in 0 to 1 (splitmix64).
fn lot(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *seed;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
