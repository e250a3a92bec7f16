//! This process's lease in the store, and its part in the table of ranges.
//!
//! The lease counts from the moment a renewal was *sent*, on the own monotonic
//! clock, so it ends here before it ends in the store. Once the store says that
//! it ran out, the next lease is a new session: rows of the old session pass
//! to the new one only through the table, and only while nobody else has taken
//! them. Rows of a member that is gone are taken over by whoever writes the
//! next table first.

mod handover;
mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{Fleet, Holder, MEMBER_PREFIX, MemberRecord, TABLE_KEY, Table};
use crate::id::{Epoch, MemberId, RangeId};
use crate::store::{Expect, LeaseId, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::{Moment, micros};
use handover::Handing;
pub use plan::{Plan, rank};

/// Delay before a call that failed is made again.
const RETRY: Duration = Duration::from_millis(200);
/// Members wait this long, times their rank, before they write a table.
const TURN: Duration = Duration::from_millis(300);
/// Wait before the first table is written, so that the fleet can assemble.
const FORMING: Duration = Duration::from_millis(600);

/// Names a call to the store, for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Start a lease.
    Grant,
    /// Write the own record under the lease.
    Register,
    /// Prolong the lease.
    Renew,
    /// End the lease.
    Revoke,
    /// Write the table.
    WriteTable,
    /// Read the table.
    ReadTable,
}

/// What ownership asks of the process around it.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    /// Make a call to the store.
    Store {
        /// Names it.
        op: StoreOp,
        /// The call.
        request: StoreRequest,
    },
    /// Freeze a range and hand it over.
    Freeze {
        /// The range.
        range: RangeId,
        /// Its successor.
        to: MemberId,
    },
    /// The table as it is in the store now.
    Table(Table),
    /// The lease is good until this monotonic reading.
    LeasedUntil(u64),
    /// The lease has ended; the process may go.
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
    sent_us: u64,
}

/// Lease and table, as one process sees them.
#[derive(Debug)]
pub struct Ownership {
    record: MemberRecord,
    lease: Lease,
    until_us: u64,
    renew_us: u64,
    retry_us: u64,
    call: Option<Call>,
    table_call: Option<Call>,
    table_retry_us: u64,
    table_unsure: bool,
    writing: Option<Table>,
    synced_us: Option<u64>,
    trouble_us: Option<u64>,
    wanted_since_us: Option<u64>,
    handing: BTreeMap<RangeId, Handing>,
    released: bool,
}

impl Ownership {
    /// Ownership of the process that `record` describes.
    pub fn new(record: MemberRecord) -> Ownership {
        Ownership {
            record,
            lease: Lease::None,
            until_us: 0,
            renew_us: 0,
            retry_us: 0,
            call: None,
            table_call: None,
            table_retry_us: 0,
            table_unsure: false,
            writing: None,
            synced_us: None,
            trouble_us: None,
            wanted_since_us: None,
            handing: BTreeMap::new(),
            released: false,
        }
    }

    /// The lease that this process holds, if its record is in the store.
    pub fn holder(&self) -> Option<Holder> {
        match self.lease {
            Lease::Registered { .. } => Some(self.record.holder()),
            _ => None,
        }
    }

    /// Until when the lease is good, on the own monotonic clock.
    pub fn leased_until_us(&self) -> u64 {
        self.until_us
    }

    /// Announces that this process leaves and hands its ranges over.
    pub fn leave(&mut self) {
        self.record.leaving = true;
        self.renew_us = 0;
    }

    /// Whether the table still names this process.
    pub fn owns_rows(&self, fleet: &Fleet) -> bool {
        fleet.table().owned_count(&self.record.id) > 0
    }

    /// Ends the lease; the process has nothing left to do.
    pub fn release(&mut self) {
        self.released = true;
    }

    /// The store was read; what it holds is in `fleet`.
    pub fn synced(&mut self, now: Moment) {
        self.synced_us.get_or_insert(now.mono_us);
    }

    /// The store did not answer someone in this process.
    pub fn store_trouble(&mut self, now: Moment) {
        self.trouble_us = Some(now.mono_us);
    }

    /// Time has passed, or the fleet has changed.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let lease = Duration::from_millis(fleet.config().ownership.lease_ms);
        let mut actions = Vec::new();
        actions.extend(self.next_lease_call(now, lease));
        actions.extend(self.hand_over(now, fleet));
        actions.extend(self.next_table_call(now, fleet));
        actions
    }

    fn next_lease_call(&mut self, now: Moment, ttl: Duration) -> Option<OwnershipAction> {
        if self.call.is_some() || now.mono_us < self.retry_us {
            return None;
        }
        let (op, request) = match self.lease {
            Lease::Granted { lease } if self.released => (StoreOp::Revoke, revoke(lease)),
            Lease::Registered { lease, .. } if self.released => (StoreOp::Revoke, revoke(lease)),
            Lease::None if self.released => {
                self.lease = Lease::Revoked;
                return Some(OwnershipAction::Left);
            }
            Lease::None => {
                let ttl_ms = ttl.as_millis() as u64;
                (StoreOp::Grant, StoreRequest::Grant { ttl_ms })
            }
            Lease::Granted { lease } => (StoreOp::Register, self.register(lease, Expect::Absent)),
            Lease::Registered { lease, revision } if self.unannounced() => {
                let expect = Expect::Revision(revision);
                (StoreOp::Register, self.register(lease, expect))
            }
            Lease::Registered { lease, .. } if now.mono_us >= self.renew_us => {
                (StoreOp::Renew, StoreRequest::Renew { lease })
            }
            _ => return None,
        };
        let sent_us = now.mono_us;
        self.call = Some(Call { op, sent_us });
        Some(OwnershipAction::Store { op, request })
    }

    /// Whether the store does not know yet that this process leaves.
    fn unannounced(&self) -> bool {
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

    /// The store answered a call, or did not.
    pub fn on_store(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        op: StoreOp,
        reply: Result<StoreReply, StoreError>,
    ) -> Vec<OwnershipAction> {
        if reply.is_err() || reply == Ok(StoreReply::RateLimited) {
            self.trouble_us = Some(now.mono_us);
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
        let Some(call) = self.call.take().filter(|call| call.op == op) else {
            return Vec::new();
        };
        let ttl = fleet.config().ownership.lease();
        match (op, reply) {
            (StoreOp::Grant, Ok(StoreReply::Lease { lease })) => {
                self.lease = Lease::Granted { lease };
                self.leased(call.sent_us, ttl)
            }
            (StoreOp::Renew, Ok(StoreReply::Lease { .. })) => self.leased(call.sent_us, ttl),
            (StoreOp::Register, Ok(StoreReply::Written { revision })) => {
                self.registered(now, revision, ttl)
            }
            (StoreOp::Register, Ok(StoreReply::Conflict { current })) => {
                self.register_conflict(now, current, ttl)
            }
            (StoreOp::Revoke, Ok(_)) => {
                self.lease = Lease::Revoked;
                vec![OwnershipAction::Left]
            }
            (_, Ok(StoreReply::LeaseGone)) => {
                self.lapse(now);
                Vec::new()
            }
            _ => {
                self.retry_us = now.after(RETRY);
                Vec::new()
            }
        }
    }

    fn leased(&mut self, sent_us: u64, ttl: Duration) -> Vec<OwnershipAction> {
        self.until_us = sent_us + micros(ttl);
        self.renew_us = sent_us + micros(ttl) / 2;
        vec![OwnershipAction::LeasedUntil(self.until_us)]
    }

    fn registered(&mut self, now: Moment, revision: u64, ttl: Duration) -> Vec<OwnershipAction> {
        let (Lease::Granted { lease } | Lease::Registered { lease, .. }) = self.lease else {
            return Vec::new();
        };
        self.lease = Lease::Registered { lease, revision };
        self.renew_us = now.after(ttl / 6);
        Vec::new()
    }

    /// The own record is there already, or that of a run before this one.
    fn register_conflict(
        &mut self,
        now: Moment,
        current: Option<StoreEntry>,
        ttl: Duration,
    ) -> Vec<OwnershipAction> {
        let parsed = current.and_then(|entry| Some((parse(&entry)?, entry.revision)));
        let mine = parsed.filter(|(record, _): &(MemberRecord, u64)| {
            record.id == self.record.id && record.session == self.record.session
        });
        match mine {
            Some((record, revision)) if record == self.record => {
                self.registered(now, revision, ttl)
            }
            Some((_, revision)) => {
                self.registered(now, revision, ttl);
                self.renew_us = 0;
                Vec::new()
            }
            None if now.mono_us >= self.until_us => {
                self.lease = Lease::None;
                Vec::new()
            }
            None => {
                self.retry_us = now.after(RETRY);
                Vec::new()
            }
        }
    }

    /// The store says that the lease ran out.
    fn lapse(&mut self, now: Moment) {
        self.lease = Lease::None;
        self.until_us = 0;
        self.record.session += 1;
        self.trouble_us = Some(now.mono_us);
    }

    /// Whether vanished members may be counted as gone: right after trouble
    /// with the store they may only not have come back yet.
    fn may_take_over(&self, now: Moment, ttl: Duration) -> bool {
        self.trouble_us
            .is_none_or(|at| now.mono_us >= at + micros(ttl))
    }

    fn next_table_call(&mut self, now: Moment, fleet: &Fleet) -> Option<OwnershipAction> {
        let idle = self.table_call.is_none() && now.mono_us >= self.table_retry_us;
        let leased = now.mono_us < self.until_us && self.holder().is_some();
        if !idle || !leased || self.synced_us.is_none() {
            return None;
        }
        if self.table_unsure {
            return Some(self.read_table(now));
        }
        let Some(next) = self.plan(now, fleet) else {
            self.wanted_since_us = None;
            return None;
        };
        let since_us = *self.wanted_since_us.get_or_insert(now.mono_us);
        if now.mono_us < since_us + micros(self.turn(fleet)) {
            return None;
        }
        Some(self.write_table(now, fleet.table(), &next))
    }

    fn plan(&self, now: Moment, fleet: &Fleet) -> Option<Table> {
        let ownership = &fleet.config().ownership;
        let handed: BTreeMap<RangeId, (Epoch, MemberId)> = self
            .handing
            .iter()
            .filter(|(_, handing)| handing.taken)
            .map(|(range, handing)| (*range, (handing.epoch, handing.to.clone())))
            .collect();
        let plan = Plan {
            table: fleet.table(),
            ranges: ownership.ranges,
            members: fleet.members(),
            max_owners: ownership.max_owners,
            handed: &handed,
            may_take_over: self.may_take_over(now, ownership.lease()),
            self_placement: ownership.self_placement,
            departure_ms: now.wall_ms + 2 * ownership.skew_ms,
        };
        plan.next()
    }

    /// How long this member leaves the next table to others.
    fn turn(&self, fleet: &Fleet) -> Duration {
        let table = fleet.table();
        if self.handing.values().any(|handing| handing.taken) {
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
        let mine = rank(&self.record.id, seed);
        let before = fleet
            .members()
            .keys()
            .filter(|id| rank(id, seed) < mine)
            .count() as u32;
        let forming = if table.rows.is_empty() {
            FORMING
        } else {
            Duration::ZERO
        };
        forming + TURN * before.min(10)
    }

    fn write_table(&mut self, now: Moment, present: &Table, next: &Table) -> OwnershipAction {
        let op = StoreOp::WriteTable;
        let sent_us = now.mono_us;
        self.table_call = Some(Call { op, sent_us });
        let expect = match present.revision {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        let value = serde_json::to_vec(next).unwrap_or_default();
        self.writing = Some(next.clone());
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
        self.wanted_since_us = None;
        let written = self.writing.take();
        let current = match reply {
            Ok(StoreReply::Written { revision }) => {
                let table = written.map(|table| Table { revision, ..table });
                return table.into_iter().map(OwnershipAction::Table).collect();
            }
            Ok(StoreReply::Conflict { current }) => current,
            Ok(StoreReply::Entries { entries, .. }) => entries.into_iter().next(),
            _ => {
                self.table_unsure = true;
                self.table_retry_us = now.after(RETRY);
                return Vec::new();
            }
        };
        self.table_unsure = false;
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

/// Reads the table from its key; its revision is the store's.
pub fn parse_table(entry: &StoreEntry) -> Option<Table> {
    let mut table: Table = parse(entry)?;
    table.revision = entry.revision;
    Some(table)
}
