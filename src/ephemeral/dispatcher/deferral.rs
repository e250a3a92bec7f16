//! Deferral: jobs that find no room wait in the entry.
//!
//! A deferred job waits at no gate, so it delays no other job there. Its tasks are sent
//! once all of them find spare room, and return at once if that room is taken. A job is
//! held for part of its caller's waiting time and then refused. The jobs of one priority
//! form two classes: those that can meet their objective and those that miss it. A job is
//! refused at once if its class is served too slowly for the job to find room in time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slog::info;

use super::job::Job;
use super::{Dispatcher, refused};
use crate::ephemeral::job::{JobId, Priority};
use crate::ephemeral::placement::GateView;
use crate::time::{Moment, micros};

/// Share of the caller's waiting time for which a job is held; the rest lets the caller try
/// elsewhere.
const HOLD_SHARE: f64 = 0.5;
/// Deferred jobs that are tried each time gate loads change.
const MAX_TRIED_JOBS: usize = 4;
/// Time constant of the rates at which work is requested and served.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Served rate of a class without held jobs, as a share of its requested rate. Only held
/// jobs count as served, so the rate is not measured then.
const EXPECTED_SERVED_SHARE: f64 = 0.6;
/// Jobs of a class that are held regardless of its rate, so that the rate is measured
/// again.
const MIN_HELD_JOBS: usize = 1;

/// Number of tasks for which a job that is surplus or misses its objective leaves room at
/// each gate, if gates do not keep headroom themselves.
const LATE_JOB_HEADROOM_TASKS: f64 = 2.0;

/// Position in the queue of deferred jobs; the order of the fields is the sort order. Jobs
/// that may have begun go first, as their work would be lost; then jobs that can meet their
/// objective, jobs that are not surplus, more urgent jobs and jobs that are due earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Whether no worker can have begun a task; tasks may be at gates.
    not_begun: bool,
    misses_objective: bool,
    surplus: bool,
    priority: Priority,
    /// Latest begin for the objective, or the deadline if the job misses its objective; in
    /// monotonic microseconds.
    due_us: u64,
    job: JobId,
}

/// Priority of the jobs, and whether they miss their objective.
type ClassKey = (Priority, bool);

/// Deferred jobs of one class; work is in core-microseconds.
#[derive(Debug, Default)]
struct Class {
    /// Work of the held jobs. A job that is sent stays here until one of its tasks
    /// begins, or until it is finished or withdrawn.
    held: BTreeMap<JobId, f64>,
    /// Work requested per second.
    requested_per_s: f64,
    /// Work served with spare room per second.
    served_per_s: f64,
    /// When the rates were last decayed, in monotonic microseconds.
    at_us: u64,
}

impl Class {
    /// Decays the rates up to now. Without deferred jobs the served rate returns to its
    /// expected value.
    fn decay(&mut self, now: Moment) {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.at_us = now.mono_us;
        let kept = (-elapsed_us / micros(RATE_WINDOW) as f64).exp();
        self.requested_per_s *= kept;
        let expected = match self.held.is_empty() {
            true => EXPECTED_SERVED_SHARE * self.requested_per_s,
            false => 0.0,
        };
        self.served_per_s = expected + (self.served_per_s - expected) * kept;
    }

    fn held_work(&self) -> f64 {
        self.held.values().sum()
    }

    /// Counts the whole work of a held job as served; the job is no longer held.
    fn count_served(&mut self, job: JobId) {
        let work = self.held.remove(&job).unwrap_or(0.0);
        self.served_per_s += work / RATE_WINDOW.as_secs_f64();
    }
}

/// Queue of deferred jobs, with the rates at which their classes are served.
#[derive(Debug, Default)]
pub(super) struct Deferral {
    /// Jobs with tasks to send.
    queue: BTreeSet<QueuePosition>,
    /// Positions of the queued jobs.
    positions: HashMap<JobId, QueuePosition>,
    classes: BTreeMap<ClassKey, Class>,
}

impl Deferral {
    fn class(&mut self, now: Moment, key: ClassKey) -> &mut Class {
        let class = self.classes.entry(key).or_default();
        class.decay(now);
        class
    }

    /// Counts the work of a requested job in both classes of its priority, as the job may
    /// be held before or after it misses its objective.
    fn add_request(&mut self, now: Moment, priority: Priority, job: &Job) {
        for misses_objective in [false, true] {
            let class = self.class(now, (priority, misses_objective));
            class.requested_per_s += job.work_us() / RATE_WINDOW.as_secs_f64();
        }
    }

    /// Whether a job is expected to find room within `hold_us`.
    fn expects_room(&mut self, now: Moment, key: ClassKey, job: &Job, hold_us: u64) -> bool {
        let class = self.class(now, key);
        let max_work = class.served_per_s * hold_us as f64 / 1e6;
        class.held.len() < MIN_HELD_JOBS || class.held_work() + job.work_us() <= max_work
    }

    /// Adds a job to the queue, or moves it to a new position.
    fn enqueue(&mut self, position: QueuePosition) {
        if let Some(before) = self.positions.insert(position.job, position) {
            self.queue.remove(&before);
        }
        self.queue.insert(position);
    }

    /// Removes a job from the queue; it stays held.
    fn remove(&mut self, job: JobId) {
        if let Some(position) = self.positions.remove(&job) {
            self.queue.remove(&position);
        }
    }

    fn class_of_held(&mut self, now: Moment, job: JobId) -> Option<&mut Class> {
        let mut classes = self.classes.values_mut();
        let class = classes.find(|class| class.held.contains_key(&job))?;
        class.decay(now);
        Some(class)
    }

    /// Records that a task of a job has begun. At the first one, the work of the whole job
    /// counts as served.
    pub fn record_start(&mut self, now: Moment, job: JobId) {
        if let Some(class) = self.class_of_held(now, job) {
            class.count_served(job);
        }
    }

    /// Removes a job that is finished or withdrawn.
    pub fn forget(&mut self, now: Moment, job: JobId) {
        self.remove(job);
        if let Some(class) = self.class_of_held(now, job) {
            class.held.remove(&job);
        }
    }

    /// Expected time to serve the held jobs of this and more urgent priorities, in
    /// microseconds.
    pub fn wait_us(&mut self, now: Moment, priority: Priority) -> f64 {
        // Includes the class of `priority` that misses its objective.
        let classes = self.classes.range_mut(..=(priority, true));
        let (held, served) = classes.fold((0.0, 0.0), |(held, served), (_, class)| {
            class.decay(now);
            (held + class.held_work(), served + class.served_per_s)
        });
        match held > 0.0 {
            true => held / served.max(f64::MIN_POSITIVE) * 1e6,
            false => 0.0,
        }
    }

    /// Number of queued jobs.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

impl Dispatcher {
    fn class_key(&self, now: Moment, job: &Job) -> ClassKey {
        let priority = job.route.priority(&self.scheduling);
        (priority, job.misses_objective(now.mono_us))
    }

    fn queue_position(&self, now: Moment, job: &Job) -> QueuePosition {
        let misses_objective = job.misses_objective(now.mono_us);
        QueuePosition {
            surplus: job.surplus,
            not_begun: !job.may_have_run,
            misses_objective,
            priority: job.route.priority(&self.scheduling),
            due_us: match misses_objective {
                true => job.deadline_us,
                false => job.latest_begin_us(),
            },
            job: job.spec.id,
        }
    }

    /// Counts the work of a requested job if deferral is on.
    pub(super) fn count_requested_work(&mut self, now: Moment, job: &Job) {
        if self.scheduling.deferral {
            let priority = job.route.priority(&self.scheduling);
            self.deferral.add_request(now, priority, job);
        }
    }

    /// Until when a job is held, in monotonic microseconds; `None` if it is to be refused.
    pub(super) fn deferred_until(&mut self, now: Moment, job: &Job) -> Option<u64> {
        if !self.scheduling.deferral {
            return None;
        }
        let hold_us = (job.deadline_us - job.arrived_us) as f64 * HOLD_SHARE;
        let until_us = (job.arrived_us + hold_us as u64).min(job.latest_begin_for_deadline_us());
        let left_us = until_us
            .checked_sub(now.mono_us)
            .filter(|left_us| *left_us > 0)?;
        // A held job begins as a whole.
        if self.exceeds_fleet(now, job, 1) {
            return None;
        }
        let key = self.class_key(now, job);
        let expected = self.deferral.expects_room(now, key, job, left_us);
        expected.then_some(until_us)
    }

    /// Whether all workers together, even if they are idle, cannot take the tasks of the job in this
    /// number of rounds.
    pub(super) fn exceeds_fleet(&self, now: Moment, job: &Job, rounds: u64) -> bool {
        let request = self.placement_request(now, job);
        let tasks = u64::from(job.spec.count).div_ceil(rounds.max(1));
        let connected = self.gates.values().filter_map(GateView::worker);
        let mut connected = connected.map(|worker| &**worker);
        !request.fit_together(tasks, &mut connected) && !self.subset.may_fit(&request, tasks)
    }

    /// Defers a job that is at no gate if it is expected to find room, and refuses it
    /// otherwise.
    pub(super) fn defer_or_refuse(&mut self, now: Moment, id: JobId, why: &str) {
        // The job is outside the map while methods that borrow the dispatcher use it.
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        let until_us = self.deferred_until(now, &job);
        if until_us.is_some() {
            self.backlog.remove(&(job.latest_begin_us(), id));
            job.parked_until_us = None;
            job.deferred_until_us = until_us;
            self.enqueue_deferred(now, &job, why);
        }
        let retry_after_ms = self.retry_after_ms(now, &job);
        self.jobs.insert(id, job);
        // `finish` needs the job in the map.
        if until_us.is_none() {
            self.finish(now, id, refused(why, retry_after_ms));
        }
    }

    /// Adds a job to the deferred jobs.
    pub(super) fn enqueue_deferred(&mut self, now: Moment, job: &Job, why: &str) {
        info!(self.log, "job deferred"; "job" => %job.spec.id, "route" => &*job.route.name,
            "why" => why, "surplus" => job.surplus,
            "hold_us" => job.deferred_until_us.map(|us| us - now.mono_us),
            "deferred" => self.deferral.len());
        let position = self.queue_position(now, job);
        self.deferral.enqueue(position);
        self.placement_due = true;
        let class = self.deferral.class(now, self.class_key(now, job));
        class.held.insert(position.job, job.work_us());
    }

    /// Queues a deferred job again after one of its tasks came back.
    pub(super) fn requeue_deferred(&mut self, now: Moment, id: JobId) {
        if let Some(job) = self.jobs.get(&id).filter(|job| job.is_deferred()) {
            let position = self.queue_position(now, job);
            self.deferral.enqueue(position);
        }
    }

    /// Tries the first queued jobs and sends those whose tasks all find spare room.
    pub(super) fn place_deferred(&mut self, now: Moment) {
        let jobs = &self.jobs;
        let may_begin = |position: &&QueuePosition| {
            let job = jobs.get(&position.job);
            job.is_none_or(|job| !job.registration.is_held_elsewhere())
        };
        let positions = self.deferral.queue.iter().filter(may_begin);
        let candidates: Vec<QueuePosition> = positions.take(MAX_TRIED_JOBS).copied().collect();
        for position in candidates {
            let Some(job) = self.jobs.remove(&position.job) else {
                continue;
            };
            // A begun job is not checked as a whole: each waiting task that finds room is sent.
            let send = job.may_have_run || self.has_spare_room(now, &job);
            let waiting: Vec<u32> = job.waiting_tasks().collect();
            self.jobs.insert(position.job, job);
            if send && self.may_start(now, position.job) {
                self.deferral.remove(position.job);
                let mut any_unplaced = false;
                for index in waiting {
                    any_unplaced |= !self.place_task(now, position.job, index);
                }
                if any_unplaced {
                    self.requeue_deferred(now, position.job);
                }
            }
        }
    }

    /// Whether all tasks of a job could begin at once beside the headroom that it must leave.
    fn has_spare_room(&mut self, now: Moment, job: &Job) -> bool {
        let needs = job.spec.needs.cpu_milli.max(1);
        // Cheap check first: free slots of all gates, whatever their service.
        let slots = self
            .gates
            .values()
            .map(|gate| gate.load.free.cpu_milli / needs);
        if slots.sum::<u64>() < u64::from(job.spec.count) {
            return false;
        }
        let headroom = match job.surplus || job.misses_objective(now.mono_us) {
            true if self.scheduling.headroom => 0.0,
            true => LATE_JOB_HEADROOM_TASKS,
            // A level from 0 to 1, used as a number of tasks.
            false => self.congestion_above(now, job),
        };
        self.fits_with_headroom(now, job, headroom)
    }

    /// Gives up untouched jobs whose hold time is over, and other queued jobs whose waiting
    /// tasks can no longer end before the deadline.
    pub(super) fn end_unserved_deferred(&mut self, now: Moment) {
        let positions = self.deferral.queue.iter();
        let jobs = positions.filter_map(|position| self.jobs.get(&position.job));
        let overdue = jobs.filter(|job| match job.is_untouched() {
            true => job.deferred_until_us.is_some_and(|us| us <= now.mono_us),
            false => job.patience_us(now.mono_us) == 0 && !job.registration.is_held_elsewhere(),
        });
        let overdue: Vec<JobId> = overdue.map(|job| job.spec.id).collect();
        for id in overdue {
            self.deferral.remove(id);
            self.give_up(now, id, "no spare room in time");
        }
        self.reassess_late(now);
    }

    /// Reassesses queued jobs that have just missed their objective.
    fn reassess_late(&mut self, now: Moment) {
        let positions = self.deferral.queue.iter();
        let late = positions
            .filter(|position| !position.misses_objective && position.due_us <= now.mono_us);
        let late: Vec<JobId> = late.map(|position| position.job).collect();
        for id in late {
            match self.jobs.get(&id).is_some_and(Job::is_untouched) {
                true => {
                    self.deferral.forget(now, id);
                    self.defer_or_refuse(now, id, "no room in time for its objective");
                }
                false => self.requeue_deferred(now, id),
            }
        }
    }
}
