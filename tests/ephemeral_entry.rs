//! An entry around its first configuration, in virtual time.

use std::sync::Arc;
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
struct LateStore(Duration);

impl Store for LateStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        let late = self.0;
        Box::pin(async move {
            if matches!(req, StoreRequest::Watch { .. }) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(late).await;
            let entry = StoreEntry {
                key: "config".to_string(),
                value: "7".into(),
                revision: 1,
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

fn entry_with(store: LateStore) -> EntryHandle {
    let second = Duration::from_secs(1);
    let (entry, handle) = Entry::new(EntryParts {
        me: ProcessId {
            name: "e".into(),
            incarnation: 1,
        },
        limits: Limits::new(second, second / 2, second / 20),
        store: Arc::new(store),
        config_key: "config".to_string(),
        reader: Arc::new(VersionOnly),
        timer: Timer::coarse(),
        metrics: Metrics::in_memory(Registry::default()),
        log: logging::discard(),
    });
    tokio::spawn(entry.run());
    handle
}

#[tokio::test(start_paused = true)]
async fn a_caller_waits_a_moment_for_the_first_configuration() {
    let handle = entry_with(LateStore(Duration::from_millis(15)));
    assert_eq!(handle.table().version, 0);
    assert_eq!(handle.table_soon().await.version, 7);
}

#[tokio::test(start_paused = true)]
async fn a_caller_is_not_held_up_by_a_store_that_is_away() {
    let handle = entry_with(LateStore(Duration::from_secs(60)));
    let asked = tokio::time::Instant::now();
    assert_eq!(handle.table_soon().await.version, 0);
    assert!(asked.elapsed() < Duration::from_millis(40), "virtual time");
}
