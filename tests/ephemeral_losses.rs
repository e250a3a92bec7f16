//! Worker losses: how a gate reports them and how an entry gives up tasks because of them.

mod dispatcher_bench;
mod gate_bench;

use std::collections::HashSet;
use std::time::Duration;

use dispatcher_bench::{Bench as EntryBench, cpu, job, load};
use gate_bench::{Bench as GateBench, MS, process, report, run};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::{JobId, JobSpec, RunId};
use winghold::ephemeral::losses::{AbandonedTask, LossLog, WorkerLoss};
use winghold::ephemeral::message::{GateLoad, NotRunReason, RunEnd, ToEntry, ToGate, WorkerTraits};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{PollCall, StartReply, WorkerCallError, WorkerEnd};
use winghold::time::Moment;

/// A loss during a run, which is its likely cause or not.
fn loss(job: u64, worker: &str, likely: bool) -> WorkerLoss {
    WorkerLoss {
        likely,
        ran: true,
        ..possible(job, worker)
    }
}

fn possible(job: u64, worker: &str) -> WorkerLoss {
    WorkerLoss {
        job: JobId(job),
        index: 0,
        worker: worker.into(),
        likely: false,
        ran: false,
    }
}

fn reported_losses(bench: &GateBench) -> Vec<WorkerLoss> {
    let messages = bench.actions.iter().filter_map(|action| match action {
        GateAction::Send {
            message: ToEntry::Losses(losses),
            ..
        } => Some(losses.clone()),
        _ => None,
    });
    messages.flatten().collect()
}

fn stored_losses(bench: &GateBench) -> Vec<WorkerLoss> {
    let writes = bench.actions.iter().filter_map(|action| match action {
        GateAction::StoreLosses(losses) => Some(losses.clone()),
        _ => None,
    });
    writes.last().unwrap_or_default()
}

/// A gate with a run that started `age_ms` ago and is expected to take 100 ms.
fn gate_with_run(age_ms: u64) -> GateBench {
    let mut bench = GateBench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.frame_received(bench.now, gate_bench::ENTRY);
    bench.advance(age_ms);
    bench
}

/// Fails the regular poll.
fn fail_poll(bench: &mut GateBench, error: WorkerCallError) {
    let call = PollCall {
        worker: Some("w".into()),
        fence: Some(gate_bench::FENCE),
        lease_until_ms: None,
        acked_end: 0,
        wait_ms: 50,
        timeout: Duration::from_millis(25),
        retry_delay: Duration::from_millis(20),
        check: false,
    };
    let (now, error) = (bench.now, Err(error));
    bench.gate.poll_answered(now, now, &call, error);
    bench.collect();
}

/// Ends the worker: a new connection is refused, the one of the poll breaks, and the next poll
/// is refused.
fn crash(bench: &mut GateBench) {
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    bench.gate.poll_failed(bench.now, true);
    fail_poll(bench, WorkerCallError::Refused);
}

/// A single poll may be lost while the worker is alive.
#[test]
fn worker_that_refuses_connections_is_not_lost_with_an_unanswered_poll() {
    let mut bench = gate_with_run(10);
    bench.gate.poll_failed(bench.now, false);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    fail_poll(&mut bench, WorkerCallError::Unanswered);
    assert_eq!(bench.ends(), []);
    bench.gate.poll_failed(bench.now, true);
    bench.collect();
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
}

/// The worker may have closed its listening socket while its runs continue.
#[test]
fn worker_that_answers_polls_and_refuses_other_connections_is_not_lost() {
    let mut bench = gate_with_run(10);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    bench.order(run(2), 100, 100);
    bench.answer_start(run(2), Err(WorkerCallError::Refused));
    bench.advance(10);
    bench.list_runs(vec![(run(1), 20)], Vec::new());
    let not_started = RunEnd::NotRun(NotRunReason::NoWorker);
    assert_eq!(bench.ends(), [(run(2), not_started)]);
    assert!(reported_losses(&bench).is_empty() && stored_losses(&bench).is_empty());
    bench.gate.poll_failed(bench.now, true);
    bench.collect();
    assert_eq!(bench.ends().len(), 1, "the refusals were before the answer");
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert!(bench.ends().contains(&(run(1), RunEnd::Stopped)));
    assert_eq!(reported_losses(&bench), [loss(1, "w", true)]);
}

/// A repeated start may have been carried out at an earlier attempt.
#[test]
fn repeated_start_that_is_refused_is_not_reported_as_not_run() {
    let mut bench = gate_with_run(10);
    bench.order(run(2), 100, 100);
    bench.answer_start(run(2), Err(WorkerCallError::Unanswered));
    bench.answer_start(run(2), Err(WorkerCallError::Refused));
    assert_eq!(bench.ends(), []);
    assert_eq!(bench.stops(), [run(2)]);
}

/// Callers of the lost runs gain from an end that is reported at once.
#[test]
fn worker_is_lost_at_once_if_its_poll_breaks_and_a_connection_is_refused() {
    for refused_first in [true, false] {
        let mut bench = gate_with_run(10);
        if refused_first {
            bench.answer_stop(run(9), Err(WorkerCallError::Refused));
        }
        bench.gate.poll_failed(bench.now, true);
        bench.collect();
        if !refused_first {
            bench.answer_stop(run(9), Err(WorkerCallError::Refused));
        }
        assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
        assert_eq!(reported_losses(&bench), [loss(1, "w", true)]);
    }
}

#[test]
fn worker_that_refuses_connections_is_lost_during_its_runs() {
    let mut bench = gate_with_run(10);
    crash(&mut bench);
    assert_eq!(reported_losses(&bench), [loss(1, "w", true)]);
    assert_eq!(stored_losses(&bench), [loss(1, "w", true)]);
    let is_loss_report = |action: &GateAction| {
        matches!(
            action,
            GateAction::Send {
                message: ToEntry::Losses(_),
                ..
            }
        )
    };
    let is_run_end = |action: &GateAction| {
        matches!(
            action,
            GateAction::Send {
                message: ToEntry::Ended { .. },
                ..
            }
        )
    };
    let report = bench.actions.iter().position(is_loss_report);
    assert!(
        report < bench.actions.iter().position(is_run_end),
        "the loss is reported before the end"
    );
}

#[test]
fn loss_late_in_a_run_is_not_a_likely_cause() {
    let mut bench = gate_with_run(30);
    crash(&mut bench);
    assert_eq!(reported_losses(&bench), [loss(1, "w", false)]);
}

/// A crash breaks the poll at once, but only the next call is refused.
#[test]
fn age_of_a_run_is_measured_until_the_poll_failed() {
    let mut bench = gate_with_run(20);
    bench.gate.poll_failed(bench.now, true);
    bench.advance(25);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(reported_losses(&bench), [loss(1, "w", true)]);
}

#[test]
fn worker_that_leaves_is_not_lost() {
    let mut bench = gate_with_run(10);
    bench.gate.worker_report(bench.now, report("w", true, 2));
    bench.collect();
    crash(&mut bench);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert!(reported_losses(&bench).is_empty() && stored_losses(&bench).is_empty());
    let mut bench = gate_with_run(10);
    bench.gate.worker_left(bench.now, &"w".into());
    bench.collect();
    assert!(reported_losses(&bench).is_empty());
}

#[test]
fn silent_worker_is_lost_when_its_lease_expires() {
    let mut bench = gate_with_run(10);
    bench.gate.poll_failed(bench.now, true);
    for _ in 0..3 {
        bench.answer_start(run(8), Err(WorkerCallError::Unanswered));
    }
    for _ in 0..8 {
        assert!(bench.ends().is_empty() == reported_losses(&bench).is_empty());
        bench.gate.frame_received(bench.now, gate_bench::ENTRY);
        bench.advance(100);
    }
    assert_eq!(reported_losses(&bench), [possible(1, "w")]);
    bench.answer_other_incarnation();
    assert_eq!(
        reported_losses(&bench),
        [possible(1, "w"), loss(1, "w", true)]
    );
    assert_eq!(stored_losses(&bench), [loss(1, "w", true)], "stored once");
}

/// A retried start is a possible loss, because the worker may have crashed before it answered.
#[test]
fn refused_first_start_is_not_lost_with_its_worker() {
    let mut bench = gate_with_run(10);
    bench.order(run(2), 100, 100);
    bench.order(run(3), 100, 100);
    bench.answer_start(run(3), Err(WorkerCallError::Unanswered));
    bench.answer_start(run(2), Err(WorkerCallError::Refused));
    crash(&mut bench);
    let losses = reported_losses(&bench);
    assert!(losses.contains(&loss(1, "w", true)), "{losses:?}");
    assert!(losses.iter().all(|loss| loss.job != JobId(2)), "{losses:?}");
    let third = losses.iter().find(|loss| loss.job == JobId(3)).unwrap();
    assert!(!third.likely && !third.ran);
}

/// A task may crash each worker before the worker answers the start call.
#[test]
fn start_answered_after_the_loss_counts_if_the_worker_may_have_received_it() {
    for (answer, losses) in [
        (Ok(StartReply::Running), vec![loss(2, "w", false)]),
        (Err(WorkerCallError::Unanswered), vec![possible(2, "w")]),
        (Err(WorkerCallError::Refused), vec![]),
        (Err(WorkerCallError::OtherIncarnation), vec![]),
    ] {
        let mut bench = GateBench::ready();
        bench.order(run(2), 100, 100);
        crash(&mut bench);
        assert!(reported_losses(&bench).is_empty());
        bench.answer_start(run(2), answer);
        assert_eq!(reported_losses(&bench), losses, "{answer:?}");
        bench.answer_start(run(2), answer);
        assert_eq!(reported_losses(&bench), losses, "reported once");
    }
}

#[test]
fn older_run_is_not_the_likely_cause_if_a_younger_one_is_lost() {
    let mut bench = gate_with_run(20);
    bench.order(run(2), 100, 100);
    bench.answer_start(run(2), Ok(StartReply::Running));
    bench.advance(5);
    crash(&mut bench);
    assert_eq!(
        reported_losses(&bench),
        [loss(1, "w", false), loss(2, "w", true)]
    );
}

/// The next incarnation may answer just as the lease of the silent one expires.
#[test]
fn run_ended_by_its_lease_is_lost_if_another_incarnation_answers() {
    let mut bench = gate_with_run(10);
    for _ in 0..9 {
        bench.gate.frame_received(bench.now, gate_bench::ENTRY);
        bench.advance(100);
    }
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert!(
        reported_losses(&bench).is_empty(),
        "this gate may have been suspended"
    );
    bench.answer_other_incarnation();
    assert_eq!(reported_losses(&bench).len(), 1);
}

#[test]
fn connecting_entry_receives_losses_of_earlier_gates_and_other_entries() {
    let mut bench = GateBench::ready();
    bench.gate.restore_losses(vec![loss(1, "w-0", true)]);
    let message = ToGate::Losses(vec![loss(2, "w-1", false)]);
    bench
        .gate
        .handle_message(bench.now, gate_bench::ENTRY, message);
    assert!(
        reported_losses(&bench).is_empty(),
        "a loss is not sent back to the entry that reported it"
    );
    let hello = ToGate::Hello {
        entry: process("e-2", 1),
        config: 0,
        open: Vec::new(),
    };
    bench.gate.handle_message(bench.now, SessionId(2), hello);
    bench.collect();
    let both = [loss(1, "w-0", true), loss(2, "w-1", false)];
    assert_eq!(reported_losses(&bench), both);
    assert_eq!(stored_losses(&bench), both);
}

/// An entry with a job at a gate.
fn entry_with_start() -> EntryBench {
    let mut bench = EntryBench::new(3);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
    bench
}

/// The gate of the latest start loses its worker during the run.
fn lose(bench: &mut EntryBench, worker: &str, early: bool) {
    let start = *bench.starts.last().unwrap();
    bench.deliver(start.0.0, ToEntry::Losses(vec![loss(1, worker, early)]));
    bench.end_run(start, RunEnd::Stopped);
}

#[test]
fn two_likely_losses_or_three_of_any_kind_fail_a_job() {
    let mut bench = entry_with_start();
    lose(&mut bench, "w-1", true);
    assert_eq!(bench.starts.len(), 2);
    lose(&mut bench, "w-2", true);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
    assert_eq!(bench.answers[0].1.effect, Effect::Ran);

    let mut bench = entry_with_start();
    lose(&mut bench, "w-1", false);
    lose(&mut bench, "w-2", true);
    assert!(bench.answers.is_empty(), "one likely loss is not enough");
    lose(&mut bench, "w-3", false);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

/// Possible losses stop further starts of a task, but do not fail its job.
#[test]
fn possible_losses_end_a_job_with_unknown_outcome() {
    let mut bench = entry_with_start();
    for worker in ["w-1", "w-2", "w-3"] {
        assert!(bench.answers.is_empty(), "{worker}");
        let start = *bench.starts.last().unwrap();
        bench.deliver(start.0.0, ToEntry::Losses(vec![possible(1, worker)]));
        bench.end_run(start, RunEnd::Stopped);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
    assert_eq!(bench.answers[0].1.effect, Effect::Unknown);
    bench.submit(2, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 3, "the task is not started again");
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown; 2]);
    bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-1", false)]));
    bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-3", false)]));
    bench.submit(3, job(1, 1), 0);
    let last = bench.codes().pop();
    assert_eq!(
        last,
        Some(ResultCode::TaskFailed),
        "two losses are confirmed by now"
    );
}

/// Run times differ, so a run past a third of its expected time may have ended.
#[test]
fn run_that_may_have_ended_is_a_possible_loss() {
    let mut bench = gate_with_run(34);
    crash(&mut bench);
    assert_eq!(reported_losses(&bench), [possible(1, "w")]);
}

/// A call to an ended incarnation may be refused after the next one was found.
#[test]
fn refusal_for_an_earlier_incarnation_does_not_end_the_current_one() {
    let mut bench = gate_with_run(10);
    bench.answer_other_incarnation();
    bench.actions.clear();
    bench.gate.worker_report(bench.now, report("w-2", false, 2));
    bench.collect();
    bench.answer_first_poll();
    for refused in [WorkerCallError::Refused, WorkerCallError::OtherIncarnation] {
        bench
            .gate
            .start_answered(bench.now, &"w".into(), run(1), Err(refused));
        bench
            .gate
            .stop_answered(bench.now, &"w".into(), run(1), Err(refused));
    }
    bench.collect();
    assert!(bench.ends().is_empty() && reported_losses(&bench).is_empty());
    assert_eq!(bench.last_load().worker.unwrap().id, "w-2".into());
}

/// Two implicated tasks of different entries would otherwise be lost together, and both
/// would be blamed.
#[test]
fn gate_runs_one_implicated_task_at_a_time() {
    let mut bench = GateBench::ready();
    bench.order(run(1), 100, 100);
    bench.implicated = true;
    bench.order(run(2), 100, 100);
    bench.order(run(3), 100, 100);
    assert_eq!(bench.ordered(), [run(1), run(2)]);
    let apart = RunEnd::NotRun(NotRunReason::Apart);
    assert_eq!(bench.ends(), [(run(3), apart)]);
    bench.answer_start(run(2), Ok(StartReply::Running));
    bench.list_runs(vec![(run(1), 10)], vec![(1, run(2), WorkerEnd::Done)]);
    bench.order(run(4), 100, 100);
    assert_eq!(bench.ordered().last(), Some(&run(4)));
}

#[test]
fn implicated_task_is_marked_and_retried_at_another_gate() {
    let mut bench = entry_with_start();
    lose(&mut bench, "w-1", false);
    let orders = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Start(order),
            ..
        } => Some(order.implicated),
        _ => None,
    });
    assert_eq!(orders.collect::<Vec<_>>(), [false, true]);
    let second = bench.starts[1];
    bench.end_run(second, RunEnd::NotRun(NotRunReason::Apart));
    assert_eq!(bench.starts.len(), 3);
    assert_ne!(bench.starts[2].0, second.0);
}

/// Otherwise the only gate would reject the task repeatedly until the job's deadline.
#[test]
fn rejected_task_is_not_marked_implicated_again_if_there_is_no_other_gate() {
    let mut bench = EntryBench::new(1);
    bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-1", false)]));
    bench.submit(1, job(1, 1), 0);
    let first = bench.starts[0];
    bench.end_run(first, RunEnd::NotRun(NotRunReason::Apart));
    let orders = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Start(order),
            ..
        } => Some(order.implicated),
        _ => None,
    });
    assert_eq!(orders.collect::<Vec<_>>(), [true, false]);
}

/// Otherwise the task that crashes workers would affect the other tasks again.
#[test]
fn tasks_of_one_lost_worker_are_restarted_at_different_gates() {
    let mut bench = EntryBench::new(4);
    for id in 1..=3 {
        bench.submit(
            id,
            JobSpec {
                needs: cpu(100),
                ..job(id, 1)
            },
            0,
        );
    }
    let first = bench.starts.clone();
    let all = (1..=3).map(|id| loss(id, "w-1", false)).collect();
    bench.deliver(first[0].0.0, ToEntry::Losses(all));
    for start in first {
        bench.end_run(start, RunEnd::Stopped);
    }
    let next: HashSet<u64> = bench.starts[3..].iter().map(|start| start.0.0).collect();
    assert_eq!(next.len(), 3, "{:?}", bench.starts);
}

/// Jobs 1 to `count`, whose tasks a lost worker had, and their next starts.
fn implicated_jobs(bench: &mut EntryBench, count: u64) -> Vec<(SessionId, RunId)> {
    for id in 1..=count {
        let spec = JobSpec {
            needs: cpu(100),
            ..job(id, 1)
        };
        bench.submit(id, spec, 0);
    }
    let first = std::mem::take(&mut bench.starts);
    let losses = (1..=count).map(|id| loss(id, "w-1", true)).collect();
    bench.deliver(first[0].0.0, ToEntry::Losses(losses));
    for start in first {
        bench.end_run(start, RunEnd::Stopped);
    }
    std::mem::take(&mut bench.starts)
}

/// Whether the latest start is to be rejected by a gate with another implicated task.
fn latest_start_runs_apart(bench: &EntryBench) -> bool {
    let orders = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Start(order),
            ..
        } => Some(order.implicated),
        _ => None,
    });
    orders.last().expect("a start")
}

/// Otherwise the task that crashes workers takes the others with it again, and several of them
/// are failed as the cause.
#[test]
fn implicated_tasks_wait_for_one_another_if_there_are_more_of_them_than_workers() {
    let mut bench = EntryBench::new(2);
    let next = implicated_jobs(&mut bench, 3);
    assert_eq!(next.len(), 2, "{next:?}");
    assert_ne!(next[0].0, next[1].0);
    bench.advance(20);
    assert!(bench.starts.is_empty());
    bench.end_run(next[0], RunEnd::Done);
    bench.advance(5);
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(bench.starts[0].0, next[0].0);
    assert!(latest_start_runs_apart(&bench));
}

/// A gate with an implicated task of another entry must neither share its worker with one of this
/// entry, nor be asked again and again.
#[test]
fn gate_that_rejects_an_implicated_task_is_tried_again_later() {
    let mut bench = EntryBench::new(1);
    let start = implicated_jobs(&mut bench, 1)[0];
    let apart = RunEnd::NotRun(NotRunReason::Apart);
    bench.end_run(start, apart);
    for _ in 0..4 {
        bench.load(1, load(1_000, 0));
        bench.advance(5);
        assert!(bench.starts.is_empty());
    }
    bench.advance_connected(200);
    assert_eq!(bench.starts.len(), 1);
    assert!(latest_start_runs_apart(&bench));
}

/// Otherwise the task would wait for a worker of its own until its deadline.
#[test]
fn implicated_task_shares_a_worker_while_time_is_left_for_another_attempt() {
    let mut bench = EntryBench::new(1);
    let mut start = implicated_jobs(&mut bench, 1)[0];
    let deadline_us = bench.now.mono_us + 2_000 * MS;
    while latest_start_runs_apart(&bench) {
        bench.end_run(start, RunEnd::NotRun(NotRunReason::Apart));
        bench.advance_connected(100);
        start = bench.starts.pop().unwrap_or(start);
    }
    let left_us = deadline_us - bench.now.mono_us;
    assert!((100 * MS..400 * MS).contains(&left_us), "{left_us} us");
}

#[test]
fn repeated_report_of_a_loss_counts_once() {
    let mut bench = entry_with_start();
    for _ in 0..5 {
        bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-1", true)]));
    }
    assert!(bench.answers.is_empty());
}

#[test]
fn pending_start_is_stopped_when_reported_losses_reach_the_limit() {
    let mut bench = entry_with_start();
    let others = ["w-7", "w-8", "w-9"].map(|worker| loss(1, worker, true));
    let others = others.to_vec();
    bench.deliver(3, ToEntry::Losses(others));
    assert_eq!(bench.stops, [bench.starts[0].1]);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

#[test]
fn job_with_enough_losses_in_the_directory_is_not_started() {
    let mut bench = EntryBench::new(2);
    bench.publish_gates(2);
    let record = GateRecord {
        gate: "g2".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        worker: None,
        losses: ["w-7", "w-8", "w-9"]
            .map(|worker| loss(1, worker, true))
            .to_vec(),
    };
    bench
        .dispatcher
        .update_gates(bench.now, &vec![record].into());
    bench.submit(1, job(1, 1), 0);
    bench.submit(2, job(2, 1), 0);
    bench.advance(10);
    assert_eq!(bench.starts.len(), 1, "the other job is started");
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

/// A gate that dies together with its worker cannot report the loss itself.
#[test]
fn entry_reports_a_worker_that_was_lost_with_its_gate() {
    let mut bench = entry_with_start();
    let gate = bench.starts[0].0.0;
    bench.advance(10);
    bench.dispatcher.disconnected(bench.now, SessionId(gate));
    for _ in 0..6 {
        (1..=3).filter(|other| *other != gate).for_each(|other| {
            bench.dispatcher.frame_received(bench.now, SessionId(other));
        });
        bench.advance(100);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
    bench.connect(gate);
    bench.load(gate, load_with_worker("w-next"));
    let sent = [(SessionId(gate), vec![possible(1, "w")])];
    assert_eq!(losses_sent_to_gates(&bench), sent);
    bench.load(gate, load_with_worker("w-after"));
    assert_eq!(losses_sent_to_gates(&bench), sent, "reported once");
}

fn losses_sent_to_gates(bench: &EntryBench) -> Vec<(SessionId, Vec<WorkerLoss>)> {
    let messages = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::Losses(losses),
        } => Some((*session, losses.clone())),
        _ => None,
    });
    messages.collect()
}

fn load_with_worker(id: &str) -> GateLoad {
    let worker = WorkerTraits {
        id: id.into(),
        ..(**load(1_000, 0).worker.as_ref().unwrap()).clone()
    };
    GateLoad {
        worker: Some(worker.into()),
        ..load(1_000, 0)
    }
}

#[test]
fn losses_expire_and_their_number_is_bounded() {
    let at = |seconds: u64| Moment {
        mono_us: seconds * 1_000 * MS,
        wall_ms: 0,
    };
    let mut log = LossLog::default();
    log.record(at(0), &loss(1, "w-0", true));
    log.record(at(0), &loss(1, "w-1", true));
    log.record(at(60), &loss(1, "w-2", true));
    let abandoned = AbandonedTask {
        index: 0,
        crash_confirmed: true,
    };
    assert_eq!(log.abandoned_task(JobId(1)), Some(abandoned));
    log.evict_expired(at(125));
    assert_eq!(log.abandoned_task(JobId(1)), None);
    assert_eq!(log.count(JobId(1), 0), 1);
    for job in 2..10_000 {
        log.record(at(130), &loss(job, "w-3", true));
    }
    assert_eq!(
        log.count(JobId(1), 0),
        0,
        "the oldest loss is evicted first"
    );
    assert_eq!(log.count(JobId(9_999), 0), 1);
}
