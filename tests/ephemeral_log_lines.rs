//! Contents of log lines that decide which cause a run's end had.

mod captured_log;
mod dispatcher_bench;

use captured_log::CapturedLog;
use dispatcher_bench::{Bench, MS, full, job};
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::job::JobId;
use winghold::ephemeral::message::{NotRunReason, RunEnd};

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
