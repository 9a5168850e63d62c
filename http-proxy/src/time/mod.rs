//! Wall clock of the gateway, backoff, and time budgets of requests.

pub mod budget;
pub mod clock;
