//! The I/O-free state machine of an agent: its gate, owner and ownership.
//!
//! Its inputs are messages, fleet updates, run results and time; its outputs are the
//! actions that the surrounding process must carry out.

use std::time::Duration;

use crate::clocks::PeerClocks;
use crate::fleet::{Fleet, FleetChanges, MemberRecord, Table};
use crate::gate::{Gate, GateAction, GateSettings, RunResult};
use crate::id::{MemberId, RangeId, TaskId};
use crate::load::LoadSample;
use crate::message::Message;
use crate::owner::{Owner, OwnerAction};
use crate::ownership::{Ownership, OwnershipAction, StoreOp};
use crate::store::{StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, micros};

/// Minimum duration of a stop, so that the member can refuse messages in flight.
const MIN_STOP_DURATION: Duration = Duration::from_millis(1_500);

/// An effect that the surrounding process must carry out.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// Recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Run a task on the target.
    Run {
        /// The task.
        task: TaskId,
        /// Request body for the target.
        payload: bytes::Bytes,
        /// Time left until its deadline, in milliseconds.
        budget_ms: u64,
    },
    /// Stop a running task.
    StopRun {
        /// The task.
        task: TaskId,
    },
    /// Call the store.
    Store {
        /// Kind of the call.
        op: StoreOp,
        /// The request.
        request: StoreRequest,
    },
    /// Apply the current table of the store.
    Table(Table),
    /// Log a change of a range's state.
    Range {
        /// The range.
        range: RangeId,
        /// Name of the change.
        event: &'static str,
    },
    /// The member has left the fleet; the process may exit.
    Left {
        /// Whether the stop timed out.
        timed_out: bool,
    },
}

#[derive(Debug)]
struct Stopping {
    since_us: u64,
    until_us: u64,
}

/// State of an agent.
#[derive(Debug)]
pub struct Member {
    /// The gate of its target.
    pub gate: Gate,
    /// The owner of its ranges.
    pub owner: Owner,
    /// Its lease and table updates.
    pub ownership: Ownership,
    clocks: PeerClocks,
    id: MemberId,
    service: String,
    stopping: Option<Stopping>,
    actions: Vec<MemberAction>,
}

impl Member {
    /// Creates the member that `record` describes.
    pub fn new(record: MemberRecord, fleet: &Fleet, seed: u64) -> Member {
        let gate = GateSettings {
            member: record.id.clone(),
            service: record.service.clone(),
            slots: record.slots,
            failure_domain: record.failure_domain.clone(),
        };
        let config = fleet.config().clone();
        let id = record.id.clone();
        Member {
            gate: Gate::new(gate, &config),
            owner: Owner::new(id.clone(), &record.failure_domain, config, seed),
            clocks: PeerClocks::default(),
            id,
            service: record.service.clone(),
            ownership: Ownership::new(record),
            stopping: None,
            actions: Vec::new(),
        }
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether it is leaving.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Handles a message.
    pub fn on_message(&mut self, now: Moment, fleet: &Fleet, from: &MemberId, message: Message) {
        match message {
            Message::Start(start) => {
                let actions = self.gate.start(now, from, *start);
                self.push_gate_actions(actions);
            }
            Message::Inquire {
                task,
                range,
                epoch,
                attempt,
            } => {
                let actions = self.gate.inquire(now, from, task, range, epoch, attempt);
                self.push_gate_actions(actions);
            }
            Message::Stop { task } => {
                let actions = self.gate.stop(task);
                self.push_gate_actions(actions);
            }
            Message::Recover { range, epoch } => {
                let actions = self.gate.recover(from, range, epoch);
                self.push_gate_actions(actions);
            }
            // The next tick writes all confirmed handovers in one table.
            Message::HandoverTaken { range, epoch } => {
                self.ownership.on_handover_taken(from, range, epoch);
            }
            message => self.on_owner_message(now, fleet, from, message),
        }
    }

    fn on_owner_message(&mut self, now: Moment, fleet: &Fleet, from: &MemberId, message: Message) {
        let owner = &mut self.owner;
        let actions = match message {
            Message::Submit(submission) => owner.submit(now, fleet, from, *submission),
            Message::Cancel { id } => owner.cancel(now, from, id),
            Message::Lookup { id } => owner.lookup(now, from, id),
            Message::Refused {
                task,
                attempt,
                reason,
            } => owner.on_refused(now, fleet, from, task, attempt, reason),
            Message::Running { task } => {
                owner.on_running(now, from, task);
                Vec::new()
            }
            Message::Finished {
                task,
                outcome,
                run_us,
            } => owner.on_finished(now, fleet, from, task, outcome, run_us),
            Message::Recovered {
                range,
                epoch,
                tasks,
            } => owner.on_recovered(now, from, range, epoch, tasks),
            Message::Handover(handover) => owner.on_handover(from, *handover),
            _ => Vec::new(),
        };
        self.push_owner_actions(actions);
    }

    /// Compares clocks with a frame sent at `wall_ms` on the sender's clock; while the
    /// local clock is skewed, no new ids are admitted.
    pub fn observe_clock(&mut self, now: Moment, fleet: &Fleet, from: &MemberId, wall_ms: u64) {
        if wall_ms == 0 {
            return;
        }
        self.clocks.record(now, from, wall_ms);
        let skewed = self.clocks.is_skewed(fleet.config().ownership.skew_ms);
        self.owner.set_clock_skewed(skewed);
    }

    /// Merges load samples from a peer.
    pub fn on_load_samples(&mut self, now: Moment, fleet: &Fleet, samples: &[LoadSample]) {
        let actions = self.owner.on_load_samples(now, fleet, samples);
        self.push_owner_actions(actions);
    }

    /// Handles a new link to a member.
    pub fn link_up(&mut self, now: Moment, member: &MemberId) {
        let actions = self.owner.link_up(now, member);
        self.push_owner_actions(actions);
    }

    /// Handles the end of a member's process.
    pub fn member_ended(&mut self, now: Moment, fleet: &Fleet, member: &MemberId) {
        self.clocks.remove(member);
        let actions = self.owner.on_gate_gone(now, fleet, member);
        self.push_owner_actions(actions);
    }

    /// Handles the result of a run on the target.
    pub fn run_ended(&mut self, now: Moment, task: TaskId, result: RunResult) {
        let actions = self.gate.run_ended(now, task, result);
        self.push_gate_actions(actions);
    }

    /// Handles the reply to a store call.
    pub fn on_store(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        op: StoreOp,
        reply: Result<StoreReply, StoreError>,
    ) {
        let actions = self.ownership.on_store(now, fleet, op, reply);
        self.push_ownership_actions(now, actions);
        self.reconcile(now, fleet);
    }

    /// Applies a fleet update.
    pub fn on_news(&mut self, now: Moment, fleet: &Fleet, news: FleetChanges) {
        if news.config {
            self.owner.configure(fleet.config().clone());
        }
        if news.config || news.table {
            self.configure_gate(fleet);
        }
        if news.table || news.members {
            self.reconcile(now, fleet);
        }
        self.tick_ownership(now, fleet);
    }

    fn configure_gate(&mut self, fleet: &Fleet) {
        let slots = fleet.gates(&self.service).map(|gate| gate.slots).sum();
        self.gate.configure(fleet.config(), slots);
        let rows = (0u32..).zip(&fleet.table().rows);
        rows.for_each(|(index, row)| self.gate.raise_min_epoch(RangeId(index), row.epoch));
    }

    fn reconcile(&mut self, now: Moment, fleet: &Fleet) {
        let holder = self.ownership.holder();
        let actions = self.owner.reconcile(now, fleet, holder.as_ref());
        self.push_owner_actions(actions);
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) {
        let actions = self.gate.tick(now);
        self.push_gate_actions(actions);
        let actions = self.owner.tick(now, fleet);
        self.push_owner_actions(actions);
        self.reconcile(now, fleet);
        self.tick_ownership(now, fleet);
        self.advance_stop(now, fleet);
    }

    /// Advances the lease and the table; without a configuration from the store, there are
    /// no ranges to own.
    fn tick_ownership(&mut self, now: Moment, fleet: &Fleet) {
        if fleet.config_revision() == 0 && self.stopping.is_none() {
            return;
        }
        let actions = self.ownership.tick(now, fleet);
        self.push_ownership_actions(now, actions);
    }

    /// Starts to leave the fleet; the stop times out after `limit`.
    pub fn begin_stop(&mut self, now: Moment, fleet: &Fleet, limit: Duration) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping {
            since_us: now.mono_us,
            until_us: now.after(limit),
        });
        self.gate.leave();
        self.ownership.leave();
        self.tick_ownership(now, fleet);
    }

    /// Releases the lease once no range and no task depends on this member.
    fn advance_stop(&mut self, now: Moment, fleet: &Fleet) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        if now.mono_us >= stopping.until_us {
            self.actions.push(MemberAction::Left { timed_out: true });
            return;
        }
        let lease_expired = now.mono_us >= self.ownership.lease_until_us();
        let owns_ranges = self.ownership.owns_rows(fleet) && !lease_expired;
        let busy = owns_ranges || !self.gate.is_idle() || !self.owner.is_idle();
        if busy || now.mono_us < stopping.since_us + micros(MIN_STOP_DURATION) {
            return;
        }
        self.ownership.release();
        if lease_expired {
            self.actions.push(MemberAction::Left { timed_out: false });
        }
    }

    /// Load samples to attach to the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.owner.samples(peer)
    }

    /// Adds a sample of the local load to those sent to peers.
    pub fn sample_own_load(&mut self, now: Moment) {
        let sample = self.gate.sample_load();
        self.owner.record_loads(now, &[sample]);
    }

    /// Id of this member.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    fn push_gate_actions(&mut self, actions: Vec<GateAction>) {
        let actions = actions.into_iter().map(|action| match action {
            GateAction::Send { to, message } => MemberAction::Send { to, message },
            GateAction::StopRun { task } => MemberAction::StopRun { task },
            GateAction::Run {
                task,
                payload,
                budget_ms,
            } => MemberAction::Run {
                task,
                payload,
                budget_ms,
            },
        });
        self.actions.extend(actions);
    }

    fn push_owner_actions(&mut self, actions: Vec<OwnerAction>) {
        let actions = actions.into_iter().map(|action| match action {
            OwnerAction::Send { to, message } => MemberAction::Send { to, message },
            OwnerAction::Range { range, event } => MemberAction::Range { range, event },
        });
        self.actions.extend(actions);
    }

    fn push_ownership_actions(&mut self, now: Moment, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::Store { op, request } => {
                    self.actions.push(MemberAction::Store { op, request });
                }
                OwnershipAction::Freeze { range, to } => {
                    let actions = self.owner.freeze(now, range, &to);
                    self.push_owner_actions(actions);
                }
                OwnershipAction::Table(table) => self.actions.push(MemberAction::Table(table)),
                OwnershipAction::LeasedUntil(until_us) => self.owner.set_lease_until(until_us),
                OwnershipAction::Left => self.actions.push(MemberAction::Left { timed_out: false }),
            }
        }
    }
}
