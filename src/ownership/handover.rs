//! Selection and progress of range handovers.
//!
//! A leaving member hands over all its ranges. A member with more than its fair share
//! hands over the surplus, limited to what the successor lacks. A range moves in the
//! table only after the successor has confirmed that it received the state.

use std::time::Duration;

use crate::fleet::{Fleet, MemberRecord};
use crate::id::{Epoch, MemberId, RangeId};
use crate::ownership::{Ownership, OwnershipAction, RETRY_DELAY, rank};
use crate::time::{Moment, micros};

/// Interval at which an unconfirmed handover is resent.
const HANDOVER_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// A handover in progress.
#[derive(Clone, Debug)]
pub(super) struct PendingHandover {
    /// Successor.
    pub(super) to: MemberId,
    /// Epoch of the row before the move.
    pub(super) epoch: Epoch,
    /// Monotonic time of the last send; 0 if not sent to this successor.
    sent_us: u64,
    /// Whether the successor has received the state.
    pub(super) confirmed: bool,
}

impl Ownership {
    /// Starts handovers, resends unconfirmed ones and removes finished ones.
    pub(super) fn hand_over(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let own_id = &self.record.id;
        let table = fleet.table();
        self.handovers.retain(|range, handover| {
            let row = table.row(*range);
            row.is_some_and(|row| row.owner.member == *own_id && row.epoch == handover.epoch)
        });
        if now.mono_us >= self.lease_until_us || !self.is_store_stable(now, RETRY_DELAY) {
            return Vec::new();
        }
        for (range, epoch, to) in self.due_handovers(fleet) {
            let handover = PendingHandover {
                to,
                epoch,
                sent_us: 0,
                confirmed: false,
            };
            self.handovers.entry(range).or_insert(handover);
        }
        self.send_handovers(now, fleet)
    }

    fn send_handovers(&mut self, now: Moment, fleet: &Fleet) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        let successors = self.successors(fleet);
        for (range, handover) in &mut self.handovers {
            let gone = !fleet.members().contains_key(&handover.to);
            if gone && let Some(to) = successors.first() {
                handover.to = to.clone();
                handover.confirmed = false;
                handover.sent_us = 0;
            }
            let resend_us = handover.sent_us + micros(HANDOVER_RESEND_INTERVAL);
            if handover.confirmed || (handover.sent_us > 0 && now.mono_us < resend_us) {
                continue;
            }
            handover.sent_us = now.mono_us;
            let to = handover.to.clone();
            actions.push(OwnershipAction::Freeze { range: *range, to });
        }
        actions
    }

    /// Members that can receive ranges, those with the fewest first.
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

    /// Ranges to hand over now, with their successors.
    fn due_handovers(&self, fleet: &Fleet) -> Vec<(RangeId, Epoch, MemberId)> {
        let table = fleet.table();
        let successors = self.successors(fleet);
        let Some(fewest) = successors.first() else {
            return Vec::new();
        };
        let holder = self.record.holder();
        let own_ranges = (0u32..)
            .zip(&table.rows)
            .filter(|(_, row)| row.owner == holder);
        let own_ranges: Vec<(RangeId, Epoch)> = own_ranges
            .map(|(index, row)| (RangeId(index), row.epoch))
            .collect();
        if self.record.leaving {
            let to = successors.iter().cycle();
            return own_ranges
                .into_iter()
                .zip(to)
                .map(|((range, epoch), to)| (range, epoch, to.clone()))
                .collect();
        }
        let owners = successors.len() + 1;
        let (fair_share, remainder) = (table.rows.len() / owners, table.rows.len() % owners);
        let max_rows = fair_share + usize::from(remainder > 0);
        if !self.handovers.is_empty() || table.owned_count(fewest) >= fair_share {
            return Vec::new();
        }
        let surplus = own_ranges.len().saturating_sub(max_rows);
        let wanted = fair_share - table.owned_count(fewest);
        let first = own_ranges.into_iter().take(surplus.min(wanted));
        first
            .map(|(range, epoch)| (range, epoch, fewest.clone()))
            .collect()
    }

    /// Handles a successor's confirmation that it received the state of a range.
    pub fn on_handover_taken(&mut self, from: &MemberId, range: RangeId, epoch: Epoch) {
        let handover = self.handovers.get_mut(&range);
        if let Some(handover) =
            handover.filter(|handover| handover.to == *from && handover.epoch == epoch)
        {
            handover.confirmed = true;
        }
    }
}
