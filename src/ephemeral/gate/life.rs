//! One life of the worker behind a gate: its clock and its lease.

use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::limits::SLOW_CLOCK;
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Wait beyond a lease's computed end before its runs count as over; covers the
/// rounding of the worker's clock to milliseconds.
const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// A life of the worker.
#[derive(Debug)]
pub(super) struct Life {
    /// What it is.
    pub traits: Arc<WorkerTraits>,
    /// Count of its newest report.
    pub sequence: u64,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Number of the newest end that was received.
    pub acked_end: u64,
    /// Fencing token of this gate: the worker's clock when the gate first heard it.
    /// It rises from one life of the gate to the next without the store, so that
    /// orders of an earlier gate that arrive late are ignored.
    pub fence: Option<u64>,
    /// Whether its runs were listed under the fencing token.
    pub listed: bool,
    clock_ms: f64,
    clock_at_us: u64,
    lease_sent_us: u64,
}

impl Life {
    pub fn new(traits: WorkerTraits, now: Moment) -> Life {
        Life {
            traits: Arc::new(traits),
            sequence: 0,
            leaving: false,
            acked_end: 0,
            fence: None,
            listed: false,
            clock_ms: 0.0,
            clock_at_us: now.mono_us,
            // An earlier process may have renewed the lease until now.
            lease_sent_us: now.mono_us,
        }
    }

    /// Which life it is.
    pub fn id(&self) -> WorkerId {
        self.traits.id.clone()
    }

    /// The worker's clock read `clock_ms` no later than now.
    pub fn heard_clock(&mut self, now: Moment, clock_ms: u64) {
        let believed = self.clock(now);
        self.clock_ms = believed.max(clock_ms as f64);
        self.clock_at_us = now.mono_us;
    }

    /// A time that the worker's clock has reached for certain, in milliseconds.
    fn clock(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.clock_at_us);
        self.clock_ms + elapsed_us as f64 / 1_000.0 / SLOW_CLOCK
    }

    /// Whether its clock is known.
    pub fn has_clock(&self) -> bool {
        self.clock_ms > 0.0
    }

    /// End of a lease that is given now, on the worker's clock.
    pub fn lease_until(&mut self, now: Moment, lease: Duration) -> u64 {
        self.lease_sent_us = now.mono_us;
        self.clock(now) as u64 + lease.as_millis() as u64
    }

    /// Whether every lease that was ever given has run out.
    pub fn lease_is_over(&self, now: Moment, lease: Duration) -> bool {
        let longest = lease.mul_f64(SLOW_CLOCK) + LEASE_MARGIN;
        now.mono_us > self.lease_sent_us + micros(longest)
    }
}
