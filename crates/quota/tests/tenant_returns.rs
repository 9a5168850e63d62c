//! Tenants that are taken away from the configuration and come back, beside changes of the quota holder.

mod world;

use quota::Faults;
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
