//! Detects that this process was suspended or ran late. The result is only logged and counted:
//! the sessions of a suspended process expire, so it starts nothing before it has reconnected.

use std::time::Duration;

use crate::metrics::Metrics;
use crate::time::Moment;

/// Gap between two turns of the loop that counts as a suspension.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);
/// Delay of a turn that counts as a pause; above what a loaded process is late.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(40);

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

/// Counts the pauses of a loop: turns that came much later than asked for.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    last_turn_us: u64,
    count: u64,
    total: Duration,
}

impl Pauses {
    /// Starts the count.
    pub fn new(now: Moment) -> Pauses {
        Pauses {
            last_turn_us: now.mono_us,
            count: 0,
            total: Duration::ZERO,
        }
    }

    /// Records a turn that was to come within `wait` of the last one; returns by how much it
    /// was late if that was a pause.
    pub fn record_turn(&mut self, now: Moment, wait: Duration) -> Option<Duration> {
        let gap = Duration::from_micros(now.mono_us.saturating_sub(self.last_turn_us));
        self.last_turn_us = now.mono_us;
        let late = gap.saturating_sub(wait);
        if late < PAUSE_THRESHOLD {
            return None;
        }
        self.count += 1;
        self.total += late;
        Some(late)
    }

    /// Adds the pauses since the last call to the metrics.
    pub fn report(&mut self, metrics: &Metrics) {
        if self.count > 0 {
            metrics.count("pauses", std::mem::take(&mut self.count));
            let total = std::mem::take(&mut self.total);
            metrics.count("paused_ms", total.as_millis() as u64);
        }
    }
}
