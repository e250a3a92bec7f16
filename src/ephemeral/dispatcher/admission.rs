//! Admission of jobs: a job is admitted as a whole, and only if all its tasks are expected
//! to begin in time.
//!
//! A job that arrives while no gate takes work is parked for a short time, as gates usually
//! reconnect within milliseconds.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{debug, info};

use super::job::Job;
use super::{DispatchAction, Dispatcher, RETRY_AFTER_MS, WaiterId, failed, refused};
use crate::code::ResultCode;
use crate::ephemeral::job::{JobId, JobSpec, Priority, Resources};
use crate::ephemeral::placement::{GateView, PlacementRequest};
use crate::ephemeral::routes::Route;
use crate::ephemeral::subset::Feasibility;
use crate::message::Answer;
use crate::time::{Moment, micros};

/// Retry delay for callers of jobs that no worker can take now.
const NO_WORKER_RETRY_AFTER_MS: u64 = 1_000;
/// Limit of the retry delay before jitter; room may become free earlier than the deferred
/// jobs suggest.
const MAX_RETRY_BASE_MS: u64 = 1_000;
/// Weight of the caller's estimate against the recorded run time.
const ESTIMATE_WEIGHT: f64 = 0.5;
/// Limit of the expected wait of urgent jobs, as a share of their patience (the time that
/// their tasks may wait at gates); the rest allows for errors of the estimate.
const URGENT_ADMIT_SHARE: f64 = 0.85;
/// Limit of the expected wait of other jobs without congestion, as a share of patience.
const ADMIT_SHARE: f64 = 0.6;
/// Limit of the expected wait of other jobs at full congestion, as a share of patience. Less
/// urgent jobs are refused first, and waits stay short for those that are admitted.
const CONGESTED_ADMIT_SHARE: f64 = 0.2;
/// Limit of the expected wait of other jobs without congestion if deferral is on, as a share
/// of patience; they can then also wait in the entry.
const QUEUE_SHARE: f64 = 0.1;
/// Limit of the expected wait of urgent jobs at full congestion if deferral is on, as a
/// share of patience.
const URGENT_QUEUE_SHARE: f64 = 0.4;
/// Share of its objective for which a job is parked; the rest lets its caller try
/// elsewhere.
const PARKED_SHARE: f64 = 0.22;
/// How long gates must have been connected before a job is reported to fit no worker;
/// longer than workers take to report.
const WORKER_DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Reason for refusing a job that fits no worker now but did before.
const CAPACITY_REDUCED: &str = "no worker has the capacity for it now";
/// Reason for refusing a job while all failure domains are evacuated.
const EVACUATED: &str = "the failure domains of all workers are evacuated";
/// Reason for refusing a job that the whole fleet could not begin in time.
const TOO_MANY_TASKS: &str = "it has more tasks than all workers can begin in time";
/// Reason for refusing a job that fits no worker known so far.
const WORKERS_UNKNOWN: &str = "not all workers are known yet";

/// Why a job is not admitted.
enum Denial {
    /// No gate takes work now.
    NoGate,
    /// The expected wait is too long; holds the refusal.
    NoRoom(Answer),
    /// Holds the final answer.
    Answer(Answer),
}

/// Expected waits for room of a job's tasks, in microseconds.
struct ExpectedWaits {
    /// Wait of the task that is placed first.
    first_us: u64,
    /// Longest wait of any task.
    longest_us: u64,
}

impl Dispatcher {
    /// Checks whether a job can be served in time.
    fn admit(&mut self, now: Moment, job: &Job) -> Result<(), Denial> {
        if !self.gates.values().any(GateView::is_open) {
            return Err(match self.all_evacuated(now) {
                true => Denial::Answer(refused(EVACUATED, NO_WORKER_RETRY_AFTER_MS)),
                false => Denial::NoGate,
            });
        }
        let request = self.placement_request(now, job);
        let fitting = |gate: &GateView| {
            let worker = gate.load.worker.as_ref();
            worker.is_some_and(|worker| request.fits(worker))
        };
        if !self.gates.values().any(fitting) {
            // A suitable worker may exist that has no session yet.
            return Err(match self.feasibility(&request) {
                Feasibility::Fits => Denial::NoGate,
                Feasibility::CapacityReduced => {
                    Denial::Answer(refused(CAPACITY_REDUCED, NO_WORKER_RETRY_AFTER_MS))
                }
                Feasibility::Impossible => Denial::Answer(self.unfit_answer(now)),
                Feasibility::Unknown => {
                    Denial::Answer(refused(WORKERS_UNKNOWN, NO_WORKER_RETRY_AFTER_MS))
                }
            });
        }
        let congestion_above = self.congestion_above(now, job);
        // The level, from 0 to 1, is used as a number of tasks.
        let headroom = match self.scheduling.deferral {
            true => congestion_above,
            false => 0.0,
        };
        let patience_us = job.patience_us(now.mono_us);
        if self.exceeds_fleet(now, job, job.rounds_within(patience_us)) {
            let retry_after_ms = self.retry_after_ms(now, job);
            return Err(Denial::Answer(refused(TOO_MANY_TASKS, retry_after_ms)));
        }
        let Some(waits) = self.waits_with_headroom(now, job, headroom) else {
            let answer = refused("no worker takes it now", NO_WORKER_RETRY_AFTER_MS);
            return Err(Denial::Answer(answer));
        };
        let patience_us = patience_us as f64;
        let wait = waits.first_us as f64 / patience_us.max(1.0);
        let typical_us = self.typical_run.us();
        let priority = self.congestion_priority(job);
        let congestion = self.congestion.class(priority);
        congestion.observe(now, wait, typical_us);
        let level = congestion.level();
        let max_wait_us = patience_us * self.admit_share(job, level) * (1.0 - congestion_above);
        if waits.longest_us as f64 > max_wait_us {
            let text = format!(
                "no room within {} us; it may wait {} us at congestion {:.2}",
                waits.longest_us,
                max_wait_us as u64,
                level.max(congestion_above)
            );
            let retry_after_ms = self.retry_after_ms(now, job);
            return Err(Denial::NoRoom(refused(&text, retry_after_ms)));
        }
        Ok(())
    }

    /// Denies an otherwise admitted job that is surplus, as its route exceeds its fair
    /// share.
    fn deny_surplus(
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
            let answer = refused(
                "more is asked for than usual",
                self.retry_after_ms(now, job),
            );
            Err(Denial::NoRoom(answer))
        })
    }

    /// Retry delay for the caller of a refused job: the expected wait of the deferred jobs
    /// that go first, with jitter so that refused callers do not retry at the same time.
    pub(super) fn retry_after_ms(&mut self, now: Moment, job: &Job) -> u64 {
        if !self.scheduling.deferral {
            return RETRY_AFTER_MS;
        }
        let priority = job.route.priority(&self.scheduling);
        let wait_ms = (self.deferral.wait_us(now, priority) / 1e3) as u64;
        let wait_ms = wait_ms.clamp(RETRY_AFTER_MS, MAX_RETRY_BASE_MS);
        wait_ms + self.rng.random_range(0..wait_ms)
    }

    /// Whether all gates are in evacuated failure domains. One without a session, or one whose
    /// record has not been read yet, may be in another domain.
    fn all_evacuated(&self, now: Moment) -> bool {
        let mut connected = self.gates.values().filter(|gate| gate.session.is_some());
        let some = connected.clone().next().is_some();
        some && connected.all(|gate| gate.load.evacuated)
            && !self.subset.may_have_available_gate(now)
    }

    /// Priority whose recorded waits apply to this job; one for all jobs without priority
    /// classes.
    fn congestion_priority(&self, job: &Job) -> Priority {
        match self.scheduling.priority_classes {
            true => job.route.priority(&self.scheduling),
            false => Priority::URGENT,
        }
    }

    /// Congestion level of more urgent jobs, from 0 to 1.
    pub(super) fn congestion_above(&self, now: Moment, job: &Job) -> f64 {
        let priority = self.congestion_priority(job);
        self.congestion
            .level_above(now, priority, self.typical_run.us())
    }

    /// Share of a job's patience that the expected wait may take at congestion `level`.
    fn admit_share(&self, job: &Job, level: f64) -> f64 {
        let deferral = self.scheduling.deferral;
        let between = |free: f64, congested: f64| free + (congested - free) * level;
        match job.route.priority(&self.scheduling) {
            Priority::URGENT if deferral && !job.is_resend => {
                between(URGENT_ADMIT_SHARE, URGENT_QUEUE_SHARE)
            }
            _ if deferral => between(QUEUE_SHARE, 0.0),
            _ if job.is_resend => between(ADMIT_SHARE, 0.0),
            Priority::URGENT => URGENT_ADMIT_SHARE,
            _ => between(ADMIT_SHARE, CONGESTED_ADMIT_SHARE),
        }
    }

    /// Whether the fleet can run a task, judged from the gates' records and from open
    /// sessions, which are more recent.
    fn feasibility(&self, request: &PlacementRequest<'_>) -> Feasibility {
        let mut workers = self.gates.values().filter_map(GateView::worker);
        match self.subset.feasibility(request) {
            Feasibility::Impossible | Feasibility::Unknown
                if workers.any(|worker| request.could_fit(worker)) =>
            {
                Feasibility::CapacityReduced
            }
            feasibility => feasibility,
        }
    }

    /// Answer for a job that fits no known worker.
    fn unfit_answer(&self, now: Moment) -> Answer {
        let since_us = self.open_gate_since_us.unwrap_or(now.mono_us);
        match now.mono_us > since_us + micros(WORKER_DISCOVERY_PERIOD) {
            true => failed(ResultCode::CannotRun, "no worker could ever run it"),
            false => refused(WORKERS_UNKNOWN, NO_WORKER_RETRY_AFTER_MS),
        }
    }

    /// Whether all tasks of the job could begin at once with room for `headroom` more tasks
    /// kept free at each gate.
    pub(super) fn fits_with_headroom(&mut self, now: Moment, job: &Job, headroom: f64) -> bool {
        let waits = self.waits_with_headroom(now, job, headroom);
        waits.is_some_and(|waits| waits.longest_us == 0)
    }

    /// Expected waits of the job's tasks if all were placed now with room for `headroom`
    /// more tasks kept free at each gate; `None` if a task finds no gate.
    fn waits_with_headroom(
        &mut self,
        now: Moment,
        job: &Job,
        headroom: f64,
    ) -> Option<ExpectedWaits> {
        for gate in self.gates.values_mut() {
            gate.reserve(headroom_at(gate, &job.spec.needs, headroom));
        }
        let mut waits = Vec::new();
        for index in 0..job.spec.count {
            // An admitted task may wait for a worker without another implicated one.
            let choice = self.choose_gate(now, job, index, false);
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
        whole.then(|| ExpectedWaits {
            first_us: waits.first().copied().unwrap_or(0),
            longest_us: waits.into_iter().max().unwrap_or(0),
        })
    }

    /// Reports to the subset how much CPU open jobs of the same kinds need, including
    /// this one.
    fn update_gate_demand(&mut self, now: Moment, job: &Job) {
        for kind in &job.kinds {
            let same_kind = |other: &&Job| other.kinds.contains(kind);
            let open = self
                .jobs
                .values()
                .filter(same_kind)
                .chain(std::iter::once(job));
            let cpu_milli =
                open.map(|job| f64::from(job.spec.count) * job.spec.needs.cpu_milli as f64);
            let cpu_milli = cpu_milli.sum::<f64>() as u64;
            self.subset.record_demand(now, kind, cpu_milli);
        }
    }

    /// Expected run time of a task, from the caller's estimate and the recorded runs.
    fn expected_us(&self, spec: &JobSpec, route: &Route) -> u64 {
        let median_us = match self.scheduling.worker_speeds {
            true => self.run_spreads.median_us(route),
            false => None,
        };
        let mean_us = || self.run_times.mean_us(&route.service, &route.name);
        match (spec.estimate_us, median_us.or_else(mean_us)) {
            (0, None) => self.typical_run.us(),
            (0, Some(recorded_us)) => recorded_us,
            (estimate_us, None) => estimate_us,
            (estimate_us, Some(recorded_us)) => {
                let blend = estimate_us as f64 * ESTIMATE_WEIGHT
                    + recorded_us as f64 * (1.0 - ESTIMATE_WEIGHT);
                blend as u64
            }
        }
    }

    /// Handles a job from a caller that waits `wait_us` for the answer.
    pub fn submit(
        &mut self,
        now: Moment,
        waiter: WaiterId,
        spec: JobSpec,
        route: Arc<Route>,
        wait_us: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.waiters.push(waiter);
            info!(self.log, "caller joined an open job"; "job" => %spec.id,
                "caller_waits_us" => wait_us, "callers" => job.waiters.len());
            return;
        }
        let finished = self.finished.get(&spec.id);
        let first_run = finished.map_or(0, |finished| finished.next_run);
        let seen_before = finished.is_some();
        if let Some(answer) = finished.and_then(|finished| finished.answer.clone()) {
            info!(self.log, "repeated the answer of a finished job"; "job" => %spec.id, "code" => answer.code.name());
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        if self.answer_cancelled(waiter, spec.id) {
            return;
        }
        if let Some(answer) = self.answer_for_losses(spec.id) {
            info!(self.log, "job not started again after worker losses"; "job" => %spec.id, "why" => &answer.message);
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        let expected_us = self.expected_us(&spec, &route);
        let id = spec.id;
        let mut job = Job::new(spec, route, now.mono_us, wait_us, expected_us, first_run);
        job.is_resend = self.caller_waits.is_resend(&job.route.name, wait_us);
        if self.scheduling.worker_speeds {
            job.spread = self.run_spreads.get(&job.route);
        }
        job.waiters.push(waiter);
        if let Some(answer) = self.refuse_for_lag(now, &job) {
            self.log_end(now, &job, &answer);
            self.actions.push(DispatchAction::Reply { waiter, answer });
            return;
        }
        self.update_gate_demand(now, &job);
        self.count_requested_work(now, &job);
        let admitted = self.admit(now, &job);
        let admitted = self.deny_surplus(now, &mut job, admitted);
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
                self.enqueue_deferred(now, &job, &answer.message);
            }
            Err(Denial::Answer(answer) | Denial::NoRoom(answer)) => {
                self.log_end(now, &job, &answer);
                self.actions.push(DispatchAction::Reply { waiter, answer });
                return;
            }
        }
        let parked = job.parked_until_us.is_some();
        debug!(self.log, "job opened"; "job" => %id, "route" => &*job.route.name,
            "tasks" => job.spec.count, "caller_waits_us" => wait_us,
            "seen_before" => seen_before, "deferred" => job.is_deferred(), "parked" => parked);
        if parked {
            self.backlog.insert((job.latest_begin_us(), id));
        }
        self.deadlines.insert((job.deadline_us, id));
        self.jobs.insert(id, job);
        if !parked {
            self.place(now, id);
        }
    }

    /// Tries to admit a parked job; `false` if it stays parked or was refused.
    pub(super) fn retry_parked(&mut self, now: Moment, id: JobId) -> bool {
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
            // Gates reconnect one by one; those still missing may have room.
            Err(_) if !overdue => {}
            Err(Denial::NoGate) => {
                let answer = refused("no worker is known", NO_WORKER_RETRY_AFTER_MS);
                self.finish(now, id, answer);
            }
            Err(Denial::NoRoom(answer)) => self.defer_or_refuse(now, id, &answer.message),
            Err(Denial::Answer(answer)) => self.finish(now, id, answer),
        }
        false
    }
}

/// Resources for `tasks` tasks, limited so that one more task still fits on the worker.
fn headroom_at(gate: &GateView, needs: &Resources, tasks: f64) -> Resources {
    let capacity = gate.worker().map_or(0, |worker| worker.capacity.cpu_milli);
    let wanted = (needs.cpu_milli as f64 * tasks) as u64;
    Resources {
        cpu_milli: wanted.min(capacity.saturating_sub(needs.cpu_milli)),
        ..Resources::default()
    }
}
