//! Speed of a worker, as the median ratio of actual to expected run time. The median, unlike
//! the mean, is insensitive to the few tasks that take several times as long as expected.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::{Moment, micros};

/// Number of samples in the baseline.
const BASELINE_RUNS: usize = 63;
/// Number of samples in the recent speed.
const RECENT_RUNS: usize = 11;
/// Minimum samples for a median.
const MIN_RUNS: usize = 3;
/// Time without a run after which a sample is dropped, so that a slow worker gets runs
/// again.
const SAMPLE_EXPIRY: Duration = Duration::from_secs(1);

/// Ratios of actual to expected run time of recent runs.
#[derive(Debug)]
pub(super) struct Speed {
    /// The samples, oldest first.
    ratios: VecDeque<f64>,
    /// Median of all samples; 1 if there are too few.
    baseline: f64,
    /// Median of the newest samples; the baseline if there are too few.
    recent: f64,
    /// Time at which a sample was last added or dropped, in monotonic microseconds.
    last_sample_us: u64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            ratios: VecDeque::with_capacity(BASELINE_RUNS),
            baseline: 1.0,
            recent: 1.0,
            last_sample_us: 0,
        }
    }
}

impl Speed {
    /// Records the ratio of a run.
    pub fn record(&mut self, now: Moment, ratio: f64) {
        if self.ratios.len() == BASELINE_RUNS {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        self.last_sample_us = now.mono_us;
        self.update();
    }

    /// Drops one sample if there has been no run for [`SAMPLE_EXPIRY`].
    pub fn expire_samples(&mut self, now: Moment) {
        if now.mono_us > self.last_sample_us + micros(SAMPLE_EXPIRY) && !self.ratios.is_empty() {
            self.ratios.pop_front();
            self.last_sample_us = now.mono_us;
            self.update();
            self.recent = self.baseline;
        }
    }

    fn update(&mut self) {
        self.baseline = median(self.ratios.iter().copied()).unwrap_or(1.0);
        let recent = self.ratios.iter().rev().take(RECENT_RUNS).copied();
        self.recent = median(recent).unwrap_or(self.baseline);
    }

    /// Median ratio of all samples.
    pub fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Median ratio of the last few samples.
    pub fn recent(&self) -> f64 {
        self.recent
    }
}

/// The lower median; `None` if there are too few samples.
fn median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let mut samples: Vec<f64> = samples.collect();
    if samples.len() < MIN_RUNS {
        return None;
    }
    let middle = (samples.len() - 1) / 2;
    let (_, median, _) = samples.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
