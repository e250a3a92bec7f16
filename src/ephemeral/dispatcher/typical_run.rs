//! How long tasks typically run here: the measure for waits and costs, so that
//! decisions are the same for work that is ten times shorter or longer.

/// Run time that is assumed until the first task has ended, in microseconds.
const UNKNOWN_US: f64 = 200_000.0;
/// Weight of a new run: some hundred runs tell, of all kinds of jobs.
const WEIGHT: f64 = 0.01;

/// Mean run time of recent tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TypicalRun {
    mean_us: f64,
    runs: u32,
}

impl TypicalRun {
    /// A task was finished after `run_us`.
    pub fn learn(&mut self, run_us: u64) {
        self.runs = self.runs.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.runs));
        self.mean_us += weight * (run_us as f64 - self.mean_us);
    }

    /// The mean, in microseconds.
    pub fn us(&self) -> u64 {
        match self.runs {
            0 => UNKNOWN_US as u64,
            _ => self.mean_us as u64,
        }
    }
}
