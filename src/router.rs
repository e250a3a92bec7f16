//! What an entry knows of the submissions that it forwards.
//!
//! A submission goes to the owner of its range, and again to the next owner if
//! the range moves or the link breaks: the owner takes an id once, however
//! often it comes. What an entry may say when no owner answers depends on
//! what it has sent: only an id that is fresh (minted here, or declared a first
//! attempt by its caller) and that no owner may have taken was provably not
//! run. An entry that has no hope of an answer says so at once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::code::{Effect, ResultCode};
use crate::fleet::Fleet;
use crate::id::{Epoch, MemberId, SubmissionId};
use crate::message::{Answer, Message, Operation, Submission};
use crate::time::{Moment, micros};

/// Delay before an owner that did not take an id is asked again.
const RETRY: Duration = Duration::from_millis(40);
/// Time after its deadline by which the owner must have answered.
const GRACE: Duration = Duration::from_millis(250);
/// Time that a range may be without an owner before callers are told.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// What a router asks of the process around it.
#[derive(Clone, Debug)]
pub enum RouterAction {
    /// Send a message.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// Give callers their answer.
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
struct Pending {
    submission: Submission,
    callers: Vec<u64>,
    fresh: bool,
    sent: Option<(MemberId, Epoch)>,
    /// How often it went to each owner that may have taken it.
    open_with: HashMap<MemberId, u32>,
    since_us: u64,
    deadline_us: u64,
    retry_us: u64,
}

type Key = (SubmissionId, Operation);

/// The submissions that wait for an owner's answer.
#[derive(Debug, Default)]
pub struct Router {
    pending: BTreeMap<Key, Pending>,
    connected: HashSet<MemberId>,
    store_down: bool,
}

impl Router {
    /// Number of questions without an answer.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether every question has its answer.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// A caller asks something about a submission. `fresh` says that nobody
    /// can have sent this id before.
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
        let pending = Pending {
            submission,
            callers: caller.into_iter().collect(),
            fresh,
            sent: None,
            open_with: HashMap::new(),
            since_us: now.mono_us,
            deadline_us,
            retry_us: 0,
        };
        self.pending.insert(key, pending);
        self.forward(now, fleet, key)
    }

    /// Sends one question to the owner of its range, if there is one.
    fn forward(&mut self, now: Moment, fleet: &Fleet, key: Key) -> Vec<RouterAction> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.retry_us = now.after(RETRY);
        let range = key.0.range(fleet.config().ownership.ranges);
        let Some(row) = fleet.table().row(range) else {
            return Vec::new();
        };
        let owner = &row.owner.member;
        if !self.connected.contains(owner) {
            return Vec::new();
        }
        pending.sent = Some((owner.clone(), row.epoch));
        *pending.open_with.entry(owner.clone()).or_default() += 1;
        let to = owner.clone();
        let message = pending.message(now, key.1);
        vec![RouterAction::Send { to, message }]
    }

    /// An owner answered.
    pub fn answered(
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

    fn reply(&mut self, key: Key, answer: Answer) -> Option<RouterAction> {
        let pending = self.pending.remove(&key)?;
        Some(RouterAction::Reply {
            callers: pending.callers,
            id: key.0,
            answer,
        })
    }

    /// A member that was thought to own an id does not; `untouched` says that
    /// it did nothing with this message.
    pub fn not_owner(&mut self, now: Moment, from: &MemberId, id: SubmissionId, untouched: bool) {
        for ask in [Operation::Submit, Operation::Cancel, Operation::Lookup] {
            let Some(pending) = self.pending.get_mut(&(id, ask)) else {
                continue;
            };
            if untouched && pending.open_with.get(from) == Some(&1) {
                pending.open_with.remove(from);
            }
            if pending.sent_to(from) {
                pending.sent = None;
                pending.retry_us = now.after(RETRY);
            }
        }
    }

    /// A link to a member came up.
    pub fn link_up(&mut self, now: Moment, fleet: &Fleet, member: &MemberId) -> Vec<RouterAction> {
        self.connected.insert(member.clone());
        self.forward_unsent(now, fleet)
    }

    /// The link to a member broke; what it was sent may be lost.
    pub fn link_down(&mut self, member: &MemberId) {
        self.connected.remove(member);
        let sent = self.pending.values_mut().filter(|one| one.sent_to(member));
        sent.for_each(|pending| pending.sent = None);
    }

    /// The table changed: what went to an owner before goes to the new one.
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
        let keys: Vec<Key> = unsent.map(|(key, _)| *key).collect();
        keys.into_iter()
            .flat_map(|key| self.forward(now, fleet, key))
            .collect()
    }

    /// Whether the store answers this entry; while it does not, no range can
    /// get a new owner.
    pub fn store_down(&mut self, down: bool) {
        self.store_down = down;
    }

    /// Time has passed: ask again, and give up what has no hope.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let due = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_due(now));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in due {
            actions.extend(self.forward(now, fleet, key));
        }
        let ends = self.pending.iter().filter_map(|(key, pending)| {
            let answer = self.given_up(now, pending)?;
            Some((*key, answer))
        });
        let ends: Vec<(Key, Answer)> = ends.collect();
        actions.extend(
            ends.into_iter()
                .filter_map(|(key, answer)| self.reply(key, answer)),
        );
        actions
    }

    fn given_up(&self, now: Moment, pending: &Pending) -> Option<Answer> {
        if now.mono_us >= pending.deadline_us + micros(GRACE) {
            let text = "no answer came before the deadline";
            return Some(pending.failure(ResultCode::DeadlinePassed, text));
        }
        let waited_us = now.mono_us.saturating_sub(pending.since_us);
        let hopeless = pending.sent.is_none()
            && (self.store_down || (pending.open_with.is_empty() && waited_us >= micros(PATIENCE)));
        if !hopeless || waited_us < micros(RETRY) {
            return None;
        }
        let text = "no owner serves this id now";
        let code = match pending.effect() {
            Effect::NotRun => ResultCode::NoOwner,
            _ => ResultCode::OutcomeUnknown,
        };
        let retry_after_ms = PATIENCE.as_millis() as u64;
        Some(pending.failure(code, text).retry_after(retry_after_ms))
    }
}

impl Pending {
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
                let budget_ms = now.left(self.deadline_us).as_millis() as u64;
                let submission = Submission {
                    budget_ms,
                    ..self.submission.clone()
                };
                Message::Submit(Box::new(submission))
            }
        }
    }

    fn sent_to(&self, member: &MemberId) -> bool {
        self.sent.as_ref().is_some_and(|(to, _)| to == member)
    }

    fn is_due(&self, now: Moment) -> bool {
        self.sent.is_none() && now.mono_us >= self.retry_us
    }

    fn effect(&self) -> Effect {
        match self.fresh && self.open_with.is_empty() {
            true => Effect::NotRun,
            false => Effect::Unknown,
        }
    }

    fn failure(&self, code: ResultCode, text: &str) -> Answer {
        Answer::failure(code, self.effect(), text)
    }
}
