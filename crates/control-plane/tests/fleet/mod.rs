//! Who counts among the data planes, at processes of control over real connections.

use super::played::{Played, hail};
use super::*;

/// Waits until a process counts these data planes.
fn counts(process: &Process, names: &[&str]) {
    until(|| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        let status: serde_json::Value = serde_json::from_str(&status).ok()?;
        (status["quays"] == serde_json::json!(names)).then_some(())
    });
}

/// A list from before a departure comes by way of another process; `marker` shows that it was read.
fn late_list(to: SocketAddr, name: &str, marker: &str) -> Played {
    let mut other = Played::new(TcpStream::connect(to).expect("a connection"));
    other.say(&Message::Hello(hail("late", 1, Plane::ControlPlane)));
    other.say(&Message::DataPlanes(vec![(name.into(), 1), (marker.into(), 1)]));
    other
}

#[test]
fn a_data_plane_that_said_it_ended_counts_nowhere_and_for_nobody_who_leads_next() {
    let harbour = Harbour::new();
    let mut masters = harbour.all(true);
    let first = leader(&masters);
    let stays = Played::data_plane(harbour.peers[first], "a", 1);
    let mut leaves = Played::data_plane(harbour.peers[(first + 1) % 3], "b", 1);
    masters.iter().for_each(|master| counts(master, &["a", "b"]));
    let begun = Instant::now();
    leaves.leave();
    masters.iter().for_each(|master| counts(master, &["a"]));
    assert!(begun.elapsed() < Duration::from_secs(20), "one that fell silent counts for 30 s");
    let _late = late_list(harbour.peers[first], "b", "c");
    counts(&masters[first], &["a", "c"]);
    // Whoever starts now is told as well.
    masters[first].kill();
    masters[first] = harbour.start(first, false);
    stays.stream.shutdown(std::net::Shutdown::Both).expect("closed");
    let _stays = Played::data_plane(harbour.peers[first], "a", 1);
    let told = |process: &Process| {
        let (_, status) = process.call("GET /Harbour.Status HTTP/1.1", "")?;
        (status.matches(r#""reached":true"#).count() == 3).then_some(())
    };
    masters.iter().for_each(|master| until(|| told(master)));
    leader(&masters);
    let _late = late_list(harbour.peers[first], "b", "d");
    counts(&masters[first], &["a", "d"]);
    // Started again it is somebody else.
    let _again = Played::data_plane(harbour.peers[(first + 2) % 3], "b", 2);
    counts(&masters[first], &["a", "b", "d"]);
}

#[test]
fn only_processes_that_read_departures_are_sent_them() {
    let ports = free_ports(3);
    let earlier = TcpListener::bind(ports[2]).expect("a listener");
    let process = Process::start(0, ports[0], &[ports[0], ports[2]], ports[1], None, true);
    let mut earlier = Played::new(earlier.accept().expect("a connection").0);
    earlier.say(&Message::Welcome(hail("earlier", 1, Plane::ControlPlane)));
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
    voter.say(&Message::Hello(hail("voter", 1, Plane::ControlPlane)));
    let leader = Some(ports[1].to_string());
    voter.say(&Message::Heartbeat(Heartbeat {
        leader,
        epoch: 1,
        fresh: true,
        fleet: 9,
        ..Heartbeat::default()
    }));
    // It has heard of one data plane itself: that one's slice would be the whole of each quota. The leader that it was told
    // of answers nothing, so that no word is of this moment; none of them may say less than it was told.
    let mut only = Played::data_plane(ports[0], "a", 1);
    let fleet = until(|| match only.next() {
        Message::Heartbeat(pulse) if pulse.leader.is_some() => Some(pulse.fleet),
        _ => None,
    });
    assert_eq!(fleet, 9);
}
