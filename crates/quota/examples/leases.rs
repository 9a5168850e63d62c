//! An account of the leases in drawn worlds: what they cost, and what they refuse that one bucket would let through.

#[path = "../tests/world/mod.rs"]
mod world;

use quota::Faults;
use world::judge::Figures;
use world::{Load, Who, World};

const SEEDS: u64 = 6;

fn add(sum: &mut Figures, f: &Figures) {
    sum.asked += f.asked;
    sum.allowed += f.allowed;
    sum.ran += f.ran;
    sum.refused += f.refused;
    sum.missed += f.missed;
    sum.waited += f.waited;
    sum.wait_mean += f.wait_mean / SEEDS as f64;
    sum.wait_p99 += f.wait_p99 / SEEDS as f64;
    sum.draws += f.draws;
    sum.bytes += f.bytes;
    sum.granted += f.granted;
    sum.worst = sum.worst.max(f.worst);
}

fn small() -> Vec<Load> {
    let rates = [160.0, 120.0, 80.0, 60.0, 40.0, 40.0, 30.0, 20.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, 0.62)).collect()
}

fn grown(burst: f64) -> Vec<Load> {
    let rate = |n: usize| if n < 6 { 250.0 } else { 20.0 };
    (0..82).map(|n| Load::new(n, rate(n), if n < 6 { 125.0 } else { burst }, 0.62)).collect()
}

fn hot(mut loads: Vec<Load>, asks: f64) -> Vec<Load> {
    for load in &mut loads {
        load.asks = asks;
    }
    loads
}

fn spiky(mut loads: Vec<Load>, times: f64) -> Vec<Load> {
    for (n, load) in loads.iter_mut().enumerate() {
        load.hot = (6000.0 + 200.0 * n as f64 % 3000.0, 9000.0, times);
    }
    loads
}

/// Tenants that send nothing worth speaking of at first, and all at once their usual.
fn new(mut loads: Vec<Load>) -> Vec<Load> {
    for load in &mut loads {
        load.asks /= 1e4;
        load.hot = (10_000.0, 1e9, 1e4);
    }
    loads
}

struct Case {
    name: &'static str,
    gateways: usize,
    loads: Vec<Load>,
    reach: f64,
    spread: bool,
    kill: bool,
}

fn main() {
    let only = std::env::args().nth(1);
    let case =
        |name, gateways, loads, reach| Case { name, gateways, loads, reach, spread: false, kill: false };
    let cases = [
        case("calm 9", 9, small(), 1.0),
        case("at the quota 9", 9, hot(small(), 1.0), 1.0),
        case("hot 9", 9, spiky(small(), 7.5), 1.0),
        case("new tenants 9", 9, new(small()), 1.0),
        case("calm 85", 85, grown(20.0), 1.0),
        case("at the quota 85", 85, hot(grown(20.0), 1.0), 1.0),
        case("hot 85", 85, spiky(grown(20.0), 7.5), 1.0),
        case("new tenants 85", 85, new(grown(20.0)), 1.0),
        case("85, burst 6", 85, hot(grown(6.0), 0.9), 1.0),
        case("85, ten each", 85, hot(grown(20.0), 0.9), 0.12),
        Case { kill: true, ..case("leader lost 9", 9, small(), 1.0) },
        Case { kill: true, ..case("leader lost 85", 85, grown(20.0), 1.0) },
        Case { spread: true, ..case("calm 9, spread", 9, small(), 1.0) },
        Case { spread: true, ..case("calm 85, spread", 85, grown(20.0), 1.0) },
        Case { spread: true, ..case("hot 85, spread", 85, spiky(grown(20.0), 7.5), 1.0) },
        Case { spread: true, kill: true, ..case("a holder lost 85, spread", 85, grown(20.0), 1.0) },
    ];
    println!(
        "case                      |  asked | missed % | refused % | waits % | mean | p99 ms | draws/r | bytes/r | stranded % | slices % | worst"
    );
    for case in cases.iter().filter(|case| only.as_ref().is_none_or(|only| case.name.contains(only.as_str())))
    {
        let (mut sum, mut slices) = (Figures::default(), 0);
        for seed in 0..SEEDS {
            let mut world = World::new(
                seed * 31 + 5,
                6,
                case.gateways,
                case.loads.clone(),
                case.spread.then_some(250.0),
                Faults::default(),
            );
            world.reach = case.reach;
            let mut run = |until: f64| world.run_until(until).unwrap_or_else(|fault| println!("{fault}"));
            run(14_000.0);
            if case.kill {
                let lost = if case.spread { world.deputy() } else { world.leader };
                if let Some(lost) = lost {
                    world.kill(Who::M(lost));
                }
            }
            world.run_until(20_000.0).unwrap_or_else(|fault| println!("{fault}"));
            add(&mut sum, &world.judge.figures());
            slices += world.by_slice();
        }
        let part = |figure: f64, of: f64| 100.0 * figure / of.max(1.0);
        let blocks = sum.ran - slices as f64;
        println!(
            "{:<25} | {:>6.0} | {:>8.2} | {:>9.2} | {:>7.1} | {:>4.1} | {:>6.1} | {:>7.3} | {:>7.1} | {:>10.1} | {:>8.2} | {:.3}",
            case.name,
            sum.asked,
            part(sum.missed, sum.allowed),
            part(sum.refused, sum.asked),
            part(sum.waited, sum.asked),
            sum.wait_mean,
            sum.wait_p99,
            sum.draws / sum.asked,
            sum.bytes / sum.asked,
            part(sum.granted - blocks, sum.granted),
            part(slices as f64, sum.ran),
            sum.worst,
        );
    }
}
