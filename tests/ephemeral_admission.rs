//! Which jobs an entry takes in, and which it refuses at once.

mod dispatcher_bench;

use dispatcher_bench::{Bench, MS, cpu, full, job, load};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::job::{Constraints, JobSpec, Priority, Resources};
use winghold::ephemeral::message::{GateLoad, QueueLoad, RunEnd, WorkerTraits};

#[test]
fn without_room_in_time_a_job_is_refused_at_once_and_told_when_to_come_back() {
    let mut bench = Bench::new(1);
    bench.load(1, load(0, 500 * MS));
    bench.submit(1, job(1, 1), 0);
    assert!(bench.starts.is_empty());
    let answer = &bench.answers[0].1;
    assert_eq!(answer.code, ResultCode::Overloaded);
    assert_eq!(answer.effect, Effect::NotRun);
    assert!(answer.retry_after_ms.is_some());
}

#[test]
fn a_job_that_fits_only_in_part_is_not_begun() {
    let mut bench = Bench::new(1);
    bench.load(1, load(1_000, 400 * MS));
    bench.submit(1, job(1, 8), 0);
    assert!(bench.starts.is_empty());
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

#[test]
fn a_less_urgent_job_waits_out_a_rush() {
    let mut bench = Bench::new(1);
    bench.load(1, load(0, 40 * MS));
    bench.submit(1, job(1, 1), 1);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn where_congestion_stands_less_urgent_jobs_are_refused_and_urgent_ones_wait() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(40 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.pass(20);
    }
    let begun = bench.starts.len();
    bench.load(1, full(40 * MS));
    bench.submit(41, job(41, 1), 1);
    assert_eq!(bench.codes().last(), Some(&ResultCode::Overloaded));
    assert_eq!(bench.starts.len(), begun);
    bench.submit(42, job(42, 1), 0);
    assert_eq!(bench.starts.len(), begun + 1);
}

#[test]
fn where_congestion_stands_jobs_that_were_sent_before_only_get_free_room() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(60 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.pass(20);
    }
    bench.load(1, full(10 * MS));
    let begun = bench.starts.len();
    bench.submit_for(700, 41, job(41, 1), 1);
    assert_eq!(bench.codes().last(), Some(&ResultCode::Overloaded));
    assert_eq!(bench.starts.len(), begun);
    bench.submit(42, job(42, 1), 1);
    assert_eq!(bench.starts.len(), begun + 1);
    bench.load(
        1,
        GateLoad {
            seen: u64::MAX,
            ..load(1_000, 0)
        },
    );
    bench.submit_for(700, 43, job(43, 1), 1);
    assert_eq!(bench.starts.len(), begun + 2);
}

#[test]
fn congestion_is_forgotten_after_a_pause() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(90 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.pass(20);
    }
    let begun = bench.starts.len();
    bench.steady(1_000);
    bench.load(1, full(40 * MS));
    bench.submit(41, job(41, 1), 1);
    assert_eq!(bench.starts.len(), begun + 1);
}

#[test]
fn an_urgent_job_does_not_wait_behind_others() {
    let mut bench = Bench::new(1);
    let mut busy = load(0, 0);
    busy.queues = vec![
        QueueLoad {
            priority: Priority::URGENT,
            cpu_milli: 0,
            wait_us: 20 * MS,
        },
        QueueLoad {
            priority: Priority::NORMAL,
            cpu_milli: 5_000,
            wait_us: 500 * MS,
        },
    ];
    bench.load(1, busy);
    bench.submit(1, job(1, 1), 1);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    bench.submit(2, job(2, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn what_no_worker_could_ever_run_fails_at_once() {
    let mut bench = Bench::new(1);
    bench.steady(4_000);
    let big = JobSpec {
        needs: cpu(5_000),
        ..job(1, 1)
    };
    bench.submit(1, big, 0);
    assert_eq!(bench.codes(), [ResultCode::CannotRun]);
    let labelled = JobSpec {
        constraints: Constraints {
            label: Some("b".into()),
            ..Constraints::default()
        },
        ..job(2, 1)
    };
    bench.submit(2, labelled, 0);
    assert_eq!(bench.codes(), [ResultCode::CannotRun; 2]);
}

#[test]
fn before_all_workers_can_be_known_nothing_is_said_to_fit_none() {
    let mut bench = Bench::new(1);
    let big = JobSpec {
        needs: cpu(5_000),
        ..job(1, 1)
    };
    bench.submit(1, big, 0);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

#[test]
fn without_gates_a_job_waits_a_moment_and_is_refused() {
    let mut bench = Bench::new(0);
    bench.submit(1, job(1, 1), 0);
    // Its objective is 220 ms, and a refusal after a quarter of it is late.
    bench.pass(45);
    assert!(bench.answers.is_empty());
    bench.pass(10);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
}

#[test]
fn a_job_that_came_before_the_gates_is_run_when_they_are_there() {
    let mut bench = Bench::new(0);
    bench.submit(1, job(1, 2), 0);
    bench.pass(10);
    bench.connect(1);
    bench.load(1, load(1_000, 0));
    assert_eq!(bench.starts.len(), 2);
    for start in bench.starts.clone() {
        bench.ended(start, RunEnd::Done);
    }
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

#[test]
fn jobs_that_came_before_the_gates_are_not_all_begun_if_they_do_not_fit() {
    let mut bench = Bench::new(0);
    for id in 1..=6 {
        bench.submit(id, job(id, 2), 1);
    }
    bench.connect(1);
    bench.load(1, load(1_000, 200 * MS));
    assert_eq!(bench.starts.len(), 2);
    assert!(bench.answers.is_empty(), "other gates may come");
    bench.pass(55);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.codes(), [ResultCode::Overloaded; 5]);
}

#[test]
fn callers_that_wait_less_for_good_are_taken_for_new_again() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    for id in 2..=140 {
        bench.load(1, full(60 * MS));
        bench.submit_for(700, id, job(id, 1), 1);
        bench.pass(20);
    }
    let begun = bench.starts.len();
    bench.load(1, full(10 * MS));
    bench.submit_for(700, 141, job(141, 1), 1);
    assert_eq!(bench.starts.len(), begun + 1);
}

/// The load of a gate whose worker has shrunk to `cpu_milli`, of 1,000 that it had.
fn shrunk(cpu_milli: u64) -> GateLoad {
    let before = load(cpu_milli, 0);
    let traits = before.worker.as_ref().unwrap();
    let worker = WorkerTraits {
        capacity: Resources {
            cpu_milli,
            ..traits.capacity
        },
        largest: traits.capacity,
        ..(**traits).clone()
    };
    GateLoad {
        worker: Some(worker.into()),
        ..before
    }
}

/// Capacity may shrink and grow again: what fits no worker now is refused, for the caller
/// to come back, and not failed for good.
#[test]
fn a_job_that_fits_no_worker_since_all_have_shrunk_is_not_failed() {
    let mut bench = Bench::new(2);
    bench.steady(5_000);
    bench.load(1, shrunk(300));
    bench.load(2, shrunk(300));
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
    assert!(bench.answers[0].1.retry_after_ms.is_some());
    bench.load(1, shrunk(1_000));
    bench.submit(2, job(2, 1), 0);
    assert_eq!(bench.starts.len(), 1, "it has grown again");
    let never = JobSpec {
        needs: cpu(2_000),
        ..job(3, 1)
    };
    bench.submit(3, never, 0);
    assert_eq!(bench.codes().last(), Some(&ResultCode::CannotRun));
}
