//! Forecast of when the runs on a worker release their room.

use super::{Gate, Run};
use crate::time::Moment;

/// Divisor of the elapsed time that yields the expected remaining time of an overdue run.
const OVERDUE_DIVISOR: u64 = 4;

/// Forecast of free processor time.
pub(super) struct Forecast {
    free_cpu_milli: u64,
    /// Remaining time and processor time of each run, soonest end first.
    ends: Vec<(u64, u64)>,
}

impl Forecast {
    /// Mean processor time of a run, in thousandths of a core.
    pub fn mean_cpu_milli(&self) -> u64 {
        let sum: u64 = self.ends.iter().map(|(_, cpu_milli)| cpu_milli).sum();
        sum / self.ends.len().max(1) as u64
    }

    /// Time until `wanted` is free, in microseconds; 0 if it is free now.
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
    /// Forecast from the dispatched runs.
    pub(super) fn forecast(&self, now: Moment) -> Forecast {
        let dispatched = self.runs.values().filter(|run| run.is_dispatched());
        let ends = dispatched.map(|run| (self.left_us(now, run), run.needs.cpu_milli));
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
        let left = dispatched.map(|run| self.left_us(now, run));
        left.min().unwrap_or(0)
    }

    /// Expected remaining time of a run, in microseconds.
    fn left_us(&self, now: Moment, run: &Run) -> u64 {
        let elapsed_us = now.mono_us.saturating_sub(run.since_us);
        let expected_us = run.expected_us * u64::from(self.health.slowness_percent()) / 100;
        expected_us
            .saturating_sub(elapsed_us)
            .max(elapsed_us / OVERDUE_DIVISOR)
    }
}
