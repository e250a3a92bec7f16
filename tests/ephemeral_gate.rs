//! The gate beside a worker: runs, sessions and what the worker lists.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::{Priority, RunId};
use winghold::ephemeral::message::{NotRunReason, OpenRun, RunEnd, ToGate};
use winghold::ephemeral::worker::{PollCall, PollReply, StartReply, WorkerCallError, WorkerEnd};

#[test]
fn what_fits_is_ordered_and_the_rest_waits() {
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
fn a_full_gate_turns_away_at_once_who_does_not_wait() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 0);
    assert_eq!(
        bench.ends(),
        [(run(2), RunEnd::NotRun(NotRunReason::NoRoom))]
    );
}

#[test]
fn who_waited_too_long_never_began() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.order(run(2), 600, 50);
    bench.advance(60);
    let late = (run(2), RunEnd::NotRun(NotRunReason::NoRoom));
    assert!(bench.ends().contains(&late));
}

#[test]
fn an_unanswered_start_keeps_its_room_until_it_is_barred_and_listed() {
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
fn a_lost_order_is_sent_again_to_the_same_worker() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1), run(1)]);
    bench.answer_start(run(1), Ok(StartReply::Running));
    assert!(bench.stops().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

/// Seed 615 of `ephemeral_safety`: a gate that had been frozen heard of the missing
/// answer before it noticed that the entry was given up, and ordered the run anew.
#[test]
fn a_gate_that_stood_still_does_not_send_an_order_again() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.now.mono_us += 2_000 * MS;
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1)]);
}

/// The first copy of an order may have run and ended while its answer was lost; the
/// second is turned down then, which must not count as not run.
#[test]
fn a_second_copy_that_is_turned_down_does_not_say_that_the_first_never_ran() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    bench.answer_start(run(1), Ok(StartReply::Stale));
    assert!(bench.ends().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

#[test]
fn a_start_whose_answer_was_lost_goes_on_if_the_list_shows_it() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.list_runs(vec![(run(1), 10)], Vec::new());
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert!(bench.stops().is_empty());
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(1), RunEnd::Done)]);
}

#[test]
fn a_stop_that_is_not_answered_is_sent_again_at_once() {
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

/// The next one would break off as well, and each is a dial.
#[test]
fn a_stop_that_broke_off_is_sent_again_after_a_while() {
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
fn the_runs_of_a_silent_entry_are_stopped() {
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

#[test]
fn an_entry_that_comes_back_in_time_keeps_its_runs() {
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
fn what_a_returning_entry_does_not_name_is_stopped() {
    let mut bench = Bench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.gate.session_closed(ENTRY);
    bench.connect_entry(Vec::new());
    assert_eq!(bench.stops(), [run(1)]);
}

#[test]
fn a_new_gate_takes_nothing_before_the_runs_it_found_are_claimed_or_over() {
    let mut bench = Bench::without_run_list();
    bench.list_runs(vec![(run(7), 30)], Vec::new());
    bench.connect_entry(Vec::new());
    bench.order(run(1), 100, 2_000);
    assert!(bench.ordered().is_empty());
    bench.advance(200);
    assert!(bench.stops().is_empty(), "its entry may still come");
    let renewals = bench
        .actions
        .iter()
        .filter(|action| matches!(action, GateAction::Poll(call) if call.lease_until_ms.is_some()));
    // Seed 3,059 of `ephemeral_safety`: gates that died one after the other each
    // prolonged a run whose entry was gone.
    assert_eq!(renewals.count(), 0, "an orphan is not prolonged");
    bench.gate.frame_received(bench.now, ENTRY);
    bench.advance(200);
    assert_eq!(bench.stops(), [run(7)]);
    bench.list_runs(Vec::new(), vec![(1, run(7), WorkerEnd::Stopped)]);
    assert_eq!(bench.ordered(), [run(1)]);
}

#[test]
fn a_new_gate_gives_a_claimed_run_back_to_its_entry() {
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
    assert!(bench.ordered().is_empty(), "the claimed run holds its room");
    bench.list_runs(Vec::new(), vec![(1, run(7), WorkerEnd::Done)]);
    assert_eq!(bench.ends(), [(run(7), RunEnd::Done)]);
    assert_eq!(bench.ordered(), [run(1)]);
}

/// What becomes of a claimed run that the worker does not list, if it was sent to
/// the gate's life `sent_to`; the present one is 1.
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
fn a_claimed_run_that_is_not_listed_is_barred_before_it_counts_as_not_run() {
    let end = RunEnd::NotRun(NotRunReason::Unanswered);
    assert_eq!(end_of_missing_claim(1), end);
}

/// Seed 323 of `ephemeral_safety`: a run that an earlier life of the gate had begun
/// was said not to have run, and its job was refused.
#[test]
fn a_claimed_run_of_an_earlier_gate_may_have_run() {
    assert_eq!(end_of_missing_claim(9), RunEnd::Stopped);
}

/// Found by 6,000 cases of `ephemeral_safety`: the end of an earlier run of the same name
/// ended a run that still waited, and left it in the queue.
#[test]
fn the_end_of_an_earlier_run_of_that_name_does_not_end_one_that_waits() {
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
fn a_task_that_is_here_already_is_not_started_for_another_entry() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    let second = RunId { run: 2, ..run(1) };
    bench.order(second, 100, 100);
    let end = RunEnd::NotRun(NotRunReason::AlreadyHere);
    assert_eq!(bench.ends(), [(second, end)]);
}

#[test]
fn a_run_that_stands_still_is_stopped_and_named_stalled() {
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

/// Workers tell whole percents: a run of 10 s makes one in 100 ms, and one that was
/// guessed too short in several times that.
#[test]
fn a_very_long_run_is_not_taken_for_standing_still_between_two_percents() {
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
fn a_long_run_that_gets_on_is_left_alone() {
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
fn runs_on_a_worker_that_turned_slow_are_moved_before_they_end() {
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
fn one_run_that_was_guessed_too_short_does_not_make_its_worker_slow() {
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

/// Seed 4,411 of `ephemeral_safety`: a start of an earlier gate, carried out late,
/// took the worker beyond its capacity.
#[test]
fn orders_carry_a_token_that_rises_with_each_life_of_the_gate() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 100);
    let fence = bench.actions.iter().find_map(|action| match action {
        GateAction::Start(call) => Some(call.fence),
        _ => None,
    });
    assert_eq!(fence, Some(FENCE));
}

#[test]
fn lists_count_only_under_the_token() {
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

/// Seed 2,059 of `ephemeral_safety`: the first list made a run go on that its entry
/// had claimed and then stopped, before the worker was known.
#[test]
fn a_claim_that_was_withdrawn_before_the_lists_came_is_stopped() {
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
fn a_run_that_was_moved_before_stays_on_a_slow_worker() {
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
fn an_urgent_run_goes_before_those_that_wait_longer() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 500);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 1_000, 100);
    bench.order_as(Priority::URGENT, run(3), 1_000, 400);
    bench.list_runs(Vec::new(), vec![(1, run(1), WorkerEnd::Done)]);
    assert_eq!(bench.ordered(), vec![run(1), run(3)]);
}

#[test]
fn less_urgent_runs_leave_the_room_that_an_urgent_one_waits_for() {
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
fn the_load_tells_what_waits_ahead_of_an_urgent_run() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 500);
    bench.order(run(2), 400, 500);
    bench.order_as(Priority::URGENT, run(3), 300, 500);
    bench.advance(20);
    let load = bench.last_load();
    assert_eq!(load.queue_ahead(Priority::URGENT).cpu_milli, 300);
    assert_eq!(load.queue_ahead(Priority::NORMAL).cpu_milli, 700);
}
