//! Lives of the worker: found, recalled, mute, gone.
//!
//! A report of another life may be new or may have been under way since before the
//! present life began; nothing in it tells, not even a later birth, as the clock by which
//! a worker tells its birth may have been put back. The worker itself does: while the
//! present life answers, the other one is past. So a report of another life waits
//! as the successor until the present life is known to be over. To follow an old
//! report would give room back that the present life still uses.

use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};

use super::health::Health;
use super::life::Life;
use super::{Gate, GateAction, STOP_AGAIN};
use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{NotRunReason, RunEnd};
use crate::ephemeral::worker::WorkerReport;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Unanswered orders in a row from which the worker counts as mute, if it has
/// been silent for [`MUTE_AFTER`] too; single ones get lost.
pub(super) const MUTE_FROM: u32 = 3;
/// Silence after which a worker counts as mute: three lost orders one after the
/// other take this long.
const MUTE_AFTER: Duration = Duration::from_millis(120);
/// Past lives whose reports are told apart; late ones come within seconds, a life
/// takes longer to start.
const MOST_PAST_LIVES: usize = 16;

/// Another life of the worker that has reported while the present one was there.
#[derive(Debug)]
pub(super) struct Successor {
    report: WorkerReport,
    at_us: u64,
}

/// How a life of the worker ended, as its gate learned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifeEnd {
    /// It said so.
    Left,
    /// Nothing listens at its address.
    NothingListens,
    /// Another life answered for it.
    AnotherLife,
    /// It does not answer, and another life reported.
    Mute,
}

impl LifeEnd {
    /// For the log.
    fn name(self) -> &'static str {
        match self {
            LifeEnd::Left => "it left",
            LifeEnd::NothingListens => "nothing listens",
            LifeEnd::AnotherLife => "another life answered",
            LifeEnd::Mute => "mute, and another life reported",
        }
    }
}

impl Gate {
    /// The worker reports itself.
    pub fn worker_report(&mut self, now: Moment, report: WorkerReport) {
        if self.lacks_birth(&report.id) {
            warn!(self.log, "report without a birth"; "worker" => %report.id);
            return;
        }
        if !self.is_present(&report.id) && !self.consider_life(now, &report) {
            return;
        }
        self.update_life(now, &report);
    }

    /// Takes in a report of the present life.
    fn update_life(&mut self, now: Moment, report: &WorkerReport) {
        let Some(life) = &mut self.life else {
            return;
        };
        if report.sequence < life.sequence {
            debug!(self.log, "report older than one before"; "sequence" => report.sequence);
            return;
        }
        life.sequence = report.sequence;
        life.heard_clock(now, report.clock_ms);
        if life.traits.capacity != report.capacity {
            info!(self.log, "worker's capacity changed"; "worker" => %report.id,
                "cpu_milli" => report.capacity.cpu_milli,
                "before_cpu_milli" => life.traits.capacity.cpu_milli);
            let mut record = report.record();
            let before = &life.traits.largest;
            record.traits.largest = report.capacity.max_of_each(before);
            life.traits = Arc::new(record.traits.clone());
            self.room.resize(report.capacity);
            self.load_changed = true;
            self.actions.push(GateAction::Aim(record));
        }
        if report.leaving && !life.leaving {
            info!(self.log, "worker is leaving"; "worker" => %report.id,
                "leaves_in_ms" => report.leaves_in_ms);
            life.leaving = true;
            self.load_changed = true;
            self.refuse_queued(now, NotRunReason::Leaving);
        }
    }

    /// A report of a life that is not the present one; `true` if it is followed at
    /// once, as there is none.
    fn consider_life(&mut self, now: Moment, report: &WorkerReport) -> bool {
        if self.past_lives.contains(&report.id) {
            info!(self.log, "report of a past life"; "worker" => %report.id,
                "sequence" => report.sequence);
            return false;
        }
        if self.life.is_none() {
            self.follow_life(now, report);
            return true;
        }
        info!(self.log, "report of another life"; "worker" => %report.id,
            "leaving" => report.leaving);
        self.successor = Some(Successor {
            report: report.clone(),
            at_us: now.mono_us,
        });
        self.check_wanted = true;
        // At once, however long the pause before the next one is.
        self.check_pending = false;
        false
    }

    fn follow_life(&mut self, now: Moment, report: &WorkerReport) {
        info!(self.log, "worker found"; "worker" => %report.id, "addr" => &report.addr,
            "cpu_milli" => report.capacity.cpu_milli, "leaving" => report.leaving);
        self.adopt_life(now, &report.record());
    }

    /// The present life answered what was asked at `asked_us`: another life that had
    /// reported by then is past. One that is leaving may still have a successor.
    pub(super) fn dismiss_successor(&mut self, asked_us: u64) {
        let stays = self.life.as_ref().is_some_and(|life| !life.leaving);
        let old = |successor: &Successor| stays && successor.at_us <= asked_us;
        if let Some(successor) = self.successor.take_if(|successor| old(successor)) {
            info!(self.log, "report was of a past life"; "worker" => %successor.report.id);
        }
    }

    /// The present life is over: turns to the one that has reported meanwhile.
    fn follow_successor(&mut self, now: Moment) {
        if let Some(successor) = self.successor.take() {
            self.follow_life(now, &successor.report);
            self.update_life(now, &successor.report);
        }
    }

    /// Gives a life up that neither answers nor can still run anything, if another
    /// one has reported.
    pub(super) fn give_up_mute_life(&mut self, now: Moment) {
        let lease = self.limits.lease;
        let over = self
            .life
            .as_ref()
            .is_some_and(|life| life.lease_is_over(now, lease));
        if over && self.successor.is_some() && self.is_mute(now) {
            if self.restarts() {
                self.keep_runs(now, true);
            }
            self.life_is_over(now, LifeEnd::Mute);
        }
    }

    /// Whether the life that has reported meanwhile has the name of the present one.
    fn restarts(&self) -> bool {
        let present = self.life.as_ref().map(|life| &life.traits.id.name);
        let next = self.successor.as_ref().map(|next| &next.report.id.name);
        next.is_some() && next == present
    }

    /// No report of this life is believed any more.
    fn bar_life(&mut self, id: &WorkerId) {
        if self.past_lives.len() == MOST_PAST_LIVES {
            self.past_lives.pop_front();
        }
        self.past_lives.push_back(id.clone());
    }

    /// The worker said that the life that was meant is not there any more.
    pub(super) fn life_is_past(&mut self, now: Moment) {
        if let Some(life) = &self.life {
            let id = life.traits.id.clone();
            self.bar_life(&id);
        }
        self.life_is_over(now, LifeEnd::AnotherLife);
    }

    /// The worker that an earlier gate on this machine had, if none is known
    /// yet; should it be another life by now, its answers will say so.
    pub fn recall_worker(&mut self, now: Moment, worker: &WorkerRecord) {
        if self.life.is_some() {
            return;
        }
        info!(self.log, "worker recalled"; "worker" => %worker.traits.id, "addr" => &worker.addr);
        self.adopt_life(now, worker);
    }

    fn adopt_life(&mut self, now: Moment, worker: &WorkerRecord) {
        self.misses = 0;
        self.hold_misses = 0;
        self.answered_us = now.mono_us;
        self.hold_failed_us = None;
        self.hold_broke_us = None;
        self.room.resize(worker.traits.capacity);
        let foreign_lease_us = self.take_foreign_lease();
        self.life = Some(Life::after(worker.traits.clone(), now, foreign_lease_us));
        self.health = Health::default();
        self.actions.push(GateAction::Aim(worker.clone()));
        self.load_changed = true;
    }

    /// The worker says that it ends.
    pub fn worker_left(&mut self, now: Moment, id: &WorkerId) {
        if self.lacks_birth(id) {
            // It may be of the life before: the worker itself tells.
            self.check_wanted = true;
            return;
        }
        self.bar_life(id);
        if self.is_present(id) {
            self.life_is_over(now, LifeEnd::Left);
        }
    }

    /// Nothing that ran on the present life of the worker runs any more.
    pub(super) fn life_is_over(&mut self, now: Moment, end: LifeEnd) {
        let Some(life) = self.life.take() else {
            return;
        };
        info!(self.log, "worker gone"; "worker" => %life.traits.id, "why" => end.name());
        // A worker that leaves has said when; what is still there was given too late.
        if end != LifeEnd::Left && !life.leaving {
            self.note_losses(now, &life.traits.id);
        }
        self.in_doubt.clear();
        self.unclaimed.clear();
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::NoWorker);
        let out: Vec<RunId> = self.runs.keys().copied().collect();
        for run in out {
            match self.kept {
                Some(_) => self.hold_over(run),
                None => self.end(now, run, RunEnd::Stopped),
            }
        }
        self.follow_successor(now);
    }

    /// Whether this is the present life of the worker.
    pub(super) fn is_present(&self, id: &WorkerId) -> bool {
        let life = self.life.as_ref();
        life.is_some_and(|life| life.traits.id == *id)
    }

    /// Whether the worker lets orders go unanswered, one after the other.
    pub(super) fn is_mute(&self, now: Moment) -> bool {
        self.misses >= MUTE_FROM && now.mono_us > self.answered_us + micros(MUTE_AFTER)
    }

    /// The worker answered, or let one more order go unanswered.
    pub(super) fn note_answer(&mut self, now: Moment, answered: bool) {
        let before = self.is_mute(now);
        match answered {
            true => {
                self.misses = 0;
                self.answered_us = now.mono_us;
                self.hold_failed_us = None;
                self.hold_broke_us = None;
            }
            false => {
                self.misses += 1;
                self.check_wanted = true;
            }
        }
        let mute = self.is_mute(now);
        if mute != before {
            info!(self.log, "worker answers"; "answers" => !mute);
            self.load_changed = true;
        }
        if mute {
            self.refuse_queued(now, NotRunReason::NoWorker);
        }
    }

    /// Once no lease can be in force any more, nothing runs, whatever the
    /// worker does not say.
    pub(super) fn end_lapsed(&mut self, now: Moment) {
        let Some(life) = &self.life else {
            return;
        };
        if !life.lease_is_over(now, self.limits.lease) {
            return;
        }
        let out: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.is_out())
            .map(|(run, _)| *run)
            .collect();
        // A worker that crashes may just fall silent.
        if !life.leaving {
            let worker = life.traits.id.clone();
            self.doubt_runs(now, &worker);
        }
        for run in out {
            info!(self.log, "lease ran out"; "run" => %run);
            self.health.went_wrong();
            self.end(now, run, RunEnd::Stopped);
        }
        self.unclaimed.clear();
    }

    /// Stops runs of an earlier gate whose entries did not come back.
    pub(super) fn drop_unclaimed(&mut self, now: Moment) {
        let silence_us = micros(self.limits.peer_timeout);
        let mut sent = Vec::new();
        for (run, due_us) in &mut self.unclaimed {
            if *due_us <= now.mono_us {
                *due_us = now.mono_us + micros(STOP_AGAIN).max(silence_us / 4);
                sent.push(*run);
            }
        }
        for run in sent {
            info!(self.log, "run without owner stopped"; "run" => %run);
            self.send_stop(run);
            self.check_wanted = true;
        }
    }
}
