//! The decisions of the program in service: the shared engine, on its own protocol and with the shared counter.

use crate::backends::pool::{BackendProtocol, Backends};
use crate::control::counter::CounterClient;
use crate::observe::metrics::Metrics;
use crate::time::clock::to_duration;
use doorcourse::{Settings, SettingsError};
use http_proxy::engine::Counter;
pub use http_proxy::engine::{HealthObserver, Reply};
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs the decisions.
pub type Engine = http_proxy::engine::Engine<BackendProtocol>;
/// A request whose client waits.
pub type RequestGuard = http_proxy::engine::RequestGuard<BackendProtocol>;

/// An engine with nothing to do yet.
///
/// # Errors
/// When the settings cannot be used.
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
