//! Agent: the process beside each target, which is its gate and the owner of some ranges.
//!
//! One loop reads events in batches, passes them to the state machines, performs the actions
//! that these return, and sends one frame to each peer.

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

/// Maximum number of events handled before frames are sent.
const MAX_BATCH_EVENTS: usize = 512;
/// Delay at the end of a stop, to send the last frames.
const FINAL_FRAMES_DELAY: Duration = Duration::from_millis(100);
/// Time after the deadline within which the worker must answer.
const RUN_GRACE: Duration = Duration::from_millis(1_000);

/// Parameters of an agent.
pub struct AgentParts {
    /// Settings of the process.
    pub settings: AgentSettings,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Runs tasks on the target.
    pub worker: Arc<dyn Worker>,
    /// Clocks and timers.
    pub timer: Timer,
    /// Logger.
    pub log: Logger,
    /// Metrics sink.
    pub metrics: Metrics,
    /// Artificial delay of links to peers.
    pub link_delay: Arc<dyn LinkDelay>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl AgentParts {
    /// Parameters without metrics and link delay, with a random seed.
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
            link_delay: Arc::new(NoDelay),
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

/// Agent with a bound port, ready to run.
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
    has_left: bool,
}

impl Agent {
    /// Binds the port.
    pub async fn bind(parts: AgentParts) -> Result<Agent> {
        let settings = parts.settings;
        let listener = TcpListener::bind(settings.process.peer_listen).await?;
        let addr = listener.local_addr()?;
        let me = MemberId::new(&settings.process.name, rand::random());
        let (link_tx, link_events) = unbounded_channel();
        let links = Links::new(me.clone(), parts.timer.clone(), parts.link_delay, link_tx);
        let (tx, events) = unbounded_channel();
        let fleet = Fleet::new(Config::empty());
        let record = member_record(&me, addr, &settings);
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
            has_left: false,
        };
        Ok(Agent {
            core,
            listener,
            link_events,
            events,
            addr,
        })
    }

    /// Address for peers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counters of sent messages.
    pub fn message_counters(&self) -> Arc<MessageCounters> {
        self.core.node.message_counters.clone()
    }

    /// Runs until `stop`, then leaves the fleet gracefully.
    pub async fn run(self, stop: StopSignal) -> Result<()> {
        let core = self.core;
        let (timer, log) = (core.node.timer.clone(), core.node.log.clone());
        let links = core.node.links.clone();
        let mut supervisor = Supervisor::new(log.clone(), timer.clone());
        let (listener, tx) = (self.listener, core.tx.clone());
        supervisor.spawn_critical("peers", async move {
            links.serve(listener, std::future::pending()).await
        });
        let (store, watch_timer, watch_tx) = (core.store.clone(), timer.clone(), tx.clone());
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
        tokio::spawn(forward_events(timer, self.link_events, stop, tx));
        supervisor.spawn_critical("core", core.run(self.events));
        supervisor.run().await
    }
}

fn member_record(me: &MemberId, addr: SocketAddr, settings: &AgentSettings) -> MemberRecord {
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
        let mut batch = Vec::with_capacity(MAX_BATCH_EVENTS);
        while !self.has_left {
            if events.recv_many(&mut batch, MAX_BATCH_EVENTS).await == 0 {
                break;
            }
            let now = self.node.timer.now();
            for event in batch.drain(..) {
                self.handle(now, event);
                self.apply(now);
            }
            self.flush(now);
        }
        self.node.timer.sleep(FINAL_FRAMES_DELAY).await;
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

    /// Handles messages to this process, then sends the collected frames.
    fn flush(&mut self, now: Moment) {
        loop {
            let local_messages = self.node.take_local_messages();
            if local_messages.is_empty() {
                break;
            }
            let me = self.node.me.clone();
            for message in local_messages {
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
            LinkEvent::Down(member) => self.dial(&member),
            LinkEvent::Ended(member) => {
                self.member.member_ended(now, &self.node.fleet, &member);
            }
        }
    }

    fn dial(&mut self, member: &MemberId) {
        if let Some(record) = self.node.fleet.member_record(member) {
            self.node.links.dial(member, record.peer);
        }
    }

    fn on_frame(&mut self, now: Moment, frame: Frame) {
        self.node.check_header(now, &frame.from, &frame.header);
        let fleet = &self.node.fleet;
        self.member
            .observe_clock(now, fleet, &frame.from, frame.header.wall_ms);
        self.member.on_load_samples(now, fleet, &frame.header.loads);
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
                let changes = self.node.apply_snapshot(*snapshot);
                self.on_fleet_changes(now, changes);
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
                let changes = self.node.apply_entries(revision, &entries);
                self.on_fleet_changes(now, changes);
            }
            _ => {
                self.member.ownership.on_store_failure(now);
                self.node.dial_seeds(&self.settings.process.seeds);
            }
        }
    }

    fn on_fleet_changes(&mut self, now: Moment, changes: FleetChanges) {
        self.member.on_news(now, &self.node.fleet, changes);
        if changes.table || changes.members {
            self.dial_members();
        }
    }

    /// Dials members with a smaller id only, so that each pair has one stream.
    fn dial_members(&mut self) {
        let me = self.node.me.clone();
        self.node.dial_members(|id| *id < me);
    }

    /// Performs the actions of the member.
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
                    let changes = FleetChanges {
                        table: self.node.fleet.apply_table(table),
                        ..FleetChanges::default()
                    };
                    self.on_fleet_changes(now, changes);
                    self.apply(now);
                }
                MemberAction::Range { range, event } => {
                    info!(self.node.log, "range state changed"; "range" => range.0, "event" => event);
                }
                MemberAction::Left { timed_out } => {
                    info!(self.node.log, "left the fleet"; "by_limit" => timed_out);
                    self.has_left = true;
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
