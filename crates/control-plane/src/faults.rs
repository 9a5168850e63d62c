//! Faults that tests inject to verify that their checks detect them.

/// The injected faults; all off in production.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A leader answers and refuses calls without holding its lease.
    pub ignores_lease: bool,
    /// A change is acknowledged before a majority has stored it.
    pub acknowledges_early: bool,
    /// A process treats every heartbeat as proof that its state is current.
    pub trusts_heartbeats: bool,
    /// An isolated process acknowledges drains of backends.
    pub acknowledges_drains_locally: bool,
    /// Data planes receive an age of zero for the leader's confirmation, however old it is.
    pub reports_zero_age: bool,
}
