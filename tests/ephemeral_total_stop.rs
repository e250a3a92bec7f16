//! All processes lose power at once and start again: jobs are served at once, and entries
//! do not refuse jobs while there is capacity.

mod ephemeral_fleet;
mod large_fleet;

use large_fleet::{Counts, LargeFleet};

const SECOND_US: u64 = 1_000_000;
/// Load at which all workers are busy all the time.
const FULL_LOAD: f64 = 1.59;

/// Counts of each tenth of a second after the power loss of a busy fleet.
fn counts_after_power_loss(load: f64) -> Vec<Counts> {
    let mut fleet = LargeFleet::new(4, 24);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(SECOND_US, FULL_LOAD * 0.6);
    fleet.lose_power(SECOND_US * 3 / 2);
    (0..10).map(|_| fleet.run(SECOND_US / 10, load)).collect()
}

#[test]
fn usual_load_is_served_in_time_after_a_power_loss() {
    let tenths = counts_after_power_loss(FULL_LOAD * 0.6);
    let served: u64 = tenths[..3].iter().map(|counts| counts.served).sum();
    assert!(served > 0, "{tenths:?}");
    for counts in tenths {
        assert_eq!((counts.refused, counts.late, counts.unknown), (0, 0, 0));
    }
}

/// Callers of interrupted jobs retry in addition to the usual load.
#[test]
fn increased_load_is_not_refused_after_a_power_loss() {
    let tenths = counts_after_power_loss(FULL_LOAD * 0.9);
    let refused: u64 = tenths.iter().map(|counts| counts.refused).sum();
    let served: u64 = tenths.iter().map(|counts| counts.served).sum();
    let late: u64 = tenths.iter().map(|counts| counts.late).sum();
    println!("{served} served, {late} late, {refused} refused");
    assert_eq!(refused, 0);
    assert!(late * 20 < served, "{late} of {served}");
}
