//! Gateways that are isolated while the fleet grows. They keep dividing the quota by the small fleet's size, so their
//! fallback slices are oversized, and the holder must reserve the units that these slices really spend.

mod world;

use quota::Faults;
use world::membership::MembershipFaults;
use world::{Load, Node, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
/// Number of all gateways, and of those that stay in the fleet throughout.
const GATEWAYS: usize = 13;
const CORE_GATEWAYS: usize = 3;
/// Upper limit of the most requests of a tenant that run within any compliance span (5 s), as a fraction of the
/// compliance bound in `world/load_metrics.rs`.
const MAX_SPAN_RATIO: f64 = 0.97;

/// Minimum fraction of the quotas that is served while the fleet grows and no gateway is isolated.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Request rate of the clients, as a multiple of the quotas.
const DEMAND_RATIO: f64 = 7.0;

/// Disruption of the leader while gateways are isolated.
#[derive(Clone, Copy, PartialEq)]
enum LeaderFate {
    Stays,
    Killed,
}

fn loads() -> Vec<Load> {
    let rates = [150.0, 100.0, 60.0, 40.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, DEMAND_RATIO)).collect()
}

/// A simulation whose fleet has shrunk to the core gateways and has settled.
fn shrunk_world(seed: u64) -> World {
    let mut world = World::new(seed, CONTROL_PLANES, GATEWAYS, loads(), None, Faults::default())
        .with_membership(MembershipFaults::default());
    world.run_until(4_000.0).expect("at most one holder per tenant");
    for index in CORE_GATEWAYS..GATEWAYS {
        world.leave(index, None);
    }
    // Departed gateways still count in the divisor of the fallback slices for 30 s.
    world.run_until(45_000.0).expect("at most one holder per tenant");
    world
}

/// Starts the other gateways one after another.
fn grow_fleet(world: &mut World) {
    for index in CORE_GATEWAYS..GATEWAYS {
        world.start(Node::Gateway(index));
        world.run_until(world.now + 200.0).expect("at most one holder per tenant");
    }
}

/// Isolates some core gateways, then starts all other gateways. Returns the worst span ratio
/// (see [`MAX_SPAN_RATIO`]).
fn grow_with_isolated_gateways(seed: u64, isolated: usize, leader: LeaderFate) -> f64 {
    let mut world = shrunk_world(seed);
    for index in 0..isolated {
        for control_plane in (0..CONTROL_PLANES).map(Node::Control) {
            world.cut_link(Node::Gateway(index), control_plane);
            world.cut_link(control_plane, Node::Gateway(index));
        }
    }
    if leader == LeaderFate::Killed {
        let leader_index = world.leader.expect("a leader");
        world.kill(Node::Control(leader_index));
        world.run_until(world.now + 1_500.0).expect("at most one holder per tenant");
        world.start(Node::Control(leader_index));
    }
    grow_fleet(&mut world);
    world.run_until(world.now + 30_000.0).expect("at most one holder per tenant");
    world.metrics.worst_span_ratio()
}

#[parameterized(
    one = { 1, LeaderFate::Stays },
    two = { 2, LeaderFate::Stays },
    one_and_leader_change = { 1, LeaderFate::Killed },
    two_and_leader_change = { 2, LeaderFate::Killed },
)]
fn isolated_gateways_keep_quotas_during_growth(isolated: usize, leader: LeaderFate) {
    for seed in 0..3 {
        let span_ratio = grow_with_isolated_gateways(seed * 7 + 3, isolated, leader);
        println!("seed {seed}: worst span {span_ratio:.3} of the compliance bound");
        assert!(
            span_ratio < MAX_SPAN_RATIO,
            "seed {seed}: worst span {span_ratio:.3} of the compliance bound"
        );
    }
}

#[test]
fn growth_without_isolation_serves_quotas() {
    for seed in 0..3 {
        let mut world = shrunk_world(seed);
        let before = world.metrics.summary();
        grow_fleet(&mut world);
        world.run_until(world.now + 6_000.0).expect("at most one holder per tenant");
        let after = world.metrics.summary();
        let served = (after.completed - before.completed) / (after.allowed - before.allowed);
        println!("seed {seed}: served {served:.3} of the quotas");
        assert!(served > MIN_SERVED_RATIO, "seed {seed}: served {served:.3} of the quotas");
    }
}
