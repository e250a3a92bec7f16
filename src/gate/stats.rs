//! Run statistics of a gate's target.

use crate::gate::RunResult;
use crate::message::TaskOutcome;

/// Weight of a new run in the moving averages.
const MEAN_WEIGHT: f64 = 0.1;
/// Number of runs in the failure rate's window.
const FAILURE_WINDOW_RUNS: u32 = 20;
/// Smallest number of runs for which a failure rate is reported.
const MIN_RUNS: u32 = 8;
/// Assumed mean run time before the first run.
const INITIAL_MEAN_US: f64 = 100_000.0;

/// Moving averages and failure rate of recent runs.
#[derive(Debug)]
pub struct RunStats {
    mean_run_us: f64,
    slowness: f64,
    /// One bit per run, set if it failed; the lowest bit is the latest run.
    failures: u32,
    runs: u32,
}

impl Default for RunStats {
    fn default() -> RunStats {
        RunStats {
            mean_run_us: INITIAL_MEAN_US,
            slowness: 1.0,
            failures: 0,
            runs: 0,
        }
    }
}

impl RunStats {
    /// Adds a run; stopped runs don't count.
    pub fn record(&mut self, result: &RunResult, run_us: u64, expected_us: u64) {
        if matches!(result, RunResult::Ended(TaskOutcome::Stopped)) {
            return;
        }
        let failed = !matches!(result, RunResult::Ended(TaskOutcome::Done(_)));
        self.failures = (self.failures << 1) | u32::from(failed);
        self.runs = (self.runs + 1).min(FAILURE_WINDOW_RUNS);
        if failed {
            return;
        }
        self.mean_run_us += MEAN_WEIGHT * (run_us as f64 - self.mean_run_us);
        let slowness = run_us as f64 / expected_us.max(1) as f64;
        self.slowness += MEAN_WEIGHT * (slowness - self.slowness);
    }

    /// Mean run time in microseconds.
    pub fn mean_run_us(&self) -> u64 {
        self.mean_run_us as u64
    }

    /// Mean ratio of actual to expected run time, in percent.
    pub fn slowness_percent(&self) -> u32 {
        (self.slowness * 100.0) as u32
    }

    /// Share of failed runs in the window, in percent.
    pub fn failed_percent(&self) -> u32 {
        if self.runs < MIN_RUNS {
            return 0;
        }
        let window = (1u32 << self.runs) - 1;
        (self.failures & window).count_ones() * 100 / self.runs
    }
}
