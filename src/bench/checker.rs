//! Checks a history against every promise.
//!
//! The truth about starts is what the targets noted; the truth about answers
//! is what callers got. Each broken promise becomes one line that names it.

use std::collections::{HashMap, HashSet};

use crate::bench::history::{ConfigSeen, History, SubmissionRecord};
use crate::code::Effect;
use crate::config::Config;
use crate::standin::target::StartRecord;

/// A leaving target may start what was on its way for this long.
pub const LEAVE_GRACE_US: u64 = 3_000_000;
/// An accepted configuration is in force everywhere after this long.
pub const CONFIG_GRACE_US: u64 = 5_000_000;
/// An answer comes at most this long after the deadline.
pub const ANSWER_GRACE_US: u64 = 1_000_000;

/// The promises, as the checker names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// No task of a submission starts twice.
    NoDoubleStart,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// An answer is complete or failed.
    WholeAnswer,
    /// A caller gets its own answer.
    OwnAnswer,
    /// "Not run" is true.
    TrueNotRun,
    /// A leaving target gets no new work.
    LeavingGetsNothing,
    /// A planned stop cuts nothing in flight.
    PlannedStopCutsNothing,
    /// A configuration never reverts.
    ConfigNeverReverts,
    /// A configuration is in force everywhere within seconds.
    ConfigInForce,
    /// Every submission is answered before its deadline and a second.
    AnsweredInTime,
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// Which.
    pub promise: Promise,
    /// How.
    pub text: String,
}

/// Checks a history.
pub fn check(history: &History, starts: &[StartRecord], config: &Config) -> Vec<Broken> {
    let by_task = starts_by_task(starts);
    let by_id = starts_by_id(starts);
    let mut broken = Vec::new();
    for record in history.submissions() {
        check_starts(&record, &by_task, config, &mut broken);
        check_answer(&record, &by_task, &mut broken);
        check_not_run(&record, &by_id, &mut broken);
        check_time(&record, &mut broken);
        if history.only_planned() {
            check_uncut(&record, &mut broken);
        }
    }
    check_leaves(history, starts, &mut broken);
    check_config(history, &mut broken);
    broken
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

fn broke(broken: &mut Vec<Broken>, promise: Promise, text: String) {
    broken.push(Broken { promise, text });
}

fn repeatable(record: &SubmissionRecord, config: &Config) -> bool {
    let service = config.service(&record.planned.service);
    let kind = service.and_then(|service| service.kind(Some(&record.planned.kind)));
    !record.planned.is_job && kind.is_some_and(|kind| kind.repeatable)
}

fn check_starts(
    record: &SubmissionRecord,
    by_task: &Starts<'_>,
    config: &Config,
    broken: &mut Vec<Broken>,
) {
    if repeatable(record, config) {
        return;
    }
    let promise = match record.planned.is_job {
        true => Promise::NoDoubleStart,
        false => Promise::AtMostOnce,
    };
    for index in 0..record.planned.run_ms.len() {
        let task = format!("{}/{index}", record.id);
        let starts = by_task.get(&task).map_or(0, Vec::len);
        if starts > 1 {
            broke(broken, promise, format!("{task} started {starts} times"));
        }
    }
}

fn check_answer(record: &SubmissionRecord, by_task: &Starts<'_>, broken: &mut Vec<Broken>) {
    if !record.complete() {
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
        broke(broken, Promise::WholeAnswer, text);
    }
    if !record.own_results {
        broke(
            broken,
            Promise::OwnAnswer,
            format!("{} got another's answer", record.id),
        );
    }
}

/// After "not run", nothing may have started, unless the caller sent it again.
fn check_not_run(record: &SubmissionRecord, by_id: &Starts<'_>, broken: &mut Vec<Broken>) {
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
        let false_start = starts.iter().find(|start| start.at_us < next_us);
        if let Some(start) = false_start {
            let text = format!("{} was not run, and ran as {}", record.id, start.task);
            broke(broken, Promise::TrueNotRun, text);
            return;
        }
    }
}

fn check_time(record: &SubmissionRecord, broken: &mut Vec<Broken>) {
    let deadline_us = record.sent_us + record.planned.deadline.as_micros() as u64;
    if record.done_us > deadline_us + ANSWER_GRACE_US {
        let late_ms = (record.done_us - deadline_us) / 1_000;
        let text = format!("{} was answered {late_ms} ms after its deadline", record.id);
        broke(broken, Promise::AnsweredInTime, text);
    }
}

fn check_uncut(record: &SubmissionRecord, broken: &mut Vec<Broken>) {
    if record.complete() || record.cancelled || record.last_effect() == Some(Effect::NotRun) {
        return;
    }
    let text = format!("{} ended as {:?}", record.id, record.last_code());
    broke(broken, Promise::PlannedStopCutsNothing, text);
}

fn check_leaves(history: &History, starts: &[StartRecord], broken: &mut Vec<Broken>) {
    for leave in history.leaves() {
        let late = |start: &&StartRecord| {
            start.target == leave.target
                && start.at_us > leave.at_us + LEAVE_GRACE_US
                && start.at_us < leave.until_us
        };
        for start in starts.iter().filter(late) {
            let late_ms = (start.at_us - leave.at_us) / 1_000;
            let text = format!("{} started {} after {late_ms} ms", leave.target, start.task);
            broke(broken, Promise::LeavingGetsNothing, text);
        }
    }
}

fn check_config(history: &History, broken: &mut Vec<Broken>) {
    let mut by_process: HashMap<String, Vec<ConfigSeen>> = HashMap::new();
    for seen in history.seen() {
        by_process
            .entry(seen.process.clone())
            .or_default()
            .push(seen);
    }
    for (process, seen) in &by_process {
        for pair in seen.windows(2) {
            if pair[1].revision < pair[0].revision {
                let text = format!(
                    "{process} went from {} to {}",
                    pair[0].revision, pair[1].revision
                );
                broke(broken, Promise::ConfigNeverReverts, text);
            }
        }
    }
    let mut late = HashSet::new();
    for accepted in history.changes() {
        let stale = history.seen().into_iter().filter(|seen| {
            seen.at_us > accepted.at_us + CONFIG_GRACE_US && seen.revision < accepted.revision
        });
        late.extend(stale.map(|seen| (seen.process, accepted.revision)));
    }
    for (process, revision) in late {
        let text = format!("{process} did not have {revision} in force in time");
        broke(broken, Promise::ConfigInForce, text);
    }
}
