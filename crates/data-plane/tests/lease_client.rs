//! The lease client against scripted quota holders: what happens to client requests that wait for a lease.

use data_plane::{Admission, AdmissionDecision, LeaseClient};
use quota::{CounterStatus, Epoch, Grant, LeaseRequest, Quota, TenantGrant};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const TENANT: &str = "t";
const MAX_WAIT: Duration = Duration::from_secs(60);
/// No refusal delays a client by more than two windows; the longest window takes 1.6 s.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3200);
/// A decision that does not come within this time never comes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A lease client of a fleet of three gateways, and the number of the last lease request that it sent.
struct Gateway {
    lease_client: Rc<LeaseClient>,
    last_sent: Rc<Cell<u64>>,
}

impl Gateway {
    /// Starts a lease client with one tenant. `sends` decides which lease requests reach the holder.
    fn start(sends: impl Fn(&LeaseRequest) -> bool + 'static) -> Self {
        let last_sent: Rc<Cell<u64>> = Rc::default();
        let number = last_sent.clone();
        let send = move |_: &str, lease_request: LeaseRequest| {
            number.set(lease_request.number);
            sends(&lease_request)
        };
        let lease_client = LeaseClient::start(1, Box::new(send));
        lease_client.set_gateway_count(3, true);
        lease_client.set_quotas(table());
        Self { lease_client, last_sent }
    }

    /// Answers the last lease request with units of a window that lasts for a minute.
    fn grant(&self, granted: u32, remaining: u32) {
        self.grant_until(granted, remaining, 60_000.0);
    }

    /// Answers the last lease request with units of a window that ends in `ends_in` ms.
    fn grant_until(&self, granted: u32, remaining: u32, ends_in: f64) {
        let tenant_grant = TenantGrant {
            tenant: TENANT.into(),
            window: 1,
            granted,
            remaining,
            ends_in,
            status: CounterStatus::Open,
        };
        self.lease_client.apply_grant(Grant {
            number: self.last_sent.get(),
            epoch: Epoch::first(1),
            grants: vec![tenant_grant],
        });
    }

    /// Sends a client request that has to wait for a lease.
    fn wait_for_unit(&self) -> tokio::sync::oneshot::Receiver<Result<(), Duration>> {
        match self.lease_client.acquire(TENANT, MAX_WAIT) {
            AdmissionDecision::Pending(receiver) => receiver,
            decision => panic!("the request did not wait for a lease: {decision:?}"),
        }
    }
}

fn table() -> Vec<Quota> {
    vec![Quota { tenant: TENANT.into(), rate_per_s: 10.0, burst: 10.0 }]
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("the runtime starts");
    let limited = async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("every decision arrives") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

#[test]
fn a_unit_granted_to_a_disconnected_client_goes_to_another_request() {
    run(async {
        let gateway = Gateway::start(|lease_request| lease_request.number == 1);
        drop(gateway.wait_for_unit());
        // The only unit of the window.
        gateway.grant(1, 0);
        assert!(matches!(gateway.lease_client.acquire(TENANT, MAX_WAIT), AdmissionDecision::Granted));
        let decision = gateway.lease_client.acquire(TENANT, MAX_WAIT);
        assert!(matches!(decision, AdmissionDecision::Refused { .. }), "{decision:?}");
    });
}

/// Guards against an abort of the data plane: a configuration takes a tenant away whose request waits for a lease.
#[test]
fn a_request_whose_tenant_is_taken_away_is_refused_and_the_process_goes_on() {
    run(async {
        let gateway = Gateway::start(|_| true);
        let waiting = gateway.wait_for_unit();
        gateway.lease_client.set_quotas(Vec::new());
        let refused = waiting.await.expect("a decision").expect_err("the tenant is gone");
        assert!(refused <= MAX_RETRY_AFTER, "{refused:?}");
        // The same for a request that was read before the configuration came.
        match gateway.lease_client.acquire(TENANT, MAX_WAIT) {
            AdmissionDecision::Refused { retry_after } => assert!(retry_after <= MAX_RETRY_AFTER),
            decision => panic!("{decision:?}"),
        }
    });
}

/// Guards against an abort at the first request of a tenant that was taken away beside a late grant and came back.
#[test]
fn a_tenant_that_comes_back_waits_for_a_lease_as_a_new_one() {
    run(async {
        let gateway = Gateway::start(|_| true);
        let first = gateway.wait_for_unit();
        gateway.grant(1, 5);
        assert_eq!(first.await.expect("a decision"), Ok(()));
        // This request is decided by the removal or by the late grant of the same window.
        let _undecided = gateway.wait_for_unit();
        gateway.lease_client.set_quotas(Vec::new());
        gateway.grant(1, 0);
        gateway.lease_client.set_quotas(table());
        let returned = gateway.wait_for_unit();
        gateway.grant(1, 0);
        assert_eq!(returned.await.expect("a decision"), Ok(()));
    });
}

/// Guards against an abort, and against units without an end, by a grant whose window does not end.
#[test]
fn a_grant_of_a_window_without_an_end_is_ignored() {
    run(async {
        for ends_in in [f64::INFINITY, f64::NAN, f64::NEG_INFINITY, f64::MAX] {
            let gateway = Gateway::start(|_| true);
            let waiting = gateway.wait_for_unit();
            gateway.grant_until(0, 0, ends_in);
            // The request waits on, and is decided by the answer to the next lease request.
            tokio::time::sleep(Duration::from_millis(50)).await;
            gateway.grant(1, 0);
            assert_eq!(waiting.await.expect("a decision"), Ok(()), "{ends_in}");
        }
    });
}
