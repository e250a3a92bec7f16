//! Whether this process stood still a moment ago; for the log.
//!
//! Nothing is decided by it: while a process is frozen its sessions lapse, so
//! that it can start nothing when it wakes up before it is connected anew.

use std::time::Duration;

use crate::time::Moment;

/// A loop that did not turn for so long stood still; it turns every 10 ms, and
/// a small share of a core is never this late.
const STOOD_STILL: Duration = Duration::from_millis(300);

/// Watches the turns of a process's loop.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    turned_us: u64,
}

impl Suspension {
    /// A loop that begins to turn.
    pub fn new(now: Moment) -> Suspension {
        Suspension {
            turned_us: now.mono_us,
        }
    }

    /// The loop turns; returns how long it stood still, if it did.
    pub fn turn(&mut self, now: Moment) -> Option<Duration> {
        let gap = Duration::from_micros(now.mono_us.saturating_sub(self.turned_us));
        self.turned_us = now.mono_us;
        (gap > STOOD_STILL).then_some(gap)
    }
}
