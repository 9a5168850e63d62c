//! The losses that a voter list tolerates, depending on the zones of its voters.

use control_plane::{Losses, Tolerance};
use yare::parameterized;

fn tolerance(machines: usize, zones: usize, regions: usize) -> Tolerance {
    let region_of = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "south")];
    let region_of = region_of.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    Tolerance { losses: Losses { machines, zones, regions }, region_of }
}

#[parameterized(
    three_machines = { "abc", "abc", (1, 1, 0) },
    one_is_silent = { "abc", "ab", (0, 0, 0) },
    four_voters_with_a_dead_one = { "abca", "aba", (0, 0, 0) },
    four_voters = { "abca", "abca", (1, 0, 0) },
    two_in_each_zone = { "aabbcc", "aabbcc", (2, 1, 0) },
    five_in_three_zones = { "aabbc", "aabbc", (2, 1, 0) },
    three_regions = { "abcdee", "abcdee", (2, 1, 1) },
    no_majority = { "abc", "a", (0, 0, 0) },
)]
fn tolerated_losses_depend_on_the_zones_of_healthy_voters(
    voters: &str, healthy: &str, counts: (usize, usize, usize),
) {
    let (machines, zones, regions) = counts;
    let healthy: Vec<&str> = healthy.split_terminator("").skip(1).collect();
    let tolerated = tolerance(0, 0, 0).tolerated(voters.len(), &healthy);
    assert_eq!(tolerated, Losses { machines, zones, regions });
}

#[parameterized(
    no_losses_to_tolerate = { (0, 0, 0), "abc", 3 },
    one_machine = { (1, 0, 0), "abc", 3 },
    two_machines = { (2, 0, 0), "aabbcc", 5 },
    a_zone_of_two = { (1, 1, 0), "aabbcc", 5 },
    a_region_of_four = { (1, 1, 1), "abccddee", 9 },
)]
fn the_voter_list_never_shrinks_below_the_losses_to_tolerate(
    counts: (usize, usize, usize), voters: &str, min_voters: usize,
) {
    let (machines, zones, regions) = counts;
    let voters: Vec<&str> = voters.split_terminator("").skip(1).collect();
    assert_eq!(tolerance(machines, zones, regions).min_voters(&voters), min_voters);
}
