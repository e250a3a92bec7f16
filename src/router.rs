//! Forwards submissions, cancellations and lookups from an entry to owners.
//!
//! A request goes to the owner of its id's range, and is resent if the range moves or the
//! link breaks; owners deduplicate by id. If no owner answers, the entry reports "not
//! run" only for a fresh id (generated here, or declared a first attempt by its caller)
//! that no owner may have accepted.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::code::{Effect, ResultCode};
use crate::fleet::Fleet;
use crate::id::{Epoch, MemberId, SubmissionId};
use crate::message::{Answer, Message, Operation, Submission};
use crate::time::{Moment, micros};

/// Delay before a request without an owner is forwarded again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time after the deadline within which the owner must answer.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Time without a reachable owner after which a request fails.
const NO_OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An effect that the surrounding process must carry out.
#[derive(Clone, Debug)]
pub enum RouterAction {
    /// Send a message.
    Send {
        /// Recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Answer callers.
    Reply {
        /// Callers at this entry.
        callers: Vec<u64>,
        /// The submission.
        id: SubmissionId,
        /// The answer.
        answer: Answer,
    },
}

#[derive(Debug)]
struct PendingRequest {
    submission: Submission,
    callers: Vec<u64>,
    fresh: bool,
    /// Owner and epoch of the last send; `None` if it must be sent again.
    sent: Option<(MemberId, Epoch)>,
    /// Number of sends to each owner that may have accepted it.
    unresolved_sends: HashMap<MemberId, u32>,
    received_us: u64,
    deadline_us: u64,
    retry_us: u64,
}

type RequestKey = (SubmissionId, Operation);

/// Requests that wait for an owner's answer.
#[derive(Debug, Default)]
pub struct Router {
    pending: BTreeMap<RequestKey, PendingRequest>,
    connected: HashSet<MemberId>,
    store_down: bool,
}

impl Router {
    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forwards a caller's request, or joins an equal one that is pending. `fresh`
    /// means that the id cannot have been sent before.
    pub fn ask(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        ask: Operation,
        caller: Option<u64>,
        submission: Submission,
        fresh: bool,
    ) -> Vec<RouterAction> {
        let key = (submission.id, ask);
        if let Some(pending) = self.pending.get_mut(&key) {
            return pending.join(caller, &submission);
        }
        let deadline_us = now.after(Duration::from_millis(submission.budget_ms));
        let pending = PendingRequest {
            submission,
            callers: caller.into_iter().collect(),
            fresh,
            sent: None,
            unresolved_sends: HashMap::new(),
            received_us: now.mono_us,
            deadline_us,
            retry_us: 0,
        };
        self.pending.insert(key, pending);
        self.forward(now, fleet, key)
    }

    /// Sends a request to the owner of its range, if it is connected.
    fn forward(&mut self, now: Moment, fleet: &Fleet, key: RequestKey) -> Vec<RouterAction> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.retry_us = now.after(RETRY_DELAY);
        let range = key.0.range(fleet.config().ownership.ranges);
        let Some(row) = fleet.table().row(range) else {
            return Vec::new();
        };
        let owner = &row.owner.member;
        if !self.connected.contains(owner) {
            return Vec::new();
        }
        pending.sent = Some((owner.clone(), row.epoch));
        *pending.unresolved_sends.entry(owner.clone()).or_default() += 1;
        let to = owner.clone();
        let message = pending.message(now, key.1);
        vec![RouterAction::Send { to, message }]
    }

    /// Handles an owner's answer.
    pub fn on_answer(
        &mut self,
        id: SubmissionId,
        about: Operation,
        answer: &Answer,
    ) -> Vec<RouterAction> {
        let asks = [Operation::Submit, Operation::Cancel, Operation::Lookup];
        let settled = asks.into_iter().filter(|ask| about.answers(*ask));
        let replies = settled.filter_map(|ask| self.reply((id, ask), answer.clone()));
        replies.collect()
    }

    fn reply(&mut self, key: RequestKey, answer: Answer) -> Option<RouterAction> {
        let pending = self.pending.remove(&key)?;
        Some(RouterAction::Reply {
            callers: pending.callers,
            id: key.0,
            answer,
        })
    }

    /// Handles a member's reply that it does not own the id; `untouched` means that it
    /// did not accept the request.
    pub fn on_not_owner(
        &mut self,
        now: Moment,
        from: &MemberId,
        id: SubmissionId,
        untouched: bool,
    ) {
        for ask in [Operation::Submit, Operation::Cancel, Operation::Lookup] {
            let Some(pending) = self.pending.get_mut(&(id, ask)) else {
                continue;
            };
            // After several sends, the owner may still accept one in flight.
            if untouched && pending.unresolved_sends.get(from) == Some(&1) {
                pending.unresolved_sends.remove(from);
            }
            if pending.is_sent_to(from) {
                pending.sent = None;
                pending.retry_us = now.after(RETRY_DELAY);
            }
        }
    }

    /// Handles a new link to a member.
    pub fn link_up(&mut self, now: Moment, fleet: &Fleet, member: &MemberId) -> Vec<RouterAction> {
        self.connected.insert(member.clone());
        self.forward_unsent(now, fleet)
    }

    /// Handles a broken link; requests sent over it may be lost.
    pub fn link_down(&mut self, member: &MemberId) {
        self.connected.remove(member);
        let sent = self
            .pending
            .values_mut()
            .filter(|pending| pending.is_sent_to(member));
        sent.for_each(|pending| pending.sent = None);
    }

    /// Handles a new table: requests of moved ranges go to the new owner.
    pub fn table_changed(&mut self, now: Moment, fleet: &Fleet) -> Vec<RouterAction> {
        let ranges = fleet.config().ownership.ranges;
        for (key, pending) in &mut self.pending {
            let row = fleet.table().row(key.0.range(ranges));
            let owner = row.map(|row| (row.owner.member.clone(), row.epoch));
            if pending.sent != owner {
                pending.sent = None;
            }
        }
        self.forward_unsent(now, fleet)
    }

    fn forward_unsent(&mut self, now: Moment, fleet: &Fleet) -> Vec<RouterAction> {
        let unsent = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.sent.is_none());
        let keys: Vec<RequestKey> = unsent.map(|(key, _)| *key).collect();
        keys.into_iter()
            .flat_map(|key| self.forward(now, fleet, key))
            .collect()
    }

    /// Sets whether the store is unreachable; while it is, ranges cannot change owner.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
    }

    /// Forwards requests that are due and fails those that cannot be answered.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let due = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_due(now));
        let due: Vec<RequestKey> = due.map(|(key, _)| *key).collect();
        for key in due {
            actions.extend(self.forward(now, fleet, key));
        }
        let ends = self.pending.iter().filter_map(|(key, pending)| {
            let answer = self.timeout_answer(now, pending)?;
            Some((*key, answer))
        });
        let ends: Vec<(RequestKey, Answer)> = ends.collect();
        actions.extend(
            ends.into_iter()
                .filter_map(|(key, answer)| self.reply(key, answer)),
        );
        actions
    }

    fn timeout_answer(&self, now: Moment, pending: &PendingRequest) -> Option<Answer> {
        if now.mono_us >= pending.deadline_us + micros(ANSWER_GRACE) {
            let text = "no answer came before the deadline";
            return Some(pending.failure(ResultCode::DeadlinePassed, text));
        }
        let waited_us = now.mono_us.saturating_sub(pending.received_us);
        let cannot_proceed = pending.sent.is_none()
            && (self.store_down
                || (pending.unresolved_sends.is_empty() && waited_us >= micros(NO_OWNER_TIMEOUT)));
        if !cannot_proceed || waited_us < micros(RETRY_DELAY) {
            return None;
        }
        let text = "no owner serves this id now";
        let code = match pending.effect() {
            Effect::NotRun => ResultCode::NoOwner,
            _ => ResultCode::OutcomeUnknown,
        };
        let retry_after_ms = NO_OWNER_TIMEOUT.as_millis() as u64;
        Some(pending.failure(code, text).retry_after(retry_after_ms))
    }
}

impl PendingRequest {
    fn join(&mut self, caller: Option<u64>, submission: &Submission) -> Vec<RouterAction> {
        if self.submission.digest == submission.digest {
            self.callers.extend(caller);
            return Vec::new();
        }
        let text = "this id belongs to another request";
        vec![RouterAction::Reply {
            callers: caller.into_iter().collect(),
            id: submission.id,
            answer: Answer::not_run(ResultCode::IdReused, text),
        }]
    }

    fn message(&self, now: Moment, ask: Operation) -> Message {
        let id = self.submission.id;
        match ask {
            Operation::Cancel => Message::Cancel { id },
            Operation::Lookup => Message::Lookup { id },
            Operation::Submit => {
                let budget_ms = now.remaining(self.deadline_us).as_millis() as u64;
                let submission = Submission {
                    budget_ms,
                    ..self.submission.clone()
                };
                Message::Submit(Box::new(submission))
            }
        }
    }

    fn is_sent_to(&self, member: &MemberId) -> bool {
        self.sent.as_ref().is_some_and(|(to, _)| to == member)
    }

    fn is_due(&self, now: Moment) -> bool {
        self.sent.is_none() && now.mono_us >= self.retry_us
    }

    fn effect(&self) -> Effect {
        match self.fresh && self.unresolved_sends.is_empty() {
            true => Effect::NotRun,
            false => Effect::Unknown,
        }
    }

    fn failure(&self, code: ResultCode, text: &str) -> Answer {
        Answer::failure(code, self.effect(), text)
    }
}
