//! Plans the submissions of a run from the bench loads of a configuration.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::config::{BenchLoad, Config, Kind};
use crate::error::{Error, Result};

/// 0.99 quantile of the standard normal distribution.
const Z_P99: f64 = 2.326;
/// Maximum run time as a multiple of the 99th percentile.
const MAX_RUN_TIME_FACTOR: f64 = 4.0;

/// Planned submission.
#[derive(Clone, Debug)]
pub struct PlannedSubmission {
    /// Time at which it is sent, from the start of the run.
    pub at: Duration,
    /// Service name.
    pub service: Arc<str>,
    /// Request kind.
    pub kind: Arc<str>,
    /// Run time of each task in milliseconds.
    pub run_ms: Vec<f64>,
    /// Whether it is a job.
    pub is_job: bool,
    /// Deadline relative to the time of sending.
    pub deadline: Duration,
    /// Team, if the configuration has teams.
    pub team: Option<Arc<str>>,
}

/// Submissions of a run, sorted by time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The submissions.
    pub submissions: Vec<PlannedSubmission>,
}

struct LoadSource<'c> {
    service: &'c str,
    kind: &'c Kind,
    load: &'c BenchLoad,
}

impl LoadSource<'_> {
    fn run_time(&self) -> Result<LogNormal<f64>> {
        let sigma = (self.load.p99_ms / self.load.median_ms).ln() / Z_P99;
        let run_time = LogNormal::new(self.load.median_ms.ln(), sigma.max(0.0));
        run_time.map_err(|err| Error::Other(err.to_string()))
    }

    fn mean_ms(&self) -> f64 {
        let sigma = (self.load.p99_ms / self.load.median_ms).ln() / Z_P99;
        self.load.median_ms * (sigma * sigma / 2.0).exp()
    }
}

impl Workload {
    /// Plans submissions that occupy a fraction `load` of `slots` for `length`.
    pub fn plan(
        config: &Config,
        slots: u32,
        load: f64,
        length: Duration,
        seed: u64,
    ) -> Result<Workload> {
        let sources = load_sources(config);
        if sources.is_empty() {
            let text = "services: no kind has a `bench` load".to_string();
            return Err(Error::Invalid(vec![text]));
        }
        let weights: f64 = sources.iter().map(|source| source.load.weight).sum();
        let mean_ms: f64 = sources
            .iter()
            .map(|source| source.load.weight / weights * source.mean_ms())
            .sum();
        let tasks_per_second = f64::from(slots) * load * 1_000.0 / mean_ms;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut submissions = Vec::new();
        for source in &sources {
            let tasks = tasks_per_second * source.load.weight / weights;
            plan_arrivals(source, tasks, length, config, &mut rng, &mut submissions)?;
        }
        submissions.sort_by_key(|planned| planned.at);
        Ok(Workload { submissions })
    }
}

fn load_sources(config: &Config) -> Vec<LoadSource<'_>> {
    let kinds = config.services.iter().flat_map(|service| {
        service
            .kinds
            .iter()
            .map(move |kind| (service.name.as_str(), kind))
    });
    let loads = kinds.filter_map(|(service, kind)| {
        let load = kind.bench.as_ref()?;
        Some(LoadSource {
            service,
            kind,
            load,
        })
    });
    loads.collect()
}

fn plan_arrivals(
    source: &LoadSource<'_>,
    tasks_per_second: f64,
    length: Duration,
    config: &Config,
    rng: &mut StdRng,
    submissions: &mut Vec<PlannedSubmission>,
) -> Result<()> {
    let per_arrival = f64::from(source.load.tasks * source.load.burst);
    let intervals = Exp::new(tasks_per_second / per_arrival);
    let intervals = intervals.map_err(|err| Error::Other(err.to_string()))?;
    let run_time = source.run_time()?;
    let mut at = 0.0;
    loop {
        at += intervals.sample(rng);
        if at >= length.as_secs_f64() {
            return Ok(());
        }
        for _ in 0..source.load.burst {
            submissions.push(plan_submission(source, at, &run_time, config, rng));
        }
    }
}

fn plan_submission(
    source: &LoadSource<'_>,
    at: f64,
    run_time: &LogNormal<f64>,
    config: &Config,
    rng: &mut StdRng,
) -> PlannedSubmission {
    let max_run_ms = source.load.p99_ms * MAX_RUN_TIME_FACTOR;
    let run_ms = (0..source.load.tasks).map(|_| run_time.sample(rng).min(max_run_ms));
    let run_ms = run_ms.collect();
    let team = match config.teams.len() {
        0 => None,
        count => Some(Arc::from(
            config.teams[rng.random_range(0..count)].name.as_str(),
        )),
    };
    PlannedSubmission {
        at: Duration::from_secs_f64(at),
        service: Arc::from(source.service),
        kind: Arc::from(source.kind.name.as_str()),
        run_ms,
        is_job: source.load.tasks > 1,
        deadline: Duration::from_millis(source.kind.deadline_ms),
        team,
    }
}
