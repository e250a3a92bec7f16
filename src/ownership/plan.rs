//! Computes the next range table from the current one.
//!
//! Any member may write the table; compare-and-swap in the store decides between
//! concurrent writes. The computation is a pure function, so that members with the same
//! view compute the same table.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Acquisition, Holder, MemberRecord, Row, Table};
use crate::id::{Epoch, MemberId, RangeId};

/// Inputs of the computation.
#[derive(Debug)]
pub struct Plan<'a> {
    /// The current table.
    pub table: &'a Table,
    /// Number of ranges.
    pub ranges: u32,
    /// Members with a valid lease.
    pub members: &'a BTreeMap<MemberId, MemberRecord>,
    /// Maximum number of members that own ranges.
    pub max_owners: usize,
    /// Ranges whose handover was confirmed, with their epoch and successor.
    pub handed_over: &'a BTreeMap<RangeId, (Epoch, MemberId)>,
    /// Whether members without a record count as departed.
    pub can_take_over: bool,
    /// Whether owners may place tasks on their own targets.
    pub self_placement: bool,
    /// Upper bound of the wall-clock time at which a departed member started a task.
    pub departure_ms: u64,
}

impl Plan<'_> {
    /// The next table, if it differs from the current one.
    pub fn next_table(&self) -> Option<Table> {
        let mut next = self.table.clone();
        if next.rows.is_empty() {
            next.rows = self.initial_rows()?;
        }
        self.update_gates(&mut next);
        self.hand_over(&mut next);
        self.resume(&mut next);
        if self.can_take_over {
            self.take_over(&mut next);
        }
        (next != *self.table).then_some(next)
    }

    /// Members that may own ranges, ordered by rank.
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

    fn initial_rows(&self) -> Option<Vec<Row>> {
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
        if self.can_take_over {
            let (present, gone): (Vec<MemberId>, Vec<MemberId>) = next
                .gates
                .drain(..)
                .partition(|gate| self.members.contains_key(gate));
            next.gates = present;
            for gate in &gone {
                self.record_departure(next, gate);
            }
        }
        for member in self.members.values().filter(|member| !member.leaving) {
            if !next.gates.contains(&member.id) {
                next.gates.push(member.id.clone());
            }
        }
    }

    /// Raises the departure times of rows, as the tasks that `gone` started cannot be
    /// recovered. Without self-placement, a member starts no tasks of the ranges that it
    /// owns, so for these only the time before it became the owner counts.
    fn record_departure(&self, next: &mut Table, gone: &MemberId) {
        for row in &mut next.rows {
            let is_own = row.owner.member == *gone && !self.self_placement;
            let lost_ms = if is_own {
                row.since_ms
            } else {
                self.departure_ms
            };
            row.departure_ms = row.departure_ms.max(lost_ms);
        }
    }

    fn hand_over(&self, next: &mut Table) {
        for (range, (epoch, to)) in self.handed_over {
            let Some(to) = self.members.get(to).filter(|to| !to.leaving) else {
                continue;
            };
            let row = next.rows.get_mut(range.0 as usize);
            if let Some(row) = row.filter(|row| row.epoch == *epoch) {
                row.transfer(to.holder(), Acquisition::HandedOver, self.departure_ms);
            }
        }
    }

    fn resume(&self, next: &mut Table) {
        for row in &mut next.rows {
            let member = self.members.get(&row.owner.member);
            let renewed = member.filter(|member| member.session > row.owner.session);
            if let Some(member) = renewed {
                let since_ms = row.since_ms;
                row.transfer(member.holder(), Acquisition::Resumed, since_ms);
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
            let fewest = (0..owners.len()).min_by_key(|index| counts[*index]);
            let Some(index) = fewest else {
                return;
            };
            counts[index] += 1;
            row.transfer(
                owners[index].holder(),
                Acquisition::TakenOver,
                self.departure_ms,
            );
        }
    }
}

impl Row {
    fn transfer(&mut self, owner: Holder, acquisition: Acquisition, since_ms: u64) {
        self.owner = owner;
        self.epoch = self.epoch.next();
        self.acquisition = acquisition;
        self.since_ms = since_ms;
    }
}

/// Rank of `member` by the hash of its name, equal on all members.
pub fn rank(member: &MemberId, seed: u64) -> u64 {
    xxh3_64_with_seed(member.name.as_bytes(), seed)
}
