//! Schedules: accepted files, error messages with their positions, and faults drawn from seeds.

use testbed::trial::schedule::{BUILT_IN, Kind, Schedule, Target};
use testbed::trial::{Figures, compare};

fn schedule_with(fault: &str) -> String {
    format!("seconds = 8.0\nrate = 50.0\n[[fault]]\n{fault}\n")
}

#[yare::parameterized(
    unknown = { "at = 1.0\nfault = \"burn\"", "t:5:9: unknown variant `burn`" },
    key = { "at = 1.0\nfault = \"hot\"\ntimes = 3", "t:6:1: unknown field `times`" },
    late = { "at = 7.0\nfor = 2.0\nfault = \"hot\"", "t:3:1: a fault must lie within the 8 seconds" },
    never = { "at = nan\nfault = \"hot\"", "t:3:1: a fault must lie within the 8 seconds" },
    nobody = { "at = 1.0\nfault = \"kill\"", "t:3:1: on is missing" },
    learner = { "at = 1.0\nfault = \"kill\"\non = \"q5\"", "t:3:1: on: unknown party q5" },
    wrong = { "at = 1.0\nfault = \"kill\"\non = \"b1\"", "t:3:1: on: this fault does not apply to these parties" },
    silent = { "at = 1.0\nfault = \"cut\"\nfrom = \"q1\"\nto = \"q2\"", "t:3:1: no party in from connects to a party in to" },
    figure = { "at = 1.0\nfault = \"throttle\"\nfrom = \"m1\"\nto = \"*\"", "t:3:1: bytes, above 0, is missing" },
    share = { "at = 1.0\nfault = \"lose\"\non = \"b1\"\nshare = 2.0", "t:3:1: share must be 0 to 1" },
)]
fn invalid_faults_are_reported_with_their_position(fault: &str, expected: &str) {
    let error = Schedule::read("t", &schedule_with(fault), 1).expect_err("invalid schedule").to_string();
    assert!(error.starts_with(expected) && error.lines().count() == 1, "{error}");
}

#[test]
fn cut_zone_is_isolated_but_connected_inside() {
    let text = schedule_with("at = 1.0\nfor = 2.0\nfault = \"cut\"\nfrom = \"zone:north\"\nto = \"*\"");
    let schedule = Schedule::read("t", &text, 1).expect("valid schedule");
    let Target::Links(links, _) = &schedule.faults[0].on else { panic!("{:?}", schedule.faults) };
    let has_link =
        |from: &str, to: &str| links.iter().any(|(a, b)| a.to_string() == from && b.to_string() == to);
    assert!(
        has_link("m1", "h2") && has_link("h2", "m1") && has_link("m1", "b2") && has_link("clients", "q4")
    );
    // Machines 1 and 4 and the first and fourth backend are in this zone.
    assert!(!has_link("m4", "h1") && !has_link("m1", "b1") && !has_link("m2", "h3") && !has_link("b2", "h2"));
    assert_eq!(schedule.faults[0].machines(), [0, 1, 2, 3]);
    let one = "at = 1.0\nfault = \"mute\"\nfrom = \"m2\"\nto = \"h1\"\none-way = true";
    let schedule = Schedule::read("t", &schedule_with(one), 1).expect("valid schedule");
    let Target::Links(links, _) = &schedule.faults[0].on else { panic!("{:?}", schedule.faults) };
    assert_eq!(links.iter().map(|(a, b)| format!("{a}>{b}")).collect::<Vec<_>>(), ["m2>h1"]);
}

#[test]
fn drawn_schedules_are_valid_and_reproducible() {
    for (name, text) in BUILT_IN {
        Schedule::read(name, text, 1).unwrap_or_else(|error| panic!("{error}"));
    }
    let (_, text) = BUILT_IN.into_iter().find(|(name, _)| *name == "drawn").expect("built-in trial");
    let read = |seed| Schedule::read("drawn", text, seed).unwrap_or_else(|error| panic!("{seed}: {error}"));
    let mut kinds = std::collections::HashSet::new();
    for seed in 0..2000 {
        let schedule = read(seed);
        assert!(!schedule.faults.is_empty());
        kinds.extend(schedule.faults.iter().map(|fault| format!("{:?}", fault.kind)));
    }
    assert_eq!(read(7), read(7));
    assert_ne!(read(7).faults, read(8).faults);
    // All 20 kinds of faults are drawn.
    assert_eq!(kinds.len(), 20, "{kinds:?}");
    assert!(kinds.contains(&format!("{:?}", Kind::CutAfter)));
}

fn figures(seed: u64, worth: f64, void: bool) -> Figures {
    Figures {
        name: "drawn".into(),
        seed,
        void: void.then(|| "busy".into()),
        broken: 0,
        worth,
        troubled: None,
        ends: [worth, 0.0, 1.0 - worth],
        took: [10.0, 20.0],
        tries: [0.0, 0.0],
        leaderless: 0.0,
    }
}

#[test]
fn builds_are_compared_in_pairs() {
    let old = [figures(1, 0.9, false), figures(2, 0.8, false), figures(3, 0.7, false), figures(4, 0.1, true)];
    let new =
        [figures(1, 0.8, false), figures(2, 0.9, false), figures(3, 0.4, false), figures(4, 0.9, false)];
    let expected = compare(&old, &new);
    assert!(expected.starts_with("3 pairs, 2 left out\n"), "{expected}");
    // The differences -0.1, +0.1 and -0.3 have a mean of -0.1 and a half-width of 4.303 x 0.2 / sqrt(3).
    assert!(expected.contains("worth                  0.800  moved    -0.100 +- 0.497"), "{expected}");
    assert!(expected.contains("worst seed 3: worth -0.300"), "{expected}");
}
