//! Records of gates in the store: how many calls they cost, and that one that was
//! lost is back soon. In virtual time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use winghold::ephemeral::directory::{self, GateChanges, GateRecord, PublishedState, WorkerRecord};
use winghold::ephemeral::follower::Follower;
use winghold::ephemeral::message::WorkerTraits;
use winghold::logging;
use winghold::metrics::Metrics;
use winghold::store::{
    Expect, LeaseId, Store, StoreChange, StoreEntry, StoreError, StoreFuture, StoreReply,
    StoreRequest,
};
use winghold::time::Timer;

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Held {
    revision: u64,
    entries: BTreeMap<String, (StoreEntry, LeaseId)>,
    changes: Vec<StoreEntry>,
    last_lease: u64,
    leases: Vec<LeaseId>,
    calls: BTreeMap<&'static str, u32>,
    /// The next write takes effect without an answer.
    lose_write: bool,
    /// Nothing is answered.
    down: bool,
}

/// Keeps keys under leases in memory.
#[derive(Clone, Default)]
struct FakeStore {
    held: Arc<Mutex<Held>>,
}

impl FakeStore {
    fn calls(&self, kind: &str) -> u32 {
        self.held
            .lock()
            .unwrap()
            .calls
            .get(kind)
            .copied()
            .unwrap_or(0)
    }

    fn has_record(&self) -> bool {
        !self.held.lock().unwrap().entries.is_empty()
    }

    /// Ends all leases; their keys go with them, and nobody is told.
    fn revoke_all(&self) {
        let mut held = self.held.lock().unwrap();
        held.leases.clear();
        held.entries.clear();
        held.revision += 1;
    }

    /// Writes the record of a gate with a worker.
    fn write(&self, gate: &str, life: &str) {
        let record = GateRecord {
            worker: Some(worker(life)),
            ..gate_record(gate)
        };
        let value = serde_json::to_vec(&record).unwrap();
        let key = directory::gate_key(gate);
        let mut held = self.held.lock().unwrap();
        held.put(&key, value.into(), LeaseId(0));
    }
}

impl Held {
    fn put(&mut self, key: &str, value: bytes::Bytes, lease: LeaseId) -> u64 {
        self.revision += 1;
        let entry = StoreEntry {
            key: key.to_string(),
            value,
            revision: self.revision,
            lease: Some(lease),
        };
        self.changes.push(entry.clone());
        self.entries.insert(key.to_string(), (entry, lease));
        self.revision
    }

    fn answer(&mut self, req: &StoreRequest) -> Result<StoreReply, StoreError> {
        *self.calls.entry(req.name()).or_default() += 1;
        if self.down {
            return Err(StoreError::Unanswered);
        }
        match req {
            StoreRequest::Get { prefix } => {
                let entries = self.entries.values().map(|(entry, _)| entry.clone());
                Ok(StoreReply::Entries {
                    revision: self.revision,
                    entries: entries.filter(|e| e.key.starts_with(prefix)).collect(),
                })
            }
            StoreRequest::Put {
                key,
                value,
                expect,
                lease,
            } => {
                let lease = lease.expect("a lease");
                if !self.leases.contains(&lease) {
                    return Ok(StoreReply::LeaseGone);
                }
                let current = self.entries.get(key).map(|(entry, _)| entry.clone());
                let found = current
                    .as_ref()
                    .map_or(Expect::Absent, |entry| Expect::Revision(entry.revision));
                if found != *expect {
                    return Ok(StoreReply::Conflict { current });
                }
                let revision = self.put(key, value.clone(), lease);
                match std::mem::take(&mut self.lose_write) {
                    true => Err(StoreError::Unanswered),
                    false => Ok(StoreReply::Written { revision }),
                }
            }
            StoreRequest::Grant { .. } => {
                self.last_lease += 1;
                let lease = LeaseId(self.last_lease);
                self.leases.push(lease);
                Ok(StoreReply::Lease { lease })
            }
            StoreRequest::Renew { lease } if self.leases.contains(lease) => {
                Ok(StoreReply::Lease { lease: *lease })
            }
            _ => Ok(StoreReply::LeaseGone),
        }
    }

    fn changes_after(&self, after: u64) -> Option<StoreReply> {
        let changes = self.changes.iter().filter(|entry| entry.revision > after);
        let changes: Vec<StoreChange> = changes.cloned().map(StoreChange::Written).collect();
        let revision = self.revision;
        (!changes.is_empty()).then_some(StoreReply::Changes { revision, changes })
    }
}

impl Store for FakeStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(async move {
            tokio::time::sleep(ANSWER).await;
            let StoreRequest::Watch { after, wait_ms, .. } = req else {
                return self.held.lock().unwrap().answer(&req);
            };
            let _ = self.held.lock().unwrap().answer(&req);
            let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
            while tokio::time::Instant::now() < until {
                if let Some(changes) = self.held.lock().unwrap().changes_after(after) {
                    return Ok(changes);
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(StoreReply::Changes {
                revision: after,
                changes: Vec::new(),
            })
        })
    }
}

fn worker(id: &str) -> WorkerRecord {
    WorkerRecord {
        traits: WorkerTraits {
            id: id.into(),
            ..WorkerTraits::default()
        },
        addr: String::new(),
    }
}

/// What a gate with this worker publishes.
fn published(id: &str) -> PublishedState {
    PublishedState {
        worker: Some(worker(id)),
        ..PublishedState::default()
    }
}

/// A gate that publishes its record; the sender changes it.
fn publish(store: &FakeStore) -> watch::Sender<PublishedState> {
    let (tx, rx) = watch::channel(published("w-1"));
    let record = gate_record("g");
    let store = Arc::new(store.clone());
    let (timer, log) = (Timer::on_runtime_clock(), logging::discard());
    tokio::spawn(directory::publish(store, timer, record, None, rx, log));
    tx
}

/// The same gate starts again, and publishes what its record said.
async fn publish_again(store: &FakeStore) -> watch::Sender<PublishedState> {
    let store: Arc<dyn Store> = Arc::new(store.clone());
    let (timer, log) = (Timer::on_runtime_clock(), logging::discard());
    let recalled = directory::read_previous(&*store, "g", &log).await;
    let (published, before) = recalled.expect("a record");
    let (tx, rx) = watch::channel(published);
    let record = gate_record("g");
    tokio::spawn(directory::publish(
        store,
        timer,
        record,
        Some(before),
        rx,
        log,
    ));
    tx
}

/// The record of a gate that knows no worker.
fn gate_record(name: &str) -> GateRecord {
    GateRecord {
        gate: name.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        worker: None,
        losses: Vec::new(),
    }
}

/// Follows the records in `store`.
fn follower_of(store: &FakeStore) -> Follower {
    Follower {
        store: Arc::new(store.clone()),
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::none(),
        log: logging::discard(),
    }
}

async fn pass(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn a_record_that_is_there_costs_little_more_than_its_renewals() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    pass(60.0).await;
    let (renewals, reads) = (store.calls("renew"), store.calls("get"));
    assert!((22..=24).contains(&renewals), "{renewals}");
    assert!(reads <= 6, "{reads}");
    assert_eq!(store.calls("put"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_record_whose_lease_was_taken_away_is_back_before_it_counts_as_missing() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    pass(5.0).await;
    store.revoke_all();
    pass(2.8).await;
    assert!(store.has_record());
}

/// The pattern: all processes of a fleet are killed and start again. Each entry reads the
/// records once anyway, and then hears of nothing that it has read.
#[tokio::test(start_paused = true)]
async fn a_gate_that_starts_again_takes_its_record_over() {
    let store = FakeStore::default();
    let _before = publish(&store);
    pass(5.0).await;
    let revision = store.held.lock().unwrap().revision;
    let _worker = publish_again(&store).await;
    pass(30.0).await;
    assert_eq!(store.held.lock().unwrap().revision, revision);
    assert_eq!((store.calls("put"), store.calls("grant")), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_record_that_vanished_with_its_lease_is_written_after_a_restart() {
    let store = FakeStore::default();
    let _before = publish(&store);
    pass(1.0).await;
    let _worker = publish_again(&store).await;
    store.revoke_all();
    pass(2.8).await;
    assert!(store.has_record());
}

/// The pattern: the store is away for a minute, and every gate of a fleet calls it. The
/// grounds: a second call within the longest pause of 1.6 s is wanted of none, but for the
/// first few.
#[tokio::test(start_paused = true)]
async fn a_gate_calls_a_store_that_is_away_less_and_less() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    pass(5.0).await;
    let before = store.calls("renew");
    store.held.lock().unwrap().down = true;
    pass(60.0).await;
    let calls = store.calls("renew") - before;
    assert!(calls <= 60_000 / 1_600 + 4, "{calls}");
    store.held.lock().unwrap().down = false;
    store.revoke_all();
    pass(1.7).await;
    assert!(store.has_record());
}

#[tokio::test(start_paused = true)]
async fn a_write_without_an_answer_is_read_back() {
    let store = FakeStore::default();
    store.held.lock().unwrap().lose_write = true;
    let _worker = publish(&store);
    pass(1.0).await;
    assert!(store.has_record());
    assert_eq!(store.calls("get"), 2, "before the write and after it");
    assert_eq!(store.calls("put"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_new_worker_is_written_at_once() {
    let store = FakeStore::default();
    let workers = publish(&store);
    pass(5.0).await;
    workers.send_replace(published("w-2"));
    pass(0.1).await;
    let held = store.held.lock().unwrap();
    let (entry, _) = &held.entries[&directory::gate_key("g")];
    assert!(String::from_utf8_lossy(&entry.value).contains("w-2"));
}

/// The pattern: all gates of a fleet start, and each writes its record twice within
/// two seconds, without its worker and with it.
#[tokio::test(start_paused = true)]
async fn records_that_come_together_wake_an_entry_a_few_times_only() {
    let store = FakeStore::default();
    let (tx, mut rx) = unbounded_channel();
    tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
    pass(0.1).await;
    for number in 0..480 {
        store.write(&format!("g{}", number % 240), &format!("w{number}"));
        pass(2.0 / 480.0).await;
    }
    let watches = store.calls("watch");
    assert!(watches <= 12, "{watches}");
    pass(0.5).await;
    let told = std::iter::from_fn(|| rx.try_recv().ok());
    let records: Vec<usize> = told.map(|changes| changes.written.len()).collect();
    assert!(records.len() <= 12, "{records:?}");
    let all: usize = records.iter().sum();
    assert!((240..=480).contains(&all), "{records:?}");
}

/// The pattern: one gate of many changes. Whoever follows them hears of that one alone; to
/// hear of all at each change of each costs the square of the fleet when it starts.
#[tokio::test(start_paused = true)]
async fn a_change_of_one_record_brings_that_record_alone() {
    let store = FakeStore::default();
    (0..800).for_each(|number| store.write(&format!("g{number}"), "w"));
    let (tx, mut rx) = unbounded_channel();
    tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
    pass(0.1).await;
    let first = rx.recv().await.unwrap();
    let rest = rx.recv().await.unwrap();
    assert_eq!(first.written.len() + rest.written.len(), 800);
    store.write("g17", "w-2");
    let changes = rx.recv().await.unwrap();
    let names: Vec<&str> = changes.written.iter().map(|one| &*one.gate).collect();
    assert_eq!(names, ["g17"]);
    assert!(changes.removed.is_empty());
    // Read anew, too: nothing has changed since.
    pass(30.0).await;
    assert!(rx.try_recv().is_err());
}

/// The pattern: hundreds of entries start at once. What each has to read before it can take
/// work is bounded, however large the fleet is; what the rest says comes later, and until
/// then nobody says that no worker can run something.
#[tokio::test(start_paused = true)]
async fn an_entry_reads_a_bounded_part_of_the_records_first() {
    for gates in [11, 240, 800, 1_600, 13_473] {
        let store = FakeStore::default();
        (0..gates).for_each(|number| store.write(&format!("g{number}"), "w"));
        let (tx, mut rx) = unbounded_channel();
        tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
        pass(0.1).await;
        let mut told: Vec<GateChanges> = std::iter::from_fn(|| rx.try_recv().ok()).collect();
        let first = told[0].written.len();
        if gates >= 512 {
            assert!(told[0].partial, "{gates}");
            assert!((16..=256).contains(&first), "{first} of {gates}");
        }
        pass(5.0).await;
        told.extend(std::iter::from_fn(|| rx.try_recv().ok()));
        assert!(!told.last().unwrap().partial);
        assert!(told.len() <= 2, "{gates}");
        let all: usize = told.iter().map(|changes| changes.written.len()).sum();
        assert_eq!(all, gates, "each once");
    }
}
