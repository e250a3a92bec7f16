//! Detects slow or stalled runs from the progress that the worker reports.
//!
//! A run is stopped if it makes no progress, or if it would finish much sooner on another
//! worker; its entry then moves it.

use std::time::Duration;

use slog::info;

use super::{Gate, Run, RunState, StopCause};
use crate::ephemeral::job::RunId;
use crate::ephemeral::worker::RunningRow;
use crate::time::{Moment, micros};

/// Minimum interval between two progress samples of a run.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(30);
/// Runs needed for an estimate of the worker's pace, as single run times are hard to
/// predict.
const MIN_RUNS: usize = 3;
/// Minimum time without progress after which a run counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(120);
/// Minimum time without progress as a fraction of the expected run time; a long run takes
/// long for each whole percent that is reported.
const STALL_SHARE: f64 = 0.08;
/// Minimum time without progress in multiples of the time that the run took per percent;
/// used with medians only.
const STALL_STEPS: f64 = 3.0;
/// Ratio of actual to expected run time that is assumed until the first percent is reported,
/// as the task may be a long one.
const LONG_TASK_FACTOR: f64 = 10.0;
/// Cost of moving a run in addition to the time for stopping it.
const MOVE_COST: Duration = Duration::from_millis(30);
/// A run is moved if its remaining time here exceeds its whole run time elsewhere by this
/// factor.
const MOVE_FACTOR: f64 = 1.3;

/// Progress of a run at the last sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgressSample {
    /// Time of the sample, in monotonic microseconds.
    at_us: u64,
    /// Completed part of the run, in percent.
    percent: u32,
    /// Time of the last sample that showed progress, in monotonic microseconds.
    last_progress_us: u64,
    /// Ratio of elapsed time to expected work between the last two samples; 0 before the second.
    slowness: f64,
}

impl ProgressSample {
    pub fn new(at_us: u64, percent: u32) -> ProgressSample {
        ProgressSample {
            at_us,
            percent,
            last_progress_us: at_us,
            slowness: 0.0,
        }
    }
}

/// Pace of the worker, from the progress in one answer to a poll.
#[derive(Default)]
struct Pace {
    /// Number of sampled runs.
    runs: usize,
    /// Sum of the times between the last two samples of each run, in microseconds.
    wall_us: f64,
    /// Sum of the run time that this progress takes on a worker of normal speed, in
    /// microseconds.
    work_us: f64,
    /// Slowness of the fastest run.
    min_slowness: f64,
}

impl Pace {
    fn add(&mut self, wall_us: f64, work_us: f64) {
        let slowness = wall_us / work_us.max(1.0);
        self.min_slowness = match self.runs {
            0 => slowness,
            _ => self.min_slowness.min(slowness),
        };
        self.runs += 1;
        self.wall_us += wall_us;
        self.work_us += work_us;
    }

    /// Ratio of elapsed time to expected work; `None` if there are too few samples. With
    /// medians it is that of the fastest run, as long tasks are over-represented among the
    /// running ones.
    fn slowness(&self, by_median: bool) -> Option<f64> {
        (self.runs >= MIN_RUNS).then_some(match by_median {
            true => self.min_slowness,
            false => self.wall_us / self.work_us.max(1.0),
        })
    }
}

impl Run {
    /// Samples the progress; returns elapsed time and expected work since the last sample,
    /// or `None` if that is too recent.
    fn sample_progress(&mut self, now: Moment, percent: u32) -> Option<(f64, f64)> {
        let Some(sample) = &mut self.last_sample else {
            self.last_sample = Some(ProgressSample::new(now.mono_us, percent));
            return None;
        };
        let wall_us = now.mono_us.saturating_sub(sample.at_us);
        if wall_us < micros(SAMPLE_INTERVAL) {
            return None;
        }
        let gained = percent.saturating_sub(sample.percent);
        if gained > 0 {
            sample.last_progress_us = now.mono_us;
        }
        sample.at_us = now.mono_us;
        sample.percent = percent;
        let work_us = f64::from(gained) / 100.0 * self.expected_us as f64;
        sample.slowness = wall_us as f64 / work_us.max(1.0);
        Some((wall_us as f64, work_us))
    }

    fn has_stalled(&self, now: Moment, by_median: bool) -> bool {
        let since_us = self
            .last_sample
            .map_or(now.mono_us, |sample| sample.last_progress_us);
        let share_us = (self.expected_us as f64 * STALL_SHARE) as u64;
        let own_us = match by_median {
            true => (self.step_us() * STALL_STEPS) as u64,
            false => 0,
        };
        now.mono_us > since_us + share_us.max(micros(STALL_TIMEOUT)).max(own_us)
    }

    /// Time that the run took per percent, or that of a long task before the first percent, in
    /// microseconds.
    fn step_us(&self) -> f64 {
        match self.last_sample {
            Some(sample) if sample.percent > 0 => {
                let took_us = sample
                    .last_progress_us
                    .saturating_sub(self.queued_or_started_us);
                took_us as f64 / f64::from(sample.percent)
            }
            _ => self.expected_us as f64 * LONG_TASK_FACTOR / 100.0,
        }
    }

    /// Whether it progressed clearly less between the last two samples than it would on a
    /// worker of the given slowness.
    fn is_slower_than(&self, slowness: f64) -> bool {
        self.last_sample
            .is_some_and(|sample| sample.slowness > slowness * MOVE_FACTOR)
    }

    /// Time that the rest of the run takes on a worker of the given slowness, in
    /// microseconds.
    fn time_left_us(&self, slowness: f64) -> f64 {
        let done = self.last_sample.map_or(0, |sample| sample.percent.min(100));
        f64::from(100 - done) / 100.0 * self.expected_us as f64 * slowness
    }
}

impl Gate {
    /// Updates the worker's pace from the listed progress, and stops slow and stalled runs.
    pub(super) fn update_pace(&mut self, now: Moment, running: &[RunningRow]) {
        let mut pace = Pace::default();
        for row in running {
            let Some(record) = self.runs.get_mut(&row.run) else {
                continue;
            };
            if record.state != RunState::Running {
                continue;
            }
            if let Some((wall_us, work_us)) = record.sample_progress(now, row.percent) {
                pace.add(wall_us, work_us);
            }
        }
        if let Some(slowness) = pace.slowness(self.health.by_median()) {
            self.health.record_pace(now, slowness);
        }
        for run in self.runs_to_stop(now) {
            self.stop(now, run, StopCause::Stalled);
        }
    }

    /// Runs that are stalled, or that would finish much sooner on another worker.
    fn runs_to_stop(&self, now: Moment) -> Vec<RunId> {
        let (here, baseline) = (self.health.slowness(), self.health.baseline());
        let (slow, by_median) = (self.health.is_slow(), self.health.by_median());
        let move_us = micros(self.limits.stop + MOVE_COST) as f64;
        let too_slow = |record: &Run| {
            let elsewhere_us = record.expected_us as f64 * baseline * MOVE_FACTOR + move_us;
            let moves = slow && record.movable && record.time_left_us(here) > elsewhere_us;
            moves && (!by_median || record.is_slower_than(baseline))
        };
        let running = self
            .runs
            .iter()
            .filter(|(_, record)| record.state == RunState::Running);
        let found =
            running.filter(|(_, record)| record.has_stalled(now, by_median) || too_slow(record));
        found
            .map(|(run, record)| {
                info!(self.log, "stopping slow or stalled run"; "run" => %run,
                    "percent" => record.last_sample.map(|sample| sample.percent),
                    "elapsed_us" => now.mono_us.saturating_sub(record.queued_or_started_us),
                    "expected_us" => record.expected_us, "slowness" => here,
                    "baseline" => baseline);
                *run
            })
            .collect()
    }
}
