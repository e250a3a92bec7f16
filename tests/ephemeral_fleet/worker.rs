//! A simulated worker: it carries out orders under a lease on its own clock.

use std::collections::{BTreeMap, HashMap};

use winghold::ephemeral::job::{JobId, Resources, RunId};
use winghold::ephemeral::worker::{
    EndedRow, PollCall, PollReply, RunningRow, StartCall, StartReply, WorkerEnd,
};
use winghold::ephemeral::worker_id::WorkerId;

/// Time to stop a run.
const STOP_US: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct Running {
    started_us: u64,
    work_us: u64,
    stop_at_us: Option<u64>,
}

pub struct FakeWorker {
    pub id: WorkerId,
    /// When its clock was at its origin.
    clock_started_us: u64,
    pub up: bool,
    /// Whether connections are refused while it is down; else they get no answer.
    pub refuses: bool,
    /// Until then new connections are refused although it is up. The regular poll uses a
    /// connection that stays open.
    pub refuses_new_until_us: u64,
    /// Until then orders are not carried out and get no answer.
    pub unresponsive_until_us: u64,
    /// Whether its runs make no progress.
    pub hung: bool,
    pub capacity: Resources,
    clock_rate: f64,
    running: BTreeMap<RunId, Running>,
    barred: HashMap<(JobId, u32), u32>,
    ended: Vec<EndedRow>,
    last_end_number: u64,
    lease_until_ms: u64,
    /// Highest fencing token received.
    fence: u64,
}

impl FakeWorker {
    pub fn new(id: WorkerId, capacity: Resources, clock_rate: f64) -> FakeWorker {
        FakeWorker {
            id,
            clock_started_us: 0,
            up: true,
            refuses: false,
            refuses_new_until_us: 0,
            unresponsive_until_us: 0,
            hung: false,
            capacity,
            clock_rate,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            lease_until_ms: 0,
            fence: 0,
        }
    }

    pub fn clock_ms(&self, now_us: u64) -> u64 {
        ((now_us - self.clock_started_us) as f64 * self.clock_rate / 1_000.0) as u64 + 1_000
    }

    /// Whether a poll carries the name of this worker.
    pub fn is_addressed_by(&self, call: &PollCall) -> bool {
        let worker_id = call.worker.as_ref();
        worker_id.is_some_and(|worker_id| worker_id.name == self.id.name)
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
        let (capacity, clock_rate) = (self.capacity, self.clock_rate);
        *self = FakeWorker::new(next_id, capacity, clock_rate);
    }

    /// Crashes and restarts under the same name with a new clock.
    pub fn restart(&mut self, now_us: u64, born_ms: u64) {
        let next = WorkerId {
            name: self.id.name.clone(),
            born_ms: Some(born_ms),
        };
        self.crash(next);
        self.clock_started_us = now_us;
    }

    /// Ends runs that are done, stopped or without a lease, and returns them.
    pub fn advance(&mut self, now_us: u64) -> Vec<(RunId, WorkerEnd)> {
        let lapsed = self.clock_ms(now_us) > self.lease_until_ms;
        let mut finished = Vec::new();
        for (run, state) in &self.running {
            let done = now_us >= state.started_us + state.work_us && !self.hung;
            let stopped = state.stop_at_us.is_some_and(|at| now_us >= at);
            match (done, stopped, lapsed) {
                (true, ..) => finished.push((*run, WorkerEnd::Done)),
                (_, true, _) => finished.push((*run, WorkerEnd::Stopped)),
                (_, _, true) => finished.push((*run, WorkerEnd::LeaseExpired)),
                _ => {}
            }
        }
        for (run, end) in &finished {
            self.running.remove(run);
            self.bar(*run);
            self.last_end_number += 1;
            self.ended.push(EndedRow {
                number: self.last_end_number,
                run: *run,
                end: *end,
            });
        }
        finished
    }

    fn bar(&mut self, run: RunId) {
        let highest = self.barred.entry((run.job, run.index)).or_default();
        *highest = run.run.max(*highest);
    }

    /// Carries out a start; `true` if a new run began.
    pub fn start(&mut self, now_us: u64, call: &StartCall, work_us: u64) -> (StartReply, bool) {
        if call.worker.name != self.id.name {
            return (StartReply::OtherIncarnation, false);
        }
        if !self.accepts_fence(call.fence) {
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

    /// Records a fencing token; `false` if a higher one was received before.
    fn accepts_fence(&mut self, fence: u64) -> bool {
        let accepts_fence = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepts_fence
    }

    /// Stops a run, or bars it if it has not begun; `false` if the fencing token is too
    /// low.
    pub fn stop(&mut self, now_us: u64, run: RunId, fence: u64) -> bool {
        if !self.accepts_fence(fence) {
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

    pub fn poll(&mut self, now_us: u64, call: &PollCall) -> PollReply {
        if !self.accepts_fence(call.fence.unwrap_or(0)) {
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

    pub fn has_end_after(&self, acked_end: u64) -> bool {
        self.ended.iter().any(|row| row.number > acked_end)
    }
}
