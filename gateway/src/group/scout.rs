//! Words about backends: what any gateway finds out of one, the scout of its zone tells all others, who are told of
//! it as an event to the decisions. A scout is a duty: one gateway of the zone has it at a time, and every word
//! carries its fence.
//!
//! Nothing is decided here. Bounds: each gateway reports on a backend at most once a second and at most
//! [`MOST_REPORTS`] times a second in all; a scout writes one record of at most [`MOST_WORDS`] words, five times a
//! second at the most, and only when there are new ones.

use super::Group;
use doorcourse::Name;
use fennelscale_group::lease::SeenFences;
use fennelscale_group::member::MemberRequest;
use fennelscale_group::voter::{GroupResponse, View};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A duty's name is this and the zone's.
const DUTY: &str = "scout:";
/// Reports of one gateway a second, and the least time between two on one backend.
const MOST_REPORTS: u32 = 20;
const AGAIN: Duration = Duration::from_secs(1);
/// Words in one record.
const MOST_WORDS: usize = 64;
/// How often a scout looks for reports.
const LOOKS: Duration = Duration::from_millis(200);

/// The duty of a zone's scout.
pub fn duty(zone: &str) -> String {
    format!("{DUTY}{zone}")
}

/// A word about one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Word {
    backend: String,
    down: bool,
}

/// What a record holds: the number of its last word, and the last ones in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Words {
    last: u64,
    words: VecDeque<Word>,
}

impl Words {
    fn add(&mut self, word: Word) {
        self.last += 1;
        self.words.push_back(word);
        if self.words.len() > MOST_WORDS {
            self.words.pop_front();
        }
    }

    /// The words after a number.
    fn after(&self, number: u64) -> impl Iterator<Item = &Word> {
        let new = (self.last - number.min(self.last)) as usize;
        self.words.iter().skip(self.words.len().saturating_sub(new))
    }
}

/// This gateway's ears and mouth.
pub struct Scout {
    group: Rc<Group>,
    zone: String,
    /// What the decisions are to be told.
    tell: Box<dyn Fn(Name, bool)>,
    /// When each backend was last reported on, and as what.
    reported: RefCell<BTreeMap<Name, (Instant, bool)>>,
    allowed: Cell<u32>,
    heard: RefCell<BTreeMap<String, (u64, u64)>>,
    fences: RefCell<SeenFences>,
}

impl Scout {
    /// Starts listening and, whenever this gateway has its zone's duty, telling.
    pub fn start(group: Rc<Group>, zone: &str, tell: impl Fn(Name, bool) + 'static) -> Rc<Self> {
        let scout = Rc::new(Self {
            group,
            zone: zone.into(),
            tell: Box::new(tell),
            reported: RefCell::default(),
            allowed: Cell::new(MOST_REPORTS),
            heard: RefCell::default(),
            fences: RefCell::default(),
        });
        tokio::task::spawn_local(scout.clone().hear());
        tokio::task::spawn_local(scout.clone().scout());
        scout
    }

    /// The decisions found something out of a backend.
    pub fn judged(&self, backend: Name, zone: &str, down: bool) {
        let now = Instant::now();
        let mut reported = self.reported.borrow_mut();
        reported.retain(|_, (at, _)| now < *at + AGAIN);
        let known = reported.get(&backend).is_some_and(|(_, as_what)| *as_what == down);
        if known || self.allowed.get() == 0 {
            return;
        }
        reported.insert(backend.clone(), (now, down));
        self.allowed.set(self.allowed.get() - 1);
        self.group.told.update(|(words, reports)| (words, reports + 1));
        let Ok(note) = postcard::to_stdvec(&Word { backend: backend.to_string(), down }) else { return };
        let (group, duty) = (self.group.clone(), duty(zone));
        tokio::task::spawn_local(async move { group.order(MemberRequest::SendNote(duty, note)).await });
    }

    /// Tells the decisions what scouts say.
    async fn hear(self: Rc<Self>) {
        let handle = loop {
            match self.group.handle() {
                Some(handle) => break handle,
                None => sleep(LOOKS).await,
            }
        };
        let mut news = handle.subscribe();
        drop(handle);
        let mut first = true;
        while news.changed().await.is_ok() {
            let view = news.borrow_and_update().view.clone();
            if view.revision > 0 {
                self.take(&view, std::mem::take(&mut first));
            }
        }
    }

    /// The words in a view that are new; what the first one holds may be long over.
    fn take(&self, view: &View, first: bool) {
        for (key, (duty, fence, value)) in view.records.iter().filter(|(key, _)| key.starts_with(DUTY)) {
            // A record that outlived its scout says nothing more; one under an older fence never counts.
            if !self.fences.borrow_mut().accept(duty, *fence) {
                continue;
            }
            let Ok(words) = postcard::from_bytes::<Words>(value) else { continue };
            let mut heard = self.heard.borrow_mut();
            let (of, number) =
                heard.entry(key.clone()).or_insert((*fence, if first { words.last } else { 0 }));
            let after = if of == fence { *number } else { 0 };
            (*of, *number) = (*fence, words.last);
            let new: Vec<Word> = words.after(after).cloned().collect();
            drop(heard);
            self.group.told.update(|(words, reports)| (words + new.len() as u64, reports));
            new.into_iter().for_each(|word| (self.tell)(word.backend.into(), word.down));
        }
    }

    /// Passes on what comes in, while this gateway has the duty.
    async fn scout(self: Rc<Self>) {
        let duty = duty(&self.zone);
        let mut words = Words::default();
        let mut under = 0;
        let mut looks = 0;
        loop {
            sleep(LOOKS).await;
            looks += 1;
            if looks % (1000 / LOOKS.as_millis()) == 0 {
                self.allowed.set(MOST_REPORTS);
            }
            let Some(fence) = self.group.guard(&duty).and_then(|guard| guard.valid_fence()) else { continue };
            if std::mem::replace(&mut under, fence) != fence {
                words = Words::default();
            }
            let GroupResponse::Notes(notes) =
                self.group.order(MemberRequest::CollectNotes(duty.clone())).await
            else {
                continue;
            };
            let before = words.last;
            for note in &notes {
                // The last word on a backend is the one that counts.
                if let Ok(word) = postcard::from_bytes::<Word>(note) {
                    words.add(word);
                }
            }
            if words.last > before
                && let Ok(value) = postcard::to_stdvec(&words)
            {
                // Lost, it is made up for by the next one: reports go on for as long as there is a reason.
                self.group.order(MemberRequest::WriteRecord(duty.clone(), duty.clone(), value)).await;
            }
        }
    }
}
