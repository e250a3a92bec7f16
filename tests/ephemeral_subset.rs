//! Which gates an entry keeps sessions with, and how it treats jobs that only other gates
//! could run.

mod dispatcher_bench;

use std::collections::BTreeSet;
use std::sync::Arc;

use dispatcher_bench::{Bench, MS, cpu, job, load};
use winghold::code::ResultCode;
use winghold::ephemeral::directory::{GateChanges, GateRecord, WorkerRecord};
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::job::{Constraints, JobSpec, Resources};
use winghold::ephemeral::message::WorkerTraits;
use winghold::ephemeral::subset::{JobKind, Subset};
use winghold::time::Moment;

const WORKER_CPU_MILLI: u64 = 16_000;
const SECOND_US: u64 = 1_000 * MS;

fn at(mono_us: u64) -> Moment {
    Moment {
        mono_us,
        wall_ms: 0,
    }
}

/// A gate whose worker is in a rack of twelve.
fn record(index: usize) -> GateRecord {
    let traits = WorkerTraits {
        id: format!("w{index}").as_str().into(),
        service: "s".into(),
        capacity: Resources {
            cpu_milli: WORKER_CPU_MILLI,
            memory_mb: 32_000,
            accelerators: 0,
        },
        largest: Resources::default(),
        labels: vec!["a".into(), format!("rack-{}", index / 12)],
    };
    GateRecord {
        gate: format!("gate-{index}").into(),
        addr: ([127, 0, 0, 1], index as u16).into(),
        losses: Vec::new(),
        worker: Some(WorkerRecord {
            traits,
            addr: String::new(),
        }),
    }
}

fn records(count: usize) -> Vec<GateRecord> {
    (0..count).map(record).collect()
}

fn subset_of(entry: &str, gates: usize) -> Subset {
    let mut subset = Subset::new(entry.into());
    subset.update(at(0), &records(gates).into());
    subset.choose(at(0));
    subset
}

fn wanted_gates(subset: &Subset) -> BTreeSet<usize> {
    let wants = |index: &usize| subset.is_wanted(&format!("gate-{index}"));
    (0..1_400).filter(wants).collect()
}

fn kinds(constraints: Constraints) -> Vec<JobKind> {
    let spec = JobSpec {
        constraints,
        ..job(1, 1)
    };
    JobKind::of(&Arc::from("s"), &spec)
}

fn unconstrained_kind() -> JobKind {
    kinds(Constraints::default()).remove(0)
}

#[test]
fn subset_contains_all_gates_of_a_small_fleet_and_part_of_a_large_one() {
    assert_eq!(wanted_gates(&subset_of("e", 11)).len(), 11);
    assert_eq!(wanted_gates(&subset_of("e", 240)).len(), 16);
    assert_eq!(wanted_gates(&subset_of("e", 1_400)).len(), 16);
}

#[test]
fn subset_size_follows_demand() {
    let mut subset = subset_of("e", 240);
    subset.record_demand(at(SECOND_US), &unconstrained_kind(), 10 * WORKER_CPU_MILLI);
    subset.choose(at(2 * SECOND_US));
    let busy = wanted_gates(&subset).len();
    assert!(
        (36..=40).contains(&busy),
        "{busy} gates for the capacity of ten"
    );
    subset.choose(at(40 * SECOND_US));
    assert_eq!(wanted_gates(&subset).len(), 16, "after the demand decayed");
}

#[test]
fn entry_with_a_quarter_of_all_work_wants_all_gates() {
    let mut subset = subset_of("e", 240);
    subset.record_demand(at(0), &unconstrained_kind(), 60 * WORKER_CPU_MILLI);
    subset.choose(at(SECOND_US / 10));
    subset.choose(at(SECOND_US / 4));
    let count = wanted_gates(&subset).len();
    assert!(count >= 235, "{count} wanted gates");
}

#[test]
fn unavailable_gates_are_replaced_until_they_return() {
    let mut subset = subset_of("e", 240);
    let before = wanted_gates(&subset);
    let gone: Vec<Arc<str>> = before
        .iter()
        .take(8)
        .map(|i| format!("gate-{i}").into())
        .collect();
    gone.iter()
        .for_each(|gate| subset.set_available(gate, false));
    subset.choose(at(SECOND_US));
    let during = wanted_gates(&subset);
    assert_eq!(
        during.len(),
        24,
        "eight replacements, and the unavailable gates are still dialed"
    );
    assert!(during.is_superset(&before));
    gone.iter()
        .for_each(|gate| subset.set_available(gate, true));
    subset.choose(at(2 * SECOND_US));
    assert_eq!(wanted_gates(&subset), before);
}

#[test]
fn removed_gate_is_replaced_by_one_other() {
    let mut subset = subset_of("e", 240);
    let before = wanted_gates(&subset);
    let gone = *before.first().expect("a gate");
    let removed = GateChanges {
        removed: vec![record(gone).gate],
        ..GateChanges::default()
    };
    subset.update(at(SECOND_US), &removed);
    subset.choose(at(SECOND_US));
    assert_eq!(
        wanted_gates(&subset),
        before,
        "a removed record may reappear"
    );
    subset.choose(at(4 * SECOND_US));
    let after = wanted_gates(&subset);
    assert!(!after.contains(&gone));
    assert_eq!(after.intersection(&before).count(), 15);
    assert_eq!(after.len(), 16);
}

#[test]
fn jobs_with_a_data_rack_get_gates_in_that_rack() {
    let mut subset = subset_of("e", 240);
    let on_rack = kinds(Constraints {
        data_rack: Some("rack-7".into()),
        ..Constraints::default()
    });
    for kind in &on_rack {
        subset.record_demand(at(SECOND_US), kind, WORKER_CPU_MILLI / 2);
    }
    subset.choose(at(SECOND_US));
    let in_rack = wanted_gates(&subset).range(84..96).count();
    assert!(in_rack >= 4, "{in_rack} gates in the rack");
}

#[test]
fn subsets_of_all_entries_cover_the_fleet_evenly() {
    let mut sessions = vec![0u32; 240];
    for entry in 0..55 {
        let mut subset = subset_of(&format!("front-{entry}"), 240);
        subset.record_demand(at(0), &unconstrained_kind(), 15 * WORKER_CPU_MILLI / 2);
        subset.choose(at(SECOND_US / 4));
        wanted_gates(&subset)
            .iter()
            .for_each(|gate| sessions[*gate] += 1);
    }
    let without = sessions.iter().filter(|count| **count == 0).count();
    assert!(without <= 1, "{without} gates without a session");
    let most = sessions.iter().max().copied().unwrap_or(0);
    assert!(most <= 20, "{most} sessions at one gate");
}

/// A dispatcher that is connected to one gate of 1,000 millicores and knows these records.
fn bench_with_records(records: &[GateRecord]) -> Bench {
    let mut bench = Bench::new(1);
    let known = records.to_vec().into();
    bench.dispatcher.update_gates(bench.now, &known);
    bench.advance_connected(4_000);
    bench.load(1, load(1_000, 0));
    bench
}

/// Longer than a job waits for a session with its registrar.
const REGISTRAR_GRACE_MS: u64 = 80;

fn large_job() -> JobSpec {
    JobSpec {
        needs: cpu(8_000),
        ..job(1, 1)
    }
}

#[test]
fn job_that_only_fits_workers_without_a_session_waits_for_one() {
    let named = |gate: usize| GateRecord {
        gate: format!("g{gate}").into(),
        ..record(gate)
    };
    let known: Vec<GateRecord> = (1..=3).map(named).collect();
    let mut bench = bench_with_records(&known);
    bench.submit(1, large_job(), 1);
    assert!(bench.answers.is_empty(), "{:?}", bench.answers);
    assert!(bench.dispatcher.wants_session("g2"));
    let mut large = load(1_000, 0);
    large.free.cpu_milli = WORKER_CPU_MILLI;
    let mut traits = (*large.worker.clone().expect("a worker")).clone();
    traits.capacity.cpu_milli = WORKER_CPU_MILLI;
    large.worker = Some(Arc::new(traits));
    bench.connect(2);
    bench.load(2, large);
    // The job's registrar may be the gate that is still missing.
    bench.advance(REGISTRAR_GRACE_MS);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn job_that_fits_no_known_worker_is_rejected() {
    let mut bench = bench_with_records(&records(3));
    let needs = cpu(2 * WORKER_CPU_MILLI);
    bench.submit(1, JobSpec { needs, ..job(1, 1) }, 1);
    assert_eq!(bench.codes(), [ResultCode::CannotRun]);
}

#[test]
fn job_is_not_rejected_for_good_while_the_worker_of_a_gate_is_unknown() {
    let mut known = records(3);
    known[2].worker = None;
    let mut bench = bench_with_records(&known);
    let needs = cpu(2 * WORKER_CPU_MILLI);
    bench.submit(1, JobSpec { needs, ..job(1, 1) }, 1);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

/// Number of surplus sessions that the entry closed.
fn closed_surplus_sessions(bench: &Bench) -> usize {
    let parts = bench
        .actions
        .iter()
        .filter(|action| matches!(action, DispatchAction::CloseSurplus(_)));
    parts.count()
}

#[test]
fn unwanted_session_is_closed_after_its_runs_end() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    let start = bench.starts[0];
    // The name hash of this gate is not among the first sixteen of 241.
    let mut all = records(240);
    all.push(GateRecord {
        gate: "g1".into(),
        ..record(0)
    });
    bench.dispatcher.update_gates(bench.now, &all.into());
    bench.advance(1);
    assert!(
        bench.dispatcher.wants_session("g1"),
        "the session has a run"
    );
    assert_eq!(closed_surplus_sessions(&bench), 0);
    bench.end_run(start, winghold::ephemeral::message::RunEnd::Done);
    bench.advance(100);
    assert_eq!(
        closed_surplus_sessions(&bench),
        0,
        "its last run has just ended"
    );
    bench.advance_connected(2_000);
    assert_eq!(closed_surplus_sessions(&bench), 1);
}
