//! Cancellations: what a dispatcher does with one, and how records reach the store, without a
//! network.

mod dispatcher_bench;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatcher_bench::{Bench, MS, full, job, load};
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::cancellations::{
    CANCELLATION_PREFIX, CANCELLATION_RETENTION, CancellationRecord, CancellationRecorder,
};
use winghold::ephemeral::dispatcher::{JobState, WaiterId};
use winghold::ephemeral::job::JobId;
use winghold::ephemeral::message::{NotRunReason, ProcessId, RunEnd, ToEntry};
use winghold::ephemeral::scheduling::Scheduling;
use winghold::logging;
use winghold::metrics::Metrics;
use winghold::store::{LeaseId, Store, StoreError, StoreFuture, StoreReply, StoreRequest};
use winghold::time::Timer;

const JOB: JobId = JobId(7);

fn cancel(bench: &mut Bench) {
    bench.dispatcher.cancel(bench.now, JOB, "caller");
    bench.collect();
}

fn assert_cancelled(bench: &Bench, waiters: &[u64], effect: Effect) {
    let answers = bench.answers.iter();
    let answers: Vec<(WaiterId, ResultCode, Effect)> = answers
        .map(|(waiter, answer)| (*waiter, answer.code, answer.effect))
        .collect();
    let expected = waiters
        .iter()
        .map(|waiter| (WaiterId(*waiter), ResultCode::Cancelled, effect));
    assert_eq!(answers, Vec::from_iter(expected));
    assert_eq!(bench.dispatcher.job_state(JOB), JobState::Cancelled);
    assert!(bench.dispatcher.is_idle());
}

/// Guards against starting a cancelled job that was held for spare room.
#[test]
fn a_deferred_job_is_cancelled() {
    let mut bench = Bench::new(1);
    bench.dispatcher.set_scheduling(Scheduling {
        priority_classes: true,
        deferral: true,
        ..Scheduling::default()
    });
    bench.load(1, full(300 * MS));
    bench.submit(1, job(JOB.0, 2), 1);
    assert_eq!(bench.dispatcher.job_state(JOB), JobState::Queued);
    cancel(&mut bench);
    assert_cancelled(&bench, &[1], Effect::NotRun);
    bench.load(1, load(1_000, 0));
    bench.advance_connected(1_000);
    assert_eq!(bench.starts, []);
}

/// Guards against starting a cancelled job that waited for a gate.
#[test]
fn a_parked_job_is_cancelled() {
    let mut bench = Bench::new(0);
    bench.submit(1, job(JOB.0, 2), 0);
    cancel(&mut bench);
    assert_cancelled(&bench, &[1], Effect::NotRun);
    bench.connect(1);
    bench.load(1, load(1_000, 0));
    bench.advance_connected(1_000);
    assert_eq!(bench.starts, []);
}

/// Guards against leaving orders of a cancelled job at gates, or answering only one of its callers.
#[test]
fn a_placed_job_is_stopped_and_all_its_callers_are_answered() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(JOB.0, 3), 0);
    bench.submit(2, job(JOB.0, 3), 0);
    let (session, first) = bench.starts[0];
    bench.deliver(session.0, ToEntry::Began { run: first });
    assert_eq!(bench.dispatcher.job_state(JOB), JobState::Running);
    cancel(&mut bench);
    assert_cancelled(&bench, &[1, 2], Effect::Unknown);
    let started: Vec<_> = bench.starts.iter().map(|(_, run)| *run).collect();
    assert_eq!(bench.stops, started);
}

/// Guards against placing a task of a cancelled job again when its run comes back from a gate.
#[test]
fn a_run_that_comes_back_after_the_cancellation_is_not_placed_again() {
    let mut bench = Bench::new(2);
    bench.submit(1, job(JOB.0, 1), 0);
    let start = bench.starts[0];
    cancel(&mut bench);
    bench.end_run(start, RunEnd::Stalled);
    bench.end_run(start, RunEnd::NotRun(NotRunReason::NoRoom));
    bench.advance_connected(500);
    assert_eq!(bench.starts, [start]);
}

/// Guards against starting a submission that arrives after its cancellation.
#[test]
fn a_later_submission_is_not_started_while_the_cancellation_is_kept() {
    let mut bench = Bench::new(1);
    cancel(&mut bench);
    bench.submit(1, job(JOB.0, 1), 0);
    assert_cancelled(&bench, &[1], Effect::Unknown);
    let retention_ms = CANCELLATION_RETENTION.as_millis() as u64;
    bench.advance_connected(retention_ms - 100);
    bench.submit(2, job(JOB.0, 1), 0);
    assert_eq!(bench.starts, []);
    bench.advance_connected(300);
    assert_eq!(bench.dispatcher.job_state(JOB), JobState::Unknown);
}

/// Guards against taking back the answer of a job that was complete before its cancellation.
#[test]
fn a_complete_job_stays_complete() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(JOB.0, 1), 0);
    bench.end_run(bench.starts[0], RunEnd::Done);
    cancel(&mut bench);
    bench.submit(2, job(JOB.0, 1), 0);
    assert_eq!(bench.codes(), [ResultCode::Complete, ResultCode::Complete]);
    assert_eq!(bench.dispatcher.job_state(JOB), JobState::Complete);
}

/// What a [`FakeStore`] does with writes.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Writes that take effect without an answer.
    unanswered_puts: u32,
    /// Leases that end before their first use.
    lost_leases: u32,
    /// Answers nothing.
    silent: bool,
}

/// A store that holds records.
#[derive(Default)]
struct FakeStore {
    state: Mutex<FakeState>,
}

#[derive(Default)]
struct FakeState {
    faults: Faults,
    leases: u64,
    puts: u32,
    records: BTreeMap<String, (CancellationRecord, LeaseId)>,
}

impl FakeState {
    fn put(&mut self, req: StoreRequest) -> Result<StoreReply, StoreError> {
        let StoreRequest::Put {
            key, value, lease, ..
        } = req
        else {
            panic!("unexpected call {req:?}");
        };
        self.puts += 1;
        if self.faults.lost_leases > 0 {
            self.faults.lost_leases -= 1;
            return Ok(StoreReply::LeaseGone);
        }
        if self.records.contains_key(&key) {
            return Ok(StoreReply::Conflict { current: None });
        }
        let record = serde_json::from_slice(&value).unwrap();
        self.records.insert(key, (record, lease.unwrap()));
        if self.faults.unanswered_puts > 0 {
            self.faults.unanswered_puts -= 1;
            return Err(StoreError::Unanswered);
        }
        Ok(StoreReply::Written { revision: 1 })
    }
}

impl Store for FakeStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(async move {
            if self.state.lock().unwrap().faults.silent {
                tokio::time::sleep(Duration::from_millis(600)).await;
                return Err(StoreError::Unanswered);
            }
            let mut state = self.state.lock().unwrap();
            match req {
                StoreRequest::Grant { ttl_ms } => {
                    assert!(ttl_ms >= CANCELLATION_RETENTION.as_millis() as u64);
                    state.leases += 1;
                    let lease = LeaseId(state.leases);
                    Ok(StoreReply::Lease { lease })
                }
                req => state.put(req),
            }
        })
    }
}

fn recorder(faults: Faults) -> (Arc<FakeStore>, CancellationRecorder) {
    let store = Arc::new(FakeStore::default());
    store.state.lock().unwrap().faults = faults;
    let process = ProcessId {
        name: "e".into(),
        incarnation: 1,
    };
    let timer = Timer::on_runtime_clock();
    let (log, metrics) = (logging::discard(), Metrics::none());
    let (recorder, writer) = CancellationRecorder::new(store.clone(), process, timer, metrics, log);
    tokio::spawn(writer.run());
    (store, recorder)
}

async fn record_all(recorder: &CancellationRecorder, jobs: u64) -> usize {
    let jobs = (0..jobs).map(|job| recorder.record(JobId(job)));
    let recorded = futures_util::future::join_all(jobs).await;
    recorded.into_iter().filter(|recorded| *recorded).count()
}

fn recorded_jobs(store: &FakeStore) -> usize {
    let state = store.state.lock().unwrap();
    state
        .records
        .values()
        .map(|(record, _)| record.jobs.len())
        .sum()
}

/// Guards against an unbounded number of writes while many callers cancel.
#[tokio::test(start_paused = true)]
async fn many_cancellations_are_written_in_few_records() {
    let (store, recorder) = recorder(Faults::default());
    assert_eq!(record_all(&recorder, 100).await, 100);
    assert_eq!(recorded_jobs(&store), 100);
    let state = store.state.lock().unwrap();
    assert!(state.puts <= 5, "{} writes", state.puts);
    assert!(
        state
            .records
            .keys()
            .all(|key| key.starts_with(CANCELLATION_PREFIX))
    );
}

/// Guards against rejecting, or writing twice, a cancellation whose write took effect unanswered.
#[tokio::test(start_paused = true)]
async fn an_unanswered_write_is_confirmed_by_its_repetition() {
    let (store, recorder) = recorder(Faults {
        unanswered_puts: 1,
        lost_leases: 1,
        ..Faults::default()
    });
    assert!(recorder.record(JOB).await);
    assert_eq!(recorded_jobs(&store), 1);
}

/// Guards against records that end with an old lease before the retention time is over.
#[tokio::test(start_paused = true)]
async fn a_record_outlasts_the_retention_time() {
    let (store, recorder) = recorder(Faults::default());
    for job in 0..4 {
        assert!(recorder.record(JobId(job)).await);
        tokio::time::sleep(CANCELLATION_RETENTION / 2).await;
    }
    let state = store.state.lock().unwrap();
    let leases: Vec<u64> = state.records.values().map(|(_, lease)| lease.0).collect();
    assert_eq!(leases, [1, 1, 2, 2]);
}

/// Guards against acknowledging a cancellation, or holding its caller, while the store is away.
#[tokio::test(start_paused = true)]
async fn cancellations_are_rejected_while_the_store_is_away() {
    let (store, recorder) = recorder(Faults {
        silent: true,
        ..Faults::default()
    });
    let asked = tokio::time::Instant::now();
    assert_eq!(record_all(&recorder, 1_000).await, 0);
    assert!(asked.elapsed() < Duration::from_secs(3), "virtual time");
    store.state.lock().unwrap().faults.silent = false;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(recorder.record(JOB).await);
    assert_eq!(recorded_jobs(&store), 1, "rejected ones are not written");
}
