//! Checks the history of a run against the guarantees of winghold.
//!
//! Compares the answers that callers received with the starts that targets recorded, and
//! reports each violation as a guarantee and a text.

use std::collections::{HashMap, HashSet};

use crate::bench::history::{ConfigObservation, History, SubmissionRecord};
use crate::code::Effect;
use crate::config::Config;
use crate::standin::target::StartRecord;

/// Time for which a departing target may still start tasks that were in transit.
pub const DEPARTURE_GRACE_US: u64 = 3_000_000;
/// Time within which all processes must apply an accepted configuration.
pub const CONFIG_GRACE_US: u64 = 5_000_000;
/// Time after the deadline within which a submission must be answered.
pub const ANSWER_GRACE_US: u64 = 1_000_000;

/// Guarantees of winghold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Guarantee {
    /// No task of a submission starts twice.
    NoDoubleStart,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A complete answer has the results of all tasks.
    WholeAnswer,
    /// A caller gets the answer to its own submission.
    OwnAnswer,
    /// No task runs after the effect "not run" was reported.
    TrueNotRun,
    /// A departing target gets no new tasks.
    LeavingGetsNothing,
    /// A planned stop interrupts no submission.
    PlannedStopCutsNothing,
    /// A process never reverts to an older configuration.
    ConfigNeverReverts,
    /// An accepted configuration is applied by all processes within the grace period.
    ConfigInForce,
    /// Every submission is answered within the grace period after its deadline.
    AnsweredInTime,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Violated guarantee.
    pub guarantee: Guarantee,
    /// Description.
    pub text: String,
}

/// Returns all violations in a run.
pub fn check(history: &History, starts: &[StartRecord], config: &Config) -> Vec<Violation> {
    let by_task = starts_by_task(starts);
    let by_id = starts_by_id(starts);
    let mut violations = Vec::new();
    for record in history.submissions() {
        check_starts(&record, &by_task, config, &mut violations);
        check_answer(&record, &by_task, &mut violations);
        check_not_run(&record, &by_id, &mut violations);
        check_answer_time(&record, &mut violations);
        if history.has_only_planned_faults() {
            check_planned_stop(&record, &mut violations);
        }
    }
    check_departures(history, starts, &mut violations);
    check_config(history, &mut violations);
    violations
}

type Starts<'s> = HashMap<String, Vec<&'s StartRecord>>;

fn starts_by_task(starts: &[StartRecord]) -> Starts<'_> {
    let mut by_task = Starts::new();
    for start in starts {
        by_task.entry(start.task.clone()).or_default().push(start);
    }
    by_task
}

fn starts_by_id(starts: &[StartRecord]) -> Starts<'_> {
    let mut by_id = Starts::new();
    for start in starts {
        let id = start.task.split('/').next().unwrap_or_default().to_string();
        by_id.entry(id).or_default().push(start);
    }
    by_id
}

fn report(violations: &mut Vec<Violation>, guarantee: Guarantee, text: String) {
    violations.push(Violation { guarantee, text });
}

fn is_repeatable(record: &SubmissionRecord, config: &Config) -> bool {
    let service = config.service(&record.planned.service);
    let kind = service.and_then(|service| service.kind(Some(&record.planned.kind)));
    !record.planned.is_job && kind.is_some_and(|kind| kind.repeatable)
}

fn check_starts(
    record: &SubmissionRecord,
    by_task: &Starts<'_>,
    config: &Config,
    violations: &mut Vec<Violation>,
) {
    if is_repeatable(record, config) {
        return;
    }
    let guarantee = match record.planned.is_job {
        true => Guarantee::NoDoubleStart,
        false => Guarantee::AtMostOnce,
    };
    for index in 0..record.planned.run_ms.len() {
        let task = format!("{}/{index}", record.id);
        let starts = by_task.get(&task).map_or(0, Vec::len);
        if starts > 1 {
            report(
                violations,
                guarantee,
                format!("{task} started {starts} times"),
            );
        }
    }
}

fn check_answer(record: &SubmissionRecord, by_task: &Starts<'_>, violations: &mut Vec<Violation>) {
    if !record.is_complete() {
        return;
    }
    let tasks = record.planned.run_ms.len();
    let finished = (0..tasks).filter(|index| {
        let starts = by_task.get(&format!("{}/{index}", record.id));
        starts.is_some_and(|starts| starts.iter().any(|start| start.finished))
    });
    let finished = finished.count();
    if record.results != tasks || finished != tasks {
        let text = format!(
            "{} has {} results, {finished} of {tasks} tasks finished",
            record.id, record.results
        );
        report(violations, Guarantee::WholeAnswer, text);
    }
    if !record.has_own_results {
        report(
            violations,
            Guarantee::OwnAnswer,
            format!("{} got the answer of another submission", record.id),
        );
    }
}

/// After a "not run" answer no task may have started, unless the caller retried.
fn check_not_run(record: &SubmissionRecord, by_id: &Starts<'_>, violations: &mut Vec<Violation>) {
    let Some(starts) = by_id.get(&record.id) else {
        return;
    };
    for (index, attempt) in record.attempts.iter().enumerate() {
        if attempt.effect != Some(Effect::NotRun) {
            continue;
        }
        let next_us = record
            .attempts
            .get(index + 1)
            .map_or(u64::MAX, |next| next.sent_us);
        let contradicting_start = starts.iter().find(|start| start.at_us < next_us);
        if let Some(start) = contradicting_start {
            let text = format!(
                "{} was reported as not run, but {} started",
                record.id, start.task
            );
            report(violations, Guarantee::TrueNotRun, text);
            return;
        }
    }
}

fn check_answer_time(record: &SubmissionRecord, violations: &mut Vec<Violation>) {
    let deadline_us = record.sent_us + record.planned.deadline.as_micros() as u64;
    if record.ended_us > deadline_us + ANSWER_GRACE_US {
        let late_ms = (record.ended_us - deadline_us) / 1_000;
        let text = format!("{} was answered {late_ms} ms after its deadline", record.id);
        report(violations, Guarantee::AnsweredInTime, text);
    }
}

fn check_planned_stop(record: &SubmissionRecord, violations: &mut Vec<Violation>) {
    if record.is_complete() || record.cancelled || record.last_effect() == Some(Effect::NotRun) {
        return;
    }
    let text = format!("{} ended with code {:?}", record.id, record.last_code());
    report(violations, Guarantee::PlannedStopCutsNothing, text);
}

fn check_departures(history: &History, starts: &[StartRecord], violations: &mut Vec<Violation>) {
    for departure in history.departures() {
        let late = |start: &&StartRecord| {
            start.target == departure.target
                && start.at_us > departure.at_us + DEPARTURE_GRACE_US
                && start.at_us < departure.until_us
        };
        for start in starts.iter().filter(late) {
            let late_ms = (start.at_us - departure.at_us) / 1_000;
            let text = format!(
                "{} started {} {late_ms} ms after its departure",
                departure.target, start.task
            );
            report(violations, Guarantee::LeavingGetsNothing, text);
        }
    }
}

fn check_config(history: &History, violations: &mut Vec<Violation>) {
    let mut by_process: HashMap<String, Vec<ConfigObservation>> = HashMap::new();
    for observation in history.observations() {
        by_process
            .entry(observation.process.clone())
            .or_default()
            .push(observation);
    }
    for (process, observations) in &by_process {
        for pair in observations.windows(2) {
            if pair[1].revision < pair[0].revision {
                let text = format!(
                    "{process} went from revision {} to {}",
                    pair[0].revision, pair[1].revision
                );
                report(violations, Guarantee::ConfigNeverReverts, text);
            }
        }
    }
    let mut late = HashSet::new();
    for change in history.changes() {
        let outdated = history.observations().into_iter().filter(|observation| {
            observation.at_us > change.at_us + CONFIG_GRACE_US
                && observation.revision < change.revision
        });
        late.extend(outdated.map(|observation| (observation.process, change.revision)));
    }
    for (process, revision) in late {
        let text = format!("{process} did not apply revision {revision} in time");
        report(violations, Guarantee::ConfigInForce, text);
    }
}
