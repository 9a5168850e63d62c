//! Deployment sizes that capacity is computed for.

use control_plane::{Change, ConfigHistory, LogPosition};

/// Size of a deployment at its peak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Number of data planes.
    pub gateways: usize,
    /// Number of control planes, including those without a disk.
    pub control_planes: usize,
    /// Number of backends.
    pub backends: usize,
    /// Number of services.
    pub services: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of tenants with a quota.
    pub tenants: usize,
    /// Client requests per second.
    pub requests_per_s: f64,
}

/// The size to design for.
pub const PLAN: Size = Size {
    gateways: 1_400,
    control_planes: 13,
    backends: 15_000,
    services: 330,
    routes: 8_900,
    tenants: 31_000,
    requests_per_s: 93_000.0,
};

/// Minimum number of control planes: fewer do not tolerate two failures.
const MIN_CONTROL_PLANES: usize = 5;

impl Size {
    /// Scales the plan to another number of gateways.
    pub fn of(gateways: usize) -> Self {
        let part = |whole: usize| (whole * gateways).div_ceil(PLAN.gateways).max(1);
        Self {
            gateways,
            control_planes: part(PLAN.control_planes).max(MIN_CONTROL_PLANES),
            backends: part(PLAN.backends),
            services: part(PLAN.services),
            routes: part(PLAN.routes),
            tenants: part(PLAN.tenants),
            requests_per_s: PLAN.requests_per_s * gateways as f64 / PLAN.gateways as f64,
        }
    }

    /// Whether control planes keep the previous configuration body. If so, they send configurations as differences.
    pub fn keeps_previous_body(&self) -> bool {
        let length = super::samples::configuration_bytes(self, 1).len();
        let mut history = ConfigHistory::default();
        for version in 1..=2 {
            let body = vec![b' '; length];
            history
                .apply(LogPosition::default(), Change { base: version - 1, version, digest: [0; 32], body });
        }
        history.body_of(1).is_some()
    }
}

/// Numbers of gateways with a column in the tables.
pub const GATEWAYS: [usize; 4] = [13, 85, 300, PLAN.gateways];

/// The size of each column.
pub fn columns() -> [Size; GATEWAYS.len()] {
    GATEWAYS.map(Size::of)
}
