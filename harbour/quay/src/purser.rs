//! The lease cache of this gateway at work: asks for blocks, has requests wait for them, and tells what the cache says.

use crate::{Admission, Asked};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tally::{Cache, Draw, Grant, Quota, Verdict};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// What a request that waits for a block is told.
type Word = Result<(), Duration>;

/// Runs the lease cache.
pub struct Purser {
    cache: RefCell<Cache>,
    began: Instant,
    requests: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Word>>>,
    /// Sends a draw to the holder of the counts; false when it can't be sent.
    send: Box<dyn Fn(Draw) -> bool>,
    stir: Notify,
}

impl Purser {
    /// A cache that knows no tenants yet.
    pub fn start(seed: u64, send: Box<dyn Fn(Draw) -> bool>) -> Rc<Self> {
        let purser = Rc::new(Self {
            cache: RefCell::new(Cache::new(seed)),
            began: Instant::now(),
            requests: Cell::new(0),
            waiting: RefCell::default(),
            send,
            stir: Notify::new(),
        });
        tokio::task::spawn_local(Self::run(Rc::downgrade(&purser)));
        purser
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// The quotas of a newer configuration.
    pub fn quotas(&self, quotas: Vec<Quota>) {
        self.cache.borrow_mut().quotas(self.now(), quotas);
        self.stir.notify_one();
    }

    /// How many gateways there are, by a word of control that is of this moment or not.
    pub fn fleet(&self, gateways: u32, fresh: bool) {
        let mut cache = self.cache.borrow_mut();
        cache.fleet(gateways);
        if fresh {
            cache.word(self.now());
        }
    }

    /// The holder answered.
    pub fn granted(&self, grant: Grant) {
        let mut verdicts = Vec::new();
        self.cache.borrow_mut().granted(self.now(), grant, &mut verdicts);
        self.tell(verdicts);
        self.draw();
    }

    /// A draw gets no answer.
    pub fn unanswered(&self, number: u64) {
        self.cache.borrow_mut().silent(self.now(), number);
        self.stir.notify_one();
    }

    fn tell(&self, verdicts: Vec<(u64, Verdict)>) {
        for (request, verdict) in verdicts {
            let Some(word) = self.waiting.borrow_mut().remove(&request) else { continue };
            let verdict = match verdict {
                Verdict::Granted => Ok(()),
                Verdict::Refused { retry_after } => Err(span(retry_after)),
                Verdict::Wait { .. } => {
                    self.waiting.borrow_mut().insert(request, word);
                    continue;
                }
            };
            // Its client may have left meanwhile: what it was granted goes back.
            let _ = word.send(verdict);
        }
    }

    fn draw(&self) {
        let draw = self.cache.borrow_mut().draw(self.now());
        if let Some(draw) = draw {
            let number = draw.number;
            if !(self.send)(draw) {
                self.unanswered(number);
            }
        }
    }

    async fn run(me: Weak<Self>) {
        loop {
            let Some(purser) = me.upgrade() else { return };
            let mut verdicts = Vec::new();
            purser.cache.borrow_mut().tick(purser.now(), &mut verdicts);
            purser.tell(verdicts);
            purser.draw();
            let due = purser.cache.borrow().next_due();
            let due = due.map(|due| purser.began + span(due.max(purser.now() + 1.0)));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_millis(500));
            tokio::select! {
                () = sleep_until(due) => {}
                () = purser.stir.notified() => {}
            }
        }
    }
}

impl Admission for Purser {
    fn ask(&self, tenant: &str, wait_at_most: Duration) -> Asked {
        let (now, request) = (self.now(), self.requests.get());
        self.requests.set(request + 1);
        let most = wait_at_most.as_secs_f64() * 1000.0;
        let verdict = self.cache.borrow_mut().ask(now, request, tenant, most);
        let asked = match verdict {
            Verdict::Granted => Asked::Granted,
            Verdict::Refused { retry_after } => Asked::Refused { retry_after: span(retry_after) },
            Verdict::Wait { .. } => {
                let (word, told) = oneshot::channel();
                self.waiting.borrow_mut().insert(request, word);
                Asked::Wait(told)
            }
        };
        // Blocks are renewed before they run dry, and who waits needs one now.
        self.draw();
        if matches!(asked, Asked::Wait(_)) {
            self.stir.notify_one();
        }
        asked
    }

    fn give_back(&self, tenant: &str) {
        self.cache.borrow_mut().give_back(self.now(), tenant);
    }
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}
