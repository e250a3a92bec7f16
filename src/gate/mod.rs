//! Gate of one target: admits, queues and starts the target's tasks.
//!
//! The gate keeps a record of each task for the retention period, so a repeated start does
//! not run a task twice. A refused attempt can never start at this gate, even if its start
//! message arrives late or repeatedly, so the owner may send the task to another gate.

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
use queue::{Queue, QueuedTask};
use stats::RunStats;

/// Action that the process must perform for its gate.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message.
    Send {
        /// Recipient.
        to: MemberId,
        /// Message.
        message: Message,
    },
    /// Run a task on the target.
    Run {
        /// The task.
        task: TaskId,
        /// Payload for the target.
        payload: Bytes,
        /// Remaining time until the deadline.
        budget_ms: u64,
    },
    /// Stop a running task.
    StopRun {
        /// The task.
        task: TaskId,
    },
}

/// Result of a run on the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target accepted no connection, so the task did not run.
    NotConnected,
    /// The run ended.
    Ended(TaskOutcome),
}

#[derive(Debug)]
enum TaskState {
    Waiting,
    Running { since_us: u64, expected_us: u64 },
    Ended { outcome: TaskOutcome, run_us: u64 },
    Refused { reason: Refusal },
}

#[derive(Debug)]
struct Record {
    range: RangeId,
    owner: MemberId,
    attempt: u32,
    team: Option<std::sync::Arc<str>>,
    state: TaskState,
    updated_us: u64,
}

/// Fixed settings of a gate.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Process that the gate belongs to.
    pub member: MemberId,
    /// Service of the target.
    pub service: String,
    /// Number of tasks that the target runs concurrently.
    pub slots: u32,
    /// Failure domain of the gate.
    pub failure_domain: String,
}

/// Gate of one target.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    queue_limit: usize,
    reserved_slots: u32,
    max_urgent_redirects: u32,
    retention: Duration,
    stops_running: bool,
    records: HashMap<TaskId, Record>,
    min_epochs: HashMap<RangeId, Epoch>,
    queue: Queue,
    running: u32,
    stats: RunStats,
    leaving: bool,
    drained: bool,
    sample_count: u64,
    records_swept_us: u64,
}

/// How often expired records are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

impl Gate {
    /// Creates a gate with the limits of `config`.
    pub fn new(settings: GateSettings, config: &Config) -> Gate {
        let mut gate = Gate {
            settings,
            queue_limit: 0,
            reserved_slots: 0,
            max_urgent_redirects: 0,
            retention: Duration::ZERO,
            stops_running: true,
            records: HashMap::new(),
            min_epochs: HashMap::new(),
            queue: Queue::default(),
            running: 0,
            stats: RunStats::default(),
            leaving: false,
            drained: false,
            sample_count: 0,
            records_swept_us: 0,
        };
        gate.configure(config, 0);
        gate
    }

    /// Applies a configuration; `fleet_slots` is the number of slots of all targets of the
    /// service, 0 if unknown.
    pub fn configure(&mut self, config: &Config, fleet_slots: u32) {
        self.queue_limit = config.policy.target_queue;
        self.reserved_slots = config.policy.reserved_slots;
        self.max_urgent_redirects = config.policy.urgent_redirects;
        self.retention = Duration::from_millis(config.ownership.retention_ms);
        self.stops_running = config.policy.cancel_stops_running;
        let settings = &self.settings;
        self.drained = config.excludes(&settings.member.name, &settings.failure_domain);
        self.queue
            .configure(config, self.settings.slots, fleet_slots);
    }

    /// Refuses new tasks; tasks that are queued or running finish.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether no task is queued or running.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty()
    }

    /// Number of running tasks.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of task records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Takes a sample of the current load and numbers it.
    pub fn sample_load(&mut self) -> LoadSample {
        self.sample_count += 1;
        LoadSample {
            gate: self.settings.member.clone(),
            number: self.sample_count,
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

    /// Refuses starts for `range` with an epoch below `epoch` from now on.
    pub fn raise_min_epoch(&mut self, range: RangeId, epoch: Epoch) {
        let min_epoch = self.min_epochs.entry(range).or_default();
        *min_epoch = epoch.max(*min_epoch);
    }

    fn min_epoch(&self, range: RangeId) -> Epoch {
        self.min_epochs.get(&range).copied().unwrap_or_default()
    }

    /// Handles an owner's request to start a task.
    pub fn start(&mut self, now: Moment, from: &MemberId, start: Start) -> Vec<GateAction> {
        if start.epoch < self.min_epoch(start.range) {
            return vec![refuse(from, start.task, start.attempt, Refusal::StaleEpoch)];
        }
        self.raise_min_epoch(start.range, start.epoch);
        match self.records.get(&start.task) {
            None => self.admit(now, from, start),
            Some(record) if record.can_retry(start.attempt) => self.admit(now, from, start),
            Some(_) => self.report_to(from, start.task),
        }
    }

    /// Makes `from` the owner of the task, and reports the task's state to it.
    fn report_to(&mut self, from: &MemberId, task: TaskId) -> Vec<GateAction> {
        let Some(record) = self.records.get_mut(&task) else {
            return Vec::new();
        };
        record.owner = from.clone();
        vec![record.report(task)]
    }

    fn admit(&mut self, now: Moment, from: &MemberId, start: Start) -> Vec<GateAction> {
        let refusal = self.refusal_reason(&start);
        let state = match refusal {
            Some(reason) => TaskState::Refused { reason },
            None => TaskState::Waiting,
        };
        let record = Record {
            range: start.range,
            owner: from.clone(),
            attempt: start.attempt,
            team: start.team.clone(),
            state,
            updated_us: now.mono_us,
        };
        let (task, attempt) = (start.task, start.attempt);
        self.records.insert(task, record);
        if let Some(reason) = refusal {
            return vec![refuse(from, task, attempt, reason)];
        }
        self.queue.push(QueuedTask::new(now, start));
        self.start_queued(now)
    }

    fn refusal_reason(&self, start: &Start) -> Option<Refusal> {
        if self.refuses_all() {
            return Some(Refusal::Leaving);
        }
        if self.queue.team_has_capacity(start.team.as_deref())
            && self.running < self.slots_for(start.urgent)
        {
            return None;
        }
        if start.urgent && start.attempt < self.max_urgent_redirects {
            return Some(Refusal::Busy);
        }
        let queued = match start.urgent {
            true => self.queue.urgent_len(),
            false => self.queue.len(),
        };
        if queued >= self.queue_limit {
            return Some(Refusal::QueueFull);
        }
        let position = queued as u64 + 1;
        let wait_us = position * self.stats.mean_run_us() / u64::from(self.settings.slots);
        let needed_us = wait_us + start.expected_us;
        (needed_us > start.budget_ms * 1_000).then_some(Refusal::TooLate)
    }

    /// Number of slots that a task may use; reserved slots are only for urgent tasks.
    fn slots_for(&self, urgent: bool) -> u32 {
        let reserved_slots = if urgent { 0 } else { self.reserved_slots };
        self.settings.slots.saturating_sub(reserved_slots).max(1)
    }

    fn start_queued(&mut self, now: Moment) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while self.running < self.settings.slots {
            let allow_non_urgent = self.running < self.slots_for(false);
            let Some(queued) = self.queue.pop(now, allow_non_urgent) else {
                break;
            };
            actions.push(self.start_run(now, queued));
        }
        actions
    }

    fn start_run(&mut self, now: Moment, queued: QueuedTask) -> GateAction {
        let task = queued.start.task;
        self.running += 1;
        self.queue.team_started(queued.start.team.as_deref());
        if let Some(record) = self.records.get_mut(&task) {
            record.state = TaskState::Running {
                since_us: now.mono_us,
                expected_us: queued.start.expected_us,
            };
        }
        GateAction::Run {
            task,
            budget_ms: now.remaining(queued.deadline_us).as_millis() as u64,
            payload: queued.start.payload,
        }
    }

    /// Records the end of a run and starts queued tasks.
    pub fn run_ended(&mut self, now: Moment, task: TaskId, result: RunResult) -> Vec<GateAction> {
        let Some(record) = self.records.get_mut(&task) else {
            return Vec::new();
        };
        let TaskState::Running {
            since_us,
            expected_us,
        } = record.state
        else {
            return Vec::new();
        };
        let run_us = now.mono_us.saturating_sub(since_us);
        record.updated_us = now.mono_us;
        self.stats.record(&result, run_us, expected_us);
        record.state = match result {
            RunResult::NotConnected => TaskState::Refused {
                reason: Refusal::NoConnection,
            },
            RunResult::Ended(outcome) => TaskState::Ended { outcome, run_us },
        };
        let mut actions = vec![record.report(task)];
        let team = record.team.clone();
        self.running -= 1;
        self.queue.team_ended(team.as_deref());
        actions.extend(self.start_queued(now));
        actions
    }

    /// Refuses a task that has not started, and reports the task's state to its owner.
    pub fn inquire(
        &mut self,
        now: Moment,
        from: &MemberId,
        task: TaskId,
        range: RangeId,
        epoch: Epoch,
        attempt: u32,
    ) -> Vec<GateAction> {
        if epoch < self.min_epoch(range) {
            return Vec::new();
        }
        let refused = || Record::refused(range, from, attempt, now);
        self.records.entry(task).or_insert_with(refused);
        self.refuse_queued(task);
        self.report_to(from, task)
    }

    /// Refuses a task that has not started, or stops it.
    pub fn stop(&mut self, task: TaskId) -> Vec<GateAction> {
        self.refuse_queued(task);
        let Some(record) = self.records.get(&task) else {
            return Vec::new();
        };
        match record.state {
            TaskState::Running { .. } if self.stops_running => vec![GateAction::StopRun { task }],
            _ => vec![record.report(task)],
        }
    }

    fn refuse_queued(&mut self, task: TaskId) {
        if !self.queue.remove(task) {
            return;
        }
        if let Some(record) = self.records.get_mut(&task) {
            record.state = TaskState::Refused {
                reason: Refusal::Barred,
            };
        }
    }

    /// Reports the tasks accepted in a range to its new owner.
    pub fn recover(&mut self, from: &MemberId, range: RangeId, epoch: Epoch) -> Vec<GateAction> {
        if epoch < self.min_epoch(range) {
            return Vec::new();
        }
        self.raise_min_epoch(range, epoch);
        let mut tasks = Vec::new();
        let records = self.records.iter_mut();
        for (task, record) in records.filter(|(_, record)| record.range == range) {
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

    /// Refuses queued tasks whose deadline has passed, and removes expired records.
    pub fn tick(&mut self, now: Moment) -> Vec<GateAction> {
        self.remove_expired_records(now);
        let mut actions = Vec::new();
        for task in self.queue.remove_expired(now) {
            let Some(record) = self.records.get_mut(&task) else {
                continue;
            };
            record.state = TaskState::Refused {
                reason: Refusal::TooLate,
            };
            actions.push(record.report(task));
        }
        actions
    }

    fn remove_expired_records(&mut self, now: Moment) {
        if now.mono_us < self.records_swept_us + micros(SWEEP_INTERVAL) {
            return;
        }
        self.records_swept_us = now.mono_us;
        let retention_us = micros(self.retention);
        self.records.retain(|_, record| {
            let is_active = matches!(record.state, TaskState::Waiting | TaskState::Running { .. });
            is_active || record.updated_us + retention_us > now.mono_us
        });
    }
}

impl Record {
    fn refused(range: RangeId, owner: &MemberId, attempt: u32, now: Moment) -> Record {
        Record {
            range,
            owner: owner.clone(),
            attempt,
            team: None,
            state: TaskState::Refused {
                reason: Refusal::Barred,
            },
            updated_us: now.mono_us,
        }
    }

    /// Whether `attempt` is a new attempt after a refused one.
    fn can_retry(&self, attempt: u32) -> bool {
        matches!(self.state, TaskState::Refused { .. }) && attempt > self.attempt
    }

    fn report(&self, task: TaskId) -> GateAction {
        let message = match &self.state {
            TaskState::Waiting | TaskState::Running { .. } => Message::Running { task },
            TaskState::Refused { reason } => Message::Refused {
                task,
                attempt: self.attempt,
                reason: *reason,
            },
            TaskState::Ended { outcome, run_us } => Message::Finished {
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

    /// The task for a recovery report; `None` if it was refused.
    fn started(&self, task: TaskId) -> Option<StartedTask> {
        let outcome = match &self.state {
            TaskState::Refused { .. } => return None,
            TaskState::Waiting | TaskState::Running { .. } => None,
            TaskState::Ended { outcome, .. } => Some(outcome.clone()),
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
