//! Tasks that crash the workers that start them, and workers that are down for a while.

use std::collections::HashMap;

use winghold::ephemeral::job::{JobId, RunId};
use winghold::ephemeral::worker_id::WorkerId;

use super::Fleet;

/// Workers that must have crashed under a task whose job is shown as failed for it.
pub(super) const CRASHES_OF_FAILED: u32 = 2;
/// Workers that may crash under one task before its starts are counted.
const CRASHES: u32 = 3;
/// Time after a disturbance of a gate's machine in which its starts do not count: it may
/// not have been told yet what others know.
const OUT_OF_TOUCH_US: u64 = 3_000_000;
/// Starts after that which break the promise.
const STARTS_TOO_MANY: u32 = 3;

/// How a worker goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Its connections are reset, and nothing listens.
    Refuses,
    /// Without a word, like a machine without power.
    Silent,
}

/// What the tasks of a job do to their workers.
#[derive(Clone, Copy, Debug)]
pub struct Harm {
    /// Number of the task that does it; the others are harmless.
    pub index: u32,
    /// Time from its start to the crash.
    pub fuse_us: u64,
    /// How the worker goes down.
    pub down: Down,
    /// How long it stays down.
    pub down_us: u64,
}

#[derive(Debug)]
struct Due {
    at_us: u64,
    worker: usize,
    life: WorkerId,
    task: (JobId, u32),
    harm: Harm,
}

/// Crashes to come, and those that were.
#[derive(Debug, Default)]
pub struct Crashes {
    harms: HashMap<JobId, Harm>,
    due: Vec<Due>,
    /// Workers that crashed under each task.
    under: HashMap<(JobId, u32), u32>,
    /// Workers that crashed while they ran each task, whatever crashed them.
    lost_under: HashMap<(JobId, u32), u32>,
    /// Starts of each task after the last crash that is allowed.
    starts_after: HashMap<(JobId, u32), u32>,
    /// Workers that are down, by when they are back.
    back_us: HashMap<usize, u64>,
    /// Until when the machines of gates are disturbed.
    disturbed_us: HashMap<usize, u64>,
}

impl Fleet {
    /// The next job that is sent harms its workers so.
    pub fn next_job_harms(&mut self, harm: Harm) -> JobId {
        let job = JobId(self.jobs + 1);
        self.crashes.harms.insert(job, harm);
        job
    }

    /// Workers that crashed under the tasks of `job`.
    pub fn crashes_under(&self, job: JobId) -> u32 {
        let under = self.crashes.under.iter();
        under
            .filter(|(task, _)| task.0 == job)
            .map(|(_, n)| n)
            .sum()
    }

    /// Most workers that crashed while they ran one task of `job`, for whatever reason.
    pub fn lost_under(&self, job: JobId) -> u32 {
        let under = self.crashes.lost_under.iter();
        let of_job = under.filter(|(task, _)| task.0 == job);
        of_job.map(|(_, n)| *n).max().unwrap_or(0)
    }

    /// Notes what a worker that crashes now takes along.
    pub(super) fn note_crash(&mut self, worker: usize) {
        for run in self.workers[worker].running() {
            let task = (run.job, run.index);
            *self.crashes.lost_under.entry(task).or_default() += 1;
        }
    }

    /// A worker goes down for a while and comes back as another life.
    pub fn take_down(&mut self, index: usize, down: Down, down_us: u64) {
        self.crash_worker(index);
        let worker = &mut self.workers[index];
        worker.up = false;
        worker.refuses = down == Down::Refuses;
        self.crashes.back_us.insert(index, self.now_us + down_us);
    }

    /// A worker goes down for a while and starts again under its name. What waits in it, or
    /// comes while nothing listens, is gone; one that starts again at once gets what is on
    /// its way.
    pub fn take_down_and_restart(&mut self, index: usize, down: Down, down_us: u64) {
        self.restart_worker(index, 0);
        self.late.retain(|(_, order)| order.worker() != index);
        let worker = &mut self.workers[index];
        worker.up = false;
        worker.refuses = down == Down::Refuses;
        self.crashes.back_us.insert(index, self.now_us + down_us);
    }

    /// The machine of a gate is disturbed for a while from now on.
    pub fn disturb_gate(&mut self, gate: usize, for_us: u64) {
        let until_us = self.crashes.disturbed_us.entry(gate).or_default();
        *until_us = (*until_us).max(self.now_us + for_us);
    }

    fn in_touch(&self, gate: usize) -> bool {
        let until_us = self.crashes.disturbed_us.get(&gate);
        until_us.is_none_or(|until_us| self.now_us > until_us + OUT_OF_TOUCH_US)
    }

    /// A run began on a worker.
    pub(super) fn note_begin(&mut self, worker: usize, run: RunId) {
        let task = (run.job, run.index);
        let counts = self.in_touch(worker);
        if counts && self.crashes.under.get(&task).is_some_and(|n| *n >= CRASHES) {
            let starts = self.crashes.starts_after.entry(task).or_default();
            *starts += 1;
            if *starts == STARTS_TOO_MANY {
                let text = format!("{run} is one start too many under which workers crash");
                self.violations.push(text);
            }
        }
        let harm = self.crashes.harms.get(&run.job);
        if let Some(harm) = harm.filter(|harm| harm.index == run.index) {
            self.crashes.due.push(Due {
                at_us: self.now_us + harm.fuse_us,
                worker,
                life: self.workers[worker].id.clone(),
                task,
                harm: *harm,
            });
        }
    }

    pub(super) fn crashes_turn(&mut self) {
        let now_us = self.now_us;
        let back = self.crashes.back_us.extract_if(|_, at_us| *at_us <= now_us);
        for (index, _) in back {
            self.workers[index].up = true;
        }
        let due: Vec<Due> = self
            .crashes
            .due
            .extract_if(.., |due| due.at_us <= now_us)
            .collect();
        for due in due {
            // A run that was stopped before harms nobody.
            let worker = &self.workers[due.worker];
            if worker.id == due.life && worker.runs(due.task.0, due.task.1) {
                *self.crashes.under.entry(due.task).or_default() += 1;
                self.take_down(due.worker, due.harm.down, due.harm.down_us);
            }
        }
    }
}
