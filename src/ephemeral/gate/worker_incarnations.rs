//! Tracks the incarnations of the worker: discovery, replacement, loss and lease expiry.
//!
//! A report of another incarnation may come from a newer one, or be a delayed report of an
//! earlier one. Start times cannot settle this, as clocks may be set back. The gate keeps the
//! reported incarnation as the successor and adopts it only once the current one is known to
//! have ended. Otherwise it would release room that is still in use.

use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};

use super::health::Health;
use super::incarnation::Incarnation;
use super::{Gate, GateAction, Run, STOP_RETRY_DELAY};
use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{NotRunReason, RunEnd};
use crate::ephemeral::worker::WorkerReport;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Consecutive unanswered calls from which the worker counts as unresponsive, together with
/// [`UNRESPONSIVE_AFTER`]; single messages get lost.
pub(super) const UNRESPONSIVE_MISSES: u32 = 3;
/// Time without an answer after which the worker counts as unresponsive, together with
/// [`UNRESPONSIVE_MISSES`]; three calls in sequence may be lost.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(120);
/// Number of past incarnations whose delayed reports are recognised. Few, as these arrive within
/// seconds and an incarnation takes longer to start.
const MAX_PAST_INCARNATIONS: usize = 16;

/// Another incarnation of the worker, reported while the current one exists.
#[derive(Debug)]
pub(super) struct Successor {
    report: WorkerReport,
    /// Arrival time of the report, in monotonic microseconds.
    reported_us: u64,
}

/// Kind of a call to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Start,
    Stop,
    Poll,
}

impl CallKind {
    /// Name for log lines.
    fn name(self) -> &'static str {
        match self {
            CallKind::Start => "start",
            CallKind::Stop => "stop",
            CallKind::Poll => "poll",
        }
    }
}

/// How the gate learned that an incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationEnd {
    /// It announced its end.
    Left,
    /// Its address refuses connections.
    NothingListens,
    /// Another incarnation answered.
    AnotherIncarnation,
    /// It does not answer, and another incarnation was reported.
    Unresponsive,
}

impl IncarnationEnd {
    /// Description for the log.
    fn name(self) -> &'static str {
        match self {
            IncarnationEnd::Left => "left",
            IncarnationEnd::NothingListens => "connection refused",
            IncarnationEnd::AnotherIncarnation => "another incarnation answered",
            IncarnationEnd::Unresponsive => "unresponsive, and another incarnation reported",
        }
    }
}

impl Gate {
    /// Handles a report of the worker.
    pub fn worker_report(&mut self, now: Moment, report: WorkerReport) {
        if self.lacks_start_time(&report.id) {
            warn!(self.log, "ignored worker report without start time"; "worker" => %report.id);
            return;
        }
        if !self.is_current(&report.id) && !self.consider_incarnation(now, &report) {
            return;
        }
        self.update_incarnation(now, &report);
    }

    /// Applies a report of the current incarnation.
    fn update_incarnation(&mut self, now: Moment, report: &WorkerReport) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if report.addr != incarnation.addr {
            // It is of another writer, or of an incarnation that has replaced one of the same name
            // without a start time; the known address shows that by refusing connections.
            warn!(self.log, "ignored worker report with another address"; "worker" => %report.id,
                "addr" => &report.addr, "known_addr" => &incarnation.addr);
            return;
        }
        if report.sequence < incarnation.sequence {
            debug!(self.log, "ignored outdated worker report"; "sequence" => report.sequence);
            return;
        }
        incarnation.sequence = report.sequence;
        incarnation.update_clock(now, report.clock_ms);
        if incarnation.traits.capacity != report.capacity {
            info!(self.log, "worker capacity changed"; "worker" => %report.id,
                "cpu_milli" => report.capacity.cpu_milli,
                "before_cpu_milli" => incarnation.traits.capacity.cpu_milli);
            let mut record = report.record();
            let before = &incarnation.traits.largest;
            record.traits.largest = report.capacity.max_of_each(before);
            incarnation.traits = Arc::new(record.traits.clone());
            self.room.resize(report.capacity);
            self.load_changed = true;
            self.announcement.record_capacity_change();
            self.actions.push(GateAction::SetWorker(record));
        }
        if report.leaving && !incarnation.leaving {
            info!(self.log, "worker is leaving"; "worker" => %report.id,
                "leaves_in_ms" => report.leaves_in_ms);
            self.mark_leaving(now);
        }
    }

    /// Starts nothing more on the current incarnation; its runs continue.
    fn mark_leaving(&mut self, now: Moment) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.leaving = true;
        }
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::Leaving);
    }

    /// Handles a report of an incarnation other than the current one. Adopts it and returns
    /// `true` if there is no current one.
    fn consider_incarnation(&mut self, now: Moment, report: &WorkerReport) -> bool {
        if self.past_incarnations.contains(&report.id) {
            info!(self.log, "ignored report of past incarnation"; "worker" => %report.id,
                "sequence" => report.sequence);
            return false;
        }
        if self.incarnation.is_none() {
            self.adopt_reported(now, report);
            return true;
        }
        info!(self.log, "report of another incarnation"; "worker" => %report.id,
            "leaving" => report.leaving);
        self.successor = Some(Successor {
            report: report.clone(),
            reported_us: now.mono_us,
        });
        self.check_incarnation();
        false
    }

    fn adopt_reported(&mut self, now: Moment, report: &WorkerReport) {
        info!(self.log, "worker found"; "worker" => %report.id, "addr" => &report.addr,
            "cpu_milli" => report.capacity.cpu_milli, "leaving" => report.leaving);
        self.adopt_incarnation(now, &report.record());
    }

    /// Drops a successor that was reported before `asked_us`, the time of a call that the
    /// current incarnation has answered. A current incarnation that is leaving keeps its
    /// successor.
    pub(super) fn dismiss_successor(&mut self, asked_us: u64) {
        let stays = self
            .incarnation
            .as_ref()
            .is_some_and(|incarnation| !incarnation.leaving);
        let old = |successor: &Successor| stays && successor.reported_us <= asked_us;
        if let Some(successor) = self.successor.take_if(|successor| old(successor)) {
            info!(self.log, "dropped report of past incarnation"; "worker" => %successor.report.id);
        }
    }

    /// Adopts the successor, if there is one.
    fn adopt_successor(&mut self, now: Moment) {
        if let Some(successor) = self.successor.take() {
            self.adopt_reported(now, &successor.report);
            self.update_incarnation(now, &successor.report);
        }
    }

    /// Ends an unresponsive incarnation whose lease has expired, if a successor was
    /// reported.
    pub(super) fn replace_unresponsive(&mut self, now: Moment) {
        let lease = self.limits.lease;
        let over = self
            .incarnation
            .as_ref()
            .is_some_and(|incarnation| incarnation.is_lease_expired(now, lease));
        if over && self.successor.is_some() && self.is_unresponsive(now) {
            if self.is_restart() {
                self.begin_carry_over(now, true);
            }
            self.end_incarnation(now, IncarnationEnd::Unresponsive);
        }
    }

    /// Whether the successor has the name of the current incarnation.
    fn is_restart(&self) -> bool {
        let current = self
            .incarnation
            .as_ref()
            .map(|incarnation| &incarnation.traits.id.name);
        let next = self.successor.as_ref().map(|next| &next.report.id.name);
        next.is_some() && next == current
    }

    /// Ignores further reports of this incarnation.
    fn mark_past(&mut self, id: &WorkerId) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.past_incarnations.push_back(id.clone());
    }

    /// Ends the current incarnation after another one has answered a call that was addressed
    /// to it, and ignores further reports of the ended one.
    pub(super) fn end_replaced_incarnation(&mut self, now: Moment) {
        if let Some(incarnation) = &self.incarnation {
            let id = incarnation.traits.id.clone();
            self.mark_past(&id);
        }
        self.end_incarnation(now, IncarnationEnd::AnotherIncarnation);
    }

    /// Adopts the worker recorded by a previous gate on this machine, unless one is known.
    /// Its answers show whether it has been replaced meanwhile.
    pub fn restore_worker(&mut self, now: Moment, worker: &WorkerRecord) {
        if self.incarnation.is_some() {
            return;
        }
        info!(self.log, "worker restored"; "worker" => %worker.traits.id, "addr" => &worker.addr);
        self.adopt_incarnation(now, worker);
    }

    fn adopt_incarnation(&mut self, now: Moment, worker: &WorkerRecord) {
        self.missed_answers = 0;
        self.missed_polls = 0;
        self.answered_us = now.mono_us;
        self.poll_failed_us = None;
        self.poll_disconnected_us = None;
        self.room.resize(worker.traits.capacity);
        let inherited_lease_us = self.take_inherited_lease();
        self.incarnation = Some(Incarnation::with_inherited_lease(
            worker,
            now,
            inherited_lease_us,
        ));
        self.health = Health::default();
        self.actions.push(GateAction::SetWorker(worker.clone()));
        self.load_changed = true;
    }

    /// Handles a worker's announcement that it ends. Its runs continue until it has ended, which
    /// may be seconds later if the acknowledgement is lost. They are therefore kept until its
    /// address refuses connections, another incarnation answers or its lease expires.
    pub fn worker_left(&mut self, now: Moment, id: &WorkerId) {
        if self.lacks_start_time(id) {
            // It may concern an earlier incarnation; the next poll shows whether it does.
            self.check_wanted = true;
            return;
        }
        self.mark_past(id);
        if !self.is_current(id) {
            return;
        }
        if self.may_have_runs() {
            info!(self.log, "worker deregistered with runs"; "worker" => %id,
                "runs" => self.runs.len());
            self.mark_leaving(now);
            self.check_wanted = true;
        } else {
            self.end_incarnation(now, IncarnationEnd::Left);
        }
    }

    /// Whether the current incarnation may have runs.
    fn may_have_runs(&self) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|incarnation| !incarnation.listed)
            || !self.unclaimed.is_empty()
            || self.runs.values().any(Run::is_dispatched)
    }

    /// Handles a refused connection. The worker may have closed its listening socket while its
    /// runs continue; if it has ended, the connection of the open poll breaks as well.
    pub(super) fn connection_refused(&mut self, now: Moment) {
        let has_runs = self.may_have_runs();
        match &mut self.incarnation {
            Some(incarnation) if incarnation.poll_open && has_runs => {
                if !std::mem::replace(&mut incarnation.refused, true) {
                    info!(self.log, "connection refused while the poll is open";
                        "worker" => %incarnation.traits.id);
                }
                // A check would be refused as well.
                self.check_wanted = false;
            }
            _ => self.end_incarnation(now, IncarnationEnd::NothingListens),
        }
    }

    /// Handles the broken connection of the regular poll. The worker has ended if another one
    /// was refused.
    pub(super) fn poll_broken(&mut self, now: Moment) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.poll_open = false;
        if incarnation.refused {
            self.end_incarnation(now, IncarnationEnd::NothingListens);
        }
    }

    /// Ends the current incarnation, and ends or carries over its runs.
    pub(super) fn end_incarnation(&mut self, now: Moment, end: IncarnationEnd) {
        let Some(incarnation) = self.incarnation.take() else {
            return;
        };
        if !incarnation.listed && self.carry_over.is_none() {
            // Without a run list, claimed runs may be on another incarnation: this one may come
            // from an outdated report or record.
            self.begin_carry_over(now, false);
        }
        let dispatched = self.runs.values().filter(|run| run.is_dispatched()).count();
        info!(self.log, "worker incarnation ended"; "worker" => %incarnation.traits.id,
            "why" => end.name(), "runs" => dispatched,
            "carried_over" => self.carry_over.is_some());
        // A worker that leaves announces it, so runs still on it are not counted as losses.
        if end != IncarnationEnd::Left && !incarnation.leaving {
            self.record_losses(now, &incarnation.traits.id);
        }
        self.suspected_losses.clear();
        self.unclaimed.clear();
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::NoWorker);
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            match self.carry_over {
                Some(_) => self.carry_over_run(run),
                None => self.end(now, run, RunEnd::Stopped),
            }
        }
        self.adopt_successor(now);
    }

    /// Whether this is the current incarnation of the worker.
    pub(super) fn is_current(&self, id: &WorkerId) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|incarnation| incarnation.traits.id == *id)
    }

    /// Whether the worker leaves calls unanswered.
    pub(super) fn is_unresponsive(&self, now: Moment) -> bool {
        self.missed_answers >= UNRESPONSIVE_MISSES
            && now.mono_us > self.answered_us + micros(UNRESPONSIVE_AFTER)
    }

    /// Records whether the worker answered a call of this kind.
    pub(super) fn record_answer(&mut self, now: Moment, call: CallKind, answered: bool) {
        let before = self.is_unresponsive(now);
        match answered {
            true => {
                self.missed_answers = 0;
                self.answered_us = now.mono_us;
                self.poll_failed_us = None;
                self.poll_disconnected_us = None;
            }
            false => {
                self.missed_answers += 1;
                self.check_wanted = true;
            }
        }
        let unresponsive = self.is_unresponsive(now);
        if unresponsive != before {
            info!(self.log, "worker responsiveness changed"; "answers" => !unresponsive,
                "call" => call.name());
            self.load_changed = true;
        }
        if unresponsive {
            self.refuse_queued(now, NotRunReason::NoWorker);
        }
    }

    /// Ends all dispatched runs once no lease can be in force, whether or not the worker
    /// reports them.
    pub(super) fn end_expired_lease(&mut self, now: Moment) {
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        if !incarnation.is_lease_expired(now, self.limits.lease) {
            return;
        }
        let dispatched: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.is_dispatched())
            .map(|(run, _)| *run)
            .collect();
        // A crashed worker may stop answering without any error, so it may be lost.
        if !incarnation.leaving {
            let worker = incarnation.traits.id.clone();
            self.suspect_losses(now, &worker);
        }
        for run in dispatched {
            info!(self.log, "lease expired, ending run"; "run" => %run);
            self.health.record_failure();
            self.end(now, run, RunEnd::Stopped);
        }
        self.unclaimed.clear();
    }

    /// Stops runs of a previous gate that no entry has claimed in time.
    pub(super) fn stop_unclaimed(&mut self, now: Moment) {
        let silence_us = micros(self.limits.peer_timeout);
        let mut sent = Vec::new();
        for (run, due_us) in &mut self.unclaimed {
            if *due_us <= now.mono_us {
                *due_us = now.mono_us + micros(STOP_RETRY_DELAY).max(silence_us / 4);
                sent.push(*run);
            }
        }
        for run in sent {
            info!(self.log, "stopping unclaimed run"; "run" => %run);
            self.send_stop(run);
            self.check_wanted = true;
        }
    }
}
