//! Expected run times, from the moving averages of finished tasks.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config::Kind;

/// Weight of a new run in the moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Mean run times by service and kind.
#[derive(Debug, Default)]
pub struct RunTimes {
    means_us: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl RunTimes {
    /// Adds a run of `run_us`.
    pub fn record(&mut self, service: &Arc<str>, kind: &Arc<str>, run_us: u64) {
        let kinds = self.means_us.entry(service.clone()).or_default();
        let run_us = run_us as f64;
        let mean = kinds.entry(kind.clone()).or_insert(run_us);
        *mean += MEAN_WEIGHT * (run_us - *mean);
    }

    /// Expected run time in microseconds: the mean, or the declared time before the first run.
    pub fn expected_us(&self, service: &str, kind: &Kind) -> u64 {
        let mean = self.mean_us(service, kind.name.as_str());
        mean.unwrap_or(kind.expected_ms * 1_000)
    }

    /// Mean run time in microseconds; `None` before the first run.
    pub fn mean_us(&self, service: &str, kind: &str) -> Option<u64> {
        let kinds = self.means_us.get(service)?;
        kinds.get(kind).map(|mean| *mean as u64)
    }
}
