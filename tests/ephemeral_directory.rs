//! Records of gates in the store: the number of store calls, and how soon a lost record is
//! written again. In virtual time.

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

/// Response time of the store.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct StoreState {
    revision: u64,
    entries: BTreeMap<String, (StoreEntry, LeaseId)>,
    changes: Vec<StoreEntry>,
    last_lease: u64,
    leases: Vec<LeaseId>,
    calls: BTreeMap<&'static str, u32>,
    /// The next write takes effect without an answer.
    lose_write: bool,
    /// No call is answered.
    down: bool,
}

/// A store with leases in memory.
#[derive(Clone, Default)]
struct FakeStore {
    state: Arc<Mutex<StoreState>>,
}

impl FakeStore {
    fn calls(&self, kind: &str) -> u32 {
        self.state
            .lock()
            .unwrap()
            .calls
            .get(kind)
            .copied()
            .unwrap_or(0)
    }

    fn has_record(&self) -> bool {
        !self.state.lock().unwrap().entries.is_empty()
    }

    /// Ends all leases and removes their keys without notifying watches.
    fn revoke_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.leases.clear();
        state.entries.clear();
        state.revision += 1;
    }

    /// Writes the record of a gate with a worker.
    fn write(&self, gate: &str, worker_id: &str) {
        let record = GateRecord {
            worker: Some(worker(worker_id)),
            ..gate_record(gate)
        };
        let value = serde_json::to_vec(&record).unwrap();
        let key = directory::gate_key(gate);
        let mut state = self.state.lock().unwrap();
        state.put(&key, value.into(), LeaseId(0));
    }
}

impl StoreState {
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
            tokio::time::sleep(RESPONSE_TIME).await;
            let StoreRequest::Watch { after, wait_ms, .. } = req else {
                return self.state.lock().unwrap().answer(&req);
            };
            let _ = self.state.lock().unwrap().answer(&req);
            let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
            while tokio::time::Instant::now() < until {
                if let Some(changes) = self.state.lock().unwrap().changes_after(after) {
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

/// Published state of a gate with this worker.
fn published(id: &str) -> PublishedState {
    PublishedState {
        worker: Some(worker(id)),
        ..PublishedState::default()
    }
}

/// Starts publishing the record of a gate; the sender changes its state.
fn publish(store: &FakeStore) -> watch::Sender<PublishedState> {
    let (tx, rx) = watch::channel(published("w-1"));
    let record = gate_record("g");
    let store = Arc::new(store.clone());
    let (timer, log) = (Timer::on_runtime_clock(), logging::discard());
    tokio::spawn(directory::publish(store, timer, record, None, rx, log));
    tx
}

/// Restarts the gate, which takes over the state in its record.
async fn restart_publisher(store: &FakeStore) -> watch::Sender<PublishedState> {
    let store: Arc<dyn Store> = Arc::new(store.clone());
    let (timer, log) = (Timer::on_runtime_clock(), logging::discard());
    let previous = directory::read_previous(&*store, "g", &log).await;
    let (published, before) = previous.expect("a record");
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

/// The record of a gate without a worker.
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

async fn advance(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn unchanged_record_costs_little_more_than_its_renewals() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    advance(60.0).await;
    let (renewals, reads) = (store.calls("renew"), store.calls("get"));
    assert!((22..=24).contains(&renewals), "{renewals}");
    assert!(reads <= 6, "{reads}");
    assert_eq!(store.calls("put"), 1);
}

#[tokio::test(start_paused = true)]
async fn record_with_a_revoked_lease_is_rewritten_before_it_counts_as_missing() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    advance(5.0).await;
    store.revoke_all();
    advance(2.8).await;
    assert!(store.has_record());
}

/// After a restart of the whole fleet, unchanged records must cause no further changes.
#[tokio::test(start_paused = true)]
async fn restarted_gate_keeps_its_record() {
    let store = FakeStore::default();
    let _before = publish(&store);
    advance(5.0).await;
    let revision = store.state.lock().unwrap().revision;
    let _worker = restart_publisher(&store).await;
    advance(30.0).await;
    assert_eq!(store.state.lock().unwrap().revision, revision);
    assert_eq!((store.calls("put"), store.calls("grant")), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn expired_record_is_rewritten_after_a_restart() {
    let store = FakeStore::default();
    let _before = publish(&store);
    advance(1.0).await;
    let _worker = restart_publisher(&store).await;
    store.revoke_all();
    advance(2.8).await;
    assert!(store.has_record());
}

/// Except for the first few calls, a gate makes at most one call in each longest delay of
/// 1.6 s while the store is down.
#[tokio::test(start_paused = true)]
async fn calls_to_a_store_that_is_down_back_off() {
    let store = FakeStore::default();
    let _worker = publish(&store);
    advance(5.0).await;
    let before = store.calls("renew");
    store.state.lock().unwrap().down = true;
    advance(60.0).await;
    let calls = store.calls("renew") - before;
    assert!(calls <= 60_000 / 1_600 + 4, "{calls}");
    store.state.lock().unwrap().down = false;
    store.revoke_all();
    advance(1.7).await;
    assert!(store.has_record());
}

#[tokio::test(start_paused = true)]
async fn unanswered_write_is_read_back() {
    let store = FakeStore::default();
    store.state.lock().unwrap().lose_write = true;
    let _worker = publish(&store);
    advance(1.0).await;
    assert!(store.has_record());
    assert_eq!(store.calls("get"), 2, "before the write and after it");
    assert_eq!(store.calls("put"), 1);
}

#[tokio::test(start_paused = true)]
async fn new_worker_is_written_at_once() {
    let store = FakeStore::default();
    let workers = publish(&store);
    advance(5.0).await;
    workers.send_replace(published("w-2"));
    advance(0.1).await;
    let state = store.state.lock().unwrap();
    let (entry, _) = &state.entries[&directory::gate_key("g")];
    assert!(String::from_utf8_lossy(&entry.value).contains("w-2"));
}

/// When a fleet starts, each gate writes its record twice within two seconds, first without
/// its worker.
#[tokio::test(start_paused = true)]
async fn bursts_of_record_changes_are_batched_for_an_entry() {
    let store = FakeStore::default();
    let (tx, mut rx) = unbounded_channel();
    tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
    advance(0.1).await;
    for number in 0..480 {
        store.write(&format!("g{}", number % 240), &format!("w{number}"));
        advance(2.0 / 480.0).await;
    }
    let watches = store.calls("watch");
    assert!(watches <= 12, "{watches}");
    advance(0.5).await;
    let updates = std::iter::from_fn(|| rx.try_recv().ok());
    let records: Vec<usize> = updates.map(|changes| changes.written.len()).collect();
    assert!(records.len() <= 12, "{records:?}");
    let all: usize = records.iter().sum();
    assert!((240..=480).contains(&all), "{records:?}");
}

/// Delivering all records on every change would make a start quadratic in the number of
/// gates.
#[tokio::test(start_paused = true)]
async fn change_of_one_record_delivers_only_that_record() {
    let store = FakeStore::default();
    (0..800).for_each(|number| store.write(&format!("g{number}"), "w"));
    let (tx, mut rx) = unbounded_channel();
    tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
    advance(0.1).await;
    let first = rx.recv().await.unwrap();
    let rest = rx.recv().await.unwrap();
    assert_eq!(first.written.len() + rest.written.len(), 800);
    store.write("g17", "w-2");
    let changes = rx.recv().await.unwrap();
    let names: Vec<&str> = changes.written.iter().map(|one| &*one.gate).collect();
    assert_eq!(names, ["g17"]);
    assert!(changes.removed.is_empty());
    // Periodic reads deliver nothing that has not changed.
    advance(30.0).await;
    assert!(rx.try_recv().is_err());
}

/// The records that an entry needs before it can admit work are bounded in number; until
/// the others follow, the list is marked as partial.
#[tokio::test(start_paused = true)]
async fn entry_reads_a_bounded_part_of_the_records_first() {
    for gates in [11, 240, 800, 1_600, 13_473] {
        let store = FakeStore::default();
        (0..gates).for_each(|number| store.write(&format!("g{number}"), "w"));
        let (tx, mut rx) = unbounded_channel();
        tokio::spawn(directory::follow_gates(follower_of(&store), "e".into(), tx));
        advance(0.1).await;
        let mut updates: Vec<GateChanges> = std::iter::from_fn(|| rx.try_recv().ok()).collect();
        let first = updates[0].written.len();
        if gates >= 512 {
            assert!(updates[0].partial, "{gates}");
            assert!((16..=256).contains(&first), "{first} of {gates}");
        }
        advance(5.0).await;
        updates.extend(std::iter::from_fn(|| rx.try_recv().ok()));
        assert!(!updates.last().unwrap().partial);
        assert!(updates.len() <= 2, "{gates}");
        let all: usize = updates.iter().map(|changes| changes.written.len()).sum();
        assert_eq!(all, gates, "each record is delivered once");
    }
}
