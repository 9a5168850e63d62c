//! Reports the cost of quota leases in randomized simulations, and the requests that leases refuse but a single token
//! bucket would grant.
//!
//! Columns: client requests; requests that a single token bucket would grant but the leases refused; refused requests;
//! requests that waited for a block of units from the holder, with their mean and 99th percentile wait; lease requests
//! and their bytes per client request; granted units that no gateway spent; requests paid from fallback slices (an even
//! share of the quota, spent while the holder is silent); the most units spent in any compliance span (5 s), relative
//! to the bound for such a span.
//! An argument selects the cases whose name contains it.

#[path = "../tests/world/mod.rs"]
mod world;

use quota::Faults;
use world::load_metrics::Summary;
use world::{Load, Node, World};

const SEEDS: u64 = 6;

fn add(total: &mut Summary, summary: &Summary) {
    total.requests += summary.requests;
    total.allowed += summary.allowed;
    total.completed += summary.completed;
    total.refused += summary.refused;
    total.missed += summary.missed;
    total.waited += summary.waited;
    total.wait_mean += summary.wait_mean / SEEDS as f64;
    total.wait_p99 += summary.wait_p99 / SEEDS as f64;
    total.lease_requests += summary.lease_requests;
    total.lease_bytes += summary.lease_bytes;
    total.granted += summary.granted;
    total.worst_span_ratio = total.worst_span_ratio.max(summary.worst_span_ratio);
}

fn small_site() -> Vec<Load> {
    let rates = [160.0, 120.0, 80.0, 60.0, 40.0, 40.0, 30.0, 20.0];
    rates.iter().enumerate().map(|(n, rate)| Load::new(n, *rate, rate * 0.5, 0.62)).collect()
}

fn large_site(burst: f64) -> Vec<Load> {
    let rate = |n: usize| if n < 6 { 250.0 } else { 20.0 };
    (0..82).map(|n| Load::new(n, rate(n), if n < 6 { 125.0 } else { burst }, 0.62)).collect()
}

/// Sets the request rate of all clients relative to the quotas.
fn with_demand(mut loads: Vec<Load>, demand_ratio: f64) -> Vec<Load> {
    for load in &mut loads {
        load.demand_ratio = demand_ratio;
    }
    loads
}

/// Adds a load peak to each tenant, starting between 6 and 9 s and ending at 9 s.
fn with_peak(mut loads: Vec<Load>, factor: f64) -> Vec<Load> {
    for (n, load) in loads.iter_mut().enumerate() {
        load.peak = (6000.0 + 200.0 * n as f64 % 3000.0, 9000.0, factor);
    }
    loads
}

/// Tenants with almost no requests at first, and their usual load from one moment on.
fn with_new_tenants(mut loads: Vec<Load>) -> Vec<Load> {
    for load in &mut loads {
        load.demand_ratio /= 1e4;
        load.peak = (10_000.0, 1e9, 1e4);
    }
    loads
}

struct Case {
    name: &'static str,
    gateways: usize,
    loads: Vec<Load>,
    /// Fraction of the gateways that receive requests of a given tenant.
    gateway_fraction: f64,
    multi_holder: bool,
    kill_holder: bool,
}

fn main() {
    let filter = std::env::args().nth(1);
    let case = |name, gateways, loads, gateway_fraction| Case {
        name,
        gateways,
        loads,
        gateway_fraction,
        multi_holder: false,
        kill_holder: false,
    };
    let cases = [
        case("calm 9", 9, small_site(), 1.0),
        case("at the quota 9", 9, with_demand(small_site(), 1.0), 1.0),
        case("hot 9", 9, with_peak(small_site(), 7.5), 1.0),
        case("new tenants 9", 9, with_new_tenants(small_site()), 1.0),
        case("calm 85", 85, large_site(20.0), 1.0),
        case("at the quota 85", 85, with_demand(large_site(20.0), 1.0), 1.0),
        case("hot 85", 85, with_peak(large_site(20.0), 7.5), 1.0),
        case("new tenants 85", 85, with_new_tenants(large_site(20.0)), 1.0),
        case("85, burst 6", 85, with_demand(large_site(6.0), 0.9), 1.0),
        case("85, ten each", 85, with_demand(large_site(20.0), 0.9), 0.12),
        Case { kill_holder: true, ..case("leader lost 9", 9, small_site(), 1.0) },
        Case { kill_holder: true, ..case("leader lost 85", 85, large_site(20.0), 1.0) },
        Case { multi_holder: true, ..case("calm 9, spread", 9, small_site(), 1.0) },
        Case { multi_holder: true, ..case("calm 85, spread", 85, large_site(20.0), 1.0) },
        Case { multi_holder: true, ..case("hot 85, spread", 85, with_peak(large_site(20.0), 7.5), 1.0) },
        Case {
            multi_holder: true,
            kill_holder: true,
            ..case("a holder lost 85, spread", 85, large_site(20.0), 1.0)
        },
    ];
    println!(
        "case                      |   reqs | missed % | refused % | waits % | mean | p99 ms | lease/r | bytes/r |   unused % | slices % | worst"
    );
    for case in
        cases.iter().filter(|case| filter.as_ref().is_none_or(|filter| case.name.contains(filter.as_str())))
    {
        let (mut total, mut granted_by_slice) = (Summary::default(), 0);
        for seed in 0..SEEDS {
            let mut world = World::new(
                seed * 31 + 5,
                6,
                case.gateways,
                case.loads.clone(),
                case.multi_holder.then_some(250.0),
                Faults::default(),
            );
            world.gateway_fraction = case.gateway_fraction;
            let mut run = |until: f64| world.run_until(until).unwrap_or_else(|error| println!("{error}"));
            run(14_000.0);
            if case.kill_holder {
                let victim = if case.multi_holder { world.random_deputy() } else { world.leader };
                if let Some(victim) = victim {
                    world.kill(Node::Control(victim));
                }
            }
            world.run_until(20_000.0).unwrap_or_else(|error| println!("{error}"));
            add(&mut total, &world.metrics.summary());
            granted_by_slice += world.granted_by_slice();
        }
        let percent = |figure: f64, of: f64| 100.0 * figure / of.max(1.0);
        let granted_by_block = total.completed - granted_by_slice as f64;
        println!(
            "{:<25} | {:>6.0} | {:>8.2} | {:>9.2} | {:>7.1} | {:>4.1} | {:>6.1} | {:>7.3} | {:>7.1} | {:>10.1} | {:>8.2} | {:.3}",
            case.name,
            total.requests,
            percent(total.missed, total.allowed),
            percent(total.refused, total.requests),
            percent(total.waited, total.requests),
            total.wait_mean,
            total.wait_p99,
            total.lease_requests / total.requests,
            total.lease_bytes / total.requests,
            percent(total.granted - granted_by_block, total.granted),
            percent(granted_by_slice as f64, total.completed),
            total.worst_span_ratio,
        );
    }
}
