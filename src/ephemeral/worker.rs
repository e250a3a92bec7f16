//! A worker that takes orders and reports what ran.
//!
//! Unlike [`crate::worker::Worker`], which answers a run with its result, such
//! a worker acknowledges a start, and lists what runs and what ended when it is
//! asked. All that runs on it shares one lease, counted on its own clock. An
//! order without an answer may have been carried out, or may be seconds later.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::{Resources, RunId};
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::worker_id::WorkerId;

/// What a worker says of itself from time to time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// This life of the worker.
    pub id: WorkerId,
    /// Service that it runs tasks of.
    pub service: String,
    /// Address for orders.
    pub addr: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time until it is gone, in milliseconds, if it says so.
    pub leaves_in_ms: Option<u64>,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Count of its calls; a lower one is older.
    pub sequence: u64,
}

impl WorkerReport {
    /// What matters for placement.
    pub fn traits(&self) -> WorkerTraits {
        WorkerTraits {
            id: self.id.clone(),
            service: self.service.clone(),
            capacity: self.capacity,
            largest: self.capacity,
            labels: self.labels.clone(),
        }
    }

    /// What is kept of it in the store.
    pub fn record(&self) -> WorkerRecord {
        WorkerRecord {
            traits: self.traits(),
            addr: self.addr.clone(),
        }
    }
}

/// An order to begin a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// Life of the worker that is meant.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// What the task is given.
    pub payload: Arc<str>,
    /// End of the lease, on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Fencing token; the worker ignores lower ones than it has seen.
    pub fence: u64,
    /// Longest wait for the answer.
    pub limit: Duration,
}

/// An order to bar or stop a run.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// Life of the worker that is meant.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// Fencing token.
    pub fence: u64,
    /// Longest wait for the answer.
    pub limit: Duration,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// It runs; also if it ran already.
    Running,
    /// The worker did nothing: this run is barred or not above an earlier one.
    Old,
    /// The worker did nothing: no room, lease over, unhealthy or bad order.
    Rejected,
    /// Another life of the worker answered.
    OtherLife,
}

/// A question for all that runs and ended.
#[derive(Clone, Debug)]
pub struct HoldCall {
    /// Life of the worker that is meant; any, if unknown.
    pub worker: Option<WorkerId>,
    /// Fencing token; none while the gate has not chosen its own.
    pub fence: Option<u64>,
    /// New end of the lease on the worker's clock, in milliseconds.
    pub lease_until_ms: Option<u64>,
    /// Number of the last end that was received; the worker forgets those.
    pub acked_end: u64,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for the answer beyond that.
    pub limit: Duration,
    /// Pause before the worker is asked again, if it does not answer.
    pub retry: Duration,
    /// Whether it only confirms a stop, beside the hold that waits for ends.
    pub check: bool,
}

impl HoldCall {
    /// How long its answer is waited for in all.
    pub fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms) + self.limit
    }
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// How far it is.
    pub percent: u32,
}

/// How a worker says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEnd {
    /// Finished.
    Done,
    /// Failed by itself or through the worker.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Count of ends in this life of the worker.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: WorkerEnd,
}

/// Answer to a hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldReply {
    /// When the life that answers started, in Unix milliseconds, where workers tell it.
    pub born_ms: Option<u64>,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the worker has seen a higher fencing token; the lists are empty
    /// then.
    pub fenced: bool,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What ended after the acknowledged ones.
    pub ended: Vec<EndedRow>,
}

quick_error! {
    /// Why an order has no useful answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum OrderError {
        /// Nothing listens at the worker's address.
        Refused {
            display("nothing listens at the worker's address")
        }
        /// Nothing came back; the order may be carried out, also later.
        Unanswered {
            display("no answer; the order may be carried out, also later")
        }
        /// Another life of the worker answered; the one that was meant is gone.
        OtherLife {
            display("another life of the worker answered")
        }
        /// The answer could not be read.
        Protocol {
            display("unexpected answer")
        }
    }
}

/// Future of a worker's answer.
pub type OrderFuture<T> = Pin<Box<dyn Future<Output = Result<T, OrderError>> + Send>>;

/// Answer to a start, with the worker's clock where it says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAnswer {
    /// What became of the order.
    pub reply: StartReply,
    /// The worker's clock, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Sends orders to one worker.
pub trait OrderedWorker: Send + Sync {
    /// Aims at the worker at `addr` from now on.
    fn aim(&self, addr: &str);

    /// Begins a run.
    fn start(&self, call: StartCall) -> OrderFuture<StartAnswer>;

    /// Bars or stops a run; ends once the worker has taken note.
    fn stop(&self, call: StopCall) -> OrderFuture<()>;

    /// Renews the lease and lists runs.
    fn hold(&self, call: HoldCall) -> OrderFuture<HoldReply>;
}
