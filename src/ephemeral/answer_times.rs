//! Adaptive answer timeout for a peer, from the answer times seen so far. Used by a gate
//! for its worker and by an entry for each gate.

use std::time::Duration;

/// Shortest timeout; allows for two turns of a peer's event loop.
const MIN_TIMEOUT: Duration = Duration::from_millis(25);
/// Longest timeout; several fit into the silence after which a peer counts as gone.
const MAX_TIMEOUT: Duration = Duration::from_millis(150);
/// Factor on the mean answer time.
const TIMEOUT_FACTOR: f64 = 8.0;
/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Consecutive misses that are attributed to lost messages; from then on the timeout
/// doubles with each.
const MISSES_BEFORE_BACKOFF: u32 = 3;

/// Answer times of a peer.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    mean_us: f64,
    misses: u32,
}

impl AnswerTimes {
    /// Records an answer that took `took_us`.
    pub fn record(&mut self, took_us: u64) {
        self.misses = 0;
        self.mean_us += SAMPLE_WEIGHT * (took_us as f64 - self.mean_us);
    }

    /// Records a missing answer.
    pub fn record_miss(&mut self) {
        self.misses += 1;
    }

    /// Timeout for the next answer.
    pub fn timeout(&self) -> Duration {
        let mean = Duration::from_micros((self.mean_us * TIMEOUT_FACTOR) as u64);
        let doublings = self.misses.saturating_sub(MISSES_BEFORE_BACKOFF).min(3);
        let timeout = mean.max(MIN_TIMEOUT) * 2u32.pow(doublings);
        timeout.min(MAX_TIMEOUT)
    }
}
