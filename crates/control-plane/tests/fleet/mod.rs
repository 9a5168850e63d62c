//! Who counts among the data planes, at processes of control over real connections.

use super::played::{Played, hello};
use super::*;

/// Waits until a process counts these data planes.
fn counts(process: &Process, names: &[&str]) {
    until(|| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        let status: serde_json::Value = serde_json::from_str(&status).ok()?;
        (status["data_planes"] == serde_json::json!(names)).then_some(())
    });
}

/// A list from before a departure comes by way of another process; `marker` shows that it was read.
fn late_list(to: SocketAddr, name: &str, marker: &str) -> Played {
    let mut other = Played::new(TcpStream::connect(to).expect("a connection"));
    other.say(&Message::Hello(hello("late", 1, Plane::ControlPlane)));
    other.say(&Message::DataPlanes(vec![(name.into(), 1), (marker.into(), 1)]));
    other
}

#[test]
fn a_data_plane_that_said_it_ended_counts_nowhere_and_for_nobody_who_leads_next() {
    let fleet = TestFleet::new();
    let mut control_planes = fleet.all(true);
    let first = leader(&control_planes);
    let stays = Played::data_plane(fleet.peers[first], "a", 1);
    let mut leaves = Played::data_plane(fleet.peers[(first + 1) % 3], "b", 1);
    control_planes.iter().for_each(|control_plane| counts(control_plane, &["a", "b"]));
    let begun = Instant::now();
    leaves.leave();
    control_planes.iter().for_each(|control_plane| counts(control_plane, &["a"]));
    assert!(begun.elapsed() < Duration::from_secs(20), "one that fell silent counts for 30 s");
    let _late = late_list(fleet.peers[first], "b", "c");
    counts(&control_planes[first], &["a", "c"]);
    // Whoever starts now is told as well.
    control_planes[first].kill();
    control_planes[first] = fleet.start(first, false);
    stays.stream.shutdown(std::net::Shutdown::Both).expect("closed");
    let _stays = Played::data_plane(fleet.peers[first], "a", 1);
    let told = |process: &Process| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        (status.matches(r#""reached":true"#).count() == 3).then_some(())
    };
    control_planes.iter().for_each(|control_plane| until(|| told(control_plane)));
    leader(&control_planes);
    let _late = late_list(fleet.peers[first], "b", "d");
    counts(&control_planes[first], &["a", "d"]);
    // Started again it is somebody else.
    let _again = Played::data_plane(fleet.peers[(first + 2) % 3], "b", 2);
    counts(&control_planes[first], &["a", "b", "d"]);
}

#[test]
fn only_processes_that_read_departures_are_sent_them() {
    let ports = free_ports(3);
    let earlier = TcpListener::bind(ports[2]).expect("a listener");
    let process = Process::start(0, ports[0], &[ports[0], ports[2]], ports[1], None, true);
    let mut earlier = Played::new(earlier.accept().expect("a connection").0);
    earlier.say(&Message::Welcome(hello("earlier", 1, Plane::ControlPlane)));
    Played::data_plane(ports[0], "a", 1).leave();
    counts(&process, &[]);
    let mut rounds = 0;
    while rounds < 2 {
        match earlier.next() {
            Message::ControlPlanes(_) => rounds += 1,
            Message::Departures(_) => panic!("it would have closed the connection"),
            _ => {}
        }
    }
    earlier.say(&Message::NotHolder { number: protocol::UNDERSTANDS_DEPARTURES });
    let departures = until(|| match earlier.next() {
        Message::Departures(departures) => Some(departures),
        _ => None,
    });
    assert_eq!((departures[0].name.as_str(), departures[0].incarnation), ("a", 1));
}

#[test]
fn a_process_without_a_log_starts_from_the_fleet_that_it_is_told() {
    let ports = free_ports(2);
    let _process = Process::start(VOTERS, ports[0], &[ports[0]], ports[1], None, true);
    let mut voter = Played::new(until(|| TcpStream::connect(ports[0]).ok()));
    voter.say(&Message::Hello(hello("voter", 1, Plane::ControlPlane)));
    let leader = Some(ports[1].to_string());
    voter.say(&Message::Heartbeat(Heartbeat {
        leader,
        term: 1,
        fresh: true,
        fleet_size: 9,
        ..Heartbeat::default()
    }));
    // It has heard of one data plane itself: that one's slice would be the whole of each quota. The leader that it was told
    // of answers nothing, so that no word is of this moment; none of them may say less than it was told.
    let mut only = Played::data_plane(ports[0], "a", 1);
    let fleet = until(|| match only.next() {
        Message::Heartbeat(heartbeat) if heartbeat.leader.is_some() => Some(heartbeat.fleet_size),
        _ => None,
    });
    assert_eq!(fleet, 9);
}
