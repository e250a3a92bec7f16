//! Event loop of an entry: passes events to the dispatcher and executes its actions.

pub mod dials;
mod handle;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};

use crate::code::{Effect, ResultCode};
use crate::ephemeral::callers::{self, Callers};
use crate::ephemeral::cancellations::{self, CancellationRecorder, RecordWriter};
use crate::ephemeral::directory::{self, GateChanges};
use crate::ephemeral::dispatcher::{DispatchAction, Dispatcher, JobState, WaiterId};
use crate::ephemeral::follower::{Follower, WATCH_TIMEOUT, WatchedKeys};
use crate::ephemeral::job::JobId;
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{ConfigDocument, ProcessId, ToEntry, ToGate};
use crate::ephemeral::routes::RouteTable;
use crate::ephemeral::session::{SessionEndCause, SessionEvent, SessionId, Sessions, connect};
use crate::ephemeral::suspension::{Pauses, Suspension};
use crate::error::{Error, Result};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::store::{Store, StoreEntry};
use crate::time::{Moment, Timer, micros};
use dials::Dialer;
pub use handle::EntryHandle;
use handle::{EntryStatus, Submission};

/// Interval of the dispatcher's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Message of answers to callers that have disconnected.
const CALLER_LEFT: &str = "its caller left";
/// Message of answers to callers whose deadline passes before their job is dispatched.
const DEADLINE_PASSED: &str = "its deadline passed before it began";

/// Parses configuration documents.
pub trait ConfigReader: Send + Sync {
    /// Parses a document into its routes.
    fn read(&self, text: &[u8]) -> Result<RouteTable>;
}

/// Settings and dependencies of an entry.
pub struct EntryParts {
    /// Identity of the process.
    pub process: ProcessId,
    /// Timeouts of sessions.
    pub limits: Limits,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Key of the configuration in the store.
    pub config_key: String,
    /// Parser of configuration documents.
    pub reader: Arc<dyn ConfigReader>,
    /// Clock and timers.
    pub timer: Timer,
    /// Sink for metrics.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

enum Event {
    Submit(Box<Submission>),
    WaiterGone(WaiterId, JobId),
    /// A caller cancels a job at this entry.
    Cancel(JobId),
    /// Jobs of new cancellation records.
    CancellationRecords(Vec<JobId>),
    JobState(JobId, oneshot::Sender<JobState>),
    Session(SessionEvent<ToEntry>),
    Dialed(Arc<str>, Option<TcpStream>),
    Gates(GateChanges),
    Config(ConfigDocument),
    Leave,
}

/// Accepts jobs and dispatches their tasks to gates.
pub struct Entry {
    parts: EntryParts,
    dispatcher: Dispatcher,
    sessions: Sessions<ToGate, ToEntry>,
    dialer: Dialer,
    replies: HashMap<WaiterId, oneshot::Sender<Answer>>,
    callers: Callers,
    status: Arc<Mutex<EntryStatus>>,
    table: watch::Sender<Arc<RouteTable>>,
    /// Writer of cancellation records, until the entry runs.
    record_writer: Option<RecordWriter>,
    tx: UnboundedSender<Event>,
    rx: UnboundedReceiver<Event>,
    suspension: Suspension,
    pauses: Pauses,
    metrics_reported_us: u64,
    last_turn_us: u64,
    /// Largest delay of an event loop iteration since the last report.
    max_turn_delay: Duration,
}

impl Entry {
    /// Creates an entry and the handle for its HTTP server.
    pub fn new(parts: EntryParts) -> (Entry, EntryHandle) {
        let (tx, rx) = unbounded_channel();
        let events = tx.clone();
        let on_event = move |event| events.send(Event::Session(event)).is_ok();
        let status = Arc::new(Mutex::new(EntryStatus::default()));
        let (table, table_rx) = watch::channel(Arc::default());
        let (recorder, record_writer) = CancellationRecorder::new(
            parts.store.clone(),
            parts.process.clone(),
            parts.timer.clone(),
            parts.metrics.clone(),
            parts.log.clone(),
        );
        let handle = EntryHandle {
            events: tx.clone(),
            cancellations: recorder,
            status: status.clone(),
            table: table_rx,
            waiters: Arc::default(),
            resend: parts.limits.resend,
            timer: parts.timer.clone(),
            metrics: parts.metrics.clone(),
            log: parts.log.clone(),
        };
        let entry = Entry {
            dispatcher: Dispatcher::new(parts.process.clone(), parts.limits, parts.log.clone()),
            sessions: Sessions::new(parts.limits.max_frame_age, on_event),
            dialer: Dialer::default(),
            replies: HashMap::new(),
            callers: Callers::default(),
            status,
            table,
            record_writer: Some(record_writer),
            tx,
            rx,
            suspension: Suspension::new(parts.timer.now()),
            pauses: Pauses::new(parts.timer.now()),
            metrics_reported_us: 0,
            last_turn_us: parts.timer.now().mono_us,
            max_turn_delay: Duration::ZERO,
            parts,
        };
        (entry, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.follow_store();
        if let Some(writer) = self.record_writer.take() {
            tokio::spawn(writer.run());
        }
        let mut ticks = self.parts.timer.interval(TICK_INTERVAL);
        loop {
            let first = tokio::select! {
                event = self.rx.recv() => event,
                tick = ticks.recv() => tick.and(None),
            };
            let mut events = Vec::from_iter(first);
            events.extend(std::iter::from_fn(|| self.rx.try_recv().ok()));
            // After a pause, a clock read before the inputs would make them look too young.
            let now = self.parts.timer.now();
            self.check_suspension(now);
            self.record_turn_delay(now);
            self.remove_disconnected_callers(now);
            self.dispatcher.tick(now);
            for event in events {
                self.handle(now, event);
            }
            self.report_metrics(now);
            self.dial_gates(now);
            self.execute_actions(now);
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
        let name = parts.process.name.clone();
        tokio::spawn(directory::follow_gates(follower.clone(), name, changes_tx));
        let tx = self.tx.clone();
        tokio::spawn(async move {
            while let Some(changes) = changes.recv().await {
                let _ = tx.send(Event::Gates(changes));
            }
        });
        let tx = self.tx.clone();
        let deliver = move |jobs| tx.send(Event::CancellationRecords(jobs)).is_ok();
        tokio::spawn(cancellations::follow(follower.clone(), deliver));
        let (key, log) = (parts.config_key.clone(), parts.log.clone());
        let (reader, tx) = (parts.reader.clone(), self.tx.clone());
        tokio::spawn(async move {
            let on_entries = |entries: Vec<StoreEntry>| {
                let found = entries.into_iter().find(|entry| entry.key == key);
                let document = found.and_then(|entry| read_document(&*reader, entry.value, &log));
                document.is_none_or(|document| tx.send(Event::Config(document)).is_ok())
            };
            let keys = WatchedKeys {
                prefix: &key,
                label: "configuration",
                leased: false,
                max_wait: WATCH_TIMEOUT,
            };
            follower.follow(&keys, on_entries).await;
        });
    }

    fn check_suspension(&mut self, now: Moment) {
        if let Some(gap) = self.suspension.record_turn(now) {
            warn!(self.parts.log, "process was suspended"; "gap_ms" => gap.as_millis() as u64);
        }
        if let Some(late) = self.pauses.record_turn(now, TICK_INTERVAL) {
            debug!(self.parts.log, "process paused"; "late_ms" => late.as_millis() as u64);
        }
    }

    fn record_turn_delay(&mut self, now: Moment) {
        let gap = Duration::from_micros(now.mono_us.saturating_sub(self.last_turn_us));
        self.last_turn_us = now.mono_us;
        let delay = gap.saturating_sub(TICK_INTERVAL);
        self.max_turn_delay = self.max_turn_delay.max(delay);
        self.dispatcher.record_late_tick(now, delay);
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Submit(submission) => self.submit(now, *submission),
            Event::WaiterGone(waiter, job) => {
                self.remove_caller(now, waiter, job);
            }
            Event::Cancel(job) => self.dispatcher.cancel(now, job, "caller"),
            Event::CancellationRecords(jobs) => {
                for job in jobs {
                    self.dispatcher.cancel(now, job, "store");
                }
            }
            Event::JobState(job, reply) => {
                // The caller may have left.
                let _ = reply.send(self.dispatcher.job_state(job));
            }
            Event::Session(SessionEvent::Frame { session, frame }) => {
                let Some(age_us) = self.sessions.age_us(now, session, &frame) else {
                    return;
                };
                self.dispatcher.record_frame_wait(now, age_us);
                if age_us > micros(self.parts.limits.max_frame_age) {
                    warn!(self.parts.log, "frame exceeded the maximum age; closing session";
                        "session" => session.0, "age_us" => age_us);
                    self.end_session(now, session, SessionEndCause::LateFrame);
                    return;
                }
                self.dispatcher.frame_received(now, session);
                for message in frame.messages {
                    self.dispatcher.handle_message(now, session, message);
                }
            }
            Event::Session(SessionEvent::Closed(session)) => {
                self.end_session(now, session, SessionEndCause::Closed);
            }
            Event::Dialed(name, stream) => self.dial_finished(now, &name, stream),
            Event::Gates(changes) => {
                self.dispatcher.update_gates(now, &changes);
                self.dialer.update_records(now, changes);
            }
            Event::Config(document) => self.apply_config(document, "store"),
            Event::Leave => {
                info!(self.parts.log, "entry is shutting down";
                    "open_jobs" => self.dispatcher.open_jobs());
                self.status().leaving = true;
            }
        }
    }

    fn status(&self) -> std::sync::MutexGuard<'_, EntryStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Dispatches a job, unless its caller has disconnected: the caller may have resent the
    /// job to another entry meanwhile.
    fn submit(&mut self, now: Moment, submission: Submission) {
        let (waiter, job) = (submission.waiter, submission.spec.id);
        let caller = submission.caller;
        if submission.reply.is_closed() || callers::is_disconnected(&caller.socket) {
            info!(self.parts.log, "request dropped: its caller has disconnected"; "job" => %job);
            self.parts.metrics.count("requests_dropped", 1);
            let answer = Answer::not_run(ResultCode::Overloaded, CALLER_LEFT);
            let _ = submission.reply.send(answer);
            return;
        }
        let deadline_us = caller.received.after(caller.wait);
        if deadline_us <= now.mono_us {
            info!(self.parts.log, "request dropped: its deadline has passed"; "job" => %job,
                "age_us" => now.mono_us - caller.received.mono_us);
            self.parts.metrics.count("requests_dropped", 1);
            let answer = Answer::not_run(ResultCode::Overloaded, DEADLINE_PASSED);
            let _ = submission.reply.send(answer);
            return;
        }
        self.callers.insert(waiter, job, caller.socket);
        self.replies.insert(waiter, submission.reply);
        let (spec, route) = (submission.spec, submission.route);
        self.dispatcher
            .submit(now, waiter, spec, route, deadline_us - now.mono_us);
    }

    /// Stops the jobs whose callers have disconnected. Runs before anything is decided in a
    /// turn of the loop, so that after a pause of this process nothing is started for a caller
    /// that has left meanwhile.
    fn remove_disconnected_callers(&mut self, now: Moment) {
        let interval = self.parts.limits.caller_check;
        for (waiter, job) in self.callers.take_disconnected(now, interval) {
            self.remove_caller(now, waiter, job);
        }
    }

    fn remove_caller(&mut self, now: Moment, waiter: WaiterId, job: JobId) {
        self.callers.remove(waiter);
        if let Some(reply) = self.replies.remove(&waiter) {
            // A caller that has closed only its side may still read the answer.
            let (code, effect) = (ResultCode::OutcomeUnknown, Effect::Unknown);
            let _ = reply.send(Answer::failure(code, effect, CALLER_LEFT));
        }
        self.dispatcher.remove_waiter(now, waiter, job);
    }

    fn end_session(&mut self, now: Moment, session: SessionId, cause: SessionEndCause) {
        cause.count(&self.parts.metrics);
        self.sessions.close(session);
        self.dispatcher.disconnected(now, session);
        self.dialer.session_closed(session);
    }

    fn dial_gates(&mut self, now: Moment) {
        let dispatcher = &self.dispatcher;
        for attempt in self
            .dialer
            .due_attempts(now, |gate| dispatcher.wants_session(gate))
        {
            let (timer, tx) = (self.parts.timer.clone(), self.tx.clone());
            tokio::spawn(async move {
                let stream = connect(&timer, attempt.addr, attempt.timeout).await;
                let _ = tx.send(Event::Dialed(attempt.gate, stream));
            });
        }
    }

    fn dial_finished(&mut self, now: Moment, gate: &Arc<str>, stream: Option<TcpStream>) {
        let Some(stream) = stream else {
            self.dialer.attempt_failed(gate);
            self.dispatcher.gate_unreachable(gate);
            return;
        };
        let sessions = &mut self.sessions;
        let session = self.dialer.connected(gate, || sessions.open(stream));
        if let Some(session) = session {
            self.dispatcher.connected(now, gate, session);
        }
    }

    /// Applies a configuration if it is newer than the current one.
    fn apply_config(&mut self, document: ConfigDocument, from: &'static str) {
        let before = self.table.borrow().version;
        if document.version <= before {
            return;
        }
        match self.parts.reader.read(&document.text).and_then(validate) {
            Ok(table) => {
                info!(self.parts.log, "configuration applied"; "version" => table.version,
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
                warn!(self.parts.log, "invalid configuration"; "version" => document.version,
                    "error" => %err);
            }
        }
    }

    /// Updates the metrics, once per heartbeat interval.
    fn report_metrics(&mut self, now: Moment) {
        if now.mono_us >= self.metrics_reported_us + micros(self.parts.limits.heartbeat_interval) {
            self.metrics_reported_us = now.mono_us;
            self.sessions.report_frame_counts(&self.parts.metrics);
            self.dispatcher.record_gate_metrics(&self.parts.metrics);
            self.dispatcher.report_registrations(&self.parts.metrics);
            self.dispatcher.record_lag_metrics(now, &self.parts.metrics);
            let delay_ms = std::mem::take(&mut self.max_turn_delay).as_millis() as u64;
            self.parts.metrics.time("turn_late_ms", delay_ms);
            self.pauses.report(&self.parts.metrics);
        }
    }

    fn execute_actions(&mut self, now: Moment) {
        for action in self.dispatcher.take_actions(now) {
            match action {
                DispatchAction::Send { session, message } => {
                    if let ToGate::ConfigPart { part, .. } = &message {
                        part.count_sent(&self.parts.metrics);
                    }
                    self.sessions.send(session, message);
                }
                DispatchAction::Close(session) => {
                    self.end_session(now, session, SessionEndCause::GivenUp)
                }
                DispatchAction::CloseSurplus(session) => {
                    self.end_session(now, session, SessionEndCause::Surplus)
                }
                DispatchAction::Redial(gate) => self.dialer.suspect_connection(&gate),
                DispatchAction::Reply { waiter, answer } => {
                    self.callers.remove(waiter);
                    if let Some(reply) = self.replies.remove(&waiter) {
                        let _ = reply.send(answer);
                    }
                }
                DispatchAction::ConfigReceived(document) => self.apply_config(document, "entry"),
            }
        }
        for session in self.sessions.flush(now) {
            warn!(self.parts.log, "cannot queue frame for gate; closing session";
                "session" => session.0);
            self.end_session(now, session, SessionEndCause::Stuck);
        }
        let (gates, jobs) = (self.dispatcher.open_gates(), self.dispatcher.open_jobs());
        let mut status = self.status();
        status.gates = gates;
        status.jobs = jobs;
    }
}

/// Returns the table, or an error if its scheduling features conflict.
fn validate(table: RouteTable) -> Result<RouteTable> {
    let errors = table.scheduling.faults();
    match errors.is_empty() {
        true => Ok(table),
        false => Err(Error::Invalid(errors)),
    }
}

fn read_document(
    reader: &dyn ConfigReader,
    text: bytes::Bytes,
    log: &Logger,
) -> Option<ConfigDocument> {
    match reader.read(&text) {
        Ok(table) => Some(ConfigDocument {
            version: table.version,
            text,
        }),
        Err(err) => {
            warn!(log, "invalid configuration"; "error" => %err);
            None
        }
    }
}
