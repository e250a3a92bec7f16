//! Worker losses: gives up jobs with a task that several workers had when they were lost.
//!
//! A gate reports the tasks that its worker had when it was lost. If the gate is lost as
//! well, the entry that sent the tasks reports them once a new gate of that name has
//! another worker.

use std::collections::HashSet;
use std::sync::Arc;

use slog::info;

use super::job::Job;
use super::{DispatchAction, Dispatcher, failed};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::job::JobId;
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

    /// Gates with an implicated task, one that a lost worker had; empty if task `index` of
    /// `job` is not implicated itself.
    ///
    /// Implicated tasks are kept on separate workers, so that a task that crashes its
    /// worker does not implicate the others again.
    pub(super) fn gates_with_implicated(&self, job: &Job, index: u32) -> HashSet<Arc<str>> {
        let implicated = |job: JobId, index: u32| self.losses.count(job, index) > 0;
        if !implicated(job.spec.id, index) {
            return HashSet::new();
        }
        let open = self.jobs.values().chain(std::iter::once(job));
        let placed = open.flat_map(Job::placed_runs);
        let placed_implicated = placed.filter(|(_, run)| implicated(run.job, run.index));
        placed_implicated.map(|(gate, _)| gate.clone()).collect()
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
