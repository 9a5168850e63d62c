//! Gateways that shut down in order, become silent or restart in randomized simulations. The quotas hold, and a fleet
//! that shrinks in order still serves its quotas. Injected faults must be detected.

mod world;

use quota::Faults;
use registry::FleetFaults;
use world::membership::MembershipFaults;
use world::{Load, Node, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
/// Upper limit of the most requests of a tenant that run within any compliance span (5 s), as a fraction of the
/// compliance bound in `world/load_metrics.rs`.
const MAX_SPAN_RATIO: f64 = 0.97;

/// Tenants whose clients send requests at a constant multiple of their quota.
fn loads(demand_ratio: f64) -> Vec<Load> {
    let rates = [150.0, 100.0, 60.0, 40.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, demand_ratio)).collect()
}

fn world(seed: u64, gateways: usize, demand_ratio: f64, faults: MembershipFaults) -> World {
    World::new(seed, CONTROL_PLANES, gateways, loads(demand_ratio), None, Faults::default())
        .with_membership(faults)
}

/// Requests served within a duration, as a fraction of those that a single token bucket would grant.
fn served_ratio(world: &mut World, duration: f64) -> Result<f64, String> {
    let before = world.metrics.summary();
    world.run_until(world.now + duration)?;
    let after = world.metrics.summary();
    Ok((after.completed - before.completed) / (after.allowed - before.allowed))
}

/// Shrinks the fleet from 13 to 3 gateways, then kills the leader. Returns the fraction of the quotas served after
/// each step and the worst span ratio (see [`MAX_SPAN_RATIO`]).
fn shrink_fleet(seed: u64, faults: MembershipFaults) -> Result<(f64, f64, f64), String> {
    let mut world = world(seed, 13, 0.9, faults);
    world.membership().unreliable = true;
    world.run_until(6_000.0)?;
    for index in 3..13 {
        world.leave(index, None);
        world.run_until(world.now + 600.0)?;
    }
    // The fleet size in the log shrinks some seconds later. Recently started control planes use the size in the log.
    world.run_until(world.now + 6_000.0)?;
    let after_shrink = served_ratio(&mut world, 6_000.0)?;
    assert!(
        world.counted_fleet_size() == 3 || faults.fleet.forgets_departures,
        "the control plane counts {} gateways instead of 3",
        world.counted_fleet_size()
    );
    let leader = world.leader.ok_or("no leader")?;
    world.kill(Node::Control(leader));
    world.run_until(world.now + 2000.0)?;
    world.start(Node::Control(leader));
    let after_leader_change = served_ratio(&mut world, 6_000.0)?;
    Ok((after_shrink, after_leader_change, world.metrics.worst_span_ratio()))
}

#[test]
fn graceful_shrink_preserves_quotas() {
    for seed in 0..4 {
        let (after_shrink, after_leader_change, span_ratio) =
            shrink_fleet(seed, MembershipFaults::default()).expect("at most one holder per tenant");
        println!(
            "seed {seed}: served {after_shrink:.3}, then {after_leader_change:.3}; worst span {span_ratio:.3}"
        );
        assert!(
            after_shrink > 0.95 && after_leader_change > 0.95,
            "seed {seed}: served {after_shrink:.3} after the shrink, {after_leader_change:.3} after the leader change"
        );
        assert!(
            span_ratio < MAX_SPAN_RATIO,
            "seed {seed}: worst span {span_ratio:.3} of the compliance bound"
        );
    }
}

#[test]
fn detects_forgotten_departures() {
    let fleet = FleetFaults { forgets_departures: true, ..FleetFaults::default() };
    let faults = MembershipFaults { fleet, ..MembershipFaults::default() };
    let (after_shrink, after_leader_change, _) =
        shrink_fleet(0, faults).expect("at most one holder per tenant");
    assert!(
        after_shrink < 0.9 || after_leader_change < 0.9,
        "served {after_shrink:.3} after the shrink, {after_leader_change:.3} after the leader change"
    );
}

#[derive(Clone, Copy)]
enum Scenario {
    Leave,
    Restart,
    Killed,
    Cut,
    LeaderKilled,
    LeaderFrozen,
    LeaderCut,
    All,
}

const GATEWAYS: usize = 5;

/// Gateways join and leave while a fault of the given kind occurs every one or two seconds. Returns the worst
/// span ratio (see [`MAX_SPAN_RATIO`]).
fn run_scenario(seed: u64, scenario: Scenario, faults: MembershipFaults) -> Result<f64, String> {
    let mut world = world(seed, GATEWAYS, 2.0, faults);
    world.membership().unreliable = true;
    world.run_until(5_000.0)?;
    while world.now < 35_000.0 {
        let fault = match scenario {
            Scenario::All => world.rng.below(7),
            single => single as usize,
        };
        inject_fault(&mut world, fault)?;
        // Stopped gateways start again before the control planes tell gateways to divide by a smaller fleet.
        let pause = 500.0 + world.rng.uniform() * 2_500.0;
        world.run_until(world.now + pause)?;
        world.heal();
        (0..CONTROL_PLANES).for_each(|index| world.start(Node::Control(index)));
        (0..GATEWAYS).for_each(|index| world.start(Node::Gateway(index)));
    }
    Ok(world.metrics.worst_span_ratio())
}

/// Cuts all links between a gateway and the control planes, in both directions.
fn isolate_gateway(world: &mut World, index: usize) {
    for control_plane in (0..CONTROL_PLANES).map(Node::Control) {
        world.cut_link(Node::Gateway(index), control_plane);
        world.cut_link(control_plane, Node::Gateway(index));
    }
}

fn inject_fault(world: &mut World, fault: usize) -> Result<(), String> {
    let control_planes = || (0..CONTROL_PLANES).map(Node::Control);
    let open = world.admitting_gateways();
    if open.is_empty() {
        return Ok(());
    }
    let index = open[world.rng.below(open.len())];
    match (fault, world.leader) {
        (0, _) => world.leave(index, None),
        (1, _) => {
            let pause = 100.0 + world.rng.uniform() * 900.0;
            world.leave(index, Some(pause));
            let until = world.now + pause * 2.0 * world.rng.uniform();
            world.run_until(until)?;
        }
        (2, _) => world.kill(Node::Gateway(index)),
        (4, Some(leader)) => world.kill(Node::Control(leader)),
        (5, Some(leader)) => world.freeze(Node::Control(leader), 700.0),
        (6, Some(leader)) => {
            for other in control_planes().filter(|other| *other != Node::Control(leader)) {
                world.cut_link(Node::Control(leader), other);
                world.cut_link(other, Node::Control(leader));
            }
        }
        _ => {}
    }
    // The slices of a gateway that is isolated while others join and leave must stay reserved.
    if fault == 3 || world.rng.uniform() < 0.5 {
        let index = world.rng.below(GATEWAYS);
        isolate_gateway(world, index);
    }
    Ok(())
}

#[parameterized(
    leave = { Scenario::Leave },
    restart = { Scenario::Restart },
    killed = { Scenario::Killed },
    cut = { Scenario::Cut },
    leader_killed = { Scenario::LeaderKilled },
    leader_frozen = { Scenario::LeaderFrozen },
    leader_cut = { Scenario::LeaderCut },
    all = { Scenario::All },
)]
fn quotas_hold(scenario: Scenario) {
    let mut max_ratio: f64 = 0.0;
    for seed in 0..4 {
        match run_scenario(seed * 13 + 5, scenario, MembershipFaults::default()) {
            Ok(span_ratio) => max_ratio = max_ratio.max(span_ratio),
            Err(failure) => panic!("seed {seed}: {failure}"),
        }
    }
    println!("worst span {max_ratio:.3} of the compliance bound");
    assert!(max_ratio < MAX_SPAN_RATIO, "worst span {max_ratio:.3} of the compliance bound");
}

/// One of four gateways announces its departure, then is isolated. With the injected fault, it continues to admit
/// requests.
fn depart_then_isolate(faults: MembershipFaults) -> f64 {
    let mut world = world(3, 4, 2.0, faults);
    world.run_until(8_000.0).expect("at most one holder per tenant");
    world.leave(3, None);
    world.run_until(8_020.0).expect("at most one holder per tenant");
    isolate_gateway(&mut world, 3);
    world.run_until(28_000.0).expect("at most one holder per tenant");
    world.metrics.worst_span_ratio()
}

#[test]
fn detects_departure_announced_before_last_admission() {
    let correct = depart_then_isolate(MembershipFaults::default());
    let faults = MembershipFaults { admits_after_leave: 25_000.0, ..MembershipFaults::default() };
    let faulty = depart_then_isolate(faults);
    println!("worst span {correct:.3} and {faulty:.3} of the compliance bound");
    assert!(
        correct < MAX_SPAN_RATIO && faulty > 1.0,
        "worst span {correct:.3} and {faulty:.3} of the compliance bound"
    );
}

/// One of three gateways restarts and is isolated. The departure of its previous incarnation arrives only afterwards.
fn restart_before_departure_arrives(faults: MembershipFaults) -> f64 {
    let mut world = world(4, 3, 2.0, faults);
    world.run_until(8_000.0).expect("at most one holder per tenant");
    world.membership().leave_delay = 6_000.0;
    world.leave(2, Some(300.0));
    world.run_until(10_000.0).expect("at most one holder per tenant");
    isolate_gateway(&mut world, 2);
    world.run_until(28_000.0).expect("at most one holder per tenant");
    world.metrics.worst_span_ratio()
}

#[test]
fn detects_late_departure_applied_to_next_incarnation() {
    let correct = restart_before_departure_arrives(MembershipFaults::default());
    let fleet = FleetFaults { departs_by_name: true, ..FleetFaults::default() };
    let faulty = restart_before_departure_arrives(MembershipFaults { fleet, ..MembershipFaults::default() });
    println!("worst span {correct:.3} and {faulty:.3} of the compliance bound");
    assert!(
        correct < MAX_SPAN_RATIO && faulty > 1.0,
        "worst span {correct:.3} and {faulty:.3} of the compliance bound"
    );
}
