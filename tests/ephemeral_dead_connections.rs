//! Connections that go dead without a word while new ones work.

mod dispatcher_bench;
mod ephemeral_fleet;

use dispatcher_bench::{Bench, full, job, load};
use ephemeral_fleet::{Fleet, Without, limits};
use winghold::code::ResultCode;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::message::{NotRunReason, RunEnd};

/// Jobs that are open while the connections die.
const JOBS: usize = 12;

/// A fleet with open jobs whose entries' connections all die `after_us` later.
fn fleet_with_dead_connections(after_us: u64) -> Fleet {
    let mut fleet = Fleet::new(7, limits(), Without::default());
    for _ in 0..JOBS {
        fleet.submit(1, 200_000);
    }
    fleet.run_for(after_us);
    for entry in 0..3 {
        fleet.silence_connections(entry);
    }
    fleet
}

#[test]
fn jobs_on_dead_connections_are_delayed_and_not_lost() {
    for after_us in [0, 5_000, 20_000, 100_000, 300_000] {
        let mut fleet = fleet_with_dead_connections(after_us);
        fleet.run_for(10_000_000);
        assert_eq!(fleet.violations, Vec::<String>::new());
        assert_eq!(fleet.unknown, 0, "connections died after {after_us} us");
        assert_eq!(fleet.unanswered_jobs(), 0);
    }
}

/// Names of the gates that another connection was asked for.
fn redialed(bench: &Bench) -> Vec<&str> {
    let redials = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Redial(gate) => Some(&**gate),
        _ => None,
    });
    redials.collect()
}

#[test]
fn a_gate_that_missed_its_heartbeat_is_dialed_again_long_before_it_is_given_up() {
    let mut bench = Bench::new(1);
    bench.pass(1);
    bench.submit(1, job(1, 1), 1);
    bench.load(1, full(0));
    let quiet_ms = limits().reconnect_after.as_millis() as u64;
    assert!(quiet_ms * 2 < limits().peer_timeout.as_millis() as u64);
    for _ in 0..quiet_ms / 10 + 2 {
        bench.pass(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn a_gate_without_work_is_doubted_after_two_heartbeats_of_its_own_pace() {
    let mut bench = Bench::new(1);
    bench.pass(1);
    let beat_ms = limits().idle_heartbeat_interval.as_millis() as u64;
    for _ in 0..beat_ms / 10 {
        bench.pass(10);
    }
    assert!(redialed(&bench).is_empty());
    for _ in 0..beat_ms / 10 {
        bench.pass(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn the_first_order_after_a_pause_gives_the_gate_time_to_answer() {
    let mut bench = Bench::new(1);
    let silence_ms = limits().peer_timeout.as_millis() as u64;
    for _ in 0..silence_ms * 2 / 10 {
        bench.pass(10);
    }
    bench.submit(1, job(1, 1), 1);
    bench.pass(10);
    assert!(bench.answers.is_empty(), "{:?}", bench.answers);
    for _ in 0..silence_ms / 10 {
        bench.pass(10);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
}

#[test]
fn a_start_that_is_not_seen_tells_sooner_than_a_missed_heartbeat() {
    let mut bench = Bench::new(1);
    bench.pass(1);
    bench.submit(1, job(1, 1), 1);
    for _ in 0..6 {
        bench.pass(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn nothing_is_placed_at_a_gate_whose_connection_is_in_doubt() {
    let mut bench = Bench::new(2);
    bench.pass(1);
    bench.submit(1, job(1, 1), 1);
    let (quiet, _) = bench.starts[0];
    let other = 3 - quiet.0;
    for _ in 0..6 {
        bench.pass(10);
        bench.load(other, full(0));
    }
    bench.load(other, load(1_000, 0));
    bench.starts.clear();
    bench.submit(2, job(2, 2), 1);
    assert!(bench.starts.iter().all(|(session, _)| session.0 == other));
    assert_eq!(bench.starts.len(), 2);
}

#[test]
fn a_process_that_stood_still_does_not_doubt_others() {
    let mut bench = Bench::new(1);
    bench.pass(1);
    bench.pass(400);
    assert!(redialed(&bench).is_empty());
}

#[test]
fn a_start_that_never_came_is_placed_again_under_the_same_number() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    let start = bench.starts[0];
    bench.ended(start, RunEnd::NotRun(NotRunReason::Lost));
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[1].1, start.1);
}
