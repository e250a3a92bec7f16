//! How long a run waits for room, by when it is expected to begin.
//!
//! An entry sets the patience of a run by a load that may be old. Where the gate's own
//! forecast says otherwise, a run that would begin in time waits although its entry
//! expected room at once, and one that would not goes back before its patience ends. Both
//! hold for runs that leave headroom only.

use slog::debug;

use super::queue::Place;
use super::{Gate, Run, RunState};
use crate::ephemeral::job::{Priority, RunId};
use crate::ephemeral::message::{NotRunReason, RunEnd, StartOrder};
use crate::metrics::Metrics;
use crate::time::Moment;

/// Part of the time until a run should begin that it is expected to wait at most, where
/// its entry expected room at once.
const HOLD_SHARE: f64 = 0.8;
/// Times the expected wait after which a run goes back; run times vary.
const WAIT_MARGIN: f64 = 1.5;
/// Shortest wait of a run that is held, in microseconds; two round trips.
const LEAST_WAIT_US: u64 = 10_000;
/// Part of its patience that a run is expected to wait at most.
const WAIT_SHARE: f64 = 0.8;
/// Expected wait that no run goes back for, in microseconds: a try elsewhere takes as long.
const SHORT_WAIT_US: u64 = 10_000;
/// The same as a part of the run time: a long run gains little at another gate.
const SHORT_WAIT_SHARE: f64 = 0.1;

/// Runs whose patience the forecast has changed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PatienceCounts {
    /// Kept, although their entries expected room at once.
    pub held: u64,
    /// Sent back early.
    pub sent_back: u64,
}

impl Gate {
    /// Compares the wait that the entry of a new run expects with the forecast.
    pub(super) fn adjust_patience(&mut self, now: Moment, place: &Place, order: &StartOrder) {
        if !order.leaves_headroom {
            return;
        }
        self.fill(now);
        if order.patience_us == 0 && place.priority != Priority::BEST_EFFORT {
            self.hold(now, place, order.due_us);
        }
        self.send_back_hopeless(now);
    }

    /// Keeps a run that found no room if it is expected to begin in time.
    fn hold(&mut self, now: Moment, place: &Place, due_us: u64) {
        if !self.queue.contains(place) {
            return;
        }
        let ahead = self.queue.range(..=*place);
        let ahead = ahead.map(|place| self.runs[&place.run].needs.cpu_milli);
        let wanted = ahead.sum::<u64>() + self.headroom_of(now, place);
        let wait_us = self.forecast(now).wait_us(wanted);
        if wait_us == 0 || wait_us as f64 > due_us as f64 * HOLD_SHARE {
            return;
        }
        let held_us = (wait_us as f64 * WAIT_MARGIN) as u64 + LEAST_WAIT_US;
        if let Some(record) = self.runs.get_mut(&place.run) {
            debug!(self.log, "run held"; "run" => %place.run, "wait_us" => wait_us);
            record.state = RunState::Queued {
                place: *place,
                until_us: now.mono_us + held_us.min(due_us),
            };
            self.patience_counts.held += 1;
        }
    }

    /// Sends waiting runs back that are not expected to begin within their patience.
    fn send_back_hopeless(&mut self, now: Moment) {
        for run in self.hopeless(now) {
            debug!(self.log, "run sent back"; "run" => %run);
            self.patience_counts.sent_back += 1;
            self.end(now, run, RunEnd::NotRun(NotRunReason::NoRoom));
        }
    }

    /// Adds what waits here, and how it was decided on since the last call, to the figures.
    pub fn show_queue(&mut self, now: Moment, metrics: &Metrics) {
        let counts = std::mem::take(&mut self.patience_counts);
        metrics.count("runs_held", counts.held);
        metrics.count("runs_sent_back", counts.sent_back);
        metrics.gauge("runs_waiting", self.queue.len() as u64);
        let last = self.headroom.usual(Priority::BEST_EFFORT);
        let headroom = self.headroom_for(now, &last);
        metrics.gauge("headroom_cpu_milli", headroom);
    }

    fn hopeless(&self, now: Moment) -> Vec<RunId> {
        let forecast = self.forecast(now);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for place in &self.queue {
            let record = &self.runs[&place.run];
            let RunState::Queued { until_us, .. } = record.state else {
                continue;
            };
            let wanted = ahead + record.needs.cpu_milli;
            let wait_us = forecast.wait_us(wanted + self.headroom_of(now, place));
            if record.leaves_headroom && wait_us > longest_wait_us(now, record, until_us) {
                hopeless.push(place.run);
            } else {
                ahead = wanted;
            }
        }
        hopeless
    }
}

/// Expected wait beyond which a run that waits until `until_us` goes back, in microseconds.
fn longest_wait_us(now: Moment, record: &Run, until_us: u64) -> u64 {
    let patience_us = until_us.saturating_sub(now.mono_us) as f64;
    let short_us = (record.expected_us as f64 * SHORT_WAIT_SHARE).max(SHORT_WAIT_US as f64);
    (patience_us * WAIT_SHARE + short_us) as u64
}
