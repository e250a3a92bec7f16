//! Which decisions under load the configuration asks for.
//!
//! Each part is off unless the configuration turns it on. None changes anything while
//! there is room for all that is asked.

/// Parts of the scheduler that a configuration turns on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Each priority goes before the next, not only the most urgent before all others.
    pub priority_classes: bool,
    /// Gates keep some room free for runs that are more urgent than the one that asks.
    pub headroom: bool,
    /// A job that misses its objective is served with spare room while its caller waits,
    /// where it would be refused otherwise.
    pub deferral: bool,
    /// Where room is short, kinds of jobs that ask for more than they usually do are
    /// refused first.
    pub fair_shares: bool,
    /// Placement goes by the speed of each worker, told apart from long tasks.
    pub worker_speeds: bool,
    /// An entry that falls behind refuses what it would answer late.
    pub lag_limit: bool,
}

impl Scheduling {
    /// All parts.
    pub const ALL: Scheduling = Scheduling {
        priority_classes: true,
        headroom: true,
        deferral: true,
        fair_shares: true,
        worker_speeds: true,
        lag_limit: true,
    };

    /// What does not go together, in words for the operator; empty if all is well.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.headroom && !self.priority_classes {
            faults.push("scheduling: headroom needs priority_classes".to_string());
        }
        faults
    }
}
