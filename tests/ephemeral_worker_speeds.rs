//! Workers of unlike speed, and tasks of which a few run for several times as long.
//!
//! The pattern: a quarter of the workers takes 1.8 times as long as tasks are guessed, the
//! others 0.83; three tasks in a hundred run seven times as long on any worker. The grounds
//! of the bounds: a worker that is thought slow for a long task loses runs that would have
//! ended in time, and a run that is moved for being long does its work twice.

mod dispatcher_bench;
mod ephemeral_fleet;
mod gate_bench;
mod large_fleet;

use gate_bench::{Bench, ENTRY, MS, run};
use large_fleet::LargeFleet;
use winghold::ephemeral::job::{JobSpec, RunId};
use winghold::ephemeral::message::{GateLoad, RunEnd};
use winghold::ephemeral::run_spread::{PlannedRun, RunSpread};
use winghold::ephemeral::scheduling::Scheduling;
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{StartReply, WorkerEnd};

const ON: Scheduling = Scheduling {
    priority_classes: false,
    headroom: false,
    deferral: false,
    fair_shares: false,
    worker_speeds: true,
    lag_limit: false,
};

/// A gate that goes by medians, with these runs on its worker.
fn gate_with(runs: &[RunId]) -> Bench {
    let mut bench = Bench::ready();
    bench.by_median = true;
    for run in runs {
        bench.order(*run, 100, 100);
        bench.answer_start(*run, Ok(StartReply::Running));
    }
    bench
}

fn listed(bench: &mut Bench, after_ms: u64, running: &[(RunId, u32)]) {
    bench.advance(after_ms);
    bench.gate.frame_received(bench.now, ENTRY);
    bench.list_runs(running.to_vec(), Vec::new());
}

/// One run after the other, each of so many milliseconds; the slowness after the last.
fn after_runs(bench: &mut Bench, first: u64, runs_ms: impl Iterator<Item = u64>) -> u32 {
    for (index, run_ms) in runs_ms.enumerate() {
        let number = first + index as u64;
        bench.order(run(number), 100, 100);
        bench.answer_start(run(number), Ok(StartReply::Running));
        for _ in 0..run_ms / 50 {
            bench.advance(50);
            bench.gate.frame_received(bench.now, ENTRY);
        }
        let ended = vec![(number, run(number), WorkerEnd::Done)];
        bench.list_runs(Vec::new(), ended);
    }
    bench.advance(50);
    bench.last_load().slowness_percent
}

/// Long tasks, three of them in a row: more than chance brings in a minute.
#[test]
fn long_tasks_do_not_make_their_worker_slow() {
    let mut bench = gate_with(&[]);
    let runs_ms = (0..40).map(|index| if index > 36 { 700 } else { 100 });
    assert_eq!(after_runs(&mut bench, 1, runs_ms), 100);
}

/// A worker that turns slow: known before the caller of a second job would be late.
#[test]
fn a_worker_that_turned_slow_is_known_within_some_runs() {
    let mut bench = gate_with(&[]);
    let before = std::iter::repeat_n(100, 30);
    assert_eq!(after_runs(&mut bench, 1, before), 100);
    let slow = std::iter::repeat_n(300, 6);
    assert_eq!(after_runs(&mut bench, 31, slow), 300);
}

/// A slow worker gets no urgent runs: without any it is tried again, or it would stay
/// unused after it got well.
#[test]
fn a_slow_worker_without_runs_is_tried_again() {
    let mut bench = gate_with(&[]);
    let slow = std::iter::repeat_n(200, 20);
    assert_eq!(after_runs(&mut bench, 1, slow), 200);
    for _ in 0..250 {
        bench.advance(100);
        bench.gate.frame_received(bench.now, ENTRY);
    }
    bench.order(run(99), 100, 100);
    assert_eq!(bench.last_load().slowness_percent, 100);
}

/// All runs get on badly: their worker is slow, and callers are served sooner elsewhere.
#[test]
fn runs_on_a_worker_that_turned_slow_are_moved() {
    let runs = [run(1), run(2), run(3)];
    let mut bench = gate_with(&runs);
    for percent in [4, 8, 12, 16] {
        listed(&mut bench, 40, &runs.map(|run| (run, percent)));
    }
    assert_eq!(bench.stops(), runs);
}

/// Two long tasks beside one that gets on: they would be as long anywhere.
#[test]
fn long_tasks_are_not_moved() {
    let runs = [run(1), run(2), run(3)];
    let mut bench = gate_with(&runs);
    for step in 1..=4 {
        let percents = [step * 4, step * 4, step * 20];
        let running: Vec<(RunId, u32)> = runs.into_iter().zip(percents).collect();
        listed(&mut bench, 40, &running);
    }
    assert!(bench.stops().is_empty());
}

/// A long task makes a percent now and then; one that hangs makes none.
#[test]
fn a_long_task_makes_way_and_one_that_hangs_is_stopped() {
    let mut bench = Bench::ready();
    bench.by_median = true;
    bench.expected_us = 1_500 * MS;
    bench.order(run(1), 100, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for step in 0..30 {
        listed(&mut bench, 75, &[(run(1), step / 2)]);
    }
    assert!(bench.stops().is_empty());
    for _ in 0..10 {
        listed(&mut bench, 75, &[(run(1), 15)]);
    }
    assert_eq!(bench.stops(), [run(1)]);
}

/// Where a task of 100 ms would run 1.8 times as long, after `begin_us`.
fn on_slow_worker(begin_us: f64, others: u32) -> PlannedRun {
    PlannedRun {
        begin_us,
        run_us: 182e3,
        stretched_us: 160e3,
        slack_us: 50e3,
        others,
    }
}

/// A short task on a slow worker ends in time while it has not to wait; a long one never
/// does, but for a caller whose job has a longer task elsewhere.
#[test]
fn the_chance_of_a_miss_follows_the_spread() {
    let ratios = (0..100).map(|index| if index < 97 { 1.0 } else { 7.0 });
    let spread = RunSpread::from_ratios(ratios).expect("enough runs");
    let chance = |begin_us, others| spread.miss_chance(&on_slow_worker(begin_us, others));
    assert!((0.01..0.05).contains(&chance(0.0, 0)));
    assert!(chance(60e3, 0) > 0.9);
    assert!((0.7..0.9).contains(&chance(60e3, 7)));
}

/// A wide, short job: one task that ends too late at a slow worker costs all of it, so each
/// waits longer for a fast one.
#[test]
fn all_tasks_of_a_wide_job_go_where_they_end_in_time() {
    let mut bench = dispatcher_bench::Bench::new(2);
    bench.dispatcher.set_scheduling(ON);
    for id in 1..=40 {
        bench.submit(id, dispatcher_bench::job(id, 1), 0);
        let start = *bench.starts.last().expect("a start");
        bench.end_run(start, RunEnd::Done);
    }
    let gate = |slowness_percent, wait_us| GateLoad {
        slowness_percent,
        ..dispatcher_bench::full(wait_us)
    };
    bench.load(1, gate(182, 15 * MS));
    bench.load(2, gate(83, 65 * MS));
    bench.starts.clear();
    let spec = JobSpec {
        needs: dispatcher_bench::cpu(10),
        ..dispatcher_bench::job(99, 8)
    };
    bench.submit(99, spec, 0);
    assert_eq!(bench.starts.len(), 8);
    assert!(bench.starts.iter().all(|(gate, _)| *gate == SessionId(2)));
}

/// Part of the jobs in time at a part of the room of an uneven fleet.
fn in_time_at(part: f64) -> f64 {
    const SECOND_US: u64 = 1_000_000;
    const FULL: f64 = 1.59;
    let mut fleet = LargeFleet::new(12, 70);
    fleet.schedule(ON);
    let slowness = |worker: usize| if worker.is_multiple_of(4) { 1.82 } else { 0.83 };
    fleet.slowness = (0..70).map(slowness).collect();
    fleet.tail = (0.03, 7.0);
    // Mean speed of the workers over the mean length of tasks.
    let load = FULL * part * 1.04 / 1.18;
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, load);
    let counts = fleet.run(4 * SECOND_US, load);
    println!("{part}: {:.3} in time, {counts:?}", counts.in_time());
    counts.in_time()
}

/// An uneven fleet with room: callers are served in time, as on an even one. Means made
/// nearly every worker slow for a while, and a third of the jobs was in time.
#[test]
fn an_uneven_fleet_with_long_tasks_serves_in_time_while_there_is_room() {
    assert!(in_time_at(0.8) > 0.94);
    assert!(in_time_at(0.95) > 0.82);
}
