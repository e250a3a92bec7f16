//! Taking submissions in, joining those already known, and refusing.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::code::{Effect, ResultCode};
use crate::config::Kind;
use crate::fleet::Fleet;
use crate::id::{MemberId, RangeId, SubmissionId, TaskId};
use crate::message::{Answer, Message, Operation, RecoveredTask, Submission, TaskOutcome};
use crate::owner::entry::{Entry, Progress, Step, TaskState};
use crate::owner::ranges::Held;
use crate::owner::{Owner, OwnerAction, OwnerActions, answer_to, send};
use crate::placement::Want;
use crate::time::Moment;

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER_MS: u64 = 50;

/// How long a refusal at the door is remembered.
const REFUSAL_KEPT_MS: u64 = 30_000;

/// A submission that waits for its range.
#[derive(Clone, Debug)]
pub(super) struct Parked {
    from: MemberId,
    at_us: u64,
    submission: Submission,
}

/// Whether an id that the table does not hold may have run before.
enum Novelty {
    /// It never started.
    New,
    /// It may have started under an owner before.
    Unknowable,
    /// It cannot be judged, for this reason.
    Refused(ResultCode, Effect, &'static str),
}

impl Owner {
    /// An entry brings a submission.
    pub fn submit(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        if self.gains(now, id) {
            let parked = Parked {
                from: from.clone(),
                at_us: now.mono_us,
                submission,
            };
            let range = self.range_of(id);
            self.parked.entry(range).or_default().push(parked);
            return Vec::new();
        }
        if !self.serves(now, id) {
            return vec![self.not_owner(from, id)];
        }
        match self.entries.get(&id).map(|entry| &entry.progress) {
            Some(Progress::Open { .. }) => self.join(from, &submission),
            Some(Progress::Ended { .. }) => self.join_or_reopen(now, fleet, from, submission),
            Some(Progress::Recovered { .. }) => self.resume(now, fleet, from, submission),
            None => self.consider(now, fleet, from, submission),
        }
    }

    /// Whether an id's range is on its way to this owner.
    fn gains(&self, now: Moment, id: SubmissionId) -> bool {
        let held = self.ranges.get(&self.range_of(id));
        self.is_leased(now) && held.is_some_and(Held::is_gaining)
    }

    fn is_leased(&self, now: Moment) -> bool {
        now.mono_us < self.lease_until_us && !self.clock_off
    }

    /// Takes in what came before its range was active.
    pub(super) fn submit_parked(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let ranges = &self.ranges;
        let gaining = |range: &RangeId| ranges.get(range).is_some_and(Held::is_gaining);
        let (wait, ready): (HashMap<_, _>, HashMap<_, _>) =
            self.parked.drain().partition(|(range, _)| gaining(range));
        self.parked = wait;
        let mut actions = Vec::new();
        for parked in ready.into_values().flatten() {
            let waited_ms = now.mono_us.saturating_sub(parked.at_us) / 1_000;
            let mut submission = parked.submission;
            submission.budget_ms = submission.budget_ms.saturating_sub(waited_ms);
            actions.extend(self.submit(now, fleet, &parked.from, submission));
        }
        actions
    }

    /// Says that this owner does not serve an id now. It has done nothing with
    /// it if it never served the range, or still has the range's whole table.
    fn not_owner(&self, from: &MemberId, id: SubmissionId) -> OwnerAction {
        let range = self.range_of(id);
        let whole = self.ranges.contains_key(&range) && !self.entries.contains_key(&id);
        let untouched = whole || !self.served.contains(&range);
        send(from, Message::NotOwner { id, untouched })
    }

    fn serves(&self, now: Moment, id: SubmissionId) -> bool {
        let held = self.ranges.get(&self.range_of(id));
        self.is_leased(now) && held.is_some_and(Held::is_active)
    }

    fn join(&mut self, from: &MemberId, submission: &Submission) -> OwnerActions {
        let id = submission.id;
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        if entry.submission.digest != submission.digest {
            let text = "this id belongs to another request";
            let answer = Answer::not_run(ResultCode::IdReused, text);
            return vec![answer_to(from, id, Operation::Submit, answer)];
        }
        match entry.answer().cloned() {
            Some(answer) => vec![answer_to(from, id, Operation::Submit, answer)],
            None => {
                entry.wait(from);
                entry.calls.push(submission.call);
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
        let Some(entry) = self.entries.get(&submission.id) else {
            return Vec::new();
        };
        let (call, before) = (submission.call, entry.calls.clone());
        let (Progress::Ended { next_attempt, .. }, true) =
            (&entry.progress, entry.may_reopen(call))
        else {
            return self.join(from, &submission);
        };
        let attempt = *next_attempt;
        let id = submission.id;
        let actions = self.accept(now, fleet, from, submission, attempt);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.calls.extend(before);
        }
        actions
    }

    fn consider(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        match self.novelty(now, id) {
            Novelty::New => self.accept(now, fleet, from, submission, 0),
            Novelty::Unknowable => {
                let text = "an owner that is gone may have run it";
                let answer = Answer::failure(ResultCode::OutcomeUnknown, Effect::Unknown, text);
                vec![answer_to(from, id, Operation::Submit, answer)]
            }
            Novelty::Refused(code, effect, text) => {
                let answer = Answer::failure(code, effect, text);
                vec![answer_to(from, id, Operation::Submit, answer)]
            }
        }
    }

    fn novelty(&self, now: Moment, id: SubmissionId) -> Novelty {
        let Some(held) = self.ranges.get(&self.range_of(id)) else {
            return Novelty::Unknowable;
        };
        let ownership = &self.config.ownership;
        let time = id.time_ms();
        if time > now.wall_ms + ownership.skew_ms {
            let text = "id: its time is ahead of the fleet's clocks";
            return Novelty::Refused(ResultCode::ClockAhead, Effect::NotRun, text);
        }
        if time + ownership.retention_ms < now.wall_ms {
            let text = "id: older than kept answers";
            return Novelty::Refused(ResultCode::IdTooOld, Effect::Unknown, text);
        }
        if held.proves_new(time) {
            Novelty::New
        } else {
            Novelty::Unknowable
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
        if !self.make_room(now, &submission, &mut actions) {
            let answer = self.overloaded(&submission);
            actions.extend(self.refuse(now, from, submission, attempt, answer));
            return actions;
        }
        let tasks = vec![TaskState::new(attempt); submission.tasks.len()];
        self.open(now, std::slice::from_ref(from), submission, tasks);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// Refuses at the door, and remembers it for a while: a late copy of this
    /// try must not run after its caller was told that it did not.
    fn refuse(
        &mut self,
        now: Moment,
        from: &MemberId,
        submission: Submission,
        next_attempt: u32,
        answer: Answer,
    ) -> OwnerActions {
        let id = submission.id;
        let entry = Entry {
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
        self.entries.insert(id, entry);
        self.expiries.insert((now.wall_ms + REFUSAL_KEPT_MS, id));
        vec![answer_to(from, id, Operation::Submit, answer)]
    }

    /// Makes an entry and queues its tasks that wait.
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
        let left = tasks.len() - tasks.iter().filter(ended).count();
        let waiting = |task: &TaskState| matches!(task, TaskState::Waiting { .. });
        let indexes = (0u32..).zip(&tasks).filter(|(_, task)| waiting(task));
        for (index, _) in indexes {
            let task = TaskId {
                submission: id,
                index,
            };
            self.backlog
                .push(&self.config, &submission, deadline_us, task);
            self.retries.earn(&self.config.policy);
        }
        let range = self.range_of(id);
        let call = submission.call;
        let entry = Entry {
            submission,
            range,
            progress: Progress::Open { tasks, left },
            waiters: waiters.to_vec(),
            calls: vec![call],
            deadline_us,
            accepted_ms: now.wall_ms,
            steps: Vec::new(),
        };
        self.deadlines.insert((deadline_us, id));
        self.entries.insert(id, entry);
    }

    fn refusal(&self, fleet: &Fleet, submission: &Submission) -> Option<Answer> {
        let Some(kind) = self.kind(submission) else {
            let text = "kind: the service has no such kind";
            return Some(Answer::not_run(ResultCode::NotFound, text));
        };
        let want = Want {
            service: &submission.service,
            accelerators: kind.accelerators,
            urgent: true,
            avoid: &[],
        };
        if !self.placer.could_run(fleet, &want) {
            let text = "no target of the service could ever run this";
            return Some(Answer::not_run(ResultCode::CannotRun, text));
        }
        if self.over_quota(submission) {
            let text = "the team's part of the queue is full";
            let answer = Answer::not_run(ResultCode::QuotaExceeded, text);
            return Some(answer.retry_after(self.backlog_ms(fleet, submission)));
        }
        self.too_late(fleet, submission, kind)
    }

    fn too_late(&self, fleet: &Fleet, submission: &Submission, kind: &Kind) -> Option<Answer> {
        let wait_ms = self.backlog_ms(fleet, submission);
        let run_ms = self.run_times.expected_us(&submission.service, kind) / 1_000;
        if self.backlog.is_empty() || wait_ms + run_ms <= submission.budget_ms {
            return None;
        }
        let text = format!("about {wait_ms} ms of work wait before it");
        let answer = Answer::not_run(ResultCode::DeadlineTooShort, &text);
        Some(answer.retry_after(wait_ms.max(LEAST_RETRY_AFTER_MS)))
    }

    /// Time that the tasks waiting here before `submission` will take; other
    /// owners have as much waiting, so this owner gets its part of the slots.
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

    fn over_quota(&self, submission: &Submission) -> bool {
        let limit = self.config.policy.owner_queue;
        let Some(team) = submission.team.as_deref() else {
            return false;
        };
        let shares: u32 = self.config.teams.iter().map(|team| team.share).sum();
        let share = self.config.team(team).map_or(1, |team| team.share);
        let part = limit * share as usize / shares.max(share) as usize;
        self.backlog.len() > limit / 2 && self.backlog.of_team(team) > part
    }

    /// Makes room by refusing less urgent submissions of which nothing ran.
    fn make_room(
        &mut self,
        now: Moment,
        submission: &Submission,
        actions: &mut Vec<OwnerAction>,
    ) -> bool {
        let limit = self.config.policy.owner_queue;
        let needed = submission.tasks.len();
        while self.backlog.len() + needed > limit {
            let victims = self.backlog.less_urgent_than(submission.priority);
            let victim = victims.into_iter().find(|id| self.nothing_sent(*id));
            let Some(victim) = victim else {
                return false;
            };
            let answer = self.overloaded(submission);
            actions.extend(self.end(now, victim, answer));
        }
        true
    }

    fn nothing_sent(&self, id: SubmissionId) -> bool {
        let entry = self.entries.get(&id);
        let waits = |task: &TaskState| matches!(task, TaskState::Waiting { .. });
        entry.is_some_and(|entry| entry.open_tasks().iter().all(waits))
    }

    fn overloaded(&self, submission: &Submission) -> Answer {
        let text = "more urgent work fills the queue";
        let mean_ms = self.kind(submission).map_or(0, |kind| {
            self.run_times.expected_us(&submission.service, kind) / 1_000
        });
        let answer = Answer::not_run(ResultCode::Overloaded, text);
        answer.retry_after(mean_ms.max(LEAST_RETRY_AFTER_MS))
    }

    pub(super) fn kind(&self, submission: &Submission) -> Option<&Kind> {
        let service = self.config.service(&submission.service)?;
        service.kind(Some(&submission.kind))
    }

    /// A caller comes back for a submission that an owner before started.
    fn resume(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        from: &MemberId,
        submission: Submission,
    ) -> OwnerActions {
        let id = submission.id;
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let Progress::Recovered { tasks: known } = entry.progress else {
            return Vec::new();
        };
        let rest_is_new = matches!(self.novelty(now, id), Novelty::New);
        let tasks = recovered_tasks(now, submission.tasks.len(), &known, rest_is_new);
        for gate in tasks.iter().filter_map(TaskState::gate) {
            self.placer.sent(now, gate);
        }
        self.open(now, std::slice::from_ref(from), submission, tasks);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.note(Step::Inherited);
        }
        let mut actions = self.settle(now, id);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    /// An entry asks what is known of a submission.
    pub fn lookup(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        if !self.serves(now, id) {
            return vec![self.not_owner(from, id)];
        }
        let answer = match self.entries.get(&id) {
            Some(entry) => match entry.answer() {
                Some(answer) => answer.clone(),
                None => accepted(entry),
            },
            None => Answer::failure(ResultCode::NotFound, Effect::Unknown, "no such submission"),
        };
        vec![answer_to(from, id, Operation::Lookup, answer)]
    }

    /// An entry cancels a submission; saying it again changes nothing.
    pub fn cancel(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        if !self.serves(now, id) {
            return vec![self.not_owner(from, id)];
        }
        let ended = self.entries.get(&id).and_then(Entry::answer).cloned();
        if let Some(answer) = ended {
            return vec![answer_to(from, id, Operation::Cancel, answer)];
        }
        match self.entries.get_mut(&id) {
            Some(entry) => {
                entry.wait(from);
                let effect = entry.effect();
                let answer = Answer::failure(ResultCode::Cancelled, effect, "cancelled");
                self.end(now, id, answer)
            }
            None => self.cancel_unseen(now, from, id),
        }
    }

    /// Bars an id that may still be on its way.
    fn cancel_unseen(&mut self, now: Moment, from: &MemberId, id: SubmissionId) -> OwnerActions {
        let effect = match self.novelty(now, id) {
            Novelty::New => Effect::NotRun,
            _ => Effect::Unknown,
        };
        let answer = Answer::failure(ResultCode::Cancelled, effect, "cancelled");
        let submission = Submission::id_only(id, 0);
        self.open(now, std::slice::from_ref(from), submission, Vec::new());
        self.end(now, id, answer)
    }
}

fn accepted(entry: &Entry) -> Answer {
    let tasks = entry.open_tasks();
    let ended = tasks
        .iter()
        .filter(|task| matches!(task, TaskState::Ended(_)));
    let text = format!("{} of {} tasks ended", ended.count(), tasks.len());
    Answer::failure(ResultCode::Accepted, entry.effect(), &text)
}

fn recovered_tasks(
    now: Moment,
    count: usize,
    known: &BTreeMap<u32, RecoveredTask>,
    rest_is_new: bool,
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
            at_us: now.mono_us,
            inquired_us: 0,
            avoid: Vec::new(),
        },
        None if rest_is_new => TaskState::new(0),
        None => TaskState::Ended(TaskOutcome::Lost),
    };
    (0..count as u32).map(state).collect()
}
