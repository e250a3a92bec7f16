//! Follows keys of the store: reads them once, then watches for changes.
//!
//! Watches return only the changed entries. All entries are read again if a watch fails or the
//! store no longer has the changes, and periodically for keys under leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::task::JoinSet;

use crate::ephemeral::backoff::Backoff;
use crate::metrics::Metrics;
use crate::store::{Store, StoreChange, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, Timer};

/// Longest wait of a watch for a change. A store that stops answering may leave a watch open, so
/// this bounds the delay of updates after its recovery. Together with the timeout of the call it
/// stays below the 3 s after a recovery in which the configuration must be current again.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of full reads of keys under leases, which may be removed without an event on the
/// watch.
const REREAD_INTERVAL: Duration = Duration::from_secs(20);
/// Shortest interval between two watches of keys under leases; batches the changes while a
/// fleet starts.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of concurrent reads. More would share the bandwidth of a slow link so that
/// none completes in bounded time.
const MAX_CONCURRENT_READS: usize = 3;

/// Multiple of the last read time after which a read is repeated in parallel.
const HEDGE_DELAY_FACTOR: u32 = 2;

/// Logs when the store becomes unreachable and when it is reachable again.
pub(super) struct StoreAvailability {
    label: &'static str,
    log: Logger,
    available: bool,
}

impl StoreAvailability {
    /// Assumes that the store is reachable; `label` names the data it is needed for.
    pub(super) fn new(label: &'static str, log: Logger) -> StoreAvailability {
        let available = true;
        StoreAvailability {
            label,
            log,
            available,
        }
    }

    pub(super) fn record<T>(&mut self, result: &Result<T, StoreError>) {
        let available = result.is_ok();
        if available == self.available {
            return;
        }
        self.available = available;
        match result {
            Ok(_) => info!(self.log, "store is reachable again"; "for" => self.label),
            Err(err) => {
                warn!(self.log, "store is unreachable"; "for" => self.label, "error" => %err)
            }
        }
    }
}

/// Entries under a prefix at one revision.
struct KeySnapshot {
    revision: u64,
    entries: BTreeMap<String, StoreEntry>,
}

impl KeySnapshot {
    fn new(revision: u64, entries: Vec<StoreEntry>) -> KeySnapshot {
        let entries = entries.into_iter().map(|entry| (entry.key.clone(), entry));
        let entries = entries.collect();
        KeySnapshot { revision, entries }
    }

    /// The update to deliver after `changes`, or after a full read if `None`.
    fn update<'a>(&'a self, changes: Option<&'a [StoreChange]>) -> KeyUpdate<'a> {
        KeyUpdate {
            entries: &self.entries,
            changes,
        }
    }

    /// Replaces all entries; returns whether the revision differs.
    fn replace(&mut self, revision: u64, entries: Vec<StoreEntry>) -> bool {
        let changed = revision != self.revision;
        *self = KeySnapshot::new(revision, entries);
        changed
    }

    /// Applies changes; returns whether there were any.
    fn apply(&mut self, revision: u64, changes: &[StoreChange]) -> bool {
        for change in changes {
            match change {
                StoreChange::Written(entry) => {
                    self.entries.insert(entry.key.clone(), entry.clone());
                }
                StoreChange::Removed { key } => {
                    self.entries.remove(key);
                }
            }
        }
        self.revision = revision;
        !changes.is_empty()
    }
}

/// Update of the followed keys.
#[derive(Clone, Copy, Debug)]
pub struct KeyUpdate<'a> {
    /// All current entries.
    pub entries: &'a BTreeMap<String, StoreEntry>,
    /// Changes since the last update; `None` if all entries were read again.
    pub changes: Option<&'a [StoreChange]>,
}

/// Why watching ended.
enum WatchEnd {
    /// The receiver of updates is gone.
    ReceiverGone,
    /// A watch failed; `answered` is set if an earlier one was answered.
    Failed { answered: bool },
}

/// Keys to follow.
#[derive(Clone, Copy, Debug)]
pub struct WatchedKeys<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// Name in logs and metrics.
    pub label: &'static str,
    /// Whether the keys are under leases, so that they may be removed without an event.
    pub leased: bool,
    /// Longest wait of a watch for a change.
    pub max_wait: Duration,
}

/// Follows keys of the store.
#[derive(Clone)]
pub struct Follower {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Clock and timers.
    pub timer: Timer,
    /// Sink for read times.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

impl Follower {
    /// Reads the entries under a prefix, retrying until the store answers; `label` names them
    /// in logs and metrics.
    pub async fn read(&self, prefix: &str, label: &'static str) -> Vec<StoreEntry> {
        let mut availability = StoreAvailability::new(label, self.log.clone());
        let (snapshot, _) = self
            .read_until_answered(prefix, Duration::ZERO, &mut availability)
            .await;
        snapshot.entries.into_values().collect()
    }

    /// Passes all entries of `keys` to `deliver`, first and at each change, until it returns
    /// `false`.
    pub async fn follow(
        &self,
        keys: &WatchedKeys<'_>,
        mut deliver: impl FnMut(Vec<StoreEntry>) -> bool,
    ) {
        let on_update = |update: KeyUpdate<'_>| deliver(update.entries.values().cloned().collect());
        self.follow_changes(keys, on_update).await;
    }

    /// Like [`Follower::follow`], but also passes the changes.
    pub async fn follow_changes(
        &self,
        keys: &WatchedKeys<'_>,
        mut deliver: impl FnMut(KeyUpdate<'_>) -> bool,
    ) {
        let WatchedKeys { prefix, label, .. } = *keys;
        let mut availability = StoreAvailability::new(label, self.log.clone());
        let mut backoff = Backoff::default();
        let mut last_read_time = Duration::ZERO;
        let mut delivered = None;
        loop {
            let (mut snapshot, took) = self
                .read_until_answered(prefix, last_read_time, &mut availability)
                .await;
            last_read_time = took;
            if delivered.as_ref() != Some(&snapshot.entries) && !deliver(snapshot.update(None)) {
                return;
            }
            let watching =
                self.watch_until_failure(keys, &mut snapshot, &mut availability, &mut deliver);
            let ended = match keys.leased {
                true => self.timer.timeout(REREAD_INTERVAL, watching).await,
                false => Some(watching.await),
            };
            match ended {
                Some(WatchEnd::ReceiverGone) => return,
                Some(WatchEnd::Failed { answered: true }) | None => backoff = Backoff::default(),
                Some(WatchEnd::Failed { answered: false }) => backoff.grow(),
            }
            delivered = Some(snapshot.entries);
            self.timer.sleep(backoff.pause()).await;
        }
    }

    /// Watches repeatedly and delivers each change, until a watch fails.
    async fn watch_until_failure(
        &self,
        keys: &WatchedKeys<'_>,
        snapshot: &mut KeySnapshot,
        availability: &mut StoreAvailability,
        deliver: &mut impl FnMut(KeyUpdate<'_>) -> bool,
    ) -> WatchEnd {
        let mut answered = false;
        loop {
            let started = self.timer.now();
            let accepted = match self.watch(keys, snapshot.revision, availability).await {
                Ok(StoreReply::Changes { revision, changes }) => {
                    let changed = snapshot.apply(revision, &changes);
                    !changed || deliver(snapshot.update(Some(&changes)))
                }
                Ok(StoreReply::Entries { revision, entries }) => {
                    debug!(self.log, "watch returned all entries"; "for" => availability.label,
                        "after" => snapshot.revision, "revision" => revision);
                    let changed = snapshot.replace(revision, entries);
                    !changed || deliver(snapshot.update(None))
                }
                reply => {
                    debug!(self.log, "watch failed; reading all entries again";
                        "for" => availability.label, "reply" => ?reply);
                    return WatchEnd::Failed { answered };
                }
            };
            answered = true;
            if !accepted {
                return WatchEnd::ReceiverGone;
            }
            if keys.leased {
                let next_us = started.after(MIN_WATCH_INTERVAL);
                self.timer.sleep(self.timer.now().remaining(next_us)).await;
            }
        }
    }

    async fn watch(
        &self,
        keys: &WatchedKeys<'_>,
        after: u64,
        availability: &mut StoreAvailability,
    ) -> Result<StoreReply, StoreError> {
        let watch = StoreRequest::Watch {
            prefix: keys.prefix.to_string(),
            after,
            wait_ms: keys.max_wait.as_millis() as u64,
        };
        let reply = self.store.call(watch).await;
        availability.record(&reply);
        if reply.is_err() {
            let name = format!("store_unanswered.{}", availability.label);
            self.metrics.count(&name, 1);
        }
        reply
    }

    /// Reads the entries under a prefix, retrying until the store answers; returns them and the
    /// duration of the successful read.
    ///
    /// Further reads start while earlier ones are pending, because a lost answer costs a whole
    /// call timeout. Their delay grows with `last_read_time`, so that slow reads are not repeated
    /// needlessly.
    async fn read_until_answered(
        &self,
        prefix: &str,
        last_read_time: Duration,
        availability: &mut StoreAvailability,
    ) -> (KeySnapshot, Duration) {
        let mut calls = JoinSet::new();
        let mut backoff = Backoff::from(last_read_time * HEDGE_DELAY_FACTOR);
        loop {
            if calls.len() < MAX_CONCURRENT_READS {
                let (store, prefix) = (self.store.clone(), prefix.to_string());
                let started = self.timer.now();
                calls.spawn(
                    async move { (started, store.call(StoreRequest::Get { prefix }).await) },
                );
            }
            let pause = self.timer.sleep(backoff.pause());
            tokio::pin!(pause);
            loop {
                let (started, reply) = tokio::select! {
                    Some(Ok(answered)) = calls.join_next() => answered,
                    () = &mut pause => break,
                };
                availability.record(&reply);
                let took = self.record_read(availability.label, started, &reply);
                if let Ok(StoreReply::Entries { revision, entries }) = reply {
                    debug!(self.log, "all entries read"; "for" => availability.label,
                        "entries" => entries.len(), "revision" => revision,
                        "took_us" => took.as_micros() as u64);
                    return (KeySnapshot::new(revision, entries), took);
                }
            }
            backoff.grow();
        }
    }

    /// Records the metrics of a read; returns its duration.
    fn record_read(
        &self,
        label: &'static str,
        started: Moment,
        reply: &Result<StoreReply, StoreError>,
    ) -> Duration {
        let took = Duration::from_micros(self.timer.now().mono_us - started.mono_us);
        match reply {
            Ok(_) => {
                let name = format!("store_read_ms.{label}");
                self.metrics.time(&name, took.as_millis() as u64);
            }
            Err(_) => self.metrics.count(&format!("store_unanswered.{label}"), 1),
        }
        took
    }
}
