//! What happened in a drawn world, and what must not have.

use crate::backend::{Act, Unruly};
use crate::callers::{Call, call_all};
use crate::clock::on_own_clock;
use crate::helper::{Heard, World, usual};
use data_plane::Faults;
use fault_injection::Random;
use protocol::Backend;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A route's own bound on the backends that one request may reach.
const MOST_BACKENDS: usize = 2;
/// Worlds have so many backends at the most. With one only, each further try goes to the same.
const MOST_IN_A_WORLD: u64 = 3;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Backends are announced anew this often, as ones that are well.
const BEATS: Duration = Duration::from_millis(40);
/// What backends still do once all callers are done is over by then.
const AFTERWARDS: Duration = Duration::from_millis(500);

/// Something that must not happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A caller got what was not the whole answer to its own request.
    ForeignAnswer { id: String, status: u16 },
    /// A request that may not be repeated ran more than once.
    RanTwice { id: String, acts: Vec<Act> },
    /// A request ran that was answered by a promise that it never would.
    BrokenPromise { id: String, status: u16, acts: Vec<Act> },
    /// A backend got a request that no client sent.
    ChangedRequest { id: String },
    /// Something was written to a connection on which something odd had come.
    OddReused { act: Act },
    /// A request reached more backends than its route allows.
    TooManyBackends { id: String },
}

/// What is noted while a world runs.
#[derive(Default)]
pub struct History {
    pub calls: RefCell<BTreeMap<String, Call>>,
    pub arrived: RefCell<BTreeMap<String, BTreeSet<String>>>,
    pub ran: RefCell<BTreeMap<String, Vec<Act>>>,
    pub found: RefCell<Vec<Violation>>,
    pub reused: Cell<usize>,
    answers: RefCell<Vec<(String, Option<Heard>)>>,
}

impl History {
    /// A caller has its answer, or its connection ended.
    pub fn answered(&self, id: &str, answer: Option<Heard>) {
        self.answers.borrow_mut().push((id.to_owned(), answer));
    }

    /// A request came to a backend.
    pub fn arrives(&self, id: &str, backend: &str) {
        self.arrived.borrow_mut().entry(id.to_owned()).or_default().insert(backend.to_owned());
    }

    /// A backend runs a request, of which it has read this much.
    pub fn runs(&self, act: Act, id: &str, heard: &Heard) {
        self.ran.borrow_mut().entry(id.to_owned()).or_default().push(act);
        let calls = self.calls.borrow();
        let asked = calls.get(id).is_some_and(|call| {
            heard.line == format!("POST {} HTTP/1.1", call.path())
                && (!heard.whole || call.body() == heard.body)
        });
        if !asked {
            self.found.borrow_mut().push(Violation::ChangedRequest { id: id.to_owned() });
        }
    }

    fn judge(&self) -> Outcome {
        let mut outcome = Outcome { reused: self.reused.get(), ..Outcome::default() };
        let (calls, ran) = (self.calls.borrow(), self.ran.borrow());
        let mut found = self.found.take();
        for (id, answer) in &*self.answers.borrow() {
            let Some(answer) = answer else { continue };
            let (status, runs) = (answer.status(), ran.get(id).cloned().unwrap_or_default());
            if !is_own(id, answer) {
                found.push(Violation::ForeignAnswer { id: id.clone(), status });
            }
            let effectful = calls.get(id).is_some_and(|call| call.effectful);
            if effectful && PROMISES.contains(&status) && !runs.is_empty() {
                found.push(Violation::BrokenPromise { id: id.clone(), status, acts: runs });
            }
            match status {
                200 if answer.whole => outcome.served += 1,
                503 => outcome.refused += 1,
                _ => outcome.failed += 1,
            }
        }
        for (id, runs) in ran.iter().filter(|(_, runs)| runs.len() > 1) {
            if calls.get(id).is_none_or(|call| call.effectful) {
                found.push(Violation::RanTwice { id: id.clone(), acts: runs.clone() });
            }
        }
        for (id, backends) in &*self.arrived.borrow() {
            if backends.len() > MOST_BACKENDS {
                found.push(Violation::TooManyBackends { id: id.clone() });
            }
        }
        outcome.violations = found;
        outcome
    }
}

/// Bytes by which the body of a request, or of the answer to it, is known.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// Whether an answer can be the one to this request, or a part of it that shows to be one.
fn is_own(id: &str, answer: &Heard) -> bool {
    let named = answer.header("x-attempt-id");
    if answer.status() != 200 {
        return named.is_none_or(|named| named == id);
    }
    let length = answer.header("x-length").and_then(|length| length.parse().ok()).unwrap_or(usize::MAX);
    let whole = answer.body.len() == length;
    named == Some(id)
        && answer.header("x-server-seal") == Some(&format!("s-{id}"))
        && answer.body == body_of(id, answer.body.len())
        && (whole || !answer.whole)
}

/// How a world went.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests that came to backends on connections that had served before.
    pub reused: usize,
}

/// Plays the world of this seed.
pub fn play(seed: u64, faults: Faults) -> Outcome {
    on_own_clock(async move {
        let history = Rc::<History>::default();
        let mut backends = Vec::new();
        for number in 0..1 + seed % MOST_IN_A_WORLD {
            let random = Random::new(seed, "backend", number);
            backends.push(Unruly::start(&format!("i-{number}"), random, history.clone()).await);
        }
        let world = World::start(usual(), &backends.iter().collect::<Vec<_>>()).await;
        world.data_plane.inject_faults(faults);
        let data_plane = world.data_plane.clone();
        let backends: Vec<Backend> = backends.iter().map(|backend| backend.backend.clone()).collect();
        let beats = spawn_local(async move {
            for call_count in (2..).step_by(2) {
                sleep(BEATS).await;
                // Whoever seems to be late and is heard again gets requests at once, whatever came from it before.
                for (call_count, overdue) in [(call_count, true), (call_count + 1, false)] {
                    let of = |backend: &Backend| Backend { call_count, overdue, ..backend.clone() };
                    data_plane.update_backends(&backends.iter().map(of).collect::<Vec<_>>(), false);
                }
            }
        });
        call_all(seed, world.front, &history).await;
        sleep(AFTERWARDS).await;
        beats.abort();
        history.judge()
    })
}
