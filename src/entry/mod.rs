//! The entry: takes callers' and operators' HTTP and forwards to owners.
//!
//! It keeps nothing: a view of the fleet, and the questions under way. One loop
//! holds the router; HTTP handlers talk to it through a [`Handle`].

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

/// Most events that are handled before frames leave.
const BATCH: usize = 512;
/// Time between the first sign of a stop and the end of listening, for the
/// balancer to notice.
const LAME_DUCK: Duration = Duration::from_millis(1_000);
/// Time for the last answers to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// What an entry is built from.
pub struct EntryParts {
    /// Its settings.
    pub settings: EntrySettings,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Clocks and timers.
    pub timer: Timer,
    /// Where it logs.
    pub log: Logger,
    /// Where its metrics go.
    pub metrics: Metrics,
    /// Distance to peers.
    pub distance: Arc<dyn LinkDelay>,
}

impl EntryParts {
    /// An entry's usual parts around its settings.
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
            distance: Arc::new(NoDelay),
        }
    }
}

/// What an entry's HTTP side knows of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub config: Arc<Config>,
    pub revision: u64,
    /// Whether every range has an owner.
    pub owned: bool,
    pub stopping: bool,
}

/// A question from an HTTP handler to the loop.
pub(crate) struct Question {
    pub ask: Operation,
    pub submission: Submission,
    pub fresh: bool,
    /// Where the answer goes; `None` for a submission that nobody waits for.
    pub reply: Option<oneshot::Sender<Answer>>,
}

/// Rows wanted by an operator.
pub(crate) struct RowsQuestion {
    pub table: String,
    pub about: Option<SubmissionId>,
    pub reply: oneshot::Sender<Vec<Bytes>>,
}

enum Event {
    Link(LinkEvent),
    Watch(WatchReply),
    Ask(Box<Question>),
    Rows(RowsQuestion),
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

/// How HTTP handlers reach the loop.
#[derive(Clone)]
pub(crate) struct Handle {
    pub timer: Timer,
    pub store: Arc<dyn Store>,
    pub view: watch::Receiver<View>,
    pub log: Logger,
    tx: UnboundedSender<Event>,
}

impl Handle {
    /// Asks and waits for the answer.
    pub async fn ask(&self, ask: Operation, submission: Submission, fresh: bool) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        let reply = Some(tx);
        let question = Question {
            ask,
            submission,
            fresh,
            reply,
        };
        let _ = self.tx.send(Event::Ask(Box::new(question)));
        rx.await.ok()
    }

    /// Asks without waiting.
    pub fn tell(&self, ask: Operation, submission: Submission, fresh: bool) {
        let reply = None;
        let question = Question {
            ask,
            submission,
            fresh,
            reply,
        };
        let _ = self.tx.send(Event::Ask(Box::new(question)));
    }

    /// Collects rows of an operator's table from all members.
    pub async fn rows(&self, table: &str, about: Option<SubmissionId>) -> Vec<Bytes> {
        let (tx, rx) = oneshot::channel();
        let question = RowsQuestion {
            table: table.to_string(),
            about,
            reply: tx,
        };
        let _ = self.tx.send(Event::Rows(question));
        rx.await.unwrap_or_default()
    }

    /// What is known of the fleet.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }
}

struct RowsPending {
    missing: usize,
    rows: Vec<Bytes>,
    until_us: u64,
    reply: oneshot::Sender<Vec<Bytes>>,
}

/// Longest wait for the rows of a member.
const ROWS_LIMIT: Duration = Duration::from_millis(1_000);

/// An entry that has its ports and is ready to run.
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
    numbers: u64,
    rows: HashMap<u64, RowsPending>,
    stopping: bool,
}

impl Entry {
    /// Binds the ports and builds the parts.
    pub async fn bind(parts: EntryParts) -> Result<Entry> {
        let settings = parts.settings;
        let peer_listener = TcpListener::bind(settings.process.peer_listen).await?;
        let http_listener = TcpListener::bind(settings.http_listen).await?;
        let (peer_addr, http_addr) = (peer_listener.local_addr()?, http_listener.local_addr()?);
        let me = MemberId::new(&settings.process.name, rand::random());
        let (link_tx, link_events) = unbounded_channel();
        let links = Links::new(me.clone(), parts.timer.clone(), parts.distance, link_tx);
        let fleet = Fleet::new(Config::empty());
        let (view, view_rx) = watch::channel(View {
            config: fleet.config().clone(),
            revision: 0,
            owned: false,
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
            numbers: 0,
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

    /// Where callers and operators reach it.
    pub fn http_addr(&self) -> SocketAddr {
        self.http_addr
    }

    /// Counts of its messages.
    pub fn message_counters(&self) -> Arc<MessageCounters> {
        self.core.node.message_counters.clone()
    }

    /// Where peers reach it.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Runs until `stop`, then answers what is under way and ends.
    pub async fn run(self, stop: StopSignal) -> Result<()> {
        let core = self.core;
        let handle = self.handle;
        let (timer, log) = (core.node.timer.clone(), core.node.log.clone());
        let links = core.node.links.clone();
        let (http_stopper, http_stop) = Stopper::new();
        let mut tree = Supervisor::new(log.clone(), timer.clone());
        let peer_listener = self.peer_listener;
        tree.spawn_critical("peers", async move {
            links.serve(peer_listener, std::future::pending()).await
        });
        let (store, watch_timer, watch_tx) =
            (handle.store.clone(), timer.clone(), handle.tx.clone());
        tree.spawn_restarting("watch", move || {
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
        tree.spawn_critical("core", async move {
            core.run(self.events, http_stopper).await;
            let _ = serving.await;
            Ok(())
        });
        tree.run().await
    }
}

impl Core {
    async fn run(mut self, mut events: UnboundedReceiver<Event>, http: Stopper) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut until_us = None;
        loop {
            if events.recv_many(&mut batch, BATCH).await == 0 {
                break;
            }
            let now = self.node.timer.now();
            for event in batch.drain(..) {
                self.handle(now, event);
            }
            self.flush();
            if self.stopping && until_us.is_none() {
                until_us = Some(now.after(LAME_DUCK));
            }
            if until_us.is_some_and(|until| now.mono_us >= until) {
                http.stop();
                if self.router.is_empty() || self.past_limit(now, until_us) {
                    break;
                }
            }
        }
        self.node.timer.sleep(LAST_ANSWERS).await;
        info!(self.node.log, "stopped"; "unanswered" => self.router.len());
    }

    fn past_limit(&self, now: Moment, until_us: Option<u64>) -> bool {
        let limit_us = self.settings.process.stop_ms * 1_000;
        until_us.is_some_and(|until| now.mono_us >= until + limit_us)
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Watch(reply) => self.on_watch(now, reply),
            Event::Ask(question) => self.on_question(now, *question),
            Event::Rows(question) => self.on_rows_question(now, question),
            Event::Tick => {
                let actions = self.router.tick(now, &self.node.fleet);
                self.apply(actions);
                self.end_rows(now);
            }
            Event::Stop => {
                info!(self.node.log, "stopping"; "under_way" => self.router.len());
                self.stopping = true;
                self.publish();
            }
        }
    }

    fn flush(&mut self) {
        let loads = &mut self.loads;
        self.node.flush(|peer| loads.for_frame(peer));
    }

    fn on_question(&mut self, now: Moment, question: Question) {
        self.numbers += 1;
        let caller = question.reply.is_some().then_some(self.numbers);
        if let Some(reply) = question.reply {
            self.callers.insert(self.numbers, reply);
        }
        let fleet = &self.node.fleet;
        let (ask, submission) = (question.ask, question.submission);
        let actions = self
            .router
            .ask(now, fleet, ask, caller, submission, question.fresh);
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
                let news = self.node.apply_snapshot(*snapshot);
                self.on_news(now, news);
            }
            Message::Rows { request, rows } => self.on_rows(request, rows),
            _ => {}
        }
    }

    fn on_watch(&mut self, now: Moment, reply: WatchReply) {
        match reply {
            Ok(StoreReply::Entries { revision, entries }) => {
                self.router.set_store_down(false);
                let news = self.node.apply_entries(revision, &entries);
                self.on_news(now, news);
            }
            _ => {
                self.router.set_store_down(true);
                self.node.dial_seeds(&self.settings.process.seeds);
            }
        }
    }

    fn on_news(&mut self, now: Moment, news: FleetChanges) {
        if news.config || news.table {
            self.publish();
        }
        if news.table || news.members {
            self.node.dial_members(|_| true);
            let actions = self.router.table_changed(now, &self.node.fleet);
            self.apply(actions);
        }
    }

    /// Tells the HTTP side what is in force.
    fn publish(&self) {
        self.view.send_replace(View {
            config: self.node.fleet.config().clone(),
            revision: self.node.fleet.config_revision(),
            owned: !self.node.fleet.table().rows.is_empty(),
            stopping: self.stopping,
        });
    }

    fn on_rows_question(&mut self, now: Moment, question: RowsQuestion) {
        self.numbers += 1;
        let request = self.numbers;
        let members: Vec<MemberId> = self.node.fleet.members().keys().cloned().collect();
        for member in &members {
            let message = Message::RowsRequest {
                request,
                table: question.table.clone(),
                about: question.about,
            };
            self.node.send(member, message);
        }
        let pending = RowsPending {
            missing: members.len(),
            rows: self.own_rows(&question.table),
            until_us: now.after(ROWS_LIMIT),
            reply: question.reply,
        };
        self.rows.insert(request, pending);
        self.end_rows(now);
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
        self.end_rows(now);
    }

    fn end_rows(&mut self, now: Moment) {
        let over = |one: &RowsPending| one.missing == 0 || one.until_us <= now.mono_us;
        let ended = self.rows.extract_if(|_, pending| over(pending));
        ended.for_each(|(_, pending)| {
            let _ = pending.reply.send(pending.rows);
        });
    }
}
