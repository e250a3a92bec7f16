//! Requests that reach an entry after their caller has left and resent the job to another entry,
//! in virtual time. The end of the caller's connection never arrives.

mod ephemeral_fleet;

use ephemeral_fleet::{Fleet, limits};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Cases per property.
const CASES: u64 = 60;
/// Events per random case.
const EVENTS_PER_CASE: usize = 40;
const MS: u64 = 1_000;
/// Estimated run time of a task; it may take several times as long.
const RUN_US: u64 = 400 * MS;
/// Time in which all jobs are answered.
const ALL_RUNS_US: u64 = 8_000 * MS;
const TASKS: u32 = 2;

fn assert_holds(fleet: &Fleet, seed: u64) {
    assert!(
        fleet.violations.is_empty(),
        "seed {seed}: {:?}",
        fleet.violations
    );
}

/// Guards against runs of a late request beside those of the resent job.
#[test]
fn late_request_starts_nothing_while_the_resent_job_runs() {
    for seed in 0..CASES {
        let mut fleet = Fleet::with_registrars(seed, limits());
        fleet.submit(TASKS, RUN_US);
        let job = fleet.last_job();
        fleet.run_for((30 + seed * 7) * MS);
        let Some(entry) = fleet.entry_of(job) else {
            continue;
        };
        fleet.deliver_late(job, (entry + 1) % 3);
        fleet.run_for(ALL_RUNS_US);
        assert_holds(&fleet, seed);
        assert_eq!(fleet.completed, 1, "seed {seed}");
    }
}

/// Guards against runs of the resent job beside those of a request that was late but first.
#[test]
fn resent_job_starts_nothing_while_the_late_request_runs() {
    for seed in 0..CASES {
        let mut fleet = Fleet::with_registrars(seed, limits());
        let entry = (seed % 3) as usize;
        fleet.submit_after_late_request(TASKS, RUN_US, entry, seed * 9 * MS);
        fleet.run_for(ALL_RUNS_US);
        assert_holds(&fleet, seed);
        assert_eq!(fleet.completed, 1, "seed {seed}");
    }
}

/// Longest pause of a gate. It answers later than the next one is asked then, but is not lost.
const GATE_PAUSE_MS: u64 = 200;

/// Faults of a random case.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// Entries die, freeze and lose their connections.
    Entries,
    /// Gates pause.
    Gates,
}

/// Plays a random case: late requests and faults.
fn run_random_case(seed: u64, faults: Faults) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::with_registrars(seed, limits());
    for _ in 0..EVENTS_PER_CASE {
        let entry = rng.random_range(0..3);
        let span_us = rng.random_range(0..3_000) * MS;
        match rng.random_range(0..10) {
            0..=2 => fleet.submit(rng.random_range(1..4), RUN_US),
            3 | 4 => {
                let count = rng.random_range(1..4);
                fleet.submit_after_late_request(count, RUN_US, entry, span_us / 4);
            }
            5 | 6 => {
                let job = fleet.last_job();
                fleet.deliver_late(job, entry);
            }
            _ if faults == Faults::Gates => {
                let gate = rng.random_range(0..6);
                fleet.freeze_gate(gate, rng.random_range(0..GATE_PAUSE_MS) * MS);
            }
            7 => fleet.kill_entry(entry),
            8 => fleet.freeze_entry(entry, span_us),
            _ => fleet.reset_connections(entry),
        }
        fleet.run_for(rng.random_range(0..400) * MS);
        (0..3).for_each(|index| fleet.start_entry(index));
    }
    fleet.run_for(ALL_RUNS_US);
    fleet
}

/// Guards against two runs of a task at once when entries fail as well.
#[test]
fn no_runs_overlap_when_requests_are_late_and_entries_fail() {
    for seed in 0..CASES {
        let fleet = run_random_case(seed, Faults::Entries);
        assert_holds(&fleet, seed);
        assert!(fleet.completed > 0, "seed {seed}");
    }
}

/// Guards against two runs of a task at once when registrars answer late.
#[test]
fn no_runs_overlap_when_requests_are_late_and_gates_pause() {
    for seed in 0..CASES {
        let fleet = run_random_case(seed, Faults::Gates);
        assert_holds(&fleet, seed);
        assert!(fleet.completed > 0, "seed {seed}");
    }
}
