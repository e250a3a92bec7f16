//! Evacuation of the gate's failure domain. While it is evacuated, queued and new runs are
//! refused and starts are not repeated; runs on the worker continue.

use std::time::Duration;

use slog::info;

use super::Gate;
use crate::ephemeral::message::NotRunReason;
use crate::time::Moment;

/// How long a starting gate refuses runs while the evacuation state has not been read.
/// After it, the gate works without the store.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Evacuation state of the gate's failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Evacuation {
    /// Not evacuated, or not known to be.
    #[default]
    No,
    /// Not read yet; blocks starts until this time, in monotonic microseconds.
    UnknownUntil(u64),
    /// Evacuated.
    Yes,
}

impl Evacuation {
    pub(super) fn blocks_starts(self, now: Moment) -> bool {
        match self {
            Evacuation::No => false,
            Evacuation::UnknownUntil(until_us) => now.mono_us < until_us,
            Evacuation::Yes => true,
        }
    }
}

impl Gate {
    /// Refuses runs until the evacuation state is read, or for [`INITIAL_READ_TIMEOUT`].
    pub fn await_evacuation_state(&mut self, now: Moment) {
        self.evacuation = Evacuation::UnknownUntil(now.after(INITIAL_READ_TIMEOUT));
    }

    /// Sets whether the failure domain is evacuated.
    pub fn set_evacuated(&mut self, now: Moment, evacuated: bool) {
        let next = match evacuated {
            true => Evacuation::Yes,
            false => Evacuation::No,
        };
        if next == self.evacuation {
            return;
        }
        info!(self.log, "evacuation state changed"; "evacuated" => evacuated,
            "runs" => self.runs.len(), "waiting" => self.queue.len());
        self.evacuation = next;
        self.load_changed = true;
        if evacuated {
            self.announcement.record_evacuation();
            self.refuse_queued(now, NotRunReason::Evacuated);
        }
    }
}
