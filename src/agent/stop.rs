//! How an agent leaves: nothing new, everything in flight to its end, ranges
//! handed over, and a while longer for those who have not heard of it yet.

use std::time::Duration;

use slog::{info, warn};

use crate::agent::Core;
use crate::time::{Moment, micros};

/// Time for the last frames to leave.
pub const LAST_FRAMES: Duration = Duration::from_millis(100);
/// Time that an idle agent stays, to refuse what was already on its way.
const LINGER: Duration = Duration::from_millis(1_500);

/// A stop under way.
#[derive(Debug)]
pub struct Stopping {
    since_us: u64,
    until_us: u64,
}

impl Core {
    /// Announces that this agent leaves.
    pub(super) fn begin_stop(&mut self, now: Moment) {
        if self.stopping.is_some() {
            return;
        }
        info!(self.node.log, "stopping"; "running" => self.gate.running());
        let limit = Duration::from_millis(self.settings.process.stop_ms);
        self.stopping = Some(Stopping {
            since_us: now.mono_us,
            until_us: now.after(limit),
        });
        self.gate.leave();
        self.ownership.leave();
        self.tick_ownership(now);
    }

    /// Lets the lease go once nothing needs this agent any more.
    pub(super) fn advance_stop(&mut self, now: Moment) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        let (since_us, until_us) = (stopping.since_us, stopping.until_us);
        if now.mono_us >= until_us {
            warn!(self.node.log, "stop limit reached"; "running" => self.gate.running());
            self.left = true;
            return;
        }
        let lapsed = now.mono_us >= self.ownership.leased_until_us();
        let serves = self.ownership.owns_rows(&self.node.fleet) && !lapsed;
        let busy = serves || !self.gate.idle() || !self.owner.idle();
        if !busy && now.mono_us >= since_us + micros(LINGER) {
            self.ownership.release();
            self.left |= lapsed;
        }
    }
}
