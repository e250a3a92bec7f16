//! Pauses between retries; they grow exponentially between two bounds.

use std::time::Duration;

/// First pause; several round trips to another failure domain or the store.
const INITIAL_PAUSE: Duration = Duration::from_millis(40);
const GROWTH_FACTOR: f64 = 1.25;
/// Longest pause; bounds the delay of recovery.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            pause: INITIAL_PAUSE,
        }
    }
}

impl From<Duration> for Backoff {
    /// Starts with this pause, clamped to the bounds.
    fn from(first: Duration) -> Backoff {
        Backoff {
            pause: first.clamp(INITIAL_PAUSE, MAX_PAUSE),
        }
    }
}

impl Backoff {
    /// Current pause between two attempts.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    /// Lengthens the pause after a failed attempt.
    pub fn grow(&mut self) {
        self.pause = self.pause.mul_f64(GROWTH_FACTOR).min(MAX_PAUSE);
    }
}
