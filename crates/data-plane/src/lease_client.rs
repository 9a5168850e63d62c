//! The lease cache of this gateway at work: asks for blocks, has requests wait for them, and tells what the cache says.

use crate::{Admission, Asked};
use quota::{Grant, HolderAssignment, LeaseCache, LeaseRequest, Quota, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// What a request that waits for a block is told.
type Word = Result<(), Duration>;

/// Sends a draw to a holder of counts, by its name.
type Send = Box<dyn Fn(&str, LeaseRequest) -> bool>;

/// Runs the lease cache.
pub struct LeaseClient {
    cache: RefCell<LeaseCache>,
    began: Instant,
    requests: Cell<u64>,
    /// Who waits, and for a unit of which tenant.
    waiting: RefCell<HashMap<u64, (String, oneshot::Sender<Word>)>>,
    /// Sends a draw to a holder of counts; false when it can't be sent.
    send: Send,
    stir: Notify,
}

impl LeaseClient {
    /// A cache that knows no tenants yet.
    pub fn start(seed: u64, send: Send) -> Rc<Self> {
        let lease_client = Rc::new(Self {
            cache: RefCell::new(LeaseCache::new(seed)),
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

    /// The quotas of a newer configuration.
    pub fn quotas(&self, quotas: Vec<Quota>) {
        self.cache.borrow_mut().set_quotas(self.now(), quotas);
        self.stir.notify_one();
    }

    /// How many gateways there are, by a word of control that is of this moment or not.
    pub fn fleet(&self, gateways: u32, fresh: bool) {
        self.cache.borrow_mut().update_fleet_size(self.now(), gateways, fresh);
    }

    /// Ends admission: from now on nothing is spent, so that this gateway may say that it has ended.
    pub fn close(&self) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().close(self.now(), &mut verdicts);
        self.tell(verdicts);
    }

    /// Who holds the counts from now on.
    pub fn assignment(&self, assignment: &HolderAssignment) {
        self.cache.borrow_mut().set_assignment(assignment);
        self.stir.notify_one();
    }

    /// A holder answered.
    pub fn granted(&self, grant: Grant) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().handle_grant(self.now(), grant, &mut verdicts);
        self.tell(verdicts);
        self.draw();
    }

    /// A draw gets no answer.
    pub fn unanswered(&self, number: u64) {
        self.cache.borrow_mut().request_failed(self.now(), number);
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
            // Its client may have left meanwhile: what it was granted goes back.
            if waits.send(word).is_err_and(|word| word.is_ok()) {
                self.give_back(&tenant);
            }
        }
    }

    fn draw(&self) {
        let draws = self.cache.borrow_mut().lease_requests(self.now());
        for (to, draw) in draws {
            let number = draw.number;
            if !(self.send)(&to, draw) {
                self.unanswered(number);
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
            let due = lease_client.cache.borrow().next_deadline();
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
    fn ask(&self, tenant: &str, wait_at_most: Duration) -> Asked {
        let (now, request) = (self.now(), self.requests.get());
        self.requests.set(request + 1);
        let most = wait_at_most.as_secs_f64() * 1000.0;
        let verdict = self.cache.borrow_mut().admit(now, request, tenant, most);
        let asked = match verdict {
            Verdict::Granted => Asked::Granted,
            Verdict::Refused { retry_after } => Asked::Refused { retry_after: span(retry_after) },
            Verdict::Wait { .. } => {
                let (word, told) = oneshot::channel();
                self.waiting.borrow_mut().insert(request, (tenant.to_owned(), word));
                Asked::Wait(told)
            }
        };
        // Blocks are renewed before they run dry, and who waits needs one now.
        self.draw();
        if matches!(asked, Asked::Wait(_)) {
            self.stir.notify_one();
        }
        asked
    }

    fn give_back(&self, tenant: &str) {
        self.cache.borrow_mut().return_unit(self.now(), tenant);
    }
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota::{CounterStatus, Epoch, TenantGrant};

    #[test]
    fn what_was_granted_to_a_client_that_has_left_is_another_one_s() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let sent: Rc<Cell<u64>> = Rc::default();
            let number = sent.clone();
            let lease_client =
                LeaseClient::start(1, Box::new(move |_, draw| number.replace(draw.number) == 0));
            lease_client.fleet(3, true);
            lease_client.quotas(vec![Quota { tenant: "t".into(), rate_per_s: 10.0, burst: 10.0 }]);
            let wait = Duration::from_secs(60);
            let Asked::Wait(word) = lease_client.ask("t", wait) else { panic!("no block is in hand") };
            drop(word);
            // The window's only unit.
            let share = TenantGrant {
                tenant: "t".into(),
                window: 1,
                granted: 1,
                remaining: 0,
                ends_in: 60_000.0,
                status: CounterStatus::Open,
            };
            lease_client.granted(Grant { number: sent.get(), epoch: Epoch::first(1), grants: vec![share] });
            assert!(matches!(lease_client.ask("t", wait), Asked::Granted));
            assert!(matches!(lease_client.ask("t", wait), Asked::Refused { .. }));
        });
    }
}
