//! Deferred jobs: jobs that cannot start in time and wait in the entry.

mod dispatcher_bench;
mod ephemeral_fleet;
mod large_fleet;

use std::collections::BTreeSet;

use dispatcher_bench::{Bench, MS, full, job, load};
use large_fleet::{Counts, LargeFleet};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::dispatcher::{DispatchAction, WaiterId};
use winghold::ephemeral::job::{JobId, Priority};
use winghold::ephemeral::message::{GateLoad, NotRunReason, RunEnd, StartOrder, ToGate};
use winghold::ephemeral::scheduling::Scheduling;

const SCHEDULING: Scheduling = Scheduling {
    priority_classes: true,
    deferral: true,
    headroom: false,
    fair_shares: false,
    worker_speeds: false,
    lag_limit: false,
};

fn bench() -> Bench {
    let mut bench = Bench::new(1);
    bench.dispatcher.set_scheduling(SCHEDULING);
    bench
}

/// The load of a gate with this free capacity that has received all orders.
fn free_load(cpu_milli: u64) -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(cpu_milli, 0)
    }
}

fn last_order(bench: &Bench) -> StartOrder {
    let orders = bench
        .actions
        .iter()
        .rev()
        .filter_map(|action| match action {
            DispatchAction::Send {
                message: ToGate::Start(order),
                ..
            } => Some((**order).clone()),
            _ => None,
        });
    orders.into_iter().next().expect("an order")
}

/// Guards against holding a job that the fleet could not run as a whole even if it were idle: its
/// caller can be answered at once.
#[test]
fn a_job_larger_than_the_fleet_is_refused_at_once() {
    for tasks in [3, 1_000_000] {
        let mut bench = bench();
        bench.load(1, full(300 * MS));
        bench.submit(1, job(1, tasks), 1);
        assert_eq!(bench.codes(), [ResultCode::Overloaded], "{tasks} tasks");
        assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
        bench.submit(2, job(2, 2), 1);
        assert_eq!(bench.codes().len(), 1, "one that fits is held");
    }
}

/// A burst fills all workers for longer than the objective of a job allows, but not for
/// longer than its caller waits.
#[test]
fn job_that_cannot_start_in_time_is_completed_late() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.advance_connected(300);
    assert!(bench.starts.is_empty() && bench.answers.is_empty());
    bench.load(1, free_load(1_000));
    let order = last_order(&bench);
    assert_eq!(
        (order.priority, order.patience_us),
        (Priority::BEST_EFFORT, 0)
    );
    bench.end_run(bench.starts[0], RunEnd::Done);
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

/// The refusal leaves the caller half of its time to try elsewhere.
#[test]
fn deferred_job_is_refused_after_half_of_its_callers_time() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit_with_timeout(2_000, 1, job(1, 1), 1);
    bench.advance_connected(900);
    assert!(bench.answers.is_empty());
    bench.advance_connected(100);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
    assert!(bench.starts.is_empty());
}

/// While deferred jobs get no capacity, deferring more of them has no use.
#[test]
fn jobs_are_refused_at_once_while_deferred_jobs_get_no_capacity() {
    let mut bench = bench();
    for id in 1..=100 {
        bench.load(1, full(300 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.advance(20);
    }
    let answered = bench.answers.len();
    for id in 101..=120 {
        bench.load(1, full(300 * MS));
        bench.submit(id, job(id, 1), 1);
    }
    let refused_at_once = bench.answers[answered..].iter();
    let refused_at_once = refused_at_once.filter(|(waiter, _)| *waiter > WaiterId(100));
    assert!(refused_at_once.count() >= 18);
    let retry_delays = bench.answers.iter();
    let retry_delays: BTreeSet<u64> = retry_delays
        .filter_map(|(_, answer)| answer.retry_after_ms)
        .collect();
    assert!(
        retry_delays.len() > 20,
        "retry delays are not spread: {retry_delays:?}"
    );
}

/// A late job only gets capacity that leaves some for jobs that are not late.
#[test]
fn late_job_does_not_delay_one_that_can_meet_its_objective() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.advance_connected(200);
    bench.load(1, free_load(500));
    assert!(bench.starts.is_empty(), "it would take all free capacity");
    bench.load(1, full(300 * MS));
    bench.submit(2, job(2, 1), 1);
    bench.load(1, free_load(500));
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(last_order(&bench).run.job, JobId(2));
    assert_eq!(last_order(&bench).priority, Priority(1));
}

/// A partly started job would occupy capacity without completing.
#[test]
fn deferred_job_starts_all_tasks_together() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 2), 1);
    bench.load(1, free_load(500));
    assert!(bench.starts.is_empty());
    bench.load(1, free_load(1_000));
    assert_eq!(bench.starts.len(), 2);
}

/// Several entries may compete for the same free capacity.
#[test]
fn rejected_deferred_task_waits_for_the_next_load() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.advance_connected(200);
    bench.load(1, free_load(1_000));
    let no_room = RunEnd::NotRun(NotRunReason::NoRoom);
    bench.end_run(bench.starts[0], no_room);
    bench.advance(20);
    assert_eq!(bench.starts.len(), 1);
    bench.load(1, free_load(1_000));
    assert_eq!(bench.starts.len(), 2);
    assert!(bench.answers.is_empty());
}

#[test]
fn deferred_job_whose_caller_left_is_dropped() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench
        .dispatcher
        .remove_waiter(bench.now, WaiterId(1), JobId(1));
    bench.load(1, free_load(1_000));
    assert!(bench.starts.is_empty());
    assert!(bench.dispatcher.is_idle());
}

/// The only gate goes silent while a job is deferred, and another gate connects.
#[test]
fn deferred_job_survives_the_loss_of_its_gate() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit_with_timeout(5_000, 1, job(1, 1), 1);
    for _ in 0..20 {
        bench.advance(100);
    }
    assert!(bench.answers.is_empty());
    bench.connect(2);
    bench.load(2, free_load(1_000));
    assert_eq!(bench.starts.len(), 1);
}

/// Load at which the workers of the simulated fleet are always full.
const FULL_LOAD: f64 = 1.59;
const MEASURED_US: u64 = 5_000 * MS;

fn run_at_load(load: f64) -> Counts {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.set_scheduling(SCHEDULING);
    fleet.run(2_000 * MS, 0.0);
    fleet.run(2_000 * MS, FULL_LOAD * 0.8);
    let counts = fleet.run(MEASURED_US, FULL_LOAD * load);
    println!(
        "{load}: {:.0} cores, {counts:?}",
        counts.goodput(MEASURED_US)
    );
    counts
}

/// Under overload, at least two thirds of the 1,306 cores work for jobs that meet their
/// objective.
#[test]
fn overload_keeps_most_capacity_for_jobs_that_meet_their_objective() {
    for load in [1.24, 1.86, 3.1] {
        assert!(run_at_load(load).goodput(MEASURED_US) > 1_306.0 * 2.0 / 3.0);
    }
}

#[test]
fn almost_no_job_is_refused_just_below_full_load() {
    let counts = run_at_load(0.95);
    assert!(counts.refused * 200 < counts.served, "{counts:?}");
}
