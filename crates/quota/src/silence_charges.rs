//! What counts were charged for gateways of which nothing was heard, and what comes back when one returns.
//!
//! A gateway that hears nothing of the holder spends an even slice each window. The holder charges that to the counts by
//! estimate, since the gateway may never return. One that does return says what it has really spent ([`TenantDemand::owed`]); so
//! that this is not charged twice, the estimate is refunded, up to what is owed and once for each tenant.

use std::collections::{BTreeSet, HashMap};

#[cfg(doc)]
use crate::TenantDemand;
use crate::{Millis, SILENCE_TIMEOUT};

/// A gateway that returns has said what it spent after this long; later debts are of later silences.
const REFUND_PERIOD: Millis = 2_000.0;
/// A gateway spends no slices for longer than this: the estimate of a longer silence is of no use to it.
const MAX_CHARGED_SILENCE: Millis = 30_000.0;

/// A silence that the counts were charged for.
#[derive(Debug)]
struct Charge {
    /// When the gateway was last heard.
    last_contact: Millis,
    /// The part of a refill that it may have spent in each window.
    slice_fraction: f64,
}

/// A gateway that is back.
#[derive(Debug)]
struct ReturnedGateway {
    returned_at: Millis,
    /// Milliseconds of whole refills that the counts were charged for it.
    charged_refill_time: f64,
    /// The tenants whose counts have had their refund.
    refunded: BTreeSet<String>,
}

/// The charges of gateways that are silent, and of those that are back.
#[derive(Debug, Default)]
pub(crate) struct SilenceCharges {
    silent: HashMap<String, Charge>,
    returned: HashMap<String, ReturnedGateway>,
}

impl SilenceCharges {
    /// The counts are charged from now on for a gateway that was last heard then.
    pub(crate) fn charge(&mut self, now: Millis, gateway: &str, last_contact: Millis, slice_fraction: f64) {
        self.silent.retain(|_, charge| now < charge.last_contact + MAX_CHARGED_SILENCE);
        self.returned.retain(|_, returned| now < returned.returned_at + REFUND_PERIOD);
        self.silent.insert(gateway.to_owned(), Charge { last_contact, slice_fraction });
    }

    /// A gateway is heard again.
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

    /// A gateway has ended: it never asks for what it spent.
    pub(crate) fn forget(&mut self, gateway: &str) {
        self.silent.remove(gateway);
        self.returned.remove(gateway);
    }

    /// What a tenant's count may get back as a gateway that was silent says what it spent: milliseconds of its refill, once.
    pub(crate) fn refund(&mut self, now: Millis, gateway: &str, tenant: &str) -> f64 {
        let Some(returned) = self.returned.get_mut(gateway) else { return 0.0 };
        if now >= returned.returned_at + REFUND_PERIOD || !returned.refunded.insert(tenant.to_owned()) {
            return 0.0;
        }
        returned.charged_refill_time
    }
}
