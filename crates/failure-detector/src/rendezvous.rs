//! Rendezvous hashing, which selects the watchers of each member. Each pair of a candidate and a watched member has a
//! pseudo-random weight. The candidates with the greatest weights, called the heaviest, watch the member.

use crate::message::MemberAddr;

/// Pseudo-random bijection of the 64-bit integers: the output function of splitmix64.
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The address of a member with its hash.
pub(crate) type HashedAddr = (MemberAddr, u64);

/// Weight of `watcher` among the candidates to watch `watched`, from the hashes of their addresses. Not symmetric.
pub(crate) fn weight(watcher: u64, watched: u64) -> u64 {
    splitmix64(watcher ^ watched.rotate_left(23))
}

/// The `count` watchers of `watched`, heaviest first.
pub(crate) fn watchers(all: &[HashedAddr], watched: HashedAddr, count: usize) -> Vec<MemberAddr> {
    let others = all.iter().filter(|(addr, _)| *addr != watched.0);
    let mut ranked: Vec<_> = others.map(|(addr, hash)| (weight(*hash, watched.1), *addr)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, addr)| addr).collect()
}

/// Expected number of heavier candidates at which [`watched`] skips a member without comparing all weights. With 40
/// expected heavier candidates, fewer than [`WATCHERS`](crate::WATCHERS) (4) exist with a probability below 10^-13.
/// In that case the skipped member has one watcher fewer.
const EXPECTED_HEAVIER: u64 = 40;

/// The members that `me` watches: those that have `me` among their first `count` watchers.
pub(crate) fn watched(all: &[HashedAddr], me: HashedAddr, count: usize) -> Vec<MemberAddr> {
    let min_weight = u64::MAX - (u64::MAX / all.len().max(1) as u64).saturating_mul(EXPECTED_HEAVIER);
    let watches = |other: &HashedAddr| {
        let own = weight(me.1, other.1);
        if other.0 == me.0 || own < min_weight {
            return false;
        }
        let heavier = |(addr, hash): &&HashedAddr| {
            let weight = weight(*hash, other.1);
            weight >= own && *addr != other.0 && *addr != me.0 && (weight, *addr) > (own, me.0)
        };
        all.iter().filter(heavier).take(count).count() < count
    };
    all.iter().filter(|other| watches(other)).map(|(addr, _)| *addr).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::SocketAddrV4;

    #[test]
    fn watchers_and_watched_agree_and_every_member_is_watched() {
        for size in [2_u16, 5, 13, 300] {
            let addrs = (0..size).map(|n| MemberAddr::from(SocketAddrV4::new([10, 1, 0, 1].into(), n)));
            let all: Vec<HashedAddr> = addrs.map(|addr| (addr, addr.hash())).collect();
            let mut pairs: Vec<(MemberAddr, MemberAddr)> = Vec::new();
            for member in &all {
                let by = watchers(&all, *member, 4);
                assert_eq!(by.len(), usize::from(size - 1).min(4));
                pairs.extend(by.into_iter().map(|watcher| (watcher, member.0)));
            }
            let mut own: Vec<(MemberAddr, MemberAddr)> = Vec::new();
            for member in &all {
                own.extend(watched(&all, *member, 4).into_iter().map(|other| (member.0, other)));
            }
            pairs.sort();
            own.sort();
            assert_eq!(pairs, own);
        }
    }
}
