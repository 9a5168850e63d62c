//! Runs this gateway's quota lease cache: requests leases from their holders and lets client requests wait for them.

use crate::{Admission, AdmissionDecision};
use quota::{Cache, Grant, HolderAssignment, LeaseRequest, Quota, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// The result for a client request that waits for a lease: a unit, or the time after which to retry.
type Word = Result<(), Duration>;

/// Sends a lease request to the quota holder with the given name. Returns false if the request cannot be sent.
type Send = Box<dyn Fn(&str, LeaseRequest) -> bool>;

/// Drives the lease cache and sends its lease requests.
pub struct LeaseClient {
    cache: RefCell<Cache>,
    began: Instant,
    requests: Cell<u64>,
    /// The waiting client requests by number, each with its tenant and the channel for its result.
    waiting: RefCell<HashMap<u64, (String, oneshot::Sender<Word>)>>,
    /// Sends a lease request to a quota holder. Returns false if the request cannot be sent.
    send: Send,
    stir: Notify,
}

impl LeaseClient {
    /// Starts a lease cache without tenants.
    pub fn start(seed: u64, send: Send) -> Rc<Self> {
        let lease_client = Rc::new(Self {
            cache: RefCell::new(Cache::new(seed)),
            began: Instant::now(),
            requests: Cell::new(0),
            waiting: RefCell::default(),
            send,
            stir: Notify::new(),
        });
        tokio::task::spawn_local(Self::run(Rc::downgrade(&lease_client)));
        lease_client
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Applies the quotas of a newer configuration.
    pub fn set_quotas(&self, quotas: Vec<Quota>) {
        self.cache.borrow_mut().quotas(self.now(), quotas);
        self.stir.notify_one();
    }

    /// Sets the number of gateways. `fresh` states whether the control plane process that reports the number has recent
    /// contact with the leader.
    pub fn set_gateway_count(&self, gateways: u32, fresh: bool) {
        self.cache.borrow_mut().fleet_told(self.now(), gateways, fresh);
    }

    /// Ends admission for good. No unit is spent afterwards, so that the gateway may report that it has ended.
    pub fn close(&self) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().close(self.now(), &mut verdicts);
        self.tell(verdicts);
    }

    /// Applies a new assignment of quota holders.
    pub fn apply_assignment(&self, assignment: &HolderAssignment) {
        self.cache.borrow_mut().assignment(assignment);
        self.stir.notify_one();
    }

    /// Applies the answer of a quota holder.
    pub fn apply_grant(&self, grant: Grant) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().granted(self.now(), grant, &mut verdicts);
        self.tell(verdicts);
        self.draw();
    }

    /// Gives up a lease request that received no answer.
    pub fn abandon_lease_request(&self, number: u64) {
        self.cache.borrow_mut().silent(self.now(), number);
        self.stir.notify_one();
    }

    fn tell(&self, verdicts: Vec<(u64, Verdict)>) {
        for (request, verdict) in verdicts {
            let word = match verdict {
                Verdict::Granted => Ok(()),
                Verdict::Refused { retry_after } => Err(span(retry_after)),
                Verdict::Wait { .. } => continue,
            };
            let Some((tenant, waits)) = self.waiting.borrow_mut().remove(&request) else { continue };
            // The client may have disconnected meanwhile, in which case its unit is returned.
            if waits.send(word).is_err_and(|word| word.is_ok()) {
                self.refund(&tenant);
            }
        }
    }

    fn draw(&self) {
        let draws = self.cache.borrow_mut().draw(self.now());
        for (to, draw) in draws {
            let number = draw.number;
            if !(self.send)(&to, draw) {
                self.abandon_lease_request(number);
            }
        }
    }

    async fn run(me: Weak<Self>) {
        loop {
            let Some(lease_client) = me.upgrade() else { return };
            let mut verdicts = Vec::new();
            lease_client.cache.borrow_mut().tick(lease_client.now(), &mut verdicts);
            lease_client.tell(verdicts);
            lease_client.draw();
            let due = lease_client.cache.borrow().next_due();
            let due = due.map(|due| lease_client.began + span(due.max(lease_client.now() + 1.0)));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_millis(500));
            tokio::select! {
                () = sleep_until(due) => {}
                () = lease_client.stir.notified() => {}
            }
        }
    }
}

impl Admission for LeaseClient {
    fn acquire(&self, tenant: &str, wait_at_most: Duration) -> AdmissionDecision {
        let (now, request) = (self.now(), self.requests.get());
        self.requests.set(request + 1);
        let most = wait_at_most.as_secs_f64() * 1000.0;
        let verdict = self.cache.borrow_mut().ask(now, request, tenant, most);
        let asked = match verdict {
            Verdict::Granted => AdmissionDecision::Granted,
            Verdict::Refused { retry_after } => AdmissionDecision::Refused { retry_after: span(retry_after) },
            Verdict::Wait { .. } => {
                let (word, told) = oneshot::channel();
                self.waiting.borrow_mut().insert(request, (tenant.to_owned(), word));
                AdmissionDecision::Pending(told)
            }
        };
        // Leases are renewed before they are used up, and a waiting request needs a lease now.
        self.draw();
        if matches!(asked, AdmissionDecision::Pending(_)) {
            self.stir.notify_one();
        }
        asked
    }

    fn refund(&self, tenant: &str) {
        self.cache.borrow_mut().give_back(self.now(), tenant);
    }
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota::{Epoch, Share, Standing};

    #[test]
    fn what_was_granted_to_a_client_that_has_left_is_another_one_s() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let sent: Rc<Cell<u64>> = Rc::default();
            let number = sent.clone();
            let lease_client =
                LeaseClient::start(1, Box::new(move |_, draw| number.replace(draw.number) == 0));
            lease_client.set_gateway_count(3, true);
            lease_client.set_quotas(vec![Quota { tenant: "t".into(), rate_per_s: 10.0, burst: 10.0 }]);
            let wait = Duration::from_secs(60);
            let AdmissionDecision::Pending(word) = lease_client.acquire("t", wait) else {
                panic!("no block is in hand")
            };
            drop(word);
            // The only unit of the window.
            let share = Share {
                tenant: "t".into(),
                window: 1,
                granted: 1,
                left: 0,
                ends_in: 60_000.0,
                standing: Standing::Open,
            };
            lease_client.apply_grant(Grant {
                number: sent.get(),
                epoch: Epoch::first(1),
                shares: vec![share],
            });
            assert!(matches!(lease_client.acquire("t", wait), AdmissionDecision::Granted));
            assert!(matches!(lease_client.acquire("t", wait), AdmissionDecision::Refused { .. }));
        });
    }
}
