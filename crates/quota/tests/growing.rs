//! Gateways that are cut off while the fleet grows: they go on with the large slices of the small fleet, and the holder
//! has to keep back what they really spend.

mod world;

use quota::Faults;
use world::membership::MembershipFaults;
use world::{Load, Who, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
/// All gateways there are, and those that stay while the others are gone.
const GATEWAYS: usize = 13;
const CORE: usize = 3;
/// No span of any tenant may come nearer than this to the judged bound.
const MOST: f64 = 0.97;

/// Of the quotas so much is served while a fleet grows of which nobody is cut off.
const LEAST_SERVED: f64 = 0.9;
/// Clients ask for so many times the quotas.
const HOT: f64 = 7.0;

/// Who is lost together with the gateways that are cut off.
#[derive(Clone, Copy, PartialEq)]
enum Leader {
    Stays,
    Killed,
}

fn loads() -> Vec<Load> {
    let rates = [150.0, 100.0, 60.0, 40.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, HOT)).collect()
}

/// A world whose fleet has shrunk to its core, and has settled there.
fn shrunk(seed: u64) -> World {
    let mut world = World::new(seed, CONTROL_PLANES, GATEWAYS, loads(), None, Faults::default())
        .with_membership(MembershipFaults::default());
    world.run_until(4_000.0).expect("one holder");
    for place in CORE..GATEWAYS {
        world.leave(place, None);
    }
    // Longer than those that departed count for the slices.
    world.run_until(45_000.0).expect("one holder");
    world
}

/// All others come back to the core, one after another.
fn grow(world: &mut World) {
    for place in CORE..GATEWAYS {
        world.start(Who::Q(place));
        world.run_until(world.now + 200.0).expect("one holder");
    }
}

/// Some of the core are cut off, then all others come back. Gives the worst span of the quotas.
fn grows(seed: u64, cut_off: usize, leader: Leader) -> f64 {
    let mut world = shrunk(seed);
    for place in 0..cut_off {
        for control_plane in (0..CONTROL_PLANES).map(Who::M) {
            world.cut(Who::Q(place), control_plane);
            world.cut(control_plane, Who::Q(place));
        }
    }
    if leader == Leader::Killed {
        let leads = world.leader.expect("a leader");
        world.kill(Who::M(leads));
        world.run_until(world.now + 1_500.0).expect("one holder");
        world.start(Who::M(leads));
    }
    grow(&mut world);
    world.run_until(world.now + 30_000.0).expect("one holder");
    world.judge.worst()
}

#[parameterized(
    one = { 1, Leader::Stays },
    two = { 2, Leader::Stays },
    one_and_another_leader = { 1, Leader::Killed },
    two_and_another_leader = { 2, Leader::Killed },
)]
fn who_is_cut_off_breaks_no_quota_as_the_fleet_grows(cut_off: usize, leader: Leader) {
    for seed in 0..3 {
        let worst = grows(seed * 7 + 3, cut_off, leader);
        println!("seed {seed}: {worst:.3} of the judged bound");
        assert!(worst < MOST, "seed {seed}: {worst:.3} of the judged bound");
    }
}

#[test]
fn a_fleet_that_grows_whole_keeps_its_quotas() {
    for seed in 0..3 {
        let mut world = shrunk(seed);
        let before = world.judge.figures();
        grow(&mut world);
        world.run_until(world.now + 6_000.0).expect("one holder");
        let after = world.judge.figures();
        let served = (after.ran - before.ran) / (after.allowed - before.allowed);
        println!("seed {seed}: {served:.3} of the quotas served");
        assert!(served > LEAST_SERVED, "seed {seed}: {served:.3} of the quotas served");
    }
}
