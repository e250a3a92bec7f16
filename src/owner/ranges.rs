//! How an owner gains, recovers, hands over and loses key ranges.
//!
//! After a crash the new owner first waits until no wall clock of the old
//! owner can still admit an id that lies above the horizon, then asks every
//! gate what it started in the range. Each gate that answers takes no start of
//! an older epoch any more. Once all have answered, an id that none of them
//! knows has provably never started. A gate that is gone cannot answer: for
//! ids from before its departure the outcome stays unknown.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use crate::fleet::{Acquisition, Fleet, Holder, Row};
use crate::id::{Epoch, MemberId, RangeId, SubmissionId, TaskId};
use crate::message::{
    Handover, HandoverEntry, HandoverTask, Message, RecoveredTask, StartedTask, Submission,
};
use crate::owner::entry::{Entry, Progress, Step, TaskState};
use crate::owner::{Owner, OwnerAction, OwnerActions, send};
use crate::time::Moment;

/// How long gates get to answer a recovery before it goes on without proof.
const RECOVERY_PATIENCE: Duration = Duration::from_millis(1_000);
/// How often a recovery asks again.
const RECOVERY_REPEAT: Duration = Duration::from_millis(250);

/// A range that this process holds or is gaining.
#[derive(Clone, Debug)]
pub struct Held {
    /// Epoch in the table.
    pub epoch: Epoch,
    phase: Phase,
    horizon_ms: u64,
    proof_floor_ms: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waits until the old owner can admit nothing more.
    Waiting { until_us: u64 },
    /// Asks the gates.
    Recovering {
        missing: HashSet<MemberId>,
        ask_us: u64,
        until_us: u64,
    },
    /// Serves.
    Active,
    /// Serves nothing while it is handed over.
    Frozen,
}

impl Held {
    /// Whether it serves submissions.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// Whether it will serve once its gates have answered.
    pub fn is_gaining(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Recovering { .. })
    }

    /// Whether it is being handed over.
    pub fn is_frozen(&self) -> bool {
        matches!(self.phase, Phase::Frozen)
    }

    /// Whether an id of this time that the table does not hold never started.
    pub fn proves_new(&self, time_ms: u64) -> bool {
        time_ms > self.horizon_ms || time_ms > self.proof_floor_ms
    }

    /// Word for its state in operators' tables.
    pub fn word(&self) -> &'static str {
        match self.phase {
            Phase::Waiting { .. } => "waiting",
            Phase::Recovering { .. } => "recovering",
            Phase::Active => "active",
            Phase::Frozen => "frozen",
        }
    }
}

impl Owner {
    /// Makes the held ranges match the table; `holder` is the own lease.
    pub fn reconcile(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        holder: Option<&Holder>,
    ) -> OwnerActions {
        let mut actions = self.lose_ranges(fleet, holder);
        let Some(holder) = holder else {
            return actions;
        };
        let rows = (0u32..).zip(&fleet.table().rows);
        for (index, row) in rows.filter(|(_, row)| row.owner == *holder) {
            let range = RangeId(index);
            let known = self.ranges.get(&range).map(|held| held.epoch);
            if known != Some(row.epoch) {
                actions.extend(self.gain(now, range, row));
            }
        }
        actions
    }

    /// Drops ranges that the table gives to another process.
    fn lose_ranges(&mut self, fleet: &Fleet, holder: Option<&Holder>) -> OwnerActions {
        let table = fleet.table();
        let me = holder.map_or(&self.me, |holder| &holder.member);
        let lost = |range: &RangeId| table.row(*range).is_some_and(|row| row.owner.member != *me);
        let lost: Vec<RangeId> = self.ranges.keys().copied().filter(lost).collect();
        lost.into_iter()
            .flat_map(|range| self.lose(range))
            .collect()
    }

    fn lose(&mut self, range: RangeId) -> OwnerActions {
        self.ranges.remove(&range);
        let mut actions = vec![OwnerAction::Range {
            range,
            event: "lost",
        }];
        for id in self.ids_in(range) {
            actions.extend(self.abandon(id));
        }
        actions
    }

    /// Forgets a submission that another process answers for now.
    fn abandon(&mut self, id: SubmissionId) -> OwnerActions {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        self.deadlines.remove(&(entry.deadline_us, id));
        for (index, state) in (0u32..).zip(entry.open_tasks()) {
            self.backlog.remove(TaskId {
                submission: id,
                index,
            });
            if let Some(gate) = state.gate() {
                self.placer.ended(gate);
            }
        }
        let waiters = entry.waiters.iter();
        waiters
            .map(|to| {
                send(
                    to,
                    Message::NotOwner {
                        id,
                        untouched: false,
                    },
                )
            })
            .collect()
    }

    fn ids_in(&self, range: RangeId) -> Vec<SubmissionId> {
        let entries = self.entries.iter();
        let in_range = entries.filter(|(_, entry)| entry.range == range);
        in_range.map(|(id, _)| *id).collect()
    }

    fn gain(&mut self, now: Moment, range: RangeId, row: &Row) -> OwnerActions {
        let before = self.ranges.get(&range).map(|held| held.epoch);
        let handover = self.handovers.remove(&range);
        match row.acquisition {
            Acquisition::First => self.activate_at(range, row.epoch, 0, 0),
            Acquisition::Resumed if before.map(Epoch::next) == Some(row.epoch) => {
                self.resume_range(now, range, row.epoch)
            }
            Acquisition::HandedOver => match handover {
                Some(handover) if handover.epoch.next() == row.epoch => {
                    self.take_over_handed(now, range, row.epoch, handover)
                }
                _ => self.take_over(now, range, row),
            },
            _ => self.take_over(now, range, row),
        }
    }

    fn activate_at(
        &mut self,
        range: RangeId,
        epoch: Epoch,
        horizon_ms: u64,
        proof_floor_ms: u64,
    ) -> OwnerActions {
        let held = Held {
            epoch,
            phase: Phase::Active,
            horizon_ms,
            proof_floor_ms,
        };
        self.ranges.insert(range, held);
        self.served.insert(range);
        vec![OwnerAction::Range {
            range,
            event: "active",
        }]
    }

    /// Goes on with a range under its next epoch; gates that saw the new table
    /// first refused what was on its way under the old one.
    fn resume_range(&mut self, now: Moment, range: RangeId, epoch: Epoch) -> OwnerActions {
        if let Some(held) = self.ranges.get_mut(&range) {
            held.epoch = epoch;
        }
        let mut actions = vec![OwnerAction::Range {
            range,
            event: "resumed",
        }];
        for submission in self.ids_in(range) {
            let entry = self.entries.get(&submission);
            let gates = entry.map(Entry::gates).unwrap_or_default();
            let resent = gates.iter().filter_map(|(index, gate)| {
                self.resend(
                    now,
                    gate,
                    TaskId {
                        submission,
                        index: *index,
                    },
                )
            });
            actions.extend(resent);
        }
        actions
    }

    fn take_over(&mut self, now: Moment, range: RangeId, row: &Row) -> OwnerActions {
        let mut actions = Vec::new();
        for id in self.ids_in(range) {
            actions.extend(self.abandon(id));
        }
        let until_us = now.after(self.config.ownership.takeover_wait());
        let held = Held {
            epoch: row.epoch,
            phase: Phase::Waiting { until_us },
            horizon_ms: u64::MAX,
            proof_floor_ms: row.departure_ms,
        };
        self.ranges.insert(range, held);
        actions.push(OwnerAction::Range {
            range,
            event: "taking over",
        });
        actions
    }

    /// Moves every range on that waits or recovers.
    pub(super) fn advance_ranges(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let ranges: Vec<RangeId> = self.ranges.keys().copied().collect();
        let mut actions = Vec::new();
        for range in ranges {
            actions.extend(self.advance_range(now, fleet, range));
        }
        actions
    }

    fn advance_range(&mut self, now: Moment, fleet: &Fleet, range: RangeId) -> OwnerActions {
        let Some(held) = self.ranges.get_mut(&range) else {
            return Vec::new();
        };
        match &mut held.phase {
            Phase::Waiting { until_us } if *until_us <= now.mono_us => {
                // A gate may have gone while this owner waited.
                let row = fleet.table().row(range);
                let departure_ms = row.map_or(u64::MAX, |row| row.departure_ms);
                held.proof_floor_ms = held.proof_floor_ms.max(departure_ms);
                held.phase = Phase::Recovering {
                    missing: fleet.table().gates.iter().cloned().collect(),
                    ask_us: 0,
                    until_us: now.after(RECOVERY_PATIENCE),
                };
                self.ask_gates(now, range)
            }
            Phase::Recovering {
                missing, until_us, ..
            } => {
                let present = |gate: &MemberId| fleet.table().gates.contains(gate);
                let gone = missing.iter().any(|gate| !present(gate));
                if gone || *until_us <= now.mono_us {
                    held.proof_floor_ms = u64::MAX;
                    return self.activate(now, range);
                }
                self.ask_gates(now, range)
            }
            _ => Vec::new(),
        }
    }

    fn ask_gates(&mut self, now: Moment, range: RangeId) -> OwnerActions {
        let Some(held) = self.ranges.get_mut(&range) else {
            return Vec::new();
        };
        let epoch = held.epoch;
        let Phase::Recovering {
            missing, ask_us, ..
        } = &mut held.phase
        else {
            return Vec::new();
        };
        if *ask_us > now.mono_us {
            return Vec::new();
        }
        *ask_us = now.after(RECOVERY_REPEAT);
        let message = Message::Recover { range, epoch };
        missing
            .iter()
            .map(|gate| send(gate, message.clone()))
            .collect()
    }

    fn activate(&mut self, now: Moment, range: RangeId) -> OwnerActions {
        self.served.insert(range);
        if let Some(held) = self.ranges.get_mut(&range) {
            held.phase = Phase::Active;
            held.horizon_ms = now.wall_ms;
        }
        vec![OwnerAction::Range {
            range,
            event: "active",
        }]
    }

    /// A gate lists what it started in a range.
    pub fn recovered(
        &mut self,
        now: Moment,
        from: &MemberId,
        range: RangeId,
        epoch: Epoch,
        tasks: Vec<StartedTask>,
    ) -> OwnerActions {
        let Some(held) = self
            .ranges
            .get_mut(&range)
            .filter(|held| held.epoch == epoch)
        else {
            return Vec::new();
        };
        let Phase::Recovering { missing, .. } = &mut held.phase else {
            return Vec::new();
        };
        let complete = missing.remove(from) && missing.is_empty();
        for started in tasks {
            self.inherit(now, range, from, started);
        }
        match complete {
            true => self.activate(now, range),
            false => Vec::new(),
        }
    }

    fn inherit(&mut self, now: Moment, range: RangeId, gate: &MemberId, started: StartedTask) {
        let id = started.task.submission;
        let expiry = self.keep_until(now, id);
        let entry = self.entries.entry(id).or_insert_with(|| Entry {
            submission: Submission::id_only(id, 0),
            range,
            progress: Progress::Recovered {
                tasks: BTreeMap::new(),
            },
            waiters: Vec::new(),
            calls: Vec::new(),
            deadline_us: 0,
            accepted_ms: now.wall_ms,
            steps: Vec::new(),
        });
        self.expiries.insert((expiry, id));
        let Progress::Recovered { tasks } = &mut entry.progress else {
            return;
        };
        let index = started.task.index;
        let task = RecoveredTask {
            index,
            gate: gate.clone(),
            outcome: started.outcome,
        };
        tasks.insert(index, task);
    }

    /// Stops serving a range and says everything about it to its successor.
    pub fn freeze(&mut self, now: Moment, range: RangeId, to: &MemberId) -> OwnerActions {
        let Some(held) = self.ranges.get_mut(&range) else {
            return Vec::new();
        };
        if !held.is_active() && !held.is_frozen() {
            return Vec::new();
        }
        held.phase = Phase::Frozen;
        let held = held.clone();
        let ids = self.ids_in(range);
        let entries = ids.iter().filter_map(|id| self.entries.get(id));
        let handover = Handover {
            range,
            epoch: held.epoch,
            horizon_ms: held.horizon_ms,
            proof_floor_ms: held.proof_floor_ms,
            entries: entries.map(|entry| handover_entry(now, entry)).collect(),
        };
        vec![send(to, Message::Handover(Box::new(handover)))]
    }

    /// A leaving owner says everything about a range.
    pub fn take_handover(&mut self, from: &MemberId, handover: Handover) -> OwnerActions {
        let (range, epoch) = (handover.range, handover.epoch);
        self.handovers.insert(range, handover);
        vec![send(from, Message::HandoverTaken { range, epoch })]
    }

    fn take_over_handed(
        &mut self,
        now: Moment,
        range: RangeId,
        epoch: Epoch,
        handover: Handover,
    ) -> OwnerActions {
        let (horizon_ms, floor_ms) = (handover.horizon_ms, handover.proof_floor_ms);
        let mut actions = self.activate_at(range, epoch, horizon_ms, floor_ms);
        for entry in handover.entries {
            actions.extend(self.take_entry(now, range, entry));
        }
        actions
    }

    fn take_entry(&mut self, now: Moment, range: RangeId, entry: HandoverEntry) -> OwnerActions {
        let id = entry.submission.id;
        if entry.answer.is_some() || !entry.recovered.is_empty() {
            self.keep(now, range, entry);
            return Vec::new();
        }
        let tasks: Vec<TaskState> = entry
            .tasks
            .iter()
            .map(|task| task_state(now, task))
            .collect();
        let sent: Vec<(MemberId, TaskId)> = (0u32..)
            .zip(&tasks)
            .filter_map(|(index, state)| {
                Some((
                    state.gate()?.clone(),
                    TaskId {
                        submission: id,
                        index,
                    },
                ))
            })
            .collect();
        self.open(now, &entry.waiters, entry.submission, tasks);
        if let Some(kept) = self.entries.get_mut(&id) {
            kept.calls = entry.calls;
            kept.note(Step::Inherited);
        }
        for (gate, _) in &sent {
            self.placer.sent(now, gate);
        }
        let resent = sent
            .iter()
            .filter_map(|(gate, task)| self.resend(now, gate, *task));
        let mut actions: OwnerActions = resent.collect();
        actions.extend(self.settle(now, id));
        actions
    }

    /// Keeps what needs no work: an answer, or tasks that an owner before
    /// started.
    fn keep(&mut self, now: Moment, range: RangeId, entry: HandoverEntry) {
        let id = entry.submission.id;
        let by_index = entry.recovered.into_iter().map(|task| (task.index, task));
        let progress = match entry.answer {
            Some(answer) => Progress::Ended {
                answer,
                next_attempt: entry.next_attempt,
            },
            None => Progress::Recovered {
                tasks: by_index.collect(),
            },
        };
        let kept = Entry {
            submission: entry.submission,
            range,
            progress,
            waiters: Vec::new(),
            calls: entry.calls,
            deadline_us: 0,
            accepted_ms: now.wall_ms,
            steps: vec![Step::Inherited],
        };
        self.entries.insert(id, kept);
        let expiry = self.keep_until(now, id);
        self.expiries.insert((expiry, id));
    }
}

fn handover_entry(now: Moment, entry: &Entry) -> HandoverEntry {
    let mut submission = entry.submission.clone();
    submission.budget_ms = now.left(entry.deadline_us).as_millis() as u64;
    let (next_attempt, recovered) = match &entry.progress {
        Progress::Open { .. } => (entry.next_attempt(), Vec::new()),
        Progress::Ended { next_attempt, .. } => (*next_attempt, Vec::new()),
        Progress::Recovered { tasks } => (0, tasks.values().cloned().collect()),
    };
    HandoverEntry {
        submission,
        answer: entry.answer().cloned(),
        next_attempt,
        calls: entry.calls.clone(),
        tasks: entry.open_tasks().iter().map(handover_task).collect(),
        recovered,
        waiters: entry.waiters.clone(),
    }
}

fn handover_task(state: &TaskState) -> HandoverTask {
    match state {
        TaskState::Waiting { attempt, .. } => HandoverTask::Waiting(*attempt),
        TaskState::Sent { gate, attempt, .. } => HandoverTask::Sent {
            gate: gate.clone(),
            attempt: *attempt,
        },
        TaskState::Ended(outcome) => HandoverTask::Ended(outcome.clone()),
    }
}

fn task_state(now: Moment, task: &HandoverTask) -> TaskState {
    match task {
        HandoverTask::Waiting(attempt) => TaskState::new(*attempt),
        HandoverTask::Sent { gate, attempt } => TaskState::Sent {
            gate: gate.clone(),
            attempt: *attempt,
            at_us: now.mono_us,
            inquired_us: 0,
            avoid: Vec::new(),
        },
        HandoverTask::Ended(outcome) => TaskState::Ended(outcome.clone()),
    }
}
