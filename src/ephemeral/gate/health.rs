//! Health statistics of a worker: run times against expectation, failures and stalls.

use std::collections::VecDeque;
use std::time::Duration;

use super::speed::Speed;
use crate::time::{Moment, micros};

/// Number of recent outcomes considered.
const OUTCOME_WINDOW: usize = 8;
/// Failures within [`OUTCOME_WINDOW`] from which the worker is suspect; a single failure is
/// usually the task's own.
const SUSPECT_FAILURES: usize = 3;
/// Weight of a new run in the mean run time.
const MEAN_WEIGHT: f64 = 0.1;
/// Minimum weight of a new run in the baseline slowness; low, as estimates of single runs
/// vary more than worker speeds.
const BASELINE_WEIGHT: f64 = 0.04;
/// Weight of a new run in the recent slowness.
const RECENT_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the pace.
const PACE_WEIGHT: f64 = 0.4;
/// Time without samples after which the recent slowness is reset.
const SAMPLE_EXPIRY: Duration = Duration::from_secs(1);
/// Ratio to the baseline from which a worker counts as slow.
const SLOW_FACTOR: f64 = 1.8;
/// Cap on the ratio of actual to expected run time of a single run.
const MAX_RATIO: f64 = 10.0;
/// Shortest expected run time that is measured, in microseconds; for shorter runs the
/// overhead dominates.
const MIN_MEASURED_US: u64 = 10_000;

/// Statistics of recent runs.
#[derive(Debug)]
pub(super) struct Health {
    /// Whether each recent run was done, as opposed to failed, stalled or ended because its
    /// lease expired; newest last.
    outcomes: VecDeque<bool>,
    /// Moving average of the run times, in microseconds; 0 before the first run.
    mean_run_us: f64,
    /// Long-term ratio of actual to expected run time.
    baseline: f64,
    /// Short-term ratio of actual to expected run time.
    recent: f64,
    /// Ratio estimated from the progress of current runs.
    pace: f64,
    /// Number of runs in `baseline`.
    measured_runs: u32,
    /// Time of the last finished run or sample of the pace, in monotonic microseconds.
    last_sample_us: u64,
    /// The same ratios by median.
    speed: Speed,
    /// Whether ratios are aggregated by median instead of mean.
    by_median: bool,
    /// Last logged value of [`Health::is_slow`].
    logged_slow: bool,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            outcomes: VecDeque::new(),
            mean_run_us: 0.0,
            baseline: 1.0,
            recent: 1.0,
            pace: 1.0,
            measured_runs: 0,
            last_sample_us: 0,
            speed: Speed::default(),
            by_median: false,
            logged_slow: false,
        }
    }
}

impl Health {
    /// Sets whether ratios are aggregated by median instead of mean.
    pub fn set_by_median(&mut self, by_median: bool) {
        self.by_median = by_median;
    }

    /// Records a finished run.
    pub fn record_finished(&mut self, now: Moment, run_us: u64, expected_us: u64) {
        self.push(true);
        self.last_sample_us = now.mono_us;
        self.mean_run_us = match self.mean_run_us {
            0.0 => run_us as f64,
            mean => mean + MEAN_WEIGHT * (run_us as f64 - mean),
        };
        self.measure(now, run_us, expected_us);
    }

    /// Records the run time of a finished run against its expectation.
    fn measure(&mut self, now: Moment, run_us: u64, expected_us: u64) {
        if expected_us < MIN_MEASURED_US {
            return;
        }
        let ratio = (run_us as f64 / expected_us as f64).min(MAX_RATIO);
        self.speed.record(now, ratio);
        self.recent += RECENT_WEIGHT * (ratio - self.recent);
        if self.recent.max(self.pace) > self.baseline * SLOW_FACTOR {
            return;
        }
        self.measured_runs += 1;
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(self.measured_runs + 1));
        self.baseline += weight * (ratio - self.baseline);
    }

    /// Records the slowness estimated from the progress of current runs.
    pub fn record_pace(&mut self, now: Moment, slowness: f64) {
        self.last_sample_us = now.mono_us;
        self.pace += PACE_WEIGHT * (slowness.min(MAX_RATIO) - self.pace);
    }

    /// Resets the recent slowness if there are no new samples, so that a slow worker gets
    /// runs again.
    pub fn expire_samples(&mut self, now: Moment) {
        if now.mono_us > self.last_sample_us + micros(SAMPLE_EXPIRY) {
            self.recent = self.baseline;
            self.pace = self.baseline();
        }
        self.speed.expire_samples(now);
    }

    fn recent(&self) -> f64 {
        match self.by_median {
            true => self.speed.recent(),
            false => self.recent,
        }
    }

    /// Whether the worker is much slower than its baseline.
    pub fn is_slow(&self) -> bool {
        self.recent().max(self.pace) > self.baseline() * SLOW_FACTOR
    }

    /// Returns the new value of [`Health::is_slow`] if it has changed since the last call.
    pub fn take_slow_change(&mut self) -> Option<bool> {
        let slow = self.is_slow();
        let changed = self.logged_slow != slow;
        self.logged_slow = slow;
        changed.then_some(slow)
    }

    /// Whether ratios are aggregated by median instead of mean.
    pub fn by_median(&self) -> bool {
        self.by_median
    }

    /// Long-term ratio of actual to expected run time.
    pub fn baseline(&self) -> f64 {
        match self.by_median {
            true => self.speed.baseline(),
            false => self.baseline,
        }
    }

    /// Current ratio of actual to expected run time.
    pub fn slowness(&self) -> f64 {
        match self.is_slow() {
            true => self.recent().max(self.pace),
            false => self.baseline(),
        }
    }

    /// Records a failed or stalled run.
    pub fn record_failure(&mut self) {
        self.push(false);
    }

    fn push(&mut self, good: bool) {
        if self.outcomes.len() == OUTCOME_WINDOW {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(good);
    }

    /// Whether the worker should get at most one run at a time.
    pub fn is_suspect(&self) -> bool {
        let bad = self.outcomes.iter().filter(|good| !**good).count();
        bad >= SUSPECT_FAILURES
    }

    pub fn mean_run_us(&self) -> u64 {
        self.mean_run_us as u64
    }

    pub fn slowness_percent(&self) -> u32 {
        (self.slowness() * 100.0) as u32
    }
}
