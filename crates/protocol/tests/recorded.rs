//! Wire compatibility: frames recorded from an earlier version, one hexadecimal frame per line, must encode and decode
//! unchanged when types and fields are renamed.

use protocol::{
    Backend, ConfigDelta, ConfigId, ConfigSnapshot, ControlPlaneAddress, Departure, Heartbeat, Hello,
    LeaderCall, Message, Phase, Plane, frame, unframe,
};
use quota::{CounterStatus, Epoch, Grant, HolderAssignment, LeaseRequest, TenantDemand, TenantGrant};

const RECORDED: &str = include_str!("recorded/frames.txt");
const EPOCH: Epoch = Epoch { term: 3, number: 2 };

fn hello(plane: Plane, quorum: bool, voter_incarnation: Option<u64>) -> Hello {
    let (name, address, zone) = ("edge-1".into(), "10.0.0.1:7660".into(), "z".into());
    Hello { name, process_incarnation: 7, plane, address, zone, quorum, voter_incarnation }
}

/// The messages in the order of the recorded frames.
fn messages() -> Vec<Message> {
    let backend = Backend {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.1.0.1:80".into(),
        zone: "z".into(),
        generation: "v1".into(),
        capacity: 6,
        phase: Phase::Draining,
        warmup_left_ms: 5,
        call_count: 11,
        overdue: true,
    };
    let heartbeat = Heartbeat {
        leader: Some("10.0.0.1:7660".into()),
        term: 3,
        assignment: 2,
        other_holders: vec!["10.0.0.2:7660".into()],
        fresh: true,
        version: 12,
        fleet_size: 13,
        data_plane_index: 4,
    };
    let demand = TenantDemand { tenant: "t".into(), needed: 1, requested: 5, returned: 2 };
    let tenant = "t".into();
    let grant = TenantGrant {
        tenant,
        window: 4,
        granted: 5,
        remaining: 6,
        ends_in: 250.0,
        status: CounterStatus::Open,
    };
    let body = || b"{}".to_vec();
    let assignment = HolderAssignment { epoch: EPOCH, holders: vec!["a".into()] };
    let control_plane = ControlPlaneAddress { address: "10.0.0.1:7660".into(), zone: "z".into() };
    vec![
        Message::Hello(hello(Plane::ControlPlane, true, Some(9))),
        Message::Welcome(hello(Plane::DataPlane, false, None)),
        Message::Log { incarnation: 9, message: vec![1, 2, 3] },
        Message::ControlPlanes(vec![control_plane]),
        Message::Follow { have: ConfigId { version: 12, digest_prefix: 77 } },
        Message::ConfigSnapshot(ConfigSnapshot { version: 12, body: body() }),
        Message::Backends { is_complete: true, backends: vec![backend] },
        Message::BackendHeartbeats(vec![("i-1".into(), 12)]),
        Message::DataPlanes(vec![("edge-1".into(), 7)]),
        Message::Heartbeat(heartbeat),
        Message::QuotaKeepalive { epoch: EPOCH },
        Message::LeaseRequest(LeaseRequest { number: 8, epoch: EPOCH, demands: vec![demand] }),
        Message::Grant(Grant { number: 8, epoch: EPOCH, grants: vec![grant] }),
        Message::NotHolder { number: 8 },
        Message::HolderLeaseRequest { number: 1, answered: 2, request_rate: 3.5 },
        Message::HolderLease { number: 1, assignment, lease_ms: 100.0 },
        Message::ForwardedCall { token: 5, call: LeaderCall::Replace { base: 11, body: body() } },
        Message::ForwardedCall { token: 6, call: LeaderCall::Read },
        Message::ForwardedReply { token: 5, status: 412, body: body() },
        Message::ConfigDelta(ConfigDelta {
            version: 12,
            base: 11,
            digest: [5; 32],
            length: 2,
            bytes: vec![9],
        }),
        Message::SnapshotRequest,
        Message::Leave,
        Message::LeaveAccepted,
        Message::Departures(vec![Departure { name: "edge-1".into(), incarnation: 7, ago_ms: 20 }]),
    ]
}

fn bytes(line: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&line[at..at + 2], 16).expect("two hexadecimal digits");
    (0..line.len()).step_by(2).map(byte).collect()
}

#[test]
fn recorded_frames_encode_and_decode_unchanged() {
    let recorded: Vec<_> = RECORDED.lines().map(bytes).collect();
    assert_eq!(recorded.len(), messages().len());
    for (message, recorded) in messages().into_iter().zip(recorded) {
        assert_eq!(frame(&message), recorded, "{message:?}");
        let read = unframe::<Message>(&recorded).expect("a valid frame").expect("a complete frame");
        assert_eq!(read, (message, recorded.len()));
    }
}
