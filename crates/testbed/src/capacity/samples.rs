//! Sample configurations, backends and names of a given size, with texts of realistic length.

use super::size::Size;
use protocol::{Backend, Phase};
use quota::Quota;
use serde_json::{Map, Value, json};

/// Quota rate of a tenant in requests per second: the peak load of the planned deployment (`requests_per_s` of `PLAN`
/// in `size.rs`) divided by its number of tenants, with some margin.
pub const TENANT_RATE: f64 = 5.0;
/// Quota burst of a tenant in requests.
pub const TENANT_BURST: f64 = 10.0;
/// Durations in a configuration.
const DEADLINE_MS: u64 = 2_000;
const GOAL_MS: u64 = 300;
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Name of a tenant.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number:05}")
}

/// Name of a data plane.
pub fn gateway_name(number: usize) -> String {
    format!("gateway-{number:04}")
}

fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}

/// A configuration of this size; `generation` is its version.
pub fn configuration(size: &Size, generation: u64) -> Value {
    let service = json!({ "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls_mode": false });
    let services: Map<_, _> = (0..size.services).map(|n| (service_name(n), service.clone())).collect();
    let routes: Map<_, _> = (0..size.routes).map(|n| (format!("route-{n:05}"), route(size, n))).collect();
    let tenants: Map<_, _> = (0..size.tenants).map(|n| (tenant_name(n), tenant(n))).collect();
    json!({
        "generation": format!("r{generation}"),
        "route_table": routes,
        "service_table": services,
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_wait_ms": 3_000,
            "idle_timeout_ms": IDLE_TIMEOUT_MS },
        "tenant_table": tenants,
    })
}

/// The configuration as the operator sends it.
pub fn configuration_bytes(size: &Size, generation: u64) -> Vec<u8> {
    configuration(size, generation).to_string().into_bytes()
}

fn route(size: &Size, number: usize) -> Value {
    json!({
        "authority": format!("shop-{:04}.example", number / 4),
        "path_prefix": format!("/part-{number:05}/"),
        "variant": if number.is_multiple_of(4) { "effectful" } else { "pure" },
        "deadline_ms": DEADLINE_MS,
        "goal_ms": GOAL_MS,
        "rank": 2,
        "max_tries": 2,
        "public": false,
        "target": service_name(number % size.services),
    })
}

fn tenant(number: usize) -> Value {
    // A key is 128 random-looking bits in hexadecimal, so that it compresses as badly as a real one.
    let key = scramble(number as u64);
    json!({
        "api_keys": [format!("{key:016x}{:016x}", scramble(key))],
        "rank": 1,
        "rate_per_s": TENANT_RATE,
        "burst_size": TENANT_BURST,
    })
}

/// The finalizer of the SplitMix64 generator.
fn scramble(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Quotas of all tenants.
pub fn quotas(size: &Size) -> Vec<Quota> {
    let quota = |n| Quota { tenant: tenant_name(n), rate_per_s: TENANT_RATE, burst: TENANT_BURST };
    (0..size.tenants).map(quota).collect()
}

/// Id of a backend.
pub fn backend_id(number: usize) -> String {
    format!("service-{:03}-{:08x}", number % 330, scramble(number as u64) as u32)
}

/// One backend.
pub fn backend(number: usize) -> Backend {
    Backend {
        id: backend_id(number),
        service: service_name(number % 330),
        address: format!("10.{}.{}.{}:8080", 16 + number / 65_536, number / 256 % 256, number % 256),
        zone: format!("zone-{}", number % 4),
        generation: "v1".to_owned(),
        capacity: 6,
        phase: Phase::Serving,
        warmup_left_ms: 0,
        call_count: 1_000 + number as u64,
        overdue: false,
    }
}

/// All backends.
pub fn backends(size: &Size) -> Vec<Backend> {
    (0..size.backends).map(backend).collect()
}
