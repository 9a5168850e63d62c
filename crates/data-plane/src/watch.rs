//! Request records, events and counters for operators. Requests that succeed at the first attempt only update counters.

use crate::data_plane::{DataPlane, Service};
use crate::order::Fault;
use crate::speech::Asking;
use crate::{LogLine, LogSink};
use doorcourse::{Name, Outcome};
use hyper::header::HeaderValue;
use observability::{Page, Ring, Seldom};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of records of requests that were sent to a backend.
const OF_SENT: usize = 700;
/// The maximum number of records of requests that were never sent. These records are kept apart, so that a tenant that
/// continues without quota does not evict the records of everyone else.
const OF_UNSENT: usize = 300;
/// The maximum number of event records.
const OF_NOTES: usize = 128;
/// The maximum length of texts and ids, in characters and bytes. Both contain input from outside.
const LONGEST: usize = 160;
/// The maximum number of recorded attempts of one request.
const MOST_TRIES: usize = 8;
/// The log rate limit of each step: the number of lines, and the interval in ms. A service with failing backends would
/// flood the log otherwise.
const LINES: (u32, u64) = (10, 10_000);
/// The steps to which the log rate limit applies.
const LIMITED: [&str; 4] = ["backend", "decision", "drain", "upstream"];
/// The upper bounds of the answer time histogram, in seconds.
const BOUNDS: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The outcome of a request, with the reason for a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Served,
    Said,
    NoAnswer,
    Late,
    NoRoom,
    Quota,
    NoKey,
    NoRoute,
    Bad,
    TooLarge,
    TooSlow,
    NotYet,
    BrokeOff,
    Left,
}

/// All outcomes in the order of the enum, with their label in metrics and the explanation shown to operators.
const WHYS: [(Why, &str, &str); 14] = [
    (Why::Served, "served", "a backend answered"),
    (Why::Said, "backend_error", "a backend answered with an error, which was passed on"),
    (Why::NoAnswer, "no_answer", "no backend answered, and it may have run"),
    (Why::Late, "late", "no answer in the time that it had"),
    (Why::NoRoom, "no_room", "no backend with room in time; it never ran"),
    (Why::Quota, "quota", "its tenant had nothing left"),
    (Why::NoKey, "no_key", "its key is missing or unknown"),
    (Why::NoRoute, "no_route", "there is no such route"),
    (Why::Bad, "malformed", "it is malformed, or its body broke off"),
    (Why::TooLarge, "too_large", "its body is too large"),
    (Why::TooSlow, "too_slow", "its body did not come in time"),
    (Why::NotYet, "not_yet", "there was no configuration yet"),
    (Why::BrokeOff, "broke_off", "a long answer of a backend broke off on its way"),
    (Why::Left, "left", "its client left before there was an answer"),
];

impl From<&Fault> for Why {
    fn from(fault: &Fault) -> Self {
        match fault {
            Fault::NotYet => Self::NotYet,
            Fault::Bad(_) => Self::Bad,
            Fault::NoRoute => Self::NoRoute,
            Fault::NoKey => Self::NoKey,
            Fault::TooLarge => Self::TooLarge,
            Fault::TooSlow => Self::TooSlow,
            Fault::Quota(_) => Self::Quota,
            Fault::NoRoom(_) => Self::NoRoom,
        }
    }
}

/// An attempt: the backend, and how the attempt ended.
pub type Try = (Name, Outcome);

struct Record {
    at: Instant,
    took: Duration,
    /// A copy, because the header value would keep the whole read buffer of its connection alive.
    id: Box<str>,
    route: Option<Arc<str>>,
    tenant: Option<Arc<str>>,
    tries: Box<[Try]>,
    status: u16,
    why: Why,
}

struct Note {
    at: Instant,
    step: &'static str,
    text: Box<str>,
    version: u64,
}

/// The counters of one service, or of the requests that were assigned to no service.
#[derive(Default)]
pub struct Counts {
    whys: [Cell<u64>; WHYS.len()],
    times: [Cell<u64>; BOUNDS.len() + 1],
    /// The sum of the answer times, in seconds.
    sum: Cell<f64>,
}

impl Counts {
    fn add(&self, why: Why, took: Duration) {
        self.whys[why as usize].update(|n| n + 1);
        if why == Why::Served {
            let took = took.as_secs_f64();
            let at = BOUNDS.iter().position(|bound| took <= *bound).unwrap_or(BOUNDS.len());
            self.times[at].update(|n| n + 1);
            self.sum.update(|sum| sum + took);
        }
    }
}

/// Keeps the request records, events and counters of a data plane.
pub struct Watch {
    began: Instant,
    log: LogSink,
    sent: RefCell<Ring<Record>>,
    unsent: RefCell<Ring<Record>>,
    notes: RefCell<Ring<Note>>,
    version: Cell<u64>,
    /// The log rate limit of each limited step.
    seldom: RefCell<[(&'static str, Seldom); LIMITED.len()]>,
    nowhere: Counts,
    tries: [Cell<u64>; OUTCOMES.len()],
}

const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Served, "served"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Broken, "broken"),
    (Outcome::CalledOff, "called_off"),
    (Outcome::NeverSent, "never_sent"),
];

fn place(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|(known, _)| *known == outcome).unwrap_or(OUTCOMES.len() - 1)
}

impl Watch {
    pub fn new(log: LogSink) -> Rc<Self> {
        Rc::new(Self {
            began: Instant::now(),
            log,
            sent: RefCell::new(Ring::new(OF_SENT)),
            unsent: RefCell::new(Ring::new(OF_UNSENT)),
            notes: RefCell::new(Ring::new(OF_NOTES)),
            version: Cell::default(),
            seldom: RefCell::new(LIMITED.map(|step| (step, Seldom::new(LINES.0, LINES.1)))),
            nowhere: Counts::default(),
            tries: Default::default(),
        })
    }

    /// Sets the configuration version in force.
    pub fn stands(&self, version: u64) {
        self.version.set(version);
    }

    /// Records an event for operators, and writes the event to the log unless the rate limit of its step is exceeded.
    pub fn note(&self, step: &'static str, text: fmt::Arguments<'_>) {
        let kept = cut(&text.to_string());
        let version = self.version.get();
        self.notes.borrow_mut().push(Note { at: Instant::now(), step, text: kept, version });
        let mut seldom = self.seldom.borrow_mut();
        let limit = seldom.iter_mut().find(|(known, _)| *known == step).map(|(_, seldom)| seldom);
        let passes = limit.map_or(Some(0), |seldom| seldom.pass(self.began.elapsed().as_millis() as u64));
        drop(seldom);
        if let Some(left_out) = passes {
            (self.log)(LogLine { step, version, left_out, text });
        }
    }

    /// Records the end of an attempt.
    pub fn tried(&self, ask: &Asking, backend: &Name, outcome: Outcome) {
        self.tries[place(outcome)].update(|n| n + 1);
        // A successful first attempt is not recorded, and allocates no memory.
        let mut tries = ask.tries.borrow_mut();
        if (outcome != Outcome::Served || !tries.is_empty()) && tries.len() < MOST_TRIES {
            tries.push((backend.clone(), outcome));
        }
    }

    /// Records that an answer broke off after its head had been passed on.
    pub fn broke_off(&self, ask: &Asking) {
        let now = Instant::now();
        self.keep(now, now, ask.id.as_ref(), Some(ask), 200, Why::BrokeOff);
    }

    fn keep(
        &self, now: Instant, arrived: Instant, id: Option<&HeaderValue>, ask: Option<&Asking>, status: u16,
        why: Why,
    ) {
        let tries: Box<[Try]> = ask.map(|ask| ask.tries.borrow().as_slice().into()).unwrap_or_default();
        let id = id.map(HeaderValue::as_bytes).unwrap_or_default();
        let id = &id[..id.len().min(LONGEST)];
        let record = Record {
            at: now,
            took: now.saturating_duration_since(arrived),
            id: String::from_utf8_lossy(id).into(),
            route: ask.map(|ask| ask.route.clone()),
            tenant: ask.and_then(|ask| ask.tenant.clone()),
            status,
            why,
            tries,
        };
        let unsent = record.tries.is_empty() && !matches!(why, Why::BrokeOff | Why::Said | Why::Late);
        if unsent { &self.unsent } else { &self.sent }.borrow_mut().push(record);
    }

    /// The records of the requests with the given id, or of all requests, newest first.
    pub fn requests(&self, id: Option<&str>, most: usize) -> Vec<Value> {
        let (sent, unsent, now) = (self.sent.borrow(), self.unsent.borrow(), Instant::now());
        let all = sent.newest().chain(unsent.newest());
        let mut found: Vec<_> = all.filter(|r| id.is_none_or(|id| &*r.id == id)).collect();
        found.sort_by_key(|record| std::cmp::Reverse(record.at));
        let told = |r: &Record| {
            let tries: Vec<_> = r
                .tries
                .iter()
                .map(|(backend, outcome)| json!({ "backend": &**backend, "outcome": OUTCOMES[place(*outcome)].1 }))
                .collect();
            json!({ "id": &*r.id, "age_ms": (now - r.at).as_millis() as u64, "took_ms": r.took.as_millis() as u64,
                "route": r.route.as_deref(), "tenant": r.tenant.as_deref(), "tries": tries, "status": r.status,
                "outcome": WHYS[r.why as usize].1, "why": WHYS[r.why as usize].2 })
        };
        found.into_iter().take(most).map(told).collect()
    }

    /// The events whose text contains the given word, or all events, newest first.
    pub fn notes(&self, about: Option<&str>) -> Vec<Value> {
        let (notes, now) = (self.notes.borrow(), Instant::now());
        let hits = |note: &&Note| {
            let words =
                |word: &str| note.text.split([' ', ',']).any(|part| part.trim_end_matches(':') == word);
            about.is_none_or(words)
        };
        let told = |n: &Note| {
            json!({ "age_ms": (now - n.at).as_millis() as u64, "step": n.step, "subject": about,
                "text": &*n.text, "version": format!("r{}", n.version) })
        };
        notes.newest().filter(hits).map(told).collect()
    }

    fn counts(&self) -> Vec<(Vec<(&'static str, String)>, u64)> {
        rows("", &self.nowhere)
    }
}

fn rows(service: &str, counts: &Counts) -> Vec<(Vec<(&'static str, String)>, u64)> {
    let row = |(_, outcome, _): &(Why, &'static str, &'static str)| {
        vec![("service", service.to_owned()), ("outcome", (*outcome).to_owned())]
    };
    let counted = WHYS.iter().zip(&counts.whys).filter(|(_, count)| count.get() > 0);
    counted.map(|(why, count)| (row(why), count.get())).collect()
}

fn cut(text: &str) -> Box<str> {
    text.chars().take(LONGEST).collect::<String>().into()
}

/// Tracks one request through the data plane. If dropped without an answer, the request counts as abandoned by its
/// client.
pub struct Trail<'q> {
    data_plane: &'q DataPlane,
    arrived: Instant,
    id: Option<HeaderValue>,
    ended: bool,
    /// The parsed request, once its head is known to be valid.
    pub ask: Option<Rc<Asking>>,
    pub service: Option<Rc<Service>>,
    /// The outcome, if the status of the answer does not determine the outcome.
    pub why: Option<Why>,
}

impl<'q> Trail<'q> {
    pub fn new(data_plane: &'q DataPlane, arrived: Instant, id: Option<HeaderValue>) -> Self {
        Self { data_plane, arrived, id, ended: false, ask: None, service: None, why: None }
    }

    /// Records the answer to the request.
    pub fn answered(mut self, status: u16, fault: Option<Why>) {
        let said = if status >= 500 { Why::Said } else { Why::Served };
        self.end(status, fault.or(self.why).unwrap_or(said));
    }

    fn end(&mut self, status: u16, why: Why) {
        self.ended = true;
        let (now, watch) = (Instant::now(), self.data_plane.watch());
        let counts = self.service.as_ref().map_or(&watch.nowhere, |service| &service.counts);
        counts.add(why, now.saturating_duration_since(self.arrived));
        let ask = self.ask.as_deref();
        if why != Why::Served || ask.is_some_and(|ask| !ask.tries.borrow().is_empty()) {
            watch.keep(now, self.arrived, self.id.as_ref(), ask, status, why);
        }
    }
}

impl Drop for Trail<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0, Why::Left);
        }
    }
}

impl DataPlane {
    /// The metrics page.
    pub fn metrics(&self) -> String {
        let watch = self.watch();
        let mut page = Page::of("data-plane", watch.began.elapsed().as_millis() as u64);
        page.gauge("ready", "1 while new clients should come here", f64::from(u8::from(self.is_ready())));
        page.gauge("config_version", "Version in force here", watch.version.get() as f64);
        page.gauge(
            "active_requests",
            "Requests that are taken and have not ended",
            self.active_requests() as f64,
        );
        let services = self.services();
        let all = services.iter().flat_map(|(name, service)| rows(name, &service.counts));
        page.counters("requests", "Requests by service and what became of them", all.chain(watch.counts()));
        let (mut times, mut sum) = ([0; BOUNDS.len() + 1], 0.0);
        for (_, service) in &services {
            times.iter_mut().zip(&service.counts.times).for_each(|(all, times)| *all += times.get());
            sum += service.counts.sum.get();
        }
        page.histogram(
            "answer_seconds",
            "Time to the answer of requests that were served",
            &BOUNDS,
            &times,
            sum,
        );
        let tries = OUTCOMES.iter().zip(&watch.tries);
        let tries = tries.map(|((_, outcome), n)| (vec![("outcome", (*outcome).to_owned())], n.get()));
        page.counters("tries", "Attempts at backends by how they ended", tries);
        let row = |name: &Name| vec![("service", name.to_string())];
        let pools = self.pools();
        let of = |figure: fn(&doorcourse::Pool) -> f64| -> Vec<_> {
            pools.iter().map(|(name, pool)| (row(name), figure(pool))).collect()
        };
        page.gauges("backends", "Backends that are known, by service", of(|pool| pool.size as f64));
        page.gauges("backends_avoided", "Backends that are avoided now", of(|pool| pool.ejected as f64));
        let counted = |figure: fn(&doorcourse::Pool) -> u64| -> Vec<_> {
            pools.iter().map(|(name, pool)| (row(name), figure(pool))).collect()
        };
        page.counters(
            "tries_denied",
            "Further attempts not made, as they were too many",
            counted(|p| p.retries_denied),
        );
        page.counters(
            "too_late",
            "Requests refused unsent with too little time left",
            counted(|p| p.too_late),
        );
        let (late, latest) = self.figures().lateness().told();
        page.counter("loop_late", "Times that the event loop ran late", late);
        page.gauge("loop_latest_seconds", "The most that it ran late", latest.as_secs_f64());
        let dropped = watch.sent.borrow().dropped() + watch.unsent.borrow().dropped();
        page.counter("records_dropped", "Records of requests that made room for others", dropped);
        page.text()
    }
}
