//! Floors of counts through changes of holder: what the log says is enough to begin with, and never too much.

use quota::{Epoch, HolderAssignment, LeaseCache, LeaseRequest, Quota, QuotaHolder, TenantDemand, Verdict};
use std::collections::BTreeMap;

const STEP: f64 = 5.0;
const DATA_PLANES: usize = 6;
const TENANT: &str = "t";

fn quota() -> Quota {
    Quota { tenant: TENANT.into(), rate_per_s: 50.0, burst: 50.0 }
}

/// splitmix64, from 0 to 1.
struct Lots(u64);

impl Lots {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The log as far as it concerns floors: an entry is decided some time after it was asked for; one that is on its way
/// when its holder dies is decided or lost.
#[derive(Default)]
struct Log {
    floors: BTreeMap<String, u32>,
    coming: Option<(f64, Vec<(String, u32)>)>,
    /// The planted fault: the holder is told that an entry that lowers a floor was decided, and the log never has it.
    forgets: bool,
}

impl Log {
    fn decide(&mut self) {
        for (tenant, units) in self.coming.take().into_iter().flat_map(|(_, floors)| floors) {
            if units > 0 || !self.forgets {
                self.floors.insert(tenant, units);
            }
        }
    }
}

struct World {
    lots: Lots,
    holder: Option<QuotaHolder>,
    epoch: u64,
    log: Log,
    caches: Vec<LeaseCache>,
    requests: u64,
    /// When units were spent.
    spent: Vec<f64>,
    refused: usize,
}

impl World {
    fn new(seed: u64, forgets: bool) -> Self {
        let mut world = Self {
            lots: Lots(seed),
            holder: None,
            epoch: 0,
            log: Log { forgets, ..Log::default() },
            caches: Vec::new(),
            requests: 0,
            spent: Vec::new(),
            refused: 0,
        };
        world.caches = (0..DATA_PLANES).map(|data_plane| world.cache(0.0, data_plane as u64)).collect();
        world.takes_over(0.0);
        world
    }

    fn cache(&self, now: f64, seed: u64) -> LeaseCache {
        let mut cache = LeaseCache::new(seed);
        cache.set_fleet_size(DATA_PLANES as u32);
        cache.set_quotas(now, vec![quota()]);
        cache
    }

    fn takes_over(&mut self, now: f64) {
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

    /// The holder dies, and with `all` every gateway as well.
    fn dies(&mut self, now: f64, all: bool) {
        self.holder = None;
        if self.lots.next() < 0.5 {
            self.log.decide();
        }
        self.log.coming = None;
        if all {
            self.caches = (0..DATA_PLANES).map(|data_plane| self.cache(now, data_plane as u64)).collect();
        }
    }

    fn step(&mut self, now: f64, per_s: f64) {
        if let Some(holder) = &mut self.holder {
            if self.log.coming.as_ref().is_some_and(|(at, _)| now >= *at) {
                self.log.decide();
                holder.commit_floors();
            }
            if self.log.coming.is_none() {
                let wanted = holder.propose_floors(now);
                if !wanted.is_empty() {
                    self.log.coming = Some((now + 20.0, wanted));
                }
            }
        }
        for data_plane in 0..DATA_PLANES {
            // A sign of life, as gateways give it that have nothing to ask for.
            if now % 800.0 < STEP
                && let Some(holder) = &mut self.holder
            {
                holder.record_contact(now, &data_plane.to_string());
            }
            let mut told = Vec::new();
            // Some gateways have more of the tenant's clients than others.
            let part = per_s * STEP / 1000.0 * (data_plane + 1) as f64 / 21.0;
            let mut asks = part.floor() + f64::from(u8::from(self.lots.next() < part.fract()));
            while asks >= 1.0 {
                asks -= 1.0;
                self.requests += 1;
                let verdict = self.caches[data_plane].admit(now, self.requests, TENANT, 50.0);
                told.push((self.requests, verdict));
            }
            for (_, draw) in self.caches[data_plane].lease_requests(now) {
                match &mut self.holder {
                    Some(holder) => {
                        let grant = holder.handle_request(now, &data_plane.to_string(), &draw);
                        self.caches[data_plane].handle_grant(now, grant, &mut told);
                    }
                    None => self.caches[data_plane].request_failed(now, draw.number),
                }
            }
            self.caches[data_plane].tick(now, &mut told);
            for (_, verdict) in told {
                match verdict {
                    Verdict::Granted => self.spent.push(now),
                    Verdict::Refused { .. } => self.refused += 1,
                    Verdict::Wait { .. } => {}
                }
            }
        }
    }

    /// The most of any five seconds, as a share of what is allowed.
    fn worst(&self) -> f64 {
        let allowed = (50.0 * 5.0 + 50.0) * 1.1 + 20.0;
        let most = (0..self.spent.len()).map(|first| {
            self.spent[first..].iter().take_while(|at| **at < self.spent[first] + 5000.0).count()
        });
        most.max().unwrap_or(0) as f64 / allowed
    }
}

/// Quiet and busy spells by turns, with holders that die at drawn moments, often in a row.
fn drawn(seed: u64, forgets: bool) -> f64 {
    let mut world = World::new(seed, forgets);
    let (mut dies, mut back, mut now) = (9000.0, f64::INFINITY, 0.0);
    while now < 60_000.0 {
        let busy = now % 20_000.0 > 10_000.0;
        world.step(now, if busy { 250.0 } else { 15.0 });
        if now >= dies {
            let all = world.lots.next() < 0.5;
            world.dies(now, all);
            let long = if world.lots.next() < 0.6 { 100.0 } else { 900.0 };
            back = now + 50.0 + long * world.lots.next();
            dies = f64::INFINITY;
        } else if now >= back {
            world.takes_over(now);
            back = f64::INFINITY;
            let soon = if world.lots.next() < 0.9 { 300.0 } else { 9000.0 };
            dies = now + 100.0 + soon * world.lots.next();
        }
        now += STEP;
    }
    world.worst()
}

#[test]
fn no_span_has_more_than_is_allowed_whenever_holders_die() {
    for seed in 0..20 {
        let worst = drawn(seed, false);
        assert!(worst <= 1.0, "seed {seed}: {worst:.2} of what is allowed");
    }
}

#[test]
fn a_lowered_floor_that_the_log_does_not_have_is_found() {
    let worst = (0..20).map(|seed| drawn(seed, true)).fold(0.0, f64::max);
    assert!(worst > 1.0, "{worst:.2} of what is allowed");
}

/// How many requests are served in the first window under a new holder, after all processes died at once, of more than
/// it has.
fn served_after_all_died(per_s: f64) -> usize {
    let mut world = World::new(1, false);
    let mut now = 0.0;
    while now < 15_000.0 {
        world.step(now, if now < 8000.0 { 15.0 } else { per_s });
        now += STEP;
    }
    world.dies(now, true);
    now += 1000.0;
    world.takes_over(now);
    (world.refused, world.spent) = (0, Vec::new());
    let until = now + 400.0;
    while now < until {
        world.step(now, 250.0);
        now += STEP;
    }
    world.spent.len()
}

#[test]
fn after_all_died_a_quiet_tenant_is_served_at_once() {
    // A busy one's floor was taken away: its blocks may be anywhere, and one refill of 20 has to do.
    let (quiet, busy) = (served_after_all_died(15.0), served_after_all_died(250.0));
    assert!(quiet >= 27 && busy <= 20, "{quiet} and {busy}");
}

#[test]
fn a_floor_that_may_yet_be_decided_is_kept_to() {
    let mut holder = QuotaHolder::start(Epoch::first(1), true, 0.0, 0.0);
    holder.set_fleet_size(0.0, 1);
    holder.set_quotas(0.0, &[quota()]);
    let draw = |holder: &mut QuotaHolder, now: f64, requested: u32| {
        let demands = vec![TenantDemand { tenant: TENANT.into(), needed: requested, requested, returned: 0 }];
        holder
            .handle_request(now, "data-plane", &LeaseRequest { number: 1, epoch: Epoch::first(1), demands })
            .grants[0]
            .clone()
    };
    let mut now = 0.0;
    while now < 6500.0 {
        draw(&mut holder, now, 1);
        now += 100.0;
    }
    // The entry is asked for and perhaps on disk somewhere; nobody has said that it is decided.
    let wanted = holder.propose_floors(now);
    let [(_, floor)] = wanted.as_slice() else { panic!("{wanted:?}") };
    let share = draw(&mut holder, now, 1000);
    assert!(share.remaining >= *floor, "{share:?}");
    assert!(holder.needs_lower_floor());
    // Below it only once the log says so.
    assert_eq!(holder.propose_floors(now), [(TENANT.to_owned(), 0)]);
    assert_eq!(draw(&mut holder, now, 1000).granted, 0);
    holder.commit_floors();
    assert_eq!(draw(&mut holder, now, 1000).granted, share.remaining);
}
