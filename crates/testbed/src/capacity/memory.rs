//! What state takes in memory: the growth of a process of its own that builds one item.

use super::messages::changed;
use super::samples::{backends, configuration_bytes, gateway_name, quotas};
use super::size::Size;
use config::Config;
use control_plane::{Change, Ledger, Place};
use quota::{Cache, Epoch, Office, Roster};
use registry::Register;
use std::path::Path;
use std::process::Command;
use std::str::FromStr;

/// The unit of the resident size in `/proc/PID/statm`, in bytes.
const PAGE: usize = 4096;
/// Backends send a heartbeat this often, in ms.
const HEARTBEAT_MS: u64 = 780;

/// Something that a process keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// A checked configuration with its tables, as data planes and control planes have it.
    Configuration,
    /// The body of the newest configuration and of those before it that are kept.
    History,
    /// All backends.
    Registry,
    /// The lease cache of a data plane.
    LeaseCache,
    /// The counts of all tenants at their holder.
    Counts,
}

/// All items, with their names on the command line and in tables.
pub const ITEMS: [(Item, &str, &str); 5] = [
    (Item::Configuration, "configuration", "checked configuration with its tables"),
    (Item::History, "history", "bodies of configurations, at a voter"),
    (Item::Registry, "registry", "registry of backends"),
    (Item::LeaseCache, "lease-cache", "lease cache of a data plane"),
    (Item::Counts, "counts", "counts at their holder"),
];

impl FromStr for Item {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = ITEMS.iter().find(|(_, name, _)| *name == text);
        found.map(|(item, ..)| *item).ok_or_else(|| format!("{text:?} is no item"))
    }
}

/// Resident bytes of a process.
pub fn resident(pid: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: usize = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// Builds an item in this process: by how many bytes it grew. What is needed only to build it is made before.
pub fn grown(item: Item, size: &Size) -> usize {
    let me = std::process::id();
    let (body, next, tenants, all) =
        (configuration_bytes(size, 1), changed(size), quotas(size), backends(size));
    let before = resident(me).unwrap_or_default();
    // Each is kept until its size was read.
    let after = match item {
        Item::Configuration => keep(Config::parse(&body).ok(), me),
        Item::History => keep(history(body, next), me),
        Item::Registry => {
            let mut register = Register::new(HEARTBEAT_MS);
            all.into_iter().for_each(|backend| drop(register.beat(0, backend)));
            keep(register, me)
        }
        Item::LeaseCache => {
            let mut cache = Cache::new(7);
            cache.quotas(0.0, tenants);
            keep(cache, me)
        }
        Item::Counts => keep(counts(size, tenants), me),
    };
    after.saturating_sub(before)
}

fn keep<T>(item: T, me: u32) -> usize {
    let after = resident(me).unwrap_or_default();
    drop(std::hint::black_box(item));
    after
}

fn history(body: Vec<u8>, next: Vec<u8>) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(Place::default(), Change { base: 0, version: 1, digest: [1; 32], body: body.clone() });
    ledger.apply(Place::default(), Change { base: 1, version: 2, digest: [2; 32], body: next.clone() });
    ledger
}

fn counts(size: &Size, tenants: Vec<quota::Quota>) -> Office {
    let mut office = Office::new("holder");
    office.quotas(0.0, tenants);
    office.assume(0.0, &Roster { epoch: Epoch::first(1), holders: vec!["holder".to_owned()] }, true);
    (0..size.gateways).for_each(|n| office.heard(0.0, &gateway_name(n), Epoch::first(1)));
    office
}

/// The same in a process of its own, so that no memory that another item gave back is used again.
pub fn grown_apart(program: &Path, name: &str, size: &Size) -> Option<usize> {
    let gateways = size.gateways.to_string();
    let done =
        Command::new(program).args(["capacity", "--item", name, "--gateways", &gateways]).output().ok()?;
    String::from_utf8(done.stdout).ok()?.trim().parse().ok()
}
