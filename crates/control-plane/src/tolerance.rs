//! Simultaneous losses that the deployment has to tolerate, and the losses that a list of voters does tolerate.

use raft::{majority_of, min_voters};
use std::collections::BTreeMap;

/// A leader never shrinks the voter list below this on its own.
const MIN_VOTERS: usize = 3;

/// Numbers of simultaneous losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Lost machines.
    pub machines: usize,
    /// Lost zones.
    pub zones: usize,
    /// Lost regions.
    pub regions: usize,
}

/// The losses to tolerate, and the regions of the zones.
#[derive(Clone, Debug, Default)]
pub struct Tolerance {
    /// Simultaneous losses to tolerate.
    pub losses: Losses,
    /// The region of each zone.
    pub region_of: BTreeMap<String, String>,
}

impl Tolerance {
    /// The smallest voter list that a leader may reach by removing silent voters, given the voters' zones.
    pub fn min_voters(&self, zones: &[&str]) -> usize {
        let machines = self.losses.machines;
        let in_zones: usize = largest_groups(zones, self.losses.zones).into_iter().sum();
        let in_regions: usize = largest_groups(&self.regions(zones), self.losses.regions).into_iter().sum();
        min_voters(machines.max(in_zones).max(in_regions)).max(MIN_VOTERS)
    }

    /// The losses that a list of this many voters tolerates, given the zones of the healthy voters. After the loss of
    /// any `n` machines (or zones, or regions), with `n` as returned, a majority remains.
    pub fn tolerated(&self, voters: usize, healthy: &[&str]) -> Losses {
        let spare = healthy.len().saturating_sub(majority_of(voters));
        Losses {
            machines: spare,
            zones: groups_within(spare, &largest_groups(healthy, usize::MAX)),
            regions: groups_within(spare, &largest_groups(&self.regions(healthy), usize::MAX)),
        }
    }

    fn regions<'a>(&'a self, zones: &[&'a str]) -> Vec<&'a str> {
        zones.iter().map(|zone| self.region_of.get(*zone).map_or(*zone, String::as_str)).collect()
    }
}

/// The sizes of the `max_groups` largest groups of equal names, in descending order.
fn largest_groups(names: &[&str], max_groups: usize) -> Vec<usize> {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    names.iter().for_each(|name| *sizes.entry(name).or_default() += 1);
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    sizes.truncate(max_groups);
    sizes
}

/// How many groups, the largest first, have at most `spare` members together.
fn groups_within(spare: usize, sizes: &[usize]) -> usize {
    let sums = sizes.iter().scan(0, |sum, size| {
        *sum += size;
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= spare).count()
}
