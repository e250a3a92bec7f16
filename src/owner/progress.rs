//! Handles the reports of gates about tasks, and ends submissions.

use bytes::Bytes;

use crate::code::{Effect, ResultCode};
use crate::fleet::Fleet;
use crate::id::{MemberId, SubmissionId, TaskId};
use crate::message::{Answer, Message, Operation, Refusal, TaskOutcome};
use crate::owner::submission::{self, Progress, Step, TaskState};
use crate::owner::{Owner, OwnerActions, answer_to, send};
use crate::time::{Moment, micros};

impl Owner {
    /// Handles a gate's refusal of an attempt. Unless the epoch was stale, the gate never
    /// starts that attempt.
    pub fn on_refused(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        task: TaskId,
        attempt: u32,
        reason: Refusal,
    ) -> OwnerActions {
        if reason == Refusal::StaleEpoch {
            // The owner of the newer epoch resends the same attempt.
            return Vec::new();
        }
        let Some(attempt) = self.return_to_waiting(from, task, attempt, reason) else {
            return Vec::new();
        };
        self.placer.record_ended(from);
        let delayed =
            !self.try_immediate_retry(reason) || reason == Refusal::NoConnection || attempt > 2;
        self.requeue(now, task, attempt, delayed);
        self.dispatch(now, fleet)
    }

    /// Changes a sent task back to waiting and returns its next attempt number.
    fn return_to_waiting(
        &mut self,
        from: &MemberId,
        task: TaskId,
        refused: u32,
        reason: Refusal,
    ) -> Option<u32> {
        let record = self.submissions.get_mut(&task.submission)?;
        let state = record.open_task_mut(task.index)?;
        let TaskState::Sent {
            gate,
            attempt,
            avoid,
            ..
        } = state
        else {
            return None;
        };
        if gate != from || *attempt != refused {
            return None;
        }
        let next = *attempt + 1;
        let mut avoid = std::mem::take(avoid);
        avoid.push(from.clone());
        *state = TaskState::Waiting {
            attempt: next,
            avoid,
        };
        record.record_step(Step::Refused {
            index: task.index,
            gate: from.clone(),
            reason,
        });
        Some(next)
    }

    /// Returns whether a refused task may be dispatched again without delay. Busy,
    /// leaving and barred refusals don't use the retry budget.
    fn try_immediate_retry(&mut self, reason: Refusal) -> bool {
        let unbudgeted = matches!(reason, Refusal::Busy | Refusal::Leaving | Refusal::Barred);
        unbudgeted || self.retries.withdraw()
    }

    /// Handles a gate's report that it runs or queues a task.
    pub fn on_running(&mut self, now: Moment, from: &MemberId, task: TaskId) {
        let record = self.submissions.get_mut(&task.submission);
        let state = record.and_then(|record| record.open_task_mut(task.index));
        if let Some(TaskState::Sent {
            gate,
            inquired_us,
            last_contact_us,
            ..
        }) = state
            && gate == from
        {
            *inquired_us = 0;
            *last_contact_us = now.mono_us;
        }
    }

    /// Handles the outcome of a task.
    pub fn on_finished(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        task: TaskId,
        outcome: TaskOutcome,
        run_us: u64,
    ) -> OwnerActions {
        let Some(record) = self.submissions.get_mut(&task.submission) else {
            return Vec::new();
        };
        if let TaskOutcome::Done(_) = outcome {
            let submission = &record.submission;
            self.run_times
                .record(&submission.service, &submission.kind, run_us);
        }
        let mut actions = match &mut record.progress {
            Progress::Recovered { tasks } => {
                if let Some(task) = tasks.get_mut(&task.index) {
                    task.outcome = Some(outcome);
                }
                Vec::new()
            }
            Progress::Open { .. } => self.on_task_ended(now, from, task, outcome),
            Progress::Ended { .. } => Vec::new(),
        };
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    fn on_task_ended(
        &mut self,
        now: Moment,
        from: &MemberId,
        task: TaskId,
        outcome: TaskOutcome,
    ) -> OwnerActions {
        if outcome == TaskOutcome::Lost {
            return self.on_task_lost(now, from, task);
        }
        let Some(record) = self.submissions.get_mut(&task.submission) else {
            return Vec::new();
        };
        let Progress::Open { tasks, unfinished } = &mut record.progress else {
            return Vec::new();
        };
        let Some(state) = tasks.get_mut(task.index as usize) else {
            return Vec::new();
        };
        if matches!(state, TaskState::Ended(_)) {
            return Vec::new();
        }
        if state.gate() == Some(from) {
            self.placer.record_ended(from);
        }
        *state = TaskState::Ended(outcome);
        *unfinished -= 1;
        self.backlog.remove(task);
        self.settle(now, task.submission)
    }

    /// Handles a task whose outcome is unknown: retries it if it is repeatable and the
    /// retry budget allows it, else ends it as lost.
    fn on_task_lost(&mut self, now: Moment, from: &MemberId, task: TaskId) -> OwnerActions {
        let repeatable = self.is_repeatable(task.submission);
        let Some(record) = self.submissions.get_mut(&task.submission) else {
            return Vec::new();
        };
        let Some(state) = record.open_task_mut(task.index) else {
            return Vec::new();
        };
        let TaskState::Sent { gate, attempt, .. } = state else {
            return Vec::new();
        };
        if gate != from {
            return Vec::new();
        }
        let next = *attempt + 1;
        self.placer.record_ended(from);
        if repeatable && self.retries.withdraw() {
            let avoid = vec![from.clone()];
            *state = TaskState::Waiting {
                attempt: next,
                avoid,
            };
            record.record_step(Step::Lost {
                index: task.index,
                gate: from.clone(),
            });
            self.requeue(now, task, next, true);
            return Vec::new();
        }
        *state = TaskState::Ended(TaskOutcome::Lost);
        record.record_step(Step::Lost {
            index: task.index,
            gate: from.clone(),
        });
        if let Progress::Open { unfinished, .. } = &mut record.progress {
            *unfinished -= 1;
        }
        self.settle(now, task.submission)
    }

    fn is_repeatable(&self, id: SubmissionId) -> bool {
        let submission = self.submissions.get(&id).map(|record| &record.submission);
        submission.is_some_and(|submission| {
            let kind = self.kind(submission);
            !submission.is_job && kind.is_some_and(|kind| kind.repeatable)
        })
    }

    /// Handles the end of a gate's process: the outcome of its tasks is unknown.
    pub fn on_gate_gone(&mut self, now: Moment, fleet: &Fleet, gone: &MemberId) -> OwnerActions {
        let mut actions = Vec::new();
        for task in self.tasks_at(gone) {
            actions.extend(self.on_task_lost(now, gone, task));
        }
        self.placer.remove_gate(gone);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// Tasks that were sent to `gate` and have not ended.
    pub fn tasks_at(&self, gate: &MemberId) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (_, id) in &self.deadlines {
            let states = self
                .submissions
                .get(id)
                .map_or(&[][..], |record| record.open_tasks());
            let at_gate = (0u32..)
                .zip(states)
                .filter(|(_, state)| state.gate() == Some(gate));
            tasks.extend(at_gate.map(|(index, _)| TaskId {
                submission: *id,
                index,
            }));
        }
        tasks
    }

    /// Resends the starts that a gate may have missed while its link was down.
    pub fn link_up(&mut self, now: Moment, gate: &MemberId) -> OwnerActions {
        let tasks = self.tasks_at(gate);
        tasks
            .into_iter()
            .filter_map(|task| self.resend(now, gate, task))
            .collect()
    }

    pub(super) fn resend(
        &self,
        now: Moment,
        gate: &MemberId,
        task: TaskId,
    ) -> Option<super::OwnerAction> {
        let record = self.submissions.get(&task.submission)?;
        let TaskState::Sent { attempt, .. } = record.open_tasks().get(task.index as usize)? else {
            return None;
        };
        let kind = self.kind(&record.submission)?;
        let expected_us = self.run_times.expected_us(&record.submission.service, kind);
        let start = self.start_message(now, task, *attempt, expected_us)?;
        Some(send(gate, Message::Start(Box::new(start))))
    }

    /// Asks gates about tasks without a recent report. A gate bars an attempt that it
    /// has not started, which can then be retried elsewhere.
    pub(super) fn send_inquiries(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let interval_us = micros(self.inquiry_interval());
        let mut actions = Vec::new();
        let mut unanswered = Vec::new();
        for (_, id) in &self.deadlines {
            let Some(record) = self.submissions.get_mut(id) else {
                continue;
            };
            let (range, submission) = (record.range, record.submission.id);
            let Some(held) = self.ranges.get(&range) else {
                continue;
            };
            let Progress::Open { tasks, .. } = &mut record.progress else {
                continue;
            };
            for (index, state) in (0u32..).zip(tasks) {
                let TaskState::Sent {
                    gate,
                    attempt,
                    last_contact_us,
                    inquired_us,
                    ..
                } = state
                else {
                    continue;
                };
                let task = TaskId { submission, index };
                let gate_missing = !fleet.members().contains_key(gate);
                let is_due = |since: u64| since + interval_us <= now.mono_us;
                if *inquired_us > 0 && is_due(*inquired_us) && gate_missing {
                    unanswered.push((gate.clone(), task));
                } else if is_due((*last_contact_us).max(*inquired_us)) {
                    *inquired_us = now.mono_us;
                    let message = Message::Inquire {
                        task,
                        range,
                        epoch: held.epoch,
                        attempt: *attempt,
                    };
                    actions.push(send(gate, message));
                }
            }
        }
        for (gate, task) in unanswered {
            actions.extend(self.on_task_lost(now, &gate, task));
        }
        actions
    }

    /// Ends a submission if a task failed or all tasks have ended.
    pub(super) fn settle(&mut self, now: Moment, id: SubmissionId) -> OwnerActions {
        let Some(Progress::Open { tasks, unfinished }) =
            self.submissions.get(&id).map(|record| &record.progress)
        else {
            return Vec::new();
        };
        let failure = tasks.iter().find_map(task_failure);
        if let Some((code, text)) = failure {
            let answer = self.failure_answer(id, code, &text);
            return self.end(now, id, answer);
        }
        if *unfinished > 0 {
            return Vec::new();
        }
        let results = tasks.iter().filter_map(task_result).collect();
        self.end(now, id, Answer::complete(results))
    }

    fn failure_answer(&self, id: SubmissionId, code: ResultCode, text: &str) -> Answer {
        let tasks = self
            .submissions
            .get(&id)
            .map_or(&[][..], |record| record.open_tasks());
        Answer::failure(code, submission::effect(tasks), text)
    }

    pub(super) fn expire_overdue(&mut self, now: Moment) -> OwnerActions {
        let mut actions = Vec::new();
        while let Some((deadline_us, id)) = self.deadlines.first().copied() {
            if deadline_us > now.mono_us {
                break;
            }
            let answer = self.failure_answer(id, ResultCode::DeadlinePassed, "the deadline passed");
            actions.extend(self.end(now, id, answer));
            self.deadlines.remove(&(deadline_us, id));
        }
        actions
    }

    /// Records the answer of a submission, sends it to the waiters and stops the
    /// remaining tasks.
    pub(super) fn end(&mut self, now: Moment, id: SubmissionId, answer: Answer) -> OwnerActions {
        let expiry = self.retain_until_ms(now, id);
        let Some(record) = self.submissions.get_mut(&id) else {
            return Vec::new();
        };
        let can_run_again = answer.effect == Effect::NotRun && answer.code != ResultCode::Cancelled;
        let next_attempt = match can_run_again {
            true => record.next_attempt(),
            false => u32::MAX,
        };
        let ended = Progress::Ended {
            answer: answer.clone(),
            next_attempt,
        };
        let gates = record.gates();
        let previous = std::mem::replace(&mut record.progress, ended);
        record.submission.tasks = Vec::new();
        self.deadlines.remove(&(record.deadline_us, id));
        self.expiries.insert((expiry, id));
        let waiters = std::mem::take(&mut record.waiters);
        let mut actions = self.release_tasks(id, &previous, &gates);
        let message = |to: &MemberId| answer_to(to, id, Operation::Submit, answer.clone());
        actions.extend(waiters.iter().map(message));
        actions
    }

    /// Removes waiting tasks from the backlog and stops those at gates.
    fn release_tasks(
        &mut self,
        submission: SubmissionId,
        progress: &Progress,
        gates: &[(u32, MemberId)],
    ) -> OwnerActions {
        if let Progress::Open { tasks, .. } = progress {
            let indexes = (0u32..).zip(tasks).map(|(index, _)| index);
            indexes.for_each(|index| self.backlog.remove(TaskId { submission, index }));
            gates
                .iter()
                .for_each(|(_, gate)| self.placer.record_ended(gate));
        }
        let stop = |index: u32| Message::Stop {
            task: TaskId { submission, index },
        };
        gates
            .iter()
            .map(|(index, gate)| send(gate, stop(*index)))
            .collect()
    }
}

fn task_failure(state: &TaskState) -> Option<(ResultCode, String)> {
    match state {
        TaskState::Ended(TaskOutcome::Failed { status, body }) => {
            let body = String::from_utf8_lossy(body);
            let text = format!("the target answered {status}: {body}");
            Some((ResultCode::TaskFailed, text))
        }
        TaskState::Ended(TaskOutcome::Lost) => {
            let text = "what became of a task is lost".to_string();
            Some((ResultCode::OutcomeUnknown, text))
        }
        TaskState::Ended(TaskOutcome::Stopped) => {
            Some((ResultCode::Cancelled, "a task was stopped".to_string()))
        }
        _ => None,
    }
}

fn task_result(state: &TaskState) -> Option<Bytes> {
    match state {
        TaskState::Ended(TaskOutcome::Done(body)) => Some(body.clone()),
        _ => None,
    }
}
