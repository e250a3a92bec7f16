//! Following the store through silence and failing watches, in virtual time.

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

/// When a client of the store gives up a read that has no answer.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Answers reads but for the first `silent_reads`; watches fail or wait.
struct FakeStore {
    silent_reads: u32,
    watches_fail: bool,
    reads: AtomicU32,
    watches: AtomicU32,
    /// Longest wait that a watch asked for, in milliseconds.
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
                tokio::time::sleep(CALL_LIMIT).await;
                return Err(StoreError::Unanswered);
            }
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![FakeStore::entry()],
            })
        })
    }
}

/// Follows the store for `span`; returns how often entries were told.
async fn told_within(store: Arc<dyn Store>, span: Duration) -> usize {
    entries_told_within(store, span).await.len()
}

/// Follows the store for `span`; returns the entries that were told.
async fn entries_told_within(store: Arc<dyn Store>, span: Duration) -> Vec<Vec<StoreEntry>> {
    let (tx, mut rx) = unbounded_channel();
    let follower = Follower {
        store,
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::none(),
        log: logging::discard(),
    };
    let tell = move |entries: Vec<StoreEntry>| tx.send(entries).is_ok();
    let keys = WatchedKeys {
        prefix: "k",
        label: "test",
        leased: true,
        max_wait: WATCH_TIMEOUT,
    };
    let _ = tokio::time::timeout(span, follower.follow(&keys, tell)).await;
    std::iter::from_fn(|| rx.try_recv().ok()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_first_read_without_an_answer_holds_nothing_up() {
    let store = FakeStore::new(1, false);
    assert_eq!(told_within(store, Duration::from_millis(100)).await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_stays_silent_gets_few_reads() {
    let store = FakeStore::new(u32::MAX, false);
    assert_eq!(told_within(store.clone(), Duration::from_secs(9)).await, 0);
    let reads = store.reads.load(Ordering::Relaxed);
    assert!((20..35).contains(&reads), "{reads} reads");
}

#[tokio::test(start_paused = true)]
async fn watches_that_fail_at_once_are_not_repeated_at_once() {
    let store = FakeStore::new(0, true);
    told_within(store.clone(), Duration::from_secs(9)).await;
    let watches = store.watches.load(Ordering::Relaxed);
    assert!(watches < 35, "{watches} watches");
}

/// A watch that a silent store never answers must be over before a change that is
/// made after the outage has to be in force: 3 s in touch and 2 s for the change.
#[tokio::test(start_paused = true)]
async fn a_watch_does_not_outlast_an_outage_by_much() {
    let store = FakeStore::new(0, false);
    told_within(store.clone(), Duration::from_secs(1)).await;
    let wait_ms = store.longest_wait_ms.load(Ordering::Relaxed);
    assert!((1..=4_000).contains(&wait_ms), "{wait_ms} ms");
}

/// Answers reads over a narrow link that the reads under way share.
struct NarrowStore {
    under_way: AtomicU32,
}

/// How long a read takes by itself, in milliseconds: a document of a megabyte,
/// in base64, at 25 Mbit/s.
const READ_MS: u32 = 450;

impl Store for NarrowStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(async move {
            if matches!(req, StoreRequest::Watch { .. }) {
                std::future::pending::<()>().await;
            }
            let read = UnderWay::new(&self.under_way);
            let mut left_ms = f64::from(READ_MS);
            while left_ms > 0.0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
                left_ms -= 1.0 / read.sharers();
            }
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![FakeStore::entry()],
            })
        })
    }
}

/// Counts a read for as long as it is not given up.
struct UnderWay<'a>(&'a AtomicU32);

impl UnderWay<'_> {
    fn new(count: &AtomicU32) -> UnderWay<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        UnderWay(count)
    }

    fn sharers(&self) -> f64 {
        f64::from(self.0.load(Ordering::Relaxed))
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads were repeated side by side however many were under way: on a narrow link
/// each repeat took its share from those before it.
#[tokio::test(start_paused = true)]
async fn repeats_do_not_take_the_link_from_a_read_that_lasts() {
    let store = Arc::new(NarrowStore {
        under_way: AtomicU32::new(0),
    });
    let span = Duration::from_millis(u64::from(3 * READ_MS));
    assert_eq!(told_within(store, span).await, 1);
}

/// Changes a key every second, and takes another away without telling anyone.
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
async fn what_no_watch_ever_told_is_found_by_reading_anew() {
    let store = Arc::new(ForgetfulStore {
        reads: AtomicU32::new(0),
        changes: AtomicU32::new(0),
    });
    let told = entries_told_within(store.clone(), Duration::from_secs(60)).await;
    let sizes: Vec<usize> = told.iter().map(Vec::len).collect();
    assert_eq!(sizes.first(), Some(&2));
    assert_eq!(sizes.last(), Some(&1), "the key that is gone is forgotten");
    let reads = store.reads.load(Ordering::Relaxed);
    assert!((2..=4).contains(&reads), "{reads} reads");
    assert!(
        store.changes.load(Ordering::Relaxed) >= 55,
        "it goes on watching"
    );
}

/// Answers every read after a while, with the same entry, and no watch.
struct LastingStore {
    reads: AtomicU32,
}

impl Store for LastingStore {
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
async fn a_read_is_repeated_only_when_it_lasts_longer_than_usual() {
    let store = Arc::new(LastingStore {
        reads: AtomicU32::new(0),
    });
    let told = told_within(store.clone(), Duration::from_secs(10)).await;
    assert_eq!(told, 1, "nothing changed since");
    let reads = store.reads.load(Ordering::Relaxed);
    assert!(
        (15..=25).contains(&reads),
        "{reads} reads, about two a second"
    );
}
