//! `winghold bench`: puts load on a local fleet, injects faults, checks guarantees and reports
//! response times and costs.
//!
//! Policies are compared one after the other in the same process. The seed fixes the
//! submissions and their times. The load is an open loop.

pub mod caller;
pub mod capacity;
pub mod checker;
pub mod fault;
pub mod history;
pub mod report;
pub mod slope_fleet;
pub mod slopes;
pub mod throughput;
pub mod usage;
pub mod workload;

use std::sync::Arc;
use std::time::Duration;

use crate::config::{Config, Placement, Policy};
use crate::error::{Error, Result};
use crate::local::{LocalFleet, LocalOptions};
use crate::logging;
use crate::settings::LogLevel;
use caller::Callers;
use checker::check;
use fault::{Fault, Faults};
use history::History;
use report::{Report, RunReport};
use usage::Usage;
use workload::Workload;

/// Options of a bench.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Configuration document with bench loads.
    pub document: String,
    /// Fraction of the slots that the load occupies.
    pub load: f64,
    /// Duration of the load.
    pub length: Duration,
    /// Policies to compare.
    pub policies: Vec<Placement>,
    /// Faults, injected at the same time.
    pub faults: Vec<Fault>,
    /// Seed of the load.
    pub seed: u64,
    /// Number of targets.
    pub targets: usize,
    /// Log level of the fleet.
    pub log: LogLevel,
}

/// Queue length of targets under a baseline policy, which never rejects tasks.
const BASELINE_QUEUE: usize = 100_000;
/// One-way delay between failure domains.
const DOMAIN_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between callers and entries.
pub const CALLER_DELAY: Duration = Duration::from_millis(3);

/// Runs all policies and collects their reports.
pub fn run(options: &BenchOptions) -> Result<Report> {
    let runs: Result<Vec<RunReport>> = options
        .policies
        .iter()
        .map(|policy| run_policy(options, *policy))
        .collect();
    Ok(Report {
        load: options.load,
        seconds: options.length.as_secs_f64(),
        seed: options.seed,
        targets: options.targets,
        faults: options
            .faults
            .iter()
            .map(|fault| fault.name().to_string())
            .collect(),
        runs: runs?,
    })
}

fn run_policy(options: &BenchOptions, policy: Placement) -> Result<RunReport> {
    let mut config = Config::from_yaml(&options.document)?;
    config.policy.placement = policy;
    if !policy.binds_late() {
        apply_baseline_policy(&mut config.policy);
    }
    let document =
        serde_yaml_ng::to_string(&config).map_err(|err| Error::Other(err.to_string()))?;
    let local = LocalOptions {
        targets: options.targets,
        entries: 3,
        domain_delay: DOMAIN_DELAY,
        seed: options.seed,
        ..LocalOptions::default()
    };
    let slots = local.slots * options.targets as u32;
    let workload = Workload::plan(&config, slots, options.load, options.length, options.seed)?;
    let log = logging::logger("bench", options.log);
    let fleet = LocalFleet::start(&document, local, log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("callers")
        .enable_all()
        .build()?;
    runtime.block_on(measure(options, policy, &document, fleet, workload, slots))
}

/// Disables features that a baseline policy does not use.
fn apply_baseline_policy(policy: &mut Policy) {
    policy.reserved_slots = 0;
    policy.urgent_redirects = 0;
    policy.target_queue = BASELINE_QUEUE;
}

async fn measure(
    options: &BenchOptions,
    policy: Placement,
    document: &str,
    mut fleet: LocalFleet,
    workload: Workload,
    slots: u32,
) -> Result<RunReport> {
    fleet.wait_until_ready().await?;
    let history = Arc::new(History::default());
    let callers = Callers::new(&fleet, history.clone(), options.seed);
    let before = fleet.messages();
    let calls_before = fleet.store.calls();
    let usage_before = Usage::read();
    let started = fleet.timer.now();
    let load = tokio::spawn(callers.clone().run(workload.clone()));
    let mut faults = Faults::new(options.faults.clone(), options.length, document);
    let faults_result = faults.run(&mut fleet, &callers, &history).await;
    load.await.map_err(|err| Error::Other(err.to_string()))?;
    faults_result?;
    let seconds = fleet.timer.now().mono_us.saturating_sub(started.mono_us) as f64 / 1e6;
    let messages = fleet.messages().since(before);
    let calls = fleet.store.calls().since(calls_before);
    let usage = Usage::read().since(&usage_before);
    let starts = fleet.starts.all();
    let submissions = history.submissions();
    let violations = check(&history, &starts, &Config::from_yaml(document)?);
    let report = RunReport::new(policy, &submissions, slots, &violations);
    let report = report.with_starts(&submissions, &starts);
    let report = report.with_costs(messages, calls, usage, seconds, options.targets, &starts);
    tokio::task::spawn_blocking(move || fleet.stop())
        .await
        .map_err(|err| Error::Other(err.to_string()))??;
    Ok(report)
}
