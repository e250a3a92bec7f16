//! Runs of several priorities at full gates: headroom for urgent runs, queue order and early
//! rejection of runs that would start too late.

mod ephemeral_fleet;
mod gate_bench;
mod large_fleet;

use gate_bench::{Bench, ENTRY, MS, resources, run};
use large_fleet::{Counts, LargeFleet};
use winghold::ephemeral::job::{Priority, RunId};
use winghold::ephemeral::message::{NotRunReason, RunEnd, StartOrder, ToGate};
use winghold::ephemeral::scheduling::Scheduling;
use winghold::ephemeral::worker::{StartReply, WorkerEnd};

const LONG: Priority = Priority(2);
/// A fifth of the worker's CPU.
const FIFTH_CPU_MILLI: u64 = 200;
const NO_ROOM: RunEnd = RunEnd::NotRun(NotRunReason::NoRoom);

/// A start order with `leaves_headroom` set.
struct Order {
    priority: Priority,
    cpu_milli: u64,
    patience_ms: u64,
    due_ms: u64,
    run_ms: u64,
}

const URGENT_ORDER: Order = Order {
    priority: Priority::URGENT,
    cpu_milli: FIFTH_CPU_MILLI,
    patience_ms: 0,
    due_ms: 80,
    run_ms: 60,
};
const LONG_ORDER: Order = Order {
    priority: LONG,
    cpu_milli: FIFTH_CPU_MILLI,
    patience_ms: 0,
    due_ms: 450,
    run_ms: 900,
};

fn send(bench: &mut Bench, id: u64, order: &Order) {
    bench.sent += 1;
    let order = StartOrder {
        run: run(id),
        payload: "p".into(),
        needs: resources(order.cpu_milli),
        patience_us: order.patience_ms * MS,
        priority: order.priority,
        leaves_headroom: true,
        by_median: false,
        due_us: order.due_ms * MS,
        expected_us: order.run_ms * MS,
        movable: false,
        implicated: false,
        number: bench.sent,
        label: None,
    };
    let message = ToGate::Start(Box::new(order));
    bench.gate.handle_message(bench.now, ENTRY, message);
    bench.gate.frame_received(bench.now, ENTRY);
    bench.collect();
}

/// A gate that received an urgent run every 40 ms for a second; all of them have ended.
fn after_urgent_orders() -> Bench {
    let mut bench = Bench::ready();
    for id in 1..=25 {
        send(&mut bench, id, &URGENT_ORDER);
        bench.answer_start(run(id), Ok(StartReply::Running));
        bench.advance(40);
        bench.list_runs(Vec::new(), vec![(id, run(id), WorkerEnd::Done)]);
    }
    bench.actions.clear();
    bench
}

/// Sends orders with IDs from 100 on; returns the runs that were started.
fn send_all(bench: &mut Bench, count: u64, order: &Order) -> Vec<RunId> {
    for id in 100..100 + count {
        send(bench, id, order);
        if bench.ordered().contains(&run(id)) {
            bench.answer_start(run(id), Ok(StartReply::Running));
        }
    }
    bench.ordered()
}

#[test]
fn long_runs_leave_a_slot_for_urgent_runs() {
    let mut bench = after_urgent_orders();
    assert_eq!(send_all(&mut bench, 5, &LONG_ORDER).len(), 4);
    bench.advance(20);
    let load = bench.last_load();
    assert_eq!(load.queue_ahead(Priority::URGENT).wait_us, 0);
    assert!(load.queue_ahead(LONG).wait_us > 500 * MS, "{load:?}");
    send(&mut bench, 200, &URGENT_ORDER);
    assert!(bench.ordered().contains(&run(200)));
}

#[test]
fn long_runs_use_all_capacity_when_no_urgent_runs_arrive() {
    let mut bench = after_urgent_orders();
    for _ in 0..50 {
        bench.advance(100);
        bench.gate.frame_received(bench.now, ENTRY);
    }
    assert_eq!(send_all(&mut bench, 5, &LONG_ORDER).len(), 5);
}

/// One of two slots would be half of the worker.
#[test]
fn small_worker_keeps_no_headroom() {
    let mut bench = after_urgent_orders();
    let half = Order {
        cpu_milli: 500,
        ..LONG_ORDER
    };
    assert_eq!(send_all(&mut bench, 2, &half).len(), 2);
}

/// One of five runs of 200 ms ends every 40 ms, so urgent runs need no headroom.
#[test]
fn short_runs_leave_no_headroom() {
    let mut bench = after_urgent_orders();
    let short = Order {
        run_ms: 200,
        ..LONG_ORDER
    };
    assert_eq!(send_all(&mut bench, 5, &short).len(), 5);
}

#[test]
fn run_waits_for_capacity_that_is_free_in_time() {
    let mut bench = Bench::ready();
    send_all(&mut bench, 5, &URGENT_ORDER);
    send(&mut bench, 1, &URGENT_ORDER);
    bench.advance(30);
    assert_eq!(bench.ends(), []);
    bench.list_runs(Vec::new(), vec![(1, run(100), WorkerEnd::Done)]);
    assert!(bench.ordered().contains(&run(1)));
}

#[test]
fn run_is_rejected_at_once_if_capacity_would_be_free_too_late() {
    let mut bench = Bench::ready();
    send_all(&mut bench, 5, &LONG_ORDER);
    let patient = Order {
        patience_ms: 80,
        ..URGENT_ORDER
    };
    send(&mut bench, 1, &URGENT_ORDER);
    send(&mut bench, 2, &patient);
    assert_eq!(bench.ends(), [(run(1), NO_ROOM), (run(2), NO_ROOM)]);
}

/// A waiting run that would now start too late is returned while there is time to place it
/// at another gate.
#[test]
fn waiting_run_is_rejected_if_urgent_runs_delay_it_too_long() {
    let mut bench = Bench::ready();
    let running = Order {
        run_ms: 100,
        ..LONG_ORDER
    };
    send_all(&mut bench, 5, &running);
    let patient = Order {
        patience_ms: 150,
        run_ms: 200,
        ..LONG_ORDER
    };
    send(&mut bench, 1, &patient);
    assert_eq!(bench.ends(), []);
    for id in 2..=6 {
        bench.advance(1);
        send(
            &mut bench,
            id,
            &Order {
                due_ms: 300,
                ..URGENT_ORDER
            },
        );
    }
    assert_eq!(bench.ends(), [(run(1), NO_ROOM)]);
}

#[test]
fn best_effort_run_does_not_wait() {
    let mut bench = Bench::ready();
    send_all(&mut bench, 5, &URGENT_ORDER);
    let spare = Order {
        priority: Priority::BEST_EFFORT,
        ..URGENT_ORDER
    };
    send(&mut bench, 1, &spare);
    assert_eq!(bench.ends(), [(run(1), NO_ROOM)]);
}

const SECOND_US: u64 = 1_000_000;
/// Load at which all workers are busy all the time.
const FULL_LOAD: f64 = 1.59;
const PRIORITY_CLASSES: Scheduling = Scheduling {
    priority_classes: true,
    headroom: true,
    deferral: false,
    fair_shares: false,
    worker_speeds: false,
    lag_limit: false,
};

fn fleet() -> LargeFleet {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.set_scheduling(PRIORITY_CLASSES);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, FULL_LOAD * 0.8);
    fleet
}

/// Runs with loads of the urgent, the long and the middle kind, as fractions of the full load.
fn counts_at_loads(fleet: &mut LargeFleet, loads: [f64; 3]) -> Counts {
    let counts = fleet.run_kinds(5 * SECOND_US, loads.map(|load| load * FULL_LOAD));
    println!("{loads:?}: {counts:?}");
    counts
}

#[test]
fn all_kinds_are_in_time_below_capacity() {
    let counts = counts_at_loads(&mut fleet(), [0.8; 3]);
    assert!(counts.fraction_in_time() > 0.998, "{counts:?}");
    assert!(counts.not_done_runs * 5 < counts.starts, "{counts:?}");
}

#[test]
fn burst_of_the_least_urgent_kind_does_not_delay_other_kinds() {
    let counts = counts_at_loads(&mut fleet(), [0.8, 2.0, 0.8]);
    assert!(counts.kinds[0].fraction_in_time() > 0.98, "{counts:?}");
    assert!(counts.kinds[1].fraction_in_time() > 0.98, "{counts:?}");
}

#[test]
fn urgent_jobs_are_in_time_under_overload() {
    for loads in [
        [1.24; 3],
        [1.86; 3],
        [3.1; 3],
        [2.0, 0.8, 0.8],
        [0.8, 0.8, 2.0],
    ] {
        let counts = counts_at_loads(&mut fleet(), loads);
        assert!(counts.kinds[0].fraction_in_time() > 0.96, "{counts:?}");
    }
}

/// The demand for urgent runs is not stored, so it must be learned again quickly.
#[test]
fn headroom_is_restored_soon_after_a_power_loss() {
    let mut fleet = fleet();
    fleet.lose_power(SECOND_US / 2);
    fleet.run(2 * SECOND_US, FULL_LOAD * 0.8);
    let counts = counts_at_loads(&mut fleet, [0.8, 2.0, 0.8]);
    assert!(counts.kinds[0].fraction_in_time() > 0.98, "{counts:?}");
    assert!(counts.kinds[1].fraction_in_time() > 0.98, "{counts:?}");
}
