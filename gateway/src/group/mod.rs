//! This gateway's part in the group: started and ended with the process, shown in `INFO`, asked by operators. It owns
//! the handle of the group's thread and nothing else; whatever goes wrong in it, the gateway serves on.

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

/// A part that could not start is tried again after this.
const COMES_UP: Duration = Duration::from_millis(500);
/// How often it is looked at which duties are held, for the log.
const LOOKS: Duration = Duration::from_millis(250);
/// How often an act is done under each duty, where they are written down.
const ACTS: Duration = Duration::from_millis(20);
/// The process waits so long at its end for the group to hear of it.
const CLOSING: Duration = Duration::from_millis(300);
/// Descriptors of a group's thread: its event loop, its disk, the other voters and the members' connections.
pub const DESCRIPTORS: usize = 48;

/// A gateway's part.
pub struct Group {
    settings: Settings,
    handle: RefCell<Option<Rc<Handle>>>,
    /// Words about backends that were passed on to the decisions, and reports made.
    told: Cell<(u64, u64)>,
}

impl Group {
    /// Starts it beside everything else: the gateway serves meanwhile, and by itself for as long as it does not come
    /// up. A voter whose predecessor still runs has neither its address nor its disk before that one has ended.
    pub fn start(settings: Settings) -> Rc<Self> {
        let group = Rc::new(Self { settings, handle: RefCell::default(), told: Cell::default() });
        tokio::task::spawn_local(group.clone().come_up());
        group
    }

    async fn come_up(self: Rc<Self>) {
        let mut told = false;
        loop {
            let settings = self.settings.run.clone();
            let tell = |text: String| eprintln!("{text}");
            let started = tokio::task::spawn_blocking(move || start(settings, Clock::Boot, tell)).await;
            match started {
                Ok(Ok(handle)) => {
                    *self.handle.borrow_mut() = Some(Rc::new(handle));
                    break;
                }
                Ok(Err(error)) if !std::mem::replace(&mut told, true) => {
                    eprintln!("{error}; this gateway goes on without the group until it can (told once)");
                }
                _ => {}
            }
            sleep(COMES_UP).await;
        }
        if self.settings.acts.is_some() {
            tokio::task::spawn_local(self.clone().act());
        }
        self.follow().await;
    }

    /// Whether this gateway takes part in telling of backends.
    pub fn scouts(&self) -> bool {
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

    /// The guard of a duty, if this gateway holds it.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.handle()?.guard(duty)
    }

    /// Tells the log which duties come and go.
    async fn follow(self: Rc<Self>) {
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
            sleep(LOOKS).await;
        }
    }

    /// Does an act under each duty again and again, and writes down when its guard had said yes.
    async fn act(self: Rc<Self>) {
        let Some(path) = &self.settings.acts else { return };
        let mut file = match std::fs::OpenOptions::new().append(true).create(true).open(path) {
            Ok(file) => file,
            Err(error) => return eprintln!("group.acts: {}: {error}", path.display()),
        };
        while let Some(handle) = self.handle() {
            for guard in handle.guards() {
                // The time before the question: a stop between the two must not make a yes look later than it was.
                let now = Clock::Boot.now();
                let Some(fence) = guard.valid_fence() else { continue };
                let line = format!("{} {} {fence}\n", now.as_micros(), guard.duty);
                let _ = file.write_all(line.as_bytes());
            }
            drop(handle);
            sleep(ACTS).await;
        }
    }

    /// What `INFO` shows.
    pub fn figures(&self) -> Value {
        let Some(handle) = self.handle() else { return Value::Null };
        let (standing, ms) = (handle.status(), |span: Duration| span.as_millis() as u64);
        let view = &standing.view;
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
            "in_group": standing.session.is_some(),
            "contact_age_ms": handle.contact_age().map(ms),
            "held": held.collect::<serde_json::Map<_, _>>(),
            "duties": duties.collect::<serde_json::Map<_, _>>(),
            "away": view.absent,
            "words": self.told.get().0,
            "reports": self.told.get().1,
        })
    }

    /// The most gateways that may be away by leave now.
    fn most_away(&self) -> u32 {
        let sessions = self.handle().map_or(0, |handle| handle.status().view.sessions);
        ((sessions as f64 * self.settings.away_at_once) as u32).max(1)
    }

    /// An operator's call: its words after `GROUP`.
    pub async fn call(&self, words: &[&str]) -> String {
        let answer = match words {
            [] | ["STATUS"] => return format!("{}\nEND", self.figures()),
            ["GIVE", duty] => self.order(MemberRequest::ReleaseDuty((*duty).into(), None)).await,
            ["GIVE", duty, to] => {
                self.order(MemberRequest::ReleaseDuty((*duty).into(), Some((*to).into()))).await
            }
            ["TURN"] => self.order(MemberRequest::RequestAbsence(self.most_away())).await,
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

    /// The process is about to end: others take its duties at once, and it counts as away.
    pub async fn drains(&self) {
        self.order(MemberRequest::RequestAbsence(u32::MAX)).await;
        self.order(MemberRequest::SetEligible(false)).await;
    }

    /// The process ends. Waits a little for the group to hear of it.
    pub async fn close(&self) {
        let _ = timeout(CLOSING, self.order(MemberRequest::Close)).await;
        self.handle.take();
    }
}
