//! Health reports about backends. Every gateway reports backends that it finds down or up again to the scout of the
//! zone, which publishes the reports in a record for all gateways; each gateway passes new reports to its decision
//! engine. Being the scout is a duty: one gateway per zone holds the duty at a time, and each record carries the
//! fencing token of the duty.
//!
//! This module makes no decisions. Limits: each gateway reports on a backend at most once a second and sends at most
//! `MAX_REPORTS_PER_SECOND` reports a second; a scout writes a record of at most `MAX_RECORD_REPORTS` reports, at
//! most five times a second and only when there are new reports.

use super::GroupMembership;
use doorcourse::Name;
use fennelscale_group::lease::SeenFences;
use fennelscale_group::member::MemberRequest;
use fennelscale_group::voter::{GroupResponse, View};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of the duty's name, followed by the zone.
const DUTY: &str = "scout:";
/// Maximum number of reports of one gateway per second, and minimum interval between its reports on one backend.
const MAX_REPORTS_PER_SECOND: u32 = 20;
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of reports in a record.
const MAX_RECORD_REPORTS: usize = 64;
/// Interval at which a scout collects reports.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The name of the duty of a zone's scout.
pub fn duty(zone: &str) -> String {
    format!("{DUTY}{zone}")
}

/// A report on the health of one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HealthReport {
    backend: String,
    down: bool,
}

/// The content of a record: the latest reports in order, and the sequence number of the last one.
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

    /// The reports with sequence numbers above `number`.
    fn after(&self, number: u64) -> impl Iterator<Item = &HealthReport> {
        let new = (self.last_number - number.min(self.last_number)) as usize;
        self.reports.iter().skip(self.reports.len().saturating_sub(new))
    }
}

/// Sends, receives and, as the zone's scout, publishes health reports.
pub struct Scout {
    group: Rc<GroupMembership>,
    /// The zone of this gateway.
    zone: String,
    /// Called with each received report.
    on_report: Box<dyn Fn(Name, bool)>,
    /// When each backend was last reported, and whether as down.
    reported: RefCell<BTreeMap<Name, (Instant, bool)>>,
    /// Number of reports that this gateway may still send in the current second.
    report_budget: Cell<u32>,
    /// For each record, its fencing token and the sequence number of the last report passed to the decision engine.
    seen: RefCell<BTreeMap<String, (u64, u64)>>,
    /// The highest fencing token seen for each duty.
    fences: RefCell<SeenFences>,
}

impl Scout {
    /// Starts receiving reports and, whenever this gateway holds its zone's duty, publishing them.
    pub fn start(
        group: Rc<GroupMembership>, zone: &str, on_report: impl Fn(Name, bool) + 'static,
    ) -> Rc<Self> {
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

    /// Sends a finding of the decision engine about a backend to the zone's scout.
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
        tokio::task::spawn_local(async move { group.order(MemberRequest::SendNote(duty, payload)).await });
    }

    /// Passes published reports to the decision engine.
    async fn receive_reports(self: Rc<Self>) {
        let handle = loop {
            match self.group.handle() {
                Some(handle) => break handle,
                None => sleep(POLL_INTERVAL).await,
            }
        };
        let mut updates = handle.subscribe();
        drop(handle);
        let mut first = true;
        while updates.changed().await.is_ok() {
            let view = updates.borrow_and_update().view.clone();
            if view.revision > 0 {
                self.apply_records(&view, std::mem::take(&mut first));
            }
        }
    }

    /// Passes on the new reports in a view. Those in the first view are skipped, since they may be outdated.
    fn apply_records(&self, view: &View, first: bool) {
        for (key, (duty, fence, value)) in view.records.iter().filter(|(key, _)| key.starts_with(DUTY)) {
            // Ignores records with a fencing token older than one already seen: their scout has lost the duty.
            if !self.fences.borrow_mut().accept(duty, *fence) {
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

    /// Publishes collected reports while this gateway holds the duty.
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
            let Some(fence) = self.group.guard(&duty).and_then(|guard| guard.valid_fence()) else { continue };
            if std::mem::replace(&mut current_fence, fence) != fence {
                reports = HealthReports::default();
            }
            let GroupResponse::Notes(notes) =
                self.group.order(MemberRequest::CollectNotes(duty.clone())).await
            else {
                continue;
            };
            let before = reports.last_number;
            for payload in &notes {
                // Reports on the same backend stay in order, so receivers apply the latest one last.
                if let Ok(report) = postcard::from_bytes::<HealthReport>(payload) {
                    reports.add(report);
                }
            }
            if reports.last_number > before
                && let Ok(value) = postcard::to_stdvec(&reports)
            {
                // A lost record is superseded by the next one: reports are repeated as long as their cause lasts.
                self.group.order(MemberRequest::WriteRecord(duty.clone(), duty.clone(), value)).await;
            }
        }
    }
}
