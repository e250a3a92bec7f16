//! A worker that does not confirm the stop of a run, while its other runs continue.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::ToGate;
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
