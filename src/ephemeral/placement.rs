//! Which gate a task goes to, as an entry sees the gates.
//!
//! Each gate is judged by when the task would end there: the wait for room, by
//! the gate's last load and what was sent since, and the run time at the
//! worker's speed. A little noise keeps entries that place at the same moment
//! from all choosing the same gate.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ephemeral::answer_times::AnswerTimes;
use crate::ephemeral::job::{Constraints, Priority, Resources, RunId};
use crate::ephemeral::limits::Limits;
use crate::ephemeral::message::{GateLoad, QueueLoad, WorkerTraits};
use crate::ephemeral::run_spread::{Placement, RunSpread};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Most by which scores are blurred, in typical run times.
const NOISE: f64 = 0.06;
/// Cost of a full worker against an empty one, in typical run times; it spreads
/// short tasks by free room, since a faster worker does not serve them better.
const CROWDING: f64 = 0.4;
/// Cost of a fast worker's room for a task that is short against its deadline, in
/// typical run times; it keeps that room for long tasks.
const FAST_ROOM: f64 = 0.25;
/// Cost of a task that would miss its objective, in typical run times: a worker
/// that is too slow for it is worth a long wait elsewhere. Without it 21% of jobs of
/// twelve tasks of 100 ms are late where workers differ in speed by 2.5 times, with it
/// a tenth more of the credit of such a fleet is earned (0.71 to 0.80 over six plays of
/// two fault days; the late jobs were counted in one play before costs were scaled).
/// Where speeds differ by a third it is worth 0.004.
const MISSED: f64 = 1.0;
/// Parts of the time to the objective from which a task may miss it, and from which
/// it is certain to; between them run times decide that are not known yet.
const MISS_FROM: f64 = 0.8;
const MISS_BY: f64 = 1.1;
/// The same where the chance of a miss is known, which keeps tasks off slow workers.
const FAST_ROOM_BY_CHANCE: f64 = 0.1;
/// Cost of a task that makes its job late, in work of the job: its other tasks are late
/// with it.
const MISSED_JOB: f64 = 3.0;
/// Run time kept back when the chance of a miss is told: speeds are known to a tenth.
const RUN_MARGIN: f64 = 1.1;
/// Wait expected at a gate that was full against its load, in typical run times:
/// of several runs there one ends soon.
const FULL_WAIT: f64 = 0.125;
/// How much longer a task takes away from its data, if nothing says so.
const DEFAULT_FAR_FACTOR: f64 = 1.5;

/// A start that the gate has not told to have seen.
#[derive(Debug)]
struct UnseenStart {
    number: u64,
    run: RunId,
    needs: Resources,
    sent_us: u64,
}

/// What an entry knows of a gate.
#[derive(Debug)]
pub struct GateView {
    /// The open session, once the gate has answered the hello.
    pub session: Option<SessionId>,
    /// Life of the gate that was last heard.
    pub incarnation: u64,
    /// When it was last heard, in monotonic microseconds.
    pub heard_us: u64,
    /// Its last load.
    pub load: GateLoad,
    /// Newest configuration that it knows an entry to have.
    pub config: u64,
    /// Runs that the hello of this session claimed.
    pub claimed: Vec<RunId>,
    /// Starts sent in this session.
    pub sent: u64,
    /// Runs of open jobs that are there.
    out: HashSet<RunId>,
    /// When the first of these was sent, or of those that were there last.
    busy_since_us: u64,
    /// When the last run that was there was over.
    busy_until_us: u64,
    /// Starts that the last load does not contain, oldest first.
    unseen: VecDeque<UnseenStart>,
    /// How long the gate takes to tell that it has seen a start.
    answers: AnswerTimes,
    /// When the connection of the session, or of the one to come, was opened.
    connected_us: u64,
    /// Whether its connection is in doubt; nothing is placed there then.
    pub quiet: bool,
    /// Processor time of tasks that are only thought to be placed here.
    reserved_cpu_milli: u64,
}

impl GateView {
    /// A gate that was just reached.
    pub fn new(now_us: u64) -> GateView {
        GateView {
            session: None,
            incarnation: 0,
            heard_us: now_us,
            load: GateLoad::default(),
            config: 0,
            claimed: Vec::new(),
            sent: 0,
            out: HashSet::new(),
            busy_since_us: 0,
            busy_until_us: 0,
            unseen: VecDeque::new(),
            answers: AnswerTimes::default(),
            connected_us: now_us,
            quiet: false,
            reserved_cpu_milli: 0,
        }
    }

    /// A new session begins; what was sent before counts no more.
    pub fn begin_session(&mut self, now: Moment) {
        self.sent = 0;
        self.unseen.clear();
        self.connected_us = now.mono_us;
        self.quiet = false;
    }

    /// Takes in a load.
    pub fn observe(&mut self, now: Moment, load: GateLoad) {
        while let Some(start) = self.unseen.pop_front_if(|start| start.number <= load.seen) {
            let took_us = now.mono_us.saturating_sub(start.sent_us);
            self.answers.record(took_us);
        }
        self.load = load;
    }

    /// Counts a start; returns its number in the session.
    pub fn count(&mut self, now: Moment, run: RunId, needs: Resources) -> u64 {
        if self.out.is_empty() {
            self.busy_since_us = now.mono_us;
        }
        self.out.insert(run);
        self.sent += 1;
        self.unseen.push_back(UnseenStart {
            number: self.sent,
            run,
            needs,
            sent_us: now.mono_us,
        });
        self.sent
    }

    /// Whether runs of open jobs are there.
    pub fn has_runs(&self) -> bool {
        !self.out.is_empty()
    }

    /// Whether runs of open jobs are there, or were at most `linger` ago.
    pub fn is_busy(&self, now: Moment, linger: Duration) -> bool {
        !self.out.is_empty() || now.mono_us < self.busy_until_us + micros(linger)
    }

    /// Whether the gate sends heartbeats at the pace of one with work. It goes on with
    /// that for longer than this says.
    fn beats_fast(&self, now: Moment, limits: &Limits) -> bool {
        self.is_busy(now, limits.linger / 2)
    }

    /// Whether the gate has been silent for so long that it counts as gone. The first
    /// order after a pause gives it time to answer.
    pub fn is_gone(&self, now: Moment, limits: &Limits) -> bool {
        let silence = match self.beats_fast(now, limits) {
            true => limits.peer_timeout,
            false => limits.idle_peer_timeout,
        };
        now.mono_us > self.heard_us.max(self.busy_since_us) + micros(silence)
    }

    /// Whether the gate should have been heard by now: it has sent nothing for longer
    /// than a heartbeat, or has not told to have seen a start for much longer than usual.
    /// Counted from `listening_us` at the earliest, since when this process reads.
    pub fn is_overdue(&self, now: Moment, limits: &Limits, listening_us: u64) -> bool {
        let quiet = match self.beats_fast(now, limits) {
            true => limits.reconnect_after,
            false => limits.idle_heartbeat_interval + limits.reconnect_after,
        };
        let since_us = listening_us.max(self.connected_us);
        let heard_us = self.heard_us.max(since_us).max(self.busy_since_us);
        let start = self.unseen.front();
        let start_due_us = start.map(|start| start.sent_us.max(since_us));
        let start_late = start_due_us
            .is_some_and(|sent_us| now.mono_us > sent_us + micros(self.answers.timeout()));
        start_late || now.mono_us > heard_us + micros(quiet)
    }

    /// Counts a task that is only thought to be placed here.
    pub fn reserve(&mut self, needs: Resources) {
        self.reserved_cpu_milli += needs.cpu_milli;
    }

    /// Forgets such tasks.
    pub fn release_reserved(&mut self) {
        self.reserved_cpu_milli = 0;
    }

    /// A run that was sent is over, or nobody wants it any more.
    pub fn over(&mut self, now: Moment, run: RunId) {
        self.unseen.retain(|start| start.run != run);
        if self.out.remove(&run) {
            self.busy_until_us = now.mono_us;
        }
    }

    /// The gate turned a run away for want of room, against its last load.
    pub fn had_no_room(&mut self, typical_us: u64) {
        self.load.free = Resources::default();
        let wait_us = (typical_us as f64 * FULL_WAIT) as u64;
        if self.load.queues.is_empty() {
            self.load.queues.push(QueueLoad::default());
        }
        for queue in &mut self.load.queues {
            queue.wait_us = queue.wait_us.max(wait_us);
        }
    }

    /// Whether the gate takes work now.
    pub fn is_open(&self) -> bool {
        self.session.is_some() && self.load.worker.is_some() && !self.load.leaving
    }

    /// Its worker, if it has one.
    pub fn worker(&self) -> Option<&Arc<WorkerTraits>> {
        self.load.worker.as_ref()
    }

    /// Processor time wanted beyond what is free, with `needs` added.
    fn missing_cpu(&self, needs: &Resources, queue: QueueLoad) -> f64 {
        let wanted = needs.cpu_milli + queue.cpu_milli + self.unseen_cpu();
        wanted as f64 - self.load.free.cpu_milli as f64
    }

    fn unseen_cpu(&self) -> u64 {
        let sent = self.unseen.iter().map(|start| start.needs.cpu_milli);
        sent.sum::<u64>() + self.reserved_cpu_milli
    }

    fn wait_us(&self, want: &Want<'_>, capacity: &Resources) -> f64 {
        let queue = self.load.queue_ahead(want.priority);
        let missing = self.missing_cpu(want.needs, queue);
        if missing <= 0.0 {
            return 0.0;
        }
        let first_us = queue.wait_us as f64;
        let unseen = self.unseen_cpu() as f64;
        let mean_us = match self.load.mean_run_us {
            0 => want.typical_us as f64,
            mean_us => mean_us as f64,
        };
        first_us + unseen * mean_us / capacity.cpu_milli.max(1) as f64
    }

    /// Run times against expectation.
    pub fn slowness(&self) -> f64 {
        f64::from(self.load.slowness_percent.max(10)) / 100.0
    }
}

/// What a task needs of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Service of the worker.
    pub service: &'a str,
    /// Resources.
    pub needs: &'a Resources,
    /// Where it may run.
    pub constraints: &'a Constraints,
    /// Who is served first.
    pub priority: Priority,
    /// Run time on a worker of usual speed, in microseconds.
    pub expected_us: u64,
    /// Time left until the deadline, in microseconds.
    pub left_us: u64,
    /// Time left until the objective, less what messages take, in microseconds.
    pub objective_us: u64,
    /// Run time of recent tasks of all kinds, in microseconds; the measure of what
    /// a wait, or a place that is taken, costs others.
    pub typical_us: u64,
    /// How likely it ends in time, where placement goes by that.
    pub on_time: Option<OnTime<'a>>,
}

/// What tells how likely a task ends in time for its job.
#[derive(Clone, Copy, Debug)]
pub struct OnTime<'a> {
    /// How run times of its kind spread.
    pub spread: &'a RunSpread,
    /// Tasks of the job.
    pub tasks: u32,
    /// What the longest task counts in the objective.
    pub stretch: f64,
    /// Time left of the objective beyond that, in microseconds.
    pub slack_us: f64,
}

impl Want<'_> {
    fn fast_room(&self) -> f64 {
        match self.on_time {
            Some(_) => FAST_ROOM_BY_CHANCE,
            None => FAST_ROOM,
        }
    }

    /// Cost of missing the objective, in microseconds. Where the chance of it is known, a
    /// task that does costs the work of its whole job.
    fn miss_cost_us(&self) -> f64 {
        match &self.on_time {
            Some(on_time) => MISSED_JOB * self.expected_us as f64 * f64::from(on_time.tasks),
            None => MISSED * self.typical_us as f64,
        }
    }

    /// How likely the task misses its objective after a wait and a run.
    fn miss_chance(&self, wait_us: f64, run_us: f64) -> f64 {
        match &self.on_time {
            Some(on_time) => on_time.miss_chance(self.expected_us, wait_us, run_us),
            None => self.miss_guess(wait_us + run_us),
        }
    }

    /// The same for a task whose kind is not known, that would end after `end_us`; 0
    /// where the objective is past already, as nothing is to be won then.
    fn miss_guess(&self, end_us: f64) -> f64 {
        if self.objective_us == 0 {
            return 0.0;
        }
        let part = end_us / self.objective_us as f64;
        ((part - MISS_FROM) / (MISS_BY - MISS_FROM)).clamp(0.0, 1.0)
    }

    /// Whether `worker`, empty, could run it now.
    pub fn fits(&self, worker: &WorkerTraits) -> bool {
        self.may_go_to(worker) && self.needs.fits_in(&worker.capacity)
    }

    /// Whether `worker` could ever run it: what has shrunk may grow again.
    pub fn could_fit(&self, worker: &WorkerTraits) -> bool {
        let largest = worker.capacity.max_of_each(&worker.largest);
        self.may_go_to(worker) && self.needs.fits_in(&largest)
    }

    fn may_go_to(&self, worker: &WorkerTraits) -> bool {
        let label = self.constraints.label.as_ref();
        worker.service == self.service && label.is_none_or(|label| worker.labels.contains(label))
    }
}

impl OnTime<'_> {
    fn miss_chance(&self, expected_us: u64, wait_us: f64, run_us: f64) -> f64 {
        self.spread.miss_chance(&Placement {
            begin_us: wait_us,
            run_us: run_us * RUN_MARGIN,
            stretched_us: (expected_us as f64 * self.stretch).max(1.0),
            slack_us: self.slack_us,
            others: self.tasks.saturating_sub(1),
        })
    }
}

/// A gate for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the gate.
    pub gate: Arc<str>,
    /// Expected wait for room, in microseconds.
    pub wait_us: u64,
    /// Expected run time there, in microseconds.
    pub run_us: u64,
    /// How likely the task misses its objective, in percent.
    pub miss_percent: u32,
}

/// Chooses gates.
#[derive(Debug)]
pub struct Placer {
    far_factor: f64,
    rng: StdRng,
}

impl Placer {
    /// A placer whose noise comes from `seed`.
    pub fn new(seed: u64) -> Placer {
        Placer {
            far_factor: DEFAULT_FAR_FACTOR,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// The gate where a task would end first, out of `gates`.
    pub fn choose<'g>(
        &mut self,
        gates: impl Iterator<Item = (&'g Arc<str>, &'g GateView)>,
        want: &Want<'_>,
    ) -> Option<Choice> {
        let mut best: Option<(f64, Choice)> = None;
        let typical_us = want.typical_us as f64;
        for (name, gate) in gates {
            let Some(worker) = gate.worker().filter(|worker| want.fits(worker)) else {
                continue;
            };
            let far = self.far_from_data(want, worker);
            let run_us = want.expected_us as f64 * gate.slowness() * far;
            let wait_us = gate.wait_us(want, &worker.capacity);
            let risk = run_us / want.left_us.max(1) as f64;
            let free = gate.load.free.cpu_milli.saturating_sub(gate.unseen_cpu()) as f64;
            let used = 1.0 - free / worker.capacity.cpu_milli.max(1) as f64;
            let noise_us = self.rng.random::<f64>() * NOISE * typical_us;
            let fast_us =
                want.fast_room() * typical_us * (1.0 - gate.slowness()) * (1.0 - risk).max(0.0);
            let crowded_us = CROWDING * typical_us * used * used;
            let miss_chance = want.miss_chance(wait_us, run_us);
            let missed_us = want.miss_cost_us() * miss_chance;
            let score = wait_us + run_us * risk + crowded_us + fast_us + missed_us + noise_us;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
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

    fn far_from_data(&self, want: &Want<'_>, worker: &WorkerTraits) -> f64 {
        match &want.constraints.data_rack {
            Some(rack) if !worker.labels.contains(rack) => self.far_factor,
            _ => 1.0,
        }
    }
}
