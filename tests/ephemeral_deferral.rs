//! Jobs that find no room in time, and wait for it in the entry.

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

const PARTS: Scheduling = Scheduling {
    priority_classes: true,
    deferral: true,
    headroom: false,
    fair_shares: false,
    worker_speeds: false,
    lag_limit: false,
};

fn bench() -> Bench {
    let mut bench = Bench::new(1);
    bench.dispatcher.set_scheduling(PARTS);
    bench
}

/// The load of a gate with this room that knows all that was sent to it.
fn free(cpu_milli: u64) -> GateLoad {
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

/// A burst fills all room for longer than a job may wait. Its caller would wait ten times
/// as long, and a late answer is worth more than none.
#[test]
fn a_job_without_room_in_time_is_served_late() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.steady(300);
    assert!(bench.starts.is_empty() && bench.answers.is_empty());
    bench.load(1, free(1_000));
    let order = last_order(&bench);
    assert_eq!(
        (order.priority, order.patience_us),
        (Priority::BEST_EFFORT, 0)
    );
    bench.ended(bench.starts[0], RunEnd::Done);
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

/// The same, and room stays full. Half of its caller's time is left to try elsewhere.
#[test]
fn a_deferred_job_is_refused_after_half_of_its_callers_time() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit_for(2_000, 1, job(1, 1), 1);
    bench.steady(900);
    assert!(bench.answers.is_empty());
    bench.steady(100);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
    assert!(bench.starts.is_empty());
}

/// A burst that goes on: held jobs find no room, so holding more of them serves nobody.
#[test]
fn where_deferred_jobs_find_no_room_others_are_refused_at_once() {
    let mut bench = bench();
    for id in 1..=100 {
        bench.load(1, full(300 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.pass(20);
    }
    let answered = bench.answers.len();
    for id in 101..=120 {
        bench.load(1, full(300 * MS));
        bench.submit(id, job(id, 1), 1);
    }
    let at_once = bench.answers[answered..].iter();
    let at_once = at_once.filter(|(waiter, _)| *waiter > WaiterId(100));
    assert!(at_once.count() >= 18);
    let come_back = bench.answers.iter();
    let come_back: BTreeSet<u64> = come_back
        .filter_map(|(_, answer)| answer.retry_after_ms)
        .collect();
    assert!(come_back.len() > 20, "spread: {come_back:?}");
}

/// Room for one task comes free after a burst, for a job that is late already and one that
/// is not. The late one only gets room that leaves some for others.
#[test]
fn a_late_job_does_not_delay_one_that_can_meet_its_objective() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.steady(200);
    bench.load(1, free(500));
    assert!(bench.starts.is_empty(), "it would take all that is free");
    bench.load(1, full(300 * MS));
    bench.submit(2, job(2, 1), 1);
    bench.load(1, free(500));
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(last_order(&bench).run.job, JobId(2));
    assert_eq!(last_order(&bench).priority, Priority(1));
}

/// A job of several tasks in a burst: one that is begun in part holds room and is not done.
#[test]
fn a_deferred_job_begins_as_a_whole() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 2), 1);
    bench.load(1, free(500));
    assert!(bench.starts.is_empty());
    bench.load(1, free(1_000));
    assert_eq!(bench.starts.len(), 2);
}

/// Several entries see the same free room; all but one are turned away.
#[test]
fn a_deferred_task_that_is_turned_away_waits_for_the_next_load() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench.steady(200);
    bench.load(1, free(1_000));
    let no_room = RunEnd::NotRun(NotRunReason::NoRoom);
    bench.ended(bench.starts[0], no_room);
    bench.pass(20);
    assert_eq!(bench.starts.len(), 1);
    bench.load(1, free(1_000));
    assert_eq!(bench.starts.len(), 2);
    assert!(bench.answers.is_empty());
}

/// One failure: the caller leaves while its job is held.
#[test]
fn a_deferred_job_whose_caller_left_takes_no_room() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit(1, job(1, 1), 1);
    bench
        .dispatcher
        .remove_waiter(bench.now, WaiterId(1), JobId(1));
    bench.load(1, free(1_000));
    assert!(bench.starts.is_empty());
    assert!(bench.dispatcher.is_idle());
}

/// One failure: the only gate falls silent while a job is held, and another one comes.
#[test]
fn a_deferred_job_outlives_the_gates_that_were_full() {
    let mut bench = bench();
    bench.load(1, full(300 * MS));
    bench.submit_for(5_000, 1, job(1, 1), 1);
    for _ in 0..20 {
        bench.pass(100);
    }
    assert!(bench.answers.is_empty());
    bench.connect(2);
    bench.load(2, free(1_000));
    assert_eq!(bench.starts.len(), 1);
}

/// Load of the virtual fleet at which workers would be full without a break.
const FULL: f64 = 1.59;
const SPAN_US: u64 = 5_000 * MS;

fn fleet_at(load: f64) -> Counts {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.set_scheduling(PARTS);
    fleet.run(2_000 * MS, 0.0);
    fleet.run(2_000 * MS, FULL * 0.8);
    let counts = fleet.run(SPAN_US, FULL * load);
    println!("{load}: {:.0} cores, {counts:?}", counts.goodput(SPAN_US));
    counts
}

/// Callers ask for more than all workers can do. Jobs that wait as a whole do not leave
/// workers with parts of jobs that end late: of 1,306 cores two thirds at least work for
/// jobs that meet their objective, whatever is asked for.
#[test]
fn beyond_the_room_most_of_it_works_for_jobs_that_meet_their_objective() {
    for load in [1.24, 1.86, 3.1] {
        assert!(fleet_at(load).goodput(SPAN_US) > 1_306.0 * 2.0 / 3.0);
    }
}

/// Nearly all room is asked for: waits are short, and no job is worth refusing for them.
#[test]
fn just_below_the_room_next_to_no_job_is_refused() {
    let counts = fleet_at(0.95);
    assert!(counts.refused * 200 < counts.served, "{counts:?}");
}
