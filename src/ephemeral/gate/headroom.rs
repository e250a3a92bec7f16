//! Headroom: CPU that runs leave free for more urgent ones.
//!
//! On a full worker, long runs would take all room that is released, and a more urgent run
//! would wait for one of them to end. A run therefore starts only if it leaves free what
//! more urgent runs are likely to need before the next run ends, judged by the recent rate
//! of start orders.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ephemeral::job::Priority;
use crate::ephemeral::message::StartOrder;
use crate::time::{Moment, micros};

/// Time constant of the decaying order count; short compared with a burst of load.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Order count below which a priority counts as inactive.
const MIN_ORDERS: f64 = 1.0;
/// Room for a further urgent run is left free if it is needed with more than this
/// probability. Low, as a job of several tasks is late if one task is.
const MIN_PROBABILITY: f64 = 0.2;
/// Maximum fraction of a worker that is left free; one urgent run if that is more.
const MAX_SHARE: f64 = 0.1;
/// A run leaves headroom only on workers that fit at least this many of its size.
const MIN_RUNS: u64 = 4;
/// A run leaves headroom for urgent runs only if it takes at least this many times as long
/// as they can wait; of several shorter runs on a worker one ends within that wait.
const MIN_RUN_TIME_FACTOR: f64 = 4.0;

/// Recent start orders of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Decaying count of orders.
    orders: f64,
    /// Mean CPU of a run, in thousandths of a core.
    cpu_milli: f64,
    /// Mean time until a run is due, in microseconds.
    due_us: f64,
    /// Mean expected run time, in microseconds.
    run_us: f64,
    /// Time of the last order, in monotonic microseconds.
    updated_us: u64,
}

impl Demand {
    /// The count of orders, decayed until `now`.
    fn orders(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.updated_us) as f64;
        self.orders * (-elapsed_us / micros(DEMAND_WINDOW) as f64).exp()
    }

    fn observe(&mut self, now: Moment, order: &StartOrder) {
        self.orders = self.orders(now) + 1.0;
        self.updated_us = now.mono_us;
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

    fn is_active(&self, now: Moment) -> bool {
        self.orders(now) >= MIN_ORDERS
    }

    /// Likely number of orders within `span_us`.
    fn likely_runs(&self, now: Moment, span_us: u64) -> u64 {
        let mean = self.orders(now) * span_us as f64 / micros(DEMAND_WINDOW) as f64;
        likely_count(mean)
    }
}

/// A run that may start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub priority: Priority,
    /// CPU that it needs, in thousandths of a core.
    pub cpu_milli: u64,
    /// Expected run time, in microseconds.
    pub run_us: u64,
}

/// Estimates the required headroom from the recent start orders.
#[derive(Debug, Default)]
pub(super) struct HeadroomEstimator {
    by_priority: BTreeMap<Priority, Demand>,
}

impl HeadroomEstimator {
    /// Records an order.
    pub fn observe(&mut self, now: Moment, order: &StartOrder) {
        let demand = self.by_priority.entry(order.priority).or_default();
        demand.observe(now, order);
    }

    /// Priorities with recent orders and those just below them, unsorted. The required headroom
    /// may change at each of these.
    pub fn priorities(&self, now: Moment) -> impl Iterator<Item = Priority> {
        let active = self.by_priority.iter();
        let active = active.filter(move |(_, demand)| demand.is_active(now));
        active.flat_map(|(priority, _)| [*priority, Priority(priority.0.saturating_add(1))])
    }

    /// Mean run of a priority; one of unlimited run time if there were no orders.
    pub fn typical_run(&self, priority: Priority) -> Candidate {
        let demand = self.by_priority.get(&priority);
        Candidate {
            priority,
            cpu_milli: demand.map_or(0, |demand| demand.cpu_milli as u64),
            run_us: demand.map_or(u64::MAX, |demand| demand.run_us as u64),
        }
    }

    /// CPU that `run` must leave free on a worker of `capacity` if the next run ends in
    /// `next_us`; both in thousandths of a core.
    pub fn required(&self, now: Moment, run: &Candidate, next_us: u64, capacity: u64) -> u64 {
        if run.cpu_milli * MIN_RUNS > capacity {
            return 0;
        }
        let more_urgent = self.by_priority.range(..run.priority);
        let delayed = more_urgent
            .map(|(_, demand)| demand)
            .filter(|demand| run.run_us as f64 >= demand.due_us * MIN_RUN_TIME_FACTOR)
            .filter(|demand| demand.is_active(now));
        let largest = delayed.clone().map(|demand| demand.cpu_milli);
        let limit = largest.fold(capacity as f64 * MAX_SHARE, f64::max);
        let required = delayed.fold(0.0, |sum, demand| {
            let cpu_milli = demand.cpu_milli.max(1.0);
            let fit = ((limit - sum) / cpu_milli).floor();
            sum + cpu_milli * fit.min(demand.likely_runs(now, next_us) as f64)
        });
        required as u64
    }
}

/// Largest number of events that occurs with a probability above [`MIN_PROBABILITY`], for a
/// Poisson distribution with this mean.
fn likely_count(mean: f64) -> u64 {
    let mut chance = (-mean).exp();
    let mut at_least = 1.0 - chance;
    let mut count = 0;
    while at_least > MIN_PROBABILITY && (count as f64) < mean * 2.0 + 1.0 {
        count += 1;
        chance *= mean / count as f64;
        at_least -= chance;
    }
    count
}
