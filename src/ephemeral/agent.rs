//! The loop beside a worker: feeds the gate and carries out what it asks for.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::ephemeral::directory::{Published, WorkerRecord};
use crate::ephemeral::gate::{Gate, GateAction};
use crate::ephemeral::job::RunId;
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{ProcessId, ToEntry, ToGate};
use crate::ephemeral::session::{SessionEvent, SessionId, SessionLoss, Sessions};
use crate::ephemeral::suspension::Suspension;
use crate::ephemeral::worker::{
    PollCall, PollReply, StartAnswer, WorkerCallError, WorkerClient, WorkerReport,
};
use crate::ephemeral::worker_id::WorkerId;
use crate::metrics::Metrics;
use crate::time::{Moment, Timer, micros};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an agent is made of.
pub struct AgentParts {
    /// The process.
    pub me: ProcessId,
    /// Spans of sessions and leases.
    pub limits: Limits,
    /// The worker.
    pub worker: Arc<dyn WorkerClient>,
    /// What the record in the store says.
    pub published: watch::Sender<Published>,
    /// Whether it will be told whether its failure domain is evacuated.
    pub evacuations: bool,
    /// Timer service.
    pub timer: Timer,
    /// Where counts go.
    pub metrics: Metrics,
    /// Where events are logged.
    pub log: Logger,
}

enum Event {
    Accepted(TcpStream),
    Session(SessionEvent<ToGate>),
    Report(Box<WorkerReport>),
    Left(WorkerId),
    Recalled(Box<Published>),
    /// With the life of the worker that was meant; so the next one.
    Started(WorkerId, RunId, Result<StartAnswer, WorkerCallError>),
    Stopped(WorkerId, RunId, Result<(), WorkerCallError>),
    Held(Moment, PollCall, Result<PollReply, WorkerCallError>),
    /// A hold failed, and whether it broke off; its answer follows after a pause.
    HoldFailed(bool),
    Evacuated(bool),
    Leave,
}

/// Handle on an agent for the side that the worker reports to.
#[derive(Clone)]
pub struct AgentHandle {
    events: UnboundedSender<Event>,
}

impl AgentHandle {
    /// The worker reports itself.
    pub fn report(&self, report: WorkerReport) {
        let _ = self.events.send(Event::Report(Box::new(report)));
    }

    /// What an earlier process on this machine published.
    pub fn recall(&self, published: Published) {
        let _ = self.events.send(Event::Recalled(Box::new(published)));
    }

    /// This life of the worker says that it ends.
    pub fn left(&self, worker: WorkerId) {
        let _ = self.events.send(Event::Left(worker));
    }

    /// Its failure domain is evacuated, or taken back; `false` if the agent is gone.
    pub fn evacuate(&self, evacuated: bool) -> bool {
        self.events.send(Event::Evacuated(evacuated)).is_ok()
    }

    /// Takes no more work, and ends once what runs is over.
    pub fn leave(&self) {
        let _ = self.events.send(Event::Leave);
    }
}

/// An agent.
pub struct Agent {
    parts: AgentParts,
    gate: Gate,
    sessions: Sessions<ToEntry, ToGate>,
    tx: UnboundedSender<Event>,
    rx: UnboundedReceiver<Event>,
    leaving: bool,
    shown_us: u64,
}

impl Agent {
    /// An agent that takes sessions on `listener`, and the handle for the side
    /// that its worker reports to.
    pub fn new(parts: AgentParts, listener: TcpListener) -> (Agent, AgentHandle) {
        let (tx, rx) = unbounded_channel();
        let forward = tx.clone();
        let tell = move |event| forward.send(Event::Session(event)).is_ok();
        tokio::spawn(accept(
            listener,
            tx.clone(),
            parts.timer.clone(),
            parts.log.clone(),
        ));
        let mut gate = Gate::new(parts.me.clone(), parts.limits, parts.log.clone());
        if parts.evacuations {
            gate.expect_evacuation(parts.timer.now());
        }
        let agent = Agent {
            gate,
            sessions: Sessions::new(parts.timer.clone(), tell),
            tx: tx.clone(),
            rx,
            leaving: false,
            shown_us: 0,
            parts,
        };
        (agent, AgentHandle { events: tx })
    }

    /// Runs until it was asked to leave and nothing runs any more.
    pub async fn run(mut self) {
        let mut suspension = Suspension::new(self.parts.timer.now());
        loop {
            let pause = self.gate.longest_pause(self.parts.timer.now());
            let timer = self.parts.timer.clone();
            let event = timer.within(pause, self.rx.recv()).await.flatten();
            let now = self.parts.timer.now();
            if let Some(gap) = suspension.turn(now) {
                warn!(self.parts.log, "process stood still"; "gap_ms" => gap.as_millis() as u64);
            }
            if let Some(event) = event {
                self.handle(now, event);
            }
            while let Ok(event) = self.rx.try_recv() {
                self.handle(now, event);
            }
            self.gate.tick(now);
            self.act(now);
            self.show_figures(now);
            if self.leaving && self.gate.is_idle() {
                break;
            }
        }
        // The last frames leave before the sockets close.
        self.parts.timer.sleep(self.parts.limits.beat).await;
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Accepted(stream) => {
                self.sessions.open(stream);
            }
            Event::Session(SessionEvent::Frame { session, frame }) => {
                let age_us = self.sessions.age_us(now, session, frame.sent_us);
                if age_us > micros(self.parts.limits.frame_age) {
                    warn!(self.parts.log, "frame came late"; "session" => session.0,
                        "age_us" => age_us);
                    self.lose(session, SessionLoss::LateFrame);
                    return;
                }
                if !self.sessions.is_open(session) {
                    return;
                }
                for message in frame.messages {
                    self.gate.message(now, session, message);
                }
                self.gate.heard(now, session);
            }
            Event::Session(SessionEvent::Closed(session)) => {
                self.lose(session, SessionLoss::Closed);
            }
            Event::Report(report) => self.gate.worker_report(now, *report),
            Event::Recalled(published) => {
                if let Some(worker) = &published.worker {
                    self.gate.restore_worker(now, worker);
                }
                self.gate.restore_losses(published.losses);
            }
            Event::Left(worker) => self.gate.worker_left(now, &worker),
            Event::Started(worker, run, answer) => {
                self.gate.start_answered(now, &worker, run, answer);
            }
            Event::Stopped(worker, run, answer) => {
                self.gate.stop_answered(now, &worker, run, answer);
            }
            Event::Held(sent, call, answer) => self.gate.poll_answered(now, sent, &call, answer),
            Event::HoldFailed(broke) => self.gate.poll_failed(now, broke),
            Event::Evacuated(evacuated) => {
                let gauge = u64::from(evacuated);
                self.parts.metrics.gauge("evacuated", gauge);
                self.gate.evacuate(now, evacuated);
            }
            Event::Leave => {
                info!(self.parts.log, "agent is leaving"; "idle" => self.gate.is_idle());
                self.leaving = true;
                self.gate.leave(now);
            }
        }
    }

    fn aim(&self, worker: WorkerRecord) {
        self.parts.worker.set_addr(&worker.addr);
        self.parts.published.send_if_modified(|published| {
            let changed = published.worker.as_ref() != Some(&worker);
            published.worker = Some(worker);
            changed
        });
    }

    fn lose(&mut self, session: SessionId, cause: SessionLoss) {
        cause.count(&self.parts.metrics);
        self.sessions.close(session);
        self.gate.session_closed(session);
    }

    fn act(&mut self, now: Moment) {
        for action in self.gate.take_actions(now) {
            self.carry_out(now, action);
        }
        for session in self.sessions.flush() {
            warn!(self.parts.log, "entry does not keep up"; "session" => session.0);
            self.lose(session, SessionLoss::Stuck);
        }
    }

    /// Shows the figures of now, once a heartbeat.
    fn show_figures(&mut self, now: Moment) {
        if now.mono_us >= self.shown_us + micros(self.parts.limits.beat) {
            self.shown_us = now.mono_us;
            let metrics = &self.parts.metrics;
            self.sessions.show_counts(metrics);
            self.gate.report_queue_metrics(now, metrics);
            let percent = self.gate.slowness_percent();
            metrics.gauge("worker_slowness_percent", u64::from(percent));
        }
    }

    fn count(&self, message: &ToEntry) {
        let metrics = &self.parts.metrics;
        match message {
            ToEntry::Ended { end, run_us, .. } => {
                metrics.count(&format!("runs.{}", end.name()), 1);
                metrics.time("run_ms", run_us / 1_000);
            }
            ToEntry::ConfigPart(part) => part.count_sent(metrics),
            _ => {}
        }
    }

    fn carry_out(&mut self, now: Moment, action: GateAction) {
        let tx = self.tx.clone();
        match action {
            GateAction::Send { session, message } => {
                self.count(&message);
                self.sessions.send(session, message);
            }
            GateAction::Close(session) => self.lose(session, SessionLoss::GivenUp),
            GateAction::SetWorker(worker) => self.aim(worker),
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
                        let broke = waited_us < micros(call.longest_wait());
                        let _ = tx.send(Event::HoldFailed(broke));
                        timer.sleep(call.retry_delay).await;
                    }
                    let _ = tx.send(Event::Held(now, call, answer));
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
                warn!(log, "accept"; "error" => %err);
                timer.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
