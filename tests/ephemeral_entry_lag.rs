//! What an entry that is short of processor time still takes.
//!
//! The grounds: jobs of the bench are expected to run for 100 ms and have 120 ms of slack;
//! half of it is for the waits of the job for its entry, five of them if one task is turned
//! away: 12 ms each.

mod dispatcher_bench;

use std::time::Duration;

use dispatcher_bench::{Bench, MS, job};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::job::JobSpec;
use winghold::ephemeral::message::RunEnd;
use winghold::ephemeral::scheduling::Scheduling;

fn bench() -> Bench {
    let mut bench = Bench::new(4);
    bench.dispatcher.set_scheduling(Scheduling {
        lag_limit: true,
        ..Scheduling::default()
    });
    bench
}

/// A turn that comes late, with the frames that waited meanwhile.
fn turn(bench: &mut Bench, late_ms: u64, frames_ms: [u64; 5]) {
    bench.advance(10 + late_ms);
    let late = Duration::from_millis(late_ms);
    bench.dispatcher.record_late_tick(bench.now, late);
    for wait_ms in frames_ms {
        bench.dispatcher.record_frame_wait(bench.now, wait_ms * MS);
    }
}

fn long_job(id: u64) -> JobSpec {
    JobSpec {
        estimate_us: 900 * MS,
        ..job(id, 1)
    }
}

/// The pattern: callers come by a hash, so one entry gets more than its processor share.
#[test]
fn an_entry_that_is_behind_refuses_at_once_what_it_would_answer_late() {
    let mut bench = bench();
    turn(&mut bench, 50, [50; 5]);
    bench.submit(1, job(1, 1), 0);
    assert!(bench.starts.is_empty());
    let answer = &bench.answers[0].1;
    assert_eq!(answer.code, ResultCode::Overloaded);
    assert_eq!(answer.effect, Effect::NotRun);
    assert!(answer.retry_after_ms.is_some());
}

/// The pattern: the same rush, of jobs of all lengths. Long ones have slack for the waits.
#[test]
fn a_job_with_slack_for_the_lag_is_taken() {
    let mut bench = bench();
    turn(&mut bench, 50, [50; 5]);
    bench.submit(1, long_job(1), 2);
    assert_eq!(bench.starts.len(), 1);
}

/// The pattern: a slow network with little load. Frames are late, the entry is not.
#[test]
fn late_frames_alone_are_the_links_and_not_the_entry() {
    let mut bench = bench();
    turn(&mut bench, 1, [90; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// The pattern: a few milliseconds of other work on the machine, at calm.
#[test]
fn one_late_turn_among_many_on_time_is_not_lag() {
    let mut bench = bench();
    for _ in 0..5 {
        turn(&mut bench, 0, [0; 5]);
    }
    turn(&mut bench, 30, [30; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// The pattern: a process that stood still for seconds and has nothing left to read.
#[test]
fn a_suspension_that_is_over_is_not_lag() {
    let mut bench = bench();
    turn(&mut bench, 3_000, [0; 5]);
    for gate in 1..=4 {
        bench.connect(gate);
        bench.load(gate, dispatcher_bench::load(1_000, 0));
    }
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// The pattern: a rush that ends. Work in hand shows in the lag only later, so the entry
/// takes a part at first, and all within a few seconds.
#[test]
fn as_the_lag_falls_a_share_is_taken_and_then_all() {
    let mut bench = bench();
    let mut id = 0;
    let mut taken_in_a_second = |bench: &mut Bench, late_ms: u64| {
        let before = bench.starts.len();
        for _ in 0..50 {
            turn(bench, late_ms, [late_ms; 5]);
            id += 1;
            bench.submit(id, job(id, 1), 0);
            if let Some(start) = bench.starts.last().copied() {
                bench.end_run(start, RunEnd::Done);
            }
            bench.advance(10 - late_ms.min(10));
            for gate in 1..=4 {
                bench.load(gate, dispatcher_bench::load(1_000, 0));
            }
        }
        bench.starts.len() - before
    };
    assert_eq!(taken_in_a_second(&mut bench, 0), 50);
    // Until the late turns are a part of the window.
    assert!(taken_in_a_second(&mut bench, 30) <= 2);
    let first = taken_in_a_second(&mut bench, 0);
    assert!((1..35).contains(&first), "{first}");
    taken_in_a_second(&mut bench, 0);
    taken_in_a_second(&mut bench, 0);
    taken_in_a_second(&mut bench, 0);
    assert_eq!(taken_in_a_second(&mut bench, 0), 50);
}

/// The part is off by default: then the lag decides nothing.
#[test]
fn without_the_limit_an_entry_that_is_behind_takes_all() {
    let mut bench = Bench::new(4);
    turn(&mut bench, 50, [50; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// The pattern: a rush of short jobs among long ones, which have slack for the lag and must
/// not keep the entry from taking less.
#[test]
fn long_jobs_in_between_do_not_hold_up_the_decrease() {
    let mut bench = bench();
    let mut taken = 0;
    for id in 0..60 {
        turn(&mut bench, 30, [30; 5]);
        bench.submit(2 * id, job(2 * id, 1), 0);
        let before = bench.starts.len();
        bench.submit(2 * id + 1, long_job(2 * id + 1), 2);
        for start in bench.starts.split_off(before) {
            bench.end_run(start, RunEnd::Done);
            taken += 1;
        }
        for gate in 1..=4 {
            bench.load(gate, dispatcher_bench::load(1_000, 0));
        }
    }
    // Of 60; the share falls within half a second.
    assert!(taken < 45, "{taken}");
}
