//! Messages between the processes of the fleet.
//!
//! Messages are sent in [`Frame`]s; a frame's header carries the sender's configuration and
//! table revisions and its load samples. Messages may be lost, duplicated, delayed or
//! reordered. They contain durations instead of monotonic timestamps, because processes
//! share no monotonic clock.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::code::{Effect, ResultCode};
use crate::fleet::Snapshot;
use crate::id::{Epoch, MemberId, RangeId, SubmissionId, TaskId};
use crate::load::LoadSample;

/// Batch of messages from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: MemberId,
    /// Revisions and loads known to the sender.
    pub header: Header,
    /// Messages in sending order.
    pub messages: Vec<Message>,
}

/// Header of every frame.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the sender's configuration.
    pub config: u64,
    /// Revision of the sender's table of key ranges.
    pub table: u64,
    /// Sender's wall clock in milliseconds; 0 if not given.
    #[serde(default)]
    pub wall_ms: u64,
    /// Latest load samples that were not yet sent to this receiver.
    pub loads: Vec<LoadSample>,
}

/// Message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Entry to owner: run a submission, or join it if it is known.
    Submit(Box<Submission>),
    /// Owner to entry: result of an operation on a submission.
    Answer {
        /// The submission.
        id: SubmissionId,
        /// Operation that is answered.
        about: Operation,
        /// Answer.
        answer: Answer,
    },
    /// Owner to entry: the sender does not own the id's range.
    NotOwner {
        /// The submission.
        id: SubmissionId,
        /// Whether the rejected message had no effect.
        untouched: bool,
    },
    /// Entry to owner: cancel a submission.
    Cancel {
        /// The submission.
        id: SubmissionId,
    },
    /// Entry to owner: look up the state of a submission.
    Lookup {
        /// The submission.
        id: SubmissionId,
    },
    /// Owner to gate: run a task. Idempotent.
    Start(Box<Start>),
    /// Owner to gate: refuse a task if it has not started, and report its state.
    Inquire {
        /// The task.
        task: TaskId,
        /// Range of its submission.
        range: RangeId,
        /// Epoch of the sender.
        epoch: Epoch,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Owner to gate: refuse or stop a task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Gate to owner: this attempt was not started and never will be.
    Refused {
        /// The task.
        task: TaskId,
        /// The refused attempt; a delayed refusal may arrive during a later attempt.
        attempt: u32,
        /// Reason.
        reason: Refusal,
    },
    /// Gate to owner: the task is queued or running.
    Running {
        /// The task.
        task: TaskId,
    },
    /// Gate to owner: the task ended.
    Finished {
        /// The task.
        task: TaskId,
        /// Outcome.
        outcome: TaskOutcome,
        /// Run time at the target in microseconds.
        run_us: u64,
    },
    /// New owner to gate: refuse starts of older epochs, and list the tasks accepted in a range.
    Recover {
        /// The range.
        range: RangeId,
        /// Epoch of the new owner.
        epoch: Epoch,
    },
    /// Gate to new owner: all tasks that the gate accepted in the range.
    Recovered {
        /// The range.
        range: RangeId,
        /// Epoch of the request.
        epoch: Epoch,
        /// Accepted tasks.
        tasks: Vec<StartedTask>,
    },
    /// Leaving owner to its successor: state of a range.
    Handover(Box<Handover>),
    /// Successor to leaving owner: handover received.
    HandoverTaken {
        /// The range.
        range: RangeId,
        /// Epoch of the leaving owner.
        epoch: Epoch,
    },
    /// Requests a snapshot of the receiver's fleet view.
    SnapshotRequest,
    /// The sender's fleet view.
    Snapshot(Box<Snapshot>),
    /// Entry to any process: request for rows of an operator's table.
    RowsRequest {
        /// Request id.
        request: u64,
        /// Table name.
        table: String,
        /// Only rows about this submission.
        about: Option<SubmissionId>,
    },
    /// Rows of an operator's table, each a JSON object.
    Rows {
        /// Request id.
        request: u64,
        /// JSON array of rows.
        rows: Bytes,
    },
}

impl Message {
    /// Class for the message counters.
    pub fn class(&self) -> MessageClass {
        match self {
            Message::Submit(_)
            | Message::Answer { .. }
            | Message::Cancel { .. }
            | Message::Lookup { .. }
            | Message::Finished { .. }
            | Message::Stop { .. } => MessageClass::Work,
            Message::Start(start) if start.attempt == 0 => MessageClass::Work,
            Message::Start(_) | Message::Refused { .. } | Message::NotOwner { .. } => {
                MessageClass::Void
            }
            _ => MessageClass::Control,
        }
    }
}

/// Operation on a submission that an entry requests from its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Operation {
    /// Run it and return the result.
    Submit,
    /// Cancel it.
    Cancel,
    /// Look up its state.
    Lookup,
}

impl Operation {
    /// Whether an answer to `self` also answers `other`: a finished submission needs no
    /// cancellation.
    pub fn answers(self, other: Operation) -> bool {
        self == other || (self == Operation::Submit && other == Operation::Cancel)
    }
}

/// Class of a message for the message counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageClass {
    /// Carries work.
    Work,
    /// Coordinates the fleet.
    Control,
    /// Retry or refusal.
    Void,
}

/// A caller's request or job, as sent to the owner of its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Id.
    pub id: SubmissionId,
    /// Requested service.
    pub service: Arc<str>,
    /// Kind of request.
    pub kind: Arc<str>,
    /// Team whose quota applies.
    pub team: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Remaining time until the deadline.
    pub budget_ms: u64,
    /// Whether it is a job; its tasks are never retried after an unknown outcome.
    pub is_job: bool,
    /// Hash of the whole request.
    pub digest: u64,
    /// Id of the caller's attempt; unchanged when an entry resends the submission.
    pub call: u64,
    /// Payloads of the tasks.
    pub tasks: Vec<Bytes>,
}

impl Submission {
    /// Creates a placeholder for a submission of which only the id is known.
    pub fn id_only(id: SubmissionId, budget_ms: u64) -> Submission {
        Submission {
            id,
            service: Arc::from(""),
            kind: Arc::from(""),
            team: None,
            priority: 0,
            budget_ms,
            is_job: false,
            digest: 0,
            call: 0,
            tasks: Vec::new(),
        }
    }
}

/// Request to a gate to start a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Range of its submission.
    pub range: RangeId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Kind of request.
    pub kind: Arc<str>,
    /// Team whose quota applies.
    pub team: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it may use the slots reserved for urgent tasks.
    pub urgent: bool,
    /// Remaining time until the deadline.
    pub budget_ms: u64,
    /// Expected run time.
    pub expected_us: u64,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Payload for the target.
    pub payload: Bytes,
}

/// Why a gate did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue is full.
    QueueFull,
    /// No slot is free; another gate may have one.
    Busy,
    /// The deadline can't be met at this gate.
    TooLate,
    /// The target is leaving or drained.
    Leaving,
    /// The owner's epoch is outdated.
    StaleEpoch,
    /// The owner withdrew the task before it started.
    Barred,
    /// The target accepted no connection, so the task did not run.
    NoConnection,
    /// The target does not meet the task's requirements.
    Unfit,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The target succeeded; holds its response body.
    Done(Bytes),
    /// The target returned an error.
    Failed {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Bytes,
    },
    /// The task was stopped while running.
    Stopped,
    /// The response is lost; the task may have run.
    Lost,
}

/// Task that a gate has accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartedTask {
    /// The task.
    pub task: TaskId,
    /// Outcome; `None` while the task is queued or running.
    pub outcome: Option<TaskOutcome>,
}

/// State of a range, from a leaving owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The range.
    pub range: RangeId,
    /// Epoch of the leaving owner.
    pub epoch: Epoch,
    /// Wall-clock time; no owner accepted an unlisted id with a later timestamp.
    pub horizon_ms: u64,
    /// Wall-clock time; no gate queues or has started an unlisted id with a later timestamp.
    /// `u64::MAX` if not all gates answered in a recovery.
    pub proof_floor_ms: u64,
    /// All known submissions.
    pub entries: Vec<HandoverEntry>,
}

/// One submission in a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The submission, without tasks if it has ended.
    pub submission: Submission,
    /// Answer, if it has ended.
    pub answer: Option<Answer>,
    /// First unused attempt number.
    pub next_attempt: u32,
    /// Ids of the callers' attempts.
    pub calls: Vec<u64>,
    /// Progress of each task.
    pub tasks: Vec<HandoverTask>,
    /// Tasks that earlier owners started.
    pub recovered: Vec<RecoveredTask>,
    /// Entries waiting for the answer.
    pub waiters: Vec<MemberId>,
}

/// Progress of a task at a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandoverTask {
    /// Not sent to a gate; holds the number of the next attempt.
    Waiting(u32),
    /// Sent to a gate.
    Sent {
        /// The gate.
        gate: MemberId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ended with this outcome.
    Ended(TaskOutcome),
}

/// Task that an earlier owner started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveredTask {
    /// Index in the submission.
    pub index: u32,
    /// Gate that has the task.
    pub gate: MemberId,
    /// Outcome; `None` while the task is queued or running.
    pub outcome: Option<TaskOutcome>,
}

impl RecoveredTask {
    /// Whether the task is known to have run.
    pub fn has_run(&self) -> bool {
        self.outcome
            .as_ref()
            .is_some_and(|outcome| *outcome != TaskOutcome::Lost)
    }
}

/// Answer to an operation on a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Result code.
    pub code: ResultCode,
    /// Whether the submission has run, as far as known.
    pub effect: Effect,
    /// Human-readable message.
    pub message: String,
    /// Suggested delay before a retry.
    pub retry_after_ms: Option<u64>,
    /// The target's response for each task, if complete.
    pub results: Vec<Bytes>,
}

impl Answer {
    /// Creates the answer to a completed submission.
    pub fn complete(results: Vec<Bytes>) -> Answer {
        Answer {
            code: ResultCode::Complete,
            effect: Effect::Ran,
            message: String::new(),
            retry_after_ms: None,
            results,
        }
    }

    /// Creates a failure or refusal.
    pub fn failure(code: ResultCode, effect: Effect, message: &str) -> Answer {
        Answer {
            code,
            effect,
            message: message.to_string(),
            retry_after_ms: None,
            results: Vec::new(),
        }
    }

    /// Creates a refusal of a submission that has not run.
    pub fn not_run(code: ResultCode, message: &str) -> Answer {
        Answer::failure(code, Effect::NotRun, message)
    }

    /// Sets the suggested delay before a retry.
    pub fn retry_after(mut self, ms: u64) -> Answer {
        self.retry_after_ms = Some(ms);
        self
    }
}
