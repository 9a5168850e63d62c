//! Tenants that are taken away from the configuration and come back, beside changes of the quota holder.

mod world;

use quota::{Epoch, Faults, LeaseRequest, Quota, QuotaHolder, TenantDemand};
use std::collections::BTreeSet;
use world::{Load, Node, World};

const CONTROL_PLANES: usize = 3;
const GATEWAYS: usize = 4;
const TENANTS: usize = 4;
const SEEDS: u64 = 60;

/// Tenants whose burst is large beside their rate, and whose clients send far beyond it.
fn world(seed: u64) -> World {
    let loads = (0..TENANTS).map(|tenant| Load::new(tenant, 10.0 + 10.0 * tenant as f64, 150.0, 8.0));
    World::new(seed * 13 + 5, CONTROL_PLANES, GATEWAYS, loads.collect(), None, Faults::default())
}

/// Guards against a burst that is granted twice: the leader is killed while tenants are away, and the new holder never
/// had their counters. No span may exceed the compliance bound.
#[test]
fn no_quota_is_exceeded_when_tenants_come_back_to_a_new_holder() {
    let mut worst = (0.0, 0);
    for seed in 0..SEEDS {
        let mut world = world(seed);
        world.run_until(4_000.0).expect("at most one holder per tenant");
        while world.now < 24_000.0 {
            let absent: BTreeSet<usize> = (0..TENANTS).filter(|_| world.rng.below(2) == 0).collect();
            world.set_absent_tenants(absent);
            run_for(&mut world, 100.0, 400.0);
            let leader = world.leader.filter(|_| world.rng.below(3) > 0);
            if let Some(leader) = leader {
                world.kill(Node::Control(leader));
            }
            run_for(&mut world, 400.0, 3_000.0);
            world.set_absent_tenants(BTreeSet::new());
            run_for(&mut world, 100.0, 3_000.0);
            (0..CONTROL_PLANES).for_each(|index| world.start(Node::Control(index)));
        }
        let ratio = world.metrics.worst_span_ratio();
        worst = if ratio > worst.0 { (ratio, seed) } else { worst };
    }
    let (ratio, seed) = worst;
    println!("worst span {ratio:.3} of the compliance bound, seed {seed}");
    assert!(ratio <= 1.0, "seed {seed}: worst span {ratio:.3} of the compliance bound");
}

fn run_for(world: &mut World, min: f64, max: f64) {
    let duration = min + (max - min) * world.rng.uniform();
    world.run_until(world.now + duration).expect("at most one holder per tenant");
}

fn tenant() -> Quota {
    Quota { tenant: "t".into(), rate_per_s: 10.0, burst: 150.0 }
}

/// Units granted to one gateway that asks for as many as it can get, every 10 ms.
fn units_granted(holder: &mut QuotaHolder, from: f64, until: f64) -> u32 {
    let mut granted = 0;
    let mut now = from;
    while now < until {
        let demands = vec![TenantDemand { tenant: "t".into(), needed: 200, requested: 200, returned: 0 }];
        let lease_request = LeaseRequest { number: 1, epoch: Epoch::first(2), demands };
        let grant = holder.handle_request(now, "gateway", &lease_request);
        granted += grant.grants.iter().map(|grant| grant.granted).sum::<u32>();
        now += 10.0;
    }
    granted
}

/// Guards against a full burst for a counter whose last windows the holder has not seen. The tenant is still served at
/// once, with the units that a window adds.
#[test]
fn a_tenant_that_is_new_to_a_later_holder_starts_without_its_burst() {
    for first_holder in [false, true] {
        let mut holder = QuotaHolder::start(Epoch::first(2), first_holder, 0.0, 0.0);
        holder.set_fleet_size(0.0, 1);
        holder.set_quotas(0.0, &[]);
        holder.set_quotas(20_000.0, &[tenant()]);
        let (at_once, later) =
            (units_granted(&mut holder, 20_000.0, 20_050.0), units_granted(&mut holder, 20_050.0, 25_000.0));
        if first_holder {
            assert!(at_once >= 150, "{at_once} units at once");
        } else {
            assert!((1..=16).contains(&at_once), "{at_once} units at once, a window adds 16");
            assert!((34..=64).contains(&later), "{later} units in the next 5 s");
        }
    }
}
