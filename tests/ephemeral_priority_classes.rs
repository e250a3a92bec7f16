//! Runs of several priorities at gates that are full.
//!
//! What callers need: a job of eight short tasks is to be answered within some 150 ms, so
//! that each may wait for room for 80 ms; one that runs for 900 ms may wait for half a
//! second.

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
/// A fifth of the worker.
const FIFTH: u64 = 200;
const NO_ROOM: RunEnd = RunEnd::NotRun(NotRunReason::NoRoom);

/// An order of an entry that leaves headroom.
struct Order {
    priority: Priority,
    cpu_milli: u64,
    patience_ms: u64,
    due_ms: u64,
    run_ms: u64,
}

const URGENT_ORDER: Order = Order {
    priority: Priority::URGENT,
    cpu_milli: FIFTH,
    patience_ms: 0,
    due_ms: 80,
    run_ms: 60,
};
const LONG_ORDER: Order = Order {
    priority: LONG,
    cpu_milli: FIFTH,
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
    };
    let message = ToGate::Start(Box::new(order));
    bench.gate.handle_message(bench.now, ENTRY, message);
    bench.gate.frame_received(bench.now, ENTRY);
    bench.collect();
}

/// A gate that was sent an urgent run every 40 ms for a second; all of them are over.
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

/// Sends orders with ids from 100 on; returns those that began.
fn send_all(bench: &mut Bench, count: u64, order: &Order) -> Vec<RunId> {
    for id in 100..100 + count {
        send(bench, id, order);
        if bench.ordered().contains(&run(id)) {
            bench.answer_start(run(id), Ok(StartReply::Running));
        }
    }
    bench.ordered()
}

/// The load: a burst of the least urgent, long kind. It takes all slots but one, which the
/// next urgent run finds.
#[test]
fn long_runs_leave_a_slot_for_urgent_ones() {
    let mut bench = after_urgent_orders();
    assert_eq!(send_all(&mut bench, 5, &LONG_ORDER).len(), 4);
    bench.advance(20);
    let load = bench.last_load();
    assert_eq!(load.queue_ahead(Priority::URGENT).wait_us, 0);
    assert!(load.queue_ahead(LONG).wait_us > 500 * MS, "{load:?}");
    send(&mut bench, 200, &URGENT_ORDER);
    assert!(bench.ordered().contains(&run(200)));
}

/// The load: long runs alone, a while after the last urgent ones.
#[test]
fn long_runs_take_all_room_once_no_urgent_ones_come() {
    let mut bench = after_urgent_orders();
    for _ in 0..50 {
        bench.advance(100);
        bench.gate.frame_received(bench.now, ENTRY);
    }
    assert_eq!(send_all(&mut bench, 5, &LONG_ORDER).len(), 5);
}

/// The load: long runs on a worker of two slots, where one would be half of its room.
#[test]
fn a_small_worker_leaves_nothing_free() {
    let mut bench = after_urgent_orders();
    let half = Order {
        cpu_milli: 500,
        ..LONG_ORDER
    };
    assert_eq!(send_all(&mut bench, 2, &half).len(), 2);
}

/// The load: runs of 200 ms in a rush, among urgent ones that may wait for 80 ms. One of
/// five ends every 40 ms.
#[test]
fn short_runs_leave_nothing_free() {
    let mut bench = after_urgent_orders();
    let short = Order {
        run_ms: 200,
        ..LONG_ORDER
    };
    assert_eq!(send_all(&mut bench, 5, &short).len(), 5);
}

/// The load: an urgent burst at a worker whose runs end soon, known to entries by old
/// loads. To go elsewhere would take longer, so the run waits.
#[test]
fn a_run_waits_for_room_that_comes_in_time() {
    let mut bench = Bench::ready();
    send_all(&mut bench, 5, &URGENT_ORDER);
    send(&mut bench, 1, &URGENT_ORDER);
    bench.advance(30);
    assert_eq!(bench.ends(), []);
    bench.list_runs(Vec::new(), vec![(1, run(100), WorkerEnd::Done)]);
    assert!(bench.ordered().contains(&run(1)));
}

/// The load: an urgent burst with long runs in the way.
#[test]
fn a_run_goes_back_at_once_where_room_would_come_late() {
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

/// The load: an urgent burst where less urgent runs wait already. Those that begin too late
/// behind it are placed elsewhere while there is time.
#[test]
fn a_run_goes_back_when_urgent_ones_come_before_it() {
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

/// The load: late jobs that are served with spare room only.
#[test]
fn a_run_for_spare_room_does_not_wait() {
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
/// Load at which workers would be full without a break.
const FULL: f64 = 1.59;
const CLASSES: Scheduling = Scheduling {
    priority_classes: true,
    headroom: true,
    deferral: false,
    fair_shares: false,
    worker_speeds: false,
    lag_limit: false,
};

fn fleet() -> LargeFleet {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.schedule(CLASSES);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, FULL * 0.8);
    fleet
}

/// Loads of the urgent, the long and the middle kind, in parts of the room.
fn play(fleet: &mut LargeFleet, loads: [f64; 3]) -> Counts {
    let counts = fleet.run_kinds(5 * SECOND_US, loads.map(|load| load * FULL));
    println!("{loads:?}: {counts:?}");
    counts
}

/// The load: all kinds at four fifths of the room. Every job is in time without headroom,
/// and with it.
#[test]
fn nothing_is_late_while_there_is_room() {
    let counts = play(&mut fleet(), [0.8; 3]);
    assert!(counts.in_time() > 0.998, "{counts:?}");
    assert!(counts.elsewhere * 5 < counts.starts, "{counts:?}");
}

/// The load: a burst of the least urgent kind to two and a half times its usual. Whoever
/// asks for no more than before is served in time.
#[test]
fn a_burst_of_the_least_urgent_kind_harms_no_other() {
    let counts = play(&mut fleet(), [0.8, 2.0, 0.8]);
    assert!(counts.kinds[0].part_in_time() > 0.98, "{counts:?}");
    assert!(counts.kinds[1].part_in_time() > 0.98, "{counts:?}");
}

/// The load: all kinds, or the urgent one alone, beyond the room; urgent work needs less
/// than two thirds of it. A job of eight tasks is late if one of them is.
#[test]
fn urgent_jobs_are_in_time_wherever_they_alone_would_fit() {
    for loads in [
        [1.24; 3],
        [1.86; 3],
        [3.1; 3],
        [2.0, 0.8, 0.8],
        [0.8, 0.8, 2.0],
    ] {
        let counts = play(&mut fleet(), loads);
        assert!(counts.kinds[0].part_in_time() > 0.96, "{counts:?}");
    }
}

/// The failure: all processes lose power and know nothing of what was asked for. Headroom
/// is learned anew within a second.
#[test]
fn headroom_is_back_soon_after_a_power_loss() {
    let mut fleet = fleet();
    fleet.lose_power(SECOND_US / 2);
    fleet.run(2 * SECOND_US, FULL * 0.8);
    let counts = play(&mut fleet, [0.8, 2.0, 0.8]);
    assert!(counts.kinds[0].part_in_time() > 0.98, "{counts:?}");
    assert!(counts.kinds[1].part_in_time() > 0.98, "{counts:?}");
}
