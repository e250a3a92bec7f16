//! Job specifications: jobs, their tasks and the resources that these need.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

const JOB_ID_HEX_DIGITS: usize = 16;
/// Estimated memory of one task of an open job and of its order, without the payload, in bytes.
const TASK_BYTES: u64 = 512;

/// Id of a job, chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not a valid job id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidJobId;

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<JobId, InvalidJobId> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != JOB_ID_HEX_DIGITS || !is_hex {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| InvalidJobId)
    }
}

/// One run of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The job.
    pub job: JobId,
    /// Index of the task in the job.
    pub index: u32,
    /// Number of the run among the runs of the task, from 1.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.index, self.run)
    }
}

/// Resources that a worker has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB, as jobs and workers give it.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether these resources fit into `room`.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// How many times these resources fit into `room`.
    pub fn times_in(&self, room: &Resources) -> u64 {
        let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu_milli, room.cpu_milli)
            .min(times(self.memory_mb, room.memory_mb))
            .min(times(self.accelerators, room.accelerators))
    }

    /// Sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Maximum of both, by resource.
    pub fn max_of_each(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Difference, by resource; never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Priority where capacity is short; lower numbers are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority(pub u8);

impl Priority {
    /// Highest priority.
    pub const URGENT: Priority = Priority(0);
    /// Default priority.
    pub const NORMAL: Priority = Priority(1);
    /// Lowest priority; uses only capacity that is otherwise idle.
    pub const BEST_EFFORT: Priority = Priority(u8::MAX);
}

/// Placement constraints of the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Label of the rack that holds the data; tasks run slower elsewhere.
    pub data_rack: Option<String>,
    /// Largest number of tasks of the job on one worker; 0 for no limit.
    pub max_per_worker: u32,
}

/// A job as submitted: `count` identical tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Payload for the worker, as the caller wrote it.
    pub payload: Arc<str>,
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub needs: Resources,
    /// The caller's estimate of a task's run time, in microseconds; 0 if none.
    pub estimate_us: u64,
    /// Placement constraints.
    pub constraints: Constraints,
}

impl JobSpec {
    /// Estimated memory of the job while it is open, in bytes. Each order holds the payload and the
    /// required label until it is sent.
    pub fn memory_bytes(&self) -> u64 {
        let Constraints {
            label, data_rack, ..
        } = &self.constraints;
        let bytes_of = |label: &Option<String>| label.as_ref().map_or(0, String::len) as u64;
        let order_bytes = TASK_BYTES + self.payload.len() as u64 + bytes_of(label);
        bytes_of(label) + bytes_of(data_rack) + u64::from(self.count) * order_bytes
    }
}
