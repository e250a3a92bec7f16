//! What frames are sent for, and how many of each kind a process sends.
//!
//! Orders and reports go with the work; what the others cost beside them tells whether
//! control grows faster than the fleet's work does.

use crate::metrics::Metrics;

/// What a frame is sent for: the first of these that one of its messages is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Opening a session.
    Hello,
    /// Starting and stopping runs.
    Order,
    /// Beginnings and ends of runs.
    Report,
    /// A configuration, or its version.
    Config,
    /// The load of a gate alone.
    Load,
    /// A heartbeat alone.
    Beat,
}

/// All kinds, in their order.
const KINDS: [FrameKind; 6] = [
    FrameKind::Hello,
    FrameKind::Order,
    FrameKind::Report,
    FrameKind::Config,
    FrameKind::Load,
    FrameKind::Beat,
];

impl FrameKind {
    /// Its name among the metrics.
    fn name(self) -> &'static str {
        match self {
            FrameKind::Hello => "hello",
            FrameKind::Order => "order",
            FrameKind::Report => "report",
            FrameKind::Config => "config",
            FrameKind::Load => "load",
            FrameKind::Beat => "beat",
        }
    }
}

/// A message that tells what it is for.
pub trait Purpose {
    /// What it is for.
    fn kind(&self) -> FrameKind;
}

/// What a frame with these messages is for; `None` if there are none.
pub fn kind_of<M: Purpose>(messages: &[M]) -> Option<FrameKind> {
    messages.iter().map(Purpose::kind).min()
}

/// Frames that were sent and not shown yet; a count for each frame would cost more than
/// many of them do.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCounts {
    sent: [u64; KINDS.len()],
}

impl FrameCounts {
    /// Counts a frame.
    pub fn note<M: Purpose>(&mut self, messages: &[M]) {
        if let Some(kind) = kind_of(messages) {
            self.sent[kind as usize] += 1;
        }
    }

    /// Adds what was counted to the figures, and begins anew.
    pub fn show(&mut self, metrics: &Metrics) {
        for (kind, sent) in KINDS.iter().zip(std::mem::take(&mut self.sent)) {
            if sent > 0 {
                metrics.count(&format!("frames_sent.{}", kind.name()), sent);
            }
        }
    }
}
