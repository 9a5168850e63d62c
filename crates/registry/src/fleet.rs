//! The known data planes: those with recent contact, and those that have announced their departure.
//!
//! A data plane is identified by the name of its machine and by its incarnation, a random number drawn at each start.
//! A departure is final for its incarnation: later reports of contact with the incarnation, from any process, have no
//! effect. A new incarnation of the same name is a different data plane; departures of earlier ones do not affect it.
//!
//! A data plane without a quota lease spends fallback slices: its share of each quota, which is the quota divided
//! by the slice divisor, a number of data planes that the control planes publish. A slice is oversized if the data
//! plane divides by an outdated, smaller number.

use crate::Millis;
use protocol::Departure;
use quota::OversizedSlice;
use std::collections::{BTreeMap, VecDeque};

/// How long a silent data plane that has not announced its departure still counts. The data plane may be isolated and
/// spend its fallback slices (its share of each quota while it gets no lease). The lease cache of a data plane spends
/// fallback slices for this long after the last message of a control plane.
pub const SILENT_DATA_PLANE_TIMEOUT_MS: Millis = 30_000;
/// How long a departure is remembered: longer than processes can still report contact with the departed data plane. A
/// report after this time would add the data plane to the fleet again, for [`SILENT_DATA_PLANE_TIMEOUT_MS`].
const DEPARTURE_RETENTION_MS: Millis = 120_000;
/// How long another process may report contact with a data plane that no longer receives anything: twice the silence
/// timeout of a connection, plus the intervals of the reports.
const REPORT_DELAY_MS: Millis = 6_000;
/// Maximum number of names; a deployment has several hundred machines.
const MAX_NAMES: usize = 4096;
/// Maximum number of active incarnations of one name, and of departed ones.
const MAX_INCARNATIONS_PER_NAME: usize = 8;

/// Faults that tests inject to verify that they are detected. All disabled in production.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetFaults {
    /// A departure removes all incarnations of the name.
    pub departs_by_name: bool,
    /// Departures are not remembered: a delayed report restores the data plane.
    pub forgets_departures: bool,
}

#[derive(Debug)]
struct Incarnation {
    /// The random number that identifies the incarnation.
    number: u64,
    /// Time of the last contact with an active incarnation, or of the departure of a departed one.
    at: Millis,
}

/// All incarnations of one data plane name.
#[derive(Debug, Default)]
struct DataPlaneEntry {
    /// Incarnations that have not announced their departure.
    active: Vec<Incarnation>,
    /// Incarnations that have announced their departure.
    departed: Vec<Incarnation>,
    /// Start of the current uninterrupted period with at least one active incarnation.
    present_since: Millis,
    /// The smallest slice divisor that the data plane may have received while it was in contact; `None` if unknown.
    divisor: Option<u32>,
}

/// The data planes that any control plane has been in contact with.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Known data planes by name.
    entries: BTreeMap<String, DataPlaneEntry>,
    /// Recent slice divisors, each with the time from which control planes sent the divisor to data planes.
    divisors: VecDeque<(Millis, u32)>,
    faults: FleetFaults,
}

impl Fleet {
    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: FleetFaults) {
        self.faults = faults;
    }

    /// Records contact with a data plane, here or at another process. A departed incarnation stays departed.
    pub fn record_contact(&mut self, now: Millis, name: &str, incarnation: u64) {
        let Some(entry) = self.entry_or_insert(name) else { return };
        if entry.has_departed(incarnation) {
            return;
        }
        if !entry.is_present() {
            entry.present_since = now;
        }
        let present_since = entry.present_since;
        let divisor = self.min_divisor_since(present_since);
        let Some(entry) = self.entry_or_insert(name) else { return };
        entry.divisor = divisor;
        record_incarnation(&mut entry.active, incarnation, now);
    }

    /// Sets the divisor by which data planes divide their slices from now on.
    pub fn set_slice_divisor(&mut self, now: Millis, divisor: u32) {
        self.divisors.push_back((now, divisor));
        // Keeps the divisors of the last `REPORT_DELAY_MS`, and the one that was in effect when that span began.
        while self.divisors.get(1).is_some_and(|(since, _)| since + REPORT_DELAY_MS <= now) {
            self.divisors.pop_front();
        }
    }

    /// The data planes whose slices may be oversized: the smallest divisor that they may still use is below `present`,
    /// the number of data planes that may spend quota now. A data plane that stays in contact receives the larger
    /// divisor; a contact more than `REPORT_DELAY_MS` after the change removes it from the list. One that falls silent
    /// before that stays listed while it is present, since it may keep the smaller divisor.
    pub fn oversized_slices(&self, present: u32) -> Vec<OversizedSlice> {
        let oversized = |(name, entry): (&String, &DataPlaneEntry)| {
            let divisor = entry.divisor.filter(|divisor| *divisor < present && entry.is_present())?;
            Some(OversizedSlice { gateway: name.clone(), divisor })
        };
        self.entries.iter().filter_map(oversized).collect()
    }

    /// The smallest divisor among the recent ones that was in effect after `not_before`.
    fn min_divisor_since(&self, not_before: Millis) -> Option<u32> {
        let ends = self.divisors.iter().skip(1).map(|(since, _)| *since).chain([Millis::MAX]);
        let in_effect = self.divisors.iter().zip(ends).filter(|(_, end)| *end > not_before);
        in_effect.map(|((_, divisor), _)| *divisor).min()
    }

    /// Records that an incarnation of a data plane has announced its end, after which the incarnation spends no quota.
    /// Returns whether the departure was not recorded before.
    pub fn record_departure(&mut self, now: Millis, departure: &Departure) -> bool {
        let faults = self.faults;
        let Some(entry) = self.entry_or_insert(&departure.name) else { return false };
        if entry.has_departed(departure.incarnation) {
            return false;
        }
        let before = entry.active.len();
        entry.active.retain(|active| active.number != departure.incarnation && !faults.departs_by_name);
        if faults.forgets_departures {
            return entry.active.len() != before;
        }
        record_incarnation(&mut entry.departed, departure.incarnation, now.saturating_sub(departure.ago_ms));
        true
    }

    /// Whether the incarnation has announced its end.
    pub fn has_departed(&self, name: &str, incarnation: u64) -> bool {
        self.entries.get(name).is_some_and(|entry| entry.has_departed(incarnation))
    }

    /// Whether any incarnation of the name is active.
    pub fn is_present(&self, name: &str) -> bool {
        self.entries.get(name).is_some_and(DataPlaneEntry::is_present)
    }

    /// The remembered departures, to be sent to other processes.
    pub fn departures(&self, now: Millis) -> Vec<Departure> {
        let of_name = |(name, entry): (&String, &DataPlaneEntry)| -> Vec<Departure> {
            let departed = |incarnation: &Incarnation| Departure {
                name: name.clone(),
                incarnation: incarnation.number,
                ago_ms: now.saturating_sub(incarnation.at),
            };
            entry.departed.iter().map(departed).collect()
        };
        self.entries.iter().flat_map(of_name).collect()
    }

    /// The names without an active incarnation and with at least one departed one.
    pub fn departed_names(&self) -> impl Iterator<Item = &str> {
        let departed =
            self.entries.iter().filter(|(_, entry)| !entry.is_present() && !entry.departed.is_empty());
        departed.map(|(name, _)| name.as_str())
    }

    /// Removes data planes without contact for too long, and expired departures. Returns whether the fleet size
    /// changed.
    pub fn sweep(&mut self, now: Millis) -> bool {
        let before = self.size();
        for entry in self.entries.values_mut() {
            entry.active.retain(|incarnation| now < incarnation.at + SILENT_DATA_PLANE_TIMEOUT_MS);
            entry.departed.retain(|incarnation| now < incarnation.at + DEPARTURE_RETENTION_MS);
        }
        self.entries.retain(|_, entry| entry.is_present() || !entry.departed.is_empty());
        self.size() != before
    }

    /// The number of data planes that may spend quota. Several incarnations of one name count once, since a machine
    /// starts the next incarnation only after the previous one has ended.
    pub fn size(&self) -> u32 {
        self.entries.values().filter(|entry| entry.is_present()).count() as u32
    }

    /// The number of data planes that are active or have departed within the last `span`. A rolling restart of the
    /// fleet does not reduce this number.
    pub fn size_within(&self, now: Millis, span: Millis) -> u32 {
        self.entries.values().filter(|entry| entry.was_present_within(now, span)).count() as u32
    }

    /// The index of a data plane, by name order, among those that [`Fleet::size_within`] counts.
    pub fn index_within(&self, now: Millis, span: Millis, name: &str) -> u32 {
        let before = self.entries.iter().take_while(|(other, _)| other.as_str() < name);
        before.filter(|(_, entry)| entry.was_present_within(now, span)).count() as u32
    }

    /// Names and incarnations of the active data planes, ordered by name. Of several incarnations of a name, the one
    /// with the latest contact.
    pub fn incarnations(&self) -> impl Iterator<Item = (&str, u64)> {
        let latest = |entry: &DataPlaneEntry| {
            entry.active.iter().max_by_key(|known| known.at).map(|known| known.number)
        };
        self.entries.iter().filter_map(move |(name, entry)| Some((name.as_str(), latest(entry)?)))
    }

    /// Names of the active data planes.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.incarnations().map(|(name, _)| name)
    }

    fn entry_or_insert(&mut self, name: &str) -> Option<&mut DataPlaneEntry> {
        if !self.entries.contains_key(name) && self.entries.len() >= MAX_NAMES {
            return None;
        }
        Some(self.entries.entry(name.to_owned()).or_default())
    }
}

impl DataPlaneEntry {
    fn is_present(&self) -> bool {
        !self.active.is_empty()
    }

    fn has_departed(&self, incarnation: u64) -> bool {
        self.departed.iter().any(|departed| departed.number == incarnation)
    }

    fn was_present_within(&self, now: Millis, span: Millis) -> bool {
        self.is_present() || self.departed.iter().any(|incarnation| now < incarnation.at + span)
    }
}

/// Records the time of an incarnation. The incarnation with the oldest time is replaced if there are too many.
fn record_incarnation(incarnations: &mut Vec<Incarnation>, number: u64, at: Millis) {
    if let Some(known) = incarnations.iter_mut().find(|incarnation| incarnation.number == number) {
        known.at = known.at.max(at);
        return;
    }
    if incarnations.len() >= MAX_INCARNATIONS_PER_NAME
        && let Some(oldest) = (0..incarnations.len()).min_by_key(|index| incarnations[*index].at)
    {
        incarnations.swap_remove(oldest);
    }
    incarnations.push(Incarnation { number, at });
}
