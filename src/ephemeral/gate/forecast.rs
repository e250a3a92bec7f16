//! When the runs on a worker are expected to give their room back.

use super::{Gate, Run};
use crate::time::Moment;

/// Part of its time so far that an overdue run is expected to take on.
const OVERDUE_SHARE: u64 = 4;

/// Room that comes free, by time.
pub(super) struct Forecast {
    free_cpu_milli: u64,
    /// Time left and processor time of each run, soonest first.
    ends: Vec<(u64, u64)>,
}

impl Forecast {
    /// Mean processor time of a run.
    pub fn usual_cpu_milli(&self) -> u64 {
        let sum: u64 = self.ends.iter().map(|(_, cpu_milli)| cpu_milli).sum();
        sum / self.ends.len().max(1) as u64
    }

    /// Time until `wanted` is free, in microseconds; 0 if it is now.
    pub fn wait_us(&self, wanted: u64) -> u64 {
        let mut free = self.free_cpu_milli;
        if free >= wanted {
            return 0;
        }
        for (left_us, cpu_milli) in &self.ends {
            free += cpu_milli;
            if free >= wanted {
                return *left_us;
            }
        }
        self.ends.last().map_or(0, |(left_us, _)| left_us * 2)
    }
}

impl Gate {
    /// What is expected of the runs that the worker has.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let out = self.runs.values().filter(|run| run.is_out());
        let ends = out.map(|run| (self.left_us(now, run), run.needs.cpu_milli));
        let mut ends: Vec<(u64, u64)> = ends.collect();
        ends.sort_unstable();
        Forecast {
            free_cpu_milli: self.room.free().cpu_milli,
            ends,
        }
    }

    /// Time until the next run ends, in microseconds; 0 if there is none.
    pub(super) fn next_end_us(&self, now: Moment) -> u64 {
        let out = self.runs.values().filter(|run| run.is_out());
        let left = out.map(|run| self.left_us(now, run));
        left.min().unwrap_or(0)
    }

    /// Time that a run is expected to go on; one that is overdue, for a share
    /// of what it took so far.
    fn left_us(&self, now: Moment, run: &Run) -> u64 {
        let elapsed_us = now.mono_us.saturating_sub(run.since_us);
        let expected_us = run.expected_us * u64::from(self.health.slowness_percent()) / 100;
        expected_us
            .saturating_sub(elapsed_us)
            .max(elapsed_us / OVERDUE_SHARE)
    }
}
