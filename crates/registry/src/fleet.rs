//! The data planes that are known: which were heard, and which have said that they ended.
//!
//! A data plane is known by the name of its machine and by its incarnation, a number drawn at each start. A departure
//! is final for its incarnation: words about it that come later, by whatever way, change nothing. A new incarnation of
//! the same name is another data plane, which no departure of an earlier one concerns.

use crate::Millis;
use protocol::Departure;
use quota::OversizedSlice;
use std::collections::{BTreeMap, VecDeque};

/// A data plane that fell silent without a word may be cut off and spend its even slices: it counts for this long,
/// which is as long as its lease cache spends slices after the last word of control.
pub const SILENT_DATA_PLANE_TIMEOUT_MS: Millis = 30_000;
/// A departure is remembered for this long: longer than any process goes on saying that it hears the data plane. What
/// is said even later counts the data plane once more, for [`SILENT_DATA_PLANE_TIMEOUT_MS`].
const DEPARTURE_REMEMBERED: Millis = 120_000;
/// Another process may say for this long that it hears a data plane that hears nothing any more: two silences of a
/// connection, and the rounds in which that is told.
const HEARSAY_SPAN: Millis = 6_000;
/// Names that are remembered at most; machines are some hundreds.
const NAMES_MOST: usize = 4096;
/// Incarnations of one name that are remembered at most, among those heard and among those departed.
const INCARNATIONS_MOST: usize = 8;

/// Faults that tests plant to see that they are found. All off in service.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetFaults {
    /// A departure concerns the name, whichever incarnation said it.
    pub departs_by_name: bool,
    /// A departure is not remembered: an older word brings the data plane back.
    pub forgets_departures: bool,
}

#[derive(Debug)]
struct Incarnation {
    number: u64,
    /// When it was last heard, or when it departed.
    at: Millis,
}

/// All incarnations of one name.
#[derive(Debug, Default)]
struct Known {
    heard: Vec<Incarnation>,
    departed: Vec<Incarnation>,
    /// Since when any incarnation has counted without a break.
    present_since: Millis,
    /// By how many it divides its slices at the least, as it was told while it was heard; nothing if that is not known.
    divisor: Option<u32>,
}

/// The data planes that any process of control has heard.
#[derive(Debug, Default)]
pub struct Fleet {
    known: BTreeMap<String, Known>,
    /// By how many data planes were told lately to divide their slices, and since when.
    divisors: VecDeque<(Millis, u32)>,
    faults: FleetFaults,
}

impl Fleet {
    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: FleetFaults) {
        self.faults = faults;
    }

    /// A data plane was heard, here or by another process. One that has departed stays so.
    pub fn record_contact(&mut self, now: Millis, name: &str, incarnation: u64) {
        let Some(known) = self.known_or_new(name) else { return };
        if known.has_departed(incarnation) {
            return;
        }
        if !known.is_present() {
            known.present_since = now;
        }
        let present_since = known.present_since;
        let divisor = self.least_divisor(present_since);
        let Some(known) = self.known_or_new(name) else { return };
        known.divisor = divisor;
        keep_latest(&mut known.heard, incarnation, now);
    }

    /// Data planes are told from now on to divide their slices by so many.
    pub fn set_slice_divisor(&mut self, now: Millis, divisor: u32) {
        self.divisors.push_back((now, divisor));
        // The newest one of before the span was in force at its beginning.
        while self.divisors.get(1).is_some_and(|(since, _)| since + HEARSAY_SPAN <= now) {
            self.divisors.pop_front();
        }
    }

    /// The data planes that may divide their slices by fewer than these: those that were last heard when the fleet was
    /// smaller. While one is heard, it is told of a larger fleet in time.
    pub fn oversized_slices(&self, present: u32) -> Vec<OversizedSlice> {
        let wide = |(name, known): (&String, &Known)| {
            let divisor = known.divisor.filter(|divisor| *divisor < present && known.is_present())?;
            Some(OversizedSlice { gateway: name.clone(), divisor })
        };
        self.known.iter().filter_map(wide).collect()
    }

    /// The least that was in force lately, but not before that time.
    fn least_divisor(&self, not_before: Millis) -> Option<u32> {
        let ends = self.divisors.iter().skip(1).map(|(since, _)| *since).chain([Millis::MAX]);
        let in_force = self.divisors.iter().zip(ends).filter(|(_, end)| *end > not_before);
        in_force.map(|((_, divisor), _)| *divisor).min()
    }

    /// An incarnation said itself, so long ago, that it has ended: it spends nothing more. Whether that is news here.
    pub fn record_departure(&mut self, now: Millis, departure: &Departure) -> bool {
        let faults = self.faults;
        let Some(known) = self.known_or_new(&departure.name) else { return false };
        if known.has_departed(departure.incarnation) {
            return false;
        }
        let before = known.heard.len();
        known.heard.retain(|heard| heard.number != departure.incarnation && !faults.departs_by_name);
        if faults.forgets_departures {
            return known.heard.len() != before;
        }
        keep_latest(&mut known.departed, departure.incarnation, now.saturating_sub(departure.ago_ms));
        true
    }

    /// Whether this incarnation has said that it ended.
    pub fn has_departed(&self, name: &str, incarnation: u64) -> bool {
        self.known.get(name).is_some_and(|known| known.has_departed(incarnation))
    }

    /// Whether any incarnation of this name counts.
    pub fn is_present(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(Known::is_present)
    }

    /// The departures that are remembered, for other processes.
    pub fn departures(&self, now: Millis) -> Vec<Departure> {
        let of_name = |(name, known): (&String, &Known)| -> Vec<Departure> {
            let departed = |one: &Incarnation| Departure {
                name: name.clone(),
                incarnation: one.number,
                ago_ms: now.saturating_sub(one.at),
            };
            known.departed.iter().map(departed).collect()
        };
        self.known.iter().flat_map(of_name).collect()
    }

    /// The names of which nobody counts since all that were there have departed.
    pub fn departed_names(&self) -> impl Iterator<Item = &str> {
        let departed =
            self.known.iter().filter(|(_, known)| !known.is_present() && !known.departed.is_empty());
        departed.map(|(name, _)| name.as_str())
    }

    /// Forgets those of which nothing was heard for long; whether any was.
    pub fn sweep(&mut self, now: Millis) -> bool {
        let before = self.size();
        for known in self.known.values_mut() {
            known.heard.retain(|one| now < one.at + SILENT_DATA_PLANE_TIMEOUT_MS);
            known.departed.retain(|one| now < one.at + DEPARTURE_REMEMBERED);
        }
        self.known.retain(|_, known| known.is_present() || !known.departed.is_empty());
        self.size() != before
    }

    /// How many there are: those that may spend anything. Several incarnations of one name are one, since a machine
    /// starts the next only when the one before has ended.
    pub fn size(&self) -> u32 {
        self.known.values().filter(|known| known.is_present()).count() as u32
    }

    /// How many there are or were within a span, those that have departed among them: a fleet that is started anew one
    /// by one does not shrink by this figure.
    pub fn size_within(&self, now: Millis, span: Millis) -> u32 {
        self.known.values().filter(|known| known.was_present_within(now, span)).count() as u32
    }

    /// The place of one by name among those that [`Fleet::size_within`] counts.
    pub fn index_within(&self, now: Millis, span: Millis, name: &str) -> u32 {
        let before = self.known.iter().take_while(|(other, _)| other.as_str() < name);
        before.filter(|(_, known)| known.was_present_within(now, span)).count() as u32
    }

    /// Names and incarnations of those that count, by name; of several incarnations the one heard last.
    pub fn incarnations(&self) -> impl Iterator<Item = (&str, u64)> {
        let latest = |known: &Known| known.heard.iter().max_by_key(|one| one.at).map(|one| one.number);
        self.known.iter().filter_map(move |(name, known)| Some((name.as_str(), latest(known)?)))
    }

    /// Names of those that count.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.incarnations().map(|(name, _)| name)
    }

    fn known_or_new(&mut self, name: &str) -> Option<&mut Known> {
        if !self.known.contains_key(name) && self.known.len() >= NAMES_MOST {
            return None;
        }
        Some(self.known.entry(name.to_owned()).or_default())
    }
}

impl Known {
    fn is_present(&self) -> bool {
        !self.heard.is_empty()
    }

    fn has_departed(&self, incarnation: u64) -> bool {
        self.departed.iter().any(|one| one.number == incarnation)
    }

    fn was_present_within(&self, now: Millis, span: Millis) -> bool {
        self.is_present() || self.departed.iter().any(|one| now < one.at + span)
    }
}

/// Notes the time of an incarnation; where there are too many, the one of the longest ago makes room.
fn keep_latest(incarnations: &mut Vec<Incarnation>, number: u64, at: Millis) {
    if let Some(known) = incarnations.iter_mut().find(|one| one.number == number) {
        known.at = known.at.max(at);
        return;
    }
    if incarnations.len() >= INCARNATIONS_MOST
        && let Some(oldest) = (0..incarnations.len()).min_by_key(|place| incarnations[*place].at)
    {
        incarnations.swap_remove(oldest);
    }
    incarnations.push(Incarnation { number, at });
}
