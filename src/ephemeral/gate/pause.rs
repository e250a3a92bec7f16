//! Longest time that the host loop of a gate may wait for an event.
//!
//! Messages, answers and closed sessions wake the loop. It must also wake when a load report
//! is due or an entry expires, and at short intervals while calls are in flight or runs are
//! queued. At short intervals throughout, an idle gate would wake up a hundred times a second.

use std::time::Duration;

use super::sessions::EntryState;
use super::{Gate, RunState};
use crate::ephemeral::message::ProcessId;
use crate::time::{Moment, micros};

/// Longest wait while runs are queued or calls are in flight, or the worker leaves calls
/// unanswered.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait otherwise; what remains expires after seconds.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

impl Gate {
    /// Longest time until [`Gate::tick`] and [`Gate::take_actions`] must be called without
    /// an event.
    pub fn longest_pause(&self, now: Moment) -> Duration {
        let longest = match self.is_settled() {
            true => IDLE_PAUSE,
            false => BUSY_PAUSE,
        };
        let entries = self.entries.iter();
        let due_us = entries.map(|(entry, state)| self.entry_due_us(now, entry, state));
        let next = due_us.min().map_or(longest, |due_us| now.remaining(due_us));
        next.min(longest)
    }

    /// Whether all runs are running and the worker leaves no call unanswered.
    fn is_settled(&self) -> bool {
        let mut runs = self.runs.values();
        self.unclaimed.is_empty()
            && self.registrations.is_settled()
            && self.missed_answers == 0
            && self.successor.is_none()
            && runs.all(|run| run.state == RunState::Running)
    }

    /// Time at which a load report to the entry is due or the entry expires.
    fn entry_due_us(&self, now: Moment, entry: &ProcessId, state: &EntryState) -> u64 {
        let silence = match self.has_active_runs(entry) {
            true => self.limits.peer_timeout,
            false => self.limits.idle_peer_timeout,
        };
        let gone_us = state.last_frame_us + micros(silence) + 1;
        match state.session {
            Some(_) => gone_us.min(self.load_due_us(now, state)),
            None => gone_us,
        }
    }
}
