//! Gateways that leave in order, fall silent and start again in drawn worlds: no quota is broken, and a fleet that
//! shrinks in order keeps its quotas. Planted faults must be found.

mod world;

use quota::Faults;
use registry::FleetFaults;
use world::membership::MembershipFaults;
use world::{Load, Who, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
/// No span of any tenant may come nearer than this to the judged bound.
const MOST: f64 = 0.97;

/// Tenants that always ask for so much of their quota.
fn loads(asks: f64) -> Vec<Load> {
    let rates = [150.0, 100.0, 60.0, 40.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, asks)).collect()
}

fn world(seed: u64, gateways: usize, asks: f64, faults: MembershipFaults) -> World {
    World::new(seed, CONTROL_PLANES, gateways, loads(asks), None, Faults::default()).with_membership(faults)
}

/// What is served for a span, as a share of what one bucket would let through.
fn served_for(world: &mut World, span: f64) -> Result<f64, String> {
    let before = world.judge.figures();
    world.run_until(world.now + span)?;
    let after = world.judge.figures();
    Ok((after.ran - before.ran) / (after.allowed - before.allowed))
}

/// Thirteen gateways become three, then the leader is killed: what is served of the quotas after each, and the worst
/// span.
fn shrink(seed: u64, faults: MembershipFaults) -> Result<(f64, f64, f64), String> {
    let mut world = world(seed, 13, 0.9, faults);
    world.membership().unruly = true;
    world.run_until(6_000.0)?;
    for place in 3..13 {
        world.leave(place, None);
        world.run_until(world.now + 600.0)?;
    }
    // Processes that have just started go by the log as well, which is told of a smaller fleet after some seconds.
    world.run_until(world.now + 6_000.0)?;
    let shrunk = served_for(&mut world, 6_000.0)?;
    assert!(world.counted() == 3 || faults.fleet.forgets_departures, "{} count", world.counted());
    let leader = world.leader.ok_or("nobody leads")?;
    world.kill(Who::M(leader));
    world.run_until(world.now + 2000.0)?;
    world.start(Who::M(leader));
    let led_anew = served_for(&mut world, 6_000.0)?;
    Ok((shrunk, led_anew, world.judge.worst()))
}

#[test]
fn a_fleet_that_shrinks_in_order_keeps_its_quotas() {
    for seed in 0..4 {
        let (shrunk, led_anew, worst) = shrink(seed, MembershipFaults::default()).expect("one holder");
        println!("seed {seed}: {shrunk:.3} then {led_anew:.3} served, worst span {worst:.3}");
        assert!(shrunk > 0.95 && led_anew > 0.95, "seed {seed}: {shrunk:.3} then {led_anew:.3} served");
        assert!(worst < MOST, "seed {seed}: {worst:.3} of the judged bound");
    }
}

#[test]
fn departures_that_are_forgotten_are_found() {
    let fleet = FleetFaults { forgets_departures: true, ..FleetFaults::default() };
    let faults = MembershipFaults { fleet, ..MembershipFaults::default() };
    let (shrunk, led_anew, _) = shrink(0, faults).expect("one holder");
    assert!(shrunk < 0.9 || led_anew < 0.9, "{shrunk:.3} then {led_anew:.3} served");
}

#[derive(Clone, Copy)]
enum Trouble {
    Leave,
    StartAnew,
    Killed,
    Cut,
    LeaderKilled,
    LeaderFrozen,
    LeaderCut,
    All,
}

const GATEWAYS: usize = 5;

/// Gateways come and go while a trouble of that kind comes every second or two; gives the worst span.
fn live(seed: u64, trouble: Trouble, faults: MembershipFaults) -> Result<f64, String> {
    let mut world = world(seed, GATEWAYS, 2.0, faults);
    world.membership().unruly = true;
    world.run_until(5_000.0)?;
    while world.now < 35_000.0 {
        let kind = match trouble {
            Trouble::All => world.lots.below(7),
            one => one as usize,
        };
        strike(&mut world, kind)?;
        // Whoever is gone starts again before the fleet counts as smaller for those who cut slices.
        let pause = 500.0 + world.lots.unit() * 2_500.0;
        world.run_until(world.now + pause)?;
        world.heal();
        (0..CONTROL_PLANES).for_each(|place| world.start(Who::M(place)));
        (0..GATEWAYS).for_each(|place| world.start(Who::Q(place)));
    }
    Ok(world.judge.worst())
}

/// Control hears a gateway no more, nor the other way round.
fn cut_off(world: &mut World, place: usize) {
    for control_plane in (0..CONTROL_PLANES).map(Who::M) {
        world.cut(Who::Q(place), control_plane);
        world.cut(control_plane, Who::Q(place));
    }
}

fn strike(world: &mut World, kind: usize) -> Result<(), String> {
    let control_planes = || (0..CONTROL_PLANES).map(Who::M);
    let open = world.open_gateways();
    if open.is_empty() {
        return Ok(());
    }
    let place = open[world.lots.below(open.len())];
    match (kind, world.leader) {
        (0, _) => world.leave(place, None),
        (1, _) => {
            let pause = 100.0 + world.lots.unit() * 900.0;
            world.leave(place, Some(pause));
            let until = world.now + pause * 2.0 * world.lots.unit();
            world.run_until(until)?;
        }
        (2, _) => world.kill(Who::Q(place)),
        (4, Some(leader)) => world.kill(Who::M(leader)),
        (5, Some(leader)) => world.freeze(Who::M(leader), 700.0),
        (6, Some(leader)) => {
            for other in control_planes().filter(|other| *other != Who::M(leader)) {
                world.cut(Who::M(leader), other);
                world.cut(other, Who::M(leader));
            }
        }
        _ => {}
    }
    // One that is cut off while others come and go is the one whose slices must be held back.
    if kind == 3 || world.lots.unit() < 0.5 {
        let place = world.lots.below(GATEWAYS);
        cut_off(world, place);
    }
    Ok(())
}

#[parameterized(
    leave = { Trouble::Leave },
    start_anew = { Trouble::StartAnew },
    killed = { Trouble::Killed },
    cut = { Trouble::Cut },
    leader_killed = { Trouble::LeaderKilled },
    leader_frozen = { Trouble::LeaderFrozen },
    leader_cut = { Trouble::LeaderCut },
    all = { Trouble::All },
)]
fn no_quota_is_broken(trouble: Trouble) {
    let mut highest: f64 = 0.0;
    for seed in 0..4 {
        match live(seed * 13 + 5, trouble, MembershipFaults::default()) {
            Ok(worst) => highest = highest.max(worst),
            Err(fault) => panic!("seed {seed}: {fault}"),
        }
    }
    println!("{highest:.3} of the judged bound");
    assert!(highest < MOST, "{highest:.3} of the judged bound");
}

/// One of four gateways says that it has ended, and goes on while nobody hears it.
fn leaves_and_is_cut_off(faults: MembershipFaults) -> f64 {
    let mut world = world(3, 4, 2.0, faults);
    world.run_until(8_000.0).expect("one holder");
    world.leave(3, None);
    world.run_until(8_020.0).expect("one holder");
    cut_off(&mut world, 3);
    world.run_until(28_000.0).expect("one holder");
    world.judge.worst()
}

#[test]
fn a_leave_that_is_said_before_the_last_request_is_admitted_is_found() {
    let sound = leaves_and_is_cut_off(MembershipFaults::default());
    let faults = MembershipFaults { admits_after_leave: 25_000.0, ..MembershipFaults::default() };
    let early = leaves_and_is_cut_off(faults);
    println!("{sound:.3} and {early:.3}");
    assert!(sound < MOST && early > 1.0, "{sound:.3} and {early:.3} of the judged bound");
}

/// One of three gateways starts anew and is cut off; only then the leave of its former incarnation comes.
fn leave_comes_after_the_next_start(faults: MembershipFaults) -> f64 {
    let mut world = world(4, 3, 2.0, faults);
    world.run_until(8_000.0).expect("one holder");
    world.membership().leaves_late = 6_000.0;
    world.leave(2, Some(300.0));
    world.run_until(10_000.0).expect("one holder");
    cut_off(&mut world, 2);
    world.run_until(28_000.0).expect("one holder");
    world.judge.worst()
}

#[test]
fn a_late_leave_that_frees_the_next_incarnation_is_found() {
    let sound = leave_comes_after_the_next_start(MembershipFaults::default());
    let fleet = FleetFaults { departs_by_name: true, ..FleetFaults::default() };
    let by_name = leave_comes_after_the_next_start(MembershipFaults { fleet, ..MembershipFaults::default() });
    println!("{sound:.3} and {by_name:.3}");
    assert!(sound < MOST && by_name > 1.0, "{sound:.3} and {by_name:.3} of the judged bound");
}
