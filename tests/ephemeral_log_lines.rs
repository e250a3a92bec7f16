//! Contents of log lines that decide which cause a run's end had.

mod captured_log;
mod dispatcher_bench;
mod gate_bench;

use captured_log::CapturedLog;
use dispatcher_bench::{Bench, MS, full, job};
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::job::JobId;
use winghold::ephemeral::message::{NotRunReason, RunEnd, ToGate};
use winghold::ephemeral::worker::{StartReply, WorkerCallError};

fn caller_leaves(bench: &mut Bench) {
    let (now, waiter) = (bench.now, WaiterId(1));
    bench.dispatcher.remove_waiter(now, waiter, JobId(1));
    bench.collect();
}

/// A line that says "not run" hides that runs of the job may overlap those of its resend.
#[test]
fn end_of_an_abandoned_job_tells_that_its_runs_may_have_begun() {
    let log = CapturedLog::default();
    let mut bench = Bench::with_log(2, log.logger());
    bench.submit(1, job(1, 2), 0);
    assert_eq!(bench.starts.len(), 2);
    caller_leaves(&mut bench);
    let fields = ["code=OUTCOME_UNKNOWN", "effect=Unknown", "open_runs=2"];
    log.assert_line("job over", &fields);
    assert!(bench.answers.is_empty());
}

/// An unknown effect where nothing was sent would lead the search to the wrong entry.
#[test]
fn end_of_an_abandoned_job_tells_that_nothing_was_sent() {
    let log = CapturedLog::default();
    let mut bench = Bench::with_log(1, log.logger());
    bench.submit(1, job(1, 1), 0);
    bench.load(1, full(1_000 * MS));
    bench.end_run(bench.starts[0], RunEnd::NotRun(NotRunReason::NoRoom));
    caller_leaves(&mut bench);
    log.assert_line("job over", &["effect=NotRun", "open_runs=0"]);
}

/// An entry that dies with a job would leave no line that names it.
#[test]
fn opened_job_is_logged_before_its_tasks_are_sent() {
    let log = CapturedLog::default();
    let mut bench = Bench::with_log(1, log.logger());
    bench.submit(1, job(1, 1), 0);
    let fields = ["job=0000000000000001", "tasks=1", "seen_before=false"];
    log.assert_line("job opened", &fields);
    bench.submit(2, job(1, 1), 0);
    log.assert_line("caller joined an open job", &["callers=2"]);
}

/// A job that comes again to the entry that ended it must not look like a first submission.
#[test]
fn job_that_comes_again_is_logged_as_seen_before() {
    let log = CapturedLog::default();
    let mut bench = Bench::with_log(1, log.logger());
    bench.submit(1, job(1, 1), 0);
    caller_leaves(&mut bench);
    bench.submit(2, job(1, 1), 0);
    let lines = log.lines("job opened");
    assert_eq!(lines.len(), 2);
    assert!(lines[1].contains(" seen_before=true "), "{}", lines[1]);
}

/// A gate with a run of the entry `e` on its worker.
fn gate_with_run(log: &CapturedLog) -> gate_bench::Bench {
    let mut bench = gate_bench::Bench::without_worker_with_log(log.logger());
    let report = gate_bench::report("w", false, 1);
    bench.gate.worker_report(bench.now, report);
    bench.collect();
    bench.answer_first_poll();
    bench.list_runs(Vec::new(), Vec::new());
    bench.connect_entry(Vec::new());
    let run = gate_bench::run(1);
    bench.order(run, 600, 100);
    bench.answer_start(run, Ok(StartReply::Running));
    bench
}

/// A stop that an entry asked for would look like one for its silence.
#[test]
fn stop_of_a_run_is_logged_with_its_entry_and_cause() {
    let log = CapturedLog::default();
    let mut bench = gate_with_run(&log);
    log.assert_line("run ordered", &["entry=e"]);
    let (now, run) = (bench.now, gate_bench::run(1));
    let stop = ToGate::Stop { run };
    bench.gate.handle_message(now, gate_bench::ENTRY, stop);
    log.assert_line("stopping run", &["entry=e", "cause=Withdrawn"]);
}

/// A stop for an entry's silence would look like one that the entry asked for.
#[test]
fn stop_for_silence_is_logged_with_the_length_of_the_silence() {
    let log = CapturedLog::default();
    let mut bench = gate_with_run(&log);
    bench.advance(460);
    let fields = ["entry=e", "cause=EntryExpired", "silent_us=460000"];
    log.assert_line("stopping run", &fields);
    let fields = ["entry=e", "why=silent", "runs=1"];
    log.assert_line("entry expired", &fields);
}

/// It would not show whether the answer that ends the silence of a worker can tell its incarnation.
#[test]
fn responsiveness_is_logged_with_the_call_that_changed_it() {
    let log = CapturedLog::default();
    let mut bench = gate_with_run(&log);
    let (run, next) = (gate_bench::run(1), gate_bench::run(2));
    bench.order(next, 100, 100);
    bench.advance(130);
    bench.answer_start(next, Err(WorkerCallError::Unanswered));
    bench.answer_stop(run, Err(WorkerCallError::Unanswered));
    bench.answer_stop(run, Err(WorkerCallError::Unanswered));
    log.assert_line(
        "worker responsiveness changed",
        &["answers=false", "call=stop"],
    );
    bench.list_runs(vec![(run, 50)], Vec::new());
    let lines = log.lines("worker responsiveness changed");
    assert!(lines[1].contains(" call=poll "), "{}", lines[1]);
}

/// The runs that a gate takes for over with its worker could not be counted.
#[test]
fn end_of_a_worker_incarnation_is_logged_with_its_runs() {
    let log = CapturedLog::default();
    let mut bench = gate_with_run(&log);
    let refused = Err(WorkerCallError::Refused);
    bench.answer_stop(gate_bench::run(9), refused);
    bench.gate.poll_failed(bench.now, true);
    let fields = ["runs=1", "carried_over=false"];
    log.assert_line("worker incarnation ended", &fields);
    log.assert_line("run ended", &["entry=e", "end=Stopped"]);
}
