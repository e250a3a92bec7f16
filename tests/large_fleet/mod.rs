//! Simulates hundreds of dispatchers, gates and reliable workers in virtual time and counts
//! their frames.
//!
//! A frame holds the messages that one tick of a process sends on one session. The only
//! failure is a power loss; [`super::ephemeral_fleet`] simulates others.

#![allow(dead_code)]

mod entries;
mod gates;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use winghold::ephemeral::directory::{GateRecord, WorkerRecord};
use winghold::ephemeral::frame_counts::FrameKind;
use winghold::ephemeral::job::{JobId, Resources, RunId};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, ToEntry, ToGate, WorkerTraits};
use winghold::ephemeral::routes::Route;
use winghold::ephemeral::scheduling::Scheduling;
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker_id::WorkerId;
use winghold::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

use super::ephemeral_fleet::limits;
use super::ephemeral_fleet::worker::FakeWorker;
use entries::EntryProcess;
use gates::GateProcess;

/// Interval of the ticks and transit time of a frame.
pub const STEP_US: u64 = 5_000;
/// Kinds of jobs; the rates are per gate.
const KINDS: [JobKind; 3] = [
    JobKind::new(1.29, 8, 60_000, 0),
    JobKind::new(0.234, 4, 900_000, 2),
    JobKind::new(3.75, 2, 200_000, 1),
];
const TASK_CPU: u64 = 3_800;
/// Callers per entry; each caller uses one entry, so entries get different loads.
const CALLERS_PER_ENTRY: f64 = 1.55;

#[derive(Clone, Copy)]
struct JobKind {
    per_s_and_gate: f64,
    tasks: u32,
    run_us: u64,
    priority: u8,
}

impl JobKind {
    const fn new(per_s_and_gate: f64, tasks: u32, run_us: u64, priority: u8) -> JobKind {
        JobKind {
            per_s_and_gate,
            tasks,
            run_us,
            priority,
        }
    }

    fn of(job: JobId) -> JobKind {
        KINDS[(job.0 % KINDS.len() as u64) as usize]
    }

    fn route(self) -> Arc<Route> {
        Arc::new(Route {
            name: format!("r{}", self.priority).into(),
            host: "h".into(),
            path_prefix: "/".into(),
            service: "s".into(),
            priority: self.priority,
            attempts: 2,
            timeout_us: 1_500_000,
            stretch: 1.6,
            slack_us: 60_000,
        })
    }
}

/// A frame in transit.
struct FrameInTransit<M> {
    at_us: u64,
    session: SessionId,
    sent_us: u64,
    messages: Vec<M>,
}

/// Outcomes of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindCounts {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub unknown: u64,
}

impl KindCounts {
    /// Fraction of the answered jobs that met their objective.
    pub fn fraction_in_time(&self) -> f64 {
        let all = self.in_time + self.late + self.refused + self.unknown;
        self.in_time as f64 / all.max(1) as f64
    }
}

/// Counts over a period.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// By priority.
    pub kinds: [KindCounts; KINDS.len()],
    pub frames: BTreeMap<FrameKind, u64>,
    pub starts: u64,
    pub served: u64,
    /// Served jobs that missed their objective.
    pub late: u64,
    /// Run time of the tasks of jobs that met their objective, in microseconds.
    pub work_in_time_us: u64,
    /// `served` and `late` of the watched entry.
    pub watched_served: u64,
    pub watched_late: u64,
    pub refused: u64,
    pub unknown: u64,
    /// Runs that ended without being done.
    pub not_done_runs: u64,
}

impl Counts {
    pub fn all_frames(&self) -> u64 {
        self.frames.values().sum()
    }

    /// Fraction of the answered jobs that met their objective.
    pub fn fraction_in_time(&self) -> f64 {
        let all = self.served + self.refused + self.unknown;
        (self.served - self.late) as f64 / all.max(1) as f64
    }

    /// Mean number of cores that worked on jobs which met their objective, over `span_us`.
    pub fn goodput(&self, span_us: u64) -> f64 {
        let cores = TASK_CPU as f64 / 1e3;
        self.work_in_time_us as f64 * cores / span_us as f64
    }

    pub fn frames_per_start(&self) -> f64 {
        self.all_frames() as f64 / self.starts.max(1) as f64
    }
}

pub struct LargeFleet {
    pub now_us: u64,
    limits: Limits,
    entries: Vec<Option<EntryProcess>>,
    gates: Vec<Option<GateProcess>>,
    workers: Vec<FakeWorker>,
    /// Entry and gate of each open session.
    sessions: HashMap<SessionId, (usize, usize)>,
    to_gates: VecDeque<FrameInTransit<ToGate>>,
    to_entries: VecDeque<FrameInTransit<ToEntry>>,
    /// Entry of each caller.
    callers: Vec<usize>,
    /// Jobs of each kind that are due, including a fraction of the next one.
    due_jobs: [f64; KINDS.len()],
    rng: StdRng,
    last_incarnation: u64,
    last_session: u64,
    last_job: u64,
    /// Submission times of open jobs.
    open_jobs: HashMap<JobId, u64>,
    watched: Option<usize>,
    scheduling: Scheduling,
    /// Run time factor of each worker.
    pub slowness: Vec<f64>,
    /// Fraction of tasks that run longer, and their run time factor.
    pub tail: (f64, f64),
    pub counts: Counts,
}

impl LargeFleet {
    pub fn new(entries: usize, gates: usize) -> LargeFleet {
        let mut rng = StdRng::seed_from_u64(entries as u64);
        let callers = (entries as f64 * CALLERS_PER_ENTRY) as usize;
        let callers = (0..callers).map(|_| rng.random_range(0..entries));
        let worker = |index: usize| FakeWorker::new(worker_id(index), capacity(index), 1.0);
        let mut fleet = LargeFleet {
            now_us: 1_000_000,
            limits: limits(),
            entries: (0..entries).map(|_| None).collect(),
            gates: (0..gates).map(|_| None).collect(),
            workers: (0..gates).map(worker).collect(),
            sessions: HashMap::new(),
            to_gates: VecDeque::new(),
            to_entries: VecDeque::new(),
            callers: callers.collect(),
            due_jobs: [0.0; KINDS.len()],
            rng,
            last_incarnation: 0,
            last_session: 0,
            last_job: 0,
            open_jobs: HashMap::new(),
            watched: None,
            scheduling: Scheduling::default(),
            slowness: vec![1.0; gates],
            tail: (0.0, 1.0),
            counts: Counts::default(),
        };
        fleet.start_all();
        fleet
    }

    fn next_process_id(&mut self, name: String) -> ProcessId {
        self.last_incarnation += 1;
        ProcessId {
            name: name.into(),
            incarnation: self.last_incarnation,
        }
    }

    fn start_all(&mut self) {
        let records: Vec<GateRecord> = (0..self.gates.len()).map(record).collect();
        for index in 0..self.gates.len() {
            let me = self.next_process_id(gate_name(index));
            self.gates[index] = Some(GateProcess::new(me, self.limits));
        }
        for index in 0..self.entries.len() {
            let me = self.next_process_id(format!("entry-{index}"));
            let now = self.now();
            let mut process = EntryProcess::new(now, me, self.limits, &records);
            process.dispatcher.set_scheduling(self.scheduling);
            self.entries[index] = Some(process);
        }
    }

    /// Sets the enabled parts of the scheduler, now and after restarts.
    pub fn set_scheduling(&mut self, scheduling: Scheduling) {
        self.scheduling = scheduling;
        for process in self.entries.iter_mut().flatten() {
            process.dispatcher.set_scheduling(scheduling);
        }
    }

    /// Run time of a task on a worker of normal speed.
    fn base_run_us(&self, job: JobId, index: u32) -> f64 {
        let (part, times) = self.tail;
        let hash = xxh3_64(format!("{job}/{index}").as_bytes());
        let is_long = (hash as f64 / u64::MAX as f64) < part;
        let times = if is_long { times } else { 1.0 };
        JobKind::of(job).run_us as f64 * times
    }

    /// Run time of a task on this worker.
    fn work_us(&self, worker: usize, run: RunId) -> u64 {
        (self.base_run_us(run.job, run.index) * self.slowness[worker]) as u64
    }

    /// Time limit for a job to be in time, based on its longest task.
    fn objective_us(&self, job: JobId) -> u64 {
        let kind = JobKind::of(job);
        let tasks = (0..kind.tasks).map(|index| self.base_run_us(job, index));
        let route = kind.route();
        (tasks.fold(0.0, f64::max) * route.stretch) as u64 + route.slack_us
    }

    /// Stops all processes and starts them again after `away_us`.
    pub fn lose_power(&mut self, away_us: u64) {
        self.entries.iter_mut().for_each(|entry| *entry = None);
        self.gates.iter_mut().for_each(|gate| *gate = None);
        self.sessions.clear();
        self.to_gates.clear();
        self.to_entries.clear();
        self.run(away_us, 0.0);
        self.start_all();
    }

    /// Slows an entry to `input_us` of CPU time per frame or job, gives it `callers` more
    /// callers, and counts its answers separately.
    pub fn slow_down_entry(&mut self, index: usize, input_us: u64, callers: usize) {
        self.watched = Some(index);
        self.callers.extend(std::iter::repeat_n(index, callers));
        if let Some(process) = &mut self.entries[index] {
            process.input_us = input_us;
        }
    }

    fn now(&self) -> Moment {
        Moment {
            mono_us: self.now_us,
            wall_ms: 0,
        }
    }

    /// Runs for `span_us` with `load` times the base rate of all kinds; returns the counts.
    pub fn run(&mut self, span_us: u64, load: f64) -> Counts {
        self.run_kinds(span_us, [load; KINDS.len()])
    }

    /// Like [`Self::run`] with a load for each of `KINDS`, in their order.
    pub fn run_kinds(&mut self, span_us: u64, loads: [f64; KINDS.len()]) -> Counts {
        self.counts = Counts::default();
        let until_us = self.now_us + span_us;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            for index in 0..self.workers.len() {
                self.workers[index].advance(self.now_us);
            }
            self.submit_due(loads);
            self.deliver();
            for index in 0..self.entries.len() {
                self.tick_entry(index);
            }
            for index in 0..self.gates.len() {
                self.tick_gate(index);
            }
        }
        self.counts.clone()
    }

    fn submit_due(&mut self, loads: [f64; KINDS.len()]) {
        let seconds = STEP_US as f64 / 1e6;
        for (index, kind) in KINDS.iter().enumerate() {
            self.due_jobs[index] +=
                kind.per_s_and_gate * self.gates.len() as f64 * seconds * loads[index];
            while self.due_jobs[index] >= 1.0 {
                self.due_jobs[index] -= 1.0;
                self.last_job += 1;
                let id = JobId(self.last_job * KINDS.len() as u64 + index as u64);
                let caller = self.rng.random_range(0..self.callers.len());
                self.submit(self.callers[caller], id);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(frame) = self.to_gates.pop_front_if(|one| one.at_us <= self.now_us) {
            self.handle_gate_frame(frame);
        }
        while let Some(frame) = self.to_entries.pop_front_if(|one| one.at_us <= self.now_us) {
            self.receive_at_entry(frame);
        }
    }

    fn close(&mut self, session: SessionId) {
        let Some((entry, gate)) = self.sessions.remove(&session) else {
            return;
        };
        let now = self.now();
        if let Some(process) = &mut self.entries[entry] {
            process.closed(now, session);
        }
        if let Some(process) = &mut self.gates[gate] {
            process.gate.session_closed(session);
        }
    }

    fn count(&mut self, kind: Option<FrameKind>) {
        if let Some(kind) = kind {
            *self.counts.frames.entry(kind).or_default() += 1;
        }
    }

    /// Number of entries with an open gate.
    pub fn ready_entries(&self) -> usize {
        let ready = |entry: &&EntryProcess| entry.dispatcher.open_gates() > 0;
        self.entries.iter().flatten().filter(ready).count()
    }

    /// Number of gates with at least one session.
    pub fn covered_gates(&self) -> usize {
        let mut covered = vec![false; self.gates.len()];
        for (_, gate) in self.sessions.values() {
            covered[*gate] = true;
        }
        covered.into_iter().filter(|covered| *covered).count()
    }
}

fn gate_name(index: usize) -> String {
    format!("gate-{index}")
}

/// Capacity of a worker; every third is 50 % larger.
fn capacity(index: usize) -> Resources {
    Resources {
        cpu_milli: if index % 3 == 2 { 24_000 } else { 16_000 },
        memory_mb: 32_768,
        accelerators: 0,
    }
}

fn record(index: usize) -> GateRecord {
    let traits = WorkerTraits {
        id: worker_id(index),
        service: "s".into(),
        capacity: capacity(index),
        largest: Resources::default(),
        labels: Vec::new(),
    };
    GateRecord {
        gate: gate_name(index).into(),
        addr: ([127, 0, 0, 1], 10_000 + index as u16).into(),
        losses: Vec::new(),
        worker: Some(WorkerRecord {
            traits,
            addr: String::new(),
        }),
    }
}

fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").as_str().into()
}
