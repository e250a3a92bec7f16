//! Sessions: the connections between entries and gates.
//!
//! Frames are length-prefixed MessagePack over TCP. The end of the connection ends the session
//! on both sides. This is why gRPC is not used here (docs/design/platform.md).
//!
//! A frame that arrives too late is discarded, because its sender may have given up the session
//! meanwhile. Its age is counted from the time at which its sender decided it, on the sender's
//! monotonic clock ([`super::frame_clock`]).

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_stream::StreamExt;
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

use crate::ephemeral::frame_clock::FrameClocks;
use crate::ephemeral::frame_counts::{FrameCounts, FrameMessage};
use crate::ephemeral::message::{Frame, ProcessId, ToEntry, ToGate};
use crate::metrics::Metrics;
use crate::time::{Moment, Timer};

/// Largest accepted frame; several starts with large payloads may share one.
const MAX_FRAME_BYTES: usize = 2 << 20;
/// Messages in one frame; with the largest payloads they stay below [`MAX_FRAME_BYTES`].
const MAX_FRAME_MESSAGES: usize = 256;
/// Frames queued for a slow peer before the session is closed.
const MAX_QUEUED_FRAMES: usize = 256;

/// Id of a session within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Event on a session.
#[derive(Debug)]
pub enum SessionEvent<M> {
    /// A frame arrived.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<M>,
    },
    /// The connection ended.
    Closed(SessionId),
}

/// Why a process ended a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEndCause {
    /// A frame exceeded the maximum age.
    LateFrame,
    /// The connection ended.
    Closed,
    /// The peer timed out, or opened a newer session.
    GivenUp,
    /// A frame could not be queued, as the peer reads too slowly.
    Stuck,
    /// The session is no longer needed.
    Surplus,
}

impl SessionEndCause {
    /// Counts a session that ended for this cause.
    pub fn count(self, metrics: &Metrics) {
        let cause = match self {
            SessionEndCause::LateFrame => "late_frame",
            SessionEndCause::Closed => "closed",
            SessionEndCause::GivenUp => "given_up",
            SessionEndCause::Stuck => "stuck",
            SessionEndCause::Surplus => "surplus",
        };
        metrics.count(&format!("sessions_ended.{cause}"), 1);
    }
}

/// Message that may name the process that sent it.
pub trait SenderMessage {
    /// The sender, if the message names it.
    fn sender(&self) -> Option<&ProcessId>;
}

impl SenderMessage for ToGate {
    fn sender(&self) -> Option<&ProcessId> {
        match self {
            ToGate::Hello { entry, .. } => Some(entry),
            _ => None,
        }
    }
}

impl SenderMessage for ToEntry {
    fn sender(&self) -> Option<&ProcessId> {
        match self {
            ToEntry::Hello { gate, .. } => Some(gate),
            _ => None,
        }
    }
}

/// Receives session events; returns `false` once the receiver is gone.
type EventSink<M> = Arc<dyn Fn(SessionEvent<M>) -> bool + Send + Sync>;

struct OpenSession<S> {
    frames: Sender<Frame<S>>,
    /// The peer, once it has named itself.
    peer: Option<ProcessId>,
    outbox: Vec<S>,
}

/// Open sessions of a process; sends messages of type `S` and receives `R`.
pub struct Sessions<S, R> {
    on_event: EventSink<R>,
    open: HashMap<SessionId, OpenSession<S>>,
    clocks: FrameClocks,
    counts: FrameCounts,
    last_id: u64,
}

impl<S, R> Sessions<S, R>
where
    S: FrameMessage + Serialize + Send + 'static,
    R: SenderMessage + DeserializeOwned + Send + 'static,
{
    /// Creates an empty set of sessions with frames of at most `max_frame_age`; events go to
    /// `on_event`, which returns `false` once the receiver is gone.
    pub fn new(
        max_frame_age: Duration,
        on_event: impl Fn(SessionEvent<R>) -> bool + Send + Sync + 'static,
    ) -> Sessions<S, R> {
        Sessions {
            on_event: Arc::new(on_event),
            open: HashMap::new(),
            clocks: FrameClocks::new(max_frame_age),
            counts: FrameCounts::default(),
            last_id: 0,
        }
    }

    /// Opens a session on a connection.
    pub fn open(&mut self, stream: TcpStream) -> SessionId {
        self.last_id += 1;
        let session = SessionId(self.last_id);
        let (tx, rx) = channel(MAX_QUEUED_FRAMES);
        let open = OpenSession {
            frames: tx,
            peer: None,
            outbox: Vec::new(),
        };
        self.open.insert(session, open);
        let on_event = self.on_event.clone();
        tokio::spawn(async move { run_connection(session, stream, rx, on_event).await });
        session
    }

    /// Closes a session and drops the bytes that were not sent yet.
    pub fn close(&mut self, session: SessionId) {
        self.open.remove(&session);
    }

    /// Whether a session is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.open.contains_key(&session)
    }

    /// Age in microseconds of a frame of this session that is read now. The first frame names
    /// its sender; without it, the age is unknown and `None`.
    pub fn age_us(&mut self, now: Moment, session: SessionId, frame: &Frame<R>) -> Option<u64> {
        let open = self.open.get_mut(&session)?;
        if open.peer.is_none() {
            open.peer = frame.messages.iter().find_map(R::sender).cloned();
            self.forget_silent_peers(now);
        }
        let peer = self.open.get(&session)?.peer.as_ref()?;
        Some(self.clocks.age_us(now, peer, frame.sent_us))
    }

    fn forget_silent_peers(&mut self, now: Moment) {
        let connected = self.open.values().filter_map(|open| open.peer.as_ref());
        let connected: HashSet<&ProcessId> = connected.collect();
        self.clocks
            .forget_silent(now, |peer| connected.contains(peer));
    }

    /// Appends a message to the next frame of a session.
    pub fn send(&mut self, session: SessionId, message: S) {
        if let Some(open) = self.open.get_mut(&session) {
            open.outbox.push(message);
        }
    }

    /// Adds the frames sent since the last call to the metrics.
    pub fn report_frame_counts(&mut self, metrics: &Metrics) {
        self.counts.report(metrics);
    }

    /// Queues one frame per session with the messages that the turn at `now` decided to send;
    /// closes and returns the sessions whose queue does not accept it.
    pub fn flush(&mut self, now: Moment) -> Vec<SessionId> {
        let mut stuck = Vec::new();
        for (session, open) in &mut self.open {
            if open.outbox.is_empty() {
                continue;
            }
            let mut unsent = std::mem::take(&mut open.outbox);
            while !unsent.is_empty() {
                let rest = unsent.split_off(unsent.len().min(MAX_FRAME_MESSAGES));
                let messages = std::mem::replace(&mut unsent, rest);
                self.counts.record(&messages);
                let frame = Frame {
                    sent_us: now.mono_us,
                    messages,
                };
                if open.frames.try_send(frame).is_err() {
                    stuck.push(*session);
                    break;
                }
            }
        }
        for session in &stuck {
            self.open.remove(session);
        }
        stuck
    }
}

/// Connects to a gate within `timeout`.
pub async fn connect(timer: &Timer, addr: SocketAddr, timeout: Duration) -> Option<TcpStream> {
    let connecting = timer.timeout(timeout, TcpStream::connect(addr)).await;
    connecting.and_then(Result::ok)
}

/// Transfers frames both ways until the connection ends or the session is closed.
async fn run_connection<S, R>(
    session: SessionId,
    stream: TcpStream,
    mut outgoing: Receiver<Frame<S>>,
    on_event: EventSink<R>,
) where
    S: Serialize,
    R: DeserializeOwned,
{
    let _ = stream.set_nodelay(true);
    // Resets the connection on close, so that nothing is delivered afterwards.
    let _ = stream.set_zero_linger();
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (read_half, mut write_half) = stream.into_split();
    let mut source = FramedRead::new(read_half, codec.clone());
    let mut buf = BytesMut::new();
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            let Ok(bytes) = rmp_serde::to_vec(&frame) else {
                break;
            };
            if codec.encode(Bytes::from(bytes), &mut buf).is_err() {
                break;
            }
            if write_half.write_all_buf(&mut buf).await.is_err() {
                break;
            }
        }
    };
    let reading = async {
        while let Some(Ok(bytes)) = source.next().await {
            let Ok(frame) = rmp_serde::from_slice::<Frame<R>>(&bytes) else {
                break;
            };
            if !on_event(SessionEvent::Frame { session, frame }) {
                break;
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    on_event(SessionEvent::Closed(session));
}
