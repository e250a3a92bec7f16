//! State of an open job and its tasks.

use std::sync::Arc;

use crate::ephemeral::dispatcher::WaiterId;
use crate::ephemeral::dispatcher::registration::Registration;
use crate::ephemeral::job::{JobSpec, Priority, RunId};
use crate::ephemeral::routes::Route;
use crate::ephemeral::run_spread::RunSpread;
use crate::ephemeral::scheduling::Scheduling;
use crate::ephemeral::subset::JobKind;

/// Factor on the expected run time when the latest begin is computed, as run times vary.
const RUN_TIME_MARGIN: f64 = 1.1;
/// Factor by which runs may be shorter than expected.
const MAX_RUN_SPEEDUP: u64 = 8;
/// Time for orders and answers to be transmitted, in microseconds.
const MESSAGE_OVERHEAD_US: u64 = 10_000;

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Not at a gate.
    Waiting,
    /// Sent to a gate.
    Placed {
        /// Name of the gate.
        gate: Arc<str>,
        /// Number of the run.
        run: u32,
    },
    /// Finished.
    Done,
}

#[derive(Debug)]
pub(super) struct Task {
    pub state: TaskState,
    /// Number of the last run.
    pub runs: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Starts that gates rejected for lack of room.
    pub capacity_rejections: u32,
    /// Times it was moved for being slow.
    pub moves: u32,
    /// Whether a gate rejected it because of another implicated task.
    pub rejected_apart: bool,
    /// Gates where a run did not succeed.
    pub avoided_gates: Vec<Arc<str>>,
}

#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub route: Arc<Route>,
    /// Kinds by which the entry chooses gates.
    pub kinds: Vec<JobKind>,
    /// Callers that wait for the answer.
    pub waiters: Vec<WaiterId>,
    /// When it arrived; all points in time are in monotonic microseconds.
    pub arrived_us: u64,
    /// Expected run time of the longest task, in microseconds.
    pub expected_us: u64,
    /// Spread of the route's run times, if placement uses it.
    pub spread: Option<Arc<RunSpread>>,
    /// When the caller stops waiting.
    pub deadline_us: u64,
    /// Whether the caller seems to have sent it before, so that its objective has passed.
    pub is_resend: bool,
    /// Whether its route exceeds its usual demand while room is short.
    pub surplus: bool,
    pub tasks: Vec<Task>,
    /// Whether a worker may have begun one of its tasks, for this entry or another one.
    pub may_have_run: bool,
    pub registration: Registration,
    /// Gates at which it was registered, by name.
    pub asked_registrars: Vec<Arc<str>>,
    /// Until when it waits for any gate, if none took work when it arrived.
    pub parked_until_us: Option<u64>,
    /// Until when it is held for spare room, if it is deferred and has not begun.
    pub deferred_until_us: Option<u64>,
    /// Why it is being withdrawn; it is answered once its runs are over.
    pub withdrawal_reason: Option<&'static str>,
}

impl Job {
    pub fn new(
        spec: JobSpec,
        route: Arc<Route>,
        arrived_us: u64,
        wait_us: u64,
        expected_us: u64,
        first_run: u32,
    ) -> Job {
        let task = || Task {
            state: TaskState::Waiting,
            runs: first_run,
            failures: 0,
            capacity_rejections: 0,
            moves: 0,
            rejected_apart: false,
            avoided_gates: Vec::new(),
        };
        Job {
            tasks: (0..spec.count).map(|_| task()).collect(),
            deadline_us: arrived_us + wait_us,
            is_resend: false,
            surplus: false,
            kinds: JobKind::of(&route.service, &spec),
            spec,
            route,
            waiters: Vec::new(),
            arrived_us,
            expected_us,
            spread: None,
            may_have_run: false,
            registration: Registration::default(),
            asked_registrars: Vec::new(),
            parked_until_us: None,
            deferred_until_us: None,
            withdrawal_reason: None,
        }
    }

    /// Length of its latency objective, in microseconds.
    pub fn objective_us(&self) -> u64 {
        (self.expected_us as f64 * self.route.stretch) as u64 + self.route.slack_us
    }

    /// Time left to end a task within the objective, in microseconds.
    pub fn objective_left_us(&self, now_us: u64) -> u64 {
        let until_us = self.arrived_us + self.objective_us();
        until_us.saturating_sub(now_us + MESSAGE_OVERHEAD_US)
    }

    /// Constant part of the objective minus the time since arrival and the time for messages,
    /// in microseconds; may be negative.
    pub fn slack_left_us(&self, now_us: u64) -> f64 {
        let spent_us = now_us.saturating_sub(self.arrived_us) + MESSAGE_OVERHEAD_US;
        self.route.slack_us as f64 - spent_us as f64
    }

    /// Latest begin of a task that meets the objective, in monotonic microseconds.
    pub fn latest_begin_us(&self) -> u64 {
        let run_us = (self.expected_us as f64 * RUN_TIME_MARGIN) as u64 + MESSAGE_OVERHEAD_US;
        self.arrived_us + self.objective_us().saturating_sub(run_us)
    }

    /// Latest begin of a task that ends before the deadline, in monotonic microseconds.
    pub fn latest_begin_for_deadline_us(&self) -> u64 {
        self.deadline_us
            .saturating_sub(self.expected_us + MESSAGE_OVERHEAD_US)
    }

    /// How long a start may wait for room at a gate from `now_us` on, in microseconds. Begun
    /// and deferred jobs may wait as long as they can meet the deadline, others as long as
    /// they can meet the objective.
    pub fn patience_us(&self, now_us: u64) -> u64 {
        let until_us = match self.may_have_run || self.is_deferred() {
            true => self.latest_begin_for_deadline_us(),
            false => self.latest_begin_us(),
        };
        until_us.saturating_sub(now_us)
    }

    /// Upper bound on the tasks that can begin one after the other in the same place within
    /// `span_us`.
    pub fn rounds_within(&self, span_us: u64) -> u64 {
        let shortest_us = (self.expected_us / MAX_RUN_SPEEDUP).max(1);
        1 + span_us / shortest_us
    }

    /// Priority of its tasks: best effort if it is deferred and surplus or late.
    pub fn priority(&self, scheduling: &Scheduling, now_us: u64) -> Priority {
        match self.is_deferred() && (self.surplus || self.misses_objective(now_us)) {
            true => Priority::BEST_EFFORT,
            false => self.route.priority(scheduling),
        }
    }

    /// Whether it is too late to begin a task for the objective.
    pub fn misses_objective(&self, now_us: u64) -> bool {
        self.latest_begin_us() <= now_us
    }

    /// Whether it is held for spare room.
    pub fn is_deferred(&self) -> bool {
        self.deferred_until_us.is_some()
    }

    /// Expected processor time of its tasks, in core-microseconds.
    pub fn work_us(&self) -> f64 {
        let cores = self.spec.needs.cpu_milli as f64 / 1e3;
        f64::from(self.spec.count) * cores * self.expected_us as f64
    }

    /// Tasks that are not at a gate.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> {
        let waiting = |(_, task): &(usize, &Task)| task.state == TaskState::Waiting;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(waiting).map(|(index, _)| index as u32)
    }

    /// Runs at gates, with the names of the gates.
    pub fn placed_runs(&self) -> impl Iterator<Item = (&Arc<str>, RunId)> {
        let job = self.spec.id;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(move |(index, task)| match &task.state {
            TaskState::Placed { gate, run } => {
                let index = index as u32;
                let run = *run;
                Some((gate, RunId { job, index, run }))
            }
            _ => None,
        })
    }

    /// Whether none of it has run, is running or may still begin.
    pub fn is_untouched(&self) -> bool {
        !self.may_have_run && self.placed_runs().next().is_none()
    }

    pub fn all_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Task of the run `id`, if that is its current run and is at `gate`.
    pub fn task_of_run(&mut self, gate: &str, id: RunId) -> Option<&mut Task> {
        let task = self.tasks.get_mut(id.index as usize)?;
        let is_current = matches!(
            &task.state,
            TaskState::Placed { gate: at, run } if **at == *gate && *run == id.run
        );
        is_current.then_some(task)
    }
}
