//! How long the loop around a gate may wait for something to happen.
//!
//! Orders, answers of the worker and sessions that end are events. What depends on time
//! alone is a heartbeat that is due or an entry that falls silent, which are known
//! beforehand, and what is on its way to the worker or back. A gate that looked for these
//! every 10 ms turned a hundred times a second, work or none: 24,000 wake-ups a second
//! of 240 gates.

use std::time::Duration;

use super::sessions::Owner;
use super::{Gate, RunState};
use crate::ephemeral::message::ProcessId;
use crate::time::{Moment, micros};

/// Longest pause while something waits for room, is on its way to the worker or back, or
/// the worker lets orders go unanswered.
const HASTY: Duration = Duration::from_millis(10);
/// Longest pause otherwise; for what is forgotten after seconds.
const CALM: Duration = Duration::from_millis(50);

impl Gate {
    /// Longest time from now until [`Gate::tick`] and [`Gate::take_actions`] are called,
    /// if nothing happens before.
    pub fn longest_pause(&self, now: Moment) -> Duration {
        let longest = match self.is_settled() {
            true => CALM,
            false => HASTY,
        };
        let owners = self.owners.iter();
        let due_us = owners.map(|(entry, owner)| self.owner_due_us(now, entry, owner));
        let next = due_us.min().map_or(longest, |due_us| now.left(due_us));
        next.min(longest)
    }

    /// Whether all that is here runs, and the worker answers.
    fn is_settled(&self) -> bool {
        let mut runs = self.runs.values();
        self.unclaimed.is_empty()
            && self.misses == 0
            && self.successor.is_none()
            && runs.all(|run| run.state == RunState::Running)
    }

    /// When an entry is to be told something, or counts as gone.
    fn owner_due_us(&self, now: Moment, entry: &ProcessId, owner: &Owner) -> u64 {
        let silence = match self.has_live_runs(entry) {
            true => self.limits.peer_timeout,
            false => self.limits.idle_peer_timeout,
        };
        let gone_us = owner.heard_us + micros(silence) + 1;
        match owner.session {
            Some(_) => gone_us.min(self.load_due_us(now, owner)),
            None => gone_us,
        }
    }
}
