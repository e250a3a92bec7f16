//! Simulated entries of the large fleet.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use winghold::code::ResultCode;
use winghold::ephemeral::directory::{GateChanges, GateRecord};
use winghold::ephemeral::dispatcher::{DispatchAction, Dispatcher, WaiterId};
use winghold::ephemeral::entry::dials::Dialer;
use winghold::ephemeral::frame_counts::frame_kind;
use winghold::ephemeral::job::{Constraints, JobId, JobSpec, Resources};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, RunEnd, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::logging;
use winghold::time::{Moment, micros};

use super::{FrameInTransit, JobKind, LargeFleet, STEP_US, TASK_CPU};

const CALLER_TIMEOUT_US: u64 = 5_000_000;

/// Input that an entry has not handled yet.
enum Input {
    Job(JobId),
    Frame(FrameInTransit<ToEntry>),
}

pub struct EntryProcess {
    pub dispatcher: Dispatcher,
    dialer: Dialer,
    inbox: VecDeque<Input>,
    /// CPU time per frame or job.
    pub input_us: u64,
    /// End of the time in which the entry handles its last inputs and sends nothing.
    busy_until_us: u64,
    last_tick_us: u64,
    /// Actions of the current tick, executed when its inputs are handled.
    pending_actions: Vec<DispatchAction>,
}

impl EntryProcess {
    pub fn new(now: Moment, me: ProcessId, limits: Limits, records: &[GateRecord]) -> EntryProcess {
        let mut dialer = Dialer::default();
        let known = GateChanges::from(records.to_vec());
        let mut dispatcher = Dispatcher::new(me, limits, logging::discard());
        dispatcher.update_gates(now, &known);
        dialer.update_records(now, known);
        EntryProcess {
            dispatcher,
            dialer,
            inbox: VecDeque::new(),
            input_us: 0,
            busy_until_us: 0,
            last_tick_us: now.mono_us,
            pending_actions: Vec::new(),
        }
    }

    pub fn closed(&mut self, now: Moment, session: SessionId) {
        self.dispatcher.disconnected(now, session);
        self.dialer.session_closed(session);
    }

    fn submit(&mut self, now: Moment, id: JobId) {
        let kind = JobKind::of(id);
        let spec = JobSpec {
            id,
            payload: "p".into(),
            count: kind.tasks,
            needs: Resources {
                cpu_milli: TASK_CPU,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate_us: kind.run_us,
            constraints: Constraints::default(),
        };
        let waiter = WaiterId(id.0);
        self.dispatcher
            .submit(now, waiter, spec, kind.route(), CALLER_TIMEOUT_US);
    }
}

impl LargeFleet {
    pub(super) fn submit(&mut self, entry: usize, id: JobId) {
        self.open_jobs.insert(id, self.now_us);
        match &mut self.entries[entry] {
            Some(process) => process.inbox.push_back(Input::Job(id)),
            None => self.counts.unknown += 1,
        }
    }

    pub(super) fn receive_at_entry(&mut self, frame: FrameInTransit<ToEntry>) {
        let Some((entry, _)) = self.sessions.get(&frame.session).copied() else {
            return;
        };
        match &mut self.entries[entry] {
            Some(process) if process.input_us > 0 => process.inbox.push_back(Input::Frame(frame)),
            _ => self.handle_entry_frame(entry, frame),
        }
    }

    fn handle_entry_frame(&mut self, index: usize, frame: FrameInTransit<ToEntry>) {
        let now = self.now();
        if !self.sessions.contains_key(&frame.session) {
            return;
        }
        if now.mono_us - frame.sent_us > micros(self.limits.max_frame_age) + STEP_US {
            self.close(frame.session);
            return;
        }
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        let waited_us = now.mono_us.saturating_sub(frame.at_us);
        process.dispatcher.record_frame_wait(now, waited_us);
        process.dispatcher.frame_received(now, frame.session);
        for message in frame.messages {
            if matches!(&message, ToEntry::Ended { end, .. } if *end != RunEnd::Done) {
                self.counts.not_done_runs += 1;
            }
            process
                .dispatcher
                .handle_message(now, frame.session, message);
        }
    }

    /// Handles all queued inputs; the resulting actions are executed after their CPU time.
    pub(super) fn tick_entry(&mut self, index: usize) {
        let now = self.now();
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        if now.mono_us < process.busy_until_us {
            return;
        }
        let pending_actions = std::mem::take(&mut process.pending_actions);
        self.execute_entry_actions(index, pending_actions);
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        let late_us = now.mono_us.saturating_sub(process.last_tick_us + STEP_US);
        process.last_tick_us = now.mono_us;
        process
            .dispatcher
            .record_late_tick(now, Duration::from_micros(late_us));
        process.dispatcher.tick(now);
        let inputs = std::mem::take(&mut process.inbox);
        let cpu_us = process.input_us * inputs.len() as u64;
        for input in inputs {
            self.handle(index, input);
        }
        self.dial(index);
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        process.busy_until_us = now.mono_us + cpu_us;
        let actions = process.dispatcher.take_actions(now);
        match process.input_us {
            0 => self.execute_entry_actions(index, actions),
            _ => process.pending_actions = actions,
        }
    }

    fn handle(&mut self, index: usize, input: Input) {
        let now = self.now();
        match input {
            Input::Frame(frame) => self.handle_entry_frame(index, frame),
            Input::Job(id) => {
                if let Some(process) = &mut self.entries[index] {
                    process.submit(now, id);
                }
            }
        }
    }

    fn dial(&mut self, index: usize) {
        let now = self.now();
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        let dispatcher = &process.dispatcher;
        let attempts = process
            .dialer
            .due_attempts(now, |gate| dispatcher.wants_session(gate));
        for attempt in attempts {
            self.connect(index, &attempt.gate);
        }
    }

    fn connect(&mut self, entry: usize, name: &Arc<str>) {
        let now = self.now();
        let gate: usize = name.trim_start_matches("gate-").parse().expect("a number");
        self.last_session += 1;
        let session = SessionId(self.last_session);
        if let Some(process) = &mut self.entries[entry]
            && self.gates[gate].is_some()
        {
            self.sessions.insert(session, (entry, gate));
            process.dialer.connected(name, || session);
            process.dispatcher.connected(now, name, session);
        }
    }

    fn record_answer(&mut self, index: usize, id: JobId, code: ResultCode) {
        let submitted_us = self.open_jobs.remove(&id).unwrap_or(self.now_us);
        let late = self.now_us > submitted_us + self.objective_us(id);
        let kind = &mut self.counts.kinds[usize::from(JobKind::of(id).priority)];
        match code {
            ResultCode::Complete => {
                self.counts.served += 1;
                self.counts.late += u64::from(late);
                kind.late += u64::from(late);
                kind.in_time += u64::from(!late);
                if !late {
                    let kind = JobKind::of(id);
                    self.counts.work_in_time_us += kind.run_us * u64::from(kind.tasks);
                }
                if self.watched == Some(index) {
                    self.counts.watched_served += 1;
                    self.counts.watched_late += u64::from(late);
                }
            }
            ResultCode::Overloaded => {
                self.counts.refused += 1;
                kind.refused += 1;
            }
            _ => {
                self.counts.unknown += 1;
                kind.unknown += 1;
            }
        }
    }

    fn execute_entry_actions(&mut self, index: usize, actions: Vec<DispatchAction>) {
        let mut outbox: BTreeMap<SessionId, Vec<ToGate>> = BTreeMap::new();
        for action in actions {
            match action {
                DispatchAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                DispatchAction::Close(session) | DispatchAction::CloseSurplus(session) => {
                    self.close(session);
                }
                DispatchAction::Redial(name) => {
                    if let Some(process) = &mut self.entries[index] {
                        process.dialer.suspect_connection(&name);
                    }
                }
                DispatchAction::Reply { waiter, answer } => {
                    self.record_answer(index, JobId(waiter.0), answer.code);
                }
                DispatchAction::ConfigReceived(_) => {}
            }
        }
        for (session, messages) in outbox {
            self.count(frame_kind(&messages));
            let (at_us, sent_us) = (self.now_us + STEP_US, self.now_us);
            self.to_gates.push_back(FrameInTransit {
                at_us,
                session,
                sent_us,
                messages,
            });
        }
    }
}
