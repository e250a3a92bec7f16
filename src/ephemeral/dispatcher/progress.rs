//! Run reports of gates, and callers that disconnect.

use std::sync::Arc;

use slog::info;

use super::{Dispatcher, WaiterId, failed, refused};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::dispatcher::job::{Job, TaskState};
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::message::{NotRunReason, RunEnd};
use crate::ephemeral::placement::GateView;
use crate::message::Answer;
use crate::time::Moment;

/// Highest run number that a rejection leads to.
const MAX_RUN_NUMBER: u32 = 1 << 30;

impl Dispatcher {
    pub(super) fn run_began(&mut self, now: Moment, run: RunId) {
        self.deferral.record_start(now, run.job);
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.may_have_run = true;
        }
    }

    pub(super) fn run_ended(
        &mut self,
        now: Moment,
        gate: &Arc<str>,
        run: RunId,
        end: RunEnd,
        run_us: u64,
    ) {
        self.run_left_gate(now, gate, run, end);
        if !matches!(end, RunEnd::NotRun(_)) {
            self.run_began(now, run);
        }
        let Some(job) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let (route, expected_us) = (job.route.clone(), job.expected_us);
        let Some(task) = job.task_of_run(gate, run) else {
            return;
        };
        task.state = TaskState::Waiting;
        match end {
            RunEnd::Done => {
                task.state = TaskState::Done;
                let done = job.all_done();
                self.run_times.record(&route.service, &route.name, run_us);
                if self.scheduling.worker_speeds {
                    let slowness = self.gates.get(gate).map_or(1.0, GateView::slowness);
                    let expected_us = expected_us as f64 * slowness;
                    self.run_spreads.record(&route, run_us, expected_us);
                }
                self.typical_run.record(run_us);
                if done {
                    self.finish(now, run.job, Answer::complete(Vec::new()));
                }
                return;
            }
            RunEnd::Failed => {
                task.failures += 1;
                if task.failures >= route.attempts.max(1) {
                    let answer = failed(ResultCode::TaskFailed, "a task failed too often");
                    self.finish(now, run.job, answer);
                    return;
                }
            }
            // Another entry has used higher run numbers for this task.
            RunEnd::NotRun(NotRunReason::Rejected) => {
                let step = task.runs.max(super::MIN_RUN_NUMBER_STEP);
                task.runs = task.runs.saturating_add(step).min(MAX_RUN_NUMBER);
            }
            RunEnd::NotRun(NotRunReason::AlreadyHere) => {
                let why = "another run of a task is not over";
                let answer = Answer::failure(ResultCode::OutcomeUnknown, Effect::Unknown, why);
                self.finish(now, run.job, answer);
                return;
            }
            RunEnd::NotRun(reason) if !reason.may_have_reached_worker() => task.runs -= 1,
            RunEnd::NotRun(_) | RunEnd::Stopped | RunEnd::Stalled => {}
        }
        task.moves += u32::from(end == RunEnd::Stalled);
        match end {
            RunEnd::NotRun(NotRunReason::NoRoom) => task.capacity_rejections += 1,
            RunEnd::NotRun(NotRunReason::Apart) => task.rejected_apart = true,
            RunEnd::NotRun(NotRunReason::Rejected | NotRunReason::Lost) => {}
            _ => task.avoided_gates.push(gate.clone()),
        }
        if let Some(why) = job.withdrawal_reason {
            if job.placed_runs().next().is_none() {
                job.withdrawal_reason = None;
                self.give_up(now, run.job, why);
            }
            return;
        }
        info!(self.log, "task is placed again"; "run" => %run, "gate" => &**gate, "end" => ?end,
            "run_us" => run_us, "expected_us" => expected_us);
        self.retry_task(now, run.job);
    }

    fn retry_task(&mut self, now: Moment, id: JobId) {
        let late = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.patience_us(now.mono_us) == 0);
        if late {
            self.give_up(now, id, "no time is left to run it elsewhere");
            return;
        }
        self.requeue_deferred(now, id);
        self.place(now, id);
    }

    /// Removes a waiting caller; a job without callers is stopped.
    pub fn remove_waiter(&mut self, now: Moment, waiter: WaiterId, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.waiters.retain(|other| *other != waiter);
        if job.waiters.is_empty() {
            // Nobody receives this answer; it is only logged.
            let answer = abandoned_answer(job);
            self.finish(now, id, answer);
        }
    }
}

fn abandoned_answer(job: &Job) -> Answer {
    let why = "its caller left";
    match job.is_untouched() {
        true => refused(why, 0),
        false => Answer::failure(ResultCode::OutcomeUnknown, Effect::Unknown, why),
    }
}
