//! Rendezvous hashing: who watches whom.

use crate::message::Mark;

/// A number that looks like chance and is another one for each number (the finalizer of splitmix64).
pub(crate) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A process as ranks are drawn for it: its mark and the mark's hash.
pub(crate) type Ranked = (Mark, u64);

/// The weight of a process as watcher of another one, both by the hashes of their marks. Not symmetric.
pub(crate) fn weight(watcher: u64, watched: u64) -> u64 {
    mix(watcher ^ watched.rotate_left(23))
}

/// The `count` that come first as watchers of `watched`, heaviest first.
pub(crate) fn watchers(all: &[Ranked], watched: Ranked, count: usize) -> Vec<Mark> {
    let others = all.iter().filter(|(mark, _)| *mark != watched.0);
    let mut ranked: Vec<_> = others.map(|(mark, hash)| (weight(*hash, watched.1), *mark)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, mark)| mark).collect()
}

/// Of light weights so many are expected above that none is looked at: with 40 expected, fewer than five heavier ones
/// turn up once in 10^13 pairs. Such a pair has one watcher fewer, and that is all.
const EXPECTED_ABOVE: u64 = 40;

/// Whom `me` watches: all for which it is among the first `count`.
pub(crate) fn watched(all: &[Ranked], me: Ranked, count: usize) -> Vec<Mark> {
    let least = u64::MAX - (u64::MAX / all.len().max(1) as u64).saturating_mul(EXPECTED_ABOVE);
    let mine = |other: &Ranked| {
        let own = weight(me.1, other.1);
        if other.0 == me.0 || own < least {
            return false;
        }
        let heavier = |(mark, hash): &&Ranked| {
            let weight = weight(*hash, other.1);
            weight >= own && *mark != other.0 && *mark != me.0 && (weight, *mark) > (own, me.0)
        };
        all.iter().filter(heavier).take(count).count() < count
    };
    all.iter().filter(|other| mine(other)).map(|(mark, _)| *mark).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::SocketAddrV4;

    #[test]
    fn both_sides_derive_the_same_watches_and_nobody_goes_unwatched() {
        for size in [2_u16, 5, 13, 300] {
            let marks = (0..size).map(|n| Mark::from(SocketAddrV4::new([10, 1, 0, 1].into(), n)));
            let all: Vec<Ranked> = marks.map(|mark| (mark, mark.hash())).collect();
            let mut pairs: Vec<(Mark, Mark)> = Vec::new();
            for one in &all {
                let by = watchers(&all, *one, 4);
                assert_eq!(by.len(), usize::from(size - 1).min(4));
                pairs.extend(by.into_iter().map(|watcher| (watcher, one.0)));
            }
            let mut own: Vec<(Mark, Mark)> = Vec::new();
            for one in &all {
                own.extend(watched(&all, *one, 4).into_iter().map(|other| (one.0, other)));
            }
            pairs.sort();
            own.sort();
            assert_eq!(pairs, own);
        }
    }
}
