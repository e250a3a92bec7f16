//! The queue of waiting tasks, and their dispatch to gates.
//!
//! While all targets appear full, a task waits at the owner and not at a gate, so that
//! it goes to the first target with a free slot. Tasks are ordered by priority, then by
//! the team's use of its share, then by deadline.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::fleet::Fleet;
use crate::id::{SubmissionId, TaskId};
use crate::message::{Message, Start, Submission};
use crate::owner::submission::{Step, SubmissionRecord, TaskState};
use crate::owner::{Owner, OwnerActions, send};
use crate::placement::{Choice, PlacementRequest, backoff};
use crate::time::Moment;

/// Tasks per unit of a team's share that are queued in one fairness round.
const TASKS_PER_ROUND_PER_SHARE: usize = 8;
/// Maximum number of queued tasks that one pass considers.
const MAX_CANDIDATES: usize = 512;

/// Position in the dispatch order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Lower values go first.
    priority: u8,
    /// Fairness round of the team; 0 without a team.
    round: usize,
    /// Monotonic deadline of the submission.
    deadline_us: u64,
    task: TaskId,
}

#[derive(Debug)]
struct QueuedTask {
    key: QueueKey,
    team: Option<Arc<str>>,
}

/// Tasks that wait at an owner, in dispatch order.
#[derive(Debug, Default)]
pub struct Backlog {
    /// Tasks that can be dispatched now.
    order: BTreeSet<QueueKey>,
    /// All waiting tasks, including delayed ones.
    queued: HashMap<TaskId, QueuedTask>,
    /// Monotonic times at which delayed tasks return to `order`, in microseconds.
    delayed_until: BTreeSet<(u64, TaskId)>,
    /// Number of waiting tasks of each team.
    teams: HashMap<Arc<str>, usize>,
}

impl Backlog {
    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Number of waiting tasks of `team`.
    pub fn team_len(&self, team: &str) -> usize {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Number of tasks ahead of a new task of `priority`; lower values go first.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let keys = self.order.iter();
        keys.take_while(|key| key.priority <= priority).count()
    }

    /// Submissions of waiting tasks less urgent than `priority`, least urgent first.
    pub fn less_urgent_than(&self, priority: u8) -> Vec<SubmissionId> {
        let reversed = self.order.iter().rev();
        let less_urgent = reversed.take_while(|key| key.priority > priority);
        less_urgent
            .take(MAX_CANDIDATES)
            .map(|key| key.task.submission)
            .collect()
    }

    /// Adds a task.
    pub fn push(
        &mut self,
        config: &Config,
        submission: &Submission,
        deadline_us: u64,
        task: TaskId,
    ) {
        let key = QueueKey {
            priority: submission.priority,
            round: self.round(config, submission),
            deadline_us,
            task,
        };
        let team = submission.team.clone();
        if let Some(team) = &team {
            *self.teams.entry(team.clone()).or_default() += 1;
        }
        self.order.insert(key.clone());
        self.queued.insert(task, QueuedTask { key, team });
    }

    /// Fairness round of the next task of the submission's team.
    fn round(&self, config: &Config, submission: &Submission) -> usize {
        let Some(team) = submission.team.as_deref() else {
            return 0;
        };
        let share = config.team(team).map_or(1, |team| team.share) as usize;
        self.team_len(team) / (TASKS_PER_ROUND_PER_SHARE * share.max(1))
    }

    /// Removes a task.
    pub fn remove(&mut self, task: TaskId) {
        let Some(queued) = self.queued.remove(&task) else {
            return;
        };
        self.order.remove(&queued.key);
        let count = queued.team.and_then(|team| self.teams.get_mut(&team));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Excludes a task from dispatch until `until_us`.
    pub fn delay(&mut self, task: TaskId, until_us: u64) {
        if let Some(queued) = self.queued.get(&task) {
            self.order.remove(&queued.key);
            self.delayed_until.insert((until_us, task));
        }
    }

    /// Makes tasks whose delay has passed available again.
    pub fn release_delayed(&mut self, now: Moment) {
        while let Some((until_us, task)) = self.delayed_until.first().copied() {
            if until_us > now.mono_us {
                break;
            }
            self.delayed_until.pop_first();
            let key = self.queued.get(&task).map(|queued| queued.key.clone());
            self.order.extend(key);
        }
    }

    fn candidates(&self) -> Vec<TaskId> {
        self.order
            .iter()
            .take(MAX_CANDIDATES)
            .map(|key| key.task)
            .collect()
    }
}

impl Owner {
    /// Sends every waiting task that can be placed.
    pub(super) fn dispatch(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let mut actions = Vec::new();
        // Pairs of service and urgency for which no target has room.
        let mut full: HashSet<(Arc<str>, bool)> = HashSet::new();
        for task in self.backlog.candidates() {
            let Some(record) = self.submissions.get(&task.submission) else {
                self.backlog.remove(task);
                continue;
            };
            let active = self
                .ranges
                .get(&record.range)
                .is_some_and(|held| held.is_active());
            let class = (
                record.submission.service.clone(),
                self.is_urgent(now, record),
            );
            if !active || full.contains(&class) {
                continue;
            }
            match self.place(now, fleet, task) {
                Some(placed) => actions.extend(placed),
                None => {
                    full.insert(class);
                }
            }
        }
        actions
    }

    /// Sends one task; `None` if no target can take it now.
    fn place(&mut self, now: Moment, fleet: &Fleet, task: TaskId) -> Option<OwnerActions> {
        let record = self.submissions.get(&task.submission)?;
        let kind = self.kind(&record.submission)?.clone();
        let Some(TaskState::Waiting { attempt, avoid }) =
            record.open_tasks().get(task.index as usize)
        else {
            self.backlog.remove(task);
            return Some(Vec::new());
        };
        let (attempt, mut avoid) = (*attempt, avoid.clone());
        let service = record.submission.service.clone();
        let request = PlacementRequest {
            service: &service,
            accelerators: kind.accelerators,
            urgent: self.is_urgent(now, record),
            avoid: &avoid,
        };
        let mut choice = self.placer.choose(now, fleet, &request);
        // If every eligible gate has refused the task, the refusals are disregarded.
        if choice == Choice::NoTarget && !avoid.is_empty() {
            let unrestricted = PlacementRequest {
                avoid: &[],
                ..request
            };
            choice = self.placer.choose(now, fleet, &unrestricted);
            avoid.clear();
        }
        let Choice::Gate {
            gate,
            load,
            candidates,
        } = choice
        else {
            return None;
        };
        let expected_us = self.run_times.expected_us(&service, &kind);
        self.placer.record_sent(now, &gate);
        self.backlog.remove(task);
        let record = self.submissions.get_mut(&task.submission)?;
        record.record_step(Step::Placed {
            index: task.index,
            gate: gate.clone(),
            load,
            candidates,
        });
        let state = record.open_task_mut(task.index)?;
        *state = TaskState::Sent {
            gate: gate.clone(),
            attempt,
            last_contact_us: now.mono_us,
            inquired_us: 0,
            avoid,
        };
        let start = self.start_message(now, task, attempt, expected_us)?;
        Some(vec![send(&gate, Message::Start(Box::new(start)))])
    }

    /// Builds the message that starts an attempt of a task.
    pub(super) fn start_message(
        &self,
        now: Moment,
        task: TaskId,
        attempt: u32,
        expected_us: u64,
    ) -> Option<Start> {
        let record = self.submissions.get(&task.submission)?;
        let held = self.ranges.get(&record.range)?;
        let submission = &record.submission;
        Some(Start {
            task,
            range: record.range,
            epoch: held.epoch,
            kind: submission.kind.clone(),
            team: submission.team.clone(),
            priority: submission.priority,
            urgent: self.is_urgent(now, record),
            budget_ms: now.remaining(record.deadline_us).as_millis() as u64,
            expected_us,
            attempt,
            payload: submission.tasks.get(task.index as usize)?.clone(),
        })
    }

    fn is_urgent(&self, now: Moment, record: &SubmissionRecord) -> bool {
        let waited_ms = now.wall_ms.saturating_sub(record.accepted_ms);
        let waited = Duration::from_millis(waited_ms);
        self.config
            .policy
            .is_urgent(record.submission.priority, waited)
    }

    /// Returns a task that a gate did not start to the backlog.
    pub(super) fn requeue(&mut self, now: Moment, task: TaskId, attempt: u32, delayed: bool) {
        let Some(record) = self.submissions.get(&task.submission) else {
            return;
        };
        let deadline_us = record.deadline_us;
        let submission = &record.submission;
        self.backlog
            .push(&self.config, submission, deadline_us, task);
        if delayed {
            let first = Duration::from_millis(self.config.policy.retry_backoff_ms);
            let delay = backoff(&mut self.rng, first, attempt);
            self.backlog.delay(task, now.after(delay));
        }
    }
}
