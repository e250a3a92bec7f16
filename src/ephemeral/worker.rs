//! Interface to workers that start runs asynchronously.
//!
//! Unlike [`crate::worker::Worker`], which answers a run with its result, such a worker
//! acknowledges a start and lists running and ended runs when polled. All its runs share
//! one lease, counted on its own clock. A call without an answer may have been carried out,
//! or may be carried out seconds later.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::{Resources, RunId};
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::worker_id::WorkerId;

/// Periodic self-report of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Incarnation of the worker.
    pub id: WorkerId,
    /// Service whose tasks it runs.
    pub service: String,
    /// Address for calls.
    pub addr: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time until it ends, in milliseconds, if announced.
    pub leaves_in_ms: Option<u64>,
    /// Total capacity.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Sequence number of the report.
    pub sequence: u64,
}

impl WorkerReport {
    /// Properties used for placement.
    pub fn traits(&self) -> WorkerTraits {
        WorkerTraits {
            id: self.id.clone(),
            service: self.service.clone(),
            capacity: self.capacity,
            largest: self.capacity,
            labels: self.labels.clone(),
        }
    }

    /// Record kept in the store.
    pub fn record(&self) -> WorkerRecord {
        WorkerRecord {
            traits: self.traits(),
            addr: self.addr.clone(),
        }
    }
}

/// Request to start a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// Incarnation that is addressed.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// Input of the task.
    pub payload: Arc<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Fencing token; the worker rejects tokens lower than the highest it has seen.
    pub fence: u64,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Request to stop a run, or to prevent its start.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// Incarnation that is addressed.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// Fencing token.
    pub fence: u64,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is running, whether through this call or an earlier one.
    Running,
    /// Not started: the run was stopped, or is not newer than an earlier one.
    Stale,
    /// Not started: no room, lease expired, worker unhealthy or invalid call.
    Rejected,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

/// Request for the lists of running and ended runs, which may renew the lease.
#[derive(Clone, Debug)]
pub struct PollCall {
    /// Incarnation that is addressed; any, if `None`.
    pub worker: Option<WorkerId>,
    /// Fencing token; `None` until the gate has chosen one.
    pub fence: Option<u64>,
    /// New end of the lease on the worker's clock, in milliseconds; `None` leaves the lease
    /// as it is.
    pub lease_until_ms: Option<u64>,
    /// Number of the last end received; the worker drops ends up to it.
    pub acked_end: u64,
    /// Longest time that the worker may hold the call open until a run ends, in
    /// milliseconds.
    pub wait_ms: u64,
    /// Timeout of the call beyond `wait_ms`.
    pub timeout: Duration,
    /// Delay before the next poll if this one fails.
    pub retry_delay: Duration,
    /// Whether this is an immediate check beside the regular poll.
    pub check: bool,
}

impl PollCall {
    /// Total timeout of the call.
    pub fn total_timeout(&self) -> Duration {
        Duration::from_millis(self.wait_ms) + self.timeout
    }
}

/// A run that the worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// Progress, in percent.
    pub percent: u32,
}

/// How a run ended, as reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEnd {
    /// Finished.
    Done,
    /// Failed in the task or in the worker.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
}

/// A run that the worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Sequence number of the end within this incarnation.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: WorkerEnd,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReply {
    /// Start time of the incarnation that answers, in Unix milliseconds, if reported.
    pub born_ms: Option<u64>,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the worker has seen a higher fencing token; the lists are then empty.
    pub fenced: bool,
    /// Running runs.
    pub running: Vec<RunningRow>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRow>,
}

quick_error! {
    /// Failure of a call to a worker.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum WorkerCallError {
        /// Nothing listens at the worker's address.
        Refused {
            display("worker address refuses connections")
        }
        /// No answer; the call may have been carried out, or may be carried out later.
        Unanswered {
            display("no answer; the call may still be carried out")
        }
        /// Another incarnation of the worker answered; the addressed one has ended. The call was
        /// not carried out.
        OtherIncarnation {
            display("another incarnation of the worker answered")
        }
        /// The answer could not be decoded.
        Protocol {
            display("answer could not be decoded")
        }
    }
}

/// Future of the answer to a worker call.
pub type WorkerCallFuture<T> = Pin<Box<dyn Future<Output = Result<T, WorkerCallError>> + Send>>;

/// Answer to a start with the worker's clock, if reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAnswer {
    /// Outcome of the start.
    pub reply: StartReply,
    /// The worker's clock, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Client of one worker.
///
/// An order is carried out by the addressed incarnation or not at all, although its successor may
/// have the same name and address. The properties by which a run was placed, such as the kind of
/// the worker, may have changed with it.
pub trait WorkerClient: Send + Sync {
    /// Sets the address of the worker.
    fn set_addr(&self, addr: &str);

    /// Starts a run.
    fn start(&self, call: StartCall) -> WorkerCallFuture<StartAnswer>;

    /// Stops a run or prevents its start; completes once the worker has acknowledged it.
    fn stop(&self, call: StopCall) -> WorkerCallFuture<()>;

    /// Renews the lease and lists runs.
    fn poll_runs(&self, call: PollCall) -> WorkerCallFuture<PollReply>;
}
