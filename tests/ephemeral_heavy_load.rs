//! A fleet near and above its capacity: jobs stay in time, starts are not redirected over
//! and over, and goodput does not collapse.

mod ephemeral_fleet;
mod large_fleet;

use large_fleet::{Counts, LargeFleet};
use winghold::ephemeral::scheduling::Scheduling;

const SECOND_US: u64 = 1_000_000;
/// Load at which all workers are busy all the time.
const FULL_LOAD: f64 = 1.59;

fn counts_at_load(load: f64) -> Counts {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, load);
    let counts = fleet.run(2 * SECOND_US, load);
    println!(
        "{load}: {:.3} in time, {counts:?}",
        counts.fraction_in_time()
    );
    counts
}

#[test]
fn nearly_all_jobs_are_in_time_below_capacity() {
    assert!(counts_at_load(FULL_LOAD * 0.82).fraction_in_time() > 0.99);
    assert!(counts_at_load(FULL_LOAD * 0.94).fraction_in_time() > 0.93);
}

#[test]
fn starts_above_capacity_are_not_redirected_repeatedly() {
    let counts = counts_at_load(FULL_LOAD * 1.13);
    assert!(counts.not_done_runs < counts.starts * 5 / 4, "{counts:?}");
    assert!(counts.unknown * 100 < counts.served, "{counts:?}");
}

/// CPU time per frame or job on an entry with a tenth of a core.
const INPUT_US: u64 = 1_650;

/// Callers are assigned to entries by a hash, so one entry may get several times the load
/// of the others.
#[test]
fn entry_without_cpu_time_refuses_jobs_it_would_answer_late() {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.set_scheduling(Scheduling {
        lag_limit: true,
        ..Scheduling::default()
    });
    fleet.run(2 * SECOND_US, 0.0);
    fleet.slow_down_entry(0, INPUT_US, 1);
    fleet.run(2 * SECOND_US, FULL_LOAD * 0.9);
    let counts = fleet.run(3 * SECOND_US, FULL_LOAD * 0.9);
    println!("{counts:?}");
    assert!(counts.watched_served > 20, "{counts:?}");
    assert!(
        counts.watched_late * 5 < counts.watched_served,
        "{counts:?}"
    );
}

/// Mean number of cores that work on jobs which meet their objective.
fn goodput_at(load: f64) -> f64 {
    let mut fleet = LargeFleet::new(12, 70);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, load);
    let span_us = 6 * SECOND_US;
    let counts = fleet.run(span_us, load);
    let goodput = counts.goodput(span_us);
    println!("{load:.2}: {goodput:.0} cores, {counts:?}");
    goodput
}

/// The bounds guard against a further loss of goodput under lasting overload.
#[test]
fn goodput_above_capacity_stays_above_its_bounds() {
    assert!(goodput_at(FULL_LOAD * 0.95) > 1_130.0);
    assert!(goodput_at(FULL_LOAD * 1.24) > 815.0);
    assert!(goodput_at(FULL_LOAD * 1.86) > 425.0);
    assert!(goodput_at(FULL_LOAD * 3.1) > 410.0);
}
