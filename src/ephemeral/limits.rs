//! The spans that keep a run from outliving its owner.
//!
//! A caller that hears nothing sends its job again after `resend`. By then
//! nothing of the first sending may run. The worst case: the owner falls silent,
//! and the gate freezes just before it would have noticed. Then the run ends
//! with the worker's lease, on a clock that may run slow:
//!
//! ```text
//! silence + lease * SLOW_CLOCK + stop < resend
//! ```
//!
//! `tests/ephemeral_safety.rs` fails if one of the terms is taken out.

use std::time::Duration;

/// How slowly a worker's clock may run (the platform's pages: 2%).
pub const SLOW_CLOCK: f64 = 1.02;
/// Part of the resend pause after which a silent peer counts as gone: short
/// enough for the sum above, long enough for a lossy link's retransmission.
const SILENCE_SHARE: f64 = 0.35;
/// Part of the resend pause that a worker's lease lasts.
const LEASE_SHARE: f64 = 0.53;
/// Heartbeats in one span of silence: two may be lost.
const BEATS_IN_SILENCE: u32 = 3;
/// Heartbeats without any frame after which a session's connection is doubted; a
/// gate sends a frame each heartbeat at least, and a turn of its loop may delay it.
const QUIET_BEATS: f64 = 1.25;
/// Heartbeats in the pause between two of a session without work: whoever is gone is
/// found out by the next order, which tells within 25 ms, and nobody waits meanwhile.
/// With 16 such sessions an entry sends and hears 24 frames a second (virtual time).
const BEATS_IN_IDLE_BEAT: u32 = 8;
/// Longest silence, however long callers pause.
const MOST_SILENCE: Duration = Duration::from_millis(1_000);

/// Spans of sessions and leases; all derived from the deployment's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pause between two heartbeats of a session with work.
    pub beat: Duration,
    /// The same of a session without work.
    pub idle_beat: Duration,
    /// How long a session counts as one with work after its last run, for whoever sends
    /// heartbeats on it. A run that its owner has given up is over by then, and whoever
    /// listens expects them only for half of it.
    pub linger: Duration,
    /// Silence after which a second connection is opened beside a session's first:
    /// a connection may go dead without a word while its peer lives.
    pub quiet: Duration,
    /// Silence after which a session's peer counts as gone.
    pub silence: Duration,
    /// The same of a session without work; nothing rests on it but that the session is
    /// opened anew.
    pub idle_silence: Duration,
    /// Oldest frame that is still acted on.
    pub frame_age: Duration,
    /// How long a gate that starts anew waits for entries to claim the runs that it
    /// finds; it does not renew the worker's lease meanwhile.
    pub claim: Duration,
    /// Lease that runs are given on the worker.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever it is asked for.
    pub most_lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop: Duration,
    /// A caller's pause before it sends again.
    pub resend: Duration,
}

impl Limits {
    /// Limits where callers pause for `resend`, workers grant leases of at most
    /// `most_lease` and stop a run within `stop`.
    pub fn new(resend: Duration, most_lease: Duration, stop: Duration) -> Limits {
        let silence = resend.mul_f64(SILENCE_SHARE).min(MOST_SILENCE);
        let beat = silence / BEATS_IN_SILENCE;
        Limits {
            beat,
            idle_beat: beat * BEATS_IN_IDLE_BEAT,
            linger: resend,
            quiet: beat.mul_f64(QUIET_BEATS),
            silence,
            idle_silence: beat * BEATS_IN_IDLE_BEAT * BEATS_IN_SILENCE + silence,
            frame_age: silence / 2,
            claim: silence / 2,
            lease: resend.mul_f64(LEASE_SHARE).min(most_lease),
            most_lease,
            stop,
            resend,
        }
    }

    /// Longest time that a run goes on after its owner was last heard.
    pub fn longest_orphan(&self) -> Duration {
        self.silence + self.lease.mul_f64(SLOW_CLOCK) + self.stop
    }

    /// Whether a run is over before its job can come again.
    pub fn keep_runs_apart(&self) -> bool {
        self.longest_orphan() < self.resend
    }
}
