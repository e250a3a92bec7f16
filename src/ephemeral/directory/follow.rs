//! How an entry learns of gates: a part of the records first, then all, then changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::{Logger, info, warn};
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use super::{GATE_PREFIX, GateChanges, parse, shard_prefix};
use crate::ephemeral::follower::{Follower, Keys, News};
use crate::store::{StoreChange, StoreEntry};

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
/// Pause for each gate before the rest is read: what entries that start together read in a
/// second stays a part of what the store's link carries, whatever the number of gates.
const REST_PAUSE_A_GATE: Duration = Duration::from_millis(2);
/// Longest such pause: until then an entry sends its jobs to the first gates only.
const MOST_REST_PAUSE: Duration = Duration::from_secs(5);

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
