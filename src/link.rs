//! Links between processes: bidirectional gRPC streams of frames.
//!
//! Either side may dial. Each side first sends an empty frame that identifies its process.
//! Frames in flight are lost when a stream breaks, so senders repeat messages that get no
//! answer. A member is dialed again until it is removed.

use std::collections::HashMap;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::error::{Error, Result};
use crate::id::MemberId;
use crate::message::{Frame, Header};
use crate::rpc::peer::peer_client::PeerClient;
use crate::rpc::peer::peer_server::{Peer, PeerServer};
use crate::time::Timer;

/// Delay between two connection attempts.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Event of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was received.
    Frame(Box<Frame>),
    /// The first stream to a member is open.
    Up(MemberId),
    /// The last stream to a member has closed.
    Down(MemberId),
    /// A member's process has ended: its address refuses connections or belongs to another
    /// process.
    Ended(MemberId),
}

/// Simulated network delay between processes.
pub trait LinkDelay: Send + Sync {
    /// One-way delay of frames from `from`.
    fn delay(&self, from: &MemberId) -> Duration;
}

/// No delay.
#[derive(Debug)]
pub struct NoDelay;

impl LinkDelay for NoDelay {
    fn delay(&self, _from: &MemberId) -> Duration {
        Duration::ZERO
    }
}

#[derive(Debug)]
struct OpenStream {
    number: u64,
    frames: UnboundedSender<Frame>,
}

#[derive(Debug, Default)]
struct StreamTable {
    streams: HashMap<MemberId, Vec<OpenStream>>,
    dialed: HashMap<MemberId, SocketAddr>,
    last_number: u64,
}

struct Shared {
    me: MemberId,
    timer: Timer,
    link_delay: Arc<dyn LinkDelay>,
    events: UnboundedSender<LinkEvent>,
    table: Mutex<StreamTable>,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, StreamTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hello(&self) -> Frame {
        Frame {
            from: self.me.clone(),
            header: Header::default(),
            messages: Vec::new(),
        }
    }

    fn notify(&self, event: LinkEvent) {
        let _ = self.events.send(event);
    }

    fn add_stream(&self, member: &MemberId, frames: UnboundedSender<Frame>) -> u64 {
        let mut table = self.table();
        table.last_number += 1;
        let number = table.last_number;
        let streams = table.streams.entry(member.clone()).or_default();
        streams.push(OpenStream { number, frames });
        if streams.len() == 1 {
            self.notify(LinkEvent::Up(member.clone()));
        }
        number
    }

    fn remove_stream(&self, member: &MemberId, number: u64) {
        let mut table = self.table();
        let Some(streams) = table.streams.get_mut(member) else {
            return;
        };
        streams.retain(|open| open.number != number);
        if streams.is_empty() {
            table.streams.remove(member);
            self.notify(LinkEvent::Down(member.clone()));
        }
    }

    fn should_dial(&self, member: &MemberId, addr: SocketAddr) -> bool {
        self.table().dialed.get(member) == Some(&addr)
    }

    /// Reads a stream until it ends.
    async fn read_stream(&self, number: u64, member: &MemberId, mut stream: Streaming<Frame>) {
        let delay = self.link_delay.delay(member);
        let (tx, rx) = unbounded_channel();
        let delivery = self.deliver(rx, delay);
        let reading = async {
            while let Some(Ok(frame)) = stream.next().await {
                let due_us = self.timer.now().after(delay);
                let _ = tx.send((due_us, frame));
            }
            drop(tx);
        };
        tokio::join!(delivery, reading);
        self.remove_stream(member, number);
    }

    async fn deliver(&self, mut rx: UnboundedReceiver<(u64, Frame)>, delay: Duration) {
        while let Some((due_us, frame)) = rx.recv().await {
            if !delay.is_zero() {
                let left = self.timer.now().remaining(due_us);
                self.timer.sleep(left).await;
            }
            self.notify(LinkEvent::Frame(Box::new(frame)));
        }
    }
}

/// Links of one process.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

impl Links {
    /// Creates the links of process `me`; their events are sent to `events`.
    pub fn new(
        me: MemberId,
        timer: Timer,
        link_delay: Arc<dyn LinkDelay>,
        events: UnboundedSender<LinkEvent>,
    ) -> Links {
        let shared = Shared {
            me,
            timer,
            link_delay,
            events,
            table: Mutex::default(),
        };
        Links {
            shared: Arc::new(shared),
        }
    }

    /// Accepts streams from other processes on `listener` until `stop`.
    pub async fn serve(&self, listener: TcpListener, stop: impl Future<Output = ()>) -> Result<()> {
        let service = PeerServer::new(PeerService {
            shared: self.shared.clone(),
        });
        let service = service
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stop)
            .await
            .map_err(|err| Error::Other(err.to_string()))
    }

    /// Sends a frame; returns `false` if there is no stream to `member`.
    pub fn send(&self, member: &MemberId, frame: Frame) -> bool {
        let table = self.shared.table();
        let open = table.streams.get(member).and_then(|streams| streams.last());
        open.is_some_and(|open| open.frames.send(frame).is_ok())
    }

    /// Keeps a stream open to `member` at `addr`.
    pub fn dial(&self, member: &MemberId, addr: SocketAddr) {
        let previous = self.shared.table().dialed.insert(member.clone(), addr);
        if previous == Some(addr) || *member == self.shared.me {
            return;
        }
        let shared = self.shared.clone();
        let member = member.clone();
        tokio::spawn(async move { keep_dialing(&shared, &member, addr).await });
    }

    /// Opens a stream to the process at `addr`, with one attempt.
    pub fn dial_seed(&self, addr: SocketAddr) {
        let shared = self.shared.clone();
        tokio::spawn(async move { dial_once(&shared, None, addr).await });
    }

    /// Closes the streams to `member` and stops dialing it.
    pub fn remove(&self, member: &MemberId) {
        let mut table = self.shared.table();
        table.dialed.remove(member);
        if table.streams.remove(member).is_some() {
            self.shared.notify(LinkEvent::Down(member.clone()));
        }
    }

    /// Members to which a stream is kept open.
    pub fn dialed(&self) -> Vec<MemberId> {
        self.shared.table().dialed.keys().cloned().collect()
    }
}

async fn keep_dialing(shared: &Arc<Shared>, member: &MemberId, addr: SocketAddr) {
    while shared.should_dial(member, addr) {
        let is_linked = shared.table().streams.contains_key(member);
        if !is_linked
            && let Err(err) = dial_once(shared, Some(member), addr).await
            && err.kind() == io::ErrorKind::ConnectionRefused
        {
            shared.notify(LinkEvent::Ended(member.clone()));
        }
        shared.timer.sleep(REDIAL_DELAY).await;
    }
}

/// Opens a stream to the process at `addr` and reads it until it ends. If `wanted` is given,
/// the process must be that member.
async fn dial_once(
    shared: &Arc<Shared>,
    wanted: Option<&MemberId>,
    addr: SocketAddr,
) -> io::Result<()> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(io::Error::other)?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let channel = endpoint.connect().await.map_err(|err| io_error(&err))?;
    let mut client = PeerClient::new(channel)
        .max_decoding_message_size(MAX_FRAME_BYTES)
        .max_encoding_message_size(MAX_FRAME_BYTES);
    let (tx, rx) = unbounded_channel();
    let _ = tx.send(shared.hello());
    let outgoing = UnboundedReceiverStream::new(rx);
    let reply = client.exchange(outgoing).await.map_err(io::Error::other)?;
    let mut stream = reply.into_inner();
    let hello = stream.next().await;
    let hello = hello.and_then(std::result::Result::ok);
    let Some(member) = hello.map(|hello| hello.from) else {
        return Ok(());
    };
    match wanted {
        Some(wanted) if *wanted != member => shared.notify(LinkEvent::Ended(wanted.clone())),
        _ => {
            let number = shared.add_stream(&member, tx);
            shared.read_stream(number, &member, stream).await;
        }
    }
    Ok(())
}

/// Returns the I/O error that caused a transport error.
fn io_error(err: &tonic::transport::Error) -> io::Error {
    let mut cause = err.source();
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<io::Error>() {
            return io::Error::from(err.kind());
        }
        cause = err.source();
    }
    io::Error::other("connection failed without an I/O error")
}

struct PeerService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ExchangeStream =
        Pin<Box<dyn Stream<Item = std::result::Result<Frame, Status>> + Send + 'static>>;

    async fn exchange(
        &self,
        req: Request<Streaming<Frame>>,
    ) -> std::result::Result<Response<Self::ExchangeStream>, Status> {
        let mut stream = req.into_inner();
        let shared = self.shared.clone();
        let (tx, rx) = unbounded_channel();
        let _ = tx.send(shared.hello());
        tokio::spawn(async move {
            let Some(Ok(hello)) = stream.next().await else {
                return;
            };
            let number = shared.add_stream(&hello.from, tx);
            shared.read_stream(number, &hello.from, stream).await;
        });
        let outgoing = UnboundedReceiverStream::new(rx).map(Ok);
        Ok(Response::new(Box::pin(outgoing)))
    }
}
