//! What entries and gates say to each other.
//!
//! One connection is one session. Both sides send frames; a frame carries the
//! messages that were waiting and the sender's monotonic clock, by which the
//! receiver tells how long the frame was under way ([`super::session`]).

use std::cmp::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ephemeral::frame_counts::{FrameKind, Purpose};
use crate::ephemeral::job::{Priority, Resources, RunId};
use crate::ephemeral::losses::WorkerLoss;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::worker_id::WorkerId;
use crate::metrics::Metrics;

/// One life of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the process in the deployment.
    pub name: Arc<str>,
    /// Random number of this life.
    pub incarnation: u64,
}

/// Messages sent together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame<M> {
    /// Monotonic clock of the sender, in microseconds.
    pub sent_us: u64,
    /// The messages, in order.
    pub messages: Vec<M>,
}

/// Bytes of a configuration in one message: 5 ms on a link of 25 Mbit/s, by which it
/// may hold up heartbeats (151 ms apart) and orders on the same connection.
const CONFIG_PART_BYTES: usize = 16 << 10;

/// A configuration document as the operator wrote it, passed on unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: Bytes,
}

/// What an entry lacks of a configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartWanted {
    /// Version of the document.
    pub version: u64,
    /// Bytes of it that the entry has.
    pub offset: u64,
}

/// Part of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// Version of the document.
    pub version: u64,
    /// Where the part begins, in bytes.
    pub offset: u64,
    /// Length of the whole document in bytes.
    pub total: u64,
    /// The part.
    pub bytes: Bytes,
}

impl ConfigDocument {
    /// The part that is wanted, or the first one of this document if it is newer;
    /// `None` if it is older, or if there is no such part.
    pub fn part(&self, wanted: PartWanted) -> Option<ConfigPart> {
        let offset = match self.version.cmp(&wanted.version) {
            Ordering::Less => return None,
            Ordering::Equal => usize::try_from(wanted.offset).ok()?,
            Ordering::Greater => 0,
        };
        let end = self
            .text
            .len()
            .min(offset.saturating_add(CONFIG_PART_BYTES));
        if offset >= end {
            return None;
        }
        Some(ConfigPart {
            version: self.version,
            offset: offset as u64,
            total: self.text.len() as u64,
            bytes: self.text.slice(offset..end),
        })
    }
}

impl ConfigPart {
    /// Counts a part that goes out on a session.
    pub fn count_sent(&self, metrics: &Metrics) {
        metrics.count("config_parts_sent", 1);
        metrics.count("config_sent_bytes", self.bytes.len() as u64);
    }
}

/// From an entry to a gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToGate {
    /// Opens a session, or takes up an earlier one of the same life.
    Hello {
        /// The entry.
        entry: ProcessId,
        /// Version of its configuration.
        config: u64,
        /// Runs that it believes to be at this gate.
        open: Vec<OpenRun>,
    },
    /// Run this as soon as there is room.
    Start(Box<StartOrder>),
    /// Bar this run, or stop it.
    Stop {
        /// The run.
        run: RunId,
    },
    /// A worker of this gate was lost under these tasks while the gate was away.
    Losses(Vec<WorkerLoss>),
    /// The entry lives.
    Beat,
    /// Version of the configuration that is in force in the entry now.
    ConfigVersion(u64),
    /// The entry lacks part of a newer configuration.
    WantConfig(PartWanted),
    /// Part of its configuration, for another entry.
    ConfigPart {
        /// Session of the gate with that entry.
        asker: SessionId,
        /// The part.
        part: ConfigPart,
    },
}

impl Purpose for ToGate {
    fn kind(&self) -> FrameKind {
        match self {
            ToGate::Hello { .. } => FrameKind::Hello,
            ToGate::Start(_) | ToGate::Stop { .. } => FrameKind::Order,
            ToGate::Losses(_) => FrameKind::Report,
            ToGate::Beat => FrameKind::Beat,
            ToGate::ConfigVersion(_) | ToGate::WantConfig(_) | ToGate::ConfigPart { .. } => {
                FrameKind::Config
            }
        }
    }
}

/// A run that an entry had given to a gate before their session broke.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenRun {
    /// The run.
    pub run: RunId,
    /// Life of the gate that it was sent to.
    pub sent_to: u64,
    /// What it holds while it runs.
    pub needs: Resources,
    /// Run time that the entry expects, in microseconds.
    pub expected_us: u64,
}

/// A task on its way to a gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// What the worker is given.
    pub payload: Arc<str>,
    /// What it holds while it runs.
    pub needs: Resources,
    /// Longest wait for room, in microseconds; refused afterwards, and at once
    /// if it is 0.
    pub patience_us: u64,
    /// Who is served first; orders the queue.
    pub priority: Priority,
    /// Whether it leaves room free for runs of a higher priority.
    pub leaves_headroom: bool,
    /// Whether the median of its runs tells how fast the worker is, not their mean.
    pub by_median: bool,
    /// Time until it should begin for its objective, in microseconds; orders the
    /// queue among runs of the same priority.
    pub due_us: u64,
    /// Run time that the entry expects on a worker of usual speed, in microseconds.
    pub expected_us: u64,
    /// Whether it may be stopped for being slow; one that was moved before may just
    /// be longer than its caller guessed.
    pub movable: bool,
    /// Whether a worker was lost under its task, or may have been.
    pub implicated: bool,
    /// Place in the entry's count of starts in this session.
    pub number: u64,
}

/// From a gate to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answers the entry's hello.
    Hello {
        /// The gate.
        gate: ProcessId,
        /// Newest configuration that one of its entries has.
        config: u64,
    },
    /// The gate's state now; also its sign of life.
    Load(GateLoad),
    /// A run ended, or never began.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        end: RunEnd,
        /// Its run time in microseconds; 0 if it never began.
        run_us: u64,
    },
    /// The worker was lost under these tasks, whoever had sent them; told before the
    /// ends of their runs.
    Losses(Vec<WorkerLoss>),
    /// The worker has begun the run.
    Began {
        /// The run.
        run: RunId,
    },
    /// Another entry has this version of the configuration.
    ConfigVersion(u64),
    /// Another entry lacks part of this entry's configuration.
    WantConfig {
        /// Session of the gate with that entry.
        asker: SessionId,
        /// What it lacks.
        wanted: PartWanted,
    },
    /// Part of a newer configuration, as wanted.
    ConfigPart(ConfigPart),
}

impl Purpose for ToEntry {
    fn kind(&self) -> FrameKind {
        match self {
            ToEntry::Hello { .. } => FrameKind::Hello,
            ToEntry::Load(_) => FrameKind::Load,
            ToEntry::Ended { .. } | ToEntry::Losses(_) | ToEntry::Began { .. } => FrameKind::Report,
            ToEntry::ConfigVersion(_) | ToEntry::WantConfig { .. } | ToEntry::ConfigPart(_) => {
                FrameKind::Config
            }
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The worker finished it.
    Done,
    /// The worker reports a failure.
    Failed,
    /// It began and was stopped, or its lease ran out.
    Stopped,
    /// It did not get on, and was stopped for that.
    Stalled,
    /// It never began here and never will.
    NotRun(NotRunReason),
}

impl RunEnd {
    /// Its name among the metrics.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Stalled => "stalled",
            RunEnd::NotRun(_) => "not_run",
        }
    }
}

/// Why a run never began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No room in time.
    NoRoom,
    /// The worker is leaving, or the gate is.
    Leaving,
    /// Operators have evacuated the gate's failure domain.
    Evacuated,
    /// The gate has no worker now.
    NoWorker,
    /// The entry withdrew it.
    Withdrawn,
    /// The order did not reach the gate: its connection went dead.
    Lost,
    /// The order did not reach the worker, which bars it now.
    Unanswered,
    /// The worker turned it down.
    Rejected,
    /// A worker was lost under its task, and so one was under another task here: together
    /// they would tell nothing.
    Apart,
    /// Another run of the task is not over here; it must not run elsewhere either.
    AlreadyHere,
}

impl NotRunReason {
    /// Whether the worker may have heard of the run; its number is used up then.
    pub fn reached_worker(self) -> bool {
        matches!(self, NotRunReason::Unanswered | NotRunReason::Rejected)
    }
}

/// State of a gate and its worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GateLoad {
    /// The worker, if there is one.
    pub worker: Option<Arc<WorkerTraits>>,
    /// Room that nobody holds.
    pub free: Resources,
    /// What waits ahead of a new run, by priority: the first is for the most urgent, each
    /// holds for all from its own to the next. Empty if nothing waits and nothing is known.
    pub queues: Vec<QueueLoad>,
    /// Mean run time of recent runs, in microseconds; 0 if unknown.
    pub mean_run_us: u64,
    /// Run times against what entries expected, in percent.
    pub slowness_percent: u32,
    /// Whether recent runs fail or stall; it gets one run at a time.
    pub suspect: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether that is because its failure domain is evacuated.
    pub evacuated: bool,
    /// Last start of this entry that is part of this load.
    pub seen: u64,
}

impl GateLoad {
    /// What waits ahead of a new run.
    pub fn queue_ahead(&self, priority: Priority) -> QueueLoad {
        let ahead = self.queues.iter().rev();
        let mut ahead = ahead.filter(|queue| queue.priority <= priority);
        ahead.next().copied().unwrap_or_default()
    }
}

/// What waits for room at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Most urgent run that this waits ahead of.
    pub priority: Priority,
    /// Processor time wanted by runs that wait, and headroom that a new one leaves free, in
    /// thousandths of a core.
    pub cpu_milli: u64,
    /// Time until the next run of usual size finds room, in microseconds.
    pub wait_us: u64,
}

impl Default for QueueLoad {
    /// Nothing waits.
    fn default() -> QueueLoad {
        QueueLoad {
            priority: Priority::URGENT,
            cpu_milli: 0,
            wait_us: 0,
        }
    }
}

/// What a worker is, for placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTraits {
    /// The worker's life.
    pub id: WorkerId,
    /// Service that it runs tasks of.
    pub service: String,
    /// What it has now.
    pub capacity: Resources,
    /// Most that this life has had of each: its capacity may shrink and grow again.
    #[serde(default)]
    pub largest: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
}
