//! Whose waits shorten whose patience, where each priority has its own.

mod dispatcher_bench;

use dispatcher_bench::{Bench, MS, full, job};
use winghold::ephemeral::job::Priority;
use winghold::ephemeral::message::{GateLoad, QueueLoad};
use winghold::ephemeral::scheduling::Scheduling;

/// A full gate at which jobs of priorities 1 and 2 wait for this long.
fn waits(middle_ms: u64, least_ms: u64) -> GateLoad {
    let queue = |priority: u8, wait_ms: u64| QueueLoad {
        priority: Priority(priority),
        cpu_milli: 0,
        wait_us: wait_ms * MS,
    };
    GateLoad {
        queues: vec![queue(0, 0), queue(1, middle_ms), queue(2, least_ms)],
        ..full(0)
    }
}

/// A second in which jobs of `priority` come to such a gate.
fn congested(priority: u8, load: &GateLoad) -> Bench {
    let mut bench = Bench::new(1);
    bench.dispatcher.set_scheduling(Scheduling {
        priority_classes: true,
        ..Scheduling::default()
    });
    for id in 1..=50 {
        bench.load(1, load.clone());
        bench.submit(id, job(id, 1), priority);
        bench.pass(20);
    }
    bench
}

fn takes(bench: &mut Bench, id: u64, priority: u8, load: GateLoad) -> bool {
    let begun = bench.starts.len();
    bench.load(1, load);
    bench.submit(id, job(id, 1), priority);
    bench.starts.len() > begun
}

/// A burst of the least urgent kind. The others go before it, and wait no longer for it.
#[test]
fn waits_of_less_urgent_jobs_do_not_refuse_more_urgent_ones() {
    let load = waits(40, 90);
    let mut bench = congested(2, &load);
    assert!(!takes(&mut bench, 101, 2, waits(40, 40)));
    assert!(takes(&mut bench, 102, 1, load));
}

/// A burst of a more urgent kind. The least urgent jobs give way before their own waits
/// tell: each that is taken would be in the way for as long as it runs.
#[test]
fn less_urgent_jobs_give_way_where_more_urgent_ones_wait() {
    let mut bench = congested(1, &waits(60, 60));
    assert!(!takes(&mut bench, 101, 2, waits(40, 40)));
    bench.steady(1_000);
    assert!(takes(&mut bench, 102, 2, waits(40, 40)));
}
