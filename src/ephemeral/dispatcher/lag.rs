//! Lag of the entry, and the refusal of jobs because of it.
//!
//! The lag is the median wait of gate frames, or the longest tick delay if that is more. It
//! counts as zero unless the entry's own ticks are late for much of the window, so that
//! slow links alone do not count.
//!
//! A job is refused if its waits for the entry would use up its slack. As admitted work
//! shows in the lag only later, the entry also admits a limited share of the requested
//! tasks. The share is halved while jobs are refused for lag, and recovers with time.

use std::collections::VecDeque;
use std::time::Duration;

use slog::info;

use super::job::Job;
use super::{Dispatcher, RETRY_AFTER_MS, refused};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Moment, micros};

/// Window of the recorded waits and delays.
const WINDOW: Duration = Duration::from_millis(150);
/// Smallest tick delay that counts; timers are usually late by less.
const MIN_TICK_DELAY: Duration = Duration::from_millis(10);
/// Share of the window by which ticks must be late before there is any lag; a single late tick
/// is due to other work on the machine.
const MIN_LATE_SHARE: f64 = 0.3;
/// Tick delay from which the process counts as suspended. Such delays are not counted, as
/// the suspension is over once it is noticed.
const SUSPENSION: Duration = Duration::from_millis(300);
/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 64;
/// Times that a job waits for its entry: for the request, the start order, the end of the
/// last run, and two more if a start is rejected once.
const WAITS_PER_JOB: u64 = 5;
/// Share of a job's slack that these waits may take.
const SLACK_SHARE: f64 = 0.5;
/// Minimum share of tasks admitted; above zero so that the entry detects that it keeps up again.
const MIN_SHARE: f64 = 0.05;
/// Factor applied to the share after a refusal for lag, at most once per window.
const SHARE_DECREASE_FACTOR: f64 = 0.5;
/// Increase of the share per second.
const SHARE_RECOVERY_PER_S: f64 = 0.3;
/// Maximum number of tasks admitted at once.
const MAX_CREDIT_TASKS: f64 = 16.0;
/// Reason for refusing a job.
const ENTRY_BEHIND: &str = "the entry is behind";

/// Recent waits or delays, each with the time at which it ended.
#[derive(Debug, Default)]
struct DelaySamples(VecDeque<(u64, u64)>);

impl DelaySamples {
    fn push(&mut self, now: Moment, wait_us: u64) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((now.mono_us, wait_us));
    }

    fn recent(&self, now: Moment) -> impl Iterator<Item = u64> {
        let since_us = now.mono_us.saturating_sub(micros(WINDOW));
        let recent = self.0.iter().filter(move |(at_us, _)| *at_us >= since_us);
        recent.map(|(_, wait_us)| *wait_us)
    }
}

/// Share of the requested tasks that the entry admits.
#[derive(Debug)]
struct AdmittedShare {
    share: f64,
    /// Tasks that may be admitted now.
    credit: f64,
    decreased_us: u64,
    recovered_us: u64,
}

impl Default for AdmittedShare {
    fn default() -> AdmittedShare {
        AdmittedShare {
            share: 1.0,
            credit: MAX_CREDIT_TASKS,
            decreased_us: 0,
            recovered_us: 0,
        }
    }
}

impl AdmittedShare {
    fn decrease(&mut self, now: Moment) {
        if now.mono_us >= self.decreased_us + micros(WINDOW) {
            self.share = (self.share * SHARE_DECREASE_FACTOR).max(MIN_SHARE);
            self.decreased_us = now.mono_us;
        }
        self.recovered_us = now.mono_us;
    }

    fn recover(&mut self, now: Moment) {
        let elapsed_s = now.mono_us.saturating_sub(self.recovered_us) as f64 / 1e6;
        self.share = (self.share + SHARE_RECOVERY_PER_S * elapsed_s).min(1.0);
        self.recovered_us = now.mono_us;
    }

    fn add_credit(&mut self, tasks: f64) {
        self.credit = (self.credit + self.share * tasks).min(MAX_CREDIT_TASKS);
    }

    /// Spends credit for a job and returns whether it is admitted. A job larger than the
    /// maximum credit is admitted once the credit is full.
    fn try_take(&mut self, tasks: f64) -> bool {
        let admitted = self.share >= 1.0 || self.credit >= tasks.min(MAX_CREDIT_TASKS);
        if admitted {
            self.credit = (self.credit - tasks).max(0.0);
        }
        admitted
    }
}

/// Lag of this process.
#[derive(Debug, Default)]
pub(super) struct Lag {
    frame_waits: DelaySamples,
    tick_delays: DelaySamples,
    admitted_share: AdmittedShare,
    is_behind: bool,
}

impl Lag {
    fn us(&self, now: Moment) -> u64 {
        let late_us: u64 = self.tick_delays.recent(now).sum();
        if (late_us as f64) < MIN_LATE_SHARE * micros(WINDOW) as f64 {
            return 0;
        }
        let max_tick_delay_us = self.tick_delays.recent(now).max().unwrap_or(0);
        let mut waits: Vec<u64> = self.frame_waits.recent(now).collect();
        waits.sort_unstable();
        let median_us = waits.get(waits.len() / 2).copied().unwrap_or(0);
        median_us.max(max_tick_delay_us)
    }

    /// Whether a job of `tasks` tasks with this slack is admitted.
    fn admits(&mut self, now: Moment, slack_us: u64, tasks: u32) -> bool {
        let waits_us = WAITS_PER_JOB * self.us(now);
        let in_time = waits_us as f64 <= slack_us as f64 * SLACK_SHARE;
        match in_time {
            true => self.admitted_share.recover(now),
            false => self.admitted_share.decrease(now),
        }
        let tasks = f64::from(tasks);
        self.admitted_share.add_credit(tasks);
        in_time && self.admitted_share.try_take(tasks)
    }
}

impl Dispatcher {
    /// Records that a tick was late by `late`.
    pub fn record_late_tick(&mut self, now: Moment, late: Duration) {
        if (MIN_TICK_DELAY..SUSPENSION).contains(&late) {
            self.lag.tick_delays.push(now, micros(late));
        }
    }

    /// Records how long a gate's frame waited to be handled.
    pub fn record_frame_wait(&mut self, now: Moment, wait_us: u64) {
        self.lag.frame_waits.push(now, wait_us);
    }

    /// Refusal for a job that this entry would answer too late.
    pub(super) fn refuse_for_lag(&mut self, now: Moment, job: &Job) -> Option<Answer> {
        if !self.scheduling.lag_limit {
            return None;
        }
        let slack_us = job.objective_us().saturating_sub(job.expected_us);
        let admitted = self.lag.admits(now, slack_us, job.spec.count);
        self.log_lag_change(now, !admitted);
        (!admitted).then(|| refused(ENTRY_BEHIND, RETRY_AFTER_MS))
    }

    /// Logs when the entry begins to refuse jobs for lag and when it admits all again.
    fn log_lag_change(&mut self, now: Moment, refused: bool) {
        let lag = &mut self.lag;
        let was_behind = lag.is_behind;
        lag.is_behind = refused || (was_behind && lag.admitted_share.share < 1.0);
        match (was_behind, lag.is_behind) {
            (false, true) => {
                info!(self.log, "entry is overloaded and refuses jobs"; "lag_us" => lag.us(now))
            }
            (true, false) => info!(self.log, "entry is no longer overloaded"),
            _ => {}
        }
    }

    /// Adds the lag to the metrics.
    pub fn record_lag_metrics(&self, now: Moment, metrics: &Metrics) {
        metrics.gauge("lag_ms", self.lag.us(now) / 1_000);
        metrics.gauge(
            "lag_share_percent",
            (self.lag.admitted_share.share * 1e2) as u64,
        );
    }
}
