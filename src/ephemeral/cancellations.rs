//! Cancellations of jobs, published through the store.
//!
//! Entries do not know each other, and a caller may send a cancellation to any of them. The entry
//! that receives it writes a record, and every entry follows the records: the one that has the job
//! stops it, and none starts it if a delayed or repeated submission arrives later. A cancellation
//! may be acknowledged once its record is written.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::ephemeral::backoff::Backoff;
use crate::ephemeral::follower::{Follower, KeyUpdate, WatchedKeys};
use crate::ephemeral::job::JobId;
use crate::ephemeral::message::ProcessId;
use crate::metrics::Metrics;
use crate::store::{
    Expect, LeaseId, Store, StoreChange, StoreEntry, StoreError, StoreReply, StoreRequest,
};
use crate::time::{Moment, Timer, micros};

/// Prefix of the keys of records.
pub const CANCELLATION_PREFIX: &str = "winghold/cancelled/";
/// How long a cancelled job is not started; longer than a submission is delayed or repeated.
pub const CANCELLATION_RETENTION: Duration = Duration::from_secs(120);
/// Lease of records. A lease is used for new records during its first half only, so that each
/// record lasts for the retention time.
const RECORD_LEASE: Duration = CANCELLATION_RETENTION.saturating_mul(2);
/// How long a caller waits for its cancellation to be recorded before it is rejected.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Cancellations that may wait to be recorded; more are rejected at once.
const MAX_PENDING: usize = 256;
/// Jobs in one record.
const MAX_JOBS_PER_RECORD: usize = 32;
/// Longest wait of a watch for records. Together with the timeout of the call it stays below the 3 s
/// after an outage of the store in which entries must know new cancellations.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2_200);
/// Shortest interval between two records of an entry, which limits its share of the store's
/// write rate.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Record of cancelled jobs in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationRecord {
    /// The jobs.
    pub jobs: Vec<JobId>,
}

struct Pending {
    job: JobId,
    recorded: oneshot::Sender<()>,
}

/// Handle to record cancellations.
#[derive(Clone)]
pub struct CancellationRecorder {
    pending: mpsc::Sender<Pending>,
    timer: Timer,
}

impl CancellationRecorder {
    /// Creates a handle and the writer of the records of the entry `process`.
    pub fn new(
        store: Arc<dyn Store>,
        process: ProcessId,
        timer: Timer,
        metrics: Metrics,
        log: Logger,
    ) -> (CancellationRecorder, RecordWriter) {
        let (tx, rx) = mpsc::channel(MAX_PENDING);
        let writer = RecordWriter {
            store,
            process,
            timer: timer.clone(),
            metrics,
            log,
            pending: rx,
            lease: None,
            records: 0,
        };
        let recorder = CancellationRecorder { pending: tx, timer };
        (recorder, writer)
    }

    /// Records the cancellation of a job; `false` if that is not confirmed in time, or if too
    /// many others wait.
    pub async fn record(&self, job: JobId) -> bool {
        let (recorded, confirmed) = oneshot::channel();
        if self.pending.try_send(Pending { job, recorded }).is_err() {
            return false;
        }
        let confirmed = self.timer.timeout(RECORD_TIMEOUT, confirmed).await;
        matches!(confirmed, Some(Ok(())))
    }
}

/// Lease of records, and when it was requested.
#[derive(Clone, Copy)]
struct RecordLease {
    id: LeaseId,
    requested: Moment,
}

impl RecordLease {
    /// Whether a new record would last for the retention time.
    fn is_usable(&self, now: Moment) -> bool {
        now.mono_us < self.requested.after(RECORD_LEASE - CANCELLATION_RETENTION)
    }
}

/// Writes the records of one entry.
pub struct RecordWriter {
    store: Arc<dyn Store>,
    process: ProcessId,
    timer: Timer,
    metrics: Metrics,
    log: Logger,
    pending: mpsc::Receiver<Pending>,
    lease: Option<RecordLease>,
    /// Records begun so far.
    records: u64,
}

impl RecordWriter {
    /// Runs until the last handle is dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        while self
            .pending
            .recv_many(&mut batch, MAX_JOBS_PER_RECORD)
            .await
            > 0
        {
            self.records += 1;
            self.record(std::mem::take(&mut batch)).await;
            self.timer.sleep(MIN_RECORD_INTERVAL).await;
        }
    }

    /// Writes a record of the batch, again and again until it is written or nobody waits for it.
    async fn record(&mut self, mut batch: Vec<Pending>) {
        let mut backoff = Backoff::default();
        loop {
            batch.retain(|pending| !pending.recorded.is_closed());
            if batch.is_empty() {
                return;
            }
            let jobs: Vec<JobId> = batch.iter().map(|pending| pending.job).collect();
            match self.write(&jobs).await {
                Ok(()) => break,
                Err(err) => {
                    debug!(self.log, "cancellations not recorded"; "jobs" => jobs.len(),
                        "error" => %err);
                    self.timer.sleep(backoff.pause()).await;
                    backoff.grow();
                }
            }
        }
        self.metrics
            .count("cancellations.recorded", batch.len() as u64);
        for pending in batch {
            info!(self.log, "cancellation recorded"; "job" => %pending.job);
            // The caller may have left.
            let _ = pending.recorded.send(());
        }
    }

    async fn write(&mut self, jobs: &[JobId]) -> Result<(), StoreError> {
        let lease = self.usable_lease().await?;
        let put = StoreRequest::Put {
            key: self.key(jobs),
            value: encode(jobs),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        match self.store.call(put).await? {
            // The key is unique to these jobs, so that a conflict means that an unanswered write
            // took effect.
            StoreReply::Written { .. } | StoreReply::Conflict { .. } => Ok(()),
            StoreReply::LeaseGone => {
                self.lease = None;
                Err(StoreError::Protocol)
            }
            _ => Err(StoreError::Protocol),
        }
    }

    /// Key of a record. The number of jobs is part of it, as a batch shrinks between attempts when
    /// callers leave.
    fn key(&self, jobs: &[JobId]) -> String {
        let ProcessId { name, incarnation } = &self.process;
        let (record, jobs) = (self.records, jobs.len());
        format!("{CANCELLATION_PREFIX}{name}/{incarnation:016x}-{record}-{jobs}")
    }

    async fn usable_lease(&mut self) -> Result<LeaseId, StoreError> {
        let requested = self.timer.now();
        if let Some(lease) = self.lease.filter(|lease| lease.is_usable(requested)) {
            return Ok(lease.id);
        }
        let ttl_ms = micros(RECORD_LEASE) / 1_000;
        match self.store.call(StoreRequest::Grant { ttl_ms }).await? {
            StoreReply::Lease { lease: id } => {
                self.lease = Some(RecordLease { id, requested });
                Ok(id)
            }
            _ => Err(StoreError::Protocol),
        }
    }
}

fn encode(jobs: &[JobId]) -> Bytes {
    let jobs = jobs.to_vec();
    serde_json::to_vec(&CancellationRecord { jobs }).map_or_else(|_| Bytes::new(), Bytes::from)
}

/// Follows the records; passes the jobs of each new one to `deliver` until it returns `false`.
pub async fn follow(follower: Follower, deliver: impl Fn(Vec<JobId>) -> bool) {
    let log = follower.log.clone();
    let on_update = |update: KeyUpdate<'_>| {
        let jobs = match update.changes {
            Some(changes) => decode_all(changes.iter().filter_map(written), &log),
            None => decode_all(update.entries.values(), &log),
        };
        deliver(jobs)
    };
    let keys = WatchedKeys {
        prefix: CANCELLATION_PREFIX,
        label: "cancellations",
        leased: true,
        max_wait: MAX_WATCH_WAIT,
    };
    follower.follow_changes(&keys, on_update).await;
}

fn written(change: &StoreChange) -> Option<&StoreEntry> {
    match change {
        StoreChange::Written(entry) => Some(entry),
        StoreChange::Removed { .. } => None,
    }
}

/// Jobs of all readable records.
fn decode_all<'a>(entries: impl Iterator<Item = &'a StoreEntry>, log: &Logger) -> Vec<JobId> {
    let decode = |entry: &StoreEntry| {
        let record = serde_json::from_slice::<CancellationRecord>(&entry.value);
        record.inspect_err(|err| {
            warn!(log, "cancellation record skipped"; "key" => &entry.key, "error" => %err);
        })
    };
    let records = entries.filter_map(|entry| decode(entry).ok());
    records.flat_map(|record| record.jobs).collect()
}
