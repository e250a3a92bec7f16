//! Workers of different speeds and tasks of which a few are much longer: slow workers are
//! detected, and long tasks neither mark their worker slow nor are moved.

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

const WORKER_SPEEDS: Scheduling = Scheduling {
    priority_classes: false,
    headroom: false,
    deferral: false,
    fair_shares: false,
    worker_speeds: true,
    lag_limit: false,
};

/// A gate that uses medians, with these runs on its worker.
fn gate_with(runs: &[RunId]) -> Bench {
    let mut bench = Bench::ready();
    bench.by_median = true;
    for run in runs {
        bench.order(*run, 100, 100);
        bench.answer_start(*run, Ok(StartReply::Running));
    }
    bench
}

fn list_after(bench: &mut Bench, after_ms: u64, running: &[(RunId, u32)]) {
    bench.advance(after_ms);
    bench.gate.frame_received(bench.now, ENTRY);
    bench.list_runs(running.to_vec(), Vec::new());
}

/// Plays runs of these lengths one after another; returns the slowness after the last.
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

/// Three long tasks in a row.
#[test]
fn long_tasks_do_not_mark_their_worker_slow() {
    let mut bench = gate_with(&[]);
    let runs_ms = (0..40).map(|index| if index > 36 { 700 } else { 100 });
    assert_eq!(after_runs(&mut bench, 1, runs_ms), 100);
}

#[test]
fn slow_worker_is_detected_within_a_few_runs() {
    let mut bench = gate_with(&[]);
    let before = std::iter::repeat_n(100, 30);
    assert_eq!(after_runs(&mut bench, 1, before), 100);
    let slow = std::iter::repeat_n(300, 6);
    assert_eq!(after_runs(&mut bench, 31, slow), 300);
}

/// A slow worker gets no urgent runs, so its slowness must expire without runs.
#[test]
fn slowness_of_a_worker_without_runs_expires() {
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

/// All runs make slow progress.
#[test]
fn runs_on_a_slow_worker_are_moved() {
    let runs = [run(1), run(2), run(3)];
    let mut bench = gate_with(&runs);
    for percent in [4, 8, 12, 16] {
        list_after(&mut bench, 40, &runs.map(|run| (run, percent)));
    }
    assert_eq!(bench.stops(), runs);
}

/// Two long tasks beside one with normal progress would be as long on any worker.
#[test]
fn long_tasks_are_not_moved() {
    let runs = [run(1), run(2), run(3)];
    let mut bench = gate_with(&runs);
    for step in 1..=4 {
        let percents = [step * 4, step * 4, step * 20];
        let running: Vec<(RunId, u32)> = runs.into_iter().zip(percents).collect();
        list_after(&mut bench, 40, &running);
    }
    assert!(bench.stops().is_empty());
}

/// A long task makes slow progress; a task that hangs makes none.
#[test]
fn long_task_continues_and_hanging_task_is_stopped() {
    let mut bench = Bench::ready();
    bench.by_median = true;
    bench.expected_us = 1_500 * MS;
    bench.order(run(1), 100, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for step in 0..30 {
        list_after(&mut bench, 75, &[(run(1), step / 2)]);
    }
    assert!(bench.stops().is_empty());
    for _ in 0..10 {
        list_after(&mut bench, 75, &[(run(1), 15)]);
    }
    assert_eq!(bench.stops(), [run(1)]);
}

/// A task of 100 ms that starts after `begin_us` on a worker that takes 1.8 times as long.
fn on_slow_worker(begin_us: f64, others: u32) -> PlannedRun {
    PlannedRun {
        begin_us,
        run_us: 182e3,
        stretched_us: 160e3,
        slack_us: 50e3,
        others,
    }
}

/// A short task on a slow worker ends in time if it starts at once; a long task matters
/// less in a job with many other tasks, one of which may be long too.
#[test]
fn miss_chance_follows_the_spread() {
    let ratios = (0..100).map(|index| if index < 97 { 1.0 } else { 7.0 });
    let spread = RunSpread::from_ratios(ratios).expect("enough runs");
    let chance = |begin_us, others| spread.miss_chance(&on_slow_worker(begin_us, others));
    assert!((0.01..0.05).contains(&chance(0.0, 0)));
    assert!(chance(60e3, 0) > 0.9);
    assert!((0.7..0.9).contains(&chance(60e3, 7)));
}

/// One late task on a slow worker makes the whole job late, so each task waits for a fast one.
#[test]
fn all_tasks_of_a_wide_job_wait_for_the_fast_worker() {
    let mut bench = dispatcher_bench::Bench::new(2);
    bench.dispatcher.set_scheduling(WORKER_SPEEDS);
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

/// Fraction of jobs in time at this fraction of the capacity of an uneven fleet.
fn in_time_at(fraction: f64) -> f64 {
    const SECOND_US: u64 = 1_000_000;
    const FULL_LOAD: f64 = 1.59;
    let mut fleet = LargeFleet::new(12, 70);
    fleet.set_scheduling(WORKER_SPEEDS);
    let slowness = |worker: usize| if worker.is_multiple_of(4) { 1.82 } else { 0.83 };
    fleet.slowness = (0..70).map(slowness).collect();
    fleet.tail = (0.03, 7.0);
    // Mean speed of the workers divided by the mean length of tasks.
    let load = FULL_LOAD * fraction * 1.04 / 1.18;
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, load);
    let counts = fleet.run(4 * SECOND_US, load);
    println!(
        "{fraction}: {:.3} in time, {counts:?}",
        counts.fraction_in_time()
    );
    counts.fraction_in_time()
}

/// Means instead of medians would mark nearly every worker slow.
#[test]
fn uneven_fleet_with_long_tasks_is_in_time_below_capacity() {
    assert!(in_time_at(0.8) > 0.94);
    assert!(in_time_at(0.95) > 0.82);
}
