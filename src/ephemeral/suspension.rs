//! Detects that this process was suspended. The result is only logged: the sessions of a
//! suspended process expire, so it starts nothing before it has reconnected.

use std::time::Duration;

use crate::time::Moment;

/// Gap between two turns of the loop that counts as a suspension.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);

/// Detects gaps between the turns of a loop.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    last_turn_us: u64,
}

impl Suspension {
    /// Starts the detection.
    pub fn new(now: Moment) -> Suspension {
        Suspension {
            last_turn_us: now.mono_us,
        }
    }

    /// Records a turn; returns the duration of the suspension before it, if there was one.
    pub fn record_turn(&mut self, now: Moment) -> Option<Duration> {
        let gap = Duration::from_micros(now.mono_us.saturating_sub(self.last_turn_us));
        self.last_turn_us = now.mono_us;
        (gap > SUSPENSION_THRESHOLD).then_some(gap)
    }
}
