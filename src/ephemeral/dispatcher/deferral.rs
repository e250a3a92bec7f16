//! Jobs that find no room and wait for it in the entry.
//!
//! A deferred job is at no gate, so it delays nobody there. Its tasks are sent once all of
//! them find free room that no waiting run wants, and come back at once if that room is
//! gone. Jobs that can still meet their objective go first; the others only get room that
//! leaves some free. A job is held for part of the time that its caller waits, and refused
//! afterwards; where jobs like it have not been served of late, it is refused at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slog::info;

use super::job::Job;
use super::{Dispatcher, refused};
use crate::ephemeral::job::{JobId, Priority};
use crate::time::{Moment, micros};

/// Part of its caller's time that a job is held; in the rest a refused caller can still
/// try elsewhere.
const HOLD_SHARE: f64 = 0.5;
/// Jobs of the backlog that are tried each time that gates tell their loads.
const MOST_TRIES: usize = 4;
/// Time over which the rate is looked back on at which deferred work finds room.
const LOOK_BACK: Duration = Duration::from_secs(1);
/// Part of the work of a priority for which spare room is expected until the outcome of
/// deferred jobs tells more.
const EXPECTED_SPARE: f64 = 0.6;
/// Deferred jobs of a class that find out whether there is spare room again.
const PROBES: usize = 1;

/// Room, in tasks, that stays free beside a task that misses its objective anyway, where
/// gates keep none: for those that come next and can still meet theirs.
const SPARE_HEADROOM: f64 = 2.0;

/// Place of a deferred job. Begun ones go first, whose work would be lost otherwise, and
/// jobs that can meet their objective before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    untouched: bool,
    misses_objective: bool,
    surplus: bool,
    priority: Priority,
    /// Latest begin for the objective, or the deadline where that is past.
    due_us: u64,
    job: JobId,
}

/// Deferred jobs are judged by what became of those of their priority that missed their
/// objective as they do, or that did not.
type ClassKey = (Priority, bool);

/// Deferred jobs of one class; work is in core-microseconds.
#[derive(Debug, Default)]
struct Class {
    held: BTreeMap<JobId, f64>,
    /// Work asked for, a second.
    asked: f64,
    /// Work that found spare room, a second.
    served: f64,
    at_us: u64,
}

impl Class {
    /// Lets time pass: rates are forgotten, and without deferred work the rate at which
    /// it would find room goes back to what is expected.
    fn pass(&mut self, now: Moment) {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.at_us = now.mono_us;
        let kept = (-elapsed_us / micros(LOOK_BACK) as f64).exp();
        self.asked *= kept;
        let expected = match self.held.is_empty() {
            true => EXPECTED_SPARE * self.asked,
            false => 0.0,
        };
        self.served = expected + (self.served - expected) * kept;
    }

    fn work(&self) -> f64 {
        self.held.values().sum()
    }

    /// A held job has found room.
    fn began(&mut self, job: JobId) {
        let work = self.held.remove(&job).unwrap_or(0.0);
        self.served += work / LOOK_BACK.as_secs_f64();
    }
}

/// Jobs that wait for spare room, and how quickly such jobs have found it.
#[derive(Debug, Default)]
pub(super) struct Deferral {
    backlog: BTreeSet<Place>,
    places: HashMap<JobId, Place>,
    classes: BTreeMap<ClassKey, Class>,
}

impl Deferral {
    fn class(&mut self, now: Moment, key: ClassKey) -> &mut Class {
        let class = self.classes.entry(key).or_default();
        class.pass(now);
        class
    }

    /// A job was asked for.
    fn asked(&mut self, now: Moment, priority: Priority, job: &Job) {
        for misses_objective in [false, true] {
            let class = self.class(now, (priority, misses_objective));
            class.asked += job.work_us() / LOOK_BACK.as_secs_f64();
        }
    }

    /// Whether a job is expected to find room within `hold_us`.
    fn expects_room(&mut self, now: Moment, key: ClassKey, job: &Job, hold_us: u64) -> bool {
        let class = self.class(now, key);
        let most = class.served * hold_us as f64 / 1e6;
        class.held.len() < PROBES || class.work() + job.work_us() <= most
    }

    /// Puts a job into the backlog, at its place of now.
    fn put(&mut self, place: Place) {
        if let Some(before) = self.places.insert(place.job, place) {
            self.backlog.remove(&before);
        }
        self.backlog.insert(place);
    }

    fn remove(&mut self, job: JobId) {
        if let Some(place) = self.places.remove(&job) {
            self.backlog.remove(&place);
        }
    }

    fn class_with(&mut self, now: Moment, job: JobId) -> Option<&mut Class> {
        let mut classes = self.classes.values_mut();
        let class = classes.find(|class| class.held.contains_key(&job))?;
        class.pass(now);
        Some(class)
    }

    /// A task of a job has begun.
    pub fn began(&mut self, now: Moment, job: JobId) {
        if let Some(class) = self.class_with(now, job) {
            class.began(job);
        }
    }

    /// Forgets a job that is over or withdrawn.
    pub fn release(&mut self, now: Moment, job: JobId) {
        self.remove(job);
        if let Some(class) = self.class_with(now, job) {
            class.held.remove(&job);
        }
    }

    /// Time in which what is held of this priority and more urgent ones would find room,
    /// in microseconds.
    pub fn wait_us(&mut self, now: Moment, priority: Priority) -> f64 {
        let classes = self.classes.range_mut(..=(priority, true));
        let (held, served) = classes.fold((0.0, 0.0), |(held, served), (_, class)| {
            class.pass(now);
            (held + class.work(), served + class.served)
        });
        match held > 0.0 {
            true => held / served.max(f64::MIN_POSITIVE) * 1e6,
            false => 0.0,
        }
    }

    /// Number of jobs that wait.
    pub fn len(&self) -> usize {
        self.backlog.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.backlog.is_empty()
    }
}

impl Dispatcher {
    fn class_key(&self, now: Moment, job: &Job) -> ClassKey {
        let priority = job.route.priority(&self.scheduling);
        (priority, job.misses_objective(now.mono_us))
    }

    fn deferred_place(&self, now: Moment, job: &Job) -> Place {
        let misses_objective = job.misses_objective(now.mono_us);
        Place {
            surplus: job.surplus,
            untouched: !job.may_have_run,
            misses_objective,
            priority: job.route.priority(&self.scheduling),
            due_us: match misses_objective {
                true => job.deadline_us,
                false => job.latest_begin_us(),
            },
            job: job.spec.id,
        }
    }

    /// Counts a job that was asked for.
    pub(super) fn note_asked(&mut self, now: Moment, job: &Job) {
        if self.scheduling.deferral {
            let priority = job.route.priority(&self.scheduling);
            self.deferral.asked(now, priority, job);
        }
    }

    /// Until when a job that misses its objective is held; `None` if it is to be refused.
    pub(super) fn deferred_until(&mut self, now: Moment, job: &Job) -> Option<u64> {
        if !self.scheduling.deferral {
            return None;
        }
        let hold_us = (job.deadline_us - job.arrived_us) as f64 * HOLD_SHARE;
        let until_us = (job.arrived_us + hold_us as u64).min(job.last_begin_us());
        let left_us = until_us.checked_sub(now.mono_us).filter(|left| *left > 0)?;
        let key = self.class_key(now, job);
        let expected = self.deferral.expects_room(now, key, job, left_us);
        expected.then_some(until_us)
    }

    /// Holds a job that is at no gate, if it is expected to find room; refuses it otherwise.
    pub(super) fn defer_or_refuse(&mut self, now: Moment, id: JobId, why: &str) {
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        let until_us = self.deferred_until(now, &job);
        if until_us.is_some() {
            self.backlog.remove(&(job.latest_begin_us(), id));
            job.parked_until_us = None;
            job.deferred_until_us = until_us;
            self.hold(now, &job, why);
        }
        let come_back_ms = self.come_back_ms(now, &job);
        self.jobs.insert(id, job);
        if until_us.is_none() {
            self.finish(now, id, refused(why, come_back_ms));
        }
    }

    /// Takes a deferred job in.
    pub(super) fn hold(&mut self, now: Moment, job: &Job, why: &str) {
        info!(self.log, "job deferred"; "job" => %job.spec.id, "route" => &*job.route.name,
            "why" => why, "surplus" => job.surplus,
            "hold_us" => job.deferred_until_us.map(|us| us - now.mono_us),
            "deferred" => self.deferral.len());
        let place = self.deferred_place(now, job);
        self.deferral.put(place);
        self.dirty = true;
        let class = self.deferral.class(now, self.class_key(now, job));
        class.held.insert(place.job, job.work_us());
    }

    /// Adds a job to the backlog again, of which a task came back.
    pub(super) fn hold_again(&mut self, now: Moment, id: JobId) {
        if let Some(job) = self.jobs.get(&id).filter(|job| job.is_deferred()) {
            let place = self.deferred_place(now, job);
            self.deferral.put(place);
        }
    }

    /// Sends the first deferred jobs whose tasks all find spare room now.
    pub(super) fn place_deferred(&mut self, now: Moment) {
        let places = self.deferral.backlog.iter().take(MOST_TRIES);
        let tried: Vec<Place> = places.copied().collect();
        for place in tried {
            let Some(job) = self.jobs.remove(&place.job) else {
                continue;
            };
            let send = job.may_have_run || self.has_spare_room(now, &job);
            let waiting: Vec<u32> = job.waiting().collect();
            self.jobs.insert(place.job, job);
            if send {
                self.deferral.remove(place.job);
                let mut left = false;
                for index in waiting {
                    left |= !self.place_task(now, place.job, index);
                }
                if left {
                    self.hold_again(now, place.job);
                }
            }
        }
    }

    fn has_spare_room(&mut self, now: Moment, job: &Job) -> bool {
        let needs = job.spec.needs.cpu_milli.max(1);
        let slots = self
            .gates
            .values()
            .map(|gate| gate.load.free.cpu_milli / needs);
        if slots.sum::<u64>() < u64::from(job.spec.count) {
            return false;
        }
        let headroom = match job.surplus || job.misses_objective(now.mono_us) {
            true if self.scheduling.headroom => 0.0,
            true => SPARE_HEADROOM,
            false => self.level_before(now, job),
        };
        self.fits_beside(now, job, headroom)
    }

    /// Ends deferred jobs that have been held for long enough, and those of which a task
    /// can no longer begin in time.
    pub(super) fn end_unserved(&mut self, now: Moment) {
        let places = self.deferral.backlog.iter();
        let jobs = places.filter_map(|place| self.jobs.get(&place.job));
        let overdue = jobs.filter(|job| match job.is_untouched() {
            true => job.deferred_until_us.is_some_and(|us| us <= now.mono_us),
            false => job.patience_us(now.mono_us) == 0,
        });
        let overdue: Vec<JobId> = overdue.map(|job| job.spec.id).collect();
        for id in overdue {
            self.deferral.remove(id);
            self.give_up(now, id, "no spare room in time");
        }
        self.judge_late(now);
    }

    /// Judges deferred jobs anew that have just missed their objective.
    fn judge_late(&mut self, now: Moment) {
        let places = self.deferral.backlog.iter();
        let late = places.filter(|place| !place.misses_objective && place.due_us <= now.mono_us);
        let late: Vec<JobId> = late.map(|place| place.job).collect();
        for id in late {
            match self.jobs.get(&id).is_some_and(Job::is_untouched) {
                true => {
                    self.deferral.release(now, id);
                    self.defer_or_refuse(now, id, "no room in time for its objective");
                }
                false => self.hold_again(now, id),
            }
        }
    }
}
