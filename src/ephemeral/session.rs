//! One connection between an entry and a gate: the session.
//!
//! Frames are length-prefixed MessagePack over TCP. gRPC between these two was
//! weighed and left (docs/design/platform.md): the end of a session has to be
//! the end of the connection, at once and on both sides, and a frame costs one
//! read and one write on a small share of a core.
//!
//! A frame that was under way for too long is not acted on, because its sender
//! may have given the session up meanwhile. Its age is told from the sender's
//! monotonic clock, against the quickest frame of the session.

use std::collections::HashMap;
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

use crate::ephemeral::frame_counts::{FrameCounts, Purpose};
use crate::ephemeral::message::Frame;
use crate::metrics::Metrics;
use crate::time::{Moment, Timer};

/// Largest frame that is taken; starts with large payloads may share one.
const FRAME_BYTES: usize = 2 << 20;
/// Frames that may wait for a slow peer before the session is closed.
const FRAMES_WAITING: usize = 256;

/// Names a session within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// What happens on a session.
#[derive(Debug)]
pub enum SessionEvent<M> {
    /// A frame came.
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
pub enum SessionLoss {
    /// A frame had been under way for too long.
    LateFrame,
    /// The connection ended.
    Closed,
    /// Its peer was silent, or has a newer session.
    GivenUp,
    /// Its peer did not take the frames that waited.
    Stuck,
    /// It is not needed any more.
    Surplus,
}

impl SessionLoss {
    /// Counts a session that ended so.
    pub fn count(self, metrics: &Metrics) {
        let cause = match self {
            SessionLoss::LateFrame => "late_frame",
            SessionLoss::Closed => "closed",
            SessionLoss::GivenUp => "given_up",
            SessionLoss::Stuck => "stuck",
            SessionLoss::Surplus => "surplus",
        };
        metrics.count(&format!("sessions_ended.{cause}"), 1);
    }
}

/// Tells how long frames were under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameClock {
    least_offset_us: Option<i64>,
}

impl FrameClock {
    /// Age in microseconds of a frame sent at `sent_us` on its sender's clock.
    pub fn age_us(&mut self, now: Moment, sent_us: u64) -> u64 {
        let offset_us = now.mono_us as i64 - sent_us as i64;
        let least_us = self.least_offset_us.unwrap_or(offset_us).min(offset_us);
        self.least_offset_us = Some(least_us);
        (offset_us - least_us) as u64
    }
}

/// Hears what happens on sessions.
type Tell<M> = Arc<dyn Fn(SessionEvent<M>) -> bool + Send + Sync>;

struct Open<S> {
    frames: Sender<Vec<S>>,
    clock: FrameClock,
    outbox: Vec<S>,
}

/// The open sessions of a process; `S` goes out, `R` comes in.
pub struct Sessions<S, R> {
    timer: Timer,
    tell: Tell<R>,
    open: HashMap<SessionId, Open<S>>,
    counts: FrameCounts,
    last: u64,
}

impl<S, R> Sessions<S, R>
where
    S: Purpose + Serialize + Send + 'static,
    R: DeserializeOwned + Send + 'static,
{
    /// No sessions; `tell` hears what happens on later ones, and says whether it
    /// still listens.
    pub fn new(
        timer: Timer,
        tell: impl Fn(SessionEvent<R>) -> bool + Send + Sync + 'static,
    ) -> Sessions<S, R> {
        Sessions {
            timer,
            tell: Arc::new(tell),
            open: HashMap::new(),
            counts: FrameCounts::default(),
            last: 0,
        }
    }

    /// Opens a session on a connection.
    pub fn open(&mut self, stream: TcpStream) -> SessionId {
        self.last += 1;
        let session = SessionId(self.last);
        let (tx, rx) = channel(FRAMES_WAITING);
        let open = Open {
            frames: tx,
            clock: FrameClock::default(),
            outbox: Vec::new(),
        };
        self.open.insert(session, open);
        let (timer, tell) = (self.timer.clone(), self.tell.clone());
        tokio::spawn(async move { carry(session, stream, rx, timer, tell).await });
        session
    }

    /// Closes a session; bytes that did not reach the peer are dropped.
    pub fn close(&mut self, session: SessionId) {
        self.open.remove(&session);
    }

    /// Whether a session is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.open.contains_key(&session)
    }

    /// How long a frame was under way, in microseconds.
    pub fn age_us(&mut self, now: Moment, session: SessionId, sent_us: u64) -> u64 {
        let open = self.open.get_mut(&session);
        open.map_or(0, |open| open.clock.age_us(now, sent_us))
    }

    /// Puts a message into the next frame of a session.
    pub fn send(&mut self, session: SessionId, message: S) {
        if let Some(open) = self.open.get_mut(&session) {
            open.outbox.push(message);
        }
    }

    /// Adds the frames that were sent to the figures.
    pub fn show_counts(&mut self, metrics: &Metrics) {
        self.counts.show(metrics);
    }

    /// Sends what collected; returns the sessions whose peers do not keep up,
    /// which are closed.
    pub fn flush(&mut self) -> Vec<SessionId> {
        let mut stuck = Vec::new();
        for (session, open) in &mut self.open {
            if open.outbox.is_empty() {
                continue;
            }
            let messages = std::mem::take(&mut open.outbox);
            self.counts.note(&messages);
            if open.frames.try_send(messages).is_err() {
                stuck.push(*session);
            }
        }
        for session in &stuck {
            self.open.remove(session);
        }
        stuck
    }
}

/// Connects to a gate, for at most `limit`.
pub async fn dial(timer: &Timer, addr: SocketAddr, limit: Duration) -> Option<TcpStream> {
    let dialing = timer.within(limit, TcpStream::connect(addr)).await;
    dialing.and_then(Result::ok)
}

/// Carries frames both ways until either side ends.
async fn carry<S, R>(
    session: SessionId,
    stream: TcpStream,
    mut outgoing: Receiver<Vec<S>>,
    timer: Timer,
    tell: Tell<R>,
) where
    S: Serialize,
    R: DeserializeOwned,
{
    let _ = stream.set_nodelay(true);
    // A closed session must not deliver anything later.
    let _ = stream.set_zero_linger();
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec();
    let (read_half, mut write_half) = stream.into_split();
    let mut source = FramedRead::new(read_half, codec.clone());
    let mut buf = BytesMut::new();
    let writing = async {
        while let Some(messages) = outgoing.recv().await {
            let frame = Frame {
                sent_us: timer.now().mono_us,
                messages,
            };
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
            if !tell(SessionEvent::Frame { session, frame }) {
                break;
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    tell(SessionEvent::Closed(session));
}
