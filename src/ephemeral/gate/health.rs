//! How the worker does: run times against expectation, failures, stalls.

use std::collections::VecDeque;

/// Runs that are looked back on.
const WINDOW: usize = 8;
/// Bad runs in the window from which the worker is suspect; a lone failure is
/// usually the task's own.
const SUSPECT_FROM: usize = 3;
/// Weight of a new run in the means.
const WEIGHT: f64 = 0.1;
/// Shortest run that says something of speed, in microseconds; below it the
/// overhead of an order dominates.
const LEAST_MEASURED_US: u64 = 10_000;

/// Statistics of recent runs.
#[derive(Debug)]
pub(super) struct Health {
    recent: VecDeque<bool>,
    mean_run_us: f64,
    slowness: f64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            recent: VecDeque::new(),
            mean_run_us: 0.0,
            slowness: 1.0,
        }
    }
}

impl Health {
    /// A run was finished.
    pub fn finished(&mut self, run_us: u64, expected_us: u64) {
        self.push(true);
        self.mean_run_us = match self.mean_run_us {
            0.0 => run_us as f64,
            mean => mean + WEIGHT * (run_us as f64 - mean),
        };
        self.measure(run_us, expected_us);
    }

    /// A run took, or will take, `run_us` where `expected_us` was expected.
    pub fn measure(&mut self, run_us: u64, expected_us: u64) {
        if expected_us < LEAST_MEASURED_US {
            return;
        }
        let ratio = run_us as f64 / expected_us as f64;
        self.slowness += WEIGHT * (ratio.min(10.0) - self.slowness);
    }

    /// A run failed or stalled.
    pub fn went_wrong(&mut self) {
        self.push(false);
    }

    fn push(&mut self, good: bool) {
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(good);
    }

    /// Whether the worker should get no more than one run at a time.
    pub fn suspect(&self) -> bool {
        let bad = self.recent.iter().filter(|good| !**good).count();
        bad >= SUSPECT_FROM
    }

    pub fn mean_run_us(&self) -> u64 {
        self.mean_run_us as u64
    }

    pub fn slowness_percent(&self) -> u32 {
        (self.slowness * 100.0) as u32
    }
}
