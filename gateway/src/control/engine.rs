//! The decision engine of the gateway, with the gateway's backend protocol and the shared counter.

use crate::backends::pool::{BackendProtocol, Backends};
use crate::control::counter::CounterClient;
use crate::observe::metrics::Metrics;
use crate::time::clock::to_duration;
use doorcourse::{Settings, SettingsError};
use http_proxy::engine::Counter;
pub use http_proxy::engine::{HealthObserver, Reply};
use std::net::SocketAddr;
use std::rc::Rc;

/// The engine that runs the gateway's decisions.
pub type Engine = http_proxy::engine::Engine<BackendProtocol>;
/// Guard of a submitted request.
pub type RequestGuard = http_proxy::engine::RequestGuard<BackendProtocol>;

/// Creates an engine without requests.
///
/// # Errors
/// When the settings are invalid.
pub fn start(
    settings: Settings, seed: u64, backends: Rc<Backends>, counter: Option<SocketAddr>, metrics: Rc<Metrics>,
) -> Result<Rc<Engine>, SettingsError> {
    let (timeout, usage) = (to_duration(settings.counter_timeout), metrics.usage().clone());
    let counter = |report| {
        let start =
            |address| Box::new(CounterClient::start(address, timeout, report, usage)) as Box<dyn Counter>;
        counter.map(start)
    };
    Engine::start(settings, seed, backends, counter, metrics)
}
