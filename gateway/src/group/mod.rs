//! The gateway's membership in a group of gateways (crate `fennelscale_group`): started and stopped with the process,
//! shown by the console command `INFO`, controlled by operators with the console command `GROUP`. A separate thread runs
//! the group protocol; this module holds the handle of that thread. Failures of the group do not affect serving.
//!
//! A duty is a named role that at most one gateway of the group holds at a time, under a fencing token ("fence").

pub mod scout;
pub mod settings;

use fennelscale_group::clock::Clock;
use fennelscale_group::lease::Guard;
use fennelscale_group::member::MemberRequest;
use fennelscale_group::run::{Handle, start};
use fennelscale_group::state_machine::Reply;
use fennelscale_group::voter::{GroupRequest, GroupResponse, VoterEndpoint};
use serde_json::{Value, json};
use settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write as _;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Delay before a failed start is retried.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the duties of this gateway are polled, to log each gained and lost duty.
const DUTY_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a line is appended to the file of the setting `group.acts` for each duty that this gateway holds.
/// The emulator reads these files to check that no two gateways perform a duty under the same fence.
const ACT_INTERVAL: Duration = Duration::from_millis(20);
/// How long the process waits at shutdown for the group to acknowledge that the session is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// File descriptors of the group's thread: event loop, disk, connections to the voters and from the members.
pub const DESCRIPTORS: usize = 48;

/// A gateway's membership in a group.
pub struct GroupMembership {
    settings: Settings,
    /// Handle of the group's thread; `None` until the thread has started, and after [`Self::close`].
    handle: RefCell<Option<Rc<Handle>>>,
    /// Health reports that were received from scouts, and reports that were sent to scouts.
    report_counts: Cell<(u64, u64)>,
}

impl GroupMembership {
    /// Starts the membership in the background: the gateway serves meanwhile, and without a group as long as the start
    /// fails. A voter whose preceding process still runs cannot use its address and disk before that process has ended.
    pub fn start(settings: Settings) -> Rc<Self> {
        let group = Rc::new(Self { settings, handle: RefCell::default(), report_counts: Cell::default() });
        tokio::task::spawn_local(group.clone().run());
        group
    }

    async fn run(self: Rc<Self>) {
        let mut error_logged = false;
        loop {
            let settings = self.settings.run.clone();
            let log = |text: String| eprintln!("{text}");
            let started = tokio::task::spawn_blocking(move || start(settings, Clock::Boot, log)).await;
            match started {
                Ok(Ok(handle)) => {
                    *self.handle.borrow_mut() = Some(Rc::new(handle));
                    break;
                }
                Ok(Err(error)) if !std::mem::replace(&mut error_logged, true) => {
                    eprintln!(
                        "{error}; this gateway serves without the group until the group starts (logged once)"
                    );
                }
                _ => {}
            }
            sleep(START_RETRY_INTERVAL).await;
        }
        if self.settings.acts.is_some() {
            tokio::task::spawn_local(self.clone().write_acts());
        }
        self.log_duties().await;
    }

    /// Whether this gateway exchanges health reports about backends.
    pub fn scout_enabled(&self) -> bool {
        self.settings.scout
    }

    fn handle(&self) -> Option<Rc<Handle>> {
        self.handle.borrow().clone()
    }

    async fn order(&self, order: MemberRequest) -> GroupResponse {
        match self.handle() {
            Some(handle) => handle.request(order).await,
            None => GroupResponse::Unavailable,
        }
    }

    /// The guard of a duty, if this gateway holds the duty.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.handle()?.guard(duty)
    }

    /// Logs which duties are gained and lost.
    async fn log_duties(self: Rc<Self>) {
        let mut known: BTreeMap<String, u64> = BTreeMap::new();
        while let Some(handle) = self.handle() {
            let acting =
                handle.guards().into_iter().filter_map(|guard| Some((guard.valid_fence()?, guard.duty)));
            let now: BTreeMap<String, u64> = acting.map(|(fence, duty)| (duty, fence)).collect();
            for (duty, fence) in now.iter().filter(|(duty, fence)| known.get(*duty) != Some(fence)) {
                eprintln!("group: this gateway has the duty {duty}, fence {fence}");
            }
            for duty in known.keys().filter(|duty| !now.contains_key(*duty)) {
                eprintln!("group: this gateway has the duty {duty} no longer");
            }
            known = now;
            drop(handle);
            sleep(DUTY_POLL_INTERVAL).await;
        }
    }

    /// Test aid: for each duty that this gateway holds, periodically appends the time, the duty and the fence to the file
    /// `group.acts`, as long as the guard of the duty is valid.
    async fn write_acts(self: Rc<Self>) {
        let Some(path) = &self.settings.acts else { return };
        let mut file = match std::fs::OpenOptions::new().append(true).create(true).open(path) {
            Ok(file) => file,
            Err(error) => return eprintln!("group.acts: {}: {error}", path.display()),
        };
        while let Some(handle) = self.handle() {
            for guard in handle.guards() {
                // Reads the clock before the guard's check: if the process pauses in between, the written time must
                // not be later than the time of the check.
                let now = Clock::Boot.now();
                let Some(fence) = guard.valid_fence() else { continue };
                let line = format!("{} {} {fence}\n", now.as_micros(), guard.duty);
                let _ = file.write_all(line.as_bytes());
            }
            drop(handle);
            sleep(ACT_INTERVAL).await;
        }
    }

    /// The status that `INFO` shows.
    pub fn status(&self) -> Value {
        let Some(handle) = self.handle() else { return Value::Null };
        let (status, ms) = (handle.status(), |span: Duration| span.as_millis() as u64);
        let view = &status.view;
        let held = handle.guards().into_iter().map(|guard| {
            (guard.duty.clone(), json!({"fence": guard.fence(), "left_ms": guard.remaining().map_or(0, ms)}))
        });
        let duties = view.duties.iter().map(|(duty, (fence, holder))| {
            (duty.clone(), json!({"fence": fence, "holder": holder.as_ref().map(|(_, name)| name)}))
        });
        json!({
            "role": if self.settings.run.voter.is_some() { "voter" } else { "member" },
            "leader": view.leader,
            "term": view.term,
            "voters": view.voters,
            "sessions": view.sessions,
            "in_group": status.session.is_some(),
            "contact_age_ms": handle.contact_age().map(ms),
            "held": held.collect::<serde_json::Map<_, _>>(),
            "duties": duties.collect::<serde_json::Map<_, _>>(),
            "away": view.absent,
            "words": self.report_counts.get().0,
            "reports": self.report_counts.get().1,
        })
    }

    /// Maximum number of gateways with a planned absence (a restart, for instance) at the same time: the share
    /// `away_at_once` of the gateways with an open session, and at least 1.
    fn max_away(&self) -> u32 {
        let sessions = self.handle().map_or(0, |handle| handle.status().view.sessions);
        ((sessions as f64 * self.settings.away_at_once) as u32).max(1)
    }

    /// Executes an operator's command: the words after `GROUP`.
    pub async fn execute(&self, args: &[&str]) -> String {
        let answer = match args {
            [] | ["STATUS"] => return format!("{}\nEND", self.status()),
            ["GIVE", duty] => self.order(MemberRequest::ReleaseDuty((*duty).into(), None)).await,
            ["GIVE", duty, to] => {
                self.order(MemberRequest::ReleaseDuty((*duty).into(), Some((*to).into()))).await
            }
            ["TURN"] => self.order(MemberRequest::RequestAbsence(self.max_away())).await,
            ["ADD", name, address] => {
                let node = VoterEndpoint { name: (*name).into(), address: (*address).into() };
                self.order(MemberRequest::ChangeVoters(GroupRequest::AddVoter(node))).await
            }
            ["REMOVE", name] => {
                self.order(MemberRequest::ChangeVoters(GroupRequest::RemoveVoter((*name).into()))).await
            }
            _ => {
                return "NO such call: GROUP STATUS, GIVE DUTY [NAME], TURN, ADD NAME ADDRESS or REMOVE NAME"
                    .into();
            }
        };
        match answer {
            GroupResponse::Reply(Reply::Done) | GroupResponse::Done => "YES it is done".into(),
            GroupResponse::Reply(Reply::AbsenceLimitReached(away)) => format!("NO {away} are away already"),
            GroupResponse::Reply(Reply::NoSession) => "NO the group knows no such gateway".into(),
            GroupResponse::Reply(Reply::NotHeld { .. }) => "NO this gateway no longer has that duty".into(),
            GroupResponse::Refused(why) => format!("NO {why}"),
            GroupResponse::Unavailable => "NO answer from the group: it may have been done or not".into(),
            GroupResponse::SessionEnded
            | GroupResponse::Renewed
            | GroupResponse::Notes(_)
            | GroupResponse::Reply(_) => "NO the group does not know this gateway".into(),
        }
    }

    /// Announces the shutdown: this gateway counts as absent, releases its duties at once so that other gateways can
    /// claim the duties, and claims no more.
    pub async fn drain(&self) {
        self.order(MemberRequest::RequestAbsence(u32::MAX)).await;
        self.order(MemberRequest::SetEligible(false)).await;
    }

    /// Leaves the group at the end of the process, and waits at most `CLOSE_TIMEOUT` for the acknowledgement.
    pub async fn close(&self) {
        let _ = timeout(CLOSE_TIMEOUT, self.order(MemberRequest::Close)).await;
        self.handle.take();
    }
}
