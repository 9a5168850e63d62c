//! Request records, events and counters for operators. Requests that succeed at the first attempt only update counters.
//!
//! An attempt is one transmission of a request to one backend. A step is the kind of an event in the log, such as
//! `drain`. An abandoned request is a request whose client disconnected before the answer.

use crate::backend_protocol::ClientRequest;
use crate::data_plane::{DataPlane, Service};
use crate::routing::Rejection;
use crate::{LogLine, LogSink};
use doorcourse::{Name, Outcome};
use hyper::header::HeaderValue;
use observability::{LogRateLimiter, MetricsPage, RingBuffer};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of records of requests that were sent to a backend.
const MAX_SENT_RECORDS: usize = 700;
/// The maximum number of records of requests that were never sent. These records are kept apart, so that a tenant that
/// keeps sending requests without quota does not evict the records of other tenants.
const MAX_UNSENT_RECORDS: usize = 300;
/// The maximum number of event records.
const MAX_EVENT_RECORDS: usize = 128;
/// The maximum length of a recorded text, in characters, or id, in bytes. Both may contain external input.
const MAX_TEXT_LENGTH: usize = 160;
/// The maximum number of recorded attempts of one request.
const MAX_RECORDED_ATTEMPTS: usize = 8;
/// The log rate limit of each step: the number of lines, and the interval in ms. A service with failing backends would
/// flood the log otherwise.
const LOG_RATE_LIMIT: (u32, u64) = (10, 10_000);
/// The steps to which the log rate limit applies.
const RATE_LIMITED_STEPS: [&str; 4] = ["backend", "decision", "drain", "upstream"];
/// The upper bounds of the answer time histogram, in seconds.
const ANSWER_TIME_BOUNDS: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The outcome of a request, with the reason for a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    BackendError,
    NoAnswer,
    DeadlineExceeded,
    NoCapacity,
    QuotaExhausted,
    Unauthenticated,
    NoRoute,
    Malformed,
    BodyTooLarge,
    BodyTimeout,
    NotConfigured,
    AnswerBrokeOff,
    ClientDisconnected,
}

/// All outcomes in the order of the enum, with their label in metrics and the explanation shown to operators.
const REQUEST_OUTCOMES: [(RequestOutcome, &str, &str); 14] = [
    (RequestOutcome::Served, "served", "a backend answered"),
    (RequestOutcome::BackendError, "backend_error", "a backend answered with an error, which was passed on"),
    (RequestOutcome::NoAnswer, "no_answer", "no backend answered, and it may have run"),
    (RequestOutcome::DeadlineExceeded, "late", "no answer in the time that it had"),
    (RequestOutcome::NoCapacity, "no_room", "no backend with room in time; it never ran"),
    (RequestOutcome::QuotaExhausted, "quota", "its tenant had nothing left"),
    (RequestOutcome::Unauthenticated, "no_key", "its key is missing or unknown"),
    (RequestOutcome::NoRoute, "no_route", "there is no such route"),
    (RequestOutcome::Malformed, "malformed", "it is malformed, or its body broke off"),
    (RequestOutcome::BodyTooLarge, "too_large", "its body is too large"),
    (RequestOutcome::BodyTimeout, "too_slow", "its body did not come in time"),
    (RequestOutcome::NotConfigured, "not_yet", "there was no configuration yet"),
    (RequestOutcome::AnswerBrokeOff, "broke_off", "a long answer of a backend broke off on its way"),
    (RequestOutcome::ClientDisconnected, "left", "its client left before there was an answer"),
];

impl From<&Rejection> for RequestOutcome {
    fn from(rejection: &Rejection) -> Self {
        match rejection {
            Rejection::NotConfigured => Self::NotConfigured,
            Rejection::Malformed(_) => Self::Malformed,
            Rejection::NoRoute => Self::NoRoute,
            Rejection::Unauthenticated => Self::Unauthenticated,
            Rejection::BodyTooLarge => Self::BodyTooLarge,
            Rejection::BodyTimeout => Self::BodyTimeout,
            Rejection::QuotaExhausted(_) => Self::QuotaExhausted,
            Rejection::NoCapacity(_) => Self::NoCapacity,
        }
    }
}

/// An attempt: the backend, and how the attempt ended.
pub type Attempt = (Name, Outcome);

/// A record of a request that did not succeed at the first attempt.
struct RequestRecord {
    recorded_at: Instant,
    duration: Duration,
    /// A copy, because the header value would keep the whole read buffer of its connection alive.
    id: Box<str>,
    route: Option<Arc<str>>,
    tenant: Option<Arc<str>>,
    attempts: Box<[Attempt]>,
    status: u16,
    outcome: RequestOutcome,
}

/// An event other than a request.
struct EventRecord {
    recorded_at: Instant,
    step: &'static str,
    text: Box<str>,
    version: u64,
}

/// The counters of one service, or of the requests that were assigned to no service.
#[derive(Default)]
pub struct RequestCounts {
    outcomes: [Cell<u64>; REQUEST_OUTCOMES.len()],
    /// The answer time histogram of served requests; the last bucket has no upper bound.
    buckets: [Cell<u64>; ANSWER_TIME_BOUNDS.len() + 1],
    /// The sum of the answer times, in seconds.
    answer_time_sum: Cell<f64>,
}

impl RequestCounts {
    fn add(&self, outcome: RequestOutcome, duration: Duration) {
        self.outcomes[outcome as usize].update(|n| n + 1);
        if outcome == RequestOutcome::Served {
            let duration = duration.as_secs_f64();
            let index = ANSWER_TIME_BOUNDS
                .iter()
                .position(|bound| duration <= *bound)
                .unwrap_or(ANSWER_TIME_BOUNDS.len());
            self.buckets[index].update(|n| n + 1);
            self.answer_time_sum.update(|sum| sum + duration);
        }
    }
}

/// Keeps the request records, events and counters of a data plane.
pub struct Recorder {
    started: Instant,
    log: LogSink,
    /// The records of requests that were sent to a backend.
    sent: RefCell<RingBuffer<RequestRecord>>,
    /// The records of requests that were never sent to a backend.
    unsent: RefCell<RingBuffer<RequestRecord>>,
    events: RefCell<RingBuffer<EventRecord>>,
    version: Cell<u64>,
    /// A rate limiter for each limited step.
    log_limiters: RefCell<[(&'static str, LogRateLimiter); RATE_LIMITED_STEPS.len()]>,
    /// The counters of requests that were assigned to no service.
    unrouted: RequestCounts,
    /// The number of attempts by outcome, in the order of [`ATTEMPT_OUTCOMES`].
    attempts: [Cell<u64>; ATTEMPT_OUTCOMES.len()],
}

/// The outcomes of attempts with their labels in metrics and records.
const ATTEMPT_OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Served, "served"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Broken, "broken"),
    (Outcome::CalledOff, "called_off"),
    (Outcome::NeverSent, "never_sent"),
];

fn outcome_index(outcome: Outcome) -> usize {
    ATTEMPT_OUTCOMES.iter().position(|(known, _)| *known == outcome).unwrap_or(ATTEMPT_OUTCOMES.len() - 1)
}

impl Recorder {
    pub fn new(log: LogSink) -> Rc<Self> {
        Rc::new(Self {
            started: Instant::now(),
            log,
            sent: RefCell::new(RingBuffer::new(MAX_SENT_RECORDS)),
            unsent: RefCell::new(RingBuffer::new(MAX_UNSENT_RECORDS)),
            events: RefCell::new(RingBuffer::new(MAX_EVENT_RECORDS)),
            version: Cell::default(),
            log_limiters: RefCell::new(
                RATE_LIMITED_STEPS
                    .map(|step| (step, LogRateLimiter::new(LOG_RATE_LIMIT.0, LOG_RATE_LIMIT.1))),
            ),
            unrouted: RequestCounts::default(),
            attempts: Default::default(),
        })
    }

    /// Sets the configuration version in force.
    pub fn set_version(&self, version: u64) {
        self.version.set(version);
    }

    /// Records an event for operators, and writes the event to the log unless the rate limit of its step is exceeded.
    pub fn record_event(&self, step: &'static str, text: fmt::Arguments<'_>) {
        let stored = truncate(&text.to_string());
        let version = self.version.get();
        self.events.borrow_mut().push(EventRecord {
            recorded_at: Instant::now(),
            step,
            text: stored,
            version,
        });
        let mut log_limiters = self.log_limiters.borrow_mut();
        let limiter = log_limiters.iter_mut().find(|(known, _)| *known == step).map(|(_, limiter)| limiter);
        let suppressed =
            limiter.map_or(Some(0), |limiter| limiter.try_acquire(self.started.elapsed().as_millis() as u64));
        drop(log_limiters);
        if let Some(left_out) = suppressed {
            (self.log)(LogLine { step, version, left_out, text });
        }
    }

    /// Records the end of an attempt.
    pub fn record_attempt(&self, request: &ClientRequest, backend: &Name, outcome: Outcome) {
        self.attempts[outcome_index(outcome)].update(|n| n + 1);
        // A successful first attempt is not recorded, and allocates no memory.
        let mut attempts = request.attempts.borrow_mut();
        if (outcome != Outcome::Served || !attempts.is_empty()) && attempts.len() < MAX_RECORDED_ATTEMPTS {
            attempts.push((backend.clone(), outcome));
        }
    }

    /// Records that an answer broke off after its head had been passed on.
    pub fn record_broken_answer(&self, request: &ClientRequest) {
        let now = Instant::now();
        self.store(now, now, request.id.as_ref(), Some(request), 200, RequestOutcome::AnswerBrokeOff);
    }

    fn store(
        &self, now: Instant, arrived: Instant, id: Option<&HeaderValue>, request: Option<&ClientRequest>,
        status: u16, outcome: RequestOutcome,
    ) {
        let attempts: Box<[Attempt]> =
            request.map(|request| request.attempts.borrow().as_slice().into()).unwrap_or_default();
        let id = id.map(HeaderValue::as_bytes).unwrap_or_default();
        let id = &id[..id.len().min(MAX_TEXT_LENGTH)];
        let record = RequestRecord {
            recorded_at: now,
            duration: now.saturating_duration_since(arrived),
            id: String::from_utf8_lossy(id).into(),
            route: request.map(|request| request.route.clone()),
            tenant: request.and_then(|request| request.tenant.clone()),
            status,
            outcome,
            attempts,
        };
        let unsent = record.attempts.is_empty()
            && !matches!(
                outcome,
                RequestOutcome::AnswerBrokeOff
                    | RequestOutcome::BackendError
                    | RequestOutcome::DeadlineExceeded
            );
        if unsent { &self.unsent } else { &self.sent }.borrow_mut().push(record);
    }

    /// The records of the requests with the given id, or of all requests, newest first.
    pub fn requests(&self, id: Option<&str>, limit: usize) -> Vec<Value> {
        let (sent, unsent, now) = (self.sent.borrow(), self.unsent.borrow(), Instant::now());
        let all = sent.iter_newest_first().chain(unsent.iter_newest_first());
        let mut found: Vec<_> = all.filter(|r| id.is_none_or(|id| &*r.id == id)).collect();
        found.sort_by_key(|record| std::cmp::Reverse(record.recorded_at));
        let to_json = |r: &RequestRecord| {
            let attempts: Vec<_> = r
                .attempts
                .iter()
                .map(|(backend, outcome)| {
                    json!({ "backend": &**backend, "outcome": ATTEMPT_OUTCOMES[outcome_index(*outcome)].1 })
                })
                .collect();
            json!({ "id": &*r.id, "age_ms": (now - r.recorded_at).as_millis() as u64,
                "took_ms": r.duration.as_millis() as u64, "route": r.route.as_deref(),
                "tenant": r.tenant.as_deref(), "tries": attempts, "status": r.status,
                "outcome": REQUEST_OUTCOMES[r.outcome as usize].1, "why": REQUEST_OUTCOMES[r.outcome as usize].2 })
        };
        found.into_iter().take(limit).map(to_json).collect()
    }

    /// The events whose text contains the given word, or all events, newest first.
    pub fn events(&self, word: Option<&str>) -> Vec<Value> {
        let (events, now) = (self.events.borrow(), Instant::now());
        let matches = |event: &&EventRecord| {
            let contains =
                |word: &str| event.text.split([' ', ',']).any(|part| part.trim_end_matches(':') == word);
            word.is_none_or(contains)
        };
        let to_json = |n: &EventRecord| {
            json!({ "age_ms": (now - n.recorded_at).as_millis() as u64, "step": n.step, "subject": word,
                "text": &*n.text, "version": format!("r{}", n.version) })
        };
        events.iter_newest_first().filter(matches).map(to_json).collect()
    }

    fn unrouted_rows(&self) -> Vec<(Vec<(&'static str, String)>, u64)> {
        outcome_rows("", &self.unrouted)
    }
}

fn outcome_rows(service: &str, counts: &RequestCounts) -> Vec<(Vec<(&'static str, String)>, u64)> {
    let row = |(_, outcome, _): &(RequestOutcome, &'static str, &'static str)| {
        vec![("service", service.to_owned()), ("outcome", (*outcome).to_owned())]
    };
    let counted = REQUEST_OUTCOMES.iter().zip(&counts.outcomes).filter(|(_, count)| count.get() > 0);
    counted.map(|(outcome, count)| (row(outcome), count.get())).collect()
}

fn truncate(text: &str) -> Box<str> {
    text.chars().take(MAX_TEXT_LENGTH).collect::<String>().into()
}

/// Tracks one request through the data plane. If dropped without an answer, the request counts as abandoned by its
/// client.
pub struct RequestTracker<'q> {
    data_plane: &'q DataPlane,
    arrived: Instant,
    id: Option<HeaderValue>,
    /// Whether the end of the request has been recorded.
    ended: bool,
    /// The parsed request, once its head is known to be valid.
    pub request: Option<Rc<ClientRequest>>,
    pub service: Option<Rc<Service>>,
    /// The outcome, if the status of the answer does not determine the outcome.
    pub outcome: Option<RequestOutcome>,
}

impl<'q> RequestTracker<'q> {
    pub fn new(data_plane: &'q DataPlane, arrived: Instant, id: Option<HeaderValue>) -> Self {
        Self { data_plane, arrived, id, ended: false, request: None, service: None, outcome: None }
    }

    /// Records the answer to the request.
    pub fn finish(mut self, status: u16, error: Option<RequestOutcome>) {
        let by_status = if status >= 500 { RequestOutcome::BackendError } else { RequestOutcome::Served };
        self.end(status, error.or(self.outcome).unwrap_or(by_status));
    }

    fn end(&mut self, status: u16, outcome: RequestOutcome) {
        self.ended = true;
        let (now, recorder) = (Instant::now(), self.data_plane.recorder());
        let counts = self.service.as_ref().map_or(&recorder.unrouted, |service| &service.counts);
        counts.add(outcome, now.saturating_duration_since(self.arrived));
        let request = self.request.as_deref();
        if outcome != RequestOutcome::Served
            || request.is_some_and(|request| !request.attempts.borrow().is_empty())
        {
            recorder.store(now, self.arrived, self.id.as_ref(), request, status, outcome);
        }
    }
}

impl Drop for RequestTracker<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0, RequestOutcome::ClientDisconnected);
        }
    }
}

impl DataPlane {
    /// The metrics page.
    pub fn metrics(&self) -> String {
        let recorder = self.recorder();
        let mut page = MetricsPage::new("data-plane", recorder.started.elapsed().as_millis() as u64);
        page.gauge("ready", "1 while new clients should come here", f64::from(u8::from(self.is_ready())));
        page.gauge("config_version", "Version in force here", recorder.version.get() as f64);
        page.gauge(
            "active_requests",
            "Requests that are taken and have not ended",
            self.active_requests() as f64,
        );
        let services = self.services();
        let all = services.iter().flat_map(|(name, service)| outcome_rows(name, &service.counts));
        page.counters(
            "requests",
            "Requests by service and what became of them",
            all.chain(recorder.unrouted_rows()),
        );
        let (mut buckets, mut sum) = ([0; ANSWER_TIME_BOUNDS.len() + 1], 0.0);
        for (_, service) in &services {
            buckets
                .iter_mut()
                .zip(&service.counts.buckets)
                .for_each(|(total, bucket)| *total += bucket.get());
            sum += service.counts.answer_time_sum.get();
        }
        page.histogram(
            "answer_seconds",
            "Time to the answer of requests that were served",
            &ANSWER_TIME_BOUNDS,
            &buckets,
            sum,
        );
        let attempts = ATTEMPT_OUTCOMES.iter().zip(&recorder.attempts);
        let attempts = attempts.map(|((_, outcome), n)| (vec![("outcome", (*outcome).to_owned())], n.get()));
        page.counters("tries", "Attempts at backends by how they ended", attempts);
        let row = |name: &Name| vec![("service", name.to_string())];
        let pools = self.pools();
        let gauge_rows = |figure: fn(&doorcourse::Pool) -> f64| -> Vec<_> {
            pools.iter().map(|(name, pool)| (row(name), figure(pool))).collect()
        };
        page.gauges("backends", "Backends that are known, by service", gauge_rows(|pool| pool.size as f64));
        page.gauges(
            "backends_avoided",
            "Backends that are avoided now",
            gauge_rows(|pool| pool.ejected as f64),
        );
        let counter_rows = |figure: fn(&doorcourse::Pool) -> u64| -> Vec<_> {
            pools.iter().map(|(name, pool)| (row(name), figure(pool))).collect()
        };
        page.counters(
            "tries_denied",
            "Further attempts not made, as they were too many",
            counter_rows(|p| p.retries_denied),
        );
        page.counters(
            "too_late",
            "Requests refused unsent with too little time left",
            counter_rows(|p| p.too_late),
        );
        let (late, latest) = self.figures().event_loop_lag().totals();
        page.counter("loop_late", "Times that the event loop ran late", late);
        page.gauge("loop_latest_seconds", "The most that it ran late", latest.as_secs_f64());
        let dropped = recorder.sent.borrow().dropped() + recorder.unsent.borrow().dropped();
        page.counter("records_dropped", "Records of requests that made room for others", dropped);
        page.text()
    }
}
