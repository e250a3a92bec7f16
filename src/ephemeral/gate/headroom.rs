//! Room that runs leave free for more urgent ones.
//!
//! While a worker is full, a long run would take each slot that comes free, and a more
//! urgent one finds none until one of them ends. What a run leaves free is what more
//! urgent orders of late are likely to ask for before the next run ends.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ephemeral::job::Priority;
use crate::ephemeral::message::StartOrder;
use crate::time::{Moment, micros};

/// Time over which orders are looked back on: a few times what the slowest callers wait
/// for room, and short against a burst of some seconds.
const LOOK_BACK: Duration = Duration::from_secs(1);
/// Orders within the look-back below which a priority counts as absent.
const FEWEST_ORDERS: f64 = 1.0;
/// Chance that a more urgent run needs a slot from which the slot is left free. A job of
/// eight tasks is late if one of them is.
const LIKELY: f64 = 0.2;
/// Largest part of a worker that is left free, or one run where that is more.
const MOST_SHARE: f64 = 0.1;
/// Runs below which a worker that fits no more has no room to spare.
const FEWEST_RUNS: u64 = 4;
/// Times that a more urgent run may wait below which a run leaves nothing free: of several
/// such runs on a worker one ends within that wait.
const SHORT_RUN: f64 = 4.0;

/// Orders of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Orders within the look-back; older ones count for less.
    orders: f64,
    /// Mean processor time of a run, in thousandths of a core.
    cpu_milli: f64,
    /// Mean time until a run is to begin, in microseconds.
    due_us: f64,
    /// Mean run time that is expected, in microseconds.
    run_us: f64,
    at_us: u64,
}

impl Demand {
    fn orders(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.orders * (-elapsed_us / micros(LOOK_BACK) as f64).exp()
    }

    fn observe(&mut self, now: Moment, order: &StartOrder) {
        self.orders = self.orders(now) + 1.0;
        self.at_us = now.mono_us;
        let weight = 1.0 / self.orders;
        let means = [
            (&mut self.cpu_milli, order.needs.cpu_milli),
            (&mut self.due_us, order.due_us),
            (&mut self.run_us, order.expected_us),
        ];
        for (mean, value) in means {
            *mean += weight * (value as f64 - *mean);
        }
    }

    fn is_present(&self, now: Moment) -> bool {
        self.orders(now) >= FEWEST_ORDERS
    }

    /// Runs that are likely to be ordered within `span_us`.
    fn likely_runs(&self, now: Moment, span_us: u64) -> u64 {
        let mean = self.orders(now) * span_us as f64 / micros(LOOK_BACK) as f64;
        likely_count(mean)
    }
}

/// A run that may begin.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub priority: Priority,
    /// What it needs, in thousandths of a core.
    pub cpu_milli: u64,
    /// Run time that is expected, in microseconds.
    pub run_us: u64,
}

/// What is asked for at each priority.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    demand: BTreeMap<Priority, Demand>,
}

impl Headroom {
    /// An order came.
    pub fn observe(&mut self, now: Moment, order: &StartOrder) {
        let demand = self.demand.entry(order.priority).or_default();
        demand.observe(now, order);
    }

    /// Priorities from which the headroom may change, in no order.
    pub fn priorities(&self, now: Moment) -> impl Iterator<Item = Priority> {
        let present = self.demand.iter();
        let present = present.filter(move |(_, demand)| demand.is_present(now));
        present.flat_map(|(priority, _)| [*priority, Priority(priority.0.saturating_add(1))])
    }

    /// The usual run of a priority; a long one if nothing is known.
    pub fn usual(&self, priority: Priority) -> Candidate {
        let demand = self.demand.get(&priority);
        Candidate {
            priority,
            cpu_milli: demand.map_or(0, |demand| demand.cpu_milli as u64),
            run_us: demand.map_or(u64::MAX, |demand| demand.run_us as u64),
        }
    }

    /// Processor time that `run` leaves free on a worker of `capacity`, where the next room
    /// comes free in `next_us`.
    pub fn wanted(&self, now: Moment, run: &Candidate, next_us: u64, capacity: u64) -> u64 {
        if run.cpu_milli * FEWEST_RUNS > capacity {
            return 0;
        }
        let more_urgent = self.demand.range(..run.priority);
        let hindered = more_urgent
            .map(|(_, demand)| demand)
            .filter(|demand| run.run_us as f64 >= demand.due_us * SHORT_RUN)
            .filter(|demand| demand.is_present(now));
        let largest = hindered.clone().map(|demand| demand.cpu_milli);
        let most = largest.fold(capacity as f64 * MOST_SHARE, f64::max);
        let wanted = hindered.fold(0.0, |sum, demand| {
            let cpu_milli = demand.cpu_milli.max(1.0);
            let fit = ((most - sum) / cpu_milli).floor();
            sum + cpu_milli * fit.min(demand.likely_runs(now, next_us) as f64)
        });
        wanted as u64
    }
}

/// Largest count that is reached with a chance above [`LIKELY`] by independent events of
/// which `mean` are expected.
fn likely_count(mean: f64) -> u64 {
    let mut chance = (-mean).exp();
    let mut at_least = 1.0 - chance;
    let mut count = 0;
    while at_least > LIKELY && (count as f64) < mean * 2.0 + 1.0 {
        count += 1;
        chance *= mean / count as f64;
        at_least -= chance;
    }
    count
}
