//! Memory of a process, and the items of state that it holds.

use super::messages::changed;
use super::samples::{backends, configuration_bytes, gateway_name, quotas};
use super::size::Size;
use config::Config;
use control_plane::{Change, ConfigHistory, LogPosition};
use protocol::Backend;
use quota::{Epoch, HolderAssignment, LeaseCache, Quota, QuotaService};
use registry::BackendRegistry;
use std::any::Any;

/// Unit of the resident size in `/proc/PID/statm`, in bytes.
const PAGE: usize = 4096;
/// Heartbeat interval of backends, in ms.
const HEARTBEAT_MS: u64 = 780;
/// Address of the only quota holder.
const HOLDER: &str = "10.12.0.1:7400";

/// Inputs of the items, prepared before the measurement.
pub struct Inputs {
    size: Size,
    body: Vec<u8>,
    changed: Vec<u8>,
    quotas: Vec<Quota>,
    backends: Vec<Backend>,
}

impl Inputs {
    /// Inputs for a size.
    pub fn of(size: &Size) -> Self {
        Self {
            size: *size,
            body: configuration_bytes(size, 1),
            changed: changed(size),
            quotas: quotas(size),
            backends: backends(size),
        }
    }
}

/// Builds an item of state, which holds its memory until it is dropped.
pub type Build = fn(&Inputs) -> Box<dyn Any>;

/// All items of state with their names in tables.
pub const ITEMS: [(&str, Build); 6] = [
    ("body of a configuration", |inputs| Box::new(inputs.body.clone())),
    ("validated configuration with its tables", |inputs| Box::new(Config::parse(&inputs.body).ok())),
    ("configuration history of a control plane", |inputs| Box::new(history(inputs))),
    ("registry of backends", |inputs| Box::new(registry(inputs))),
    ("lease cache of a data plane", |inputs| Box::new(lease_cache(inputs))),
    ("quota counters of a holder", |inputs| Box::new(counts(inputs))),
];

/// Resident memory of a process in bytes.
pub fn resident(pid: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: usize = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

fn history(inputs: &Inputs) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    let first = Change { base: 0, version: 1, digest: [1; 32], body: inputs.body.clone() };
    history.apply(LogPosition::default(), first);
    let second = Change { base: 1, version: 2, digest: [2; 32], body: inputs.changed.clone() };
    history.apply(LogPosition::default(), second);
    history
}

fn registry(inputs: &Inputs) -> BackendRegistry {
    let mut register = BackendRegistry::new(HEARTBEAT_MS);
    inputs.backends.iter().for_each(|backend| drop(register.record_heartbeat(0, backend.clone())));
    register
}

fn lease_cache(inputs: &Inputs) -> LeaseCache {
    let mut cache = LeaseCache::new(7);
    cache.set_quotas(0.0, inputs.quotas.clone(), &mut Vec::new());
    cache
}

fn counts(inputs: &Inputs) -> QuotaService {
    let mut quota_service = QuotaService::new(HOLDER);
    quota_service.set_quotas(0.0, inputs.quotas.clone());
    quota_service.apply_assignment(
        0.0,
        &HolderAssignment { epoch: Epoch::first(1), holders: vec![HOLDER.to_owned()] },
        true,
    );
    (0..inputs.size.gateways)
        .for_each(|n| quota_service.record_contact(0.0, &gateway_name(n), Epoch::first(1)));
    quota_service
}
