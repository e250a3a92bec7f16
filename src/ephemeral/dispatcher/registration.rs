//! Registration of jobs: no task starts before a registrar has confirmed that no other entry has
//! runs of its job.
//!
//! A request may be delivered long after its caller has left and resent the job elsewhere, and the
//! end of its connection later still or never. Its age cannot be known here, so a job is
//! registered whatever its age. If another entry holds it, it waits until that entry has released
//! or completed the job.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};

use super::job::Job;
use super::{DispatchAction, Dispatcher};
use crate::code::ResultCode;
use crate::ephemeral::job::{JobId, RunId};
use crate::ephemeral::message::ToGate;
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Moment, micros};

/// Time left for its caller from which a job that has ended is released at its registrar. Other
/// registrations soon end by themselves.
const MIN_TIME_LEFT_TO_RELEASE: Duration = Duration::from_secs(5);
/// Time for which a job waits for a session with its preferred registrar, as a share of the
/// heartbeat interval; after a pause, sessions come back one after the other.
const RECONNECT_GRACE_SHARE: f64 = 0.5;
/// Time for an answer of a registrar, as a share of the heartbeat interval; the next one is asked
/// then.
const ANSWER_TIMEOUT_SHARE: f64 = 0.25;

/// Number of registrars that know of a job with runs, so that one of them may be slow or lost.
const CONFIRMED_REGISTRARS: usize = 2;

/// Registration of an open job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Registration {
    /// Not requested, or lost with its registrar.
    #[default]
    Missing,
    /// Requested and not answered.
    Requested {
        registrar: Arc<str>,
        /// Time of the request, in monotonic microseconds.
        at_us: u64,
    },
    /// Another entry has the job; the registrar answers again once that is over.
    HeldElsewhere { registrar: Arc<str> },
    /// The registrar was lost while another entry had the job; requested again at `retry_us`, in
    /// monotonic microseconds, so that this entry can register it elsewhere before.
    Postponed { retry_us: u64 },
    /// Tasks may start.
    Confirmed { registrar: Arc<str> },
}

impl Registration {
    /// The registrar that was asked last.
    fn registrar(&self) -> Option<&Arc<str>> {
        match self {
            Registration::Missing | Registration::Postponed { .. } => None,
            Registration::Requested { registrar, .. }
            | Registration::HeldElsewhere { registrar }
            | Registration::Confirmed { registrar } => Some(registrar),
        }
    }

    /// Whether this registrar's answer to the request is still of use. While another entry has the
    /// job, only the registrar that said so can tell that this is over.
    fn awaits_answer(&self, asked: &[Arc<str>], gate: &Arc<str>) -> bool {
        match self {
            Registration::Requested { .. } => asked.contains(gate),
            Registration::HeldElsewhere { registrar } => registrar == gate,
            _ => false,
        }
    }

    /// Whether another entry has the job.
    pub fn is_held_elsewhere(&self) -> bool {
        matches!(
            self,
            Registration::HeldElsewhere { .. } | Registration::Postponed { .. }
        )
    }

    fn is_confirmed(&self) -> bool {
        matches!(self, Registration::Confirmed { .. })
    }
}

/// Runs that go on after their job was given up.
#[derive(Debug)]
struct EndingRuns {
    runs: HashSet<RunId>,
    /// Time at which the last of them has certainly ended, in monotonic microseconds.
    until_us: u64,
}

/// Numbers of registrations since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requested: u64,
    unanswered: u64,
    held_elsewhere: u64,
    completed_elsewhere: u64,
}

/// Registrations of an entry beside those of its open jobs.
#[derive(Debug, Default)]
pub(super) struct Registrations {
    ending: HashMap<JobId, EndingRuns>,
    /// Registrars that wait for the release of a job, by name.
    inquiries: HashMap<JobId, BTreeSet<Arc<str>>>,
    counts: Counts,
}

impl Registrations {
    /// Whether runs of a job that was given up go on.
    fn is_ending(&self, job: JobId) -> bool {
        self.ending.contains_key(&job)
    }
}

impl Job {
    /// Has the registration requested again, from `retry_us` on if another entry had the job.
    fn drop_registration(&mut self, retry_us: u64) {
        self.registration = match self.registration.is_held_elsewhere() {
            true => Registration::Postponed { retry_us },
            false => Registration::Missing,
        };
        self.asked_registrars.clear();
    }
}

impl Dispatcher {
    /// Whether tasks of the job may start; requests its registration if it is missing.
    pub(super) fn may_start(&mut self, now: Moment, id: JobId) -> bool {
        if self.subset.registrars().is_empty() {
            return true;
        }
        let timeout = self.limits.heartbeat_interval.mul_f64(ANSWER_TIMEOUT_SHARE);
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        match &job.registration {
            _ if self.registrations.is_ending(id) => false,
            Registration::Confirmed { .. } => true,
            Registration::HeldElsewhere { .. } => false,
            Registration::Postponed { retry_us } if now.mono_us < *retry_us => false,
            Registration::Requested { at_us, .. } if now.mono_us < at_us + micros(timeout) => false,
            Registration::Requested { registrar, .. } => {
                debug!(self.log, "registrar did not answer"; "job" => %id, "gate" => &**registrar);
                self.registrations.counts.unanswered += 1;
                self.request_registration(now, id);
                false
            }
            Registration::Missing | Registration::Postponed { .. } => {
                self.request_registration(now, id);
                false
            }
        }
    }

    /// Sends a registration to the job's registrar, or to the next one if that was asked before.
    fn request_registration(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if self.is_registrar_connecting(now, job) {
            return;
        }
        let asked = &job.asked_registrars;
        let open = || self.open_registrars(id);
        let untried = open().find(|gate| !asked.contains(*gate));
        let Some(registrar) = untried.or_else(|| open().next()).cloned() else {
            return;
        };
        self.send_registration(now, id, &registrar, false);
        self.registrations.counts.requested += 1;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.asked_registrars.contains(&registrar) {
            // All have been asked; start again.
            job.asked_registrars.clear();
        }
        job.asked_registrars.push(registrar.clone());
        job.registration = Registration::Requested {
            registrar,
            at_us: now.mono_us,
        };
    }

    /// Whether the preferred registrar of a job has no session but may soon have one.
    fn is_registrar_connecting(&self, now: Moment, job: &Job) -> bool {
        let registrars = self.subset.registrars();
        let preferred = registrars.of_job(job.spec.id).next();
        let Some(gate) = preferred.filter(|gate| registrars.is_reachable(gate)) else {
            return false;
        };
        let view = self.gates.get(gate);
        let lost_us = view.map_or(0, |view| view.session_lost_us);
        let grace = self
            .limits
            .heartbeat_interval
            .mul_f64(RECONNECT_GRACE_SHARE);
        view.is_none_or(|view| view.session.is_none())
            && now.mono_us < job.arrived_us.max(lost_us).max(self.reading_since_us) + micros(grace)
    }

    /// Registrars of a job with an open session, the preferred one first.
    fn open_registrars(&self, id: JobId) -> impl Iterator<Item = &Arc<str>> {
        let gates = &self.gates;
        let is_open = move |gate: &&Arc<str>| {
            let view = gates.get(*gate);
            view.is_some_and(|view| view.session.is_some() && !view.overdue)
        };
        self.subset.registrars().of_job(id).filter(is_open)
    }

    fn send_registration(&mut self, now: Moment, id: JobId, registrar: &str, confirmed: bool) {
        let session = self.gates.get(registrar).and_then(|gate| gate.session);
        let (Some(job), Some(session)) = (self.jobs.get(&id), session) else {
            return;
        };
        let deadline_left_us = job.deadline_us.saturating_sub(now.mono_us);
        let message = ToGate::Register {
            job: id,
            for_us: deadline_left_us + micros(self.limits.max_run_without_owner()),
            confirmed,
        };
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Handles the confirmation of a registrar.
    pub(super) fn registered(&mut self, now: Moment, gate: &Arc<str>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            // The job was given up meanwhile; the registrar asks if another entry wants it.
            return;
        };
        if !job.registration.awaits_answer(&job.asked_registrars, gate) {
            return;
        }
        job.registration = Registration::Confirmed {
            registrar: gate.clone(),
        };
        let is_deferred = job.is_deferred();
        self.confirm_at_others(now, id, gate);
        match is_deferred {
            true => self.placement_due = true,
            false => self.place(now, id),
        }
    }

    /// Registers a confirmed job at its first registrars other than `gate` as well, as another
    /// entry may not reach that one in time.
    fn confirm_at_others(&mut self, now: Moment, id: JobId, gate: &Arc<str>) {
        let first = self.open_registrars(id).take(CONFIRMED_REGISTRARS);
        let others: Vec<Arc<str>> = first.filter(|other| *other != gate).cloned().collect();
        for other in others {
            self.confirm_at(now, id, &other);
        }
    }

    /// Registers a confirmed job at a further registrar.
    fn confirm_at(&mut self, now: Moment, id: JobId, registrar: &Arc<str>) {
        self.send_registration(now, id, registrar, true);
        if let Some(job) = self.jobs.get_mut(&id)
            && !job.asked_registrars.contains(registrar)
        {
            job.asked_registrars.push(registrar.clone());
        }
    }

    /// Handles a registrar's report that another entry has the job. If another registrar has let
    /// it start already, the entry that is registered at the preferred one of the two goes on.
    pub(super) fn held_elsewhere(&mut self, gate: &Arc<str>, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rank = |gate: &Arc<str>| {
            self.subset
                .registrars()
                .of_job(id)
                .position(|one| one == gate)
        };
        if let Registration::Confirmed { registrar } = &job.registration {
            let yields = rank(gate) <= rank(registrar);
            warn!(self.log, "job is registered and held by another entry"; "job" => %id,
                "gate" => &**gate, "stopped" => yields);
            if !yields {
                return;
            }
            self.stop_runs(id);
        } else if !job.registration.awaits_answer(&job.asked_registrars, gate) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        info!(self.log, "job is held by another entry"; "job" => %id, "gate" => &**gate);
        self.registrations.counts.held_elsewhere += 1;
        job.may_have_run = true;
        job.registration = Registration::HeldElsewhere {
            registrar: gate.clone(),
        };
    }

    /// Handles a registrar's report that another entry has completed the job.
    pub(super) fn completed_elsewhere(&mut self, now: Moment, gate: &Arc<str>, id: JobId) {
        let awaited = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.registration.awaits_answer(&job.asked_registrars, gate));
        if !awaited {
            return;
        }
        info!(self.log, "job was completed by another entry"; "job" => %id, "gate" => &**gate);
        self.registrations.counts.completed_elsewhere += 1;
        self.finish(now, id, Answer::complete(Vec::new()));
    }

    /// Handles the inquiry of a registrar about a job that another entry waits for.
    pub(super) fn inquired(&mut self, gate: &Arc<str>, id: JobId) {
        let held = self.jobs.get(&id).is_some_and(|job| {
            job.registration.is_confirmed()
                || job.registration.registrar() == Some(gate)
                || job.placed_runs().next().is_some()
        });
        info!(self.log, "another entry waits for a job"; "job" => %id, "gate" => &**gate,
            "held" => held, "ending" => self.registrations.is_ending(id));
        self.add_inquiry(id, gate.clone());
        if !held {
            self.answer_inquiries(id);
        }
    }

    /// Has the end of a job reported to a registrar.
    fn add_inquiry(&mut self, id: JobId, gate: Arc<str>) {
        let inquiries = &mut self.registrations.inquiries;
        inquiries.entry(id).or_default().insert(gate);
    }

    /// Tells the registrars that have inquired about a job that it is over, unless runs go on.
    fn answer_inquiries(&mut self, id: JobId) {
        if self.registrations.is_ending(id) {
            return;
        }
        let finished = self.finished.get(&id).and_then(|job| job.answer.as_ref());
        let complete = finished.is_some_and(|answer| answer.code == ResultCode::Complete);
        for gate in self.registrations.inquiries.remove(&id).unwrap_or_default() {
            self.send_release(id, &gate, complete);
        }
    }

    fn send_release(&mut self, job: JobId, gate: &str, complete: bool) {
        if let Some(session) = self.gates.get(gate).and_then(|gate| gate.session) {
            let message = ToGate::Released { job, complete };
            self.actions.push(DispatchAction::Send { session, message });
        }
    }

    /// Handles the end of a job: withdraws a request for its registration, and keeps track of the
    /// runs that are still to stop.
    pub(super) fn end_registration(&mut self, now: Moment, job: &Job) {
        let id = job.spec.id;
        let runs: HashSet<RunId> = job.placed_runs().map(|(_, run)| run).collect();
        if !runs.is_empty() {
            let until_us = now.mono_us + micros(self.limits.max_run_without_owner());
            let ending = EndingRuns { runs, until_us };
            self.registrations.ending.insert(id, ending);
        }
        let ends_later = job.deadline_us > now.mono_us + micros(MIN_TIME_LEFT_TO_RELEASE);
        for registrar in &job.asked_registrars {
            match job.registration.is_confirmed() {
                true if ends_later => self.add_inquiry(id, registrar.clone()),
                true => {}
                false => self.send_release(id, registrar, false),
            }
        }
        self.answer_inquiries(id);
    }

    /// Records the end of a run, which may be of a job that was given up.
    pub(super) fn record_run_end(&mut self, run: RunId) {
        let Some(ending) = self.registrations.ending.get_mut(&run.job) else {
            return;
        };
        ending.runs.remove(&run);
        if ending.runs.is_empty() {
            self.forget_ending(run.job);
        }
    }

    fn forget_ending(&mut self, id: JobId) {
        self.registrations.ending.remove(&id);
        self.placement_due = true;
        if !self.jobs.contains_key(&id) {
            self.answer_inquiries(id);
        }
    }

    /// Forgets the runs of jobs that were given up once they have certainly ended.
    pub(super) fn expire_ending_runs(&mut self, now: Moment) {
        let ending = self.registrations.ending.iter();
        let over = ending.filter(|(_, ending)| ending.until_us < now.mono_us);
        let over: Vec<JobId> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.forget_ending(id);
        }
    }

    /// Updates which gates are only registrars, and which have registrations of open jobs.
    pub(super) fn mark_registrars(&mut self) {
        let jobs = self.jobs.values();
        let used: HashSet<&Arc<str>> = jobs.flat_map(|job| &job.asked_registrars).collect();
        for (name, gate) in &mut self.gates {
            gate.is_only_registrar = self.subset.is_only_registrar(name);
            gate.has_registrations = used.contains(name);
        }
    }

    /// Drops all registrations after a pause of this process, as their registrars may have taken
    /// it for lost.
    pub(super) fn drop_registrations(&mut self, now: Moment) {
        let retry_us = now.mono_us + micros(self.limits.peer_timeout);
        for job in self.jobs.values_mut() {
            job.drop_registration(retry_us);
        }
    }

    /// Registers open jobs at a registrar that has answered a hello: those that prefer it, unless
    /// another entry holds them, and those that wait for its answer on an earlier session. A new
    /// incarnation of it does not know yet which jobs are held.
    pub(super) fn renew_registrations(&mut self, now: Moment, gate: &Arc<str>, is_new: bool) {
        if !self.subset.registrars().is_wanted(gate) {
            return;
        }
        let registrars = self.subset.registrars();
        let mut confirmed = Vec::new();
        for (id, job) in &mut self.jobs {
            let mut first = registrars.of_job(*id).take(CONFIRMED_REGISTRARS);
            let is_preferred = registrars.of_job(*id).next() == Some(gate);
            let was_asked = job.registration.registrar() == Some(gate);
            match job.registration {
                Registration::Confirmed { .. } if was_asked || first.any(|one| one == gate) => {
                    confirmed.push(*id);
                }
                Registration::Requested { .. } if is_preferred || was_asked => {
                    job.registration = Registration::Missing;
                    job.asked_registrars.clear();
                }
                Registration::Postponed { .. } if is_preferred && !is_new => {
                    job.registration = Registration::Missing;
                }
                _ => {}
            }
        }
        self.placement_due = true;
        for id in confirmed {
            self.confirm_at(now, id, gate);
        }
    }

    /// Registers the jobs of a registrar whose session has ended at the next one.
    pub(super) fn move_registrations(&mut self, now: Moment, gate: &str) {
        let at_gate = self.jobs.iter_mut().filter(|(_, job)| {
            let registrar = job.registration.registrar();
            registrar.is_some_and(|registrar| **registrar == *gate)
        });
        let retry_us = now.mono_us + micros(self.limits.peer_timeout);
        let mut confirmed = Vec::new();
        for (id, job) in at_gate {
            match &job.registration {
                Registration::Confirmed { .. } => confirmed.push(*id),
                _ => job.drop_registration(retry_us),
            }
        }
        self.placement_due = true;
        for id in confirmed {
            let Some(next) = self.open_registrars(id).next().cloned() else {
                continue;
            };
            self.confirm_at(now, id, &next);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.registration = Registration::Confirmed { registrar: next };
            }
        }
    }

    /// Adds the numbers of registrations to the metrics.
    pub fn report_registrations(&mut self, metrics: &Metrics) {
        let counts = std::mem::take(&mut self.registrations.counts);
        for (name, count) in [
            ("registrations.requested", counts.requested),
            ("registrations.unanswered", counts.unanswered),
            ("registrations.held_elsewhere", counts.held_elsewhere),
            (
                "registrations.completed_elsewhere",
                counts.completed_elsewhere,
            ),
        ] {
            if count > 0 {
                metrics.count(name, count);
            }
        }
    }
}
