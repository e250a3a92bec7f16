//! A worker in virtual time: runs what it is told, under a lease on its own clock.

use std::collections::{BTreeMap, HashMap};

use winghold::ephemeral::job::{JobId, Resources, RunId};
use winghold::ephemeral::worker::{
    EndedRow, PollCall, PollReply, RunningRow, StartCall, StartReply, WorkerEnd,
};
use winghold::ephemeral::worker_id::WorkerId;

/// How long a worker takes to stop a run.
const STOP_US: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct Running {
    started_us: u64,
    work_us: u64,
    stop_at_us: Option<u64>,
}

pub struct FakeWorker {
    pub id: WorkerId,
    /// When its clock started.
    clock_from_us: u64,
    pub up: bool,
    /// While it is down: nothing listens, which callers are told.
    pub refuses: bool,
    /// Lets orders go unanswered and does nothing.
    pub mute_until_us: u64,
    /// Runs stand still.
    pub hung: bool,
    pub capacity: Resources,
    rate: f64,
    running: BTreeMap<RunId, Running>,
    barred: HashMap<(JobId, u32), u32>,
    ended: Vec<EndedRow>,
    numbers: u64,
    lease_until_ms: u64,
    /// Highest fencing token seen.
    fence: u64,
}

impl FakeWorker {
    pub fn new(id: WorkerId, capacity: Resources, rate: f64) -> FakeWorker {
        FakeWorker {
            id,
            clock_from_us: 0,
            up: true,
            refuses: false,
            mute_until_us: 0,
            hung: false,
            capacity,
            rate,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            numbers: 0,
            lease_until_ms: 0,
            fence: 0,
        }
    }

    pub fn clock_ms(&self, now_us: u64) -> u64 {
        ((now_us - self.clock_from_us) as f64 * self.rate / 1_000.0) as u64 + 1_000
    }

    /// Whether a question is for it, as far as its name tells.
    pub fn is_named_in(&self, call: &PollCall) -> bool {
        let meant = call.worker.as_ref();
        meant.is_some_and(|meant| meant.name == self.id.name)
    }

    pub fn running(&self) -> impl Iterator<Item = RunId> {
        self.running.keys().copied()
    }

    pub fn runs(&self, job: JobId, index: u32) -> bool {
        self.running
            .keys()
            .any(|run| (run.job, run.index) == (job, index))
    }

    pub fn crash(&mut self, next_id: WorkerId) {
        let (capacity, rate) = (self.capacity, self.rate);
        *self = FakeWorker::new(next_id, capacity, rate);
    }

    /// Crashes and starts again under its name; its clock starts anew.
    pub fn restart(&mut self, now_us: u64, born_ms: u64) {
        let next = WorkerId {
            name: self.id.name.clone(),
            born_ms: Some(born_ms),
        };
        self.crash(next);
        self.clock_from_us = now_us;
    }

    /// Lets time pass: ends, stops and lapsed leases.
    pub fn advance(&mut self, now_us: u64) {
        let lapsed = self.clock_ms(now_us) > self.lease_until_ms;
        let mut over = Vec::new();
        for (run, state) in &self.running {
            let done = now_us >= state.started_us + state.work_us && !self.hung;
            let stopped = state.stop_at_us.is_some_and(|at| now_us >= at);
            match (done, stopped, lapsed) {
                (true, ..) => over.push((*run, WorkerEnd::Done)),
                (_, true, _) => over.push((*run, WorkerEnd::Stopped)),
                (_, _, true) => over.push((*run, WorkerEnd::LeaseExpired)),
                _ => {}
            }
        }
        for (run, end) in over {
            self.running.remove(&run);
            self.bar(run);
            self.numbers += 1;
            let number = self.numbers;
            self.ended.push(EndedRow { number, run, end });
        }
    }

    fn bar(&mut self, run: RunId) {
        let highest = self.barred.entry((run.job, run.index)).or_default();
        *highest = run.run.max(*highest);
    }

    /// Carries a start out; `true` if a new run began.
    pub fn start(&mut self, now_us: u64, call: &StartCall, work_us: u64) -> (StartReply, bool) {
        if call.worker.name != self.id.name {
            return (StartReply::OtherIncarnation, false);
        }
        if !self.admits(call.fence) {
            return (StartReply::Rejected, false);
        }
        if self.running.contains_key(&call.run) {
            return (StartReply::Running, false);
        }
        let highest = self.barred.get(&(call.run.job, call.run.index));
        if highest.is_some_and(|highest| *highest >= call.run.run) {
            return (StartReply::Stale, false);
        }
        if call.lease_until_ms <= self.clock_ms(now_us) {
            return (StartReply::Rejected, false);
        }
        self.lease_until_ms = self.lease_until_ms.max(call.lease_until_ms);
        let running = Running {
            started_us: now_us,
            work_us,
            stop_at_us: None,
        };
        self.running.insert(call.run, running);
        (StartReply::Running, true)
    }

    /// Notes a fencing token; `false` if a higher one was seen.
    fn admits(&mut self, fence: u64) -> bool {
        let admits = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admits
    }

    /// Bars or stops a run; `false`, and nothing done, under a fencing token that
    /// is too low.
    pub fn stop(&mut self, now_us: u64, run: RunId, fence: u64) -> bool {
        if !self.admits(fence) {
            return false;
        }
        match self.running.get_mut(&run) {
            Some(running) => {
                running.stop_at_us.get_or_insert(now_us + STOP_US);
            }
            None => self.bar(run),
        }
        true
    }

    pub fn hold(&mut self, now_us: u64, call: &PollCall) -> PollReply {
        if !self.admits(call.fence.unwrap_or(0)) {
            return PollReply {
                born_ms: self.id.born_ms,
                clock_ms: self.clock_ms(now_us),
                fenced: true,
                ..PollReply::default()
            };
        }
        if let Some(until_ms) = call.lease_until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until_ms);
        }
        self.ended.retain(|row| row.number > call.acked_end);
        let percent = |state: &Running| {
            let elapsed = now_us.saturating_sub(state.started_us) * 100;
            match self.hung {
                true => 0,
                false => (elapsed / state.work_us.max(1)).min(99) as u32,
            }
        };
        let running = self.running.iter().map(|(run, state)| RunningRow {
            run: *run,
            percent: percent(state),
        });
        PollReply {
            born_ms: self.id.born_ms,
            clock_ms: self.clock_ms(now_us),
            fenced: false,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn has_ended_since(&self, acked_end: u64) -> bool {
        self.ended.iter().any(|row| row.number > acked_end)
    }
}
