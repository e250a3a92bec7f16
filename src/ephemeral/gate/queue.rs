//! Runs that wait for room, and the order in which they get it.

use slog::{debug, info};

use super::headroom::Candidate;
use super::life::Life;
use super::{Gate, GateAction, Mark, PastRun, Run, RunState};
use crate::ephemeral::job::{Priority, RunId};
use crate::ephemeral::message::{NotRunReason, ProcessId, QueueLoad, RunEnd, StartOrder, ToEntry};
use crate::ephemeral::worker::StartCall;
use crate::time::Moment;

/// A run's place in the queue: by priority, then by the latest begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub priority: Priority,
    /// When it should begin, in monotonic microseconds.
    pub due_us: u64,
    pub run: RunId,
}

impl Gate {
    pub(super) fn admit(&mut self, now: Moment, owner: ProcessId, order: StartOrder) {
        let run = order.run;
        if let Some(past) = self.past_of(&owner, run) {
            let message = past.report(run);
            self.tell(&owner, message);
            return;
        }
        if let Some(other) = self.other_run(run) {
            info!(self.log, "task is here already"; "run" => %run, "other" => %other);
            let reason = NotRunReason::AlreadyHere;
            let end = RunEnd::NotRun(reason);
            self.tell(
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
        let place = Place {
            priority: order.priority,
            due_us: now.mono_us + order.due_us,
            run,
        };
        let until_us = now.mono_us + order.patience_us;
        let closed = match order.implicated && self.has_implicated() {
            true => Some(NotRunReason::Apart),
            false => self.closed(now),
        };
        let record = Run {
            owner,
            needs: order.needs,
            payload: order.payload.clone(),
            expected_us: order.expected_us,
            movable: order.movable,
            implicated: order.implicated,
            leaves_headroom: order.leaves_headroom,
            since_us: now.mono_us,
            ordered_us: now.mono_us,
            state: RunState::Queued { place, until_us },
            listed: false,
            mark: None,
        };
        self.runs.insert(run, record);
        if order.leaves_headroom {
            self.headroom.observe(now, &order);
        }
        if let Some(reason) = closed {
            self.end(now, run, RunEnd::NotRun(reason));
            return;
        }
        self.queue.insert(place);
        self.load_changed = true;
        self.adjust_patience(now, &place, &order);
        if order.patience_us == 0 {
            self.fill(now);
            self.refuse_late(now);
        }
    }

    /// Whether there is a run here, whoever sent it, of a task that a worker was lost under.
    ///
    /// Two of them on one worker that is lost as well would both seem to be to blame. Of
    /// 24,000 harmless jobs beside 320 that crash workers (40 cases in virtual time) none
    /// was given up, and 10 where entries alone kept their own apart.
    fn has_implicated(&self) -> bool {
        self.runs.values().any(|run| run.implicated)
    }

    /// A run of the same task that is not over yet.
    fn other_run(&self, run: RunId) -> Option<RunId> {
        let first = RunId { run: 0, ..run };
        let last = RunId {
            run: u32::MAX,
            ..run
        };
        let mut same = self.runs.range(first..=last);
        same.next().map(|(other, _)| *other)
    }

    pub(super) fn past_of(&self, owner: &ProcessId, run: RunId) -> Option<&PastRun> {
        self.past.get(&run).filter(|past| past.owner == *owner)
    }

    /// Begins what fits, in the order of the queue. Less urgent runs do not take
    /// the room that a more urgent one waits for: it would never become large enough.
    pub(super) fn fill(&mut self, now: Moment) {
        let open = self.closed(now).is_none() && self.unclaimed.is_empty();
        if !open || !self.life.as_ref().is_some_and(Life::ready) {
            return;
        }
        let waiting: Vec<Place> = self.queue.iter().copied().collect();
        let mut waits: Option<Priority> = None;
        for place in waiting {
            if waits.is_some_and(|waits| place.priority > waits) {
                break;
            }
            let busy = self.health.suspect() && self.runs.values().any(Run::is_out);
            let needs = self.runs[&place.run].needs;
            if busy || !self.leaves_headroom(now, &place) || !self.room.take(place.run, needs) {
                waits.get_or_insert(place.priority);
                continue;
            }
            self.queue.remove(&place);
            self.order(now, place.run);
        }
    }

    /// Whether a run leaves enough room free if it begins now.
    fn leaves_headroom(&self, now: Moment, place: &Place) -> bool {
        let cpu_milli = self.runs[&place.run].needs.cpu_milli;
        let wanted = cpu_milli + self.headroom_of(now, place);
        wanted <= self.room.free().cpu_milli.max(cpu_milli)
    }

    /// Processor time that a run leaves free.
    pub(super) fn headroom_of(&self, now: Moment, place: &Place) -> u64 {
        let record = &self.runs[&place.run];
        if !record.leaves_headroom {
            return 0;
        }
        let candidate = Candidate {
            priority: place.priority,
            cpu_milli: record.needs.cpu_milli,
            run_us: record.expected_us,
        };
        self.headroom_for(now, &candidate)
    }

    /// The same for a run that may come.
    pub(super) fn headroom_for(&self, now: Moment, run: &Candidate) -> u64 {
        let next_us = self.next_end_us(now);
        let capacity = self.room.capacity().cpu_milli;
        self.headroom.wanted(now, run, next_us, capacity)
    }

    fn order(&mut self, now: Moment, run: RunId) {
        if let Some(record) = self.runs.get(&run) {
            let waited_us = now.mono_us.saturating_sub(record.since_us);
            debug!(self.log, "run ordered"; "run" => %run, "waited_us" => waited_us,
                "free_cpu_milli" => self.room.free().cpu_milli);
        }
        self.send_start(now, run, 0);
    }

    /// Orders a run from the worker, for the first time or again.
    pub(super) fn send_start(&mut self, now: Moment, run: RunId, resent: u32) {
        let lease = self.limits.lease;
        let (Some(life), Some(record)) = (&mut self.life, self.runs.get_mut(&run)) else {
            return;
        };
        let asked_us = now.mono_us;
        record.state = RunState::Starting { asked_us, resent };
        record.since_us = now.mono_us;
        if resent == 0 {
            record.ordered_us = now.mono_us;
        }
        record.mark = Some(Mark::new(now.mono_us, 0));
        self.load_changed = true;
        self.actions.push(GateAction::Start(StartCall {
            worker: life.id(),
            run,
            payload: record.payload.clone(),
            lease_until_ms: life.lease_until(now, lease),
            fence: life.fence.unwrap_or(0),
            limit: self.answers.limit(),
        }));
    }

    pub(super) fn refuse_late(&mut self, now: Moment) {
        let late = |run: &RunId| {
            let state = self.runs.get(run).map(|record| record.state);
            matches!(state, Some(RunState::Queued { until_us, .. }) if until_us <= now.mono_us)
        };
        let waiting = self.queue.iter().map(|place| place.run);
        let late: Vec<RunId> = waiting.filter(late).collect();
        for run in late {
            self.end(now, run, RunEnd::NotRun(NotRunReason::NoRoom));
        }
    }

    pub(super) fn refuse_queued(&mut self, now: Moment, reason: NotRunReason) {
        let waiting: Vec<RunId> = self.queue.iter().map(|place| place.run).collect();
        for run in waiting {
            self.end(now, run, RunEnd::NotRun(reason));
        }
    }

    /// What waits ahead of a new run, for each priority at which that changes.
    pub(super) fn queues(&self, now: Moment) -> Vec<QueueLoad> {
        let waiting = self.queue.iter().map(|place| place.priority);
        let mut priorities: Vec<Priority> = std::iter::once(Priority::URGENT)
            .chain(waiting)
            .chain(self.headroom.priorities(now))
            .collect();
        priorities.sort_unstable();
        priorities.dedup();
        let queues = priorities.into_iter();
        queues
            .map(|priority| self.queue_ahead(now, priority))
            .collect()
    }

    fn queue_ahead(&self, now: Moment, priority: Priority) -> QueueLoad {
        let ahead = self.queue.iter().filter(|place| place.priority <= priority);
        let needs = ahead.map(|place| self.runs[&place.run].needs.cpu_milli);
        let queued: u64 = needs.sum();
        let usual = self.headroom.usual(priority);
        let cpu_milli = queued + self.headroom_for(now, &usual);
        let forecast = self.forecast(now);
        QueueLoad {
            priority,
            cpu_milli,
            wait_us: forecast.wait_us(cpu_milli + forecast.usual_cpu_milli()),
        }
    }
}
