//! The gate of one target: the only way to it.
//!
//! It admits tasks against the target's slots, keeps a short queue, and
//! remembers every task it was ever given for as long as a caller may ask
//! again. A task is started at most once here: a start that comes again finds
//! its record. A refusal is a bar: once the gate has said that an attempt was
//! not started, that attempt can never start here, however late or often its
//! message arrives, so the owner may try another gate.

mod queue;
mod stats;

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

use crate::config::Config;
use crate::id::{Epoch, MemberId, RangeId, TaskId};
use crate::load::LoadSample;
use crate::message::{Message, Refusal, Start, StartedTask, TaskOutcome};
use crate::time::{Moment, micros};
use queue::{Queue, Waiting};
use stats::RunStats;

/// What a gate asks of the process around it.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// Run a task on the target.
    Run {
        /// The task.
        task: TaskId,
        /// What the target gets.
        payload: Bytes,
        /// Time left until its deadline, in milliseconds.
        budget_ms: u64,
    },
    /// Stop a task that runs.
    StopRun {
        /// The task.
        task: TaskId,
    },
}

/// How a run on the target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target took no connection, so nothing reached it.
    NotConnected,
    /// It ended.
    Ended(TaskOutcome),
}

#[derive(Debug)]
enum State {
    Waiting,
    Running { since_us: u64, expected_us: u64 },
    Ended { outcome: TaskOutcome, run_us: u64 },
    Barred { reason: Refusal },
}

#[derive(Debug)]
struct Record {
    range: RangeId,
    owner: MemberId,
    attempt: u32,
    team: Option<std::sync::Arc<str>>,
    state: State,
    touched_us: u64,
}

/// What a gate is told at its start.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The process that it is part of.
    pub me: MemberId,
    /// Service of its target.
    pub service: String,
    /// Tasks that the target runs at once.
    pub slots: u32,
    /// Failure domain of the gate.
    pub failure_domain: String,
}

/// The gate of one target.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    queue_limit: usize,
    reserved: u32,
    redirects: u32,
    retention: Duration,
    stops_running: bool,
    records: HashMap<TaskId, Record>,
    floors: HashMap<RangeId, Epoch>,
    queue: Queue,
    running: u32,
    stats: RunStats,
    leaving: bool,
    drained: bool,
    samples: u64,
    swept_us: u64,
}

/// How often records are looked through for old ones.
const SWEEP: Duration = Duration::from_secs(5);

impl Gate {
    /// A gate that admits by `config`.
    pub fn new(settings: GateSettings, config: &Config) -> Gate {
        let mut gate = Gate {
            settings,
            queue_limit: 0,
            reserved: 0,
            redirects: 0,
            retention: Duration::ZERO,
            stops_running: true,
            records: HashMap::new(),
            floors: HashMap::new(),
            queue: Queue::default(),
            running: 0,
            stats: RunStats::default(),
            leaving: false,
            drained: false,
            samples: 0,
            swept_us: 0,
        };
        gate.configure(config, 0);
        gate
    }

    /// Puts a configuration in force; `fleet_slots` is the number of slots
    /// that all targets of the service have, 0 if unknown.
    pub fn configure(&mut self, config: &Config, fleet_slots: u32) {
        self.queue_limit = config.policy.target_queue;
        self.reserved = config.policy.reserved_slots;
        self.redirects = config.policy.urgent_redirects;
        self.retention = Duration::from_millis(config.ownership.retention_ms);
        self.stops_running = config.policy.cancel_stops_running;
        let settings = &self.settings;
        self.drained = config.bars(&settings.me.name, &settings.failure_domain);
        self.queue
            .configure(config, self.settings.slots, fleet_slots);
    }

    /// Takes no more work from now on; what it has finishes.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether nothing waits or runs.
    pub fn idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty()
    }

    /// Number of tasks that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of tasks that it remembers.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// The load now; each call counts one more sample.
    pub fn sample(&mut self) -> LoadSample {
        self.samples += 1;
        LoadSample {
            gate: self.settings.me.clone(),
            number: self.samples,
            running: self.running,
            urgent_queued: self.queue.urgent_len() as u32,
            queued: self.queue.len() as u32,
            mean_run_us: self.stats.mean_run_us(),
            slowness_percent: self.stats.slowness_percent(),
            failed_percent: self.stats.failed_percent(),
            leaving: self.refuses_all(),
        }
    }

    fn refuses_all(&self) -> bool {
        self.leaving || self.drained
    }

    /// Takes no start for `range` of an epoch before `epoch` any more.
    pub fn raise_floor(&mut self, range: RangeId, epoch: Epoch) {
        let floor = self.floors.entry(range).or_default();
        *floor = epoch.max(*floor);
    }

    fn floor(&self, range: RangeId) -> Epoch {
        self.floors.get(&range).copied().unwrap_or_default()
    }

    /// An owner wants a task run.
    pub fn start(&mut self, now: Moment, from: &MemberId, start: Start) -> Vec<GateAction> {
        if start.epoch < self.floor(start.range) {
            return vec![refuse(from, start.task, start.attempt, Refusal::StaleEpoch)];
        }
        self.raise_floor(start.range, start.epoch);
        match self.records.get(&start.task) {
            None => self.admit(now, from, start),
            Some(record) if record.may_try_again(start.attempt) => self.admit(now, from, start),
            Some(_) => self.known(from, start.task),
        }
    }

    fn known(&mut self, from: &MemberId, task: TaskId) -> Vec<GateAction> {
        let Some(record) = self.records.get_mut(&task) else {
            return Vec::new();
        };
        record.owner = from.clone();
        vec![record.report(task)]
    }

    fn admit(&mut self, now: Moment, from: &MemberId, start: Start) -> Vec<GateAction> {
        let refusal = self.refusal(&start);
        let state = match refusal {
            Some(reason) => State::Barred { reason },
            None => State::Waiting,
        };
        let record = Record {
            range: start.range,
            owner: from.clone(),
            attempt: start.attempt,
            team: start.team.clone(),
            state,
            touched_us: now.mono_us,
        };
        let (task, attempt) = (start.task, start.attempt);
        self.records.insert(task, record);
        if let Some(reason) = refusal {
            return vec![refuse(from, task, attempt, reason)];
        }
        self.queue.push(Waiting::new(now, start));
        self.fill(now)
    }

    fn refusal(&self, start: &Start) -> Option<Refusal> {
        if self.refuses_all() {
            return Some(Refusal::Leaving);
        }
        if self.queue.team_may_run(start.team.as_deref())
            && self.running < self.slots_for(start.urgent)
        {
            return None;
        }
        if start.urgent && start.attempt < self.redirects {
            return Some(Refusal::Busy);
        }
        let before = match start.urgent {
            true => self.queue.urgent_len(),
            false => self.queue.len(),
        };
        if before >= self.queue_limit {
            return Some(Refusal::QueueFull);
        }
        let ahead = before as u64 + 1;
        let wait_us = ahead * self.stats.mean_run_us() / u64::from(self.settings.slots);
        let needed_us = wait_us + start.expected_us;
        (needed_us > start.budget_ms * 1_000).then_some(Refusal::TooLate)
    }

    /// Slots that a task may use; some are kept for urgent ones.
    fn slots_for(&self, urgent: bool) -> u32 {
        let reserved = if urgent { 0 } else { self.reserved };
        self.settings.slots.saturating_sub(reserved).max(1)
    }

    fn fill(&mut self, now: Moment) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while self.running < self.settings.slots {
            let all = self.running < self.slots_for(false);
            let Some(waiting) = self.queue.pop(now, all) else {
                break;
            };
            actions.push(self.run(now, waiting));
        }
        actions
    }

    fn run(&mut self, now: Moment, waiting: Waiting) -> GateAction {
        let task = waiting.start.task;
        self.running += 1;
        self.queue.team_runs(waiting.start.team.as_deref());
        if let Some(record) = self.records.get_mut(&task) {
            record.state = State::Running {
                since_us: now.mono_us,
                expected_us: waiting.start.expected_us,
            };
        }
        GateAction::Run {
            task,
            budget_ms: now.left(waiting.deadline_us).as_millis() as u64,
            payload: waiting.start.payload,
        }
    }

    /// A run ended.
    pub fn ended(&mut self, now: Moment, task: TaskId, result: RunResult) -> Vec<GateAction> {
        let Some(record) = self.records.get_mut(&task) else {
            return Vec::new();
        };
        let State::Running {
            since_us,
            expected_us,
        } = record.state
        else {
            return Vec::new();
        };
        let run_us = now.mono_us.saturating_sub(since_us);
        record.touched_us = now.mono_us;
        self.stats.record(&result, run_us, expected_us);
        record.state = match result {
            RunResult::NotConnected => State::Barred {
                reason: Refusal::NoConnection,
            },
            RunResult::Ended(outcome) => State::Ended { outcome, run_us },
        };
        let mut actions = vec![record.report(task)];
        let team = record.team.clone();
        self.running -= 1;
        self.queue.team_ends(team.as_deref());
        actions.extend(self.fill(now));
        actions
    }

    /// An owner asks about a task; one that waits is barred.
    pub fn inquire(
        &mut self,
        now: Moment,
        from: &MemberId,
        task: TaskId,
        range: RangeId,
        epoch: Epoch,
        attempt: u32,
    ) -> Vec<GateAction> {
        if epoch < self.floor(range) {
            return Vec::new();
        }
        let bar = || Record::barred(range, from, attempt, now);
        self.records.entry(task).or_insert_with(bar);
        self.bar_waiting(task);
        self.known(from, task)
    }

    /// An owner no longer wants a task: bar it, or stop it.
    pub fn stop(&mut self, task: TaskId) -> Vec<GateAction> {
        self.bar_waiting(task);
        let Some(record) = self.records.get(&task) else {
            return Vec::new();
        };
        match record.state {
            State::Running { .. } if self.stops_running => vec![GateAction::StopRun { task }],
            _ => vec![record.report(task)],
        }
    }

    fn bar_waiting(&mut self, task: TaskId) {
        if !self.queue.remove(task) {
            return;
        }
        if let Some(record) = self.records.get_mut(&task) {
            record.state = State::Barred {
                reason: Refusal::Barred,
            };
        }
    }

    /// A new owner wants to know what was started in a range.
    pub fn recover(&mut self, from: &MemberId, range: RangeId, epoch: Epoch) -> Vec<GateAction> {
        if epoch < self.floor(range) {
            return Vec::new();
        }
        self.raise_floor(range, epoch);
        let mut tasks = Vec::new();
        let in_range = self.records.iter_mut();
        for (task, record) in in_range.filter(|(_, record)| record.range == range) {
            record.owner = from.clone();
            tasks.extend(record.started(*task));
        }
        let message = Message::Recovered {
            range,
            epoch,
            tasks,
        };
        vec![GateAction::Send {
            to: from.clone(),
            message,
        }]
    }

    /// Time has passed: give up what is late and forget what is old.
    pub fn tick(&mut self, now: Moment) -> Vec<GateAction> {
        self.sweep(now);
        let mut actions = Vec::new();
        for task in self.queue.take_late(now) {
            let Some(record) = self.records.get_mut(&task) else {
                continue;
            };
            record.state = State::Barred {
                reason: Refusal::TooLate,
            };
            actions.push(record.report(task));
        }
        actions
    }

    fn sweep(&mut self, now: Moment) {
        if now.mono_us < self.swept_us + micros(SWEEP) {
            return;
        }
        self.swept_us = now.mono_us;
        let keep_us = micros(self.retention);
        self.records.retain(|_, record| {
            let live = matches!(record.state, State::Waiting | State::Running { .. });
            live || record.touched_us + keep_us > now.mono_us
        });
    }
}

impl Record {
    fn barred(range: RangeId, owner: &MemberId, attempt: u32, now: Moment) -> Record {
        Record {
            range,
            owner: owner.clone(),
            attempt,
            team: None,
            state: State::Barred {
                reason: Refusal::Barred,
            },
            touched_us: now.mono_us,
        }
    }

    /// A refused attempt may be followed by a later one, never by itself.
    fn may_try_again(&self, attempt: u32) -> bool {
        matches!(self.state, State::Barred { .. }) && attempt > self.attempt
    }

    fn report(&self, task: TaskId) -> GateAction {
        let message = match &self.state {
            State::Waiting | State::Running { .. } => Message::Running { task },
            State::Barred { reason } => Message::Refused {
                task,
                attempt: self.attempt,
                reason: *reason,
            },
            State::Ended { outcome, run_us } => Message::Finished {
                task,
                outcome: outcome.clone(),
                run_us: *run_us,
            },
        };
        GateAction::Send {
            to: self.owner.clone(),
            message,
        }
    }

    fn started(&self, task: TaskId) -> Option<StartedTask> {
        let outcome = match &self.state {
            State::Barred { .. } => return None,
            State::Waiting | State::Running { .. } => None,
            State::Ended { outcome, .. } => Some(outcome.clone()),
        };
        Some(StartedTask { task, outcome })
    }
}

fn refuse(to: &MemberId, task: TaskId, attempt: u32, reason: Refusal) -> GateAction {
    GateAction::Send {
        to: to.clone(),
        message: Message::Refused {
            task,
            attempt,
            reason,
        },
    }
}
