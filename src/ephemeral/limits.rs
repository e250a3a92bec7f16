//! Timeouts that end a run before its job can be resent.
//!
//! A caller without an answer resends its job after `resend`. By then no run of the first
//! submission may be active. In the worst case the caller leaves just after its entry has checked
//! its connection, the entry stops after it has decided its last frame, just before the next
//! check, and the gate freezes just before its peer timeout. The run then ends with the worker's
//! lease, measured on a possibly slow clock:
//!
//! ```text
//! caller_check + peer_timeout + lease * MAX_CLOCK_SLOWDOWN + stop < resend
//! ```
//!
//! - A frame carries the time of the turn that decided it, and the peer timeout counts from that
//!   time. How long the frame waited and travelled is therefore not in the sum.
//! - The gate grants a lease from the time of the turn that decided it, once it has ordered the
//!   stop of all runs whose owner's peer timeout has passed by then.
//! - What the sum leaves of `resend` must exceed the time that the end of a caller's connection
//!   takes to its entry, plus that of the owner's fastest frame, by which the age of a frame is
//!   estimated too low ([`super::frame_clock`]).
//!
//! `tests/ephemeral_safety.rs` fails if one of the terms is removed, or if silence counts from
//! the arrival or the writing of frames.

use std::time::Duration;

/// Factor by which a worker's clock may run slow; the platform allows 2%.
pub const MAX_CLOCK_SLOWDOWN: f64 = 1.02;
/// Peer timeout as a fraction of the resend interval: short enough for the sum above, long
/// enough for a retransmission on a lossy link.
const PEER_TIMEOUT_FRACTION: f64 = 0.35;
/// Lease as a fraction of the resend interval.
const LEASE_FRACTION: f64 = 0.53;
/// Caller check interval as a fraction of the resend interval.
const CALLER_CHECK_FRACTION: f64 = 0.035;
/// Largest share of the caller check in what the other terms leave of the resend interval.
const CALLER_CHECK_SHARE: f64 = 0.5;
/// Heartbeat intervals per peer timeout, so that two heartbeats may be lost.
const HEARTBEATS_PER_PEER_TIMEOUT: u32 = 3;
/// Heartbeat intervals without a frame before a second connection is opened. Above 1, as a turn
/// of the gate's loop may delay its frame.
const RECONNECT_HEARTBEATS: f64 = 1.25;
/// Factor between the heartbeat intervals of idle and busy sessions. Idle sessions need no fast
/// detection of failures, as the next order detects them.
const IDLE_HEARTBEAT_FACTOR: u32 = 8;
const MAX_PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeouts of sessions and leases, derived from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Heartbeat interval of a session with work.
    pub heartbeat_interval: Duration,
    /// Heartbeat interval of a session without work.
    pub idle_heartbeat_interval: Duration,
    /// How long a session counts as busy after its last run. The sender of heartbeats uses the
    /// whole time, the receiver only half of it. A run that its owner has given up has ended by
    /// then.
    pub linger: Duration,
    /// Time without a frame after which a second connection is opened, as a connection may fail
    /// silently while the peer is alive.
    pub reconnect_after: Duration,
    /// Time without a frame after which the peer of a session with work counts as lost. A gate
    /// counts it from the sending of the last frame.
    pub peer_timeout: Duration,
    /// Time without a frame after which the peer of a session without work counts as lost.
    pub idle_peer_timeout: Duration,
    /// Age above which a frame is discarded and its session closed.
    pub max_frame_age: Duration,
    /// How long a restarted gate waits for entries to claim the runs it finds; it does not
    /// renew the worker's lease meanwhile.
    pub claim_window: Duration,
    /// Interval at which an entry checks that its callers are still connected.
    pub caller_check: Duration,
    /// Lease of runs on the worker.
    pub lease: Duration,
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop: Duration,
    /// Interval after which a caller resends a job.
    pub resend: Duration,
}

impl Limits {
    /// Derives the timeouts for callers that resend after `resend` and workers that grant at
    /// most `max_lease` and stop a run within `stop`.
    pub fn new(resend: Duration, max_lease: Duration, stop: Duration) -> Limits {
        let peer_timeout = resend.mul_f64(PEER_TIMEOUT_FRACTION).min(MAX_PEER_TIMEOUT);
        let heartbeat_interval = peer_timeout / HEARTBEATS_PER_PEER_TIMEOUT;
        let lease = resend.mul_f64(LEASE_FRACTION).min(max_lease);
        let orphan_time = peer_timeout + lease.mul_f64(MAX_CLOCK_SLOWDOWN) + stop;
        let spare = resend.saturating_sub(orphan_time);
        Limits {
            heartbeat_interval,
            idle_heartbeat_interval: heartbeat_interval * IDLE_HEARTBEAT_FACTOR,
            linger: resend,
            reconnect_after: heartbeat_interval.mul_f64(RECONNECT_HEARTBEATS),
            peer_timeout,
            idle_peer_timeout: heartbeat_interval
                * IDLE_HEARTBEAT_FACTOR
                * HEARTBEATS_PER_PEER_TIMEOUT
                + peer_timeout,
            max_frame_age: peer_timeout / 2,
            claim_window: peer_timeout / 2,
            caller_check: resend
                .mul_f64(CALLER_CHECK_FRACTION)
                .min(spare.mul_f64(CALLER_CHECK_SHARE)),
            lease,
            max_lease,
            stop,
            resend,
        }
    }

    /// Longest time that a run continues after its caller has left, if its owner stops at the
    /// same time; without the error in the estimated age of the owner's last frame.
    pub fn max_orphan_time(&self) -> Duration {
        self.caller_check + self.max_run_without_owner()
    }

    /// Longest time that a run continues after its owner has sent its last frame.
    pub fn max_run_without_owner(&self) -> Duration {
        self.peer_timeout + self.lease.mul_f64(MAX_CLOCK_SLOWDOWN) + self.stop
    }

    /// Whether a run always ends before its job is resent.
    pub fn prevents_overlapping_runs(&self) -> bool {
        self.max_orphan_time() < self.resend
    }
}
