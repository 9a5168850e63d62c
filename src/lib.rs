//! doorcourse makes the decisions of a fleet of API gateways: rate limits per customer, the choice of backends,
//! retries, load shedding and ejection of backends. It does no input or output and reads no clock: the host passes
//! events with their times to a [`Gateway`] and carries out the actions that the gateway returns.
//!
//! ```
//! use doorcourse::{
//!     Action, Arrival, BackendEntry, BackendState, Class, DedupScope, Event, Gateway, Idempotency, Plan,
//! };
//!
//! let settings = doorcourse::Settings {
//!     gateways: 1, gateway_index: 0, zone: "a".into(), tick: 1.0,
//!     classes: vec![Class { name: "read".into(), latency_target: 500.0, idempotency: Idempotency::Safe,
//!         dedup_scope: DedupScope::All, dedup_window: 0.0, worth: 1.0, late_worth: 0.0 }],
//!     plans: vec![Plan { name: "basic".into(), rate: 5.0, burst: 10.0, open: 0, ceiling_rate: 0.0,
//!         ceiling_burst: 0.0, ceiling_slack: 0.0, price: 1.0, over_worth: 0.0, over_cost: 1.0 }],
//!     max_attempts: 3, max_retry_after: 1000.0, ..Default::default()
//! };
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let backend = BackendEntry { name: "b1".into(), zone: "a".into(), cell: 0, state: BackendState::Ready,
//!     started: None };
//! gateway.handle(0.0, Event::BackendList(vec![backend]), &mut actions);
//! gateway.handle(1.0, Event::Request(Arrival { id: 1, customer: "c".into(), plan: "basic".into(),
//!     class: "read".into(), units: 1.0, repeat: false, deadline: 1900.0, first_gateway: 0, spread: 1 }),
//!     &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! # Ok::<(), doorcourse::SettingsError>(())
//! ```
//!
//! # What the host must provide
//!
//! - One [`Gateway`] in a process of its own; after a restart a new one, with a fresh seed and the last list.
//!   Each gateway needs a different seed: gateways with equal seeds would make the same random choices.
//! - Clocks that agree among gateways to well within the shortest window of any plan: the name of a count contains
//!   the window's number. Gateways whose clocks differ by a window use different counts, and each grants the quota
//!   again.
//! - A counter that adds an amount to a named number and replies with the total. A call without a reply in time is
//!   reported as [`CountOutcome::Unknown`]. Each call has one reply, in the order of the calls of a name.
//! - Every timer, once, at or after its time.
//! - For every [`Action::Send`] exactly one [`Event::AttemptEnded`], no later than the client's deadline.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod interface;
mod logic;

pub use interface::*;
pub use logic::{Gateway, HandoverState};
