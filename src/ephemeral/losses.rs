//! Tasks that workers were lost under, and when that makes a task one to give up.
//!
//! A task may crash the worker that starts it, and then the next one. A worker also
//! crashes for reasons of its own, and takes tasks along that have nothing to do with
//! it. One loss does not tell these apart; several do. So each loss is a fact about
//! every task that the worker had: the gate beside the worker notes it, tells it to all
//! entries, and keeps it in its record in the store, so that whoever gets the job next
//! knows of it, whatever became of the entry that had it.
//!
//! A task that is given up goes to no further worker. Without that, one task took eleven
//! workers of eleven down within a second, three seconds each; with it three.
//!
//! Its job fails only if two workers or more are known to have crashed while they ran the
//! task. An order that was not answered may never have been carried out, and a worker
//! that is silent may live: such losses keep the task from further workers as well, but
//! nobody knows then what became of the job, and that is what its caller is told.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ephemeral::job::JobId;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Losses after which a task is given up in any case: two starts that are under way
/// through other entries meanwhile may each take one more worker.
const MOST: usize = 3;
/// Losses after which a task is given up if it is the likeliest reason of each. It saves a
/// worker for the time of its restart, and leaves room for losses that nobody could tell.
/// It may be wrong: on a day of twelve waves of workers that crash by themselves within
/// 20 s (eleven workers) 2 of 166 tasks that had only met those were given up.
const MOST_LIKELY: usize = 2;
/// Workers that are known to have crashed under a task whose job is failed for it.
const FEWEST_KNOWN: usize = 2;
/// A task may be the likeliest reason of a loss in the first of so many parts of its
/// expected run time: a worker that crashes by itself does so then in one of four runs,
/// and in two runs of a task with a chance of 1 to 16.
const EARLY_PARTS: u64 = 4;
/// It is not if another run on the worker was younger by this factor: what crashes a
/// worker does so soon as a rule, and what was there before it is innocent.
const YOUNGER: u64 = 2;
/// A run is taken to have gone on when its worker crashed in the first of so many parts of
/// its expected run time. Later it may have been over, and the list that told so lost: run
/// times differ from what is expected by a factor of three and more.
const SURE_PARTS: u64 = 3;
/// How long a loss is remembered: for longer than callers send a job again.
const KEEP: Duration = Duration::from_secs(120);
/// Losses that are remembered at most; the oldest are forgotten first. Of 100 bytes each.
const MOST_KEPT: usize = 4_096;

/// A worker was lost while it had a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLoss {
    /// The task's job.
    pub job: JobId,
    /// The task's place in the job.
    pub index: u32,
    /// The worker's life.
    pub worker: WorkerId,
    /// Whether the task is the likeliest reason: it had just begun, later than others.
    pub likely: bool,
    /// Whether it is known that the worker crashed while it ran the task. Otherwise the run
    /// may not have begun or may have been over, or the worker may live.
    pub ran: bool,
}

impl WorkerLoss {
    /// Whether both tell of the same task on the same worker.
    pub fn is_of_same_run(&self, other: &WorkerLoss) -> bool {
        (self.job, self.index) == (other.job, other.index) && self.worker == other.worker
    }
}

/// A task that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Its place in the job.
    pub index: u32,
    /// Whether it is known that workers crash under it.
    pub known: bool,
}

/// Whether a run is the likeliest reason of a loss: one of `age_us` that was expected to
/// take `expected_us`, where the youngest on the worker was of `youngest_us`.
pub fn is_likely(age_us: u64, expected_us: u64, youngest_us: u64) -> bool {
    let early = age_us.saturating_mul(EARLY_PARTS) <= expected_us;
    early && age_us <= youngest_us.saturating_mul(YOUNGER)
}

/// Whether a run that had begun was not over yet when its worker crashed: one that was then
/// of `age_us` at most, and was expected to take `expected_us`.
pub fn went_on(age_us: u64, expected_us: u64) -> bool {
    age_us.saturating_mul(SURE_PARTS) <= expected_us
}

/// What was on a worker whose gate is gone; lost as well if the worker is.
#[derive(Debug)]
pub struct LeftBehind {
    /// When the gate was given up, in monotonic microseconds.
    pub at_us: u64,
    /// The tasks that were there.
    pub losses: Vec<WorkerLoss>,
}

impl LeftBehind {
    /// Whether the gate has been gone for too long to matter.
    pub fn is_old(&self, now: Moment) -> bool {
        now.mono_us > self.at_us + micros(KEEP)
    }
}

/// The losses that a process knows of.
#[derive(Debug, Default)]
pub struct LossLog {
    by_job: HashMap<JobId, Vec<WorkerLoss>>,
    /// When each became known, oldest first.
    order: VecDeque<(u64, JobId)>,
}

impl LossLog {
    /// Takes note of a loss, or of more about one that is known; `false` if it tells nothing new.
    pub fn note(&mut self, now: Moment, loss: &WorkerLoss) -> bool {
        let known = self.by_job.entry(loss.job).or_default();
        if let Some(same) = known.iter_mut().find(|known| known.is_of_same_run(loss)) {
            let better = loss.likely && !same.likely || loss.ran && !same.ran;
            same.likely |= loss.likely;
            same.ran |= loss.ran;
            return better;
        }
        known.push(loss.clone());
        self.order.push_back((now.mono_us, loss.job));
        if self.order.len() > MOST_KEPT {
            self.forget_oldest();
        }
        true
    }

    /// The task for which a job is to be given up, if there is one.
    pub fn given_up(&self, job: JobId) -> Option<GivenUp> {
        let losses = self.by_job.get(&job)?;
        let of_task = |index: u32| losses.iter().filter(move |loss| loss.index == index);
        let likely = |index: u32| of_task(index).filter(|loss| loss.likely).count();
        let given_up = |index: u32| of_task(index).count() >= MOST || likely(index) >= MOST_LIKELY;
        let mut tasks = losses.iter().map(|loss| loss.index);
        tasks.find(|index| given_up(*index)).map(|index| GivenUp {
            index,
            known: of_task(index).filter(|loss| loss.ran).count() >= FEWEST_KNOWN,
        })
    }

    /// Number of workers that were, or may have been, lost under a task.
    pub fn count(&self, job: JobId, index: u32) -> usize {
        let known = self.by_job.get(&job).into_iter().flatten();
        known.filter(|loss| loss.index == index).count()
    }

    /// Forgets what is old.
    pub fn forget_old(&mut self, now: Moment) {
        while let Some((at_us, _)) = self.order.front()
            && now.mono_us > at_us + micros(KEEP)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
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
