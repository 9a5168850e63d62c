//! What an office, a cache and the leader's assignments do at the moments that a drawn world seldom reaches.

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

fn draw(quota_service: &mut QuotaService, now: f64, tenant: &str) -> TenantGrant {
    let demands = vec![TenantDemand { tenant: tenant.into(), needed: 5, requested: 5, returned: 0 }];
    let grant = quota_service
        .handle_request(now, "data-plane", &LeaseRequest { number: 1, epoch: Epoch::default(), demands })
        .expect("a grant");
    grant.grants.into_iter().next().expect("a share")
}

fn quota_service(me: &str, tenants: &[String]) -> QuotaService {
    let mut quota_service = QuotaService::new(me);
    quota_service.set_quotas(0.0, tenants.iter().map(|t| quota(t)).collect());
    quota_service.set_lease(1e9);
    quota_service
}

/// A tenant that goes from `one` to `two` once `two` holds counts as well.
fn mover() -> String {
    let both = assignment(2, &["one", "two"]);
    (0..99).map(|n| format!("t{n}")).find(|t| both.holder_of(t) == Some("two")).expect("one of them moves")
}

#[test]
fn only_tenants_of_a_holder_that_comes_or_goes_move() {
    let (few, more) = (assignment(1, &["a", "b", "c"]), assignment(2, &["a", "b", "c", "d"]));
    let tenants: Vec<String> = (0..400).map(|n| format!("tenant-{n}")).collect();
    let mut of = BTreeSet::new();
    for tenant in &tenants {
        let (before, after) = (few.holder_of(tenant), more.holder_of(tenant));
        assert!(before == after || after == Some("d"), "{tenant} moves from {before:?} to {after:?}");
        of.insert(after);
    }
    assert_eq!(of.len(), 4);
    let moved = tenants.iter().filter(|t| more.holder_of(t) == Some("d")).count();
    assert!((60..140).contains(&moved), "{moved} of 400 come to one of four");
}

#[test]
fn a_count_that_is_handed_over_goes_on_where_it_was() {
    let tenant = mover();
    let tenants = [tenant.clone()];
    let (mut one, mut two) = (quota_service("one", &tenants), quota_service("two", &tenants));
    one.apply_assignment(0.0, &assignment(1, &["one"]), true);
    let before = draw(&mut one, 10.0, &tenant);
    assert_eq!(before.granted, 5);
    let told = one.apply_assignment(20.0, &assignment(2, &["one", "two"]), false);
    assert!(!one.may_grant_for(20.0, &tenant));
    let (to, handover): (String, Handover) = told.into_iter().next().expect("it is handed over");
    assert_eq!(to, "two");
    two.apply_assignment(21.0, &assignment(2, &["one", "two"]), false);
    assert!(!two.may_grant_for(21.0, &tenant));
    assert_eq!(draw(&mut two, 21.0, &tenant).status, CounterStatus::RetryLater);
    two.accept_handover(22.0, handover.clone());
    let after = draw(&mut two, 22.0, &tenant);
    assert_eq!((after.status, after.window), (CounterStatus::Open, before.window));
    assert_eq!(after.remaining + after.granted, before.remaining);
    // A repeat changes nothing.
    let left = after.remaining;
    two.accept_handover(23.0, handover);
    assert!(draw(&mut two, 23.0, &tenant).remaining <= left);
}

#[test]
fn a_silent_holder_s_counts_stay_shut_until_its_blocks_have_ended() {
    let tenant = mover();
    let mut two = quota_service("two", std::slice::from_ref(&tenant));
    two.apply_assignment(1000.0, &assignment(2, &["one", "two"]), false);
    assert_eq!(draw(&mut two, 1200.0, &tenant).status, CounterStatus::FallbackSlice);
    assert!(!two.may_grant_for(1200.0 + WINDOW, &tenant));
    assert!(two.may_grant_for(1000.0 + quota::MAX_DEPUTY_LEASE + WINDOW, &tenant));
}

#[test]
fn whoever_missed_an_assignment_starts_anew() {
    let tenant = mover();
    let mut two = quota_service("two", std::slice::from_ref(&tenant));
    two.apply_assignment(0.0, &assignment(2, &["one", "two"]), false);
    assert!(two.may_grant_for(2000.0, &tenant));
    let told = two.apply_assignment(2000.0, &assignment(4, &["one", "two"]), false);
    assert!(told.is_empty() && !two.may_grant_for(2000.0, &tenant));
    two.apply_assignment(2010.0, &assignment(3, &["two"]), false);
    assert_eq!(two.assignment().epoch.number, 4);
}

#[test]
fn grants_of_an_older_epoch_are_refused() {
    let granted = |planted: bool| {
        let mut cache = LeaseCache::new(1);
        if planted {
            cache.inject_ignored_epoch();
        }
        cache.set_quotas(0.0, vec![quota("t")]);
        cache.set_assignment(&assignment(3, &["one"]));
        assert!(matches!(cache.admit(1.0, 7, "t", 100.0), Verdict::Wait { .. }));
        let (to, draw) = cache.lease_requests(1.0).into_iter().next().expect("a draw");
        assert_eq!(&*to, "one");
        let share = TenantGrant {
            tenant: "t".into(),
            window: 1,
            granted: 3,
            remaining: 5,
            ends_in: 300.0,
            status: CounterStatus::Open,
        };
        let mut out = Vec::new();
        let epoch = Epoch { term: 1, number: 2 };
        cache.handle_grant(3.0, Grant { number: draw.number, epoch, grants: vec![share] }, &mut out);
        out.len()
    };
    assert_eq!(granted(false), 0);
    assert_eq!(granted(true), 1, "the check finds a cache that ignores epochs");
}

#[test]
fn a_deputy_that_is_heard_but_does_not_hear_is_replaced() {
    let mut placer = HolderAssigner::new("one", 1, 0.0, 10.0);
    for ask in 0..80_u64 {
        let now = ask as f64 * 100.0;
        placer.record_offer(now, "two", ask, 0.0);
        placer.update(now, 50.0);
    }
    assert!(placer.assignment().contains("two"));
    let number = placer.assignment().epoch.number;
    for ask in 80..90_u64 {
        let now = ask as f64 * 100.0;
        placer.record_offer(now, "two", 79, 0.0);
        placer.update(now, 50.0);
    }
    assert!(!placer.assignment().contains("two") && DEPUTY_TIMEOUT < 900.0);
    assert_eq!(placer.assignment().epoch.number, number + 1);
}
