//! Registrations of jobs, which keep entries with the same job from running it at the same time.
//!
//! The first entry that registers a job here holds it, and its tasks may start. Another one has to
//! wait until the holder has released the job, which the gate asks it for, or until no run of the
//! holder can be left because the holder has been silent.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use slog::info;

use super::Gate;
use crate::ephemeral::job::JobId;
use crate::ephemeral::message::{ProcessId, ToEntry};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Largest number of registrations; the first to end are dropped to bound the memory.
const MAX_REGISTRATIONS: usize = 100_000;
/// Longest time that a completed job stays registered; its entry keeps the answer that long.
const COMPLETED_RETENTION: Duration = Duration::from_secs(10);
/// Interval between two turns above which the process may have left frames unread.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(100);

/// An entry that waits for a job.
#[derive(Debug)]
struct Waiting {
    entry: ProcessId,
    /// Time until which it may have runs of the job, in monotonic microseconds.
    until_us: u64,
}

#[derive(Debug)]
struct Registration {
    /// Entry that may have runs of the job.
    holder: ProcessId,
    /// Time until which it may have them, in monotonic microseconds.
    until_us: u64,
    /// Other entries with the job, in the order of their arrival.
    waiting: VecDeque<Waiting>,
    /// Session on which the holder was asked to release the job.
    inquired: Option<SessionId>,
}

/// Registrations of a gate.
#[derive(Debug, Default)]
pub(super) struct Registrations {
    jobs: HashMap<JobId, Registration>,
    /// Registered jobs by the end of their registration.
    by_end: BTreeSet<(u64, JobId)>,
    /// Jobs that an entry waits for.
    contested: BTreeSet<JobId>,
    /// Time of the last turn of the gate, in monotonic microseconds.
    last_turn_us: u64,
    /// Time since which frames have been read without interruption, in monotonic microseconds.
    reading_since_us: u64,
}

impl Registrations {
    /// Records a turn of the gate. After a pause, unread frames do not show that their senders are
    /// silent.
    pub fn record_turn(&mut self, now: Moment) {
        if self.was_paused(now) {
            self.reading_since_us = now.mono_us;
        }
        self.last_turn_us = now.mono_us;
    }

    /// Whether the gate has not had a turn for so long that frames may be unread.
    fn was_paused(&self, now: Moment) -> bool {
        now.mono_us > self.last_turn_us + micros(MAX_TURN_INTERVAL)
    }

    /// Whether no entry waits for a job.
    pub fn is_settled(&self) -> bool {
        self.contested.is_empty()
    }

    fn holder(&self, job: JobId) -> Option<&ProcessId> {
        self.jobs.get(&job).map(|registration| &registration.holder)
    }

    fn insert(&mut self, job: JobId, holder: ProcessId, until_us: u64) {
        if self.jobs.len() >= MAX_REGISTRATIONS
            && let Some((_, first)) = self.by_end.first().copied()
        {
            self.remove(first);
        }
        let registration = Registration {
            holder,
            until_us,
            waiting: VecDeque::new(),
            inquired: None,
        };
        self.jobs.insert(job, registration);
        self.by_end.insert((until_us, job));
    }

    fn remove(&mut self, job: JobId) -> Option<Registration> {
        let registration = self.jobs.remove(&job)?;
        self.by_end.remove(&(registration.until_us, job));
        self.contested.remove(&job);
        Some(registration)
    }

    fn set_end(&mut self, job: JobId, until_us: u64) {
        if let Some(registration) = self.jobs.get_mut(&job) {
            self.by_end.remove(&(registration.until_us, job));
            registration.until_us = until_us;
            self.by_end.insert((until_us, job));
        }
    }

    /// Adds an entry that waits for a job.
    fn add_waiting(&mut self, job: JobId, entry: ProcessId, until_us: u64) {
        if let Some(registration) = self.jobs.get_mut(&job) {
            registration.waiting.retain(|other| other.entry != entry);
            registration.waiting.push_back(Waiting { entry, until_us });
            self.contested.insert(job);
        }
    }

    /// Removes an entry that waits for a job no longer.
    fn remove_waiting(&mut self, job: JobId, entry: &ProcessId) {
        if let Some(registration) = self.jobs.get_mut(&job) {
            registration.waiting.retain(|other| other.entry != *entry);
            if registration.waiting.is_empty() {
                self.contested.remove(&job);
            }
        }
    }

    /// Registrations that end by `now`.
    fn ended(&self, now: Moment) -> Vec<JobId> {
        let ended = self.by_end.range(..=(now.mono_us, JobId(u64::MAX)));
        ended.map(|(_, job)| *job).collect()
    }
}

impl Gate {
    /// Registers a job for an entry, or lets the entry wait for the one that holds it.
    pub(super) fn register(
        &mut self,
        now: Moment,
        entry: &ProcessId,
        job: JobId,
        for_us: u64,
        confirmed: bool,
    ) {
        let until_us = now.mono_us.saturating_add(for_us);
        self.end_registrations(now);
        match self.registrations.holder(job) {
            None => self.registrations.insert(job, entry.clone(), until_us),
            Some(holder) if holder == entry => self.registrations.set_end(job, until_us),
            Some(holder) => {
                info!(self.log, "job is held by another entry"; "job" => %job,
                    "entry" => &*entry.name, "holder" => &*holder.name, "both" => confirmed);
                self.registrations.add_waiting(job, entry.clone(), until_us);
                self.send(entry, ToEntry::HeldElsewhere { job });
                self.inquire(job);
                return;
            }
        }
        if !confirmed {
            self.send(entry, ToEntry::Registered { job });
        }
    }

    /// Asks the holder of a contested job to release it, unless it was asked on this session.
    fn inquire(&mut self, job: JobId) {
        let Some(registration) = self.registrations.jobs.get_mut(&job) else {
            return;
        };
        let holder = self.entries.get(&registration.holder);
        let session = holder.and_then(|holder| holder.session);
        if session.is_none() || session == registration.inquired {
            return;
        }
        registration.inquired = session;
        let holder = registration.holder.clone();
        self.send(&holder, ToEntry::Inquiry { job });
    }

    /// Handles an entry that has no run of a job left, or waits for it no longer.
    pub(super) fn release_registration(
        &mut self,
        now: Moment,
        entry: &ProcessId,
        job: JobId,
        complete: bool,
    ) {
        if self.registrations.holder(job) != Some(entry) {
            self.registrations.remove_waiting(job, entry);
            return;
        }
        match complete {
            true => self.report_completion(now, job),
            false => self.register_next(job),
        }
    }

    /// Reports to the waiting entries that the holder has completed the job. It stays the holder,
    /// which answers further entries.
    fn report_completion(&mut self, now: Moment, job: JobId) {
        let Some(registration) = self.registrations.jobs.get_mut(&job) else {
            return;
        };
        registration.inquired = None;
        let waiting = std::mem::take(&mut registration.waiting);
        let until_us = registration.until_us.min(now.after(COMPLETED_RETENTION));
        self.registrations.contested.remove(&job);
        self.registrations.set_end(job, until_us);
        for one in waiting {
            self.send(&one.entry, ToEntry::CompletedElsewhere { job });
        }
    }

    /// Ends the registration of a job and registers it for the first waiting entry.
    fn register_next(&mut self, job: JobId) {
        let Some(mut ended) = self.registrations.remove(job) else {
            return;
        };
        let Some(next) = ended.waiting.pop_front() else {
            return;
        };
        info!(self.log, "job is registered for the next entry"; "job" => %job,
            "entry" => &*next.entry.name, "before" => &*ended.holder.name);
        self.registrations
            .insert(job, next.entry.clone(), next.until_us);
        for other in ended.waiting {
            self.registrations
                .add_waiting(job, other.entry, other.until_us);
        }
        self.send(&next.entry, ToEntry::Registered { job });
        if self.registrations.contested.contains(&job) {
            self.inquire(job);
        }
    }

    /// Ends registrations whose time is over, and those of silent holders that others wait for.
    pub(super) fn end_registrations(&mut self, now: Moment) {
        for job in self.registrations.ended(now) {
            self.register_next(job);
        }
        let contested = self.registrations.contested.iter().copied();
        for job in contested.collect::<Vec<JobId>>() {
            match self.is_holder_gone(now, job) {
                true => self.register_next(job),
                false => self.inquire(job),
            }
        }
    }

    /// Whether the holder of a job has been silent for so long that none of its runs is left.
    fn is_holder_gone(&self, now: Moment, job: JobId) -> bool {
        let holder = self.registrations.holder(job);
        let state = holder.and_then(|holder| self.entries.get(holder));
        !self.registrations.was_paused(now)
            && state.is_some_and(|state| self.runs_end_us(state.last_frame_us) < now.mono_us)
    }

    /// Time at which the last run of an entry ends whose last frame here was sent at
    /// `last_frame_us`; other gates may have had a later one. In monotonic microseconds.
    fn runs_end_us(&self, last_frame_us: u64) -> u64 {
        let silence = self.limits.heartbeat_interval + self.limits.max_run_without_owner();
        last_frame_us.max(self.registrations.reading_since_us) + micros(silence)
    }

    /// Shortens the registrations of an entry that has expired, and removes it where it waits.
    pub(super) fn expire_registrations(&mut self, entry: &ProcessId, last_frame_us: u64) {
        let until_us = self.runs_end_us(last_frame_us);
        let of_entry = self.registrations.jobs.iter();
        let of_entry = of_entry.filter(|(_, registration)| {
            registration.holder == *entry && registration.until_us > until_us
        });
        let jobs: Vec<JobId> = of_entry.map(|(job, _)| *job).collect();
        for job in jobs {
            self.registrations.set_end(job, until_us);
        }
        let contested = self.registrations.contested.iter().copied();
        for job in contested.collect::<Vec<JobId>>() {
            self.registrations.remove_waiting(job, entry);
        }
    }
}
