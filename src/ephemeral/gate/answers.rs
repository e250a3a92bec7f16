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

/// The usual time of an answer.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    usual_us: f64,
}

impl AnswerTimes {
    /// An order was answered after `took_us`.
    pub fn learn(&mut self, took_us: u64) {
        self.usual_us += WEIGHT * (took_us as f64 - self.usual_us);
    }

    /// An order was not answered: the worker may have become slower.
    pub fn missed(&mut self) {
        let waited_us = self.limit().as_micros() as f64;
        self.usual_us += WEIGHT * (waited_us - self.usual_us);
    }

    /// How long to wait for the next answer.
    pub fn limit(&self) -> Duration {
        Duration::from_micros((self.usual_us * PATIENCE) as u64).clamp(LEAST, MOST)
    }
}
