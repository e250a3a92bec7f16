//! Scheduling features that the configuration enables. All are off by default, and none has
//! an effect while there is room for all requests.

/// Features of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// All priorities are ordered; otherwise only the most urgent one goes before the others.
    pub priority_classes: bool,
    /// Gates keep room free for runs that are more urgent than the one to start.
    pub headroom: bool,
    /// A job that misses its objective is served with spare room while its caller waits,
    /// instead of being refused.
    pub deferral: bool,
    /// Under load, kinds of jobs that exceed their usual demand are refused first.
    pub fair_shares: bool,
    /// Placement uses the speed of each worker, measured such that the few long tasks do not
    /// distort it.
    pub worker_speeds: bool,
    /// An overloaded entry refuses jobs that it would answer late.
    pub lag_limit: bool,
}

impl Scheduling {
    /// All features.
    pub const ALL: Scheduling = Scheduling {
        priority_classes: true,
        headroom: true,
        deferral: true,
        fair_shares: true,
        worker_speeds: true,
        lag_limit: true,
    };

    /// Conflicts between the features, for the operator; empty if there are none.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.headroom && !self.priority_classes {
            faults.push("scheduling: headroom needs priority_classes".to_string());
        }
        faults
    }
}
