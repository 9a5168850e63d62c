//! A drawn fleet: control planes that hold counts, gateways that draw on them, links and machines that fail, and clients.
//! Time is the world's own; the log is played by a lease and elections as its state machine would have them.

#![allow(dead_code)]

use quota::{
    Epoch, Faults, Grant, Handover, HolderAssigner, HolderAssignment, LeaseCache, LeaseRequest,
    MAX_DEPUTY_LEASE, Quota, QuotaService, Verdict,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

pub mod judge;
pub mod membership;
mod troubles;
use judge::Judge;

const LOG_LEASE: f64 = 230.0;
const ELECTION: f64 = 320.0;
const HEARTBEAT: f64 = 350.0;
const SIGN: f64 = 800.0;
const DRAW_LOST: f64 = 400.0;
const SILENT: f64 = 1300.0;
const RENEW: f64 = 70.0;

/// Random numbers (splitmix64).
pub struct Lots(pub u64);

impl Lots {
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, most: usize) -> usize {
        ((self.unit() * most as f64) as usize).min(most.saturating_sub(1))
    }

    fn span(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// A machine: `M` serves control, `Q` carries requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Who {
    M(usize),
    Q(usize),
}

#[derive(Debug, Clone)]
enum Said {
    LeaseRequest(LeaseRequest),
    Grant(Grant),
    NotHolder(u64),
    Ask { number: u64, answered: u64, draws: f64 },
    Lease { number: u64, assignment: HolderAssignment, ends_in: f64 },
    HolderAssignment(HolderAssignment),
    Handover(Handover),
    Heartbeat { assignment: HolderAssignment, fresh: bool, gateways: Option<u32> },
    Here(Epoch),
    Word(membership::Word),
}

#[derive(Debug, Clone)]
enum Event {
    Arrives { from: Who, from_life: u64, to: Who, life: u64, said: Said },
    Ticks(Who),
    Starts(usize),
    Sign(usize),
    Pulses(usize),
    Request(usize),
}

struct Due {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

struct ControlPlane {
    quota_service: QuotaService,
    placer: Option<HolderAssigner>,
    known: HolderAssignment,
    asks: VecDeque<(u64, f64)>,
    answered: u64,
    next_ask: f64,
    next_round: f64,
    draws: (f64, u64, f64),
    life: u64,
    up: bool,
}

struct Gateway {
    cache: LeaseCache,
    follows: usize,
    heard: f64,
    drawn: BTreeMap<u64, f64>,
    waits: HashMap<u64, (usize, f64)>,
    life: u64,
    up: bool,
}

/// What a tenant may and what it does.
#[derive(Clone, Debug)]
pub struct Load {
    pub quota: Quota,
    /// Its clients ask this often, of the quota's rate.
    pub asks: f64,
    /// From when to when, and how many times as often; again and again with this period.
    pub hot: (f64, f64, f64),
    pub every: f64,
}

impl Load {
    pub fn new(name: usize, rate: f64, burst: f64, asks: f64) -> Self {
        let quota = Quota { tenant: format!("tenant-{name}"), rate_per_s: rate, burst };
        Self { quota, asks, hot: (0.0, 0.0, 1.0), every: f64::INFINITY }
    }
}

pub struct World {
    pub now: f64,
    pub lots: Lots,
    /// The clients' own numbers: they ask the same whatever else is drawn.
    clients: Lots,
    pub judge: Judge,
    loads: Vec<Load>,
    control_planes: Vec<ControlPlane>,
    gateways: Vec<Gateway>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    requests: u64,
    frozen: BTreeMap<Who, f64>,
    cuts: BTreeSet<(Who, Who)>,
    pub leader: Option<usize>,
    term: u64,
    lease: f64,
    election: f64,
    faults: Faults,
    spread: bool,
    /// Draws a second that one holder bears.
    bears: f64,
    /// Requests of a tenant come to this share of the gateways only.
    pub reach: f64,
    /// Requests wait at most this long for a block.
    pub patience: f64,
    /// Who knows of which gateways, where they come and go.
    membership: Option<membership::Membership>,
}

impl World {
    pub fn new(
        seed: u64, control_planes: usize, gateways: usize, loads: Vec<Load>, bears: Option<f64>,
        faults: Faults,
    ) -> Self {
        let judge = Judge::new(&loads);
        let quotas: Vec<Quota> = loads.iter().map(|load| load.quota.clone()).collect();
        let mut world = Self {
            now: 0.0,
            lots: Lots(seed),
            clients: Lots(seed ^ 0x5eed),
            judge,
            loads,
            control_planes: Vec::new(),
            gateways: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            requests: 0,
            frozen: BTreeMap::new(),
            cuts: BTreeSet::new(),
            leader: None,
            term: 0,
            lease: 0.0,
            election: 0.0,
            faults,
            spread: bears.is_some(),
            bears: bears.unwrap_or(f64::INFINITY),
            reach: 1.0,
            patience: 72.0,
            membership: None,
        };
        for place in 0..control_planes {
            let control_plane = world.control_plane(place, 0, &quotas, gateways);
            world.control_planes.push(control_plane);
            let (tick, heartbeat) = (world.lots.unit() * 50.0, world.lots.unit() * HEARTBEAT);
            world.at(tick, Event::Ticks(Who::M(place)));
            world.at(heartbeat, Event::Pulses(place));
        }
        for place in 0..gateways {
            let gateway = world.gateway(place, 0, &quotas, gateways);
            world.gateways.push(gateway);
            let (tick, sign) = (world.lots.unit() * 10.0, world.lots.unit() * SIGN);
            world.at(tick, Event::Ticks(Who::Q(place)));
            world.at(sign, Event::Sign(place));
        }
        for tenant in 0..world.loads.len() {
            world.next_request(tenant, 2000.0);
        }
        world
    }

    fn control_plane(&mut self, place: usize, life: u64, quotas: &[Quota], gateways: usize) -> ControlPlane {
        let mut quota_service = QuotaService::new(&name(place));
        quota_service.inject_faults(self.faults);
        quota_service.set_fleet_size(self.now, gateways as u32);
        quota_service.set_quotas(self.now, quotas.to_vec());
        ControlPlane {
            quota_service,
            placer: None,
            known: HolderAssignment::default(),
            asks: VecDeque::new(),
            answered: 0,
            next_ask: 0.0,
            next_round: 0.0,
            draws: (self.now, 0, 0.0),
            life,
            up: true,
        }
    }

    fn gateway(&mut self, place: usize, life: u64, quotas: &[Quota], gateways: usize) -> Gateway {
        let mut cache = LeaseCache::new(place as u64 + 77 + life * 1000);
        cache.set_quotas(self.now, quotas.to_vec());
        cache.set_fleet_size(gateways as u32);
        let follows = place % self.control_planes.len().max(1);
        let (drawn, waits) = (BTreeMap::new(), HashMap::new());
        Gateway { cache, follows, heard: self.now, drawn, waits, life, up: true }
    }

    fn quotas(&self) -> Vec<Quota> {
        self.loads.iter().map(|load| load.quota.clone()).collect()
    }

    fn at(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Due { at, order: self.order, event }));
    }

    fn next_request(&mut self, tenant: usize, from: f64) {
        let Some(load) = self.loads.get(tenant) else { return };
        let (since, rate) = (from % load.every, load.quota.rate_per_s * load.asks / 1000.0);
        let (begins, times) = (load.hot.0, load.hot.2);
        let hot = if (begins..load.hot.1).contains(&since) { times } else { 1.0 };
        let turn = from - since + begins;
        let at = from + self.clients.span(1.0 / (rate * hot).max(1e-9));
        // What is drawn for calmer times ends with them.
        let turns = since < begins && at > turn;
        let at = if turns { turn + self.clients.span(1.0 / (rate * times).max(1e-9)) } else { at };
        self.at(at, Event::Request(tenant));
    }

    fn is_awake(&self, who: Who) -> bool {
        let up = match who {
            Who::M(place) => self.control_planes[place].up,
            Who::Q(place) => self.gateways[place].up,
        };
        up && self.frozen.get(&who).is_none_or(|until| self.now >= *until)
    }

    fn life(&self, who: Who) -> u64 {
        match who {
            Who::M(place) => self.control_planes[place].life,
            Who::Q(place) => self.gateways[place].life,
        }
    }

    pub fn run_until(&mut self, end: f64) -> Result<(), String> {
        while self.queue.peek().is_some_and(|Reverse(due)| due.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            self.play(due.event)?;
        }
        self.now = end;
        Ok(())
    }

    fn play(&mut self, event: Event) -> Result<(), String> {
        let now = self.now;
        match event {
            Event::Arrives { from, from_life, to, life, said } => {
                let frozen = self.frozen.get(&to).copied().filter(|until| now < *until);
                if let Some(until) = frozen {
                    self.at(until, Event::Arrives { from, from_life, to, life, said });
                } else if self.is_awake(to) && self.life(to) == life {
                    self.hear(from, from_life, to, said);
                }
            }
            Event::Starts(place) => self.start(Who::Q(place)),
            Event::Ticks(who) => {
                if self.is_awake(who) {
                    match who {
                        Who::M(place) => self.tick_control_plane(place),
                        Who::Q(place) => self.tick_gateway(place),
                    }
                }
                let pause = if matches!(who, Who::M(_)) { 25.0 } else { 4.0 };
                self.at(now + pause, Event::Ticks(who));
                if who == Who::M(0) {
                    self.play_log();
                    self.single()?;
                }
            }
            Event::Sign(place) => {
                if self.is_awake(Who::Q(place)) {
                    for to in 0..self.control_planes.len() {
                        let assignment = self.assignment_at(place);
                        if assignment.contains(&name(to)) {
                            self.send(Who::Q(place), Who::M(to), Said::Here(assignment.epoch));
                        }
                    }
                    self.says_hello(place);
                }
                self.at(now + SIGN, Event::Sign(place));
            }
            Event::Pulses(place) => {
                self.heartbeat(place);
                self.at(now + HEARTBEAT, Event::Pulses(place));
            }
            Event::Request(tenant) => {
                self.request(tenant);
                self.next_request(tenant, now);
            }
        }
        Ok(())
    }

    /// The log as its own tests prove it: a lease rests on a majority and ends before anyone else is elected.
    fn play_log(&mut self) {
        let now = self.now;
        let reaches = |world: &Self, place: usize| {
            let me = Who::M(place);
            let both = |other: usize| {
                let other = Who::M(other);
                other == me
                    || world.is_awake(other)
                        && !world.cuts.contains(&(me, other))
                        && !world.cuts.contains(&(other, me))
            };
            world.is_awake(me)
                && (0..world.control_planes.len()).filter(|o| both(*o)).count() * 2
                    > world.control_planes.len()
        };
        if let Some(leader) = self.leader
            && reaches(self, leader)
            && now < self.lease + ELECTION - LOG_LEASE
        {
            self.lease = now + LOG_LEASE - 5.0;
            self.election = now + ELECTION + self.lots.unit() * ELECTION;
            let lease = self.lease;
            self.control_planes[leader].quota_service.set_lease(lease);
            return;
        }
        if now >= self.election {
            let able: Vec<usize> =
                (0..self.control_planes.len()).filter(|place| reaches(self, *place)).collect();
            if able.is_empty() {
                return;
            }
            let next = able[self.lots.below(able.len())];
            let first = self.term == 0;
            self.term += 1;
            self.leader = Some(next);
            self.lease = now + LOG_LEASE - 5.0;
            let placer = HolderAssigner::new(&name(next), self.term, now, self.bears);
            let assignment = placer.assignment().clone();
            let lease = self.lease;
            let m = &mut self.control_planes[next];
            m.placer = Some(placer);
            m.quota_service.apply_assignment(now, &assignment, first);
            m.quota_service.set_lease(lease);
            m.known = assignment;
            self.tell(next);
        }
    }

    fn tell(&mut self, leader: usize) {
        let assignment = self.control_planes[leader].known.clone();
        for other in (0..self.control_planes.len()).filter(|other| *other != leader) {
            self.send(Who::M(leader), Who::M(other), Said::HolderAssignment(assignment.clone()));
        }
        self.heartbeat(leader);
    }

    /// No tenant's count is granted from by two.
    fn single(&self) -> Result<(), String> {
        for load in &self.loads {
            let tenant = &load.quota.tenant;
            let holds = |m: &&ControlPlane| m.up && m.quota_service.may_grant_for(self.now, tenant);
            if self.control_planes.iter().filter(holds).count() > 1 {
                return Err(format!("{tenant} is held twice at {:.0} ms", self.now));
            }
        }
        Ok(())
    }

    fn tick_control_plane(&mut self, place: usize) {
        let now = self.now;
        self.tend_membership(place);
        let m = &mut self.control_planes[place];
        if now >= m.draws.0 + 1000.0 {
            m.draws = (now, 0, m.draws.1 as f64 * 1000.0 / (now - m.draws.0));
        }
        if self.leader != Some(place) && m.placer.take().is_some() {
            m.quota_service.resign();
        }
        if let Some(placer) = &mut m.placer {
            if self.spread && now < m.quota_service.lease_until() && placer.update(now, m.draws.2) {
                let assignment = placer.assignment().clone();
                m.known = assignment.clone();
                let told = m.quota_service.apply_assignment(now, &assignment, false);
                self.hand(place, told);
                self.tell(place);
            } else if now >= m.next_round {
                m.next_round = now + 400.0;
                self.tell(place);
            }
            return;
        }
        self.ask(place);
    }

    /// A lease, or an offer to hold counts.
    fn ask(&mut self, place: usize) {
        let (now, me) = (self.now, name(place));
        let m = &mut self.control_planes[place];
        let Some(leader) = self.leader.filter(|_| self.spread && now >= m.next_ask) else { return };
        m.next_ask = now + if m.known.contains(&me) { RENEW } else { 1000.0 };
        let number = m.asks.back().map_or(1, |(number, _)| number + 1);
        m.asks.push_back((number, now));
        while m.asks.len() > 32 {
            m.asks.pop_front();
        }
        let (draws, answered) = (m.draws.2, m.answered);
        self.send(Who::M(place), Who::M(leader), Said::Ask { number, answered, draws });
    }

    fn hand(&mut self, place: usize, told: Vec<(String, Handover)>) {
        for (to, handover) in told {
            let to = (0..self.control_planes.len()).find(|other| name(*other) == to);
            if let Some(to) = to {
                self.send(Who::M(place), Who::M(to), Said::Handover(handover));
            }
        }
    }

    fn take_assignment(&mut self, place: usize, assignment: &HolderAssignment) {
        let now = self.now;
        let m = &mut self.control_planes[place];
        if assignment.epoch <= m.known.epoch {
            return;
        }
        m.known = assignment.clone();
        m.next_ask = 0.0;
        let told = m.quota_service.apply_assignment(now, assignment, false);
        self.hand(place, told);
        self.ask(place);
        self.heartbeat(place);
    }

    fn heartbeat(&mut self, place: usize) {
        if !self.is_awake(Who::M(place)) {
            return;
        }
        let assignment = self.control_planes[place].known.clone();
        let fresh = self.is_current(place);
        let gateways = self.divisor(place);
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].follows == place {
                let heartbeat = Said::Heartbeat { assignment: assignment.clone(), fresh, gateways };
                self.send(Who::M(place), Who::Q(gateway), heartbeat);
            }
        }
    }

    fn assignment_at(&self, place: usize) -> HolderAssignment {
        self.gateways[place].cache.assignment().clone()
    }

    fn send(&mut self, from: Who, to: Who, said: Said) {
        self.send_later(from, to, said, 0.0);
    }

    fn send_later(&mut self, from: Who, to: Who, said: Said, late: f64) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        self.judge.sent(match &said {
            Said::LeaseRequest(draw) => Some(bitcode::encode(draw).len() + 5),
            Said::Grant(grant) => Some(bitcode::encode(grant).len() + 5),
            _ => None,
        });
        let at = self.now + late + 0.7 + self.lots.span(0.8);
        let (from_life, life) = (self.life(from), self.life(to));
        self.at(at, Event::Arrives { from, from_life, to, life, said });
    }

    fn hear(&mut self, from: Who, from_life: u64, to: Who, said: Said) {
        if let Said::Word(word) = said {
            return self.hear_word(from, to, word);
        }
        match (to, from) {
            (Who::M(place), Who::Q(gateway)) => {
                if !self.has_departed(place, gateway, from_life) {
                    self.serve_gateway(place, gateway, said);
                }
            }
            (Who::M(place), Who::M(other)) => self.hear_control_plane(place, other, said),
            (Who::Q(place), _) => self.hear_gateway(place, said),
        }
    }

    fn serve_gateway(&mut self, place: usize, gateway: usize, said: Said) {
        let (now, data_plane) = (self.now, membership::gateway_name(gateway));
        let m = &mut self.control_planes[place];
        match said {
            Said::Here(epoch) => m.quota_service.record_contact(now, &data_plane, epoch),
            Said::LeaseRequest(draw) => {
                m.draws.1 += 1;
                let answer = match m.quota_service.handle_request(now, &data_plane, &draw) {
                    Some(grant) => Said::Grant(grant),
                    None => Said::NotHolder(draw.number),
                };
                if let Said::Grant(grant) = &answer {
                    self.judge.granted(grant);
                }
                self.send(Who::M(place), Who::Q(gateway), answer);
            }
            _ => {}
        }
    }

    fn hear_control_plane(&mut self, place: usize, other: usize, said: Said) {
        let now = self.now;
        match said {
            Said::Ask { number, answered, draws } => {
                let m = &mut self.control_planes[place];
                let lease = m.quota_service.lease_until();
                let Some(placer) = &mut m.placer else { return };
                let member = placer.record_offer(now, &name(other), answered, draws);
                if now < lease {
                    let (assignment, ends_in) =
                        (placer.assignment().clone(), if member { lease - now } else { 0.0 });
                    self.send(Who::M(place), Who::M(other), Said::Lease { number, assignment, ends_in });
                }
            }
            Said::Lease { number, assignment, ends_in } => {
                self.take_assignment(place, &assignment);
                let m = &mut self.control_planes[place];
                m.answered = m.answered.max(number);
                if let Some((_, sent)) = m.asks.iter().find(|(n, _)| *n == number)
                    && m.quota_service.assignment().epoch == assignment.epoch
                {
                    let until = sent + ends_in.min(MAX_DEPUTY_LEASE);
                    let until = until.max(m.quota_service.lease_until());
                    m.quota_service.set_lease(until);
                }
            }
            Said::HolderAssignment(assignment) => self.take_assignment(place, &assignment),
            Said::Handover(handover) => {
                let m = &mut self.control_planes[place];
                if handover.assignment.epoch > m.known.epoch {
                    m.known = handover.assignment.clone();
                }
                m.next_ask = 0.0;
                let told = m.quota_service.accept_handover(now, handover);
                self.hand(place, told);
                self.ask(place);
            }
            _ => {}
        }
    }

    fn hear_gateway(&mut self, place: usize, said: Said) {
        let now = self.now;
        let g = &mut self.gateways[place];
        let mut told = Vec::new();
        match said {
            Said::Heartbeat { assignment, fresh, gateways } => {
                g.heard = now;
                match gateways {
                    Some(gateways) => g.cache.update_fleet_size(now, gateways, fresh),
                    None if fresh => g.cache.record_contact(now),
                    None => {}
                }
                let known = g.cache.assignment().clone();
                g.cache.set_assignment(&assignment);
                let now_known = g.cache.assignment().clone();
                // A new connection says who has come.
                for to in 0..self.control_planes.len() {
                    if now_known.contains(&name(to))
                        && (!known.contains(&name(to)) || known.epoch.term < now_known.epoch.term)
                    {
                        self.send(Who::Q(place), Who::M(to), Said::Here(now_known.epoch));
                    }
                }
            }
            Said::Grant(grant) => {
                g.drawn.remove(&grant.number);
                g.cache.handle_grant(now, grant, &mut told);
            }
            Said::NotHolder(number) => {
                g.drawn.remove(&number);
                g.cache.request_failed(now, number);
            }
            _ => {}
        }
        self.verdicts(place, told);
        self.draw(place);
    }

    fn tick_gateway(&mut self, place: usize) {
        let now = self.now;
        self.tend_leaving(place);
        let control_planes = self.control_planes.len();
        let lot = self.lots.below(control_planes);
        let g = &mut self.gateways[place];
        if now > g.heard + SILENT {
            (g.follows, g.heard) = (lot, now);
        }
        let lost: Vec<u64> =
            g.drawn.iter().filter(|(_, at)| now > **at + DRAW_LOST).map(|(n, _)| *n).collect();
        for number in lost {
            g.drawn.remove(&number);
            g.cache.request_failed(now, number);
        }
        let mut told = Vec::new();
        if g.cache.next_deadline().is_some_and(|due| now >= due) {
            g.cache.tick(now, &mut told);
        }
        self.verdicts(place, told);
        self.draw(place);
    }

    fn draw(&mut self, place: usize) {
        let now = self.now;
        for (to, draw) in self.gateways[place].cache.lease_requests(now) {
            self.judge.drew();
            let to = (0..self.control_planes.len()).find(|other| *name(*other) == *to);
            match to {
                Some(to) => {
                    self.gateways[place].drawn.insert(draw.number, now);
                    self.send(Who::Q(place), Who::M(to), Said::LeaseRequest(draw));
                }
                None => self.gateways[place].cache.request_failed(now, draw.number),
            }
        }
    }

    fn request(&mut self, tenant: usize) {
        let (now, number) = (self.now, self.requests);
        self.requests += 1;
        let Some(place) = self.gateway_for(tenant) else { return };
        self.judge.asked(now, tenant);
        if !self.is_awake(Who::Q(place)) {
            return;
        }
        let patience = self.patience;
        let g = &mut self.gateways[place];
        match g.cache.admit(now, number, &self.loads[tenant].quota.tenant, patience) {
            Verdict::Granted => self.runs(tenant, 0.0),
            Verdict::Refused { .. } => self.judge.refused(tenant),
            Verdict::Wait { .. } => {
                g.waits.insert(number, (tenant, now));
            }
        }
        self.draw(place);
    }

    /// The gateway that a client of the tenant goes to.
    fn gateway_for(&mut self, tenant: usize) -> Option<usize> {
        if self.membership.is_some() {
            let open = self.open_gateways();
            let lot = self.clients.below(open.len());
            return open.get(lot).copied();
        }
        let some = ((self.gateways.len() as f64 * self.reach).ceil() as usize).clamp(1, self.gateways.len());
        let place = (self.clients.below(some) + tenant * 7) % self.gateways.len();
        self.gateways[place].up.then_some(place)
    }

    fn runs(&mut self, tenant: usize, waited: f64) {
        let stray = self.lots.unit() * 100.0;
        self.judge.runs(self.now + stray, tenant, waited);
    }

    fn verdicts(&mut self, place: usize, told: Vec<(u64, Verdict)>) {
        for (request, verdict) in told {
            let Some((tenant, since)) = self.gateways[place].waits.remove(&request) else { continue };
            match verdict {
                Verdict::Granted => self.runs(tenant, self.now - since),
                _ => self.judge.refused(tenant),
            }
        }
    }

    /// Has the gateways take grants of older epochs.
    pub fn inject_ignored_epoch(&mut self) {
        self.gateways.iter_mut().for_each(|g| g.cache.inject_ignored_epoch());
    }

    /// Units that were spent as slices.
    pub fn by_slice(&self) -> u64 {
        self.gateways.iter().flat_map(|g| g.cache.stats()).map(|f| f.granted_by_slice).sum()
    }
}

fn name(place: usize) -> String {
    format!("10.0.{place}.1:7000")
}
