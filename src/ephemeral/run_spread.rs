//! Spread of the run times of one route around their expected values.
//!
//! The spread is a set of quantiles of recent ratios of actual to expected run time.
//! Placement uses it to compute the chance that a task makes its job late.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::routes::Route;

/// Maximum number of recent runs kept.
const MAX_RUNS: usize = 128;
/// Number of quantiles kept.
const QUANTILES: usize = 32;
/// Number of new runs after which the quantiles are updated.
const REFRESH_RUNS: u32 = 16;
/// Minimum number of runs for a spread.
const MIN_RUNS: usize = 32;

/// Quantiles of actual to expected run time, in ascending order.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSpread {
    quantiles: [f64; QUANTILES],
}

/// Planned run of a task, and the time to its job's objective.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRun {
    /// Time until the run begins, in microseconds.
    pub begin_us: f64,
    /// Expected run time, in microseconds.
    pub run_us: f64,
    /// Objective without its slack, if the longest task takes the expected run time, in
    /// microseconds.
    pub stretched_us: f64,
    /// Slack of the objective that is left after the time since arrival, in microseconds;
    /// may be negative.
    pub slack_us: f64,
    /// Number of other tasks of the job.
    pub others: u32,
}

impl RunSpread {
    /// Computes the spread of some ratios; `None` if there are too few.
    pub fn from_ratios(ratios: impl Iterator<Item = f64>) -> Option<RunSpread> {
        let mut sorted: Vec<f64> = ratios.collect();
        if sorted.len() < MIN_RUNS {
            return None;
        }
        sorted.sort_unstable_by(f64::total_cmp);
        let rank = |index: usize| (2 * index + 1) * sorted.len() / (2 * QUANTILES);
        Some(RunSpread {
            quantiles: std::array::from_fn(|index| sorted[rank(index)]),
        })
    }

    /// Share of runs with a ratio below `ratio`.
    fn share_below(&self, ratio: f64) -> f64 {
        let below = self.quantiles.partition_point(|quantile| *quantile < ratio);
        below as f64 / QUANTILES as f64
    }

    /// Chance that the task makes its job late. The objective scales with the job's longest
    /// task, so a task may end later if another one takes longer.
    pub fn miss_chance(&self, planned: &PlannedRun) -> f64 {
        let spent_us = planned.begin_us - planned.slack_us;
        if spent_us <= 0.0 && planned.run_us <= planned.stretched_us {
            return 0.0;
        }
        let miss_chance_at = |ratio: &f64| {
            // Ratio that the longest task must have for this task to be in time.
            let needed = (spent_us + planned.run_us * ratio) / planned.stretched_us;
            match *ratio < needed {
                true => self.share_below(needed).powi(planned.others as i32),
                false => 0.0,
            }
        };
        self.quantiles.iter().map(miss_chance_at).sum::<f64>() / QUANTILES as f64
    }
}

/// Recent runs of one route.
#[derive(Debug, Default)]
struct RouteRuns {
    ratios: VecDeque<f64>,
    runs_us: VecDeque<u64>,
    runs_since_refresh: u32,
    spread: Option<Arc<RunSpread>>,
    median_us: Option<u64>,
}

impl RouteRuns {
    fn record(&mut self, run_us: u64, ratio: f64) {
        if self.ratios.len() == MAX_RUNS {
            self.ratios.pop_front();
            self.runs_us.pop_front();
        }
        self.ratios.push_back(ratio);
        self.runs_us.push_back(run_us);
        self.runs_since_refresh += 1;
        if self.runs_since_refresh >= REFRESH_RUNS {
            self.runs_since_refresh = 0;
            self.spread = RunSpread::from_ratios(self.ratios.iter().copied()).map(Arc::new);
            let mut runs_us: Vec<u64> = self.runs_us.iter().copied().collect();
            let middle = runs_us.len() / 2;
            self.median_us = Some(*runs_us.select_nth_unstable(middle).1);
        }
    }
}

/// Spreads by the names of the routes.
#[derive(Debug, Default)]
pub struct RunSpreads {
    routes: HashMap<Arc<str>, RouteRuns>,
}

impl RunSpreads {
    /// Records a run; `expected_us` is its expected run time on that worker.
    pub fn record(&mut self, route: &Route, run_us: u64, expected_us: f64) {
        let route_runs = self.routes.entry(route.name.clone()).or_default();
        route_runs.record(run_us, run_us as f64 / expected_us.max(1.0));
    }

    /// Spread of a route, if enough of its runs are recorded.
    pub fn get(&self, route: &Route) -> Option<Arc<RunSpread>> {
        self.routes.get(&route.name)?.spread.clone()
    }

    /// Median run time of a route, in microseconds.
    pub fn median_us(&self, route: &Route) -> Option<u64> {
        self.routes.get(&route.name)?.median_us
    }
}
