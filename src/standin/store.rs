//! In-memory store with compare-and-swap, leases, watches and injectable faults.

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

/// Faults of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Fails every call and has no effect.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub slow_ms: u64,
    /// Percentage of writes that take effect but get no answer.
    pub lose_answers_percent: u32,
}

/// Counts of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Writes, leases included.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Started watches.
    pub watches: u64,
    /// Calls rejected by the rate limit.
    pub limited: u64,
    /// Maximum number of writes within one second.
    pub peak_writes: u64,
    /// Maximum number of reads and watches within one second.
    pub peak_reads: u64,
}

impl StoreCalls {
    /// Difference from the earlier counts `before`; the peaks are not reduced.
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

/// Rate limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreRates {
    /// Writes per second.
    pub writes: u64,
    /// Reads per second; a watch counts as one read.
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
struct StoredValue {
    value: Bytes,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct LeaseState {
    ttl_us: u64,
    until_us: u64,
}

#[derive(Debug, Default)]
struct SecondCounts {
    number: u64,
    writes: u64,
    reads: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Revision of the latest change of any key.
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, LeaseState>,
    last_lease: u64,
    faults: StoreFaults,
    calls: StoreCalls,
    current_second: SecondCounts,
    loss_counter: u32,
}

impl State {
    fn expire(&mut self, now: Moment) -> bool {
        let has_expired = |lease: &LeaseState| lease.until_us <= now.mono_us;
        let leases = self.leases.iter();
        let ended: Vec<LeaseId> = leases
            .filter(|(_, lease)| has_expired(lease))
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
        let expected = match put.expect {
            Expect::Absent => None,
            Expect::Revision(revision) => Some(revision),
        };
        if found != expected {
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
        let value = StoredValue {
            value: put.value,
            revision,
            lease: put.lease,
        };
        self.keys.insert(put.key, value);
        StoreReply::Written { revision }
    }

    fn grant(&mut self, now: Moment, ttl_ms: u64) -> StoreReply {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        let ttl_us = ttl_ms * 1_000;
        let until_us = now.mono_us + ttl_us;
        self.leases.insert(lease, LeaseState { ttl_us, until_us });
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

    fn admit(&mut self, now: Moment, rates: StoreRates, write: bool) -> bool {
        let number = now.mono_us / 1_000_000;
        if number != self.current_second.number {
            self.current_second = SecondCounts {
                number,
                ..SecondCounts::default()
            };
        }
        let (count, rate) = match write {
            true => (&mut self.current_second.writes, rates.writes),
            false => (&mut self.current_second.reads, rates.reads),
        };
        *count += 1;
        let admitted = *count <= rate;
        self.calls.peak_writes = self.calls.peak_writes.max(self.current_second.writes);
        self.calls.peak_reads = self.calls.peak_reads.max(self.current_second.reads);
        admitted
    }

    /// Decides whether the answer to a write is lost. Of every 100 writes, exactly the
    /// configured percentage loses its answer.
    fn should_lose_answer(&mut self) -> bool {
        self.loss_counter = (self.loss_counter + 37) % 100;
        self.loss_counter < self.faults.lose_answers_percent
    }
}

struct Put {
    key: String,
    value: Bytes,
    expect: Expect,
    lease: Option<LeaseId>,
}

impl StoredValue {
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

/// In-memory store that several processes can call over gRPC.
#[derive(Clone)]
pub struct StandInStore {
    shared: Arc<Shared>,
}

impl StandInStore {
    /// Creates an empty store.
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

    /// Sets the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Current faults.
    pub fn faults(&self) -> StoreFaults {
        self.state().faults.clone()
    }

    /// Counts of calls since the start.
    pub fn calls(&self) -> StoreCalls {
        self.state().calls
    }

    /// Serves on `listener` until `stop`.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) -> Result<()> {
        let store = self.clone();
        let expiry_task = tokio::spawn(async move { store.expire_leases().await });
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let served = Server::builder()
            .add_service(KeyValueServer::new(self))
            .serve_with_incoming_shutdown(incoming, stop)
            .await;
        expiry_task.abort();
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
        let no_answer = || Status::unavailable("no answer");
        let faults = self.state().faults.clone();
        if faults.down {
            return Err(no_answer());
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
        if write && self.state().should_lose_answer() {
            return Err(no_answer());
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
        let admitted = state.admit(now, self.shared.rates, write);
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
