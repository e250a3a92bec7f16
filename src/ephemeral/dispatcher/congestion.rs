//! Whether workers are full for a moment or for long.
//!
//! A short rush is best waited out. Where the wait for room stands, waiting
//! serves nobody: each job that is let wait makes the next one late. So the part
//! of its patience that a job may wait shrinks with the wait that jobs have found
//! of late.

use std::time::Duration;

use crate::time::{Moment, micros};

/// Time over which waits are looked back on: the sites' mean run time, in which
/// a rush either ends or has filled the queues.
const LOOK_BACK: Duration = Duration::from_millis(200);
/// Wait, in microseconds, from which congestion stands in full: a worker of ten
/// tasks of the sites' mean run time then has two that wait.
const STANDING_US: f64 = 40_000.0;
/// Most of the look-back that one job stands for.
const MOST_WEIGHT: f64 = 0.25;

/// The wait for room that jobs have found of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Congestion {
    wait_us: f64,
    at_us: u64,
}

impl Congestion {
    /// A job found that its first task would wait this long.
    pub fn observe(&mut self, now: Moment, wait_us: u64) {
        let look_back_us = micros(LOOK_BACK) as f64;
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.at_us = now.mono_us;
        let kept = (-elapsed_us / look_back_us).exp();
        // After a pause a single job does not tell that congestion stands.
        let added = 1.0 - (-elapsed_us / look_back_us).max(-MOST_WEIGHT).exp();
        self.wait_us = kept * self.wait_us + added * wait_us as f64;
    }

    /// How far congestion stands: 0 where there is room, 1 where there is none.
    pub fn level(&self) -> f64 {
        (self.wait_us / STANDING_US).min(1.0)
    }
}
