//! Window parameters derived from a quota: the length of its windows and the units that each window may grant.

use crate::Millis;

/// A tenant's quota as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests per second; zero disables the limit.
    pub rate_per_s: f64,
    /// Additional requests allowed at once.
    pub burst: f64,
}

/// Compliance span: a quota is checked over every interval of this length.
const COMPLIANCE_SPAN: Millis = 5000.0;
/// Excess ratio and fixed slack, in units, that the counters may use. Both are below the compliance bound
/// (`COMPLIANCE_EXCESS`, `COMPLIANCE_SLACK`). The difference is a reserve for changes of holder, during which units can
/// be granted in excess.
const TARGET_EXCESS: f64 = 1.08;
const TARGET_SLACK: f64 = 18.0;
/// A request can reach its backend this much later than another one. A compliance span therefore sees the grants of a
/// slightly longer interval.
const MAX_DISPATCH_DELAY: Millis = 150.0;
/// Shortest window. In a shorter one, a round trip takes a large part of the window and lease requests outnumber
/// client requests.
const MIN_WINDOW: Millis = 400.0;
/// Number of times that the shortest window may be doubled. All lengths are the shortest window times a power of two,
/// so the windows of several tenants end together and one message renews them all. With longer windows, the units of
/// two whole windows could be spent within a short time.
const MAX_WINDOW_DOUBLINGS: u32 = 2;
/// Minimum headroom: units above the burst that a window may grant if the bound has room. Blocks hold some units that
/// are never spent, and a window gets its refill at once where a token bucket would refill while it is drained.
const MIN_HEADROOM: f64 = 4.0;
/// The headroom may grow up to a window's refill as long as the worst compliance span stays below this fraction of
/// the compliance bound. The rest is for retries: a retry may run beside the first attempt, and both count.
const HEADROOM_LIMIT_RATIO: f64 = 0.88;
/// Compliance bound: in one compliance span, a tenant may exceed `rate * span + burst` by this ratio and this many
/// units.
const COMPLIANCE_EXCESS: f64 = 1.1;
const COMPLIANCE_SLACK: f64 = 20.0;

/// Window parameters of one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowParams {
    /// Length of a window.
    pub window: Millis,
    /// Units added by each window.
    pub refill: f64,
    /// Maximum units that a window may grant, including units left over from earlier windows.
    pub max_units: f64,
}

impl WindowParams {
    /// Derives the parameters from a quota. Returns `None` if the quota sets no limit.
    ///
    /// A compliance span sees the units of the window in which it starts (`max_units`) and the refills of the windows
    /// that start within it. If burst divided by rate is below the shortest window, a whole refill above the burst
    /// would be granted at once; `refill` is then limited to what the compliance bound allows.
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
