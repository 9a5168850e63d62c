//! The decisions of the program in service: the shared engine, on its own protocol and with the shared counter.

use crate::backends::pool::{Backends, Speech};
use crate::control::counter::Counter;
use crate::observe::figures::Figures;
use crate::time::clock::span;
use doorcourse::{Settings, SettingsError};
use http_proxy::engine::Count;
pub use http_proxy::engine::{Judged, Reply};
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs the decisions.
pub type Engine = http_proxy::engine::Engine<Speech>;
/// A request whose client waits.
pub type Waiting = http_proxy::engine::Waiting<Speech>;

/// An engine with nothing to do yet.
///
/// # Errors
/// When the settings cannot be used.
pub fn start(
    settings: Settings, seed: u64, backends: Rc<Backends>, counter: Option<SocketAddr>, figures: Rc<Figures>,
) -> Result<Rc<Engine>, SettingsError> {
    let (patience, cost) = (span(settings.counter_timeout), figures.cost().clone());
    let counter = |report| {
        let start = |address| Box::new(Counter::start(address, patience, report, cost)) as Box<dyn Count>;
        counter.map(start)
    };
    Engine::start(settings, seed, backends, counter, figures)
}
