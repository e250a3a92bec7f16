//! What gates report about tasks, and how submissions end.

use bytes::Bytes;

use crate::code::{Effect, ResultCode};
use crate::fleet::Fleet;
use crate::id::{MemberId, SubmissionId, TaskId};
use crate::message::{Answer, Message, Operation, Refusal, TaskOutcome};
use crate::owner::entry::{self, Progress, Step, TaskState};
use crate::owner::{Owner, OwnerActions, answer_to, send};
use crate::time::{Moment, micros};

impl Owner {
    /// A gate did not start a task and never will.
    pub fn refused(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        task: TaskId,
        attempt: u32,
        reason: Refusal,
    ) -> OwnerActions {
        if reason == Refusal::StaleEpoch {
            // No bar: this process, resumed, or the range's next owner sends
            // the same attempt again under its own epoch.
            return Vec::new();
        }
        let Some(attempt) = self.take_back(from, task, attempt, reason) else {
            return Vec::new();
        };
        self.placer.ended(from);
        let delayed = !self.may_retry(reason) || reason == Refusal::NoConnection || attempt > 2;
        self.requeue(now, task, attempt, delayed);
        self.dispatch(now, fleet)
    }

    /// Returns a sent task to waiting; gives the number of its next attempt.
    fn take_back(
        &mut self,
        from: &MemberId,
        task: TaskId,
        refused: u32,
        reason: Refusal,
    ) -> Option<u32> {
        let entry = self.entries.get_mut(&task.submission)?;
        let state = entry.open_task_mut(task.index)?;
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
        entry.note(Step::Refused {
            index: task.index,
            gate: from.clone(),
            reason,
        });
        Some(next)
    }

    /// Whether a task that did not start may go elsewhere at once; without
    /// budget it waits first. A departure is no fault of the work and costs
    /// nothing; gates bound by themselves how often they are busy.
    fn may_retry(&mut self, reason: Refusal) -> bool {
        let free = matches!(reason, Refusal::Busy | Refusal::Leaving | Refusal::Barred);
        free || self.retries.spend()
    }

    /// A gate runs a task, or has it waiting.
    pub fn running(&mut self, now: Moment, from: &MemberId, task: TaskId) {
        let entry = self.entries.get_mut(&task.submission);
        let state = entry.and_then(|entry| entry.open_task_mut(task.index));
        if let Some(TaskState::Sent {
            gate,
            inquired_us,
            at_us,
            ..
        }) = state
            && gate == from
        {
            *inquired_us = 0;
            *at_us = now.mono_us;
        }
    }

    /// A task ended at a gate.
    pub fn finished(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        task: TaskId,
        outcome: TaskOutcome,
        run_us: u64,
    ) -> OwnerActions {
        let Some(entry) = self.entries.get_mut(&task.submission) else {
            return Vec::new();
        };
        if let TaskOutcome::Done(_) = outcome {
            let submission = &entry.submission;
            self.run_times
                .record(&submission.service, &submission.kind, run_us);
        }
        let mut actions = match &mut entry.progress {
            Progress::Recovered { tasks } => {
                if let Some(task) = tasks.get_mut(&task.index) {
                    task.outcome = Some(outcome);
                }
                Vec::new()
            }
            Progress::Open { .. } => self.task_ended(now, from, task, outcome),
            Progress::Ended { .. } => Vec::new(),
        };
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    fn task_ended(
        &mut self,
        now: Moment,
        from: &MemberId,
        task: TaskId,
        outcome: TaskOutcome,
    ) -> OwnerActions {
        if outcome == TaskOutcome::Lost {
            return self.lost(now, from, task);
        }
        let Some(entry) = self.entries.get_mut(&task.submission) else {
            return Vec::new();
        };
        let Progress::Open { tasks, left } = &mut entry.progress else {
            return Vec::new();
        };
        let Some(state) = tasks.get_mut(task.index as usize) else {
            return Vec::new();
        };
        if matches!(state, TaskState::Ended(_)) {
            return Vec::new();
        }
        if state.gate() == Some(from) {
            self.placer.ended(from);
        }
        *state = TaskState::Ended(outcome);
        *left -= 1;
        self.backlog.remove(task);
        self.settle(now, task.submission)
    }

    /// What became of a task at a gate is lost.
    fn lost(&mut self, now: Moment, from: &MemberId, task: TaskId) -> OwnerActions {
        let repeatable = self.repeatable(task.submission);
        let Some(entry) = self.entries.get_mut(&task.submission) else {
            return Vec::new();
        };
        let Some(state) = entry.open_task_mut(task.index) else {
            return Vec::new();
        };
        let TaskState::Sent { gate, attempt, .. } = state else {
            return Vec::new();
        };
        if gate != from {
            return Vec::new();
        }
        let next = *attempt + 1;
        self.placer.ended(from);
        if repeatable && self.retries.spend() {
            let avoid = vec![from.clone()];
            *state = TaskState::Waiting {
                attempt: next,
                avoid,
            };
            entry.note(Step::Lost {
                index: task.index,
                gate: from.clone(),
            });
            self.requeue(now, task, next, true);
            return Vec::new();
        }
        *state = TaskState::Ended(TaskOutcome::Lost);
        entry.note(Step::Lost {
            index: task.index,
            gate: from.clone(),
        });
        if let Progress::Open { left, .. } = &mut entry.progress {
            *left -= 1;
        }
        self.settle(now, task.submission)
    }

    fn repeatable(&self, id: SubmissionId) -> bool {
        let submission = self.entries.get(&id).map(|entry| &entry.submission);
        submission.is_some_and(|submission| {
            let kind = self.kind(submission);
            !submission.is_job && kind.is_some_and(|kind| kind.repeatable)
        })
    }

    /// A gate's process is gone; what it had is lost.
    pub fn gate_gone(&mut self, now: Moment, fleet: &Fleet, gone: &MemberId) -> OwnerActions {
        let mut actions = Vec::new();
        for task in self.tasks_at(gone) {
            actions.extend(self.lost(now, gone, task));
        }
        self.placer.forget(gone);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// Tasks that `gate` may have.
    pub fn tasks_at(&self, gate: &MemberId) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (_, id) in &self.deadlines {
            let states = self
                .entries
                .get(id)
                .map_or(&[][..], |entry| entry.open_tasks());
            let here = (0u32..)
                .zip(states)
                .filter(|(_, state)| state.gate() == Some(gate));
            tasks.extend(here.map(|(index, _)| TaskId {
                submission: *id,
                index,
            }));
        }
        tasks
    }

    /// Sends again what a gate may have missed while its link was down.
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
        let entry = self.entries.get(&task.submission)?;
        let TaskState::Sent { attempt, .. } = entry.open_tasks().get(task.index as usize)? else {
            return None;
        };
        let kind = self.kind(&entry.submission)?;
        let expected_us = self.run_times.expected_us(&entry.submission.service, kind);
        let start = self.start(now, task, *attempt, expected_us)?;
        Some(send(gate, Message::Start(Box::new(start))))
    }

    /// Asks gates about tasks that take long; one that was never started is
    /// barred there and can go elsewhere.
    pub(super) fn inquire(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let after_us = micros(self.inquiry_after());
        let mut actions = Vec::new();
        let mut silent = Vec::new();
        for (_, id) in &self.deadlines {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            let (range, submission) = (entry.range, entry.submission.id);
            let Some(held) = self.ranges.get(&range) else {
                continue;
            };
            let Progress::Open { tasks, .. } = &mut entry.progress else {
                continue;
            };
            for (index, state) in (0u32..).zip(tasks) {
                let TaskState::Sent {
                    gate,
                    attempt,
                    at_us,
                    inquired_us,
                    ..
                } = state
                else {
                    continue;
                };
                let task = TaskId { submission, index };
                let vanished = !fleet.members().contains_key(gate);
                let waited = |since: u64| since + after_us <= now.mono_us;
                if *inquired_us > 0 && waited(*inquired_us) && vanished {
                    silent.push((gate.clone(), task));
                } else if waited((*at_us).max(*inquired_us)) {
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
        for (gate, task) in silent {
            actions.extend(self.lost(now, &gate, task));
        }
        actions
    }

    /// Ends a submission whose tasks allow it.
    pub(super) fn settle(&mut self, now: Moment, id: SubmissionId) -> OwnerActions {
        let Some(Progress::Open { tasks, left }) = self.entries.get(&id).map(|e| &e.progress)
        else {
            return Vec::new();
        };
        let failure = tasks.iter().find_map(failure);
        if let Some((code, text)) = failure {
            let answer = self.failed(id, code, &text);
            return self.end(now, id, answer);
        }
        if *left > 0 {
            return Vec::new();
        }
        let results = tasks.iter().filter_map(result).collect();
        self.end(now, id, Answer::complete(results))
    }

    fn failed(&self, id: SubmissionId, code: ResultCode, text: &str) -> Answer {
        let tasks = self
            .entries
            .get(&id)
            .map_or(&[][..], |entry| entry.open_tasks());
        Answer::failure(code, entry::effect(tasks), text)
    }

    pub(super) fn end_late(&mut self, now: Moment) -> OwnerActions {
        let mut actions = Vec::new();
        while let Some((deadline_us, id)) = self.deadlines.first().copied() {
            if deadline_us > now.mono_us {
                break;
            }
            let answer = self.failed(id, ResultCode::DeadlinePassed, "the deadline passed");
            actions.extend(self.end(now, id, answer));
            self.deadlines.remove(&(deadline_us, id));
        }
        actions
    }

    /// Gives a submission its answer, tells who waits, and stops the rest.
    pub(super) fn end(&mut self, now: Moment, id: SubmissionId, answer: Answer) -> OwnerActions {
        let expiry = self.keep_until(now, id);
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        let may_run_again = answer.effect == Effect::NotRun && answer.code != ResultCode::Cancelled;
        let next_attempt = match may_run_again {
            true => entry.next_attempt(),
            false => u32::MAX,
        };
        let ended = Progress::Ended {
            answer: answer.clone(),
            next_attempt,
        };
        let gates = entry.gates();
        let before = std::mem::replace(&mut entry.progress, ended);
        entry.submission.tasks = Vec::new();
        self.deadlines.remove(&(entry.deadline_us, id));
        self.expiries.insert((expiry, id));
        let waiters = std::mem::take(&mut entry.waiters);
        let mut actions = self.drop_tasks(id, &before, &gates);
        let message = |to: &MemberId| answer_to(to, id, Operation::Submit, answer.clone());
        actions.extend(waiters.iter().map(message));
        actions
    }

    /// Takes waiting tasks out of the backlog and stops those at gates.
    fn drop_tasks(
        &mut self,
        submission: SubmissionId,
        progress: &Progress,
        gates: &[(u32, MemberId)],
    ) -> OwnerActions {
        if let Progress::Open { tasks, .. } = progress {
            let indexes = (0u32..).zip(tasks).map(|(index, _)| index);
            indexes.for_each(|index| self.backlog.remove(TaskId { submission, index }));
            gates.iter().for_each(|(_, gate)| self.placer.ended(gate));
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

fn failure(state: &TaskState) -> Option<(ResultCode, String)> {
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

fn result(state: &TaskState) -> Option<Bytes> {
    match state {
        TaskState::Ended(TaskOutcome::Done(body)) => Some(body.clone()),
        _ => None,
    }
}
