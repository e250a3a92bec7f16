//! Following keys of the store: read once, then watched for changes.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::task::JoinSet;

use crate::ephemeral::backoff::Backoff;
use crate::metrics::Metrics;
use crate::store::{Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, Timer};

/// Wait of a watch for a change. A store that falls silent may leave it without an
/// answer; with the time limit of the call it is begun anew 2.1 s after the store's
/// return at the latest, because 3 s after it the configuration in force must be
/// the newest one (the platform's `contact_ms`; `config_ms` does not add to it).
const WATCH: Duration = Duration::from_millis(1_500);

/// Most reads under way at a time. Two answers may be lost without delay, and a read
/// that lasts keeps a third of a narrow link: a megabyte (0.45 s on 25 Mbit/s by
/// itself) is read in 1.35 s at most, and in no bounded time without this limit.
const MOST_READS: usize = 3;

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
    /// Tells the entries under a prefix, anew whenever one of them changes, until
    /// `tell` says that nobody listens; `what` names them in the log.
    pub async fn follow(
        &self,
        prefix: &str,
        what: &'static str,
        tell: impl Fn(Vec<StoreEntry>) -> bool,
    ) {
        let mut reachable = Reachable::new(what, self.log.clone());
        let mut backoff = Backoff::default();
        loop {
            let (mut known, entries) = self.read_anew(prefix, &mut reachable).await;
            if !tell(entries) {
                return;
            }
            loop {
                let watch = StoreRequest::Watch {
                    prefix: prefix.to_string(),
                    after: known,
                    wait_ms: WATCH.as_millis() as u64,
                };
                let reply = self.store.call(watch).await;
                reachable.note(&reply);
                if reply.is_err() {
                    self.metrics.count(&format!("store_unanswered.{what}"), 1);
                }
                let Ok(StoreReply::Entries { revision, entries }) = reply else {
                    debug!(self.log, "watch begins anew"; "for" => what, "reply" => ?reply);
                    break;
                };
                backoff = Backoff::default();
                if revision != known && !tell(entries) {
                    return;
                }
                known = revision;
            }
            self.timer.sleep(backoff.pause()).await;
            backoff.grow();
        }
    }

    /// Reads the entries under a prefix, for as long as it takes.
    ///
    /// A call that has no answer yet does not hold up the next one: the first call
    /// of a process often meets the store's return from an outage, and an answer
    /// that is lost costs its whole time limit.
    async fn read_anew(&self, prefix: &str, reachable: &mut Reachable) -> (u64, Vec<StoreEntry>) {
        let mut calls = JoinSet::new();
        let mut backoff = Backoff::default();
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
                self.note_read(reachable.what, asked, &reply);
                if let Ok(StoreReply::Entries { revision, entries }) = reply {
                    return (revision, entries);
                }
            }
            backoff.grow();
        }
    }

    fn note_read(&self, what: &'static str, asked: Moment, reply: &Result<StoreReply, StoreError>) {
        if reply.is_err() {
            self.metrics.count(&format!("store_unanswered.{what}"), 1);
            return;
        }
        let took_us = self.timer.now().mono_us - asked.mono_us;
        self.metrics
            .time(&format!("store_read_ms.{what}"), took_us / 1_000);
    }
}
