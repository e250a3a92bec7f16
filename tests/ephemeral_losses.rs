//! Losses of workers: what a gate tells of them, and what an entry makes of that.

mod dispatcher_bench;
mod gate_bench;

use std::collections::HashSet;

use dispatcher_bench::{Bench as EntryBench, cpu, job, load};
use gate_bench::{Bench as GateBench, MS, process, report, run};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::{JobId, JobSpec};
use winghold::ephemeral::losses::{AbandonedTask, LossLog, WorkerLoss};
use winghold::ephemeral::message::{GateLoad, NotRunReason, RunEnd, ToEntry, ToGate, WorkerTraits};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{StartReply, WorkerCallError, WorkerEnd};
use winghold::time::Moment;

/// A loss under a run that was not over, as a likely reason or not.
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

fn told(bench: &GateBench) -> Vec<WorkerLoss> {
    let told = bench.actions.iter().filter_map(|action| match action {
        GateAction::Send {
            message: ToEntry::Losses(losses),
            ..
        } => Some(losses.clone()),
        _ => None,
    });
    told.flatten().collect()
}

fn recorded(bench: &GateBench) -> Vec<WorkerLoss> {
    let recorded = bench.actions.iter().filter_map(|action| match action {
        GateAction::StoreLosses(losses) => Some(losses.clone()),
        _ => None,
    });
    recorded.last().unwrap_or_default()
}

/// A gate with a run that has gone on for `age_ms` of the 100 ms that are expected.
fn running(age_ms: u64) -> GateBench {
    let mut bench = GateBench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.frame_received(bench.now, gate_bench::ENTRY);
    bench.advance(age_ms);
    bench
}

#[test]
fn a_worker_that_refuses_is_lost_under_what_ran_there() {
    let mut bench = running(10);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(told(&bench), [loss(1, "w", true)]);
    assert_eq!(recorded(&bench), [loss(1, "w", true)]);
    let told_at = |action: &GateAction| {
        matches!(
            action,
            GateAction::Send {
                message: ToEntry::Losses(_),
                ..
            }
        )
    };
    let ended_at = |action: &GateAction| {
        matches!(
            action,
            GateAction::Send {
                message: ToEntry::Ended { .. },
                ..
            }
        )
    };
    let told = bench.actions.iter().position(told_at);
    assert!(told < bench.actions.iter().position(ended_at), "told first");
}

#[test]
fn a_loss_late_in_a_run_is_told_as_such() {
    let mut bench = running(30);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(told(&bench), [loss(1, "w", false)]);
}

/// A crash fails the hold at once; that nothing listens is learned with the next one.
#[test]
fn the_age_of_a_run_counts_until_the_hold_failed() {
    let mut bench = running(20);
    bench.gate.poll_failed(bench.now, true);
    bench.advance(25);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(told(&bench), [loss(1, "w", true)]);
}

#[test]
fn a_worker_that_leaves_is_not_lost() {
    let mut bench = running(10);
    bench.gate.worker_report(bench.now, report("w", true, 2));
    bench.collect();
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert!(told(&bench).is_empty() && recorded(&bench).is_empty());
    let mut bench = running(10);
    bench.gate.worker_left(bench.now, &"w".into());
    bench.collect();
    assert!(told(&bench).is_empty());
}

#[test]
fn a_worker_that_falls_silent_is_lost_once_its_lease_is_over() {
    let mut bench = running(10);
    bench.gate.poll_failed(bench.now, true);
    for _ in 0..3 {
        bench.answer_start(run(8), Err(WorkerCallError::Unanswered));
    }
    for _ in 0..8 {
        assert!(bench.ends().is_empty() == told(&bench).is_empty());
        bench.gate.frame_received(bench.now, gate_bench::ENTRY);
        bench.advance(100);
    }
    assert_eq!(told(&bench), [possible(1, "w")]);
    bench.answer_other_incarnation();
    assert_eq!(told(&bench), [possible(1, "w"), loss(1, "w", true)]);
    assert_eq!(recorded(&bench), [loss(1, "w", true)], "kept once");
}

/// Unless it was sent again: then the worker may have crashed before it answered.
#[test]
fn an_order_that_met_a_worker_already_gone_is_not_lost_with_it() {
    let mut bench = running(10);
    bench.order(run(2), 100, 100);
    bench.order(run(3), 100, 100);
    bench.answer_start(run(3), Err(WorkerCallError::Unanswered));
    bench.answer_start(run(2), Err(WorkerCallError::Refused));
    let told = told(&bench);
    assert!(told.contains(&loss(1, "w", true)), "{told:?}");
    assert!(told.iter().all(|loss| loss.job != JobId(2)), "{told:?}");
    let third = told.iter().find(|loss| loss.job == JobId(3)).unwrap();
    assert!(!third.likely && !third.ran);
}

/// Seed 1056 of `ephemeral_crashing_tasks`: a task crashed each worker before the worker
/// had answered its start, and no loss was counted at all.
#[test]
fn an_order_whose_answer_comes_after_the_loss_counts_if_the_worker_had_it() {
    for (answer, losses) in [
        (Ok(StartReply::Running), vec![loss(2, "w", false)]),
        (Err(WorkerCallError::Unanswered), vec![possible(2, "w")]),
        (Err(WorkerCallError::Refused), vec![]),
        (Err(WorkerCallError::OtherIncarnation), vec![]),
    ] {
        let mut bench = GateBench::ready();
        bench.order(run(2), 100, 100);
        bench.answer_stop(run(9), Err(WorkerCallError::Refused));
        assert!(told(&bench).is_empty());
        bench.answer_start(run(2), answer);
        assert_eq!(told(&bench), losses, "{answer:?}");
        bench.answer_start(run(2), answer);
        assert_eq!(told(&bench), losses, "told once");
    }
}

#[test]
fn what_was_there_before_younger_runs_is_not_the_likeliest_reason() {
    let mut bench = running(20);
    bench.order(run(2), 100, 100);
    bench.answer_start(run(2), Ok(StartReply::Running));
    bench.advance(5);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(told(&bench), [loss(1, "w", false), loss(2, "w", true)]);
}

/// Seed 188 of `ephemeral_crashing_tasks`: the next life answered an order as the lease
/// of the silent one ran out, so that the gate took neither for lost.
#[test]
fn what_a_lease_ended_unheard_is_lost_if_another_life_answers() {
    let mut bench = running(10);
    for _ in 0..9 {
        bench.gate.frame_received(bench.now, gate_bench::ENTRY);
        bench.advance(100);
    }
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert!(told(&bench).is_empty(), "this gate may have stood still");
    bench.answer_other_incarnation();
    assert_eq!(told(&bench).len(), 1);
}

#[test]
fn an_entry_that_connects_is_told_what_earlier_gates_and_others_knew() {
    let mut bench = GateBench::ready();
    bench.gate.restore_losses(vec![loss(1, "w-0", true)]);
    let heard = ToGate::Losses(vec![loss(2, "w-1", false)]);
    bench
        .gate
        .handle_message(bench.now, gate_bench::ENTRY, heard);
    assert!(told(&bench).is_empty(), "it is not told what it said");
    let hello = ToGate::Hello {
        entry: process("e-2", 1),
        config: 0,
        open: Vec::new(),
    };
    bench.gate.handle_message(bench.now, SessionId(2), hello);
    bench.collect();
    let both = [loss(1, "w-0", true), loss(2, "w-1", false)];
    assert_eq!(told(&bench), both);
    assert_eq!(recorded(&bench), both);
}

/// An entry with a job at a gate.
fn started() -> EntryBench {
    let mut bench = EntryBench::new(3);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1);
    bench
}

/// The gate of the newest start loses its worker under it.
fn lose(bench: &mut EntryBench, worker: &str, early: bool) {
    let start = *bench.starts.last().unwrap();
    bench.deliver(start.0.0, ToEntry::Losses(vec![loss(1, worker, early)]));
    bench.end_run(start, RunEnd::Stopped);
}

#[test]
fn two_likely_losses_end_a_job_or_three_of_any_kind() {
    let mut bench = started();
    lose(&mut bench, "w-1", true);
    assert_eq!(bench.starts.len(), 2);
    lose(&mut bench, "w-2", true);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
    assert_eq!(bench.answers[0].1.effect, Effect::Ran);

    let mut bench = started();
    lose(&mut bench, "w-1", false);
    lose(&mut bench, "w-2", true);
    assert!(bench.answers.is_empty(), "one is no pattern");
    lose(&mut bench, "w-3", false);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

/// What may have been lost keeps a task from further workers, but fails nothing.
#[test]
fn losses_that_may_be_none_end_a_job_as_unknown() {
    let mut bench = started();
    for worker in ["w-1", "w-2", "w-3"] {
        assert!(bench.answers.is_empty(), "{worker}");
        let start = *bench.starts.last().unwrap();
        bench.deliver(start.0.0, ToEntry::Losses(vec![possible(1, worker)]));
        bench.end_run(start, RunEnd::Stopped);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
    assert_eq!(bench.answers[0].1.effect, Effect::Unknown);
    bench.submit(2, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 3, "it is not started again");
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown; 2]);
    bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-1", false)]));
    bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-3", false)]));
    bench.submit(3, job(1, 1), 0);
    let last = bench.codes().pop();
    assert_eq!(last, Some(ResultCode::TaskFailed), "two are known by now");
}

/// Calls to a worker may go unanswered, and run times differ: what has gone on for a third
/// of its expected time may be over.
#[test]
fn a_run_that_may_have_been_over_is_a_possible_loss() {
    let mut bench = running(34);
    bench.answer_stop(run(9), Err(WorkerCallError::Refused));
    assert_eq!(told(&bench), [possible(1, "w")]);
}

/// An order to a life that is over is refused after the next one was found.
#[test]
fn a_refusal_meant_for_an_earlier_life_ends_no_worker() {
    let mut bench = running(10);
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
    assert!(bench.ends().is_empty() && told(&bench).is_empty());
    assert_eq!(bench.last_load().worker.unwrap().id, "w-2".into());
}

/// Entries keep their own apart; two that come from two entries would be lost together,
/// and both seem to be to blame.
#[test]
fn a_gate_takes_one_task_at_a_time_that_a_worker_was_lost_under() {
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
fn a_task_that_is_kept_apart_goes_elsewhere_and_says_why() {
    let mut bench = started();
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

/// Where one gate is left, the tasks of a job that lost a worker have nowhere else to go:
/// seen, they were turned away there every 10 ms until the job's deadline.
#[test]
fn a_task_is_not_kept_apart_where_there_is_no_other_gate() {
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

/// All that was on a lost worker is placed anew at once; the task that crashes workers
/// would take the others along again.
#[test]
fn tasks_that_lost_a_worker_together_do_not_go_to_the_same_next_one() {
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

#[test]
fn one_loss_that_is_told_twice_counts_once() {
    let mut bench = started();
    for _ in 0..5 {
        bench.deliver(1, ToEntry::Losses(vec![loss(1, "w-1", true)]));
    }
    assert!(bench.answers.is_empty());
}

#[test]
fn a_start_under_way_is_withdrawn_when_others_tell_of_the_last_loss() {
    let mut bench = started();
    let others = ["w-7", "w-8", "w-9"].map(|worker| loss(1, worker, true));
    let others = others.to_vec();
    bench.deliver(3, ToEntry::Losses(others));
    assert_eq!(bench.stops, [bench.starts[0].1]);
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

#[test]
fn a_job_that_others_gave_up_is_not_started_again() {
    let mut bench = EntryBench::new(2);
    let record = GateRecord {
        gate: "g9".into(),
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
    assert_eq!(bench.starts.len(), 1, "another job is served");
    assert_eq!(bench.codes(), [ResultCode::TaskFailed]);
}

/// Seed 823 of `ephemeral_crashing_tasks`: gates died at the same time as the workers
/// that a task took along, and nobody counted these.
#[test]
fn an_entry_tells_of_a_worker_that_was_lost_with_its_gate() {
    let mut bench = started();
    let gate = bench.starts[0].0.0;
    bench.advance(10);
    bench.dispatcher.disconnected(SessionId(gate));
    for _ in 0..6 {
        (1..=3).filter(|other| *other != gate).for_each(|other| {
            bench.dispatcher.frame_received(bench.now, SessionId(other));
        });
        bench.advance(100);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
    bench.connect(gate);
    bench.load(gate, worker_is("w-next"));
    let told = [(SessionId(gate), vec![possible(1, "w")])];
    assert_eq!(told_to_gates(&bench), told);
    bench.load(gate, worker_is("w-after"));
    assert_eq!(told_to_gates(&bench), told, "told once");
}

fn told_to_gates(bench: &EntryBench) -> Vec<(SessionId, Vec<WorkerLoss>)> {
    let told = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::Losses(losses),
        } => Some((*session, losses.clone())),
        _ => None,
    });
    told.collect()
}

fn worker_is(id: &str) -> GateLoad {
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
fn losses_are_forgotten_after_minutes_and_never_pile_up() {
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
    assert_eq!(log.count(JobId(1), 0), 0, "the oldest goes first");
    assert_eq!(log.count(JobId(9_999), 0), 1);
}
