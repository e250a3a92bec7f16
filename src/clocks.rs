//! Whether this process's wall clock is near enough to its peers'.
//!
//! Every frame brings its sender's wall clock. A frame takes time, so a peer
//! seems behind by up to its delay; the least difference of a window is taken.
//! While most peers differ by more than the allowed skew, this process takes no
//! new ids: the horizon of a takeover rests on that bound.

use std::collections::HashMap;

use crate::id::MemberId;
use crate::time::Moment;

/// Length of a window.
const WINDOW_US: u64 = 5_000_000;
/// Fewest peers that can say that a clock is off.
const FEWEST_PEERS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Window {
    since_us: u64,
    least_ms: u64,
    before_ms: u64,
}

/// Differences to the wall clocks of peers.
#[derive(Debug, Default)]
pub struct Clocks {
    peers: HashMap<MemberId, Window>,
}

impl Clocks {
    /// A frame came that was sent at `wall_ms` on its sender's clock.
    pub fn heard(&mut self, now: Moment, from: &MemberId, wall_ms: u64) {
        let difference_ms = now.wall_ms.abs_diff(wall_ms);
        let fresh = Window {
            since_us: now.mono_us,
            least_ms: difference_ms,
            before_ms: difference_ms,
        };
        let window = self.peers.entry(from.clone()).or_insert(fresh);
        if now.mono_us >= window.since_us + WINDOW_US {
            *window = Window {
                before_ms: window.least_ms,
                ..fresh
            };
        }
        window.least_ms = window.least_ms.min(difference_ms);
    }

    /// Forgets a peer.
    pub fn forget(&mut self, peer: &MemberId) {
        self.peers.remove(peer);
    }

    /// Whether most peers differ by more than `skew_ms`.
    pub fn is_off(&self, skew_ms: u64) -> bool {
        let off = |window: &&Window| window.least_ms.min(window.before_ms) > skew_ms;
        let count = self.peers.values().filter(off).count();
        self.peers.len() >= FEWEST_PEERS && count * 2 > self.peers.len()
    }
}
