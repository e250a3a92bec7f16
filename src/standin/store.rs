//! A store in memory: compare-and-swap, leases, watches, and its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::error::{Error, Result};
use crate::rpc::key_value::key_value_server::{KeyValue, KeyValueServer};
use crate::store::{Expect, LeaseId, StoreEntry, StoreReply, StoreRequest};
use crate::time::{Moment, Timer};

/// How the store misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Answers nothing and does nothing.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub slow_ms: u64,
    /// Share of writes, in percent, that take effect and are not answered.
    pub lose_answers_percent: u32,
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Writes, leases included.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Watches that were begun.
    pub watches: u64,
    /// Calls over the rate.
    pub limited: u64,
    /// Most writes within one second.
    pub peak_writes: u64,
    /// Most reads and watches within one second.
    pub peak_reads: u64,
}

impl StoreCalls {
    /// What came since `before`; the peaks stay.
    pub fn since(self, before: StoreCalls) -> StoreCalls {
        StoreCalls {
            writes: self.writes - before.writes,
            reads: self.reads - before.reads,
            watches: self.watches - before.watches,
            limited: self.limited - before.limited,
            ..self
        }
    }
}

/// What the platform promises.
#[derive(Clone, Copy, Debug)]
pub struct StoreRates {
    /// Writes a second.
    pub writes: u64,
    /// Reads a second; a waiting watch counts as one.
    pub reads: u64,
}

impl Default for StoreRates {
    fn default() -> StoreRates {
        StoreRates {
            writes: 300,
            reads: 2_000,
        }
    }
}

#[derive(Debug)]
struct Value {
    value: Bytes,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Leased {
    ttl_us: u64,
    until_us: u64,
}

#[derive(Debug, Default)]
struct Second {
    number: u64,
    writes: u64,
    reads: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Revision of the latest change under any key.
    keys: BTreeMap<String, Value>,
    leases: BTreeMap<LeaseId, Leased>,
    granted: u64,
    faults: StoreFaults,
    calls: StoreCalls,
    second: Second,
    drawn: u32,
}

impl State {
    fn expire(&mut self, now: Moment) -> bool {
        let over = |leased: &Leased| leased.until_us <= now.mono_us;
        let leases = self.leases.iter();
        let ended: Vec<LeaseId> = leases
            .filter(|(_, leased)| over(leased))
            .map(|(id, _)| *id)
            .collect();
        let before = self.revision;
        for lease in ended {
            self.end_lease(lease);
        }
        self.revision > before
    }

    fn end_lease(&mut self, lease: LeaseId) -> bool {
        self.leases.remove(&lease);
        let before = self.keys.len();
        self.keys.retain(|_, value| value.lease != Some(lease));
        let changed = self.keys.len() < before;
        if changed {
            self.revision += 1;
        }
        changed
    }

    fn entries(&self, prefix: &str) -> StoreReply {
        let keys = self.keys.range(prefix.to_string()..);
        let with_prefix = keys.take_while(|(key, _)| key.starts_with(prefix));
        let entries = with_prefix.map(|(key, value)| value.entry(key)).collect();
        StoreReply::Entries {
            revision: self.revision,
            entries,
        }
    }

    fn put(&mut self, put: Put) -> StoreReply {
        let current = self.keys.get(&put.key);
        let found = current.map(|value| value.revision);
        let wanted = match put.expect {
            Expect::Absent => None,
            Expect::Revision(revision) => Some(revision),
        };
        if found != wanted {
            let current = current.map(|value| value.entry(&put.key));
            return StoreReply::Conflict { current };
        }
        if put
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease))
        {
            return StoreReply::LeaseGone;
        }
        self.revision += 1;
        let revision = self.revision;
        let value = Value {
            value: put.value,
            revision,
            lease: put.lease,
        };
        self.keys.insert(put.key, value);
        StoreReply::Written { revision }
    }

    fn grant(&mut self, now: Moment, ttl_ms: u64) -> StoreReply {
        self.granted += 1;
        let lease = LeaseId(self.granted);
        let ttl_us = ttl_ms * 1_000;
        let until_us = now.mono_us + ttl_us;
        self.leases.insert(lease, Leased { ttl_us, until_us });
        StoreReply::Lease { lease }
    }

    fn renew(&mut self, now: Moment, lease: LeaseId) -> StoreReply {
        match self.leases.get_mut(&lease) {
            Some(leased) => {
                leased.until_us = now.mono_us + leased.ttl_us;
                StoreReply::Lease { lease }
            }
            None => StoreReply::LeaseGone,
        }
    }

    fn admits(&mut self, now: Moment, rates: StoreRates, write: bool) -> bool {
        let number = now.mono_us / 1_000_000;
        if number != self.second.number {
            self.second = Second {
                number,
                ..Second::default()
            };
        }
        let (count, rate) = match write {
            true => (&mut self.second.writes, rates.writes),
            false => (&mut self.second.reads, rates.reads),
        };
        *count += 1;
        let admitted = *count <= rate;
        self.calls.peak_writes = self.calls.peak_writes.max(self.second.writes);
        self.calls.peak_reads = self.calls.peak_reads.max(self.second.reads);
        admitted
    }

    /// Whether the answer of this write is lost; every hundred draws lose as
    /// many as the percentage says.
    fn loses_answer(&mut self) -> bool {
        self.drawn = (self.drawn + 37) % 100;
        self.drawn < self.faults.lose_answers_percent
    }
}

struct Put {
    key: String,
    value: Bytes,
    expect: Expect,
    lease: Option<LeaseId>,
}

impl Value {
    fn entry(&self, key: &str) -> StoreEntry {
        StoreEntry {
            key: key.to_string(),
            value: self.value.clone(),
            revision: self.revision,
            lease: self.lease,
        }
    }
}

struct Shared {
    timer: Timer,
    rates: StoreRates,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// A store in memory that several processes can call.
#[derive(Clone)]
pub struct StandInStore {
    shared: Arc<Shared>,
}

impl StandInStore {
    /// An empty store.
    pub fn new(timer: Timer, rates: StoreRates) -> StandInStore {
        let shared = Shared {
            timer,
            rates,
            state: Mutex::default(),
            changed: watch::channel(0).0,
        };
        StandInStore {
            shared: Arc::new(shared),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the store misbehaves.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// How the store misbehaves now.
    pub fn faults(&self) -> StoreFaults {
        self.state().faults.clone()
    }

    /// Calls since the start.
    pub fn calls(&self) -> StoreCalls {
        self.state().calls
    }

    /// Serves on `listener` until `stop`.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) -> Result<()> {
        let expiry = self.clone();
        let expiring = tokio::spawn(async move { expiry.expire_leases().await });
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let served = Server::builder()
            .add_service(KeyValueServer::new(self))
            .serve_with_incoming_shutdown(incoming, stop)
            .await;
        expiring.abort();
        served.map_err(|err| Error::Other(err.to_string()))
    }

    async fn expire_leases(&self) {
        let mut ticks = self.shared.timer.interval(Duration::from_millis(20));
        while ticks.recv().await.is_some() {
            let now = self.shared.timer.now();
            if self.state().expire(now) {
                self.shared.changed.send_modify(|count| *count += 1);
            }
        }
    }

    async fn answer(&self, req: StoreRequest) -> std::result::Result<StoreReply, Status> {
        let lost = || Status::unavailable("no answer");
        let faults = self.state().faults.clone();
        if faults.down {
            return Err(lost());
        }
        self.shared
            .timer
            .sleep(Duration::from_millis(faults.slow_ms))
            .await;
        let write = is_write(&req);
        if !self.count(&req, write) {
            return Ok(StoreReply::RateLimited);
        }
        let reply = self.apply(req).await?;
        if write && self.state().loses_answer() {
            return Err(lost());
        }
        Ok(reply)
    }

    fn count(&self, req: &StoreRequest, write: bool) -> bool {
        let now = self.shared.timer.now();
        let mut state = self.state();
        let calls = &mut state.calls;
        match req {
            StoreRequest::Watch { .. } => calls.watches += 1,
            _ if write => calls.writes += 1,
            _ => calls.reads += 1,
        }
        let admitted = state.admits(now, self.shared.rates, write);
        if !admitted {
            state.calls.limited += 1;
        }
        admitted
    }

    async fn apply(&self, req: StoreRequest) -> std::result::Result<StoreReply, Status> {
        let now = self.shared.timer.now();
        let reply = match req {
            StoreRequest::Get { prefix } => return Ok(self.state().entries(&prefix)),
            StoreRequest::Watch {
                prefix,
                after,
                wait_ms,
            } => {
                return self.watch(&prefix, after, wait_ms).await;
            }
            StoreRequest::Put {
                key,
                value,
                expect,
                lease,
            } => self.state().put(Put {
                key,
                value,
                expect,
                lease,
            }),
            StoreRequest::Grant { ttl_ms } => self.state().grant(now, ttl_ms),
            StoreRequest::Renew { lease } => return Ok(self.state().renew(now, lease)),
            StoreRequest::Revoke { lease } => {
                self.state().end_lease(lease);
                StoreReply::Lease { lease }
            }
        };
        self.shared.changed.send_modify(|count| *count += 1);
        Ok(reply)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> std::result::Result<StoreReply, Status> {
        let mut changed = self.shared.changed.subscribe();
        let limit = self.shared.timer.sleep(Duration::from_millis(wait_ms));
        tokio::pin!(limit);
        loop {
            if self.state().faults.down {
                return Err(Status::unavailable("no answer"));
            }
            if self.state().revision > after {
                break;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = &mut limit => break,
            }
        }
        Ok(self.state().entries(prefix))
    }
}

fn is_write(req: &StoreRequest) -> bool {
    !matches!(req, StoreRequest::Get { .. } | StoreRequest::Watch { .. })
}

#[tonic::async_trait]
impl KeyValue for StandInStore {
    async fn call(
        &self,
        req: Request<StoreRequest>,
    ) -> std::result::Result<Response<StoreReply>, Status> {
        self.answer(req.into_inner()).await.map(Response::new)
    }
}

/// Binds a listener on a free port of the loopback address.
pub async fn bind_free() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}
