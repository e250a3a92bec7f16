//! What a gate starts in its first turn after a pause, in which it handles events before
//! timeouts.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::job::Priority;
use winghold::ephemeral::message::{StartOrder, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{EndedRow, PollCall, PollReply, StartReply, WorkerEnd};

const OTHER_ENTRY: SessionId = SessionId(2);

fn connect_other(bench: &mut Bench) {
    let hello = ToGate::Hello {
        entry: process("other", 1),
        config: 0,
        open: Vec::new(),
    };
    bench.gate.handle_message(bench.now, OTHER_ENTRY, hello);
    bench.collect();
}

/// A start by the other entry without patience.
fn other_start() -> ToGate {
    ToGate::Start(Box::new(StartOrder {
        run: run(9),
        payload: "p".into(),
        needs: resources(100),
        patience_us: 0,
        priority: Priority::NORMAL,
        leaves_headroom: false,
        by_median: false,
        due_us: 0,
        expected_us: 100 * MS,
        movable: true,
        implicated: false,
        number: 1,
        label: None,
    }))
}

/// Handles a list of the worker with the end of a run, in the middle of a turn.
fn handle_end(bench: &mut Bench, ended: EndedRow) {
    let call = PollCall {
        worker: Some("w".into()),
        fence: Some(FENCE),
        lease_until_ms: None,
        acked_end: 0,
        wait_ms: 200,
        timeout: std::time::Duration::from_millis(25),
        retry_delay: std::time::Duration::from_millis(20),
        check: false,
    };
    let reply = PollReply {
        clock_ms: FENCE,
        ended: vec![ended],
        ..PollReply::default()
    };
    let now = bench.now;
    bench.gate.poll_answered(now, now, &call, Ok(reply));
}

/// Runs one turn in which room becomes free and the other entry starts a run, `pause_ms` after
/// the first entry queued a run that may wait for `patience_ms`.
fn starts_after_pause(pause_ms: u64, patience_ms: u64) -> Vec<u64> {
    let mut bench = Bench::ready();
    connect_other(&mut bench);
    bench.order(run(1), 600, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 600, patience_ms);
    bench.actions.clear();
    bench.now.mono_us += pause_ms * MS;
    let ended = EndedRow {
        number: 1,
        run: run(1),
        end: WorkerEnd::Done,
    };
    handle_end(&mut bench, ended);
    let now = bench.now;
    bench.gate.handle_message(now, OTHER_ENTRY, other_start());
    bench.gate.frame_received(now, OTHER_ENTRY);
    bench.gate.tick(now);
    bench.collect();
    bench.ordered().iter().map(|run| run.job.0).collect()
}

/// Guards against starting a queued run of an entry that has been silent for longer than the peer
/// timeout: its caller may have resent the job.
#[test]
fn a_queued_run_of_a_silent_entry_is_not_started_after_a_pause() {
    assert_eq!(starts_after_pause(1_400, 5_000), [9]);
}

/// Guards against starting a queued run later than its entry allowed.
#[test]
fn a_queued_run_is_not_started_after_its_patience() {
    assert_eq!(starts_after_pause(300, 100), [9]);
}
