//! Small simulated days, and gateways whose actions a test modifies.
#![allow(dead_code)]

use doorcourse::{Action, Event, Millis, Settings, SettingsError};
use fennelscale_lab::books::Books;
use fennelscale_lab::decider::{Decider, Policy, TrueStateView};
use fennelscale_lab::draw::Day;
use fennelscale_lab::scenario::Scenario;
use fennelscale_lab::world::{Record, World};
use std::path::Path;
use std::sync::Arc;

/// The head of a scenario with a few machines and 8 s; tests append troubles.
pub const SMALL: &str =
    "name = \"test\"\ngateways = 3\nbackends = [8, 10]\nlength_s = 8\npace = 0.5\nrates = 1.6\n";

/// A scenario with a few machines and these troubles.
pub fn small(troubles: &str) -> Arc<Scenario> {
    let text = format!("{SMALL}{troubles}");
    Arc::new(Scenario::parse("test.toml", &text, Path::new("")).expect("the scenario is valid"))
}

/// Simulates a day and returns its record and books.
pub fn play(day: &Day, policy: &dyn Policy) -> (Record, Books) {
    let record = World::new(day, policy).run();
    let books = Books::close(day, &record);
    (record, books)
}

/// Modifies the actions that a gateway has returned for an event.
pub type ModifyActions = fn(Millis, &Event, &mut Vec<Action>);

/// The library's policy, with modified actions.
pub struct Modified(pub ModifyActions);

struct ModifiedDecider(doorcourse::Gateway, ModifyActions);

impl Decider for ModifiedDecider {
    fn handle(&mut self, now: Millis, event: Event, _: &TrueStateView<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event.clone(), out);
        (self.1)(now, &event, out);
    }
}

impl Policy for Modified {
    fn name(&self) -> &str {
        "modified"
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(Box::new(ModifiedDecider(doorcourse::Gateway::new(settings, seed)?, self.0)))
    }
}
