//! Following keys of the store through unanswered reads and failing watches, in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use winghold::ephemeral::follower::{Follower, WATCH_TIMEOUT, WatchedKeys};
use winghold::logging;
use winghold::metrics::Metrics;
use winghold::store::{
    Store, StoreChange, StoreEntry, StoreError, StoreFuture, StoreReply, StoreRequest,
};
use winghold::time::Timer;

/// Timeout of a read in the store client.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// A store that answers reads after the first `silent_reads`; watches fail or wait.
struct FakeStore {
    silent_reads: u32,
    watches_fail: bool,
    reads: AtomicU32,
    watches: AtomicU32,
    /// Longest wait requested by a watch.
    longest_wait_ms: AtomicU64,
}

impl FakeStore {
    fn new(silent_reads: u32, watches_fail: bool) -> Arc<FakeStore> {
        Arc::new(FakeStore {
            silent_reads,
            watches_fail,
            reads: AtomicU32::new(0),
            watches: AtomicU32::new(0),
            longest_wait_ms: AtomicU64::new(0),
        })
    }

    fn entry() -> StoreEntry {
        StoreEntry {
            key: "k".to_string(),
            value: "v".into(),
            revision: 1,
            lease: None,
        }
    }
}

impl Store for FakeStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        let silent = match &req {
            StoreRequest::Watch { wait_ms, .. } => {
                self.longest_wait_ms.fetch_max(*wait_ms, Ordering::Relaxed);
                self.watches.fetch_add(1, Ordering::Relaxed);
                if self.watches_fail {
                    return Box::pin(async { Err(StoreError::Unanswered) });
                }
                true
            }
            _ => self.reads.fetch_add(1, Ordering::Relaxed) < self.silent_reads,
        };
        let watch = matches!(req, StoreRequest::Watch { .. });
        Box::pin(async move {
            if silent && watch {
                std::future::pending::<()>().await;
            }
            if silent {
                tokio::time::sleep(READ_TIMEOUT).await;
                return Err(StoreError::Unanswered);
            }
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![FakeStore::entry()],
            })
        })
    }
}

/// Follows the store for `span`; returns the number of updates.
async fn count_updates(store: Arc<dyn Store>, span: Duration) -> usize {
    collect_updates(store, span).await.len()
}

/// Follows the store for `span`; returns the entries of each update.
async fn collect_updates(store: Arc<dyn Store>, span: Duration) -> Vec<Vec<StoreEntry>> {
    let (tx, mut rx) = unbounded_channel();
    let follower = Follower {
        store,
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::none(),
        log: logging::discard(),
    };
    let on_change = move |entries: Vec<StoreEntry>| tx.send(entries).is_ok();
    let keys = WatchedKeys {
        prefix: "k",
        label: "test",
        leased: true,
        max_wait: WATCH_TIMEOUT,
    };
    let _ = tokio::time::timeout(span, follower.follow(&keys, on_change)).await;
    std::iter::from_fn(|| rx.try_recv().ok()).collect()
}

#[tokio::test(start_paused = true)]
async fn unanswered_first_read_causes_no_delay() {
    let store = FakeStore::new(1, false);
    assert_eq!(count_updates(store, Duration::from_millis(100)).await, 1);
}

#[tokio::test(start_paused = true)]
async fn store_that_never_answers_gets_few_reads() {
    let store = FakeStore::new(u32::MAX, false);
    assert_eq!(
        count_updates(store.clone(), Duration::from_secs(9)).await,
        0
    );
    let reads = store.reads.load(Ordering::Relaxed);
    assert!((20..35).contains(&reads), "{reads} reads");
}

#[tokio::test(start_paused = true)]
async fn failed_watches_are_not_repeated_at_once() {
    let store = FakeStore::new(0, true);
    count_updates(store.clone(), Duration::from_secs(9)).await;
    let watches = store.watches.load(Ordering::Relaxed);
    assert!(watches < 35, "{watches} watches");
}

/// An unanswered watch must end before a change made after the outage is due, which is 5 s
/// after the store is reachable again.
#[tokio::test(start_paused = true)]
async fn watch_ends_soon_after_an_outage() {
    let store = FakeStore::new(0, false);
    count_updates(store.clone(), Duration::from_secs(1)).await;
    let wait_ms = store.longest_wait_ms.load(Ordering::Relaxed);
    assert!((1..=4_000).contains(&wait_ms), "{wait_ms} ms");
}

/// A store behind a narrow link that concurrent reads share.
struct NarrowStore {
    reads_in_progress: AtomicU32,
}

/// Time of a single read: a document of a megabyte, in base64, at 25 Mbit/s.
const READ_TIME_MS: u32 = 450;

impl Store for NarrowStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(async move {
            if matches!(req, StoreRequest::Watch { .. }) {
                std::future::pending::<()>().await;
            }
            let read = ReadInProgress::new(&self.reads_in_progress);
            let mut remaining_ms = f64::from(READ_TIME_MS);
            while remaining_ms > 0.0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
                remaining_ms -= 1.0 / read.concurrent_reads();
            }
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![FakeStore::entry()],
            })
        })
    }
}

/// Counts a read until it ends or is cancelled.
struct ReadInProgress<'a>(&'a AtomicU32);

impl ReadInProgress<'_> {
    fn new(count: &AtomicU32) -> ReadInProgress<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        ReadInProgress(count)
    }

    fn concurrent_reads(&self) -> f64 {
        f64::from(self.0.load(Ordering::Relaxed))
    }
}

impl Drop for ReadInProgress<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Concurrent repeats on a narrow link would slow down each other and the first read.
#[tokio::test(start_paused = true)]
async fn repeats_do_not_slow_down_a_long_read() {
    let store = Arc::new(NarrowStore {
        reads_in_progress: AtomicU32::new(0),
    });
    let span = Duration::from_millis(u64::from(3 * READ_TIME_MS));
    assert_eq!(count_updates(store, span).await, 1);
}

/// A store that changes a key every second and removes another without notifying watches.
struct ForgetfulStore {
    reads: AtomicU32,
    changes: AtomicU32,
}

impl ForgetfulStore {
    fn entry(key: &str) -> StoreEntry {
        StoreEntry {
            key: key.to_string(),
            ..FakeStore::entry()
        }
    }
}

impl Store for ForgetfulStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        if let StoreRequest::Watch { after, .. } = req {
            return Box::pin(async move {
                tokio::time::sleep(Duration::from_secs(1)).await;
                self.changes.fetch_add(1, Ordering::Relaxed);
                let changes = vec![StoreChange::Written(ForgetfulStore::entry("changes"))];
                let revision = after + 1;
                Ok(StoreReply::Changes { revision, changes })
            });
        }
        let first = self.reads.fetch_add(1, Ordering::Relaxed) == 0;
        let keys: &[&str] = if first {
            &["changes", "gone"]
        } else {
            &["changes"]
        };
        let entries = keys.iter().map(|key| ForgetfulStore::entry(key)).collect();
        Box::pin(async move {
            Ok(StoreReply::Entries {
                revision: 1,
                entries,
            })
        })
    }
}

#[tokio::test(start_paused = true)]
async fn change_missed_by_watches_is_found_by_a_periodic_read() {
    let store = Arc::new(ForgetfulStore {
        reads: AtomicU32::new(0),
        changes: AtomicU32::new(0),
    });
    let updates = collect_updates(store.clone(), Duration::from_secs(60)).await;
    let sizes: Vec<usize> = updates.iter().map(Vec::len).collect();
    assert_eq!(sizes.first(), Some(&2));
    assert_eq!(sizes.last(), Some(&1), "the removed key is dropped");
    let reads = store.reads.load(Ordering::Relaxed);
    assert!((2..=4).contains(&reads), "{reads} reads");
    assert!(
        store.changes.load(Ordering::Relaxed) >= 55,
        "watching continues"
    );
}

/// A store that answers reads with the same entry after a delay, and fails watches.
struct SlowStore {
    reads: AtomicU32,
}

impl Store for SlowStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        if matches!(req, StoreRequest::Watch { .. }) {
            return Box::pin(async { Err(StoreError::Unanswered) });
        }
        self.reads.fetch_add(1, Ordering::Relaxed);
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![FakeStore::entry()],
            })
        })
    }
}

#[tokio::test(start_paused = true)]
async fn read_is_repeated_only_if_it_takes_longer_than_usual() {
    let store = Arc::new(SlowStore {
        reads: AtomicU32::new(0),
    });
    let updates = count_updates(store.clone(), Duration::from_secs(10)).await;
    assert_eq!(updates, 1, "only the first read is an update");
    let reads = store.reads.load(Ordering::Relaxed);
    assert!(
        (15..=25).contains(&reads),
        "{reads} reads, about two a second"
    );
}
