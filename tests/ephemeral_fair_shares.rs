//! Fair shares between kinds of jobs while capacity is short.

mod dispatcher_bench;

use std::sync::Arc;

use dispatcher_bench::{Bench, MS, full, job, load, route};
use winghold::code::ResultCode;
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::message::GateLoad;
use winghold::ephemeral::routes::Route;
use winghold::ephemeral::scheduling::Scheduling;
use winghold::message::Answer;

/// Usual demand of each route, in jobs per second.
const USUAL_RATE: u64 = 10;

struct Site {
    bench: Bench,
    jobs: u64,
}

impl Site {
    fn new() -> Site {
        let mut bench = Bench::new(1);
        bench.dispatcher.set_scheduling(Scheduling {
            fair_shares: true,
            ..Scheduling::default()
        });
        Site { bench, jobs: 0 }
    }

    /// Submits a job on the route `name`; returns whether it is refused at once.
    fn refuses(&mut self, load: &GateLoad, name: &str, priority: u8) -> bool {
        self.bench.load(1, load.clone());
        self.jobs += 1;
        let route = Arc::new(Route {
            name: name.into(),
            ..(*route(priority)).clone()
        });
        let (now, waiter) = (self.bench.now, WaiterId(self.jobs));
        let spec = job(self.jobs, 1);
        self.bench
            .dispatcher
            .submit(now, waiter, spec, route, 2_000 * MS);
        self.bench.collect();
        let is_refusal = |(of, answer): &(WaiterId, Answer)| {
            *of == waiter && answer.code == ResultCode::Overloaded
        };
        self.bench.answers.iter().any(is_refusal)
    }

    /// Submits five times the usual demand on `burst` for two seconds; returns the refused
    /// jobs on `calm` and on `burst`.
    fn burst(&mut self, load: &GateLoad, priority: u8) -> (u64, u64) {
        let mut refused = (0, 0);
        for _ in 0..2 * USUAL_RATE {
            refused.0 += u64::from(self.refuses(load, "calm", 1));
            for _ in 0..5 {
                refused.1 += u64::from(self.refuses(load, "burst", priority));
            }
            self.bench.advance(1_000 / USUAL_RATE);
        }
        refused
    }

    fn run_usual_demand(&mut self, priority: u8) {
        for _ in 0..4 * USUAL_RATE {
            self.refuses(&free_load(), "calm", 1);
            self.refuses(&free_load(), "burst", priority);
            self.bench.advance(1_000 / USUAL_RATE);
        }
    }
}

fn free_load() -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(1_000, 0)
    }
}

/// A load whose waits are short enough for each job but show that capacity is short.
fn congested_load() -> GateLoad {
    full(15 * MS)
}

#[test]
fn burst_of_one_kind_is_refused_before_usual_traffic_of_another() {
    let mut site = Site::new();
    site.run_usual_demand(1);
    let (calm, burst) = site.burst(&congested_load(), 1);
    assert_eq!(calm, 0);
    // 35 of 100 are admitted: the usual demand and a quarter, and the burst of one second.
    assert!((50..80).contains(&burst), "{burst}");
}

#[test]
fn burst_is_served_while_there_is_capacity() {
    let mut site = Site::new();
    site.run_usual_demand(1);
    assert_eq!(site.burst(&free_load(), 1), (0, 0));
}

#[test]
fn entry_without_known_usual_demand_treats_all_kinds_alike() {
    let mut site = Site::new();
    assert_eq!(site.burst(&congested_load(), 1), (0, 0));
}

/// The most urgent jobs start before the others in any case.
#[test]
fn burst_of_the_most_urgent_kind_is_not_surplus() {
    let mut site = Site::new();
    site.run_usual_demand(0);
    assert_eq!(site.burst(&congested_load(), 0).1, 0);
}

/// Callers may reconnect with their usual demand while capacity is short.
#[test]
fn usual_demand_is_remembered_after_a_pause() {
    let mut site = Site::new();
    site.run_usual_demand(1);
    site.bench.advance_connected(20_000);
    site.bench.connect(1);
    for _ in 0..2 * USUAL_RATE {
        assert!(!site.refuses(&congested_load(), "calm", 1));
        site.bench.advance(1_000 / USUAL_RATE);
    }
}
