//! Discovery of gates: records under a lease in the store.
//!
//! Each gate keeps one record with its address, and entries watch the records. The store may
//! lose a record when its lease expires or is revoked; the next renewal detects this and the
//! gate writes it again. A missing record does not end a live session.

mod follow;
mod publish;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ephemeral::losses::WorkerLoss;
use crate::ephemeral::message::WorkerTraits;
use crate::store::StoreEntry;

pub use follow::follow_gates;
pub use publish::{publish, read_previous};

/// Prefix of the keys of gate records.
pub const GATE_PREFIX: &str = "winghold/gates/";
/// How long a gate without a record is still dialed; an expired record is rewritten within this
/// time after an outage of the store.
pub(super) const MISSING_RECORD_GRACE: Duration = Duration::from_millis(2_900);

/// Record of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// Name of the gate, the same for all its incarnations.
    pub gate: Arc<str>,
    /// Address for entries.
    pub addr: SocketAddr,
    /// Its worker, so that a restarted gate need not wait for the worker's next heartbeat.
    #[serde(default)]
    pub worker: Option<WorkerRecord>,
    /// Losses of its workers by task, for a restarted gate and for entries without a session.
    #[serde(default)]
    pub losses: Vec<WorkerLoss>,
}

/// Variable part of a gate's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedState {
    /// Its worker.
    pub worker: Option<WorkerRecord>,
    /// Losses of its workers, by task.
    pub losses: Vec<WorkerLoss>,
}

/// The worker in a gate's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Properties of the worker.
    pub traits: WorkerTraits,
    /// Address to which orders to start and stop runs are sent.
    pub addr: String,
}

impl GateRecord {
    fn key(&self) -> String {
        gate_key(&self.gate)
    }
}

/// Key of a gate's record. Records are sharded by two hex digits of a hash of the name, so that
/// an entry can read only some of them.
pub fn gate_key(name: &str) -> String {
    let shard = xxh3_64(name.as_bytes()) as u8;
    format!("{}{name}", shard_prefix(shard))
}

fn shard_prefix(shard: u8) -> String {
    format!("{GATE_PREFIX}{shard:02x}/")
}

fn encode(record: &GateRecord) -> Bytes {
    serde_json::to_vec(record).map_or_else(|_| Bytes::new(), Bytes::from)
}

/// Why an entry of the store is not a valid gate record.
#[derive(Debug)]
enum RecordError {
    Unreadable(serde_json::Error),
    /// The record of the gate that it names has another key.
    KeyMismatch,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Unreadable(err) => err.fmt(f),
            RecordError::KeyMismatch => f.write_str("record and its key name different gates"),
        }
    }
}

fn decode(entry: &StoreEntry) -> Result<GateRecord, RecordError> {
    let record: GateRecord =
        serde_json::from_slice(&entry.value).map_err(RecordError::Unreadable)?;
    match record.key() == entry.key {
        true => Ok(record),
        false => Err(RecordError::KeyMismatch),
    }
}

/// Changes of gate records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateChanges {
    /// New and changed records.
    pub written: Vec<GateRecord>,
    /// Gates whose record was removed.
    pub removed: Vec<Arc<str>>,
    /// Whether only some of the records have been read so far.
    pub partial: bool,
}

impl From<Vec<GateRecord>> for GateChanges {
    /// Treats all records as new.
    fn from(written: Vec<GateRecord>) -> GateChanges {
        GateChanges {
            written,
            ..GateChanges::default()
        }
    }
}

impl GateChanges {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}
