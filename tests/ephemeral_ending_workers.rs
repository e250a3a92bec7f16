//! Workers that seem to have ended while their runs continue.

mod ephemeral_fleet;

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
