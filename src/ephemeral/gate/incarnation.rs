//! One incarnation of the worker behind a gate: its clock, lease and fencing token.

use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::directory::WorkerRecord;
use crate::ephemeral::limits::MAX_CLOCK_SLOWDOWN;
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::worker::PollReply;
use crate::ephemeral::worker_id::WorkerId;
use crate::time::{Moment, micros};

/// Added to the end of a lease before its runs count as ended; covers the millisecond
/// rounding of the worker's clock.
const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// Added to the fencing token when the worker rejects it, and doubled on each further
/// rejection. The worker may have seen a higher token from a late call, or from a gate
/// with a clock that was ahead.
const FENCE_STEP: u64 = 1_000;
/// Cap on the doublings of [`FENCE_STEP`].
const MAX_FENCE_DOUBLINGS: u32 = 26;

/// Time at which a lease granted at `given_us` has certainly expired, in monotonic
/// microseconds.
pub(super) fn lease_end_us(given_us: u64, lease: Duration) -> u64 {
    given_us + micros(lease.mul_f64(MAX_CLOCK_SLOWDOWN) + LEASE_MARGIN)
}

/// Upper bound on the age of an answer to a start; the timeout of the call is far shorter.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);

/// An incarnation of the worker.
#[derive(Debug)]
pub(super) struct Incarnation {
    /// Identity and capacity of the worker.
    pub traits: Arc<WorkerTraits>,
    /// Address at which it is called; the same for its whole life.
    pub addr: String,
    /// Sequence number of its newest report.
    pub sequence: u64,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Sequence number of the newest end that was received.
    pub acked_end: u64,
    /// Fencing token of this gate: the worker's clock plus its start time at first contact.
    /// It rises with each incarnation of the gate and of the worker without using the
    /// store, so that the worker rejects late calls of earlier gates.
    pub fence: Option<u64>,
    /// Number of tokens that the worker rejected.
    fence_rejections: u32,
    /// Whether its runs were listed under the current fencing token.
    pub listed: bool,
    /// Whether the connection of the last regular poll is not known to be broken.
    pub poll_open: bool,
    /// Whether a connection was refused since a regular poll was last answered.
    pub refused: bool,
    /// Lower bound of the worker's clock at `clock_at_us`, in milliseconds.
    clock_ms: f64,
    /// Time of the last update of `clock_ms`, in monotonic microseconds.
    clock_at_us: u64,
    /// Time at which the last lease was granted, in monotonic microseconds.
    lease_sent_us: u64,
    /// Time until which it may hold a lease meant for the previous incarnation, in monotonic
    /// microseconds; 0 if there is none.
    inherited_lease_us: u64,
}

impl Incarnation {
    pub fn new(worker: &WorkerRecord, now: Moment) -> Incarnation {
        Incarnation {
            traits: Arc::new(worker.traits.clone()),
            addr: worker.addr.clone(),
            sequence: 0,
            leaving: false,
            acked_end: 0,
            fence: None,
            fence_rejections: 0,
            listed: false,
            poll_open: false,
            refused: false,
            clock_ms: 0.0,
            clock_at_us: now.mono_us,
            // A previous process may have renewed the lease until now.
            lease_sent_us: now.mono_us,
            inherited_lease_us: 0,
        }
    }

    /// Creates an incarnation that may hold a lease of the previous one.
    pub fn with_inherited_lease(
        worker: &WorkerRecord,
        now: Moment,
        inherited_lease_us: u64,
    ) -> Incarnation {
        Incarnation {
            inherited_lease_us,
            ..Incarnation::new(worker, now)
        }
    }

    /// Whether it may hold a lease meant for the previous incarnation.
    pub fn has_inherited_lease(&self, now: Moment) -> bool {
        now.mono_us <= self.inherited_lease_us
    }

    /// Chooses a fencing token above `used` from an answer of the worker.
    pub fn choose_fence(&mut self, reply: &PollReply, used: u64) -> u64 {
        let born_ms = self.traits.id.born_ms.unwrap_or(0);
        let least = (born_ms + reply.clock_ms).max(used) + 1;
        let fence = match self.fence_rejections {
            0 => least,
            rejections => least + (FENCE_STEP << rejections.min(MAX_FENCE_DOUBLINGS)),
        };
        self.fence_rejections += u32::from(reply.fenced);
        self.fence = Some(fence);
        self.listed = false;
        fence
    }

    pub fn id(&self) -> WorkerId {
        self.traits.id.clone()
    }

    /// Records that the worker's clock has reached `clock_ms`.
    pub fn update_clock(&mut self, now: Moment, clock_ms: u64) {
        let known = self.clock(now);
        self.clock_ms = known.max(clock_ms as f64);
        self.clock_at_us = now.mono_us;
    }

    /// Whether `clock_ms` is too low to be read from the clock of this incarnation.
    pub fn is_clock_reset(&self, now: Moment, clock_ms: u64) -> bool {
        (clock_ms as f64) + MAX_ANSWER_AGE.as_millis() as f64 <= self.clock(now)
    }

    /// Lower bound of the worker's clock, in milliseconds.
    fn clock(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.clock_at_us);
        self.clock_ms + elapsed_us as f64 / 1_000.0 / MAX_CLOCK_SLOWDOWN
    }

    /// Whether the worker's clock is known.
    pub fn has_clock(&self) -> bool {
        self.clock_ms > 0.0
    }

    /// Grants a lease from now on; returns its end on the worker's clock, in milliseconds.
    pub fn grant_lease(&mut self, now: Moment, lease: Duration) -> u64 {
        self.lease_sent_us = now.mono_us;
        self.clock(now) as u64 + lease.as_millis() as u64
    }

    /// Whether all leases have certainly expired.
    pub fn is_lease_expired(&self, now: Moment, lease: Duration) -> bool {
        now.mono_us > lease_end_us(self.lease_sent_us, lease) && !self.has_inherited_lease(now)
    }
}
