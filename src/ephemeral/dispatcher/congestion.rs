//! Whether workers are full for a moment or for long.
//!
//! A short rush is best waited out. Where the wait for room stands, waiting
//! serves nobody: each job that is let wait makes the next one late. So the part
//! of its patience that a job may wait shrinks with the wait that jobs have found
//! of late.

use crate::time::Moment;

/// Time over which waits are looked back on, in typical run times: in about one, a
/// rush either ends or has filled the queues.
const LOOK_BACK: f64 = 1.25;
/// Part of their patience that jobs wait from which congestion stands in full.
const STANDING: f64 = 0.35;
/// Most of the look-back that one job stands for.
const MOST_WEIGHT: f64 = 0.25;

/// The wait for room that jobs have found of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Congestion {
    /// In parts of the patience of the jobs that found it.
    wait: f64,
    at_us: u64,
}

impl Congestion {
    /// A job found that its first task would wait for `wait`, as a part of its
    /// patience, where tasks typically run for `typical_us`.
    pub fn observe(&mut self, now: Moment, wait: f64, typical_us: u64) {
        let look_back_us = LOOK_BACK * typical_us.max(1) as f64;
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.at_us = now.mono_us;
        let kept = (-elapsed_us / look_back_us).exp();
        // After a pause a single job does not tell that congestion stands.
        let added = 1.0 - (-elapsed_us / look_back_us).max(-MOST_WEIGHT).exp();
        self.wait = kept * self.wait + added * wait.min(1.0);
    }

    /// How far congestion stands: 0 where there is room, 1 where there is none.
    pub fn level(&self) -> f64 {
        (self.wait / STANDING).min(1.0)
    }
}
