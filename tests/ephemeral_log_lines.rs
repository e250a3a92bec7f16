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
