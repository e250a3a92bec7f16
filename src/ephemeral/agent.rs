//! Event loop of an agent: passes events to the gate and executes its actions.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::ephemeral::directory::{PublishedState, WorkerRecord};
use crate::ephemeral::gate::{Gate, GateAction};
use crate::ephemeral::job::RunId;
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{Frame, ProcessId, ToEntry, ToGate};
use crate::ephemeral::session::{SessionEndCause, SessionEvent, SessionId, Sessions};
use crate::ephemeral::suspension::{Pauses, Suspension};
use crate::ephemeral::worker::{
    PollCall, PollReply, StartAnswer, WorkerCallError, WorkerClient, WorkerReport,
};
use crate::ephemeral::worker_id::WorkerId;
use crate::metrics::Metrics;
use crate::time::{Moment, Timer, micros};

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Settings and dependencies of an agent.
pub struct AgentParts {
    /// Identity of the process.
    pub process: ProcessId,
    /// Timeouts of sessions and leases.
    pub limits: Limits,
    /// Client of the worker.
    pub worker: Arc<dyn WorkerClient>,
    /// State to publish in the gate's record in the store.
    pub published: watch::Sender<PublishedState>,
    /// Whether the agent is notified of evacuations of its failure domain.
    pub evacuations: bool,
    /// Clock and timers.
    pub timer: Timer,
    /// Sink for metrics.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

enum Event {
    Accepted(TcpStream),
    Session(SessionEvent<ToGate>),
    Report(Box<WorkerReport>),
    WorkerLeft(WorkerId),
    Restored(Box<PublishedState>),
    /// Answer to a start; the id, as in `Stopped`, is of the worker incarnation that was called.
    Started(WorkerId, RunId, Result<StartAnswer, WorkerCallError>),
    Stopped(WorkerId, RunId, Result<(), WorkerCallError>),
    Polled(Moment, PollCall, Result<PollReply, WorkerCallError>),
    /// A poll failed; `true` if before its timeout. `Polled` follows after a delay.
    PollFailed(bool),
    Evacuated(bool),
    Leave,
}

/// Passes worker reports and other external events to an agent.
#[derive(Clone)]
pub struct AgentHandle {
    events: UnboundedSender<Event>,
}

impl AgentHandle {
    /// Passes a report of the worker to the gate.
    pub fn report(&self, report: WorkerReport) {
        let _ = self.events.send(Event::Report(Box::new(report)));
    }

    /// Restores the state that an earlier process on this instance published.
    pub fn restore(&self, published: PublishedState) {
        let _ = self.events.send(Event::Restored(Box::new(published)));
    }

    /// Reports that this incarnation of the worker is shutting down.
    pub fn worker_left(&self, worker: WorkerId) {
        let _ = self.events.send(Event::WorkerLeft(worker));
    }

    /// Sets whether the failure domain is evacuated; returns `false` if the agent has ended.
    pub fn set_evacuated(&self, evacuated: bool) -> bool {
        self.events.send(Event::Evacuated(evacuated)).is_ok()
    }

    /// Stops accepting work; the agent ends once all its runs have ended.
    pub fn leave(&self) {
        let _ = self.events.send(Event::Leave);
    }
}

/// Runs the gate of one worker.
pub struct Agent {
    parts: AgentParts,
    gate: Gate,
    sessions: Sessions<ToEntry, ToGate>,
    tx: UnboundedSender<Event>,
    rx: UnboundedReceiver<Event>,
    leaving: bool,
    metrics_reported_us: u64,
}

impl Agent {
    /// Creates an agent that accepts sessions on `listener`, and its handle.
    pub fn new(parts: AgentParts, listener: TcpListener) -> (Agent, AgentHandle) {
        let (tx, rx) = unbounded_channel();
        let events = tx.clone();
        let on_event = move |event| events.send(Event::Session(event)).is_ok();
        tokio::spawn(accept(
            listener,
            tx.clone(),
            parts.timer.clone(),
            parts.log.clone(),
        ));
        let mut gate = Gate::new(parts.process.clone(), parts.limits, parts.log.clone());
        if parts.evacuations {
            gate.await_evacuation_state(parts.timer.now());
        }
        let agent = Agent {
            gate,
            sessions: Sessions::new(parts.limits.max_frame_age, on_event),
            tx: tx.clone(),
            rx,
            leaving: false,
            metrics_reported_us: 0,
            parts,
        };
        (agent, AgentHandle { events: tx })
    }

    /// Runs until [`AgentHandle::leave`] is called and all runs have ended.
    pub async fn run(mut self) {
        let mut suspension = Suspension::new(self.parts.timer.now());
        let mut pauses = Pauses::new(self.parts.timer.now());
        loop {
            let pause = self.gate.longest_pause(self.parts.timer.now());
            let timer = self.parts.timer.clone();
            let first = timer.timeout(pause, self.rx.recv()).await.flatten();
            let mut events = Vec::from_iter(first);
            events.extend(std::iter::from_fn(|| self.rx.try_recv().ok()));
            // After a pause, a clock read before the inputs would make them look too young.
            let now = self.parts.timer.now();
            if let Some(gap) = suspension.record_turn(now) {
                warn!(self.parts.log, "process was suspended"; "gap_ms" => gap.as_millis() as u64);
            }
            if let Some(late) = pauses.record_turn(now, pause) {
                debug!(self.parts.log, "process paused"; "late_ms" => late.as_millis() as u64);
            }
            for event in events {
                self.handle(now, event);
            }
            self.gate.tick(now);
            self.execute_actions(now);
            self.report_metrics(now, &mut pauses);
            if self.leaving && self.gate.is_idle() {
                break;
            }
        }
        // Leaves time to send the last frames before the sockets close.
        self.parts
            .timer
            .sleep(self.parts.limits.heartbeat_interval)
            .await;
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Accepted(stream) => {
                self.sessions.open(stream);
            }
            Event::Session(SessionEvent::Frame { session, frame }) => {
                self.handle_frame(now, session, frame);
            }
            Event::Session(SessionEvent::Closed(session)) => {
                self.end_session(session, SessionEndCause::Closed);
            }
            Event::Report(report) => self.gate.worker_report(now, *report),
            Event::Restored(published) => {
                if let Some(worker) = &published.worker {
                    self.gate.restore_worker(now, worker);
                }
                self.gate.restore_losses(published.losses);
            }
            Event::WorkerLeft(worker) => self.gate.worker_left(now, &worker),
            Event::Started(worker, run, answer) => {
                self.gate.start_answered(now, &worker, run, answer);
            }
            Event::Stopped(worker, run, answer) => {
                self.gate.stop_answered(now, &worker, run, answer);
            }
            Event::Polled(sent, call, answer) => self.gate.poll_answered(now, sent, &call, answer),
            Event::PollFailed(ended_early) => self.gate.poll_failed(now, ended_early),
            Event::Evacuated(evacuated) => {
                let gauge = u64::from(evacuated);
                self.parts.metrics.gauge("evacuated", gauge);
                self.gate.set_evacuated(now, evacuated);
            }
            Event::Leave => {
                info!(self.parts.log, "agent is shutting down"; "idle" => self.gate.is_idle());
                self.leaving = true;
                self.gate.leave(now);
            }
        }
    }

    fn handle_frame(&mut self, now: Moment, session: SessionId, frame: Frame<ToGate>) {
        let Some(age_us) = self.sessions.age_us(now, session, &frame) else {
            return;
        };
        if age_us > micros(self.parts.limits.max_frame_age) {
            warn!(self.parts.log, "frame exceeded the maximum age; closing session";
                "session" => session.0, "age_us" => age_us);
            self.end_session(session, SessionEndCause::LateFrame);
            return;
        }
        for message in frame.messages {
            self.gate.handle_message(now, session, message);
        }
        let sent = Moment {
            mono_us: now.mono_us.saturating_sub(age_us),
            ..now
        };
        self.gate.frame_received(sent, session);
    }

    fn set_worker(&self, worker: WorkerRecord) {
        self.parts.worker.set_addr(&worker.addr);
        self.parts.published.send_if_modified(|published| {
            let changed = published.worker.as_ref() != Some(&worker);
            published.worker = Some(worker);
            changed
        });
    }

    fn end_session(&mut self, session: SessionId, cause: SessionEndCause) {
        cause.count(&self.parts.metrics);
        self.sessions.close(session);
        self.gate.session_closed(session);
    }

    fn execute_actions(&mut self, now: Moment) {
        for action in self.gate.take_actions(now) {
            self.execute(now, action);
        }
        for session in self.sessions.flush(now) {
            warn!(self.parts.log, "cannot queue frame for entry; closing session";
                "session" => session.0);
            self.end_session(session, SessionEndCause::Stuck);
        }
    }

    /// Updates the metrics, once per heartbeat interval.
    fn report_metrics(&mut self, now: Moment, pauses: &mut Pauses) {
        if now.mono_us >= self.metrics_reported_us + micros(self.parts.limits.heartbeat_interval) {
            self.metrics_reported_us = now.mono_us;
            let metrics = &self.parts.metrics;
            self.sessions.report_frame_counts(metrics);
            self.gate.report_queue_metrics(now, metrics);
            let percent = self.gate.slowness_percent();
            metrics.gauge("worker_slowness_percent", u64::from(percent));
            pauses.report(metrics);
        }
    }

    fn count_message(&self, message: &ToEntry) {
        let metrics = &self.parts.metrics;
        match message {
            ToEntry::Ended { end, run_us, .. } => {
                metrics.count(&format!("runs.{}", end.metric_name()), 1);
                metrics.time("run_ms", run_us / 1_000);
            }
            ToEntry::ConfigPart(part) => part.count_sent(metrics),
            _ => {}
        }
    }

    fn execute(&mut self, now: Moment, action: GateAction) {
        let tx = self.tx.clone();
        match action {
            GateAction::Send { session, message } => {
                self.count_message(&message);
                self.sessions.send(session, message);
            }
            GateAction::Close(session) => self.end_session(session, SessionEndCause::GivenUp),
            GateAction::SetWorker(worker) => self.set_worker(worker),
            GateAction::StoreLosses(losses) => {
                self.parts.metrics.count("workers_lost", 1);
                self.parts
                    .published
                    .send_modify(|published| published.losses = losses);
            }
            GateAction::Start(call) => {
                let (worker, run) = (call.worker.clone(), call.run);
                let answer = self.parts.worker.start(call);
                tokio::spawn(async move {
                    let _ = tx.send(Event::Started(worker, run, answer.await));
                });
            }
            GateAction::Stop(call) => {
                let (worker, run) = (call.worker.clone(), call.run);
                let answer = self.parts.worker.stop(call);
                tokio::spawn(async move {
                    let _ = tx.send(Event::Stopped(worker, run, answer.await));
                });
            }
            GateAction::Poll(call) => {
                let answer = self.parts.worker.poll_runs(call.clone());
                let timer = self.parts.timer.clone();
                tokio::spawn(async move {
                    let answer = answer.await;
                    if answer.is_err() {
                        let waited_us = timer.now().mono_us.saturating_sub(now.mono_us);
                        let ended_early = waited_us < micros(call.total_timeout());
                        let _ = tx.send(Event::PollFailed(ended_early));
                        timer.sleep(call.retry_delay).await;
                    }
                    let _ = tx.send(Event::Polled(now, call, answer));
                });
            }
        }
    }
}

async fn accept(listener: TcpListener, tx: UnboundedSender<Event>, timer: Timer, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if tx.send(Event::Accepted(stream)).is_err() {
                    return;
                }
            }
            Err(err) => {
                warn!(log, "cannot accept connection"; "error" => %err);
                timer.sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}
