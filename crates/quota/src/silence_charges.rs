//! Charges for silent gateways, and their refunds.
//!
//! A gateway that receives nothing from the holder spends a fallback slice in each window: the window's refill divided
//! by the number of gateways. The holder charges the
//! counters an estimate of that spending, because the gateway may never return. A gateway that returns reports the
//! units actually spent ([`TenantDemand::owed`]). To avoid a double charge, the holder then refunds the estimate, up
//! to the reported debt and once per tenant.

use std::collections::{BTreeSet, HashMap};

#[cfg(doc)]
use crate::TenantDemand;
use crate::{Millis, SILENCE_TIMEOUT};

/// A returning gateway reports its debts, the fallback units that it spent, within this time. A debt reported later
/// belongs to a later silence and gets no refund.
const REFUND_PERIOD: Millis = 2_000.0;
/// A gateway spends no fallback slices for longer than this, so a longer silence is charged no more.
const MAX_CHARGED_SILENCE: Millis = 30_000.0;

/// A charge for a silent gateway.
#[derive(Debug)]
struct Charge {
    /// When the gateway sent its last message.
    last_contact: Millis,
    /// Fraction of a refill that the gateway may have spent in each window.
    slice_fraction: f64,
}

/// A gateway that returned after a silence.
#[derive(Debug)]
struct ReturnedGateway {
    returned_at: Millis,
    /// Charge as refill time in milliseconds. `refill / window` of a tenant converts the charge to units.
    charged_refill_time: f64,
    /// Tenants whose counters already received the refund.
    refunded: BTreeSet<String>,
}

/// Charges for silent gateways and for gateways that returned recently.
#[derive(Debug, Default)]
pub(crate) struct SilenceCharges {
    silent: HashMap<String, Charge>,
    returned: HashMap<String, ReturnedGateway>,
}

impl SilenceCharges {
    /// Records that the counters are charged for a gateway from now on. `last_contact` is the time of the gateway's
    /// last message.
    pub(crate) fn charge(&mut self, now: Millis, gateway: &str, last_contact: Millis, slice_fraction: f64) {
        self.silent.retain(|_, charge| now < charge.last_contact + MAX_CHARGED_SILENCE);
        self.returned.retain(|_, returned| now < returned.returned_at + REFUND_PERIOD);
        self.silent.insert(gateway.to_owned(), Charge { last_contact, slice_fraction });
    }

    /// Records that a silent gateway has returned.
    pub(crate) fn gateway_returned(&mut self, now: Millis, gateway: &str) {
        let Some(charge) = self.silent.remove(gateway) else { return };
        let span = (now - charge.last_contact - SILENCE_TIMEOUT).clamp(0.0, MAX_CHARGED_SILENCE);
        let returned = ReturnedGateway {
            returned_at: now,
            charged_refill_time: span * charge.slice_fraction,
            refunded: BTreeSet::new(),
        };
        self.returned.insert(gateway.to_owned(), returned);
    }

    /// Forgets a gateway that has shut down and reports no more debts.
    pub(crate) fn forget(&mut self, gateway: &str) {
        self.silent.remove(gateway);
        self.returned.remove(gateway);
    }

    /// Returns the refund for one tenant of a returned gateway, as refill time in milliseconds. Each tenant gets the
    /// refund once.
    pub(crate) fn refund(&mut self, now: Millis, gateway: &str, tenant: &str) -> f64 {
        let Some(returned) = self.returned.get_mut(gateway) else { return 0.0 };
        if now >= returned.returned_at + REFUND_PERIOD || !returned.refunded.insert(tenant.to_owned()) {
            return 0.0;
        }
        returned.charged_refill_time
    }
}
