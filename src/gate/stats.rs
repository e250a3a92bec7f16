//! What a gate learns from the runs of its target.

use crate::gate::RunResult;
use crate::message::TaskOutcome;

/// Weight of a new run in the means.
const WEIGHT: f64 = 0.1;
/// Runs that the failure rate looks back on.
const WINDOW: u32 = 20;
/// Runs below which no failure rate is told.
const FEWEST_RUNS: u32 = 8;
/// Mean run time before the first run.
const FIRST_MEAN_US: f64 = 100_000.0;

/// Means and failures of recent runs.
#[derive(Debug)]
pub struct RunStats {
    mean_run_us: f64,
    slowness: f64,
    /// One bit a run, the latest lowest; set if it failed.
    failures: u32,
    runs: u32,
}

impl Default for RunStats {
    fn default() -> RunStats {
        RunStats {
            mean_run_us: FIRST_MEAN_US,
            slowness: 1.0,
            failures: 0,
            runs: 0,
        }
    }
}

impl RunStats {
    /// Counts a run.
    pub fn record(&mut self, result: &RunResult, run_us: u64, expected_us: u64) {
        if matches!(result, RunResult::Ended(TaskOutcome::Stopped)) {
            return;
        }
        let failed = !matches!(result, RunResult::Ended(TaskOutcome::Done(_)));
        self.failures = (self.failures << 1) | u32::from(failed);
        self.runs = (self.runs + 1).min(WINDOW);
        if failed {
            return;
        }
        self.mean_run_us += WEIGHT * (run_us as f64 - self.mean_run_us);
        let slowness = run_us as f64 / expected_us.max(1) as f64;
        self.slowness += WEIGHT * (slowness - self.slowness);
    }

    /// Mean run time in microseconds.
    pub fn mean_run_us(&self) -> u64 {
        self.mean_run_us as u64
    }

    /// Run time against what owners expected, in percent.
    pub fn slowness_percent(&self) -> u32 {
        (self.slowness * 100.0) as u32
    }

    /// Failed runs among the recent ones, in percent.
    pub fn failed_percent(&self) -> u32 {
        if self.runs < FEWEST_RUNS {
            return 0;
        }
        let window = (1u32 << self.runs) - 1;
        (self.failures & window).count_ones() * 100 / self.runs
    }
}
