//! What a caller asks for: a job, its tasks and what they need.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is no id of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoJobId;

impl FromStr for JobId {
    type Err = NoJobId;

    fn from_str(text: &str) -> Result<JobId, NoJobId> {
        let plain = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != ID_DIGITS || !plain {
            return Err(NoJobId);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| NoJobId)
    }
}

/// One run of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The job.
    pub job: JobId,
    /// The task's place in the job.
    pub index: u32,
    /// Count of the task's runs, from 1.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.index, self.run)
    }
}

/// What a worker has, or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether this fits into `room`.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The larger of both in each.
    pub fn largest_of_each(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// What is left without `other`; never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Who is served first where room is short: lower numbers go before higher ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority(pub u8);

impl Priority {
    /// Before all others.
    pub const URGENT: Priority = Priority(0);
    /// All others, where priorities are not told apart any further.
    pub const NORMAL: Priority = Priority(1);
    /// Only with room that nobody else wants.
    pub const SPARE_ROOM: Priority = Priority(u8::MAX);
}

/// Where the tasks of a job may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Label of the rack where the data lies; elsewhere a task takes longer.
    pub data_rack: Option<String>,
    /// Most tasks of the job on one worker; 0 for any number.
    pub most_on_worker: u32,
}

/// A job as its caller sent it: `count` alike tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// What the worker is given, as the caller wrote it.
    pub payload: Arc<str>,
    /// Number of tasks.
    pub count: u32,
    /// What each of them needs.
    pub needs: Resources,
    /// The caller's rough guess of a task's run time, in microseconds; 0 if none.
    pub estimate_us: u64,
    /// Where they may run.
    pub constraints: Constraints,
}
