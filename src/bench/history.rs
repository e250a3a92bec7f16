//! What happened in a run, as callers and operators saw it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::bench::workload::Planned;
use crate::code::Effect;

/// One try of a submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// When it was sent, in monotonic microseconds.
    pub sent_us: u64,
    /// When its answer came.
    pub answered_us: u64,
    /// Name of the result code; empty if no answer came.
    pub code: String,
    /// What the answer said about execution, if it came.
    pub effect: Option<Effect>,
}

/// One submission as its caller saw it.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// Its id.
    pub id: String,
    /// What was planned.
    pub planned: Planned,
    /// When it was first sent.
    pub sent_us: u64,
    /// When its caller was done with it.
    pub done_us: u64,
    /// Its tries.
    pub attempts: Vec<Attempt>,
    /// Results in its answer, if complete.
    pub results: usize,
    /// Whether every result was that of its own task.
    pub own_results: bool,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
}

impl SubmissionRecord {
    /// Whether it has its whole answer.
    pub fn complete(&self) -> bool {
        self.last_code() == "COMPLETE"
    }

    /// The code of its last try.
    pub fn last_code(&self) -> &str {
        self.attempts
            .last()
            .map_or("", |attempt| attempt.code.as_str())
    }

    /// What its last try said about execution.
    pub fn last_effect(&self) -> Option<Effect> {
        self.attempts.last().and_then(|attempt| attempt.effect)
    }
}

/// A target that was told to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct Leave {
    /// Name of the target.
    pub target: String,
    /// When, in monotonic microseconds.
    pub at_us: u64,
    /// When it may take work again.
    pub until_us: u64,
}

/// A revision that a process had in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigSeen {
    /// The process.
    pub process: String,
    /// The revision.
    pub revision: u64,
    /// When, in monotonic microseconds.
    pub at_us: u64,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigAccepted {
    /// The revision.
    pub revision: u64,
    /// When, in monotonic microseconds.
    pub at_us: u64,
}

#[derive(Debug, Default)]
struct Events {
    submissions: HashMap<String, SubmissionRecord>,
    leaves: Vec<Leave>,
    seen: Vec<ConfigSeen>,
    accepted: Vec<ConfigAccepted>,
    only_planned: bool,
}

/// The history of a run.
#[derive(Debug, Default)]
pub struct History {
    events: Mutex<Events>,
}

impl History {
    fn events(&self) -> MutexGuard<'_, Events> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a submission that its caller is done with.
    pub fn done(&self, record: SubmissionRecord) {
        self.events().submissions.insert(record.id.clone(), record);
    }

    /// Notes a leaving target.
    pub fn left(&self, leave: Leave) {
        self.events().leaves.push(leave);
    }

    /// Notes that a target may take work again.
    pub fn returned(&self, target: &str, at_us: u64) {
        let mut events = self.events();
        let leaves = events
            .leaves
            .iter_mut()
            .filter(|leave| leave.target == target);
        leaves.for_each(|leave| leave.until_us = leave.until_us.min(at_us));
    }

    /// Notes a revision that a process had in force.
    pub fn saw(&self, seen: ConfigSeen) {
        self.events().seen.push(seen);
    }

    /// Notes an accepted change.
    pub fn accepted(&self, accepted: ConfigAccepted) {
        self.events().accepted.push(accepted);
    }

    /// Says that nothing but planned stops and drains happens in this run.
    pub fn set_only_planned(&self, only: bool) {
        self.events().only_planned = only;
    }

    /// Whether nothing but planned stops and drains happened.
    pub fn only_planned(&self) -> bool {
        self.events().only_planned
    }

    /// All submissions.
    pub fn submissions(&self) -> Vec<SubmissionRecord> {
        self.events().submissions.values().cloned().collect()
    }

    /// All leaves.
    pub fn leaves(&self) -> Vec<Leave> {
        self.events().leaves.clone()
    }

    /// All revisions seen, in order.
    pub fn seen(&self) -> Vec<ConfigSeen> {
        self.events().seen.clone()
    }

    /// All accepted changes.
    pub fn changes(&self) -> Vec<ConfigAccepted> {
        self.events().accepted.clone()
    }
}
