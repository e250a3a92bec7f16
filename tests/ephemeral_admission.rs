//! Admission of jobs by an entry.

mod dispatcher_bench;

use dispatcher_bench::{Bench, MS, cpu, full, job, load};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::job::{Constraints, JobSpec, Priority, Resources};
use winghold::ephemeral::message::{GateLoad, QueueLoad, RunEnd, WorkerTraits};

#[test]
fn job_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
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
fn job_that_fits_only_in_part_is_not_started() {
    let mut bench = Bench::new(1);
    bench.load(1, load(1_000, 400 * MS));
    bench.submit(1, job(1, 8), 0);
    assert!(bench.starts.is_empty());
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

#[test]
fn less_urgent_job_waits_during_a_short_burst() {
    let mut bench = Bench::new(1);
    bench.load(1, load(0, 40 * MS));
    bench.submit(1, job(1, 1), 1);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn lasting_congestion_refuses_less_urgent_jobs_and_queues_urgent_ones() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(40 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.advance(20);
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
fn lasting_congestion_admits_resent_jobs_only_to_free_capacity() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(60 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.advance(20);
    }
    bench.load(1, full(10 * MS));
    let begun = bench.starts.len();
    bench.submit_with_timeout(700, 41, job(41, 1), 1);
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
    bench.submit_with_timeout(700, 43, job(43, 1), 1);
    assert_eq!(bench.starts.len(), begun + 2);
}

#[test]
fn congestion_state_expires_without_traffic() {
    let mut bench = Bench::new(1);
    for id in 1..=40 {
        bench.load(1, full(90 * MS));
        bench.submit(id, job(id, 1), 1);
        bench.advance(20);
    }
    let begun = bench.starts.len();
    bench.advance_connected(1_000);
    bench.load(1, full(40 * MS));
    bench.submit(41, job(41, 1), 1);
    assert_eq!(bench.starts.len(), begun + 1);
}

#[test]
fn urgent_job_is_not_refused_for_the_queue_of_other_priorities() {
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
fn job_that_no_worker_can_ever_run_fails_at_once() {
    let mut bench = Bench::new(1);
    bench.advance_connected(4_000);
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
fn job_is_not_failed_as_unrunnable_before_all_workers_are_known() {
    let mut bench = Bench::new(1);
    let big = JobSpec {
        needs: cpu(5_000),
        ..job(1, 1)
    };
    bench.submit(1, big, 0);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

#[test]
fn job_is_refused_if_no_gate_connects_in_time() {
    let mut bench = Bench::new(0);
    bench.submit(1, job(1, 1), 0);
    // The objective of the job is 220 ms; it is refused within a quarter of that.
    bench.advance(45);
    assert!(bench.answers.is_empty());
    bench.advance(10);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
}

#[test]
fn job_submitted_before_the_gates_connect_runs_afterwards() {
    let mut bench = Bench::new(0);
    bench.submit(1, job(1, 2), 0);
    bench.advance(10);
    bench.connect(1);
    bench.load(1, load(1_000, 0));
    assert_eq!(bench.starts.len(), 2);
    for start in bench.starts.clone() {
        bench.end_run(start, RunEnd::Done);
    }
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

#[test]
fn jobs_submitted_before_the_gates_connect_start_only_if_they_fit() {
    let mut bench = Bench::new(0);
    for id in 1..=6 {
        bench.submit(id, job(id, 2), 1);
    }
    bench.connect(1);
    bench.load(1, load(1_000, 200 * MS));
    assert_eq!(bench.starts.len(), 2);
    assert!(bench.answers.is_empty(), "other gates may still connect");
    bench.advance(55);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.codes(), [ResultCode::Overloaded; 5]);
}

#[test]
fn callers_with_permanently_shorter_timeouts_count_as_new() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    for id in 2..=140 {
        bench.load(1, full(60 * MS));
        bench.submit_with_timeout(700, id, job(id, 1), 1);
        bench.advance(20);
    }
    let begun = bench.starts.len();
    bench.load(1, full(10 * MS));
    bench.submit_with_timeout(700, 141, job(141, 1), 1);
    assert_eq!(bench.starts.len(), begun + 1);
}

/// The load of a gate whose worker has shrunk from 1,000 millicores to `cpu_milli`.
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

/// Capacity may grow back, so a job that fits no worker now is refused with a retry delay
/// and not failed.
#[test]
fn job_that_fits_no_shrunken_worker_is_refused_and_not_failed() {
    let mut bench = Bench::new(2);
    bench.advance_connected(5_000);
    bench.load(1, shrunk(300));
    bench.load(2, shrunk(300));
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
    assert!(bench.answers[0].1.retry_after_ms.is_some());
    bench.load(1, shrunk(1_000));
    bench.submit(2, job(2, 1), 0);
    assert_eq!(bench.starts.len(), 1, "the worker has grown back");
    let never = JobSpec {
        needs: cpu(2_000),
        ..job(3, 1)
    };
    bench.submit(3, never, 0);
    assert_eq!(bench.codes().last(), Some(&ResultCode::CannotRun));
}
