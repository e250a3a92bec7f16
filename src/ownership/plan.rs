//! Who should own which range: the next table, worked out from the present one.
//!
//! Any member may write the next table; the store's compare-and-swap lets one
//! of them win. The plan is a pure function, so that two members with the same
//! view want the same table.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Acquisition, Holder, MemberRecord, Row, Table};
use crate::id::{Epoch, MemberId, RangeId};

/// What a plan is made from.
#[derive(Debug)]
pub struct Plan<'a> {
    /// The present table.
    pub table: &'a Table,
    /// Number of ranges.
    pub ranges: u32,
    /// The members whose leases hold.
    pub members: &'a BTreeMap<MemberId, MemberRecord>,
    /// Most members that own ranges.
    pub max_owners: usize,
    /// Ranges whose handover to this member was taken.
    pub handed: &'a BTreeMap<RangeId, (Epoch, MemberId)>,
    /// Whether vanished members may be counted as gone.
    pub may_take_over: bool,
    /// Whether owners use their own targets.
    pub self_placement: bool,
    /// Wall clock by which a member that is gone started its last task.
    pub departure_ms: u64,
}

impl Plan<'_> {
    /// The next table, if it differs from the present one.
    pub fn next(&self) -> Option<Table> {
        let mut next = self.table.clone();
        if next.rows.is_empty() {
            next.rows = self.first_rows()?;
        }
        self.update_gates(&mut next);
        self.hand_over(&mut next);
        self.resume(&mut next);
        if self.may_take_over {
            self.take_over(&mut next);
        }
        (next != *self.table).then_some(next)
    }

    /// Members that may own ranges, in a fixed order.
    pub fn owners(&self) -> Vec<&MemberRecord> {
        let mut owners: Vec<&MemberRecord> = self
            .members
            .values()
            .filter(|member| !member.leaving)
            .collect();
        owners.sort_by_key(|member| rank(&member.id, 0));
        owners.truncate(self.max_owners);
        owners
    }

    fn first_rows(&self) -> Option<Vec<Row>> {
        let owners = self.owners();
        let count = owners.len();
        let row = |index: usize| Row {
            owner: owners[index % count].holder(),
            epoch: Epoch(1),
            acquisition: Acquisition::First,
            departure_ms: 0,
            since_ms: 0,
        };
        (count > 0).then(|| (0..self.ranges as usize).map(row).collect())
    }

    fn update_gates(&self, next: &mut Table) {
        if self.may_take_over {
            let (here, gone): (Vec<MemberId>, Vec<MemberId>) = next
                .gates
                .drain(..)
                .partition(|gate| self.members.contains_key(gate));
            next.gates = here;
            for gate in &gone {
                self.note_departure(next, gate);
            }
        }
        for member in self.members.values().filter(|member| !member.leaving) {
            if !next.gates.contains(&member.id) {
                next.gates.push(member.id.clone());
            }
        }
    }

    /// Whatever `gone` had started is lost. An owner never runs tasks of its own
    /// ranges, so for those only what it ran before they were its own.
    fn note_departure(&self, next: &mut Table, gone: &MemberId) {
        for row in &mut next.rows {
            let own = row.owner.member == *gone && !self.self_placement;
            let lost_ms = if own { row.since_ms } else { self.departure_ms };
            row.departure_ms = row.departure_ms.max(lost_ms);
        }
    }

    fn hand_over(&self, next: &mut Table) {
        for (range, (epoch, to)) in self.handed {
            let Some(to) = self.members.get(to).filter(|to| !to.leaving) else {
                continue;
            };
            let row = next.rows.get_mut(range.0 as usize);
            if let Some(row) = row.filter(|row| row.epoch == *epoch) {
                row.pass(to.holder(), Acquisition::HandedOver, self.departure_ms);
            }
        }
    }

    fn resume(&self, next: &mut Table) {
        for row in &mut next.rows {
            let member = self.members.get(&row.owner.member);
            let renewed = member.filter(|member| member.session > row.owner.session);
            if let Some(member) = renewed {
                let since_ms = row.since_ms;
                row.pass(member.holder(), Acquisition::Resumed, since_ms);
            }
        }
    }

    fn take_over(&self, next: &mut Table) {
        let owners = self.owners();
        let mut counts: Vec<usize> = owners
            .iter()
            .map(|owner| next.owned_count(&owner.id))
            .collect();
        for row in &mut next.rows {
            if self.members.contains_key(&row.owner.member) {
                continue;
            }
            let least = (0..owners.len()).min_by_key(|index| counts[*index]);
            let Some(index) = least else {
                return;
            };
            counts[index] += 1;
            row.pass(
                owners[index].holder(),
                Acquisition::TakenOver,
                self.departure_ms,
            );
        }
    }
}

impl Row {
    fn pass(&mut self, owner: Holder, acquisition: Acquisition, since_ms: u64) {
        self.owner = owner;
        self.epoch = self.epoch.next();
        self.acquisition = acquisition;
        self.since_ms = since_ms;
    }
}

/// A number for `member` that all members work out alike.
pub fn rank(member: &MemberId, seed: u64) -> u64 {
    xxh3_64_with_seed(member.name.as_bytes(), seed)
}
