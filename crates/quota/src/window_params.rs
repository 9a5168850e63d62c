//! What follows from a quota: the length of its windows and what each may grant.

use crate::Millis;

/// A tenant's quota as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// The tenant's name.
    pub tenant: String,
    /// Requests a second; zero sets no limit.
    pub rate_per_s: f64,
    /// Requests at once on top.
    pub burst: f64,
}

/// The span over which a quota is judged.
const COMPLIANCE_SPAN: Millis = 5000.0;
/// The shares of the judged bound and of its fixed slack that the counts may use; the rest is for changes of holder.
const TARGET_EXCESS: f64 = 1.08;
const TARGET_SLACK: f64 = 18.0;
/// Requests reach their backends up to about this much later than others, so a judged span sees a bit more of time.
const MAX_DISPATCH_DELAY: Millis = 150.0;
/// The shortest window: below it, a round trip is a good part of the window and calls outnumber requests.
const MIN_WINDOW: Millis = 400.0;
/// How often the shortest window may be doubled. Lengths are powers of two of one grid, so that windows of several
/// tenants end together and one message renews them all. Longer ones would let two whole windows into a short span.
const MAX_WINDOW_DOUBLINGS: u32 = 2;
/// Units above the burst, where the slack has room: blocks hold some units that nobody spends, and a window's refill
/// comes at its beginning, where a bucket would go on filling while it is drawn from. At least so many ...
const MIN_HEADROOM: f64 = 4.0;
/// ... and up to a window's refill, as long as the worst span stays below this share of what is judged: a further try may
/// run beside the first, and both count.
const HEADROOM_LIMIT_RATIO: f64 = 0.88;
const COMPLIANCE_EXCESS: f64 = 1.1;
const COMPLIANCE_SLACK: f64 = 20.0;

/// What the counts go by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowParams {
    /// Length of a window.
    pub window: Millis,
    /// Units that each window adds.
    pub refill: f64,
    /// The most that a window may grant, with what former ones left.
    pub max_units: f64,
}

impl WindowParams {
    /// The terms of a quota; none if it sets no limit.
    ///
    /// A judged span sees the units of the window in which it begins (`most`) and the refills of those that begin in
    /// it. Where burst over rate is below the shortest window, a whole refill above the burst would be granted at
    /// once; `refill` is then cut to what the judged bound allows.
    pub fn from_quota(quota: &Quota) -> Option<Self> {
        let (rate, burst) = (quota.rate_per_s, quota.burst.max(0.0));
        if rate.is_nan() || rate <= 0.0 || !rate.is_finite() || !burst.is_finite() {
            return None;
        }
        let half_burst_time = burst / rate * 500.0;
        let mut window = MIN_WINDOW;
        for _ in 0..MAX_WINDOW_DOUBLINGS {
            if window * 2.0 <= half_burst_time {
                window *= 2.0;
            }
        }
        let window_starts = ((COMPLIANCE_SPAN + MAX_DISPATCH_DELAY) / window).floor() + 1.0;
        let target_bound = (rate * COMPLIANCE_SPAN / 1000.0 + burst) * TARGET_EXCESS + TARGET_SLACK;
        let refill = (rate * window / 1000.0).min(target_bound / (window_starts + 1.0));
        let compliance_bound =
            (rate * COMPLIANCE_SPAN / 1000.0 + burst) * COMPLIANCE_EXCESS + COMPLIANCE_SLACK;
        let base = burst.max(refill);
        let headroom = (compliance_bound * HEADROOM_LIMIT_RATIO - window_starts * refill - base)
            .clamp(MIN_HEADROOM, refill.max(MIN_HEADROOM));
        let max_units = (target_bound - window_starts * refill).min(base + headroom).max(refill);
        Some(Self { window, refill, max_units })
    }
}
