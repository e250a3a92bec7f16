//! How run times of one kind of jobs spread about what is expected of them.
//!
//! Kept as quantiles of recent ratios, on a worker of usual speed: long tails and
//! several humps are met as they are. From them placement tells how likely a task
//! is to make its job late at a gate.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::routes::Route;

/// Runs that are looked back on.
const RUNS: usize = 128;
/// Quantiles that are kept: a tail of three in a hundred is the last one.
const QUANTILES: usize = 32;
/// Runs after which quantiles are taken anew.
const REFRESH: u32 = 16;
/// Runs that are needed at least.
const FEWEST_RUNS: usize = 32;

/// Quantiles of run times against expectation, in rising order.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSpread {
    quantiles: [f64; QUANTILES],
}

/// Where a task would run, and by when its job is to be answered.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Time until it would begin, in microseconds.
    pub begin_us: f64,
    /// Run time there that is expected, in microseconds.
    pub run_us: f64,
    /// What a task's expected run time adds to the objective if it is the longest, in
    /// microseconds.
    pub stretched_us: f64,
    /// Time until the objective beyond that, in microseconds; below 0 if part of it is
    /// spent.
    pub slack_us: f64,
    /// Other tasks of the job.
    pub others: u32,
}

impl RunSpread {
    /// The spread of some ratios.
    pub fn of(ratios: impl Iterator<Item = f64>) -> Option<RunSpread> {
        let mut sorted: Vec<f64> = ratios.collect();
        if sorted.len() < FEWEST_RUNS {
            return None;
        }
        sorted.sort_unstable_by(f64::total_cmp);
        let rank = |index: usize| (2 * index + 1) * sorted.len() / (2 * QUANTILES);
        Some(RunSpread {
            quantiles: std::array::from_fn(|index| sorted[rank(index)]),
        })
    }

    /// Part of the runs with a ratio below `ratio`.
    fn part_below(&self, ratio: f64) -> f64 {
        let below = self.quantiles.partition_point(|quantile| *quantile < ratio);
        below as f64 / QUANTILES as f64
    }

    /// How likely the task ends after the objective of its job, which goes by the longest
    /// task: a long one may end later, and so may any beside a long one.
    pub fn miss_chance(&self, at: &Placement) -> f64 {
        let spent_us = at.begin_us - at.slack_us;
        if spent_us <= 0.0 && at.run_us <= at.stretched_us {
            return 0.0;
        }
        let chance = |ratio: &f64| {
            let longest = (spent_us + at.run_us * ratio) / at.stretched_us;
            match *ratio < longest {
                true => self.part_below(longest).powi(at.others as i32),
                false => 0.0,
            }
        };
        self.quantiles.iter().map(chance).sum::<f64>() / QUANTILES as f64
    }
}

/// Recent runs of one kind of jobs.
#[derive(Debug, Default)]
struct Kind {
    ratios: VecDeque<f64>,
    runs_us: VecDeque<u64>,
    fresh: u32,
    spread: Option<Arc<RunSpread>>,
    median_us: Option<u64>,
}

impl Kind {
    fn learn(&mut self, run_us: u64, ratio: f64) {
        if self.ratios.len() == RUNS {
            self.ratios.pop_front();
            self.runs_us.pop_front();
        }
        self.ratios.push_back(ratio);
        self.runs_us.push_back(run_us);
        self.fresh += 1;
        if self.fresh >= REFRESH {
            self.fresh = 0;
            self.spread = RunSpread::of(self.ratios.iter().copied()).map(Arc::new);
            let mut runs_us: Vec<u64> = self.runs_us.iter().copied().collect();
            let middle = runs_us.len() / 2;
            self.median_us = Some(*runs_us.select_nth_unstable(middle).1);
        }
    }
}

/// Spreads of the kinds of jobs, by the names of their routes.
#[derive(Debug, Default)]
pub struct RunSpreads {
    kinds: HashMap<Arc<str>, Kind>,
}

impl RunSpreads {
    /// A task took `run_us`; `expected_us` was expected on this worker.
    pub fn learn(&mut self, route: &Route, run_us: u64, expected_us: f64) {
        let kind = self.kinds.entry(route.name.clone()).or_default();
        kind.learn(run_us, run_us as f64 / expected_us.max(1.0));
    }

    /// The spread of a kind, once enough of its runs are known.
    pub fn of(&self, route: &Route) -> Option<Arc<RunSpread>> {
        self.kinds.get(&route.name)?.spread.clone()
    }

    /// Median run time of a kind, in microseconds.
    pub fn median_us(&self, route: &Route) -> Option<u64> {
        self.kinds.get(&route.name)?.median_us
    }
}
