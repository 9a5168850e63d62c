//! A gateway that ends spends nothing more, and one that has ended stands in for nobody.

use quota::{
    CounterStatus, Epoch, Grant, LeaseCache, LeaseRequest, Quota, QuotaHolder, TenantDemand, TenantGrant,
    Verdict,
};

const TENANT: &str = "t";
const WINDOW: f64 = 400.0;
const WAIT: f64 = 60.0;

/// 20 units a window.
fn quota() -> Quota {
    Quota { tenant: TENANT.into(), rate_per_s: 50.0, burst: 20.0 }
}

fn cache() -> LeaseCache {
    let mut cache = LeaseCache::new(1);
    cache.set_quotas(0.0, vec![quota()]);
    cache
}

fn grant(number: u64, units: u32) -> Grant {
    let share = TenantGrant {
        tenant: TENANT.into(),
        window: 1,
        granted: units,
        remaining: 10,
        ends_in: WINDOW,
        status: CounterStatus::Open,
    };
    Grant { number, epoch: Epoch::first(1), grants: vec![share] }
}

/// How many of these requests are admitted by slices, with the holder silent.
fn by_slices(cache: &mut LeaseCache, from: f64, requests: u64) -> usize {
    let mut told = Vec::new();
    assert!(matches!(cache.admit(from, 0, TENANT, WAIT), Verdict::Wait { .. }));
    let number = cache.lease_requests(from)[0].1.number;
    cache.request_failed(from, number);
    cache.tick(from + 1.0, &mut told);
    let asked = (1..requests).map(|request| cache.admit(from + 2.0, request, TENANT, WAIT));
    asked.chain(told.into_iter().map(|(_, verdict)| verdict)).filter(|v| *v == Verdict::Granted).count()
}

#[test]
fn a_closed_cache_spends_and_draws_nothing_and_leaves_nobody_waiting() {
    let mut cache = cache();
    cache.update_fleet_size(0.0, 1, true);
    let mut told = Vec::new();
    assert!(matches!(cache.admit(0.0, 1, TENANT, WAIT), Verdict::Wait { .. }));
    let number = cache.lease_requests(0.0)[0].1.number;
    cache.close(1.0, &mut told);
    assert!(matches!(told.as_slice(), [(1, Verdict::Refused { .. })]), "{told:?}");
    // A block that comes late, and then the slices of a silent holder.
    told.clear();
    cache.handle_grant(2.0, grant(number, 9), &mut told);
    for at in [3.0, 500.0, 2000.0, 20_000.0] {
        assert!(matches!(cache.admit(at, 2, TENANT, WAIT), Verdict::Refused { .. }));
        cache.tick(at, &mut told);
        assert_eq!((cache.lease_requests(at).len(), told.len(), cache.next_deadline()), (0, 0, None));
    }
}

#[test]
fn a_word_that_is_not_fresh_makes_no_slice_larger() {
    let mut cut_off = cache();
    cut_off.update_fleet_size(0.0, 10, true);
    // One that was started anew behind the cut knows of this gateway only.
    cut_off.update_fleet_size(1000.0, 1, false);
    assert!(by_slices(&mut cut_off, 1100.0, 30) <= 3);
    let mut in_touch = cache();
    in_touch.update_fleet_size(0.0, 10, true);
    in_touch.update_fleet_size(1000.0, 1, true);
    assert!(by_slices(&mut in_touch, 1100.0, 30) > 15);
}

fn granted(holder: &mut QuotaHolder, now: f64) -> u32 {
    let demands = vec![TenantDemand { tenant: TENANT.into(), needed: 1000, requested: 1000, returned: 0 }];
    holder.handle_request(now, "a", &LeaseRequest { number: 1, epoch: Epoch::first(1), demands }).grants[0]
        .granted
}

/// What a gateway gets in a window, with another one cut off and a third that leaves at its begin, if at all.
fn beside_one_cut_off(leaves: bool) -> u32 {
    let mut holder = QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0);
    holder.set_fleet_size(0.0, 3);
    holder.set_quotas(0.0, &[quota()]);
    holder.record_contact(0.0, "cut off");
    for window in 0..20 {
        let now = f64::from(window) * WINDOW + 1.0;
        holder.record_contact(now, "leaves");
        granted(&mut holder, now);
    }
    let now = 20.0 * WINDOW + 1.0;
    holder.set_fleet_size(now, 2);
    if leaves {
        holder.remove_gateway("leaves");
    }
    granted(&mut holder, now)
}

#[test]
fn one_that_has_left_does_not_stand_in_for_one_that_is_silent() {
    let (sound, stands_in) = (beside_one_cut_off(true), beside_one_cut_off(false));
    assert!((9..=10).contains(&sound), "half of 20 is held back for the one that is cut off: {sound}");
    assert!(stands_in > 15, "without the word it is not: {stands_in}");
}
