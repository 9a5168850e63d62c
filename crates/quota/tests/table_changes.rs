//! Configurations that take tenants away, bring them back or change their quotas while requests wait for a lease.

use quota::{Epoch, Grant, LeaseCache, LeaseRequest, Quota, QuotaHolder, Verdict};
use std::collections::BTreeMap;

const TENANT: &str = "t";
const GATEWAY: &str = "gateway";
const MAX_WAIT: f64 = 60.0;
/// No refusal delays a client by more than two windows; the longest window takes 1.6 s.
const MAX_RETRY_AFTER: f64 = 3200.0;

fn quota(tenant: &str, rate_per_s: f64, burst: f64) -> Quota {
    Quota { tenant: tenant.into(), rate_per_s, burst }
}

/// A quota of 20 units per window of 400 ms.
fn present() -> Vec<Quota> {
    vec![quota(TENANT, 50.0, 20.0)]
}

/// Applies a configuration and returns the decisions on waiting requests, including those of the next tick.
fn apply(cache: &mut LeaseCache, now: f64, quotas: Vec<Quota>) -> Vec<(u64, Verdict)> {
    let mut verdicts = Vec::new();
    cache.set_quotas(now, quotas, &mut verdicts);
    cache.tick(now, &mut verdicts);
    verdicts
}

/// A cache in whose first window some units of the tenant were granted and spent, and in which request 1 waits for
/// more. Returns the cache, the holder and the lease request that is on its way.
fn cache_with_waiting_request() -> (LeaseCache, QuotaHolder, LeaseRequest) {
    let mut cache = LeaseCache::new(1);
    cache.update_fleet_size(0.0, 1, true);
    apply(&mut cache, 0.0, present());
    let mut holder = QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0);
    holder.set_quotas(0.0, &present());
    assert!(matches!(cache.admit(0.0, 0, TENANT, MAX_WAIT), Verdict::Wait { .. }));
    let first = send(&mut cache, 0.0);
    let mut verdicts = Vec::new();
    cache.handle_grant(1.0, holder.handle_request(1.0, GATEWAY, &first), &mut verdicts);
    let mut request = 100;
    while cache.admit(2.0, request, TENANT, MAX_WAIT) == Verdict::Granted {
        request += 1;
    }
    // The request that had to wait ended the loop.
    assert_eq!(cache.stats()[0].waiting, 1, "{:?}", cache.stats());
    let lease_request = send(&mut cache, 2.0);
    (cache, holder, lease_request)
}

fn send(cache: &mut LeaseCache, now: f64) -> LeaseRequest {
    cache.lease_requests(now).pop().expect("a lease request").1
}

fn assert_bounded(verdict: Verdict) {
    if let Verdict::Refused { retry_after } = verdict {
        assert!((0.0..=MAX_RETRY_AFTER).contains(&retry_after), "refused with a delay of {retry_after} ms");
    }
}

/// Guards against an infinite delay, at whose conversion to a duration the data plane aborted with all its requests.
#[test]
fn waiting_requests_of_a_removed_tenant_are_refused_with_a_bounded_delay() {
    let (mut cache, _, _) = cache_with_waiting_request();
    let verdicts = apply(&mut cache, 3.0, Vec::new());
    let [(_, verdict @ Verdict::Refused { .. })] = verdicts[..] else { panic!("{verdicts:?}") };
    assert_bounded(verdict);
    assert!(cache.stats().is_empty(), "{:?}", cache.stats());
}

/// Guards against a removed tenant's state that stays behind: a request that was read before the configuration came
/// and asks for a unit after it was refused with an infinite delay as well.
#[test]
fn requests_that_ask_after_the_removal_are_refused_with_a_bounded_delay() {
    let (mut cache, _, _) = cache_with_waiting_request();
    apply(&mut cache, 3.0, Vec::new());
    let verdict = cache.admit(4.0, 2, TENANT, MAX_WAIT);
    assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
    assert_bounded(verdict);
}

/// Guards against a block without an end: a tenant that came back kept it and was refused for good, with an infinite
/// delay. The grant that was on its way arrives before, between or after the two configurations.
#[test]
fn a_tenant_that_comes_back_is_served_again_whenever_the_late_grant_arrives() {
    for arrives_at in [None, Some(3.5), Some(4.5)] {
        let (mut cache, mut holder, late) = cache_with_waiting_request();
        let late = holder.handle_request(2.5, GATEWAY, &late);
        let mut verdicts = Vec::new();
        // The next tick comes after the grant.
        cache.set_quotas(3.0, Vec::new(), &mut verdicts);
        if arrives_at == Some(3.5) {
            cache.handle_grant(3.5, late.clone(), &mut verdicts);
        }
        verdicts.extend(apply(&mut cache, 4.0, present()));
        if arrives_at == Some(4.5) {
            cache.handle_grant(4.5, late, &mut verdicts);
        }
        verdicts.iter().for_each(|(_, verdict)| assert_bounded(*verdict));
        // From here on, the holder answers at once.
        let mut granted = 0;
        for step in 0..320_u32 {
            let now = 5.0 + f64::from(step) * 10.0;
            let mut verdicts = vec![(0, cache.admit(now, 1000 + u64::from(step), TENANT, MAX_WAIT))];
            for (_, lease_request) in cache.lease_requests(now) {
                cache.handle_grant(now, holder.handle_request(now, GATEWAY, &lease_request), &mut verdicts);
            }
            cache.tick(now, &mut verdicts);
            verdicts.iter().for_each(|(_, verdict)| assert_bounded(*verdict));
            granted += verdicts.iter().filter(|(_, verdict)| *verdict == Verdict::Granted).count();
        }
        // 3.2 s at 50 units a second.
        assert!(granted >= 100, "grant at {arrives_at:?}: {granted} of 320 requests were granted");
    }
}

/// Guards against requests that wait for a lease until their deadline although their tenant has no limit any more. The
/// grant on its way is lost, and no lease is requested for a tenant without a limit.
#[test]
fn waiting_requests_of_a_tenant_that_becomes_unlimited_are_granted_at_once() {
    let (mut cache, _, lost) = cache_with_waiting_request();
    cache.request_failed(3.0, lost.number);
    let verdicts = apply(&mut cache, 4.0, vec![quota(TENANT, 0.0, 0.0)]);
    assert!(matches!(verdicts[..], [(_, Verdict::Granted)]), "{verdicts:?}");
    assert_eq!(cache.stats()[0].waiting, 0);
}

/// Random number generator (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % limit
    }
}

/// One gateway and one holder under drawn configurations, with messages that are late or lost.
struct World {
    random: Random,
    now: f64,
    cache: LeaseCache,
    holder: QuotaHolder,
    lease_requests: Vec<LeaseRequest>,
    grants: Vec<Grant>,
    next_request: u64,
    /// Deadlines of the requests that wait for a decision.
    waiting: BTreeMap<u64, f64>,
}

impl World {
    const TENANTS: [&str; 3] = ["a", "b", "c"];
    /// The gateway ticks at the latest this long after a deadline.
    const MAX_STEP: f64 = 25.0;

    fn new(seed: u64) -> Self {
        let mut cache = LeaseCache::new(seed);
        cache.update_fleet_size(0.0, 1, true);
        Self {
            random: Random(seed),
            now: 0.0,
            cache,
            holder: QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0),
            lease_requests: Vec::new(),
            grants: Vec::new(),
            next_request: 0,
            waiting: BTreeMap::new(),
        }
    }

    fn record(&mut self, verdicts: Vec<(u64, Verdict)>) {
        for (request, verdict) in verdicts {
            assert!(self.waiting.remove(&request).is_some(), "request {request} had its decision before");
            assert!(!matches!(verdict, Verdict::Wait { .. }));
            assert_bounded(verdict);
        }
    }

    /// A configuration with some of the tenants. A rate of zero sets no limit.
    fn draw_table(&mut self) -> Vec<Quota> {
        let mut quotas = Vec::new();
        for tenant in Self::TENANTS {
            if self.random.below(3) > 0 {
                let rate_per_s = [0.0, 5.0, 20.0, 100.0][self.random.below(4) as usize];
                quotas.push(quota(tenant, rate_per_s, 10.0 + self.random.below(40) as f64));
            }
        }
        quotas
    }

    fn admit(&mut self) -> Verdict {
        let tenant = Self::TENANTS[self.random.below(3) as usize];
        self.next_request += 1;
        let verdict = self.cache.admit(self.now, self.next_request, tenant, MAX_WAIT);
        if let Verdict::Wait { deadline } = verdict {
            self.waiting.insert(self.next_request, deadline);
        }
        assert_bounded(verdict);
        verdict
    }

    fn step(&mut self) {
        let mut verdicts = Vec::new();
        match self.random.below(12) {
            0..=4 => {
                self.admit();
            }
            5 => {
                let table = self.draw_table();
                self.cache.set_quotas(self.now, table.clone(), &mut verdicts);
                // The holder learns of the configuration now, or only of a later one.
                if self.random.below(3) > 0 {
                    self.holder.set_quotas(self.now, &table);
                }
            }
            6 | 7 if !self.lease_requests.is_empty() => {
                let lease_request = self.lease_requests.remove(0);
                self.grants.push(self.holder.handle_request(self.now, GATEWAY, &lease_request));
            }
            8 | 9 if !self.grants.is_empty() => {
                let grant = self.grants.remove(0);
                self.cache.handle_grant(self.now, grant, &mut verdicts);
            }
            10 if self.random.below(4) == 0 => {
                let lost = self.lease_requests.drain(..).map(|request| request.number);
                let lost: Vec<u64> = lost.chain(self.grants.drain(..).map(|grant| grant.number)).collect();
                lost.into_iter().for_each(|number| self.cache.request_failed(self.now, number));
            }
            _ => self.now += self.random.below(Self::MAX_STEP as u64) as f64,
        }
        self.record(verdicts);
        if self.random.below(3) == 0 {
            self.tick();
        }
        self.lease_requests
            .extend(self.cache.lease_requests(self.now).into_iter().map(|(_, request)| request));
    }

    fn tick(&mut self) {
        let mut verdicts = Vec::new();
        self.cache.tick(self.now, &mut verdicts);
        self.record(verdicts);
        let now = self.now;
        assert!(self.waiting.values().all(|deadline| now < *deadline), "a request waits beyond its deadline");
    }

    /// Both sides have the same configuration and messages take no time. Returns which tenants were granted a unit
    /// within two windows.
    fn count_served_in_calm_times(&mut self) -> usize {
        let table: Vec<Quota> = Self::TENANTS.iter().map(|tenant| quota(tenant, 20.0, 20.0)).collect();
        let mut verdicts = Vec::new();
        self.cache.set_quotas(self.now, table.clone(), &mut verdicts);
        self.record(verdicts);
        self.holder.set_quotas(self.now, &table);
        self.lease_requests.clear();
        self.grants.clear();
        let granted_before: BTreeMap<String, u64> =
            self.cache.stats().into_iter().map(|stats| (stats.tenant, stats.granted)).collect();
        let until = self.now + MAX_RETRY_AFTER;
        while self.now < until {
            self.admit();
            for (_, lease_request) in self.cache.lease_requests(self.now) {
                let grant = self.holder.handle_request(self.now, GATEWAY, &lease_request);
                let mut verdicts = Vec::new();
                self.cache.handle_grant(self.now, grant, &mut verdicts);
                self.record(verdicts);
            }
            self.tick();
            self.now += 10.0;
        }
        let served = |stats: &quota::TenantStats| stats.granted > granted_before[&stats.tenant];
        self.cache.stats().iter().filter(|stats| served(stats)).count()
    }
}

/// Guards against delays without an end, requests without a decision or with two, and tenants that a change of the
/// table leaves without service.
#[test]
fn drawn_tables_leave_no_request_undecided_and_no_tenant_unserved() {
    for seed in 1..=400 {
        let mut world = World::new(seed);
        for _ in 0..600 {
            world.step();
        }
        assert_eq!(world.count_served_in_calm_times(), World::TENANTS.len(), "seed {seed}");
    }
}
