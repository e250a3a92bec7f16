//! What a gate makes of the loss of its worker: a fact about every task that was there.
//!
//! Entries are told before they are told of the ends of the runs, so that a task which
//! is to be given up goes nowhere else first.

use std::cmp::Reverse;

use slog::info;

use super::progress::BUSY_WAIT;
use super::worker_life::MUTE_FROM;
use super::{Gate, GateAction, Run, RunState};
use crate::ephemeral::job::RunId;
use crate::ephemeral::losses::{WorkerLoss, is_likely_cause, was_still_running};
use crate::ephemeral::message::{ProcessId, ToEntry};
use crate::ephemeral::worker::{OrderError, StartAnswer, StartReply};
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Newest losses that a gate keeps and tells entries that connect.
const MOST_KEPT: usize = 64;
/// Newest losses in the gate's record. Where all of 240 workers are lost at once, the
/// records of 1.5 kB are 360 kB for each entry, 0.25 s on half of 25 Mbit/s.
const MOST_RECORDED: usize = 16;

/// A run that was on the worker.
#[derive(Debug)]
pub(super) struct Lost {
    /// How long it had gone on; the longest time if that is not known.
    age_us: u64,
    /// Its entry, if it is known.
    owner: Option<ProcessId>,
    loss: WorkerLoss,
}

impl Lost {
    /// The same while the worker may live.
    fn as_possible(&self) -> Lost {
        Lost {
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
    /// The worker is lost, with all that was on it. Of an order without an answer yet its
    /// answer will tell: it may have met a worker that was gone already.
    pub(super) fn note_losses(&mut self, now: Moment, worker: &WorkerId) {
        let open = self
            .runs
            .iter()
            .filter(|(_, record)| record.is_unanswered());
        let open = open.map(|(run, _)| (*run, loss_of(*run, worker)));
        self.open_starts = open.collect();
        let mut lost = std::mem::take(&mut self.in_doubt);
        lost.extend(self.runs_on(now, worker));
        self.publish_losses(lost);
    }

    /// The answer to an order of a worker that is lost: unless the order did not come, or
    /// was turned away, the worker had the run.
    pub(super) fn answer_of_lost(&mut self, run: RunId, answer: &Result<StartAnswer, OrderError>) {
        let Some(mut loss) = self.open_starts.remove(&run) else {
            return;
        };
        let reply = answer.as_ref().map(|answer| answer.reply);
        match reply {
            // It may be the next life that answers, if the worker started again.
            Ok(StartReply::Running) => loss.ran = !self.has_restarted(&loss.worker),
            Err(OrderError::Unanswered) => {}
            _ => return,
        }
        let lost = Lost {
            age_us: 0,
            owner: None,
            loss,
        };
        self.publish_losses(vec![lost]);
    }

    /// Whether another life answers, or may answer, under the name of this one.
    fn has_restarted(&self, worker: &WorkerId) -> bool {
        let present = self.life.as_ref().map(|life| &life.traits.id);
        let is_next = |id: &WorkerId| id != worker && id.name == worker.name;
        self.kept.is_some() || present.is_some_and(is_next)
    }

    fn publish_losses(&mut self, mut lost: Vec<Lost>) {
        if lost.is_empty() {
            return;
        }
        // The youngest are the likeliest reason, and are kept longest.
        lost.sort_by_key(|lost| Reverse(lost.age_us));
        self.tell_losses(&lost);
        self.keep_losses(lost.into_iter().map(|lost| lost.loss));
    }

    /// The worker was not heard for its whole lease. What it had is known to be lost once
    /// the present life turns out to be over, unless it is heard before. If it lets orders
    /// go unanswered, it may have crashed and stay silent: that is told at once. Otherwise
    /// this gate may have stood still, or the next life answers already.
    pub(super) fn doubt_runs(&mut self, now: Moment, worker: &WorkerId) {
        let doubted = self.runs_on(now, worker);
        if self.is_mute(now) {
            let possible = doubted.iter().map(Lost::as_possible).collect();
            self.publish_losses(possible);
        }
        self.in_doubt.extend(doubted);
    }

    fn runs_on(&self, now: Moment, worker: &WorkerId) -> Vec<Lost> {
        let out = || {
            self.runs
                .iter()
                .filter(|(_, record)| record.may_have_begun())
        };
        let begun = out().filter(|(_, record)| record.began());
        let ages_us = begun.map(|(_, record)| self.age_at_loss_us(now, record));
        let youngest_us = ages_us.min().unwrap_or(0);
        let owned = out().map(|(run, record)| {
            let age_us = self.age_at_loss_us(now, record);
            // The age of a run that an earlier gate began is not known.
            let by_this_life = record.listed || !self.has_restarted(worker);
            let known = record.began() && record.mark.is_some() && by_this_life;
            let loss = WorkerLoss {
                likely: known && is_likely_cause(age_us, record.expected_us, youngest_us),
                ran: known && self.ran_at_loss(now, record),
                ..loss_of(*run, worker)
            };
            info!(self.log, "run lost with its worker"; "run" => %run, "worker" => %worker,
                "state" => ?record.state, "age_us" => age_us, "likely" => loss.likely,
                "ran" => loss.ran, "expected_us" => record.expected_us);
            Lost {
                age_us,
                owner: Some(record.owner.clone()),
                loss,
            }
        });
        let unclaimed = self.unclaimed.keys().map(|run| Lost {
            age_us: u64::MAX,
            owner: None,
            loss: loss_of(*run, worker),
        });
        owned.chain(unclaimed).collect()
    }

    /// How long a run had gone on when its worker was lost, as far as can be told: the worker
    /// answers a hold within [`BUSY_WAIT`] while it lives, and the hold fails as it crashes.
    fn age_at_loss_us(&self, now: Moment, run: &Run) -> u64 {
        let failed_us = self.hold_failed_us.unwrap_or(now.mono_us);
        let lost_us = failed_us.min(self.answered_us + micros(BUSY_WAIT));
        lost_us.saturating_sub(run.since_us)
    }

    /// When the worker was lost, at the latest, in monotonic microseconds: as a hold broke
    /// off, or before several calls in a row went unanswered. A single one may be lost
    /// while the worker lives.
    fn lost_by_us(&self, now: Moment) -> u64 {
        let silent = self.misses >= MUTE_FROM;
        let silent_us = silent.then_some(self.answered_us + micros(BUSY_WAIT));
        let broke_us = self.hold_broke_us.into_iter();
        broke_us.chain(silent_us).min().unwrap_or(now.mono_us)
    }

    /// Whether a run that had begun was surely not over when the worker was lost.
    fn ran_at_loss(&self, now: Moment, run: &Run) -> bool {
        let lost_us = self.lost_by_us(now);
        let stopped = match run.state {
            // Carried out, perhaps, without an answer.
            RunState::Stopping { since_us, .. } => since_us < lost_us,
            _ => false,
        };
        // After the lease that the worker took last, its runs lapse before it crashes.
        let found_us = self.hold_failed_us.unwrap_or(now.mono_us);
        let taken_us = self.answered_us.saturating_sub(micros(BUSY_WAIT));
        let in_lease = found_us <= taken_us + micros(self.limits.lease);
        let age_us = lost_us.saturating_sub(run.ordered_us);
        in_lease && !stopped && was_still_running(age_us, run.expected_us)
    }

    /// Tells each entry the likeliest reasons, and all that became of its own runs.
    fn tell_losses(&mut self, lost: &[Lost]) {
        let told_from = lost.len().saturating_sub(MOST_RECORDED);
        let entries: Vec<ProcessId> = self.owners.keys().cloned().collect();
        for entry in entries {
            let of_interest = |(at, lost): &(usize, &Lost)| {
                *at >= told_from || lost.owner.as_ref() == Some(&entry)
            };
            let losses = lost.iter().enumerate().filter(of_interest);
            let losses: Vec<WorkerLoss> = losses.map(|(_, lost)| lost.loss.clone()).collect();
            self.tell(&entry, ToEntry::Losses(losses));
        }
    }

    fn keep_losses(&mut self, lost: impl Iterator<Item = WorkerLoss>) {
        for loss in lost {
            self.losses.retain(|known| !known.is_of_same_run(&loss));
            self.losses.push_back(loss);
        }
        let surplus = self.losses.len().saturating_sub(MOST_KEPT);
        self.losses.drain(..surplus);
        let recorded_from = self.losses.len().saturating_sub(MOST_RECORDED);
        let newest = self.losses.range(recorded_from..).cloned().collect();
        self.actions.push(GateAction::Record(newest));
    }

    /// A hold has just failed; its answer as such comes later. It `broke` off if it did not
    /// wait in vain.
    pub fn hold_failed(&mut self, now: Moment, broke: bool) {
        self.hold_failed_us.get_or_insert(now.mono_us);
        if broke {
            self.hold_broke_us.get_or_insert(now.mono_us);
        }
    }

    /// What the record of an earlier gate on this machine says.
    pub fn recall_losses(&mut self, losses: Vec<WorkerLoss>) {
        if !losses.is_empty() {
            info!(self.log, "losses recalled"; "losses" => losses.len());
            self.keep_losses(losses.into_iter());
        }
    }

    /// An entry found out what an earlier gate here could not tell.
    pub(super) fn hear_losses(&mut self, from: &ProcessId, losses: Vec<WorkerLoss>) {
        let others = self.owners.keys().filter(|entry| *entry != from);
        let others: Vec<ProcessId> = others.cloned().collect();
        for entry in others {
            self.tell(&entry, ToEntry::Losses(losses.clone()));
        }
        self.keep_losses(losses.into_iter());
    }

    /// Tells an entry that has just connected what is known.
    pub(super) fn tell_known_losses(&mut self, entry: &ProcessId) {
        if !self.losses.is_empty() {
            let losses = self.losses.iter().cloned().collect();
            self.tell(entry, ToEntry::Losses(losses));
        }
    }
}

/// A loss of which nothing more is known.
fn loss_of(run: RunId, worker: &WorkerId) -> WorkerLoss {
    WorkerLoss {
        job: run.job,
        index: run.index,
        worker: worker.clone(),
        likely: false,
        ran: false,
    }
}
