//! Kinds of jobs that ask for more than usual while room is short.

mod dispatcher_bench;

use std::sync::Arc;

use dispatcher_bench::{Bench, MS, full, job, load, route};
use winghold::code::ResultCode;
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::message::GateLoad;
use winghold::ephemeral::routes::Route;
use winghold::ephemeral::scheduling::Scheduling;
use winghold::message::Answer;

/// Jobs a second of each route while it is calm.
const CALM: u64 = 10;

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

    /// One job on `name`; whether it is refused at once.
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
        let own = |(of, answer): &(WaiterId, Answer)| {
            *of == waiter && answer.code == ResultCode::Overloaded
        };
        self.bench.answers.iter().any(own)
    }

    /// Two seconds in which `burst` asks for five times its calm demand; refused jobs of the
    /// other route and of this one.
    fn burst(&mut self, load: &GateLoad, priority: u8) -> (u64, u64) {
        let mut refused = (0, 0);
        for _ in 0..2 * CALM {
            refused.0 += u64::from(self.refuses(load, "calm", 1));
            for _ in 0..5 {
                refused.1 += u64::from(self.refuses(load, "burst", priority));
            }
            self.bench.advance(1_000 / CALM);
        }
        refused
    }

    fn calm(&mut self, priority: u8) {
        for _ in 0..4 * CALM {
            self.refuses(&free(), "calm", 1);
            self.refuses(&free(), "burst", priority);
            self.bench.advance(1_000 / CALM);
        }
    }
}

fn free() -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(1_000, 0)
    }
}

/// Waits that are short enough for each job, and tell that room is short.
fn short_of_room() -> GateLoad {
    full(15 * MS)
}

/// A burst of one kind, five times its calm demand. Callers of the other kind ask for no
/// more than before, and are not to pay for it.
#[test]
fn a_burst_of_one_kind_is_refused_before_the_calm_traffic_of_another() {
    let mut site = Site::new();
    site.calm(1);
    let (calm, burst) = site.burst(&short_of_room(), 1);
    assert_eq!(calm, 0);
    // Beyond a quarter more than usual, and a second's worth at once: 65 of 100.
    assert!((50..80).contains(&burst), "{burst}");
}

/// The same burst while there is room for all.
#[test]
fn while_there_is_room_a_burst_is_served() {
    let mut site = Site::new();
    site.calm(1);
    assert_eq!(site.burst(&free(), 1), (0, 0));
}

/// The same burst just after the entry has started.
#[test]
fn an_entry_that_knows_no_usual_demand_treats_all_alike() {
    let mut site = Site::new();
    assert_eq!(site.burst(&short_of_room(), 1), (0, 0));
}

/// A burst of the most urgent kind, which goes before the others in any case.
#[test]
fn a_burst_of_the_most_urgent_kind_is_not_surplus() {
    let mut site = Site::new();
    site.calm(0);
    assert_eq!(site.burst(&short_of_room(), 0).1, 0);
}

/// All callers were cut off for a while, and come back into a rush with their usual demand.
#[test]
fn demand_that_comes_back_after_a_pause_is_usual() {
    let mut site = Site::new();
    site.calm(1);
    site.bench.advance_connected(20_000);
    site.bench.connect(1);
    for _ in 0..2 * CALM {
        assert!(!site.refuses(&short_of_room(), "calm", 1));
        site.bench.advance(1_000 / CALM);
    }
}
