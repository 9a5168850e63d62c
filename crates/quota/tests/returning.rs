//! A gateway that is cut off again and again for about as long as it takes the holder to notice: what it spends of its
//! even slices meanwhile is charged to the counts once it is back, and once only.

mod world;

use quota::Faults;
use world::membership::MembershipFaults;
use world::{Load, Who, World};
use yare::parameterized;

const CONTROL_PLANES: usize = 3;
const GATEWAYS: usize = 3;
/// No span of any tenant may come nearer than this to the judged bound.
const MOST: f64 = 0.97;
/// So much of the quotas is served at least while one of the gateways is cut off most of the time.
const LEAST_SERVED: f64 = 0.8;
/// The pause between two cuts: time enough for a few draws.
const PAUSE: f64 = 250.0;

fn world(seed: u64) -> World {
    let rates = [150.0, 100.0, 60.0, 40.0];
    let loads = rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, 3.0));
    World::new(seed, CONTROL_PLANES, GATEWAYS, loads.collect(), None, Faults::default())
        .with_membership(MembershipFaults::default())
}

#[parameterized(
    before_it_is_noticed = { 1_000.0 },
    about_when_it_is_noticed = { 1_400.0 },
    after_it_was_noticed = { 2_200.0 },
)]
fn slices_of_short_silences_are_charged(cut_for: f64) {
    for seed in 0..3 {
        let mut world = world(seed * 11 + 2);
        world.run_until(5_000.0).expect("one holder");
        while world.now < 30_000.0 {
            for control_plane in (0..CONTROL_PLANES).map(Who::M) {
                world.cut(Who::Q(0), control_plane);
                world.cut(control_plane, Who::Q(0));
            }
            world.run_until(world.now + cut_for).expect("one holder");
            world.heal();
            world.run_until(world.now + PAUSE).expect("one holder");
        }
        let figures = world.judge.figures();
        let served = figures.ran / figures.allowed;
        println!("seed {seed}: {:.3} of the judged bound, {served:.3} served", figures.worst);
        assert!(figures.worst < MOST, "seed {seed}: {:.3} of the judged bound", figures.worst);
        assert!(served > LEAST_SERVED, "seed {seed}: {served:.3} of the quotas served");
    }
}
