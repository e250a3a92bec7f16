//! Queue of runs that wait for room on the worker.

use slog::{debug, info};

use super::headroom::Candidate;
use super::{EndedRun, Gate, GateAction, ProgressSample, Run, RunState};
use crate::ephemeral::job::{Priority, RunId};
use crate::ephemeral::message::{NotRunReason, ProcessId, QueueLoad, RunEnd, StartOrder, ToEntry};
use crate::ephemeral::worker::StartCall;
use crate::time::Moment;

/// Position of a run in the queue: by priority, then by latest start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub priority: Priority,
    /// Latest start time, in monotonic microseconds.
    pub latest_start_us: u64,
    pub run: RunId,
}

impl Gate {
    /// Queues a run, or reports at once why it cannot run here.
    pub(super) fn admit(&mut self, now: Moment, owner: ProcessId, order: StartOrder) {
        let run = order.run;
        if let Some(ended) = self.ended_run(&owner, run) {
            let message = ended.report(run);
            self.send(&owner, message);
            return;
        }
        if let Some(other) = self.unfinished_run_of_task(run) {
            info!(self.log, "start refused: task has an unfinished run"; "run" => %run,
                "other" => %other);
            let reason = NotRunReason::AlreadyHere;
            let end = RunEnd::NotRun(reason);
            self.send(
                &owner,
                ToEntry::Ended {
                    run,
                    end,
                    run_us: 0,
                },
            );
            return;
        }
        self.health.set_by_median(order.by_median);
        let position = QueuePosition {
            priority: order.priority,
            latest_start_us: now.mono_us + order.due_us,
            run,
        };
        let until_us = now.mono_us + order.patience_us;
        let refusal = self.refusal_of(now, &order);
        let record = Run {
            owner,
            needs: order.needs,
            payload: order.payload.clone(),
            expected_us: order.expected_us,
            movable: order.movable,
            implicated: order.implicated,
            leaves_headroom: order.leaves_headroom,
            queued_or_started_us: now.mono_us,
            first_start_us: now.mono_us,
            state: RunState::Queued { position, until_us },
            last_wanted_us: None,
            listed: false,
            last_sample: None,
        };
        self.runs.insert(run, record);
        if order.leaves_headroom {
            self.headroom.observe(now, &order);
        }
        if let Some(reason) = refusal {
            self.end(now, run, RunEnd::NotRun(reason));
            return;
        }
        self.queue.insert(position);
        self.load_changed = true;
        self.adjust_patience(now, &position, &order);
        if order.patience_us == 0 {
            self.start_queued(now);
            self.expire_queued(now);
        }
    }

    /// Reason why an order cannot be carried out here, if there is one.
    fn refusal_of(&self, now: Moment, order: &StartOrder) -> Option<NotRunReason> {
        if order.implicated && self.has_implicated_run() {
            return Some(NotRunReason::Apart);
        }
        self.refusal(now).or_else(|| self.label_refusal(order))
    }

    /// Refuses an order that was placed by the labels of an earlier worker.
    fn label_refusal(&self, order: &StartOrder) -> Option<NotRunReason> {
        let traits = &self.incarnation.as_ref()?.traits;
        let label = order.label.as_ref()?;
        if traits.labels.contains(label) {
            return None;
        }
        info!(self.log, "start refused: worker lacks the required label"; "run" => %order.run,
            "worker" => %traits.id);
        Some(NotRunReason::NoWorker)
    }

    /// Whether there is a run, of any entry, whose task has lost a worker before. If two such
    /// runs shared a worker, its loss could not be attributed to one of them.
    fn has_implicated_run(&self) -> bool {
        self.runs.values().any(|run| run.implicated)
    }

    /// An unfinished run of the same task.
    fn unfinished_run_of_task(&self, run: RunId) -> Option<RunId> {
        let first = RunId { run: 0, ..run };
        let last = RunId {
            run: u32::MAX,
            ..run
        };
        let mut runs = self.runs.range(first..=last);
        runs.next().map(|(other, _)| *other)
    }

    pub(super) fn ended_run(&self, owner: &ProcessId, run: RunId) -> Option<&EndedRun> {
        self.ended_runs
            .get(&run)
            .filter(|ended| ended.owner == *owner)
    }

    /// Starts queued runs that fit, in queue order. If a run does not fit, less urgent ones
    /// wait as well, or large runs would starve.
    pub(super) fn start_queued(&mut self, now: Moment) {
        // A start renews the lease, so there is none while a stop is overdue.
        if !self.takes_work(now) {
            return;
        }
        let startable = |position: &&QueuePosition| self.may_start(now, position.run);
        let waiting: Vec<QueuePosition> = self.queue.iter().filter(startable).copied().collect();
        let mut blocked: Option<Priority> = None;
        for position in waiting {
            if blocked.is_some_and(|blocked| position.priority > blocked) {
                break;
            }
            let busy = self.health.is_suspect() && self.runs.values().any(Run::is_dispatched);
            let needs = self.runs[&position.run].needs;
            if busy
                || !self.fits_with_headroom(now, &position)
                || !self.room.try_reserve(position.run, needs)
            {
                blocked.get_or_insert(position.priority);
                continue;
            }
            self.queue.remove(&position);
            self.start_run(now, position.run);
        }
    }

    /// Whether a queued run and its owner are in time, which `tick` may not have checked yet. A
    /// run that arrived now did so in time.
    fn may_start(&self, now: Moment, run: RunId) -> bool {
        let record = &self.runs[&run];
        let arrived_now = record.queued_or_started_us == now.mono_us;
        arrived_now || !record.is_overdue(now) && self.is_entry_alive(now, &record.owner)
    }

    /// Whether the run would leave the required headroom if it started now; `true` if none is
    /// required, even if there is no room for the run.
    fn fits_with_headroom(&self, now: Moment, position: &QueuePosition) -> bool {
        let cpu_milli = self.runs[&position.run].needs.cpu_milli;
        let wanted = cpu_milli + self.headroom_for_queued(now, position);
        wanted <= self.room.free().cpu_milli.max(cpu_milli)
    }

    /// Headroom that a queued run must leave, in thousandths of a core.
    pub(super) fn headroom_for_queued(&self, now: Moment, position: &QueuePosition) -> u64 {
        let record = &self.runs[&position.run];
        if !record.leaves_headroom {
            return 0;
        }
        let candidate = Candidate {
            priority: position.priority,
            cpu_milli: record.needs.cpu_milli,
            run_us: record.expected_us,
        };
        self.headroom_for(now, &candidate)
    }

    /// Headroom that a run with these needs must leave, in thousandths of a core.
    pub(super) fn headroom_for(&self, now: Moment, run: &Candidate) -> u64 {
        let next_us = self.next_end_us(now);
        let capacity = self.room.capacity().cpu_milli;
        self.headroom.required(now, run, next_us, capacity)
    }

    fn start_run(&mut self, now: Moment, run: RunId) {
        if let Some(record) = self.runs.get(&run) {
            let waited_us = now.mono_us.saturating_sub(record.queued_or_started_us);
            debug!(self.log, "run ordered"; "run" => %run, "waited_us" => waited_us,
                "free_cpu_milli" => self.room.free().cpu_milli,
                "entry" => &*record.owner.name);
        }
        self.send_start(now, run, 0);
    }

    /// Sends the start of a run to the worker; `resent` counts the previous attempts.
    pub(super) fn send_start(&mut self, now: Moment, run: RunId, resent: u32) {
        let lease = self.limits.lease;
        let (Some(incarnation), Some(record)) = (&mut self.incarnation, self.runs.get_mut(&run))
        else {
            return;
        };
        let sent_us = now.mono_us;
        record.state = RunState::Starting { sent_us, resent };
        record.queued_or_started_us = now.mono_us;
        if resent == 0 {
            record.first_start_us = now.mono_us;
        }
        record.last_sample = Some(ProgressSample::new(now.mono_us, 0));
        self.load_changed = true;
        self.actions.push(GateAction::Start(StartCall {
            worker: incarnation.id(),
            run,
            payload: record.payload.clone(),
            lease_until_ms: incarnation.grant_lease(now, lease),
            fence: incarnation.fence.unwrap_or(0),
            timeout: self.answer_times.timeout(),
        }));
    }

    pub(super) fn expire_queued(&mut self, now: Moment) {
        let late = |run: &RunId| {
            self.runs
                .get(run)
                .is_some_and(|record| record.is_overdue(now))
        };
        let waiting = self.queue.iter().map(|position| position.run);
        let late: Vec<RunId> = waiting.filter(late).collect();
        for run in late {
            self.end(now, run, RunEnd::NotRun(NotRunReason::NoRoom));
        }
    }

    pub(super) fn refuse_queued(&mut self, now: Moment, reason: NotRunReason) {
        let waiting: Vec<RunId> = self.queue.iter().map(|position| position.run).collect();
        for run in waiting {
            self.end(now, run, RunEnd::NotRun(reason));
        }
    }

    /// Queued work ahead of a new run, for each priority at which it changes.
    pub(super) fn queues(&self, now: Moment) -> Vec<QueueLoad> {
        let waiting = self.queue.iter().map(|position| position.priority);
        let mut priorities: Vec<Priority> = std::iter::once(Priority::URGENT)
            .chain(waiting)
            .chain(self.headroom.priorities(now))
            .collect();
        priorities.sort_unstable();
        priorities.dedup();
        let queues = priorities.into_iter();
        queues
            .map(|priority| self.queue_load(now, priority))
            .collect()
    }

    fn queue_load(&self, now: Moment, priority: Priority) -> QueueLoad {
        let ahead = self
            .queue
            .iter()
            .filter(|position| position.priority <= priority);
        let needs = ahead.map(|position| self.runs[&position.run].needs.cpu_milli);
        let queued: u64 = needs.sum();
        let typical = self.headroom.typical_run(priority);
        let cpu_milli = queued + self.headroom_for(now, &typical);
        let forecast = self.forecast(now);
        QueueLoad {
            priority,
            cpu_milli,
            wait_us: forecast.wait_us(cpu_milli + forecast.mean_cpu_milli()),
        }
    }
}
