//! Following keys of the store: read once, then watched for changes.
//!
//! A change costs its own bytes, not those of all keys under the prefix: with 70
//! records of gates, or a configuration of 2,845 routes, the rest is most of what a
//! narrow link would carry. Everything is read anew only where the store has
//! forgotten what changed or a watch fails, and now and then what leases hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::task::JoinSet;

use crate::ephemeral::backoff::Backoff;
use crate::metrics::Metrics;
use crate::store::{Store, StoreChange, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, Timer};

/// Wait of a watch for a change. A store that falls silent may leave it without an
/// answer; with the time limit of the call it is begun anew 2.1 s after the store's
/// return at the latest, because 3 s after it the configuration in force must be
/// the newest one (the platform's `contact_ms`; `config_ms` does not add to it).
pub const WATCH: Duration = Duration::from_millis(1_500);

/// Age of a whole read after which keys under leases are read anew: they may be taken
/// away without any watch being told, and a gate that is gone would be dialed for good.
/// 70 records of 400 bytes in this time are 1.4 kB a second.
const REREAD: Duration = Duration::from_secs(20);
/// Least time between two watches of keys under leases: when a fleet starts, its gates
/// write their records within 2 s, and each record would wake every entry (480 records
/// and 55 entries: 26,000 calls). What changes meanwhile comes with the next answer; a
/// gate that is new is used so much later.
const GATHER: Duration = Duration::from_millis(250);
/// Most reads under way at a time. Two answers may be lost without delay, and a read
/// that lasts keeps a third of a narrow link: a megabyte (0.45 s on 25 Mbit/s by
/// itself) is read in 1.35 s at most, and in no bounded time without this limit.
const MOST_READS: usize = 3;

/// Times the last whole read after which a read is repeated beside the first.
const USUAL_READS: u32 = 2;

/// Notes once when a dependency is lost, and once when it is back.
pub(super) struct Reachable {
    what: &'static str,
    log: Logger,
    up: bool,
}

impl Reachable {
    /// A dependency that is taken as there; `what` names what it is needed for.
    pub(super) fn new(what: &'static str, log: Logger) -> Reachable {
        let up = true;
        Reachable { what, log, up }
    }

    pub(super) fn note<T>(&mut self, result: &Result<T, StoreError>) {
        let up = result.is_ok();
        if up == self.up {
            return;
        }
        self.up = up;
        match result {
            Ok(_) => info!(self.log, "store regained"; "for" => self.what),
            Err(err) => warn!(self.log, "store lost"; "for" => self.what, "error" => %err),
        }
    }
}

/// What is known of the keys under a prefix.
struct Known {
    revision: u64,
    entries: BTreeMap<String, StoreEntry>,
}

impl Known {
    fn new(revision: u64, entries: Vec<StoreEntry>) -> Known {
        let entries = entries.into_iter().map(|entry| (entry.key.clone(), entry));
        let entries = entries.collect();
        Known { revision, entries }
    }

    /// What is told of it after `changes`, or after everything was read.
    fn news<'a>(&'a self, changes: Option<&'a [StoreChange]>) -> News<'a> {
        News {
            entries: &self.entries,
            changes,
        }
    }

    /// Takes in what was read anew; tells whether it may be news.
    fn replace(&mut self, revision: u64, entries: Vec<StoreEntry>) -> bool {
        let news = revision != self.revision;
        *self = Known::new(revision, entries);
        news
    }

    /// Takes in changes; tells whether there were any.
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

/// What is told of followed keys.
#[derive(Clone, Copy, Debug)]
pub struct News<'a> {
    /// All entries as they are now.
    pub entries: &'a BTreeMap<String, StoreEntry>,
    /// What has changed since the last time; none if everything was read anew.
    pub changes: Option<&'a [StoreChange]>,
}

/// Why watching ended.
enum WatchEnd {
    /// Whoever was told of changes is gone.
    NobodyListens,
    /// A watch failed; `heard` tells whether one before it was answered.
    Failed { heard: bool },
}

/// Keys that are followed.
#[derive(Clone, Copy, Debug)]
pub struct Keys<'a> {
    /// What they begin with.
    pub prefix: &'a str,
    /// Their name in logs and figures.
    pub what: &'static str,
    /// Whether leases hold them, so that they may vanish unheard.
    pub leased: bool,
    /// Longest wait of a watch for a change.
    pub wait: Duration,
}

/// Follows keys of the store.
#[derive(Clone)]
pub struct Follower {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Timer service.
    pub timer: Timer,
    /// Where the times of reads go.
    pub metrics: Metrics,
    /// Where events are logged.
    pub log: Logger,
}

impl Follower {
    /// The entries under a prefix, read once, for as long as it takes; `what` names them in
    /// logs and figures.
    pub async fn read(&self, prefix: &str, what: &'static str) -> Vec<StoreEntry> {
        let mut reachable = Reachable::new(what, self.log.clone());
        let (known, _) = self.read_anew(prefix, Duration::ZERO, &mut reachable).await;
        known.entries.into_values().collect()
    }

    /// Tells the entries of `keys`, anew whenever one of them changes, until `tell`
    /// says that nobody listens.
    pub async fn follow(&self, keys: &Keys<'_>, mut tell: impl FnMut(Vec<StoreEntry>) -> bool) {
        let tell_all = |news: News<'_>| tell(news.entries.values().cloned().collect());
        self.follow_changes(keys, tell_all).await;
    }

    /// The same for whoever need not look at all entries again at each change.
    pub async fn follow_changes(&self, keys: &Keys<'_>, mut tell: impl FnMut(News<'_>) -> bool) {
        let Keys { prefix, what, .. } = *keys;
        let mut reachable = Reachable::new(what, self.log.clone());
        let mut backoff = Backoff::default();
        let mut usual = Duration::ZERO;
        let mut told = None;
        loop {
            let (mut known, took) = self.read_anew(prefix, usual, &mut reachable).await;
            usual = took;
            if told.as_ref() != Some(&known.entries) && !tell(known.news(None)) {
                return;
            }
            let watching = self.watch_all(keys, &mut known, &mut reachable, &mut tell);
            let ended = match keys.leased {
                true => self.timer.within(REREAD, watching).await,
                false => Some(watching.await),
            };
            match ended {
                Some(WatchEnd::NobodyListens) => return,
                Some(WatchEnd::Failed { heard: true }) | None => backoff = Backoff::default(),
                Some(WatchEnd::Failed { heard: false }) => backoff.grow(),
            }
            told = Some(known.entries);
            self.timer.sleep(backoff.pause()).await;
        }
    }

    /// Watches on and on, and tells the entries at each change.
    async fn watch_all(
        &self,
        keys: &Keys<'_>,
        known: &mut Known,
        reachable: &mut Reachable,
        tell: &mut impl FnMut(News<'_>) -> bool,
    ) -> WatchEnd {
        let mut heard = false;
        loop {
            let asked = self.timer.now();
            let listened = match self.watch(keys, known.revision, reachable).await {
                Ok(StoreReply::Changes { revision, changes }) => {
                    let changed = known.apply(revision, &changes);
                    !changed || tell(known.news(Some(&changes)))
                }
                Ok(StoreReply::Entries { revision, entries }) => {
                    debug!(self.log, "watch brought everything"; "for" => reachable.what,
                        "after" => known.revision, "revision" => revision);
                    let changed = known.replace(revision, entries);
                    !changed || tell(known.news(None))
                }
                reply => {
                    debug!(self.log, "watch begins anew"; "for" => reachable.what, "reply" => ?reply);
                    return WatchEnd::Failed { heard };
                }
            };
            heard = true;
            if !listened {
                return WatchEnd::NobodyListens;
            }
            if keys.leased {
                let next_us = asked.after(GATHER);
                self.timer.sleep(self.timer.now().left(next_us)).await;
            }
        }
    }

    async fn watch(
        &self,
        keys: &Keys<'_>,
        after: u64,
        reachable: &mut Reachable,
    ) -> Result<StoreReply, StoreError> {
        let watch = StoreRequest::Watch {
            prefix: keys.prefix.to_string(),
            after,
            wait_ms: keys.wait.as_millis() as u64,
        };
        let reply = self.store.call(watch).await;
        reachable.note(&reply);
        if reply.is_err() {
            let name = format!("store_unanswered.{}", reachable.what);
            self.metrics.count(&name, 1);
        }
        reply
    }

    /// Reads the entries under a prefix, for as long as it takes; returns them and how
    /// long the read took that brought them.
    ///
    /// A call that has no answer yet does not hold up the next one: the first call
    /// of a process often meets the store's return from an outage, and an answer
    /// that is lost costs its whole time limit. Reads that usually last are repeated
    /// later: what takes 0.2 s would else be read three times over.
    async fn read_anew(
        &self,
        prefix: &str,
        usual: Duration,
        reachable: &mut Reachable,
    ) -> (Known, Duration) {
        let mut calls = JoinSet::new();
        let mut backoff = Backoff::from(usual * USUAL_READS);
        loop {
            if calls.len() < MOST_READS {
                let (store, prefix) = (self.store.clone(), prefix.to_string());
                let asked = self.timer.now();
                calls.spawn(async move { (asked, store.call(StoreRequest::Get { prefix }).await) });
            }
            let pause = self.timer.sleep(backoff.pause());
            tokio::pin!(pause);
            loop {
                let (asked, reply) = tokio::select! {
                    Some(Ok(answered)) = calls.join_next() => answered,
                    () = &mut pause => break,
                };
                reachable.note(&reply);
                let took = self.note_read(reachable.what, asked, &reply);
                if let Ok(StoreReply::Entries { revision, entries }) = reply {
                    debug!(self.log, "everything read"; "for" => reachable.what,
                        "entries" => entries.len(), "revision" => revision,
                        "took_us" => took.as_micros() as u64);
                    return (Known::new(revision, entries), took);
                }
            }
            backoff.grow();
        }
    }

    /// Counts a read; returns how long it took.
    fn note_read(
        &self,
        what: &'static str,
        asked: Moment,
        reply: &Result<StoreReply, StoreError>,
    ) -> Duration {
        let took = Duration::from_micros(self.timer.now().mono_us - asked.mono_us);
        match reply {
            Ok(_) => {
                let name = format!("store_read_ms.{what}");
                self.metrics.time(&name, took.as_millis() as u64);
            }
            Err(_) => self.metrics.count(&format!("store_unanswered.{what}"), 1),
        }
        took
    }
}
