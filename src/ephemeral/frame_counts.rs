//! Kinds of frames, and counts of the frames sent by kind, which separate the cost of work from
//! that of control traffic.

use crate::metrics::Metrics;

/// Kind of a frame. Among messages of several kinds, the first kind in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Opens a session.
    Hello,
    /// Starts or stops runs.
    Order,
    /// Reports beginnings or ends of runs.
    Report,
    /// Registers a job, or answers that.
    Registration,
    /// Carries a configuration or its version.
    Config,
    /// Carries only the load of a gate.
    Load,
    /// Carries only a heartbeat.
    Beat,
}

/// All kinds, in order.
const KINDS: [FrameKind; 7] = [
    FrameKind::Hello,
    FrameKind::Order,
    FrameKind::Report,
    FrameKind::Registration,
    FrameKind::Config,
    FrameKind::Load,
    FrameKind::Beat,
];

impl FrameKind {
    /// Name in metrics.
    fn metric_name(self) -> &'static str {
        match self {
            FrameKind::Hello => "hello",
            FrameKind::Order => "order",
            FrameKind::Report => "report",
            FrameKind::Registration => "registration",
            FrameKind::Config => "config",
            FrameKind::Load => "load",
            FrameKind::Beat => "beat",
        }
    }
}

/// Message that determines the kind of its frame.
pub trait FrameMessage {
    /// Kind of a frame with only this message.
    fn frame_kind(&self) -> FrameKind;
}

/// Kind of a frame with these messages; `None` if there are none.
pub fn frame_kind<M: FrameMessage>(messages: &[M]) -> Option<FrameKind> {
    messages.iter().map(FrameMessage::frame_kind).min()
}

/// Frames sent since the last report, batched to keep the cost per frame low.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCounts {
    sent: [u64; KINDS.len()],
}

impl FrameCounts {
    /// Counts a frame.
    pub fn record<M: FrameMessage>(&mut self, messages: &[M]) {
        if let Some(kind) = frame_kind(messages) {
            self.sent[kind as usize] += 1;
        }
    }

    /// Adds the counts to the metrics and resets them.
    pub fn report(&mut self, metrics: &Metrics) {
        for (kind, sent) in KINDS.iter().zip(std::mem::take(&mut self.sent)) {
            if sent > 0 {
                metrics.count(&format!("frames_sent.{}", kind.metric_name()), sent);
            }
        }
    }
}
