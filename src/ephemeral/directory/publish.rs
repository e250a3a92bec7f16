//! Publishes the record of a gate, and takes over the record after a restart.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::{GateRecord, PublishedState, decode, encode, gate_key};
use crate::ephemeral::follower::StoreAvailability;
use crate::store::{Expect, LeaseId, Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::Timer;

/// Lease of a record: longer than most restarts of a store, short enough that entries soon stop
/// dialing a gate that is gone.
const RECORD_LEASE: Duration = Duration::from_secs(10);
/// Interval of renewals; two of them may be lost within a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_500);
/// Renewals after which the record is read even if no call failed: every 15 s, as entries read
/// all records every 20 s.
const RENEWALS_PER_READ: u32 = 6;
/// First pause after a failed call; doubled with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause; shorter than [`super::MISSING_RECORD_GRACE`].
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_600);

/// Publishes the record of a gate in the store until the future is dropped. `previous` is the
/// record from before a restart; it is reused with its lease, as a write would notify all entries.
pub async fn publish(
    store: Arc<dyn Store>,
    timer: Timer,
    mut record: GateRecord,
    previous: Option<StoreEntry>,
    mut published: watch::Receiver<PublishedState>,
    log: Logger,
) {
    let mut availability = StoreAvailability::new("record", log.clone());
    let mut publisher = Publisher {
        store: &*store,
        log: &log,
        lease: previous.as_ref().and_then(|previous| previous.lease),
        written: previous.map(|previous| previous.value),
        renewals_since_read: 0,
    };
    let mut retry_pause = RETRY_PAUSE;
    loop {
        let latest = published.borrow_and_update().clone();
        record.worker = latest.worker;
        record.losses = latest.losses;
        let refreshed = publisher.refresh(&record).await;
        availability.record(&refreshed);
        let pause = match refreshed {
            Ok(()) => RENEWAL_INTERVAL,
            Err(_) => retry_pause,
        };
        retry_pause = match refreshed {
            Ok(()) => RETRY_PAUSE,
            Err(_) => MAX_RETRY_PAUSE.min(retry_pause * 2),
        };
        // A change is written without waiting for the next renewal.
        let _ = timer.timeout(pause, published.changed()).await;
    }
}

/// Reads the gate's record from before a restart; returns its state and the store entry.
pub async fn read_previous(
    store: &dyn Store,
    name: &str,
    log: &Logger,
) -> Option<(PublishedState, StoreEntry)> {
    let key = gate_key(name);
    let entry = read(store, &key).await.inspect_err(|err| {
        warn!(log, "cannot read previous gate record"; "key" => &key, "error" => %err);
    });
    let entry = entry.ok()??;
    let record = decode(&entry).inspect_err(|err| {
        warn!(log, "invalid previous gate record"; "key" => &key, "error" => %err);
    });
    let record = record.ok()?;
    let published = PublishedState {
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
    /// Value known to be in the store under the lease; `None` if uncertain.
    written: Option<Bytes>,
    renewals_since_read: u32,
}

impl Publisher<'_> {
    /// Renews the lease, and writes the record if it is missing or differs. An unchanged record is
    /// read only after a failed call, a new lease or [`RENEWALS_PER_READ`] renewals, as the store
    /// keeps it as long as its lease.
    async fn refresh(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let refreshed = self.renew_or_write(record).await;
        if refreshed.is_err() {
            self.written = None;
        }
        refreshed
    }

    async fn renew_or_write(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let wanted = encode(record);
        let lease = self.renew_or_grant_lease().await?;
        self.renewals_since_read += 1;
        if self.written.as_ref() == Some(&wanted) && self.renewals_since_read < RENEWALS_PER_READ {
            return Ok(());
        }
        self.renewals_since_read = 0;
        let current = read(self.store, &record.key()).await?;
        if current.as_ref().is_none_or(|entry| entry.value != wanted) {
            self.put(record.key(), &wanted, current, lease).await?;
        }
        self.written = Some(wanted);
        Ok(())
    }

    /// Renews the lease, or grants a new one if it has expired.
    async fn renew_or_grant_lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            if self.store.call(StoreRequest::Renew { lease }).await? != StoreReply::LeaseGone {
                return Ok(lease);
            }
            info!(self.log, "lease of gate record expired"; "lease" => lease.0);
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
                info!(self.log, "gate record written"; "key" => key, "revision" => revision);
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
