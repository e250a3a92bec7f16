//! Hundreds of processes in virtual time: dispatchers, gates and workers that keep
//! their promises, and a count of every frame between them.
//!
//! A frame is what one turn of a process sends on one session, as on the wire. The
//! fleet has no failures but the loss of all power; [`super::ephemeral_fleet`] plays
//! the others at a small size.

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
use entries::EntrySide;
use gates::GateSide;

/// A turn of every process, and the time that a frame is under way.
pub const STEP_US: u64 = 5_000;
/// Jobs a second, tasks a job and run time of the kinds of jobs, for each gate: a
/// burst check, a report and a clock sync of a fleet at 0.6 of its room.
const KINDS: [JobKind; 3] = [
    JobKind::new(1.29, 8, 60_000, 0),
    JobKind::new(0.234, 4, 900_000, 2),
    JobKind::new(3.75, 2, 200_000, 1),
];
/// Room that a task takes, in thousandths of a core.
const TASK_CPU: u64 = 3_800;
/// Callers an entry; each stays with one entry, so entries get unlike shares.
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

/// A frame under way.
struct Flight<M> {
    at_us: u64,
    session: SessionId,
    sent_us: u64,
    messages: Vec<M>,
}

/// What became of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindCounts {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub unknown: u64,
}

impl KindCounts {
    /// Part of the answered jobs that met their objective.
    pub fn part_in_time(&self) -> f64 {
        let all = self.in_time + self.late + self.refused + self.unknown;
        self.in_time as f64 / all.max(1) as f64
    }
}

/// Counts of a stretch of time.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// By priority.
    pub kinds: [KindCounts; KINDS.len()],
    pub frames: BTreeMap<FrameKind, u64>,
    pub starts: u64,
    pub served: u64,
    /// Of these, answered after the objective.
    pub late: u64,
    /// Run time of the tasks of jobs that met their objective, in microseconds.
    pub work_in_time_us: u64,
    /// The same of the entry that is watched.
    pub watched_served: u64,
    pub watched_late: u64,
    pub refused: u64,
    pub unknown: u64,
    /// Runs of tasks that had to go elsewhere.
    pub elsewhere: u64,
}

impl Counts {
    pub fn all_frames(&self) -> u64 {
        self.frames.values().sum()
    }

    /// Part of the answered jobs that met their objective.
    pub fn in_time(&self) -> f64 {
        let all = self.served + self.refused + self.unknown;
        (self.served - self.late) as f64 / all.max(1) as f64
    }

    /// Cores that worked for jobs which met their objective, over `span_us`.
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
    entries: Vec<Option<EntrySide>>,
    gates: Vec<Option<GateSide>>,
    workers: Vec<FakeWorker>,
    /// Entry and gate of each open session.
    sessions: HashMap<SessionId, (usize, usize)>,
    to_gates: VecDeque<Flight<ToGate>>,
    to_entries: VecDeque<Flight<ToEntry>>,
    /// Entry of each caller.
    callers: Vec<usize>,
    /// Jobs that are due of each kind; grows with time.
    due: [f64; KINDS.len()],
    rng: StdRng,
    lives: u64,
    last_session: u64,
    last_job: u64,
    /// When open jobs came.
    open: HashMap<JobId, u64>,
    watched: Option<usize>,
    scheduling: Scheduling,
    /// Run time of a task on each worker, as a multiple of its kind's.
    pub slowness: Vec<f64>,
    /// Part of the tasks that run for several times as long, and how many times.
    pub tail: (f64, f64),
    pub counts: Counts,
}

impl LargeFleet {
    /// A fleet that has just started.
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
            due: [0.0; KINDS.len()],
            rng,
            lives: 0,
            last_session: 0,
            last_job: 0,
            open: HashMap::new(),
            watched: None,
            scheduling: Scheduling::default(),
            slowness: vec![1.0; gates],
            tail: (0.0, 1.0),
            counts: Counts::default(),
        };
        fleet.start_all();
        fleet
    }

    fn next_life(&mut self, name: String) -> ProcessId {
        self.lives += 1;
        ProcessId {
            name: name.into(),
            incarnation: self.lives,
        }
    }

    fn start_all(&mut self) {
        let records: Vec<GateRecord> = (0..self.gates.len()).map(record).collect();
        for index in 0..self.gates.len() {
            let me = self.next_life(gate_name(index));
            self.gates[index] = Some(GateSide::new(me, self.limits));
        }
        for index in 0..self.entries.len() {
            let me = self.next_life(format!("entry-{index}"));
            let now = self.now();
            let mut side = EntrySide::new(now, me, self.limits, &records);
            side.dispatcher.set_scheduling(self.scheduling);
            self.entries[index] = Some(side);
        }
    }

    /// The configuration turns on parts of the scheduler.
    pub fn schedule(&mut self, scheduling: Scheduling) {
        self.scheduling = scheduling;
        for side in self.entries.iter_mut().flatten() {
            side.dispatcher.set_scheduling(scheduling);
        }
    }

    /// Run time of a task on a worker of usual speed.
    fn usual_us(&self, job: JobId, index: u32) -> f64 {
        let (part, times) = self.tail;
        let hash = xxh3_64(format!("{job}/{index}").as_bytes());
        let is_long = (hash as f64 / u64::MAX as f64) < part;
        let times = if is_long { times } else { 1.0 };
        JobKind::of(job).run_us as f64 * times
    }

    /// Run time of a task on a worker.
    fn work_us(&self, worker: usize, run: RunId) -> u64 {
        (self.usual_us(run.job, run.index) * self.slowness[worker]) as u64
    }

    /// Time in which a job is to be answered: by its longest task.
    fn objective_us(&self, job: JobId) -> u64 {
        let kind = JobKind::of(job);
        let tasks = (0..kind.tasks).map(|index| self.usual_us(job, index));
        let route = kind.route();
        (tasks.fold(0.0, f64::max) * route.stretch) as u64 + route.slack_us
    }

    /// All processes lose power, and are back after `away_us`.
    pub fn lose_power(&mut self, away_us: u64) {
        self.entries.iter_mut().for_each(|entry| *entry = None);
        self.gates.iter_mut().for_each(|gate| *gate = None);
        self.sessions.clear();
        self.to_gates.clear();
        self.to_entries.clear();
        self.run(away_us, 0.0);
        self.start_all();
    }

    /// An entry that takes `input_us` of processor time for each frame and job, and has
    /// `callers` more than others. Its answers are counted by themselves.
    pub fn press(&mut self, index: usize, input_us: u64, callers: usize) {
        self.watched = Some(index);
        self.callers.extend(std::iter::repeat_n(index, callers));
        if let Some(side) = &mut self.entries[index] {
            side.input_us = input_us;
        }
    }

    fn now(&self) -> Moment {
        Moment {
            mono_us: self.now_us,
            wall_ms: 0,
        }
    }

    /// Runs with `load` times the usual jobs; returns what was counted.
    pub fn run(&mut self, span_us: u64, load: f64) -> Counts {
        self.run_kinds(span_us, [load; KINDS.len()])
    }

    /// The same with a load for each kind: 8 tasks of 60 ms at priority 0, 4 of 900 ms at
    /// priority 2, 2 of 200 ms at priority 1.
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
                self.entry_turn(index);
            }
            for index in 0..self.gates.len() {
                self.gate_turn(index);
            }
        }
        self.counts.clone()
    }

    fn submit_due(&mut self, loads: [f64; KINDS.len()]) {
        let seconds = STEP_US as f64 / 1e6;
        for (index, kind) in KINDS.iter().enumerate() {
            self.due[index] +=
                kind.per_s_and_gate * self.gates.len() as f64 * seconds * loads[index];
            while self.due[index] >= 1.0 {
                self.due[index] -= 1.0;
                self.last_job += 1;
                let id = JobId(self.last_job * KINDS.len() as u64 + index as u64);
                let caller = self.rng.random_range(0..self.callers.len());
                self.submit(self.callers[caller], id);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(flight) = self.to_gates.pop_front_if(|one| one.at_us <= self.now_us) {
            self.gate_reads(flight);
        }
        while let Some(flight) = self.to_entries.pop_front_if(|one| one.at_us <= self.now_us) {
            self.entry_gets(flight);
        }
    }

    fn close(&mut self, session: SessionId) {
        let Some((entry, gate)) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(side) = &mut self.entries[entry] {
            side.closed(session);
        }
        if let Some(side) = &mut self.gates[gate] {
            side.gate.session_closed(session);
        }
    }

    fn count(&mut self, kind: Option<FrameKind>) {
        if let Some(kind) = kind {
            *self.counts.frames.entry(kind).or_default() += 1;
        }
    }

    /// Entries that take jobs now.
    pub fn ready_entries(&self) -> usize {
        let ready = |entry: &&EntrySide| entry.dispatcher.open_gates() > 0;
        self.entries.iter().flatten().filter(ready).count()
    }

    /// Gates with a session of some entry.
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

/// Every third worker is half as large again.
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
