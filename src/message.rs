//! What processes of the fleet say to each other.
//!
//! Everything between two processes crosses one stream of [`Frame`]s. A frame
//! carries the messages that were waiting, and in its header what the sender
//! knows of configuration, ranges and loads, so that none of these needs
//! messages of its own. Every message may be lost, doubled, late or out of
//! order; the state machines that take them are built for that. Spans travel,
//! moments do not: two processes share no monotonic clock.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::code::{Effect, ResultCode};
use crate::fleet::Snapshot;
use crate::id::{Epoch, MemberId, RangeId, SubmissionId, TaskId};
use crate::load::LoadSample;

/// A batch of messages from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Who sends it.
    pub from: MemberId,
    /// What the sender knows.
    pub header: Header,
    /// The messages, in the order they were sent.
    pub messages: Vec<Message>,
}

/// What a sender knows, on every frame.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the configuration in force at the sender.
    pub config: u64,
    /// Revision of the table of key ranges at the sender.
    pub table: u64,
    /// Wall clock of the sender in milliseconds; 0 if it does not say.
    #[serde(default)]
    pub wall_ms: u64,
    /// The freshest loads that the sender knows and did not send lately.
    pub loads: Vec<LoadSample>,
}

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Entry to owner: run this, or join it.
    Submit(Box<Submission>),
    /// Owner to entry: what became of a submission.
    Answer {
        /// The submission.
        id: SubmissionId,
        /// Which question it answers.
        about: Ask,
        /// Its answer.
        answer: Answer,
    },
    /// Owner to entry: I do not own this id's range now.
    NotOwner {
        /// The submission.
        id: SubmissionId,
        /// Whether nothing was done with the message that is answered.
        untouched: bool,
    },
    /// Entry to owner: stop this submission.
    Cancel {
        /// The submission.
        id: SubmissionId,
    },
    /// Entry to owner: what is known of this submission?
    Lookup {
        /// The submission.
        id: SubmissionId,
    },
    /// Owner to gate: run this task; sent again, it changes nothing.
    Start(Box<Start>),
    /// Owner to gate: bar this task if it has not started, and say how it is.
    Inquire {
        /// The task.
        task: TaskId,
        /// Range of its submission.
        range: RangeId,
        /// Epoch of the owner that asks.
        epoch: Epoch,
        /// The attempt that is asked about.
        attempt: u32,
    },
    /// Owner to gate: bar or stop this task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Gate to owner: the task was not started here and never will be.
    Refused {
        /// The task.
        task: TaskId,
        /// The attempt that was not started; a refusal may come late or twice,
        /// when a later attempt is under way at the same gate.
        attempt: u32,
        /// Why.
        reason: Refusal,
    },
    /// Gate to owner: the task is running.
    Running {
        /// The task.
        task: TaskId,
    },
    /// Gate to owner: the task ended.
    Finished {
        /// The task.
        task: TaskId,
        /// How it ended.
        outcome: TaskOutcome,
        /// Run time at the target in microseconds.
        run_us: u64,
    },
    /// New owner to gate: take no start of an older epoch, and list what you
    /// started in this range.
    Recover {
        /// The range.
        range: RangeId,
        /// Epoch of the new owner.
        epoch: Epoch,
    },
    /// Gate to new owner: everything started here in the range.
    Recovered {
        /// The range.
        range: RangeId,
        /// Epoch that was asked with.
        epoch: Epoch,
        /// Tasks started here.
        tasks: Vec<StartedTask>,
    },
    /// Leaving owner to its successor: everything it knows of a range.
    Handover(Box<Handover>),
    /// Successor to leaving owner: the handover arrived.
    HandoverTaken {
        /// The range.
        range: RangeId,
        /// Epoch that the leaving owner holds.
        epoch: Epoch,
    },
    /// To whoever is ahead: send me what you know of the fleet.
    SnapshotRequest,
    /// What the sender knows of the fleet.
    Snapshot(Box<Snapshot>),
    /// Entry to any process: rows of an operator's table.
    RowsRequest {
        /// Names the request.
        request: u64,
        /// Table wanted.
        table: String,
        /// Only rows about this submission.
        about: Option<SubmissionId>,
    },
    /// Rows of an operator's table, each a JSON object.
    Rows {
        /// The request that is answered.
        request: u64,
        /// JSON array of rows.
        rows: Bytes,
    },
}

impl Message {
    /// What a message is to the count of wasted messages.
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

/// What an entry asks of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ask {
    /// Run it and say how it ended.
    Submit,
    /// Stop it.
    Cancel,
    /// Say how it is.
    Lookup,
}

impl Ask {
    /// Whether an answer about `self` also answers `other`: how a submission
    /// ended also says that it needs no cancel.
    pub fn answers(self, other: Ask) -> bool {
        self == other || (self == Ask::Submit && other == Ask::Cancel)
    }
}

/// What a message is to the count of wasted messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageClass {
    /// Moves work forward.
    Work,
    /// Keeps the fleet in order.
    Control,
    /// Moves nothing forward: a retry, a refusal.
    Void,
}

/// A caller's request or job on its way to the owner of its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Its id.
    pub id: SubmissionId,
    /// Service asked for.
    pub service: Arc<str>,
    /// Kind of request.
    pub kind: Arc<str>,
    /// Team that pays for it.
    pub team: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until its deadline, in milliseconds.
    pub budget_ms: u64,
    /// Whether it is a job; the tasks of a job are never retried after an
    /// unknown outcome.
    pub is_job: bool,
    /// Hash over everything that the caller asked for.
    pub digest: u64,
    /// Names the caller's try; an entry that sends a try again, because a link
    /// broke, keeps its number.
    pub call: u64,
    /// Payload of each task.
    pub tasks: Vec<Bytes>,
}

impl Submission {
    /// Stands for a submission of which only the id is known.
    pub fn question(id: SubmissionId, budget_ms: u64) -> Submission {
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

/// One task on its way to a gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Range of its submission.
    pub range: RangeId,
    /// Epoch of the owner that sends it.
    pub epoch: Epoch,
    /// Kind of request.
    pub kind: Arc<str>,
    /// Team that pays for it.
    pub team: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it may use the slots that are kept for urgent tasks.
    pub urgent: bool,
    /// Time left until its deadline, in milliseconds.
    pub budget_ms: u64,
    /// Run time that the owner expects, in microseconds.
    pub expected_us: u64,
    /// How often the task was sent before.
    pub attempt: u32,
    /// What the target gets.
    pub payload: Bytes,
}

/// Why a gate did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Its queue is full.
    QueueFull,
    /// It has no free slot, and another gate may have one.
    Busy,
    /// The deadline cannot be met here.
    TooLate,
    /// The target is leaving or drained.
    Leaving,
    /// The owner's epoch is over.
    StaleEpoch,
    /// Barred before it started.
    Barred,
    /// The target took no connection; nothing reached it.
    NoConnection,
    /// The target lacks what the task needs.
    Unfit,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The target answered; its whole body.
    Done(Bytes),
    /// The target answered with a failure.
    Failed {
        /// Its HTTP status.
        status: u16,
        /// Its whole body.
        body: Bytes,
    },
    /// Stopped while it ran.
    Stopped,
    /// It may have run; the answer is lost.
    Lost,
}

/// A task that a gate has started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartedTask {
    /// The task.
    pub task: TaskId,
    /// How it ended; `None` while it runs or waits.
    pub outcome: Option<TaskOutcome>,
}

/// What a leaving owner knows of a range.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The range.
    pub range: RangeId,
    /// Epoch that the leaving owner holds.
    pub epoch: Epoch,
    /// Ids at or below it that are not listed are not new.
    pub horizon_ms: u64,
    /// Ids above it that are not listed were never started.
    pub proof_floor_ms: u64,
    /// Every submission it knows.
    pub entries: Vec<HandoverEntry>,
}

/// One submission in a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The submission; its tasks are empty once it ended.
    pub submission: Submission,
    /// The answer, once there is one.
    pub answer: Option<Answer>,
    /// First attempt number that no gate has seen.
    pub next_attempt: u32,
    /// Tries that it came with.
    pub calls: Vec<u64>,
    /// How far each task came.
    pub tasks: Vec<HandoverTask>,
    /// Tasks that an owner before the leaving one started.
    pub recovered: Vec<RecoveredTask>,
    /// Entries that wait for the answer.
    pub waiters: Vec<MemberId>,
}

/// How far a task came before a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandoverTask {
    /// Not sent anywhere; the number of its next attempt.
    Waiting(u32),
    /// Sent to a gate.
    Sent {
        /// The gate.
        gate: MemberId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ended.
    Ended(TaskOutcome),
}

/// A task that an owner before started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecoveredTask {
    /// Its index in the submission.
    pub index: u32,
    /// Where.
    pub gate: MemberId,
    /// How it ended; `None` while it runs or waits.
    pub outcome: Option<TaskOutcome>,
}

impl RecoveredTask {
    /// Whether it certainly ran.
    pub fn has_run(&self) -> bool {
        self.outcome
            .as_ref()
            .is_some_and(|outcome| *outcome != TaskOutcome::Lost)
    }
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Result code.
    pub code: ResultCode,
    /// What is known of its execution.
    pub effect: Effect,
    /// Words for a person.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The target's answer for each task, if complete.
    pub results: Vec<Bytes>,
}

impl Answer {
    /// A whole answer.
    pub fn complete(results: Vec<Bytes>) -> Answer {
        Answer {
            code: ResultCode::Complete,
            effect: Effect::Ran,
            message: String::new(),
            retry_after_ms: None,
            results,
        }
    }

    /// A failure or refusal.
    pub fn failure(code: ResultCode, effect: Effect, message: &str) -> Answer {
        Answer {
            code,
            effect,
            message: message.to_string(),
            retry_after_ms: None,
            results: Vec::new(),
        }
    }

    /// A refusal of something that has not run.
    pub fn not_run(code: ResultCode, message: &str) -> Answer {
        Answer::failure(code, Effect::NotRun, message)
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, ms: u64) -> Answer {
        self.retry_after_ms = Some(ms);
        self
    }
}
