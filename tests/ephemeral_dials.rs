//! Timing of an entry's connection attempts to its gates.

use std::time::Duration;

use winghold::ephemeral::directory::{GateChanges, GateRecord};
use winghold::ephemeral::entry::dials::Dialer;
use winghold::ephemeral::session::SessionId;
use winghold::time::{Moment, micros};

const MS: u64 = 1_000;
/// Interval of the entry's loop.
const TICK_US: u64 = 10 * MS;

fn at(mono_us: u64) -> Moment {
    Moment {
        mono_us,
        wall_ms: 0,
    }
}

fn record(port: u16) -> GateRecord {
    GateRecord {
        gate: "g".into(),
        addr: ([127, 0, 0, 1], port).into(),
        losses: Vec::new(),
        worker: None,
    }
}

/// Start times of attempts within `span` to an instance that never answers.
fn attempts_without_answer(span: Duration) -> Vec<u64> {
    let mut dialer = Dialer::default();
    dialer.update_records(at(0), vec![record(1)].into());
    let (mut starts, mut pending) = (Vec::new(), None);
    for now_us in (0..micros(span)).step_by(TICK_US as usize) {
        if pending.is_some_and(|until_us| until_us <= now_us) {
            dialer.attempt_failed("g");
            pending = None;
        }
        for attempt in dialer.due_attempts(at(now_us), |_| true) {
            starts.push(now_us);
            pending = Some(now_us + micros(attempt.timeout));
        }
    }
    starts
}

#[test]
fn unreachable_gate_is_retried_within_a_quarter_of_its_outage() {
    let starts = attempts_without_answer(Duration::from_secs(5));
    for pair in starts.windows(2) {
        let most_us = pair[0] / 4 + 60 * MS;
        assert!(pair[1] - pair[0] <= most_us, "{pair:?} of {starts:?}");
    }
}

#[test]
fn permanently_unreachable_gate_gets_few_attempts() {
    let starts = attempts_without_answer(Duration::from_secs(30));
    assert!(starts.len() < 90, "{} attempts", starts.len());
}

#[test]
fn refused_attempt_is_not_repeated_at_once() {
    let mut dialer = Dialer::default();
    dialer.update_records(at(0), vec![record(1)].into());
    assert_eq!(dialer.due_attempts(at(0), |_| true).len(), 1);
    dialer.attempt_failed("g");
    assert!(dialer.due_attempts(at(10 * MS), |_| true).is_empty());
    assert_eq!(dialer.due_attempts(at(40 * MS), |_| true).len(), 1);
}

#[test]
fn closed_session_is_redialed_at_once() {
    let mut dialer = Dialer::default();
    dialer.update_records(at(0), vec![record(1)].into());
    assert_eq!(dialer.due_attempts(at(0), |_| true).len(), 1);
    assert_eq!(dialer.connected("g", || SessionId(7)), Some(SessionId(7)));
    assert!(dialer.due_attempts(at(500 * MS), |_| true).is_empty());
    dialer.session_closed(SessionId(7));
    assert_eq!(dialer.due_attempts(at(500 * MS), |_| true).len(), 1);
}

#[test]
fn gate_with_a_new_address_is_dialed_without_delay() {
    let mut dialer = Dialer::default();
    dialer.update_records(at(0), vec![record(1)].into());
    for tick in 0..200 {
        if !dialer.due_attempts(at(tick * TICK_US), |_| true).is_empty() {
            dialer.attempt_failed("g");
        }
    }
    dialer.update_records(at(2_000 * MS), vec![record(2)].into());
    let due = (200..240).find(|tick| !dialer.due_attempts(at(tick * TICK_US), |_| true).is_empty());
    let again = due.map(|tick| {
        dialer.attempt_failed("g");
        (tick + 1..240).find(|tick| !dialer.due_attempts(at(tick * TICK_US), |_| true).is_empty())
    });
    let (first, second) = (due.unwrap(), again.flatten().unwrap());
    assert_eq!(first, 200);
    assert!(second - first <= 5, "ticks {first} and {second}");
}

#[test]
fn gate_without_a_record_is_removed_once_its_session_closes() {
    let mut dialer = Dialer::default();
    dialer.update_records(at(0), vec![record(1)].into());
    assert_eq!(dialer.due_attempts(at(0), |_| true).len(), 1);
    dialer.connected("g", || SessionId(1));
    let removed = GateChanges {
        removed: vec!["g".into()],
        ..GateChanges::default()
    };
    dialer.update_records(at(100 * MS), removed);
    assert!(dialer.due_attempts(at(5_000 * MS), |_| true).is_empty());
    dialer.session_closed(SessionId(1));
    assert!(
        dialer.due_attempts(at(5_100 * MS), |_| true).is_empty(),
        "the gate was not removed"
    );
    assert_eq!(dialer.connected("g", || SessionId(2)), None);
}
