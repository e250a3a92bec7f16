//! Jobs with a task under which workers are lost, one after the other.
//!
//! A gate tells which tasks its worker was lost under. One that dies at the same time
//! cannot: then the entry that had sent them finds the worker of the next gate there to
//! be another one, and tells in its place.

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
    /// Workers were lost under these tasks, which may be anybody's. Gives up the jobs
    /// here that have such a task, also if it is on its way to the next worker.
    pub(super) fn learn_losses(&mut self, now: Moment, losses: &[WorkerLoss]) {
        for loss in losses {
            if !self.losses.record(now, loss) {
                continue;
            }
            if !self.jobs.contains_key(&loss.job) {
                continue;
            }
            info!(self.log, "worker lost under a task"; "job" => %loss.job, "task" => loss.index,
                "worker" => %loss.worker, "likely" => loss.likely, "ran" => loss.ran,
                "losses" => self.losses.count(loss.job, loss.index));
            if let Some(answer) = self.answer_for_losses(loss.job) {
                self.finish(now, loss.job, answer);
            }
        }
    }

    /// A gate is gone with runs on its worker.
    pub(super) fn leave_behind(&mut self, now: Moment, name: &Arc<str>, worker: &WorkerId) {
        let here = self.open_runs(name);
        if here.is_empty() {
            return;
        }
        let losses = here.iter().map(|open| WorkerLoss {
            job: open.run.job,
            index: open.run.index,
            worker: worker.clone(),
            likely: false,
            ran: false,
        });
        let left = OrphanedTasks {
            at_us: now.mono_us,
            losses: losses.collect(),
        };
        self.left_behind.insert(name.clone(), left);
    }

    /// A gate tells its worker: if it is another one than before, the one before is lost.
    pub(super) fn compare_worker(&mut self, now: Moment, name: &Arc<str>, worker: &WorkerId) {
        let Some(left) = self.left_behind.remove(name) else {
            return;
        };
        let lost = left
            .losses
            .into_iter()
            .filter(|loss| loss.worker != *worker);
        let losses: Vec<WorkerLoss> = lost.collect();
        if losses.is_empty() {
            return;
        }
        info!(self.log, "worker lost with its gate"; "gate" => &**name, "worker" => %worker,
            "tasks" => losses.len());
        self.learn_losses(now, &losses);
        if let Some(session) = self.gates.get(name).and_then(|gate| gate.session) {
            let message = ToGate::Losses(losses);
            self.actions.push(DispatchAction::Send { session, message });
        }
    }

    /// Forgets gates that did not come back.
    pub(super) fn forget_left_behind(&mut self, now: Moment) {
        self.left_behind.retain(|_, left| !left.is_expired(now));
    }

    /// Gates with tasks of this entry under which a worker was lost, if that is so of the
    /// task `index` of `job` as well.
    ///
    /// All tasks of a lost worker are placed anew at the same moment. If they went to the
    /// same next one, the one that crashes workers would take the others along again,
    /// until they seem to be to blame as well.
    pub(super) fn gates_with_implicated(&self, job: &Job, index: u32) -> HashSet<Arc<str>> {
        let implicated = |job: JobId, index: u32| self.losses.count(job, index) > 0;
        if !implicated(job.spec.id, index) {
            return HashSet::new();
        }
        let open = self.jobs.values().chain(std::iter::once(job));
        let out = open.flat_map(Job::out);
        let there = out.filter(|(_, run)| implicated(run.job, run.index));
        there.map(|(gate, _)| gate.clone()).collect()
    }

    /// The answer for a job that is to be given up, if it is. Whoever had it before, its
    /// task may have begun.
    pub(super) fn answer_for_losses(&self, job: JobId) -> Option<Answer> {
        let given_up = self.losses.abandoned_task(job)?;
        let index = given_up.index;
        let losses = self.losses.count(job, index);
        Some(match given_up.crash_confirmed {
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
