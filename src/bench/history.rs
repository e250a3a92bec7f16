//! Records the events of a run as observed by callers and operators.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::bench::workload::PlannedSubmission;
use crate::code::Effect;

/// An attempt to send a submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Time at which it was sent, in monotonic microseconds.
    pub sent_us: u64,
    /// Time at which it was answered or timed out, in monotonic microseconds.
    pub answered_us: u64,
    /// Name of the result code; empty if there was no answer.
    pub code: String,
    /// Effect in the answer, if there was one.
    pub effect: Option<Effect>,
}

/// Submission as observed by its caller.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// Submission id.
    pub id: String,
    /// The planned submission.
    pub planned: PlannedSubmission,
    /// Time of the first attempt, in monotonic microseconds.
    pub sent_us: u64,
    /// Time at which the caller finished, in monotonic microseconds.
    pub ended_us: u64,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// Number of results in a complete answer.
    pub results: usize,
    /// Whether every result belongs to the matching task.
    pub has_own_results: bool,
    /// Whether the submission was cancelled.
    pub cancelled: bool,
}

impl SubmissionRecord {
    /// Whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.last_code() == "COMPLETE"
    }

    /// Result code of the last attempt.
    pub fn last_code(&self) -> &str {
        self.attempts
            .last()
            .map_or("", |attempt| attempt.code.as_str())
    }

    /// Effect reported by the last attempt.
    pub fn last_effect(&self) -> Option<Effect> {
        self.attempts.last().and_then(|attempt| attempt.effect)
    }
}

/// Departure of a target, by a shutdown or a drain.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    /// Name of the target.
    pub target: String,
    /// Time in monotonic microseconds.
    pub at_us: u64,
    /// Time from which the target may get tasks again.
    pub until_us: u64,
}

/// Configuration revision that a process used.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigObservation {
    /// Name of the process.
    pub process: String,
    /// The revision.
    pub revision: u64,
    /// Time in monotonic microseconds.
    pub at_us: u64,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// The revision.
    pub revision: u64,
    /// Time in monotonic microseconds.
    pub at_us: u64,
}

#[derive(Debug, Default)]
struct Events {
    submissions: HashMap<String, SubmissionRecord>,
    departures: Vec<Departure>,
    observations: Vec<ConfigObservation>,
    changes: Vec<ConfigChange>,
    only_planned_faults: bool,
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

    /// Records a finished submission.
    pub fn record_submission(&self, record: SubmissionRecord) {
        self.events().submissions.insert(record.id.clone(), record);
    }

    /// Records the departure of a target.
    pub fn record_departure(&self, departure: Departure) {
        self.events().departures.push(departure);
    }

    /// Records that a target may get tasks again.
    pub fn record_return(&self, target: &str, at_us: u64) {
        let mut events = self.events();
        let departures = events
            .departures
            .iter_mut()
            .filter(|departure| departure.target == target);
        departures.for_each(|departure| departure.until_us = departure.until_us.min(at_us));
    }

    /// Records the configuration revision of a process.
    pub fn record_observation(&self, observation: ConfigObservation) {
        self.events().observations.push(observation);
    }

    /// Records an accepted configuration change.
    pub fn record_change(&self, change: ConfigChange) {
        self.events().changes.push(change);
    }

    /// Sets whether all faults of this run are planned operations.
    pub fn set_only_planned_faults(&self, only_planned: bool) {
        self.events().only_planned_faults = only_planned;
    }

    /// Whether all faults of this run are planned operations.
    pub fn has_only_planned_faults(&self) -> bool {
        self.events().only_planned_faults
    }

    /// All submissions.
    pub fn submissions(&self) -> Vec<SubmissionRecord> {
        self.events().submissions.values().cloned().collect()
    }

    /// All departures.
    pub fn departures(&self) -> Vec<Departure> {
        self.events().departures.clone()
    }

    /// All observed configuration revisions, in order.
    pub fn observations(&self) -> Vec<ConfigObservation> {
        self.events().observations.clone()
    }

    /// All accepted configuration changes.
    pub fn changes(&self) -> Vec<ConfigChange> {
        self.events().changes.clone()
    }
}
