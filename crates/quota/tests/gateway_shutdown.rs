//! Shutdown of a gateway: a closed cache spends no more units, and a departed gateway does not hide a silent one.

use quota::{
    CounterStatus, Epoch, Grant, LeaseCache, LeaseRequest, Quota, QuotaHolder, TenantDemand, TenantGrant,
    Verdict,
};

const TENANT: &str = "t";
const WINDOW: f64 = 400.0;
const MAX_WAIT: f64 = 60.0;

/// A quota of 20 units per window.
fn quota() -> Quota {
    Quota { tenant: TENANT.into(), rate_per_s: 50.0, burst: 20.0 }
}

fn cache() -> LeaseCache {
    let mut cache = LeaseCache::new(1);
    cache.set_quotas(0.0, vec![quota()], &mut Vec::new());
    cache
}

fn grant(number: u64, units: u32) -> Grant {
    let tenant_grant = TenantGrant {
        tenant: TENANT.into(),
        window: 1,
        granted: units,
        remaining: 10,
        ends_in: WINDOW,
        status: CounterStatus::Open,
    };
    Grant { number, epoch: Epoch::first(1), grants: vec![tenant_grant] }
}

/// Number of requests that are granted from the fallback slice while the holder does not answer.
fn count_granted_by_slice(cache: &mut LeaseCache, from: f64, requests: u64) -> usize {
    let mut verdicts = Vec::new();
    assert!(matches!(cache.admit(from, 0, TENANT, MAX_WAIT), Verdict::Wait { .. }));
    let number = cache.lease_requests(from)[0].1.number;
    cache.request_failed(from, number);
    cache.tick(from + 1.0, &mut verdicts);
    let admitted = (1..requests).map(|request| cache.admit(from + 2.0, request, TENANT, MAX_WAIT));
    admitted
        .chain(verdicts.into_iter().map(|(_, verdict)| verdict))
        .filter(|v| *v == Verdict::Granted)
        .count()
}

#[test]
fn closed_cache_refuses_and_requests_nothing() {
    let mut cache = cache();
    cache.update_fleet_size(0.0, 1, true);
    let mut verdicts = Vec::new();
    assert!(matches!(cache.admit(0.0, 1, TENANT, MAX_WAIT), Verdict::Wait { .. }));
    let number = cache.lease_requests(0.0)[0].1.number;
    cache.close(1.0, &mut verdicts);
    assert!(matches!(verdicts.as_slice(), [(1, Verdict::Refused { .. })]), "{verdicts:?}");
    // Neither a late block nor the fallback slice of a silent holder is spent.
    verdicts.clear();
    cache.handle_grant(2.0, grant(number, 9), &mut verdicts);
    for at in [3.0, 500.0, 2000.0, 20_000.0] {
        assert!(matches!(cache.admit(at, 2, TENANT, MAX_WAIT), Verdict::Refused { .. }));
        cache.tick(at, &mut verdicts);
        assert_eq!((cache.lease_requests(at).len(), verdicts.len(), cache.next_deadline()), (0, 0, None));
    }
}

#[test]
fn stale_fleet_size_never_enlarges_slices() {
    let mut isolated = cache();
    isolated.update_fleet_size(0.0, 10, true);
    // A control plane restarted on the isolated side knows only this gateway.
    isolated.update_fleet_size(1000.0, 1, false);
    assert!(count_granted_by_slice(&mut isolated, 1100.0, 30) <= 3);
    let mut connected = cache();
    connected.update_fleet_size(0.0, 10, true);
    connected.update_fleet_size(1000.0, 1, true);
    assert!(count_granted_by_slice(&mut connected, 1100.0, 30) > 15);
}

fn request_units(holder: &mut QuotaHolder, now: f64) -> u32 {
    let demands = vec![TenantDemand { tenant: TENANT.into(), needed: 1000, requested: 1000, returned: 0 }];
    holder.handle_request(now, "a", &LeaseRequest { number: 1, epoch: Epoch::first(1), demands }).grants[0]
        .granted
}

/// Units that a gateway gets in one window while another gateway is isolated. A third gateway departs at the start of
/// the window if `departs` is set.
fn units_beside_silent_gateway(departs: bool) -> u32 {
    let mut holder = QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0);
    holder.set_fleet_size(0.0, 3);
    holder.set_quotas(0.0, &[quota()]);
    holder.record_contact(0.0, "isolated");
    for window in 0..20 {
        let now = f64::from(window) * WINDOW + 1.0;
        holder.record_contact(now, "departing");
        request_units(&mut holder, now);
    }
    let now = 20.0 * WINDOW + 1.0;
    holder.set_fleet_size(now, 2);
    if departs {
        holder.remove_gateway("departing");
    }
    request_units(&mut holder, now)
}

#[test]
fn departed_gateway_does_not_hide_silent_gateway() {
    let (with_departure, without_departure) =
        (units_beside_silent_gateway(true), units_beside_silent_gateway(false));
    assert!(
        (9..=10).contains(&with_departure),
        "half of the 20 units is reserved for the isolated gateway: {with_departure} granted"
    );
    assert!(without_departure > 15, "without the departure nothing is reserved: {without_departure} granted");
}
