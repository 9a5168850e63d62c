//! Counters spread over several holders in randomized simulations. The quotas hold under every kind of fault, and
//! injected faults must be detected.

mod world;

use quota::Faults;
use world::{Load, Node, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 5;
const GATEWAYS: usize = 12;
/// Upper limit of the most requests of a tenant that run within any compliance span (5 s), as a fraction of the
/// compliance bound in `world/load_metrics.rs`.
const MAX_SPAN_RATIO: f64 = 0.93;

/// Some tenants always exceed their quota. Others stay idle until their burst is full, then exceed their quota for
/// longer than a compliance span.
fn loads() -> Vec<Load> {
    let rates = [120.0, 60.0, 40.0, 25.0, 20.0, 12.0];
    let load = |(n, rate): (usize, &f64)| {
        let burst = rate * if n % 2 == 0 { 0.5 } else { 1.0 };
        let bursty =
            Load { peak: (3_500.0, 9_000.0, 12.0), period: 9_000.0, ..Load::new(n, *rate, burst, 0.2) };
        if n % 3 == 0 { Load::new(n, *rate, burst, 2.4) } else { bursty }
    };
    rates.iter().enumerate().map(load).collect()
}

#[derive(Clone, Copy)]
enum Scenario {
    HolderKilled,
    HolderFrozen,
    HolderSendsOnly,
    HolderReceivesOnly,
    LeaderKilled,
    LeaderFrozen,
    LeaderKilledDuringReassignment,
    GatewayCut,
    All,
}

/// Injects a fault of the given kind every two or three seconds. Returns the worst span ratio (see
/// [`MAX_SPAN_RATIO`]) and the largest number of holders.
fn run_scenario(
    seed: u64, scenario: Scenario, faults: Faults, ignores_epoch: bool,
) -> Result<(f64, usize), String> {
    let mut world = World::new(seed, CONTROL_PLANES, GATEWAYS, loads(), Some(20.0), faults);
    if ignores_epoch {
        world.inject_ignored_epoch();
    }
    world.run_until(12_000.0)?;
    let mut holders = world.holder_count();
    while world.now < 30_000.0 {
        let duration = 300.0 + world.rng.uniform() * 2_200.0;
        let fault = match scenario {
            Scenario::All => world.rng.below(8),
            single => single as usize,
        };
        inject_fault(&mut world, fault, duration)?;
        let pause = 300.0 + world.rng.uniform() * 2_500.0;
        world.run_until(world.now + duration + pause)?;
        world.heal();
        (0..CONTROL_PLANES).for_each(|index| world.start(Node::Control(index)));
        holders = holders.max(world.holder_count());
    }
    Ok((world.metrics.worst_span_ratio(), holders))
}

fn inject_fault(world: &mut World, fault: usize, duration: f64) -> Result<(), String> {
    let control_planes = || (0..CONTROL_PLANES).map(Node::Control);
    let (leader, deputy) = (world.leader, world.random_deputy());
    match (fault, leader, deputy) {
        (0, _, Some(deputy)) => world.kill(Node::Control(deputy)),
        (1, _, Some(deputy)) => world.freeze(Node::Control(deputy), duration),
        (2, _, Some(deputy)) => {
            control_planes()
                .filter(|node| *node != Node::Control(deputy))
                .for_each(|node| world.cut_link(node, Node::Control(deputy)));
        }
        (3, _, Some(deputy)) => {
            control_planes()
                .filter(|node| *node != Node::Control(deputy))
                .for_each(|node| world.cut_link(Node::Control(deputy), node));
        }
        (4, Some(leader), _) => world.kill(Node::Control(leader)),
        (5, Some(leader), _) => world.freeze(Node::Control(leader), duration),
        (6, Some(leader), Some(deputy)) => {
            world.freeze(Node::Control(deputy), 900.0);
            let jitter = world.rng.uniform();
            world.run_until(world.now + 395.0 + 60.0 * jitter)?;
            world.kill(Node::Control(leader));
        }
        (7, ..) => {
            let index = world.rng.below(GATEWAYS);
            let reachable = world.rng.below(CONTROL_PLANES);
            for node in control_planes().filter(|node| *node != Node::Control(reachable)) {
                world.cut_link(Node::Gateway(index), node);
                world.cut_link(node, Node::Gateway(index));
            }
        }
        _ => {}
    }
    Ok(())
}

#[parameterized(
    holder_killed = { Scenario::HolderKilled },
    holder_frozen = { Scenario::HolderFrozen },
    holder_sends_only = { Scenario::HolderSendsOnly },
    holder_receives_only = { Scenario::HolderReceivesOnly },
    leader_killed = { Scenario::LeaderKilled },
    leader_frozen = { Scenario::LeaderFrozen },
    leader_killed_during_reassignment = { Scenario::LeaderKilledDuringReassignment },
    gateway_cut = { Scenario::GatewayCut },
    all = { Scenario::All },
)]
fn quotas_hold(scenario: Scenario) {
    let mut max_holders = 0;
    let mut max_ratio: f64 = 0.0;
    for seed in 0..3 {
        match run_scenario(seed * 17 + 3, scenario, Faults::default(), false) {
            Ok((span_ratio, holders)) => {
                assert!(
                    span_ratio < MAX_SPAN_RATIO,
                    "seed {seed}: worst span {span_ratio:.3} of the compliance bound"
                );
                max_holders = max_holders.max(holders);
                max_ratio = max_ratio.max(span_ratio);
            }
            Err(failure) => panic!("seed {seed}: {failure}"),
        }
    }
    println!("worst span {max_ratio:.3} of the compliance bound, at most {max_holders} holders");
    assert!(max_holders > 1, "the counters were never spread over several holders");
}

#[parameterized(
    two_holders_at_once = { Faults { skips_handover: true, ..Faults::default() }, Scenario::HolderFrozen },
    deputy_grants_after_lease = { Faults { grants_after_lease: true, ..Faults::default() }, Scenario::HolderSendsOnly },
)]
fn detects_injected_faults(faults: Faults, scenario: Scenario) {
    let detected = (0..6).any(|seed| {
        let outcome = run_scenario(seed * 17 + 3, scenario, faults, false);
        println!("{outcome:?}");
        outcome.is_err() || outcome.is_ok_and(|(span_ratio, _)| span_ratio >= MAX_SPAN_RATIO)
    });
    assert!(detected, "the injected fault was not detected");
}
