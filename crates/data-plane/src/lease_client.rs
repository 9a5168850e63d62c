//! Runs this gateway's quota lease cache: requests leases from their holders and lets client requests wait for them.
//!
//! A quota holder is the control plane process that counts the units used of a tenant's quota. A lease is a number of
//! units that the holder grants to one gateway for a limited time. A client request spends one unit.

use crate::{Admission, AdmissionDecision};
use http_proxy::time::clock::{millis, to_duration};
use quota::{Grant, HolderAssignment, LeaseCache, LeaseRequest, Quota, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// The result for a client request that waits for a lease: a unit, or the time after which to retry.
type WaitResult = Result<(), Duration>;

/// Sends a lease request to the quota holder with the given name. Returns false if the request cannot be sent.
type SendLeaseRequest = Box<dyn Fn(&str, LeaseRequest) -> bool>;

/// Drives the lease cache and sends its lease requests.
pub struct LeaseClient {
    cache: RefCell<LeaseCache>,
    started: Instant,
    /// The number of the next client request.
    next_request: Cell<u64>,
    /// The waiting client requests by number, each with its tenant and the channel for its result.
    waiting: RefCell<HashMap<u64, (String, oneshot::Sender<WaitResult>)>>,
    /// Sends a lease request to a quota holder. Returns false if the request cannot be sent.
    send: SendLeaseRequest,
    wake: Notify,
}

impl LeaseClient {
    /// Starts a lease cache without tenants.
    pub fn start(seed: u64, send: SendLeaseRequest) -> Rc<Self> {
        let lease_client = Rc::new(Self {
            cache: RefCell::new(LeaseCache::new(seed)),
            started: Instant::now(),
            next_request: Cell::new(0),
            waiting: RefCell::default(),
            send,
            wake: Notify::new(),
        });
        tokio::task::spawn_local(Self::run(Rc::downgrade(&lease_client)));
        lease_client
    }

    /// The time since the start, in ms, which is the clock of the lease cache.
    fn now_ms(&self) -> f64 {
        millis(self.started.elapsed())
    }

    /// Applies the quotas of a newer configuration.
    pub fn set_quotas(&self, quotas: Vec<Quota>) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().set_quotas(self.now_ms(), quotas, &mut verdicts);
        self.deliver(verdicts);
        self.wake.notify_one();
    }

    /// Sets the number of gateways. `fresh` states whether the control plane process that reports the number has recent
    /// contact with the leader.
    pub fn set_gateway_count(&self, gateways: u32, fresh: bool) {
        self.cache.borrow_mut().update_fleet_size(self.now_ms(), gateways, fresh);
    }

    /// Ends admission permanently. The gateway spends no unit afterwards, so the gateway may report that it has
    /// ended.
    pub fn close(&self) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().close(self.now_ms(), &mut verdicts);
        self.deliver(verdicts);
    }

    /// Applies a new assignment of quota holders.
    pub fn apply_assignment(&self, assignment: &HolderAssignment) {
        self.cache.borrow_mut().set_assignment(assignment);
        self.wake.notify_one();
    }

    /// Applies the answer of a quota holder.
    pub fn apply_grant(&self, grant: Grant) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().handle_grant(self.now_ms(), grant, &mut verdicts);
        self.deliver(verdicts);
        self.send_lease_requests();
    }

    /// Gives up a lease request that received no answer.
    pub fn abandon_lease_request(&self, number: u64) {
        self.cache.borrow_mut().request_failed(self.now_ms(), number);
        self.wake.notify_one();
    }

    /// Delivers the lease cache's verdicts (a unit, or a retry delay) to the waiting requests.
    fn deliver(&self, verdicts: Vec<(u64, Verdict)>) {
        for (request, verdict) in verdicts {
            let result = match verdict {
                Verdict::Granted => Ok(()),
                Verdict::Refused { retry_after } => Err(to_duration(retry_after)),
                Verdict::Wait { .. } => continue,
            };
            let Some((tenant, sender)) = self.waiting.borrow_mut().remove(&request) else { continue };
            // The client may have disconnected meanwhile, in which case its unit is returned.
            if sender.send(result).is_err_and(|result| result.is_ok()) {
                self.refund(&tenant);
            }
        }
    }

    /// Sends the lease requests that are due.
    fn send_lease_requests(&self) {
        let lease_requests = self.cache.borrow_mut().lease_requests(self.now_ms());
        for (holder, lease_request) in lease_requests {
            let number = lease_request.number;
            if !(self.send)(&holder, lease_request) {
                self.abandon_lease_request(number);
            }
        }
    }

    /// Advances the lease cache whenever a timer of the cache is due or `wake` is notified.
    async fn run(weak: Weak<Self>) {
        loop {
            let Some(lease_client) = weak.upgrade() else { return };
            let mut verdicts = Vec::new();
            lease_client.cache.borrow_mut().tick(lease_client.now_ms(), &mut verdicts);
            lease_client.deliver(verdicts);
            lease_client.send_lease_requests();
            let due = lease_client.cache.borrow().next_deadline();
            let due = due.map(|due| lease_client.started + to_duration(due.max(lease_client.now_ms() + 1.0)));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_millis(500));
            tokio::select! {
                () = sleep_until(due) => {}
                () = lease_client.wake.notified() => {}
            }
        }
    }
}

impl Admission for LeaseClient {
    fn acquire(&self, tenant: &str, max_wait: Duration) -> AdmissionDecision {
        let (now, request) = (self.now_ms(), self.next_request.get());
        self.next_request.set(request + 1);
        let verdict = self.cache.borrow_mut().admit(now, request, tenant, millis(max_wait));
        let decision = match verdict {
            Verdict::Granted => AdmissionDecision::Granted,
            Verdict::Refused { retry_after } => {
                AdmissionDecision::Refused { retry_after: to_duration(retry_after) }
            }
            Verdict::Wait { .. } => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.borrow_mut().insert(request, (tenant.to_owned(), sender));
                AdmissionDecision::Pending(receiver)
            }
        };
        // A client request can make a lease request due: to renew a lease early, or to serve the waiting request.
        self.send_lease_requests();
        if matches!(decision, AdmissionDecision::Pending(_)) {
            self.wake.notify_one();
        }
        decision
    }

    fn refund(&self, tenant: &str) {
        self.cache.borrow_mut().return_unit(self.now_ms(), tenant);
    }
}
