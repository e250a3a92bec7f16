//! The number of frames per started task does not grow with the product of entries and
//! gates.

mod ephemeral_fleet;
mod large_fleet;

use large_fleet::{Counts, LargeFleet};

/// Three frames for the start, its confirmation and its end, and three times that for loads
/// and heartbeats.
const MAX_FRAMES_PER_START: f64 = 12.0;
/// Frames per second to and from an idle entry.
const MAX_IDLE_FRAMES_PER_S: f64 = 80.0;

const SECOND_US: u64 = 1_000_000;

fn counts_under_load(entries: usize, gates: usize) -> Counts {
    let mut fleet = LargeFleet::new(entries, gates);
    fleet.run(2 * SECOND_US, 0.0);
    fleet.run(2 * SECOND_US, 1.0);
    let counts = fleet.run(2 * SECOND_US, 1.0);
    println!(
        "{entries} x {gates}: {:.1} frames per start, {counts:?}",
        counts.frames_per_start()
    );
    counts
}

#[test]
fn frames_per_start_do_not_grow_with_the_fleet() {
    let sizes = [(10, 40), (20, 80), (55, 240)];
    let per_start =
        sizes.map(|(entries, gates)| counts_under_load(entries, gates).frames_per_start());
    for (size, frames) in sizes.iter().zip(per_start) {
        assert!(frames <= MAX_FRAMES_PER_START, "{size:?}: {frames:.1}");
    }
    let growth = per_start[2] / per_start[0];
    assert!(growth < 1.1, "{per_start:?}");
}

#[test]
fn idle_fleet_sends_few_frames() {
    let (entries, gates) = (55, 240);
    let mut fleet = LargeFleet::new(entries, gates);
    fleet.run(4 * SECOND_US, 0.0);
    let counts = fleet.run(4 * SECOND_US, 0.0);
    let per_entry = counts.all_frames() as f64 / entries as f64 / 4.0;
    println!("idle: {per_entry:.1} frames per second and entry, {counts:?}");
    assert!(per_entry <= MAX_IDLE_FRAMES_PER_S, "{per_entry:.1}");
}

#[test]
fn bounded_sessions_serve_the_load_within_capacity() {
    let counts = counts_under_load(55, 240);
    let all = counts.served + counts.refused + counts.unknown;
    let served = counts.served as f64 / all as f64;
    assert!(served > 0.99, "{served:.3} of {all}");
}

#[test]
fn all_entries_recover_from_a_power_loss_with_few_frames() {
    let (entries, gates) = (55, 240);
    let mut fleet = LargeFleet::new(entries, gates);
    fleet.run(3 * SECOND_US, 1.0);
    fleet.lose_power(SECOND_US / 2);
    let counts = fleet.run(SECOND_US / 2, 0.0);
    println!("after the power loss: {counts:?}");
    assert_eq!(fleet.ready_entries(), entries);
    let per_process = counts.all_frames() as f64 / (entries + gates) as f64;
    assert!(per_process < 20.0, "{per_process:.1} frames per process");
    // The subset of an entry follows its demand, so coverage needs some load.
    fleet.run(3 * SECOND_US, 1.0);
    let covered = fleet.covered_gates();
    assert!(covered * 100 >= gates * 99, "{covered} of {gates} gates");
}
