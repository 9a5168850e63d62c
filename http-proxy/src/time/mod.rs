//! Time: the one clock of a gateway, and the budget of time of each request.

pub mod budget;
pub mod clock;
