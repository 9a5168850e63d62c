//! The control plane's side: the count of each tenant's window.

use std::collections::{BTreeMap, HashMap};

use crate::silence_charges::SilenceCharges;
use crate::{
    CounterHandover, CounterStatus, Epoch, Floor, GATEWAY_TIMEOUT, Grant, Handover, LeaseRequest, Millis,
    OversizedSlice, Quota, SILENCE_TIMEOUT, TenantDemand, TenantGrant, WindowParams,
};

/// A draw this close before a window's end is served from the next one: gateways count the end from when they asked,
/// so their first draw for a new window is often a moment early.
const EARLY: Millis = 20.0;
/// A removed tenant's count is remembered this long, longer than the judged span, in case it is put back.
const REMEMBERED: Millis = 10_000.0;
/// Gateways remembered by name at most; further ones are served, but count as silent.
const GATEWAYS_MOST: usize = 4096;
/// Of what is left, one gateway's block takes the even part over this.
const EVEN_OVER: f64 = 1.5;
/// The least even part, as a share of the refill over the gateways: else a busy tenant's blocks dwindle without end.
const LEAST_PART: f64 = 0.2;
/// A former holder's word on its counts is waited for this long; draws are put off meanwhile.
const HANDOVER_WAIT: Millis = 80.0;
/// A shut count is granted from by need once this share of the gateways was heard, and they are waited for so long.
const ENOUGH: f64 = 0.5;
const GATHER: Millis = 80.0;
/// Windows rolled one by one; after a longer rest the count is full anyway.
const ROLLS_MOST: u32 = 64;

#[derive(Debug)]
struct Count {
    terms: Option<WindowParams>,
    /// A changed quota comes into force with the next window.
    next: Option<WindowParams>,
    window: u64,
    end: Millis,
    /// What may still be granted, the even slices of silent gateways not yet taken off.
    free: f64,
    granted: f64,
    /// The largest part of the gateways that was silent at some time of this window.
    silent: f64,
    shut_until: Millis,
    floor: Floor,
    /// Until then the former holder's word would open the count at once.
    awaits_until: Millis,
    gone_at: Option<Millis>,
}

/// What a count says to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterStats {
    /// The tenant's name.
    pub tenant: String,
    /// The present window's number.
    pub window: u64,
    /// Units granted in it.
    pub granted: f64,
    /// Units left in it.
    pub remaining: f64,
}

/// Holds the counts of all tenants under one epoch.
#[derive(Debug)]
pub struct QuotaHolder {
    epoch: Epoch,
    /// Where the grid of windows begins.
    grid_begin: Millis,
    /// When the present assignment came, and how long after it a former holder may still have granted.
    since: Millis,
    shut: Millis,
    first: bool,
    configured: bool,
    known: u32,
    /// Gateways that may spend more than the even slice while they are silent, by name, and how many each divides by.
    wide: BTreeMap<String, u32>,
    /// The part of a refill that silent gateways may spend as slices.
    silent: f64,
    /// What the log says that counts had at the least when this office began.
    floors: BTreeMap<String, u32>,
    heard: HashMap<String, Millis>,
    charges: SilenceCharges,
    counts: BTreeMap<String, Count>,
}

impl QuotaHolder {
    /// Holds counts from now on, under an epoch. Unless no holder was there before (`first`), nothing is granted for one window of
    /// each tenant after `shut`, for which a former holder may still have granted: by then every block of it has ended.
    pub fn start(epoch: Epoch, first: bool, now: Millis, shut: Millis) -> Self {
        let (heard, counts) = (HashMap::new(), BTreeMap::new());
        let floors = BTreeMap::new();
        Self {
            epoch,
            grid_begin: now,
            since: now,
            shut,
            first,
            configured: false,
            known: 1,
            wide: BTreeMap::new(),
            silent: 1.0,
            floors,
            heard,
            charges: SilenceCharges::default(),
            counts,
        }
    }

    /// What the log says of counts. Those with a floor begin with it, at once: what was granted before this office is
    /// gone from what lies above.
    pub fn set_floors(&mut self, floors: BTreeMap<String, u32>) {
        self.floors = floors;
    }

    /// The next assignment leaves this process a holder. Tenants that come to it now are shut as at the start.
    pub fn apply_assignment(&mut self, now: Millis, epoch: Epoch, shut: Millis) {
        (self.epoch, self.since, self.shut, self.first) = (epoch, now, shut, false);
    }

    /// Gives up all counts but those that are `mine`; those that were open come back.
    pub fn release_counters(&mut self, now: Millis, mine: impl Fn(&str) -> bool) -> Vec<CounterHandover> {
        let others: Vec<String> = self.counts.keys().filter(|tenant| !mine(tenant)).cloned().collect();
        let mut handed = Vec::new();
        for tenant in others {
            self.roll(now, &tenant);
            let Some(count) = self.counts.remove(&tenant) else { continue };
            if count.terms.is_none() || count.gone_at.is_some() || now < count.shut_until {
                continue;
            }
            let (window, free, granted, silent_fraction) =
                (count.window, count.free, count.granted, count.silent);
            handed.push(CounterHandover {
                tenant,
                window,
                ends_in: (count.end - now).max(0.0),
                free,
                granted,
                silent_fraction,
            });
        }
        handed
    }

    /// Takes over what a former holder says of counts that wait for it; others stay as they are.
    pub fn accept_handover(&mut self, now: Millis, handover: Handover) {
        for (gateway, ago) in &handover.contact_ages {
            self.record_contact(now - ago.max(0.0), gateway);
        }
        for handed in handover.counters {
            let Some(count) = self.counts.get_mut(&handed.tenant).filter(|c| now < c.awaits_until) else {
                continue;
            };
            let Some(terms) = count.terms else { continue };
            let sound = handed.free.is_finite() && handed.granted.is_finite() && handed.ends_in.is_finite();
            if !sound {
                continue;
            }
            (count.awaits_until, count.shut_until) = (now, now);
            (count.window, count.granted) = (handed.window, handed.granted.max(0.0));
            count.free = handed.free.min(terms.max_units);
            count.silent = handed.silent_fraction.clamp(0.0, 1.0);
            count.end = now + handed.ends_in.clamp(0.0, terms.window * 4.0);
        }
    }

    /// The gateways that were heard, and how long ago.
    pub fn contact_ages(&self, now: Millis) -> Vec<(String, Millis)> {
        self.heard.iter().map(|(name, at)| (name.clone(), (now - at).max(0.0))).collect()
    }

    /// Whether units of a tenant may be granted.
    pub fn is_open(&self, now: Millis, tenant: &str) -> bool {
        let open = |c: &Count| c.terms.is_some() && c.gone_at.is_none() && now + EARLY >= c.shut_until;
        self.counts.get(tenant).is_some_and(open)
    }

    pub(crate) fn open_immediately(&mut self) {
        (self.first, self.shut) = (true, 0.0);
    }

    /// The epoch of this office.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes a configuration. New figures count from a tenant's next window.
    pub fn set_quotas(&mut self, now: Millis, quotas: &[Quota]) {
        for count in self.counts.values_mut() {
            count.gone_at = count.gone_at.or(Some(now));
        }
        for quota in quotas {
            let terms = WindowParams::from_quota(quota);
            if let Some(count) = self.counts.get_mut(&quota.tenant) {
                count.gone_at = None;
                count.next = terms;
                // A limit where there was none has nothing that it could wait for.
                if count.terms.is_none() || terms.is_none() {
                    count.terms = terms;
                    count.end = now;
                    count.free = 0.0;
                }
                continue;
            }
            let window = terms.map_or(0.0, |t| t.window);
            let opens = self.since + self.shut + window;
            let shut = !self.first && (!self.configured || now < opens);
            let floor = self.floors.remove(&quota.tenant).unwrap_or(0);
            // Less than a window's refill is what slices would give: those reach all gateways at once.
            let floored = shut && terms.is_some_and(|t| f64::from(floor) >= t.refill);
            let shut = shut && !floored;
            let shut_until = if shut { opens.max(now) } else { now };
            // A configuration that comes late to one of several holders may name tenants that others had before.
            let whole = self.first || self.epoch.number <= 1;
            let free = terms.map_or(0.0, |t| if whole { t.max_units } else { t.refill });
            let free = if floored { free.min(floor.into()) } else { free };
            let free = if shut { 0.0 } else { free };
            let awaits = shut && self.epoch.number > 1;
            let awaits_until = if awaits { self.since + HANDOVER_WAIT } else { now };
            let end = if shut { shut_until } else { self.grid_end(now, window) };
            let mut floor = Floor::new(now, floor);
            floor.record_free(free);
            let count = Count {
                terms,
                next: terms,
                window: 0,
                end,
                free,
                granted: 0.0,
                silent: 0.0,
                shut_until,
                floor,
                awaits_until,
                gone_at: None,
            };
            self.counts.insert(quota.tenant.clone(), count);
        }
        self.configured = true;
        self.counts.retain(|_, c| c.gone_at.is_none_or(|at| now < at + REMEMBERED));
    }

    /// Takes the number of gateways in all, those included that may be cut off and spend their slices.
    pub fn set_fleet_size(&mut self, _now: Millis, known: u32) {
        self.known = known.max(1);
        self.count_silent();
    }

    /// Takes the gateways that divide their slices by fewer than there are: they were told of a smaller fleet, and may
    /// have been cut off since.
    pub fn set_oversized_slices(&mut self, wide: &[OversizedSlice]) {
        self.wide = wide.iter().map(|slice| (slice.gateway.clone(), slice.divisor.max(1))).collect();
        self.count_silent();
    }

    /// A gateway was heard, by a draw or otherwise.
    pub fn record_contact(&mut self, now: Millis, gateway: &str) {
        if let Some(at) = self.heard.get_mut(gateway) {
            *at = at.max(now);
        } else if self.heard.len() < GATEWAYS_MOST {
            self.heard.insert(gateway.to_owned(), now);
            self.charges.returned(now, gateway);
            self.count_silent();
        }
    }

    /// A gateway has said that it ended and spends nothing more. Blocks that it has stay counted until their window ends.
    pub fn remove_gateway(&mut self, gateway: &str) {
        // Else it would stand in for one that is silent, whose slice would not be held back.
        self.heard.remove(gateway);
        self.charges.left(gateway);
        self.count_silent();
    }

    /// While a count is shut, the slices of all gateways would come to one refill. Of this, gateways that are heard get
    /// what they need instead of even parts: few requests come where an even part is, when gateways are many.
    fn share_shut(&mut self, now: Millis, want: &TenantDemand, share: TenantGrant) -> TenantGrant {
        let (heard, known) = (self.heard.len() as f64, f64::from(self.known));
        let silent = self.silent;
        let gather = self.since + self.shut;
        let Some(count) = self.counts.get_mut(&want.tenant) else { return share };
        let Some(terms) = count.terms.filter(|_| now >= gather) else { return share };
        if heard < ENOUGH * known {
            let status =
                if now < gather + GATHER { CounterStatus::RetryLater } else { CounterStatus::FallbackSlice };
            return TenantGrant { status, ..share };
        }
        let free = (terms.refill * (1.0 - silent) - count.granted).max(0.0).floor();
        let granted = f64::from(want.needed.min(want.requested)).min(free);
        count.granted += granted;
        TenantGrant {
            granted: granted as u32,
            remaining: (free - granted) as u32,
            status: CounterStatus::Open,
            ..share
        }
    }

    /// Answers a gateway's draw.
    pub fn handle_request(&mut self, now: Millis, gateway: &str, draw: &LeaseRequest) -> Grant {
        self.forget_silent(now);
        let same = draw.epoch == self.epoch;
        // One that knows an older assignment only may spend slices of counts that are granted from here.
        if draw.epoch >= self.epoch || self.epoch.number <= 1 {
            self.record_contact(now, gateway);
        }
        for want in &draw.demands {
            self.refund(now, gateway, want);
        }
        let grants = draw.demands.iter().map(|want| self.share(now, want, same)).collect();
        Grant { number: draw.number, epoch: self.epoch, grants }
    }

    /// A gateway that is back says what it has spent of slices. What the count was charged for
    /// them by estimate comes back to that extent.
    fn refund(&mut self, now: Millis, gateway: &str, want: &TenantDemand) {
        let refills = self.charges.refund(now, gateway, &want.tenant);
        if refills <= 0.0 {
            return;
        }
        let Some(count) = self.counts.get_mut(&want.tenant) else { return };
        let Some(terms) = count.terms else { return };
        let charged = refills * terms.refill / terms.window;
        count.free = (count.free + charged.min(want.owed().into())).min(terms.max_units);
    }

    /// Whether a count is about to need what lies below its floor: the log should say so before more is granted.
    pub fn needs_lower_floor(&self) -> bool {
        let of = |c: &Count| c.terms.is_some_and(|t| c.gone_at.is_none() && c.floor.needs_lowering(t.refill));
        self.counts.values().any(of)
    }

    /// Floors that the log should say from now on, by tenant. They are on their way once this has told them: the holder
    /// keeps to the higher of old and new until [`QuotaHolder::commit_floors`].
    pub fn propose_floors(&mut self, now: Millis) -> Vec<(String, u32)> {
        let mut wanted = Vec::new();
        for (tenant, count) in &mut self.counts {
            let (most, refill) = match count.terms {
                Some(terms) if count.gone_at.is_none() => (terms.max_units, terms.refill),
                _ => (0.0, 0.0),
            };
            if let Some(units) = count.floor.next_proposal(now, most, refill) {
                count.floor.propose(units);
                wanted.push((tenant.clone(), units));
            }
        }
        // Tenants that no configuration names any more.
        if self.configured {
            wanted.extend(std::mem::take(&mut self.floors).into_keys().map(|tenant| (tenant, 0)));
        }
        wanted
    }

    /// The log says the floors that were wanted last.
    pub fn commit_floors(&mut self) {
        self.counts.values_mut().for_each(|count| count.floor.commit());
    }

    /// Whether the present assignment came just now.
    pub fn awaits_handover(&self, now: Millis) -> bool {
        self.epoch.number > 1 && now < self.since + HANDOVER_WAIT
    }

    /// Has a gateway ask again shortly.
    pub fn defer(&self, draw: &LeaseRequest) -> Grant {
        let share = |want: &TenantDemand| TenantGrant {
            tenant: want.tenant.clone(),
            window: 0,
            granted: 0,
            remaining: 0,
            ends_in: 0.0,
            status: CounterStatus::RetryLater,
        };
        Grant { number: draw.number, epoch: self.epoch, grants: draw.demands.iter().map(share).collect() }
    }

    /// What operators see of each tenant.
    pub fn stats(&self) -> Vec<CounterStats> {
        let one = |(tenant, c): (&String, &Count)| CounterStats {
            tenant: tenant.clone(),
            window: c.window,
            granted: c.granted,
            remaining: c.free,
        };
        self.counts.iter().filter(|(_, c)| c.gone_at.is_none()).map(one).collect()
    }

    /// Gateways not heard lately are silent. They may have spent slices since soon after their last word, while the
    /// counts still granted their part to others: that comes off now.
    fn forget_silent(&mut self, now: Millis) {
        let is_silent = |at: &Millis| now >= *at + GATEWAY_TIMEOUT;
        let mut lost = 0.0;
        for (gateway, at) in self.heard.iter().filter(|(_, at)| is_silent(at)) {
            let part = self.slice_of(gateway);
            self.charges.charged(now, gateway, *at, part);
            lost += part;
        }
        if lost <= 0.0 {
            return;
        }
        self.heard.retain(|_, at| !is_silent(at));
        self.count_silent();
        for count in self.counts.values_mut() {
            let Some(terms) = count.terms else { continue };
            let spent = terms.refill / terms.window * (GATEWAY_TIMEOUT - SILENCE_TIMEOUT) * lost.min(1.0);
            count.free = (count.free - spent).max(-terms.max_units);
        }
    }

    /// The part of a refill that one gateway spends as its slice.
    fn slice_of(&self, gateway: &str) -> f64 {
        1.0 / f64::from(self.wide.get(gateway).copied().unwrap_or(self.known))
    }

    /// Adds up the slices of all gateways that were not heard lately.
    fn count_silent(&mut self) {
        let wide = self.wide.iter().filter(|(gateway, _)| !self.heard.contains_key(*gateway));
        let (wide, wide_part) = wide
            .fold((0, 0.0), |(number, part), (_, divisor)| (number + 1, part + 1.0 / f64::from(*divisor)));
        let even = self.known.saturating_sub(self.heard.len() as u32).saturating_sub(wide);
        self.silent = (f64::from(even) / f64::from(self.known) + wide_part).min(1.0);
    }

    fn grid_end(&self, now: Millis, window: Millis) -> Millis {
        if window <= 0.0 {
            return now;
        }
        self.grid_begin + (((now - self.grid_begin) / window).floor() + 1.0) * window
    }

    fn roll(&mut self, now: Millis, tenant: &str) {
        let silent = self.silent;
        let Some(mut count) = self.counts.remove(tenant) else { return };
        let mut rolls = 0;
        while let Some(terms) = count.terms.filter(|t| now + EARLY.min(t.window * 0.05) >= count.end) {
            // Slices of a closed window came from gateways that had nothing else: no count gave them.
            if count.end > count.shut_until {
                count.free -= terms.refill * count.silent;
            }
            count.terms = count.next;
            let Some(terms) = count.next else { break };
            let begin = if rolls >= ROLLS_MOST { now.max(count.end) } else { count.end };
            rolls += 1;
            count.end = self.grid_end(begin + 1e-6, terms.window);
            let part = ((count.end - begin) / terms.window).clamp(0.0, 1.0);
            count.free = (count.free + terms.refill * part).clamp(-terms.max_units, terms.max_units);
            count.window += 1;
            count.granted = 0.0;
            count.silent = silent;
        }
        let first = count.terms.is_some_and(|terms| now < self.grid_begin + terms.window);
        count.silent = if first { silent } else { count.silent.max(silent) };
        self.counts.insert(tenant.to_owned(), count);
    }

    fn share(&mut self, now: Millis, want: &TenantDemand, same: bool) -> TenantGrant {
        self.roll(now, &want.tenant);
        let active = (self.heard.len() as f64).max(1.0);
        let mut share = TenantGrant {
            tenant: want.tenant.clone(),
            window: 0,
            granted: 0,
            remaining: 0,
            ends_in: 0.0,
            status: CounterStatus::FallbackSlice,
        };
        // A tenant that this holder has not heard of may be one of a configuration on its way, or another holder's:
        // then a slice could be spent beside what that one grants.
        let alone = self.epoch.number <= 1;
        let Some(count) = self.counts.get_mut(&want.tenant).filter(|c| c.gone_at.is_none()) else {
            return if alone { share } else { TenantGrant { status: CounterStatus::RetryLater, ..share } };
        };
        share.window = count.window;
        share.ends_in = (count.end - now).max(0.0);
        let Some(terms) = count.terms else {
            return TenantGrant {
                granted: want.requested,
                remaining: u32::MAX,
                ends_in: 1000.0,
                status: CounterStatus::Open,
                ..share
            };
        };
        if now < count.awaits_until {
            return TenantGrant { status: CounterStatus::RetryLater, ..share };
        }
        if now + EARLY < count.shut_until {
            share.ends_in = (count.shut_until - now).max(0.0);
            return self.share_shut(now, want, share);
        }
        if same {
            let most_back = (terms.max_units - count.free - count.granted).max(0.0);
            count.free += f64::from(want.returned).min(most_back);
        }
        let owed = want.owed();
        count.free = (count.free - f64::from(owed)).max(-terms.max_units);
        let need = if owed > 0 { 0 } else { want.needed };
        // In the first window of an office all are silent until they ask, and what they have spent of slices until then
        // comes off their first block: to keep their slices back would refuse most of what the floor left.
        let silent = if now < self.grid_begin + terms.window { 0.0 } else { count.silent };
        let left = count.free - terms.refill * silent;
        count.floor.record_free(left);
        let (all, free) = (left.max(0.0).floor(), (left - count.floor.enforced()).max(0.0).floor());
        let even = (free / (EVEN_OVER * active)).max(LEAST_PART * terms.refill / active);
        let granted = f64::from(want.requested).min(even.floor()).max(f64::from(need)).min(free);
        count.free -= granted;
        count.granted += granted;
        share.granted = granted as u32;
        count.floor.record_free(left - granted);
        // What lies below the floor is there as soon as the log says so.
        share.remaining = (all - granted) as u32;
        share.status = CounterStatus::Open;
        share
    }
}
