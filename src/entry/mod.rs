//! Entry: accepts HTTP calls of callers and operators and forwards them to owners.
//!
//! An entry stores no submissions, only a view of the fleet and the pending requests. One
//! loop runs the router; HTTP handlers send it events through a [`Handle`].

mod http;
mod operator;
mod parse;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};

use crate::config::Config;
use crate::error::Result;
use crate::fleet::{Fleet, FleetChanges};
use crate::id::{MemberId, SubmissionId};
use crate::link::{LinkDelay, LinkEvent, Links, NoDelay};
use crate::load::LoadTable;
use crate::message::{Answer, Message, Operation, Submission};
use crate::metrics::Metrics;
use crate::node::{MessageCounters, Node, NodeEvent, WatchReply, forward_events, watch_store};
use crate::router::{Router, RouterAction};
use crate::settings::EntrySettings;
use crate::store::{Store, StoreReply};
use crate::supervisor::{StopSignal, Stopper, Supervisor};
use crate::time::{Moment, Timer};

/// Maximum number of events handled before frames are sent.
const MAX_BATCH_EVENTS: usize = 512;
/// Time to keep listening after a stop request, until the load balancer stops sending calls.
const LISTEN_AFTER_STOP: Duration = Duration::from_millis(1_000);
/// Delay at the end of a stop, to send the last answers.
const FINAL_ANSWERS_DELAY: Duration = Duration::from_millis(200);

/// Parameters of an entry.
pub struct EntryParts {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Clocks and timers.
    pub timer: Timer,
    /// Logger.
    pub log: Logger,
    /// Metrics sink.
    pub metrics: Metrics,
    /// Artificial delay of links to peers.
    pub link_delay: Arc<dyn LinkDelay>,
}

impl EntryParts {
    /// Parameters without metrics and link delay.
    pub fn new(
        settings: EntrySettings,
        store: Arc<dyn Store>,
        timer: Timer,
        log: Logger,
    ) -> EntryParts {
        EntryParts {
            settings,
            store,
            timer,
            log,
            metrics: Metrics::none(),
            link_delay: Arc::new(NoDelay),
        }
    }
}

/// State of the fleet that HTTP handlers read.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub config: Arc<Config>,
    pub revision: u64,
    /// Whether the range table lists owners.
    pub has_owners: bool,
    pub stopping: bool,
}

/// Request from an HTTP handler that the loop forwards to an owner.
pub(crate) struct OwnerRequest {
    pub operation: Operation,
    pub submission: Submission,
    pub fresh: bool,
    /// Receives the answer; `None` if no caller waits.
    pub reply: Option<oneshot::Sender<Answer>>,
}

/// Request for the rows of an operator's table.
pub(crate) struct RowsQuery {
    pub table: String,
    pub about: Option<SubmissionId>,
    pub reply: oneshot::Sender<Vec<Bytes>>,
}

enum Event {
    Link(LinkEvent),
    Watch(WatchReply),
    Request(Box<OwnerRequest>),
    Rows(RowsQuery),
    Tick,
    Stop,
}

impl From<NodeEvent> for Event {
    fn from(event: NodeEvent) -> Event {
        match event {
            NodeEvent::Link(event) => Event::Link(event),
            NodeEvent::Tick => Event::Tick,
            NodeEvent::Stop => Event::Stop,
        }
    }
}

impl From<WatchReply> for Event {
    fn from(reply: WatchReply) -> Event {
        Event::Watch(reply)
    }
}

/// Connects HTTP handlers to the loop.
#[derive(Clone)]
pub(crate) struct Handle {
    pub timer: Timer,
    pub store: Arc<dyn Store>,
    pub view: watch::Receiver<View>,
    pub log: Logger,
    tx: UnboundedSender<Event>,
}

impl Handle {
    /// Sends a request and waits for the answer.
    pub async fn call(
        &self,
        operation: Operation,
        submission: Submission,
        fresh: bool,
    ) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        let reply = Some(tx);
        let request = OwnerRequest {
            operation,
            submission,
            fresh,
            reply,
        };
        let _ = self.tx.send(Event::Request(Box::new(request)));
        rx.await.ok()
    }

    /// Sends a request without waiting for the answer.
    pub fn send(&self, operation: Operation, submission: Submission, fresh: bool) {
        let reply = None;
        let request = OwnerRequest {
            operation,
            submission,
            fresh,
            reply,
        };
        let _ = self.tx.send(Event::Request(Box::new(request)));
    }

    /// Collects the rows of an operator's table from all members.
    pub async fn rows(&self, table: &str, about: Option<SubmissionId>) -> Vec<Bytes> {
        let (tx, rx) = oneshot::channel();
        let query = RowsQuery {
            table: table.to_string(),
            about,
            reply: tx,
        };
        let _ = self.tx.send(Event::Rows(query));
        rx.await.unwrap_or_default()
    }

    /// Current state of the fleet.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }
}

struct PendingRows {
    missing: usize,
    rows: Vec<Bytes>,
    until_us: u64,
    reply: oneshot::Sender<Vec<Bytes>>,
}

/// Maximum wait for the members' rows.
const ROWS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Entry with bound ports, ready to run.
pub struct Entry {
    core: Core,
    handle: Handle,
    peer_listener: TcpListener,
    http_listener: TcpListener,
    link_events: UnboundedReceiver<LinkEvent>,
    events: UnboundedReceiver<Event>,
    http_addr: SocketAddr,
    peer_addr: SocketAddr,
}

struct Core {
    node: Node,
    router: Router,
    loads: LoadTable,
    settings: EntrySettings,
    view: watch::Sender<View>,
    callers: HashMap<u64, oneshot::Sender<Answer>>,
    last_number: u64,
    rows: HashMap<u64, PendingRows>,
    stopping: bool,
}

impl Entry {
    /// Binds the ports.
    pub async fn bind(parts: EntryParts) -> Result<Entry> {
        let settings = parts.settings;
        let peer_listener = TcpListener::bind(settings.process.peer_listen).await?;
        let http_listener = TcpListener::bind(settings.http_listen).await?;
        let (peer_addr, http_addr) = (peer_listener.local_addr()?, http_listener.local_addr()?);
        let me = MemberId::new(&settings.process.name, rand::random());
        let (link_tx, link_events) = unbounded_channel();
        let links = Links::new(me.clone(), parts.timer.clone(), parts.link_delay, link_tx);
        let fleet = Fleet::new(Config::empty());
        let (view, view_rx) = watch::channel(View {
            config: fleet.config().clone(),
            revision: 0,
            has_owners: false,
            stopping: false,
        });
        let (tx, events) = unbounded_channel();
        let handle = Handle {
            timer: parts.timer.clone(),
            store: parts.store,
            view: view_rx,
            log: parts.log.clone(),
            tx,
        };
        let core = Core {
            node: Node::new(me, parts.timer, links, fleet, parts.log, parts.metrics),
            router: Router::default(),
            loads: LoadTable::default(),
            settings,
            view,
            callers: HashMap::new(),
            last_number: 0,
            rows: HashMap::new(),
            stopping: false,
        };
        Ok(Entry {
            core,
            handle,
            peer_listener,
            http_listener,
            link_events,
            events,
            http_addr,
            peer_addr,
        })
    }

    /// Address for callers and operators.
    pub fn http_addr(&self) -> SocketAddr {
        self.http_addr
    }

    /// Counters of sent messages.
    pub fn message_counters(&self) -> Arc<MessageCounters> {
        self.core.node.message_counters.clone()
    }

    /// Address for peers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Runs until `stop`, then answers pending requests and returns.
    pub async fn run(self, stop: StopSignal) -> Result<()> {
        let core = self.core;
        let handle = self.handle;
        let (timer, log) = (core.node.timer.clone(), core.node.log.clone());
        let links = core.node.links.clone();
        let (http_stopper, http_stop) = Stopper::new();
        let mut supervisor = Supervisor::new(log.clone(), timer.clone());
        let peer_listener = self.peer_listener;
        supervisor.spawn_critical("peers", async move {
            links.serve(peer_listener, std::future::pending()).await
        });
        let (store, watch_timer, watch_tx) =
            (handle.store.clone(), timer.clone(), handle.tx.clone());
        supervisor.spawn_restarting("watch", move || {
            let watch = watch_store(
                store.clone(),
                watch_timer.clone(),
                log.clone(),
                watch_tx.clone(),
            );
            async move {
                watch.await;
                Ok(())
            }
        });
        tokio::spawn(forward_events(
            timer,
            self.link_events,
            stop,
            handle.tx.clone(),
        ));
        let serving = tokio::spawn(http::serve(self.http_listener, handle, http_stop));
        supervisor.spawn_critical("core", async move {
            core.run(self.events, http_stopper).await;
            let _ = serving.await;
            Ok(())
        });
        supervisor.run().await
    }
}

impl Core {
    async fn run(mut self, mut events: UnboundedReceiver<Event>, http: Stopper) {
        let mut batch = Vec::with_capacity(MAX_BATCH_EVENTS);
        let mut listen_until_us = None;
        loop {
            if events.recv_many(&mut batch, MAX_BATCH_EVENTS).await == 0 {
                break;
            }
            let now = self.node.timer.now();
            for event in batch.drain(..) {
                self.handle(now, event);
            }
            self.flush();
            if self.stopping && listen_until_us.is_none() {
                listen_until_us = Some(now.after(LISTEN_AFTER_STOP));
            }
            if listen_until_us.is_some_and(|until| now.mono_us >= until) {
                http.stop();
                if self.router.is_empty() || self.is_past_stop_limit(now, listen_until_us) {
                    break;
                }
            }
        }
        self.node.timer.sleep(FINAL_ANSWERS_DELAY).await;
        info!(self.node.log, "stopped"; "unanswered" => self.router.len());
    }

    fn is_past_stop_limit(&self, now: Moment, listen_until_us: Option<u64>) -> bool {
        let limit_us = self.settings.process.stop_ms * 1_000;
        listen_until_us.is_some_and(|until| now.mono_us >= until + limit_us)
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Watch(reply) => self.on_watch(now, reply),
            Event::Request(request) => self.on_request(now, *request),
            Event::Rows(query) => self.on_rows_query(now, query),
            Event::Tick => {
                let actions = self.router.tick(now, &self.node.fleet);
                self.apply(actions);
                self.finish_rows(now);
            }
            Event::Stop => {
                info!(self.node.log, "stopping"; "under_way" => self.router.len());
                self.stopping = true;
                self.publish_view();
            }
        }
    }

    fn flush(&mut self) {
        let loads = &mut self.loads;
        self.node.flush(|peer| loads.for_frame(peer));
    }

    fn on_request(&mut self, now: Moment, request: OwnerRequest) {
        self.last_number += 1;
        let caller = request.reply.is_some().then_some(self.last_number);
        if let Some(reply) = request.reply {
            self.callers.insert(self.last_number, reply);
        }
        let fleet = &self.node.fleet;
        let (operation, submission) = (request.operation, request.submission);
        let actions = self
            .router
            .ask(now, fleet, operation, caller, submission, request.fresh);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send { to, message } => self.node.send(&to, message),
                RouterAction::Reply {
                    callers,
                    id,
                    answer,
                } => self.reply(&callers, id, &answer),
            }
        }
    }

    fn reply(&mut self, callers: &[u64], _id: SubmissionId, answer: &Answer) {
        self.node
            .metrics
            .count(&format!("answers.{}", answer.code.name()), 1);
        for caller in callers {
            if let Some(reply) = self.callers.remove(caller) {
                let _ = reply.send(answer.clone());
            }
        }
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Frame(frame) => {
                self.node.check_header(now, &frame.from, &frame.header);
                self.loads.merge(&frame.header.loads, now.mono_us);
                for message in frame.messages {
                    self.on_message(now, &frame.from, message);
                }
            }
            LinkEvent::Up(member) => {
                let actions = self.router.link_up(now, &self.node.fleet, &member);
                self.apply(actions);
                if self.node.fleet.config_revision() == 0 {
                    self.node.request_snapshot(now, &member);
                }
            }
            LinkEvent::Down(member) => self.router.link_down(&member),
            LinkEvent::Ended(_) => {}
        }
    }

    fn on_message(&mut self, now: Moment, from: &MemberId, message: Message) {
        match message {
            Message::Answer { id, about, answer } => {
                let actions = self.router.on_answer(id, about, &answer);
                self.apply(actions);
            }
            Message::NotOwner { id, untouched } => {
                self.router.on_not_owner(now, from, id, untouched);
            }
            Message::SnapshotRequest => {
                let snapshot = Box::new(self.node.fleet.snapshot());
                self.node.send(from, Message::Snapshot(snapshot));
            }
            Message::Snapshot(snapshot) => {
                let changes = self.node.apply_snapshot(*snapshot);
                self.on_fleet_changes(now, changes);
            }
            Message::Rows { request, rows } => self.on_rows(request, rows),
            _ => {}
        }
    }

    fn on_watch(&mut self, now: Moment, reply: WatchReply) {
        match reply {
            Ok(StoreReply::Entries { revision, entries }) => {
                self.router.set_store_down(false);
                let changes = self.node.apply_entries(revision, &entries);
                self.on_fleet_changes(now, changes);
            }
            _ => {
                self.router.set_store_down(true);
                self.node.dial_seeds(&self.settings.process.seeds);
            }
        }
    }

    fn on_fleet_changes(&mut self, now: Moment, changes: FleetChanges) {
        if changes.config || changes.table {
            self.publish_view();
        }
        if changes.table || changes.members {
            self.node.dial_members(|_| true);
            let actions = self.router.table_changed(now, &self.node.fleet);
            self.apply(actions);
        }
    }

    /// Publishes the current view to the HTTP handlers.
    fn publish_view(&self) {
        self.view.send_replace(View {
            config: self.node.fleet.config().clone(),
            revision: self.node.fleet.config_revision(),
            has_owners: !self.node.fleet.table().rows.is_empty(),
            stopping: self.stopping,
        });
    }

    fn on_rows_query(&mut self, now: Moment, query: RowsQuery) {
        self.last_number += 1;
        let request = self.last_number;
        let members: Vec<MemberId> = self.node.fleet.members().keys().cloned().collect();
        for member in &members {
            let message = Message::RowsRequest {
                request,
                table: query.table.clone(),
                about: query.about,
            };
            self.node.send(member, message);
        }
        let pending = PendingRows {
            missing: members.len(),
            rows: self.own_rows(&query.table),
            until_us: now.after(ROWS_TIMEOUT),
            reply: query.reply,
        };
        self.rows.insert(request, pending);
        self.finish_rows(now);
    }

    fn own_rows(&self, table: &str) -> Vec<Bytes> {
        if table != "members" {
            return Vec::new();
        }
        let counts = self.node.message_counters.read();
        let row = serde_json::json!([{
            "name": self.node.me.name,
            "run": format!("{:08x}", self.node.me.run as u32),
            "role": "entry",
            "failure_domain": self.settings.process.failure_domain,
            "config": self.node.fleet.config_revision(),
            "table": self.node.fleet.table().revision,
            "stopping": self.stopping,
            "work_messages": counts.work,
            "control_messages": counts.control,
            "void_messages": counts.void,
        }]);
        vec![row.to_string().into()]
    }

    fn on_rows(&mut self, request: u64, rows: Bytes) {
        if let Some(pending) = self.rows.get_mut(&request) {
            pending.rows.push(rows);
            pending.missing = pending.missing.saturating_sub(1);
        }
        let now = self.node.timer.now();
        self.finish_rows(now);
    }

    fn finish_rows(&mut self, now: Moment) {
        let is_done =
            |pending: &PendingRows| pending.missing == 0 || pending.until_us <= now.mono_us;
        let ended = self.rows.extract_if(|_, pending| is_done(pending));
        ended.for_each(|(_, pending)| {
            let _ = pending.reply.send(pending.rows);
        });
    }
}
