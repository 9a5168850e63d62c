//! Faults that tests plant to see that their checks find them.

/// Which are planted. All off in service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A leader answers and refuses calls without its lease.
    pub ignores_lease: bool,
    /// A change is acknowledged before a majority has it.
    pub acknowledges_early: bool,
    /// Whoever hears a leader, or news of one, takes what it has for being of this moment.
    pub trusts_heartbeats: bool,
    /// A process that is cut off acknowledges that backends drain.
    pub acknowledges_drains_locally: bool,
    /// Data planes are told that the leader's answer is of this moment, however old it is.
    pub reports_zero_age: bool,
}
