//! Announcements: load reports to all entries when the gate begins or ceases to take work, or when
//! the capacity of its worker changes.
//!
//! Entries without runs here get regular load reports at long intervals, and entries with runs get
//! them in turn. Without an announcement, an entry would refuse jobs that the gate takes, or send
//! tasks that the gate returns. The first time that a gate takes work is not announced, unless it
//! has been evacuated before.

use super::Gate;
use crate::time::{Moment, micros};

/// What the entries were last told about whether the gate takes work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Announcement {
    /// Whether the gate took work at the last announcement.
    takes_work: bool,
    /// Whether the gate has taken work or has been evacuated since its start.
    is_active: bool,
    /// Whether the capacity has changed since.
    capacity_changed: bool,
    /// Time of the last announcement, in monotonic microseconds.
    sent_us: Option<u64>,
}

impl Announcement {
    /// Requests an announcement of a changed capacity.
    pub(super) fn record_capacity_change(&mut self) {
        self.capacity_changed = true;
    }

    /// Records that the gate is evacuated, so that the end of the evacuation is announced.
    pub(super) fn record_evacuation(&mut self) {
        self.is_active = true;
    }
}

impl Gate {
    /// Whether all entries are to get a load report now. There is at most one announcement per
    /// heartbeat interval, as a worker may change its state more often.
    pub(super) fn take_announcement(&mut self, now: Moment) -> bool {
        let takes_work = self.takes_work(now);
        let announced = self.announcement;
        if takes_work == announced.takes_work && !announced.capacity_changed {
            return false;
        }
        if !announced.is_active {
            self.announcement.is_active = takes_work;
            self.announcement.takes_work = takes_work;
            return false;
        }
        let interval_us = micros(self.limits.heartbeat_interval);
        if announced
            .sent_us
            .is_some_and(|sent_us| now.mono_us < sent_us + interval_us)
        {
            return false;
        }
        self.announcement = Announcement {
            takes_work,
            is_active: true,
            capacity_changed: false,
            sent_us: Some(now.mono_us),
        };
        true
    }
}
