//! Handling of admitted jobs by the dispatcher.

mod dispatcher_bench;

use dispatcher_bench::{Bench, MS, cpu, job, load};
use std::sync::Arc;
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::dispatcher::{DispatchAction, WaiterId};
use winghold::ephemeral::job::{Constraints, JobId, JobSpec};
use winghold::ephemeral::message::{GateLoad, NotRunReason, ProcessId, RunEnd, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;

#[test]
fn job_is_answered_once_all_its_tasks_are_done() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 3), 0);
    assert_eq!(bench.starts.len(), 3);
    for start in bench.starts.clone() {
        assert!(bench.answers.is_empty());
        bench.end_run(start, RunEnd::Done);
    }
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

#[test]
fn limit_of_tasks_per_worker_is_kept() {
    let mut bench = Bench::new(2);
    let spec = JobSpec {
        constraints: Constraints {
            max_per_worker: 1,
            ..Constraints::default()
        },
        needs: cpu(100),
        ..job(1, 2)
    };
    bench.submit(1, spec, 0);
    let (first, second) = (bench.starts[0].0, bench.starts[1].0);
    assert_ne!(first, second);
}

fn job_that_requires(label: &str) -> JobSpec {
    JobSpec {
        constraints: Constraints {
            label: Some(label.into()),
            ..Constraints::default()
        },
        ..job(1, 1)
    }
}

/// The gate may have a worker of another kind by the time the order arrives.
#[test]
fn order_carries_the_required_label() {
    let mut bench = Bench::new(1);
    bench.submit(1, job_that_requires("a"), 0);
    let label = bench.actions.iter().find_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Start(order),
            ..
        } => order.label.clone(),
        _ => None,
    });
    assert_eq!(label.as_deref(), Some("a"));
}

/// The refusal comes before the load with the next worker, so the entry knows no better yet.
#[test]
fn task_refused_for_its_label_is_placed_on_another_gate() {
    let mut bench = Bench::new(2);
    bench.submit(1, job_that_requires("a"), 0);
    let refused = RunEnd::NotRun(NotRunReason::NoWorker);
    bench.end_run(bench.starts[0], refused);
    assert_eq!(bench.starts.len(), 2);
    assert_ne!(bench.starts[0].0, bench.starts[1].0);
}

#[test]
fn failed_task_is_retried_on_another_gate_and_fails_its_job_after_its_attempts() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::Failed);
    assert_eq!(bench.starts.len(), 2);
    assert_ne!(bench.starts[0].0, bench.starts[1].0);
    assert_eq!(bench.starts[1].1.run, 2);
    bench.end_run(bench.starts[1], RunEnd::Failed);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

#[test]
fn stopped_run_is_not_a_failed_attempt() {
    let mut bench = Bench::new(3);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::Stalled);
    bench.end_run(bench.starts[1], RunEnd::Stopped);
    assert_eq!(bench.starts.len(), 3);
    bench.end_run(bench.starts[2], RunEnd::Done);
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

#[test]
fn gate_without_room_is_not_used_again_before_its_next_load() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::NotRun(NotRunReason::NoRoom));
    assert_ne!(bench.starts[0].0, bench.starts[1].0);
}

/// Run numbers that grow with every refused start would leave a resent job at another entry
/// behind for good.
#[test]
fn unsent_run_keeps_its_number_and_a_rejected_one_skips_ahead() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::NotRun(NotRunReason::NoRoom));
    assert_eq!(bench.starts[1].1.run, 1);
    let mut last = 1;
    for _ in 0..5 {
        let start = *bench.starts.last().unwrap();
        bench.end_run(start, RunEnd::NotRun(NotRunReason::Rejected));
        let run = bench.starts.last().unwrap().1.run;
        assert!(run > 2 * last, "{last} then {run}");
        last = run;
    }
    assert!(last > 200, "{last}");
}

/// A run number may be used again on another gate, so a late report from the first gate
/// must not apply to the second.
#[test]
fn late_report_of_a_gate_does_not_apply_to_the_run_on_another_gate() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    let first = bench.starts[0];
    bench.end_run(first, RunEnd::NotRun(NotRunReason::NoRoom));
    let second = bench.starts[1];
    assert_eq!(first.1, second.1);
    bench.end_run(first, RunEnd::NotRun(NotRunReason::Unanswered));
    assert_eq!(bench.starts.len(), 2);
    bench.end_run(second, RunEnd::Done);
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

#[test]
fn task_with_another_run_in_progress_is_not_started() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 2), 0);
    let other = bench.starts[1].1;
    let here = RunEnd::NotRun(NotRunReason::AlreadyHere);
    bench.end_run(bench.starts[0], here);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.stops, [other]);
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
}

/// A task that runs far longer than its estimate must not be moved until its deadline.
#[test]
fn slow_task_is_moved_only_once() {
    let mut bench = Bench::new(3);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::Stalled);
    let movable: Vec<bool> = bench
        .actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send {
                message: ToGate::Start(order),
                ..
            } => Some(order.movable),
            _ => None,
        })
        .collect();
    assert_eq!(movable, [true, false]);
}

#[test]
fn gate_is_tried_again_once_all_were_tried() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::Stalled);
    assert_eq!(bench.starts.len(), 2);
}

#[test]
fn wait_at_a_gate_is_limited_by_the_expected_wait() {
    let mut bench = Bench::new(1);
    bench.load(1, load(0, 20 * MS));
    bench.submit(1, job(1, 1), 0);
    let patience_us = bench.actions.iter().find_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Start(order),
            ..
        } => Some(order.patience_us),
        _ => None,
    });
    assert_eq!(patience_us, Some(40 * MS));
}

#[test]
fn job_without_a_start_is_refused_once_its_orders_are_withdrawn() {
    let mut bench = Bench::new(1);
    bench.load(1, load(0, 20 * MS));
    bench.submit(1, job(1, 2), 0);
    assert_eq!(bench.starts.len(), 2);
    bench.load(1, load(0, 900 * MS));
    bench.advance(105);
    bench.dispatcher.frame_received(bench.now, SessionId(1));
    bench.end_run(bench.starts[0], RunEnd::NotRun(NotRunReason::NoRoom));
    assert!(bench.answers.is_empty(), "the other task may have started");
    assert_eq!(bench.stops, [bench.starts[1].1]);
    bench.end_run(bench.starts[1], RunEnd::NotRun(NotRunReason::Withdrawn));
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
    assert_eq!(bench.answers[0].1.effect, Effect::NotRun);
}

#[test]
fn job_is_never_refused_after_one_of_its_tasks_started() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 2), 0);
    let run = bench.starts[0].1;
    bench.deliver(1, ToEntry::Began { run });
    for _ in 0..20 {
        bench.load(1, load(0, 5_000 * MS));
        bench.advance(105);
    }
    assert_eq!(bench.codes(), [ResultCode::DeadlinePassed]);
    assert_ne!(bench.answers[0].1.effect, Effect::NotRun);
}

#[test]
fn resent_job_joins_the_first_and_both_callers_are_answered() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 0);
    bench.submit(2, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
    bench.end_run(bench.starts[0], RunEnd::Done);
    assert_eq!(bench.codes(), [ResultCode::Complete; 2]);
    bench.submit(3, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1, "its answer is still known");
    assert_eq!(bench.codes(), [ResultCode::Complete; 3]);
}

#[test]
fn runs_are_stopped_once_all_callers_left() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 0);
    bench.submit(2, job(1, 1), 0);
    bench
        .dispatcher
        .remove_waiter(bench.now, WaiterId(1), JobId(1));
    bench.collect();
    assert!(bench.stops.is_empty(), "another caller waits");
    bench
        .dispatcher
        .remove_waiter(bench.now, WaiterId(2), JobId(1));
    bench.collect();
    assert_eq!(bench.stops, [bench.starts[0].1]);
}

#[test]
fn job_with_runs_on_a_silent_gate_has_an_unknown_outcome() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    let (session, _) = bench.starts[0];
    let other = SessionId(3 - session.0);
    for _ in 0..5 {
        bench.dispatcher.frame_received(bench.now, other);
        bench.advance(100);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
}

#[test]
fn reconnected_gate_gets_the_open_runs() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 0);
    bench.dispatcher.disconnected(bench.now, SessionId(1));
    bench.advance(100);
    assert!(bench.answers.is_empty());
    bench.actions.clear();
    let name: Arc<str> = "g1".into();
    bench.dispatcher.connected(bench.now, &name, SessionId(9));
    bench.collect();
    let open = bench.actions.iter().find_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Hello { open, .. },
            ..
        } => Some(open.len()),
        _ => None,
    });
    assert_eq!(open, Some(1));
}

/// A job that ends between the hello that claims its run and the gate's answer must not
/// leave the run in progress.
#[test]
fn claimed_run_of_an_ended_job_is_stopped_when_the_gate_answers() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 0);
    bench.dispatcher.disconnected(bench.now, SessionId(1));
    let name: Arc<str> = "g1".into();
    bench.dispatcher.connected(bench.now, &name, SessionId(9));
    bench
        .dispatcher
        .remove_waiter(bench.now, WaiterId(1), JobId(1));
    bench.collect();
    assert!(bench.stops.is_empty(), "there is no session yet");
    let gate = ProcessId {
        name,
        incarnation: 1,
    };
    bench.deliver(9, ToEntry::Hello { gate, config: 0 });
    assert_eq!(bench.stops, [bench.starts[0].1]);
}

#[test]
fn suspect_gate_gets_only_one_probe() {
    let mut bench = Bench::new(3);
    let suspect = GateLoad {
        suspect: true,
        ..load(1_000, 0)
    };
    bench.load(1, suspect);
    bench.load(2, load(0, 20 * MS));
    bench.load(3, load(0, 20 * MS));
    bench.submit(1, job(1, 1), 0);
    bench.submit(2, job(2, 1), 0);
    let probes = bench
        .starts
        .iter()
        .filter(|(session, _)| *session == SessionId(1));
    assert_eq!(probes.count(), 1);
}

/// Skipped run numbers must not overflow.
#[test]
fn run_numbers_do_not_overflow() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(1, 1), 0);
    for _ in 0..60 {
        let start = *bench.starts.last().unwrap();
        bench.end_run(start, RunEnd::NotRun(NotRunReason::Rejected));
    }
    assert_eq!(bench.starts.len(), 61);
}

#[test]
fn task_avoids_an_idle_worker_that_is_too_slow_for_its_objective() {
    let mut bench = Bench::new(2);
    let slow = GateLoad {
        slowness_percent: 250,
        ..load(1_000, 0)
    };
    bench.load(1, slow);
    bench.load(2, load(500, 0));
    bench.submit(1, job(1, 1), 1);
    let gates: Vec<SessionId> = bench.starts.iter().map(|start| start.0).collect();
    assert_eq!(gates, [SessionId(2)]);
}
