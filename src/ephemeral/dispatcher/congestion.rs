//! Congestion level: whether workers are full for a moment or persistently.
//!
//! Waiting is worthwhile during a short burst, but in persistent congestion each job that
//! waits delays the next one. Admission therefore allows shorter waits as the level rises.
//! The level follows the expected waits of recent jobs. It is kept by priority, as less
//! urgent jobs do not delay more urgent ones.

use std::collections::BTreeMap;

use crate::ephemeral::job::Priority;
use crate::time::Moment;

/// Time constant of the average, in typical run times; in about one, a burst either ends or has
/// filled the queues.
const WINDOW_RUN_TIMES: f64 = 1.25;
/// Average wait, as a share of patience, at which the level is 1.
const FULL_LEVEL_WAIT: f64 = 0.35;
/// Limit of the elapsed time that one job accounts for, in time constants.
const MAX_SAMPLE_TIME: f64 = 0.25;

/// Average expected wait of recent jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Congestion {
    /// As a share of the jobs' patience.
    wait: f64,
    at_us: u64,
}

impl Congestion {
    /// Records that the first task of a job is expected to wait for `wait`, as a share of
    /// its patience, where tasks typically run for `typical_us`.
    pub fn observe(&mut self, now: Moment, wait: f64, typical_us: u64) {
        let elapsed = self.elapsed(now, typical_us);
        self.at_us = now.mono_us;
        // After a pause, a single job must not raise the level to its own wait.
        let added = 1.0 - (-elapsed).max(-MAX_SAMPLE_TIME).exp();
        self.wait = (-elapsed).exp() * self.wait + added * wait.min(1.0);
    }

    /// Time since the last job, in time constants.
    fn elapsed(&self, now: Moment, typical_us: u64) -> f64 {
        let window_us = WINDOW_RUN_TIMES * typical_us.max(1) as f64;
        now.mono_us.saturating_sub(self.at_us) as f64 / window_us
    }

    /// Level at the last job: 0 if there was room, 1 at full congestion.
    pub fn level(&self) -> f64 {
        (self.wait / FULL_LEVEL_WAIT).min(1.0)
    }

    /// Level, decayed up to now.
    fn decayed_level(&self, now: Moment, typical_us: u64) -> f64 {
        let wait = self.wait * (-self.elapsed(now, typical_us)).exp();
        (wait / FULL_LEVEL_WAIT).min(1.0)
    }
}

/// Congestion by priority.
#[derive(Debug, Default)]
pub(super) struct CongestionByPriority {
    classes: BTreeMap<Priority, Congestion>,
}

impl CongestionByPriority {
    /// Congestion for jobs of `priority`.
    pub fn class(&mut self, priority: Priority) -> &mut Congestion {
        self.classes.entry(priority).or_default()
    }

    /// Highest level among priorities more urgent than `priority`.
    pub fn level_above(&self, now: Moment, priority: Priority, typical_us: u64) -> f64 {
        let more_urgent = self.classes.range(..priority);
        let levels = more_urgent.map(|(_, class)| class.decayed_level(now, typical_us));
        levels.fold(0.0, f64::max)
    }
}
