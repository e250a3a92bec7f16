//! The speed of a worker, by the median of its runs.
//!
//! A few tasks in a hundred run for several times as long as their kind. Such a task
//! moves a mean for many runs, but a median only by its rank.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::{Moment, micros};

/// Runs that tell the usual speed.
const USUAL_RUNS: usize = 63;
/// Runs that tell the speed of late: most of them must be slow for the worker to be.
const LATE_RUNS: usize = 11;
/// Runs below which a worker counts as one of usual speed.
const FEWEST_RUNS: usize = 3;
/// Time without a run after which a sample is dropped, so that a worker that gets no
/// runs for its speed is tried again.
const FORGET: Duration = Duration::from_secs(1);

/// Ratios of recent run times to what was expected.
#[derive(Debug)]
pub(super) struct Speed {
    ratios: VecDeque<f64>,
    usual: f64,
    lately: f64,
    heard_us: u64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            ratios: VecDeque::with_capacity(USUAL_RUNS),
            usual: 1.0,
            lately: 1.0,
            heard_us: 0,
        }
    }
}

impl Speed {
    /// A run took `ratio` times as long as expected.
    pub fn learn(&mut self, now: Moment, ratio: f64) {
        if self.ratios.len() == USUAL_RUNS {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        self.heard_us = now.mono_us;
        self.update();
    }

    /// Drops a sample if there has been no run for a while.
    pub fn forget_old(&mut self, now: Moment) {
        if now.mono_us > self.heard_us + micros(FORGET) && !self.ratios.is_empty() {
            self.ratios.pop_front();
            self.heard_us = now.mono_us;
            self.update();
            self.lately = self.usual;
        }
    }

    fn update(&mut self) {
        self.usual = median(self.ratios.iter().copied()).unwrap_or(1.0);
        let late = self.ratios.iter().rev().take(LATE_RUNS).copied();
        self.lately = median(late).unwrap_or(self.usual);
    }

    /// Median ratio of many runs.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// Median ratio of the last few runs.
    pub fn lately(&self) -> f64 {
        self.lately
    }
}

/// The median, the lower one of two; `None` if there are too few samples.
fn median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let mut samples: Vec<f64> = samples.collect();
    if samples.len() < FEWEST_RUNS {
        return None;
    }
    let middle = (samples.len() - 1) / 2;
    let (_, median, _) = samples.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
