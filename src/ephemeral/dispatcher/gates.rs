//! Sessions with gates: connection, loss, silence and heartbeats.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::{DispatchAction, Dispatcher, GateSession};
use crate::code::{Effect, ResultCode};
use crate::ephemeral::directory::GateChanges;
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::message::{NotRunReason, OpenRun, ProcessId, RunEnd, ToEntry, ToGate};
use crate::ephemeral::placement::GateView;
use crate::ephemeral::session::SessionId;
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Moment, micros};

/// Interval between runs that probe a suspect worker.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two ticks above which the process may have left frames unread.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(30);

impl Dispatcher {
    /// Begins a session with the gate `name` on a new connection.
    pub fn connected(&mut self, now: Moment, name: &Arc<str>, session: SessionId) {
        let open = self.open_runs(name);
        let gate = self.gates.entry(name.clone());
        let gate = gate.or_insert_with(|| GateView::new(now.mono_us));
        gate.begin_session(now);
        gate.claimed = open.iter().map(|claimed| claimed.run).collect();
        if gate.session.take().is_some() {
            gate.session_lost_us = now.mono_us;
        }
        self.close_sessions(name);
        info!(self.log, "gate connected"; "gate" => &**name, "open_runs" => open.len());
        let gate_session = GateSession {
            gate: name.clone(),
            sent_us: now.mono_us,
        };
        self.sessions.insert(session, gate_session);
        self.subset.set_available(name, true);
        self.subset.set_reachable(name, true);
        let message = ToGate::Hello {
            entry: self.process_id.clone(),
            config: self.configs.version(),
            open,
        };
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Closes all sessions with a gate.
    fn close_sessions(&mut self, name: &Arc<str>) {
        let of_gate = self
            .sessions
            .extract_if(|_, gate_session| gate_session.gate == *name);
        let closes = of_gate.map(|(session, _)| DispatchAction::Close(session));
        self.actions.extend(closes);
    }

    pub(super) fn open_runs(&self, name: &Arc<str>) -> Vec<OpenRun> {
        let sent_to = self.gates.get(name).map_or(0, |gate| gate.incarnation);
        let mut open = Vec::new();
        for job in self.jobs.values() {
            let here = job.placed_runs().filter(|(gate, _)| *gate == name);
            open.extend(here.map(|(_, run)| OpenRun {
                run,
                sent_to,
                needs: job.spec.needs,
                expected_us: job.expected_us,
            }));
        }
        open
    }

    /// Handles the end of a session. The gate is kept until it has been silent for too
    /// long.
    pub fn disconnected(&mut self, now: Moment, session: SessionId) {
        let Some(GateSession { gate: name, .. }) = self.sessions.remove(&session) else {
            return;
        };
        info!(self.log, "gate disconnected"; "gate" => &*name);
        let Some(gate) = self.gates.get_mut(&name) else {
            return;
        };
        gate.session.take_if(|open| *open == session);
        if gate.session.is_none() {
            gate.session_lost_us = now.mono_us;
            self.move_registrations(now, &name);
        }
    }

    /// Records that a frame arrived in time.
    pub fn frame_received(&mut self, now: Moment, session: SessionId) {
        let gate_session = self.sessions.get(&session);
        if let Some(gate) =
            gate_session.and_then(|gate_session| self.gates.get_mut(&gate_session.gate))
        {
            gate.last_frame_us = now.mono_us;
        }
    }

    /// Handles a message from a gate.
    pub fn handle_message(&mut self, now: Moment, session: SessionId, message: ToEntry) {
        let Some(name) = self
            .sessions
            .get(&session)
            .map(|gate_session| gate_session.gate.clone())
        else {
            return;
        };
        match message {
            ToEntry::Hello { gate, config } => self.gate_hello(now, &name, session, &gate, config),
            ToEntry::Load(load) => {
                self.subset.set_available(&name, !load.leaving);
                if let Some(worker) = &load.worker {
                    self.check_lost_worker(now, &name, &worker.id);
                }
                if let Some(gate) = self.gates.get_mut(&name) {
                    gate.update_load(now, load);
                }
                self.update_open_gate_since(now);
                self.placement_due |= !self.backlog.is_empty() || !self.deferral.is_empty();
            }
            ToEntry::Losses(losses) => self.record_losses(now, &losses),
            ToEntry::Began { run } => self.run_began(now, run),
            ToEntry::Ended { run, end, run_us } => self.run_ended(now, &name, run, end, run_us),
            ToEntry::ConfigVersion(version) => self.record_gate_config(now, &name, version),
            ToEntry::WantConfig { asker, wanted } => {
                self.send_config_part(session, asker, wanted);
            }
            ToEntry::ConfigPart(part) => self.receive_config_part(now, session, &part),
            ToEntry::Registered { job } => self.registered(now, &name, job),
            ToEntry::HeldElsewhere { job } => self.held_elsewhere(&name, job),
            ToEntry::CompletedElsewhere { job } => self.completed_elsewhere(now, &name, job),
            ToEntry::Inquiry { job } => self.inquired(&name, job),
        }
    }

    fn gate_hello(
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
        let is_new = view.incarnation != gate.incarnation;
        if is_new {
            info!(self.log, "gate has a new incarnation"; "gate" => &**name, "incarnation" => gate.incarnation);
            view.incarnation = gate.incarnation;
        }
        self.stop_stale_claims(name, session, &claimed);
        self.renew_registrations(now, name, is_new);
        self.record_gate_config(now, name, config);
        // A configuration may have been applied between the hello and its answer.
        if self.configs.version() > config {
            let message = ToGate::ConfigVersion(self.configs.version());
            self.actions.push(DispatchAction::Send { session, message });
        }
    }

    /// Stops runs that the hello claimed and whose jobs ended before its answer; until then
    /// there was no session to send a stop on.
    fn stop_stale_claims(&mut self, name: &Arc<str>, session: SessionId, claimed: &[RunId]) {
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

    /// Updates the time since which at least one gate has taken work.
    fn update_open_gate_since(&mut self, now: Moment) {
        if self.open_gates() == 0 {
            self.open_gate_since_us = None;
        } else {
            self.open_gate_since_us.get_or_insert(now.mono_us);
        }
    }

    /// Drops gates that have been silent for too long. The outcome of jobs with runs there
    /// is unknown, as those runs may continue.
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

    /// Requests a second connection to each gate whose frames or acknowledgements are
    /// overdue, so that jobs there survive a dead connection: the session moves to the new one,
    /// runs continue, and starts that never arrived are placed again.
    pub(super) fn redial_overdue_gates(&mut self, now: Moment) {
        self.record_tick(now);
        let (limits, reading_since_us) = (&self.limits, self.reading_since_us);
        for (name, gate) in &mut self.gates {
            let before = gate.overdue;
            gate.overdue = gate.is_overdue(now, limits, reading_since_us);
            if !gate.overdue {
                continue;
            }
            if !before {
                info!(self.log, "frames from a gate are overdue"; "gate" => &**name,
                    "silent_us" => now.mono_us.saturating_sub(gate.last_frame_us));
            }
            self.actions.push(DispatchAction::Redial(name.clone()));
        }
    }

    /// Restarts the reading period after a suspension, as frames left unread do not show
    /// that a gate is silent.
    fn record_tick(&mut self, now: Moment) {
        if now.mono_us > self.last_tick_us + micros(MAX_TICK_INTERVAL) {
            self.reading_since_us = now.mono_us;
        }
        if now.mono_us > self.last_tick_us + micros(self.limits.peer_timeout) {
            self.drop_registrations(now);
        }
        self.last_tick_us = now.mono_us;
    }

    fn drop_gate(&mut self, now: Moment, name: &Arc<str>) {
        if let Some(worker) = self.gates.get(name).and_then(GateView::worker).cloned() {
            self.record_orphaned_tasks(now, name, &worker.id);
        }
        let Some(gate) = self.gates.remove(name) else {
            return;
        };
        info!(self.log, "gate dropped after silence"; "gate" => &**name,
            "silent_us" => now.mono_us.saturating_sub(gate.last_frame_us));
        self.move_registrations(now, name);
        self.update_open_gate_since(now);
        self.close_sessions(name);
        let lost: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.placed_runs().any(|(gate, _)| gate == name))
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

    /// Handles changes of the gates' records in the store.
    pub fn update_gates(&mut self, now: Moment, changes: &GateChanges) {
        self.subset.update(now, changes);
        for record in &changes.written {
            self.record_losses(now, &record.losses);
        }
    }

    /// Adds gate and job counts to the metrics.
    pub fn record_gate_metrics(&self, metrics: &Metrics) {
        let (known, wanted) = self.subset.counts();
        let answered = self.gates.values().filter(|gate| gate.session.is_some());
        metrics.gauge("gates_known", known as u64);
        metrics.gauge("gates_wanted", wanted as u64);
        metrics.gauge("sessions_open", answered.count() as u64);
        metrics.gauge("gates_open", self.open_gates() as u64);
        metrics.gauge("jobs_open", self.open_jobs() as u64);
        metrics.gauge("jobs_deferred", self.deferral.len() as u64);
    }

    /// Records that a gate could not be reached.
    pub fn gate_unreachable(&mut self, gate: &Arc<str>) {
        self.subset.set_available(gate, false);
        self.subset.set_reachable(gate, false);
    }

    /// Whether a session with this gate is needed, for new work or for open runs.
    pub fn wants_session(&self, gate: &str) -> bool {
        let has_work = |view: &GateView| view.has_runs();
        self.subset.needs_session(gate) || self.gates.get(gate).is_some_and(has_work)
    }

    /// Closes sessions outside the subset once they have had no work for the linger time.
    pub(super) fn close_surplus_sessions(&mut self, now: Moment) {
        self.subset.choose(now);
        self.mark_registrars();
        let (linger, subset) = (self.limits.linger, &self.subset);
        let surplus = self.gates.extract_if(.., |name, gate| {
            let unwanted = subset.is_known(name) && !subset.needs_session(name);
            unwanted && gate.session.is_some() && !gate.is_busy(now, linger)
        });
        let sessions: Vec<SessionId> = surplus.filter_map(|(_, gate)| gate.session).collect();
        for session in sessions {
            self.sessions.remove(&session);
            self.actions.push(DispatchAction::CloseSurplus(session));
        }
    }

    /// Adds a heartbeat for each session on which nothing was sent for the heartbeat
    /// interval.
    pub(super) fn add_heartbeats(&mut self, now: Moment) {
        for action in &self.actions {
            if let DispatchAction::Send { session, .. } = action
                && let Some(gate_session) = self.sessions.get_mut(session)
            {
                gate_session.sent_us = now.mono_us;
            }
        }
        for (session, gate_session) in &mut self.sessions {
            let gate = self.gates.get(&gate_session.gate);
            // A registrar takes a silent entry for lost.
            let busy = gate.is_some_and(|gate| {
                gate.is_busy(now, self.limits.linger) || gate.has_registrations
            });
            let interval = match busy {
                true => self.limits.heartbeat_interval,
                false => self.limits.idle_heartbeat_interval,
            };
            if now.mono_us < gate_session.sent_us + micros(interval) {
                continue;
            }
            gate_session.sent_us = now.mono_us;
            self.actions.push(DispatchAction::Send {
                session: *session,
                message: ToGate::Beat,
            });
        }
    }

    /// Removes a run that is no longer at a gate.
    pub(super) fn run_left_gate(&mut self, now: Moment, name: &Arc<str>, run: RunId, end: RunEnd) {
        self.record_run_end(run);
        let Some(gate) = self.gates.get_mut(name) else {
            return;
        };
        gate.remove_run(now, run);
        let typical_us = self.typical_run.us();
        match end {
            RunEnd::NotRun(NotRunReason::NoRoom) => gate.mark_full(typical_us),
            RunEnd::NotRun(NotRunReason::Apart) => gate.mark_implicated(now, typical_us),
            _ => {}
        }
    }
}
