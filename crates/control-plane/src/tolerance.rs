//! What the deployment says may be lost at once, and what a list of voters in these places bears.

use raft::{least_voters, majority_of};
use std::collections::BTreeMap;

/// Whatever is tolerated, a leader does not go on with fewer voters than this of its own accord.
const MIN_VOTERS: usize = 3;

/// How many may be lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Machines.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// What is to be borne, and where zones lie.
#[derive(Clone, Debug, Default)]
pub struct Tolerance {
    /// What may be lost at once.
    pub losses: Losses,
    /// The region of each zone.
    pub region_of: BTreeMap<String, String>,
}

impl Tolerance {
    /// The shortest list that a leader may come to by taking silent voters off, if its voters stand in these zones.
    pub fn min_voters(&self, zones: &[&str]) -> usize {
        let machines = self.losses.machines;
        let in_zones: usize = largest_groups(zones, self.losses.zones).into_iter().sum();
        let in_regions: usize = largest_groups(&self.regions(zones), self.losses.regions).into_iter().sum();
        least_voters(machines.max(in_zones).max(in_regions)).max(MIN_VOTERS)
    }

    /// What a list of so many voters bears, if those that count stand in these zones: any so many machines, zones or
    /// regions may be lost, and a majority is left.
    pub fn tolerated(&self, voters: usize, counted: &[&str]) -> Losses {
        let spare = counted.len().saturating_sub(majority_of(voters));
        Losses {
            machines: spare,
            zones: groups_within(spare, &largest_groups(counted, usize::MAX)),
            regions: groups_within(spare, &largest_groups(&self.regions(counted), usize::MAX)),
        }
    }

    fn regions<'a>(&'a self, zones: &[&'a str]) -> Vec<&'a str> {
        zones.iter().map(|zone| self.region_of.get(*zone).map_or(*zone, String::as_str)).collect()
    }
}

/// The sizes of the largest groups of equal names, so many of them, the largest first.
fn largest_groups(names: &[&str], max_groups: usize) -> Vec<usize> {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    names.iter().for_each(|name| *sizes.entry(name).or_default() += 1);
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    sizes.truncate(max_groups);
    sizes
}

/// How many groups, the largest first, have no more members than that together.
fn groups_within(spare: usize, sizes: &[usize]) -> usize {
    let sums = sizes.iter().scan(0, |sum, size| {
        *sum += size;
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= spare).count()
}
