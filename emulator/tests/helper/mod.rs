//! Small days, and gateways that do what a test tells them.
#![allow(dead_code)]

use doorcourse::{Action, Event, Millis, Settings, SettingsError};
use fennelscale_lab::books::Books;
use fennelscale_lab::decider::{Decider, Policy, TrueStateView};
use fennelscale_lab::draw::Day;
use fennelscale_lab::scenario::Scenario;
use fennelscale_lab::world::{Record, World};
use std::path::Path;
use std::sync::Arc;

/// The head of a scenario of a few machines and 8 s; troubles follow.
pub const SMALL: &str =
    "name = \"test\"\ngateways = 3\nbackends = [8, 10]\nlength_s = 8\npace = 0.5\nrates = 1.6\n";

/// A scenario of a few machines with these troubles.
pub fn small(troubles: &str) -> Arc<Scenario> {
    let text = format!("{SMALL}{troubles}");
    Arc::new(Scenario::parse("test.toml", &text, Path::new("")).expect("a usable scenario"))
}

/// A day's record and its books.
pub fn play(day: &Day, policy: &dyn Policy) -> (Record, Books) {
    let record = World::new(day, policy).run();
    let books = Books::close(day, &record);
    (record, books)
}

/// What a twisted gateway does after the honest one has acted.
pub type Twist = fn(Millis, &Event, &mut Vec<Action>);

/// The honest decisions, with their actions twisted.
pub struct Twisted(pub Twist);

struct TwistedGateway(doorcourse::Gateway, Twist);

impl Decider for TwistedGateway {
    fn handle(&mut self, now: Millis, event: Event, _: &TrueStateView<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event.clone(), out);
        (self.1)(now, &event, out);
    }
}

impl Policy for Twisted {
    fn name(&self) -> &str {
        "twisted"
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(Box::new(TwistedGateway(doorcourse::Gateway::new(settings, seed)?, self.0)))
    }
}
