//! All processes lose power at once and start again.
//!
//! The grounds: callers wait for 2 s at least and send again after 1.3 s, so whoever finds
//! the fleet back is best answered within a few hundred milliseconds; an entry that knows
//! too few gates by then refuses with room free.

mod ephemeral_fleet;
mod large_fleet;

use large_fleet::{Counts, LargeFleet};

const SECOND_US: u64 = 1_000_000;
/// Load at which workers would be full without a break.
const FULL: f64 = 1.59;

/// Counts of the tenths of a second after a stop of a fleet that was at work.
fn after_a_stop(load: f64) -> Vec<Counts> {
    let mut fleet = LargeFleet::new(4, 24);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(SECOND_US, FULL * 0.6);
    fleet.lose_power(SECOND_US * 3 / 2);
    (0..10).map(|_| fleet.run(SECOND_US / 10, load)).collect()
}

/// The pattern: the usual load, from the first moment after the stop.
#[test]
fn all_of_the_usual_load_is_served_in_time_from_the_start() {
    let tenths = after_a_stop(FULL * 0.6);
    let served: u64 = tenths[..3].iter().map(|counts| counts.served).sum();
    assert!(served > 0, "{tenths:?}");
    for counts in tenths {
        assert_eq!((counts.refused, counts.late, counts.unknown), (0, 0, 0));
    }
}

/// The pattern: callers whose jobs the stop cut off come again, beside the usual ones.
#[test]
fn half_as_much_again_is_served_with_the_room_there_is() {
    let tenths = after_a_stop(FULL * 0.9);
    let refused: u64 = tenths.iter().map(|counts| counts.refused).sum();
    let served: u64 = tenths.iter().map(|counts| counts.served).sum();
    let late: u64 = tenths.iter().map(|counts| counts.late).sum();
    println!("{served} served, {late} late, {refused} refused");
    assert_eq!(refused, 0);
    assert!(late * 20 < served, "{late} of {served}");
}
