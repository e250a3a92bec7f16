//! Pauses between attempts at something that is away.
//!
//! The pause grows with the absence: what comes back is found within a quarter
//! of the time that it was away, and what stays away costs little.

use std::time::Duration;

/// First pause: many round trips between failure domains (1 ms), several answers
/// of the store (4 ms).
const FIRST: Duration = Duration::from_millis(40);
/// Times the last pause that the next one lasts.
const GROWTH: f64 = 1.25;
/// Longest pause; one part of the two seconds in which what lapsed must be back.
const LONGEST: Duration = Duration::from_millis(400);

/// The pause after the next attempt.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { pause: FIRST }
    }
}

impl From<Duration> for Backoff {
    /// Begins with this pause, within the usual bounds.
    fn from(first: Duration) -> Backoff {
        Backoff {
            pause: first.clamp(FIRST, LONGEST),
        }
    }
}

impl Backoff {
    /// The pause after the next attempt.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    /// An attempt failed.
    pub fn grow(&mut self) {
        self.pause = self.pause.mul_f64(GROWTH).min(LONGEST);
    }
}
