//! A worker that does not confirm the stop of a run, while its other runs continue.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::RunId;
use winghold::ephemeral::message::{OpenRun, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{StartReply, WorkerCallError};

/// A gate with two runs, of which the entry has withdrawn the first.
fn gate_with_withdrawn_run() -> Bench {
    let mut bench = Bench::ready();
    for number in [1, 2] {
        bench.order(run(number), 100, 0);
        bench.answer_start(run(number), Ok(StartReply::Running));
    }
    let stop = ToGate::Stop { run: run(1) };
    bench.gate.handle_message(bench.now, ENTRY, stop);
    bench.collect();
    bench
}

/// Lets `ms` pass in which the entry is heard and the worker answers polls but no stops; returns
/// whether the last poll renewed the lease.
fn renews_after(bench: &mut Bench, ms: u64) -> bool {
    for _ in 0..ms / 50 {
        bench.actions.clear();
        bench.gate.frame_received(bench.now, ENTRY);
        bench.answer_stop(run(1), Err(WorkerCallError::Unanswered));
        bench.list_runs(vec![(run(1), 50), (run(2), 50)], Vec::new());
        bench.advance(50);
    }
    last_poll_renews(bench)
}

fn last_poll_renews(bench: &Bench) -> bool {
    let polls = bench.actions.iter().filter_map(|action| match action {
        GateAction::Poll(call) if !call.check => Some(call.lease_until_ms.is_some()),
        _ => None,
    });
    polls.last().expect("a poll")
}

/// Guards against a lease that keeps a withdrawn run active for longer than the peer timeout
/// because the worker's other runs need it.
#[test]
fn lease_is_not_renewed_for_a_run_whose_stop_stays_unconfirmed() {
    let mut bench = gate_with_withdrawn_run();
    assert!(renews_after(&mut bench, 150), "stops are repeated first");
    assert!(!renews_after(&mut bench, 350));
    bench.order(run(3), 100, 5_000);
    assert!(
        !bench.ordered().contains(&run(3)),
        "a start renews the lease"
    );
    bench.answer_stop(run(1), Ok(()));
    bench.advance(5);
    bench.list_runs(vec![(run(2), 50)], Vec::new());
    bench.advance(5);
    assert!(last_poll_renews(&bench));
    assert!(bench.ordered().contains(&run(3)));
}

/// Guards against the same for the runs of an entry that is gone, which has been silent for the
/// peer timeout already when they are stopped.
#[test]
fn lease_is_not_renewed_while_the_stop_of_a_silent_entry_is_unconfirmed() {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.advance(460);
    assert_eq!(bench.stops(), [run(1)]);
    bench.actions.clear();
    bench.list_runs(vec![(run(1), 50)], Vec::new());
    assert!(!last_poll_renews(&bench));
}

/// Lets time pass without progress of run 1 until the gate stops it as stalled.
fn stop_as_stalled(bench: &mut Bench, running: &[(RunId, u32)]) {
    let stopped = (0..100).any(|_| {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.list_runs(running.to_vec(), Vec::new());
        bench.advance(50);
        bench.stops().contains(&run(1))
    });
    assert!(stopped);
}

/// A gate whose only run has been stopped as stalled.
fn gate_with_stalled_run() -> Bench {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    stop_as_stalled(&mut bench, &[(run(1), 50)]);
    bench
}

/// A gate whose only run has been stopped as its starts were not answered.
fn gate_with_unanswered_run() -> Bench {
    let mut bench = Bench::ready();
    bench.order(run(1), 100, 0);
    for _ in 0..3 {
        bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    }
    assert_eq!(bench.stops(), [run(1)]);
    bench
}

/// Lets `ms` pass in which the entry is silent and the worker, which runs `running`, answers polls
/// but no stops; returns whether the last poll renewed the lease.
fn renews_after_silence(bench: &mut Bench, ms: u64, running: &[(RunId, u32)]) -> bool {
    for _ in 0..ms / 50 {
        bench.actions.clear();
        bench.answer_stop(run(1), Err(WorkerCallError::Unanswered));
        bench.list_runs(running.to_vec(), Vec::new());
        bench.advance(50);
    }
    last_poll_renews(bench)
}

/// Guards against a lease that keeps a stalled run active after its entry has died.
#[test]
fn lease_is_not_renewed_for_a_stalled_run_of_a_silent_entry() {
    let mut bench = gate_with_stalled_run();
    let running = [(run(1), 50)];
    assert!(renews_after_silence(&mut bench, 350, &running));
    assert!(!renews_after_silence(&mut bench, 200, &running));
    assert!(!renews_after_silence(&mut bench, 400, &running));
}

/// Guards against the same for a run whose start was not answered.
#[test]
fn lease_is_not_renewed_for_an_unanswered_run_of_a_silent_entry() {
    let mut bench = gate_with_unanswered_run();
    let running = [(run(1), 50)];
    assert!(renews_after_silence(&mut bench, 350, &running));
    assert!(!renews_after_silence(&mut bench, 200, &running));
    assert!(!renews_after_silence(&mut bench, 400, &running));
}

/// Guards against a run of another entry that hides the silence of the stalled run's one.
#[test]
fn lease_is_not_renewed_while_another_entry_with_a_run_is_heard() {
    let mut bench = gate_with_stalled_run();
    let other = SessionId(2);
    let hello = ToGate::Hello {
        entry: process("e2", 1),
        config: 0,
        open: Vec::new(),
    };
    bench.gate.handle_message(bench.now, other, hello);
    let order = bench.start_order(run(2), 100, 0);
    bench.gate.handle_message(bench.now, other, order);
    bench.collect();
    bench.answer_start(run(2), Ok(StartReply::Running));
    for _ in 0..10 {
        bench.gate.frame_received(bench.now, other);
        renews_after_silence(&mut bench, 50, &[(run(1), 50), (run(2), 60)]);
    }
    assert!(!last_poll_renews(&bench));
}

/// Guards against a lease that is withheld from the runs of an entry that is heard because it
/// has a stalled run.
#[test]
fn lease_is_renewed_while_the_entry_of_a_stalled_run_is_heard() {
    let mut bench = gate_with_stalled_run();
    assert!(renews_after(&mut bench, 3_000));
}

/// Guards against the same for a claimed run that the first list of a restarted gate omits, as its
/// start may still arrive.
#[test]
fn lease_is_not_renewed_for_a_missing_claimed_run_of_a_silent_entry() {
    let mut bench = Bench::without_run_list();
    let claimed = OpenRun {
        run: run(1),
        needs: resources(100),
        expected_us: 100 * MS,
        sent_to: 0,
    };
    bench.connect_entry(vec![claimed]);
    bench.list_runs(Vec::new(), Vec::new());
    assert_eq!(bench.stops(), [run(1)]);
    let running = [(run(1), 50)];
    assert!(renews_after_silence(&mut bench, 350, &running));
    assert!(!renews_after_silence(&mut bench, 200, &running));
    assert!(!renews_after_silence(&mut bench, 400, &running));
}
