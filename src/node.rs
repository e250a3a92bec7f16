//! Common part of agents and entries: links, outbox, fleet view and store watch.
//!
//! The outbox collects messages during a batch of events and sends one frame to each peer.
//! If a frame's header shows a newer revision that the watch does not deliver in time, the
//! process requests a snapshot from the sender, so it stays up to date while the store is
//! unavailable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::fleet::{
    CONFIG_KEY, ConfigRecord, Fleet, FleetChanges, MEMBER_PREFIX, MemberRecord, PREFIX, Snapshot,
    TABLE_KEY,
};
use crate::id::MemberId;
use crate::link::{LinkEvent, Links};
use crate::load::LoadSample;
use crate::message::{Frame, Header, Message, MessageClass};
use crate::metrics::Metrics;
use crate::ownership::parse_table;
use crate::store::{Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::supervisor::StopSignal;
use crate::time::{Moment, Timer, micros};

/// Interval of [`NodeEvent::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay before a failed watch is retried.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How long the watch may take to deliver a newer revision before a snapshot is requested.
const WATCH_GRACE: Duration = Duration::from_millis(150);
/// Minimum time between two snapshot requests.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Counters of sent messages by class, and the revision of the configuration.
#[derive(Debug, Default)]
pub struct MessageCounters {
    work: AtomicU64,
    control: AtomicU64,
    void: AtomicU64,
    frames: AtomicU64,
    config_revision: AtomicU64,
}

/// Message counts of [`MessageCounters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Messages that carry work.
    pub work: u64,
    /// Messages that coordinate the fleet.
    pub control: u64,
    /// Retries and refusals.
    pub void: u64,
    /// Frames that carried the messages.
    pub frames: u64,
}

impl MessageCounters {
    fn count(&self, message: &Message) {
        let counter = match message.class() {
            MessageClass::Work => &self.work,
            MessageClass::Control => &self.control,
            MessageClass::Void => &self.void,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Revision of the current configuration.
    pub fn config_revision(&self) -> u64 {
        self.config_revision.load(Ordering::Relaxed)
    }

    /// Current values.
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
    /// Sum of `self` and `other`.
    pub fn plus(self, other: MessageCounts) -> MessageCounts {
        MessageCounts {
            work: self.work + other.work,
            control: self.control + other.control,
            void: self.void + other.void,
            frames: self.frames + other.frames,
        }
    }

    /// Difference from the earlier values `before`.
    pub fn since(self, before: MessageCounts) -> MessageCounts {
        MessageCounts {
            work: self.work - before.work,
            control: self.control - before.control,
            void: self.void - before.void,
            frames: self.frames - before.frames,
        }
    }
}

/// Common part of an agent or entry.
pub struct Node {
    /// This process.
    pub me: MemberId,
    /// Clocks and timers.
    pub timer: Timer,
    /// Streams to peers.
    pub links: Links,
    /// View of the fleet.
    pub fleet: Fleet,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Counters of sent messages.
    pub message_counters: Arc<MessageCounters>,
    outbox: HashMap<MemberId, Vec<Message>>,
    behind_since_us: Option<u64>,
    snapshot_requested_us: u64,
}

impl Node {
    /// Creates the common part of the process `me`.
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
            message_counters: Arc::default(),
            outbox: HashMap::new(),
            behind_since_us: None,
            snapshot_requested_us: 0,
        }
    }

    /// Adds a message to the outbox.
    pub fn send(&mut self, to: &MemberId, message: Message) {
        match self.outbox.get_mut(to) {
            Some(messages) => messages.push(message),
            None => {
                self.outbox.insert(to.clone(), vec![message]);
            }
        }
    }

    /// Removes this process's messages to itself from the outbox.
    pub fn take_local_messages(&mut self) -> Vec<Message> {
        self.outbox.remove(&self.me).unwrap_or_default()
    }

    /// Whether the outbox holds messages.
    pub fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Sends the outbox as one frame per peer, with the load samples from `loads`. Frames to
    /// peers without a link are dropped.
    pub fn flush(&mut self, mut loads: impl FnMut(&MemberId) -> Vec<LoadSample>) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            messages
                .iter()
                .for_each(|message| self.message_counters.count(message));
            self.message_counters.frames.fetch_add(1, Ordering::Relaxed);
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
                debug!(self.log, "frame dropped: no link to the peer"; "peer" => %to);
            }
        }
    }

    /// Requests a snapshot if a header shows newer revisions that the watch does not deliver in
    /// time.
    pub fn check_header(&mut self, now: Moment, from: &MemberId, header: &Header) {
        let is_behind = header.config > self.fleet.config_revision()
            || header.table > self.fleet.table().revision;
        if !is_behind {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now.mono_us);
        let is_overdue = now.mono_us >= since_us + micros(WATCH_GRACE);
        if is_overdue
            && now.mono_us >= self.snapshot_requested_us + micros(SNAPSHOT_REQUEST_INTERVAL)
        {
            self.snapshot_requested_us = now.mono_us;
            self.send(from, Message::SnapshotRequest);
        }
    }

    /// Requests a snapshot from a peer, unless one was requested just before.
    pub fn request_snapshot(&mut self, now: Moment, from: &MemberId) {
        if now.mono_us >= self.snapshot_requested_us + micros(SNAPSHOT_REQUEST_INTERVAL) {
            self.snapshot_requested_us = now.mono_us;
            self.send(from, Message::SnapshotRequest);
        }
    }

    /// Dials the seed peers while no configuration is known.
    pub fn dial_seeds(&self, seeds: &[SocketAddr]) {
        if self.fleet.config_revision() == 0 {
            seeds.iter().for_each(|seed| self.links.dial_seed(*seed));
        }
    }

    /// Keeps a link to each member that `wanted` accepts, and closes links to members that
    /// have left.
    pub fn dial_members(&self, wanted: impl Fn(&MemberId) -> bool) {
        let members = self.fleet.members();
        for record in members.values().filter(|record| wanted(&record.id)) {
            self.links.dial(&record.id, record.peer);
        }
        let gates = &self.fleet.table().gates;
        let known = |id: &MemberId| members.contains_key(id) || gates.contains(id);
        let dialed = self.links.dialed();
        for departed in dialed.iter().filter(|id| !known(id)) {
            self.links.remove(departed);
        }
    }

    /// Applies a peer's snapshot.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> FleetChanges {
        let changes = self.fleet.apply_snapshot(snapshot);
        self.log_and_publish_changes(changes);
        changes
    }

    /// Applies the entries read from the store at `revision`.
    pub fn apply_entries(&mut self, revision: u64, entries: &[StoreEntry]) -> FleetChanges {
        let mut changes = FleetChanges::default();
        let member_entries = entries
            .iter()
            .filter(|entry| entry.key.starts_with(MEMBER_PREFIX));
        let members: Vec<MemberRecord> = member_entries
            .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
            .collect();
        for entry in entries {
            match entry.key.as_str() {
                CONFIG_KEY => {
                    let record = serde_json::from_slice::<ConfigRecord>(&entry.value);
                    changes.config = record.is_ok_and(|record| self.fleet.apply_config(record));
                }
                TABLE_KEY => {
                    let table = parse_table(entry);
                    changes.table = table.is_some_and(|table| self.fleet.apply_table(table));
                }
                _ => {}
            }
        }
        changes.members = self.fleet.apply_members(revision, members);
        self.log_and_publish_changes(changes);
        changes
    }

    /// Logs the changes, and publishes the configuration revision in the message counters.
    fn log_and_publish_changes(&self, changes: FleetChanges) {
        if changes.config {
            let revision = self.fleet.config_revision();
            self.message_counters
                .config_revision
                .store(revision, Ordering::Relaxed);
            info!(self.log, "configuration applied"; "revision" => self.fleet.config_revision());
        }
        if changes.table {
            debug!(self.log, "range table applied"; "revision" => self.fleet.table().revision);
        }
    }
}

/// Result of a watch.
pub type WatchReply = Result<StoreReply, StoreError>;

/// Watches all store keys of winghold and sends the results to `events` until the receiver
/// is dropped.
pub async fn watch_store<E: From<WatchReply>>(
    store: Arc<dyn Store>,
    timer: Timer,
    log: Logger,
    events: UnboundedSender<E>,
) {
    let mut after = 0;
    let mut was_failed = false;
    loop {
        let request = StoreRequest::Watch {
            prefix: PREFIX.to_string(),
            after,
            wait_ms: WATCH_WAIT.as_millis() as u64,
        };
        let reply = store.call(request).await;
        let is_failed = !matches!(reply, Ok(StoreReply::Entries { .. }));
        if let Ok(StoreReply::Entries { revision, .. }) = &reply {
            after = *revision;
        }
        if is_failed != was_failed {
            was_failed = is_failed;
            warn!(log, "store availability changed"; "answers" => !is_failed);
        }
        if events.send(E::from(reply)).is_err() {
            return;
        }
        if is_failed {
            timer.sleep(WATCH_RETRY_DELAY).await;
        }
    }
}

/// Event common to agents and entries.
#[derive(Debug)]
pub enum NodeEvent {
    /// Link event.
    Link(LinkEvent),
    /// Timer tick.
    Tick,
    /// Request to stop the process.
    Stop,
}

/// Forwards link events, ticks and one stop request to `events` until the receiver is dropped.
pub async fn forward_events<E: From<NodeEvent>>(
    timer: Timer,
    mut links: UnboundedReceiver<LinkEvent>,
    stop: StopSignal,
    events: UnboundedSender<E>,
) {
    let mut ticks = timer.interval(TICK_INTERVAL);
    let stopped = stop.requested();
    tokio::pin!(stopped);
    let mut stop_sent = false;
    loop {
        let event = tokio::select! {
            Some(event) = links.recv() => NodeEvent::Link(event),
            Some(()) = ticks.recv() => NodeEvent::Tick,
            () = &mut stopped, if !stop_sent => {
                stop_sent = true;
                NodeEvent::Stop
            }
        };
        if events.send(E::from(event)).is_err() {
            return;
        }
    }
}
