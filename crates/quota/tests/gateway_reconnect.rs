//! A gateway that is repeatedly isolated for about as long as the holder needs to notice. The fallback slices that
//! the gateway spends meanwhile are charged to the counters after its return, and only once.

mod world;

use quota::Faults;
use world::membership::MembershipFaults;
use world::{Load, Node, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
const GATEWAYS: usize = 3;
/// Upper limit of the most requests of a tenant that run within any compliance span (5 s), as a fraction of the
/// compliance bound in `world/load_metrics.rs`.
const MAX_SPAN_RATIO: f64 = 0.97;
/// Minimum fraction of the quotas that is served while one gateway is isolated most of the time.
const MIN_SERVED_RATIO: f64 = 0.8;
/// Time between two isolations (ms), enough for a few lease requests.
const RECONNECT_DURATION: f64 = 250.0;

/// A simulation whose clients send requests at a constant multiple of the quotas.
fn world(seed: u64, gateways: usize, demand_ratio: f64) -> World {
    let rates = [150.0, 100.0, 60.0, 40.0];
    let loads = rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, demand_ratio));
    World::new(seed * 11 + 2, CONTROL_PLANES, gateways, loads.collect(), None, Faults::default())
        .with_membership(MembershipFaults::default())
}

/// Cuts all links between these gateways and the control planes, in both directions.
fn isolate_gateways(world: &mut World, gateways: std::ops::Range<usize>) {
    for (gateway, index) in
        gateways.flat_map(|gateway| (0..CONTROL_PLANES).map(move |index| (gateway, index)))
    {
        world.cut_link(Node::Gateway(gateway), Node::Control(index));
        world.cut_link(Node::Control(index), Node::Gateway(gateway));
    }
}

#[parameterized(
    before_gateway_timeout = { 1_000.0 },
    near_gateway_timeout = { 1_400.0 },
    after_gateway_timeout = { 2_200.0 },
)]
fn fallback_slices_of_short_silences_are_charged(isolation: f64) {
    for seed in 0..3 {
        let mut world = world(seed, GATEWAYS, 3.0);
        world.run_until(5_000.0).expect("at most one holder per tenant");
        while world.now < 30_000.0 {
            for control_plane in (0..CONTROL_PLANES).map(Node::Control) {
                world.cut_link(Node::Gateway(0), control_plane);
                world.cut_link(control_plane, Node::Gateway(0));
            }
            world.run_until(world.now + isolation).expect("at most one holder per tenant");
            world.heal();
            world.run_until(world.now + RECONNECT_DURATION).expect("at most one holder per tenant");
        }
        let summary = world.metrics.summary();
        let served = summary.completed / summary.allowed;
        println!(
            "seed {seed}: worst span {:.3} of the compliance bound; served {served:.3} of the quotas",
            summary.worst_span_ratio
        );
        assert!(
            summary.worst_span_ratio < MAX_SPAN_RATIO,
            "seed {seed}: worst span {:.3} of the compliance bound",
            summary.worst_span_ratio
        );
        assert!(served > MIN_SERVED_RATIO, "seed {seed}: served {served:.3} of the quotas");
    }
}

/// Minimum fraction served right after isolated gateways return, when clients request less than the quotas.
const MIN_SERVED_RATIO_AFTER_RECONNECT: f64 = 0.9;
/// Duration of the isolation (ms).
const ISOLATION_DURATION: f64 = 5_400.0;

/// The leader crashes, and `isolation_delay` ms later 2 of 12 gateways are isolated for some seconds. The slices that
/// the new leader reserved for them must not be charged again when they return.
#[parameterized(
    before_new_leader = { 100.0 },
    at_new_leader = { 450.0 },
    just_after_new_leader = { 700.0 },
    long_after_new_leader = { 3_000.0 },
)]
fn reserved_slices_are_not_charged_twice(isolation_delay: f64) {
    for seed in 0..6 {
        let mut world = world(seed, 12, 0.7);
        world.run_until(8_000.0).expect("at most one holder per tenant");
        world.kill(Node::Control(world.leader.expect("a leader")));
        world.run_until(world.now + isolation_delay).expect("at most one holder per tenant");
        isolate_gateways(&mut world, 0..2);
        world.run_until(world.now + ISOLATION_DURATION).expect("at most one holder per tenant");
        (0..CONTROL_PLANES).for_each(|index| world.start(Node::Control(index)));
        world.heal();
        let before = world.metrics.summary();
        world.run_until(world.now + 4_000.0).expect("at most one holder per tenant");
        let after = world.metrics.summary();
        let served = (after.completed - before.completed) / (after.allowed - before.allowed);
        println!(
            "seed {seed}: served {served:.3} of the quotas; worst span {:.3} of the compliance bound",
            after.worst_span_ratio
        );
        assert!(served > MIN_SERVED_RATIO_AFTER_RECONNECT, "seed {seed}: served {served:.3} of the quotas");
        assert!(
            after.worst_span_ratio < MAX_SPAN_RATIO,
            "seed {seed}: worst span {:.3} of the compliance bound",
            after.worst_span_ratio
        );
    }
}

/// A recently started control plane knows only a few gateways. It becomes leader while two gateways are isolated, and
/// must not reserve more than their slices.
#[test]
fn recently_started_leader_reserves_only_spent_slices() {
    for seed in 0..12 {
        let mut world = world(seed, 12, 0.7);
        world.run_until(8_000.0).expect("at most one holder per tenant");
        let leader = world.leader.expect("a leader");
        let others: Vec<usize> = (0..CONTROL_PLANES).filter(|index| *index != leader).collect();
        others.iter().for_each(|index| world.kill(Node::Control(*index)));
        world.run_until(world.now + 100.0).expect("at most one holder per tenant");
        others.iter().for_each(|index| world.start(Node::Control(*index)));
        world.run_until(world.now + 1_500.0).expect("at most one holder per tenant");
        isolate_gateways(&mut world, 0..2);
        world.run_until(world.now + 300.0).expect("at most one holder per tenant");
        world.kill(Node::Control(leader));
        world.run_until(world.now + 3_000.0).expect("at most one holder per tenant");
        let before = world.metrics.summary();
        world.run_until(world.now + 4_000.0).expect("at most one holder per tenant");
        let after = world.metrics.summary();
        let served = (after.completed - before.completed) / (after.allowed - before.allowed);
        println!(
            "seed {seed}: served {served:.3} of the quotas; worst span {:.3} of the compliance bound",
            after.worst_span_ratio
        );
        assert!(served > MIN_SERVED_RATIO_AFTER_RECONNECT, "seed {seed}: served {served:.3} of the quotas");
        assert!(
            after.worst_span_ratio < MAX_SPAN_RATIO,
            "seed {seed}: worst span {:.3} of the compliance bound",
            after.worst_span_ratio
        );
    }
}
