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
