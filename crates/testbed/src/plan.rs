//! The demo's services, routes and tenants, and the configuration that contains them.

use serde_json::{Map, Value, json};

/// Host of all routes.
pub const HOST: &str = "testbed.example";
/// Time after which a drained backend receives no more requests, in ms; also written to the settings files.
pub const DRAIN_MS: u64 = 2000;
/// Time after which an acknowledged configuration is in force, in ms.
pub const APPLY_MS: u64 = 2000;

/// The services with the mean service time of their backends in ms.
pub const SERVICES: [(&str, f64); 2] = [("chandler", 9.0), ("customs", 14.0)];

/// A kind of request: a route of the first configuration and its share of the load.
#[derive(Debug)]
pub struct Kind {
    /// Label of the route.
    pub label: &'static str,
    /// Path prefix.
    pub prefix: &'static str,
    /// Whether requests are pure, so that they may run more than once.
    pub pure: bool,
    /// Timeout of the client, in ms.
    pub deadline_ms: u64,
    /// Latency goal, in ms.
    pub goal_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub rank: u32,
    /// Target services with their shares.
    pub targets: &'static [(&'static str, u32)],
    /// Whether requests need no API key.
    pub public: bool,
    /// Share of the load.
    pub share: f64,
}

/// All kinds.
pub const KINDS: [Kind; 4] = [
    Kind {
        label: "tide",
        prefix: "/tide/",
        pure: true,
        deadline_ms: 1500,
        goal_ms: 200,
        rank: 2,
        targets: &[("chandler", 1)],
        public: true,
        share: 0.35,
    },
    Kind {
        label: "backend",
        prefix: "/backend/",
        pure: false,
        deadline_ms: 2000,
        goal_ms: 300,
        rank: 1,
        targets: &[("chandler", 1)],
        public: false,
        share: 0.25,
    },
    Kind {
        label: "cargo",
        prefix: "/cargo/",
        pure: true,
        deadline_ms: 1500,
        goal_ms: 250,
        rank: 2,
        targets: &[("customs", 90), ("chandler", 10)],
        public: false,
        share: 0.25,
    },
    Kind {
        label: "duty",
        prefix: "/duty/",
        pure: false,
        deadline_ms: 2500,
        goal_ms: 400,
        rank: 0,
        targets: &[("customs", 1)],
        public: false,
        share: 0.15,
    },
];

/// A tenant, its quota and its share of the load that needs an API key.
#[derive(Debug)]
pub struct Tenant {
    /// Label.
    pub label: &'static str,
    /// API key.
    pub key: &'static str,
    /// Quota rate in requests per second.
    pub rate: f64,
    /// Quota burst in requests.
    pub burst: f64,
    /// Share of the load.
    pub share: f64,
}

/// All tenants. The last one is small and may exceed its quota in a demo or trial.
pub const TENANTS: [Tenant; 3] = [
    Tenant { label: "albatross", key: "key-of-albatross", rate: 1500.0, burst: 1500.0, share: 0.6 },
    Tenant { label: "brigantine", key: "key-of-brigantine", rate: 900.0, burst: 900.0, share: 0.36 },
    Tenant { label: "cutter", key: "key-of-cutter", rate: 30.0, burst: 30.0, share: 0.04 },
];

/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 1;

/// Returns the first configuration under a given version.
pub fn configuration(version: u64) -> Value {
    let routes: Map<_, _> = KINDS.iter().map(|kind| (kind.label.to_owned(), route(kind))).collect();
    let service = json!({ "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls_mode": false });
    let services: Map<_, _> =
        SERVICES.iter().map(|(label, _)| ((*label).to_owned(), service.clone())).collect();
    let tenant =
        |t: &Tenant| json!({ "api_keys": [t.key], "rank": 1, "rate_per_s": t.rate, "burst_size": t.burst });
    let tenants: Map<_, _> = TENANTS.iter().map(|t| (t.label.to_owned(), tenant(t))).collect();
    json!({
        "generation": format!("r{version}"),
        "route_table": routes,
        "service_table": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_wait_ms": 3000,
            "idle_timeout_ms": 15000 },
        "tenant_table": tenants,
    })
}

fn route(kind: &Kind) -> Value {
    let mut route = json!({
        "authority": HOST,
        "path_prefix": kind.prefix,
        "variant": if kind.pure { "pure" } else { "effectful" },
        "deadline_ms": kind.deadline_ms,
        "goal_ms": kind.goal_ms,
        "rank": kind.rank,
        "max_tries": 2,
        "public": kind.public,
    });
    match kind.targets {
        [(only, _)] => route["target"] = json!(only),
        several => {
            let shares = several.iter().map(|(target, share)| json!({ "target": target, "share": share }));
            route["weighted"] = shares.collect();
        }
    }
    route
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_configuration_is_valid() {
        let body = configuration(FIRST_VERSION).to_string();
        let config = config::Config::parse(body.as_bytes()).expect("valid");
        for kind in &KINDS {
            let route = config.route(HOST, &format!("{}1", kind.prefix)).expect("a route");
            assert_eq!((&*route.label, route.pure), (kind.label, kind.pure));
        }
    }
}
