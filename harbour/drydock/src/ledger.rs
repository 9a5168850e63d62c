//! What was sent, what arrived, what ran and what was answered, and the judge who reads it.

use crate::plan::{KINDS, TENANTS};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Tries that are kept; a demo is bounded far below that.
const MOST: usize = 4_000_000;
/// The window of quotas, and how far beyond them is still in order.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_EXCESS: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;
/// The window of further tries, their share of the requests, and what may come on top.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 66;
/// A request is noted when our own task gets to it, which on a busy machine is some time after it came.
const LATE_NOTES: Duration = Duration::from_millis(100);

/// A try, as its client sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Index of its kind, for those that are on the first routes.
    pub kind: Option<usize>,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Whether it may run more than once.
    pub pure: bool,
}

/// What a backend sees of a request.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Id of the try.
    pub id: Option<u64>,
    /// Service of the backend.
    pub service: &'a str,
    /// The tenant that it is told of.
    pub tenant: Option<&'a str>,
    /// Whether it was shown a key.
    pub key: bool,
    /// Method, path and body are as the client sent them.
    pub unchanged: bool,
    /// When the backend's drain was acknowledged and the time for it was over.
    pub left_alone_since: Option<Instant>,
}

/// Everything that must not happen, and how often it did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Requests that may run once ran more often.
    pub twice: u64,
    /// They were refused and ran all the same.
    pub refused_ran: u64,
    /// Successes without the seal of the backend that ran them, with another body or another id.
    pub mixed: u64,
    /// Requests at a backend after it was drained.
    pub drained: u64,
    /// Runs whose tenant is not the one whose key the client has.
    pub tenant: u64,
    /// Runs that were shown the key.
    pub key: u64,
    /// Runs of what no client sent, or not so.
    pub unasked: u64,
    /// Runs at a service that the route never named.
    pub route: u64,
    /// Proper requests that were answered 3xx or 4xx other than refusals.
    pub denied: u64,
    /// Tenants who got more than their quota in some window.
    pub quota: u64,
    /// Services that got too many further tries in some window.
    pub budget: u64,
    /// What the operator found wrong.
    pub config: u64,
}

impl Faults {
    /// Each with its name.
    pub fn lines(&self) -> [(u64, &'static str); 12] {
        [
            (self.twice, "effectful requests that ran twice"),
            (self.refused_ran, "effectful requests that were refused and ran"),
            (self.mixed, "successes without the backend's seal, body or id"),
            (self.drained, "requests at a backend after it was drained"),
            (self.tenant, "runs with a wrong X-Tenant"),
            (self.key, "runs that were shown the key"),
            (self.unasked, "runs of what no client sent, or not so"),
            (self.route, "runs at a service that the route never named"),
            (self.denied, "proper requests that were denied"),
            (self.quota, "tenants beyond their quota in some 5 s"),
            (self.budget, "services with too many further tries in some 10 s"),
            (self.config, "faults of configurations"),
        ]
    }

    /// How many there are.
    pub fn total(&self) -> u64 {
        self.lines().iter().map(|(count, _)| count).sum()
    }
}

/// How a tenant used its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Use {
    /// Requests that clients had for it, each counted once.
    pub asked: u64,
    /// Runs.
    pub ran: u64,
    /// The most that ran in one window.
    pub peak: u64,
    /// What the window allows.
    pub bound: u64,
    /// How far runs went beyond rate x time + burst at the worst, over any span.
    pub beyond: f64,
}

/// What the judge says.
#[derive(Clone, Debug, Default)]
pub struct Judged {
    /// What must not be.
    pub faults: Faults,
    /// Lines about it.
    pub lines: Vec<String>,
    /// Use of quotas, by tenant.
    pub uses: Vec<Use>,
    /// What came too late: on a busy machine that says little.
    pub late: Vec<String>,
}

struct Try {
    sent: Sent,
    service: Option<&'static str>,
    arrivals: u32,
    runs: u32,
    refused: bool,
}

#[derive(Default)]
struct Notes {
    tries: HashMap<u64, Try>,
    faults: Faults,
    asked: [u64; TENANTS.len()],
    /// Moments of arrivals that ran, by tenant.
    runs: [Vec<Instant>; TENANTS.len()],
    /// Moments when requests for a service arrived for the first time, and again.
    first: HashMap<&'static str, Vec<Instant>>,
    again: HashMap<&'static str, Vec<Instant>>,
    lines: Vec<String>,
    late: Vec<String>,
}

/// All notes.
#[derive(Default)]
pub struct Ledger(Mutex<Notes>);

impl Ledger {
    fn notes(&self) -> MutexGuard<'_, Notes> {
        // Notes are whole between two calls, whoever panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client has a request for a tenant.
    pub fn asked(&self, tenant: usize) {
        self.notes().asked[tenant] += 1;
    }

    /// A client is about to send a try. False when there is no room to note it.
    pub fn sent(&self, id: u64, sent: Sent) -> bool {
        let mut notes = self.notes();
        if notes.tries.len() >= MOST {
            return false;
        }
        notes.tries.insert(id, Try { sent, service: None, arrivals: 0, runs: 0, refused: false });
        true
    }

    /// A request reached a backend that is the one it was meant for.
    pub fn arrived(&self, arrival: &Arrival<'_>) {
        let now = Instant::now();
        let service = crate::plan::SERVICES.iter().map(|(label, _)| *label).find(|s| *s == arrival.service);
        let mut notes = self.notes();
        let Notes { tries, faults, first, again, .. } = &mut *notes;
        if arrival.left_alone_since.is_some_and(|since| now > since + LATE_NOTES) {
            faults.drained += 1;
        }
        let Some(noted) = arrival.id.and_then(|id| tries.get_mut(&id)) else { return };
        noted.arrivals += 1;
        if let Some(service) = service {
            let seen = if noted.arrivals == 1 { first } else { again };
            seen.entry(service).or_default().push(now);
            noted.service = Some(service);
        }
    }

    /// A backend begins to work on it.
    pub fn runs(&self, arrival: &Arrival<'_>, arrived: Instant) {
        let mut notes = self.notes();
        let Notes { tries, faults, runs, lines, .. } = &mut *notes;
        if arrival.key {
            faults.key += 1;
        }
        let Some(noted) = arrival.id.and_then(|id| tries.get_mut(&id)) else {
            faults.unasked += 1;
            return;
        };
        noted.runs += 1;
        if !arrival.unchanged {
            faults.unasked += 1;
        }
        let tenant = noted.sent.tenant.map(|tenant| TENANTS[tenant].label);
        if tenant != arrival.tenant {
            faults.tenant += 1;
            lines.push(format!("X-Tenant {:?} where {tenant:?} was due", arrival.tenant));
        }
        if let Some(kind) = noted.sent.kind
            && !KINDS[kind].targets.iter().any(|(target, _)| *target == arrival.service)
        {
            faults.route += 1;
        }
        if let Some(tenant) = noted.sent.tenant {
            runs[tenant].push(arrived);
        }
    }

    /// A client was refused: the system promises that the request has not run and never will.
    pub fn refused(&self, id: u64) {
        if let Some(noted) = self.notes().tries.get_mut(&id) {
            noted.refused = true;
        }
    }

    /// A success that is not the backend's.
    pub fn mixed(&self, line: String) {
        let mut notes = self.notes();
        notes.faults.mixed += 1;
        notes.lines.push(line);
    }

    /// A proper request was denied.
    pub fn denied(&self, line: String) {
        let mut notes = self.notes();
        notes.faults.denied += 1;
        notes.lines.push(line);
    }

    /// Something is wrong with configurations.
    pub fn config(&self, line: String) {
        let mut notes = self.notes();
        notes.faults.config += 1;
        notes.lines.push(line);
    }

    /// Something came too late.
    pub fn late(&self, line: String) {
        self.notes().late.push(line);
    }

    /// Reads everything.
    pub fn judge(&self) -> Judged {
        let mut notes = self.notes();
        let mut faults = notes.faults.clone();
        let mut lines = std::mem::take(&mut notes.lines);
        for (id, noted) in notes.tries.iter().filter(|(_, noted)| !noted.sent.pure) {
            if noted.runs > 1 {
                faults.twice += 1;
                lines.push(format!("{id:016x} ran {} times", noted.runs));
            }
            if noted.refused && noted.runs > 0 {
                faults.refused_ran += 1;
                lines.push(format!("{id:016x} was refused and ran"));
            }
        }
        let mut uses = Vec::new();
        for (index, tenant) in TENANTS.iter().enumerate() {
            let runs = &mut notes.runs[index];
            runs.sort_unstable();
            let bound = quota_bound(tenant.rate, tenant.burst);
            let (ran, peak) = (runs.len() as u64, most_within(runs, QUOTA_WINDOW));
            if peak > bound {
                faults.quota += 1;
                lines.push(format!("{}: {peak} runs in 5 s where {bound} are allowed", tenant.label));
            }
            let beyond = beyond(&notes.runs[index], tenant.rate, tenant.burst);
            uses.push(Use { asked: notes.asked[index], ran, peak, bound, beyond });
        }
        let Notes { first, again, .. } = &mut *notes;
        for (service, again) in again {
            let first = first.entry(service).or_default();
            first.sort_unstable();
            again.sort_unstable();
            if over_budget(first, again) {
                faults.budget += 1;
                lines.push(format!("{service}: {} further tries for {} requests", again.len(), first.len()));
            }
        }
        Judged { faults, lines, uses, late: notes.late.clone() }
    }
}

/// The most that may run in a window.
fn quota_bound(rate: f64, burst: f64) -> u64 {
    ((rate * QUOTA_WINDOW.as_secs_f64() + burst) * QUOTA_EXCESS + QUOTA_SLACK) as u64
}

/// The most of these sorted moments that lie in one window.
fn most_within(moments: &[Instant], window: Duration) -> u64 {
    let mut begin = 0;
    let mut most = 0;
    for (end, moment) in moments.iter().enumerate() {
        while *moment - moments[begin] >= window {
            begin += 1;
        }
        most = most.max(end - begin + 1);
    }
    most as u64
}

/// How far the worst span of these sorted moments goes beyond rate x its length + burst; negative where none does.
fn beyond(moments: &[Instant], rate: f64, burst: f64) -> f64 {
    let Some(first) = moments.first() else { return -burst };
    let mut least = f64::INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for (index, moment) in moments.iter().enumerate() {
        // A span from i to j holds j - i + 1: both ends become one figure each.
        let figure = index as f64 - rate * (*moment - *first).as_secs_f64();
        least = least.min(figure);
        worst = worst.max(figure - least + 1.0 - burst);
    }
    worst
}

/// Whether some window holds more further tries than its requests, or those of the window before it, allow.
fn over_budget(first: &[Instant], again: &[Instant]) -> bool {
    let count = |moments: &[Instant], from: Instant, to: Instant| {
        let before = |moment: &Instant| *moment < from;
        let until = |moment: &Instant| *moment <= to;
        moments.partition_point(until).saturating_sub(moments.partition_point(before)) as u64
    };
    let earlier = |moment: Instant, by: Duration| moment.checked_sub(by).unwrap_or(moment);
    again.iter().any(|&end| {
        let begin = earlier(end, RETRY_WINDOW);
        let tries = count(again, begin, end);
        if tries <= RETRY_SLACK {
            return false;
        }
        let half = RETRY_WINDOW / 2;
        let requests = [Duration::ZERO, half, RETRY_WINDOW]
            .map(|back| count(first, earlier(begin, back), earlier(end, back)));
        let most = requests.into_iter().max().unwrap_or(0);
        tries as f64 > RETRY_RATIO * most as f64 + RETRY_SLACK as f64
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrival(id: u64) -> Arrival<'static> {
        Arrival {
            id: Some(id),
            service: "customs",
            tenant: Some("cutter"),
            key: false,
            unchanged: true,
            left_alone_since: None,
        }
    }

    fn duty(ledger: &Ledger, id: u64) {
        assert!(ledger.sent(id, Sent { kind: Some(3), tenant: Some(2), pure: false }));
    }

    fn run(ledger: &Ledger, arrival: &Arrival<'_>) {
        ledger.arrived(arrival);
        ledger.runs(arrival, Instant::now());
    }

    #[test]
    fn what_is_in_order_is_no_fault() {
        let ledger = Ledger::default();
        duty(&ledger, 1);
        run(&ledger, &arrival(1));
        duty(&ledger, 2);
        ledger.refused(2);
        let Judged { faults, lines, uses, .. } = ledger.judge();
        assert_eq!((faults.total(), lines.len()), (0, 0));
        assert_eq!((uses[2].ran, uses[2].peak), (1, 1));
    }

    #[test]
    fn each_fault_is_counted() {
        let ledger = Ledger::default();
        for id in 1..=5 {
            duty(&ledger, id);
        }
        run(&ledger, &arrival(1));
        run(&ledger, &arrival(1));
        run(&ledger, &arrival(2));
        ledger.refused(2);
        run(&ledger, &Arrival { tenant: Some("albatross"), key: true, ..arrival(3) });
        run(&ledger, &Arrival { service: "chandler", unchanged: false, ..arrival(4) });
        run(&ledger, &arrival(99));
        let long_ago = Instant::now().checked_sub(LATE_NOTES * 2).expect("the machine is up for longer");
        ledger.arrived(&Arrival { left_alone_since: Some(long_ago), ..arrival(5) });
        let due = Faults {
            twice: 1,
            refused_ran: 1,
            tenant: 1,
            key: 1,
            unasked: 2,
            route: 1,
            drained: 1,
            ..Faults::default()
        };
        assert_eq!(ledger.judge().faults, due);
    }

    #[test]
    fn windows_slide() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let moments = [at(0), at(4000), at(4900), at(5000), at(8000)];
        assert_eq!(most_within(&moments, QUOTA_WINDOW), 4);
        assert_eq!(most_within(&[], QUOTA_WINDOW), 0);
        assert_eq!(quota_bound(30.0, 30.0), 218);
        // Three within 100 ms at 10 a second: one more than the second that the span allows with a burst of 1.
        let burst = [at(0), at(2000), at(2050), at(2100)];
        assert!((beyond(&burst, 10.0, 1.0) - 1.0).abs() < 1e-9);
    }

    #[test]
    fn further_tries_have_a_budget() {
        let start = Instant::now();
        let at = |n: u64| start + Duration::from_secs(60) + Duration::from_millis(n);
        let first: Vec<_> = (0..100).map(at).collect();
        let again: Vec<_> = (0..86).map(|n| at(100 + n)).collect();
        assert!(!over_budget(&first, &again));
        let again: Vec<_> = (0..87).map(|n| at(100 + n)).collect();
        assert!(over_budget(&first, &again));
    }
}
