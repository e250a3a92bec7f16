//! Tasks that crash their workers, and temporary outages of workers.

use std::collections::HashMap;

use slog::debug;
use winghold::ephemeral::job::{JobId, RunId};
use winghold::ephemeral::worker_id::WorkerId;

use super::Fleet;

/// Minimum number of crashes under a task before its job may fail.
pub(super) const MIN_CRASHES_OF_FAILED_TASK: u32 = 2;
/// Number of crashes under a task after which further starts are counted.
const MAX_CRASHES_PER_TASK: u32 = 3;
/// Time after a fault of a gate in which its starts are not counted, as it may not have
/// received the losses yet.
const RECOVERY_US: u64 = 3_000_000;
/// Number of counted starts that is a violation.
const EXCESS_STARTS: u32 = 3;

/// How the outage of a worker looks to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are reset and new ones refused.
    Refuses,
    /// No answer at all, as after a loss of power.
    Silent,
}

/// How a task of a job crashes its worker.
#[derive(Clone, Copy, Debug)]
pub struct TaskCrash {
    /// Index of the task that crashes its worker.
    pub index: u32,
    /// Time from its start to the crash.
    pub delay_us: u64,
    pub outage: Outage,
    pub outage_us: u64,
}

#[derive(Debug)]
struct PendingCrash {
    at_us: u64,
    worker: usize,
    worker_id: WorkerId,
    task: (JobId, u32),
    crash: TaskCrash,
}

/// The announced end of a worker.
#[derive(Debug)]
struct PendingDeparture {
    at_us: u64,
    worker: usize,
    worker_id: WorkerId,
    outage_us: u64,
}

/// Scheduled and past crashes.
#[derive(Debug, Default)]
pub struct Crashes {
    task_crashes: HashMap<JobId, TaskCrash>,
    pending: Vec<PendingCrash>,
    departures: Vec<PendingDeparture>,
    /// Number of crashes that each task caused.
    caused: HashMap<(JobId, u32), u32>,
    /// Number of crashes while each task ran, whatever the cause.
    crashes_while_running: HashMap<(JobId, u32), u32>,
    /// Starts of each task after the last allowed crash.
    excess_starts: HashMap<(JobId, u32), u32>,
    /// When each worker that is down comes back.
    restart_at_us: HashMap<usize, u64>,
    /// When the fault of each gate ends.
    disturbed_until_us: HashMap<usize, u64>,
}

impl Fleet {
    /// Makes the next submitted job crash its workers.
    pub fn next_job_crashes(&mut self, crash: TaskCrash) -> JobId {
        let job = JobId(self.last_job + 1);
        self.crashes.task_crashes.insert(job, crash);
        job
    }

    /// Number of crashes that the tasks of `job` caused.
    pub fn crashes_caused_by(&self, job: JobId) -> u32 {
        let tasks = self.crashes.caused.iter();
        tasks
            .filter(|(task, _)| task.0 == job)
            .map(|(_, n)| n)
            .sum()
    }

    /// Highest number of crashes while one task of `job` ran, whatever the cause.
    pub fn crashes_while_running(&self, job: JobId) -> u32 {
        let tasks = self.crashes.crashes_while_running.iter();
        let of_job = tasks.filter(|(task, _)| task.0 == job);
        of_job.map(|(_, n)| *n).max().unwrap_or(0)
    }

    /// Counts a crash for each task that runs on the worker.
    pub(super) fn record_crash(&mut self, worker: usize) {
        for run in self.workers[worker].running() {
            let task = (run.job, run.index);
            *self.crashes.crashes_while_running.entry(task).or_default() += 1;
        }
    }

    /// Crashes a worker; it comes back after the outage under a new name.
    pub fn take_down(&mut self, index: usize, outage: Outage, outage_us: u64) {
        self.crash_worker(index);
        let worker = &mut self.workers[index];
        worker.up = false;
        worker.refuses = outage == Outage::Refuses;
        self.crashes
            .restart_at_us
            .insert(index, self.now_us + outage_us);
    }

    /// Crashes a worker; it comes back after the outage under the same name. Orders that
    /// are still to be carried out are lost.
    pub fn take_down_and_restart(&mut self, index: usize, outage: Outage, outage_us: u64) {
        self.restart_worker(index, 0);
        self.late.retain(|(_, order)| order.worker() != index);
        let worker = &mut self.workers[index];
        worker.up = false;
        worker.refuses = outage == Outage::Refuses;
        self.crashes
            .restart_at_us
            .insert(index, self.now_us + outage_us);
    }

    /// Makes a worker refuse new connections for `for_us` while its runs continue.
    pub fn refuse_new_connections(&mut self, index: usize, for_us: u64) {
        debug!(self.log, "worker refuses connections"; "worker" => index, "for_us" => for_us);
        self.workers[index].refuses_new_until_us = self.now_us + for_us;
    }

    /// Announces the end of a worker to its gate. The worker continues its runs for `lives_us`,
    /// then ends and refuses connections; another one takes its place after `outage_us`.
    pub fn deregister_worker(&mut self, index: usize, lives_us: u64, outage_us: u64) {
        let now = self.gate_moment(index);
        let worker_id = self.workers[index].id.clone();
        if !self.workers[index].up {
            return;
        }
        debug!(self.log, "worker deregistered"; "worker" => %worker_id, "lives_us" => lives_us);
        if let Some(process) = &mut self.gates[index] {
            process.gate.worker_left(now, &worker_id);
        }
        self.crashes.departures.push(PendingDeparture {
            at_us: self.now_us + lives_us,
            worker: index,
            worker_id,
            outage_us,
        });
    }

    /// Notes a fault of a gate that lasts for `for_us`.
    pub fn disturb_gate(&mut self, gate: usize, for_us: u64) {
        let until_us = self.crashes.disturbed_until_us.entry(gate).or_default();
        *until_us = (*until_us).max(self.now_us + for_us);
    }

    fn has_recovered(&self, gate: usize) -> bool {
        let until_us = self.crashes.disturbed_until_us.get(&gate);
        until_us.is_none_or(|until_us| self.now_us > until_us + RECOVERY_US)
    }

    /// Counts a start and schedules the crash that the task causes.
    pub(super) fn record_start(&mut self, worker: usize, run: RunId) {
        let task = (run.job, run.index);
        let counted = self.has_recovered(worker);
        if counted
            && self
                .crashes
                .caused
                .get(&task)
                .is_some_and(|n| *n >= MAX_CRASHES_PER_TASK)
        {
            let starts = self.crashes.excess_starts.entry(task).or_default();
            *starts += 1;
            if *starts == EXCESS_STARTS {
                let text = format!(
                    "{run} is start {EXCESS_STARTS} after its task crashed {MAX_CRASHES_PER_TASK} workers"
                );
                self.violations.push(text);
            }
        }
        let crash = self.crashes.task_crashes.get(&run.job);
        if let Some(crash) = crash.filter(|crash| crash.index == run.index) {
            self.crashes.pending.push(PendingCrash {
                at_us: self.now_us + crash.delay_us,
                worker,
                worker_id: self.workers[worker].id.clone(),
                task,
                crash: *crash,
            });
        }
    }

    pub(super) fn step_crashes(&mut self) {
        let now_us = self.now_us;
        let restarted = self
            .crashes
            .restart_at_us
            .extract_if(|_, at_us| *at_us <= now_us);
        for (index, _) in restarted {
            self.workers[index].up = true;
        }
        self.end_departed_workers();
        let due: Vec<PendingCrash> = self
            .crashes
            .pending
            .extract_if(.., |due| due.at_us <= now_us)
            .collect();
        for due in due {
            // A run that was stopped in time does not crash its worker.
            let worker = &self.workers[due.worker];
            if worker.id == due.worker_id && worker.runs(due.task.0, due.task.1) {
                *self.crashes.caused.entry(due.task).or_default() += 1;
                self.take_down(due.worker, due.crash.outage, due.crash.outage_us);
            }
        }
    }

    fn end_departed_workers(&mut self) {
        let now_us = self.now_us;
        let due: Vec<PendingDeparture> = self
            .crashes
            .departures
            .extract_if(.., |due| due.at_us <= now_us)
            .collect();
        for due in due {
            if self.workers[due.worker].id == due.worker_id {
                self.take_down(due.worker, Outage::Refuses, due.outage_us);
            }
        }
    }
}
