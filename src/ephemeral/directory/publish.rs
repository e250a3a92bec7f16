//! How a gate keeps its record, and takes over the one from before a restart.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::{GateRecord, Published, encode, gate_key, parse};
use crate::ephemeral::follower::Reachable;
use crate::store::{Expect, LeaseId, Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::Timer;

/// Lease of a record: longer than most restarts of a store, and short enough
/// that entries stop dialing a process that is gone for good.
const RECORD_LEASE: Duration = Duration::from_secs(10);
/// Pause between two renewals; a record that lapsed is back within it, and two renewals may
/// be lost.
const RENEWAL: Duration = Duration::from_millis(2_500);
/// Renewals after which the record is read all the same: every 15 s, as entries read
/// all records every 20 s.
const RENEWALS_UNREAD: u32 = 6;
/// Pause after a record could not be kept; doubled with each further time, as all gates of
/// a fleet call on and on in an outage.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: a record that lapsed in an outage is back before it counts as missing.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Keeps the record of a gate in the store, as it is published, for as long as it is
/// polled. A record from `before` a restart is taken over with its lease: nothing is written
/// then, and no entry has to hear of it. Where a whole fleet starts anew, each entry would
/// else hear of each gate.
pub async fn publish(
    store: Arc<dyn Store>,
    timer: Timer,
    mut record: GateRecord,
    before: Option<StoreEntry>,
    mut published: watch::Receiver<Published>,
    log: Logger,
) {
    let mut reachable = Reachable::new("record", log.clone());
    let mut publisher = Publisher {
        store: &*store,
        log: &log,
        lease: before.as_ref().and_then(|before| before.lease),
        written: before.map(|before| before.value),
        renewals: 0,
    };
    let mut outage_pause = PAUSE;
    loop {
        let newest = published.borrow_and_update().clone();
        record.worker = newest.worker;
        record.losses = newest.losses;
        let kept = publisher.keep(&record).await;
        reachable.note(&kept);
        let pause = match kept {
            Ok(()) => RENEWAL,
            Err(_) => outage_pause,
        };
        outage_pause = match kept {
            Ok(()) => PAUSE,
            Err(_) => LONGEST_PAUSE.min(outage_pause * 2),
        };
        // A change does not wait for the next renewal.
        let _ = timer.within(pause, published.changed()).await;
    }
}

/// What the record of the gate `name` holds, from before a restart, and the record itself.
pub async fn recall(
    store: &dyn Store,
    name: &str,
    log: &Logger,
) -> Option<(Published, StoreEntry)> {
    let key = gate_key(name);
    let entry = read(store, &key).await.inspect_err(|err| {
        warn!(log, "record not recalled"; "key" => &key, "error" => %err);
    });
    let entry = entry.ok()??;
    let record = parse(&entry).inspect_err(|why| {
        warn!(log, "record not recalled"; "key" => &key, "error" => %why);
    });
    let record = record.ok()?;
    let published = Published {
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
    /// What the store holds under the lease for certain, unless it was taken away.
    written: Option<Bytes>,
    /// Renewals since the record was last read.
    renewals: u32,
}

impl Publisher<'_> {
    /// Renews the lease and writes the record if it is not there. While each call is
    /// answered, the renewal tells enough: a lease takes its record with it. After a
    /// call without an answer the record is read first.
    async fn keep(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let kept = self.renew_or_write(record).await;
        if kept.is_err() {
            self.written = None;
        }
        kept
    }

    async fn renew_or_write(&mut self, record: &GateRecord) -> Result<(), StoreError> {
        let wanted = encode(record);
        let lease = self.hold_lease().await?;
        self.renewals += 1;
        if self.written.as_ref() == Some(&wanted) && self.renewals < RENEWALS_UNREAD {
            return Ok(());
        }
        self.renewals = 0;
        let current = read(self.store, &record.key()).await?;
        if current.as_ref().is_none_or(|entry| entry.value != wanted) {
            self.put(record.key(), &wanted, current, lease).await?;
        }
        self.written = Some(wanted);
        Ok(())
    }

    /// The lease, renewed, or a new one.
    async fn hold_lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            if self.store.call(StoreRequest::Renew { lease }).await? != StoreReply::LeaseGone {
                return Ok(lease);
            }
            info!(self.log, "lease of the record ran out"; "lease" => lease.0);
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
                info!(self.log, "record written"; "key" => key, "revision" => revision);
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
