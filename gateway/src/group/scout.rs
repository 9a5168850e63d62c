//! Words about backends: what any gateway finds out of one, the scout of its zone tells all others, who are told of
//! it as an event to the decisions. A scout is a duty: one gateway of the zone has it at a time, and every word
//! carries its fence.
//!
//! Nothing is decided here. Bounds: each gateway reports on a backend at most once a second and at most
//! [`MOST_REPORTS`] times a second in all; a scout writes one record of at most [`MOST_WORDS`] words, five times a
//! second at the most, and only when there are new ones.

use super::Group;
use doorcourse::Name;
use fennelscale_group::lease::Fences;
use fennelscale_group::member::Order;
use fennelscale_group::voter::{Answer, View};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A duty's name is this and the zone's.
const DUTY: &str = "scout:";
/// Reports of one gateway a second, and the least time between two on one backend.
const MAX_REPORTS_PER_SECOND: u32 = 20;
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Words in one record.
const MAX_RECORD_REPORTS: usize = 64;
/// How often a scout looks for reports.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The duty of a zone's scout.
pub fn duty(zone: &str) -> String {
    format!("{DUTY}{zone}")
}

/// A word about one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HealthReport {
    backend: String,
    down: bool,
}

/// What a record holds: the number of its last word, and the last ones in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HealthReports {
    last_number: u64,
    reports: VecDeque<HealthReport>,
}

impl HealthReports {
    fn add(&mut self, report: HealthReport) {
        self.last_number += 1;
        self.reports.push_back(report);
        if self.reports.len() > MAX_RECORD_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The words after a number.
    fn after(&self, number: u64) -> impl Iterator<Item = &HealthReport> {
        let new = (self.last_number - number.min(self.last_number)) as usize;
        self.reports.iter().skip(self.reports.len().saturating_sub(new))
    }
}

/// This gateway's ears and mouth.
pub struct Scout {
    group: Rc<Group>,
    zone: String,
    /// What the decisions are to be told.
    on_report: Box<dyn Fn(Name, bool)>,
    /// When each backend was last reported on, and as what.
    reported: RefCell<BTreeMap<Name, (Instant, bool)>>,
    report_budget: Cell<u32>,
    seen: RefCell<BTreeMap<String, (u64, u64)>>,
    fences: RefCell<Fences>,
}

impl Scout {
    /// Starts listening and, whenever this gateway has its zone's duty, telling.
    pub fn start(group: Rc<Group>, zone: &str, on_report: impl Fn(Name, bool) + 'static) -> Rc<Self> {
        let scout = Rc::new(Self {
            group,
            zone: zone.into(),
            on_report: Box::new(on_report),
            reported: RefCell::default(),
            report_budget: Cell::new(MAX_REPORTS_PER_SECOND),
            seen: RefCell::default(),
            fences: RefCell::default(),
        });
        tokio::task::spawn_local(scout.clone().receive_reports());
        tokio::task::spawn_local(scout.clone().run_scout());
        scout
    }

    /// The decisions found something out of a backend.
    pub fn report_health(&self, backend: Name, zone: &str, down: bool) {
        let now = Instant::now();
        let mut reported = self.reported.borrow_mut();
        reported.retain(|_, (at, _)| now < *at + MIN_REPORT_INTERVAL);
        let known = reported.get(&backend).is_some_and(|(_, as_what)| *as_what == down);
        if known || self.report_budget.get() == 0 {
            return;
        }
        reported.insert(backend.clone(), (now, down));
        self.report_budget.set(self.report_budget.get() - 1);
        self.group.report_counts.update(|(received, sent)| (received, sent + 1));
        let Ok(payload) = postcard::to_stdvec(&HealthReport { backend: backend.to_string(), down }) else {
            return;
        };
        let (group, duty) = (self.group.clone(), duty(zone));
        tokio::task::spawn_local(async move { group.order(Order::Report(duty, payload)).await });
    }

    /// Tells the decisions what scouts say.
    async fn receive_reports(self: Rc<Self>) {
        let handle = loop {
            match self.group.handle() {
                Some(handle) => break handle,
                None => sleep(POLL_INTERVAL).await,
            }
        };
        let mut updates = handle.news();
        drop(handle);
        let mut first = true;
        while updates.changed().await.is_ok() {
            let view = updates.borrow_and_update().view.clone();
            if view.revision > 0 {
                self.apply_records(&view, std::mem::take(&mut first));
            }
        }
    }

    /// The words in a view that are new; what the first one holds may be long over.
    fn apply_records(&self, view: &View, first: bool) {
        for (key, (duty, fence, value)) in view.records.iter().filter(|(key, _)| key.starts_with(DUTY)) {
            // A record that outlived its scout says nothing more; one under an older fence never counts.
            if !self.fences.borrow_mut().takes(duty, *fence) {
                continue;
            }
            let Ok(reports) = postcard::from_bytes::<HealthReports>(value) else { continue };
            let mut seen = self.seen.borrow_mut();
            let (record_fence, number) =
                seen.entry(key.clone()).or_insert((*fence, if first { reports.last_number } else { 0 }));
            let after = if record_fence == fence { *number } else { 0 };
            (*record_fence, *number) = (*fence, reports.last_number);
            let new: Vec<HealthReport> = reports.after(after).cloned().collect();
            drop(seen);
            self.group.report_counts.update(|(received, sent)| (received + new.len() as u64, sent));
            new.into_iter().for_each(|report| (self.on_report)(report.backend.into(), report.down));
        }
    }

    /// Passes on what comes in, while this gateway has the duty.
    async fn run_scout(self: Rc<Self>) {
        let duty = duty(&self.zone);
        let mut reports = HealthReports::default();
        let mut current_fence = 0;
        let mut polls = 0;
        loop {
            sleep(POLL_INTERVAL).await;
            polls += 1;
            if polls % (1000 / POLL_INTERVAL.as_millis()) == 0 {
                self.report_budget.set(MAX_REPORTS_PER_SECOND);
            }
            let Some(fence) = self.group.guard(&duty).and_then(|guard| guard.may_act()) else { continue };
            if std::mem::replace(&mut current_fence, fence) != fence {
                reports = HealthReports::default();
            }
            let Answer::Notes(notes) = self.group.order(Order::Collect(duty.clone())).await else { continue };
            let before = reports.last_number;
            for payload in &notes {
                // The last word on a backend is the one that counts.
                if let Ok(report) = postcard::from_bytes::<HealthReport>(payload) {
                    reports.add(report);
                }
            }
            if reports.last_number > before
                && let Ok(value) = postcard::to_stdvec(&reports)
            {
                // Lost, it is made up for by the next one: reports go on for as long as there is a reason.
                self.group.order(Order::Write(duty.clone(), duty.clone(), value)).await;
            }
        }
    }
}
