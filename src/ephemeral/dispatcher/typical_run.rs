//! Typical run time of tasks, the unit in which waits and placement costs are scaled, so that
//! decisions are the same for work that is ten times shorter or longer.

/// Run time assumed before the first task has ended, in microseconds.
const DEFAULT_US: f64 = 200_000.0;
/// Weight of a new run in the average.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Mean run time of recent tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TypicalRun {
    mean_us: f64,
    runs: u32,
}

impl TypicalRun {
    /// Records a finished run.
    pub fn record(&mut self, run_us: u64) {
        self.runs = self.runs.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.runs));
        self.mean_us += weight * (run_us as f64 - self.mean_us);
    }

    /// Mean run time, in microseconds.
    pub fn us(&self) -> u64 {
        match self.runs {
            0 => DEFAULT_US as u64,
            _ => self.mean_us as u64,
        }
    }
}
