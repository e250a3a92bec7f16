//! Worker losses by task, and the decision to abandon a task that crashes workers.
//!
//! A loss is attributed to every task that the worker had, as one loss does not show which task
//! caused it. The gate beside the worker records it, reports it to all entries and keeps it in
//! its record in the store. An abandoned task is not sent to any further worker. Its job fails
//! only if enough workers are known to have crashed while they ran the task; otherwise the
//! outcome of the job is unknown.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ephemeral::job::JobId;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Losses after which a task is abandoned in any case. Starts in progress through other entries
/// may add further losses.
const MAX_LOSSES: usize = 3;
/// Losses after which a task is abandoned if it is the likely cause of each of them. Below
/// [`MAX_LOSSES`], as it saves a worker; the task may still be innocent if several workers crash
/// by themselves.
const MAX_LIKELY_LOSSES: usize = 2;
/// Confirmed crashes under an abandoned task after which its job fails. Other losses prove
/// nothing: an unanswered start may never have taken effect, and a silent worker may be alive.
const MIN_CONFIRMED_CRASHES: usize = 2;
/// A run is a likely cause of a loss only in the first 1/n of its expected run time, where n is
/// this divisor. A worker that crashes by itself does so there in about one of n runs, and in
/// two runs of a task with a chance of 1/n².
const EARLY_RUN_DIVISOR: u64 = 4;
/// A run is not a likely cause if its age exceeds that of the youngest run on the worker by more
/// than this factor, as crashes mostly follow soon after a start.
const MAX_AGE_RATIO: u64 = 2;
/// A run counts as unfinished at a crash only in the first 1/n of its expected run time, where n
/// is this divisor; later it may have ended without a report, as run times differ from the
/// expected one by a factor of three and more.
const STILL_RUNNING_DIVISOR: u64 = 3;
/// Retention of losses; longer than callers resend a job.
const LOSS_RETENTION: Duration = Duration::from_secs(120);
/// Largest number of retained losses; the oldest are evicted first.
const MAX_RETAINED_LOSSES: usize = 4_096;

/// Loss of a worker that had a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLoss {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task in the job.
    pub index: u32,
    /// Incarnation of the worker.
    pub worker: WorkerId,
    /// Whether the task is a likely cause ([`is_likely_cause`]).
    pub likely: bool,
    /// Whether the worker is known to have crashed while it ran the task. Otherwise the run may
    /// not have begun or may have ended, or the worker may be alive.
    pub ran: bool,
}

impl WorkerLoss {
    /// Whether both are of the same task and the same worker incarnation.
    pub fn has_same_task_and_worker(&self, other: &WorkerLoss) -> bool {
        (self.job, self.index) == (other.job, other.index) && self.worker == other.worker
    }
}

/// Task that is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedTask {
    /// Index of the task in the job.
    pub index: u32,
    /// Whether enough crashes under it are confirmed to fail its job.
    pub crash_confirmed: bool,
}

/// Whether a run of age `age_us`, expected to take `expected_us`, is a likely cause of a loss;
/// `youngest_us` is the age of the youngest run on the worker.
pub fn is_likely_cause(age_us: u64, expected_us: u64, youngest_us: u64) -> bool {
    let early = age_us.saturating_mul(EARLY_RUN_DIVISOR) <= expected_us;
    early && age_us <= youngest_us.saturating_mul(MAX_AGE_RATIO)
}

/// Whether a run of at most `age_us` at the crash, expected to take `expected_us`, had not
/// finished by then.
pub fn was_still_running(age_us: u64, expected_us: u64) -> bool {
    age_us.saturating_mul(STILL_RUNNING_DIVISOR) <= expected_us
}

/// Tasks with open runs at a lost gate; they become losses if its worker is lost as well.
#[derive(Debug)]
pub struct OrphanedTasks {
    /// When the gate was lost, in monotonic microseconds.
    pub at_us: u64,
    /// The losses to record, one per open run.
    pub losses: Vec<WorkerLoss>,
}

impl OrphanedTasks {
    /// Whether the retention time has passed.
    pub fn is_expired(&self, now: Moment) -> bool {
        now.mono_us > self.at_us + micros(LOSS_RETENTION)
    }
}

/// Worker losses known to this process.
#[derive(Debug, Default)]
pub struct LossLog {
    by_job: HashMap<JobId, Vec<WorkerLoss>>,
    /// Time at which each loss became known, oldest first.
    order: VecDeque<(u64, JobId)>,
}

impl LossLog {
    /// Records a loss, or further details of a known one; returns `false` if nothing is new.
    pub fn record(&mut self, now: Moment, loss: &WorkerLoss) -> bool {
        let known = self.by_job.entry(loss.job).or_default();
        if let Some(same) = known
            .iter_mut()
            .find(|known| known.has_same_task_and_worker(loss))
        {
            let is_new = loss.likely && !same.likely || loss.ran && !same.ran;
            same.likely |= loss.likely;
            same.ran |= loss.ran;
            return is_new;
        }
        known.push(loss.clone());
        self.order.push_back((now.mono_us, loss.job));
        if self.order.len() > MAX_RETAINED_LOSSES {
            self.evict_oldest();
        }
        true
    }

    /// The task for which the job is abandoned, if any.
    pub fn abandoned_task(&self, job: JobId) -> Option<AbandonedTask> {
        let losses = self.by_job.get(&job)?;
        let of_task = |index: u32| losses.iter().filter(move |loss| loss.index == index);
        let likely = |index: u32| of_task(index).filter(|loss| loss.likely).count();
        let is_abandoned =
            |index: u32| of_task(index).count() >= MAX_LOSSES || likely(index) >= MAX_LIKELY_LOSSES;
        let mut tasks = losses.iter().map(|loss| loss.index);
        tasks
            .find(|index| is_abandoned(*index))
            .map(|index| AbandonedTask {
                index,
                crash_confirmed: of_task(index).filter(|loss| loss.ran).count()
                    >= MIN_CONFIRMED_CRASHES,
            })
    }

    /// Number of workers that were, or may have been, lost under a task.
    pub fn count(&self, job: JobId, index: u32) -> usize {
        let known = self.by_job.get(&job).into_iter().flatten();
        known.filter(|loss| loss.index == index).count()
    }

    /// Evicts losses whose retention time has passed.
    pub fn evict_expired(&mut self, now: Moment) {
        while let Some((at_us, _)) = self.order.front()
            && now.mono_us > at_us + micros(LOSS_RETENTION)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, job)) = self.order.pop_front() else {
            return;
        };
        if let Some(known) = self.by_job.get_mut(&job) {
            known.remove(0);
            if known.is_empty() {
                self.by_job.remove(&job);
            }
        }
    }
}
