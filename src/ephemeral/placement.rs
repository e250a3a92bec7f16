//! Placement: chooses the gate for a task.
//!
//! Each gate gets a score from its expected wait and run time. The wait follows from the
//! last reported load and the starts sent since; the run time from the worker's speed. A
//! little noise keeps entries that place at the same time from choosing the same gate.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ephemeral::answer_times::AnswerTimes;
use crate::ephemeral::job::{Constraints, Priority, Resources, RunId};
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{GateLoad, QueueLoad, WorkerTraits};
use crate::ephemeral::run_spread::{PlannedRun, RunSpread};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Maximum noise added to a score, in typical run times.
const SCORE_NOISE: f64 = 0.06;
/// Cost of a full worker compared with an empty one, in typical run times; spreads short
/// tasks over workers with free room, as a faster worker does not serve them better.
const CROWDING_COST: f64 = 0.4;
/// Cost of using a fast worker for a task that is short compared with its deadline, in
/// typical run times per unit of slowness below 1. It keeps fast workers free for long
/// tasks.
const FAST_WORKER_COST: f64 = 0.25;
/// Cost of a task that misses its objective, in typical run times; a slow worker is then
/// worth avoiding at the price of a long wait.
const MISS_COST: f64 = 1.0;
/// Expected end, as a share of the time to the objective, up to which the estimated chance
/// of a miss is 0; it then rises linearly.
const MISS_RAMP_START: f64 = 0.8;
/// Expected end, as a share of the time to the objective, from which the chance is 1.
const MISS_RAMP_END: f64 = 1.1;
/// Cost of using a fast worker when an [`ObjectiveModel`] is used, in the same unit as
/// [`FAST_WORKER_COST`]; the model by itself keeps tasks off slow workers.
const FAST_WORKER_COST_WITH_MODEL: f64 = 0.1;
/// Cost of a task that makes its job late, as a multiple of the summed expected run times of
/// the job's tasks, as all of these are late with it.
const JOB_MISS_COST: f64 = 3.0;
/// Factor on the run time when the chance of a miss is computed, as worker speeds are
/// uncertain.
const RUN_TIME_MARGIN: f64 = 1.1;
/// Expected wait at a gate that rejected a start although its load showed room, in typical
/// run times.
const FULL_GATE_WAIT: f64 = 0.125;
/// Number of attempts, during a typical run, to place an implicated task at a gate that has one of
/// another entry.
const APART_RETRIES_PER_RUN: u64 = 4;
/// Factor on the run time of a task away from its data.
const DEFAULT_REMOTE_DATA_FACTOR: f64 = 1.5;

/// Start that the gate has not acknowledged.
#[derive(Debug)]
struct UnacknowledgedStart {
    number: u64,
    run: RunId,
    needs: Resources,
    sent_us: u64,
}

/// State of a gate as the entry sees it.
#[derive(Debug)]
pub struct GateView {
    /// Open session, once the gate has answered the hello.
    pub session: Option<SessionId>,
    /// When the last session ended, in monotonic microseconds.
    pub session_lost_us: u64,
    /// Last known incarnation of the gate.
    pub incarnation: u64,
    /// When the last frame arrived, in monotonic microseconds.
    pub last_frame_us: u64,
    /// Last reported load.
    pub load: GateLoad,
    /// Newest configuration version that the gate has announced.
    pub config: u64,
    /// Runs that the hello of this session claimed.
    pub claimed: Vec<RunId>,
    /// Number of starts sent in this session.
    pub starts_sent: u64,
    /// Runs of open jobs at the gate.
    open_runs: HashSet<RunId>,
    /// When a start was last sent while no run was open, in monotonic microseconds.
    idle_ended_us: u64,
    /// When an open run was last removed, in monotonic microseconds.
    last_removal_us: u64,
    /// Starts that the last load does not include, oldest first.
    unacknowledged: VecDeque<UnacknowledgedStart>,
    /// How long the gate takes to acknowledge starts.
    acknowledgement_times: AnswerTimes,
    /// When the newest connection was opened, in monotonic microseconds; its session may not
    /// be open yet.
    connected_us: u64,
    /// Whether frames or acknowledgements are overdue; no task is placed there then.
    pub overdue: bool,
    /// CPU reserved by a tentative placement, in thousandths of a core.
    reserved_cpu_milli: u64,
    /// Until when it counts as having an implicated run of another entry, in monotonic
    /// microseconds.
    implicated_until_us: u64,
    /// Whether its session serves only to register jobs; no task is placed there then.
    pub is_only_registrar: bool,
    /// Whether open jobs are registered there.
    pub has_registrations: bool,
}

impl GateView {
    /// Creates the state of a newly connected gate.
    pub fn new(now_us: u64) -> GateView {
        GateView {
            session: None,
            session_lost_us: 0,
            incarnation: 0,
            last_frame_us: now_us,
            load: GateLoad::default(),
            config: 0,
            claimed: Vec::new(),
            starts_sent: 0,
            open_runs: HashSet::new(),
            idle_ended_us: 0,
            last_removal_us: 0,
            unacknowledged: VecDeque::new(),
            acknowledgement_times: AnswerTimes::default(),
            connected_us: now_us,
            overdue: false,
            reserved_cpu_milli: 0,
            implicated_until_us: 0,
            is_only_registrar: false,
            has_registrations: false,
        }
    }

    /// Resets the state of the previous session for a new connection.
    pub fn begin_session(&mut self, now: Moment) {
        self.starts_sent = 0;
        self.unacknowledged.clear();
        self.connected_us = now.mono_us;
        self.overdue = false;
    }

    /// Stores a reported load and drops the starts that it acknowledges.
    pub fn update_load(&mut self, now: Moment, load: GateLoad) {
        while let Some(start) = self
            .unacknowledged
            .pop_front_if(|start| start.number <= load.seen)
        {
            let took_us = now.mono_us.saturating_sub(start.sent_us);
            self.acknowledgement_times.record(took_us);
        }
        self.load = load;
    }

    /// Records a start and returns its number in the session.
    pub fn record_start(&mut self, now: Moment, run: RunId, needs: Resources) -> u64 {
        if self.open_runs.is_empty() {
            self.idle_ended_us = now.mono_us;
        }
        self.open_runs.insert(run);
        self.starts_sent += 1;
        self.unacknowledged.push_back(UnacknowledgedStart {
            number: self.starts_sent,
            run,
            needs,
            sent_us: now.mono_us,
        });
        self.starts_sent
    }

    /// Whether runs of open jobs are at the gate.
    pub fn has_runs(&self) -> bool {
        !self.open_runs.is_empty()
    }

    /// Whether runs of open jobs are at the gate, or were within the last `linger`.
    pub fn is_busy(&self, now: Moment, linger: Duration) -> bool {
        !self.open_runs.is_empty() || now.mono_us < self.last_removal_us + micros(linger)
    }

    /// Whether the gate is expected to send heartbeats at the interval of a session with
    /// work. The gate keeps that interval for the whole linger time; only half of it is
    /// relied on here.
    fn has_fast_heartbeats(&self, now: Moment, limits: &Limits) -> bool {
        self.is_busy(now, limits.linger / 2)
    }

    /// Whether the gate has been silent for so long that it counts as lost. The silence is
    /// counted from the last frame, or from a later start that was sent while no run was
    /// open, so that the gate has time to answer the first start after a pause.
    pub fn is_gone(&self, now: Moment, limits: &Limits) -> bool {
        let silence = match self.has_fast_heartbeats(now, limits) {
            true => limits.peer_timeout,
            false => limits.idle_peer_timeout,
        };
        now.mono_us > self.last_frame_us.max(self.idle_ended_us) + micros(silence)
    }

    /// Whether a frame or an acknowledgement is overdue. This process has read frames
    /// without interruption since `reading_since_us`; earlier silence does not count.
    pub fn is_overdue(&self, now: Moment, limits: &Limits, reading_since_us: u64) -> bool {
        let frame_timeout = match self.has_fast_heartbeats(now, limits) {
            true => limits.reconnect_after,
            false => limits.idle_heartbeat_interval + limits.reconnect_after,
        };
        let counted_from_us = reading_since_us.max(self.connected_us);
        let last_frame_us = self
            .last_frame_us
            .max(counted_from_us)
            .max(self.idle_ended_us);
        let start = self.unacknowledged.front();
        let start_counted_from_us = start.map(|start| start.sent_us.max(counted_from_us));
        let start_late = start_counted_from_us.is_some_and(|from_us| {
            now.mono_us > from_us + micros(self.acknowledgement_times.timeout())
        });
        start_late || now.mono_us > last_frame_us + micros(frame_timeout)
    }

    /// Reserves resources for a tentative placement.
    pub fn reserve(&mut self, needs: Resources) {
        self.reserved_cpu_milli += needs.cpu_milli;
    }

    /// Releases all tentative reservations.
    pub fn release_reserved(&mut self) {
        self.reserved_cpu_milli = 0;
    }

    /// Removes a run that has ended or is no longer needed.
    pub fn remove_run(&mut self, now: Moment, run: RunId) {
        self.unacknowledged.retain(|start| start.run != run);
        if self.open_runs.remove(&run) {
            self.last_removal_us = now.mono_us;
        }
    }

    /// Marks the gate as full after it rejected a start for lack of room.
    pub fn mark_full(&mut self, typical_us: u64) {
        self.load.free = Resources::default();
        let wait_us = (typical_us as f64 * FULL_GATE_WAIT) as u64;
        if self.load.queues.is_empty() {
            self.load.queues.push(QueueLoad::default());
        }
        for queue in &mut self.load.queues {
            queue.wait_us = queue.wait_us.max(wait_us);
        }
    }

    /// Marks the gate as having an implicated run of another entry, after it rejected one. It is
    /// tried again after part of a typical run, as the other run may have ended by then.
    pub fn mark_implicated(&mut self, now: Moment, typical_us: u64) {
        self.implicated_until_us = now.mono_us + typical_us / APART_RETRIES_PER_RUN;
    }

    /// Whether it counts as having an implicated run of another entry.
    pub fn is_implicated(&self, now: Moment) -> bool {
        now.mono_us < self.implicated_until_us
    }

    /// Whether the gate takes work of this entry now.
    pub fn is_open(&self) -> bool {
        self.session.is_some()
            && self.load.worker.is_some()
            && !self.load.leaving
            && !self.is_only_registrar
    }

    /// Its worker, if it has one.
    pub fn worker(&self) -> Option<&Arc<WorkerTraits>> {
        self.load.worker.as_ref()
    }

    /// CPU needed beyond what is free, in thousandths of a core. It covers `needs`, the queue
    /// and unacknowledged starts.
    fn cpu_shortfall(&self, needs: &Resources, queue: QueueLoad) -> f64 {
        let wanted = needs.cpu_milli + queue.cpu_milli + self.unacknowledged_cpu_milli();
        wanted as f64 - self.load.free.cpu_milli as f64
    }

    /// CPU of unacknowledged starts and of tentative reservations.
    fn unacknowledged_cpu_milli(&self) -> u64 {
        let sent = self
            .unacknowledged
            .iter()
            .map(|start| start.needs.cpu_milli);
        sent.sum::<u64>() + self.reserved_cpu_milli
    }

    /// Expected wait for room, in microseconds.
    fn wait_us(&self, request: &PlacementRequest<'_>, capacity: &Resources) -> f64 {
        let queue = self.load.queue_ahead(request.priority);
        let shortfall = self.cpu_shortfall(request.needs, queue);
        if shortfall <= 0.0 {
            return 0.0;
        }
        // The reported wait covers the queued runs, so their CPU is not counted again.
        let queue_wait_us = queue.wait_us as f64;
        let unacknowledged = self.unacknowledged_cpu_milli() as f64;
        let mean_us = match self.load.mean_run_us {
            0 => request.typical_run_us as f64,
            mean_us => mean_us as f64,
        };
        queue_wait_us + unacknowledged * mean_us / capacity.cpu_milli.max(1) as f64
    }

    /// Run time on this worker relative to the expected run time.
    pub fn slowness(&self) -> f64 {
        f64::from(self.load.slowness_percent.max(10)) / 100.0
    }
}

/// Requirements of a task that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the worker.
    pub service: &'a str,
    /// Resources of the task.
    pub needs: &'a Resources,
    /// Where the task may run.
    pub constraints: &'a Constraints,
    /// Priority of the task.
    pub priority: Priority,
    /// Expected run time on a worker with a slowness of 1, in microseconds.
    pub expected_us: u64,
    /// Time left until the deadline, in microseconds.
    pub deadline_left_us: u64,
    /// Time left to end the task within the objective, in microseconds.
    pub objective_left_us: u64,
    /// Typical run time over the tasks of all services, in microseconds; unit of most
    /// placement costs.
    pub typical_run_us: u64,
    /// Model of the chance to meet the objective, if placement uses it.
    pub objective_model: Option<ObjectiveModel<'a>>,
}

/// Model of the chance that a task ends in time for its job.
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveModel<'a> {
    /// Spread of the route's run times.
    pub spread: &'a RunSpread,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Part of the objective that grows with the longest task's run time, as a multiple of
    /// that time.
    pub stretch: f64,
    /// Constant part of the objective minus the time already spent, in microseconds; may be
    /// negative.
    pub slack_us: f64,
}

impl PlacementRequest<'_> {
    fn fast_worker_cost(&self) -> f64 {
        match self.objective_model {
            Some(_) => FAST_WORKER_COST_WITH_MODEL,
            None => FAST_WORKER_COST,
        }
    }

    /// Cost of missing the objective, in microseconds. With a model, it is a multiple of the
    /// summed expected run times of the job's tasks.
    fn miss_cost_us(&self) -> f64 {
        match &self.objective_model {
            Some(objective_model) => {
                JOB_MISS_COST * self.expected_us as f64 * f64::from(objective_model.tasks)
            }
            None => MISS_COST * self.typical_run_us as f64,
        }
    }

    /// Chance that the task misses its objective after this wait and run time, both in
    /// microseconds.
    fn miss_chance(&self, wait_us: f64, run_us: f64) -> f64 {
        match &self.objective_model {
            Some(objective_model) => {
                objective_model.late_job_chance(self.expected_us, wait_us, run_us)
            }
            None => self.estimate_miss_chance(wait_us + run_us),
        }
    }

    /// Estimated chance of a miss without a model, for a task that ends after `end_us`. If
    /// no time to the objective is left, it is 0, as the task misses it at every gate.
    fn estimate_miss_chance(&self, end_us: f64) -> f64 {
        if self.objective_left_us == 0 {
            return 0.0;
        }
        let share = end_us / self.objective_left_us as f64;
        ((share - MISS_RAMP_START) / (MISS_RAMP_END - MISS_RAMP_START)).clamp(0.0, 1.0)
    }

    /// Whether `worker`, at its present capacity, could run it if it ran nothing else.
    pub fn fits(&self, worker: &WorkerTraits) -> bool {
        self.is_allowed_on(worker) && self.needs.fits_in(&worker.capacity)
    }

    /// Whether `worker` could run it at the largest capacity that it has had.
    pub fn could_fit(&self, worker: &WorkerTraits) -> bool {
        let largest = worker.capacity.max_of_each(&worker.largest);
        self.is_allowed_on(worker) && self.needs.fits_in(&largest)
    }

    /// Whether `workers` could run this number of tasks at the same time if they were idle.
    pub fn fit_together<'a>(
        &self,
        tasks: u64,
        workers: &mut impl Iterator<Item = &'a WorkerTraits>,
    ) -> bool {
        let mut left = tasks;
        // Mostly a few workers suffice.
        left == 0
            || workers.any(|worker| {
                left = left.saturating_sub(self.max_tasks_on(worker));
                left == 0
            })
    }

    /// Tasks that `worker` could run at the same time if it were idle, at the largest capacity that
    /// it has had.
    fn max_tasks_on(&self, worker: &WorkerTraits) -> u64 {
        if !self.is_allowed_on(worker) {
            return 0;
        }
        let largest = worker.capacity.max_of_each(&worker.largest);
        let by_room = self.needs.times_in(&largest);
        match self.constraints.max_per_worker {
            0 => by_room,
            max => by_room.min(u64::from(max)),
        }
    }

    fn is_allowed_on(&self, worker: &WorkerTraits) -> bool {
        let label = self.constraints.label.as_ref();
        worker.service == self.service && label.is_none_or(|label| worker.labels.contains(label))
    }
}

impl ObjectiveModel<'_> {
    /// Chance that the task makes its job late. `expected_us` is the expected run time at a
    /// slowness of 1, `run_us` the one on the chosen worker.
    fn late_job_chance(&self, expected_us: u64, wait_us: f64, run_us: f64) -> f64 {
        self.spread.miss_chance(&PlannedRun {
            begin_us: wait_us,
            run_us: run_us * RUN_TIME_MARGIN,
            stretched_us: (expected_us as f64 * self.stretch).max(1.0),
            slack_us: self.slack_us,
            others: self.tasks.saturating_sub(1),
        })
    }
}

/// Gate chosen for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the gate.
    pub gate: Arc<str>,
    /// Expected wait for room, in microseconds.
    pub wait_us: u64,
    /// Expected run time there, in microseconds.
    pub run_us: u64,
    /// Chance that the task misses its objective, in percent.
    pub miss_percent: u32,
}

/// Chooses gates for tasks.
#[derive(Debug)]
pub struct Placer {
    /// Factor on the run time of a task that is not in the rack of its data.
    remote_data_factor: f64,
    rng: StdRng,
}

impl Placer {
    /// Creates a placer whose noise is seeded with `seed`.
    pub fn new(seed: u64) -> Placer {
        Placer {
            remote_data_factor: DEFAULT_REMOTE_DATA_FACTOR,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the gate with the lowest score.
    pub fn choose<'g>(
        &mut self,
        gates: impl Iterator<Item = (&'g Arc<str>, &'g GateView)>,
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let mut best: Option<(f64, Choice)> = None;
        let typical_us = request.typical_run_us as f64;
        for (name, gate) in gates {
            let Some(worker) = gate.worker().filter(|worker| request.fits(worker)) else {
                continue;
            };
            let distance_factor = self.data_distance_factor(request, worker);
            let run_us = request.expected_us as f64 * gate.slowness() * distance_factor;
            let wait_us = gate.wait_us(request, &worker.capacity);
            let deadline_share = run_us / request.deadline_left_us.max(1) as f64;
            let free = gate
                .load
                .free
                .cpu_milli
                .saturating_sub(gate.unacknowledged_cpu_milli()) as f64;
            let used = 1.0 - free / worker.capacity.cpu_milli.max(1) as f64;
            let noise_us = self.rng.random::<f64>() * SCORE_NOISE * typical_us;
            // Negative for slow workers: their score improves, most of all for short tasks.
            let fast_worker_us = request.fast_worker_cost()
                * typical_us
                * (1.0 - gate.slowness())
                * (1.0 - deadline_share).max(0.0);
            let crowding_us = CROWDING_COST * typical_us * used * used;
            let miss_chance = request.miss_chance(wait_us, run_us);
            let missed_us = request.miss_cost_us() * miss_chance;
            // The run time is weighted by its share of the time to the deadline.
            let score = wait_us
                + run_us * deadline_share
                + crowding_us
                + fast_worker_us
                + missed_us
                + noise_us;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                let choice = Choice {
                    gate: name.clone(),
                    wait_us: wait_us as u64,
                    run_us: run_us as u64,
                    miss_percent: (miss_chance * 100.0) as u32,
                };
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    fn data_distance_factor(&self, request: &PlacementRequest<'_>, worker: &WorkerTraits) -> f64 {
        match &request.constraints.data_rack {
            Some(rack) if !worker.labels.contains(rack) => self.remote_data_factor,
            _ => 1.0,
        }
    }
}
