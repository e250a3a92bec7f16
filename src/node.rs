//! What agents and entries have in common: links, an outbox, the view of the
//! fleet, and the watch that keeps it fresh.
//!
//! Messages collect in the outbox while a batch of events is handled and leave
//! as one frame for each peer. Who hears in a frame's header of a later
//! revision than its own, and does not get it from its watch soon, asks the
//! sender for it; so a process can join and follow while the store is down.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::fleet::{
    CONFIG_KEY, ConfigRecord, Fleet, MEMBER_PREFIX, MemberRecord, News, PREFIX, Snapshot, TABLE_KEY,
};
use crate::id::MemberId;
use crate::link::{LinkEvent, Links};
use crate::load::LoadSample;
use crate::message::{Frame, Header, Message, MessageClass};
use crate::metrics::Metrics;
use crate::ownership::parse_table;
use crate::store::{Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::supervisor::Stop;
use crate::time::{Moment, Timer, micros};

/// How often the state machines are told that time has passed.
const TICK: Duration = Duration::from_millis(20);
/// Longest wait of a watch.
const WATCH: Duration = Duration::from_secs(20);
/// Wait before a watch that failed is made again.
const WATCH_RETRY: Duration = Duration::from_millis(400);
/// Time that the watch gets to bring what a header told of.
const WATCH_LAG: Duration = Duration::from_millis(150);
/// Least time between two requests for a snapshot.
const SNAPSHOT_PACE: Duration = Duration::from_millis(500);

/// Messages sent so far, by what they were for.
#[derive(Debug, Default)]
pub struct Tally {
    work: AtomicU64,
    control: AtomicU64,
    void: AtomicU64,
    frames: AtomicU64,
    config: AtomicU64,
}

/// A reading of a [`Tally`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Moved work forward.
    pub work: u64,
    /// Kept the fleet in order.
    pub control: u64,
    /// Moved nothing forward.
    pub void: u64,
    /// Frames that carried them.
    pub frames: u64,
}

impl Tally {
    fn count(&self, message: &Message) {
        let counter = match message.class() {
            MessageClass::Work => &self.work,
            MessageClass::Control => &self.control,
            MessageClass::Void => &self.void,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Revision of the configuration in force.
    pub fn config_revision(&self) -> u64 {
        self.config.load(Ordering::Relaxed)
    }

    /// The counts now.
    pub fn read(&self) -> MessageCounts {
        MessageCounts {
            work: self.work.load(Ordering::Relaxed),
            control: self.control.load(Ordering::Relaxed),
            void: self.void.load(Ordering::Relaxed),
            frames: self.frames.load(Ordering::Relaxed),
        }
    }
}

impl MessageCounts {
    /// The sum of both.
    pub fn plus(self, other: MessageCounts) -> MessageCounts {
        MessageCounts {
            work: self.work + other.work,
            control: self.control + other.control,
            void: self.void + other.void,
            frames: self.frames + other.frames,
        }
    }

    /// What came since `before`.
    pub fn since(self, before: MessageCounts) -> MessageCounts {
        MessageCounts {
            work: self.work - before.work,
            control: self.control - before.control,
            void: self.void - before.void,
            frames: self.frames - before.frames,
        }
    }
}

/// The common part of a process.
pub struct Node {
    /// This process.
    pub me: MemberId,
    /// Clocks and timers.
    pub timer: Timer,
    /// Streams to peers.
    pub links: Links,
    /// What is known of the fleet.
    pub fleet: Fleet,
    /// Where events are logged.
    pub log: Logger,
    /// Where counts go.
    pub metrics: Metrics,
    /// Messages sent so far.
    pub tally: Arc<Tally>,
    outbox: HashMap<MemberId, Vec<Message>>,
    behind_since_us: Option<u64>,
    asked_us: u64,
}

impl Node {
    /// The common part of the process `me`.
    pub fn new(
        me: MemberId,
        timer: Timer,
        links: Links,
        fleet: Fleet,
        log: Logger,
        metrics: Metrics,
    ) -> Node {
        Node {
            me,
            timer,
            links,
            fleet,
            log,
            metrics,
            tally: Arc::default(),
            outbox: HashMap::new(),
            behind_since_us: None,
            asked_us: 0,
        }
    }

    /// Puts a message into the outbox.
    pub fn send(&mut self, to: &MemberId, message: Message) {
        match self.outbox.get_mut(to) {
            Some(messages) => messages.push(message),
            None => {
                self.outbox.insert(to.clone(), vec![message]);
            }
        }
    }

    /// Takes the messages that this process sent to itself.
    pub fn take_own(&mut self) -> Vec<Message> {
        self.outbox.remove(&self.me).unwrap_or_default()
    }

    /// Whether messages wait in the outbox.
    pub fn has_mail(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Sends the outbox, one frame for each peer; `loads` gives the samples
    /// for a peer. What cannot be sent is dropped.
    pub fn flush(&mut self, mut loads: impl FnMut(&MemberId) -> Vec<LoadSample>) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            messages
                .iter()
                .for_each(|message| self.tally.count(message));
            self.tally.frames.fetch_add(1, Ordering::Relaxed);
            let header = Header {
                config: self.fleet.config_revision(),
                table: self.fleet.table().revision,
                wall_ms: self.timer.now().wall_ms,
                loads: loads(&to),
            };
            let frame = Frame {
                from: self.me.clone(),
                header,
                messages,
            };
            if !self.links.send(&to, frame) {
                debug!(self.log, "frame dropped"; "peer" => %to);
            }
        }
    }

    /// Asks for what a header shows to be newer, if the watch does not bring it.
    pub fn take_header(&mut self, now: Moment, from: &MemberId, header: &Header) {
        let behind = header.config > self.fleet.config_revision()
            || header.table > self.fleet.table().revision;
        if !behind {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now.mono_us);
        let lagging = now.mono_us >= since_us + micros(WATCH_LAG);
        if lagging && now.mono_us >= self.asked_us + micros(SNAPSHOT_PACE) {
            self.asked_us = now.mono_us;
            self.send(from, Message::SnapshotRequest);
        }
    }

    /// Asks a peer for what it knows, unless one was asked just now.
    pub fn ask_snapshot(&mut self, now: Moment, from: &MemberId) {
        if now.mono_us >= self.asked_us + micros(SNAPSHOT_PACE) {
            self.asked_us = now.mono_us;
            self.send(from, Message::SnapshotRequest);
        }
    }

    /// Turns to the peers from the settings while nothing is known.
    pub fn dial_seeds(&self, seeds: &[SocketAddr]) {
        if self.fleet.config_revision() == 0 {
            seeds.iter().for_each(|seed| self.links.dial_seed(*seed));
        }
    }

    /// Keeps a stream to each member that `wanted` names, and none to those
    /// that are gone.
    pub fn dial_members(&self, wanted: impl Fn(&MemberId) -> bool) {
        let members = self.fleet.members();
        for record in members.values().filter(|record| wanted(&record.id)) {
            self.links.dial(&record.id, record.peer);
        }
        let gates = &self.fleet.table().gates;
        let known = |id: &MemberId| members.contains_key(id) || gates.contains(id);
        let dialed = self.links.dialed();
        for gone in dialed.iter().filter(|id| !known(id)) {
            self.links.forget(gone);
        }
    }

    /// Takes a peer's snapshot.
    pub fn take_snapshot(&mut self, snapshot: Snapshot) -> News {
        let news = self.fleet.take_snapshot(snapshot);
        self.note_news(news);
        news
    }

    /// Takes what the store holds.
    pub fn take_entries(&mut self, revision: u64, entries: &[StoreEntry]) -> News {
        let mut news = News::default();
        let members = entries
            .iter()
            .filter(|entry| entry.key.starts_with(MEMBER_PREFIX));
        let members: Vec<MemberRecord> = members
            .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
            .collect();
        for entry in entries {
            match entry.key.as_str() {
                CONFIG_KEY => {
                    let record = serde_json::from_slice::<ConfigRecord>(&entry.value);
                    news.config = record.is_ok_and(|record| self.fleet.take_config(record));
                }
                TABLE_KEY => {
                    let table = parse_table(entry);
                    news.table = table.is_some_and(|table| self.fleet.take_table(table));
                }
                _ => {}
            }
        }
        news.members = self.fleet.take_members(revision, members);
        self.note_news(news);
        news
    }

    fn note_news(&self, news: News) {
        if news.config {
            let revision = self.fleet.config_revision();
            self.tally.config.store(revision, Ordering::Relaxed);
            info!(self.log, "configuration in force"; "revision" => self.fleet.config_revision());
        }
        if news.table {
            debug!(self.log, "table"; "revision" => self.fleet.table().revision);
        }
    }
}

/// What a watch brings.
pub type WatchReply = Result<StoreReply, StoreError>;

/// Watches everything of winghold in the store and tells `events`, until
/// nobody listens any more.
pub async fn watch_store<E: From<WatchReply>>(
    store: Arc<dyn Store>,
    timer: Timer,
    log: Logger,
    events: UnboundedSender<E>,
) {
    let mut after = 0;
    let mut failed = false;
    loop {
        let request = StoreRequest::Watch {
            prefix: PREFIX.to_string(),
            after,
            wait_ms: WATCH.as_millis() as u64,
        };
        let reply = store.call(request).await;
        let lost = !matches!(reply, Ok(StoreReply::Entries { .. }));
        if let Ok(StoreReply::Entries { revision, .. }) = &reply {
            after = *revision;
        }
        if lost != failed {
            failed = lost;
            warn!(log, "store"; "answers" => !lost);
        }
        if events.send(E::from(reply)).is_err() {
            return;
        }
        if lost {
            timer.sleep(WATCH_RETRY).await;
        }
    }
}

/// What a loop is told besides its own events.
#[derive(Debug)]
pub enum Stimulus {
    /// Something happened on a link.
    Link(LinkEvent),
    /// Time has passed.
    Tick,
    /// The process should stop.
    Stop,
}

/// Tells a loop of links, of time and, once, of the stop, until nobody listens.
pub async fn feed<E: From<Stimulus>>(
    timer: Timer,
    mut links: UnboundedReceiver<LinkEvent>,
    stop: Stop,
    events: UnboundedSender<E>,
) {
    let mut ticks = timer.every(TICK);
    let stopped = stop.asked();
    tokio::pin!(stopped);
    let mut told = false;
    loop {
        let stimulus = tokio::select! {
            Some(event) = links.recv() => Stimulus::Link(event),
            Some(()) = ticks.recv() => Stimulus::Tick,
            () = &mut stopped, if !told => {
                told = true;
                Stimulus::Stop
            }
        };
        if events.send(E::from(stimulus)).is_err() {
            return;
        }
    }
}
