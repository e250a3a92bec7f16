//! Admission by an entry that lacks processor time.

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

/// A late tick, with the waits of the frames that arrived meanwhile.
fn late_tick(bench: &mut Bench, late_ms: u64, frames_ms: [u64; 5]) {
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

#[test]
fn lagging_entry_refuses_jobs_that_would_miss_their_objective() {
    let mut bench = bench();
    late_tick(&mut bench, 50, [50; 5]);
    bench.submit(1, job(1, 1), 0);
    assert!(bench.starts.is_empty());
    let answer = &bench.answers[0].1;
    assert_eq!(answer.code, ResultCode::Overloaded);
    assert_eq!(answer.effect, Effect::NotRun);
    assert!(answer.retry_after_ms.is_some());
}

#[test]
fn job_with_enough_slack_for_the_lag_is_admitted() {
    let mut bench = bench();
    late_tick(&mut bench, 50, [50; 5]);
    bench.submit(1, long_job(1), 2);
    assert_eq!(bench.starts.len(), 1);
}

/// On a slow network frames are late although the entry is not.
#[test]
fn late_frames_alone_are_not_lag_of_the_entry() {
    let mut bench = bench();
    late_tick(&mut bench, 1, [90; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn single_late_tick_is_not_lag() {
    let mut bench = bench();
    for _ in 0..5 {
        late_tick(&mut bench, 0, [0; 5]);
    }
    late_tick(&mut bench, 30, [30; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn past_suspension_is_not_lag() {
    let mut bench = bench();
    late_tick(&mut bench, 3_000, [0; 5]);
    for gate in 1..=4 {
        bench.connect(gate);
        bench.load(gate, dispatcher_bench::load(1_000, 0));
    }
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// Admitted work raises the lag only later, so after a burst the entry first admits a
/// share of the jobs.
#[test]
fn admitted_share_grows_back_as_the_lag_falls() {
    let mut bench = bench();
    let mut id = 0;
    let mut admitted_in_a_second = |bench: &mut Bench, late_ms: u64| {
        let before = bench.starts.len();
        for _ in 0..50 {
            late_tick(bench, late_ms, [late_ms; 5]);
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
    assert_eq!(admitted_in_a_second(&mut bench, 0), 50);
    // Before the late ticks fill their share of the window.
    assert!(admitted_in_a_second(&mut bench, 30) <= 2);
    let first = admitted_in_a_second(&mut bench, 0);
    assert!((1..35).contains(&first), "{first}");
    admitted_in_a_second(&mut bench, 0);
    admitted_in_a_second(&mut bench, 0);
    admitted_in_a_second(&mut bench, 0);
    assert_eq!(admitted_in_a_second(&mut bench, 0), 50);
}

/// The limit is off by default.
#[test]
fn lagging_entry_without_the_limit_admits_all_jobs() {
    let mut bench = Bench::new(4);
    late_tick(&mut bench, 50, [50; 5]);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// Long jobs have slack for the lag, and their admission must not raise the admitted share.
#[test]
fn long_jobs_do_not_delay_the_decrease_of_the_admitted_share() {
    let mut bench = bench();
    let mut admitted = 0;
    for id in 0..60 {
        late_tick(&mut bench, 30, [30; 5]);
        bench.submit(2 * id, job(2 * id, 1), 0);
        let before = bench.starts.len();
        bench.submit(2 * id + 1, long_job(2 * id + 1), 2);
        for start in bench.starts.split_off(before) {
            bench.end_run(start, RunEnd::Done);
            admitted += 1;
        }
        for gate in 1..=4 {
            bench.load(gate, dispatcher_bench::load(1_000, 0));
        }
    }
    // Of 60 jobs; the share falls within half a second.
    assert!(admitted < 45, "{admitted}");
}
