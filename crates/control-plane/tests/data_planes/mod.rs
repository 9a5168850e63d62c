//! Which data planes control planes count, over real connections.
//!
//! The fleet is the set of data planes that count. Each quota is divided by the size of the fleet, so a data plane
//! that counts too long wastes quota, and one that is missing causes quotas to be exceeded.

use super::fake_peer::{FakePeer, hello};
use super::*;

/// Waits until a process counts exactly these data planes.
fn wait_for_data_planes(process: &Process, names: &[&str]) {
    wait_for(|| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        let status: serde_json::Value = serde_json::from_str(&status).ok()?;
        (status["data_planes"] == serde_json::json!(names)).then_some(())
    });
}

/// Sends, as another control plane, a delayed list that still contains the departed data plane `name`. Once the data
/// plane `marker` of the list counts, the receiver has handled the list.
fn send_late_list(to: SocketAddr, name: &str, marker: &str) -> FakePeer {
    let mut other = FakePeer::new(TcpStream::connect(to).expect("a connection"));
    other.send(&Message::Hello(hello("late", 1, Plane::ControlPlane)));
    other.send(&Message::DataPlanes(vec![(name.into(), 1), (marker.into(), 1)]));
    other
}

#[test]
fn a_departed_data_plane_counts_at_no_process_and_under_no_later_leader() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    let first = leader(&control_planes);
    let stays = FakePeer::data_plane(fleet.peers[first], "a", 1);
    let mut leaves = FakePeer::data_plane(fleet.peers[(first + 1) % 3], "b", 1);
    control_planes.iter().for_each(|control_plane| wait_for_data_planes(control_plane, &["a", "b"]));
    let begun = Instant::now();
    leaves.leave();
    control_planes.iter().for_each(|control_plane| wait_for_data_planes(control_plane, &["a"]));
    assert!(begun.elapsed() < Duration::from_secs(20), "a silent data plane counts for 30 s");
    let _late = send_late_list(fleet.peers[first], "b", "c");
    wait_for_data_planes(&control_planes[first], &["a", "c"]);
    // A restarted control plane learns of the departure from the others.
    control_planes[first].kill();
    control_planes[first] = fleet.start(first, false);
    stays.stream.shutdown(std::net::Shutdown::Both).expect("cannot shut down the stream");
    let _stays = FakePeer::data_plane(fleet.peers[first], "a", 1);
    let is_connected_to_all = |process: &Process| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        (status.matches(r#""reached":true"#).count() == 3).then_some(())
    };
    control_planes.iter().for_each(|control_plane| wait_for(|| is_connected_to_all(control_plane)));
    leader(&control_planes);
    let _late = send_late_list(fleet.peers[first], "b", "d");
    wait_for_data_planes(&control_planes[first], &["a", "d"]);
    // A restarted data plane is another incarnation and counts again.
    let _again = FakePeer::data_plane(fleet.peers[(first + 2) % 3], "b", 2);
    wait_for_data_planes(&control_planes[first], &["a", "b", "d"]);
}

#[test]
fn departures_are_sent_only_to_processes_that_understand_them() {
    let ports = free_ports(3);
    let earlier = TcpListener::bind(ports[2]).expect("a listener");
    let process = Process::start(0, ports[0], &[ports[0], ports[2]], ports[1], None, true);
    let mut earlier = FakePeer::new(earlier.accept().expect("a connection").0);
    earlier.send(&Message::Welcome(hello("earlier", 1, Plane::ControlPlane)));
    FakePeer::data_plane(ports[0], "a", 1).leave();
    wait_for_data_planes(&process, &[]);
    let mut rounds = 0;
    while rounds < 2 {
        match earlier.next() {
            Message::ControlPlanes(_) => rounds += 1,
            Message::Departures(_) => panic!("an earlier version closes the connection on this message"),
            _ => {}
        }
    }
    earlier.send(&Message::NotHolder { number: protocol::UNDERSTANDS_DEPARTURES });
    let departures = wait_for(|| match earlier.next() {
        Message::Departures(departures) => Some(departures),
        _ => None,
    });
    assert_eq!((departures[0].name.as_str(), departures[0].incarnation), ("a", 1));
}

#[test]
fn a_process_without_a_log_starts_with_the_reported_fleet_size() {
    let ports = free_ports(2);
    let _process = Process::start(VOTERS, ports[0], &[ports[0]], ports[1], None, true);
    let mut voter = FakePeer::new(wait_for(|| TcpStream::connect(ports[0]).ok()));
    voter.send(&Message::Hello(hello("voter", 1, Plane::ControlPlane)));
    let leader = Some(ports[1].to_string());
    voter.send(&Message::Heartbeat(Heartbeat {
        leader,
        term: 1,
        fresh: true,
        fleet_size: 9,
        ..Heartbeat::default()
    }));
    // The process is connected with one data plane only. If the process counted only that data plane, its slice would
    // be the whole of each quota. The reported leader does not respond, so no heartbeat is marked as current, and no
    // heartbeat may report a fleet smaller than the 9 data planes received before.
    let mut only = FakePeer::data_plane(ports[0], "a", 1);
    let fleet = wait_for(|| match only.next() {
        Message::Heartbeat(heartbeat) if heartbeat.leader.is_some() => Some(heartbeat.fleet_size),
        _ => None,
    });
    assert_eq!(fleet, 9);
}
