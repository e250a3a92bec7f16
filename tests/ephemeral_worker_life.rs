//! Incarnations of the worker of a gate: discovered, replaced, unresponsive, leaving, gone.

mod gate_bench;

use std::time::Duration;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::RunId;
use winghold::ephemeral::message::{NotRunReason, OpenRun, RunEnd, ToGate};
use winghold::ephemeral::worker::{PollCall, StartReply, WorkerCallError, WorkerEnd, WorkerReport};

#[test]
fn unresponsive_worker_gets_no_starts_and_its_runs_end_with_their_lease() {
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
fn leaving_worker_gets_no_starts_and_finishes_its_runs() {
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
fn report_with_a_lower_sequence_is_ignored() {
    let mut bench = Bench::ready();
    bench.gate.worker_report(bench.now, report("w", false, 5));
    bench.gate.worker_report(bench.now, report("w", true, 3));
    bench.order(run(1), 100, 100);
    assert_eq!(bench.ordered(), [run(1)]);
}

#[test]
fn runs_of_an_earlier_worker_incarnation_end() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.collect();
    assert!(bench.ends().is_empty(), "the report may be stale");
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(bench.worker(), "w2".into());
}

/// The gate must not end the current runs because of a delayed report of a crashed worker.
#[test]
fn stale_report_of_an_earlier_incarnation_is_ignored_while_the_current_one_answers() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, report("w0", false, 9));
    bench.collect();
    bench.advance(5);
    bench.list_runs(vec![(run(1), 50)], Vec::new());
    bench.order(run(2), 600, 100);
    assert!(bench.ends().is_empty());
    assert_eq!(bench.ordered(), [run(1)], "the capacity is still in use");
    assert_eq!(bench.worker(), "w".into());
    bench.answer_other_incarnation();
    assert_eq!(
        bench.last_load().worker,
        None,
        "the stale report is not used"
    );
}

#[test]
fn replaced_incarnation_is_not_adopted_again() {
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

/// A call to the earlier incarnation may be answered after the gate adopted the next one.
#[test]
fn late_answer_to_a_call_for_an_earlier_incarnation_does_not_end_the_current_one() {
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
fn start_answered_by_another_incarnation_makes_the_gate_poll_the_worker() {
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
fn incarnation_that_left_is_not_adopted_again() {
    let mut bench = Bench::ready();
    bench.gate.worker_left(bench.now, &"w".into());
    bench.gate.worker_report(bench.now, report("w", false, 50));
    bench.advance(20);
    assert_eq!(bench.last_load().worker, None);
}

/// Fails a check, or the regular poll, before its timeout.
fn fail_poll(bench: &mut Bench, check: bool, error: WorkerCallError) {
    let call = PollCall {
        worker: Some(bench.worker()),
        fence: Some(FENCE),
        lease_until_ms: None,
        acked_end: 0,
        wait_ms: 50,
        timeout: Duration::from_millis(25),
        retry_delay: Duration::from_millis(20),
        check,
    };
    let sent = bench.now;
    bench.gate.poll_failed(bench.now, true);
    bench.gate.poll_answered(bench.now, sent, &call, Err(error));
    bench.collect();
}

/// A worker announces its end before its runs have ended. They must not be reported as ended
/// while they may continue.
#[test]
fn runs_of_a_deregistered_worker_end_once_it_refuses_connections() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 600, 100);
    bench.gate.worker_left(bench.now, &"w".into());
    bench.advance(5);
    bench.order(run(3), 100, 100);
    let leaving = RunEnd::NotRun(NotRunReason::Leaving);
    assert_eq!(bench.ends(), [(run(2), leaving), (run(3), leaving)]);
    bench.list_runs(vec![(run(1), 50)], Vec::new());
    bench.gate.worker_report(bench.now, report("w", false, 50));
    bench.advance(20);
    assert_eq!(bench.ends().len(), 2, "the worker still runs it");
    assert_eq!(bench.last_load().free.cpu_milli, 0);
    fail_poll(&mut bench, false, WorkerCallError::Refused);
    assert_eq!(bench.ends()[2..], [(run(1), RunEnd::Stopped)]);
    bench.gate.worker_report(bench.now, report("w", false, 51));
    bench.advance(20);
    assert_eq!(bench.last_load().worker, None, "it is not adopted again");
}

/// A deregistered worker may end without refusing connections, as its machine may end with it.
#[test]
fn runs_of_a_silent_deregistered_worker_end_with_their_lease() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_left(bench.now, &"w".into());
    for _ in 0..7 {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(100);
        assert!(bench.ends().is_empty());
    }
    bench.advance(100);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
}

#[test]
fn incarnation_without_a_run_list_is_replaced_by_the_one_that_reports() {
    let mut bench = Bench::without_run_list();
    bench.gate.worker_report(bench.now, report("w2", false, 1));
    bench.answer_other_incarnation();
    assert_eq!(bench.worker(), "w2".into());
}

/// A gate that has restarted and whose entry claims `run(1)`. It takes the crashed incarnation
/// "w0" for its worker, but "w" has the run.
fn bench_with_claim_and_crashed_worker() -> Bench {
    let mut bench = Bench::without_worker();
    bench.gate.worker_report(bench.now, report("w0", false, 9));
    bench.connect_entry(vec![OpenRun {
        run: run(1),
        sent_to: 9,
        needs: resources(600),
        expected_us: 100 * MS,
    }]);
    bench
}

/// Lists the runs of "w" after the gate has adopted it.
fn list_runs_of_next(bench: &mut Bench, running: Vec<(RunId, u32)>) {
    bench.actions.clear();
    bench.gate.worker_report(bench.now, report("w", false, 1));
    bench.collect();
    bench.answer_first_poll();
    bench.list_runs(running, Vec::new());
}

/// A restarted gate may read a delayed report of a crashed worker before one of its successor,
/// which has the runs of the gate's previous incarnation. The end of the former proves nothing
/// about them.
#[test]
fn claimed_runs_are_not_ended_with_a_worker_that_never_listed_them() {
    let mut bench = bench_with_claim_and_crashed_worker();
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [], "the next worker may have it");
    list_runs_of_next(&mut bench, vec![(run(1), 50)]);
    bench.order(run(2), 600, 0);
    let no_room = RunEnd::NotRun(NotRunReason::NoRoom);
    assert_eq!(bench.ends(), [(run(2), no_room)], "its capacity is in use");
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends()[1..], [(run(1), RunEnd::Done)]);
}

/// As above, for an owner that has withdrawn its run, and will report that it has ended.
#[test]
fn withdrawn_claims_are_not_ended_with_a_worker_that_never_listed_them() {
    let mut bench = bench_with_claim_and_crashed_worker();
    let stop = ToGate::Stop { run: run(1) };
    bench.gate.handle_message(bench.now, ENTRY, stop);
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [], "the next worker may have it");
    list_runs_of_next(&mut bench, vec![(run(1), 50)]);
    bench.advance(200);
    assert!(bench.stops().contains(&run(1)));
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Stopped)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
}

/// The address in an outdated record or report may refuse connections while the worker has
/// another one.
#[test]
fn claimed_runs_outlive_a_worker_that_refuses_the_first_connection() {
    let mut bench = bench_with_claim_and_crashed_worker();
    bench
        .actions
        .retain(|action| !matches!(action, GateAction::Poll(_)));
    fail_poll(&mut bench, false, WorkerCallError::Refused);
    assert_eq!(bench.ends(), []);
    assert_eq!(bench.last_load().worker, None);
    for _ in 0..8 {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(100);
    }
    assert_eq!(
        bench.ends(),
        [(run(1), RunEnd::Stopped)],
        "its lease has expired on any worker"
    );
}

#[test]
fn unresponsive_incarnation_is_replaced_after_its_leases_expire() {
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

/// A report of the current incarnation with this capacity.
fn resized(cpu_milli: u64, sequence: u64) -> WorkerReport {
    let mut report = report("w", false, sequence);
    report.capacity.cpu_milli = cpu_milli;
    report
}

/// Existing runs continue and count against the reduced capacity; stale reports are ignored.
#[test]
fn no_run_starts_beyond_a_reduced_capacity() {
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
    assert_eq!(
        bench.ordered(),
        [run(1), run(2)],
        "the run that fits the reduced capacity"
    );
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

/// A worker may send heartbeats and still break every connection; the gate must back off.
#[test]
fn calls_to_a_worker_that_breaks_connections_back_off() {
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
    let (mut dials, mut polls) = (0, Vec::new());
    for _ in 0..1_200 {
        for action in std::mem::take(&mut bench.actions) {
            match action {
                GateAction::Poll(call) => {
                    dials += 1;
                    let due_us = bench.now.mono_us + call.retry_delay.as_micros() as u64;
                    polls.push((due_us, bench.now, call));
                }
                GateAction::Stop(call) => {
                    dials += 1;
                    bench.answer_stop(call.run, Err(WorkerCallError::Unanswered));
                }
                GateAction::Start(call) => panic!("{} is started", call.run),
                _ => {}
            }
        }
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(5);
        let now = bench.now;
        for (_, sent, call) in polls.extract_if(.., |(due_us, ..)| *due_us <= now.mono_us) {
            let unanswered = Err(WorkerCallError::Unanswered);
            bench.gate.poll_answered(now, sent, &call, unanswered);
        }
        bench.collect();
    }
    assert!(dials < 80, "{dials} calls in six seconds");
    assert!(dials > 12, "calls are retried: {dials}");
}

/// A caller must not wait for the lease of a worker that is known to have ended, nor count the run as
/// one that may have happened.
#[test]
fn start_that_another_incarnation_answered_is_reported_as_not_run() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.actions.clear();
    bench.answer_start(run(1), Err(WorkerCallError::OtherIncarnation));
    let not_run = RunEnd::NotRun(NotRunReason::NoWorker);
    assert_eq!(bench.ends(), [(run(1), not_run)]);
    let checked = bench.actions.iter().any(|action| match action {
        GateAction::Poll(call) => call.check,
        _ => false,
    });
    assert!(checked);
}

/// An earlier attempt may have begun the run before the worker ended.
#[test]
fn repeated_start_that_another_incarnation_answered_may_have_run() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1), run(1)]);
    bench.answer_start(run(1), Err(WorkerCallError::OtherIncarnation));
    assert!(bench.ends().is_empty());
    bench.answer_other_incarnation();
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stopped)]);
}

/// A worker of another kind than the one that the entry chose must not run the task, although the gate
/// is the same.
#[test]
fn order_that_requires_a_label_of_the_previous_worker_is_refused() {
    let mut bench = Bench::without_worker();
    bench.connect_entry(Vec::new());
    let labelled = |id: &str, label: &str| WorkerReport {
        labels: vec![label.into()],
        ..report(id, false, 1)
    };
    bench.gate.worker_report(bench.now, labelled("w", "a"));
    bench.collect();
    bench.answer_first_poll();
    bench.list_runs(Vec::new(), Vec::new());
    bench.label = Some("a".into());
    bench.order(run(1), 100, 100);
    assert_eq!(bench.ordered(), [run(1)]);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.worker_report(bench.now, labelled("w2", "b"));
    bench.answer_other_incarnation();
    assert_eq!(bench.worker(), "w2".into());
    bench.order(run(2), 100, 100);
    let not_run = RunEnd::NotRun(NotRunReason::NoWorker);
    assert!(bench.ends().contains(&(run(2), not_run)));
    assert_eq!(bench.last_load().worker.unwrap().labels, ["b"]);
    assert_eq!(bench.ordered(), [run(1)]);
}

/// A report of the gate's worker that names another address and another capacity.
fn report_from_elsewhere(sequence: u64) -> WorkerReport {
    WorkerReport {
        addr: "10.0.0.9:80".into(),
        capacity: resources(8_000),
        ..report("w", false, sequence)
    }
}

/// Addresses that calls were directed to.
fn addresses(bench: &Bench) -> Vec<&str> {
    let addresses = bench.actions.iter().filter_map(|action| match action {
        GateAction::SetWorker(worker) => Some(worker.addr.as_str()),
        _ => None,
    });
    addresses.collect()
}

/// Guards against a report of another writer that moves the calls to an address where connections
/// are refused: the worker would count as ended, and its tasks would run twice.
#[test]
fn report_with_another_address_does_not_move_the_worker() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench
        .gate
        .worker_report(bench.now, report_from_elsewhere(1 << 40));
    bench.collect();
    assert_eq!(addresses(&bench), [""; 0]);
    assert_eq!(bench.ends(), []);
    bench.order(run(2), 2_000, 0);
    assert!(!bench.ordered().contains(&run(2)), "its capacity is unused");
}

/// Guards against the loss of the worker's own reports behind the sequence number of such a report.
#[test]
fn report_with_another_address_hides_no_later_report() {
    let mut bench = Bench::ready();
    bench
        .gate
        .worker_report(bench.now, report_from_elsewhere(1 << 40));
    bench.gate.worker_report(bench.now, report("w", true, 2));
    bench.collect();
    assert!(bench.last_load().leaving);
}

/// Guards against a gate that never finds a worker that has started again elsewhere under the same
/// name, without a start time.
#[test]
fn worker_is_found_at_another_address_once_the_known_one_refuses() {
    let mut bench = Bench::ready();
    bench
        .gate
        .worker_report(bench.now, report_from_elsewhere(2));
    let sent = bench.now;
    let answer = Err(WorkerCallError::Refused);
    let call = bench.poll_call();
    bench.gate.poll_answered(bench.now, sent, &call, answer);
    bench
        .gate
        .worker_report(bench.now, report_from_elsewhere(3));
    bench.collect();
    assert_eq!(addresses(&bench), ["10.0.0.9:80"]);
}
