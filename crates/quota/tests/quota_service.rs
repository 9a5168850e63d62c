//! Quota service, lease cache and holder assignment in situations that the randomized simulations rarely reach.

use quota::{
    CounterStatus, DEPUTY_TIMEOUT, Epoch, Grant, Handover, HolderAssigner, HolderAssignment, LeaseCache,
    LeaseRequest, Quota, QuotaService, TenantDemand, TenantGrant, Verdict,
};
use std::collections::BTreeSet;

const WINDOW: f64 = 400.0;

fn quota(tenant: &str) -> Quota {
    Quota { tenant: tenant.into(), rate_per_s: 50.0, burst: 10.0 }
}

fn assignment(number: u32, holders: &[&str]) -> HolderAssignment {
    HolderAssignment {
        epoch: Epoch { term: 1, number },
        holders: holders.iter().map(|h| (*h).to_owned()).collect(),
    }
}

fn request_units(quota_service: &mut QuotaService, now: f64, tenant: &str) -> TenantGrant {
    let demands = vec![TenantDemand { tenant: tenant.into(), needed: 5, requested: 5, returned: 0 }];
    let grant = quota_service
        .handle_request(now, "data-plane", &LeaseRequest { number: 1, epoch: Epoch::default(), demands })
        .expect("a grant");
    grant.grants.into_iter().next().expect("a tenant grant")
}

fn quota_service(name: &str, tenants: &[String]) -> QuotaService {
    let mut quota_service = QuotaService::new(name);
    quota_service.set_quotas(0.0, tenants.iter().map(|t| quota(t)).collect());
    quota_service.set_lease(1e9);
    quota_service
}

/// A tenant that moves from holder `one` to holder `two` when `two` becomes a holder.
fn tenant_that_moves() -> String {
    let two_holders = assignment(2, &["one", "two"]);
    (0..99)
        .map(|n| format!("t{n}"))
        .find(|t| two_holders.holder_of(t) == Some("two"))
        .expect("one of the tenants moves")
}

#[test]
fn adding_a_holder_moves_only_its_tenants() {
    let (three_holders, four_holders) =
        (assignment(1, &["a", "b", "c"]), assignment(2, &["a", "b", "c", "d"]));
    let tenants: Vec<String> = (0..400).map(|n| format!("tenant-{n}")).collect();
    let mut holders_after = BTreeSet::new();
    for tenant in &tenants {
        let (before, after) = (three_holders.holder_of(tenant), four_holders.holder_of(tenant));
        assert!(before == after || after == Some("d"), "{tenant} moves from {before:?} to {after:?}");
        holders_after.insert(after);
    }
    assert_eq!(holders_after.len(), 4);
    let moved = tenants.iter().filter(|t| four_holders.holder_of(t) == Some("d")).count();
    assert!((60..140).contains(&moved), "{moved} of 400 tenants move to one of four holders");
}

#[test]
fn handed_over_counter_keeps_its_state() {
    let tenant = tenant_that_moves();
    let tenants = [tenant.clone()];
    let (mut one, mut two) = (quota_service("one", &tenants), quota_service("two", &tenants));
    one.apply_assignment(0.0, &assignment(1, &["one"]), true);
    let before = request_units(&mut one, 10.0, &tenant);
    assert_eq!(before.granted, 5);
    let handovers = one.apply_assignment(20.0, &assignment(2, &["one", "two"]), false);
    assert!(!one.may_grant_for(20.0, &tenant));
    let (to, handover): (String, Handover) = handovers.into_iter().next().expect("a handover");
    assert_eq!(to, "two");
    two.apply_assignment(21.0, &assignment(2, &["one", "two"]), false);
    assert!(!two.may_grant_for(21.0, &tenant));
    assert_eq!(request_units(&mut two, 21.0, &tenant).status, CounterStatus::RetryLater);
    two.accept_handover(22.0, handover.clone());
    let after = request_units(&mut two, 22.0, &tenant);
    assert_eq!((after.status, after.window), (CounterStatus::Open, before.window));
    assert_eq!(after.remaining + after.granted, before.remaining);
    // A repeated handover changes nothing.
    let remaining = after.remaining;
    two.accept_handover(23.0, handover);
    assert!(request_units(&mut two, 23.0, &tenant).remaining <= remaining);
}

#[test]
fn counters_of_silent_holder_stay_closed_until_blocks_expire() {
    let tenant = tenant_that_moves();
    let mut two = quota_service("two", std::slice::from_ref(&tenant));
    two.apply_assignment(1000.0, &assignment(2, &["one", "two"]), false);
    assert_eq!(request_units(&mut two, 1200.0, &tenant).status, CounterStatus::FallbackSlice);
    assert!(!two.may_grant_for(1200.0 + WINDOW, &tenant));
    assert!(two.may_grant_for(1000.0 + quota::MAX_DEPUTY_LEASE + WINDOW, &tenant));
}

#[test]
fn missed_assignment_discards_counters() {
    let tenant = tenant_that_moves();
    let mut two = quota_service("two", std::slice::from_ref(&tenant));
    two.apply_assignment(0.0, &assignment(2, &["one", "two"]), false);
    assert!(two.may_grant_for(2000.0, &tenant));
    let handovers = two.apply_assignment(2000.0, &assignment(4, &["one", "two"]), false);
    assert!(handovers.is_empty() && !two.may_grant_for(2000.0, &tenant));
    two.apply_assignment(2010.0, &assignment(3, &["two"]), false);
    assert_eq!(two.assignment().epoch.number, 4);
}

#[test]
fn grants_of_older_epoch_are_rejected() {
    let count_verdicts = |ignores_epoch: bool| {
        let mut cache = LeaseCache::new(1);
        if ignores_epoch {
            cache.inject_ignored_epoch();
        }
        cache.set_quotas(0.0, vec![quota("t")], &mut Vec::new());
        cache.set_assignment(&assignment(3, &["one"]));
        assert!(matches!(cache.admit(1.0, 7, "t", 100.0), Verdict::Wait { .. }));
        let (to, request) = cache.lease_requests(1.0).into_iter().next().expect("a lease request");
        assert_eq!(&*to, "one");
        let grant = TenantGrant {
            tenant: "t".into(),
            window: 1,
            granted: 3,
            remaining: 5,
            ends_in: 300.0,
            status: CounterStatus::Open,
        };
        let mut out = Vec::new();
        let epoch = Epoch { term: 1, number: 2 };
        cache.handle_grant(3.0, Grant { number: request.number, epoch, grants: vec![grant] }, &mut out);
        out.len()
    };
    assert_eq!(count_verdicts(false), 0);
    assert_eq!(count_verdicts(true), 1, "the test detects a cache that ignores epochs");
}

#[test]
fn deputy_that_receives_no_answers_is_replaced() {
    let mut assigner = HolderAssigner::new("one", 1, 0.0, 10.0);
    for offer in 0..80_u64 {
        let now = offer as f64 * 100.0;
        assigner.record_offer(now, "two", offer, 0.0);
        assigner.update(now, 50.0);
    }
    assert!(assigner.assignment().contains("two"));
    let number = assigner.assignment().epoch.number;
    for offer in 80..90_u64 {
        let now = offer as f64 * 100.0;
        assigner.record_offer(now, "two", 79, 0.0);
        assigner.update(now, 50.0);
    }
    assert!(!assigner.assignment().contains("two") && DEPUTY_TIMEOUT < 900.0);
    assert_eq!(assigner.assignment().epoch.number, number + 1);
}
