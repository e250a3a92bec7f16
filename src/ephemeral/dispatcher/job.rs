//! A job in the memory of its entry.

use std::sync::Arc;

use crate::ephemeral::dispatcher::WaiterId;
use crate::ephemeral::job::{JobSpec, Priority, RunId};
use crate::ephemeral::routes::Route;
use crate::ephemeral::run_spread::RunSpread;
use crate::ephemeral::scheduling::Scheduling;
use crate::ephemeral::subset::JobKind;

/// Share of the expected run time kept back when a start's patience is set;
/// run times vary about their mean.
const RUN_MARGIN: f64 = 1.1;
/// Time for orders and answers on the way, in microseconds.
const OVERHEAD_US: u64 = 10_000;

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// At no gate.
    Waiting,
    /// At a gate.
    At {
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
    /// Number of its last run.
    pub runs: u32,
    /// Runs that ended as failures.
    pub failures: u32,
    /// Gates that had less room than their loads said.
    pub bounces: u32,
    /// Times it was moved because it did not get on.
    pub moves: u32,
    /// Gates where it did not end well.
    pub avoid: Vec<Arc<str>>,
}

#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub route: Arc<Route>,
    /// By which its entry chooses gates.
    pub kinds: Vec<JobKind>,
    pub waiters: Vec<WaiterId>,
    pub arrived_us: u64,
    /// Run time of its longest task that is expected, in microseconds.
    pub expected_us: u64,
    /// How run times of its kind spread, where placement goes by that.
    pub spread: Option<Arc<RunSpread>>,
    /// When its caller stops waiting.
    pub deadline_us: u64,
    /// Whether its caller seems to have sent it before, so that its objective is past.
    pub sent_before: bool,
    /// Whether its kind asks for more than usual while room is short.
    pub surplus: bool,
    pub tasks: Vec<Task>,
    /// Whether a worker may have begun one of its tasks.
    pub may_have_run: bool,
    /// Until when it waits for any gate, if none took work when it came.
    pub parked_until_us: Option<u64>,
    /// Until when it is held for spare room, if it is deferred and nothing of it has begun.
    pub deferred_until_us: Option<u64>,
    /// Why it is being withdrawn; it is answered once its runs are over.
    pub withdrawn: Option<&'static str>,
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
            bounces: 0,
            moves: 0,
            avoid: Vec::new(),
        };
        Job {
            tasks: (0..spec.count).map(|_| task()).collect(),
            deadline_us: arrived_us + wait_us,
            sent_before: false,
            surplus: false,
            kinds: JobKind::of(&route.service, &spec),
            spec,
            route,
            waiters: Vec::new(),
            arrived_us,
            expected_us,
            spread: None,
            may_have_run: false,
            parked_until_us: None,
            deferred_until_us: None,
            withdrawn: None,
        }
    }

    /// Length of its latency objective, in microseconds.
    pub fn objective_us(&self) -> u64 {
        (self.expected_us as f64 * self.route.stretch) as u64 + self.route.slack_us
    }

    /// Time left to end a task so that the answer meets the objective.
    pub fn objective_left_us(&self, now_us: u64) -> u64 {
        let until_us = self.arrived_us + self.objective_us();
        until_us.saturating_sub(now_us + OVERHEAD_US)
    }

    /// Time left of the objective beyond what its longest task adds, in microseconds; below 0
    /// if part of that is spent.
    pub fn slack_left_us(&self, now_us: u64) -> f64 {
        let spent_us = now_us.saturating_sub(self.arrived_us) + OVERHEAD_US;
        self.route.slack_us as f64 - spent_us as f64
    }

    /// Latest time to begin a task so that the objective is met.
    pub fn latest_begin_us(&self) -> u64 {
        let run_us = (self.expected_us as f64 * RUN_MARGIN) as u64 + OVERHEAD_US;
        self.arrived_us + self.objective_us().saturating_sub(run_us)
    }

    /// Latest time to begin a task so that it may end before the deadline.
    pub fn last_begin_us(&self) -> u64 {
        self.deadline_us
            .saturating_sub(self.expected_us + OVERHEAD_US)
    }

    /// How long a start may wait for room at a gate from `now_us` on.
    pub fn patience_us(&self, now_us: u64) -> u64 {
        let until_us = match self.may_have_run || self.is_deferred() {
            true => self.last_begin_us(),
            false => self.latest_begin_us(),
        };
        until_us.saturating_sub(now_us)
    }

    /// Who is served first, among its tasks and those of others.
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

    /// Whether it is held for room that is free.
    pub fn is_deferred(&self) -> bool {
        self.deferred_until_us.is_some()
    }

    /// Processor time that its tasks are expected to take, in core-microseconds.
    pub fn work_us(&self) -> f64 {
        let cores = self.spec.needs.cpu_milli as f64 / 1e3;
        f64::from(self.spec.count) * cores * self.expected_us as f64
    }

    /// Tasks that are at no gate.
    pub fn waiting(&self) -> impl Iterator<Item = u32> {
        let waiting = |(_, task): &(usize, &Task)| task.state == TaskState::Waiting;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(waiting).map(|(index, _)| index as u32)
    }

    /// Runs that are at gates, and where.
    pub fn out(&self) -> impl Iterator<Item = (&Arc<str>, RunId)> {
        let job = self.spec.id;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(move |(index, task)| match &task.state {
            TaskState::At { gate, run } => {
                let index = index as u32;
                let run = *run;
                Some((gate, RunId { job, index, run }))
            }
            _ => None,
        })
    }

    /// Whether nothing of it has run, runs or may still begin.
    pub fn is_untouched(&self) -> bool {
        !self.may_have_run && self.out().next().is_none()
    }

    pub fn all_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// The task that `run` belongs to, if that is the run that is out, at `gate`.
    pub fn task_of(&mut self, gate: &str, id: RunId) -> Option<&mut Task> {
        let task = self.tasks.get_mut(id.index as usize)?;
        let out = matches!(&task.state, TaskState::At { gate: at, run } if **at == *gate && *run == id.run);
        out.then_some(task)
    }
}
