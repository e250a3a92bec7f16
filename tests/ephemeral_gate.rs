//! The gate of a worker: run starts and ends, entry sessions, and reconciliation with the
//! worker's run list.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::{Priority, RunId};
use winghold::ephemeral::message::{NotRunReason, OpenRun, RunEnd, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{
    EndedRow, PollCall, PollReply, StartReply, WorkerCallError, WorkerEnd,
};

#[test]
fn runs_beyond_worker_capacity_wait() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 100);
    assert_eq!(bench.ordered(), [run(1)]);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
    assert_eq!(bench.ordered(), [run(1), run(2)]);
}

#[test]
fn full_gate_rejects_a_run_without_patience_at_once() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 0);
    assert_eq!(
        bench.ends(),
        [(run(2), RunEnd::NotRun(NotRunReason::NoRoom))]
    );
}

#[test]
fn run_that_exceeds_its_patience_is_not_started() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 50);
    bench.advance(60);
    let late = (run(2), RunEnd::NotRun(NotRunReason::NoRoom));
    assert!(bench.ends().contains(&late));
}

#[test]
fn unanswered_start_keeps_its_capacity_until_it_is_barred_and_not_listed() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 400);
    for _ in 0..3 {
        assert!(bench.stops().is_empty());
        bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    }
    assert_eq!(bench.stops(), [run(1)]);
    bench.list_runs(Vec::new(), Vec::new());
    assert_eq!(bench.ordered(), [run(1); 3], "not barred yet");
    bench.advance(5);
    bench.answer_stop(run(1), Ok(()));
    assert_eq!(bench.ordered(), [run(1); 3], "not listed since");
    bench.advance(5);
    bench.list_runs(Vec::new(), Vec::new());
    let end = RunEnd::NotRun(NotRunReason::Unanswered);
    assert_eq!(bench.ends(), [(run(1), end)]);
    assert_eq!(bench.ordered(), [run(1), run(1), run(1), run(2)]);
}

#[test]
fn unanswered_start_is_retried_on_the_same_worker() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1), run(1)]);
    bench.answer_start(run(1), Ok(StartReply::Running));
    assert!(bench.stops().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

/// The gate may learn of the missing answer before it notices that the entry timed out.
#[test]
fn gate_that_was_suspended_does_not_retry_a_start() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.now.mono_us += 2_000 * MS;
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1)]);
}

/// The first copy of a start call may have run and ended while its answer was lost, so the
/// rejection of the second copy must not count as not run.
#[test]
fn rejected_retry_does_not_report_the_first_start_as_not_run() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    bench.answer_start(run(1), Ok(StartReply::Stale));
    assert!(bench.ends().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

#[test]
fn unanswered_start_continues_if_the_worker_lists_it() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.list_runs(vec![(run(1), 10)], Vec::new());
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert!(bench.stops().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

#[test]
fn stop_that_times_out_is_retried_at_once() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    let message = ToGate::Stop { run: run(1) };
    bench.gate.handle_message(bench.now, ENTRY, message);
    bench.collect();
    bench.advance(100);
    bench.answer_stop(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.stops(), [run(1), run(1)]);
}

/// An immediate retry would fail as well, and each attempt opens a connection.
#[test]
fn stop_with_a_broken_connection_is_retried_after_a_delay() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    let message = ToGate::Stop { run: run(1) };
    bench.gate.handle_message(bench.now, ENTRY, message);
    bench.collect();
    bench.answer_stop(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.stops(), [run(1)]);
    bench.gate.frame_received(bench.now, ENTRY);
    bench.advance(170);
    assert_eq!(bench.stops(), [run(1), run(1)]);
}

#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.advance(450);
    assert!(bench.stops().is_empty());
    bench.advance(20);
    assert_eq!(bench.stops(), [run(1)]);
    let closed = bench
        .actions
        .iter()
        .any(|action| matches!(action, GateAction::Close(ENTRY)));
    assert!(closed);
}

/// Otherwise a frame of an earlier connection that is read late ends an entry too early.
#[test]
fn older_frame_does_not_add_to_the_silence_of_an_entry() {
    let mut bench = Bench::ready();
    let before = bench.now;
    bench.advance(200);
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.frame_received(before, ENTRY);
    bench.advance(450);
    assert!(bench.stops().is_empty());
    bench.advance(20);
    assert_eq!(bench.stops(), [run(1)]);
}

/// Otherwise an entry counts as alive when its hello is read, however long that had waited.
#[test]
fn silence_after_a_slow_hello_counts_from_its_sending() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    let sent = bench.now;
    bench.advance(200);
    let open = OpenRun {
        run: run(1),
        sent_to: 1,
        needs: resources(600),
        expected_us: 100 * MS,
    };
    let hello = ToGate::Hello {
        entry: process("e", 1),
        config: 0,
        open: vec![open],
    };
    bench.gate.handle_message(bench.now, ENTRY, hello);
    bench.gate.frame_received(sent, ENTRY);
    bench.advance(250);
    assert!(bench.stops().is_empty());
    bench.advance(10);
    assert_eq!(bench.stops(), [run(1)]);
}

/// Otherwise a gate that was suspended starts what a dead entry had queued, on the next start of
/// another entry, and notices only then that the first one is silent.
#[test]
fn queued_run_of_a_silent_entry_is_not_started_after_a_suspension() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 600, 5_000);
    bench.now.mono_us += 1_200 * MS;
    let call = bench.poll_call();
    let ended = EndedRow {
        number: 1,
        run: run(1),
        end: WorkerEnd::Done,
    };
    let reply = PollReply {
        clock_ms: 6_200,
        ended: vec![ended],
        ..PollReply::default()
    };
    let (now, other) = (bench.now, SessionId(2));
    bench.gate.poll_answered(now, now, &call, Ok(reply));
    let hello = ToGate::Hello {
        entry: process("f", 1),
        config: 0,
        open: Vec::new(),
    };
    bench.gate.handle_message(now, other, hello);
    let order = bench.start_order(run(3), 100, 0);
    bench.gate.handle_message(now, other, order);
    bench.gate.frame_received(now, other);
    bench.advance(0);
    assert_eq!(bench.ordered(), [run(1), run(3)]);
}

#[test]
fn entry_that_reconnects_in_time_keeps_its_runs() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.session_closed(ENTRY);
    bench.advance(200);
    let open = OpenRun {
        run: run(1),
        sent_to: 1,
        needs: resources(600),
        expected_us: 100 * MS,
    };
    bench.connect_entry(vec![open]);
    assert!(bench.stops().is_empty());
}

#[test]
fn runs_that_a_reconnected_entry_does_not_claim_are_stopped() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.session_closed(ENTRY);
    bench.connect_entry(Vec::new());
    assert_eq!(bench.stops(), [run(1)]);
}

#[test]
fn new_gate_starts_no_run_before_existing_runs_are_claimed_or_ended() {
    let mut bench = Bench::without_run_list();
    bench.list_runs(vec![(run(7), 30)], Vec::new());
    bench.connect_entry(Vec::new());
    bench.order(run(1), 100, 2_000);
    assert!(bench.ordered().is_empty());
    bench.advance(200);
    assert!(
        bench.stops().is_empty(),
        "the entry of the run may still reconnect"
    );
    let renewals = bench
        .actions
        .iter()
        .filter(|action| matches!(action, GateAction::Poll(call) if call.lease_until_ms.is_some()));
    // Otherwise successive gates could each extend a run whose entry is gone.
    assert_eq!(
        renewals.count(),
        0,
        "the lease of an unclaimed run is not renewed"
    );
    bench.gate.frame_received(bench.now, ENTRY);
    bench.advance(200);
    assert_eq!(bench.stops(), [run(7)]);
    bench.list_runs(Vec::new(), vec![(1, run(7), WorkerEnd::Stopped)]);
    assert_eq!(bench.ordered(), [run(1)]);
}

#[test]
fn new_gate_reports_the_end_of_a_claimed_run_to_its_entry() {
    let mut bench = Bench::without_run_list();
    bench.list_runs(vec![(run(7), 30)], Vec::new());
    let open = OpenRun {
        run: run(7),
        sent_to: 9,
        needs: resources(600),
        expected_us: 100 * MS,
    };
    bench.connect_entry(vec![open]);
    bench.order(run(1), 600, 300);
    assert!(
        bench.ordered().is_empty(),
        "the claimed run keeps its capacity"
    );
    bench.list_runs(Vec::new(), vec![(1, run(7), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(7), RunEnd::Done)]);
    assert_eq!(bench.ordered(), [run(1)]);
}

/// The end of a claimed run that the worker does not list and that was sent to the gate
/// incarnation `sent_to`; the current incarnation is 1.
fn end_of_missing_claim(sent_to: u64) -> RunEnd {
    let mut bench = Bench::without_run_list();
    let open = OpenRun {
        run: run(7),
        sent_to,
        needs: resources(600),
        expected_us: 100 * MS,
    };
    bench.connect_entry(vec![open]);
    bench.list_runs(Vec::new(), Vec::new());
    assert!(bench.ends().is_empty());
    assert_eq!(bench.stops(), [run(7)]);
    bench.answer_stop(run(7), Ok(()));
    bench.advance(5);
    bench.list_runs(Vec::new(), Vec::new());
    let ends = bench.ends();
    assert_eq!(ends.len(), 1);
    ends[0].1
}

#[test]
fn unlisted_claimed_run_is_barred_before_it_counts_as_not_run() {
    let end = RunEnd::NotRun(NotRunReason::Unanswered);
    assert_eq!(end_of_missing_claim(1), end);
}

/// A run that an earlier incarnation of the gate may have started must not be reported as
/// not run.
#[test]
fn unlisted_run_of_an_earlier_gate_incarnation_counts_as_possibly_run() {
    assert_eq!(end_of_missing_claim(9), RunEnd::Stopped);
}

/// An earlier run may have had the same ID.
#[test]
fn end_of_an_earlier_run_with_the_same_id_does_not_end_a_waiting_run() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 500);
    bench.order(run(2), 600, 500);
    bench.list_runs(Vec::new(), vec![(1, run(2), WorkerEnd::Done)]);
    assert!(bench.ends().is_empty());
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.list_runs(Vec::new(), vec![(2, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ordered(), [run(1), run(2)]);
}

#[test]
fn task_that_already_runs_is_not_started_again() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    let second = RunId { run: 2, ..run(1) };
    bench.order(second, 100, 100);
    let end = RunEnd::NotRun(NotRunReason::AlreadyHere);
    assert_eq!(bench.ends(), [(second, end)]);
}

#[test]
fn run_without_progress_is_stopped_as_stalled() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for _ in 0..3 {
        bench.advance(100);
        bench.gate.frame_received(bench.now, ENTRY);
    }
    bench.list_runs(vec![(run(1), 0)], Vec::new());
    assert_eq!(bench.stops(), [run(1)]);
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Stopped)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Stalled)]);
}

/// Workers report progress in whole percents, so a long run with a low estimate reports no
/// progress for several hundred milliseconds.
#[test]
fn very_long_run_is_not_stalled_between_two_percents() {
    let mut bench = Bench::ready();
    bench.expected_us = 10_000 * MS;
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for percent in 0..12 {
        for _ in 0..5 {
            bench.gate.frame_received(bench.now, ENTRY);
            bench.advance(60);
            bench.list_runs(vec![(run(1), percent)], Vec::new());
        }
    }
    assert!(bench.stops().is_empty());
}

#[test]
fn long_run_with_progress_is_not_stopped() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for percent in [5, 6, 7, 8, 9] {
        bench.advance(100);
        bench.gate.frame_received(bench.now, ENTRY);
        bench.list_runs(vec![(run(1), percent)], Vec::new());
    }
    assert!(bench.stops().is_empty());
}

#[test]
fn runs_on_a_slow_worker_are_stopped_before_they_end() {
    let mut bench = Bench::ready();
    let runs = [run(1), run(2), run(3)];
    for run in runs {
        bench.order(run, 100, 100);
        bench.answer_start(run, Ok(StartReply::Running));
    }
    let mut stopped_after_ms = 0;
    for percent in [4, 8, 12, 16] {
        bench.advance(40);
        bench.gate.frame_received(bench.now, ENTRY);
        bench.list_runs(runs.map(|run| (run, percent)).to_vec(), Vec::new());
        stopped_after_ms += 40;
        if !bench.stops().is_empty() {
            break;
        }
    }
    assert_eq!(bench.stops(), runs);
    assert!(stopped_after_ms <= 120, "{stopped_after_ms}");
}

#[test]
fn one_underestimated_run_does_not_mark_its_worker_slow() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    for percent in [4, 8, 12, 16] {
        bench.advance(40);
        bench.gate.frame_received(bench.now, ENTRY);
        bench.list_runs(vec![(run(1), percent)], Vec::new());
    }
    assert!(bench.stops().is_empty());
}

/// A late start call of an earlier gate must not exceed the worker's capacity.
#[test]
fn start_calls_carry_the_fencing_token_of_the_gate() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    let fence = bench.actions.iter().find_map(|action| match action {
        GateAction::Start(call) => Some(call.fence),
        _ => None,
    });
    assert_eq!(fence, Some(FENCE));
}

#[test]
fn fenced_run_list_is_ignored_and_the_fence_is_raised() {
    let mut bench = Bench::without_run_list();
    bench.connect_entry(Vec::new());
    bench.order(run(1), 100, 300);
    assert!(bench.ordered().is_empty());
    let fenced = PollReply {
        clock_ms: 9_000,
        fenced: true,
        ..PollReply::default()
    };
    let call = PollCall {
        worker: Some("w".into()),
        fence: Some(FENCE),
        lease_until_ms: None,
        acked_end: 0,
        wait_ms: 0,
        timeout: std::time::Duration::from_millis(25),
        retry_delay: std::time::Duration::from_millis(20),
        check: false,
    };
    let sent = bench.now;
    bench.gate.poll_answered(bench.now, sent, &call, Ok(fenced));
    bench.collect();
    assert!(bench.ordered().is_empty());
    let next = bench.actions.iter().rev().find_map(|action| match action {
        GateAction::Poll(call) => Some(call.fence),
        _ => None,
    });
    assert_eq!(next, Some(Some(9_001)));
}

/// The entry may claim a run and stop it before the worker is known.
#[test]
fn run_stopped_before_the_first_run_list_is_stopped_at_the_worker() {
    let mut bench = Bench::without_run_list();
    let open = OpenRun {
        run: run(7),
        sent_to: 9,
        needs: resources(600),
        expected_us: 100 * MS,
    };
    bench.connect_entry(vec![open]);
    let message = ToGate::Stop { run: run(7) };
    bench.gate.handle_message(bench.now, ENTRY, message);
    bench.collect();
    bench.list_runs(vec![(run(7), 30)], Vec::new());
    bench.advance(170);
    assert!(bench.stops().len() >= 2, "{:?}", bench.stops());
    bench.list_runs(Vec::new(), vec![(1, run(7), WorkerEnd::Stopped)]);
    assert_eq!(bench.ends(), [(run(7), RunEnd::Stopped)]);
}

#[test]
fn run_that_is_not_movable_stays_on_a_slow_worker() {
    let mut bench = Bench::ready();
    bench.movable = false;
    let runs = [run(1), run(2), run(3)];
    for run in runs {
        bench.order(run, 100, 100);
        bench.answer_start(run, Ok(StartReply::Running));
    }
    for percent in [4, 8, 12, 16] {
        bench.advance(40);
        bench.gate.frame_received(bench.now, ENTRY);
        bench.list_runs(runs.map(|run| (run, percent)).to_vec(), Vec::new());
    }
    assert!(bench.stops().is_empty());
}

#[test]
fn urgent_run_starts_before_runs_that_wait_longer() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 500);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 1_000, 100);
    bench.order_as(Priority::URGENT, run(3), 1_000, 400);
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ordered(), vec![run(1), run(3)]);
}

#[test]
fn less_urgent_runs_do_not_take_capacity_an_urgent_run_waits_for() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 500);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order_as(Priority::URGENT, run(2), 500, 400);
    bench.order(run(3), 300, 400);
    assert_eq!(bench.ordered(), vec![run(1)]);
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ordered(), vec![run(1), run(2), run(3)]);
}

#[test]
fn load_reports_the_queue_ahead_of_each_priority() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 500);
    bench.order(run(2), 400, 500);
    bench.order_as(Priority::URGENT, run(3), 300, 500);
    bench.advance(20);
    let load = bench.last_load();
    assert_eq!(load.queue_ahead(Priority::URGENT).cpu_milli, 300);
    assert_eq!(load.queue_ahead(Priority::NORMAL).cpu_milli, 700);
}
