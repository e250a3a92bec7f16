//! Cancelled jobs, and the states of jobs that callers ask for.
//!
//! A cancellation ends an open job and stops its runs. It is kept for a while, as a submission of
//! the job may arrive after it.

use std::collections::{HashSet, VecDeque};

use slog::info;

use super::{DispatchAction, Dispatcher, WaiterId};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::cancellations::CANCELLATION_RETENTION;
use crate::ephemeral::job::JobId;
use crate::message::Answer;
use crate::time::{Moment, micros};

/// Largest number of kept cancellations; the oldest are dropped to bound the memory.
const MAX_CANCELLATIONS: usize = 100_000;

/// State of a job at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Open; none of its tasks has begun.
    Queued,
    /// Open; a task may have begun.
    Running,
    /// All tasks are done.
    Complete,
    /// It failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It is not open at this entry, and its end is not known here.
    Unknown,
}

/// Cancellations that are kept.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    jobs: HashSet<JobId>,
    /// With the time of the cancellation in monotonic microseconds, oldest first.
    order: VecDeque<(u64, JobId)>,
}

impl Cancellations {
    /// Adds a cancellation; returns whether it is new.
    fn insert(&mut self, now: Moment, job: JobId) -> bool {
        let is_new = self.jobs.insert(job);
        if is_new {
            self.order.push_back((now.mono_us, job));
        }
        if self.order.len() > MAX_CANCELLATIONS {
            self.remove_oldest();
        }
        is_new
    }

    fn contains(&self, job: JobId) -> bool {
        self.jobs.contains(&job)
    }

    /// Removes the cancellations whose retention time is over.
    pub fn evict_expired(&mut self, now: Moment) {
        let oldest_us = now.mono_us.saturating_sub(micros(CANCELLATION_RETENTION));
        while self
            .order
            .front()
            .is_some_and(|(at_us, _)| *at_us < oldest_us)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, job)) = self.order.pop_front() {
            self.jobs.remove(&job);
        }
    }
}

impl Dispatcher {
    /// Cancels a job; `source` says in the log where the cancellation comes from. Does nothing if
    /// it is known already.
    pub fn cancel(&mut self, now: Moment, id: JobId, source: &'static str) {
        if !self.cancellations.insert(now, id) {
            return;
        }
        let open = self.jobs.get(&id);
        info!(self.log, "job cancelled"; "job" => %id, "from" => source, "open" => open.is_some(),
            "placed_runs" => open.map(|job| job.placed_runs().count()));
        let Some(job) = open else {
            return;
        };
        let effect = match job.is_untouched() {
            true => Effect::NotRun,
            false => Effect::Unknown,
        };
        self.finish(now, id, cancelled(effect));
    }

    /// Answers a caller whose job was cancelled before; `false` if it was not.
    pub(super) fn answer_cancelled(&mut self, waiter: WaiterId, id: JobId) -> bool {
        let is_cancelled = self.cancellations.contains(id);
        if is_cancelled {
            info!(self.log, "job not started after its cancellation"; "job" => %id);
            let answer = cancelled(Effect::Unknown);
            self.actions.push(DispatchAction::Reply { waiter, answer });
        }
        is_cancelled
    }

    /// State of a job.
    pub fn job_state(&self, id: JobId) -> JobState {
        if let Some(job) = self.jobs.get(&id) {
            return match job.may_have_run {
                true => JobState::Running,
                false => JobState::Queued,
            };
        }
        let answer = self.finished.get(&id).and_then(|job| job.answer.as_ref());
        match answer.map(|answer| answer.code) {
            Some(ResultCode::Complete) => JobState::Complete,
            Some(_) => JobState::Failed,
            None if self.cancellations.contains(id) => JobState::Cancelled,
            None => JobState::Unknown,
        }
    }
}

fn cancelled(effect: Effect) -> Answer {
    Answer::failure(ResultCode::Cancelled, effect, "it was cancelled")
}
