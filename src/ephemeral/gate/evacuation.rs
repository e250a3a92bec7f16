//! The gate of a worker in a failure domain that operators evacuate.
//!
//! What runs goes on. Nothing more is started, by whoever has not heard of it either:
//! no run that waits, none that comes, no order once more.

use std::time::Duration;

use slog::info;

use super::Gate;
use crate::ephemeral::message::NotRunReason;
use crate::time::Moment;

/// How long a gate that starts takes nothing while it has not read whether its domain is
/// evacuated: the store answers in 4 ms, and in a quarter of a second when it is slow.
/// Where the store is away, work goes on after it.
const FIRST_READ: Duration = Duration::from_millis(300);

/// What a gate knows of the evacuation of its failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Evacuation {
    /// It is not evacuated, or nobody says.
    #[default]
    No,
    /// It may be; taken for not evacuated from this time on, in monotonic microseconds.
    UnknownUntil(u64),
    /// It is.
    Yes,
}

impl Evacuation {
    pub(super) fn bars_starts(self, now: Moment) -> bool {
        match self {
            Evacuation::No => false,
            Evacuation::UnknownUntil(until_us) => now.mono_us < until_us,
            Evacuation::Yes => true,
        }
    }
}

impl Gate {
    /// Whether the domain is evacuated will be told soon.
    pub fn expect_evacuation(&mut self, now: Moment) {
        self.evacuation = Evacuation::UnknownUntil(now.after(FIRST_READ));
    }

    /// Operators have evacuated the gate's failure domain, or it is taken back.
    pub fn evacuate(&mut self, now: Moment, evacuated: bool) {
        let next = match evacuated {
            true => Evacuation::Yes,
            false => Evacuation::No,
        };
        if next == self.evacuation {
            return;
        }
        info!(self.log, "evacuation"; "evacuated" => evacuated, "runs" => self.runs.len(),
            "waiting" => self.queue.len());
        self.evacuation = next;
        self.load_changed = true;
        if evacuated {
            self.refuse_queued(now, NotRunReason::Evacuated);
        }
    }
}
