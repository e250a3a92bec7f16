//! Records which runs were on a lost worker and reports them to the entries.
//!
//! Entries receive the losses before the ends of the runs, so that a task that is to be
//! given up is not retried first.

use std::cmp::Reverse;

use slog::info;

use super::answers::BUSY_POLL_WAIT;
use super::worker_incarnations::UNRESPONSIVE_MISSES;
use super::{Gate, GateAction, Run, RunState};
use crate::ephemeral::job::RunId;
use crate::ephemeral::losses::{WorkerLoss, is_likely_cause, was_still_running};
use crate::ephemeral::message::{ProcessId, ToEntry};
use crate::ephemeral::worker::{StartAnswer, StartReply, WorkerCallError};
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Losses kept and sent to entries that connect.
const MAX_KEPT_LOSSES: usize = 64;
/// Losses stored in the gate's record; bounds the data that entries read when many workers
/// are lost at once.
const MAX_STORED_LOSSES: usize = 16;

/// A run that was on a lost worker.
#[derive(Debug)]
pub(super) struct LostRun {
    /// Estimated time from its start to the loss, in microseconds; `u64::MAX` if unknown.
    age_us: u64,
    /// Its entry, if known.
    owner: Option<ProcessId>,
    loss: WorkerLoss,
}

impl LostRun {
    /// A copy that claims nothing about the cause, for a worker that may still be alive.
    fn as_unconfirmed(&self) -> LostRun {
        LostRun {
            age_us: self.age_us,
            owner: self.owner.clone(),
            loss: WorkerLoss {
                likely: false,
                ran: false,
                ..self.loss.clone()
            },
        }
    }
}

impl Gate {
    /// Records the loss of the worker and of the runs on it. Unanswered starts are resolved
    /// by their outcome, as they may have reached the worker after its end.
    pub(super) fn record_losses(&mut self, now: Moment, worker: &WorkerId) {
        let unanswered = self
            .runs
            .iter()
            .filter(|(_, record)| record.is_first_start_unanswered());
        let unanswered = unanswered.map(|(run, _)| (*run, loss_of(*run, worker)));
        self.unanswered_starts = unanswered.collect();
        let mut lost = std::mem::take(&mut self.suspected_losses);
        lost.extend(self.lost_runs(now, worker));
        self.publish_losses(lost);
    }

    /// Handles the outcome of a start to a lost worker: the worker had the run, unless the
    /// start was rejected or did not arrive.
    pub(super) fn resolve_unanswered_start(
        &mut self,
        run: RunId,
        answer: &Result<StartAnswer, WorkerCallError>,
    ) {
        let Some(mut loss) = self.unanswered_starts.remove(&run) else {
            return;
        };
        let reply = answer.as_ref().map(|answer| answer.reply);
        match reply {
            // If the worker has restarted, the answer may come from the next incarnation.
            Ok(StartReply::Running) => loss.ran = !self.has_restarted(&loss.worker),
            Err(WorkerCallError::Unanswered) => {}
            _ => return,
        }
        let lost = LostRun {
            age_us: 0,
            owner: None,
            loss,
        };
        self.publish_losses(vec![lost]);
    }

    /// Whether the worker has, or may have, restarted under the same name.
    fn has_restarted(&self, worker: &WorkerId) -> bool {
        let current = self
            .incarnation
            .as_ref()
            .map(|incarnation| &incarnation.traits.id);
        let is_next = |id: &WorkerId| id != worker && id.name == worker.name;
        self.carry_over.is_some() || current.is_some_and(is_next)
    }

    fn publish_losses(&mut self, mut lost: Vec<LostRun>) {
        if lost.is_empty() {
            return;
        }
        // The youngest runs are the likeliest cause, and are kept longest.
        lost.sort_by_key(|lost| Reverse(lost.age_us));
        self.send_losses(&lost);
        self.keep_losses(lost.into_iter().map(|lost| lost.loss));
    }

    /// Handles an expired lease. The losses are kept until the incarnation is known to have
    /// ended, and dropped if it answers a poll. If the worker is unresponsive, it may have
    /// crashed, and the losses are published at once as unconfirmed. If it answers, this
    /// process may have stalled, or the next incarnation may be answering.
    pub(super) fn suspect_losses(&mut self, now: Moment, worker: &WorkerId) {
        let suspected = self.lost_runs(now, worker);
        if self.is_unresponsive(now) {
            let possible = suspected.iter().map(LostRun::as_unconfirmed).collect();
            self.publish_losses(possible);
        }
        self.suspected_losses.extend(suspected);
    }

    fn lost_runs(&self, now: Moment, worker: &WorkerId) -> Vec<LostRun> {
        let maybe_begun = || {
            self.runs
                .iter()
                .filter(|(_, record)| record.may_have_begun())
        };
        let begun = maybe_begun().filter(|(_, record)| record.has_begun());
        let ages_us = begun.map(|(_, record)| self.age_at_loss_us(now, record));
        let youngest_us = ages_us.min().unwrap_or(0);
        let owned = maybe_begun().map(|(run, record)| {
            let age_us = self.age_at_loss_us(now, record);
            // The age of a run that a previous gate started is unknown.
            let by_this_incarnation = record.listed || !self.has_restarted(worker);
            let known = record.has_begun() && record.last_sample.is_some() && by_this_incarnation;
            let loss = WorkerLoss {
                likely: known && is_likely_cause(age_us, record.expected_us, youngest_us),
                ran: known && self.was_running_at_loss(now, record),
                ..loss_of(*run, worker)
            };
            info!(self.log, "run lost with its worker"; "run" => %run, "worker" => %worker,
                "state" => ?record.state, "age_us" => age_us, "likely" => loss.likely,
                "ran" => loss.ran, "expected_us" => record.expected_us);
            LostRun {
                age_us,
                owner: Some(record.owner.clone()),
                loss,
            }
        });
        let unclaimed = self.unclaimed.keys().map(|run| LostRun {
            age_us: u64::MAX,
            owner: None,
            loss: loss_of(*run, worker),
        });
        owned.chain(unclaimed).collect()
    }

    /// Upper bound of a run's age when its worker was lost. A live worker answers a poll
    /// within [`BUSY_POLL_WAIT`], and a crash fails the poll.
    fn age_at_loss_us(&self, now: Moment, run: &Run) -> u64 {
        let failed_us = self.poll_failed_us.unwrap_or(now.mono_us);
        let lost_us = failed_us.min(self.answered_us + micros(BUSY_POLL_WAIT));
        lost_us.saturating_sub(run.queued_or_started_us)
    }

    /// Upper bound of the time at which the worker was lost, in monotonic microseconds. This is
    /// the time at which a poll was disconnected, or at which an answer was due if several
    /// calls have gone unanswered, whichever is earlier; `now` if there is neither. A single
    /// call may be lost while the worker is alive.
    fn latest_loss_us(&self, now: Moment) -> u64 {
        let silent = self.missed_answers >= UNRESPONSIVE_MISSES;
        let silent_us = silent.then_some(self.answered_us + micros(BUSY_POLL_WAIT));
        let disconnected_us = self.poll_disconnected_us.into_iter();
        disconnected_us
            .chain(silent_us)
            .min()
            .unwrap_or(now.mono_us)
    }

    /// Whether a run that had begun was certainly unfinished when the worker was lost.
    fn was_running_at_loss(&self, now: Moment, run: &Run) -> bool {
        let lost_us = self.latest_loss_us(now);
        let stopped = match run.state {
            // The stop may have taken effect without an acknowledgement.
            RunState::Stopping { since_us, .. } => since_us < lost_us,
            _ => false,
        };
        // If the last lease may have expired first, the run may have ended before the loss.
        let detected_us = self.poll_failed_us.unwrap_or(now.mono_us);
        let last_lease_us = self.answered_us.saturating_sub(micros(BUSY_POLL_WAIT));
        let in_lease = detected_us <= last_lease_us + micros(self.limits.lease);
        let age_us = lost_us.saturating_sub(run.first_start_us);
        in_lease && !stopped && was_still_running(age_us, run.expected_us)
    }

    /// Sends each entry the likeliest causes and the losses of its own runs.
    fn send_losses(&mut self, lost: &[LostRun]) {
        let sent_from = lost.len().saturating_sub(MAX_STORED_LOSSES);
        let entries: Vec<ProcessId> = self.entries.keys().cloned().collect();
        for entry in entries {
            let of_interest = |(index, lost): &(usize, &LostRun)| {
                *index >= sent_from || lost.owner.as_ref() == Some(&entry)
            };
            let losses = lost.iter().enumerate().filter(of_interest);
            let losses: Vec<WorkerLoss> = losses.map(|(_, lost)| lost.loss.clone()).collect();
            self.send(&entry, ToEntry::Losses(losses));
        }
    }

    fn keep_losses(&mut self, lost: impl Iterator<Item = WorkerLoss>) {
        for loss in lost {
            self.losses
                .retain(|known| !known.has_same_task_and_worker(&loss));
            self.losses.push_back(loss);
        }
        let surplus = self.losses.len().saturating_sub(MAX_KEPT_LOSSES);
        self.losses.drain(..surplus);
        let stored_from = self.losses.len().saturating_sub(MAX_STORED_LOSSES);
        let newest = self.losses.range(stored_from..).cloned().collect();
        self.actions.push(GateAction::StoreLosses(newest));
    }

    /// Records the time at which a poll failed; [`Gate::poll_answered`] follows after the
    /// retry delay. `disconnected` is whether it failed before its timeout.
    pub fn poll_failed(&mut self, now: Moment, disconnected: bool) {
        self.poll_failed_us.get_or_insert(now.mono_us);
        if disconnected {
            self.poll_disconnected_us.get_or_insert(now.mono_us);
            // A check may have failed instead of the regular poll.
            if !self.check_pending {
                self.poll_broken(now);
            }
        }
    }

    /// Restores the losses recorded by a previous gate on this machine.
    pub fn restore_losses(&mut self, losses: Vec<WorkerLoss>) {
        if !losses.is_empty() {
            info!(self.log, "worker losses restored"; "losses" => losses.len());
            self.keep_losses(losses.into_iter());
        }
    }

    /// Stores losses found by an entry and forwards them to the others.
    pub(super) fn receive_losses(&mut self, from: &ProcessId, losses: Vec<WorkerLoss>) {
        let others = self.entries.keys().filter(|entry| *entry != from);
        let others: Vec<ProcessId> = others.cloned().collect();
        for entry in others {
            self.send(&entry, ToEntry::Losses(losses.clone()));
        }
        self.keep_losses(losses.into_iter());
    }

    /// Sends the known losses to an entry that has connected.
    pub(super) fn send_known_losses(&mut self, entry: &ProcessId) {
        if !self.losses.is_empty() {
            let losses = self.losses.iter().cloned().collect();
            self.send(entry, ToEntry::Losses(losses));
        }
    }
}

/// A loss without further details.
fn loss_of(run: RunId, worker: &WorkerId) -> WorkerLoss {
    WorkerLoss {
        job: run.job,
        index: run.index,
        worker: worker.clone(),
        likely: false,
        ran: false,
    }
}
