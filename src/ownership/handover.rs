//! Which ranges a member hands over, to whom, and how far that has come.
//!
//! A leaving member hands over everything; one that owns more than its part hands
//! over the surplus, and no more, since others hand over to the same member. A range passes in the table only once its successor has
//! taken what it was told.

use std::time::Duration;

use crate::fleet::{Fleet, MemberRecord};
use crate::id::{Epoch, MemberId, RangeId};
use crate::ownership::{Ownership, OwnershipAction, RETRY, rank};
use crate::time::{Moment, micros};

/// A handover that is not taken is sent again after this.
const HANDOVER_REPEAT: Duration = Duration::from_millis(500);

/// A handover under way.
#[derive(Clone, Debug)]
pub(super) struct Handing {
    pub(super) to: MemberId,
    pub(super) epoch: Epoch,
    sent_us: u64,
    pub(super) taken: bool,
}

impl Ownership {
    /// Starts handovers, repeats those not taken, and forgets those done.
    pub(super) fn hand_over(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let me = &self.record.id;
        let table = fleet.table();
        self.handing.retain(|range, handing| {
            let row = table.row(*range);
            row.is_some_and(|row| row.owner.member == *me && row.epoch == handing.epoch)
        });
        if now.mono_us >= self.until_us || !self.may_take_over(now, RETRY) {
            return Vec::new();
        }
        for (range, epoch, to) in self.wanted_handovers(fleet) {
            let handing = Handing {
                to,
                epoch,
                sent_us: 0,
                taken: false,
            };
            self.handing.entry(range).or_insert(handing);
        }
        self.send_handovers(now, fleet)
    }

    fn send_handovers(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        let spare = self.successors(fleet);
        for (range, handing) in &mut self.handing {
            let gone = !fleet.members().contains_key(&handing.to);
            if gone && let Some(to) = spare.first() {
                handing.to = to.clone();
                handing.taken = false;
                handing.sent_us = 0;
            }
            let repeat_us = handing.sent_us + micros(HANDOVER_REPEAT);
            if handing.taken || (handing.sent_us > 0 && now.mono_us < repeat_us) {
                continue;
            }
            handing.sent_us = now.mono_us;
            let to = handing.to.clone();
            actions.push(OwnershipAction::Freeze { range: *range, to });
        }
        actions
    }

    fn successors(&self, fleet: &Fleet) -> Vec<MemberId> {
        let table = fleet.table();
        let others = fleet.members().values();
        let mut others: Vec<&MemberRecord> = others
            .filter(|member| member.id != self.record.id && !member.leaving)
            .collect();
        others.sort_by_key(|member| rank(&member.id, 0));
        others.truncate(fleet.config().ownership.max_owners);
        others.sort_by_key(|member| table.owned_count(&member.id));
        others.iter().map(|member| member.id.clone()).collect()
    }

    fn wanted_handovers(&self, fleet: &Fleet) -> Vec<(RangeId, Epoch, MemberId)> {
        let table = fleet.table();
        let successors = self.successors(fleet);
        let Some(least) = successors.first() else {
            return Vec::new();
        };
        let holder = self.record.holder();
        let mine = (0u32..)
            .zip(&table.rows)
            .filter(|(_, row)| row.owner == holder);
        let mine: Vec<(RangeId, Epoch)> = mine
            .map(|(index, row)| (RangeId(index), row.epoch))
            .collect();
        if self.record.leaving {
            let to = successors.iter().cycle();
            return mine
                .into_iter()
                .zip(to)
                .map(|((r, e), to)| (r, e, to.clone()))
                .collect();
        }
        let owners = successors.len() + 1;
        let (part, rest) = (table.rows.len() / owners, table.rows.len() % owners);
        let most = part + usize::from(rest > 0);
        if !self.handing.is_empty() || table.owned_count(least) >= part {
            return Vec::new();
        }
        let surplus = mine.len().saturating_sub(most);
        let wanted = part - table.owned_count(least);
        let first = mine.into_iter().take(surplus.min(wanted));
        first
            .map(|(range, epoch)| (range, epoch, least.clone()))
            .collect()
    }

    /// A successor has taken what it was told of a range.
    pub fn handover_taken(&mut self, from: &MemberId, range: RangeId, epoch: Epoch) {
        let handing = self.handing.get_mut(&range);
        if let Some(handing) = handing.filter(|one| one.to == *from && one.epoch == epoch) {
            handing.taken = true;
        }
    }
}
