//! The one place where the decisions are asked: events go in, actions come out and are carried out. It owns
//! the tables of requests that have no final answer yet and of attempts that are out.

use crate::observe::figures::{Figures, Stage};
use crate::pool::{Answer, Backends, CallOff, Dialect, End, Message, spawn};
use crate::time::clock::{Clock, millis, span};
use crate::wire::link::{Carriers, Trace};
use doorcourse::{
    Action, Arrival, AttemptEnd, Class, CountOutcome, Event, Gateway, HandoverState, Millis, Name, Outcome,
    Pool, RequestId, Settings, SettingsError,
};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer of a request.
#[derive(Debug)]
pub enum Reply {
    /// What a backend answered.
    Served(Answer),
    /// Harmless to try again, best after this time.
    Refused {
        /// That time.
        wait: Millis,
        /// Whether an attempt may have run.
        may_have_run: bool,
    },
    /// No promise; true when the last attempt got no answer in time.
    Failed(bool),
}

/// What is told of each call of the counter: its name, how it ended, how long it took. Once, but for a late answer.
pub type Report = dyn Fn(u64, CountOutcome, Millis);

/// A shared counter.
pub trait Count {
    /// Adds an amount to a name that is kept for so many ms; the end is reported later.
    fn add(&self, name: u64, amount: f64, keep: Millis);
    /// Whether it can be called.
    fn is_up(&self) -> bool;
    /// It is found at another address from now on.
    fn move_to(&self, address: SocketAddr);
}

/// A request without a final answer.
struct Open<D: Dialect> {
    message: Message<D::Ask>,
    class: Name,
    /// When it came, or its last attempt ended: it waits since.
    since: Instant,
    reply: oneshot::Sender<Reply>,
    attempts: u32,
    /// To how many backends it has gone, and may go at most.
    reached: u32,
    most_reached: u32,
    timed_out: bool,
    may_have_run: bool,
    /// What a backend said to it that did not serve it.
    said: Option<Answer>,
    carriers: Rc<Carriers>,
}

/// An attempt without an end.
struct Out {
    number: u32,
    call_off: Option<oneshot::Sender<CallOff>>,
}

impl<D: Dialect> Open<D> {
    /// What a backend said goes before any word of our own.
    fn or_said(&mut self, reply: Reply) -> Reply {
        self.said.take().map_or(reply, Reply::Served)
    }
}

struct State<D: Dialect> {
    gateway: Gateway,
    open: HashMap<RequestId, Open<D>>,
    out: HashMap<RequestId, Out>,
    last: RequestId,
}

/// Runs the decisions.
pub struct Engine<D: Dialect> {
    clock: Cell<Clock>,
    backends: Rc<Backends<D>>,
    counter: Option<Box<dyn Count>>,
    figures: Rc<Figures>,
    state: RefCell<State<D>>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    judged: OnceCell<Judged>,
    me: Weak<Self>,
}

/// Who hears what the decisions find out of a backend: its name, its zone, whether it gives no sign.
pub type Judged = Box<dyn Fn(Name, &str, bool)>;

impl<D: Dialect> Engine<D> {
    /// An engine with nothing to do yet.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn start(
        settings: Settings, seed: u64, backends: Rc<Backends<D>>,
        counter: impl FnOnce(Rc<Report>) -> Option<Box<dyn Count>>, figures: Rc<Figures>,
    ) -> Result<Rc<Self>, SettingsError> {
        let gateway = Gateway::new(settings, seed)?;
        let state = State { gateway, open: HashMap::new(), out: HashMap::new(), last: 0 };
        Ok(Rc::new_cyclic(|me: &Weak<Self>| {
            let to = me.clone();
            let report = move |name, outcome, latency| {
                if let Some(engine) = to.upgrade() {
                    engine.post(Event::Counted { name, outcome, latency });
                }
            };
            let counter = counter(Rc::new(report));
            Self {
                clock: Cell::new(Clock::anchored()),
                backends,
                counter,
                figures,
                state: RefCell::new(state),
                events: RefCell::default(),
                running: Cell::new(false),
                judged: OnceCell::new(),
                me: me.clone(),
            }
        }))
    }

    /// The time of a moment, on the clock of the decisions.
    pub fn at(&self, moment: Instant) -> Millis {
        self.clock.get().at(moment)
    }

    /// Adds a class, unless there is one of that name.
    pub fn add_class(&self, class: Class) {
        self.state.borrow_mut().gateway.add_class(class);
    }

    /// Backends that are gone are remembered no more.
    pub fn forget_gone(&self) {
        self.state.borrow_mut().gateway.remove_gone_backends();
    }

    /// There are so many gateways from now on, of which this one has that number.
    pub fn resize(&self, gateways: u32, number: u32) {
        self.state.borrow_mut().gateway.resize(gateways, number);
    }

    /// A backend works on so many requests at once.
    pub fn works_on(&self, backend: &Name, slots: u32) {
        self.state.borrow_mut().gateway.set_backend_slots(backend, slots);
    }

    /// How late the event loop runs.
    pub fn lateness(&self) -> Duration {
        self.figures.lateness().now()
    }

    /// Somebody else hears from now on what the decisions find out of backends; the first one who asks.
    pub fn tell_judged(&self, to: Judged) {
        let _ = self.judged.set(to);
    }

    /// The process ends at this moment at the latest.
    pub fn ending(&self, by: Instant) {
        self.post(Event::ShuttingDown { deadline: self.at(by) });
    }

    /// Takes in a request that may go to so many backends at most; the reply comes once, unless the client leaves first.
    pub fn open(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, message: Message<D::Ask>, most_reached: u32,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, receiver) = oneshot::channel();
        let arrival = {
            let mut state = self.state.borrow_mut();
            state.last += 1;
            let arrival = arrival(state.last);
            let (class, since) = (arrival.class.clone(), Instant::now());
            let open = Open {
                message,
                class,
                since,
                reply,
                attempts: 0,
                reached: 0,
                most_reached,
                timed_out: false,
                may_have_run: false,
                said: None,
                carriers: Rc::default(),
            };
            state.open.insert(arrival.id, open);
            arrival
        };
        let id = arrival.id;
        self.post(Event::Request(arrival));
        (id, receiver)
    }

    /// The client is gone: nothing is owed to it any more, and what is out for it is given up.
    pub fn client_left(&self, id: RequestId) {
        let left = {
            let mut state = self.state.borrow_mut();
            if let Some(call_off) = state.out.get_mut(&id).and_then(|out| out.call_off.take()) {
                let _ = call_off.send(CallOff::Left);
            }
            state.open.remove(&id).is_some()
        };
        if left {
            self.post(Event::ClientLeft { id });
        }
    }

    /// The counter is found at another address from now on.
    pub fn move_counter(&self, address: SocketAddr) {
        if let Some(counter) = &self.counter {
            counter.move_to(address);
        }
    }

    /// What another process of this gateway goes on with, and the time by the clock that it stands in.
    pub fn hand_over(&self) -> (HandoverState, Millis) {
        (self.state.borrow_mut().gateway.hand_over(), self.clock.get().now())
    }

    /// Goes on where another process stopped, whose clock showed this time just now. Older versions do not tell.
    pub fn take_over(&self, estate: HandoverState, told: Option<Millis>) {
        let clock = self.clock.get();
        if let Some((told, following)) = told.and_then(|told| Some((told, clock.following(told)?))) {
            let step = clock.now() - told;
            let text = format_args!(
                "handover: the system's clock was set by {step:.0} ms; the time handed over goes on"
            );
            self.backends.dialect().log(None, text);
            self.clock.set(following);
        }
        self.state.borrow_mut().gateway.take_over(estate, self.clock.get().now());
    }

    /// Whether the counter can be called, if there is one.
    pub fn has_counter(&self) -> bool {
        self.counter.as_ref().is_none_or(|counter| counter.is_up())
    }

    /// What operators are shown of the backends.
    pub fn pool(&self) -> Pool {
        self.state.borrow().gateway.pool(self.clock.get().now())
    }

    /// How many requests wait for their final answer.
    pub fn waiting(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Whether a request waits for its first attempt.
    pub fn is_unsent(&self, id: RequestId) -> bool {
        self.state.borrow().open.get(&id).is_some_and(|open| open.attempts == 0)
    }

    /// Takes in an event. What it leads to may bring further events at once; these wait in line, so the
    /// decisions are never asked while they are being carried out.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.running.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            self.state.borrow_mut().gateway.handle(self.clock.get().now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
        }
        self.running.set(false);
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { id, backend, timeout, quota_wait } => self.send(id, backend, timeout, quota_wait),
            Action::Refuse { id, retry_after: wait } => {
                self.finish(id, |open| {
                    open.or_said(Reply::Refused { wait, may_have_run: open.may_have_run })
                });
            }
            Action::Fail { id } => self.finish(id, |open| open.or_said(Reply::Failed(open.timed_out))),
            Action::CallOff { id, attempt } => {
                let mut state = self.state.borrow_mut();
                let out = state.out.get_mut(&id).filter(|out| out.number == attempt);
                if let Some(call_off) = out.and_then(|out| out.call_off.take()) {
                    let _ = call_off.send(CallOff::Stalled);
                }
            }
            Action::SetTimer { after, token } => {
                let (due, me) = (Instant::now() + span(after), self.me.clone());
                self.figures.lateness().expects(due);
                spawn(async move {
                    tokio::time::sleep_until(due).await;
                    if let Some(engine) = me.upgrade() {
                        engine.figures.lateness().met(due);
                        engine.post(Event::Timer { token });
                    }
                });
            }
            Action::Probe { backend } => {
                let (backends, me, begun) = (self.backends.clone(), self.me.clone(), Instant::now());
                spawn(async move {
                    let End { outcome, load, .. } = backends.probe(&backend).await;
                    if let Some(engine) = me.upgrade() {
                        let latency = millis(begun.elapsed());
                        engine.post(Event::ProbeEnded { backend, outcome, latency, load });
                    }
                });
            }
            Action::AddToCounter { name, amount, ttl } => match &self.counter {
                Some(counter) => counter.add(name, amount, ttl),
                None => self.post(Event::Counted {
                    name,
                    outcome: doorcourse::CountOutcome::NotAdded,
                    latency: 0.0,
                }),
            },
            Action::HealthObserved { backend, zone, down } => {
                if let Some(judged) = self.judged.get() {
                    judged(backend, &zone, down);
                }
            }
            Action::Log(text) => self.backends.dialect().log(None, format_args!("{text}")),
            // No peers to tell here, and the list is watched all the time.
            Action::Broadcast { .. } | Action::WatchBackends => {}
        }
    }

    /// The final answer. Whoever takes the request out of the table owns its reply: there is no other.
    fn finish(&self, id: RequestId, reply: impl FnOnce(&mut Open<D>) -> Reply) {
        let Some(mut open) = self.state.borrow_mut().open.remove(&id) else { return };
        let reply = reply(&mut open);
        if open.attempts == 0 {
            self.figures.spent(&open.class, Stage::Unsent, open.since.elapsed());
        }
        let _ = open.reply.send(reply);
    }

    fn send(&self, id: RequestId, backend: Name, timeout: Millis, blocked: Millis) {
        let mut state = self.state.borrow_mut();
        let State { open, out, .. } = &mut *state;
        // A request that is over, or still has an attempt out, is not sent; an end is owed all the same.
        let free = open.get_mut(&id).filter(|_| !out.contains_key(&id));
        let Some(request) = free else {
            let finished = !open.contains_key(&id);
            return self.post(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                backend,
                outcome: Outcome::NeverSent,
                latency: 0.0,
                true_units: None,
                finished,
                body_consumed: false,
                load: None,
            }));
        };
        let (number, begun, limit) = (request.attempts, Instant::now(), span(timeout));
        request.attempts += 1;
        let waited = begun.duration_since(request.since);
        let blocked = if number == 0 { span(blocked).min(waited) } else { Duration::ZERO };
        let class = request.class.clone();
        if number == 0 {
            self.figures.spent(&class, Stage::Block, blocked);
        }
        self.figures.spent(&class, Stage::Room, waited - blocked);
        let (call_off, called_off) = oneshot::channel();
        out.insert(id, Out { number, call_off: Some(call_off) });
        let (message, backends, me) = (request.message.clone(), self.backends.clone(), self.me.clone());
        let (figures, carriers) = (Some(self.figures.clone()), request.carriers.clone());
        let trace = Rc::new(Trace { figures, carriers, ..Trace::default() });
        spawn(async move {
            let (first_bytes, engine) = (Cell::new(None), me.clone());
            let begin = |answer| {
                first_bytes.set(Some(begun.elapsed()));
                if let Some(engine) = engine.upgrade() {
                    engine.finish(id, |_| Reply::Served(answer));
                    engine.post(Event::StreamStarted { id });
                }
            };
            let end = backends.attempt(&backend, &message, limit, &trace, called_off, begin).await;
            backends.dialect().ended(&message.ask, &backend, end.outcome);
            // A long answer is judged by its first bytes, a long body by what follows it.
            let took = first_bytes.get().unwrap_or(message.waited(begun));
            let spent = message.is_spent();
            drop(message);
            if let Some(engine) = me.upgrade() {
                engine.note(&class, &end, &trace, begun);
                engine.ended(id, number, backend, end, millis(took), spent, trace.begun.get());
            }
        });
    }

    /// Where an attempt's time went, and whether that was all of it or its share.
    fn note(&self, class: &str, end: &End, trace: &Trace, begun: Instant) {
        let connected = trace.connected.get();
        self.figures.spent(class, Stage::Connect, connected.map_or(begun.elapsed(), |at| at - begun));
        if let Some(at) = connected {
            self.figures.spent(class, Stage::Backend, at.elapsed());
        }
        if end.cut {
            self.figures.cut(class, end.outcome != Outcome::CalledOff);
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the end of an attempt, from one place")]
    fn ended(
        &self, id: RequestId, attempt: u32, backend: Name, end: End, latency: Millis,
        mut body_consumed: bool, reached: bool,
    ) {
        let End { outcome, answer, load, cut } = end;
        self.state.borrow_mut().out.remove(&id);
        let said = match answer {
            Some(answer) if outcome == Outcome::Served => {
                self.finish(id, |_| Reply::Served(answer));
                None
            }
            said => said,
        };
        let finished = {
            let mut state = self.state.borrow_mut();
            let open = state.open.get_mut(&id);
            open.map(|open| {
                (open.timed_out, open.since) = (cut, Instant::now());
                open.reached += u32::from(reached);
                // To the decisions it looks as if its body were gone.
                body_consumed |= open.reached >= open.most_reached;
                let harmless = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
                open.may_have_run |= !harmless;
                open.said = said.or(open.said.take());
            })
            .is_none()
        };
        let true_units = None;
        self.post(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            backend,
            outcome,
            latency,
            true_units,
            finished,
            body_consumed,
            load,
        }));
    }
}

/// A request whose client waits. Dropped without an answer, as when the connection closes, it tells that the
/// client has left; after an answer that finds nothing.
pub struct Waiting<D: Dialect> {
    engine: Rc<Engine<D>>,
    id: RequestId,
}

impl<D: Dialect> Waiting<D> {
    /// The client of an open request.
    pub fn new(engine: Rc<Engine<D>>, id: RequestId) -> Self {
        Self { engine, id }
    }
}

impl<D: Dialect> Drop for Waiting<D> {
    fn drop(&mut self) {
        self.engine.client_left(self.id);
    }
}
