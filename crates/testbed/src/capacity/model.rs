//! Traffic and processor use of each role at a size: lengths and costs of messages and steps, multiplied by their
//! rates. The rates follow from constants of the protocol and from the capacity plan; this module measures
//! nothing.
//!
//! Terms: a follower is a data plane that receives configurations and heartbeats from a control plane. A lease is a
//! number of units of a tenant's quota that a data plane may spend for a limited time. A quota holder is a control
//! plane that answers lease requests. A flow is one kind of message or step with its rate.

use super::costs::{StepCost, step};
use super::messages::{HEARTBEAT_MS, MessageLength, ROUND_MS, kind};
use super::size::Size;

/// Heartbeats per second from a control plane to each follower.
const STATUS_PER_S: f64 = 1000.0 / 350.0;
/// Keep-alives per second from a data plane to its control plane and to each quota holder.
const KEEP_ALIVES_PER_S: f64 = 1000.0 / 800.0;
/// Heartbeats per second from the log leader to each voter.
const LOG_HEARTBEATS_PER_S: f64 = 1000.0 / 60.0;
/// Lease requests per client request when tenants are small: see `docs/leases.md`.
const LEASE_REQUESTS_PER_REQUEST: f64 = 1.13;
/// Configuration changes per second: 3,000 per day.
const CHANGES_PER_S: f64 = 3_000.0 / 86_400.0;
/// Backend updates per second: 5,500 restarts per day, each with a drain, a departure and a start.
const BACKEND_UPDATES_PER_S: f64 = 3.0 * 5_500.0 / 86_400.0;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;

/// A role whose load is computed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A data plane, which proxies requests.
    DataPlane,
    /// A control plane, with or without a disk, serving its share of the data planes and of the backends' heartbeats.
    ControlPlane,
    /// Additional load of the log leader.
    Leader,
    /// Additional load of the quota holder. The log leader is the only holder unless quotas are spread over several
    /// control planes.
    QuotaHolder,
}

/// All roles with their names in tables.
pub const ROLES: [(Role, &str); 4] = [
    (Role::DataPlane, "data plane"),
    (Role::ControlPlane, "control plane"),
    (Role::Leader, "leader, on top"),
    (Role::QuotaHolder, "quota holder, on top"),
];

/// A recurring message or step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// The kind of message, or the step.
    pub name: &'static str,
    /// Rate per second.
    pub per_s: f64,
}

fn flow(name: &'static str, per_s: f64) -> Flow {
    Flow { name, per_s }
}

/// Data planes that follow one control plane.
fn followers(size: &Size) -> f64 {
    size.gateways as f64 / size.control_planes as f64
}

/// Number of other control planes.
fn others(size: &Size) -> f64 {
    size.control_planes as f64 - 1.0
}

/// Heartbeats of backends that one control plane receives, per second.
fn heartbeats(size: &Size) -> f64 {
    size.backends as f64 / size.control_planes as f64 * 1000.0 / HEARTBEAT_MS
}

/// The messages that a role sends and receives. `kept` says whether control planes keep the previous configuration
/// body; if so, they send each configuration as the difference from the previous one.
pub fn messages(role: Role, size: &Size, kept: bool) -> Vec<Flow> {
    let leases = LEASE_REQUESTS_PER_REQUEST * size.requests_per_s;
    let configuration = if kept { kind::CONFIGURATION_DIFFERENCE } else { kind::CONFIGURATION };
    let (followers, others) = (followers(size), others(size));
    match role {
        Role::DataPlane => vec![
            flow(kind::FOLLOWER_HEARTBEAT, STATUS_PER_S),
            flow(kind::FOLLOW, KEEP_ALIVES_PER_S),
            flow(kind::QUOTA_KEEPALIVE, KEEP_ALIVES_PER_S),
            flow(kind::LEASE_REQUEST, leases / size.gateways as f64),
            flow(kind::GRANT, leases / size.gateways as f64),
            flow(configuration, CHANGES_PER_S),
            flow(kind::BACKEND, BACKEND_UPDATES_PER_S),
        ],
        Role::ControlPlane => vec![
            flow(kind::HTTP_HEARTBEAT, heartbeats(size)),
            flow(kind::HTTP_ANSWER, heartbeats(size)),
            flow(kind::RECEIVED_HEARTBEATS, 2.0 * others * 1000.0 / ROUND_MS),
            flow(kind::CONTROL_PLANES, 2.0 * others * 1000.0 / ROUND_MS),
            flow(kind::FOLLOWER_HEARTBEAT, followers * STATUS_PER_S),
            flow(kind::FOLLOW, followers * KEEP_ALIVES_PER_S),
            flow(configuration, followers * CHANGES_PER_S),
            flow(kind::BACKEND, (followers + others) * BACKEND_UPDATES_PER_S),
            flow(kind::LOG_ENTRY, CHANGES_PER_S),
        ],
        Role::Leader => vec![
            flow(kind::LOG_ENTRY, others * CHANGES_PER_S),
            flow(kind::FORWARDED_CALL, CHANGES_PER_S),
            flow(kind::LOG_HEARTBEAT, others * LOG_HEARTBEATS_PER_S),
            flow(kind::LOG_HEARTBEAT_ANSWER, others * LOG_HEARTBEATS_PER_S),
        ],
        Role::QuotaHolder => vec![
            flow(kind::LEASE_REQUEST, leases),
            flow(kind::GRANT, leases),
            flow(kind::QUOTA_KEEPALIVE, size.gateways as f64 * KEEP_ALIVES_PER_S),
        ],
    }
}

/// The steps of a role.
pub fn steps(role: Role, size: &Size, kept: bool) -> Vec<Flow> {
    let leases = LEASE_REQUESTS_PER_REQUEST * size.requests_per_s;
    let each = leases / size.gateways as f64;
    let others = others(size);
    let compress = if kept { step::COMPRESS_DIFFERENCE } else { step::COMPRESS_WHOLE };
    match role {
        Role::DataPlane => vec![
            flow(step::PARSE, CHANGES_PER_S),
            flow(step::REBUILD, CHANGES_PER_S),
            flow(step::ADMIT, each),
            flow(step::COLLECT_REQUESTS, 3.0 * each),
            flow(step::CHECK_DEADLINES, each),
            flow(step::ENCODE, each + 2.0 * KEEP_ALIVES_PER_S),
            flow(step::DECODE, each + STATUS_PER_S + BACKEND_UPDATES_PER_S),
        ],
        Role::ControlPlane => vec![
            flow(step::PARSE, CHANGES_PER_S),
            flow(compress, CHANGES_PER_S),
            flow(step::APPLY, CHANGES_PER_S),
            flow(step::HEARTBEAT, heartbeats(size)),
            flow(step::REPORTED_HEARTBEAT, others * heartbeats(size)),
            flow(step::ROUND, 1000.0 / ROUND_MS),
            flow(step::FIND_NUMBER, followers(size) * STATUS_PER_S),
        ],
        Role::Leader => vec![
            // The leader validates the configuration again before it appends the log entry.
            flow(step::PARSE, CHANGES_PER_S),
            flow(step::ENCODE, others * LOG_HEARTBEATS_PER_S),
            flow(step::DECODE, others * LOG_HEARTBEATS_PER_S),
        ],
        Role::QuotaHolder => vec![
            flow(step::ANSWER, leases),
            flow(step::FLOORS, leases),
            flow(step::ENCODE, leases),
            flow(step::DECODE, leases + size.gateways as f64 * KEEP_ALIVES_PER_S),
        ],
    }
}

/// Bytes per second of a flow of messages.
pub fn bytes_per_s(flow: &Flow, lengths: &[MessageLength]) -> f64 {
    let length = lengths.iter().find(|length| length.kind == flow.name);
    length.map_or(0.0, |length| length.bytes as f64 * flow.per_s)
}

/// Share of a core that a flow of steps uses.
pub fn core_share(flow: &Flow, costs: &[StepCost]) -> f64 {
    let cost = costs.iter().find(|cost| cost.step == flow.name);
    cost.map_or(0.0, |cost| cost.cost.median * flow.per_s * SECONDS_PER_MICROSECOND)
}
