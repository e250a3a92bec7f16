//! Evacuated failure domains: no new start there, and tasks are placed in the other
//! domains.

mod dispatcher_bench;
mod ephemeral_fleet;
mod gate_bench;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatcher_bench::{Bench as EntryBench, job, load};
use ephemeral_fleet::{DisabledGuards, Fleet, STEP_US, limits};
use gate_bench::{Bench as GateBench, MS, report, run};
use tokio::sync::mpsc::unbounded_channel;
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::evacuations::{self, EvacuationKeys};
use winghold::ephemeral::follower::Follower;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::{GateLoad, NotRunReason, RunEnd, ToEntry};
use winghold::ephemeral::worker::{StartReply, WorkerCallError, WorkerEnd};
use winghold::logging;
use winghold::metrics::Metrics;
use winghold::store::{
    Store, StoreChange, StoreEntry, StoreError, StoreFuture, StoreReply, StoreRequest,
};
use winghold::time::Timer;

const EVACUATED: RunEnd = RunEnd::NotRun(NotRunReason::Evacuated);

#[test]
fn evacuated_gate_refuses_queued_and_new_orders_and_keeps_running_ones() {
    let mut bench = GateBench::ready();
    bench.order(run(1), 600, 100);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.order(run(2), 600, 100);
    bench.gate.set_evacuated(bench.now, true);
    bench.collect();
    bench.order(run(3), 100, 100);
    assert_eq!(bench.ordered(), [run(1)]);
    assert_eq!(bench.ends(), [(run(2), EVACUATED), (run(3), EVACUATED)]);
    let load = bench.last_load();
    assert!(load.leaving && load.evacuated);
    assert_eq!(load.free.cpu_milli, 0);
    bench.list_runs(vec![], vec![(1, run(1), WorkerEnd::Done)]);
    assert!(bench.ends().contains(&(run(1), RunEnd::Done)));
    bench.gate.set_evacuated(bench.now, false);
    bench.collect();
    bench.order(run(4), 100, 100);
    assert_eq!(bench.ordered().last(), Some(&run(4)));
    bench.advance(200);
    assert!(!bench.last_load().leaving);
}

#[test]
fn unanswered_start_is_not_repeated_after_an_evacuation() {
    let mut bench = GateBench::ready();
    bench.order(run(1), 100, 100);
    bench.gate.set_evacuated(bench.now, true);
    bench.collect();
    bench.answer_start(run(1), Err(WorkerCallError::Unanswered));
    assert_eq!(bench.ordered(), [run(1)], "the start is sent once");
    assert_eq!(bench.stops(), [run(1)], "the run is barred");
}

#[test]
fn starting_gate_refuses_orders_until_the_first_read_or_a_timeout() {
    let mut bench = GateBench::ready();
    bench.gate.await_evacuation_state(bench.now);
    bench.order(run(1), 100, 100);
    assert_eq!(bench.ends(), [(run(1), EVACUATED)]);
    bench.gate.frame_received(bench.now, gate_bench::ENTRY);
    bench.advance(310);
    bench.gate.frame_received(bench.now, gate_bench::ENTRY);
    bench.order(run(2), 100, 100);
    assert_eq!(bench.ordered(), [run(2)], "the store may be down");
}

/// Number of load reports since the actions were cleared.
fn loads(bench: &GateBench) -> usize {
    let is_load = |action: &&GateAction| {
        let message = match action {
            GateAction::Send { message, .. } => Some(message),
            _ => None,
        };
        matches!(message, Some(ToEntry::Load(_)))
    };
    bench.actions.iter().filter(is_load).count()
}

/// A gate whose entry has had no runs here for a while.
fn gate_with_idle_entry() -> GateBench {
    let mut bench = GateBench::ready();
    for _ in 0..30 {
        bench.gate.frame_received(bench.now, gate_bench::ENTRY);
        bench.advance(100);
        bench.list_runs(Vec::new(), Vec::new());
    }
    bench.actions.clear();
    bench
}

/// Otherwise an entry refuses jobs until the next regular report, a second later, though the worker
/// is free.
#[test]
fn idle_entry_is_told_at_once_that_an_evacuation_begins_and_ends() {
    let mut bench = gate_with_idle_entry();
    bench.gate.set_evacuated(bench.now, true);
    bench.collect();
    assert_eq!(loads(&bench), 1);
    assert!(bench.last_load().evacuated);
    bench.advance(200);
    bench.actions.clear();
    bench.gate.set_evacuated(bench.now, false);
    bench.collect();
    assert_eq!(loads(&bench), 1);
    assert_eq!(bench.last_load().free.cpu_milli, 1_000);
}

/// As above, for a gate that starts while the store is away.
#[test]
fn idle_entry_is_told_at_once_that_a_gate_works_without_the_store() {
    let mut bench = gate_with_idle_entry();
    bench.gate.await_evacuation_state(bench.now);
    bench.advance(10);
    assert!(bench.last_load().evacuated);
    bench.actions.clear();
    bench.advance(301);
    assert!(!bench.last_load().evacuated);
}

/// Otherwise an entry refuses jobs that fit the worker again.
#[test]
fn idle_entry_is_told_at_once_that_the_capacity_has_changed() {
    let mut bench = gate_with_idle_entry();
    let mut resized = report("w", false, 2);
    resized.capacity.cpu_milli = 4_000;
    bench.gate.worker_report(bench.now, resized);
    bench.collect();
    assert_eq!(loads(&bench), 1);
    assert_eq!(bench.last_load().free.cpu_milli, 4_000);
}

/// A worker that changes its state often must not cause a report to each entry each time.
#[test]
fn announcements_to_idle_entries_are_limited() {
    let mut bench = gate_with_idle_entry();
    for evacuated in [true, false].repeat(20) {
        bench.gate.set_evacuated(bench.now, evacuated);
        bench.advance(5);
    }
    bench.advance(200);
    assert!(loads(&bench) <= 3, "{}", loads(&bench));
    assert!(!bench.last_load().evacuated, "the last state is reported");
}

/// Entries whose gates are all evacuated refuse jobs, and take them a frame later than the gates.
#[test]
fn jobs_are_served_at_once_after_an_evacuation_of_all_domains() {
    const FRAME_US: u64 = 4_000;
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed, limits(), DisabledGuards::default());
        (0..3).for_each(|gate| fleet.evacuate(gate, 0));
        fleet.run_for(5_000 * MS);
        fleet.submit(1, 100 * MS);
        fleet.run_for(100 * MS);
        let refused = ResultCode::Overloaded.number();
        assert_eq!(fleet.jobs_answered(refused).count(), 1, "seed {seed}");
        fleet.cancel_evacuation(seed as usize % 3);
        fleet.run_for(FRAME_US + 2 * STEP_US);
        fleet.submit(1, 100 * MS);
        fleet.run_for(10_000 * MS);
        assert_eq!(fleet.jobs_answered(refused).count(), 1, "seed {seed}");
        assert_eq!(fleet.completed, 1, "seed {seed}");
        assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
    }
}

fn evacuated() -> GateLoad {
    GateLoad {
        leaving: true,
        evacuated: true,
        ..load(0, 0)
    }
}

#[test]
fn tasks_are_placed_in_the_remaining_domains() {
    let mut bench = EntryBench::new(3);
    bench.load(1, evacuated());
    bench.submit(1, job(1, 4), 0);
    assert_eq!(bench.starts.len(), 4);
    assert!(bench.starts.iter().all(|(session, _)| session.0 != 1));
    let start = bench.starts[0];
    bench.end_run(start, EVACUATED);
    assert_eq!(
        bench.starts.len(),
        5,
        "the task is placed elsewhere at once"
    );
    assert_ne!(bench.starts[4].0, start.0);
}

#[test]
fn jobs_are_refused_with_a_retry_delay_while_all_domains_are_evacuated() {
    let mut bench = EntryBench::new(2);
    for gate in 1..=2 {
        bench.load(gate, evacuated());
    }
    bench.submit(1, job(1, 1), 0);
    bench.submit(2, job(2, 5_000), 0);
    assert_eq!(
        bench.codes(),
        [ResultCode::Overloaded; 2],
        "the refusal is temporary"
    );
    for (_, answer) in &bench.answers {
        assert_eq!(answer.effect, Effect::NotRun);
        assert!(answer.retry_after_ms.is_some());
    }
    bench.load(1, load(1_000, 0));
    bench.submit(3, job(3, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}

/// Otherwise an entry that has just started refuses jobs although a worker is free.
#[test]
fn job_waits_for_a_gate_that_is_not_connected_yet_if_the_others_are_evacuated() {
    let mut bench = EntryBench::new(2);
    bench.load(1, evacuated());
    bench.load(2, evacuated());
    let records = ["g1", "g2", "g3"].map(|gate| GateRecord {
        gate: gate.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        worker: None,
        losses: Vec::new(),
    });
    let changes = records.to_vec().into();
    bench.dispatcher.update_gates(bench.now, &changes);
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.codes(), []);
    bench.connect(3);
    bench.load(3, load(1_000, 0));
    assert_eq!(bench.starts.len(), 1);
    let start = bench.starts[0];
    bench.end_run(start, RunEnd::Done);
    bench.load(3, evacuated());
    bench.advance_connected(3_100);
    bench.submit(2, job(2, 1), 0);
    let codes = [ResultCode::Complete, ResultCode::Overloaded];
    assert_eq!(bench.codes(), codes, "refused at once");
}

/// A store that returns these replies in order; further calls get no answer.
struct ScriptedStore(Mutex<Vec<Result<StoreReply, StoreError>>>);

impl Store for ScriptedStore {
    fn call(&self, _: StoreRequest) -> StoreFuture<'_> {
        let mut script = self.0.lock().unwrap();
        if script.is_empty() {
            return Box::pin(std::future::pending());
        }
        let reply = script.remove(0);
        Box::pin(async { reply })
    }
}

fn key(domain: &str) -> StoreEntry {
    StoreEntry {
        key: format!("e/{domain}"),
        value: "not even JSON".into(),
        revision: 1,
        lease: None,
    }
}

fn read(domains: &[&str]) -> Result<StoreReply, StoreError> {
    let entries = domains.iter().map(|domain| key(domain)).collect();
    Ok(StoreReply::Entries {
        revision: 1,
        entries,
    })
}

fn change(change: StoreChange) -> Result<StoreReply, StoreError> {
    let changes = vec![change];
    Ok(StoreReply::Changes {
        revision: 2,
        changes,
    })
}

fn removed(domain: &str) -> Result<StoreReply, StoreError> {
    let key = key(domain).key;
    change(StoreChange::Removed { key })
}

/// Reported states of the domain `a` of `a` and `b`.
async fn reported_states(script: Vec<Result<StoreReply, StoreError>>) -> Vec<bool> {
    let follower = Follower {
        store: Arc::new(ScriptedStore(Mutex::new(script))),
        timer: Timer::on_runtime_clock(),
        metrics: Metrics::none(),
        log: logging::discard(),
    };
    let keys = EvacuationKeys {
        prefix: "e/".to_string(),
        domain: "a".to_string(),
        domains: ["a", "b"].map(str::to_string).into(),
        max_wait: Duration::from_secs(3),
    };
    let (tx, mut rx) = unbounded_channel();
    let on_change = move |evacuated| tx.send(evacuated).is_ok();
    let following = evacuations::follow(follower, keys, on_change);
    let _ = tokio::time::timeout(Duration::from_secs(5), following).await;
    std::iter::from_fn(|| rx.try_recv().ok()).collect()
}

#[tokio::test(start_paused = true)]
async fn evacuations_are_read_at_the_start_and_watched() {
    assert_eq!(reported_states(vec![read(&[])]).await, [false]);
    assert_eq!(
        reported_states(vec![read(&["b", "elsewhere"])]).await,
        [false]
    );
    assert_eq!(
        reported_states(vec![read(&["a", "elsewhere"])]).await,
        [true]
    );
    let back_to_back = vec![
        read(&["a"]),
        removed("a"),
        change(StoreChange::Written(key("a"))),
        change(StoreChange::Written(key("b"))),
        removed("a"),
    ];
    assert_eq!(
        reported_states(back_to_back).await,
        [true, false, true, true, false]
    );
}

#[tokio::test(start_paused = true)]
async fn last_state_is_kept_through_an_outage_and_a_compaction() {
    let unanswered = || Err(StoreError::Unanswered);
    let outage = vec![read(&["a"]), unanswered(), unanswered(), unanswered()];
    assert_eq!(reported_states(outage).await, [true]);
    let missed = vec![read(&["a"]), unanswered(), unanswered(), read(&["b"])];
    assert_eq!(reported_states(missed).await, [true, false]);
    // A watch from a compacted revision returns all entries.
    let compacted = StoreReply::Entries {
        revision: 9,
        entries: vec![key("a")],
    };
    assert_eq!(
        reported_states(vec![read(&[]), Ok(compacted)]).await,
        [false, true]
    );
}
