//! Compares the local wall clock with those of peers.
//!
//! Every frame carries its sender's wall clock. Transit time makes a peer's clock appear
//! late, so the minimum difference of a window is used. While most peers differ by more
//! than the allowed skew, this process accepts no new ids, as the horizon of a takeover
//! relies on that bound.

use std::collections::HashMap;

use crate::id::MemberId;
use crate::time::Moment;

const WINDOW_LENGTH_US: u64 = 5_000_000;
/// Minimum number of peers for a decision.
const MIN_PEERS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Window {
    start_us: u64,
    min_ms: u64,
    previous_min_ms: u64,
}

/// Differences between the local wall clock and those of peers.
#[derive(Debug, Default)]
pub struct PeerClocks {
    peers: HashMap<MemberId, Window>,
}

impl PeerClocks {
    /// Records a frame that was sent at `wall_ms` by its sender's clock.
    pub fn record(&mut self, now: Moment, from: &MemberId, wall_ms: u64) {
        let difference_ms = now.wall_ms.abs_diff(wall_ms);
        let fresh = Window {
            start_us: now.mono_us,
            min_ms: difference_ms,
            previous_min_ms: difference_ms,
        };
        let window = self.peers.entry(from.clone()).or_insert(fresh);
        if now.mono_us >= window.start_us + WINDOW_LENGTH_US {
            *window = Window {
                previous_min_ms: window.min_ms,
                ..fresh
            };
        }
        window.min_ms = window.min_ms.min(difference_ms);
    }

    /// Removes a peer that has left.
    pub fn remove(&mut self, peer: &MemberId) {
        self.peers.remove(peer);
    }

    /// Whether the local clock differs by more than `skew_ms` from most peers' clocks.
    pub fn is_skewed(&self, skew_ms: u64) -> bool {
        let skewed = |window: &&Window| window.min_ms.min(window.previous_min_ms) > skew_ms;
        let count = self.peers.values().filter(skewed).count();
        self.peers.len() >= MIN_PEERS && count * 2 > self.peers.len()
    }
}
