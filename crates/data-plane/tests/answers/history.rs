//! The history of a random scenario, and the checks of its invariants.

use crate::backend::{Behavior, FaultyBackend};
use crate::callers::{Call, run_callers};
use crate::clock::run_on_simulated_clock;
use crate::helper::{HttpMessage, TestGateway, default_config};
use data_plane::Faults;
use fault_injection::Random;
use protocol::Backend;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The `max_tries` of the routes.
const MAX_BACKENDS_PER_REQUEST: usize = 2;
/// The maximum number of backends of a scenario. With one backend only, every retry goes to the same backend.
const MAX_BACKENDS: u64 = 3;
/// Statuses which promise that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// How often the control plane reports all backends as healthy.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// The time after which the backends have finished, once all callers are done.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A caller received an answer that is not the complete answer to its own request.
    ForeignAnswer { id: String, status: u16 },
    /// An effectful request ran more than once.
    DuplicateExecution { id: String, behaviors: Vec<Behavior> },
    /// An effectful request ran although its answer promised that the request would not run.
    BrokenPromise { id: String, status: u16, behaviors: Vec<Behavior> },
    /// A backend received a request that no client sent.
    AlteredRequest { id: String },
    /// The gateway reused a connection that must not be reused.
    InvalidConnectionReused { behavior: Behavior },
    /// A request reached more backends than its route allows.
    TooManyBackends { id: String },
}

/// The recorded events of a scenario.
#[derive(Default)]
pub struct History {
    pub calls: RefCell<BTreeMap<String, Call>>,
    pub arrived: RefCell<BTreeMap<String, BTreeSet<String>>>,
    pub ran: RefCell<BTreeMap<String, Vec<Behavior>>>,
    pub violations: RefCell<Vec<Violation>>,
    pub reused: Cell<usize>,
    answers: RefCell<Vec<(String, Option<HttpMessage>)>>,
}

impl History {
    /// Records the answer to a request, or the end of its connection.
    pub fn record_answer(&self, id: &str, answer: Option<HttpMessage>) {
        self.answers.borrow_mut().push((id.to_owned(), answer));
    }

    /// Records that a request reached a backend.
    pub fn record_arrival(&self, id: &str, backend: &str) {
        self.arrived.borrow_mut().entry(id.to_owned()).or_default().insert(backend.to_owned());
    }

    /// Records that a backend runs a request, of which the backend has read `request`.
    pub fn record_run(&self, behavior: Behavior, id: &str, request: &HttpMessage) {
        self.ran.borrow_mut().entry(id.to_owned()).or_default().push(behavior);
        let calls = self.calls.borrow();
        let was_sent = calls.get(id).is_some_and(|call| {
            request.line == format!("POST {} HTTP/1.1", call.path())
                && (!request.whole || call.body() == request.body)
        });
        if !was_sent {
            self.violations.borrow_mut().push(Violation::AlteredRequest { id: id.to_owned() });
        }
    }

    fn evaluate(&self) -> Outcome {
        let mut outcome = Outcome { reused: self.reused.get(), ..Outcome::default() };
        let (calls, ran) = (self.calls.borrow(), self.ran.borrow());
        let mut violations = self.violations.take();
        for (id, answer) in &*self.answers.borrow() {
            let Some(answer) = answer else { continue };
            let (status, runs) = (answer.status(), ran.get(id).cloned().unwrap_or_default());
            if !is_own_answer(id, answer) {
                violations.push(Violation::ForeignAnswer { id: id.clone(), status });
            }
            let effectful = calls.get(id).is_some_and(|call| call.effectful);
            if effectful && NOT_RUN_STATUSES.contains(&status) && !runs.is_empty() {
                violations.push(Violation::BrokenPromise { id: id.clone(), status, behaviors: runs });
            }
            match status {
                200 if answer.whole => outcome.served += 1,
                503 => outcome.refused += 1,
                _ => outcome.failed += 1,
            }
        }
        for (id, runs) in ran.iter().filter(|(_, runs)| runs.len() > 1) {
            if calls.get(id).is_none_or(|call| call.effectful) {
                violations.push(Violation::DuplicateExecution { id: id.clone(), behaviors: runs.clone() });
            }
        }
        for (id, backends) in &*self.arrived.borrow() {
            if backends.len() > MAX_BACKENDS_PER_REQUEST {
                violations.push(Violation::TooManyBackends { id: id.clone() });
            }
        }
        outcome.violations = violations;
        outcome
    }
}

/// The body of the request with this id, and of the answer to that request.
pub fn body_for(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// Whether an answer belongs to the request. A truncated answer belongs to the request if it is recognisably truncated.
fn is_own_answer(id: &str, answer: &HttpMessage) -> bool {
    let echoed_id = answer.header("x-attempt-id");
    if answer.status() != 200 {
        return echoed_id.is_none_or(|echoed_id| echoed_id == id);
    }
    let length = answer.header("x-length").and_then(|length| length.parse().ok()).unwrap_or(usize::MAX);
    let whole = answer.body.len() == length;
    echoed_id == Some(id)
        && answer.header("x-server-seal") == Some(&format!("s-{id}"))
        && answer.body == body_for(id, answer.body.len())
        && (whole || !answer.whole)
}

/// The result of a scenario.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// The number of requests on connections that had served a request before.
    pub reused: usize,
}

/// Runs the scenario of this seed.
pub fn run_scenario(seed: u64, faults: Faults) -> Outcome {
    run_on_simulated_clock(async move {
        let history = Rc::<History>::default();
        let mut backends = Vec::new();
        for number in 0..1 + seed % MAX_BACKENDS {
            let random = Random::new(seed, "backend", number);
            backends.push(FaultyBackend::start(&format!("i-{number}"), random, history.clone()).await);
        }
        let gateway = TestGateway::start(default_config(), &backends.iter().collect::<Vec<_>>()).await;
        gateway.data_plane.inject_faults(faults);
        let data_plane = gateway.data_plane.clone();
        let backends: Vec<Backend> = backends.iter().map(|backend| backend.backend.clone()).collect();
        let heartbeats = spawn_local(async move {
            for call_count in (2..).step_by(2) {
                sleep(HEARTBEAT_INTERVAL).await;
                // A backend whose heartbeats were overdue and resume gets requests at once, despite earlier failures.
                for (call_count, overdue) in [(call_count, true), (call_count + 1, false)] {
                    let update = |backend: &Backend| Backend { call_count, overdue, ..backend.clone() };
                    data_plane.update_backends(&backends.iter().map(update).collect::<Vec<_>>(), false);
                }
            }
        });
        run_callers(seed, gateway.client_address, &history).await;
        sleep(SETTLE_TIME).await;
        heartbeats.abort();
        history.evaluate()
    })
}
