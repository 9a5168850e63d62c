//! A simulated backend: cores shared by the running requests, a wait queue, connections, and a cold start. Work is
//! measured in core microseconds. The backend does not model the network; the world reports arrivals.

use crate::draw::{Machine, Micros};
use std::collections::VecDeque;

/// An attempt at a backend: the number of the try, and the number of the attempt within the try.
pub type Job = (u32, u32);

/// Whether a backend's machine can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The backend runs.
    Up,
    /// The backend does not respond.
    Silent,
    /// The backend's process has ended: connections are refused.
    Down,
}

/// Whether an arriving attempt was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The attempt runs or waits in the queue.
    Accepted,
    /// The wait queue is full.
    QueueFull,
}

/// One simulated backend.
#[derive(Debug)]
pub struct Server {
    /// Whether the backend runs.
    pub state: ProcessState,
    /// Whether the backend drains: it finishes its requests and accepts no new ones.
    pub draining: bool,
    /// When the backend last started; `None` if that was before the day.
    pub started: Option<Micros>,
    /// Open connections.
    pub connections: usize,
    /// The factor by which a trouble increases the work of requests.
    pub slowness: f64,
    /// The share of requests that a trouble makes fail at once.
    pub failing: f64,
    speed: f64,
    /// Cumulative work done for each running request, and the time up to which it is computed.
    progress: f64,
    at: Micros,
    /// Running requests, each with the value of `progress` at which the request completes.
    running: Vec<(f64, Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    /// Incremented with each change of the backend. The world ignores completions scheduled for an older epoch.
    pub epoch: u64,
}

impl Server {
    /// Creates a backend that has been running long enough to be warm.
    pub fn new(speed: f64) -> Self {
        Self {
            state: ProcessState::Up,
            draining: false,
            started: None,
            connections: 0,
            slowness: 1.0,
            failing: 0.0,
            speed,
            progress: 0.0,
            at: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            epoch: 0,
        }
    }

    /// Creates a cold backend that starts now.
    pub fn restarted(speed: f64, now: Micros, epoch: u64) -> Self {
        Self { started: Some(now), at: now, epoch, ..Self::new(speed) }
    }

    /// The number of requests that the backend holds, running and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The number of requests in the wait queue.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// The share of the full capacity that is available now; it rises linearly after the start.
    pub fn warm_share(&self, now: Micros, machine: &Machine) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now.saturating_sub(started) as f64 / machine.cold.max(1) as f64).min(1.0);
        machine.cold_share + (1.0 - machine.cold_share) * age
    }

    /// The current capacity in work per microsecond, given the cores, the warm-up and the open connections.
    pub fn capacity(&self, now: Micros, machine: &Machine) -> f64 {
        let connection_cost =
            machine.full_table_tax * self.connections as f64 / machine.connections.max(1) as f64;
        self.speed * self.warm_share(now, machine) * (1.0 - connection_cost.min(1.0)).max(0.05)
    }

    /// The work that each running request receives per microsecond.
    fn work_rate(&self, now: Micros, machine: &Machine) -> f64 {
        let overload = (self.held() as f64 - machine.knee).max(0.0);
        let capacity = self.capacity(now, machine) / (1.0 + machine.thrash * overload) / self.slowness;
        capacity / (self.running.len() as f64).max(machine.cores)
    }

    /// Advances the running requests to the current time.
    pub fn advance(&mut self, now: Micros, machine: &Machine) {
        if self.state == ProcessState::Up && !self.running.is_empty() {
            self.progress += self.work_rate(self.at, machine) * now.saturating_sub(self.at) as f64;
        }
        self.at = self.at.max(now);
    }

    /// The time of the next update: the first completion, or earlier while the capacity still rises after a cold
    /// start.
    pub fn next_update(&self, now: Micros, machine: &Machine) -> Option<Micros> {
        let first = self.running.iter().map(|(completes_at, _, _)| *completes_at).min_by(f64::total_cmp)?;
        if self.state != ProcessState::Up {
            return None;
        }
        let remaining = (first - self.progress).max(0.0) / self.work_rate(now, machine).max(1e-9);
        let cold = self.warm_share(now, machine) < 1.0;
        let max_delay = if cold { 100_000.0 } else { 1e10 };
        Some(now + (remaining.ceil().min(max_delay) as Micros).max(1))
    }

    /// Accepts an arriving attempt, or rejects it when the queue is full.
    pub fn accept(&mut self, job: Job, work: f64, machine: &Machine) -> Acceptance {
        if self.running.len() < machine.slots {
            self.running.push((self.progress + work, job, work));
        } else if self.waiting.len() < machine.line {
            self.waiting.push_back((job, work));
        } else {
            return Acceptance::QueueFull;
        }
        Acceptance::Accepted
    }

    /// Adds work outside of requests (handshakes and probes), which slows down the running requests.
    pub fn add_load(&mut self, work: f64) {
        let share = work / (self.running.len() as f64).max(1.0);
        self.running.iter_mut().for_each(|(completes_at, _, _)| *completes_at += share);
    }

    /// Removes and returns one request that has completed by now, if any.
    pub fn take_completed(&mut self, machine: &Machine) -> Option<(Job, f64)> {
        let at =
            self.running.iter().position(|(completes_at, _, _)| *completes_at <= self.progress + 1e-6)?;
        let (_, job, work) = self.running.remove(at);
        self.start_waiting(machine);
        Some((job, work))
    }

    fn start_waiting(&mut self, machine: &Machine) {
        while self.running.len() < machine.slots {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            self.running.push((self.progress + work, job, work));
        }
    }

    /// Cancels an attempt. Returns the work already done for the attempt, or `None` if the backend continues the work.
    pub fn cancel(&mut self, job: Job, machine: &Machine) -> Option<f64> {
        if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == job) {
            self.waiting.remove(at);
            return Some(0.0);
        }
        let at = self.running.iter().position(|(_, running, _)| *running == job)?;
        if !machine.stops_running_work {
            return None;
        }
        let (completes_at, _, work) = self.running.remove(at);
        self.start_waiting(machine);
        Some((work - (completes_at - self.progress)).max(0.0))
    }

    /// Drops all requests because the process or machine has failed, and returns them.
    pub fn drop_all(&mut self) -> Vec<Job> {
        let running = self.running.drain(..).map(|(_, job, _)| job);
        let jobs = running.chain(self.waiting.drain(..).map(|(job, _)| job)).collect();
        self.connections = 0;
        jobs
    }
}
