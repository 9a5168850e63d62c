//! Adapter between the decision engine (`doorcourse::Gateway`) and I/O: feeds events to the engine and carries out
//! the actions that the engine returns. Owns the tables of pending requests and of attempts in flight.
//!
//! An attempt is one transmission of a request to one backend; a retry is a further attempt. The counter is a service
//! shared by all gateways that adds up the units used of each quota. A handover passes the state of the engine from one
//! process of a gateway to the next.

use crate::observe::metrics::{Metrics, Stage};
use crate::pool::{Answer, AttemptResult, Backends, CancelReason, ForwardedRequest, Protocol, spawn};
use crate::time::clock::{Clock, millis, to_duration};
use crate::wire::connection::{AttemptTrace, UsedConnections};
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

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// The answer of a backend.
    Served(Answer),
    /// Refused; the client may safely retry, best after `retry_after`.
    Refused {
        /// The recommended delay before a retry.
        retry_after: Millis,
        /// Whether an attempt may have executed the request.
        may_have_run: bool,
    },
    /// Failed, and the request may have been executed. The field is true if the last attempt timed out.
    Failed(bool),
}

/// Callback for the end of a counter call: count name, outcome and latency. Called once per call, and a second time
/// if a late answer arrives.
pub type CounterCallback = dyn Fn(u64, CountOutcome, Millis);

/// A shared counter service.
pub trait Counter {
    /// Adds `amount` to the count `name`, which the counter keeps for `ttl` ms. The callback reports the outcome.
    fn add(&self, name: u64, amount: f64, ttl: Millis);
    /// Whether the counter can be called.
    fn is_available(&self) -> bool;
    /// Changes the address of the counter.
    fn set_address(&self, address: SocketAddr);
}

/// A request without a final answer.
struct PendingRequest<P: Protocol> {
    forwarded: ForwardedRequest<P::RequestHead>,
    class: Name,
    /// When the request arrived, or when its last attempt ended.
    waiting_since: Instant,
    reply: oneshot::Sender<Reply>,
    /// Number of attempts so far.
    attempts: u32,
    /// Number of attempts that wrote part of the request to a backend, and the maximum of this number.
    backends_reached: u32,
    max_backends: u32,
    /// Whether the last attempt timed out.
    timed_out: bool,
    /// Whether any attempt may have executed the request.
    may_have_run: bool,
    /// The answer of a backend to a failed attempt; the client gets it if no later attempt succeeds.
    backend_answer: Option<Answer>,
    used_connections: Rc<UsedConnections>,
}

/// An attempt in flight.
struct InFlightAttempt {
    /// Index of the attempt among the attempts of its request.
    attempt: u32,
    /// Cancels the attempt; `None` once used.
    cancel: Option<oneshot::Sender<CancelReason>>,
}

impl<P: Protocol> PendingRequest<P> {
    /// The answer of a backend, if there is one, takes precedence over the gateway's own reply.
    fn or_backend_answer(&mut self, reply: Reply) -> Reply {
        self.backend_answer.take().map_or(reply, Reply::Served)
    }
}

struct State<P: Protocol> {
    gateway: Gateway,
    /// Requests without a final answer.
    pending: HashMap<RequestId, PendingRequest<P>>,
    /// The attempt in flight of each request; it may outlive the request's entry in `pending`.
    in_flight: HashMap<RequestId, InFlightAttempt>,
    /// The id given to the latest request.
    last_id: RequestId,
}

/// Runs one decision engine: the quota gateway has one, a data plane has one for each service.
pub struct Engine<P: Protocol> {
    clock: Cell<Clock>,
    backends: Rc<Backends<P>>,
    counter: Option<Box<dyn Counter>>,
    metrics: Rc<Metrics>,
    state: RefCell<State<P>>,
    /// Events that wait for the decision engine, and whether an event is being handled (see [`Self::post`]).
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    health_observer: OnceCell<HealthObserver>,
    me: Weak<Self>,
}

/// Receives the engine's health decisions about backends: name, zone, and whether the backend is down.
pub type HealthObserver = Box<dyn Fn(Name, &str, bool)>;

impl<P: Protocol> Engine<P> {
    /// Creates an engine without requests.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn start(
        settings: Settings, seed: u64, backends: Rc<Backends<P>>,
        counter: impl FnOnce(Rc<CounterCallback>) -> Option<Box<dyn Counter>>, metrics: Rc<Metrics>,
    ) -> Result<Rc<Self>, SettingsError> {
        let gateway = Gateway::new(settings, seed)?;
        let state = State { gateway, pending: HashMap::new(), in_flight: HashMap::new(), last_id: 0 };
        Ok(Rc::new_cyclic(|me: &Weak<Self>| {
            let to = me.clone();
            let report = move |name, outcome, latency| {
                if let Some(engine) = to.upgrade() {
                    engine.post(Event::Counted { name, outcome, latency });
                }
            };
            let counter = counter(Rc::new(report));
            Self {
                clock: Cell::new(Clock::from_system_clock()),
                backends,
                counter,
                metrics,
                state: RefCell::new(state),
                events: RefCell::default(),
                running: Cell::new(false),
                health_observer: OnceCell::new(),
                me: me.clone(),
            }
        }))
    }

    /// Converts a moment to the time of the decision engine's clock.
    pub fn timestamp(&self, moment: Instant) -> Millis {
        self.clock.get().at(moment)
    }

    /// Adds a class, unless a class of that name exists.
    pub fn add_class(&self, class: Class) {
        self.state.borrow_mut().gateway.add_class(class);
    }

    /// Removes the state of backends that are gone.
    pub fn remove_gone_backends(&self) {
        self.state.borrow_mut().gateway.remove_gone_backends();
    }

    /// Sets the number of gateways and the index of this gateway among them.
    pub fn resize(&self, gateways: u32, index: u32) {
        self.state.borrow_mut().gateway.resize(gateways, index);
    }

    /// Sets how many requests a backend processes at once.
    pub fn set_backend_slots(&self, backend: &Name, slots: u32) {
        self.state.borrow_mut().gateway.set_backend_slots(backend, slots);
    }

    /// The current lag of the event loop.
    pub fn event_loop_lag(&self) -> Duration {
        self.metrics.event_loop_lag().current()
    }

    /// Sets the observer of the engine's health decisions about backends. Only the first call has an effect.
    pub fn set_health_observer(&self, observer: HealthObserver) {
        let _ = self.health_observer.set(observer);
    }

    /// Announces that the process ends at `deadline` at the latest.
    pub fn announce_shutdown(&self, deadline: Instant) {
        self.post(Event::ShuttingDown { deadline: self.timestamp(deadline) });
    }

    /// Submits a request that may reach at most `max_backends` backends. The reply is sent exactly once, unless the
    /// client leaves first.
    pub fn submit(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, forwarded: ForwardedRequest<P::RequestHead>,
        max_backends: u32,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, receiver) = oneshot::channel();
        let arrival = {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            let arrival = arrival(state.last_id);
            let (class, waiting_since) = (arrival.class.clone(), Instant::now());
            let pending = PendingRequest {
                forwarded,
                class,
                waiting_since,
                reply,
                attempts: 0,
                backends_reached: 0,
                max_backends,
                timed_out: false,
                may_have_run: false,
                backend_answer: None,
                used_connections: Rc::default(),
            };
            state.pending.insert(arrival.id, pending);
            arrival
        };
        let id = arrival.id;
        self.post(Event::Request(arrival));
        (id, receiver)
    }

    /// Removes the request of a client that has left, and cancels the attempt in flight.
    pub fn client_left(&self, id: RequestId) {
        let left = {
            let mut state = self.state.borrow_mut();
            if let Some(cancel) = state.in_flight.get_mut(&id).and_then(|in_flight| in_flight.cancel.take()) {
                let _ = cancel.send(CancelReason::ClientLeft);
            }
            state.pending.remove(&id).is_some()
        };
        if left {
            self.post(Event::ClientLeft { id });
        }
    }

    /// Changes the address of the counter.
    pub fn set_counter_address(&self, address: SocketAddr) {
        if let Some(counter) = &self.counter {
            counter.set_address(address);
        }
    }

    /// The state for the succeeding process of this gateway, and the current time of the clock that the state uses.
    pub fn hand_over(&self) -> (HandoverState, Millis) {
        (self.state.borrow_mut().gateway.hand_over(), self.clock.get().now())
    }

    /// Continues with the state of the preceding process, whose clock showed `clock_time` just now. Processes of older
    /// versions do not send a clock time.
    pub fn take_over(&self, handover: HandoverState, clock_time: Option<Millis>) {
        let clock = self.clock.get();
        if let Some((clock_time, aligned)) =
            clock_time.and_then(|clock_time| Some((clock_time, clock.aligned_with(clock_time)?)))
        {
            let step = clock.now() - clock_time;
            let text = format_args!(
                "handover: system clock was set by {step:.0} ms; keeping the clock of the preceding process"
            );
            self.backends.protocol().log(None, text);
            self.clock.set(aligned);
        }
        self.state.borrow_mut().gateway.take_over(handover, self.clock.get().now());
    }

    /// Whether the counter can be called; true without a counter.
    pub fn counter_available(&self) -> bool {
        self.counter.as_ref().is_none_or(|counter| counter.is_available())
    }

    /// The status of the backends for operators.
    pub fn pool(&self) -> Pool {
        self.state.borrow().gateway.pool(self.clock.get().now())
    }

    /// The number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().pending.len()
    }

    /// Whether the request waits for its first attempt.
    pub fn is_unsent(&self, id: RequestId) -> bool {
        self.state.borrow().pending.get(&id).is_some_and(|pending| pending.attempts == 0)
    }

    /// Feeds an event to the decision engine. Events that arise while actions are carried out are queued, so the
    /// decision engine is never called recursively.
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
            Action::Refuse { id, retry_after } => {
                self.finish(id, |pending| {
                    pending
                        .or_backend_answer(Reply::Refused { retry_after, may_have_run: pending.may_have_run })
                });
            }
            Action::Fail { id } => {
                self.finish(id, |pending| pending.or_backend_answer(Reply::Failed(pending.timed_out)))
            }
            Action::CallOff { id, attempt } => {
                let mut state = self.state.borrow_mut();
                let in_flight = state.in_flight.get_mut(&id).filter(|in_flight| in_flight.attempt == attempt);
                if let Some(cancel) = in_flight.and_then(|in_flight| in_flight.cancel.take()) {
                    let _ = cancel.send(CancelReason::Stalled);
                }
            }
            Action::SetTimer { after, token } => {
                let (due, me) = (Instant::now() + to_duration(after), self.me.clone());
                self.metrics.event_loop_lag().timer_set(due);
                spawn(async move {
                    tokio::time::sleep_until(due).await;
                    if let Some(engine) = me.upgrade() {
                        engine.metrics.event_loop_lag().timer_fired(due);
                        engine.post(Event::Timer { token });
                    }
                });
            }
            Action::Probe { backend } => {
                let (backends, me, started) = (self.backends.clone(), self.me.clone(), Instant::now());
                spawn(async move {
                    let AttemptResult { outcome, load, .. } = backends.probe(&backend).await;
                    if let Some(engine) = me.upgrade() {
                        let latency = millis(started.elapsed());
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
                if let Some(health_observer) = self.health_observer.get() {
                    health_observer(backend, &zone, down);
                }
            }
            Action::Log(text) => self.backends.protocol().log(None, format_args!("{text}")),
            // Needs no action: the proxy sends no messages to other gateways and always watches the backend list.
            Action::Broadcast { .. } | Action::WatchBackends => {}
        }
    }

    /// Sends the final answer. Removing the request from the table first guarantees that only one answer is sent.
    fn finish(&self, id: RequestId, reply: impl FnOnce(&mut PendingRequest<P>) -> Reply) {
        let Some(mut pending) = self.state.borrow_mut().pending.remove(&id) else { return };
        let reply = reply(&mut pending);
        if pending.attempts == 0 {
            self.metrics.record_stage(&pending.class, Stage::Unsent, pending.waiting_since.elapsed());
        }
        let _ = pending.reply.send(reply);
    }

    fn send(&self, id: RequestId, backend: Name, timeout: Millis, quota_wait: Millis) {
        let mut state = self.state.borrow_mut();
        let State { pending, in_flight, .. } = &mut *state;
        // Sends nothing for a finished request or for a request with an attempt in flight. The decision engine expects
        // an `AttemptEnded` event for every `Send` action, so the event is posted nevertheless.
        let free = pending.get_mut(&id).filter(|_| !in_flight.contains_key(&id));
        let Some(request) = free else {
            let finished = !pending.contains_key(&id);
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
        let (attempt, started, limit) = (request.attempts, Instant::now(), to_duration(timeout));
        request.attempts += 1;
        let wait = started.duration_since(request.waiting_since);
        let quota_wait = if attempt == 0 { to_duration(quota_wait).min(wait) } else { Duration::ZERO };
        let class = request.class.clone();
        if attempt == 0 {
            self.metrics.record_stage(&class, Stage::QuotaWait, quota_wait);
        }
        self.metrics.record_stage(&class, Stage::CapacityWait, wait - quota_wait);
        let (cancel, cancelled) = oneshot::channel();
        in_flight.insert(id, InFlightAttempt { attempt, cancel: Some(cancel) });
        let (forwarded, backends, me) = (request.forwarded.clone(), self.backends.clone(), self.me.clone());
        let (metrics, used_connections) = (Some(self.metrics.clone()), request.used_connections.clone());
        let trace = Rc::new(AttemptTrace { metrics, used_connections, ..AttemptTrace::default() });
        spawn(async move {
            let (first_bytes, engine) = (Cell::new(None), me.clone());
            let begin = |answer| {
                first_bytes.set(Some(started.elapsed()));
                if let Some(engine) = engine.upgrade() {
                    engine.finish(id, |_| Reply::Served(answer));
                    engine.post(Event::StreamStarted { id });
                }
            };
            let end = backends.attempt(&backend, &forwarded, limit, &trace, cancelled, begin).await;
            backends.protocol().on_attempt_ended(&forwarded.head, &backend, end.outcome);
            // The latency of a long answer ends with its first bytes; the latency of a long upload begins with its
            // last byte.
            let latency = first_bytes.get().unwrap_or(forwarded.answer_time(started));
            let body_consumed = forwarded.is_body_consumed();
            drop(forwarded);
            if let Some(engine) = me.upgrade() {
                engine.record_stages(&class, &end, &trace, started);
                engine.on_attempt_ended(
                    id,
                    attempt,
                    backend,
                    end,
                    millis(latency),
                    body_consumed,
                    trace.write_started.get(),
                );
            }
        });
    }

    /// Records how long an attempt spent in each stage, and whether it ran out of time.
    fn record_stages(&self, class: &str, end: &AttemptResult, trace: &AttemptTrace, started: Instant) {
        let connected = trace.connected.get();
        self.metrics.record_stage(
            class,
            Stage::Connect,
            connected.map_or(started.elapsed(), |at| at - started),
        );
        if let Some(at) = connected {
            self.metrics.record_stage(class, Stage::Backend, at.elapsed());
        }
        if end.timed_out {
            self.metrics.attempt_timed_out(class, end.outcome != Outcome::CalledOff);
        }
    }

    #[allow(clippy::too_many_arguments, reason = "called from one place only")]
    fn on_attempt_ended(
        &self, id: RequestId, attempt: u32, backend: Name, end: AttemptResult, latency: Millis,
        mut body_consumed: bool, write_started: bool,
    ) {
        let AttemptResult { outcome, answer, load, timed_out } = end;
        self.state.borrow_mut().in_flight.remove(&id);
        let backend_answer = match answer {
            Some(answer) if outcome == Outcome::Served => {
                self.finish(id, |_| Reply::Served(answer));
                None
            }
            backend_answer => backend_answer,
        };
        let finished = {
            let mut state = self.state.borrow_mut();
            let pending = state.pending.get_mut(&id);
            pending
                .map(|pending| {
                    (pending.timed_out, pending.waiting_since) = (timed_out, Instant::now());
                    pending.backends_reached += u32::from(write_started);
                    // Once the request has reached the maximum number of backends, sets `body_consumed` so that
                    // the decision engine sends no further attempt.
                    body_consumed |= pending.backends_reached >= pending.max_backends;
                    let not_executed =
                        matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
                    pending.may_have_run |= !not_executed;
                    pending.backend_answer = backend_answer.or(pending.backend_answer.take());
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

/// Guard of a submitted request. Dropping the guard before the final answer, as when the connection closes, tells the
/// engine that the client has left; dropping it afterwards has no effect.
pub struct RequestGuard<P: Protocol> {
    engine: Rc<Engine<P>>,
    id: RequestId,
}

impl<P: Protocol> RequestGuard<P> {
    /// Creates the guard of a submitted request.
    pub fn new(engine: Rc<Engine<P>>, id: RequestId) -> Self {
        Self { engine, id }
    }
}

impl<P: Protocol> Drop for RequestGuard<P> {
    fn drop(&mut self) {
        self.engine.client_left(self.id);
    }
}
