//! The history checker reports each violated promise, and none for a sound history.

use std::sync::Arc;
use std::time::Duration;

use winghold::bench::checker::{Guarantee, check};
use winghold::bench::history::{
    Attempt, ConfigChange, ConfigObservation, Departure, History, SubmissionRecord,
};
use winghold::bench::workload::PlannedSubmission;
use winghold::code::Effect;
use winghold::config::Config;
use winghold::standin::target::StartRecord;

const CONFIG: &str = include_str!("../examples/logger-intake.yaml");

fn record(id: &str, tasks: usize) -> SubmissionRecord {
    let planned = PlannedSubmission {
        at: Duration::ZERO,
        service: Arc::from("logger-intake"),
        kind: Arc::from("burst-check"),
        run_ms: vec![50.0; tasks],
        is_job: tasks > 1,
        deadline: Duration::from_secs(5),
        team: None,
    };
    SubmissionRecord {
        id: id.to_string(),
        planned,
        sent_us: 1_000,
        ended_us: 200_000,
        attempts: vec![attempt("COMPLETE", Effect::Ran)],
        results: tasks,
        has_own_results: true,
        cancelled: false,
    }
}

fn attempt(code: &str, effect: Effect) -> Attempt {
    Attempt {
        sent_us: 1_000,
        answered_us: 200_000,
        code: code.to_string(),
        effect: Some(effect),
    }
}

fn start(task: &str, at_us: u64) -> StartRecord {
    StartRecord {
        task: task.to_string(),
        target: "t".to_string(),
        at_us,
        finished: true,
    }
}

fn violations(history: &History, starts: &[StartRecord]) -> Vec<Guarantee> {
    let config = Config::from_yaml(CONFIG).expect("the example is valid");
    check(history, starts, &config)
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

fn history_of(record: SubmissionRecord) -> History {
    let history = History::default();
    history.record_submission(record);
    history
}

#[test]
fn a_sound_history_has_no_violations() {
    let history = history_of(record("a", 2));
    history.set_only_planned_faults(true);
    let starts = [start("a/0", 2_000), start("a/1", 2_000)];
    assert_eq!(violations(&history, &starts), []);
}

#[test]
fn a_second_start_of_a_job_task_is_reported() {
    let starts = [
        start("a/0", 2_000),
        start("a/1", 2_000),
        start("a/1", 9_000),
    ];
    assert_eq!(
        violations(&history_of(record("a", 2)), &starts),
        [Guarantee::NoDoubleStart]
    );
}

#[test]
fn a_second_start_of_a_non_repeatable_request_is_reported() {
    let starts = [start("a/0", 2_000), start("a/0", 9_000)];
    assert_eq!(
        violations(&history_of(record("a", 1)), &starts),
        [Guarantee::AtMostOnce]
    );
}

#[test]
fn a_complete_answer_without_all_results_is_reported() {
    let mut incomplete = record("a", 2);
    incomplete.results = 1;
    let starts = [start("a/0", 2_000), start("a/1", 2_000)];
    assert_eq!(
        violations(&history_of(incomplete), &starts),
        [Guarantee::WholeAnswer]
    );
}

#[test]
fn a_complete_answer_for_a_task_that_never_ran_is_reported() {
    assert_eq!(
        violations(&history_of(record("a", 2)), &[start("a/0", 2_000)]),
        [Guarantee::WholeAnswer]
    );
}

#[test]
fn an_answer_with_the_results_of_another_submission_is_reported() {
    let mut foreign = record("a", 1);
    foreign.has_own_results = false;
    assert_eq!(
        violations(&history_of(foreign), &[start("a/0", 2_000)]),
        [Guarantee::OwnAnswer]
    );
}

#[test]
fn a_not_run_answer_for_a_task_that_ran_is_reported() {
    let mut refused = record("a", 1);
    refused.attempts = vec![attempt("NO_OWNER", Effect::NotRun)];
    assert_eq!(
        violations(&history_of(refused), &[start("a/0", 2_000)]),
        [Guarantee::TrueNotRun]
    );
}

#[test]
fn a_start_after_a_resend_does_not_contradict_an_earlier_not_run_answer() {
    let mut refused = record("a", 1);
    let mut again = attempt("COMPLETE", Effect::Ran);
    again.sent_us = 300_000;
    refused.attempts = vec![attempt("NO_OWNER", Effect::NotRun), again];
    assert_eq!(
        violations(&history_of(refused), &[start("a/0", 301_000)]),
        []
    );
}

#[test]
fn a_start_on_a_leaving_target_is_reported() {
    let history = history_of(record("a", 1));
    history.record_departure(Departure {
        target: "t".to_string(),
        at_us: 0,
        until_us: u64::MAX,
    });
    assert_eq!(
        violations(&history, &[start("a/0", 3_500_000)]),
        [Guarantee::LeavingGetsNothing]
    );
}

#[test]
fn a_request_interrupted_by_a_planned_stop_is_reported() {
    let mut cut = record("a", 1);
    cut.attempts = vec![attempt("OUTCOME_UNKNOWN", Effect::Unknown)];
    let history = history_of(cut);
    history.set_only_planned_faults(true);
    let starts = [start("a/0", 2_000)];
    assert_eq!(
        violations(&history, &starts),
        [Guarantee::PlannedStopCutsNothing]
    );
}

#[test]
fn an_answer_long_after_the_deadline_is_reported() {
    let mut late = record("a", 1);
    late.ended_us = 6_500_000;
    assert_eq!(
        violations(&history_of(late), &[start("a/0", 2_000)]),
        [Guarantee::AnsweredInTime]
    );
}

fn config_seen(revision: u64, at_us: u64) -> ConfigObservation {
    ConfigObservation {
        process: "p".to_string(),
        revision,
        at_us,
    }
}

#[test]
fn a_configuration_that_reverts_is_reported() {
    let history = History::default();
    history.record_observation(config_seen(3, 1_000));
    history.record_observation(config_seen(2, 2_000));
    assert_eq!(violations(&history, &[]), [Guarantee::ConfigNeverReverts]);
}

#[test]
fn a_configuration_applied_too_late_is_reported() {
    let history = History::default();
    history.record_change(ConfigChange {
        revision: 4,
        at_us: 0,
    });
    history.record_observation(config_seen(3, 5_500_000));
    assert_eq!(violations(&history, &[]), [Guarantee::ConfigInForce]);
}
