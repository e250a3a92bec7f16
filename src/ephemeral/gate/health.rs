//! How the worker does: run times against expectation, failures, stalls.

use std::collections::VecDeque;
use std::time::Duration;

use super::speed::Speed;
use crate::time::{Moment, micros};

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
/// Weight of a new measure of the pace; there is one in 30 ms.
const PACE_WEIGHT: f64 = 0.4;
/// How long a worker counts as slow after the last sign of it.
const FORGET: Duration = Duration::from_secs(1);
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
    /// Run time against expectation, over many runs.
    usual: f64,
    /// The same over the last few runs.
    lately: f64,
    /// The same as running ones get on now.
    pace: f64,
    measured: u32,
    heard_us: u64,
    speed: Speed,
    /// Whether medians tell how fast the worker is, not means.
    by_median: bool,
    /// Whether the log says that the worker is slow.
    logged_slow: bool,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            recent: VecDeque::new(),
            mean_run_us: 0.0,
            usual: 1.0,
            lately: 1.0,
            pace: 1.0,
            measured: 0,
            heard_us: 0,
            speed: Speed::default(),
            by_median: false,
            logged_slow: false,
        }
    }
}

impl Health {
    /// Whether medians tell how fast the worker is, not means.
    pub fn set_by_median(&mut self, by_median: bool) {
        self.by_median = by_median;
    }

    /// A run was finished.
    pub fn finished(&mut self, now: Moment, run_us: u64, expected_us: u64) {
        self.push(true);
        self.heard_us = now.mono_us;
        self.mean_run_us = match self.mean_run_us {
            0.0 => run_us as f64,
            mean => mean + MEAN_WEIGHT * (run_us as f64 - mean),
        };
        self.measure(now, run_us, expected_us);
    }

    /// A run took, or will take, `run_us` where `expected_us` was expected.
    fn measure(&mut self, now: Moment, run_us: u64, expected_us: u64) {
        if expected_us < LEAST_MEASURED_US {
            return;
        }
        let ratio = (run_us as f64 / expected_us as f64).min(MOST_RATIO);
        self.speed.learn(now, ratio);
        self.lately += LATELY_WEIGHT * (ratio - self.lately);
        if self.lately.max(self.pace) > self.usual * SLOW_FROM {
            return;
        }
        self.measured += 1;
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.measured + 1));
        self.usual += weight * (ratio - self.usual);
    }

    /// Runs get on at this slowness now.
    pub fn paced(&mut self, now: Moment, slowness: f64) {
        self.heard_us = now.mono_us;
        self.pace += PACE_WEIGHT * (slowness.min(MOST_RATIO) - self.pace);
    }

    /// Forgets that the worker was slow if nothing tells so any more, so that it
    /// is tried again.
    pub fn forget_old(&mut self, now: Moment) {
        if now.mono_us > self.heard_us + micros(FORGET) {
            self.lately = self.usual;
            self.pace = self.usual();
        }
        self.speed.forget_old(now);
    }

    fn lately(&self) -> f64 {
        match self.by_median {
            true => self.speed.lately(),
            false => self.lately,
        }
    }

    /// Whether the worker is much slower now than it usually is.
    pub fn is_slow(&self) -> bool {
        self.lately().max(self.pace) > self.usual() * SLOW_FROM
    }

    /// Whether the worker has turned slow, or got well, since the last call.
    pub fn take_turn(&mut self) -> Option<bool> {
        let slow = self.is_slow();
        let turned = self.logged_slow != slow;
        self.logged_slow = slow;
        turned.then_some(slow)
    }

    /// Whether medians tell how fast the worker is, not means.
    pub fn by_median(&self) -> bool {
        self.by_median
    }

    /// Run time against expectation, over many runs.
    pub fn usual(&self) -> f64 {
        match self.by_median {
            true => self.speed.usual(),
            false => self.usual,
        }
    }

    /// Run time against expectation now.
    pub fn slowness(&self) -> f64 {
        match self.is_slow() {
            true => self.lately().max(self.pace),
            false => self.usual(),
        }
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
        (self.slowness() * 100.0) as u32
    }
}
