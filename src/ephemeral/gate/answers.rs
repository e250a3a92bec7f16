//! Polls of the worker, and its answers to starts, stops and polls.

use std::time::Duration;

use slog::{debug, info, warn};

use super::restart::AnsweredBy;
use super::worker_incarnations::CallKind;
use super::{Gate, GateAction, RunState, StopCause};
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{NotRunReason, RunEnd, ToEntry};
use crate::ephemeral::worker::{
    EndedRow, PollCall, PollReply, RunningRow, StartAnswer, StartReply, WorkerCallError, WorkerEnd,
};
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Longest time that the worker holds a poll open while there are runs. Short, as the ends of
/// runs are received only with the next poll if one is lost.
pub(super) const BUSY_POLL_WAIT: Duration = Duration::from_millis(50);
/// Number of times that an unanswered start is repeated before the run is stopped. The
/// worker treats repeated starts of a run as one, in whichever order they arrive, so a lost start
/// costs only one answer timeout and the run keeps its place.
const MAX_START_RESENDS: u32 = 2;
/// Delay before an unanswered poll is repeated.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Consecutive unanswered polls that are repeated without backoff, as single calls may be
/// lost.
const POLL_MISSES_BEFORE_BACKOFF: u32 = 2;
/// Cap on the doublings of [`POLL_RETRY_DELAY`]; keeps the delay below the shortest lease. Without
/// backoff, a worker that breaks each connection would be dialed 50 times a second.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest time that the worker holds a poll open while there are no runs.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(200);

impl Gate {
    /// Handles the outcome of a start that was sent to the incarnation `worker`. Outcomes of
    /// starts sent to earlier incarnations do not affect the state of the current one.
    pub fn start_answered(
        &mut self,
        now: Moment,
        worker: &WorkerId,
        run: RunId,
        answer: Result<StartAnswer, WorkerCallError>,
    ) {
        self.resolve_unanswered_start(run, &answer);
        if !self.is_current(worker) {
            debug!(self.log, "ignored answer of past incarnation"; "run" => %run,
                "worker" => %worker);
            return;
        }
        let answer = answer.map(|answer| self.check_clock(now, answer));
        self.record_answer(now, CallKind::Start, answer.is_ok());
        let state = self.runs.get(&run).map(|record| record.state);
        let starting = matches!(state, Some(RunState::Starting { .. }));
        let was_resent = matches!(state, Some(RunState::Starting { resent, .. }) if resent > 0);
        if let Some(RunState::Starting { sent_us, resent }) = state {
            match &answer {
                Ok(_) => self
                    .answer_times
                    .record(now.mono_us.saturating_sub(sent_us)),
                Err(_) => self.answer_times.record_miss(),
            }
            let unanswered = matches!(answer, Err(WorkerCallError::Unanswered));
            let wanted = self.runs.get(&run).is_some_and(|record| {
                // After a stall of this process, an answer may be handled before `tick`
                // expires an owner that has been silent for too long.
                self.is_entry_alive(now, &record.owner)
            });
            let blocked = self.is_unresponsive(now)
                || self.evacuation.blocks_starts(now)
                || self.has_overdue_stop(now);
            if unanswered && wanted && resent < MAX_START_RESENDS && !blocked {
                info!(self.log, "start repeated"; "run" => %run, "resent" => resent + 1);
                self.send_start(now, run, resent + 1);
                return;
            }
        }
        match answer.map(|answer| answer.reply) {
            Ok(StartReply::Running) if starting => self.mark_running(run),
            Ok(StartReply::Running) => {}
            // An earlier attempt may have succeeded; the next list of runs shows it.
            Ok(StartReply::Stale | StartReply::Rejected) if was_resent => {
                self.stop(now, run, StopCause::Unanswered);
            }
            Ok(reply @ (StartReply::Stale | StartReply::Rejected)) if starting => {
                info!(self.log, "start rejected"; "run" => %run, "reply" => ?reply);
                self.end(now, run, RunEnd::NotRun(NotRunReason::Rejected));
            }
            Ok(StartReply::Stale | StartReply::Rejected) => {}
            Ok(StartReply::OtherIncarnation) => self.check_incarnation(),
            Err(WorkerCallError::OtherIncarnation) => {
                info!(self.log, "start not sent: another incarnation answered"; "run" => %run,
                    "worker" => %worker);
                self.check_incarnation();
                self.end_undelivered_start(now, run);
            }
            Err(WorkerCallError::Refused) => {
                self.connection_refused(now);
                self.end_undelivered_start(now, run);
            }
            Err(err) if starting => {
                info!(self.log, "start failed"; "run" => %run, "error" => %err);
                self.stop(now, run, StopCause::Unanswered);
            }
            Err(_) => {}
        }
    }

    /// Polls the worker at once, without the remaining retry delay, to find out whether the
    /// incarnation has ended.
    pub(super) fn check_incarnation(&mut self) {
        self.check_wanted = true;
        self.check_pending = false;
    }

    /// Ends a run whose last start certainly did not reach the worker.
    fn end_undelivered_start(&mut self, now: Moment, run: RunId) {
        let Some(record) = self.runs.get(&run) else {
            return;
        };
        match record.state {
            RunState::Starting { resent: 0, .. } => {
                self.end(now, run, RunEnd::NotRun(NotRunReason::NoWorker));
            }
            // An earlier attempt may have succeeded.
            RunState::Starting { .. } => self.stop(now, run, StopCause::Unanswered),
            _ => {}
        }
    }

    /// Updates the worker's clock from an answer to a start. A clock that reads less than
    /// expected belongs to a later incarnation of the same name.
    fn check_clock(&mut self, now: Moment, answer: StartAnswer) -> StartAnswer {
        let (Some(incarnation), Some(clock_ms)) = (&mut self.incarnation, answer.clock_ms) else {
            return answer;
        };
        if incarnation.is_clock_reset(now, clock_ms) {
            info!(self.log, "worker clock was reset"; "clock_ms" => clock_ms);
            return StartAnswer {
                reply: StartReply::OtherIncarnation,
                ..answer
            };
        }
        incarnation.update_clock(now, clock_ms);
        answer
    }

    fn mark_running(&mut self, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        record.state = RunState::Running;
        let owner = record.owner.clone();
        self.send(&owner, ToEntry::Began { run });
    }

    /// Handles the outcome of a stop that was sent to the incarnation `worker`.
    pub fn stop_answered(
        &mut self,
        now: Moment,
        worker: &WorkerId,
        run: RunId,
        answer: Result<(), WorkerCallError>,
    ) {
        if !self.is_current(worker) {
            return;
        }
        self.record_answer(now, CallKind::Stop, answer.is_ok());
        match answer {
            Ok(()) => {
                self.check_wanted = true;
                if let Some(record) = self.runs.get_mut(&run)
                    && let RunState::Stopping { acked_us, .. } = &mut record.state
                {
                    *acked_us = Some(now.mono_us);
                }
            }
            Err(WorkerCallError::OtherIncarnation) => self.check_incarnation(),
            Err(WorkerCallError::Refused) => self.connection_refused(now),
            Err(err) => {
                debug!(self.log, "stop failed"; "run" => %run, "error" => %err);
                self.retry_stop(now, run);
            }
        }
    }

    /// Repeats an unanswered stop, but no sooner than after the answer timeout: a stop that
    /// failed at once would fail again.
    fn retry_stop(&mut self, now: Moment, run: RunId) {
        let timeout_us = micros(self.answer_times.timeout());
        if let Some(record) = self.runs.get_mut(&run)
            && let RunState::Stopping {
                acked_us: None,
                sent_us,
                ..
            } = &mut record.state
            && now.mono_us >= *sent_us + timeout_us
        {
            *sent_us = now.mono_us;
            self.send_stop(run);
        }
    }

    /// Keeps one poll open at the worker, and sends a second one that returns at once when
    /// the end of a run has to be confirmed.
    pub(super) fn poll_worker(&mut self, now: Moment) {
        let lease = self.limits.lease;
        let unresponsive = self.is_unresponsive(now);
        let busy = !self.runs.is_empty();
        // A run without an owner must not outlive the lease that was granted before.
        let overdue_stop = self.has_overdue_stop(now);
        let orphans = !self.unclaimed.is_empty() || overdue_stop;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let wait = match (incarnation.listed && !unresponsive, busy) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_POLL_WAIT,
            (true, false) => IDLE_POLL_WAIT,
        };
        let wait_ms = wait.as_millis() as u64;
        let retry_delay = poll_retry_delay(self.missed_polls);
        let renewed_lease = |incarnation: &mut super::Incarnation| {
            let renews = incarnation.has_clock() && incarnation.listed && !unresponsive && !orphans;
            renews.then(|| incarnation.grant_lease(now, lease))
        };
        if !self.poll_pending {
            if overdue_stop {
                debug!(self.log, "lease not renewed: a stop is unconfirmed");
            }
            self.poll_pending = true;
            incarnation.poll_open = true;
            let call = PollCall {
                worker: Some(incarnation.id()),
                fence: incarnation.fence,
                lease_until_ms: renewed_lease(incarnation),
                acked_end: incarnation.acked_end,
                wait_ms,
                timeout: self.answer_times.timeout(),
                retry_delay,
                check: false,
            };
            self.actions.push(GateAction::Poll(call));
        } else if self.check_wanted && !self.check_pending {
            self.check_wanted = false;
            self.check_pending = true;
            let call = PollCall {
                worker: Some(incarnation.id()),
                fence: incarnation.fence,
                lease_until_ms: None,
                acked_end: incarnation.acked_end,
                wait_ms: 0,
                timeout: self.answer_times.timeout(),
                retry_delay,
                check: true,
            };
            self.actions.push(GateAction::Poll(call));
        }
    }

    /// Handles the outcome of a poll that was sent at `sent`.
    pub fn poll_answered(
        &mut self,
        now: Moment,
        sent: Moment,
        call: &PollCall,
        answer: Result<PollReply, WorkerCallError>,
    ) {
        match call.check {
            true => self.check_pending = false,
            false => self.poll_pending = false,
        }
        let current = self.incarnation.as_ref().map(super::Incarnation::id);
        if current != call.worker {
            return;
        }
        let by = answer.as_ref().ok().map(|reply| self.answered_by(reply));
        let answer = match by {
            Some(AnsweredBy::Unknown) => Err(WorkerCallError::Protocol),
            _ => answer,
        };
        if let Some(incarnation) = &mut self.incarnation
            && !call.check
        {
            incarnation.poll_open &= answer != Err(WorkerCallError::Refused);
            incarnation.refused &= answer.is_err();
        }
        self.record_answer(now, CallKind::Poll, answer.is_ok());
        self.missed_polls = match answer.is_ok() {
            true => 0,
            false => self.missed_polls.saturating_add(1),
        };
        match answer {
            Ok(_) if by == Some(AnsweredBy::Another) => {
                self.begin_carry_over(now, call.lease_until_ms.is_some());
                self.end_replaced_incarnation(now);
            }
            Ok(reply) => {
                self.suspected_losses.clear();
                self.dismiss_successor(sent.mono_us);
                self.apply_listing(now, sent, call, reply);
            }
            Err(WorkerCallError::OtherIncarnation) => self.end_replaced_incarnation(now),
            Err(WorkerCallError::Refused) => self.connection_refused(now),
            Err(err) => warn!(self.log, "poll failed"; "error" => %err),
        }
    }

    /// Handles an answer to a poll of the current incarnation, sent at `sent`: chooses a new
    /// fencing token, or applies the listed ended and running runs.
    fn apply_listing(&mut self, now: Moment, sent: Moment, call: &PollCall, reply: PollReply) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.update_clock(now, reply.clock_ms);
        if reply.fenced || call.fence.is_none() {
            // Lists are only valid once the worker rejects calls of earlier gates.
            self.fence_used = incarnation.choose_fence(&reply, self.fence_used);
            info!(self.log, "fencing token chosen"; "fence" => self.fence_used);
            return;
        }
        if call.fence != incarnation.fence {
            return;
        }
        let first = !incarnation.listed;
        incarnation.listed = true;
        let acked_end = incarnation.acked_end;
        for row in reply.ended.iter().filter(|row| row.number > acked_end) {
            self.apply_ended(now, row);
        }
        if first {
            self.find_unclaimed(now, &reply.running);
        }
        self.unclaimed
            .retain(|run, _| reply.running.iter().any(|row| row.run == *run));
        self.end_stopped_runs(now, sent, &reply.running);
        self.mark_listed(&reply.running);
        self.update_pace(now, &reply.running);
    }

    /// Finds the runs in the first list that no entry has claimed, and confirms those that
    /// one has.
    fn find_unclaimed(&mut self, now: Moment, running: &[RunningRow]) {
        for row in running {
            if let Some(record) = self.runs.get_mut(&row.run) {
                if matches!(record.state, RunState::Claimed { .. }) {
                    record.state = RunState::Running;
                }
                continue;
            }
            // If the run is listed although this gate has ended it, a delayed start meant for a
            // previous incarnation of the worker has reached this one. Its entry can no
            // longer claim it, so the claim window is zero and the next tick stops it.
            let already_ended = self.ended_runs.contains_key(&row.run);
            info!(self.log, "unclaimed run found"; "run" => %row.run, "ended" => already_ended);
            let claim_window = match already_ended {
                true => Duration::ZERO,
                false => self.limits.claim_window,
            };
            self.unclaimed
                .insert(row.run, now.mono_us + micros(claim_window));
        }
        self.stop_missing(now);
        self.load_changed = true;
    }

    /// Stops claimed runs that the first list does not contain, as a start of the previous
    /// gate may still be in flight.
    fn stop_missing(&mut self, now: Moment) {
        let missing: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| matches!(record.state, RunState::Claimed { .. }))
            .map(|(run, _)| *run)
            .collect();
        for run in missing {
            self.stop(now, run, StopCause::Unanswered);
        }
    }

    fn apply_ended(&mut self, now: Moment, row: &EndedRow) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.acked_end = incarnation.acked_end.max(row.number);
        }
        let state = self.runs.get(&row.run).map(|record| record.state);
        if matches!(state, Some(RunState::Queued { .. })) {
            info!(self.log, "ignored end of earlier run with same id"; "run" => %row.run);
            return;
        }
        let stalled = matches!(
            state,
            Some(RunState::Stopping {
                cause: StopCause::Stalled,
                ..
            })
        );
        let end = match row.end {
            WorkerEnd::Done => RunEnd::Done,
            WorkerEnd::Failed => RunEnd::Failed,
            WorkerEnd::Stopped | WorkerEnd::LeaseExpired if stalled => RunEnd::Stalled,
            WorkerEnd::Stopped | WorkerEnd::LeaseExpired => RunEnd::Stopped,
        };
        self.end(now, row.run, end);
    }

    /// Marks listed runs as begun, including those whose start was not answered.
    fn mark_listed(&mut self, running: &[RunningRow]) {
        for row in running {
            let Some(record) = self.runs.get_mut(&row.run) else {
                continue;
            };
            record.listed = true;
            match &mut record.state {
                RunState::Starting { .. } => self.mark_running(row.run),
                RunState::Stopping { began, .. } => *began = true,
                _ => {}
            }
        }
    }

    /// Ends the stopped runs that are no longer on the worker. `running` are the runs listed in
    /// the answer to a poll that was sent at `sent`. A missing run has ended if its stop was
    /// acknowledged before `sent`.
    fn end_stopped_runs(&mut self, now: Moment, sent: Moment, running: &[RunningRow]) {
        let missing: Vec<(RunId, bool)> = self
            .runs
            .iter()
            .filter_map(|(run, record)| match record.state {
                RunState::Stopping {
                    acked_us: Some(acked_us),
                    began,
                    ..
                } if acked_us < sent.mono_us => Some((*run, began)),
                _ => None,
            })
            .filter(|(run, _)| running.iter().all(|row| row.run != *run))
            .collect();
        for (run, began) in missing {
            let end = match began {
                true => RunEnd::Stopped,
                false => RunEnd::NotRun(NotRunReason::Unanswered),
            };
            self.end(now, run, end);
        }
    }
}

/// Delay before the next poll after `missed_polls` consecutive polls without an answer.
fn poll_retry_delay(missed_polls: u32) -> Duration {
    let doublings = missed_polls
        .saturating_sub(POLL_MISSES_BEFORE_BACKOFF)
        .min(MAX_BACKOFF_DOUBLINGS);
    POLL_RETRY_DELAY * 2u32.pow(doublings)
}
