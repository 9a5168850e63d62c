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

/// A world whose tenants ask for so much of their quotas.
fn world(seed: u64, gateways: usize, asks: f64) -> World {
    let rates = [150.0, 100.0, 60.0, 40.0];
    let loads = rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, asks));
    World::new(seed * 11 + 2, CONTROL_PLANES, gateways, loads.collect(), None, Faults::default())
        .with_membership(MembershipFaults::default())
}

/// Control hears these gateways no more, nor the other way round.
fn cut_off(world: &mut World, gateways: std::ops::Range<usize>) {
    for (gateway, place) in
        gateways.flat_map(|gateway| (0..CONTROL_PLANES).map(move |place| (gateway, place)))
    {
        world.cut(Who::Q(gateway), Who::M(place));
        world.cut(Who::M(place), Who::Q(gateway));
    }
}

#[parameterized(
    before_it_is_noticed = { 1_000.0 },
    about_when_it_is_noticed = { 1_400.0 },
    after_it_was_noticed = { 2_200.0 },
)]
fn slices_of_short_silences_are_charged(cut_for: f64) {
    for seed in 0..3 {
        let mut world = world(seed, GATEWAYS, 3.0);
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

/// Of a fleet that asks for less than its quotas so much is served right after one that was cut off is back.
const SERVED_AFTER: f64 = 0.9;
/// For so long it was cut off.
const CUT_FOR: f64 = 5_400.0;

/// The leader dies; `later` ms after that two of twelve are cut off from all, and are back after some seconds.
#[parameterized(
    before_another_one_leads = { 100.0 },
    as_another_one_leads = { 450.0 },
    just_after_another_one_leads = { 700.0 },
    long_after_another_one_leads = { 3_000.0 },
)]
fn what_was_kept_back_is_not_charged_once_more(later: f64) {
    for seed in 0..6 {
        let mut world = world(seed, 12, 0.7);
        world.run_until(8_000.0).expect("one holder");
        world.kill(Who::M(world.leader.expect("a leader")));
        world.run_until(world.now + later).expect("one holder");
        cut_off(&mut world, 0..2);
        world.run_until(world.now + CUT_FOR).expect("one holder");
        (0..CONTROL_PLANES).for_each(|master| world.start(Who::M(master)));
        world.heal();
        let before = world.judge.figures();
        world.run_until(world.now + 4_000.0).expect("one holder");
        let after = world.judge.figures();
        let served = (after.ran - before.ran) / (after.allowed - before.allowed);
        println!("seed {seed}: {served:.3} served, {:.3} of the judged bound", after.worst);
        assert!(served > SERVED_AFTER, "seed {seed}: {served:.3} of the quotas served");
        assert!(after.worst < MOST, "seed {seed}: {:.3} of the judged bound", after.worst);
    }
}

/// A process of control starts anew, and knows of few gateways at first; two gateways are cut off meanwhile, and the leader dies.
#[test]
fn who_leads_soon_after_its_start_keeps_back_no_more_than_is_spent() {
    for seed in 0..12 {
        let mut world = world(seed, 12, 0.7);
        world.run_until(8_000.0).expect("one holder");
        let leader = world.leader.expect("a leader");
        let others: Vec<usize> = (0..CONTROL_PLANES).filter(|place| *place != leader).collect();
        others.iter().for_each(|place| world.kill(Who::M(*place)));
        world.run_until(world.now + 100.0).expect("one holder");
        others.iter().for_each(|place| world.start(Who::M(*place)));
        world.run_until(world.now + 1_500.0).expect("one holder");
        cut_off(&mut world, 0..2);
        world.run_until(world.now + 300.0).expect("one holder");
        world.kill(Who::M(leader));
        world.run_until(world.now + 3_000.0).expect("one holder");
        let before = world.judge.figures();
        world.run_until(world.now + 4_000.0).expect("one holder");
        let after = world.judge.figures();
        let served = (after.ran - before.ran) / (after.allowed - before.allowed);
        println!("seed {seed}: {served:.3} served, {:.3} of the judged bound", after.worst);
        assert!(served > SERVED_AFTER, "seed {seed}: {served:.3} of the quotas served");
        assert!(after.worst < MOST, "seed {seed}: {:.3} of the judged bound", after.worst);
    }
}
