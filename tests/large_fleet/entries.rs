//! The entries of the large fleet.

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

use super::{Flight, JobKind, LargeFleet, STEP_US, TASK_CPU};

/// How long callers wait.
const CALLER_WAITS_US: u64 = 5_000_000;

/// What an entry has not handled yet.
enum Input {
    Job(JobId),
    Frame(Flight<ToEntry>),
}

pub struct EntrySide {
    pub dispatcher: Dispatcher,
    dialer: Dialer,
    inbox: VecDeque<Input>,
    /// Processor time that a frame or a job takes.
    pub input_us: u64,
    /// Until when it handles what it has read, and sends nothing.
    busy_until_us: u64,
    turned_us: u64,
    /// What it does at the end of its turn.
    pending: Vec<DispatchAction>,
}

impl EntrySide {
    pub fn new(now: Moment, me: ProcessId, limits: Limits, records: &[GateRecord]) -> EntrySide {
        let mut dialer = Dialer::default();
        let known = GateChanges::from(records.to_vec());
        let mut dispatcher = Dispatcher::new(me, limits, logging::discard());
        dispatcher.update_gates(now, &known);
        dialer.update_records(now, known);
        EntrySide {
            dispatcher,
            dialer,
            inbox: VecDeque::new(),
            input_us: 0,
            busy_until_us: 0,
            turned_us: now.mono_us,
            pending: Vec::new(),
        }
    }

    pub fn closed(&mut self, session: SessionId) {
        self.dispatcher.disconnected(session);
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
            .submit(now, waiter, spec, kind.route(), CALLER_WAITS_US);
    }
}

impl LargeFleet {
    pub(super) fn submit(&mut self, entry: usize, id: JobId) {
        self.open.insert(id, self.now_us);
        match &mut self.entries[entry] {
            Some(side) => side.inbox.push_back(Input::Job(id)),
            None => self.counts.unknown += 1,
        }
    }

    pub(super) fn entry_gets(&mut self, flight: Flight<ToEntry>) {
        let Some((entry, _)) = self.sessions.get(&flight.session).copied() else {
            return;
        };
        match &mut self.entries[entry] {
            Some(side) if side.input_us > 0 => side.inbox.push_back(Input::Frame(flight)),
            _ => self.entry_reads(entry, flight),
        }
    }

    fn entry_reads(&mut self, index: usize, flight: Flight<ToEntry>) {
        let now = self.now();
        if !self.sessions.contains_key(&flight.session) {
            return;
        }
        if now.mono_us - flight.sent_us > micros(self.limits.max_frame_age) + STEP_US {
            self.close(flight.session);
            return;
        }
        let Some(side) = &mut self.entries[index] else {
            return;
        };
        let waited_us = now.mono_us.saturating_sub(flight.at_us);
        side.dispatcher.record_frame_wait(now, waited_us);
        side.dispatcher.frame_received(now, flight.session);
        for message in flight.messages {
            if matches!(&message, ToEntry::Ended { end, .. } if *end != RunEnd::Done) {
                self.counts.elsewhere += 1;
            }
            side.dispatcher.handle_message(now, flight.session, message);
        }
    }

    /// A turn handles all that has come, and what it decides goes out at its end.
    pub(super) fn entry_turn(&mut self, index: usize) {
        let now = self.now();
        let Some(side) = &mut self.entries[index] else {
            return;
        };
        if now.mono_us < side.busy_until_us {
            return;
        }
        let pending = std::mem::take(&mut side.pending);
        self.carry_out_entry(index, pending);
        let Some(side) = &mut self.entries[index] else {
            return;
        };
        let late_us = now.mono_us.saturating_sub(side.turned_us + STEP_US);
        side.turned_us = now.mono_us;
        side.dispatcher
            .record_late_tick(now, Duration::from_micros(late_us));
        side.dispatcher.tick(now);
        let inputs = std::mem::take(&mut side.inbox);
        let takes_us = side.input_us * inputs.len() as u64;
        for input in inputs {
            self.handle(index, input);
        }
        self.dial(index);
        let Some(side) = &mut self.entries[index] else {
            return;
        };
        side.busy_until_us = now.mono_us + takes_us;
        let actions = side.dispatcher.take_actions(now);
        match side.input_us {
            0 => self.carry_out_entry(index, actions),
            _ => side.pending = actions,
        }
    }

    fn handle(&mut self, index: usize, input: Input) {
        let now = self.now();
        match input {
            Input::Frame(flight) => self.entry_reads(index, flight),
            Input::Job(id) => {
                if let Some(side) = &mut self.entries[index] {
                    side.submit(now, id);
                }
            }
        }
    }

    fn dial(&mut self, index: usize) {
        let now = self.now();
        let Some(side) = &mut self.entries[index] else {
            return;
        };
        let dispatcher = &side.dispatcher;
        let attempts = side
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
        if let Some(side) = &mut self.entries[entry]
            && self.gates[gate].is_some()
        {
            self.sessions.insert(session, (entry, gate));
            side.dialer.connected(name, || session);
            side.dispatcher.connected(now, name, session);
        }
    }

    fn answered(&mut self, index: usize, id: JobId, code: ResultCode) {
        let came_us = self.open.remove(&id).unwrap_or(self.now_us);
        let late = self.now_us > came_us + self.objective_us(id);
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

    fn carry_out_entry(&mut self, index: usize, actions: Vec<DispatchAction>) {
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
                    if let Some(side) = &mut self.entries[index] {
                        side.dialer.suspect_connection(&name);
                    }
                }
                DispatchAction::Reply { waiter, answer } => {
                    self.answered(index, JobId(waiter.0), answer.code);
                }
                DispatchAction::ConfigReceived(_) => {}
            }
        }
        for (session, messages) in outbox {
            self.count(frame_kind(&messages));
            let (at_us, sent_us) = (self.now_us + STEP_US, self.now_us);
            self.to_gates.push_back(Flight {
                at_us,
                session,
                sent_us,
                messages,
            });
        }
    }
}
