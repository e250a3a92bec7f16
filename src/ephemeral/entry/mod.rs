//! The loop of an entry: feeds the dispatcher and carries out what it asks for.

pub mod dials;
mod handle;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};

use crate::ephemeral::directory::{self, GateChanges};
use crate::ephemeral::dispatcher::{DispatchAction, Dispatcher, WaiterId};
use crate::ephemeral::follower::{Follower, Keys, WATCH};
use crate::ephemeral::job::JobId;
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{ConfigDocument, ProcessId, ToEntry, ToGate};
use crate::ephemeral::routes::RouteTable;
use crate::ephemeral::session::{SessionEvent, SessionId, SessionLoss, Sessions, dial};
use crate::ephemeral::suspension::Suspension;
use crate::error::{Error, Result};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::store::{Store, StoreEntry};
use crate::time::{Moment, Timer, micros};
use dials::Dials;
pub use handle::EntryHandle;
use handle::{Submit, View};

/// How often the dispatcher is told that time has passed.
const TICK: Duration = Duration::from_millis(10);
/// Reads a configuration document.
pub trait ConfigReader: Send + Sync {
    /// The routes of a document.
    fn read(&self, text: &[u8]) -> Result<RouteTable>;
}

/// What an entry is made of.
pub struct EntryParts {
    /// The process.
    pub me: ProcessId,
    /// Spans of sessions.
    pub limits: Limits,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Key of the configuration in the store.
    pub config_key: String,
    /// Reads configuration documents.
    pub reader: Arc<dyn ConfigReader>,
    /// Timer service.
    pub timer: Timer,
    /// Where counts go.
    pub metrics: Metrics,
    /// Where events are logged.
    pub log: Logger,
}

enum Event {
    Submit(Box<Submit>),
    WaiterGone(WaiterId, JobId),
    Session(SessionEvent<ToEntry>),
    Dialed(Arc<str>, Option<TcpStream>),
    Gates(GateChanges),
    Config(ConfigDocument),
    Leave,
}

/// An entry.
pub struct Entry {
    parts: EntryParts,
    dispatcher: Dispatcher,
    sessions: Sessions<ToGate, ToEntry>,
    dials: Dials,
    replies: HashMap<WaiterId, oneshot::Sender<Answer>>,
    view: Arc<Mutex<View>>,
    table: watch::Sender<Arc<RouteTable>>,
    tx: UnboundedSender<Event>,
    rx: UnboundedReceiver<Event>,
    suspension: Suspension,
    shown_us: u64,
    turned_us: u64,
    /// How much later than asked for the loop turned, at most since figures were shown.
    latest_turn: Duration,
}

impl Entry {
    /// An entry, and the handle for its HTTP side.
    pub fn new(parts: EntryParts) -> (Entry, EntryHandle) {
        let (tx, rx) = unbounded_channel();
        let forward = tx.clone();
        let tell = move |event| forward.send(Event::Session(event)).is_ok();
        let view = Arc::new(Mutex::new(View::default()));
        let (table, table_rx) = watch::channel(Arc::default());
        let handle = EntryHandle {
            events: tx.clone(),
            view: view.clone(),
            table: table_rx,
            waiters: Arc::default(),
            timer: parts.timer.clone(),
            metrics: parts.metrics.clone(),
            log: parts.log.clone(),
        };
        let entry = Entry {
            dispatcher: Dispatcher::new(parts.me.clone(), parts.limits, parts.log.clone()),
            sessions: Sessions::new(parts.timer.clone(), tell),
            dials: Dials::default(),
            replies: HashMap::new(),
            view,
            table,
            tx,
            rx,
            suspension: Suspension::new(parts.timer.now()),
            shown_us: 0,
            turned_us: parts.timer.now().mono_us,
            latest_turn: Duration::ZERO,
            parts,
        };
        (entry, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.follow_store();
        let mut ticks = self.parts.timer.every(TICK);
        loop {
            let event = tokio::select! {
                event = self.rx.recv() => event,
                tick = ticks.recv() => tick.and(None),
            };
            let now = self.parts.timer.now();
            self.notice_suspension(now);
            self.note_turn(now);
            self.dispatcher.tick(now);
            if let Some(event) = event {
                self.handle(now, event);
            }
            while let Ok(event) = self.rx.try_recv() {
                self.handle(now, event);
            }
            self.show_figures(now);
            self.dial_missing(now);
            self.act(now);
        }
    }

    fn follow_store(&self) {
        let parts = &self.parts;
        let follower = Follower {
            store: parts.store.clone(),
            timer: parts.timer.clone(),
            metrics: parts.metrics.clone(),
            log: parts.log.clone(),
        };
        let (changes_tx, mut changes) = unbounded_channel();
        let name = parts.me.name.clone();
        tokio::spawn(directory::follow_gates(follower.clone(), name, changes_tx));
        let tx = self.tx.clone();
        tokio::spawn(async move {
            while let Some(found) = changes.recv().await {
                let _ = tx.send(Event::Gates(found));
            }
        });
        let (key, log) = (parts.config_key.clone(), parts.log.clone());
        let (reader, tx) = (parts.reader.clone(), self.tx.clone());
        tokio::spawn(async move {
            let tell = |entries: Vec<StoreEntry>| {
                let found = entries.into_iter().find(|entry| entry.key == key);
                let document = found.and_then(|entry| document(&*reader, entry.value, &log));
                document.is_none_or(|document| tx.send(Event::Config(document)).is_ok())
            };
            let keys = Keys {
                prefix: &key,
                what: "configuration",
                leased: false,
                wait: WATCH,
            };
            follower.follow(&keys, tell).await;
        });
    }

    fn notice_suspension(&mut self, now: Moment) {
        if let Some(gap) = self.suspension.turn(now) {
            warn!(self.parts.log, "process stood still"; "gap_ms" => gap.as_millis() as u64);
        }
    }

    fn note_turn(&mut self, now: Moment) {
        let gap = Duration::from_micros(now.mono_us.saturating_sub(self.turned_us));
        self.turned_us = now.mono_us;
        let late = gap.saturating_sub(TICK);
        self.latest_turn = self.latest_turn.max(late);
        self.dispatcher.record_late_tick(now, late);
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Submit(submit) => self.submit(now, *submit),
            Event::WaiterGone(waiter, job) => {
                self.replies.remove(&waiter);
                self.dispatcher.remove_waiter(now, waiter, job);
            }
            Event::Session(SessionEvent::Frame { session, frame }) => {
                let age_us = self.sessions.age_us(now, session, frame.sent_us);
                self.dispatcher.record_frame_wait(now, age_us);
                if age_us > micros(self.parts.limits.frame_age) {
                    warn!(self.parts.log, "frame came late"; "session" => session.0,
                        "age_us" => age_us);
                    self.lose(session, SessionLoss::LateFrame);
                    return;
                }
                self.dispatcher.frame_received(now, session);
                for message in frame.messages {
                    self.dispatcher.handle_message(now, session, message);
                }
            }
            Event::Session(SessionEvent::Closed(session)) => {
                self.lose(session, SessionLoss::Closed);
            }
            Event::Dialed(name, stream) => self.dialed(now, &name, stream),
            Event::Gates(changes) => {
                self.dispatcher.update_gates(now, &changes);
                self.dials.know(now, changes);
            }
            Event::Config(document) => self.learn(document, "store"),
            Event::Leave => {
                info!(self.parts.log, "entry is leaving"; "open_jobs" => self.dispatcher.open_jobs());
                self.view().leaving = true;
            }
        }
    }

    fn view(&self) -> std::sync::MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(&mut self, now: Moment, submit: Submit) {
        self.replies.insert(submit.waiter, submit.reply);
        let (spec, route) = (submit.spec, submit.route);
        self.dispatcher
            .submit(now, submit.waiter, spec, route, submit.wait_us);
    }

    fn lose(&mut self, session: SessionId, cause: SessionLoss) {
        cause.count(&self.parts.metrics);
        self.sessions.close(session);
        self.dispatcher.disconnected(session);
        self.dials.lost(session);
    }

    fn dial_missing(&mut self, now: Moment) {
        let dispatcher = &self.dispatcher;
        for attempt in self
            .dials
            .attempts(now, |gate| dispatcher.wants_session(gate))
        {
            let (timer, tx) = (self.parts.timer.clone(), self.tx.clone());
            tokio::spawn(async move {
                let stream = dial(&timer, attempt.addr, attempt.limit).await;
                let _ = tx.send(Event::Dialed(attempt.gate, stream));
            });
        }
    }

    fn dialed(&mut self, now: Moment, gate: &Arc<str>, stream: Option<TcpStream>) {
        let Some(stream) = stream else {
            self.dials.failed(gate);
            self.dispatcher.gate_unreachable(gate);
            return;
        };
        let sessions = &mut self.sessions;
        let session = self.dials.connected(gate, || sessions.open(stream));
        if let Some(session) = session {
            self.dispatcher.connected(now, gate, session);
        }
    }

    /// Puts a configuration in force if it is newer.
    fn learn(&mut self, document: ConfigDocument, from: &'static str) {
        let before = self.table.borrow().version;
        if document.version <= before {
            return;
        }
        match self.parts.reader.read(&document.text).and_then(checked) {
            Ok(table) => {
                info!(self.parts.log, "configuration in force"; "version" => table.version,
                    "before" => before, "routes" => table.routes.len(), "from" => from);
                self.parts.metrics.gauge("config_version", table.version);
                self.parts
                    .metrics
                    .gauge("config_bytes", document.text.len() as u64);
                self.dispatcher.set_scheduling(table.scheduling);
                self.table.send_replace(Arc::new(table));
                self.dispatcher.apply_config(document);
            }
            Err(err) => {
                warn!(self.parts.log, "configuration not usable"; "version" => document.version,
                    "error" => %err);
            }
        }
    }

    /// Shows the figures of now, once a heartbeat.
    fn show_figures(&mut self, now: Moment) {
        if now.mono_us >= self.shown_us + micros(self.parts.limits.beat) {
            self.shown_us = now.mono_us;
            self.sessions.show_counts(&self.parts.metrics);
            self.dispatcher.record_gate_metrics(&self.parts.metrics);
            self.dispatcher.record_lag_metrics(now, &self.parts.metrics);
            let late_ms = std::mem::take(&mut self.latest_turn).as_millis() as u64;
            self.parts.metrics.time("turn_late_ms", late_ms);
        }
    }

    fn act(&mut self, now: Moment) {
        for action in self.dispatcher.take_actions(now) {
            match action {
                DispatchAction::Send { session, message } => {
                    if let ToGate::ConfigPart { part, .. } = &message {
                        part.count_sent(&self.parts.metrics);
                    }
                    self.sessions.send(session, message);
                }
                DispatchAction::Close(session) => self.lose(session, SessionLoss::GivenUp),
                DispatchAction::CloseSurplus(session) => self.lose(session, SessionLoss::Surplus),
                DispatchAction::Redial(gate) => self.dials.doubt(&gate),
                DispatchAction::Reply { waiter, answer } => {
                    if let Some(reply) = self.replies.remove(&waiter) {
                        let _ = reply.send(answer);
                    }
                }
                DispatchAction::ConfigReceived(document) => self.learn(document, "entry"),
            }
        }
        for session in self.sessions.flush() {
            warn!(self.parts.log, "gate does not keep up"; "session" => session.0);
            self.lose(session, SessionLoss::Stuck);
        }
        let (gates, jobs) = (self.dispatcher.open_gates(), self.dispatcher.open_jobs());
        let mut view = self.view();
        view.gates = gates;
        view.jobs = jobs;
    }
}

/// The table, if the parts of the scheduler that it turns on go together.
fn checked(table: RouteTable) -> Result<RouteTable> {
    let faults = table.scheduling.faults();
    match faults.is_empty() {
        true => Ok(table),
        false => Err(Error::Invalid(faults)),
    }
}

fn document(reader: &dyn ConfigReader, text: bytes::Bytes, log: &Logger) -> Option<ConfigDocument> {
    match reader.read(&text) {
        Ok(table) => Some(ConfigDocument {
            version: table.version,
            text,
        }),
        Err(err) => {
            warn!(log, "configuration not usable"; "error" => %err);
            None
        }
    }
}
