//! How the worker does: run times against expectation, failures, stalls.

use std::collections::VecDeque;

/// Runs that are looked back on.
const WINDOW: usize = 8;
/// Bad runs in the window from which the worker is suspect; a lone failure is
/// usually the task's own.
const SUSPECT_FROM: usize = 3;
/// Weight of a new run in the mean run time.
const MEAN_WEIGHT: f64 = 0.1;
/// Least weight of a new run in the worker's usual slowness: estimates of single
/// runs are off by 40%, speeds of workers differ by 25%.
const USUAL_WEIGHT: f64 = 0.04;
/// Weight of a new run in the slowness of late.
const LATELY_WEIGHT: f64 = 0.3;
/// How much slower than usual a worker must be of late for that to count.
const SLOW_FROM: f64 = 1.8;
/// Largest ratio of a run that counts.
const MOST_RATIO: f64 = 10.0;
/// Shortest run that says something of speed, in microseconds; below it the
/// overhead of an order dominates.
const LEAST_MEASURED_US: u64 = 10_000;

/// Statistics of recent runs.
#[derive(Debug)]
pub(super) struct Health {
    recent: VecDeque<bool>,
    mean_run_us: f64,
    usual: f64,
    lately: f64,
    measured: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            recent: VecDeque::new(),
            mean_run_us: 0.0,
            usual: 1.0,
            lately: 1.0,
            measured: 0,
        }
    }
}

impl Health {
    /// A run was finished.
    pub fn finished(&mut self, run_us: u64, expected_us: u64) {
        self.push(true);
        self.mean_run_us = match self.mean_run_us {
            0.0 => run_us as f64,
            mean => mean + MEAN_WEIGHT * (run_us as f64 - mean),
        };
        self.measure(run_us, expected_us);
    }

    /// A run took, or will take, `run_us` where `expected_us` was expected.
    pub fn measure(&mut self, run_us: u64, expected_us: u64) {
        if expected_us < LEAST_MEASURED_US {
            return;
        }
        let ratio = (run_us as f64 / expected_us as f64).min(MOST_RATIO);
        self.lately += LATELY_WEIGHT * (ratio - self.lately);
        if self.is_slow() {
            return;
        }
        self.measured += 1;
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.measured + 1));
        self.usual += weight * (ratio - self.usual);
    }

    fn is_slow(&self) -> bool {
        self.lately > self.usual * SLOW_FROM
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
        let slowness = match self.is_slow() {
            true => self.lately,
            false => self.usual,
        };
        (slowness * 100.0) as u32
    }
}
