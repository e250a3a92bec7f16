//! Streams of frames between processes.
//!
//! Either side may dial; whichever stream is up carries frames both ways. A
//! stream opens with an empty frame from each side, which names the processes.
//! A stream that breaks loses what was under way, and the state machines send
//! again what matters. Dialing goes on until the member is forgotten.

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

/// Wait between two attempts to dial.
const REDIAL: Duration = Duration::from_millis(100);
/// Longest wait for a connection.
const DIAL_LIMIT: Duration = Duration::from_secs(2);
/// Largest frame that is taken.
const FRAME_BYTES: usize = 64 << 20;

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame came.
    Frame(Box<Frame>),
    /// A member can be reached.
    Up(MemberId),
    /// A member can no longer be reached.
    Down(MemberId),
    /// Nothing listens at a member's address, or another process does: this
    /// member's process has ended.
    Ended(MemberId),
}

/// Delay of frames between two processes; the bench uses it for distance.
pub trait Distance: Send + Sync {
    /// One-way delay of frames that come from `from`.
    fn delay(&self, from: &MemberId) -> Duration;
}

/// No delay.
#[derive(Debug)]
pub struct NoDistance;

impl Distance for NoDistance {
    fn delay(&self, _from: &MemberId) -> Duration {
        Duration::ZERO
    }
}

#[derive(Debug)]
struct Open {
    number: u64,
    frames: UnboundedSender<Frame>,
}

#[derive(Debug, Default)]
struct Table {
    links: HashMap<MemberId, Vec<Open>>,
    dialed: HashMap<MemberId, SocketAddr>,
    numbers: u64,
}

struct Shared {
    me: MemberId,
    timer: Timer,
    distance: Arc<dyn Distance>,
    events: UnboundedSender<LinkEvent>,
    table: Mutex<Table>,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hello(&self) -> Frame {
        Frame {
            from: self.me.clone(),
            header: Header::default(),
            messages: Vec::new(),
        }
    }

    fn tell(&self, event: LinkEvent) {
        let _ = self.events.send(event);
    }

    fn opened(&self, member: &MemberId, frames: UnboundedSender<Frame>) -> u64 {
        let mut table = self.table();
        table.numbers += 1;
        let number = table.numbers;
        let links = table.links.entry(member.clone()).or_default();
        links.push(Open { number, frames });
        if links.len() == 1 {
            self.tell(LinkEvent::Up(member.clone()));
        }
        number
    }

    fn closed(&self, member: &MemberId, number: u64) {
        let mut table = self.table();
        let Some(links) = table.links.get_mut(member) else {
            return;
        };
        links.retain(|open| open.number != number);
        if links.is_empty() {
            table.links.remove(member);
            self.tell(LinkEvent::Down(member.clone()));
        }
    }

    fn wants(&self, member: &MemberId, addr: SocketAddr) -> bool {
        self.table().dialed.get(member) == Some(&addr)
    }

    /// Reads one stream until it ends.
    async fn read(&self, number: u64, member: &MemberId, mut stream: Streaming<Frame>) {
        let delay = self.distance.delay(member);
        let (tx, rx) = unbounded_channel();
        let delayed = self.deliver(rx, delay);
        let reading = async {
            while let Some(Ok(frame)) = stream.next().await {
                let due_us = self.timer.now().after(delay);
                let _ = tx.send((due_us, frame));
            }
            drop(tx);
        };
        tokio::join!(delayed, reading);
        self.closed(member, number);
    }

    async fn deliver(&self, mut rx: UnboundedReceiver<(u64, Frame)>, delay: Duration) {
        while let Some((due_us, frame)) = rx.recv().await {
            if !delay.is_zero() {
                let left = self.timer.now().left(due_us);
                self.timer.sleep(left).await;
            }
            self.tell(LinkEvent::Frame(Box::new(frame)));
        }
    }
}

/// The streams of one process.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

impl Links {
    /// The streams of `me`; what happens on them is told to `events`.
    pub fn new(
        me: MemberId,
        timer: Timer,
        distance: Arc<dyn Distance>,
        events: UnboundedSender<LinkEvent>,
    ) -> Links {
        let shared = Shared {
            me,
            timer,
            distance,
            events,
            table: Mutex::default(),
        };
        Links {
            shared: Arc::new(shared),
        }
    }

    /// Takes streams from other processes on `listener`, until `stop`.
    pub async fn serve(&self, listener: TcpListener, stop: impl Future<Output = ()>) -> Result<()> {
        let service = PeerServer::new(PeerService {
            shared: self.shared.clone(),
        });
        let service = service
            .max_decoding_message_size(FRAME_BYTES)
            .max_encoding_message_size(FRAME_BYTES);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stop)
            .await
            .map_err(|err| Error::Other(err.to_string()))
    }

    /// Sends a frame; `false` if there is no stream to `member`.
    pub fn send(&self, member: &MemberId, frame: Frame) -> bool {
        let table = self.shared.table();
        let open = table.links.get(member).and_then(|links| links.last());
        open.is_some_and(|open| open.frames.send(frame).is_ok())
    }

    /// Keeps a stream to `member` at `addr`.
    pub fn dial(&self, member: &MemberId, addr: SocketAddr) {
        let before = self.shared.table().dialed.insert(member.clone(), addr);
        if before == Some(addr) || *member == self.shared.me {
            return;
        }
        let shared = self.shared.clone();
        let member = member.clone();
        tokio::spawn(async move { keep_dialing(&shared, &member, addr).await });
    }

    /// Makes a stream to whoever is at `addr`, once.
    pub fn dial_seed(&self, addr: SocketAddr) {
        let shared = self.shared.clone();
        tokio::spawn(async move { dial_once(&shared, None, addr).await });
    }

    /// Keeps no stream to `member` any more.
    pub fn forget(&self, member: &MemberId) {
        let mut table = self.shared.table();
        table.dialed.remove(member);
        if table.links.remove(member).is_some() {
            self.shared.tell(LinkEvent::Down(member.clone()));
        }
    }

    /// Members that are dialed.
    pub fn dialed(&self) -> Vec<MemberId> {
        self.shared.table().dialed.keys().cloned().collect()
    }
}

async fn keep_dialing(shared: &Arc<Shared>, member: &MemberId, addr: SocketAddr) {
    while shared.wants(member, addr) {
        let linked = shared.table().links.contains_key(member);
        if !linked
            && let Err(err) = dial_once(shared, Some(member), addr).await
            && err.kind() == io::ErrorKind::ConnectionRefused
        {
            shared.tell(LinkEvent::Ended(member.clone()));
        }
        shared.timer.sleep(REDIAL).await;
    }
}

/// Keeps one stream to `wanted`, or to anyone, until it ends.
async fn dial_once(
    shared: &Arc<Shared>,
    wanted: Option<&MemberId>,
    addr: SocketAddr,
) -> io::Result<()> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(io::Error::other)?;
    let endpoint = endpoint.connect_timeout(DIAL_LIMIT).tcp_nodelay(true);
    let channel = endpoint.connect().await.map_err(|err| io_error(&err))?;
    let mut client = PeerClient::new(channel)
        .max_decoding_message_size(FRAME_BYTES)
        .max_encoding_message_size(FRAME_BYTES);
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
        Some(wanted) if *wanted != member => shared.tell(LinkEvent::Ended(wanted.clone())),
        _ => {
            let number = shared.opened(&member, tx);
            shared.read(number, &member, stream).await;
        }
    }
    Ok(())
}

/// Finds the operating system's error behind one of the transport.
fn io_error(err: &tonic::transport::Error) -> io::Error {
    let mut cause = err.source();
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<io::Error>() {
            return io::Error::from(err.kind());
        }
        cause = err.source();
    }
    io::Error::other("the connection failed")
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
            let number = shared.opened(&hello.from, tx);
            shared.read(number, &hello.from, stream).await;
        });
        let outgoing = UnboundedReceiverStream::new(rx).map(Ok);
        Ok(Response::new(Box::pin(outgoing)))
    }
}
