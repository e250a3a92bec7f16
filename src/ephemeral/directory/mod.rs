//! How processes find one another: records under a lease in the store.
//!
//! Each gate keeps one record with its address. The store may lose it, when a
//! lease runs out during an outage or by revocation, without telling anyone; the
//! next renewal tells the gate, which writes it anew. Entries watch the records.
//! A missing record never ends a session that is alive.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::ephemeral::follower::{Follower, Keys, News, Reachable};
use crate::ephemeral::losses::WorkerLoss;
use crate::ephemeral::message::WorkerTraits;
use crate::store::{
    Expect, LeaseId, Store, StoreChange, StoreEntry, StoreError, StoreReply, StoreRequest,
};
use crate::time::Timer;

/// Prefix of the records of gates.
pub const GATE_PREFIX: &str = "winghold/gates/";
/// Lease of a record: longer than most restarts of a store, and short enough
/// that entries stop dialing a process that is gone for good.
const RECORD_LEASE: Duration = Duration::from_secs(10);
/// How long a gate without a record is still dialed: after an outage of the store a
/// record that lapsed is back within it.
pub(super) const MISSING: Duration = Duration::from_millis(2_900);
/// Pause between two renewals; a record that lapsed is back within it, and two renewals may
/// be lost.
const RENEWAL: Duration = Duration::from_millis(2_500);
/// Renewals after which the record is read all the same: every 15 s, as entries read
/// all records every 20 s. Read with each renewal it was half of the calls of 240 gates.
const RENEWALS_UNREAD: u32 = 6;
/// Pause after a record could not be kept; doubled with each further time, as all gates of
/// a fleet call on and on in an outage.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: a record that lapsed in an outage is back before it counts as missing.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Longest wait of a watch of records: if a store that fell silent leaves it without an
/// answer, what is new is heard of so much later.
const RECORDS_WATCH: Duration = Duration::from_secs(5);

/// Records with which an entry can take work before it has read all: as many gates as it
/// has sessions with at least.
const ENOUGH_FIRST: usize = 16;
/// Parts that the records are read in, by a hash of the gate's name.
const SHARDS: usize = 256;
/// Most of them that an entry reads first, and how many at a time.
const MOST_FIRST_SHARDS: usize = 16;
const SHARDS_AT_ONCE: usize = 4;
/// Pause for each gate before the rest is read: two hundred entries read 55 MB a second
/// then, whatever the number of gates, of the 125 that a store on 1,000 Mbit/s sends.
const REST_PAUSE_A_GATE: Duration = Duration::from_millis(2);
/// Longest such pause: until then an entry sends its jobs to the first gates only.
const MOST_REST_PAUSE: Duration = Duration::from_secs(5);

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

/// Keeps the record of a gate in the store, as it is published, for as long as it is
/// polled. A record from `before` a restart is taken over with its lease: nothing is written
/// then, and no entry has to hear of it. Where a whole fleet starts anew, each entry would
/// else hear of each gate.
pub async fn publish(
    store: Arc<dyn Store>,
    timer: Timer,
    mut record: GateRecord,
    before: Option<StoreEntry>,
    mut published: watch::Receiver<Published>,
    log: Logger,
) {
    let mut reachable = Reachable::new("record", log.clone());
    let mut publisher = Publisher {
        store: &*store,
        log: &log,
        lease: before.as_ref().and_then(|before| before.lease),
        written: before.map(|before| before.value),
        renewals: 0,
    };
    let mut outage_pause = PAUSE;
    loop {
        let newest = published.borrow_and_update().clone();
        record.worker = newest.worker;
        record.losses = newest.losses;
        let kept = publisher.keep(&record).await;
        reachable.note(&kept);
        let pause = match kept {
            Ok(()) => RENEWAL,
            Err(_) => outage_pause,
        };
        outage_pause = match kept {
            Ok(()) => PAUSE,
            Err(_) => LONGEST_PAUSE.min(outage_pause * 2),
        };
        // A change does not wait for the next renewal.
        let _ = timer.within(pause, published.changed()).await;
    }
}

/// What the record of the gate `name` holds, from before a restart, and the record itself.
pub async fn recall(
    store: &dyn Store,
    name: &str,
    log: &Logger,
) -> Option<(Published, StoreEntry)> {
    let key = gate_key(name);
    let entry = read(store, &key).await.inspect_err(|err| {
        warn!(log, "record not recalled"; "key" => &key, "error" => %err);
    });
    let entry = entry.ok()??;
    let record = parse(&entry).inspect_err(|why| {
        warn!(log, "record not recalled"; "key" => &key, "error" => %why);
    });
    let record = record.ok()?;
    let published = Published {
        worker: record.worker,
        losses: record.losses,
    };
    Some((published, entry))
}

/// Keeps one record under a lease.
struct Publisher<'a> {
    store: &'a dyn Store,
    log: &'a Logger,
    lease: Option<LeaseId>,
    /// What the store holds under the lease for certain, unless it was taken away.
    written: Option<Bytes>,
    /// Renewals since the record was last read.
    renewals: u32,
}

impl Publisher<'_> {
    /// Renews the lease and writes the record if it is not there. While each call is
    /// answered, the renewal tells enough: a lease takes its record with it. After a
    /// call without an answer the record is read first.
    async fn keep(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let kept = self.renew_or_write(record).await;
        if kept.is_err() {
            self.written = None;
        }
        kept
    }

    async fn renew_or_write(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let wanted = encode(record);
        let lease = self.hold_lease().await?;
        self.renewals += 1;
        if self.written.as_ref() == Some(&wanted) && self.renewals < RENEWALS_UNREAD {
            return Ok(());
        }
        self.renewals = 0;
        let current = read(self.store, &record.key()).await?;
        if current.as_ref().is_none_or(|entry| entry.value != wanted) {
            self.put(record.key(), &wanted, current, lease).await?;
        }
        self.written = Some(wanted);
        Ok(())
    }

    /// The lease, renewed, or a new one.
    async fn hold_lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            if self.store.call(StoreRequest::Renew { lease }).await? != StoreReply::LeaseGone {
                return Ok(lease);
            }
            info!(self.log, "lease of the record ran out"; "lease" => lease.0);
            self.lease = None;
            self.written = None;
        }
        let lease = grant(self.store).await?;
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn put(
        &mut self,
        key: String,
        value: &Bytes,
        current: Option<StoreEntry>,
        lease: LeaseId,
    ) -> Result<(), StoreError> {
        let put = StoreRequest::Put {
            key: key.clone(),
            value: value.clone(),
            expect: current.map_or(Expect::Absent, |entry| Expect::Revision(entry.revision)),
            lease: Some(lease),
        };
        match self.store.call(put).await? {
            StoreReply::Written { revision } => {
                info!(self.log, "record written"; "key" => key, "revision" => revision);
                Ok(())
            }
            StoreReply::LeaseGone => {
                self.lease = None;
                Err(StoreError::Protocol)
            }
            _ => Err(StoreError::Protocol),
        }
    }
}

async fn grant(store: &dyn Store) -> Result<LeaseId, StoreError> {
    let ttl_ms = RECORD_LEASE.as_millis() as u64;
    match store.call(StoreRequest::Grant { ttl_ms }).await? {
        StoreReply::Lease { lease } => Ok(lease),
        _ => Err(StoreError::Protocol),
    }
}

async fn read(store: &dyn Store, key: &str) -> Result<Option<StoreEntry>, StoreError> {
    let prefix = key.to_string();
    match store.call(StoreRequest::Get { prefix }).await? {
        StoreReply::Entries { entries, .. } => {
            Ok(entries.into_iter().find(|entry| entry.key == key))
        }
        _ => Err(StoreError::Protocol),
    }
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

/// What was read under a key.
struct Seen {
    revision: u64,
    /// The gate, unless it is of another writer.
    gate: Option<Arc<str>>,
}

/// Reads records, each revision once: where a whole fleet starts, an entry hears of gate
/// after gate, and to read all of them each time would cost the square of the fleet. They
/// may be of another writer: what is no record of a gate names none, and the others hold.
struct Reader {
    seen: BTreeMap<String, Seen>,
    log: Logger,
}

impl Reader {
    fn new(log: Logger) -> Reader {
        Reader {
            seen: BTreeMap::new(),
            log,
        }
    }

    fn read(&mut self, news: News<'_>) -> GateChanges {
        let mut found = GateChanges::default();
        match news.changes {
            Some(changes) => changes.iter().for_each(|change| match change {
                StoreChange::Written(entry) => self.written(entry, &mut found),
                StoreChange::Removed { key } => self.removed(key, &mut found),
            }),
            None => {
                let all = news.entries.values();
                all.for_each(|entry| self.written(entry, &mut found));
                let gone = |key: &&String| !news.entries.contains_key(*key);
                let gone: Vec<String> = self.seen.keys().filter(gone).cloned().collect();
                gone.iter().for_each(|key| self.removed(key, &mut found));
            }
        }
        found
    }

    fn written(&mut self, entry: &StoreEntry, found: &mut GateChanges) {
        let before = self.seen.get(&entry.key);
        if before.is_some_and(|before| before.revision == entry.revision) {
            return;
        }
        let gate = match parse(entry) {
            Ok(record) => {
                let gate = record.gate.clone();
                found.written.push(record);
                Some(gate)
            }
            Err(why) => {
                warn!(self.log, "record of a gate not usable"; "key" => &entry.key,
                    "revision" => entry.revision, "error" => %why);
                self.removed(&entry.key, found);
                None
            }
        };
        let revision = entry.revision;
        self.seen.insert(entry.key.clone(), Seen { revision, gate });
    }

    fn removed(&mut self, key: &str, found: &mut GateChanges) {
        let before = self.seen.remove(key);
        if let Some(gate) = before.and_then(|before| before.gate) {
            found.removed.push(gate);
        }
    }
}

/// Shards that the entry `name` reads first: other ones than most entries, so that their
/// first jobs spread over all gates.
fn first_shards(name: &str) -> Vec<u8> {
    let mut shards: Vec<u8> = (0..=u8::MAX).collect();
    shards.sort_by_key(|shard| xxh3_64(format!("{name}/{shard}").as_bytes()));
    shards.truncate(MOST_FIRST_SHARDS);
    shards
}

/// What an entry knows before it has read all records.
struct First {
    gates: GateChanges,
    shards: usize,
}

impl First {
    /// Whether it is enough to take work.
    fn is_enough(&self) -> bool {
        self.gates.written.len() >= ENOUGH_FIRST
    }

    /// Whether all records together are not much to read: less than one a shard.
    fn is_of_small_fleet(&self) -> bool {
        self.gates.written.len() < self.shards
    }

    /// Longest pause before the rest is read: if all entries start at the same time, what
    /// they read in a second does not grow with the number of gates.
    fn rest_pause(&self) -> Duration {
        if !self.is_enough() {
            return Duration::ZERO;
        }
        let gates = self.gates.written.len() * SHARDS / self.shards;
        MOST_REST_PAUSE.min(REST_PAUSE_A_GATE * gates as u32)
    }
}

/// Reads enough records to take work, so that an entry that starts need not wait for all
/// of them: where a whole fleet starts anew, what all entries read is its square.
async fn read_first(follower: &Follower, name: &str, reader: &mut Reader) -> First {
    let mut first = First {
        gates: GateChanges {
            partial: true,
            ..GateChanges::default()
        },
        shards: 0,
    };
    for shards in first_shards(name).chunks(SHARDS_AT_ONCE) {
        let prefixes: Vec<String> = shards.iter().copied().map(shard_prefix).collect();
        let reads = prefixes
            .iter()
            .map(|prefix| follower.read(prefix, "first_gates"));
        let entries = join_all(reads).await;
        let entries = entries.iter().flatten();
        entries.for_each(|entry| reader.written(entry, &mut first.gates));
        first.shards += shards.len();
        if first.is_enough() || first.is_of_small_fleet() {
            break;
        }
    }
    info!(follower.log, "first gates read"; "gates" => first.gates.written.len(),
        "shards" => first.shards);
    first
}

/// Follows the records of gates for the entry `name`: a part of them first.
pub async fn follow_gates(
    follower: Follower,
    name: Arc<str>,
    changes: UnboundedSender<GateChanges>,
) {
    let mut reader = Reader::new(follower.log.clone());
    let first = read_first(&follower, &name, &mut reader).await;
    let pause = first.rest_pause().mul_f64(rand::random());
    if !first.gates.is_empty() && changes.send(first.gates).is_err() {
        return;
    }
    follower.timer.sleep(pause).await;
    let mut all_told = false;
    let tell = |news: News<'_>| {
        let found = reader.read(news);
        // That there are no others is news as well.
        let nothing_new = std::mem::replace(&mut all_told, true) && found.is_empty();
        match nothing_new {
            true => !changes.is_closed(),
            false => changes.send(found).is_ok(),
        }
    };
    let keys = Keys {
        prefix: GATE_PREFIX,
        what: "gates",
        leased: true,
        wait: RECORDS_WATCH,
    };
    follower.follow_changes(&keys, tell).await;
}
