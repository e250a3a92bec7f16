//! Messages between entries and gates.
//!
//! A frame carries the messages queued for one session and the sender's monotonic clock, from
//! which the receiver estimates the frame's age ([`super::frame_clock`]).

use std::cmp::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ephemeral::frame_counts::{FrameKind, FrameMessage};
use crate::ephemeral::job::{JobId, Priority, Resources, RunId};
use crate::ephemeral::losses::WorkerLoss;
use crate::ephemeral::session::SessionId;
use crate::ephemeral::worker_id::WorkerId;
use crate::metrics::Metrics;

/// One incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the process in the deployment.
    pub name: Arc<str>,
    /// Random number of the incarnation.
    pub incarnation: u64,
}

/// Messages sent together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame<M> {
    /// Time of the turn in which the sender decided the messages, on its monotonic clock, in
    /// microseconds.
    pub sent_us: u64,
    /// The messages, in order.
    pub messages: Vec<M>,
}

/// Size of one part of a configuration. Small, because it delays heartbeats and orders on the
/// same connection.
const CONFIG_PART_BYTES: usize = 16 << 10;

/// Configuration document as the operator wrote it, forwarded without parsing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: Bytes,
}

/// Request for the rest of a configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPartRequest {
    /// Version of the document.
    pub version: u64,
    /// Bytes already received.
    pub offset: u64,
}

/// Part of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// Version of the document.
    pub version: u64,
    /// Position of the part in the document, in bytes.
    pub offset: u64,
    /// Length of the whole document, in bytes.
    pub total: u64,
    /// The bytes of the part.
    pub bytes: Bytes,
}

impl ConfigDocument {
    /// The requested part, or the first part if this document is newer than requested; `None`
    /// if it is older or has no such part.
    pub fn part(&self, wanted: ConfigPartRequest) -> Option<ConfigPart> {
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
    /// Counts this part as sent.
    pub fn count_sent(&self, metrics: &Metrics) {
        metrics.count("config_parts_sent", 1);
        metrics.count("config_sent_bytes", self.bytes.len() as u64);
    }
}

/// Message from an entry to a gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToGate {
    /// Opens a session, or resumes an earlier one of the same incarnation.
    Hello {
        /// The entry.
        entry: ProcessId,
        /// Version of the entry's configuration.
        config: u64,
        /// Runs that the entry has assigned to this gate.
        open: Vec<OpenRun>,
    },
    /// Starts a run as soon as there is capacity.
    Start(Box<StartOrder>),
    /// Stops a run, or prevents its start.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Losses of an earlier worker of this gate, by task; sent if the gate was lost as well and
    /// may not have recorded them.
    Losses(Vec<WorkerLoss>),
    /// Heartbeat.
    Beat,
    /// Version of the configuration in force in the entry.
    ConfigVersion(u64),
    /// Requests part of a newer configuration.
    WantConfig(ConfigPartRequest),
    /// Part of the entry's configuration, for another entry.
    ConfigPart {
        /// The gate's session with that entry.
        asker: SessionId,
        /// The part.
        part: ConfigPart,
    },
    /// Registers a job at its registrar.
    Register {
        /// The job.
        job: JobId,
        /// How long the job may have runs from now on, in microseconds.
        for_us: u64,
        /// Whether another registrar has let the job start already; there is no answer then.
        confirmed: bool,
    },
    /// Ends the registration of a job, as no run of it is left at this entry.
    Released {
        /// The job.
        job: JobId,
        /// Whether all its tasks are done.
        complete: bool,
    },
}

impl FrameMessage for ToGate {
    fn frame_kind(&self) -> FrameKind {
        match self {
            ToGate::Hello { .. } => FrameKind::Hello,
            ToGate::Start(_) | ToGate::Stop { .. } => FrameKind::Order,
            ToGate::Losses(_) => FrameKind::Report,
            ToGate::Beat => FrameKind::Beat,
            ToGate::ConfigVersion(_) | ToGate::WantConfig(_) | ToGate::ConfigPart { .. } => {
                FrameKind::Config
            }
            ToGate::Register { .. } | ToGate::Released { .. } => FrameKind::Registration,
        }
    }
}

/// A run that an entry assigned to a gate before their session ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenRun {
    /// The run.
    pub run: RunId,
    /// Incarnation of the gate that it was sent to.
    pub sent_to: u64,
    /// Resources that it holds while it runs.
    pub needs: Resources,
    /// Run time that the entry expects, in microseconds.
    pub expected_us: u64,
}

/// Order to start a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// Payload for the worker.
    pub payload: Arc<str>,
    /// Resources that it holds while it runs.
    pub needs: Resources,
    /// Longest wait for capacity, in microseconds, before the run is refused. With 0 it is
    /// refused unless it can start at once. If the run leaves headroom, the gate may shorten
    /// the wait, or queue the run in spite of 0, by its forecast.
    pub patience_us: u64,
    /// Priority in the queue.
    pub priority: Priority,
    /// Whether it leaves capacity free for runs of a higher priority.
    pub leaves_headroom: bool,
    /// Whether worker speed is judged by the median of these runs instead of their mean.
    pub by_median: bool,
    /// Time from the arrival of the order within which the run must begin to meet its
    /// objective, in microseconds. The queue orders runs of the same priority by the end of it.
    pub due_us: u64,
    /// Run time that the entry expects on a worker of normal speed, in microseconds.
    pub expected_us: u64,
    /// Whether it may be stopped for being slow and moved to another gate.
    pub movable: bool,
    /// Whether a worker was lost, or may have been lost, while it had the task.
    pub implicated: bool,
    /// Sequence number of the start in this session.
    pub number: u64,
    /// Label that the worker must have. The gate may have another worker by the time the order
    /// arrives. Left out if there is none, so that gates of earlier versions accept the order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
}

/// Message from a gate to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answer to the entry's hello.
    Hello {
        /// The gate.
        gate: ProcessId,
        /// Newest configuration version among the gate's entries.
        config: u64,
    },
    /// Current state of the gate; also serves as its heartbeat.
    Load(GateLoad),
    /// A run ended, or will never begin.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
        /// Its run time in microseconds; 0 if it never began.
        run_us: u64,
    },
    /// Losses of the gate's worker by task, including tasks of other entries; sent before the
    /// `Ended` messages of their runs.
    Losses(Vec<WorkerLoss>),
    /// The worker began the run.
    Began {
        /// The run.
        run: RunId,
    },
    /// Another entry has this version of the configuration.
    ConfigVersion(u64),
    /// Another entry requests part of this entry's configuration.
    WantConfig {
        /// The gate's session with that entry.
        asker: SessionId,
        /// The requested part.
        wanted: ConfigPartRequest,
    },
    /// Part of a newer configuration, as requested.
    ConfigPart(ConfigPart),
    /// The job is registered: its tasks may start.
    Registered {
        /// The job.
        job: JobId,
    },
    /// Another entry has the job. Another answer follows once it has released it.
    HeldElsewhere {
        /// The job.
        job: JobId,
    },
    /// Another entry has completed the job.
    CompletedElsewhere {
        /// The job.
        job: JobId,
    },
    /// Another entry waits for the job; to be answered with [`ToGate::Released`] once it is over.
    Inquiry {
        /// The job.
        job: JobId,
    },
}

impl FrameMessage for ToEntry {
    fn frame_kind(&self) -> FrameKind {
        match self {
            ToEntry::Hello { .. } => FrameKind::Hello,
            ToEntry::Load(_) => FrameKind::Load,
            ToEntry::Ended { .. } | ToEntry::Losses(_) | ToEntry::Began { .. } => FrameKind::Report,
            ToEntry::ConfigVersion(_) | ToEntry::WantConfig { .. } | ToEntry::ConfigPart(_) => {
                FrameKind::Config
            }
            ToEntry::Registered { .. }
            | ToEntry::HeldElsewhere { .. }
            | ToEntry::CompletedElsewhere { .. }
            | ToEntry::Inquiry { .. } => FrameKind::Registration,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The worker finished it.
    Done,
    /// The worker reported a failure.
    Failed,
    /// It was stopped after it began, or its lease expired.
    Stopped,
    /// It was stopped because it made no progress.
    Stalled,
    /// It never began here and never will.
    NotRun(NotRunReason),
}

impl RunEnd {
    /// Name in metrics.
    pub fn metric_name(self) -> &'static str {
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
    /// Capacity was not available in time.
    NoRoom,
    /// The worker or the gate is shutting down.
    Leaving,
    /// The gate's failure domain is evacuated.
    Evacuated,
    /// The gate has no worker, or its worker lacks the required label.
    NoWorker,
    /// The entry withdrew the order.
    Withdrawn,
    /// The order did not reach the gate, because its connection failed.
    Lost,
    /// The worker did not answer the order and will not start the run any more.
    Unanswered,
    /// The worker rejected the order.
    Rejected,
    /// Workers were lost both with this task and with another one here. The two must not share
    /// a worker, or a further loss could not be attributed to one of them.
    Apart,
    /// Another run of the task is still open here; the task must not run elsewhere either.
    AlreadyHere,
}

impl NotRunReason {
    /// Whether the worker may have received the run; its run number must then not be reused.
    pub fn may_have_reached_worker(self) -> bool {
        matches!(self, NotRunReason::Unanswered | NotRunReason::Rejected)
    }
}

/// State of a gate and its worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GateLoad {
    /// The worker, if there is one.
    pub worker: Option<Arc<WorkerTraits>>,
    /// Unallocated capacity.
    pub free: Resources,
    /// Load ahead of a new run, by priority, the most urgent first. Each element also applies to
    /// the priorities between it and the next one. Empty if there is no load or it is unknown.
    pub queues: Vec<QueueLoad>,
    /// Mean run time of recent runs, in microseconds; 0 if unknown.
    pub mean_run_us: u64,
    /// Actual run times relative to expected ones, in percent.
    pub slowness_percent: u32,
    /// Whether recent runs failed or stalled; such a gate gets one run at a time.
    pub suspect: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it takes no new work because its failure domain is evacuated.
    pub evacuated: bool,
    /// Sequence number of the last start from the receiving entry that this load includes.
    pub seen: u64,
}

impl GateLoad {
    /// Load ahead of a new run of this priority.
    pub fn queue_ahead(&self, priority: Priority) -> QueueLoad {
        let ahead = self.queues.iter().rev();
        let mut ahead = ahead.filter(|queue| queue.priority <= priority);
        ahead.next().copied().unwrap_or_default()
    }
}

/// Load queued at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Most urgent priority to which this load applies.
    pub priority: Priority,
    /// Processor time wanted by queued runs, plus the headroom that a new run leaves free, in
    /// thousandths of a core.
    pub cpu_milli: u64,
    /// Time until the next run of average size gets capacity, in microseconds.
    pub wait_us: u64,
}

impl Default for QueueLoad {
    /// Empty queue.
    fn default() -> QueueLoad {
        QueueLoad {
            priority: Priority::URGENT,
            cpu_milli: 0,
            wait_us: 0,
        }
    }
}

/// Properties of a worker that matter for placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTraits {
    /// Incarnation of the worker.
    pub id: WorkerId,
    /// Service whose tasks it runs.
    pub service: String,
    /// Current capacity.
    pub capacity: Resources,
    /// Largest capacity that this incarnation has had, by resource.
    #[serde(default)]
    pub largest: Resources,
    /// Its kind and rack.
    pub labels: Vec<String>,
}
