//! One life of the worker behind a gate: its clock and its lease.

use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::limits::MAX_CLOCK_SLOWDOWN;
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::worker::HoldReply;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Wait beyond a lease's computed end before its runs count as over; covers the
/// rounding of the worker's clock to milliseconds.
const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// Added to a fencing token after the worker turned a second one away, and doubled with
/// each further one. It has seen a higher one than its clock reads: under a late order to
/// the life before, or of a gate for which its clock was ahead.
const FENCE_STEP: u64 = 1_000;
/// Most times that it doubles: to two years in milliseconds.
const MOST_FENCE_DOUBLINGS: u32 = 26;

/// When a lease that was given at `given_us` is over for certain, in monotonic microseconds.
pub(super) fn lease_end_us(given_us: u64, lease: Duration) -> u64 {
    given_us + micros(lease.mul_f64(MAX_CLOCK_SLOWDOWN) + LEASE_MARGIN)
}

/// Age that no answer to a start reaches, whose limit is far shorter.
const OLDEST_ANSWER: Duration = Duration::from_secs(2);

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
    /// Fencing token of this gate: the time by the worker's clock and its birth when the
    /// gate first heard it. It rises from one life of the gate to the next, and of the
    /// worker, without the store, so that earlier orders that arrive late are ignored.
    pub fence: Option<u64>,
    /// Times that the worker turned a token away, as it had seen a higher one.
    fenced: u32,
    /// Whether its runs were listed under the fencing token.
    pub listed: bool,
    clock_ms: f64,
    clock_at_us: u64,
    lease_sent_us: u64,
    /// Until when a lease may hold that was meant for the life before.
    foreign_lease_us: u64,
}

impl Life {
    pub fn new(traits: WorkerTraits, now: Moment) -> Life {
        Life {
            traits: Arc::new(traits),
            sequence: 0,
            leaving: false,
            acked_end: 0,
            fence: None,
            fenced: 0,
            listed: false,
            clock_ms: 0.0,
            clock_at_us: now.mono_us,
            // An earlier process may have renewed the lease until now.
            lease_sent_us: now.mono_us,
            foreign_lease_us: 0,
        }
    }

    /// The same after a life that it may have taken a lease of.
    pub fn after(traits: WorkerTraits, now: Moment, foreign_lease_us: u64) -> Life {
        Life {
            foreign_lease_us,
            ..Life::new(traits, now)
        }
    }

    /// Whether it may hold a lease that was meant for the life before.
    pub fn has_foreign_lease(&self, now: Moment) -> bool {
        now.mono_us <= self.foreign_lease_us
    }

    /// Chooses the fencing token, above all `used` ones, by an answer of the worker.
    pub fn choose_fence(&mut self, reply: &HoldReply, used: u64) -> u64 {
        let born_ms = self.traits.id.born_ms.unwrap_or(0);
        let least = (born_ms + reply.clock_ms).max(used) + 1;
        let fence = match self.fenced {
            0 => least,
            fenced => least + (FENCE_STEP << fenced.min(MOST_FENCE_DOUBLINGS)),
        };
        self.fenced += u32::from(reply.fenced);
        self.fence = Some(fence);
        self.listed = false;
        fence
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

    /// Whether a clock that reads `clock_ms` is not that of this life.
    pub fn is_past(&self, now: Moment, clock_ms: u64) -> bool {
        (clock_ms as f64) + OLDEST_ANSWER.as_millis() as f64 <= self.clock(now)
    }

    /// A time that the worker's clock has reached for certain, in milliseconds.
    fn clock(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.clock_at_us);
        self.clock_ms + elapsed_us as f64 / 1_000.0 / MAX_CLOCK_SLOWDOWN
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
        now.mono_us > lease_end_us(self.lease_sent_us, lease) && !self.has_foreign_lease(now)
    }
}
