//! Taking jobs in: whole, and only if they can begin in time.
//!
//! A job that comes while no gate takes work is kept for a moment: an entry that
//! was frozen or cut off is connected again within a few milliseconds.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::info;

use super::job::Job;
use super::{COME_BACK_MS, DispatchAction, Dispatcher, WaiterId, failed, refused};
use crate::code::ResultCode;
use crate::ephemeral::job::{JobId, JobSpec, Priority, Resources};
use crate::ephemeral::placement::{GateView, Want};
use crate::ephemeral::routes::Route;
use crate::ephemeral::subset::Prospect;
use crate::message::Answer;
use crate::time::{Moment, micros};

/// When a caller should come back that no worker could be found for.
const COME_BACK_LATER_MS: u64 = 1_000;
/// Longest wait for room after which a caller should come back; it may end sooner than the
/// deferred jobs of now tell.
const LONGEST_COME_BACK_MS: u64 = 1_000;
/// Weight of the caller's own estimate against the mean of past runs; estimates
/// are often off by 40%, run times vary by 40%.
const ESTIMATE_WEIGHT: f64 = 0.5;
/// Part of a job's patience that the wait expected at admission may take, at the
/// most urgent priority; the rest is for estimates that are off.
const URGENT_ADMIT_SHARE: f64 = 0.85;
/// The same at the other priorities while workers are full for a moment only.
const ADMIT_SHARE: f64 = 0.6;
/// The same where congestion stands: less urgent jobs are refused first, and waits
/// stay short for those that are taken.
const CONGESTED_ADMIT_SHARE: f64 = 0.2;
/// Part of its patience that a job waits in the queues of gates where it may wait in the
/// entry as well: one that waits there begins as a whole or not at all.
const QUEUE_SHARE: f64 = 0.1;
/// The same of the most urgent jobs where congestion stands; they pass the others at gates.
const URGENT_QUEUE_SHARE: f64 = 0.4;
/// Part of its objective that a job waits for any gate: a refusal after that would
/// come too late for its caller to try elsewhere.
const PARKED_SHARE: f64 = 0.22;
/// How long gates must have been known before a job that fits none of their
/// workers is said to fit none at all; workers report every 1.5 s.
const ALL_KNOWN: Duration = Duration::from_secs(3);

/// Why a job is refused that fits no worker now, but did before.
const HAS_SHRUNK: &str = "no worker has the capacity for it now";
/// Why a job is refused while no failure domain is left.
const EVACUATED: &str = "the failure domains of all workers are evacuated";
/// Why a job is refused that fits no worker that is known.
const NOT_ALL_KNOWN: &str = "not all workers are known yet";

/// Why a job is not taken in.
enum Denial {
    /// No gate takes work now.
    NoGate,
    /// It would wait for too long.
    NoRoom(Answer),
    /// This is its answer.
    Answer(Answer),
}

/// Expected waits for room of the tasks of a job, in microseconds.
struct Waits {
    /// Of the task that is placed first.
    first_us: u64,
    /// Of the one that waits longest.
    longest_us: u64,
}

impl Dispatcher {
    /// Whether a job can be served in time.
    fn admit(&mut self, now: Moment, job: &Job) -> Result<(), Denial> {
        if !self.gates.values().any(GateView::is_open) {
            return Err(match self.all_evacuated() {
                true => Denial::Answer(refused(EVACUATED, COME_BACK_LATER_MS)),
                false => Denial::NoGate,
            });
        }
        let want = self.want(now, job);
        let fitting = |gate: &GateView| {
            let worker = gate.load.worker.as_ref();
            worker.is_some_and(|worker| want.fits(worker))
        };
        if !self.gates.values().any(fitting) {
            // A worker that fits may be one that there is no session with yet.
            return Err(match self.prospect(&want) {
                Prospect::Fits => Denial::NoGate,
                Prospect::HasShrunk => Denial::Answer(refused(HAS_SHRUNK, COME_BACK_LATER_MS)),
                Prospect::Never => Denial::Answer(self.fits_nowhere(now)),
                Prospect::Unknown => Denial::Answer(refused(NOT_ALL_KNOWN, COME_BACK_LATER_MS)),
            });
        }
        let before = self.level_before(now, job);
        let headroom = match self.scheduling.deferral {
            true => before,
            false => 0.0,
        };
        let Some(waits) = self.waits_beside(now, job, headroom) else {
            let answer = refused("no worker takes it now", COME_BACK_LATER_MS);
            return Err(Denial::Answer(answer));
        };
        let patience_us = job.patience_us(now.mono_us) as f64;
        let wait = waits.first_us as f64 / patience_us.max(1.0);
        let typical_us = self.typical_run.us();
        let class = self.congestion_class(job);
        let congestion = self.congestion.class(class);
        congestion.observe(now, wait, typical_us);
        let level = congestion.level();
        let most_us = patience_us * self.admit_share(job, level) * (1.0 - before);
        if waits.longest_us as f64 > most_us {
            let text = format!(
                "no room within {} us; it may wait {} us at congestion {:.2}",
                waits.longest_us,
                most_us as u64,
                level.max(before)
            );
            let come_back_ms = self.come_back_ms(now, job);
            return Err(Denial::NoRoom(refused(&text, come_back_ms)));
        }
        Ok(())
    }

    /// Denies a job that is surplus.
    fn within_share(
        &mut self,
        now: Moment,
        job: &mut Job,
        admitted: Result<(), Denial>,
    ) -> Result<(), Denial> {
        job.surplus = self.is_surplus(now, job);
        if !job.surplus {
            return admitted;
        }
        admitted.and_then(|()| {
            let answer = refused("more is asked for than usual", self.come_back_ms(now, job));
            Err(Denial::NoRoom(answer))
        })
    }

    /// When the caller of a refused job should come back: once the deferred jobs before it
    /// are expected to have found room. Spread, so that those who are refused in one rush
    /// do not come back in another.
    pub(super) fn come_back_ms(&mut self, now: Moment, job: &Job) -> u64 {
        if !self.scheduling.deferral {
            return COME_BACK_MS;
        }
        let priority = job.route.priority(&self.scheduling);
        let wait_ms = (self.deferral.wait_us(now, priority) / 1e3) as u64;
        let wait_ms = wait_ms.clamp(COME_BACK_MS, LONGEST_COME_BACK_MS);
        wait_ms + self.rng.random_range(0..wait_ms)
    }

    /// Whether every gate that is heard is in a failure domain that is evacuated: no other
    /// one will come within the patience of a job.
    fn all_evacuated(&self) -> bool {
        let mut heard = self.gates.values().filter(|gate| gate.session.is_some());
        let some = heard.clone().next().is_some();
        some && heard.all(|gate| gate.load.evacuated)
    }

    /// Whose waits tell about those of this job.
    fn congestion_class(&self, job: &Job) -> Priority {
        match self.scheduling.priority_classes {
            true => job.route.priority(&self.scheduling),
            false => Priority::URGENT,
        }
    }

    /// How far congestion stands for more urgent jobs.
    pub(super) fn level_before(&self, now: Moment, job: &Job) -> f64 {
        let class = self.congestion_class(job);
        self.congestion
            .level_before(now, class, self.typical_run.us())
    }

    /// Part of its patience that a job may be expected to wait for room, where congestion
    /// among jobs like it stands at `level`.
    fn admit_share(&self, job: &Job, level: f64) -> f64 {
        let deferral = self.scheduling.deferral;
        let between = |free: f64, congested: f64| free + (congested - free) * level;
        match job.route.priority(&self.scheduling) {
            Priority::URGENT if deferral && !job.sent_before => {
                between(URGENT_ADMIT_SHARE, URGENT_QUEUE_SHARE)
            }
            _ if deferral => between(QUEUE_SHARE, 0.0),
            _ if job.sent_before => between(ADMIT_SHARE, 0.0),
            Priority::URGENT => URGENT_ADMIT_SHARE,
            _ => between(ADMIT_SHARE, CONGESTED_ADMIT_SHARE),
        }
    }

    /// What workers can do for it, as records tell and sessions, which tell sooner.
    fn prospect(&self, want: &Want<'_>) -> Prospect {
        let mut workers = self.gates.values().filter_map(GateView::worker);
        match self.subset.prospect(want) {
            Prospect::Never | Prospect::Unknown if workers.any(|worker| want.could_fit(worker)) => {
                Prospect::HasShrunk
            }
            prospect => prospect,
        }
    }

    /// The answer for a job that fits no worker that is known.
    fn fits_nowhere(&self, now: Moment) -> Answer {
        let since_us = self.served_since_us.unwrap_or(now.mono_us);
        match now.mono_us > since_us + micros(ALL_KNOWN) {
            true => failed(ResultCode::CannotRun, "no worker could ever run it"),
            false => refused(NOT_ALL_KNOWN, COME_BACK_LATER_MS),
        }
    }

    /// Whether all tasks of the job would begin at once beside room for `headroom` tasks.
    pub(super) fn fits_beside(&mut self, now: Moment, job: &Job, headroom: f64) -> bool {
        let waits = self.waits_beside(now, job, headroom);
        waits.is_some_and(|waits| waits.longest_us == 0)
    }

    /// The waits that the tasks of the job would have if all were placed now, and room for
    /// `headroom` more were kept at each gate; none if some would find no gate.
    fn waits_beside(&mut self, now: Moment, job: &Job, headroom: f64) -> Option<Waits> {
        for gate in self.gates.values_mut() {
            gate.reserve(headroom_at(gate, &job.spec.needs, headroom));
        }
        let mut waits = Vec::new();
        for index in 0..job.spec.count {
            let choice = self.choose(now, job, index);
            let Some(choice) = choice else {
                break;
            };
            if let Some(gate) = self.gates.get_mut(&choice.gate) {
                gate.reserve(job.spec.needs);
            }
            waits.push(choice.wait_us);
        }
        for gate in self.gates.values_mut() {
            gate.release_reserved();
        }
        let whole = waits.len() == job.spec.count as usize;
        whole.then(|| Waits {
            first_us: waits.first().copied().unwrap_or(0),
            longest_us: waits.into_iter().max().unwrap_or(0),
        })
    }

    /// Lets the subset know how much room jobs like this one want at once.
    fn ask_for_gates(&mut self, now: Moment, job: &Job) {
        for kind in &job.kinds {
            let alike = |other: &&Job| other.kinds.contains(kind);
            let open = self.jobs.values().filter(alike).chain(std::iter::once(job));
            let cpu_milli = open.map(|job| u64::from(job.spec.count) * job.spec.needs.cpu_milli);
            self.subset.ask(now, kind, cpu_milli.sum());
        }
    }

    fn expected_us(&self, spec: &JobSpec, route: &Route) -> u64 {
        let median_us = match self.scheduling.worker_speeds {
            true => self.run_spreads.median_us(route),
            false => None,
        };
        let mean_us = || self.run_times.mean_us(&route.service, &route.name);
        match (spec.estimate_us, median_us.or_else(mean_us)) {
            (0, None) => self.typical_run.us(),
            (0, Some(mean_us)) => mean_us,
            (estimate_us, None) => estimate_us,
            (estimate_us, Some(mean_us)) => {
                let blend =
                    estimate_us as f64 * ESTIMATE_WEIGHT + mean_us as f64 * (1.0 - ESTIMATE_WEIGHT);
                blend as u64
            }
        }
    }

    /// A caller sent a job and waits `wait_us` for its answer.
    pub fn submit(
        &mut self,
        now: Moment,
        waiter: WaiterId,
        spec: JobSpec,
        route: Arc<Route>,
        wait_us: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            info!(self.log, "job joined"; "job" => %spec.id);
            job.waiters.push(waiter);
            return;
        }
        let past = self.past.get(&spec.id);
        if let Some(answer) = past.and_then(|past| past.answer.clone()) {
            info!(self.log, "job answered again"; "job" => %spec.id, "code" => answer.code.name());
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        if let Some(answer) = self.answer_for_losses(spec.id) {
            info!(self.log, "job not taken up again"; "job" => %spec.id, "why" => &answer.message);
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        let first_run = past.map_or(0, |past| past.next_run);
        let expected_us = self.expected_us(&spec, &route);
        let id = spec.id;
        let mut job = Job::new(spec, route, now.mono_us, wait_us, expected_us, first_run);
        job.sent_before = self.caller_waits.was_sent_before(&job.route.name, wait_us);
        if self.scheduling.worker_speeds {
            job.spread = self.run_spreads.of(&job.route);
        }
        job.waiters.push(waiter);
        if let Some(answer) = self.refuse_for_lag(now, &job) {
            self.log_end(now, &job, &answer);
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        self.ask_for_gates(now, &job);
        self.note_asked(now, &job);
        let admitted = self.admit(now, &job);
        let admitted = self.within_share(now, &mut job, admitted);
        if let Err(Denial::NoRoom(_)) = &admitted {
            job.deferred_until_us = self.deferred_until(now, &job);
        }
        match admitted {
            Ok(()) => {}
            Err(Denial::NoGate) => {
                let parked_us = job.objective_us() as f64 * PARKED_SHARE;
                job.parked_until_us = Some(now.mono_us + parked_us as u64);
            }
            Err(Denial::NoRoom(answer)) if job.is_deferred() => {
                self.hold(now, &job, &answer.message);
            }
            Err(Denial::Answer(answer) | Denial::NoRoom(answer)) => {
                self.log_end(now, &job, &answer);
                self.actions.push(DispatchAction::Reply { waiter, answer });
                return;
            }
        }
        let parked = job.parked_until_us.is_some();
        if parked {
            self.backlog.insert((job.latest_begin_us(), id));
        }
        self.deadlines.insert((job.deadline_us, id));
        self.jobs.insert(id, job);
        if !parked {
            self.place(now, id);
        }
    }

    /// Tries again to take in a job that was kept; `false` if it waits on or was
    /// refused.
    pub(super) fn unpark(&mut self, now: Moment, id: JobId) -> bool {
        let Some(mut job) = self.jobs.remove(&id) else {
            return false;
        };
        let admitted = self.admit(now, &job);
        let overdue = job
            .parked_until_us
            .is_none_or(|until_us| until_us <= now.mono_us);
        if admitted.is_ok() {
            job.parked_until_us = None;
        }
        self.jobs.insert(id, job);
        match admitted {
            Ok(()) => return true,
            // Gates come back one by one: the first may have too little room.
            Err(_) if !overdue => {}
            Err(Denial::NoGate) => {
                let answer = refused("no worker is known", COME_BACK_LATER_MS);
                self.finish(now, id, answer);
            }
            Err(Denial::NoRoom(answer)) => self.defer_or_refuse(now, id, &answer.message),
            Err(Denial::Answer(answer)) => self.finish(now, id, answer),
        }
        false
    }
}

/// Room for `tasks` of these needs, as far as the worker, empty, holds it beside one more.
fn headroom_at(gate: &GateView, needs: &Resources, tasks: f64) -> Resources {
    let capacity = gate.worker().map_or(0, |worker| worker.capacity.cpu_milli);
    let wanted = (needs.cpu_milli as f64 * tasks) as u64;
    Resources {
        cpu_milli: wanted.min(capacity.saturating_sub(needs.cpu_milli)),
        ..Resources::default()
    }
}
