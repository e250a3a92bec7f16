//! The tasks that wait at an owner, and sending them to gates.
//!
//! A task waits here rather than at a gate for as long as every target looks
//! full: what is bound late is bound well. The order is by priority, then by
//! how far the team is ahead of its share, then by deadline.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::fleet::Fleet;
use crate::id::{SubmissionId, TaskId};
use crate::message::{Message, Start, Submission};
use crate::owner::entry::{Entry, Step, TaskState};
use crate::owner::{Owner, OwnerActions, send};
use crate::placement::{Choice, Want, backoff};
use crate::time::Moment;

/// Tasks of one share that a team may have waiting before others go first.
const TASKS_PER_ROUND: usize = 8;
/// Most tasks that one dispatch looks at.
const LOOK_AHEAD: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    round: usize,
    deadline_us: u64,
    task: TaskId,
}

#[derive(Debug)]
struct Queued {
    place: Place,
    team: Option<Arc<str>>,
}

/// The tasks that wait at an owner.
#[derive(Debug, Default)]
pub struct Backlog {
    order: BTreeSet<Place>,
    queued: HashMap<TaskId, Queued>,
    asleep: BTreeSet<(u64, TaskId)>,
    teams: HashMap<Arc<str>, usize>,
}

impl Backlog {
    /// Number of tasks that wait.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Number of tasks of `team` that wait.
    pub fn of_team(&self, team: &str) -> usize {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Number of tasks that go before one of `priority` that comes now.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let before = self.order.iter();
        before
            .take_while(|place| place.priority <= priority)
            .count()
    }

    /// Submissions less urgent than `priority`, the least urgent first.
    pub fn less_urgent_than(&self, priority: u8) -> Vec<SubmissionId> {
        let last_first = self.order.iter().rev();
        let less = last_first.take_while(|place| place.priority > priority);
        less.take(LOOK_AHEAD)
            .map(|place| place.task.submission)
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
        let place = Place {
            priority: submission.priority,
            round: self.round(config, submission),
            deadline_us,
            task,
        };
        let team = submission.team.clone();
        if let Some(team) = &team {
            *self.teams.entry(team.clone()).or_default() += 1;
        }
        self.order.insert(place.clone());
        self.queued.insert(task, Queued { place, team });
    }

    fn round(&self, config: &Config, submission: &Submission) -> usize {
        let Some(team) = submission.team.as_deref() else {
            return 0;
        };
        let share = config.team(team).map_or(1, |team| team.share) as usize;
        self.of_team(team) / (TASKS_PER_ROUND * share.max(1))
    }

    /// Takes a task out.
    pub fn remove(&mut self, task: TaskId) {
        let Some(queued) = self.queued.remove(&task) else {
            return;
        };
        self.order.remove(&queued.place);
        let count = queued.team.and_then(|team| self.teams.get_mut(&team));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Hides a task from dispatch until `until_us`.
    pub fn sleep(&mut self, task: TaskId, until_us: u64) {
        if let Some(queued) = self.queued.get(&task) {
            self.order.remove(&queued.place);
            self.asleep.insert((until_us, task));
        }
    }

    /// Shows the tasks whose sleep is over.
    pub fn wake(&mut self, now: Moment) {
        while let Some((until_us, task)) = self.asleep.first().copied() {
            if until_us > now.mono_us {
                break;
            }
            self.asleep.pop_first();
            let place = self.queued.get(&task).map(|queued| queued.place.clone());
            self.order.extend(place);
        }
    }

    fn next(&self) -> Vec<TaskId> {
        self.order
            .iter()
            .take(LOOK_AHEAD)
            .map(|place| place.task)
            .collect()
    }
}

impl Owner {
    /// Sends what can be placed.
    pub(super) fn dispatch(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let mut actions = Vec::new();
        let mut full: HashSet<(Arc<str>, bool)> = HashSet::new();
        for task in self.backlog.next() {
            let Some(entry) = self.entries.get(&task.submission) else {
                self.backlog.remove(task);
                continue;
            };
            let active = self
                .ranges
                .get(&entry.range)
                .is_some_and(|held| held.is_active());
            let sort = (entry.submission.service.clone(), self.is_urgent(now, entry));
            if !active || full.contains(&sort) {
                continue;
            }
            match self.place(now, fleet, task) {
                Some(placed) => actions.extend(placed),
                None => {
                    full.insert(sort);
                }
            }
        }
        actions
    }

    /// Sends one task; `None` if no target takes it now.
    fn place(&mut self, now: Moment, fleet: &Fleet, task: TaskId) -> Option<OwnerActions> {
        let entry = self.entries.get(&task.submission)?;
        let kind = self.kind(&entry.submission)?.clone();
        let Some(TaskState::Waiting { attempt, avoid }) =
            entry.open_tasks().get(task.index as usize)
        else {
            self.backlog.remove(task);
            return Some(Vec::new());
        };
        let (attempt, mut avoid) = (*attempt, avoid.clone());
        let service = entry.submission.service.clone();
        let want = Want {
            service: &service,
            accelerators: kind.accelerators,
            urgent: self.is_urgent(now, entry),
            avoid: &avoid,
        };
        let mut choice = self.placer.choose(now, fleet, &want);
        if choice == Choice::Nowhere && !avoid.is_empty() {
            let anywhere = Want { avoid: &[], ..want };
            choice = self.placer.choose(now, fleet, &anywhere);
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
        self.placer.sent(now, &gate);
        self.backlog.remove(task);
        let entry = self.entries.get_mut(&task.submission)?;
        entry.note(Step::Placed {
            index: task.index,
            gate: gate.clone(),
            load,
            candidates,
        });
        let state = entry.open_task_mut(task.index)?;
        *state = TaskState::Sent {
            gate: gate.clone(),
            attempt,
            at_us: now.mono_us,
            inquired_us: 0,
            avoid,
        };
        let start = self.start(now, task, attempt, expected_us)?;
        Some(vec![send(&gate, Message::Start(Box::new(start)))])
    }

    /// The message that starts an attempt of a task.
    pub(super) fn start(
        &self,
        now: Moment,
        task: TaskId,
        attempt: u32,
        expected_us: u64,
    ) -> Option<Start> {
        let entry = self.entries.get(&task.submission)?;
        let held = self.ranges.get(&entry.range)?;
        let submission = &entry.submission;
        Some(Start {
            task,
            range: entry.range,
            epoch: held.epoch,
            kind: submission.kind.clone(),
            team: submission.team.clone(),
            priority: submission.priority,
            urgent: self.is_urgent(now, entry),
            budget_ms: now.left(entry.deadline_us).as_millis() as u64,
            expected_us,
            attempt,
            payload: submission.tasks.get(task.index as usize)?.clone(),
        })
    }

    fn is_urgent(&self, now: Moment, entry: &Entry) -> bool {
        let waited_ms = now.wall_ms.saturating_sub(entry.accepted_ms);
        let waited = Duration::from_millis(waited_ms);
        self.config
            .policy
            .is_urgent(entry.submission.priority, waited)
    }

    /// Puts a task that a gate did not start back into the backlog.
    pub(super) fn requeue(&mut self, now: Moment, task: TaskId, attempt: u32, delayed: bool) {
        let Some(entry) = self.entries.get(&task.submission) else {
            return;
        };
        let deadline_us = entry.deadline_us;
        let submission = &entry.submission;
        self.backlog
            .push(&self.config, submission, deadline_us, task);
        if delayed {
            let first = Duration::from_millis(self.config.policy.retry_backoff_ms);
            let delay = backoff(&mut self.rng, first, attempt);
            self.backlog.sleep(task, now.after(delay));
        }
    }
}
