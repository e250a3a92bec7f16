//! Interface of a gate to its worker, and its HTTP implementation [`HttpWorker`].
//!
//! A task runs under a lease that the agent renews. A target stops a task whose lease has
//! expired, so no task outlives its agent by more than a lease.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::gate::RunResult;
use crate::id::TaskId;
use crate::message::TaskOutcome;
use crate::time::Timer;

/// Request header with the duration of a task's lease in milliseconds.
pub const LEASE_HEADER: &str = "winghold-lease-ms";
/// Response status of a target that stopped the task.
pub const STOPPED_STATUS: StatusCode = StatusCode::GONE;

/// Request to run a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Payload for the target.
    pub payload: Bytes,
    /// Duration of the lease.
    pub lease: Duration,
    /// Time after which the task is stopped.
    pub timeout: Duration,
}

/// Usage report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of running tasks.
    pub running: u32,
    /// Number of finished tasks.
    pub finished: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Control command for a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Renew its lease.
    Renew,
    /// Save its state.
    Checkpoint,
    /// Slow it down.
    Throttle,
    /// Stop it.
    Stop,
}

impl Control {
    fn path(self) -> &'static str {
        match self {
            Control::Renew => "/lease",
            Control::Checkpoint => "/checkpoint",
            Control::Throttle => "/throttle",
            Control::Stop => "/stop",
        }
    }
}

/// Future of a worker's reply.
pub type WorkerFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Worker that runs tasks.
pub trait Worker: Send + Sync {
    /// Runs a task to completion.
    fn run(&self, run: Run) -> WorkerFuture<RunResult>;

    /// Sends a control command for a running task.
    fn control(&self, task: TaskId, control: Control) -> WorkerFuture<()>;

    /// Latest usage report, if the worker replies.
    fn usage(&self) -> WorkerFuture<Option<Usage>>;
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP client of a target.
#[derive(Clone)]
pub struct HttpWorker {
    target: SocketAddr,
    client: HttpClient,
    connections: Arc<Semaphore>,
    timer: Timer,
}

impl HttpWorker {
    /// Creates a client of `target` with at most `connections` connections for tasks.
    pub fn new(target: SocketAddr, connections: u32, timer: Timer) -> HttpWorker {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(connections as usize)
            .build(connector);
        HttpWorker {
            target,
            client,
            connections: Arc::new(Semaphore::new(connections as usize)),
            timer,
        }
    }

    async fn run_to_end(&self, run: Run) -> RunResult {
        let Ok(_permit) = self.connections.acquire().await else {
            return RunResult::NotConnected;
        };
        let (task, lease, timeout) = (run.task, run.lease, run.timeout);
        let call = self.post(run);
        tokio::pin!(call);
        let renewals = self.renew_lease(task, lease);
        tokio::pin!(renewals);
        tokio::select! {
            result = &mut call => result,
            () = &mut renewals => RunResult::Ended(TaskOutcome::Lost),
            () = self.timer.sleep(timeout) => {
                self.send_control(task, Control::Stop).await;
                RunResult::Ended(TaskOutcome::Lost)
            }
        }
    }

    async fn post(&self, run: Run) -> RunResult {
        let path = task_path(run.task, "");
        let lease_ms = run.lease.as_millis().to_string();
        let builder = Request::builder().method(Method::POST);
        let builder = builder.uri(format!("http://{}{path}", self.target));
        let builder = builder.header(LEASE_HEADER, lease_ms);
        let Ok(req) = builder.body(Full::new(run.payload)) else {
            return RunResult::NotConnected;
        };
        let reply = match self.client.request(req).await {
            Ok(reply) => reply,
            Err(err) if err.is_connect() => return RunResult::NotConnected,
            Err(_) => return RunResult::Ended(TaskOutcome::Lost),
        };
        let status = reply.status();
        let Ok(body) = reply.into_body().collect().await else {
            return RunResult::Ended(TaskOutcome::Lost);
        };
        RunResult::Ended(task_outcome(status, body.to_bytes()))
    }

    /// Renews a task's lease until dropped.
    async fn renew_lease(&self, task: TaskId, lease: Duration) {
        loop {
            self.timer.sleep(lease / 2).await;
            self.send_control(task, Control::Renew).await;
        }
    }

    async fn send_control(&self, task: TaskId, control: Control) {
        let path = task_path(task, control.path());
        let builder = Request::builder().method(Method::POST);
        let builder = builder.uri(format!("http://{}{path}", self.target));
        if let Ok(req) = builder.body(Full::default()) {
            let _ = self.client.request(req).await;
        }
    }

    async fn fetch_usage(&self) -> Option<Usage> {
        let uri = format!("http://{}/usage", self.target);
        let req = Request::builder().uri(uri).body(Full::default()).ok()?;
        let reply = self.client.request(req).await.ok()?;
        let body = reply.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}

/// URL path of a task at its target.
pub fn task_path(task: TaskId, control: &str) -> String {
    format!("/tasks/{}/{}{control}", task.submission, task.index)
}

fn task_outcome(status: StatusCode, body: Bytes) -> TaskOutcome {
    if status.is_success() {
        TaskOutcome::Done(body)
    } else if status == STOPPED_STATUS {
        TaskOutcome::Stopped
    } else {
        TaskOutcome::Failed {
            status: status.as_u16(),
            body,
        }
    }
}

impl Worker for HttpWorker {
    fn run(&self, run: Run) -> WorkerFuture<RunResult> {
        let worker = self.clone();
        Box::pin(async move { worker.run_to_end(run).await })
    }

    fn control(&self, task: TaskId, control: Control) -> WorkerFuture<()> {
        let worker = self.clone();
        Box::pin(async move { worker.send_control(task, control).await })
    }

    fn usage(&self) -> WorkerFuture<Option<Usage>> {
        let worker = self.clone();
        Box::pin(async move { worker.fetch_usage().await })
    }
}
