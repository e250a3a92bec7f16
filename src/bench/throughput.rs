//! Measures the throughput of empty tasks through one entry and one agent.
//!
//! A worker inside the agent's process answers immediately, so that only winghold's own
//! overhead per task is measured.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use http::Method;
use tokio::task::JoinSet;

use crate::agent::{Agent, AgentParts};
use crate::bench::usage::Usage;
use crate::client::EntryClient;
use crate::config::Config;
use crate::error::{Error, Result};
use crate::gate::RunResult;
use crate::host::{Host, Ready};
use crate::id::TaskId;
use crate::local::{LocalFleet, LocalOptions};
use crate::logging;
use crate::message::TaskOutcome;
use crate::store::Store;
use crate::store_client::StoreClient;
use crate::time::Timer;
use crate::worker::{Control, Run, Usage as WorkerUsage, Worker, WorkerFuture};

const CONFIG: &str = "
regions: [{ name: here, failure_domains: [one] }]
services: [{ name: bench, kinds: [{ name: nothing, expected_ms: 1 }] }]
ownership: { self_placement: true, retention_ms: 60000 }
policy: { target_queue: 100000, owner_queue: 1000000, reserved_slots: 0, urgent_redirects: 0 }
";
const SLOTS: u32 = 256;
/// Duration of the load before the measurement.
const WARM_UP_TIME: Duration = Duration::from_millis(500);

struct EchoWorker;

impl Worker for EchoWorker {
    fn run(&self, run: Run) -> WorkerFuture<RunResult> {
        Box::pin(async move { RunResult::Ended(TaskOutcome::Done(run.payload)) })
    }

    fn control(&self, _task: TaskId, _control: Control) -> WorkerFuture<()> {
        Box::pin(async {})
    }

    fn usage(&self) -> WorkerFuture<Option<WorkerUsage>> {
        Box::pin(async { None })
    }
}

/// Measured throughput.
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Number of tasks per job.
    pub tasks_per_job: usize,
    /// Tasks per second.
    pub tasks_per_second: f64,
    /// CPU usage of the entry in percent of a core.
    pub entry_cpu_percent: f64,
    /// CPU usage of the agent in percent of a core.
    pub agent_cpu_percent: f64,
}

impl Throughput {
    /// CPU time of the entry per task in microseconds.
    pub fn entry_us_per_task(&self) -> f64 {
        self.entry_cpu_percent * 1e4 / self.tasks_per_second
    }

    /// CPU time of the agent per task in microseconds.
    pub fn agent_us_per_task(&self) -> f64 {
        self.agent_cpu_percent * 1e4 / self.tasks_per_second
    }

    /// Formats the measurement as text.
    pub fn table(&self) -> String {
        format!(
            "{} tasks per job: {:.0} tasks/s; entry {:.0}% of a core, {:.1} us per task; \
             agent {:.0}% of a core, {:.1} us per task\n",
            self.tasks_per_job,
            self.tasks_per_second,
            self.entry_cpu_percent,
            self.entry_us_per_task(),
            self.agent_cpu_percent,
            self.agent_us_per_task()
        )
    }
}

/// Measures jobs of `tasks` tasks, `jobs` concurrently, for `length`.
pub fn run(tasks: usize, jobs: usize, length: Duration) -> Result<Throughput> {
    let options = LocalOptions {
        targets: 0,
        entries: 1,
        ..LocalOptions::default()
    };
    let fleet = LocalFleet::start(CONFIG, options, logging::discard())?;
    let mut agent = start_agent(&fleet)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("callers")
        .enable_all()
        .build()?;
    let measured = runtime.block_on(measure(&fleet, tasks, jobs, length));
    agent.kill();
    fleet.stop()?;
    measured
}

fn start_agent(fleet: &LocalFleet) -> Result<Host> {
    let mut settings = fleet.agent_settings("one-agent", "bench");
    settings.slots = SLOTS;
    let timer = fleet.timer.clone();
    Host::start("one-agent", move |stop, ready: Sender<Ready>| async move {
        let store = Arc::new(StoreClient::new(settings.process.store, timer.clone())?);
        let store: Arc<dyn Store> = store;
        let worker = Arc::new(EchoWorker);
        let parts = AgentParts::new(settings, store, worker, timer, logging::discard());
        let agent = Agent::bind(parts).await?;
        let (addr, message_counters) = (agent.addr(), agent.message_counters());
        let _ = ready.send(Ready {
            addr,
            message_counters,
        });
        agent.run(stop).await
    })
}

async fn measure(
    fleet: &LocalFleet,
    tasks: usize,
    jobs: usize,
    length: Duration,
) -> Result<Throughput> {
    Config::from_yaml(CONFIG)?;
    fleet.wait_for_entries().await?;
    run_jobs(fleet, tasks, jobs, WARM_UP_TIME).await?;
    let before = Usage::read();
    let started = fleet.timer.now();
    let finished = run_jobs(fleet, tasks, jobs, length).await?;
    let seconds = (fleet.timer.now().mono_us - started.mono_us) as f64 / 1e6;
    let usage = Usage::read().since(&before);
    Ok(Throughput {
        tasks_per_job: tasks,
        tasks_per_second: finished as f64 / seconds,
        entry_cpu_percent: usage.cpu_seconds_of("entry-") / seconds * 100.0,
        agent_cpu_percent: usage.cpu_seconds_of("one-agent") / seconds * 100.0,
    })
}

/// Keeps `jobs` jobs in flight for `length`; returns the number of finished tasks.
async fn run_jobs(
    fleet: &LocalFleet,
    tasks: usize,
    jobs: usize,
    length: Duration,
) -> Result<usize> {
    let client = EntryClient::new(fleet.entries[0].addr);
    let body = format!("{{\"tasks\":[{}]}}", vec!["0"; tasks].join(","));
    let until_us = fleet.timer.now().after(length);
    let mut callers = JoinSet::new();
    for _ in 0..jobs {
        let (client, timer, body) = (client.clone(), fleet.timer.clone(), body.clone());
        callers.spawn(async move { submit_until(&client, &timer, &body, until_us).await });
    }
    let mut finished = 0;
    while let Some(calls) = callers.join_next().await {
        finished += calls.map_err(|err| Error::Other(err.to_string()))?? * tasks;
    }
    Ok(finished)
}

async fn submit_until(
    client: &EntryClient,
    timer: &Timer,
    body: &str,
    until_us: u64,
) -> Result<usize> {
    let mut calls = 0;
    while timer.now().mono_us < until_us {
        let path = "/v1/services/bench/jobs";
        let reply = client
            .call(Method::POST, path, &[], body.to_string())
            .await?;
        if reply.status != 200 {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(Error::Other(text));
        }
        calls += 1;
    }
    Ok(calls)
}
