//! Priority queue of a gate.
//!
//! A task may run if its team is below its cap. Such tasks run in order of urgency, priority,
//! the team's use of its share, and deadline. The queue is short enough for a linear scan.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::id::TaskId;
use crate::message::Start;
use crate::time::Moment;

/// Task in the queue.
#[derive(Debug)]
pub struct QueuedTask {
    /// Start message.
    pub start: Start,
    /// Deadline on this process's monotonic clock.
    pub deadline_us: u64,
}

impl QueuedTask {
    /// Creates a queued task from a start message received at `now`.
    pub fn new(now: Moment, start: Start) -> QueuedTask {
        let deadline_us = now.after(Duration::from_millis(start.budget_ms));
        QueuedTask { start, deadline_us }
    }
}

#[derive(Debug, Default)]
struct Quota {
    share: u32,
    cap: Option<u32>,
    running: u32,
}

impl Quota {
    fn has_capacity(&self) -> bool {
        self.cap.is_none_or(|cap| self.running < cap)
    }

    fn usage(&self) -> f64 {
        f64::from(self.running) / f64::from(self.share.max(1))
    }
}

/// Queued tasks of a gate, with the number of running tasks of each team.
#[derive(Debug, Default)]
pub struct Queue {
    tasks: Vec<QueuedTask>,
    quotas: HashMap<Arc<str>, Quota>,
}

impl Queue {
    /// Applies the teams' shares and caps. A team's cap at this gate is proportional to the
    /// gate's share of all slots; without `fleet_slots` there is no cap.
    pub fn configure(&mut self, config: &Config, slots: u32, fleet_slots: u32) {
        for quota in self.quotas.values_mut() {
            quota.share = 1;
            quota.cap = None;
        }
        for team in &config.teams {
            let quota = self
                .quotas
                .entry(Arc::from(team.name.as_str()))
                .or_default();
            quota.share = team.share;
            if team.max_slots > 0 && fleet_slots > 0 {
                quota.cap = Some((team.max_slots * slots).div_ceil(fleet_slots));
            }
        }
    }

    /// Number of queued tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Number of urgent queued tasks.
    pub fn urgent_len(&self) -> usize {
        self.tasks
            .iter()
            .filter(|queued| queued.start.urgent)
            .count()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Adds a task to the queue.
    pub fn push(&mut self, queued: QueuedTask) {
        self.tasks.push(queued);
    }

    /// Removes and returns the next task to run; only urgent tasks are eligible unless
    /// `allow_non_urgent`.
    pub fn pop(&mut self, now: Moment, allow_non_urgent: bool) -> Option<QueuedTask> {
        let is_in_time = |queued: &QueuedTask| queued.deadline_us > now.mono_us;
        let may_run = |queued: &QueuedTask| {
            (allow_non_urgent || queued.start.urgent)
                && self.team_has_capacity(queued.start.team.as_deref())
        };
        let candidates = self.tasks.iter().enumerate();
        let eligible = candidates.filter(|(_, queued)| is_in_time(queued) && may_run(queued));
        let best = eligible.min_by(|(_, a), (_, b)| self.compare(a, b));
        let index = best.map(|(index, _)| index)?;
        Some(self.tasks.remove(index))
    }

    fn compare(&self, a: &QueuedTask, b: &QueuedTask) -> Ordering {
        let by_urgency = b.start.urgent.cmp(&a.start.urgent);
        let by_priority = a.start.priority.cmp(&b.start.priority);
        let by_usage = self.usage(a).total_cmp(&self.usage(b));
        let by_deadline = a.deadline_us.cmp(&b.deadline_us);
        by_urgency
            .then(by_priority)
            .then(by_usage)
            .then(by_deadline)
    }

    fn usage(&self, queued: &QueuedTask) -> f64 {
        let quota = self.quota(queued.start.team.as_deref());
        quota.map_or(0.0, Quota::usage)
    }

    fn quota(&self, team: Option<&str>) -> Option<&Quota> {
        team.and_then(|team| self.quotas.get(team))
    }

    /// Removes a task; returns whether it was queued.
    pub fn remove(&mut self, task: TaskId) -> bool {
        let before = self.tasks.len();
        self.tasks.retain(|queued| queued.start.task != task);
        self.tasks.len() < before
    }

    /// Removes the tasks whose deadline has passed, and returns their ids.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<TaskId> {
        let is_expired = |queued: &QueuedTask| queued.deadline_us <= now.mono_us;
        let tasks = self.tasks.iter().filter(|queued| is_expired(queued));
        let tasks = tasks.map(|queued| queued.start.task).collect();
        self.tasks.retain(|queued| !is_expired(queued));
        tasks
    }

    /// Whether `team` is below its cap.
    pub fn team_has_capacity(&self, team: Option<&str>) -> bool {
        self.quota(team).is_none_or(Quota::has_capacity)
    }

    /// Counts a task of `team` as running.
    pub fn team_started(&mut self, team: Option<&str>) {
        let Some(team) = team else {
            return;
        };
        let quota = self.quotas.entry(Arc::from(team)).or_default();
        quota.running += 1;
    }

    /// Counts a task of `team` as ended.
    pub fn team_ended(&mut self, team: Option<&str>) {
        let quota = team.and_then(|team| self.quotas.get_mut(team));
        if let Some(quota) = quota {
            quota.running = quota.running.saturating_sub(1);
        }
    }
}
