//! Adjusts how long queued runs wait, by the forecast of free room.
//!
//! The patience of a run is the longest time that it may be queued. Its entry chooses it from
//! a load report that may be outdated, so the gate adjusts it. A new run with a patience of 0
//! is held, which means that it stays queued, if it is forecast to start in time. A queued run
//! that is forecast to start too late is sent back: the gate reports to its entry that it was
//! not run, before its patience ends. Only runs that must leave headroom are adjusted.

use slog::debug;

use super::queue::QueuePosition;
use super::{Gate, Run, RunState};
use crate::ephemeral::job::{Priority, RunId};
use crate::ephemeral::message::{NotRunReason, RunEnd, StartOrder};
use crate::metrics::Metrics;
use crate::time::Moment;

/// Maximum forecast wait of a held run, as a fraction of the time until it must have started.
const MAX_HOLD_SHARE: f64 = 0.8;
/// Ratio of the time for which a run is held to its forecast wait; above 1, as run times vary.
const HOLD_FACTOR: f64 = 1.5;
/// Added to the time for which a run is held, in microseconds; the gate receives the ends of
/// runs with a delay.
const HOLD_MARGIN_US: u64 = 10_000;
/// Fraction of its remaining patience that a queued run may be forecast to wait. To this, the
/// larger of [`MIN_EXTRA_WAIT_US`] and [`EXTRA_WAIT_SHARE`] is added.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Minimum of the added wait, in microseconds; a retry on another gate takes as long.
const MIN_EXTRA_WAIT_US: u64 = 10_000;
/// Added wait as a fraction of the expected run time; a long run gains little on another gate.
const EXTRA_WAIT_SHARE: f64 = 0.1;

/// Counts of runs whose patience was changed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PatienceCounts {
    /// Held although their entry gave them no patience.
    pub held: u64,
    /// Sent back before their patience ended.
    pub sent_back: u64,
}

impl Gate {
    /// Starts the queued runs that fit, holds the new run at `position` if it is forecast to
    /// start in time, and sends back queued runs that are forecast to start too late. Does
    /// nothing if the new run need not leave headroom.
    pub(super) fn adjust_patience(
        &mut self,
        now: Moment,
        position: &QueuePosition,
        order: &StartOrder,
    ) {
        if !order.leaves_headroom {
            return;
        }
        self.start_queued(now);
        if order.patience_us == 0 && position.priority != Priority::BEST_EFFORT {
            self.hold_run(now, position, order.due_us);
        }
        self.send_back_late(now);
    }

    /// Holds a run without patience if it is forecast to start in time, that is, well within
    /// `due_in_us` microseconds from now.
    fn hold_run(&mut self, now: Moment, position: &QueuePosition, due_in_us: u64) {
        if !self.queue.contains(position) {
            return;
        }
        let up_to_run = self.queue.range(..=*position);
        let up_to_run = up_to_run.map(|position| self.runs[&position.run].needs.cpu_milli);
        let wanted = up_to_run.sum::<u64>() + self.headroom_for_queued(now, position);
        let wait_us = self.forecast(now).wait_us(wanted);
        // The run has not started, so with a forecast wait of 0 it waits for something that the
        // forecast does not cover.
        if wait_us == 0 || wait_us as f64 > due_in_us as f64 * MAX_HOLD_SHARE {
            return;
        }
        let held_us = (wait_us as f64 * HOLD_FACTOR) as u64 + HOLD_MARGIN_US;
        if let Some(record) = self.runs.get_mut(&position.run) {
            debug!(self.log, "run held in queue: forecast to start in time";
                "run" => %position.run, "wait_us" => wait_us);
            record.state = RunState::Queued {
                position: *position,
                until_us: now.mono_us + held_us.min(due_in_us),
            };
            self.patience_counts.held += 1;
        }
    }

    /// Sends back queued runs that are not forecast to start within their patience.
    fn send_back_late(&mut self, now: Moment) {
        for run in self.runs_forecast_late(now) {
            debug!(self.log, "run sent back: forecast to start too late"; "run" => %run);
            self.patience_counts.sent_back += 1;
            self.end(now, run, RunEnd::NotRun(NotRunReason::NoRoom));
        }
    }

    /// Exports the queue metrics and resets the counters.
    pub fn report_queue_metrics(&mut self, now: Moment, metrics: &Metrics) {
        let counts = std::mem::take(&mut self.patience_counts);
        metrics.count("runs_held", counts.held);
        metrics.count("runs_sent_back", counts.sent_back);
        metrics.gauge("runs_waiting", self.queue.len() as u64);
        let least_urgent = self.headroom.typical_run(Priority::BEST_EFFORT);
        let headroom = self.headroom_for(now, &least_urgent);
        metrics.gauge("headroom_cpu_milli", headroom);
    }

    /// Queued runs whose forecast wait is too long.
    fn runs_forecast_late(&self, now: Moment) -> Vec<RunId> {
        let forecast = self.forecast(now);
        // CPU of the runs ahead that stay queued, in thousandths of a core.
        let mut ahead = 0;
        let mut late = Vec::new();
        for position in &self.queue {
            let record = &self.runs[&position.run];
            let RunState::Queued { until_us, .. } = record.state else {
                continue;
            };
            let wanted = ahead + record.needs.cpu_milli;
            let wait_us = forecast.wait_us(wanted + self.headroom_for_queued(now, position));
            // A late run is sent back, so it does not delay those behind it.
            if record.leaves_headroom && wait_us > longest_wait_us(now, record, until_us) {
                late.push(position.run);
            } else {
                ahead = wanted;
            }
        }
        late
    }
}

/// Longest acceptable forecast wait of a run that waits until `until_us`, in microseconds.
fn longest_wait_us(now: Moment, record: &Run, until_us: u64) -> u64 {
    let patience_us = until_us.saturating_sub(now.mono_us) as f64;
    let extra_us = (record.expected_us as f64 * EXTRA_WAIT_SHARE).max(MIN_EXTRA_WAIT_US as f64);
    (patience_us * MAX_WAIT_SHARE + extra_us) as u64
}
