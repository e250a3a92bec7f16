//! How long a peer takes to answer, and how long to wait for it.
//!
//! A gate learns this of its worker, an entry of each gate.

use std::time::Duration;

/// Shortest wait for an answer: a process turns its loop every 10 ms, so that an
/// answer may take two turns whatever the work is.
const LEAST: Duration = Duration::from_millis(25);
/// Longest wait for an answer; several fit into the silence after which a peer
/// counts as gone.
const MOST: Duration = Duration::from_millis(150);
/// Times the usual answer that is waited for.
const PATIENCE: f64 = 8.0;
/// Weight of a new answer in the usual one.
const WEIGHT: f64 = 0.1;
/// Missing answers in a row that are put down to lost messages; from then on the
/// peer may have become slow, and the wait doubles with each.
const LOST_IN_A_ROW: u32 = 3;

/// The usual time of an answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    usual_us: f64,
    missing: u32,
}

impl AnswerTimes {
    /// A message was answered after `took_us`.
    pub fn learn(&mut self, took_us: u64) {
        self.missing = 0;
        self.usual_us += WEIGHT * (took_us as f64 - self.usual_us);
    }

    /// A message was not answered in time.
    pub fn missed(&mut self) {
        self.missing += 1;
    }

    /// How long to wait for the next answer.
    pub fn limit(&self) -> Duration {
        let usual = Duration::from_micros((self.usual_us * PATIENCE) as u64);
        let doublings = self.missing.saturating_sub(LOST_IN_A_ROW).min(3);
        let wait = usual.max(LEAST) * 2u32.pow(doublings);
        wait.min(MOST)
    }
}
