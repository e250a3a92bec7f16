//! Worker losses: gives up jobs with a task that several workers had when they were lost.
//!
//! A gate reports the tasks that its worker had when it was lost. If the gate is lost as
//! well, the entry that sent the tasks reports them once a new gate of that name has
//! another worker.
//!
//! A task that a lost worker had is implicated. Implicated tasks are kept on separate workers.
//! Otherwise one that crashes its worker would implicate the others again, and several would seem
//! to be the cause. If there are more of them than workers, they wait for one another.

use std::collections::HashSet;
use std::sync::Arc;

use slog::info;

use super::job::Job;
use super::{DispatchAction, Dispatcher, failed};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::losses::{OrphanedTasks, WorkerLoss};
use crate::ephemeral::message::ToGate;
use crate::ephemeral::worker_id::WorkerId;
use crate::message::Answer;
use crate::time::Moment;

impl Dispatcher {
    /// Records losses, which may be of other entries' jobs. Gives up open jobs with such a
    /// task, even if it is on its way to another worker.
    pub(super) fn record_losses(&mut self, now: Moment, losses: &[WorkerLoss]) {
        for loss in losses {
            if !self.losses.record(now, loss) {
                continue;
            }
            if !self.jobs.contains_key(&loss.job) {
                continue;
            }
            info!(self.log, "worker lost while it had a task"; "job" => %loss.job, "task" => loss.index,
                "worker" => %loss.worker, "likely" => loss.likely, "ran" => loss.ran,
                "losses" => self.losses.count(loss.job, loss.index));
            if let Some(answer) = self.answer_for_losses(loss.job) {
                self.finish(now, loss.job, answer);
            }
        }
    }

    /// Remembers the open runs of a lost gate.
    pub(super) fn record_orphaned_tasks(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        worker: &WorkerId,
    ) {
        let open_runs = self.open_runs(name);
        if open_runs.is_empty() {
            return;
        }
        let losses = open_runs.iter().map(|open| WorkerLoss {
            job: open.run.job,
            index: open.run.index,
            worker: worker.clone(),
            likely: false,
            ran: false,
        });
        let orphaned_tasks = OrphanedTasks {
            at_us: now.mono_us,
            losses: losses.collect(),
        };
        self.orphaned_tasks.insert(name.clone(), orphaned_tasks);
    }

    /// Compares the worker of a gate that returned with its worker before. If they differ,
    /// the earlier worker and its runs are lost.
    pub(super) fn check_lost_worker(&mut self, now: Moment, name: &Arc<str>, worker: &WorkerId) {
        let Some(orphaned_tasks) = self.orphaned_tasks.remove(name) else {
            return;
        };
        let lost = orphaned_tasks
            .losses
            .into_iter()
            .filter(|loss| loss.worker != *worker);
        let losses: Vec<WorkerLoss> = lost.collect();
        if losses.is_empty() {
            return;
        }
        info!(self.log, "worker lost with its gate"; "gate" => &**name, "worker" => %worker,
            "tasks" => losses.len());
        self.record_losses(now, &losses);
        if let Some(session) = self.gates.get(name).and_then(|gate| gate.session) {
            let message = ToGate::Losses(losses);
            self.actions.push(DispatchAction::Send { session, message });
        }
    }

    /// Forgets gates that did not return.
    pub(super) fn evict_orphaned_tasks(&mut self, now: Moment) {
        self.orphaned_tasks
            .retain(|_, orphaned_tasks| !orphaned_tasks.is_expired(now));
    }

    /// Whether a lost worker had task `index` of `job`.
    pub(super) fn is_implicated(&self, job: &Job, index: u32) -> bool {
        self.losses.count(job.spec.id, index) > 0
    }

    /// Whether a gate is to reject task `index` of `job` if it has another implicated task. A task
    /// that was rejected for this and cannot wait shares a worker.
    pub(super) fn must_run_apart(&self, now: Moment, job: &Job, index: u32) -> bool {
        let task = job.tasks.get(index as usize);
        let was_rejected = task.is_some_and(|task| task.rejected_apart);
        self.is_implicated(job, index) && (may_wait_apart(now, job) || !was_rejected)
    }

    /// Gates with an implicated task; those of other entries are known from rejected starts.
    pub(super) fn gates_with_implicated(&self, now: Moment, job: &Job) -> HashSet<Arc<str>> {
        let implicated = |run: &RunId| self.losses.count(run.job, run.index) > 0;
        let open = self.jobs.values().chain(std::iter::once(job));
        let placed = open.flat_map(Job::placed_runs);
        let own = placed.filter(|(_, run)| implicated(run));
        let own = own.map(|(gate, _)| gate.clone());
        let of_others = self.gates.iter();
        let of_others = of_others.filter(|(_, gate)| gate.is_implicated(now));
        own.chain(of_others.map(|(name, _)| name.clone())).collect()
    }

    /// Answer for a job that is given up because of worker losses.
    pub(super) fn answer_for_losses(&self, job: JobId) -> Option<Answer> {
        let abandoned = self.losses.abandoned_task(job)?;
        let index = abandoned.index;
        let losses = self.losses.count(job, index);
        Some(match abandoned.crash_confirmed {
            true => {
                let why = format!("{losses} workers were lost under its task {index}");
                failed(ResultCode::TaskFailed, &why)
            }
            false => {
                let why = format!("{losses} workers may have been lost under its task {index}");
                Answer::failure(ResultCode::OutcomeUnknown, Effect::Unknown, &why)
            }
        })
    }
}

/// Whether the tasks of a job have time to wait for workers without implicated tasks. They need
/// the rest for one more attempt.
pub(super) fn may_wait_apart(now: Moment, job: &Job) -> bool {
    job.patience_us(now.mono_us) > job.expected_us
}
