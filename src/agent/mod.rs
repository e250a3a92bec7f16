//! The agent: one process beside each target.
//!
//! It is the gate of its target and the owner of some key ranges. One loop
//! takes events in batches, lets the state machines decide, carries out what
//! they ask for, and sends what collected as one frame for each peer.

mod rows;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::config::Config;
use crate::error::Result;
use crate::fleet::{Fleet, FleetChanges, MemberRecord};
use crate::gate::RunResult;
use crate::id::{MemberId, TaskId};
use crate::link::{LinkDelay, LinkEvent, Links, NoDelay};
use crate::member::{Member, MemberAction};
use crate::message::{Frame, Message};
use crate::metrics::Metrics;
use crate::node::{MessageCounters, Node, NodeEvent, WatchReply, forward_events, watch_store};
use crate::ownership::StoreOp;
use crate::settings::AgentSettings;
use crate::store::{Store, StoreError, StoreReply, StoreRequest};
use crate::supervisor::{StopSignal, Supervisor};
use crate::time::{Moment, Timer};
use crate::worker::{Control, Run, Worker};

/// Most events that are handled before frames leave.
const BATCH: usize = 512;
/// Time for the last frames to leave.
const LAST_FRAMES: Duration = Duration::from_millis(100);
/// Time after the deadline by which a worker must have answered.
const RUN_GRACE: Duration = Duration::from_millis(1_000);

/// What an agent is built from.
pub struct AgentParts {
    /// Its settings.
    pub settings: AgentSettings,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The worker behind its target.
    pub worker: Arc<dyn Worker>,
    /// Clocks and timers.
    pub timer: Timer,
    /// Where it logs.
    pub log: Logger,
    /// Where its metrics go.
    pub metrics: Metrics,
    /// Distance to peers.
    pub distance: Arc<dyn LinkDelay>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl AgentParts {
    /// An agent's usual parts around its settings.
    pub fn new(
        settings: AgentSettings,
        store: Arc<dyn Store>,
        worker: Arc<dyn Worker>,
        timer: Timer,
        log: Logger,
    ) -> AgentParts {
        AgentParts {
            settings,
            store,
            worker,
            timer,
            log,
            metrics: Metrics::none(),
            distance: Arc::new(NoDelay),
            seed: rand::random(),
        }
    }
}

enum Event {
    Link(LinkEvent),
    Watch(WatchReply),
    Store(StoreOp, std::result::Result<StoreReply, StoreError>),
    RunEnded(TaskId, RunResult),
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

/// An agent that has its port and is ready to run.
pub struct Agent {
    core: Core,
    listener: TcpListener,
    link_events: UnboundedReceiver<LinkEvent>,
    events: UnboundedReceiver<Event>,
    addr: SocketAddr,
}

struct Core {
    node: Node,
    member: Member,
    settings: AgentSettings,
    store: Arc<dyn Store>,
    worker: Arc<dyn Worker>,
    tx: UnboundedSender<Event>,
    left: bool,
}

impl Agent {
    /// Binds the port and builds the parts.
    pub async fn bind(parts: AgentParts) -> Result<Agent> {
        let settings = parts.settings;
        let listener = TcpListener::bind(settings.process.peer_listen).await?;
        let addr = listener.local_addr()?;
        let me = MemberId::new(&settings.process.name, rand::random());
        let (link_tx, link_events) = unbounded_channel();
        let links = Links::new(me.clone(), parts.timer.clone(), parts.distance, link_tx);
        let (tx, events) = unbounded_channel();
        let fleet = Fleet::new(Config::empty());
        let record = record(&me, addr, &settings);
        let member = Member::new(record, &fleet, parts.seed);
        let core = Core {
            node: Node::new(
                me.clone(),
                parts.timer,
                links,
                fleet,
                parts.log,
                parts.metrics,
            ),
            member,
            settings,
            store: parts.store,
            worker: parts.worker,
            tx,
            left: false,
        };
        Ok(Agent {
            core,
            listener,
            link_events,
            events,
            addr,
        })
    }

    /// Where peers reach it.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counts of its messages.
    pub fn message_counters(&self) -> Arc<MessageCounters> {
        self.core.node.message_counters.clone()
    }

    /// Runs until `stop`, then leaves the fleet in order.
    pub async fn run(self, stop: StopSignal) -> Result<()> {
        let core = self.core;
        let (timer, log) = (core.node.timer.clone(), core.node.log.clone());
        let links = core.node.links.clone();
        let mut tree = Supervisor::new(log.clone(), timer.clone());
        let (listener, tx) = (self.listener, core.tx.clone());
        tree.spawn_critical("peers", async move {
            links.serve(listener, std::future::pending()).await
        });
        let (store, watch_timer, watch_tx) = (core.store.clone(), timer.clone(), tx.clone());
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
        tokio::spawn(forward_events(timer, self.link_events, stop, tx));
        tree.spawn_critical("core", core.run(self.events));
        tree.run().await
    }
}

fn record(me: &MemberId, addr: SocketAddr, settings: &AgentSettings) -> MemberRecord {
    MemberRecord {
        id: me.clone(),
        session: 1,
        peer: addr,
        failure_domain: settings.process.failure_domain.clone(),
        rack: settings.process.rack.clone(),
        service: settings.service.clone(),
        slots: settings.slots,
        accelerators: settings.accelerators,
        leaving: false,
    }
}

impl Core {
    async fn run(mut self, mut events: UnboundedReceiver<Event>) -> Result<()> {
        let mut batch = Vec::with_capacity(BATCH);
        while !self.left {
            if events.recv_many(&mut batch, BATCH).await == 0 {
                break;
            }
            let now = self.node.timer.now();
            for event in batch.drain(..) {
                self.handle(now, event);
                self.apply(now);
            }
            self.flush(now);
        }
        self.node.timer.sleep(LAST_FRAMES).await;
        info!(self.node.log, "stopped");
        Ok(())
    }

    fn handle(&mut self, now: Moment, event: Event) {
        let fleet = &self.node.fleet;
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Watch(reply) => self.on_watch(now, reply),
            Event::Store(op, reply) => self.member.on_store(now, fleet, op, reply),
            Event::RunEnded(task, result) => self.member.run_ended(now, task, result),
            Event::Tick => self.member.tick(now, fleet),
            Event::Stop => {
                info!(self.node.log, "stopping"; "running" => self.member.gate.running());
                let limit = Duration::from_millis(self.settings.process.stop_ms);
                self.member.begin_stop(now, fleet, limit);
            }
        }
    }

    /// Sends what collected; messages to this process itself come first.
    fn flush(&mut self, now: Moment) {
        loop {
            let own = self.node.take_local_messages();
            if own.is_empty() {
                break;
            }
            let me = self.node.me.clone();
            for message in own {
                self.on_message(now, &me, message);
                self.apply(now);
            }
        }
        if !self.node.has_outgoing() {
            return;
        }
        self.member.sample_own_load(now);
        let member = &mut self.member;
        self.node.flush(|peer| member.samples(peer));
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Frame(frame) => self.on_frame(now, *frame),
            LinkEvent::Up(member) => {
                self.member.link_up(now, &member);
                if self.node.fleet.config_revision() == 0 {
                    self.node.request_snapshot(now, &member);
                }
            }
            LinkEvent::Down(member) => self.redial(&member),
            LinkEvent::Ended(member) => {
                self.member.member_ended(now, &self.node.fleet, &member);
            }
        }
    }

    fn redial(&mut self, member: &MemberId) {
        if let Some(record) = self.node.fleet.member_record(member) {
            self.node.links.dial(member, record.peer);
        }
    }

    fn on_frame(&mut self, now: Moment, frame: Frame) {
        self.node.check_header(now, &frame.from, &frame.header);
        let fleet = &self.node.fleet;
        self.member
            .observe_clock(now, fleet, &frame.from, frame.header.wall_ms);
        self.member.observe(now, fleet, &frame.header.loads);
        for message in frame.messages {
            self.on_message(now, &frame.from, message);
            self.apply(now);
        }
    }

    fn on_message(&mut self, now: Moment, from: &MemberId, message: Message) {
        match message {
            Message::SnapshotRequest => {
                let snapshot = Box::new(self.node.fleet.snapshot());
                self.node.send(from, Message::Snapshot(snapshot));
            }
            Message::Snapshot(snapshot) => {
                let news = self.node.apply_snapshot(*snapshot);
                self.on_news(now, news);
            }
            Message::RowsRequest {
                request,
                table,
                about,
            } => {
                let rows = self.rows(now, &table, about);
                self.node.send(from, Message::Rows { request, rows });
            }
            message => self.member.on_message(now, &self.node.fleet, from, message),
        }
    }

    fn on_watch(&mut self, now: Moment, reply: WatchReply) {
        match reply {
            Ok(StoreReply::Entries { revision, entries }) => {
                self.member.ownership.on_store_synced(now);
                let news = self.node.apply_entries(revision, &entries);
                self.on_news(now, news);
            }
            _ => {
                self.member.ownership.on_store_failure(now);
                self.node.dial_seeds(&self.settings.process.seeds);
            }
        }
    }

    fn on_news(&mut self, now: Moment, news: FleetChanges) {
        self.member.on_news(now, &self.node.fleet, news);
        if news.table || news.members {
            self.dial_members();
        }
    }

    /// Keeps one stream to each member: the later name dials the earlier.
    fn dial_members(&mut self) {
        let me = self.node.me.clone();
        self.node.dial_members(|id| *id < me);
    }

    /// Carries out what the member asks for.
    fn apply(&mut self, now: Moment) {
        for action in self.member.take_actions() {
            match action {
                MemberAction::Send { to, message } => self.node.send(&to, message),
                MemberAction::Run {
                    task,
                    payload,
                    budget_ms,
                } => {
                    let limit = Duration::from_millis(budget_ms) + RUN_GRACE;
                    self.run_task(task, payload, limit);
                }
                MemberAction::StopRun { task } => {
                    tokio::spawn(self.worker.control(task, Control::Stop));
                }
                MemberAction::Store { op, request } => self.call_store(op, request),
                MemberAction::Table(table) => {
                    let news = FleetChanges {
                        table: self.node.fleet.apply_table(table),
                        ..FleetChanges::default()
                    };
                    self.on_news(now, news);
                    self.apply(now);
                }
                MemberAction::Range { range, event } => {
                    info!(self.node.log, "range"; "range" => range.0, "event" => event);
                }
                MemberAction::Left { by_limit } => {
                    info!(self.node.log, "left"; "by_limit" => by_limit);
                    self.left = true;
                }
            }
        }
    }

    fn run_task(&self, task: TaskId, payload: bytes::Bytes, limit: Duration) {
        let policy = &self.node.fleet.config().policy;
        let lease = Duration::from_millis(policy.task_lease_ms);
        let running = self.worker.run(Run {
            task,
            payload,
            lease,
            timeout: limit,
        });
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let result = running.await;
            let _ = tx.send(Event::RunEnded(task, result));
        });
    }

    fn call_store(&self, op: StoreOp, request: StoreRequest) {
        let store = self.store.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let reply = store.call(request).await;
            let _ = tx.send(Event::Store(op, reply));
        });
    }
}
