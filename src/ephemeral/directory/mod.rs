//! How processes find one another: records under a lease in the store.
//!
//! Each gate keeps one record with its address. The store may lose it, when a
//! lease runs out during an outage or by revocation, without telling anyone; the
//! next renewal tells the gate, which writes it anew. Entries watch the records.
//! A missing record never ends a session that is alive.

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
pub use publish::{publish, recall};

/// Prefix of the records of gates.
pub const GATE_PREFIX: &str = "winghold/gates/";
/// How long a gate without a record is still dialed: after an outage of the store a
/// record that lapsed is back within it.
pub(super) const MISSING: Duration = Duration::from_millis(2_900);

/// Record of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// Name of the gate; its lives keep one record.
    pub gate: Arc<str>,
    /// Where entries reach it.
    pub addr: SocketAddr,
    /// Its worker: a gate that starts anew need not wait for the next heartbeat.
    #[serde(default)]
    pub worker: Option<WorkerRecord>,
    /// Tasks under which its workers were lost: entries without a session hear of them,
    /// and a gate that starts anew.
    #[serde(default)]
    pub losses: Vec<WorkerLoss>,
}

/// What changes of a gate's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Published {
    /// Its worker.
    pub worker: Option<WorkerRecord>,
    /// Losses of its workers.
    pub losses: Vec<WorkerLoss>,
}

/// A worker in the record of its gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// What it is.
    pub traits: WorkerTraits,
    /// Where it takes orders.
    pub addr: String,
}

impl GateRecord {
    fn key(&self) -> String {
        gate_key(&self.gate)
    }
}

/// Key of the record of the gate `name`: records lie under two digits of a hash, so that a
/// part of them can be read by itself.
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

/// Why a record under the prefix is not one of a gate.
#[derive(Debug)]
enum NoRecord {
    Unreadable(serde_json::Error),
    /// It is kept for another gate than it names.
    OtherKey,
}

impl fmt::Display for NoRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoRecord::Unreadable(err) => err.fmt(f),
            NoRecord::OtherKey => f.write_str("it names another gate than its key"),
        }
    }
}

fn parse(entry: &StoreEntry) -> Result<GateRecord, NoRecord> {
    let record: GateRecord = serde_json::from_slice(&entry.value).map_err(NoRecord::Unreadable)?;
    match record.key() == entry.key {
        true => Ok(record),
        false => Err(NoRecord::OtherKey),
    }
}

/// What has changed of the records of gates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateChanges {
    /// Records that are new or not what they were.
    pub written: Vec<GateRecord>,
    /// Gates that have no record any more.
    pub removed: Vec<Arc<str>>,
    /// Whether there may be others that were not read yet.
    pub partial: bool,
}

impl From<Vec<GateRecord>> for GateChanges {
    /// These records are new.
    fn from(written: Vec<GateRecord>) -> GateChanges {
        GateChanges {
            written,
            ..GateChanges::default()
        }
    }
}

impl GateChanges {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}
