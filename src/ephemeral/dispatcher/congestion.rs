//! Whether workers are full for a moment or for long.
//!
//! A short rush is best waited out. Where the wait for room stands, waiting
//! serves nobody: each job that is let wait makes the next one late. So the part
//! of its patience that a job may wait shrinks with the wait that jobs have found
//! of late.
//!
//! Waits are looked at by priority: those of less urgent jobs say nothing about more
//! urgent ones, which go before them.

use std::collections::BTreeMap;

use crate::ephemeral::job::Priority;
use crate::time::Moment;

/// Time over which waits are looked back on, in typical run times: in about one, a
/// rush either ends or has filled the queues.
const LOOK_BACK: f64 = 1.25;
/// Part of their patience that jobs wait from which congestion stands in full.
const STANDING: f64 = 0.35;
/// Most of the look-back that one job stands for.
const MOST_WEIGHT: f64 = 0.25;

/// The wait for room that jobs have found of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Congestion {
    /// In parts of the patience of the jobs that found it.
    wait: f64,
    at_us: u64,
}

impl Congestion {
    /// A job found that its first task would wait for `wait`, as a part of its
    /// patience, where tasks typically run for `typical_us`.
    pub fn observe(&mut self, now: Moment, wait: f64, typical_us: u64) {
        let elapsed = self.elapsed(now, typical_us);
        self.at_us = now.mono_us;
        // After a pause a single job does not tell that congestion stands.
        let added = 1.0 - (-elapsed).max(-MOST_WEIGHT).exp();
        self.wait = (-elapsed).exp() * self.wait + added * wait.min(1.0);
    }

    /// Time since the last job, in look-backs.
    fn elapsed(&self, now: Moment, typical_us: u64) -> f64 {
        let look_back_us = LOOK_BACK * typical_us.max(1) as f64;
        now.mono_us.saturating_sub(self.at_us) as f64 / look_back_us
    }

    /// How far congestion stood when the last job came: 0 where there was room, 1 where
    /// there was none.
    pub fn level(&self) -> f64 {
        (self.wait / STANDING).min(1.0)
    }

    /// The same as far as it is not forgotten by now.
    fn level_now(&self, now: Moment, typical_us: u64) -> f64 {
        let wait = self.wait * (-self.elapsed(now, typical_us)).exp();
        (wait / STANDING).min(1.0)
    }
}

/// Congestion by priority.
#[derive(Debug, Default)]
pub(super) struct CongestionByPriority {
    classes: BTreeMap<Priority, Congestion>,
}

impl CongestionByPriority {
    /// What jobs of `priority` find.
    pub fn class(&mut self, priority: Priority) -> &mut Congestion {
        self.classes.entry(priority).or_default()
    }

    /// How far congestion stands for jobs that go before those of `priority`.
    pub fn level_before(&self, now: Moment, priority: Priority, typical_us: u64) -> f64 {
        let before = self.classes.range(..priority);
        let levels = before.map(|(_, class)| class.level_now(now, typical_us));
        levels.fold(0.0, f64::max)
    }
}
