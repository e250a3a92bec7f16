//! Which gates an entry keeps sessions with, and what it may say of the others.

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

const ROOM: u64 = 16_000;
const SECOND_US: u64 = 1_000 * MS;

fn at(mono_us: u64) -> Moment {
    Moment {
        mono_us,
        wall_ms: 0,
    }
}

/// A gate whose worker has a rack of twelve.
fn record(index: usize) -> GateRecord {
    let traits = WorkerTraits {
        id: format!("w{index}").as_str().into(),
        service: "s".into(),
        capacity: Resources {
            cpu_milli: ROOM,
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

fn wanted(subset: &Subset) -> BTreeSet<usize> {
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

fn general() -> JobKind {
    kinds(Constraints::default()).remove(0)
}

#[test]
fn a_small_fleet_is_wanted_whole_and_a_large_one_in_part() {
    assert_eq!(wanted(&subset_of("e", 11)).len(), 11);
    assert_eq!(wanted(&subset_of("e", 240)).len(), 16);
    assert_eq!(wanted(&subset_of("e", 1_400)).len(), 16);
}

#[test]
fn the_subset_follows_what_is_asked_for() {
    let mut subset = subset_of("e", 240);
    subset.record_demand(at(SECOND_US), &general(), 10 * ROOM);
    subset.choose(at(2 * SECOND_US));
    let busy = wanted(&subset).len();
    assert!(
        (36..=40).contains(&busy),
        "{busy} gates for the room of ten"
    );
    subset.choose(at(40 * SECOND_US));
    assert_eq!(wanted(&subset).len(), 16, "a while later");
}

#[test]
fn an_entry_with_a_quarter_of_all_work_wants_all_gates() {
    let mut subset = subset_of("e", 240);
    subset.record_demand(at(0), &general(), 60 * ROOM);
    subset.choose(at(SECOND_US / 10));
    subset.choose(at(SECOND_US / 4));
    let wanted = wanted(&subset).len();
    assert!(wanted >= 235, "{wanted}");
}

#[test]
fn what_is_away_is_replaced_and_taken_back() {
    let mut subset = subset_of("e", 240);
    let before = wanted(&subset);
    let gone: Vec<Arc<str>> = before
        .iter()
        .take(8)
        .map(|i| format!("gate-{i}").into())
        .collect();
    gone.iter()
        .for_each(|gate| subset.set_available(gate, false));
    subset.choose(at(SECOND_US));
    let during = wanted(&subset);
    assert_eq!(
        during.len(),
        24,
        "eight others, and those that are away are tried on"
    );
    assert!(during.is_superset(&before));
    gone.iter()
        .for_each(|gate| subset.set_available(gate, true));
    subset.choose(at(2 * SECOND_US));
    assert_eq!(wanted(&subset), before);
}

#[test]
fn a_gate_that_goes_for_good_moves_one_session() {
    let mut subset = subset_of("e", 240);
    let before = wanted(&subset);
    let gone = *before.first().expect("a gate");
    let removed = GateChanges {
        removed: vec![record(gone).gate],
        ..GateChanges::default()
    };
    subset.update(at(SECOND_US), &removed);
    subset.choose(at(SECOND_US));
    assert_eq!(wanted(&subset), before, "a record may be back in a moment");
    subset.choose(at(4 * SECOND_US));
    let after = wanted(&subset);
    assert!(!after.contains(&gone));
    assert_eq!(after.intersection(&before).count(), 15);
    assert_eq!(after.len(), 16);
}

#[test]
fn jobs_of_a_rack_get_gates_there() {
    let mut subset = subset_of("e", 240);
    let on_rack = kinds(Constraints {
        data_rack: Some("rack-7".into()),
        ..Constraints::default()
    });
    for kind in &on_rack {
        subset.record_demand(at(SECOND_US), kind, ROOM / 2);
    }
    subset.choose(at(SECOND_US));
    let there = wanted(&subset).range(84..96).count();
    assert!(there >= 4, "{there} gates of the rack");
}

#[test]
fn entries_together_cover_the_fleet_evenly() {
    let mut sessions = vec![0u32; 240];
    for entry in 0..55 {
        let mut subset = subset_of(&format!("front-{entry}"), 240);
        subset.record_demand(at(0), &general(), 15 * ROOM / 2);
        subset.choose(at(SECOND_US / 4));
        wanted(&subset).iter().for_each(|gate| sessions[*gate] += 1);
    }
    let without = sessions.iter().filter(|count| **count == 0).count();
    assert!(without <= 1, "{without} gates without a session");
    let most = sessions.iter().max().copied().unwrap_or(0);
    assert!(most <= 20, "{most} sessions at one gate");
}

/// A dispatcher connected to one gate of 1,000 millicores that knows of larger workers.
fn bench_that_knows(records: &[GateRecord]) -> Bench {
    let mut bench = Bench::new(1);
    let known = records.to_vec().into();
    bench.dispatcher.update_gates(bench.now, &known);
    bench.advance_connected(4_000);
    bench.load(1, load(1_000, 0));
    bench
}

fn large_job() -> JobSpec {
    JobSpec {
        needs: cpu(8_000),
        ..job(1, 1)
    }
}

#[test]
fn a_job_that_only_fits_workers_without_a_session_waits_for_one() {
    let mut bench = bench_that_knows(&records(3));
    bench.submit(1, large_job(), 1);
    assert!(bench.answers.is_empty(), "{:?}", bench.answers);
    assert!(bench.dispatcher.wants_session("gate-0"));
    let mut large = load(1_000, 0);
    large.free.cpu_milli = ROOM;
    let mut traits = (*large.worker.clone().expect("a worker")).clone();
    traits.capacity.cpu_milli = ROOM;
    large.worker = Some(Arc::new(traits));
    bench.connect(2);
    bench.load(2, large);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn what_fits_no_worker_of_the_fleet_can_never_run() {
    let mut bench = bench_that_knows(&records(3));
    let needs = cpu(2 * ROOM);
    bench.submit(1, JobSpec { needs, ..job(1, 1) }, 1);
    assert_eq!(bench.codes(), [ResultCode::CannotRun]);
}

#[test]
fn while_a_gate_has_not_told_its_worker_nothing_is_said_to_run_never() {
    let mut known = records(3);
    known[2].worker = None;
    let mut bench = bench_that_knows(&known);
    let needs = cpu(2 * ROOM);
    bench.submit(1, JobSpec { needs, ..job(1, 1) }, 1);
    assert_eq!(bench.codes(), [ResultCode::Overloaded]);
}

/// Gates that an entry parts from.
fn parted(bench: &Bench) -> usize {
    let parts = bench
        .actions
        .iter()
        .filter(|action| matches!(action, DispatchAction::CloseSurplus(_)));
    parts.count()
}

#[test]
fn a_session_that_is_not_wanted_is_closed_once_its_work_is_over() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    let start = bench.starts[0];
    // By its name this gate is none of the first sixteen of 241.
    let mut all = records(240);
    all.push(GateRecord {
        gate: "g1".into(),
        ..record(0)
    });
    bench.dispatcher.update_gates(bench.now, &all.into());
    bench.advance(1);
    assert!(bench.dispatcher.wants_session("g1"), "it has work there");
    assert_eq!(parted(&bench), 0);
    bench.end_run(start, winghold::ephemeral::message::RunEnd::Done);
    bench.advance(100);
    assert_eq!(parted(&bench), 0, "its last run was there a moment ago");
    bench.advance_connected(2_000);
    assert_eq!(parted(&bench), 1);
}
