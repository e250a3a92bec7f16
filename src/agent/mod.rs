//! The agent: one process beside each target.
//!
//! It is the gate of its target and the owner of some key ranges. One loop
//! takes events in batches, lets the state machines decide, carries out what
//! they ask for, and sends what collected as one frame for each peer.

mod rows;
mod stop;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::config::Config;
use crate::error::Result;
use crate::fleet::{Fleet, MemberRecord, News};
use crate::gate::{Gate, GateAction, GateSettings, RunResult};
use crate::id::{MemberId, TaskId};
use crate::link::{Distance, LinkEvent, Links, NoDistance};
use crate::message::{Frame, Message};
use crate::metrics::Metrics;
use crate::node::{Node, Tally, WatchReply, watch_store};
use crate::owner::{Owner, OwnerAction};
use crate::ownership::{Ownership, OwnershipAction, StoreOp};
use crate::settings::AgentSettings;
use crate::store::{Store, StoreError, StoreReply};
use crate::supervisor::{Stop, Supervisor};
use crate::time::{Moment, Timer};
use crate::worker::{Control, Run, Worker};
use stop::Stopping;

/// How often the state machines are told that time has passed.
const TICK: Duration = Duration::from_millis(20);
/// Most events that are handled before frames leave.
const BATCH: usize = 512;
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
    pub distance: Arc<dyn Distance>,
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
            distance: Arc::new(NoDistance),
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
    gate: Gate,
    owner: Owner,
    ownership: Ownership,
    settings: AgentSettings,
    store: Arc<dyn Store>,
    worker: Arc<dyn Worker>,
    tx: UnboundedSender<Event>,
    stopping: Option<Stopping>,
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
        let config = Config::empty();
        let shared = Arc::new(config.clone());
        let gate = GateSettings {
            me: me.clone(),
            service: settings.service.clone(),
            slots: settings.slots,
        };
        let domain = &settings.process.failure_domain;
        let (tx, events) = unbounded_channel();
        let fleet = Fleet::new(config.clone());
        let core = Core {
            node: Node::new(
                me.clone(),
                parts.timer,
                links,
                fleet,
                parts.log,
                parts.metrics,
            ),
            gate: Gate::new(gate, &config),
            owner: Owner::new(me.clone(), domain, shared, parts.seed),
            ownership: Ownership::new(record(&me, addr, &settings)),
            settings,
            store: parts.store,
            worker: parts.worker,
            tx,
            stopping: None,
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
    pub fn tally(&self) -> Arc<Tally> {
        self.core.node.tally.clone()
    }

    /// Runs until `stop`, then leaves the fleet in order.
    pub async fn run(self, stop: Stop) -> Result<()> {
        let core = self.core;
        let (timer, log) = (core.node.timer.clone(), core.node.log.clone());
        let links = core.node.links.clone();
        let mut tree = Supervisor::new(log.clone(), timer.clone());
        let (listener, tx) = (self.listener, core.tx.clone());
        tree.vital("peers", async move {
            links.serve(listener, std::future::pending()).await
        });
        let (store, watch_timer, watch_tx) = (core.store.clone(), timer.clone(), tx.clone());
        tree.restarting("watch", move || {
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
        tokio::spawn(feed(timer, self.link_events, stop, tx));
        tree.vital("core", core.run(self.events));
        tree.run().await
    }
}

/// Turns links, time and the stop into events.
async fn feed(
    timer: Timer,
    mut links: UnboundedReceiver<LinkEvent>,
    stop: Stop,
    tx: UnboundedSender<Event>,
) {
    let mut ticks = timer.every(TICK);
    let stopped = stop.asked();
    tokio::pin!(stopped);
    let mut told = false;
    loop {
        let event = tokio::select! {
            Some(event) = links.recv() => Event::Link(event),
            Some(()) = ticks.recv() => Event::Tick,
            () = &mut stopped, if !told => {
                told = true;
                Event::Stop
            }
        };
        if tx.send(event).is_err() {
            return;
        }
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
            }
            self.flush(now);
        }
        self.node.timer.sleep(stop::LAST_FRAMES).await;
        info!(self.node.log, "stopped");
        Ok(())
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Watch(reply) => self.on_watch(now, reply),
            Event::Store(op, reply) => {
                let actions = self.ownership.on_store(now, &self.node.fleet, op, reply);
                self.apply_ownership(now, actions);
            }
            Event::RunEnded(task, result) => {
                let actions = self.gate.ended(now, task, result);
                self.apply_gate(actions);
            }
            Event::Tick => self.tick(now),
            Event::Stop => self.begin_stop(now),
        }
    }

    /// Sends what collected; messages to this process itself come first.
    fn flush(&mut self, now: Moment) {
        loop {
            let own = self.node.take_own();
            if own.is_empty() {
                break;
            }
            let me = self.node.me.clone();
            own.into_iter()
                .for_each(|message| self.on_message(now, &me, message));
        }
        if !self.node.has_mail() {
            return;
        }
        let sample = self.gate.sample();
        self.owner.note_loads(now, &[sample]);
        let owner = &mut self.owner;
        self.node.flush(|peer| owner.samples(peer));
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Frame(frame) => self.on_frame(now, *frame),
            LinkEvent::Up(member) => {
                let actions = self.owner.link_up(now, &member);
                self.apply_owner(actions);
                if self.node.fleet.config_revision() == 0 {
                    self.node.ask_snapshot(now, &member);
                }
            }
            LinkEvent::Down(member) => self.redial(&member),
            LinkEvent::Ended(member) => {
                let actions = self.owner.gate_gone(now, &self.node.fleet, &member);
                self.apply_owner(actions);
            }
        }
    }

    fn redial(&mut self, member: &MemberId) {
        if let Some(record) = self.node.fleet.record_of(member) {
            self.node.links.dial(member, record.peer);
        }
    }

    fn on_frame(&mut self, now: Moment, frame: Frame) {
        self.node.take_header(now, &frame.from, &frame.header);
        let actions = self
            .owner
            .observe(now, &self.node.fleet, &frame.header.loads);
        self.apply_owner(actions);
        for message in frame.messages {
            self.on_message(now, &frame.from, message);
        }
    }

    fn on_message(&mut self, now: Moment, from: &MemberId, message: Message) {
        match message {
            Message::Start(start) => {
                let actions = self.gate.start(now, from, *start);
                self.apply_gate(actions);
            }
            Message::Inquire {
                task,
                range,
                epoch,
                attempt,
            } => {
                let actions = self.gate.inquire(now, from, task, range, epoch, attempt);
                self.apply_gate(actions);
            }
            Message::Stop { task } => {
                let actions = self.gate.stop(task);
                self.apply_gate(actions);
            }
            Message::Recover { range, epoch } => {
                let actions = self.gate.recover(from, range, epoch);
                self.apply_gate(actions);
            }
            Message::HandoverTaken { range, epoch } => {
                self.ownership.handover_taken(from, range, epoch);
                self.tick_ownership(now);
            }
            Message::SnapshotRequest => {
                let snapshot = Box::new(self.node.fleet.snapshot());
                self.node.send(from, Message::Snapshot(snapshot));
            }
            Message::Snapshot(snapshot) => {
                let news = self.node.take_snapshot(*snapshot);
                self.on_news(now, news);
            }
            Message::Table(table) => {
                let news = News {
                    table: self.node.fleet.take_table(*table),
                    ..News::default()
                };
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
            message => self.on_owner_message(now, from, message),
        }
    }

    fn on_owner_message(&mut self, now: Moment, from: &MemberId, message: Message) {
        let fleet = &self.node.fleet;
        let owner = &mut self.owner;
        let actions = match message {
            Message::Submit(submission) => owner.submit(now, fleet, from, *submission),
            Message::Cancel { id } => owner.cancel(now, from, id),
            Message::Lookup { id } => owner.lookup(now, from, id),
            Message::Refused { task, reason } => owner.refused(now, fleet, from, task, reason),
            Message::Running { task } => {
                owner.running(now, from, task);
                Vec::new()
            }
            Message::Finished {
                task,
                outcome,
                run_us,
            } => owner.finished(now, fleet, from, task, outcome, run_us),
            Message::Recovered {
                range,
                epoch,
                tasks,
            } => owner.recovered(now, from, range, epoch, tasks),
            Message::Handover(handover) => owner.take_handover(from, *handover),
            _ => Vec::new(),
        };
        self.apply_owner(actions);
    }

    fn on_watch(&mut self, now: Moment, reply: WatchReply) {
        match reply {
            Ok(StoreReply::Entries { revision, entries }) => {
                self.ownership.synced(now);
                let news = self.node.take_entries(revision, &entries);
                self.on_news(now, news);
            }
            _ => {
                self.ownership.store_trouble(now);
                self.node.dial_seeds(&self.settings.process.seeds);
            }
        }
    }

    /// Puts what is new in force.
    fn on_news(&mut self, now: Moment, news: News) {
        if news.config {
            self.owner.configure(self.node.fleet.config().clone());
        }
        if news.config || news.table {
            self.configure_gate();
        }
        if news.table || news.members {
            self.reconcile(now);
            self.dial_members();
        }
        self.tick_ownership(now);
    }

    fn configure_gate(&mut self) {
        let fleet = &self.node.fleet;
        let slots = fleet
            .gates(&self.settings.service)
            .map(|gate| gate.slots)
            .sum();
        self.gate.configure(fleet.config(), slots);
        let rows = (0u32..).zip(&fleet.table().rows);
        rows.for_each(|(index, row)| self.gate.raise_floor(crate::id::RangeId(index), row.epoch));
    }

    fn reconcile(&mut self, now: Moment) {
        let holder = self.ownership.holder();
        let actions = self.owner.reconcile(now, &self.node.fleet, holder.as_ref());
        self.apply_owner(actions);
    }

    /// Keeps one stream to each member: the later name dials the earlier.
    fn dial_members(&mut self) {
        let fleet = &self.node.fleet;
        let earlier = fleet
            .members()
            .values()
            .filter(|record| record.id < self.node.me);
        earlier.for_each(|record| self.node.links.dial(&record.id, record.peer));
        let gates = &fleet.table().gates;
        let known = |id: &MemberId| fleet.members().contains_key(id) || gates.contains(id);
        let dialed = self.node.links.dialed();
        let gone: Vec<&MemberId> = dialed.iter().filter(|id| !known(id)).collect();
        gone.iter().for_each(|id| self.node.links.forget(id));
    }

    fn tick(&mut self, now: Moment) {
        let actions = self.gate.tick(now);
        self.apply_gate(actions);
        let actions = self.owner.tick(now, &self.node.fleet);
        self.apply_owner(actions);
        self.reconcile(now);
        self.tick_ownership(now);
        self.advance_stop(now);
    }

    /// Without a configuration from the store there is nothing to own.
    fn tick_ownership(&mut self, now: Moment) {
        if self.node.fleet.config_revision() == 0 && self.stopping.is_none() {
            return;
        }
        let actions = self.ownership.tick(now, &self.node.fleet);
        self.apply_ownership(now, actions);
    }

    fn apply_gate(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Send { to, message } => self.node.send(&to, message),
                GateAction::Run {
                    task,
                    payload,
                    budget_ms,
                } => {
                    let limit = Duration::from_millis(budget_ms) + RUN_GRACE;
                    self.run_task(task, payload, limit);
                }
                GateAction::StopRun { task } => {
                    tokio::spawn(self.worker.control(task, Control::Stop));
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
            limit,
        });
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let result = running.await;
            let _ = tx.send(Event::RunEnded(task, result));
        });
    }

    fn apply_owner(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Send { to, message } => self.node.send(&to, message),
                OwnerAction::Range { range, event } => {
                    info!(self.node.log, "range"; "range" => range.0, "event" => event);
                }
            }
        }
    }

    fn apply_ownership(&mut self, now: Moment, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::Store { op, request } => self.call_store(op, request),
                OwnershipAction::Freeze { range, to } => {
                    let actions = self.owner.freeze(now, range, &to);
                    self.apply_owner(actions);
                }
                OwnershipAction::Table(table) => {
                    let news = News {
                        table: self.node.fleet.take_table(table),
                        ..News::default()
                    };
                    self.on_news(now, news);
                }
                OwnershipAction::LeasedUntil(until_us) => self.owner.leased_until(until_us),
                OwnershipAction::Left => self.left = true,
            }
        }
    }

    fn call_store(&self, op: StoreOp, request: crate::store::StoreRequest) {
        let store = self.store.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let reply = store.call(request).await;
            let _ = tx.send(Event::Store(op, reply));
        });
    }
}
