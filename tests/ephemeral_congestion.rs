//! Congestion control with separate priority classes.

mod dispatcher_bench;

use dispatcher_bench::{Bench, MS, full, job};
use winghold::ephemeral::job::Priority;
use winghold::ephemeral::message::{GateLoad, QueueLoad};
use winghold::ephemeral::scheduling::Scheduling;

/// The load of a full gate with these waits for priorities 1 and 2.
fn load_with_waits(normal_ms: u64, low_ms: u64) -> GateLoad {
    let queue = |priority: u8, wait_ms: u64| QueueLoad {
        priority: Priority(priority),
        cpu_milli: 0,
        wait_us: wait_ms * MS,
    };
    GateLoad {
        queues: vec![queue(0, 0), queue(1, normal_ms), queue(2, low_ms)],
        ..full(0)
    }
}

/// A dispatcher after a second of jobs of `priority` at a gate with this load.
fn congested_dispatcher(priority: u8, load: &GateLoad) -> Bench {
    let mut bench = Bench::new(1);
    bench.dispatcher.set_scheduling(Scheduling {
        priority_classes: true,
        ..Scheduling::default()
    });
    for id in 1..=50 {
        bench.load(1, load.clone());
        bench.submit(id, job(id, 1), priority);
        bench.advance(20);
    }
    bench
}

fn admits(bench: &mut Bench, id: u64, priority: u8, load: GateLoad) -> bool {
    let begun = bench.starts.len();
    bench.load(1, load);
    bench.submit(id, job(id, 1), priority);
    bench.starts.len() > begun
}

/// More urgent jobs start before a burst of the least urgent ones and do not wait for it.
#[test]
fn congestion_of_less_urgent_jobs_does_not_refuse_more_urgent_ones() {
    let load = load_with_waits(40, 90);
    let mut bench = congested_dispatcher(2, &load);
    assert!(!admits(&mut bench, 101, 2, load_with_waits(40, 40)));
    assert!(admits(&mut bench, 102, 1, load));
}

/// An admitted less urgent job would occupy its worker during a burst of more urgent ones,
/// so it is refused before its own waits grow.
#[test]
fn congestion_of_more_urgent_jobs_refuses_less_urgent_ones() {
    let mut bench = congested_dispatcher(1, &load_with_waits(60, 60));
    assert!(!admits(&mut bench, 101, 2, load_with_waits(40, 40)));
    bench.advance_connected(1_000);
    assert!(admits(&mut bench, 102, 2, load_with_waits(40, 40)));
}
