//! Lives of the worker behind a gate: found, superseded, mute, leaving, gone.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::{NotRunReason, RunEnd, ToGate};
use winghold::ephemeral::worker::{StartReply, WorkerCallError, WorkerEnd, WorkerReport};

#[test]
fn a_mute_worker_gets_no_orders_and_its_runs_end_with_their_lease() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 100, 100);
    bench.advance(130);
    bench.answer_start(run(2), Err(WorkerCallError::Unanswered));
    bench.answer_stop(run(2), Err(WorkerCallError::Unanswered));
    bench.answer_stop(run(2), Err(WorkerCallError::Unanswered));
    bench.order(run(3), 100, 100);
    let end = RunEnd::NotRun(NotRunReason::NoWorker);
    assert_eq!(bench.ends(), [(run(3), end)]);
    for _ in 0..8 {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(100);
    }
    let stopped = (run(1), RunEnd::Stopped);
    assert!(bench.ends().contains(&stopped), "{:?}", bench.ends());
}

#[test]
fn a_leaving_worker_gets_nothing_and_finishes_what_it_has() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 600, 100);
    bench.gate.worker_report(bench.now, report("w", true, 2));
    bench.collect();
    bench.order(run(3), 100, 100);
    let leaving = RunEnd::NotRun(NotRunReason::Leaving);
    assert_eq!(bench.ends(), [(run(2), leaving), (run(3), leaving)]);
    assert!(bench.stops().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert!(bench.ends().contains(&(run(1), RunEnd::Done)));
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut bench = Bench::ready();
    bench.gate.worker_report(bench.now, report("w", false, 5));
    bench.gate.worker_report(bench.now, report("w", true, 3));
    bench.order(run(1), 100, 100);
    assert_eq!(bench.ordered(), [run(1)]);
}

#[test]
fn what_ran_on_an_earlier_life_of_the_worker_is_over() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.collect();
    assert!(bench.ends().is_empty(), "the report may be an old one");
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(bench.worker(), "w2".into());
}

/// A report that was held up on its way told of a life that had crashed before the
/// present one began: the gate followed it, took the present runs as stopped and
/// gave their room again.
#[test]
fn a_late_report_of_an_earlier_life_changes_nothing_while_the_present_one_answers() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, report("w0", false, 9));
    bench.collect();
    bench.advance(5);
    bench.list_runs(vec![(run(1), 50)], Vec::new());
    bench.order(run(2), 600, 100);
    assert!(bench.ends().is_empty());
    assert_eq!(bench.ordered(), [run(1)], "the room is still taken");
    assert_eq!(bench.worker(), "w".into());
    bench.answer_other_incarnation();
    assert_eq!(
        bench.last_load().worker,
        None,
        "nothing is left of the report"
    );
}

#[test]
fn a_life_that_was_superseded_does_not_come_back() {
    let mut bench = Bench::ready();
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.answer_other_incarnation();
    assert_eq!(bench.worker(), "w2".into());
    bench.gate.worker_report(bench.now, report("w", false, 50));
    bench.answer_other_incarnation();
    bench.gate.worker_report(bench.now, report("w", false, 51));
    bench.advance(20);
    assert_eq!(bench.last_load().worker, None);
}

/// An order to the earlier life may be answered after its successor was followed.
#[test]
fn a_late_answer_to_an_order_for_the_earlier_life_does_not_end_the_present_one() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 200, 100);
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.answer_other_incarnation();
    bench.answer_start(run(1), Ok(StartReply::OtherIncarnation));
    bench.answer_stop(run(2), Err(WorkerCallError::OtherIncarnation));
    bench.advance(20);
    let worker = bench.last_load().worker.map(|worker| worker.id.clone());
    assert_eq!(worker, Some("w2".into()));
}

#[test]
fn an_order_that_another_life_answers_makes_the_gate_ask_for_the_present_one() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.actions.clear();
    bench.answer_start(run(1), Ok(StartReply::OtherIncarnation));
    let asked = bench.actions.iter().any(|action| match action {
        GateAction::Poll(call) => call.check && call.worker == Some("w".into()),
        _ => false,
    });
    assert!(asked);
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
}

#[test]
fn a_life_that_said_goodbye_does_not_come_back() {
    let mut bench = Bench::ready();
    bench.gate.worker_left(bench.now, &"w".into());
    bench.gate.worker_report(bench.now, report("w", false, 50));
    bench.advance(20);
    assert_eq!(bench.last_load().worker, None);
}

#[test]
fn a_recalled_life_gives_way_to_the_one_that_reports() {
    let mut bench = Bench::without_run_list();
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.answer_other_incarnation();
    assert_eq!(bench.worker(), "w2".into());
}

#[test]
fn a_mute_life_gives_way_once_nothing_can_run_on_it_any_more() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.advance(130);
    for _ in 0..3 {
        bench.answer_stop(run(9), Err(WorkerCallError::Unanswered));
    }
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.advance(100);
    assert_eq!(bench.worker(), "w".into());
    assert!(bench.ends().is_empty());
    for _ in 0..8 {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(100);
    }
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(bench.worker(), "w2".into());
}

/// A report of the present life with this capacity.
fn resized(cpu_milli: u64, sequence: u64) -> WorkerReport {
    let mut report = report("w", false, sequence);
    report.capacity.cpu_milli = cpu_milli;
    report
}

/// What runs goes on and counts; nothing begins that would bring the worker over what it
/// has now, whatever was said before in a report that comes late.
#[test]
fn nothing_begins_beyond_a_capacity_that_has_shrunk_until_it_grows_again() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, resized(500, 5));
    bench.gate.worker_report(bench.now, resized(1_000, 4));
    bench.advance(20);
    assert_eq!(bench.last_load().free.cpu_milli, 0);
    bench.order(run(2), 300, 5_000);
    bench.order(run(3), 600, 5_000);
    assert_eq!(bench.ordered(), [run(1)]);
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ordered(), [run(1), run(2)], "what fits now");
    bench.advance(20);
    let worker = bench.last_load().worker.unwrap();
    assert_eq!(
        (worker.capacity.cpu_milli, worker.largest.cpu_milli),
        (500, 1_000)
    );
    bench.gate.worker_report(bench.now, resized(1_000, 6));
    bench.collect();
    assert_eq!(bench.ordered(), [run(1), run(2), run(3)]);
}

/// Seen: eight workers of 65 that broke off every connection for six seconds, beside good
/// heartbeats, were dialed 19,000 times, as many as there were jobs. Each hold was sent
/// again after 20 ms, and each stop at once.
#[test]
fn a_worker_that_breaks_connections_off_is_dialed_less_and_less() {
    let mut bench = Bench::ready();
    for job in 1..=3 {
        bench.order(run(job), 100, 100);
        bench.answer_start(run(job), Ok(StartReply::Running));
        bench
            .gate
            .handle_message(bench.now, ENTRY, ToGate::Stop { run: run(job) });
    }
    bench.collect();
    let started = |action: &GateAction| matches!(action, GateAction::Start(_));
    bench.actions.retain(|action| !started(action));
    let (mut dials, mut holds) = (0, Vec::new());
    for _ in 0..1_200 {
        for action in std::mem::take(&mut bench.actions) {
            match action {
                GateAction::Poll(call) => {
                    dials += 1;
                    let due_us = bench.now.mono_us + call.retry_delay.as_micros() as u64;
                    holds.push((due_us, bench.now, call));
                }
                GateAction::Stop(call) => {
                    dials += 1;
                    bench.answer_stop(call.run, Err(WorkerCallError::Unanswered));
                }
                GateAction::Start(call) => panic!("{} is ordered", call.run),
                _ => {}
            }
        }
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(5);
        let now = bench.now;
        for (_, sent, call) in holds.extract_if(.., |(due_us, ..)| *due_us <= now.mono_us) {
            let unanswered = Err(WorkerCallError::Unanswered);
            bench.gate.poll_answered(now, sent, &call, unanswered);
        }
        bench.collect();
    }
    assert!(dials < 80, "{dials} in six seconds");
    assert!(dials > 12, "it is asked again and again: {dials}");
}
