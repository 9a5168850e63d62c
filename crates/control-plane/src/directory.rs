//! Directory of known control planes: a state machine without I/O or clock.
//!
//! A replaced machine returns at another address, and its old address must be forgotten. So each process advertises
//! only control planes with which the process itself had a recent connection. Otherwise processes would report an
//! unused address to each other forever.
//!
//! A process advertises a control plane by including its address in the lists that it sends to other processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds of the host's monotonic clock.
type Millis = u64;

/// Maximum number of entries. A deployment has some dozens of control planes; more entries indicate a fault.
const MAX_PROCESSES: usize = 256;
/// A control plane is advertised to others for this long after the last connection with it.
const ADVERTISE_FOR: Millis = 60_000;
/// A control plane is forgotten this long after the last connection with it, or after it was first reported. Longer
/// than any tolerated partition, because both sides of a partition have to find each other again afterwards.
const FORGET_AFTER: Millis = 600_000;

/// One control plane.
#[derive(Debug)]
struct Entry {
    zone: String,
    /// When the control plane was last connected, or first reported.
    last_seen_at: Millis,
    /// When a connection was last open; `None` if the control plane is known only from reports.
    connected_at: Option<Millis>,
}

/// All known control planes except this process itself.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeMap<SocketAddr, Entry>,
}

impl Directory {
    /// Another process reports a control plane.
    pub(crate) fn learn(&mut self, now: Millis, address: SocketAddr, zone: String) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.zone = zone;
        } else if self.entries.len() < MAX_PROCESSES {
            self.entries.insert(address, Entry { zone, last_seen_at: now, connected_at: None });
        }
    }

    /// A connection with a control plane is open.
    pub(crate) fn mark_connected(&mut self, now: Millis, address: &SocketAddr) {
        if let Some(entry) = self.entries.get_mut(address) {
            (entry.last_seen_at, entry.connected_at) = (now, Some(now));
        }
    }

    /// Forgets control planes without a connection for a long time.
    pub(crate) fn sweep(&mut self, now: Millis) {
        self.entries.retain(|_, entry| now < entry.last_seen_at + FORGET_AFTER);
    }

    /// Whether a control plane is known.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.entries.contains_key(address)
    }

    /// The zone of a control plane, if it is known.
    pub(crate) fn zone(&self, address: &SocketAddr) -> Option<&str> {
        self.entries.get(address).map(|entry| entry.zone.as_str())
    }

    /// The addresses of all control planes.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = &SocketAddr> {
        self.entries.keys()
    }

    /// All control planes with their zones.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&SocketAddr, &str)> {
        self.entries.iter().map(|(address, entry)| (address, entry.zone.as_str()))
    }

    /// The control planes to advertise to other processes.
    pub(crate) fn recently_connected(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &str)> {
        let is_recent = move |entry: &Entry| entry.connected_at.is_some_and(|at| now < at + ADVERTISE_FOR);
        let entries = self.entries.iter().filter(move |(_, entry)| is_recent(entry));
        entries.map(|(address, entry)| (address, entry.zone.as_str()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOSSIP_INTERVAL: Millis = 400;

    fn address(process: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (process >> 8) as u8, process as u8], 7000))
    }

    /// Three processes that advertise to each other in every gossip interval.
    fn gossip(
        directories: &mut [Directory; 3], from: Millis, to: Millis, connected: impl Fn(usize, usize) -> bool,
    ) {
        for now in (from..to).step_by(GOSSIP_INTERVAL as usize) {
            for own in 0..directories.len() {
                for other in (0..directories.len()).filter(|other| *other != own && connected(own, *other)) {
                    directories[own].mark_connected(now, &address(other));
                    let advertised: Vec<_> = directories[other]
                        .recently_connected(now)
                        .map(|(at, zone)| (*at, zone.to_owned()))
                        .collect();
                    for (at, zone) in advertised.into_iter().filter(|(at, _)| *at != address(own)) {
                        directories[own].learn(now, at, zone);
                    }
                }
                directories[own].sweep(now);
            }
        }
    }

    fn acquainted() -> [Directory; 3] {
        let mut directories: [Directory; 3] = Default::default();
        for (own, directory) in directories.iter_mut().enumerate() {
            for other in (0..3).filter(|other| *other != own) {
                directory.learn(0, address(other), "z".into());
            }
        }
        directories
    }

    #[test]
    fn a_process_that_is_gone_is_forgotten_by_all_for_good() {
        let mut directories = acquainted();
        gossip(&mut directories, 0, 100_000, |_, _| true);
        gossip(&mut directories, 100_000, 900_000, |own, other| own != 2 && other != 2);
        for own in [0, 1] {
            assert!(!directories[own].contains(&address(2)), "process {own} still knows the stopped process");
            assert!(directories[own].contains(&address(1 - own)));
        }
    }

    #[test]
    fn a_partition_of_minutes_does_not_remove_entries() {
        let mut directories = acquainted();
        gossip(&mut directories, 0, 10_000, |_, _| true);
        gossip(&mut directories, 10_000, 500_000, |own, other| own != 2 && other != 2);
        assert!(directories[0].contains(&address(2)) && directories[2].contains(&address(0)));
        let advertised = directories[0].recently_connected(500_000).any(|(at, _)| *at == address(2));
        assert!(!advertised, "it advertises a process that it has no connection with");
    }

    #[test]
    fn replaced_processes_do_not_fill_the_directory() {
        let mut directory = Directory::default();
        for process in 0..3 * MAX_PROCESSES {
            let now = process as Millis * 10_000;
            directory.sweep(now);
            directory.learn(now, address(process), "z".into());
            assert!(directory.contains(&address(process)), "no room for number {process}");
        }
    }
}
