//! Forecast of when the runs on a worker end and release their room.

use super::{Gate, Run};
use crate::time::Moment;

/// The remaining time of an overdue run is estimated as its elapsed time divided by this.
const OVERDUE_DIVISOR: u64 = 4;

/// Forecast of free CPU.
pub(super) struct Forecast {
    /// CPU that is free now, in thousandths of a core.
    free_cpu_milli: u64,
    /// Remaining time in microseconds and CPU in thousandths of a core of each run, soonest
    /// end first.
    ends: Vec<(u64, u64)>,
}

impl Forecast {
    /// Mean CPU of a dispatched run, in thousandths of a core.
    pub fn mean_cpu_milli(&self) -> u64 {
        let sum: u64 = self.ends.iter().map(|(_, cpu_milli)| cpu_milli).sum();
        sum / self.ends.len().max(1) as u64
    }

    /// Time until `wanted` thousandths of a core are free, in microseconds; 0 if they are free
    /// now or there is no dispatched run.
    pub fn wait_us(&self, wanted: u64) -> u64 {
        let mut free = self.free_cpu_milli;
        if free >= wanted {
            return 0;
        }
        for (remaining_us, cpu_milli) in &self.ends {
            free += cpu_milli;
            if free >= wanted {
                return *remaining_us;
            }
        }
        // All ends together release too little, so later runs have to end as well.
        self.ends
            .last()
            .map_or(0, |(remaining_us, _)| remaining_us * 2)
    }
}

impl Gate {
    /// Forecast from the dispatched runs.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let dispatched = self.runs.values().filter(|run| run.is_dispatched());
        let ends = dispatched.map(|run| (self.remaining_us(now, run), run.needs.cpu_milli));
        let mut ends: Vec<(u64, u64)> = ends.collect();
        ends.sort_unstable();
        Forecast {
            free_cpu_milli: self.room.free().cpu_milli,
            ends,
        }
    }

    /// Time until the next run ends, in microseconds; 0 if there is none.
    pub(super) fn next_end_us(&self, now: Moment) -> u64 {
        let dispatched = self.runs.values().filter(|run| run.is_dispatched());
        let left = dispatched.map(|run| self.remaining_us(now, run));
        left.min().unwrap_or(0)
    }

    /// Expected remaining time of a run, in microseconds.
    fn remaining_us(&self, now: Moment, run: &Run) -> u64 {
        let elapsed_us = now.mono_us.saturating_sub(run.queued_or_started_us);
        let expected_us = run.expected_us * u64::from(self.health.slowness_percent()) / 100;
        expected_us
            .saturating_sub(elapsed_us)
            .max(elapsed_us / OVERDUE_DIVISOR)
    }
}
