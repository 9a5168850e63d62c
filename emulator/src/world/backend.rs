//! One backend: cores shared by the requests in work, a waiting line, connections, and a cold start. Work is in
//! core microseconds. It does not know the network; the world tells it when something has arrived.

use crate::draw::{Machine, Micros};
use std::collections::VecDeque;

/// An attempt as a backend sees it: the number of the try and of its attempt.
pub type Job = (u32, u32);

/// Whether its machine can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// It gives no sign.
    Silent,
    /// Its process is gone: connections are refused.
    Down,
}

/// What became of an attempt that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is in work or waits.
    In,
    /// The waiting line is full.
    Full,
}

/// One backend.
#[derive(Debug)]
pub struct Server {
    /// Whether it runs.
    pub life: Life,
    /// It finishes what it holds and takes nothing new.
    pub draining: bool,
    /// When it last started; `None`: before the day.
    pub started: Option<Micros>,
    /// Open connections.
    pub connections: usize,
    /// The factor that a trouble puts on its work.
    pub slowness: f64,
    /// The share of requests that a trouble has it fail at once.
    pub failing: f64,
    speed: f64,
    /// Work that each running request has had since the beginning, and when that was.
    had: f64,
    at: Micros,
    /// Running requests, with the value of `had` at which each is done.
    running: Vec<(f64, Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    /// Raised with each change: a completion told for an older one is void.
    pub epoch: u64,
}

impl Server {
    /// One that has been running for long.
    pub fn new(speed: f64) -> Self {
        Self {
            life: Life::Up,
            draining: false,
            started: None,
            connections: 0,
            slowness: 1.0,
            failing: 0.0,
            speed,
            had: 0.0,
            at: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            epoch: 0,
        }
    }

    /// One that starts now, cold.
    pub fn restarted(speed: f64, now: Micros, epoch: u64) -> Self {
        Self { started: Some(now), at: now, epoch, ..Self::new(speed) }
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests that wait.
    pub fn line(&self) -> usize {
        self.waiting.len()
    }

    /// The share of its capacity that it has by now: it rises evenly from its start.
    pub fn warmth(&self, now: Micros, machine: &Machine) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now.saturating_sub(started) as f64 / machine.cold.max(1) as f64).min(1.0);
        machine.cold_share + (1.0 - machine.cold_share) * age
    }

    /// The work it can do in a microsecond now, by cores, warmth and connections.
    pub fn capacity(&self, now: Micros, machine: &Machine) -> f64 {
        let table = machine.full_table_tax * self.connections as f64 / machine.connections.max(1) as f64;
        self.speed * self.warmth(now, machine) * (1.0 - table.min(1.0)).max(0.05)
    }

    /// The work that each running request gets in a microsecond.
    fn pace(&self, now: Micros, machine: &Machine) -> f64 {
        let crowd = (self.held() as f64 - machine.knee).max(0.0);
        let all = self.capacity(now, machine) / (1.0 + machine.thrash * crowd) / self.slowness;
        all / (self.running.len() as f64).max(machine.cores)
    }

    /// Works until now.
    pub fn advance(&mut self, now: Micros, machine: &Machine) {
        if self.life == Life::Up && !self.running.is_empty() {
            self.had += self.pace(self.at, machine) * now.saturating_sub(self.at) as f64;
        }
        self.at = self.at.max(now);
    }

    /// When something is to be looked at next: the first completion, or sooner while its pace changes by itself.
    pub fn next(&self, now: Micros, machine: &Machine) -> Option<Micros> {
        let first = self.running.iter().map(|(done, _, _)| *done).min_by(f64::total_cmp)?;
        if self.life != Life::Up {
            return None;
        }
        let left = (first - self.had).max(0.0) / self.pace(now, machine).max(1e-9);
        let cold = self.warmth(now, machine) < 1.0;
        let longest = if cold { 100_000.0 } else { 1e10 };
        Some(now + (left.ceil().min(longest) as Micros).max(1))
    }

    /// An attempt has arrived whole.
    pub fn take(&mut self, job: Job, work: f64, machine: &Machine) -> Taken {
        if self.running.len() < machine.slots {
            self.running.push((self.had + work, job, work));
        } else if self.waiting.len() < machine.line {
            self.waiting.push_back((job, work));
        } else {
            return Taken::Full;
        }
        Taken::In
    }

    /// Work that nobody asked for in particular: handshakes and probes slow the others down.
    pub fn burden(&mut self, work: f64) {
        let share = work / (self.running.len() as f64).max(1.0);
        self.running.iter_mut().for_each(|(done, _, _)| *done += share);
    }

    /// Takes out one request that is done by now, if there is one.
    pub fn finished(&mut self, machine: &Machine) -> Option<(Job, f64)> {
        let at = self.running.iter().position(|(done, _, _)| *done <= self.had + 1e-6)?;
        let (_, job, work) = self.running.remove(at);
        self.fill(machine);
        Some((job, work))
    }

    fn fill(&mut self, machine: &Machine) {
        while self.running.len() < machine.slots {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            self.running.push((self.had + work, job, work));
        }
    }

    /// Nobody waits for this attempt any more. Gives the work that it had had, once it holds it no longer.
    pub fn cancel(&mut self, job: Job, machine: &Machine) -> Option<f64> {
        if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == job) {
            self.waiting.remove(at);
            return Some(0.0);
        }
        let at = self.running.iter().position(|(_, running, _)| *running == job)?;
        if !machine.stops_running_work {
            return None;
        }
        let (done, _, work) = self.running.remove(at);
        self.fill(machine);
        Some((work - (done - self.had)).max(0.0))
    }

    /// Its process or machine is gone: whatever it held is lost. Gives what that was.
    pub fn lose_all(&mut self) -> Vec<Job> {
        let running = self.running.drain(..).map(|(_, job, _)| job);
        let all = running.chain(self.waiting.drain(..).map(|(job, _)| job)).collect();
        self.connections = 0;
        all
    }
}
