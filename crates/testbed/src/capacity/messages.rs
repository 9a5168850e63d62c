//! Length of each message between processes at a size.

use super::samples::{backend, backend_id, backends, configuration_bytes, gateway_name, tenant_name};
use super::size::Size;
use protocol::{ConfigId, ControlPlaneAddress, Heartbeat, Hello, LeaderCall, Message, Plane, frame};
use quota::{CounterStatus, Epoch, Grant, LeaseRequest, TenantDemand, TenantGrant};
use raft::{Entry, Message as LogMessage, Payload};
use transport::config_snapshots::{ConfigEncoder, config_id};

/// Maximum configuration body that the control plane's HTTP interface and the log accept, in bytes.
pub const MAX_CONFIGURATION: usize = 6 << 20;
/// Interval at which control planes exchange received heartbeats, in ms.
pub const ROUND_MS: f64 = 400.0;
/// Heartbeat interval of backends, in ms.
pub const HEARTBEAT_MS: f64 = 780.0;

/// The kinds of messages, as tables name them.
pub(super) mod kind {
    pub const SUBMITTED_CONFIGURATION: &str = "configuration, as the operator sends it";
    pub const CONFIGURATION: &str = "configuration to a follower that has none";
    pub const CONFIGURATION_DIFFERENCE: &str = "configuration as a difference, one quota changed";
    pub const LOG_ENTRY: &str = "log entry with a configuration, to one voter";
    pub const FORWARDED_CALL: &str = "order forwarded to the leader";
    pub const HELLO: &str = "hello";
    pub const FOLLOWER_HEARTBEAT: &str = "heartbeat to a follower";
    pub const FOLLOW: &str = "follow, a data plane's keep-alive";
    pub const QUOTA_KEEPALIVE: &str = "here, a data plane's keep-alive to a quota holder";
    pub const LEASE_REQUEST: &str = "lease request of one tenant";
    pub const GRANT: &str = "grant to one tenant";
    pub const LEASE_REQUEST_OF_TEN: &str = "lease request of ten tenants";
    pub const GRANT_TO_TEN: &str = "grant to ten tenants";
    pub const LOG_HEARTBEAT: &str = "log heartbeat";
    pub const LOG_HEARTBEAT_ANSWER: &str = "answer to a log heartbeat";
    pub const CONTROL_PLANES: &str = "control planes, to each other and to followers";
    pub const DATA_PLANES: &str = "data planes of one control plane";
    pub const RECEIVED_HEARTBEATS: &str = "heartbeats received by one control plane in a round";
    pub const HTTP_HEARTBEAT: &str = "heartbeat of a backend, HTTP";
    pub const HTTP_ANSWER: &str = "answer to a backend's heartbeat, HTTP";
    pub const BACKEND: &str = "one backend that changed";
    pub const ALL_BACKENDS: &str = "all backends";
}

/// One kind of message with its length on the wire, including its frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageLength {
    /// The message and its contents.
    pub kind: &'static str,
    /// Length in bytes.
    pub bytes: usize,
}

fn address(number: usize) -> String {
    format!("10.12.{}.{}:7400", number / 256 % 256, number % 256)
}

fn hello(plane: Plane) -> Hello {
    Hello {
        name: gateway_name(7),
        process_incarnation: u64::MAX / 3,
        plane,
        address: address(7),
        zone: "zone-1".to_owned(),
        quorum: false,
        voter_incarnation: None,
    }
}

/// The heartbeat that a control plane sends to its followers.
pub fn status(size: &Size) -> Heartbeat {
    Heartbeat {
        leader: Some(address(1)),
        term: 12,
        assignment: 0,
        other_holders: Vec::new(),
        fresh: true,
        version: 3_000,
        fleet_size: size.gateways as u32,
        data_plane_index: size.gateways as u32 / 2,
    }
}

/// A lease request for one unit of each tenant.
pub fn lease_request(number: u64, tenants: impl Iterator<Item = usize>) -> LeaseRequest {
    let demand = |n| TenantDemand { tenant: tenant_name(n), needed: 1, requested: 1, returned: 0 };
    LeaseRequest { number, epoch: Epoch::first(12), demands: tenants.map(demand).collect() }
}

fn grant(tenants: impl Iterator<Item = usize>) -> Grant {
    let share = |n| TenantGrant {
        tenant: tenant_name(n),
        window: 70_000,
        granted: 1,
        remaining: 9,
        ends_in: 312.5,
        status: CounterStatus::Open,
    };
    Grant { number: 4_000_000, epoch: Epoch::first(12), grants: tenants.map(share).collect() }
}

fn log(message: &LogMessage) -> Message {
    Message::Log { incarnation: u64::MAX / 5, message: bitcode::encode(message) }
}

fn append(change: Vec<u8>) -> LogMessage {
    let entry = Entry { index: 90_000, term: 12, payload: Payload::Change(change) };
    LogMessage::Append { term: 12, prev_index: 89_999, prev_term: 12, entries: vec![entry], commit: 89_999 }
}

fn control_plane_addresses(size: &Size) -> Vec<ControlPlaneAddress> {
    let control_plane = |n| ControlPlaneAddress { address: address(n), zone: format!("zone-{}", n % 4) };
    (0..size.control_planes).map(control_plane).collect()
}

/// Heartbeats that one control plane receives in one round.
fn heartbeats_of_round(size: &Size) -> Vec<(String, u64)> {
    let count = size.backends as f64 / size.control_planes as f64 * ROUND_MS / HEARTBEAT_MS;
    (0..count.ceil() as usize).map(|n| (backend_id(n), 1_000 + n as u64)).collect()
}

fn data_planes_of_one(size: &Size) -> Vec<(String, u64)> {
    let count = size.gateways.div_ceil(size.control_planes);
    (0..count).map(|n| (gateway_name(n), u64::MAX / (n as u64 + 2))).collect()
}

/// Lengths of a backend's HTTP/1.1 heartbeat and of its answer.
fn heartbeat() -> (usize, usize) {
    let about = backend(7);
    let body = serde_json::json!({
        "address": about.address,
        "summary": { "target": about.service, "generation": about.generation, "zone": about.zone,
            "capacity": about.capacity },
        "condition": { "phase": "serving", "call_count": about.call_count, "warmup_left_ms": 0 },
    })
    .to_string();
    let head = format!(
        "POST /Backends.Heartbeat/{} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        about.id,
        address(1),
        body.len()
    );
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\
                  date: Wed, 02 Dec 2026 04:00:00 GMT\r\n\r\n{}";
    (head.len() + body.len(), answer.len())
}

/// Lengths of the configuration sent to a follower without a configuration, and to one with the previous version.
pub fn configuration_frames(size: &Size) -> (usize, usize) {
    let (before, after) = (configuration_bytes(size, 1), changed(size));
    let whole = ConfigEncoder::new(2, &after).frame(ConfigId::default(), None, &after).len();
    let has = config_id(1, &before);
    let difference = ConfigEncoder::new(2, &after).frame(has, Some(&before), &after).len();
    (whole, difference)
}

/// The second version of the configuration, in which one tenant's quota differs.
pub fn changed(size: &Size) -> Vec<u8> {
    let mut document = super::samples::configuration(size, 2);
    document["tenant_table"][tenant_name(size.tenants / 2)]["rate_per_s"] = serde_json::json!(7.5);
    document.to_string().into_bytes()
}

/// Lengths of all messages at a size, in the order of the tables.
pub fn lengths(size: &Size) -> Vec<MessageLength> {
    let body = configuration_bytes(size, 1);
    let (whole, difference) = configuration_frames(size);
    let (heartbeat_length, answer) = heartbeat();
    let of = |kind, message: Message| MessageLength { kind, bytes: frame(&message).len() };
    let raw = |kind, bytes| MessageLength { kind, bytes };
    let appended = log(&append(body.clone()));
    vec![
        raw(kind::SUBMITTED_CONFIGURATION, body.len()),
        raw(kind::CONFIGURATION, whole),
        raw(kind::CONFIGURATION_DIFFERENCE, difference),
        of(kind::LOG_ENTRY, appended),
        of(
            kind::FORWARDED_CALL,
            Message::ForwardedCall { token: 7, call: LeaderCall::Replace { base: 1, body } },
        ),
        of(kind::HELLO, Message::Hello(hello(Plane::DataPlane))),
        of(kind::FOLLOWER_HEARTBEAT, Message::Heartbeat(status(size))),
        of(kind::FOLLOW, Message::Follow { have: config_id(3_000, b"x") }),
        of(kind::QUOTA_KEEPALIVE, Message::QuotaKeepalive { epoch: Epoch::first(12) }),
        of(kind::LEASE_REQUEST, Message::LeaseRequest(lease_request(4_000_000, 7..8))),
        of(kind::GRANT, Message::Grant(grant(7..8))),
        of(kind::LEASE_REQUEST_OF_TEN, Message::LeaseRequest(lease_request(4_000_000, 7..17))),
        of(kind::GRANT_TO_TEN, Message::Grant(grant(7..17))),
        of(kind::LOG_HEARTBEAT, log(&LogMessage::Heartbeat { term: 12, echo: 4_000_000, commit: 90_000 })),
        of(
            kind::LOG_HEARTBEAT_ANSWER,
            log(&LogMessage::HeartbeatAnswer { term: 12, echo: 4_000_000, matched: 90_000 }),
        ),
        of(kind::CONTROL_PLANES, Message::ControlPlanes(control_plane_addresses(size))),
        of(kind::DATA_PLANES, Message::DataPlanes(data_planes_of_one(size))),
        of(kind::RECEIVED_HEARTBEATS, Message::BackendHeartbeats(heartbeats_of_round(size))),
        raw(kind::HTTP_HEARTBEAT, heartbeat_length),
        raw(kind::HTTP_ANSWER, answer),
        of(kind::BACKEND, Message::Backends { is_complete: false, backends: vec![backend(7)] }),
        of(kind::ALL_BACKENDS, Message::Backends { is_complete: true, backends: backends(size) }),
    ]
}
