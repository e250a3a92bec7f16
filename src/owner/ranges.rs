//! Acquisition, recovery, handover and loss of key ranges.
//!
//! A new owner that has no matching handover, as after a crash, takes the range over. It
//! first waits until every id that the old owner may have accepted lies in the past. It then
//! asks every gate which tasks of the range it queues or has started. A gate that has
//! answered refuses starts of older epochs.
//!
//! When all gates have answered, an unreported id is new if it is later than the departure
//! time in the table. If recovery times out or a gate leaves before it has answered, no
//! unreported id up to the end of recovery is proven new.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use crate::fleet::{Acquisition, Fleet, Holder, Row};
use crate::id::{Epoch, MemberId, RangeId, SubmissionId, TaskId};
use crate::message::{
    Handover, HandoverEntry, HandoverTask, Message, RecoveredTask, StartedTask, Submission,
};
use crate::owner::submission::{Progress, Step, SubmissionRecord, TaskState};
use crate::owner::{Owner, OwnerAction, OwnerActions, send};
use crate::time::Moment;

/// After this time, recovery ends without proof that unreported ids never started.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which gates that have not answered are asked again.
const RECOVERY_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A range that this process holds or is acquiring.
#[derive(Clone, Debug)]
pub struct HeldRange {
    /// Epoch of the range in the table.
    pub epoch: Epoch,
    phase: Phase,
    /// Wall-clock time; no previous owner accepted an id without a record and a later
    /// timestamp. `u64::MAX` during a takeover.
    horizon_ms: u64,
    /// Wall-clock time; no gate queues or has started an id without a record and a
    /// later timestamp. Holds only once a takeover has ended; `u64::MAX` if not all gates
    /// answered.
    proof_floor_ms: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waits until all ids that the old owner may have accepted lie in the past.
    Waiting {
        /// Monotonic time at which recovery starts.
        until_us: u64,
    },
    /// Asks the gates which tasks they queue or have started.
    Recovering {
        /// Gates that have not answered.
        unanswered: HashSet<MemberId>,
        /// Monotonic time of the next requests; 0 for at once.
        next_request_us: u64,
        /// Monotonic time at which recovery ends without the missing answers.
        until_us: u64,
    },
    /// Serves submissions.
    Active,
    /// Serves no submissions while it is handed over.
    Frozen,
}

impl HeldRange {
    /// Whether it serves submissions.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// Whether it becomes active once recovery ends.
    pub fn is_acquiring(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Recovering { .. })
    }

    /// Whether it is being handed over.
    pub fn is_frozen(&self) -> bool {
        matches!(self.phase, Phase::Frozen)
    }

    /// Whether an active range's id with this timestamp and without a record has certainly
    /// never started. Either bound suffices: an id that no previous owner accepted, or that
    /// no gate queues or has started.
    pub fn is_provably_new(&self, time_ms: u64) -> bool {
        time_ms > self.horizon_ms || time_ms > self.proof_floor_ms
    }

    /// State as shown in operator tables.
    pub fn state_name(&self) -> &'static str {
        match self.phase {
            Phase::Waiting { .. } => "waiting",
            Phase::Recovering { .. } => "recovering",
            Phase::Active => "active",
            Phase::Frozen => "frozen",
        }
    }
}

impl Owner {
    /// Acquires and drops ranges to match the table. `holder` is this process with its
    /// session, if its lease is registered.
    pub fn reconcile(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        holder: Option<&Holder>,
    ) -> OwnerActions {
        let mut actions = self.drop_lost_ranges(fleet, holder);
        let Some(holder) = holder else {
            return actions;
        };
        let rows = (0u32..).zip(&fleet.table().rows);
        // Ranges of an older session are acquired only after the table names the new one.
        for (index, row) in rows.filter(|(_, row)| row.owner == *holder) {
            let range = RangeId(index);
            let held_epoch = self.ranges.get(&range).map(|held| held.epoch);
            if held_epoch != Some(row.epoch) {
                actions.extend(self.acquire(now, range, row));
            }
        }
        actions
    }

    /// Drops ranges that the table assigns to another process. A range of an older session of
    /// this process is kept, as it may be resumed.
    fn drop_lost_ranges(&mut self, fleet: &Fleet, holder: Option<&Holder>) -> OwnerActions {
        let table = fleet.table();
        let member = holder.map_or(&self.id, |holder| &holder.member);
        let lost = |range: &RangeId| {
            table
                .row(*range)
                .is_some_and(|row| row.owner.member != *member)
        };
        let lost: Vec<RangeId> = self.ranges.keys().copied().filter(lost).collect();
        lost.into_iter()
            .flat_map(|range| self.drop_range(range))
            .collect()
    }

    fn drop_range(&mut self, range: RangeId) -> OwnerActions {
        self.ranges.remove(&range);
        let mut actions = vec![OwnerAction::Range {
            range,
            event: "lost",
        }];
        for id in self.submissions_in(range) {
            actions.extend(self.drop_submission(id));
        }
        actions
    }

    /// Removes a submission whose range now belongs to another process.
    fn drop_submission(&mut self, id: SubmissionId) -> OwnerActions {
        let Some(record) = self.submissions.remove(&id) else {
            return Vec::new();
        };
        self.deadlines.remove(&(record.deadline_us, id));
        for (index, state) in (0u32..).zip(record.open_tasks()) {
            self.backlog.remove(TaskId {
                submission: id,
                index,
            });
            if let Some(gate) = state.gate() {
                self.placer.record_ended(gate);
            }
        }
        let waiters = record.waiters.iter();
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

    fn submissions_in(&self, range: RangeId) -> Vec<SubmissionId> {
        let records = self.submissions.iter();
        let in_range = records.filter(|(_, record)| record.range == range);
        in_range.map(|(id, _)| *id).collect()
    }

    fn acquire(&mut self, now: Moment, range: RangeId, row: &Row) -> OwnerActions {
        let previous_epoch = self.ranges.get(&range).map(|held| held.epoch);
        let handover = self.received_handovers.remove(&range);
        match row.acquisition {
            Acquisition::First => self.insert_active(range, row.epoch, 0, 0),
            // Without the state of the preceding epoch, a resumed range is taken over.
            Acquisition::Resumed if previous_epoch.map(Epoch::next) == Some(row.epoch) => {
                self.resume_range(now, range, row.epoch)
            }
            Acquisition::HandedOver => match handover {
                Some(handover) if handover.epoch.next() == row.epoch => {
                    self.apply_handover(now, range, row.epoch, handover)
                }
                // The handover is missing or of another epoch.
                _ => self.take_over(now, range, row),
            },
            _ => self.take_over(now, range, row),
        }
    }

    fn insert_active(
        &mut self,
        range: RangeId,
        epoch: Epoch,
        horizon_ms: u64,
        proof_floor_ms: u64,
    ) -> OwnerActions {
        let held = HeldRange {
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

    /// Continues a range under its next epoch and resends its starts, as gates that
    /// already have the new table refuse starts of the old epoch. The phase is unchanged.
    fn resume_range(&mut self, now: Moment, range: RangeId, epoch: Epoch) -> OwnerActions {
        if let Some(held) = self.ranges.get_mut(&range) {
            held.epoch = epoch;
        }
        let mut actions = vec![OwnerAction::Range {
            range,
            event: "resumed",
        }];
        for submission in self.submissions_in(range) {
            let record = self.submissions.get(&submission);
            let gates = record.map(SubmissionRecord::gates).unwrap_or_default();
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

    /// Drops the range's submissions and starts the wait before recovery.
    fn take_over(&mut self, now: Moment, range: RangeId, row: &Row) -> OwnerActions {
        let mut actions = Vec::new();
        for id in self.submissions_in(range) {
            actions.extend(self.drop_submission(id));
        }
        let until_us = now.after(self.config.ownership.takeover_wait());
        let held = HeldRange {
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

    /// Advances every range that waits or recovers.
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
                // A gate may have left during the wait.
                let row = fleet.table().row(range);
                let departure_ms = row.map_or(u64::MAX, |row| row.departure_ms);
                held.proof_floor_ms = held.proof_floor_ms.max(departure_ms);
                held.phase = Phase::Recovering {
                    unanswered: fleet.table().gates.iter().cloned().collect(),
                    next_request_us: 0,
                    until_us: now.after(RECOVERY_TIMEOUT),
                };
                self.send_recovery_requests(now, range)
            }
            Phase::Recovering {
                unanswered,
                until_us,
                ..
            } => {
                let present = |gate: &MemberId| fleet.table().gates.contains(gate);
                let gone = unanswered.iter().any(|gate| !present(gate));
                if gone || *until_us <= now.mono_us {
                    // Without all answers, no id is proven new.
                    held.proof_floor_ms = u64::MAX;
                    return self.finish_recovery(now, range);
                }
                self.send_recovery_requests(now, range)
            }
            _ => Vec::new(),
        }
    }

    fn send_recovery_requests(&mut self, now: Moment, range: RangeId) -> OwnerActions {
        let Some(held) = self.ranges.get_mut(&range) else {
            return Vec::new();
        };
        let epoch = held.epoch;
        let Phase::Recovering {
            unanswered,
            next_request_us,
            ..
        } = &mut held.phase
        else {
            return Vec::new();
        };
        if *next_request_us > now.mono_us {
            return Vec::new();
        }
        *next_request_us = now.after(RECOVERY_RETRY_INTERVAL);
        let message = Message::Recover { range, epoch };
        unanswered
            .iter()
            .map(|gate| send(gate, message.clone()))
            .collect()
    }

    fn finish_recovery(&mut self, now: Moment, range: RangeId) -> OwnerActions {
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

    /// Handles a gate's list of the tasks that it queues or has started in a range.
    pub fn on_recovered(
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
        let Phase::Recovering { unanswered, .. } = &mut held.phase else {
            return Vec::new();
        };
        // A repeated answer does not end recovery.
        let complete = unanswered.remove(from) && unanswered.is_empty();
        for started in tasks {
            self.add_recovered_task(now, range, from, started);
        }
        match complete {
            true => self.finish_recovery(now, range),
            false => Vec::new(),
        }
    }

    fn add_recovered_task(
        &mut self,
        now: Moment,
        range: RangeId,
        gate: &MemberId,
        started: StartedTask,
    ) {
        let id = started.task.submission;
        let expiry = self.retain_until_ms(now, id);
        let record = self
            .submissions
            .entry(id)
            .or_insert_with(|| SubmissionRecord {
                // No time budget: the deadline is not known.
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
        let Progress::Recovered { tasks } = &mut record.progress else {
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

    /// Stops serving a range and sends its state to the successor. A frozen range is sent
    /// again.
    pub fn freeze(&mut self, now: Moment, range: RangeId, to: &MemberId) -> OwnerActions {
        let Some(held) = self.ranges.get_mut(&range) else {
            return Vec::new();
        };
        if !held.is_active() && !held.is_frozen() {
            return Vec::new();
        }
        held.phase = Phase::Frozen;
        let held = held.clone();
        let ids = self.submissions_in(range);
        let records = ids.iter().filter_map(|id| self.submissions.get(id));
        let handover = Handover {
            range,
            epoch: held.epoch,
            horizon_ms: held.horizon_ms,
            proof_floor_ms: held.proof_floor_ms,
            entries: records.map(|record| handover_entry(now, record)).collect(),
        };
        vec![send(to, Message::Handover(Box::new(handover)))]
    }

    /// Stores the state of a range that another owner hands over.
    pub fn on_handover(&mut self, from: &MemberId, handover: Handover) -> OwnerActions {
        let (range, epoch) = (handover.range, handover.epoch);
        self.received_handovers.insert(range, handover);
        vec![send(from, Message::HandoverTaken { range, epoch })]
    }

    fn apply_handover(
        &mut self,
        now: Moment,
        range: RangeId,
        epoch: Epoch,
        handover: Handover,
    ) -> OwnerActions {
        let (horizon_ms, floor_ms) = (handover.horizon_ms, handover.proof_floor_ms);
        let mut actions = self.insert_active(range, epoch, horizon_ms, floor_ms);
        for inherited in handover.entries {
            actions.extend(self.restore_submission(now, range, inherited));
        }
        actions
    }

    fn restore_submission(
        &mut self,
        now: Moment,
        range: RangeId,
        inherited: HandoverEntry,
    ) -> OwnerActions {
        let id = inherited.submission.id;
        if inherited.answer.is_some() || !inherited.recovered.is_empty() {
            self.restore_ended_or_recovered(now, range, inherited);
            return Vec::new();
        }
        let tasks: Vec<TaskState> = inherited
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
        self.open(now, &inherited.waiters, inherited.submission, tasks);
        if let Some(record) = self.submissions.get_mut(&id) {
            record.calls = inherited.calls;
            record.record_step(Step::Inherited);
        }
        for (gate, _) in &sent {
            self.placer.record_sent(now, gate);
        }
        let resent = sent
            .iter()
            .filter_map(|(gate, task)| self.resend(now, gate, *task));
        let mut actions: OwnerActions = resent.collect();
        actions.extend(self.settle(now, id));
        actions
    }

    /// Restores a submission that is not open: it has an answer, or it is recovered.
    fn restore_ended_or_recovered(
        &mut self,
        now: Moment,
        range: RangeId,
        inherited: HandoverEntry,
    ) {
        let id = inherited.submission.id;
        let by_index = inherited
            .recovered
            .into_iter()
            .map(|task| (task.index, task));
        let progress = match inherited.answer {
            Some(answer) => Progress::Ended {
                answer,
                next_attempt: inherited.next_attempt,
            },
            None => Progress::Recovered {
                tasks: by_index.collect(),
            },
        };
        let record = SubmissionRecord {
            submission: inherited.submission,
            range,
            progress,
            waiters: Vec::new(),
            calls: inherited.calls,
            deadline_us: 0,
            accepted_ms: now.wall_ms,
            steps: vec![Step::Inherited],
        };
        self.submissions.insert(id, record);
        let expiry = self.retain_until_ms(now, id);
        self.expiries.insert((expiry, id));
    }
}

fn handover_entry(now: Moment, record: &SubmissionRecord) -> HandoverEntry {
    let mut submission = record.submission.clone();
    submission.budget_ms = now.remaining(record.deadline_us).as_millis() as u64;
    let (next_attempt, recovered) = match &record.progress {
        Progress::Open { .. } => (record.next_attempt(), Vec::new()),
        Progress::Ended { next_attempt, .. } => (*next_attempt, Vec::new()),
        Progress::Recovered { tasks } => (0, tasks.values().cloned().collect()),
    };
    HandoverEntry {
        submission,
        answer: record.answer().cloned(),
        next_attempt,
        calls: record.calls.clone(),
        tasks: record.open_tasks().iter().map(handover_task).collect(),
        recovered,
        waiters: record.waiters.clone(),
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
            last_contact_us: now.mono_us,
            inquired_us: 0,
            avoid: Vec::new(),
        },
        HandoverTask::Ended(outcome) => TaskState::Ended(outcome.clone()),
    }
}
