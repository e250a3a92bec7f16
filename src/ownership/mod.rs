//! The process's lease in the store, and its updates to the range table.
//!
//! The lease period starts when the request is sent, on the local monotonic clock, so
//! the lease ends locally before it ends in the store. After an expiry, the next lease
//! starts a new session. The next table assigns the ranges of the old session to it,
//! unless another member has taken them over, and the ranges of departed members to
//! other members.

mod handover;
mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{Fleet, Holder, MEMBER_PREFIX, MemberRecord, TABLE_KEY, Table};
use crate::id::{Epoch, MemberId, RangeId};
use crate::store::{Expect, LeaseId, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, micros};
use handover::PendingHandover;
pub use plan::{Plan, rank};

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before a table write for each member with a lower rank, which avoids
/// conflicting writes.
const WRITE_STAGGER: Duration = Duration::from_millis(300);
/// Delay before the first table is written, so that the other members can register.
const FIRST_TABLE_DELAY: Duration = Duration::from_millis(600);

/// Kind of a store call, by which a reply is matched to its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Grant a lease.
    Grant,
    /// Write the member record under the lease.
    Register,
    /// Renew the lease.
    Renew,
    /// Revoke the lease.
    Revoke,
    /// Write the table.
    WriteTable,
    /// Read the table.
    ReadTable,
}

/// An effect that the surrounding process must carry out.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    /// Call the store.
    Store {
        /// Kind of the call.
        op: StoreOp,
        /// The request.
        request: StoreRequest,
    },
    /// Freeze a range and hand it over.
    Freeze {
        /// The range.
        range: RangeId,
        /// The successor.
        to: MemberId,
    },
    /// Apply the current table of the store.
    Table(Table),
    /// The lease is valid until this monotonic time, in microseconds.
    LeasedUntil(u64),
    /// The lease has ended; the process may exit.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lease {
    None,
    Granted { lease: LeaseId },
    Registered { lease: LeaseId, revision: u64 },
    Revoked,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    op: StoreOp,
    /// Monotonic time at which the call was made.
    sent_us: u64,
}

/// State of one process's lease and table updates.
#[derive(Debug)]
pub struct Ownership {
    record: MemberRecord,
    lease: Lease,
    /// Monotonic end of the lease.
    lease_until_us: u64,
    /// Monotonic time of the next renewal; a leaving member rewrites its record first if it is 0.
    renew_us: u64,
    /// Monotonic time before which no lease call is made.
    lease_retry_us: u64,
    /// Unanswered lease call.
    lease_call: Option<Call>,
    /// Unanswered table call.
    table_call: Option<Call>,
    /// Monotonic time before which no table call is made.
    table_retry_us: u64,
    /// Whether the table must be read before the next write.
    table_needs_read: bool,
    /// Table of the unanswered write.
    pending_table: Option<Table>,
    /// Monotonic time of the first full read of the store.
    synced_us: Option<u64>,
    /// Monotonic time of the last failed store call.
    store_failure_us: Option<u64>,
    /// Monotonic time since which a table change is due.
    change_pending_since_us: Option<u64>,
    handovers: BTreeMap<RangeId, PendingHandover>,
    release_requested: bool,
}

impl Ownership {
    /// Creates the state for the process that `record` describes.
    pub fn new(record: MemberRecord) -> Ownership {
        Ownership {
            record,
            lease: Lease::None,
            lease_until_us: 0,
            renew_us: 0,
            lease_retry_us: 0,
            lease_call: None,
            table_call: None,
            table_retry_us: 0,
            table_needs_read: false,
            pending_table: None,
            synced_us: None,
            store_failure_us: None,
            change_pending_since_us: None,
            handovers: BTreeMap::new(),
            release_requested: false,
        }
    }

    /// The lease holder, if the process is registered.
    pub fn holder(&self) -> Option<Holder> {
        match self.lease {
            Lease::Registered { .. } => Some(self.record.holder()),
            _ => None,
        }
    }

    /// End of the lease on the local monotonic clock.
    pub fn lease_until_us(&self) -> u64 {
        self.lease_until_us
    }

    /// Starts leaving: announces it in the store and hands over all ranges.
    pub fn leave(&mut self) {
        self.record.leaving = true;
        self.renew_us = 0;
    }

    /// Whether the table assigns any range to this process.
    pub fn owns_rows(&self, fleet: &Fleet) -> bool {
        fleet.table().owned_count(&self.record.id) > 0
    }

    /// Requests the end of the lease.
    pub fn release(&mut self) {
        self.release_requested = true;
    }

    /// Records that the store was read and `fleet` reflects it.
    pub fn on_store_synced(&mut self, now: Moment) {
        self.synced_us.get_or_insert(now.mono_us);
    }

    /// Records that the store did not answer a call of this process.
    pub fn on_store_failure(&mut self, now: Moment) {
        self.store_failure_us = Some(now.mono_us);
    }

    /// Makes the calls and handovers that are due.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let ttl = Duration::from_millis(fleet.config().ownership.lease_ms);
        let mut actions = Vec::new();
        actions.extend(self.next_lease_call(now, ttl));
        actions.extend(self.hand_over(now, fleet));
        actions.extend(self.next_table_call(now, fleet));
        actions
    }

    fn next_lease_call(&mut self, now: Moment, ttl: Duration) -> Option<OwnershipAction> {
        if self.lease_call.is_some() || now.mono_us < self.lease_retry_us {
            return None;
        }
        let (op, request) = match self.lease {
            Lease::Granted { lease } if self.release_requested => (StoreOp::Revoke, revoke(lease)),
            Lease::Registered { lease, .. } if self.release_requested => {
                (StoreOp::Revoke, revoke(lease))
            }
            Lease::None if self.release_requested => {
                self.lease = Lease::Revoked;
                return Some(OwnershipAction::Left);
            }
            Lease::None => {
                let ttl_ms = ttl.as_millis() as u64;
                (StoreOp::Grant, StoreRequest::Grant { ttl_ms })
            }
            Lease::Granted { lease } => (StoreOp::Register, self.register(lease, Expect::Absent)),
            Lease::Registered { lease, revision } if self.must_announce_leave() => {
                let expect = Expect::Revision(revision);
                (StoreOp::Register, self.register(lease, expect))
            }
            Lease::Registered { lease, .. } if now.mono_us >= self.renew_us => {
                (StoreOp::Renew, StoreRequest::Renew { lease })
            }
            _ => return None,
        };
        let sent_us = now.mono_us;
        self.lease_call = Some(Call { op, sent_us });
        Some(OwnershipAction::Store { op, request })
    }

    /// Whether the member record must be rewritten as leaving.
    fn must_announce_leave(&self) -> bool {
        self.record.leaving && self.renew_us == 0
    }

    fn register(&self, lease: LeaseId, expect: Expect) -> StoreRequest {
        let value = serde_json::to_vec(&self.record).unwrap_or_default();
        StoreRequest::Put {
            key: format!("{MEMBER_PREFIX}{}", self.record.id.name),
            value: value.into(),
            expect,
            lease: Some(lease),
        }
    }

    /// Handles the reply to a store call.
    pub fn on_store(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        op: StoreOp,
        reply: Result<StoreReply, StoreError>,
    ) -> Vec<OwnershipAction> {
        if reply.is_err() || reply == Ok(StoreReply::RateLimited) {
            self.store_failure_us = Some(now.mono_us);
        }
        match op {
            StoreOp::WriteTable | StoreOp::ReadTable => self.on_table(now, reply),
            _ => self.on_lease(now, fleet, op, reply),
        }
    }

    fn on_lease(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        op: StoreOp,
        reply: Result<StoreReply, StoreError>,
    ) -> Vec<OwnershipAction> {
        let Some(call) = self.lease_call.take().filter(|call| call.op == op) else {
            return Vec::new();
        };
        let ttl = fleet.config().ownership.lease();
        match (op, reply) {
            (StoreOp::Grant, Ok(StoreReply::Lease { lease })) => {
                self.lease = Lease::Granted { lease };
                self.extend_lease(call.sent_us, ttl)
            }
            (StoreOp::Renew, Ok(StoreReply::Lease { .. })) => self.extend_lease(call.sent_us, ttl),
            (StoreOp::Register, Ok(StoreReply::Written { revision })) => {
                self.on_registered(now, revision, ttl)
            }
            (StoreOp::Register, Ok(StoreReply::Conflict { current })) => {
                self.on_register_conflict(now, current, ttl)
            }
            (StoreOp::Revoke, Ok(_)) => {
                self.lease = Lease::Revoked;
                vec![OwnershipAction::Left]
            }
            (_, Ok(StoreReply::LeaseGone)) => {
                self.on_lease_expired(now);
                Vec::new()
            }
            _ => {
                self.lease_retry_us = now.after(RETRY_DELAY);
                Vec::new()
            }
        }
    }

    fn extend_lease(&mut self, sent_us: u64, ttl: Duration) -> Vec<OwnershipAction> {
        self.lease_until_us = sent_us + micros(ttl);
        self.renew_us = sent_us + micros(ttl) / 2;
        vec![OwnershipAction::LeasedUntil(self.lease_until_us)]
    }

    fn on_registered(&mut self, now: Moment, revision: u64, ttl: Duration) -> Vec<OwnershipAction> {
        let (Lease::Granted { lease } | Lease::Registered { lease, .. }) = self.lease else {
            return Vec::new();
        };
        self.lease = Lease::Registered { lease, revision };
        self.renew_us = now.after(ttl / 6);
        Vec::new()
    }

    /// Handles a record that already exists: that of this process or of an earlier run.
    fn on_register_conflict(
        &mut self,
        now: Moment,
        current: Option<StoreEntry>,
        ttl: Duration,
    ) -> Vec<OwnershipAction> {
        let parsed = current.and_then(|entry| Some((parse(&entry)?, entry.revision)));
        let own_record = parsed.filter(|(record, _): &(MemberRecord, u64)| {
            record.id == self.record.id && record.session == self.record.session
        });
        match own_record {
            Some((record, revision)) if record == self.record => {
                self.on_registered(now, revision, ttl)
            }
            Some((_, revision)) => {
                self.on_registered(now, revision, ttl);
                self.renew_us = 0;
                Vec::new()
            }
            None if now.mono_us >= self.lease_until_us => {
                self.lease = Lease::None;
                Vec::new()
            }
            None => {
                self.lease_retry_us = now.after(RETRY_DELAY);
                Vec::new()
            }
        }
    }

    /// Handles the expiry of the lease in the store; the next lease is a new session.
    fn on_lease_expired(&mut self, now: Moment) {
        self.lease = Lease::None;
        self.lease_until_us = 0;
        self.record.session += 1;
        self.store_failure_us = Some(now.mono_us);
    }

    /// Whether no store call failed within the last `period`.
    fn is_store_stable(&self, now: Moment, period: Duration) -> bool {
        self.store_failure_us
            .is_none_or(|at| now.mono_us >= at + micros(period))
    }

    fn next_table_call(&mut self, now: Moment, fleet: &Fleet) -> Option<OwnershipAction> {
        let idle = self.table_call.is_none() && now.mono_us >= self.table_retry_us;
        let leased = now.mono_us < self.lease_until_us && self.holder().is_some();
        if !idle || !leased || self.synced_us.is_none() {
            return None;
        }
        if self.table_needs_read {
            return Some(self.read_table(now));
        }
        let Some(next) = self.plan(now, fleet) else {
            self.change_pending_since_us = None;
            return None;
        };
        let since_us = *self.change_pending_since_us.get_or_insert(now.mono_us);
        if now.mono_us < since_us + micros(self.write_delay(fleet)) {
            return None;
        }
        Some(self.write_table(now, fleet.table(), &next))
    }

    fn plan(&self, now: Moment, fleet: &Fleet) -> Option<Table> {
        let ownership = &fleet.config().ownership;
        let handed_over: BTreeMap<RangeId, (Epoch, MemberId)> = self
            .handovers
            .iter()
            .filter(|(_, handover)| handover.confirmed)
            .map(|(range, handover)| (*range, (handover.epoch, handover.to.clone())))
            .collect();
        let plan = Plan {
            table: fleet.table(),
            ranges: ownership.ranges,
            members: fleet.members(),
            max_owners: ownership.max_owners,
            handed_over: &handed_over,
            // After a store failure, members get one lease period to register again.
            can_take_over: self.is_store_stable(now, ownership.lease()),
            self_placement: ownership.self_placement,
            departure_ms: now.wall_ms + 2 * ownership.skew_ms,
        };
        plan.next_table()
    }

    /// How long this member leaves the write of the next table to members of lower rank.
    fn write_delay(&self, fleet: &Fleet) -> Duration {
        let table = fleet.table();
        if self.handovers.values().any(|handover| handover.confirmed) {
            return Duration::ZERO;
        }
        let owned = table
            .rows
            .iter()
            .find(|row| row.owner.member == self.record.id);
        if owned.is_some_and(|row| row.owner.session < self.record.session) {
            return Duration::ZERO;
        }
        let seed = table.revision;
        let own_rank = rank(&self.record.id, seed);
        let earlier = fleet
            .members()
            .keys()
            .filter(|id| rank(id, seed) < own_rank)
            .count() as u32;
        let first_delay = if table.rows.is_empty() {
            FIRST_TABLE_DELAY
        } else {
            Duration::ZERO
        };
        first_delay + WRITE_STAGGER * earlier.min(10)
    }

    fn write_table(&mut self, now: Moment, current: &Table, next: &Table) -> OwnershipAction {
        let op = StoreOp::WriteTable;
        let sent_us = now.mono_us;
        self.table_call = Some(Call { op, sent_us });
        let expect = match current.revision {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        let value = serde_json::to_vec(next).unwrap_or_default();
        self.pending_table = Some(next.clone());
        let request = StoreRequest::Put {
            key: TABLE_KEY.to_string(),
            value: value.into(),
            expect,
            lease: None,
        };
        OwnershipAction::Store { op, request }
    }

    fn read_table(&mut self, now: Moment) -> OwnershipAction {
        let op = StoreOp::ReadTable;
        let sent_us = now.mono_us;
        self.table_call = Some(Call { op, sent_us });
        let prefix = TABLE_KEY.to_string();
        let request = StoreRequest::Get { prefix };
        OwnershipAction::Store { op, request }
    }

    fn on_table(
        &mut self,
        now: Moment,
        reply: Result<StoreReply, StoreError>,
    ) -> Vec<OwnershipAction> {
        self.table_call = None;
        self.change_pending_since_us = None;
        let written = self.pending_table.take();
        let current = match reply {
            Ok(StoreReply::Written { revision }) => {
                let table = written.map(|table| Table { revision, ..table });
                return table.into_iter().map(OwnershipAction::Table).collect();
            }
            Ok(StoreReply::Conflict { current }) => current,
            Ok(StoreReply::Entries { entries, .. }) => entries.into_iter().next(),
            _ => {
                self.table_needs_read = true;
                self.table_retry_us = now.after(RETRY_DELAY);
                return Vec::new();
            }
        };
        self.table_needs_read = false;
        let table = current.and_then(|entry| parse_table(&entry));
        table.into_iter().map(OwnershipAction::Table).collect()
    }
}

fn revoke(lease: LeaseId) -> StoreRequest {
    StoreRequest::Revoke { lease }
}

fn parse<T: serde::de::DeserializeOwned>(entry: &StoreEntry) -> Option<T> {
    serde_json::from_slice(&entry.value).ok()
}

/// Parses the table; its revision is that of the store entry.
pub fn parse_table(entry: &StoreEntry) -> Option<Table> {
    let mut table: Table = parse(entry)?;
    table.revision = entry.revision;
    Some(table)
}
