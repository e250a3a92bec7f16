//! Connections that die without closing while new ones work.

mod dispatcher_bench;
mod ephemeral_fleet;

use dispatcher_bench::{Bench, full, job, load};
use ephemeral_fleet::{DisabledGuards, Fleet, limits};
use winghold::code::ResultCode;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::message::{NotRunReason, RunEnd};

/// Number of open jobs when the connections die.
const JOBS: usize = 12;

/// A fleet with open jobs; the connections of all entries die after `after_us`.
fn fleet_with_dead_connections(after_us: u64) -> Fleet {
    let mut fleet = Fleet::new(7, limits(), DisabledGuards::default());
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
fn jobs_survive_dead_connections() {
    for after_us in [0, 5_000, 20_000, 100_000, 300_000] {
        let mut fleet = fleet_with_dead_connections(after_us);
        fleet.run_for(10_000_000);
        assert_eq!(fleet.violations, Vec::<String>::new());
        assert_eq!(fleet.unknown, 0, "connections died after {after_us} us");
        assert_eq!(fleet.unanswered_jobs(), 0);
    }
}

/// Names of the gates that the dispatcher asked to redial.
fn redialed(bench: &Bench) -> Vec<&str> {
    let redials = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Redial(gate) => Some(&**gate),
        _ => None,
    });
    redials.collect()
}

#[test]
fn missed_heartbeat_causes_a_redial_well_before_the_peer_timeout() {
    let mut bench = Bench::new(1);
    bench.advance(1);
    bench.submit(1, job(1, 1), 1);
    bench.load(1, full(0));
    let quiet_ms = limits().reconnect_after.as_millis() as u64;
    assert!(quiet_ms * 2 < limits().peer_timeout.as_millis() as u64);
    for _ in 0..quiet_ms / 10 + 2 {
        bench.advance(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn idle_gate_is_redialed_after_two_idle_heartbeat_intervals() {
    let mut bench = Bench::new(1);
    bench.advance(1);
    let interval_ms = limits().idle_heartbeat_interval.as_millis() as u64;
    for _ in 0..interval_ms / 10 {
        bench.advance(10);
    }
    assert!(redialed(&bench).is_empty());
    for _ in 0..interval_ms / 10 {
        bench.advance(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn first_order_after_a_pause_gets_a_full_peer_timeout() {
    let mut bench = Bench::new(1);
    let timeout_ms = limits().peer_timeout.as_millis() as u64;
    for _ in 0..timeout_ms * 2 / 10 {
        bench.advance(10);
    }
    bench.submit(1, job(1, 1), 1);
    bench.advance(10);
    assert!(bench.answers.is_empty(), "{:?}", bench.answers);
    for _ in 0..timeout_ms / 10 {
        bench.advance(10);
    }
    assert_eq!(bench.codes(), [ResultCode::OutcomeUnknown]);
}

#[test]
fn unacknowledged_start_causes_a_redial_before_a_missed_heartbeat() {
    let mut bench = Bench::new(1);
    bench.advance(1);
    bench.submit(1, job(1, 1), 1);
    for _ in 0..6 {
        bench.advance(10);
    }
    assert!(redialed(&bench).contains(&"g1"));
}

#[test]
fn no_task_is_placed_on_a_gate_with_a_doubtful_connection() {
    let mut bench = Bench::new(2);
    bench.advance(1);
    bench.submit(1, job(1, 1), 1);
    let (quiet, _) = bench.starts[0];
    let other = 3 - quiet.0;
    for _ in 0..6 {
        bench.advance(10);
        bench.load(other, full(0));
    }
    bench.load(other, load(1_000, 0));
    bench.starts.clear();
    bench.submit(2, job(2, 2), 1);
    assert!(bench.starts.iter().all(|(session, _)| session.0 == other));
    assert_eq!(bench.starts.len(), 2);
}

#[test]
fn suspended_process_does_not_redial_its_gates() {
    let mut bench = Bench::new(1);
    bench.advance(1);
    bench.advance(400);
    assert!(redialed(&bench).is_empty());
}

#[test]
fn lost_start_is_placed_again_under_the_same_run_number() {
    let mut bench = Bench::new(1);
    bench.submit(1, job(1, 1), 1);
    let start = bench.starts[0];
    bench.end_run(start, RunEnd::NotRun(NotRunReason::Lost));
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[1].1, start.1);
}
