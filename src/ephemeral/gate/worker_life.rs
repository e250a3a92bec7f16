//! Lives of the worker: found, recalled, mute, gone.

use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info};

use super::health::Health;
use super::life::Life;
use super::{Gate, GateAction, STOP_AGAIN};
use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{NotRunReason, RunEnd, WorkerTraits};
use crate::ephemeral::worker::WorkerReport;
use crate::time::{Moment, micros};

/// Unanswered orders in a row from which the worker counts as mute, if it has
/// been silent for [`MUTE_AFTER`] too; single ones get lost.
const MUTE_FROM: u32 = 3;
/// Silence after which a worker counts as mute: three lost orders one after the
/// other take this long.
const MUTE_AFTER: Duration = Duration::from_millis(120);

impl Gate {
    /// The worker reports itself.
    pub fn worker_report(&mut self, now: Moment, report: WorkerReport) {
        let same = self
            .life
            .as_ref()
            .is_some_and(|life| life.traits.id == report.id);
        if !same && !self.follow_new_life(now, &report) {
            return;
        }
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
            life.traits = Arc::new(report.traits());
            self.room.resize(report.capacity);
            self.load_changed = true;
        }
        if report.leaving && !life.leaving {
            info!(self.log, "worker is leaving"; "worker" => &report.id,
                "leaves_in_ms" => report.leaves_in_ms);
            life.leaving = true;
            self.load_changed = true;
            self.refuse_queued(now, NotRunReason::Leaving);
        }
    }

    /// Turns to another life of the worker; `false` if the present one stays.
    fn follow_new_life(&mut self, now: Moment, report: &WorkerReport) -> bool {
        let stays = self.life.as_ref().is_some_and(|life| !life.leaving);
        if stays && report.leaving {
            debug!(self.log, "report of another life"; "worker" => &report.id);
            return false;
        }
        info!(self.log, "worker found"; "worker" => &report.id, "addr" => &report.addr,
            "cpu_milli" => report.capacity.cpu_milli, "leaving" => report.leaving);
        self.life_is_over(now, "another life reported");
        self.adopt_life(now, report.traits(), &report.addr);
        true
    }

    /// The worker that an earlier gate on this machine had, if none is known
    /// yet; should it be another life by now, its answers will say so.
    pub fn recall_worker(&mut self, now: Moment, worker: &WorkerRecord) {
        if self.life.is_some() {
            return;
        }
        info!(self.log, "worker recalled"; "worker" => &worker.traits.id, "addr" => &worker.addr);
        self.adopt_life(now, worker.traits.clone(), &worker.addr);
    }

    fn adopt_life(&mut self, now: Moment, traits: WorkerTraits, addr: &str) {
        self.misses = 0;
        self.answered_us = now.mono_us;
        self.room.resize(traits.capacity);
        self.life = Some(Life::new(traits, now));
        self.health = Health::default();
        self.actions.push(GateAction::Aim(addr.to_string()));
        self.load_changed = true;
    }

    /// The worker says that it ends.
    pub fn worker_left(&mut self, now: Moment, id: &str) {
        let ours = self.life.as_ref().is_some_and(|life| life.traits.id == id);
        if ours {
            self.life_is_over(now, "worker left");
        }
    }

    /// Nothing that ran on the present life of the worker runs any more.
    pub(super) fn life_is_over(&mut self, now: Moment, why: &str) {
        let Some(life) = self.life.take() else {
            return;
        };
        info!(self.log, "worker gone"; "worker" => &life.traits.id, "why" => why);
        self.unclaimed.clear();
        self.load_changed = true;
        self.refuse_queued(now, NotRunReason::NoWorker);
        let out: Vec<RunId> = self.runs.keys().copied().collect();
        for run in out {
            self.end(now, run, RunEnd::Stopped);
        }
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
        for run in out {
            info!(self.log, "lease ran out"; "run" => %run);
            self.health.went_wrong();
            self.end(now, run, RunEnd::Stopped);
        }
        self.unclaimed.clear();
    }

    /// Stops runs of an earlier gate whose entries did not come back.
    pub(super) fn drop_unclaimed(&mut self, now: Moment) {
        let silence_us = micros(self.limits.silence);
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
