//! Admission of submissions: accepts new ones, joins repeated ones and refuses the
//! rest. Also handles lookups and cancellations.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::code::{Effect, ResultCode};
use crate::config::Kind;
use crate::fleet::Fleet;
use crate::id::{MemberId, RangeId, SubmissionId, TaskId};
use crate::message::{Answer, Message, Operation, RecoveredTask, Submission, TaskOutcome};
use crate::owner::ranges::HeldRange;
use crate::owner::submission::{Progress, Step, SubmissionRecord, TaskState};
use crate::owner::{Owner, OwnerAction, OwnerActions, answer_to, send};
use crate::placement::PlacementRequest;
use crate::time::Moment;

/// Shortest retry delay that a refusal suggests.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// How long a refused submission is retained.
const REFUSAL_RETENTION_MS: u64 = 30_000;

/// A submission that waits until its range is active.
#[derive(Clone, Debug)]
pub(super) struct DeferredSubmission {
    /// Entry that sent it.
    from: MemberId,
    /// Monotonic time of receipt.
    received_us: u64,
    submission: Submission,
}

/// Result of the check of an unknown id.
enum IdCheck {
    /// It has never started.
    New,
    /// It may have started under a previous owner.
    MayHaveStarted,
    /// Its timestamp is outside the accepted window.
    Rejected(ResultCode, Effect, &'static str),
}

impl Owner {
    /// Handles a submission from an entry.
    pub fn submit(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        if self.is_acquiring(now, id) {
            let deferred = DeferredSubmission {
                from: from.clone(),
                received_us: now.mono_us,
                submission,
            };
            let range = self.range_of(id);
            self.deferred.entry(range).or_default().push(deferred);
            return Vec::new();
        }
        if !self.is_serving(now, id) {
            return vec![self.not_owner(from, id)];
        }
        match self.submissions.get(&id).map(|record| &record.progress) {
            Some(Progress::Open { .. }) => self.join(from, &submission),
            Some(Progress::Ended { .. }) => self.join_or_reopen(now, fleet, from, submission),
            Some(Progress::Recovered { .. }) => self.reopen_recovered(now, fleet, from, submission),
            None => self.admit_unknown(now, fleet, from, submission),
        }
    }

    /// Whether the range of `id` is being acquired.
    fn is_acquiring(&self, now: Moment, id: SubmissionId) -> bool {
        let held = self.ranges.get(&self.range_of(id));
        self.is_leased(now) && held.is_some_and(HeldRange::is_acquiring)
    }

    fn is_leased(&self, now: Moment) -> bool {
        now.mono_us < self.lease_until_us && !self.clock_skewed
    }

    /// Submits what was deferred for ranges that are no longer being acquired.
    pub(super) fn submit_deferred(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let ranges = &self.ranges;
        let acquiring = |range: &RangeId| ranges.get(range).is_some_and(HeldRange::is_acquiring);
        let (wait, ready): (HashMap<_, _>, HashMap<_, _>) = self
            .deferred
            .drain()
            .partition(|(range, _)| acquiring(range));
        self.deferred = wait;
        let mut actions = Vec::new();
        for deferred in ready.into_values().flatten() {
            let waited_ms = now.mono_us.saturating_sub(deferred.received_us) / 1_000;
            let mut submission = deferred.submission;
            submission.budget_ms = submission.budget_ms.saturating_sub(waited_ms);
            actions.extend(self.submit(now, fleet, &deferred.from, submission));
        }
        actions
    }

    /// Builds the reply that this owner does not serve `id`. The id is untouched, that
    /// is, never accepted here, if its range was never served or is held without a
    /// record of the id.
    fn not_owner(&self, from: &MemberId, id: SubmissionId) -> OwnerAction {
        let range = self.range_of(id);
        let is_unrecorded = self.ranges.contains_key(&range) && !self.submissions.contains_key(&id);
        let untouched = is_unrecorded || !self.served.contains(&range);
        send(from, Message::NotOwner { id, untouched })
    }

    fn is_serving(&self, now: Moment, id: SubmissionId) -> bool {
        let held = self.ranges.get(&self.range_of(id));
        self.is_leased(now) && held.is_some_and(HeldRange::is_active)
    }

    fn join(&mut self, from: &MemberId, submission: &Submission) -> OwnerActions {
        let id = submission.id;
        let Some(record) = self.submissions.get_mut(&id) else {
            return Vec::new();
        };
        if record.submission.digest != submission.digest {
            let text = "this id belongs to another request";
            let answer = Answer::not_run(ResultCode::IdReused, text);
            return vec![answer_to(from, id, Operation::Submit, answer)];
        }
        match record.answer().cloned() {
            Some(answer) => vec![answer_to(from, id, Operation::Submit, answer)],
            None => {
                record.add_waiter(from);
                record.calls.push(submission.call);
                Vec::new()
            }
        }
    }

    fn join_or_reopen(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let Some(record) = self.submissions.get(&submission.id) else {
            return Vec::new();
        };
        let (call, previous_calls) = (submission.call, record.calls.clone());
        let (Progress::Ended { next_attempt, .. }, true) =
            (&record.progress, record.can_reopen(call))
        else {
            return self.join(from, &submission);
        };
        let attempt = *next_attempt;
        let id = submission.id;
        let actions = self.accept(now, fleet, from, submission, attempt);
        if let Some(record) = self.submissions.get_mut(&id) {
            record.calls.extend(previous_calls);
        }
        actions
    }

    fn admit_unknown(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        match self.check_id(now, id) {
            IdCheck::New => self.accept(now, fleet, from, submission, 0),
            IdCheck::MayHaveStarted => {
                let text = "an owner that is gone may have run it";
                let answer = Answer::failure(ResultCode::OutcomeUnknown, Effect::Unknown, text);
                vec![answer_to(from, id, Operation::Submit, answer)]
            }
            IdCheck::Rejected(code, effect, text) => {
                let answer = Answer::failure(code, effect, text);
                vec![answer_to(from, id, Operation::Submit, answer)]
            }
        }
    }

    fn check_id(&self, now: Moment, id: SubmissionId) -> IdCheck {
        let Some(held) = self.ranges.get(&self.range_of(id)) else {
            return IdCheck::MayHaveStarted;
        };
        let ownership = &self.config.ownership;
        let time = id.time_ms();
        if time > now.wall_ms + ownership.skew_ms {
            let text = "id: its time is ahead of the fleet's clocks";
            return IdCheck::Rejected(ResultCode::ClockAhead, Effect::NotRun, text);
        }
        if time + ownership.retention_ms < now.wall_ms {
            let text = "id: older than kept answers";
            return IdCheck::Rejected(ResultCode::IdTooOld, Effect::Unknown, text);
        }
        if held.is_provably_new(time) {
            IdCheck::New
        } else {
            IdCheck::MayHaveStarted
        }
    }

    fn accept(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
        attempt: u32,
    ) -> OwnerActions {
        if let Some(answer) = self.refusal(fleet, &submission) {
            return self.refuse(now, from, submission, attempt, answer);
        }
        let mut actions = Vec::new();
        if !self.evict_less_urgent(now, &submission, &mut actions) {
            let answer = self.overloaded_answer(&submission);
            actions.extend(self.refuse(now, from, submission, attempt, answer));
            return actions;
        }
        let tasks = vec![TaskState::new(attempt); submission.tasks.len()];
        self.open(now, std::slice::from_ref(from), submission, tasks);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// Refuses a submission and retains the refusal, so that a delayed duplicate does
    /// not run after its caller received "not run".
    fn refuse(
        &mut self,
        now: Moment,
        from: &MemberId,
        submission: Submission,
        next_attempt: u32,
        answer: Answer,
    ) -> OwnerActions {
        let id = submission.id;
        let record = SubmissionRecord {
            range: self.range_of(id),
            progress: Progress::Ended {
                answer: answer.clone(),
                next_attempt,
            },
            waiters: Vec::new(),
            calls: vec![submission.call],
            deadline_us: 0,
            accepted_ms: now.wall_ms,
            steps: Vec::new(),
            submission: Submission {
                tasks: Vec::new(),
                ..submission
            },
        };
        self.submissions.insert(id, record);
        self.expiries
            .insert((now.wall_ms + REFUSAL_RETENTION_MS, id));
        vec![answer_to(from, id, Operation::Submit, answer)]
    }

    /// Creates an open record and queues its waiting tasks.
    pub(super) fn open(
        &mut self,
        now: Moment,
        waiters: &[MemberId],
        submission: Submission,
        tasks: Vec<TaskState>,
    ) {
        let id = submission.id;
        let deadline_us = now.after(Duration::from_millis(submission.budget_ms));
        let ended = |task: &&TaskState| matches!(task, TaskState::Ended(_));
        let unfinished = tasks.len() - tasks.iter().filter(ended).count();
        let waiting = |task: &TaskState| matches!(task, TaskState::Waiting { .. });
        let indexes = (0u32..).zip(&tasks).filter(|(_, task)| waiting(task));
        for (index, _) in indexes {
            let task = TaskId {
                submission: id,
                index,
            };
            self.backlog
                .push(&self.config, &submission, deadline_us, task);
            self.retries.deposit(&self.config.policy);
        }
        let range = self.range_of(id);
        let call = submission.call;
        let record = SubmissionRecord {
            submission,
            range,
            progress: Progress::Open { tasks, unfinished },
            waiters: waiters.to_vec(),
            calls: vec![call],
            deadline_us,
            accepted_ms: now.wall_ms,
            steps: Vec::new(),
        };
        self.deadlines.insert((deadline_us, id));
        self.submissions.insert(id, record);
    }

    fn refusal(&self, fleet: &Fleet, submission: &Submission) -> Option<Answer> {
        let Some(kind) = self.kind(submission) else {
            let text = "kind: the service has no such kind";
            return Some(Answer::not_run(ResultCode::NotFound, text));
        };
        let request = PlacementRequest {
            service: &submission.service,
            accelerators: kind.accelerators,
            urgent: true,
            avoid: &[],
        };
        if !self.placer.can_ever_run(fleet, &request) {
            let text = "no target of the service could ever run this";
            return Some(Answer::not_run(ResultCode::CannotRun, text));
        }
        if self.is_over_quota(submission) {
            let text = "the team's part of the queue is full";
            let answer = Answer::not_run(ResultCode::QuotaExceeded, text);
            return Some(answer.retry_after(self.backlog_ms(fleet, submission)));
        }
        self.deadline_refusal(fleet, submission, kind)
    }

    fn deadline_refusal(
        &self,
        fleet: &Fleet,
        submission: &Submission,
        kind: &Kind,
    ) -> Option<Answer> {
        let wait_ms = self.backlog_ms(fleet, submission);
        let run_ms = self.run_times.expected_us(&submission.service, kind) / 1_000;
        if self.backlog.is_empty() || wait_ms + run_ms <= submission.budget_ms {
            return None;
        }
        let text = format!("about {wait_ms} ms of work wait before it");
        let answer = Answer::not_run(ResultCode::DeadlineTooShort, &text);
        Some(answer.retry_after(wait_ms.max(MIN_RETRY_AFTER_MS)))
    }

    /// Estimated time until the tasks queued ahead of `submission` have run. Assumes
    /// that all owners have equal backlogs and share the slots equally.
    fn backlog_ms(&self, fleet: &Fleet, submission: &Submission) -> u64 {
        let slots: u32 = fleet
            .gates(&submission.service)
            .map(|gate| gate.slots)
            .sum();
        let owners = fleet.table().gates.len().max(1) as u64;
        let ahead = self.backlog.ahead_of(submission.priority) as u64;
        let mean_us = self.kind(submission).map_or(0, |kind| {
            self.run_times.expected_us(&submission.service, kind)
        });
        ahead * owners * mean_us / u64::from(slots.max(1)) / 1_000
    }

    /// Whether the team exceeds its share of the queue; enforced only while the queue is
    /// more than half full.
    fn is_over_quota(&self, submission: &Submission) -> bool {
        let limit = self.config.policy.owner_queue;
        let Some(team) = submission.team.as_deref() else {
            return false;
        };
        let total_shares: u32 = self.config.teams.iter().map(|team| team.share).sum();
        let share = self.config.team(team).map_or(1, |team| team.share);
        let team_limit = limit * share as usize / total_shares.max(share) as usize;
        self.backlog.len() > limit / 2 && self.backlog.team_len(team) > team_limit
    }

    /// Frees queue space by refusing less urgent submissions of which no task was sent.
    /// Returns whether there is enough space.
    fn evict_less_urgent(
        &mut self,
        now: Moment,
        submission: &Submission,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let limit = self.config.policy.owner_queue;
        let needed = submission.tasks.len();
        while self.backlog.len() + needed > limit {
            let victims = self.backlog.less_urgent_than(submission.priority);
            let victim = victims.into_iter().find(|id| self.is_unsent(*id));
            let Some(victim) = victim else {
                return false;
            };
            let answer = self.overloaded_answer(submission);
            actions.extend(self.end(now, victim, answer));
        }
        true
    }

    fn is_unsent(&self, id: SubmissionId) -> bool {
        let record = self.submissions.get(&id);
        let waits = |task: &TaskState| matches!(task, TaskState::Waiting { .. });
        record.is_some_and(|record| record.open_tasks().iter().all(waits))
    }

    fn overloaded_answer(&self, submission: &Submission) -> Answer {
        let text = "more urgent work fills the queue";
        let mean_ms = self.kind(submission).map_or(0, |kind| {
            self.run_times.expected_us(&submission.service, kind) / 1_000
        });
        let answer = Answer::not_run(ResultCode::Overloaded, text);
        answer.retry_after(mean_ms.max(MIN_RETRY_AFTER_MS))
    }

    pub(super) fn kind(&self, submission: &Submission) -> Option<&Kind> {
        let service = self.config.service(&submission.service)?;
        service.kind(Some(&submission.kind))
    }

    /// Reopens a recovered submission that its caller sends again.
    fn reopen_recovered(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        let Some(record) = self.submissions.remove(&id) else {
            return Vec::new();
        };
        let Progress::Recovered { tasks: known } = record.progress else {
            return Vec::new();
        };
        let others_are_new = matches!(self.check_id(now, id), IdCheck::New);
        let tasks = recovered_tasks(now, submission.tasks.len(), &known, others_are_new);
        for gate in tasks.iter().filter_map(TaskState::gate) {
            self.placer.record_sent(now, gate);
        }
        self.open(now, std::slice::from_ref(from), submission, tasks);
        if let Some(record) = self.submissions.get_mut(&id) {
            record.record_step(Step::Inherited);
        }
        let mut actions = self.settle(now, id);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// Answers a lookup of a submission.
    pub fn lookup(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        if !self.is_serving(now, id) {
            return vec![self.not_owner(from, id)];
        }
        let answer = match self.submissions.get(&id) {
            Some(record) => match record.answer() {
                Some(answer) => answer.clone(),
                None => accepted_answer(record),
            },
            None => Answer::failure(ResultCode::NotFound, Effect::Unknown, "no such submission"),
        };
        vec![answer_to(from, id, Operation::Lookup, answer)]
    }

    /// Cancels a submission; idempotent.
    pub fn cancel(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        if !self.is_serving(now, id) {
            return vec![self.not_owner(from, id)];
        }
        let ended = self
            .submissions
            .get(&id)
            .and_then(SubmissionRecord::answer)
            .cloned();
        if let Some(answer) = ended {
            return vec![answer_to(from, id, Operation::Cancel, answer)];
        }
        match self.submissions.get_mut(&id) {
            Some(record) => {
                record.add_waiter(from);
                let effect = record.effect();
                let answer = Answer::failure(ResultCode::Cancelled, effect, "cancelled");
                self.end(now, id, answer)
            }
            None => self.cancel_unknown(now, from, id),
        }
    }

    /// Records a cancellation for an unknown id, so that a submission that arrives
    /// later does not run.
    fn cancel_unknown(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        let effect = match self.check_id(now, id) {
            IdCheck::New => Effect::NotRun,
            _ => Effect::Unknown,
        };
        let answer = Answer::failure(ResultCode::Cancelled, effect, "cancelled");
        // Without a time budget: the record is ended at once.
        let submission = Submission::id_only(id, 0);
        self.open(now, std::slice::from_ref(from), submission, Vec::new());
        self.end(now, id, answer)
    }
}

fn accepted_answer(record: &SubmissionRecord) -> Answer {
    let tasks = record.open_tasks();
    let ended = tasks
        .iter()
        .filter(|task| matches!(task, TaskState::Ended(_)));
    let text = format!("{} of {} tasks ended", ended.count(), tasks.len());
    Answer::failure(ResultCode::Accepted, record.effect(), &text)
}

/// States of a recovered submission's tasks. Tasks that no gate reported are waiting if
/// they are provably new, else lost.
fn recovered_tasks(
    now: Moment,
    count: usize,
    known: &BTreeMap<u32, RecoveredTask>,
    others_are_new: bool,
) -> Vec<TaskState> {
    let state = |index: u32| match known.get(&index) {
        Some(RecoveredTask {
            outcome: Some(outcome),
            ..
        }) => TaskState::Ended(outcome.clone()),
        Some(RecoveredTask {
            gate,
            outcome: None,
            ..
        }) => TaskState::Sent {
            gate: gate.clone(),
            attempt: 0,
            last_contact_us: now.mono_us,
            inquired_us: 0,
            avoid: Vec::new(),
        },
        None if others_are_new => TaskState::new(0),
        None => TaskState::Ended(TaskOutcome::Lost),
    };
    (0..count as u32).map(state).collect()
}
