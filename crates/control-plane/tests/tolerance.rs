//! What a list of voters bears, by where they stand.

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
    fourth_beside_a_dead_one = { "abca", "aba", (0, 0, 0) },
    fourth = { "abca", "abca", (1, 0, 0) },
    two_in_each_zone = { "aabbcc", "aabbcc", (2, 1, 0) },
    five_in_three_zones = { "aabbc", "aabbc", (2, 1, 0) },
    three_regions = { "abcdee", "abcdee", (2, 1, 1) },
    no_majority = { "abc", "a", (0, 0, 0) },
)]
fn what_is_borne(voters: &str, counted: &str, figures: (usize, usize, usize)) {
    let (machines, zones, regions) = figures;
    let counted: Vec<&str> = counted.split_terminator("").skip(1).collect();
    let borne = tolerance(0, 0, 0).tolerated(voters.len(), &counted);
    assert_eq!(borne, Losses { machines, zones, regions });
}

#[parameterized(
    nothing_is_to_be_borne = { (0, 0, 0), "abc", 3 },
    one_machine = { (1, 0, 0), "abc", 3 },
    two_machines = { (2, 0, 0), "aabbcc", 5 },
    a_zone_of_two = { (1, 1, 0), "aabbcc", 5 },
    a_region_of_four = { (1, 1, 1), "abccddee", 9 },
)]
fn a_list_is_not_cut_below_what_is_to_be_borne(figures: (usize, usize, usize), voters: &str, least: usize) {
    let (machines, zones, regions) = figures;
    let voters: Vec<&str> = voters.split_terminator("").skip(1).collect();
    assert_eq!(tolerance(machines, zones, regions).min_voters(&voters), least);
}
