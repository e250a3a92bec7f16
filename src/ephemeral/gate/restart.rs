//! A worker that starts again under the name it had.
//!
//! Orders name the worker, not its birth. One that was meant for the life before may come
//! to the next one, which carries it out if it has not seen a higher fencing token. So the
//! runs of the life before do not end with it: they are kept until the next life has seen
//! the gate's new token and listed what it runs. What is on that list goes on there, and
//! the rest is barred first. A worker of another name turns such orders away by itself.

use slog::info;

use super::life::lease_end_us;
use super::{Gate, Run, RunState};
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::RunEnd;
use crate::ephemeral::worker::HoldReply;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::Moment;

/// Which life gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnsweringLife {
    /// The one that was asked.
    Present,
    /// One of another birth.
    Another,
    /// It does not tell.
    Unknown,
}

/// What is kept between two lives of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    /// When it is given up if no life has reported by then.
    until_us: u64,
    /// Until when the next life may hold a lease that was meant for the one before.
    foreign_lease_us: u64,
}

impl Gate {
    /// Whether what names a worker without its birth, where workers tell it, is of another
    /// writer or of no life in particular.
    pub(super) fn lacks_birth(&self, id: &WorkerId) -> bool {
        self.births_told && id.born_ms.is_none()
    }

    /// Which life gave an answer to a question for the present one.
    pub(super) fn answering_life(&mut self, reply: &HoldReply) -> AnsweringLife {
        let expected = self.life.as_ref().and_then(|life| life.traits.id.born_ms);
        self.births_told |= reply.born_ms.is_some();
        match (expected, reply.born_ms) {
            // An answer that turns a token away lists nothing.
            (Some(_), None) if reply.fenced => AnsweringLife::Present,
            (Some(_), None) => AnsweringLife::Unknown,
            (expected, born_ms) if expected == born_ms => AnsweringLife::Present,
            _ => AnsweringLife::Another,
        }
    }

    /// The worker has started again under its name. `took_lease` is whether the next life
    /// may have taken a renewed lease that was meant for the one before: it takes its end
    /// for one on its own clock, which reads far less.
    pub(super) fn keep_runs(&mut self, now: Moment, took_lease: bool) {
        let may_start = self.runs.values().any(Run::is_unanswered);
        let foreign_lease_us = match took_lease || may_start {
            true => lease_end_us(now.mono_us, self.limits.max_lease),
            false => 0,
        };
        self.kept = Some(Kept {
            until_us: lease_end_us(now.mono_us, self.limits.lease).max(foreign_lease_us),
            foreign_lease_us,
        });
    }

    /// Until when the life that is followed now may hold a lease of the one before.
    pub(super) fn take_foreign_lease(&mut self) -> u64 {
        self.kept.take().map_or(0, |kept| kept.foreign_lease_us)
    }

    /// Keeps what was on the life before, or may still come to the next one.
    pub(super) fn hold_over(&mut self, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        info!(self.log, "run kept for the next life"; "run" => %run, "state" => ?record.state);
        record.mark = None;
        record.state = match record.state {
            // What the life before took note of bars nothing on the next one.
            RunState::Stopping {
                cause, since_us, ..
            } => RunState::Stopping {
                cause,
                began: true,
                since_us,
                asked_us: 0,
                acked_us: None,
            },
            _ => RunState::Claimed { began: true },
        };
    }

    /// Ends what was kept for a life that has not reported.
    pub(super) fn end_kept(&mut self, now: Moment) {
        if self.kept.is_none_or(|kept| now.mono_us <= kept.until_us) {
            return;
        }
        self.kept = None;
        let kept: Vec<RunId> = self.runs.keys().copied().collect();
        for run in kept {
            info!(self.log, "run of a life that did not come back"; "run" => %run);
            self.end(now, run, RunEnd::Stopped);
        }
    }
}
