//! Run times learned from finished tasks; declared ones are often far off.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config::Kind;

/// Weight of a new run in the mean.
const WEIGHT: f64 = 0.05;

/// Mean run time of each kind of each service.
#[derive(Debug, Default)]
pub struct RunTimes {
    means_us: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl RunTimes {
    /// Takes in a run of `run_us`.
    pub fn learn(&mut self, service: &Arc<str>, kind: &Arc<str>, run_us: u64) {
        let kinds = self.means_us.entry(service.clone()).or_default();
        let run_us = run_us as f64;
        let mean = kinds.entry(kind.clone()).or_insert(run_us);
        *mean += WEIGHT * (run_us - *mean);
    }

    /// Run time to expect, in microseconds.
    pub fn expect(&self, service: &str, kind: &Kind) -> u64 {
        let mean = self.mean_us(service, kind.name.as_str());
        mean.unwrap_or(kind.expected_ms * 1_000)
    }

    /// Mean run time in microseconds, once there was a run.
    pub fn mean_us(&self, service: &str, kind: &str) -> Option<u64> {
        let kinds = self.means_us.get(service)?;
        kinds.get(kind).map(|mean| *mean as u64)
    }
}
