//! Floors of counters across changes of holder: a new holder serves requests at once from the floor in the log, and
//! the quota still holds.

use quota::{Epoch, HolderAssignment, LeaseCache, LeaseRequest, Quota, QuotaHolder, TenantDemand, Verdict};
use std::collections::BTreeMap;

const STEP: f64 = 5.0;
const DATA_PLANES: usize = 6;
const TENANT: &str = "t";

fn quota() -> Quota {
    Quota { tenant: TENANT.into(), rate_per_s: 50.0, burst: 50.0 }
}

/// Random number generator (splitmix64) for values between 0 and 1.
struct Rng(u64);

impl Rng {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The part of the replicated log that records floors. An entry is committed some time after its proposal. An entry
/// that is pending when its holder crashes is either committed or lost.
#[derive(Default)]
struct Log {
    floors: BTreeMap<String, u32>,
    pending: Option<(f64, Vec<(String, u32)>)>,
    /// Injected fault: the holder learns that an entry with a lowered floor was committed, but the log loses the
    /// entry.
    loses_lowered_floors: bool,
}

impl Log {
    fn commit(&mut self) {
        for (tenant, units) in self.pending.take().into_iter().flat_map(|(_, floors)| floors) {
            if units > 0 || !self.loses_lowered_floors {
                self.floors.insert(tenant, units);
            }
        }
    }
}

struct World {
    rng: Rng,
    holder: Option<QuotaHolder>,
    epoch: u64,
    log: Log,
    caches: Vec<LeaseCache>,
    requests: u64,
    /// Times at which units were spent.
    spent: Vec<f64>,
    refused: usize,
}

impl World {
    fn new(seed: u64, loses_lowered_floors: bool) -> Self {
        let mut world = Self {
            rng: Rng(seed),
            holder: None,
            epoch: 0,
            log: Log { loses_lowered_floors, ..Log::default() },
            caches: Vec::new(),
            requests: 0,
            spent: Vec::new(),
            refused: 0,
        };
        world.caches = (0..DATA_PLANES).map(|data_plane| world.cache(0.0, data_plane as u64)).collect();
        world.start_holder(0.0);
        world
    }

    fn cache(&self, now: f64, seed: u64) -> LeaseCache {
        let mut cache = LeaseCache::new(seed);
        cache.set_fleet_size(DATA_PLANES as u32);
        cache.set_quotas(now, vec![quota()], &mut Vec::new());
        cache
    }

    fn start_holder(&mut self, now: f64) {
        self.epoch += 1;
        let floors = self.log.floors.clone();
        let mut holder = QuotaHolder::start(Epoch::first(self.epoch), self.epoch == 1, now, 0.0);
        holder.set_floors(floors);
        holder.set_fleet_size(now, DATA_PLANES as u32);
        holder.set_quotas(now, &[quota()]);
        self.holder = Some(holder);
        let assignment = HolderAssignment { epoch: Epoch::first(self.epoch), holders: vec!["m".to_owned()] };
        self.caches.iter_mut().for_each(|cache| cache.set_assignment(&assignment));
    }

    /// Crashes the holder and, with `all_gateways`, every gateway.
    fn crash(&mut self, now: f64, all_gateways: bool) {
        self.holder = None;
        if self.rng.uniform() < 0.5 {
            self.log.commit();
        }
        self.log.pending = None;
        if all_gateways {
            self.caches = (0..DATA_PLANES).map(|data_plane| self.cache(now, data_plane as u64)).collect();
        }
    }

    fn step(&mut self, now: f64, rate_per_s: f64) {
        if let Some(holder) = &mut self.holder {
            if self.log.pending.as_ref().is_some_and(|(at, _)| now >= *at) {
                self.log.commit();
                holder.commit_floors();
            }
            if self.log.pending.is_none() {
                let proposals = holder.propose_floors(now);
                if !proposals.is_empty() {
                    self.log.pending = Some((now + 20.0, proposals));
                }
            }
        }
        for data_plane in 0..DATA_PLANES {
            // Gateways without a lease request send a message every 800 ms.
            if now % 800.0 < STEP
                && let Some(holder) = &mut self.holder
            {
                holder.record_contact(now, &data_plane.to_string());
            }
            let mut verdicts = Vec::new();
            // The requests of the tenant are spread unevenly over the gateways.
            let expected_requests = rate_per_s * STEP / 1000.0 * (data_plane + 1) as f64 / 21.0;
            let mut arrivals = expected_requests.floor()
                + f64::from(u8::from(self.rng.uniform() < expected_requests.fract()));
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.requests += 1;
                let verdict = self.caches[data_plane].admit(now, self.requests, TENANT, 50.0);
                verdicts.push((self.requests, verdict));
            }
            for (_, request) in self.caches[data_plane].lease_requests(now) {
                match &mut self.holder {
                    Some(holder) => {
                        let grant = holder.handle_request(now, &data_plane.to_string(), &request);
                        self.caches[data_plane].handle_grant(now, grant, &mut verdicts);
                    }
                    None => self.caches[data_plane].request_failed(now, request.number),
                }
            }
            self.caches[data_plane].tick(now, &mut verdicts);
            for (_, verdict) in verdicts {
                match verdict {
                    Verdict::Granted => self.spent.push(now),
                    Verdict::Refused { .. } => self.refused += 1,
                    Verdict::Wait { .. } => {}
                }
            }
        }
    }

    /// The largest number of units spent in any 5 s, as a fraction of the compliance bound.
    fn max_span_ratio(&self) -> f64 {
        let allowed = (50.0 * 5.0 + 50.0) * 1.1 + 20.0;
        let max_requests = (0..self.spent.len()).map(|first| {
            self.spent[first..].iter().take_while(|at| **at < self.spent[first] + 5000.0).count()
        });
        max_requests.max().unwrap_or(0) as f64 / allowed
    }
}

/// Alternates quiet and busy periods while holders crash at random times, often several in a row.
fn run_with_crashes(seed: u64, loses_lowered_floors: bool) -> f64 {
    let mut world = World::new(seed, loses_lowered_floors);
    let (mut crash_at, mut restart_at, mut now) = (9000.0, f64::INFINITY, 0.0);
    while now < 60_000.0 {
        let busy = now % 20_000.0 > 10_000.0;
        world.step(now, if busy { 250.0 } else { 15.0 });
        if now >= crash_at {
            let all_gateways = world.rng.uniform() < 0.5;
            world.crash(now, all_gateways);
            let max_outage = if world.rng.uniform() < 0.6 { 100.0 } else { 900.0 };
            restart_at = now + 50.0 + max_outage * world.rng.uniform();
            crash_at = f64::INFINITY;
        } else if now >= restart_at {
            world.start_holder(now);
            restart_at = f64::INFINITY;
            let max_uptime = if world.rng.uniform() < 0.9 { 300.0 } else { 9000.0 };
            crash_at = now + 100.0 + max_uptime * world.rng.uniform();
        }
        now += STEP;
    }
    world.max_span_ratio()
}

#[test]
fn compliance_holds_across_holder_crashes() {
    for seed in 0..20 {
        let max_span_ratio = run_with_crashes(seed, false);
        assert!(max_span_ratio <= 1.0, "seed {seed}: worst span {max_span_ratio:.2} of the compliance bound");
    }
}

#[test]
fn detects_lowered_floor_missing_from_log() {
    let max_span_ratio = (0..20).map(|seed| run_with_crashes(seed, true)).fold(0.0, f64::max);
    assert!(max_span_ratio > 1.0, "worst span {max_span_ratio:.2} of the compliance bound");
}

/// Crashes all processes at once and returns the number of requests served in the first window of the next holder.
/// More requests arrive than the holder has units.
fn served_after_total_failure(rate_per_s: f64) -> usize {
    let mut world = World::new(1, false);
    let mut now = 0.0;
    while now < 15_000.0 {
        world.step(now, if now < 8000.0 { 15.0 } else { rate_per_s });
        now += STEP;
    }
    world.crash(now, true);
    now += 1000.0;
    world.start_holder(now);
    (world.refused, world.spent) = (0, Vec::new());
    let until = now + 400.0;
    while now < until {
        world.step(now, 250.0);
        now += STEP;
    }
    world.spent.len()
}

#[test]
fn quiet_tenant_is_served_at_once_after_total_failure() {
    // The floor of a busy tenant has been removed, because its blocks may be in use anywhere. Such a tenant starts
    // with one refill of 20 units.
    let (quiet, busy) = (served_after_total_failure(15.0), served_after_total_failure(250.0));
    assert!(quiet >= 27 && busy <= 20, "served {quiet} for a quiet and {busy} for a busy tenant");
}

#[test]
fn proposed_floor_is_enforced_until_committed() {
    let mut holder = QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0);
    holder.set_fleet_size(0.0, 1);
    holder.set_quotas(0.0, &[quota()]);
    let request_units = |holder: &mut QuotaHolder, now: f64, requested: u32| {
        let demands = vec![TenantDemand { tenant: TENANT.into(), needed: requested, requested, returned: 0 }];
        holder
            .handle_request(now, "data-plane", &LeaseRequest { number: 1, epoch: Epoch::first(1), demands })
            .grants[0]
            .clone()
    };
    let mut now = 0.0;
    while now < 6500.0 {
        request_units(&mut holder, now, 1);
        now += 100.0;
    }
    // The entry is proposed and may already be on some disks, but the holder does not know whether it is committed.
    let proposals = holder.propose_floors(now);
    let [(_, floor)] = proposals.as_slice() else { panic!("{proposals:?}") };
    let grant = request_units(&mut holder, now, 1000);
    assert!(grant.remaining >= *floor, "{grant:?}");
    assert!(holder.needs_lower_floor());
    // Units below the floor are granted only after the log has committed the lower floor.
    assert_eq!(holder.propose_floors(now), [(TENANT.to_owned(), 0)]);
    assert_eq!(request_units(&mut holder, now, 1000).granted, 0);
    holder.commit_floors();
    assert_eq!(request_units(&mut holder, now, 1000).granted, grant.remaining);
}
