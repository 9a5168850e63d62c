//! What each role sends, receives and spends at a size: lengths and costs of single messages and steps, times how often
//! they come. Rates follow from constants of the protocol and from the plan; nothing here is measured.

use super::costs::{StepCost, step};
use super::messages::{HEARTBEAT_MS, MessageLength, ROUND_MS, kind};
use super::size::Size;

/// Followers are sent the state of things this often, a second.
const STATUS_PER_S: f64 = 1000.0 / 350.0;
/// Data planes send a sign of life this often, a second, to whom they follow and to each holder.
const SIGNS_PER_S: f64 = 1000.0 / 800.0;
/// The leader of the log sends heartbeats to each voter this often, a second.
const LOG_HEARTBEATS_PER_S: f64 = 1000.0 / 60.0;
/// Lease requests for each request of a client where tenants are small: `docs/leases.md`.
const LEASES_A_REQUEST: f64 = 1.13;
/// Changes of the configuration, a second: 3,000 a day.
const CHANGES_PER_S: f64 = 3_000.0 / 86_400.0;
/// Words about backends, a second: 5,500 restarts a day, each with a drain, an end and a start.
const BACKEND_WORDS_PER_S: f64 = 3.0 * 5_500.0 / 86_400.0;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;

/// A part of the system whose load is told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Carries requests.
    DataPlane,
    /// Serves control, with or without a disk: its part of data planes and of heartbeats.
    ControlPlane,
    /// What leading the log adds.
    Leader,
    /// What holding the counts adds; the leader holds them as long as they are not shared out.
    QuotaHolder,
}

/// All roles with their names in tables.
pub const ROLES: [(Role, &str); 4] = [
    (Role::DataPlane, "data plane"),
    (Role::ControlPlane, "control plane"),
    (Role::Leader, "leader, on top"),
    (Role::QuotaHolder, "holder of counts, on top"),
];

/// Something that comes again and again: a message or a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// The kind of message, or the step.
    pub name: &'static str,
    /// How often, a second.
    pub per_s: f64,
}

fn flow(name: &'static str, per_s: f64) -> Flow {
    Flow { name, per_s }
}

/// Data planes that follow one control plane.
fn followers(size: &Size) -> f64 {
    size.gateways as f64 / size.control_planes as f64
}

/// Other control planes.
fn others(size: &Size) -> f64 {
    size.control_planes as f64 - 1.0
}

/// Heartbeats of backends that one control plane takes, a second.
fn heartbeats(size: &Size) -> f64 {
    size.backends as f64 / size.control_planes as f64 * 1000.0 / HEARTBEAT_MS
}

/// The messages of a role in both directions, as the system stands. `kept` says whether the body before the newest one
/// is kept, so that a configuration goes as a difference.
pub fn messages(role: Role, size: &Size, kept: bool) -> Vec<Flow> {
    let leases = LEASES_A_REQUEST * size.requests_per_s;
    let configuration = if kept { kind::DIFFERENCE } else { kind::WHOLE };
    let (followers, others) = (followers(size), others(size));
    match role {
        Role::DataPlane => vec![
            flow(kind::STATUS, STATUS_PER_S),
            flow(kind::FOLLOW, SIGNS_PER_S),
            flow(kind::HERE, SIGNS_PER_S),
            flow(kind::LEASE_REQUEST, leases / size.gateways as f64),
            flow(kind::GRANT, leases / size.gateways as f64),
            flow(configuration, CHANGES_PER_S),
            flow(kind::BACKEND, BACKEND_WORDS_PER_S),
        ],
        Role::ControlPlane => vec![
            flow(kind::HTTP_HEARTBEAT, heartbeats(size)),
            flow(kind::HTTP_ANSWER, heartbeats(size)),
            flow(kind::HEARD, 2.0 * others * 1000.0 / ROUND_MS),
            flow(kind::CONTROL_PLANES, 2.0 * others * 1000.0 / ROUND_MS),
            flow(kind::STATUS, followers * STATUS_PER_S),
            flow(kind::FOLLOW, followers * SIGNS_PER_S),
            flow(configuration, followers * CHANGES_PER_S),
            flow(kind::BACKEND, (followers + others) * BACKEND_WORDS_PER_S),
            flow(kind::LOG_ENTRY, CHANGES_PER_S),
        ],
        Role::Leader => vec![
            flow(kind::LOG_ENTRY, others * CHANGES_PER_S),
            flow(kind::ORDER, CHANGES_PER_S),
            flow(kind::LOG_HEARTBEAT, others * LOG_HEARTBEATS_PER_S),
            flow(kind::LOG_HEARTBEAT_ANSWER, others * LOG_HEARTBEATS_PER_S),
        ],
        Role::QuotaHolder => vec![
            flow(kind::LEASE_REQUEST, leases),
            flow(kind::GRANT, leases),
            flow(kind::HERE, size.gateways as f64 * SIGNS_PER_S),
        ],
    }
}

/// The steps of a role.
pub fn steps(role: Role, size: &Size, kept: bool) -> Vec<Flow> {
    let leases = LEASES_A_REQUEST * size.requests_per_s;
    let each = leases / size.gateways as f64;
    let others = others(size);
    let compress = if kept { step::COMPRESS_DIFFERENCE } else { step::COMPRESS_WHOLE };
    match role {
        Role::DataPlane => vec![
            flow(step::PARSE, CHANGES_PER_S),
            flow(step::REBUILD, CHANGES_PER_S),
            flow(step::ASK, each),
            flow(step::LOOK, 3.0 * each),
            flow(step::DUE, each),
            flow(step::ENCODE, each + 2.0 * SIGNS_PER_S),
            flow(step::DECODE, each + STATUS_PER_S + BACKEND_WORDS_PER_S),
        ],
        Role::ControlPlane => vec![
            flow(step::PARSE, CHANGES_PER_S),
            flow(compress, CHANGES_PER_S),
            flow(step::APPLY, CHANGES_PER_S),
            flow(step::BEAT, heartbeats(size)),
            flow(step::HEARD, others * heartbeats(size)),
            flow(step::ROUND, 1000.0 / ROUND_MS),
            flow(step::NUMBER, followers(size) * STATUS_PER_S),
        ],
        Role::Leader => vec![
            // Judged here once more, before it goes into the log.
            flow(step::PARSE, CHANGES_PER_S),
            flow(step::ENCODE, others * LOG_HEARTBEATS_PER_S),
            flow(step::DECODE, others * LOG_HEARTBEATS_PER_S),
        ],
        Role::QuotaHolder => vec![
            flow(step::ANSWER, leases),
            flow(step::FLOORS, leases),
            flow(step::ENCODE, leases),
            flow(step::DECODE, leases + size.gateways as f64 * SIGNS_PER_S),
        ],
    }
}

/// Bytes a second of a flow of messages.
pub fn bytes_per_s(flow: &Flow, lengths: &[MessageLength]) -> f64 {
    let length = lengths.iter().find(|length| length.kind == flow.name);
    length.map_or(0.0, |length| length.bytes as f64 * flow.per_s)
}

/// The share of a core that a flow of steps takes.
pub fn share_of_a_core(flow: &Flow, costs: &[StepCost]) -> f64 {
    let cost = costs.iter().find(|cost| cost.step == flow.name);
    cost.map_or(0.0, |cost| cost.cost.median * flow.per_s * SECONDS_PER_MICROSECOND)
}
