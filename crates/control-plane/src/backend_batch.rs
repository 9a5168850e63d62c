//! Changes of backends that are sent in batches.
//!
//! When many backends appear at once, such as after a restart of the whole system, a message per backend and
//! subscriber costs more than its content. So new backends and heartbeats are delayed for some milliseconds;
//! backends that drain or depart are sent immediately.

use protocol::{Backend, Phase};
use std::collections::BTreeMap;

/// The newest state of each backend whose change has not been sent yet.
#[derive(Debug, Default)]
pub(crate) struct BackendBatch(BTreeMap<String, Backend>);

impl BackendBatch {
    /// Adds changes, and returns those that must be sent immediately.
    pub(crate) fn add(&mut self, changed: Vec<Backend>) -> Vec<Backend> {
        let (batched, urgent): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|backend| backend.phase == Phase::Serving);
        // The batched state of an urgent backend is obsolete.
        for backend in &urgent {
            self.0.remove(&backend.id);
        }
        self.0.extend(batched.into_iter().map(|backend| (backend.id.clone(), backend)));
        urgent
    }

    /// Removes and returns all batched changes.
    pub(crate) fn take(&mut self) -> Vec<Backend> {
        std::mem::take(&mut self.0).into_values().collect()
    }
}
