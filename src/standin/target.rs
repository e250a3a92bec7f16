//! Target that simulates tasks by sleeping and records every start for the checker.
//!
//! The payload may be a JSON object with the run time `run_ms`, and with `fail` to answer
//! with a failure. The answer is a JSON object that contains the payload as `echo`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::error::Result;
use crate::time::Timer;
use crate::worker::{LEASE_HEADER, STOPPED_STATUS, Usage};

/// Faults of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// Immediately answers every task with a failure.
    pub fails_everything: bool,
    /// Factor on run times.
    pub slowdown: f64,
    /// Accepts no connections and closes the open ones.
    pub dead: bool,
}

impl Default for TargetFaults {
    fn default() -> TargetFaults {
        TargetFaults {
            fails_everything: false,
            slowdown: 1.0,
            dead: false,
        }
    }
}

/// One start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRecord {
    /// Path of the task: submission and index.
    pub task: String,
    /// Name of the target.
    pub target: String,
    /// Time of the start on the monotonic clock of the fleet.
    pub at_us: u64,
    /// Whether the run finished.
    pub finished: bool,
}

/// Log of the starts at all targets.
#[derive(Debug, Default)]
pub struct StartLog {
    records: Mutex<Vec<StartRecord>>,
}

impl StartLog {
    fn records(&self) -> MutexGuard<'_, Vec<StartRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_start(&self, record: StartRecord) -> usize {
        let mut records = self.records();
        records.push(record);
        records.len() - 1
    }

    fn mark_finished(&self, index: usize) {
        self.records()[index].finished = true;
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<StartRecord> {
        self.records().clone()
    }
}

#[derive(Debug)]
struct RunningTask {
    stop: watch::Sender<bool>,
    lease_until_us: u64,
    lease_us: u64,
    throttled: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: TargetFaults,
    running: HashMap<String, RunningTask>,
    finished: u64,
    max_running: usize,
    reported: Usage,
    reported_us: u64,
}

struct Shared {
    name: String,
    timer: Timer,
    log: Arc<StartLog>,
    state: Mutex<State>,
    dead: watch::Sender<bool>,
}

/// Target with injectable faults.
#[derive(Clone)]
pub struct StandInTarget {
    shared: Arc<Shared>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TaskPayload {
    run_ms: f64,
    fail: bool,
}

/// Maximum age of a usage report.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

impl StandInTarget {
    /// Creates a target that records its starts in `log`.
    pub fn new(name: &str, timer: Timer, log: Arc<StartLog>) -> StandInTarget {
        let shared = Shared {
            name: name.to_string(),
            timer,
            log,
            state: Mutex::default(),
            dead: watch::channel(false).0,
        };
        StandInTarget {
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
    pub fn set_faults(&self, faults: TargetFaults) {
        self.shared.dead.send_replace(faults.dead);
        self.state().faults = faults;
    }

    /// Maximum number of tasks that ran concurrently.
    pub fn max_running(&self) -> usize {
        self.state().max_running
    }

    /// Serves on `listener`, which is closed while the target is dead.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let addr = listener.local_addr()?;
        let mut listener = Some(listener);
        let mut dead = self.shared.dead.subscribe();
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => TcpListener::bind(addr).await?,
            };
            tokio::select! {
                served = self.accept(&open) => return served,
                _ = dead.wait_for(|dead| *dead) => {}
            }
            drop(open);
            let _ = dead.wait_for(|dead| !*dead).await;
        }
    }

    async fn accept(&self, listener: &TcpListener) -> Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let target = self.clone();
            tokio::spawn(async move { target.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut dead = self.shared.dead.subscribe();
        let service = service_fn(|req| self.answer(req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            _ = dead.wait_for(|dead| *dead) => {}
        }
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
    ) -> std::result::Result<Response<Full<Bytes>>, hyper::Error> {
        let path = req.uri().path().to_string();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (req.method(), parts.as_slice()) {
            (&Method::POST, ["tasks", id, index]) => {
                let task = format!("{id}/{index}");
                return self.run(&task, req).await;
            }
            (&Method::POST, ["tasks", id, index, control]) => {
                self.control(&format!("{id}/{index}"), control);
                respond(StatusCode::NO_CONTENT, Bytes::new())
            }
            (&Method::GET, ["usage"]) => self.usage(),
            _ => respond(StatusCode::NOT_FOUND, Bytes::from_static(b"no such path")),
        };
        Ok(reply)
    }

    async fn run(
        &self,
        task: &str,
        req: Request<Incoming>,
    ) -> std::result::Result<Response<Full<Bytes>>, hyper::Error> {
        let lease = req
            .headers()
            .get(LEASE_HEADER)
            .and_then(|value| value.to_str().ok());
        let lease_ms: u64 = lease.and_then(|text| text.parse().ok()).unwrap_or(5_000);
        let payload = req.into_body().collect().await?.to_bytes();
        let task_payload: TaskPayload = serde_json::from_slice(&payload).unwrap_or_default();
        let record = self.record_start(task);
        let faults = self.state().faults.clone();
        let stop = self.begin_run(task, lease_ms);
        let run_ms = match faults.fails_everything {
            true => 0.0,
            false => task_payload.run_ms * faults.slowdown,
        };
        let stopped = self.simulate_run(task, run_ms, stop).await;
        self.end_run(task);
        if stopped {
            return Ok(respond(STOPPED_STATUS, Bytes::from_static(b"stopped")));
        }
        self.shared.log.mark_finished(record);
        if faults.fails_everything || task_payload.fail {
            let text = Bytes::from_static(b"told to fail");
            return Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, text));
        }
        Ok(respond(StatusCode::OK, self.echo(task, &payload)))
    }

    fn record_start(&self, task: &str) -> usize {
        self.shared.log.record_start(StartRecord {
            task: task.to_string(),
            target: self.shared.name.clone(),
            at_us: self.shared.timer.now().mono_us,
            finished: false,
        })
    }

    fn begin_run(&self, task: &str, lease_ms: u64) -> watch::Receiver<bool> {
        let (stop, stopped) = watch::channel(false);
        let lease_us = lease_ms * 1_000;
        let running = RunningTask {
            stop,
            lease_until_us: self.shared.timer.now().mono_us + lease_us,
            lease_us,
            throttled: false,
        };
        let mut state = self.state();
        state.running.insert(task.to_string(), running);
        state.max_running = state.max_running.max(state.running.len());
        stopped
    }

    /// Waits for `run_ms`; returns `true` if the task was stopped or its lease expired.
    async fn simulate_run(&self, task: &str, run_ms: f64, mut stop: watch::Receiver<bool>) -> bool {
        let mut remaining = Duration::from_secs_f64(run_ms.max(0.0) / 1_000.0);
        let step = Duration::from_secs(1);
        while !remaining.is_zero() {
            let slice = remaining.min(step);
            tokio::select! {
                () = self.shared.timer.sleep(slice) => {}
                _ = stop.wait_for(|stop| *stop) => return true,
            }
            let state = self.state();
            let Some(running) = state.running.get(task) else {
                return true;
            };
            if running.lease_until_us < self.shared.timer.now().mono_us {
                return true;
            }
            remaining -= if running.throttled { slice / 2 } else { slice };
        }
        false
    }

    fn end_run(&self, task: &str) {
        let mut state = self.state();
        state.running.remove(task);
        state.finished += 1;
    }

    fn control(&self, task: &str, control: &str) {
        let now_us = self.shared.timer.now().mono_us;
        let mut state = self.state();
        let Some(running) = state.running.get_mut(task) else {
            return;
        };
        match control {
            "lease" => running.lease_until_us = now_us + running.lease_us,
            "throttle" => running.throttled = true,
            "stop" => {
                running.stop.send_replace(true);
            }
            _ => {}
        }
    }

    /// Returns the latest usage report, which may be out of date.
    fn usage(&self) -> Response<Full<Bytes>> {
        let now_us = self.shared.timer.now().mono_us;
        let mut state = self.state();
        if now_us >= state.reported_us + USAGE_REPORT_INTERVAL.as_micros() as u64 {
            state.reported_us = now_us;
            state.reported = Usage {
                running: state.running.len() as u32,
                finished: state.finished,
                age_ms: 0,
            };
        }
        let mut usage = state.reported.clone();
        usage.age_ms = (now_us - state.reported_us) / 1_000;
        let body = serde_json::to_vec(&usage).unwrap_or_default();
        respond(StatusCode::OK, body.into())
    }

    fn echo(&self, task: &str, payload: &Bytes) -> Bytes {
        let echo = serde_json::from_slice::<serde_json::Value>(payload);
        let echo = echo.unwrap_or_else(|_| String::from_utf8_lossy(payload).into());
        let body = serde_json::json!({
            "echo": echo,
            "target": self.shared.name,
            "task": task,
        });
        body.to_string().into()
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}
