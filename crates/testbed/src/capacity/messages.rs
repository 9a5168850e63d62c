//! How long each message between processes is, at a size.

use super::samples::{backend, backend_id, backends, configuration_bytes, gateway_name, tenant_name};
use super::size::Size;
use protocol::{Flag, Hail, Held, MasterCard, Order, Plane, Pulse, frame};
use quota::{Draw, Epoch, Grant, Share, Standing, Want};
use raft::{Entry, Message, What};
use transport::sheets::{Sheets, held};

/// The largest body that the control plane's HTTP interface takes, in bytes, and the log as well.
pub const LARGEST_CONFIGURATION: usize = 4 << 20;
/// Control planes tell each other every so many ms whose heartbeats they have had.
pub const ROUND_MS: f64 = 400.0;
/// Backends send a heartbeat every so many ms.
pub const HEARTBEAT_MS: f64 = 780.0;

/// One kind of message and its bytes on the wire, its frame included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageLength {
    /// The message, and what is in it.
    pub kind: &'static str,
    /// Its length in bytes.
    pub bytes: usize,
}

fn address(number: usize) -> String {
    format!("10.12.{}.{}:7400", number / 256 % 256, number % 256)
}

fn hello(plane: Plane) -> Hail {
    Hail {
        name: gateway_name(7),
        life: u64::MAX / 3,
        plane,
        address: address(7),
        zone: "zone-1".to_owned(),
        quorum: false,
        incarnation: None,
    }
}

/// The state of things that followers are told.
pub fn status(size: &Size) -> Pulse {
    Pulse {
        leader: Some(address(1)),
        epoch: 12,
        assignment: 0,
        deputies: Vec::new(),
        fresh: true,
        version: 3_000,
        fleet: size.gateways as u32,
        number: size.gateways as u32 / 2,
    }
}

/// A request for units of `count` tenants.
pub fn lease_request(number: u64, tenants: impl Iterator<Item = usize>) -> Draw {
    let want = |n| Want { tenant: tenant_name(n), need: 1, add: 1, back: 0 };
    Draw { number, epoch: Epoch::first(12), wants: tenants.map(want).collect() }
}

fn grant(tenants: impl Iterator<Item = usize>) -> Grant {
    let share = |n| Share {
        tenant: tenant_name(n),
        window: 70_000,
        granted: 1,
        left: 9,
        ends_in: 312.5,
        standing: Standing::Open,
    };
    Grant { number: 4_000_000, epoch: Epoch::first(12), shares: tenants.map(share).collect() }
}

fn log(message: &Message) -> Flag {
    Flag::Log { incarnation: u64::MAX / 5, message: bitcode::encode(message) }
}

fn append(change: Vec<u8>) -> Message {
    let entry = Entry { index: 90_000, term: 12, what: What::Change(change) };
    Message::Append { term: 12, prev_index: 89_999, prev_term: 12, entries: vec![entry], commit: 89_999 }
}

fn member_cards(size: &Size) -> Vec<MasterCard> {
    let card = |n| MasterCard { address: address(n), zone: format!("zone-{}", n % 4) };
    (0..size.control_planes).map(card).collect()
}

/// Heartbeats that one control plane has had in one round.
fn heard_in_a_round(size: &Size) -> Vec<(String, u64)> {
    let count = size.backends as f64 / size.control_planes as f64 * ROUND_MS / HEARTBEAT_MS;
    (0..count.ceil() as usize).map(|n| (backend_id(n), 1_000 + n as u64)).collect()
}

fn gateways_of_one(size: &Size) -> Vec<(String, u64)> {
    let count = size.gateways.div_ceil(size.control_planes);
    (0..count).map(|n| (gateway_name(n), u64::MAX / (n as u64 + 2))).collect()
}

/// A heartbeat of a backend as HTTP/1.1, and its answer.
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

/// A configuration on its way: what a follower is sent with nothing to build on, and with the version before.
pub fn configuration_frames(size: &Size) -> (usize, usize) {
    let (before, after) = (configuration_bytes(size, 1), changed(size));
    let whole = Sheets::new(2, &after).frame(Held::default(), None, &after).len();
    let has = held(1, &before);
    let difference = Sheets::new(2, &after).frame(has, Some(&before), &after).len();
    (whole, difference)
}

/// The second version of a configuration: one tenant's quota is another one.
pub fn changed(size: &Size) -> Vec<u8> {
    let mut document = super::samples::configuration(size, 2);
    document["tenant_table"][tenant_name(size.tenants / 2)]["rate_per_s"] = serde_json::json!(7.5);
    document.to_string().into_bytes()
}

/// The lengths of all messages at a size, in the order of the tables.
pub fn lengths(size: &Size) -> Vec<MessageLength> {
    let body = configuration_bytes(size, 1);
    let (whole, difference) = configuration_frames(size);
    let (beat, answer) = heartbeat();
    let of = |kind, flag: Flag| MessageLength { kind, bytes: frame(&flag).len() };
    let raw = |kind, bytes| MessageLength { kind, bytes };
    let appended = log(&append(body.clone()));
    vec![
        raw("configuration, as the operator sends it", body.len()),
        raw("configuration to a follower that has none", whole),
        raw("configuration as a difference, one quota changed", difference),
        of("log entry with a configuration, to one voter", appended),
        of("order passed on to the leader", Flag::Ask { token: 7, order: Order::Replace { base: 1, body } }),
        of("hello", Flag::Hail(hello(Plane::Quay))),
        of("state of things, to a follower", Flag::Pulse(status(size))),
        of("follow, a data plane's sign of life", Flag::Follow { have: held(3_000, b"x") }),
        of("here, its sign of life to a holder of counts", Flag::Here { epoch: Epoch::first(12) }),
        of("lease request of one tenant", Flag::Draw(lease_request(4_000_000, 7..8))),
        of("grant to one tenant", Flag::Grant(grant(7..8))),
        of("lease request of ten tenants", Flag::Draw(lease_request(4_000_000, 7..17))),
        of("grant to ten tenants", Flag::Grant(grant(7..17))),
        of("log heartbeat", log(&Message::Heartbeat { term: 12, echo: 4_000_000, commit: 90_000 })),
        of("answer to it", log(&Message::HeartbeatAnswer { term: 12, echo: 4_000_000, matched: 90_000 })),
        of("control planes, to each other and to followers", Flag::Masters(member_cards(size))),
        of("data planes heard by one control plane", Flag::Quays(gateways_of_one(size))),
        of("heartbeats heard by one control plane in a round", Flag::Heard(heard_in_a_round(size))),
        raw("heartbeat of a backend, HTTP", beat),
        raw("its answer, HTTP", answer),
        of("one backend that changed", Flag::Berths { whole: false, berths: vec![backend(7)] }),
        of("all backends", Flag::Berths { whole: true, berths: backends(size) }),
    ]
}
