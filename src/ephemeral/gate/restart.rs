//! Runs that are kept for the next incarnation of the worker.
//!
//! A worker may restart under the same name. Calls address the worker by name, so a start meant for the previous incarnation may
//! reach the next one, which accepts it unless it has seen a higher fencing token. The runs
//! of the previous incarnation are therefore kept until the next one has seen the gate's
//! new token and listed its runs. Listed runs continue; the others end once the next
//! incarnation has acknowledged a stop. A worker under another name rejects such calls
//! itself.
//!
//! A gate that has restarted may adopt an incarnation that ended before, from a delayed report or
//! an outdated record. The claimed runs are then on its successor, whatever its name, so they are
//! kept as well if the incarnation ends before it has listed its runs.

use slog::info;

use super::incarnation::lease_end_us;
use super::{Gate, Run, RunState};
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::RunEnd;
use crate::ephemeral::worker::PollReply;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::Moment;

/// Incarnation that gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnsweredBy {
    /// The one that was asked.
    Current,
    /// One with another start time.
    Another,
    /// The answer has no start time.
    Unknown,
}

/// State kept between two incarnations of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct CarryOver {
    /// Time at which the runs are ended if no incarnation has reported, in monotonic
    /// microseconds.
    until_us: u64,
    /// Time until which the next incarnation may hold a lease meant for the previous one, in
    /// monotonic microseconds; 0 if there is none.
    inherited_lease_us: u64,
}

impl Gate {
    /// Whether a start time is missing although workers report it.
    pub(super) fn lacks_start_time(&self, id: &WorkerId) -> bool {
        self.reports_start_time && id.born_ms.is_none()
    }

    /// Determines which incarnation answered a poll of the current one.
    pub(super) fn answered_by(&mut self, reply: &PollReply) -> AnsweredBy {
        let expected = self
            .incarnation
            .as_ref()
            .and_then(|incarnation| incarnation.traits.id.born_ms);
        self.reports_start_time |= reply.born_ms.is_some();
        match (expected, reply.born_ms) {
            // An answer that rejects the fencing token may lack the start time.
            (Some(_), None) if reply.fenced => AnsweredBy::Current,
            (Some(_), None) => AnsweredBy::Unknown,
            (expected, born_ms) if expected == born_ms => AnsweredBy::Current,
            _ => AnsweredBy::Another,
        }
    }

    /// Keeps the runs for the next incarnation. `may_have_lease` is whether it may have accepted
    /// a lease renewal meant for the previous one of the same name. As its clock has started
    /// anew, such a lease lasts longer on it, up to the maximum lease.
    pub(super) fn begin_carry_over(&mut self, now: Moment, may_have_lease: bool) {
        let may_start = self.runs.values().any(Run::is_first_start_unanswered);
        let inherited_lease_us = match may_have_lease || may_start {
            true => lease_end_us(now.mono_us, self.limits.max_lease),
            false => 0,
        };
        self.carry_over = Some(CarryOver {
            until_us: lease_end_us(now.mono_us, self.limits.lease).max(inherited_lease_us),
            inherited_lease_us,
        });
    }

    /// Ends the carry-over; returns the time until which the adopted incarnation may hold a
    /// lease of the previous one, or 0.
    pub(super) fn take_inherited_lease(&mut self) -> u64 {
        self.carry_over
            .take()
            .map_or(0, |kept| kept.inherited_lease_us)
    }

    /// Keeps a run that the next incarnation may have, or may still receive.
    pub(super) fn carry_over_run(&mut self, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        info!(self.log, "run kept for next incarnation"; "run" => %run, "state" => ?record.state);
        record.last_sample = None;
        record.state = match record.state {
            // A stop acknowledged by the previous incarnation has no effect on the next
            // one.
            RunState::Stopping {
                cause, since_us, ..
            } => RunState::Stopping {
                cause,
                began: true,
                since_us,
                sent_us: 0,
                acked_us: None,
            },
            RunState::Claimed { began } => RunState::Claimed { began },
            _ => RunState::Claimed { began: true },
        };
    }

    /// Ends the kept runs if no incarnation has reported in time.
    pub(super) fn expire_carry_over(&mut self, now: Moment) {
        if self
            .carry_over
            .is_none_or(|kept| now.mono_us <= kept.until_us)
        {
            return;
        }
        self.carry_over = None;
        let kept: Vec<RunId> = self.runs.keys().copied().collect();
        for run in kept {
            info!(self.log, "ending run: no report from worker after its restart"; "run" => %run);
            self.end(now, run, RunEnd::Stopped);
        }
    }
}
