//! An entry around its first configuration, in virtual time.

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

/// Answers reads after a while, and no watch.
struct LateStore {
    late: Duration,
    /// Reads of the configuration and of the records of gates.
    reads: [AtomicU32; 2],
}

impl LateStore {
    fn new(late: Duration) -> Arc<LateStore> {
        let reads = Default::default();
        Arc::new(LateStore { late, reads })
    }
}

impl Store for LateStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        let late = self.late;
        if let StoreRequest::Get { prefix } = &req {
            let [config, gates] = &self.reads;
            let reads = if prefix == "config" { config } else { gates };
            reads.fetch_add(1, Ordering::Relaxed);
        }
        Box::pin(async move {
            if matches!(req, StoreRequest::Watch { .. }) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(late).await;
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

/// Reads a document that is just its version.
struct VersionOnly;

impl ConfigReader for VersionOnly {
    fn read(&self, text: &[u8]) -> Result<RouteTable> {
        Ok(RouteTable {
            version: u64::from(text[0] - b'0'),
            ..RouteTable::default()
        })
    }
}

fn entry_with(store: Arc<LateStore>) -> EntryHandle {
    let second = Duration::from_secs(1);
    let (entry, handle) = Entry::new(EntryParts {
        process: ProcessId {
            name: "e".into(),
            incarnation: 1,
        },
        limits: Limits::new(second, second / 2, second / 20),
        store,
        config_key: "config".to_string(),
        reader: Arc::new(VersionOnly),
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::in_memory(Registry::default()),
        log: logging::discard(),
    });
    tokio::spawn(entry.run());
    handle
}

#[tokio::test(start_paused = true)]
async fn a_caller_waits_a_moment_for_the_first_configuration() {
    let handle = entry_with(LateStore::new(Duration::from_millis(15)));
    assert_eq!(handle.table().version, 0);
    assert_eq!(handle.wait_for_table().await.version, 7);
}

#[tokio::test(start_paused = true)]
async fn a_caller_is_not_held_up_by_a_store_that_is_away() {
    let handle = entry_with(LateStore::new(Duration::from_secs(60)));
    let asked = tokio::time::Instant::now();
    assert_eq!(handle.wait_for_table().await.version, 0);
    assert!(asked.elapsed() < Duration::from_millis(40), "virtual time");
}

/// A configuration may be large, and cannot vanish as records of gates do.
#[tokio::test(start_paused = true)]
async fn records_are_read_anew_now_and_then_and_the_configuration_is_not() {
    let store = LateStore::new(Duration::from_millis(5));
    let handle = entry_with(store.clone());
    handle.timer.sleep(Duration::from_secs(50)).await;
    let [config, gates] = &store.reads;
    assert_eq!(config.load(Ordering::Relaxed), 1);
    assert!(gates.load(Ordering::Relaxed) >= 2);
}
