//! A fake fleet in virtual time: dispatchers, gates, workers and callers.
//!
//! Connections keep order and hold frames back while they are cut, as TCP does;
//! what was in the peer's buffer may still be read after a connection closed.
//! Processes freeze, die and come back; workers lose orders and carry them out
//! late. The fleet checks the promises at the workers and at the callers.

#![allow(dead_code)]

pub mod worker;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::dispatcher::{DispatchAction, Dispatcher, WaiterId};
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::job::{Constraints, JobId, JobSpec, Resources, RunId};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, ToEntry, ToGate};
use winghold::ephemeral::routes::Route;
use winghold::ephemeral::session::{FrameClock, SessionId};
use winghold::ephemeral::worker::{
    HoldCall, OrderError, StartAnswer, StartCall, StartReply, WorkerReport,
};
use winghold::logging;
use winghold::message::Answer;
use winghold::time::{Moment, micros};
use worker::FakeWorker;

pub const STEP_US: u64 = 5_000;
const RESEND: Duration = Duration::from_millis(1_300);
const CALLER_WAITS_US: u64 = 8_000_000;
const HEARTBEAT_US: u64 = 500_000;
const ORDER_LIMIT_US: u64 = 80_000;
const HOLD_LIMIT_US: u64 = 300_000;
pub const CPU: u64 = 1_000;

/// Guards that a test takes out to see that they matter.
#[derive(Clone, Copy, Debug, Default)]
pub struct Without {
    pub frame_age: bool,
}

/// Limits of the sites.
pub fn limits() -> Limits {
    Limits::new(RESEND, Duration::from_secs(1), Duration::from_millis(50))
}

/// Priorities that jobs come with; gates order runs by urgency.
const PRIORITIES: u64 = 3;

/// The route of a job.
pub fn route(job: u64, attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        service: "s".into(),
        priority: (job % PRIORITIES) as u8,
        attempts,
        timeout_us: 1_500_000,
        stretch: 1.6,
        slack_us: 60_000,
    })
}

pub fn spec(id: u64, count: u32, estimate_us: u64) -> JobSpec {
    JobSpec {
        id: JobId(id),
        payload: "p".into(),
        count,
        needs: Resources {
            cpu_milli: CPU,
            memory_mb: 64,
            accelerators: 0,
        },
        estimate_us,
        constraints: Constraints::default(),
    }
}

struct EntryProcess {
    dispatcher: Dispatcher,
    frozen_until_us: u64,
    cut_until_us: u64,
    beat_us: u64,
    inbox: VecDeque<EntryIn>,
    sessions: u64,
    /// Callers that this life has not answered.
    asked: HashMap<WaiterId, JobId>,
}

enum EntryIn {
    Submit(WaiterId, u64, u32, u64),
    Gone(WaiterId, JobId),
}

struct GateProcess {
    gate: Gate,
    frozen_until_us: u64,
    cut_until_us: u64,
    sessions: u64,
    answers: VecDeque<(u64, Answered)>,
    reported_us: u64,
}

enum Answered {
    Start(RunId, Result<StartAnswer, OrderError>),
    Stop(RunId, Result<(), OrderError>),
    Hold(Moment, HoldCall, bool),
}

/// An order that is carried out later than anyone expects.
enum Late {
    Start(usize, StartCall),
    Stop(usize, RunId, u64),
}

struct Link<M> {
    frames: VecDeque<(u64, u64, Vec<M>)>,
    clock: FrameClock,
    /// The receiver may still read what is in its buffer.
    closed: bool,
}

impl<M> Default for Link<M> {
    fn default() -> Self {
        Link {
            frames: VecDeque::new(),
            clock: FrameClock::default(),
            closed: false,
        }
    }
}

struct Connection {
    entry: usize,
    gate: usize,
    entry_session: SessionId,
    gate_session: SessionId,
    to_gate: Link<ToGate>,
    to_entry: Link<ToEntry>,
    /// Carries nothing any more, not even its end, while a new one would work.
    silent: bool,
}

/// What a caller knows of its job.
#[derive(Clone, Debug)]
struct Caller {
    count: u32,
    estimate_us: u64,
    waiter: Option<(WaiterId, usize, u64)>,
    resend_at_us: Option<u64>,
    started: bool,
    refused_all: bool,
    pub answer: Option<u16>,
}

pub struct Fleet {
    pub now_us: u64,
    limits: Limits,
    without: Without,
    entries: Vec<Option<EntryProcess>>,
    gates: Vec<Option<GateProcess>>,
    pub workers: Vec<FakeWorker>,
    /// Ids of the workers' lives before the last crash.
    past_workers: Vec<Option<String>>,
    connections: Vec<Connection>,
    callers: BTreeMap<JobId, Caller>,
    late: Vec<(u64, Late)>,
    rng: StdRng,
    lives: u64,
    waiters: u64,
    jobs: u64,
    /// Orders without an answer, in percent.
    pub unanswered: u32,
    pub violations: Vec<String>,
    pub completed: usize,
    /// Answers that do not say what became of the job.
    pub unknown: usize,
    pub starts: usize,
}

impl Fleet {
    pub fn new(seed: u64, limits: Limits, without: Without) -> Fleet {
        let capacity = |slots: u64| Resources {
            cpu_milli: CPU * slots,
            memory_mb: 64_000,
            accelerators: 0,
        };
        let worker = |index: usize| {
            let rate = [1.0, 0.98, 0.99][index % 3];
            FakeWorker::new(format!("w{index}-0"), capacity(4 + index as u64), rate)
        };
        let mut fleet = Fleet {
            now_us: 1_000_000,
            limits,
            without,
            entries: (0..3).map(|_| None).collect(),
            gates: (0..3).map(|_| None).collect(),
            workers: (0..3).map(worker).collect(),
            past_workers: vec![None; 3],
            connections: Vec::new(),
            callers: BTreeMap::new(),
            late: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            lives: 0,
            waiters: 0,
            jobs: 0,
            unanswered: 0,
            violations: Vec::new(),
            completed: 0,
            unknown: 0,
            starts: 0,
        };
        for index in 0..3 {
            fleet.start_entry(index);
            fleet.start_gate(index);
        }
        fleet.run_for(1_000_000);
        fleet
    }

    fn next_life(&mut self, name: &str) -> ProcessId {
        self.lives += 1;
        ProcessId {
            name: name.into(),
            incarnation: self.lives,
        }
    }

    /// Clock of a process; each has its own origin.
    fn moment(&self, process: usize) -> Moment {
        Moment {
            mono_us: self.now_us + process as u64 * 77_000_000,
            wall_ms: 0,
        }
    }

    fn gate_moment(&self, gate: usize) -> Moment {
        self.moment(gate + 10)
    }

    pub fn start_entry(&mut self, index: usize) {
        if self.entries[index].is_some() {
            return;
        }
        let me = self.next_life(&format!("entry-{index}"));
        let dispatcher = Dispatcher::new(me, self.limits, logging::discard());
        self.entries[index] = Some(EntryProcess {
            dispatcher,
            frozen_until_us: 0,
            cut_until_us: 0,
            beat_us: 0,
            inbox: VecDeque::new(),
            sessions: 0,
            asked: HashMap::new(),
        });
    }

    pub fn start_gate(&mut self, index: usize) {
        if self.gates[index].is_some() {
            return;
        }
        let me = self.next_life(&format!("gate-{index}"));
        self.gates[index] = Some(GateProcess {
            gate: Gate::new(me, self.limits, logging::discard()),
            frozen_until_us: 0,
            cut_until_us: 0,
            sessions: 0,
            answers: VecDeque::new(),
            reported_us: 0,
        });
    }

    pub fn kill_entry(&mut self, index: usize) {
        let Some(entry) = self.entries[index].take() else {
            return;
        };
        let cut = entry.cut_until_us > self.now_us;
        for (waiter, job) in entry.asked {
            self.heard_nothing(job, waiter);
        }
        self.connections
            .retain(|connection| connection.entry != index || !connection.silent);
        self.close_connections(|connection| connection.entry == index, !cut);
    }

    pub fn kill_gate(&mut self, index: usize) {
        if self.gates[index].take().is_some() {
            self.close_connections(|connection| connection.gate == index, true);
        }
    }

    pub fn freeze_entry(&mut self, index: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        if let Some(entry) = &mut self.entries[index] {
            entry.frozen_until_us = until_us;
        }
    }

    pub fn freeze_gate(&mut self, index: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        if let Some(gate) = &mut self.gates[index] {
            gate.frozen_until_us = until_us;
        }
    }

    pub fn cut_entry(&mut self, index: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        if let Some(entry) = &mut self.entries[index] {
            entry.cut_until_us = until_us;
        }
    }

    pub fn cut_gate(&mut self, index: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        if let Some(gate) = &mut self.gates[index] {
            gate.cut_until_us = until_us;
        }
    }

    pub fn reset_connections(&mut self, entry: usize) {
        self.close_connections(|connection| connection.entry == entry, true);
    }

    /// Every connection of an entry goes dead without a word.
    pub fn silence_connections(&mut self, entry: usize) {
        let of_entry = self.connections.iter_mut().filter(|one| one.entry == entry);
        for connection in of_entry {
            connection.silent = true;
            connection.to_gate.frames.clear();
            connection.to_entry.frames.clear();
        }
    }

    /// A report of a worker's life arrives that was sent before its last crash.
    pub fn late_report(&mut self, index: usize) {
        let now = self.gate_moment(index);
        let Some(id) = self.past_workers[index].clone() else {
            return;
        };
        let report = self.report_of(index, id);
        if let Some(process) = &mut self.gates[index] {
            process.gate.worker_report(now, report);
        }
    }

    fn report_of(&self, index: usize, id: String) -> WorkerReport {
        let worker = &self.workers[index];
        WorkerReport {
            id,
            service: "s".into(),
            addr: String::new(),
            leaving: false,
            leaves_in_ms: None,
            capacity: worker.capacity,
            labels: Vec::new(),
            clock_ms: worker.clock_ms(self.now_us),
            sequence: self.now_us,
        }
    }

    pub fn crash_worker(&mut self, index: usize) {
        self.past_workers[index] = Some(self.workers[index].id.clone());
        self.lives += 1;
        let id = format!("w{index}-{}", self.lives);
        self.workers[index].crash(id);
    }

    pub fn stop_gate(&mut self, index: usize) {
        let now = self.gate_moment(index);
        if let Some(gate) = &mut self.gates[index] {
            gate.gate.leave(now);
        }
    }

    /// Closes connections; with a reset what the peers have not read is lost. The
    /// end of a dead connection does not reach its other side.
    fn close_connections(&mut self, which: impl Fn(&Connection) -> bool, reset: bool) {
        let buffered = self.rng.random_bool(0.5);
        let alive = self.connections.iter_mut().filter(|one| !one.silent);
        for connection in alive.filter(|one| which(one)) {
            connection.to_gate.closed = true;
            connection.to_entry.closed = true;
            if reset && !buffered {
                connection.to_gate.frames.clear();
                connection.to_entry.frames.clear();
            }
        }
    }

    // Callers.

    pub fn submit(&mut self, count: u32, estimate_us: u64) {
        self.jobs += 1;
        let caller = Caller {
            count,
            estimate_us,
            waiter: None,
            resend_at_us: None,
            started: false,
            refused_all: true,
            answer: None,
        };
        let id = JobId(self.jobs);
        self.callers.insert(id, caller);
        self.send(id);
    }

    fn send(&mut self, id: JobId) {
        let index = self.rng.random_range(0..self.entries.len());
        self.waiters += 1;
        let waiter = WaiterId(self.waiters);
        let now_us = self.now_us;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.resend_at_us = None;
        let (count, estimate_us) = (caller.count, caller.estimate_us);
        match &mut self.entries[index] {
            None => caller.resend_at_us = Some(now_us + micros(RESEND)),
            Some(entry) => {
                caller.waiter = Some((waiter, index, now_us));
                entry.asked.insert(waiter, id);
                let submit = EntryIn::Submit(waiter, id.0, count, estimate_us);
                entry.inbox.push_back(submit);
            }
        }
    }

    /// A caller's connection broke, or it heard an answer that says nothing.
    fn heard_nothing(&mut self, id: JobId, waiter: WaiterId) {
        let resend_at_us = self.now_us + micros(RESEND);
        if let Some(caller) = self.callers.get_mut(&id)
            && caller.waiter.is_some_and(|(asked, ..)| asked == waiter)
        {
            caller.waiter = None;
            caller.refused_all = false;
            caller.resend_at_us = Some(resend_at_us);
        }
    }

    fn answered(&mut self, entry: usize, waiter: WaiterId, answer: &Answer) {
        let Some(process) = &mut self.entries[entry] else {
            return;
        };
        let Some(id) = process.asked.remove(&waiter) else {
            return;
        };
        let refusal = answer.effect == Effect::NotRun && answer.code == ResultCode::Overloaded;
        let unknown = matches!(
            answer.code,
            ResultCode::OutcomeUnknown | ResultCode::DeadlinePassed
        );
        if unknown {
            self.unknown += 1;
            self.heard_nothing(id, waiter);
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.waiter.is_none_or(|(asked, ..)| asked != waiter) {
            return;
        }
        caller.waiter = None;
        caller.answer = Some(answer.code.number());
        if refusal {
            if caller.refused_all && caller.started {
                let text = format!("{id} was refused after a start");
                self.violations.push(text);
            }
            return;
        }
        self.completed += usize::from(answer.code == ResultCode::Complete);
        caller.refused_all = false;
    }

    fn callers_turn(&mut self) {
        let now_us = self.now_us;
        let mut hang_up = Vec::new();
        let mut again = Vec::new();
        for (id, caller) in &mut self.callers {
            if let Some((waiter, entry, since_us)) = caller.waiter
                && now_us > since_us + CALLER_WAITS_US
            {
                caller.waiter = None;
                caller.refused_all = false;
                caller.resend_at_us = Some(now_us + micros(RESEND));
                hang_up.push((entry, waiter, *id));
            }
            if caller.resend_at_us.is_some_and(|at| now_us >= at) {
                again.push(*id);
            }
        }
        for (entry, waiter, id) in hang_up {
            if let Some(process) = &mut self.entries[entry] {
                process.asked.remove(&waiter);
                process.inbox.push_back(EntryIn::Gone(waiter, id));
            }
        }
        for id in again {
            self.send(id);
        }
    }

    // Time.

    pub fn run_for(&mut self, span_us: u64) {
        let until_us = self.now_us + span_us;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            self.callers_turn();
            self.late_orders();
            for index in 0..self.workers.len() {
                let now_us = self.now_us;
                self.workers[index].advance(now_us);
            }
            self.dial();
            for index in 0..self.entries.len() {
                self.entry_turn(index);
            }
            for index in 0..self.gates.len() {
                self.gate_turn(index);
            }
            self.drop_closed();
            self.check();
        }
    }

    fn reachable(&self, entry: usize, gate: usize) -> bool {
        let up = |until_us: u64| until_us <= self.now_us;
        let entry = self.entries[entry].as_ref();
        let gate = self.gates[gate].as_ref();
        entry.is_some_and(|process| up(process.cut_until_us))
            && gate.is_some_and(|process| up(process.cut_until_us))
    }

    /// Entries connect to gates they have no connection to.
    fn dial(&mut self) {
        for entry in 0..self.entries.len() {
            for gate in 0..self.gates.len() {
                let awake = self.entries[entry]
                    .as_ref()
                    .is_some_and(|process| process.frozen_until_us <= self.now_us);
                let open = self
                    .connections
                    .iter()
                    .any(|one| (one.entry, one.gate) == (entry, gate) && !one.to_entry.closed);
                if awake && !open && self.reachable(entry, gate) {
                    self.connect(entry, gate);
                }
            }
        }
    }

    fn connect(&mut self, entry: usize, gate: usize) {
        let now = self.moment(entry);
        let (Some(caller), Some(called)) = (&mut self.entries[entry], &mut self.gates[gate]) else {
            return;
        };
        caller.sessions += 1;
        called.sessions += 1;
        let entry_session = SessionId(caller.sessions);
        let connection = Connection {
            entry,
            gate,
            entry_session,
            gate_session: SessionId(called.sessions),
            to_gate: Link::default(),
            to_entry: Link::default(),
            silent: false,
        };
        self.connections.push(connection);
        let name: Arc<str> = format!("gate-{gate}").into();
        caller.dispatcher.connected(now, &name, entry_session);
    }

    fn drop_closed(&mut self) {
        self.connections.retain(|connection| {
            let read =
                connection.to_gate.frames.is_empty() && connection.to_entry.frames.is_empty();
            !(connection.to_gate.closed && connection.to_entry.closed && read)
        });
    }

    fn entry_turn(&mut self, index: usize) {
        let now = self.moment(index);
        let frozen = self.entries[index]
            .as_ref()
            .is_none_or(|process| process.frozen_until_us > self.now_us);
        if frozen {
            return;
        }
        self.entry_reads(index, now);
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        process.dispatcher.tick(now);
        while let Some(event) = process.inbox.pop_front() {
            match event {
                EntryIn::Submit(waiter, id, count, estimate_us) => {
                    let spec = spec(id, count, estimate_us);
                    let (route, wait_us) = (route(id, 3), CALLER_WAITS_US);
                    process.dispatcher.submit(now, waiter, spec, route, wait_us);
                }
                EntryIn::Gone(waiter, id) => process.dispatcher.waiter_gone(now, waiter, id),
            }
        }
        if now.mono_us >= process.beat_us + micros(self.limits.beat) {
            process.beat_us = now.mono_us;
            process.dispatcher.beat();
        }
        let actions = process.dispatcher.take_actions(now);
        self.carry_out_entry(index, actions);
    }

    fn entry_reads(&mut self, index: usize, now: Moment) {
        let mut lost = Vec::new();
        for at in 0..self.connections.len() {
            if self.connections[at].entry != index {
                continue;
            }
            let gate = self.connections[at].gate;
            let flows = self.reachable(index, gate) || self.gates[gate].is_none();
            let Some(process) = &mut self.entries[index] else {
                return;
            };
            let connection = &mut self.connections[at];
            let link = &mut connection.to_entry;
            while flows && let Some((at_us, sent_us, _)) = link.frames.front() {
                if *at_us > self.now_us {
                    break;
                }
                let age_us = link.clock.age_us(now, *sent_us);
                let late = age_us > micros(self.limits.frame_age) && !self.without.frame_age;
                let Some((.., messages)) = link.frames.pop_front() else {
                    break;
                };
                if late {
                    link.closed = true;
                    connection.to_gate.closed = true;
                    link.frames.clear();
                    break;
                }
                process.dispatcher.heard(now, connection.entry_session);
                for message in messages {
                    process
                        .dispatcher
                        .message(now, connection.entry_session, message);
                }
            }
            if link.closed && link.frames.is_empty() {
                lost.push(connection.entry_session);
            }
        }
        if let Some(process) = &mut self.entries[index] {
            for session in lost {
                process.dispatcher.disconnected(session);
            }
        }
    }

    fn carry_out_entry(&mut self, index: usize, actions: Vec<DispatchAction>) {
        let sent_us = self.moment(index).mono_us;
        let mut outbox: HashMap<SessionId, Vec<ToGate>> = HashMap::new();
        let mut redial = Vec::new();
        for action in actions {
            match action {
                DispatchAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                DispatchAction::Close(session) => {
                    let of = |one: &Connection| one.entry == index && one.entry_session == session;
                    self.connections.retain(|one| !one.silent || !of(one));
                    self.close_connections(of, true);
                }
                DispatchAction::Redial(name) => redial.push(name),
                DispatchAction::Reply { waiter, answer } => {
                    self.answered(index, waiter, &answer);
                }
                DispatchAction::Learned(_) => {}
            }
        }
        let at_us = self.now_us + self.rng.random_range(500..4_000);
        for (session, messages) in outbox {
            let connection = self.connections.iter_mut().find(|one| {
                one.entry == index && one.entry_session == session && !one.to_gate.closed
            });
            if let Some(connection) = connection.filter(|one| !one.silent) {
                let frame = (at_us, sent_us, messages);
                connection.to_gate.frames.push_back(frame);
            }
        }
        for name in redial {
            self.redial(index, &name);
        }
    }

    /// Opens another connection beside the present one, which may be dead.
    fn redial(&mut self, entry: usize, name: &str) {
        let gate = (0..self.gates.len()).find(|gate| name == format!("gate-{gate}"));
        if let Some(gate) = gate.filter(|gate| self.reachable(entry, *gate)) {
            self.connect(entry, gate);
        }
    }

    fn gate_turn(&mut self, index: usize) {
        let now = self.gate_moment(index);
        let frozen = self.gates[index]
            .as_ref()
            .is_none_or(|process| process.frozen_until_us > self.now_us);
        if frozen {
            return;
        }
        self.report(index, now);
        self.gate_answers(index, now);
        self.gate_reads(index, now);
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        process.gate.tick(now);
        let actions = process.gate.take_actions(now);
        self.carry_out_gate(index, actions);
    }

    fn report(&mut self, index: usize, now: Moment) {
        let now_us = self.now_us;
        let worker = &self.workers[index];
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        let due = now_us >= process.reported_us + HEARTBEAT_US;
        if !due || !worker.up || worker.mute_until_us > now_us {
            return;
        }
        process.reported_us = now_us;
        let id = worker.id.clone();
        let report = self.report_of(index, id);
        if let Some(process) = &mut self.gates[index] {
            process.gate.worker_report(now, report);
        }
    }

    fn gate_answers(&mut self, index: usize, now: Moment) {
        let now_us = self.now_us;
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        let worker = &mut self.workers[index];
        let mut waiting = VecDeque::new();
        while let Some((at_us, answer)) = process.answers.pop_front() {
            let woken = matches!(&answer, Answered::Hold(_, call, true)
                if worker.has_ended_since(call.acked_end));
            if at_us > now_us && !woken {
                waiting.push_back((at_us, answer));
                continue;
            }
            match answer {
                Answered::Start(run, answer) => process.gate.start_answered(now, run, answer),
                Answered::Stop(run, answer) => process.gate.stop_answered(now, run, answer),
                Answered::Hold(sent, call, answers) => {
                    let same = call.worker.as_deref() == Some(worker.id.as_str());
                    let answer = match (answers && worker.up, same) {
                        (false, _) => Err(OrderError::Unanswered),
                        (true, false) => Err(OrderError::OtherLife),
                        (true, true) => Ok(worker.hold(
                            now_us,
                            &HoldCall {
                                lease_until_ms: None,
                                ..call.clone()
                            },
                        )),
                    };
                    process.gate.hold_answered(now, sent, &call, answer);
                }
            }
        }
        process.answers = waiting;
    }

    fn gate_reads(&mut self, index: usize, now: Moment) {
        let mut lost = Vec::new();
        for at in 0..self.connections.len() {
            if self.connections[at].gate != index {
                continue;
            }
            let entry = self.connections[at].entry;
            let flows = self.reachable(entry, index) || self.entries[entry].is_none();
            let Some(process) = &mut self.gates[index] else {
                return;
            };
            let connection = &mut self.connections[at];
            let link = &mut connection.to_gate;
            while flows && let Some((at_us, sent_us, _)) = link.frames.front() {
                if *at_us > self.now_us {
                    break;
                }
                let age_us = link.clock.age_us(now, *sent_us);
                let late = age_us > micros(self.limits.frame_age) && !self.without.frame_age;
                let Some((.., messages)) = link.frames.pop_front() else {
                    break;
                };
                if late {
                    link.closed = true;
                    connection.to_entry.closed = true;
                    link.frames.clear();
                    break;
                }
                for message in messages {
                    process.gate.message(now, connection.gate_session, message);
                }
                process.gate.heard(now, connection.gate_session);
            }
            if link.closed && link.frames.is_empty() {
                lost.push(connection.gate_session);
            }
        }
        if let Some(process) = &mut self.gates[index] {
            for session in lost {
                process.gate.session_closed(session);
            }
        }
    }

    fn carry_out_gate(&mut self, index: usize, actions: Vec<GateAction>) {
        let sent_us = self.gate_moment(index).mono_us;
        let mut outbox: HashMap<SessionId, Vec<ToEntry>> = HashMap::new();
        for action in actions {
            match action {
                GateAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                GateAction::Close(session) => {
                    let of = |one: &Connection| one.gate == index && one.gate_session == session;
                    self.close_connections(of, true);
                }
                GateAction::Aim(_) => {}
                GateAction::Start(call) => self.order_start(index, call),
                GateAction::Stop(call) => self.order_stop(index, call.run, call.fence),
                GateAction::Hold(call) => self.order_hold(index, call),
            }
        }
        let at_us = self.now_us + self.rng.random_range(500..4_000);
        for (session, messages) in outbox {
            let connection = self.connections.iter_mut().find(|one| {
                one.gate == index
                    && one.gate_session == session
                    && !one.to_entry.closed
                    && !one.silent
            });
            if let Some(connection) = connection {
                let frame = (at_us, sent_us, messages);
                connection.to_entry.frames.push_back(frame);
            }
        }
    }

    // Orders.

    /// Whether an order is lost, and when it is carried out all the same.
    fn fate(&mut self, index: usize) -> (bool, Option<u64>) {
        let worker = &self.workers[index];
        if !worker.up || worker.mute_until_us > self.now_us {
            return (true, None);
        }
        if self.rng.random_range(0..100) >= self.unanswered {
            return (false, Some(self.now_us));
        }
        let later = match self.rng.random_range(0..3) {
            0 => Some(self.now_us),
            1 => Some(self.now_us + self.rng.random_range(100_000..600_000)),
            _ => Some(self.now_us + self.rng.random_range(2_000_000..12_000_000)),
        };
        (true, later)
    }

    fn answer_at(&mut self, index: usize, at_us: u64, answer: Answered) {
        if let Some(process) = &mut self.gates[index] {
            process.answers.push_back((at_us, answer));
        }
    }

    fn order_start(&mut self, index: usize, call: StartCall) {
        let run = call.run;
        let (lost, at_us) = self.fate(index);
        if lost {
            if let Some(at_us) = at_us {
                self.late.push((at_us, Late::Start(index, call)));
            }
            let at_us = self.now_us + ORDER_LIMIT_US;
            self.answer_at(
                index,
                at_us,
                Answered::Start(run, Err(OrderError::Unanswered)),
            );
            return;
        }
        let reply = self.begin(index, &call);
        let clock_ms = Some(self.workers[index].clock_ms(self.now_us));
        let answer = StartAnswer { reply, clock_ms };
        let at_us = self.now_us + STEP_US;
        self.answer_at(index, at_us, Answered::Start(run, Ok(answer)));
    }

    fn order_stop(&mut self, index: usize, run: RunId, fence: u64) {
        let (lost, at_us) = self.fate(index);
        if let (true, Some(at_us)) = (lost, at_us) {
            self.late.push((at_us, Late::Stop(index, run, fence)));
        }
        let answer = match lost {
            true => Err(OrderError::Unanswered),
            false if self.workers[index].stop(self.now_us, run, fence) => Ok(()),
            // The platform answers 409, which the adapter takes for no answer.
            false => Err(OrderError::Protocol),
        };
        let wait_us = if lost { ORDER_LIMIT_US } else { STEP_US };
        let at_us = self.now_us + wait_us;
        self.answer_at(index, at_us, Answered::Stop(run, answer));
    }

    fn order_hold(&mut self, index: usize, call: HoldCall) {
        let (lost, _) = self.fate(index);
        if !lost && call.worker.as_deref() == Some(self.workers[index].id.as_str()) {
            // The lease counts from the arrival, the lists from the answer.
            let renewal = HoldCall {
                acked_end: call.acked_end,
                ..call.clone()
            };
            self.workers[index].hold(self.now_us, &renewal);
        }
        let wait_us = if lost {
            HOLD_LIMIT_US
        } else {
            call.wait_ms * 1_000 + 1
        };
        let sent = self.gate_moment(index);
        let at_us = self.now_us + wait_us;
        self.answer_at(index, at_us, Answered::Hold(sent, call, !lost));
    }

    fn late_orders(&mut self) {
        let now_us = self.now_us;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at_us, _)| *at_us <= now_us);
        self.late = later;
        let due: Vec<(u64, Late)> = due;
        for (_, order) in due {
            match order {
                Late::Start(index, call) => {
                    self.begin(index, &call);
                }
                Late::Stop(index, run, fence) => {
                    self.workers[index].stop(now_us, run, fence);
                }
            }
        }
    }

    /// A start reaches a worker: the promises are checked here.
    fn begin(&mut self, index: usize, call: &StartCall) -> StartReply {
        let run = call.run;
        let work_us = 30_000 + (run.job.0 * 7_919 % 10) * 250_000;
        let elsewhere = self
            .workers
            .iter()
            .any(|worker| worker.up && worker.runs(run.job, run.index));
        let (reply, began) = self.workers[index].start(self.now_us, call, work_us);
        if !began {
            return reply;
        }
        self.starts += 1;
        if elsewhere {
            let text = format!("{run} runs twice at {} us", self.now_us);
            self.violations.push(text);
        }
        if let Some(caller) = self.callers.get_mut(&run.job) {
            let refused = caller.refused_all && caller.answer.is_some();
            caller.started = true;
            if refused {
                let text = format!("{run} started after its refusal");
                self.violations.push(text);
            }
        }
        reply
    }

    fn check(&mut self) {
        for worker in &self.workers {
            let used = worker.running().count() as u64 * CPU;
            if used > worker.capacity.cpu_milli {
                let text = format!("{} is over its capacity at {} us", worker.id, self.now_us);
                self.violations.push(text);
            }
        }
    }

    /// Jobs that have no final answer.
    pub fn unanswered_jobs(&self) -> usize {
        let open = self.callers.values().filter(|one| one.answer.is_none());
        open.count()
    }

    /// Tasks that run now.
    pub fn running(&self) -> HashSet<RunId> {
        self.workers.iter().flat_map(FakeWorker::running).collect()
    }
}
