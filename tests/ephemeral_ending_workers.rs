//! Workers that seem to have ended while their runs continue.

mod ephemeral_fleet;

use ephemeral_fleet::crashes::Outage;
use ephemeral_fleet::{DisabledGuards, Fleet, limits};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use winghold::code::ResultCode;

const MS: u64 = 1_000;
const CASES: u64 = 60;

fn fleet(seed: u64) -> Fleet {
    Fleet::new(seed, limits(), DisabledGuards::default())
}

fn assert_no_violations(fleet: &Fleet, seed: u64) {
    assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
}

/// A worker announces its end while it still has runs, and ends later, or seconds later if the
/// acknowledgement is lost.
#[test]
fn runs_of_a_deregistered_worker_are_not_started_elsewhere_before_it_ends() {
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = fleet(seed);
        for _ in 0..8 {
            fleet.submit(1, 300 * MS);
        }
        fleet.run_for(rng.random_range(50..500) * MS);
        let lives_us = rng.random_range(5..3_000) * MS;
        fleet.deregister_worker(seed as usize % 3, lives_us, 400 * MS);
        fleet.run_for(30_000 * MS);
        assert_no_violations(&fleet, seed);
        assert_eq!(fleet.unanswered_jobs(), 0, "seed {seed}");
        let failed = fleet.jobs_answered(ResultCode::TaskFailed.number());
        assert_eq!(failed.collect::<Vec<_>>(), [], "seed {seed}");
    }
}

/// A worker may close its listening socket, or have it replaced, while its runs continue. Its
/// open connections then stay usable.
#[test]
fn runs_of_a_worker_that_refuses_new_connections_are_not_started_elsewhere() {
    let mut starts = 0;
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = fleet(seed);
        for _ in 0..30 {
            fleet.submit(rng.random_range(1..4), 300 * MS);
            if rng.random_range(0..4) == 0 {
                let refused_us = rng.random_range(5..800) * MS;
                fleet.refuse_new_connections(rng.random_range(0..3), refused_us);
            }
            fleet.run_for(rng.random_range(20..200) * MS);
        }
        fleet.run_for(30_000 * MS);
        assert_no_violations(&fleet, seed);
        assert_eq!(fleet.unanswered_jobs(), 0, "seed {seed}");
        assert!(fleet.running().is_empty(), "seed {seed}");
        let failed = fleet.jobs_answered(ResultCode::TaskFailed.number());
        assert_eq!(failed.collect::<Vec<_>>(), [], "seed {seed}");
        starts += fleet.starts;
    }
    assert!(starts > 1_000, "{starts} starts");
}

/// Default number of cases; `EPHEMERAL_CASES` overrides it.
const DEFAULT_CASES: u64 = 100;
const FAULTS_PER_CASE: usize = 40;

fn case_count() -> u64 {
    let value = std::env::var("EPHEMERAL_CASES").ok();
    value
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

/// Injects one random fault.
fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng) {
    let which = rng.random_range(0..3);
    let span_us = rng.random_range(5..1_500) * MS;
    match rng.random_range(0..14) {
        0..3 => fleet.deregister_worker(which, span_us, 400 * MS),
        3..6 => fleet.refuse_new_connections(which, span_us),
        6 => fleet.take_down(which, Outage::Refuses, span_us),
        7 => fleet.take_down(which, Outage::Silent, span_us),
        8 => fleet.late_report(which),
        9 => fleet.kill_gate(which),
        10 => fleet.freeze_gate(which, span_us),
        11 => fleet.cut_gate(which, span_us),
        12 => fleet.unanswered_percent = 20,
        _ => fleet.unanswered_percent = 0,
    }
}

fn start_gates(fleet: &mut Fleet) {
    (0..3).for_each(|gate| fleet.start_gate(gate));
}

/// Runs one random case and checks its guarantees.
fn run_random_case(seed: u64) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = fleet(seed);
    for _ in 0..FAULTS_PER_CASE {
        fleet.submit(rng.random_range(1..4), 200 * MS);
        inject_fault(&mut fleet, &mut rng);
        fleet.run_for(rng.random_range(20..400) * MS);
        if rng.random_range(0..3) == 0 {
            start_gates(&mut fleet);
        }
    }
    fleet.unanswered_percent = 0;
    start_gates(&mut fleet);
    fleet.run_for(60_000 * MS);
    assert_no_violations(&fleet, seed);
    assert_eq!(fleet.unanswered_without_losses(), 0, "seed {seed}");
    assert!(fleet.running().is_empty(), "seed {seed}");
    fleet
}

/// A run may be reported as ended too early only in combination with another fault, such as a
/// restart of its gate or a lost start.
#[test]
fn guarantees_hold_while_workers_deregister_and_refuse_connections() {
    let starts: usize = (0..case_count())
        .map(|seed| run_random_case(seed).starts)
        .sum();
    assert!(starts > 1_000, "{starts} starts");
}

/// Guards against three runs that start beside others of their tasks within 80 ms.
#[test]
fn no_runs_overlap_in_a_random_case_of_refusing_workers() {
    run_random_case(811);
}
