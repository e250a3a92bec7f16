//! Gates coming, going and silent, as the dispatcher sees them.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::{DispatchAction, Dispatcher, Link};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::directory::GateChanges;
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::message::{NotRunReason, OpenRun, ProcessId, RunEnd, ToEntry, ToGate};
use crate::ephemeral::placement::GateView;
use crate::ephemeral::session::SessionId;
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Moment, micros};

/// Pause between two runs that try out a suspect worker.
pub(super) const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Time between two turns of the loop, which are 10 ms apart, after which this
/// process may have left frames unread.
const LONGEST_TURN: Duration = Duration::from_millis(30);

impl Dispatcher {
    /// A connection to the gate `name` is open: the message that begins the
    /// session.
    pub fn connected(&mut self, now: Moment, name: &Arc<str>, session: SessionId) {
        let open = self.open_runs(name);
        let gate = self.gates.entry(name.clone());
        let gate = gate.or_insert_with(|| GateView::new(now.mono_us));
        gate.begin_session(now);
        gate.claimed = open.iter().map(|claimed| claimed.run).collect();
        gate.session = None;
        self.close_sessions(name);
        info!(self.log, "gate connected"; "gate" => &**name, "open_runs" => open.len());
        let link = Link {
            gate: name.clone(),
            sent_us: now.mono_us,
        };
        self.sessions.insert(session, link);
        self.subset.note(name, true);
        let message = ToGate::Hello {
            entry: self.me.clone(),
            config: self.configs.version(),
            open,
        };
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Closes all sessions with a gate, answered or not.
    fn close_sessions(&mut self, name: &Arc<str>) {
        let of_gate = self.sessions.extract_if(|_, link| link.gate == *name);
        let closes = of_gate.map(|(session, _)| DispatchAction::Close(session));
        self.actions.extend(closes);
    }

    pub(super) fn open_runs(&self, name: &Arc<str>) -> Vec<OpenRun> {
        let sent_to = self.gates.get(name).map_or(0, |gate| gate.incarnation);
        let mut open = Vec::new();
        for job in self.jobs.values() {
            let here = job.out().filter(|(gate, _)| *gate == name);
            open.extend(here.map(|(_, run)| OpenRun {
                run,
                sent_to,
                needs: job.spec.needs,
                expected_us: job.expected_us,
            }));
        }
        open
    }

    /// A session ended; the gate has until the silence limit to come back.
    pub fn disconnected(&mut self, session: SessionId) {
        let Some(Link { gate: name, .. }) = self.sessions.remove(&session) else {
            return;
        };
        info!(self.log, "gate disconnected"; "gate" => &*name);
        if let Some(gate) = self.gates.get_mut(&name)
            && gate.session == Some(session)
        {
            gate.session = None;
        }
    }

    /// Something arrived on a session in good time.
    pub fn heard(&mut self, now: Moment, session: SessionId) {
        let link = self.sessions.get(&session);
        if let Some(gate) = link.and_then(|link| self.gates.get_mut(&link.gate)) {
            gate.heard_us = now.mono_us;
        }
    }

    /// A message came from a gate.
    pub fn message(&mut self, now: Moment, session: SessionId, message: ToEntry) {
        let Some(name) = self.sessions.get(&session).map(|link| link.gate.clone()) else {
            return;
        };
        match message {
            ToEntry::Hello { gate, config } => self.hello(now, &name, session, &gate, config),
            ToEntry::Load(load) => {
                self.subset.note(&name, !load.leaving);
                if let Some(worker) = &load.worker {
                    self.compare_worker(now, &name, &worker.id);
                }
                if let Some(gate) = self.gates.get_mut(&name) {
                    gate.observe(now, load);
                }
                self.note_service(now);
                self.dirty |= !self.backlog.is_empty() || !self.deferral.is_empty();
            }
            ToEntry::Losses(losses) => self.learn_losses(now, &losses),
            ToEntry::Began { run } => self.began(now, run),
            ToEntry::Ended { run, end, run_us } => self.ended(now, &name, run, end, run_us),
            ToEntry::ConfigVersion(version) => self.gate_knows_config(now, &name, version),
            ToEntry::WantConfig { asker, wanted } => {
                self.give_config_part(session, asker, wanted);
            }
            ToEntry::ConfigPart(part) => self.config_part(now, session, &part),
        }
    }

    fn hello(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        session: SessionId,
        gate: &ProcessId,
        config: u64,
    ) {
        let Some(view) = self.gates.get_mut(name) else {
            return;
        };
        view.session = Some(session);
        let claimed = std::mem::take(&mut view.claimed);
        if view.incarnation != gate.incarnation {
            info!(self.log, "gate is new"; "gate" => &**name, "incarnation" => gate.incarnation);
            view.incarnation = gate.incarnation;
        }
        self.withdraw_claims(name, session, &claimed);
        self.gate_knows_config(now, name, config);
        // A configuration that came between the hello and its answer.
        if self.configs.version() > config {
            let message = ToGate::ConfigVersion(self.configs.version());
            self.actions.push(DispatchAction::Send { session, message });
        }
    }

    /// Stops what the hello claimed and nobody wants any more: between the hello
    /// and its answer there was no session to send a stop on.
    fn withdraw_claims(&mut self, name: &Arc<str>, session: SessionId, claimed: &[RunId]) {
        let open = self.open_runs(name);
        let unwanted = claimed
            .iter()
            .filter(|run| open.iter().all(|still| still.run != **run));
        let stops = unwanted.map(|run| DispatchAction::Send {
            session,
            message: ToGate::Stop { run: *run },
        });
        self.actions.extend(stops);
    }

    /// Keeps account of since when there has been a gate that takes work.
    fn note_service(&mut self, now: Moment) {
        if self.open_gates() == 0 {
            self.served_since_us = None;
        } else {
            self.served_since_us.get_or_insert(now.mono_us);
        }
    }

    /// Ends jobs with runs at gates that have been silent for too long: those
    /// runs may go on for a while, so their outcome is unknown.
    pub(super) fn drop_silent_gates(&mut self, now: Moment) {
        let limits = &self.limits;
        let silent: Vec<Arc<str>> = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.is_gone(now, limits))
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.drop_gate(now, &name);
        }
    }

    /// Asks for a second connection to gates that should have been heard by now.
    ///
    /// A dead connection then costs the jobs on it some delay, and no answer: the
    /// session goes over to the new connection, runs go on, and starts that never
    /// came are placed again. Where half of all connections die four times in half a
    /// minute, 123 of 4,105 jobs were lost without it and none with it (one play each).
    pub(super) fn doubt_quiet_gates(&mut self, now: Moment) {
        self.note_turn(now);
        let (limits, listening_us) = (&self.limits, self.listening_us);
        for (name, gate) in &mut self.gates {
            let before = gate.quiet;
            gate.quiet = gate.is_overdue(now, limits, listening_us);
            if !gate.quiet {
                continue;
            }
            if !before {
                info!(self.log, "gate is quiet"; "gate" => &**name,
                    "silent_us" => now.mono_us.saturating_sub(gate.heard_us));
            }
            self.actions.push(DispatchAction::Redial(name.clone()));
        }
    }

    /// A process that stood still has not read what came meanwhile, and must not
    /// take that for the silence of others.
    fn note_turn(&mut self, now: Moment) {
        if now.mono_us > self.turned_us + micros(LONGEST_TURN) {
            self.listening_us = now.mono_us;
        }
        self.turned_us = now.mono_us;
    }

    fn drop_gate(&mut self, now: Moment, name: &Arc<str>) {
        if let Some(worker) = self.gates.get(name).and_then(GateView::worker).cloned() {
            self.leave_behind(now, name, &worker.id);
        }
        let Some(gate) = self.gates.remove(name) else {
            return;
        };
        info!(self.log, "gate given up"; "gate" => &**name,
            "silent_us" => now.mono_us.saturating_sub(gate.heard_us));
        self.note_service(now);
        self.close_sessions(name);
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.out().any(|(gate, _)| gate == name))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let answer = Answer::failure(
                ResultCode::OutcomeUnknown,
                Effect::Unknown,
                "a worker's gate is gone",
            );
            self.finish(now, id, answer);
        }
    }

    /// Records of gates have changed.
    pub fn know_gates(&mut self, now: Moment, changes: &GateChanges) {
        self.subset.know(now, changes);
        for record in &changes.written {
            self.learn_losses(now, &record.losses);
        }
    }

    /// Adds what is known of gates to the figures.
    pub fn show_gates(&self, metrics: &Metrics) {
        let (known, wanted) = self.subset.sizes();
        let answered = self.gates.values().filter(|gate| gate.session.is_some());
        metrics.gauge("gates_known", known as u64);
        metrics.gauge("gates_wanted", wanted as u64);
        metrics.gauge("sessions_open", answered.count() as u64);
        metrics.gauge("gates_open", self.open_gates() as u64);
        metrics.gauge("jobs_open", self.open_jobs() as u64);
        metrics.gauge("jobs_deferred", self.deferral.len() as u64);
    }

    /// A gate could not be reached.
    pub fn unreachable(&mut self, gate: &Arc<str>) {
        self.subset.note(gate, false);
    }

    /// Whether a session with this gate is wanted: for new work, or because it has some.
    pub fn wants(&self, gate: &str) -> bool {
        let has_work = |view: &GateView| view.has_runs();
        self.subset.wants(gate) || self.gates.get(gate).is_some_and(has_work)
    }

    /// Closes sessions that are not wanted any more, once their work is over for good.
    pub(super) fn part_from_surplus(&mut self, now: Moment) {
        self.subset.choose(now);
        let (linger, subset) = (self.limits.linger, &self.subset);
        let surplus = self.gates.extract_if(.., |name, gate| {
            let unwanted = subset.knows(name) && !subset.wants(name);
            unwanted && gate.session.is_some() && !gate.is_busy(now, linger)
        });
        let sessions: Vec<SessionId> = surplus.filter_map(|(_, gate)| gate.session).collect();
        for session in sessions {
            self.sessions.remove(&session);
            self.actions.push(DispatchAction::Part(session));
        }
    }

    /// Adds a heartbeat for each session on which nothing was sent for its pause.
    pub(super) fn add_heartbeats(&mut self, now: Moment) {
        for action in &self.actions {
            if let DispatchAction::Send { session, .. } = action
                && let Some(link) = self.sessions.get_mut(session)
            {
                link.sent_us = now.mono_us;
            }
        }
        for (session, link) in &mut self.sessions {
            let gate = self.gates.get(&link.gate);
            let busy = gate.is_some_and(|gate| gate.is_busy(now, self.limits.linger));
            let pause = match busy {
                true => self.limits.heartbeat_interval,
                false => self.limits.idle_heartbeat_interval,
            };
            if now.mono_us < link.sent_us + micros(pause) {
                continue;
            }
            link.sent_us = now.mono_us;
            self.actions.push(DispatchAction::Send {
                session: *session,
                message: ToGate::Beat,
            });
        }
    }

    pub(super) fn run_left_gate(&mut self, now: Moment, name: &Arc<str>, run: RunId, end: RunEnd) {
        let Some(gate) = self.gates.get_mut(name) else {
            return;
        };
        gate.over(now, run);
        if end == RunEnd::NotRun(NotRunReason::NoRoom) {
            gate.had_no_room(self.typical_run.us());
        }
    }
}
