//! Reads the gate records for an entry: first some shards, then all records, then changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::{Logger, info, warn};
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use super::{GATE_PREFIX, GateChanges, decode, shard_prefix};
use crate::ephemeral::follower::{Follower, KeyUpdate, WatchedKeys};
use crate::store::{StoreChange, StoreEntry};

/// Longest wait of a watch for a change; bounds the delay if the store stops answering.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of gates that suffice to accept work before all records have been read.
const MIN_INITIAL_GATES: usize = 16;
/// Number of shards of the records.
const SHARDS: usize = 256;
/// Largest number of shards that are read before the full read.
const MAX_INITIAL_SHARDS: usize = 16;
/// Number of initial shards that are read at a time.
const CONCURRENT_SHARD_READS: usize = 4;
/// Delay of the full read per gate, which spreads the reads of entries that start together.
const FULL_READ_DELAY_PER_GATE: Duration = Duration::from_millis(2);
/// Longest delay of the full read; until then an entry uses only the initial gates.
const MAX_FULL_READ_DELAY: Duration = Duration::from_secs(5);

/// A record that was read.
struct SeenRecord {
    revision: u64,
    /// The gate; `None` if the record is invalid.
    gate: Option<Arc<str>>,
}

/// Decodes each revision of a record once, and skips invalid records.
struct RecordReader {
    seen: BTreeMap<String, SeenRecord>,
    log: Logger,
}

impl RecordReader {
    fn new(log: Logger) -> RecordReader {
        RecordReader {
            seen: BTreeMap::new(),
            log,
        }
    }

    fn read(&mut self, update: KeyUpdate<'_>) -> GateChanges {
        let mut changes = GateChanges::default();
        match update.changes {
            Some(store_changes) => store_changes.iter().for_each(|change| match change {
                StoreChange::Written(entry) => self.written(entry, &mut changes),
                StoreChange::Removed { key } => self.removed(key, &mut changes),
            }),
            None => {
                let all = update.entries.values();
                all.for_each(|entry| self.written(entry, &mut changes));
                let gone = |key: &&String| !update.entries.contains_key(*key);
                let gone: Vec<String> = self.seen.keys().filter(gone).cloned().collect();
                gone.iter().for_each(|key| self.removed(key, &mut changes));
            }
        }
        changes
    }

    fn written(&mut self, entry: &StoreEntry, changes: &mut GateChanges) {
        let before = self.seen.get(&entry.key);
        if before.is_some_and(|before| before.revision == entry.revision) {
            return;
        }
        let gate = match decode(entry) {
            Ok(record) => {
                let gate = record.gate.clone();
                changes.written.push(record);
                Some(gate)
            }
            Err(err) => {
                warn!(self.log, "invalid gate record"; "key" => &entry.key,
                    "revision" => entry.revision, "error" => %err);
                self.removed(&entry.key, changes);
                None
            }
        };
        let revision = entry.revision;
        self.seen
            .insert(entry.key.clone(), SeenRecord { revision, gate });
    }

    fn removed(&mut self, key: &str, changes: &mut GateChanges) {
        let before = self.seen.remove(key);
        if let Some(gate) = before.and_then(|before| before.gate) {
            changes.removed.push(gate);
        }
    }
}

/// Shards that the entry `name` reads first; they differ by entry to spread the first jobs over
/// all gates.
fn initial_shards(name: &str) -> Vec<u8> {
    let mut shards: Vec<u8> = (0..=u8::MAX).collect();
    shards.sort_by_key(|shard| xxh3_64(format!("{name}/{shard}").as_bytes()));
    shards.truncate(MAX_INITIAL_SHARDS);
    shards
}

/// Records read before the full read.
struct InitialRecords {
    gates: GateChanges,
    /// Number of shards read.
    shards: usize,
}

impl InitialRecords {
    /// Whether they suffice to accept work.
    fn is_enough(&self) -> bool {
        self.gates.written.len() >= MIN_INITIAL_GATES
    }

    /// Whether the fleet is small enough to read all records at once: less than one per shard.
    fn is_small_fleet(&self) -> bool {
        self.gates.written.len() < self.shards
    }

    /// Longest delay of the full read; grows with the fleet, so that entries that start together
    /// do not overload the store.
    fn max_full_read_delay(&self) -> Duration {
        if !self.is_enough() {
            return Duration::ZERO;
        }
        let gates = self.gates.written.len() * SHARDS / self.shards;
        MAX_FULL_READ_DELAY.min(FULL_READ_DELAY_PER_GATE * gates as u32)
    }
}

/// Reads shards until there are enough records to accept work, or the fleet proves small.
async fn read_initial(
    follower: &Follower,
    name: &str,
    reader: &mut RecordReader,
) -> InitialRecords {
    let mut initial = InitialRecords {
        gates: GateChanges {
            partial: true,
            ..GateChanges::default()
        },
        shards: 0,
    };
    for shards in initial_shards(name).chunks(CONCURRENT_SHARD_READS) {
        let prefixes: Vec<String> = shards.iter().copied().map(shard_prefix).collect();
        let reads = prefixes
            .iter()
            .map(|prefix| follower.read(prefix, "first_gates"));
        let entries = join_all(reads).await;
        let entries = entries.iter().flatten();
        entries.for_each(|entry| reader.written(entry, &mut initial.gates));
        initial.shards += shards.len();
        if initial.is_enough() || initial.is_small_fleet() {
            break;
        }
    }
    info!(follower.log, "initial gate records read"; "gates" => initial.gates.written.len(),
        "shards" => initial.shards);
    initial
}

/// Follows the gate records for the entry `name`; reads some shards first.
pub async fn follow_gates(
    follower: Follower,
    name: Arc<str>,
    changes: UnboundedSender<GateChanges>,
) {
    let mut reader = RecordReader::new(follower.log.clone());
    let initial = read_initial(&follower, &name, &mut reader).await;
    let delay = initial.max_full_read_delay().mul_f64(rand::random());
    if !initial.gates.is_empty() && changes.send(initial.gates).is_err() {
        return;
    }
    follower.timer.sleep(delay).await;
    let mut all_reported = false;
    let on_update = |update: KeyUpdate<'_>| {
        let found = reader.read(update);
        // The first full update is sent even if empty: it shows that there are no other
        // records.
        let is_unchanged = std::mem::replace(&mut all_reported, true) && found.is_empty();
        match is_unchanged {
            true => !changes.is_closed(),
            false => changes.send(found).is_ok(),
        }
    };
    let keys = WatchedKeys {
        prefix: GATE_PREFIX,
        label: "gates",
        leased: true,
        max_wait: WATCH_TIMEOUT,
    };
    follower.follow_changes(&keys, on_update).await;
}
