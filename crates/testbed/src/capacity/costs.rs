//! Processor time of single steps on one thread.
//!
//! A quota holder is the control plane that grants units of quota (leases) to data planes. A floor is a level in the
//! replicated log below which no grant takes a tenant's quota counter; see the `quota` crate.

use super::messages::{changed, lease_request};
use super::samples::{backend, backend_id, backends, configuration_bytes, gateway_name, quotas, tenant_name};
use super::size::Size;
use super::timing::{Spread, measure};
use config::Config;
use control_plane::{Change, ConfigHistory, LogPosition};
use protocol::{ConfigId, Message, frame, unframe};
use quota::{Epoch, HolderAssignment, LeaseCache, QuotaService};
use registry::{BackendRegistry, Fleet};
use transport::config_snapshots::{ConfigEncoder, config_id, rebuild};

/// Repetitions of short steps.
const SHORT_TURNS: usize = 2_000;
/// Repetitions of steps that go over all tenants or backends.
const LONG_TURNS: usize = 50;
/// Repetitions of steps that take milliseconds.
const FEW_TURNS: usize = 2;
/// Heartbeat interval of backends, in ms.
const HEARTBEAT_MS: u64 = 780;
/// Lease duration in ms; longer than any measurement.
const LEASE_MS: f64 = 1e12;
/// Address of the only quota holder.
const HOLDER: &str = "10.12.0.1:7400";

/// The steps, as tables name them.
pub(super) mod step {
    pub const PARSE: &str = "check a configuration and build its tables";
    pub const COMPRESS_WHOLE: &str = "compress a whole configuration";
    pub const COMPRESS_DIFFERENCE: &str = "compress a configuration as a difference";
    pub const REBUILD: &str = "rebuild a configuration from a difference";
    pub const APPLY: &str = "apply a configuration at a voter";
    pub const ANSWER: &str = "holder: answer a lease request";
    pub const FLOORS: &str = "holder: check all floors, once per request";
    pub const ADMIT: &str = "data plane: take a unit from the lease cache";
    pub const COLLECT_REQUESTS: &str = "data plane: collect lease requests, three times per request";
    pub const CHECK_DEADLINES: &str = "data plane: check deadlines, once per request";
    pub const ENCODE: &str = "encode a message";
    pub const DECODE: &str = "decode a message";
    pub const HEARTBEAT: &str = "registry: apply a heartbeat";
    pub const REPORTED_HEARTBEAT: &str = "registry: apply a heartbeat that another control plane received";
    pub const ROUND: &str = "registry: a round over all backends";
    pub const FIND_NUMBER: &str = "find a data plane's number, once per heartbeat";
}

/// One step with its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct StepCost {
    /// The step.
    pub step: &'static str,
    /// Cost in µs.
    pub cost: Spread,
}

/// The costs of all steps at a size, in the order of the tables.
pub fn costs(size: &Size) -> Vec<StepCost> {
    let mut all = configuration_costs(size);
    all.extend(quota_costs(size));
    all.extend(registry_costs(size));
    all
}

fn cost_of(step: &'static str, cost: Spread) -> StepCost {
    StepCost { step, cost }
}

fn configuration_costs(size: &Size) -> Vec<StepCost> {
    let (before, after) = (configuration_bytes(size, 1), changed(size));
    let base = config_id(1, &before);
    let parse = measure(FEW_TURNS, || (), |(), _| drop(std::hint::black_box(Config::parse(&after))));
    let whole = measure(
        FEW_TURNS,
        || (),
        |(), _| drop(ConfigEncoder::new(2, &after).frame(ConfigId::default(), None, &after)),
    );
    let difference = measure(
        FEW_TURNS,
        || (),
        |(), _| drop(ConfigEncoder::new(2, &after).frame(base, Some(&before), &after)),
    );
    let sent = ConfigEncoder::new(2, &after).frame(base, Some(&before), &after);
    let rebuilding = measure(
        FEW_TURNS,
        || (),
        |(), _| {
            if let Ok(Some((Message::ConfigDelta(config_delta), _))) = unframe(&sent) {
                drop(std::hint::black_box(rebuild(Some(&before), &config_delta)));
            }
        },
    );
    let change = |version, body: &[u8]| Change {
        base: version - 1,
        version,
        digest: [version as u8; 32],
        body: body.to_vec(),
    };
    let applied = measure(
        1,
        || {
            let mut config_history = ConfigHistory::default();
            config_history.apply(LogPosition::default(), change(1, &before));
            (config_history, Some(change(2, &after)))
        },
        |(config_history, next), _| {
            if let Some(next) = next.take() {
                config_history.apply(LogPosition::default(), next);
            }
        },
    );
    vec![
        cost_of(step::PARSE, parse),
        cost_of(step::COMPRESS_WHOLE, whole),
        cost_of(step::COMPRESS_DIFFERENCE, difference),
        cost_of(step::REBUILD, rebuilding),
        cost_of(step::APPLY, applied),
    ]
}

fn assignment() -> HolderAssignment {
    HolderAssignment { epoch: Epoch::first(12), holders: vec![HOLDER.to_owned()] }
}

fn holder(size: &Size) -> QuotaService {
    let mut quota_service = QuotaService::new(HOLDER);
    quota_service.set_quotas(0.0, quotas(size));
    quota_service.set_fleet_size(0.0, size.gateways as u32);
    quota_service.apply_assignment(0.0, &assignment(), true);
    quota_service.set_lease(LEASE_MS);
    for number in 0..size.gateways {
        quota_service.record_contact(0.0, &gateway_name(number), Epoch::first(12));
    }
    quota_service
}

fn lease_cache(size: &Size) -> LeaseCache {
    let mut cache = LeaseCache::new(7);
    cache.set_quotas(0.0, quotas(size), &mut Vec::new());
    cache.set_assignment(&assignment());
    cache.set_fleet_size(size.gateways as u32);
    cache.record_contact(0.0);
    cache
}

fn quota_costs(size: &Size) -> Vec<StepCost> {
    // A quota holder answers each lease request and then checks the floors of all quotas, as in the control plane.
    let answered = measure(
        LONG_TURNS,
        || holder(size),
        |quota_service, repetition| {
            let request =
                lease_request(repetition as u64, repetition % size.tenants..repetition % size.tenants + 1);
            let _ = quota_service.handle_request(
                repetition as f64,
                &gateway_name(repetition % size.gateways),
                &request,
            );
        },
    );
    let floors = measure(
        LONG_TURNS,
        || holder(size),
        |quota_service, repetition| {
            let _ = quota_service.propose_floors(repetition as f64);
            let _ = quota_service.needs_lower_floor();
        },
    );
    // For each request that finds no unit of quota in the lease cache, a data plane queries the cache, collects lease
    // requests and checks deadlines.
    let admitted = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, repetition| {
            let now = repetition as f64;
            cache.admit(now, repetition as u64, &tenant_name(repetition % size.tenants), 36.0);
        },
    );
    let collected = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, repetition| {
            let _ = cache.lease_requests(repetition as f64);
        },
    );
    let due = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, repetition| {
            cache.tick(repetition as f64, &mut Vec::new());
            let _ = std::hint::black_box(cache.next_deadline());
        },
    );
    let sent = measure(
        SHORT_TURNS,
        || (),
        |(), repetition| {
            drop(std::hint::black_box(frame(&Message::LeaseRequest(lease_request(repetition as u64, 7..8)))))
        },
    );
    let bytes = frame(&Message::LeaseRequest(lease_request(7, 7..8)));
    let read = measure(SHORT_TURNS, || (), |(), _| drop(std::hint::black_box(unframe::<Message>(&bytes))));
    vec![
        cost_of(step::ANSWER, answered),
        cost_of(step::FLOORS, floors),
        cost_of(step::ADMIT, admitted),
        cost_of(step::COLLECT_REQUESTS, collected),
        cost_of(step::CHECK_DEADLINES, due),
        cost_of(step::ENCODE, sent),
        cost_of(step::DECODE, read),
    ]
}

fn registry_costs(size: &Size) -> Vec<StepCost> {
    let full = || {
        let mut register = BackendRegistry::new(HEARTBEAT_MS);
        for backend in backends(size) {
            register.record_heartbeat(0, backend);
        }
        register
    };
    let heartbeat_cost = measure(SHORT_TURNS, full, |register, repetition| {
        let mut heartbeat = backend(repetition % size.backends);
        heartbeat.call_count += 1_000_000 + repetition as u64;
        register.record_heartbeat(repetition as u64, heartbeat);
    });
    let reported = measure(SHORT_TURNS, full, |register, repetition| {
        let id = backend_id(repetition % size.backends);
        let _ = register.merge_heartbeats(repetition as u64, &[(id, 1_000_000 + repetition as u64)]);
    });
    let round = measure(LONG_TURNS, full, |register, repetition| {
        let _ = register.take_heartbeats();
        let _ = register.sweep(repetition as u64);
    });
    let fleet = || {
        let mut fleet = Fleet::default();
        (0..size.gateways).for_each(|n| fleet.record_contact(0, &gateway_name(n), 7));
        fleet
    };
    let number = measure(SHORT_TURNS, fleet, |fleet, repetition| {
        std::hint::black_box(fleet.index_within(0, u64::MAX, &gateway_name(repetition % size.gateways)));
    });
    vec![
        cost_of(step::HEARTBEAT, heartbeat_cost),
        cost_of(step::REPORTED_HEARTBEAT, reported),
        cost_of(step::ROUND, round),
        cost_of(step::FIND_NUMBER, number),
    ]
}
