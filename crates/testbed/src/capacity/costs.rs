//! Processor time of single steps on one thread.

use super::messages::{changed, lease_request};
use super::samples::{backend, backend_id, backends, configuration_bytes, gateway_name, quotas, tenant_name};
use super::size::Size;
use super::timing::{Spread, measure};
use config::Config;
use control_plane::{Change, ConfigHistory, LogPosition};
use protocol::{Held, Message, frame, unframe};
use quota::{Epoch, HolderAssignment, LeaseCache, QuotaService};
use registry::{Fleet, Register};
use transport::config_snapshots::{ConfigEncoder, held, rebuild};

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
    pub const COMPRESS_WHOLE: &str = "compress a configuration whole";
    pub const COMPRESS_DIFFERENCE: &str = "compress it as a difference";
    pub const REBUILD: &str = "rebuild it from a difference";
    pub const APPLY: &str = "take it in at a voter";
    pub const ANSWER: &str = "holder: answer a lease request";
    pub const FLOORS: &str = "holder: look over all floors, once a request";
    pub const ASK: &str = "data plane: ask the lease cache for a unit";
    pub const LOOK: &str = "data plane: look for what to request, thrice a request";
    pub const DUE: &str = "data plane: look for what is due, once a request";
    pub const ENCODE: &str = "encode a message";
    pub const DECODE: &str = "decode a message";
    pub const BEAT: &str = "registry: take a heartbeat";
    pub const HEARD: &str = "registry: take another control plane's word of one";
    pub const ROUND: &str = "registry: a round over all backends";
    pub const NUMBER: &str = "find a data plane's number, once a status message";
}

/// One step with its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct StepCost {
    /// The step.
    pub step: &'static str,
    /// Its cost in µs.
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
    let has = held(1, &before);
    let parse = measure(FEW_TURNS, || (), |(), _| drop(std::hint::black_box(Config::parse(&after))));
    let whole = measure(
        FEW_TURNS,
        || (),
        |(), _| drop(ConfigEncoder::new(2, &after).frame(Held::default(), None, &after)),
    );
    let difference = measure(
        FEW_TURNS,
        || (),
        |(), _| drop(ConfigEncoder::new(2, &after).frame(has, Some(&before), &after)),
    );
    let sent = ConfigEncoder::new(2, &after).frame(has, Some(&before), &after);
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
    cache.set_quotas(0.0, quotas(size));
    cache.set_assignment(&assignment());
    cache.set_fleet_size(size.gateways as u32);
    cache.record_contact(0.0);
    cache
}

fn quota_costs(size: &Size) -> Vec<StepCost> {
    // A holder answers each lease request, then checks all floors, as the control plane makes it do.
    let answered = measure(
        LONG_TURNS,
        || holder(size),
        |quota_service, turn| {
            let request = lease_request(turn as u64, turn % size.tenants..turn % size.tenants + 1);
            let _ = quota_service.handle_request(turn as f64, &gateway_name(turn % size.gateways), &request);
        },
    );
    let floors = measure(
        LONG_TURNS,
        || holder(size),
        |quota_service, turn| {
            let _ = quota_service.propose_floors(turn as f64);
            let _ = quota_service.needs_lower_floor();
        },
    );
    // For each request without a unit, a data plane queries the cache, collects lease requests and checks deadlines.
    let asked = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, turn| {
            let now = turn as f64;
            cache.admit(now, turn as u64, &tenant_name(turn % size.tenants), 36.0);
        },
    );
    let looked = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, turn| {
            let _ = cache.lease_requests(turn as f64);
        },
    );
    let due = measure(
        LONG_TURNS,
        || lease_cache(size),
        |cache, turn| {
            cache.tick(turn as f64, &mut Vec::new());
            let _ = std::hint::black_box(cache.next_deadline());
        },
    );
    let sent = measure(
        SHORT_TURNS,
        || (),
        |(), turn| {
            drop(std::hint::black_box(frame(&Message::LeaseRequest(lease_request(turn as u64, 7..8)))))
        },
    );
    let bytes = frame(&Message::LeaseRequest(lease_request(7, 7..8)));
    let read = measure(SHORT_TURNS, || (), |(), _| drop(std::hint::black_box(unframe::<Message>(&bytes))));
    vec![
        cost_of(step::ANSWER, answered),
        cost_of(step::FLOORS, floors),
        cost_of(step::ASK, asked),
        cost_of(step::LOOK, looked),
        cost_of(step::DUE, due),
        cost_of(step::ENCODE, sent),
        cost_of(step::DECODE, read),
    ]
}

fn registry_costs(size: &Size) -> Vec<StepCost> {
    let full = || {
        let mut register = Register::new(HEARTBEAT_MS);
        for backend in backends(size) {
            register.beat(0, backend);
        }
        register
    };
    let beat = measure(SHORT_TURNS, full, |register, turn| {
        let mut word = backend(turn % size.backends);
        word.call_count += 1_000_000 + turn as u64;
        register.beat(turn as u64, word);
    });
    let heard = measure(SHORT_TURNS, full, |register, turn| {
        let id = backend_id(turn % size.backends);
        let _ = register.alive(turn as u64, &[(id, 1_000_000 + turn as u64)]);
    });
    let round = measure(LONG_TURNS, full, |register, turn| {
        let _ = register.round();
        let _ = register.sweep(turn as u64);
    });
    let fleet = || {
        let mut fleet = Fleet::default();
        (0..size.gateways).for_each(|n| fleet.heard(0, &gateway_name(n), 7));
        fleet
    };
    let number = measure(SHORT_TURNS, fleet, |fleet, turn| {
        std::hint::black_box(fleet.number_within(0, u64::MAX, &gateway_name(turn % size.gateways)));
    });
    vec![
        cost_of(step::BEAT, beat),
        cost_of(step::HEARD, heard),
        cost_of(step::ROUND, round),
        cost_of(step::NUMBER, number),
    ]
}
