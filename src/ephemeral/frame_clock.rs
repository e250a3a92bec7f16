//! Age of frames, estimated from the senders' monotonic clocks.
//!
//! The offset between two clocks is taken from the fastest frame, so an age is too low by the
//! time that this frame took. As clocks drift, a frame that is slower by no more than they may
//! have drifted since replaces it. The offset belongs to an incarnation of a process and is kept
//! when it reconnects, as the first frames of a connection may have waited as well.

use std::collections::HashMap;
use std::time::Duration;

use crate::ephemeral::message::ProcessId;
use crate::time::{Moment, micros};

/// Largest rate at which two clocks drift apart, in parts per million.
const MAX_CLOCK_DRIFT_PPM: u64 = 500;
/// How long all frames of a peer must be late before its clock counts as set back. Far longer
/// than it takes to read what waited during a pause of this process.
const MAX_LATE_PERIOD: Duration = Duration::from_secs(1);
/// How long the offset of a peer without frames is kept.
const CLOCK_RETENTION: Duration = Duration::from_secs(60);

/// Clock offset as the fastest frame shows it.
#[derive(Clone, Copy, Debug)]
struct Offset {
    /// Receiver's clock minus sender's clock, in microseconds.
    us: i64,
    /// Arrival of that frame, in monotonic microseconds.
    at_us: u64,
}

impl Offset {
    /// The offset that it may have become, in microseconds.
    fn highest_us(&self, now: Moment) -> i64 {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us);
        self.us + (elapsed_us * MAX_CLOCK_DRIFT_PPM / 1_000_000) as i64
    }
}

/// Estimates the age of the frames of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameClock {
    offset: Option<Offset>,
}

impl FrameClock {
    /// Age in microseconds of a frame sent at `sent_us` on the sender's clock and read now.
    pub fn age_us(&mut self, now: Moment, sent_us: u64) -> u64 {
        let us = now.mono_us as i64 - sent_us as i64;
        let offset = *self.offset.get_or_insert(Offset {
            us,
            at_us: now.mono_us,
        });
        if us <= offset.highest_us(now) {
            let at_us = now.mono_us;
            self.offset = Some(Offset { us, at_us });
        }
        (us - offset.us).max(0) as u64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    clock: FrameClock,
    /// Arrival of its last frame, in monotonic microseconds.
    last_frame_us: u64,
    /// Arrival of the first late frame since the last one in time, in monotonic microseconds.
    late_since_us: Option<u64>,
}

/// Estimates the age of the frames of all peers.
#[derive(Debug)]
pub struct FrameClocks {
    max_age_us: u64,
    peers: HashMap<ProcessId, Peer>,
}

impl FrameClocks {
    /// Creates estimates for peers whose frames are late above `max_age`.
    pub fn new(max_age: Duration) -> FrameClocks {
        FrameClocks {
            max_age_us: micros(max_age),
            peers: HashMap::new(),
        }
    }

    /// Age in microseconds of a frame that `peer` sent at `sent_us` on its clock and that is read
    /// now.
    pub fn age_us(&mut self, now: Moment, peer: &ProcessId, sent_us: u64) -> u64 {
        if !self.peers.contains_key(peer) {
            self.peers.insert(peer.clone(), Peer::default());
        }
        let Some(state) = self.peers.get_mut(peer) else {
            return 0;
        };
        state.last_frame_us = now.mono_us;
        let age_us = state.clock.age_us(now, sent_us);
        if age_us <= self.max_age_us {
            state.late_since_us = None;
            return age_us;
        }
        let since_us = *state.late_since_us.get_or_insert(now.mono_us);
        if now.mono_us > since_us + micros(MAX_LATE_PERIOD) {
            // This frame is still late; the next ones are compared with it.
            state.clock = FrameClock::default();
            state.clock.age_us(now, sent_us);
            state.late_since_us = None;
        }
        age_us
    }

    /// Removes the peers without a connection and without frames for the retention time.
    pub fn forget_silent(&mut self, now: Moment, is_connected: impl Fn(&ProcessId) -> bool) {
        let retention_us = micros(CLOCK_RETENTION);
        self.peers.retain(|peer, state| {
            is_connected(peer) || now.mono_us <= state.last_frame_us + retention_us
        });
    }

    /// Number of peers with an estimate.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there is no estimate.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
