//! How long the worker takes to answer an order, and how long to wait for it.

use std::time::Duration;

/// Shortest wait for an answer: the worker stands on the same machine and
/// answers within 2 ms, and an order that is lost should cost little of a short
/// task's 90 ms.
const LEAST: Duration = Duration::from_millis(25);
/// Longest wait for an answer.
const MOST: Duration = Duration::from_millis(150);
/// Times the usual answer that is waited for.
const PATIENCE: f64 = 8.0;
/// Weight of a new answer in the usual one.
const WEIGHT: f64 = 0.1;
/// Missing answers in a row that are put down to lost orders; from then on the
/// worker may have become slow, and the wait doubles with each.
const LOST_IN_A_ROW: u32 = 3;

/// The usual time of an answer.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    usual_us: f64,
    missing: u32,
}

impl AnswerTimes {
    /// An order was answered after `took_us`.
    pub fn learn(&mut self, took_us: u64) {
        self.missing = 0;
        self.usual_us += WEIGHT * (took_us as f64 - self.usual_us);
    }

    /// An order was not answered in time.
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
