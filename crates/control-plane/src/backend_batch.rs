//! Changes of backends that wait to be told together.
//!
//! When many backends come at once, as after a start of everything, a message for each of them to each follower costs more
//! than what it says. So newcomers and signs of life wait for some ms; whoever leaves is told of at once.

use protocol::{Backend, Phase};
use std::collections::BTreeMap;

/// The newest state of each backend that has changed and that others are yet to be told of.
#[derive(Debug, Default)]
pub(crate) struct BackendBatch(BTreeMap<String, Backend>);

impl BackendBatch {
    /// Takes changes in; gives those that can't wait.
    pub(crate) fn add(&mut self, changed: Vec<Backend>) -> Vec<Backend> {
        let (waiting, urgent): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|backend| backend.phase == Phase::Serving);
        // What waited says less by now.
        for backend in &urgent {
            self.0.remove(&backend.id);
        }
        self.0.extend(waiting.into_iter().map(|backend| (backend.id.clone(), backend)));
        urgent
    }

    /// All that wait.
    pub(crate) fn take(&mut self) -> Vec<Backend> {
        std::mem::take(&mut self.0).into_values().collect()
    }
}
