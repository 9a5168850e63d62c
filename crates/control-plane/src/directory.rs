//! The processes that serve control, as this one knows them: a state machine without I/O or clock.
//!
//! Machines are replaced at other addresses, so that addresses go out of use. One with which nobody has a connection any
//! more is forgotten after a while. For that to last, a process tells others only of those that it was connected with
//! lately itself: what it knows by hearsay would go around for ever.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
type Millis = u64;

/// Machines that serve control are some dozens; more are somebody's fault.
const MOST: usize = 256;
/// Others are told of a process for so long after the last connection with it.
const TOLD_FOR: Millis = 60_000;
/// A process is forgotten so long after the last connection with it, or after it was first heard of: longer than any cut
/// that is to be borne, after which both sides have to find each other again.
const KEPT_FOR: Millis = 600_000;

/// One process that serves control.
#[derive(Debug)]
struct Known {
    zone: String,
    /// When it was heard of first, or connected with last.
    since: Millis,
    /// When a connection with it stood last; nothing if it is known by hearsay only.
    connected_at: Option<Millis>,
}

/// All that are known, without this process itself.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    known: BTreeMap<SocketAddr, Known>,
}

impl Directory {
    /// Somebody says that a process serves control.
    pub(crate) fn heard_of(&mut self, now: Millis, address: SocketAddr, zone: String) {
        if let Some(known) = self.known.get_mut(&address) {
            known.zone = zone;
        } else if self.known.len() < MOST {
            self.known.insert(address, Known { zone, since: now, connected_at: None });
        }
    }

    /// A connection with it stands.
    pub(crate) fn connected(&mut self, now: Millis, address: &SocketAddr) {
        if let Some(known) = self.known.get_mut(address) {
            (known.since, known.connected_at) = (now, Some(now));
        }
    }

    /// Forgets those with which there was no connection for long.
    pub(crate) fn sweep(&mut self, now: Millis) {
        self.known.retain(|_, known| now < known.since + KEPT_FOR);
    }

    /// Whether a process is known.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.known.contains_key(address)
    }

    /// The zone of a process that is known.
    pub(crate) fn zone(&self, address: &SocketAddr) -> Option<&str> {
        self.known.get(address).map(|known| known.zone.as_str())
    }

    /// The addresses of all.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = &SocketAddr> {
        self.known.keys()
    }

    /// All, with their zones.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&SocketAddr, &str)> {
        self.known.iter().map(|(address, known)| (address, known.zone.as_str()))
    }

    /// Those that other processes of control are told of.
    pub(crate) fn lately_connected(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &str)> {
        let lately = move |known: &Known| known.connected_at.is_some_and(|at| now < at + TOLD_FOR);
        let known = self.known.iter().filter(move |(_, known)| lately(known));
        known.map(|(address, known)| (address, known.zone.as_str()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ROUND: Millis = 400;

    fn address(process: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (process >> 8) as u8, process as u8], 7000))
    }

    /// Three processes that tell each other of all that they may tell of, every round.
    fn rounds(
        directories: &mut [Directory; 3], from: Millis, to: Millis, connected: impl Fn(usize, usize) -> bool,
    ) {
        for now in (from..to).step_by(ROUND as usize) {
            for own in 0..directories.len() {
                for other in (0..directories.len()).filter(|other| *other != own && connected(own, *other)) {
                    directories[own].connected(now, &address(other));
                    let told: Vec<_> = directories[other]
                        .lately_connected(now)
                        .map(|(at, zone)| (*at, zone.to_owned()))
                        .collect();
                    for (at, zone) in told.into_iter().filter(|(at, _)| *at != address(own)) {
                        directories[own].heard_of(now, at, zone);
                    }
                }
                directories[own].sweep(now);
            }
        }
    }

    fn met() -> [Directory; 3] {
        let mut directories: [Directory; 3] = Default::default();
        for (own, directory) in directories.iter_mut().enumerate() {
            for other in (0..3).filter(|other| *other != own) {
                directory.heard_of(0, address(other), "z".into());
            }
        }
        directories
    }

    #[test]
    fn who_is_gone_is_forgotten_by_all_and_stays_so() {
        let mut directories = met();
        rounds(&mut directories, 0, 100_000, |_, _| true);
        rounds(&mut directories, 100_000, 900_000, |own, other| own != 2 && other != 2);
        for own in [0, 1] {
            assert!(!directories[own].contains(&address(2)), "process {own} knows it still");
            assert!(directories[own].contains(&address(1 - own)));
        }
    }

    #[test]
    fn a_cut_of_minutes_makes_nobody_forget() {
        let mut directories = met();
        rounds(&mut directories, 0, 10_000, |_, _| true);
        rounds(&mut directories, 10_000, 500_000, |own, other| own != 2 && other != 2);
        assert!(directories[0].contains(&address(2)) && directories[2].contains(&address(0)));
        let told_of = directories[0].lately_connected(500_000).any(|(at, _)| *at == address(2));
        assert!(!told_of, "it tells of one that it has no connection with");
    }

    #[test]
    fn replacements_find_room_however_many_were_there_before() {
        let mut directory = Directory::default();
        for process in 0..3 * MOST {
            let now = process as Millis * 10_000;
            directory.sweep(now);
            directory.heard_of(now, address(process), "z".into());
            assert!(directory.contains(&address(process)), "no room for number {process}");
        }
    }
}
