//! How far the entry is behind, and which jobs it refuses for that.
//!
//! An entry whose share of a processor is spent handles requests and frames later than
//! they came, and would answer late what it takes. Its lag is the median wait of the
//! frames of gates, so that a few slow links do not count, or its latest turn if that is
//! more; and only while turns of its own loop are late for much of the time, so that many
//! slow links do not count either.
//!
//! A job is refused if its waits for the entry would use up its slack. Because work that
//! is taken shows in the lag only later, the entry also takes a share of the tasks that
//! it is asked for: halved while jobs are refused for the lag, and regained with time.

use std::collections::VecDeque;
use std::time::Duration;

use slog::info;

use super::job::Job;
use super::{COME_BACK_MS, Dispatcher, refused};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Moment, micros};

/// Time over which frames and turns are looked back on.
const WINDOW: Duration = Duration::from_millis(150);
/// Lateness of a turn that counts; timers fire late by less.
const LATE_TURN: Duration = Duration::from_millis(10);
/// Part of the window by which turns are late from which the entry may be behind; a single
/// late turn is other work on the machine.
const LATE_PART: f64 = 0.3;
/// Lateness of a turn that tells of a suspension, which is over by then.
const SUSPENDED: Duration = Duration::from_millis(300);
/// Most waits that are kept.
const MOST_WAITS: usize = 64;
/// Times that a job waits for its entry: with its request, with the order that goes out
/// after the turn, with the end of its last run, and twice more where a task is turned
/// away once.
const WAITS_PER_JOB: u64 = 5;
/// Part of a job's slack that these waits may take; the rest is for waits at gates and
/// for estimates that are off.
const SLACK_SHARE: f64 = 0.5;
/// Least share of the tasks that is taken, by which the entry finds out that it can.
const LEAST_SHARE: f64 = 0.05;
/// What is left of the share after a refusal for the lag, at most once a window.
const SHARE_DECREASE: f64 = 0.5;
/// Share regained in a second: all of it within a few pauses of callers that were refused.
const SHARE_PER_S: f64 = 0.3;
/// Tasks that may be taken at once after a quiet time; several jobs.
const MOST_CREDIT: f64 = 16.0;
/// Why a job is refused.
const BEHIND: &str = "the entry is behind";

/// Waits of the last moments, with the times of their ends.
#[derive(Debug, Default)]
struct Waits(VecDeque<(u64, u64)>);

impl Waits {
    fn push(&mut self, now: Moment, wait_us: u64) {
        if self.0.len() == MOST_WAITS {
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

/// Share of the tasks asked for that the entry takes.
#[derive(Debug)]
struct TakenShare {
    share: f64,
    /// Tasks that may be taken now.
    credit: f64,
    decreased_us: u64,
    regained_us: u64,
}

impl Default for TakenShare {
    fn default() -> TakenShare {
        TakenShare {
            share: 1.0,
            credit: MOST_CREDIT,
            decreased_us: 0,
            regained_us: 0,
        }
    }
}

impl TakenShare {
    fn decrease(&mut self, now: Moment) {
        if now.mono_us >= self.decreased_us + micros(WINDOW) {
            self.share = (self.share * SHARE_DECREASE).max(LEAST_SHARE);
            self.decreased_us = now.mono_us;
        }
        self.regained_us = now.mono_us;
    }

    fn regain(&mut self, now: Moment) {
        let elapsed_s = now.mono_us.saturating_sub(self.regained_us) as f64 / 1e6;
        self.share = (self.share + SHARE_PER_S * elapsed_s).min(1.0);
        self.regained_us = now.mono_us;
    }

    fn earn(&mut self, tasks: f64) {
        self.credit = (self.credit + self.share * tasks).min(MOST_CREDIT);
    }

    /// Whether a job of so many tasks may be taken. A job of more tasks than fit into
    /// the credit is taken once that is full.
    fn take(&mut self, tasks: f64) -> bool {
        let taken = self.share >= 1.0 || self.credit >= tasks.min(MOST_CREDIT);
        if taken {
            self.credit = (self.credit - tasks).max(0.0);
        }
        taken
    }
}

/// How late this process handles what comes.
#[derive(Debug, Default)]
pub(super) struct Lag {
    frames: Waits,
    late_turns: Waits,
    taken: TakenShare,
    is_behind: bool,
}

impl Lag {
    fn us(&self, now: Moment) -> u64 {
        let late_us: u64 = self.late_turns.recent(now).sum();
        if (late_us as f64) < LATE_PART * micros(WINDOW) as f64 {
            return 0;
        }
        let turn_us = self.late_turns.recent(now).max().unwrap_or(0);
        let mut waits: Vec<u64> = self.frames.recent(now).collect();
        waits.sort_unstable();
        let median_us = waits.get(waits.len() / 2).copied().unwrap_or(0);
        median_us.max(turn_us)
    }

    /// Whether a job of `tasks` tasks with this slack is taken.
    fn admits(&mut self, now: Moment, slack_us: u64, tasks: u32) -> bool {
        let waits_us = WAITS_PER_JOB * self.us(now);
        let in_time = waits_us as f64 <= slack_us as f64 * SLACK_SHARE;
        match in_time {
            true => self.taken.regain(now),
            false => self.taken.decrease(now),
        }
        let tasks = f64::from(tasks);
        self.taken.earn(tasks);
        in_time && self.taken.take(tasks)
    }
}

impl Dispatcher {
    /// The loop turned this much later than asked for.
    pub fn turned_late(&mut self, now: Moment, late: Duration) {
        if (LATE_TURN..SUSPENDED).contains(&late) {
            self.lag.late_turns.push(now, micros(late));
        }
    }

    /// A frame of a gate waited for so long until it was handled.
    pub fn frame_waited(&mut self, now: Moment, wait_us: u64) {
        self.lag.frames.push(now, wait_us);
    }

    /// The refusal of a job that this entry would answer late.
    pub(super) fn refuse_for_lag(&mut self, now: Moment, job: &Job) -> Option<Answer> {
        if !self.scheduling.lag_limit {
            return None;
        }
        let slack_us = job.objective_us().saturating_sub(job.expected_us);
        let admitted = self.lag.admits(now, slack_us, job.spec.count);
        self.note_lag(now, !admitted);
        (!admitted).then(|| refused(BEHIND, COME_BACK_MS))
    }

    /// Logs that the entry begins to refuse jobs, and that it takes all again.
    fn note_lag(&mut self, now: Moment, refused: bool) {
        let lag = &mut self.lag;
        let was_behind = lag.is_behind;
        lag.is_behind = refused || (was_behind && lag.taken.share < 1.0);
        match (was_behind, lag.is_behind) {
            (false, true) => info!(self.log, "entry falls behind"; "lag_us" => lag.us(now)),
            (true, false) => info!(self.log, "entry has caught up"),
            _ => {}
        }
    }

    /// Adds the lag to the figures.
    pub fn show_lag(&self, now: Moment, metrics: &Metrics) {
        metrics.gauge("lag_ms", self.lag.us(now) / 1_000);
        metrics.gauge("lag_share_percent", (self.lag.taken.share * 1e2) as u64);
    }
}
