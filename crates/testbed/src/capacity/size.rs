//! The sizes that capacity is worked out for.

use control_plane::{Change, ConfigHistory, LogPosition};

/// How large a deployment is, at its peak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Data planes.
    pub gateways: usize,
    /// Control planes, those without a disk among them.
    pub control_planes: usize,
    /// Backends.
    pub backends: usize,
    /// Services that the backends belong to.
    pub services: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Tenants with a quota.
    pub tenants: usize,
    /// Requests of clients a second.
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

/// Fewer control planes bear no two losses.
const FEWEST_CONTROL_PLANES: usize = 5;

impl Size {
    /// The plan's proportions with another number of gateways.
    pub fn of(gateways: usize) -> Self {
        let part = |whole: usize| (whole * gateways).div_ceil(PLAN.gateways).max(1);
        Self {
            gateways,
            control_planes: part(PLAN.control_planes).max(FEWEST_CONTROL_PLANES),
            backends: part(PLAN.backends),
            services: part(PLAN.services),
            routes: part(PLAN.routes),
            tenants: part(PLAN.tenants),
            requests_per_s: PLAN.requests_per_s * gateways as f64 / PLAN.gateways as f64,
        }
    }

    /// Whether the history keeps the body before the newest one, so that a configuration goes as a difference.
    pub fn keeps_the_body_before(&self) -> bool {
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

/// Numbers of gateways that tables have a column for.
pub const GATEWAYS: [usize; 4] = [13, 85, 300, PLAN.gateways];

/// One size a column.
pub fn columns() -> [Size; GATEWAYS.len()] {
    GATEWAYS.map(Size::of)
}
