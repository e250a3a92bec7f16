//! How fast runs get on, from how far the worker says they are.
//!
//! A worker that turns slow shows it in every list, long before its runs end.
//! What would end much sooner elsewhere is stopped, and its entry moves it.

use std::time::Duration;

use slog::info;

use super::{Gate, Run, RunState, StopCause};
use crate::ephemeral::job::RunId;
use crate::ephemeral::worker::RunningRow;
use crate::time::{Moment, micros};

/// Least time between two looks at a run; a run of 60 ms makes half its way.
const LOOK: Duration = Duration::from_millis(30);
/// Runs that a measure of the worker's pace needs: run times of single ones are
/// guessed wrong by half.
const FEWEST_RUNS: usize = 3;
/// Shortest time without any progress after which a run counts as standing still:
/// four looks.
const STILL: Duration = Duration::from_millis(120);
/// The same as a part of the expected run time: workers tell whole percents, and a
/// long run makes its next one only after a while.
const STILL_SHARE: f64 = 0.08;
/// Steps of a whole percent, at the run's own rate, that it may miss before it stands
/// still, where medians tell the worker's speed.
const STILL_STEPS: f64 = 3.0;
/// Times the expectation that a long task may take; it makes its first step late.
const LONG_TASK: f64 = 10.0;
/// Cost of moving a run beyond the time that its stop may take: orders on the way,
/// and turns of three loops.
const MOVE: Duration = Duration::from_millis(30);
/// Times its run time elsewhere that what is left of a run must take here
/// before it is moved.
const MOVE_FACTOR: f64 = 1.3;

/// How far a run was when it was last looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mark {
    at_us: u64,
    percent: u32,
    /// Since when it has made no progress.
    still_since_us: u64,
    /// Time against expected work between the last two looks.
    slowness: f64,
}

impl Mark {
    pub fn new(at_us: u64, percent: u32) -> Mark {
        Mark {
            at_us,
            percent,
            still_since_us: at_us,
            slowness: 0.0,
        }
    }
}

/// What one list says of the worker's pace.
#[derive(Default)]
struct Pace {
    runs: usize,
    wall_us: f64,
    work_us: f64,
    /// Slowness of the run that gets on best.
    least: f64,
}

impl Pace {
    fn add(&mut self, wall_us: f64, work_us: f64) {
        let slowness = wall_us / work_us.max(1.0);
        self.least = match self.runs {
            0 => slowness,
            _ => self.least.min(slowness),
        };
        self.runs += 1;
        self.wall_us += wall_us;
        self.work_us += work_us;
    }

    /// Time against expected work; `None` if too few runs tell. Where medians tell the
    /// worker's speed, it is as slow as its best run only: long tasks stay for long, so a
    /// fifth of what runs is long where three in a hundred that begin are.
    fn slowness(&self, by_median: bool) -> Option<f64> {
        (self.runs >= FEWEST_RUNS).then_some(match by_median {
            true => self.least,
            false => self.wall_us / self.work_us.max(1.0),
        })
    }
}

impl Run {
    /// Compares how far the run is with the last look; `None` if that was too
    /// short ago.
    fn look(&mut self, now: Moment, percent: u32) -> Option<(f64, f64)> {
        let Some(mark) = &mut self.mark else {
            self.mark = Some(Mark::new(now.mono_us, percent));
            return None;
        };
        let wall_us = now.mono_us.saturating_sub(mark.at_us);
        if wall_us < micros(LOOK) {
            return None;
        }
        let gained = percent.saturating_sub(mark.percent);
        if gained > 0 {
            mark.still_since_us = now.mono_us;
        }
        mark.at_us = now.mono_us;
        mark.percent = percent;
        let work_us = f64::from(gained) / 100.0 * self.expected_us as f64;
        mark.slowness = wall_us as f64 / work_us.max(1.0);
        Some((wall_us as f64, work_us))
    }

    fn stands_still(&self, now: Moment, by_median: bool) -> bool {
        let since_us = self.mark.map_or(now.mono_us, |mark| mark.still_since_us);
        let share_us = (self.expected_us as f64 * STILL_SHARE) as u64;
        let own_us = match by_median {
            true => (self.step_us() * STILL_STEPS) as u64,
            false => 0,
        };
        now.mono_us > since_us + share_us.max(micros(STILL)).max(own_us)
    }

    /// Time in which it makes one percent at its own rate, or as a long task before the
    /// first one, in microseconds.
    fn step_us(&self) -> f64 {
        match self.mark {
            Some(mark) if mark.percent > 0 => {
                let took_us = mark.still_since_us.saturating_sub(self.since_us);
                took_us as f64 / f64::from(mark.percent)
            }
            _ => self.expected_us as f64 * LONG_TASK / 100.0,
        }
    }

    /// Whether it made less way between the last two looks than on a worker of the given
    /// slowness.
    fn gets_on_slower_than(&self, slowness: f64) -> bool {
        self.mark
            .is_some_and(|mark| mark.slowness > slowness * MOVE_FACTOR)
    }

    /// Time that the run needs on a worker of the given slowness, in microseconds.
    fn left_at(&self, slowness: f64) -> f64 {
        let done = self.mark.map_or(0, |mark| mark.percent.min(100));
        f64::from(100 - done) / 100.0 * self.expected_us as f64 * slowness
    }
}

impl Gate {
    /// Learns from how far runs are; stops those that do not get on.
    pub(super) fn watch_pace(&mut self, now: Moment, running: &[RunningRow]) {
        let mut pace = Pace::default();
        for row in running {
            let Some(record) = self.runs.get_mut(&row.run) else {
                continue;
            };
            if record.state != RunState::Running {
                continue;
            }
            if let Some((wall_us, work_us)) = record.look(now, row.percent) {
                pace.add(wall_us, work_us);
            }
        }
        if let Some(slowness) = pace.slowness(self.health.by_median()) {
            self.health.paced(now, slowness);
        }
        for run in self.to_move(now) {
            self.stop(now, run, StopCause::Stalled);
        }
    }

    /// Runs that stand still, or that would end much sooner elsewhere.
    fn to_move(&self, now: Moment) -> Vec<RunId> {
        let (here, usual) = (self.health.slowness(), self.health.usual());
        let (slow, by_median) = (self.health.is_slow(), self.health.by_median());
        let move_us = micros(self.limits.stop + MOVE) as f64;
        let too_slow = |record: &Run| {
            let elsewhere_us = record.expected_us as f64 * usual * MOVE_FACTOR + move_us;
            let moves = slow && record.movable && record.left_at(here) > elsewhere_us;
            moves && (!by_median || record.gets_on_slower_than(usual))
        };
        let running = self
            .runs
            .iter()
            .filter(|(_, record)| record.state == RunState::Running);
        let found =
            running.filter(|(_, record)| record.stands_still(now, by_median) || too_slow(record));
        found
            .map(|(run, record)| {
                info!(self.log, "run does not get on"; "run" => %run,
                    "percent" => record.mark.map(|mark| mark.percent),
                    "elapsed_us" => now.mono_us.saturating_sub(record.since_us),
                    "expected_us" => record.expected_us, "slowness" => here, "usual" => usual);
                *run
            })
            .collect()
    }
}
