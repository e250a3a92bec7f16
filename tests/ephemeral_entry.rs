//! The first configuration of an entry, in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use winghold::ephemeral::entry::{ConfigReader, Entry, EntryHandle, EntryParts};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::ProcessId;
use winghold::ephemeral::routes::RouteTable;
use winghold::error::Result;
use winghold::logging;
use winghold::metrics::{Metrics, Registry};
use winghold::store::{Store, StoreEntry, StoreFuture, StoreReply, StoreRequest};
use winghold::time::Timer;

/// A store that answers reads after a delay, and no watches.
struct SlowStore {
    delay: Duration,
    /// Number of reads of the configuration and of the records of gates.
    reads: [AtomicU32; 2],
}

impl SlowStore {
    fn new(delay: Duration) -> Arc<SlowStore> {
        let reads = Default::default();
        Arc::new(SlowStore { delay, reads })
    }
}

impl Store for SlowStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        let delay = self.delay;
        if let StoreRequest::Get { prefix } = &req {
            let [config, gates] = &self.reads;
            let reads = if prefix == "config" { config } else { gates };
            reads.fetch_add(1, Ordering::Relaxed);
        }
        Box::pin(async move {
            if matches!(req, StoreRequest::Watch { .. }) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(delay).await;
            let entry = StoreEntry {
                key: "config".to_string(),
                value: "7".into(),
                revision: 1,
                lease: None,
            };
            Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![entry],
            })
        })
    }
}

/// Parses a document that consists of its version only.
struct VersionReader;

impl ConfigReader for VersionReader {
    fn read(&self, text: &[u8]) -> Result<RouteTable> {
        Ok(RouteTable {
            version: u64::from(text[0] - b'0'),
            ..RouteTable::default()
        })
    }
}

fn entry_with(store: Arc<SlowStore>) -> EntryHandle {
    let second = Duration::from_secs(1);
    let (entry, handle) = Entry::new(EntryParts {
        process: ProcessId {
            name: "e".into(),
            incarnation: 1,
        },
        limits: Limits::new(second, second / 2, second / 20),
        store,
        config_key: "config".to_string(),
        reader: Arc::new(VersionReader),
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::in_memory(Registry::default()),
        log: logging::discard(),
    });
    tokio::spawn(entry.run());
    handle
}

#[tokio::test(start_paused = true)]
async fn caller_waits_briefly_for_the_first_configuration() {
    let handle = entry_with(SlowStore::new(Duration::from_millis(15)));
    assert_eq!(handle.table().version, 0);
    assert_eq!(handle.wait_for_table().await.version, 7);
}

#[tokio::test(start_paused = true)]
async fn caller_is_not_delayed_by_a_store_that_is_down() {
    let handle = entry_with(SlowStore::new(Duration::from_secs(60)));
    let called_at = tokio::time::Instant::now();
    assert_eq!(handle.wait_for_table().await.version, 0);
    assert!(
        called_at.elapsed() < Duration::from_millis(40),
        "virtual time"
    );
}

/// The configuration may be large and does not expire as records of gates do.
#[tokio::test(start_paused = true)]
async fn records_are_reread_periodically_and_the_configuration_is_not() {
    let store = SlowStore::new(Duration::from_millis(5));
    let handle = entry_with(store.clone());
    handle.timer.sleep(Duration::from_secs(50)).await;
    let [config, gates] = &store.reads;
    assert_eq!(config.load(Ordering::Relaxed), 1);
    assert!(gates.load(Ordering::Relaxed) >= 2);
}
