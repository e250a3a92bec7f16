//! What an agent decides, without its I/O: gate, owner and ownership together.
//!
//! It is told of messages, news, ends of runs and time, and collects what the
//! process around it has to do. Tests drive it without sockets or clocks.

use std::time::Duration;

use crate::clocks::Clocks;
use crate::fleet::{Fleet, FleetChanges, MemberRecord, Table};
use crate::gate::{Gate, GateAction, GateSettings, RunResult};
use crate::id::{MemberId, RangeId, TaskId};
use crate::load::LoadSample;
use crate::message::Message;
use crate::owner::{Owner, OwnerAction};
use crate::ownership::{Ownership, OwnershipAction, StoreOp};
use crate::store::{StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, micros};

/// Time that an idle member stays, to refuse what was already on its way.
const LINGER: Duration = Duration::from_millis(1_500);

/// What a member asks of the process around it.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// Run a task on the target.
    Run {
        /// The task.
        task: TaskId,
        /// What the target gets.
        payload: bytes::Bytes,
        /// Time left until its deadline, in milliseconds.
        budget_ms: u64,
    },
    /// Stop a task that runs.
    StopRun {
        /// The task.
        task: TaskId,
    },
    /// Make a call to the store.
    Store {
        /// Names it.
        op: StoreOp,
        /// The call.
        request: StoreRequest,
    },
    /// The table as it is in the store now.
    Table(Table),
    /// A range changed; for the log.
    Range {
        /// The range.
        range: RangeId,
        /// What happened to it.
        event: &'static str,
    },
    /// It has left the fleet; the process may go.
    Left {
        /// Whether it left because the time for its stop ran out.
        by_limit: bool,
    },
}

#[derive(Debug)]
struct Stopping {
    since_us: u64,
    until_us: u64,
}

/// An agent's decisions.
#[derive(Debug)]
pub struct Member {
    /// The gate of its target.
    pub gate: Gate,
    /// The owner of its ranges.
    pub owner: Owner,
    /// Its lease and the table.
    pub ownership: Ownership,
    clocks: Clocks,
    me: MemberId,
    service: String,
    stopping: Option<Stopping>,
    actions: Vec<MemberAction>,
}

impl Member {
    /// The member that `record` describes.
    pub fn new(record: MemberRecord, fleet: &Fleet, seed: u64) -> Member {
        let gate = GateSettings {
            me: record.id.clone(),
            service: record.service.clone(),
            slots: record.slots,
            failure_domain: record.failure_domain.clone(),
        };
        let config = fleet.config().clone();
        let me = record.id.clone();
        Member {
            gate: Gate::new(gate, &config),
            owner: Owner::new(me.clone(), &record.failure_domain, config, seed),
            clocks: Clocks::default(),
            me,
            service: record.service.clone(),
            ownership: Ownership::new(record),
            stopping: None,
            actions: Vec::new(),
        }
    }

    /// Takes what it asks for.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether it is leaving.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// A message came.
    pub fn on_message(&mut self, now: Moment, fleet: &Fleet, from: &MemberId, message: Message) {
        match message {
            Message::Start(start) => {
                let actions = self.gate.start(now, from, *start);
                self.push_gate(actions);
            }
            Message::Inquire {
                task,
                range,
                epoch,
                attempt,
            } => {
                let actions = self.gate.inquire(now, from, task, range, epoch, attempt);
                self.push_gate(actions);
            }
            Message::Stop { task } => {
                let actions = self.gate.stop(task);
                self.push_gate(actions);
            }
            Message::Recover { range, epoch } => {
                let actions = self.gate.recover(from, range, epoch);
                self.push_gate(actions);
            }
            // The next tick writes all that were taken into one table.
            Message::HandoverTaken { range, epoch } => {
                self.ownership.handover_taken(from, range, epoch);
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
            } => owner.refused(now, fleet, from, task, attempt, reason),
            Message::Running { task } => {
                owner.running(now, from, task);
                Vec::new()
            }
            Message::Finished {
                task,
                outcome,
                run_us,
            } => owner.finished(now, fleet, from, task, outcome, run_us),
            Message::Recovered {
                range,
                epoch,
                tasks,
            } => owner.recovered(now, from, range, epoch, tasks),
            Message::Handover(handover) => owner.take_handover(from, *handover),
            _ => Vec::new(),
        };
        self.push_owner(actions);
    }

    /// A frame came that was sent at `wall_ms` on its sender's clock; while this
    /// process's clock is off, it takes no new ids.
    pub fn heard_clock(&mut self, now: Moment, fleet: &Fleet, from: &MemberId, wall_ms: u64) {
        if wall_ms == 0 {
            return;
        }
        self.clocks.heard(now, from, wall_ms);
        let off = self.clocks.is_off(fleet.config().ownership.skew_ms);
        self.owner.clock_off(off);
    }

    /// Load samples came.
    pub fn observe(&mut self, now: Moment, fleet: &Fleet, samples: &[LoadSample]) {
        let actions = self.owner.observe(now, fleet, samples);
        self.push_owner(actions);
    }

    /// A member can be reached again.
    pub fn link_up(&mut self, now: Moment, member: &MemberId) {
        let actions = self.owner.link_up(now, member);
        self.push_owner(actions);
    }

    /// A member's process has ended.
    pub fn member_ended(&mut self, now: Moment, fleet: &Fleet, member: &MemberId) {
        self.clocks.forget(member);
        let actions = self.owner.gate_gone(now, fleet, member);
        self.push_owner(actions);
    }

    /// A run on the target ended.
    pub fn run_ended(&mut self, now: Moment, task: TaskId, result: RunResult) {
        let actions = self.gate.run_ended(now, task, result);
        self.push_gate(actions);
    }

    /// The store answered a call, or did not.
    pub fn on_store(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        op: StoreOp,
        reply: Result<StoreReply, StoreError>,
    ) {
        let actions = self.ownership.on_store(now, fleet, op, reply);
        self.push_ownership(now, actions);
        self.reconcile(now, fleet);
    }

    /// Puts what is new in force.
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
        self.push_owner(actions);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) {
        let actions = self.gate.tick(now);
        self.push_gate(actions);
        let actions = self.owner.tick(now, fleet);
        self.push_owner(actions);
        self.reconcile(now, fleet);
        self.tick_ownership(now, fleet);
        self.advance_stop(now, fleet);
    }

    /// Without a configuration from the store there is nothing to own.
    fn tick_ownership(&mut self, now: Moment, fleet: &Fleet) {
        if fleet.config_revision() == 0 && self.stopping.is_none() {
            return;
        }
        let actions = self.ownership.tick(now, fleet);
        self.push_ownership(now, actions);
    }

    /// Announces that this member leaves, within `limit`.
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

    /// Lets the lease go once nothing needs this member any more.
    fn advance_stop(&mut self, now: Moment, fleet: &Fleet) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        if now.mono_us >= stopping.until_us {
            self.actions.push(MemberAction::Left { by_limit: true });
            return;
        }
        let lapsed = now.mono_us >= self.ownership.leased_until_us();
        let serves = self.ownership.owns_rows(fleet) && !lapsed;
        let busy = serves || !self.gate.is_idle() || !self.owner.idle();
        if busy || now.mono_us < stopping.since_us + micros(LINGER) {
            return;
        }
        self.ownership.release();
        if lapsed {
            self.actions.push(MemberAction::Left { by_limit: false });
        }
    }

    /// Samples for the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.owner.samples(peer)
    }

    /// Adds the own load to what is told to peers.
    pub fn sample_own_load(&mut self, now: Moment) {
        let sample = self.gate.sample_load();
        self.owner.note_loads(now, &[sample]);
    }

    /// This member.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    fn push_gate(&mut self, actions: Vec<GateAction>) {
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

    fn push_owner(&mut self, actions: Vec<OwnerAction>) {
        let actions = actions.into_iter().map(|action| match action {
            OwnerAction::Send { to, message } => MemberAction::Send { to, message },
            OwnerAction::Range { range, event } => MemberAction::Range { range, event },
        });
        self.actions.extend(actions);
    }

    fn push_ownership(&mut self, now: Moment, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::Store { op, request } => {
                    self.actions.push(MemberAction::Store { op, request });
                }
                OwnershipAction::Freeze { range, to } => {
                    let actions = self.owner.freeze(now, range, &to);
                    self.push_owner(actions);
                }
                OwnershipAction::Table(table) => self.actions.push(MemberAction::Table(table)),
                OwnershipAction::LeasedUntil(until_us) => self.owner.leased_until(until_us),
                OwnershipAction::Left => self.actions.push(MemberAction::Left { by_limit: false }),
            }
        }
    }
}
