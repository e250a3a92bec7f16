//! The owner of key ranges, which admits each submission at most once.
//!
//! A submission id maps to one range, and each range has one owner. The owner keeps the
//! accepted ids for as long as callers may resend them. It admits an unknown id only if
//! no previous owner can have accepted it, or if recovery proved that no gate started
//! any task of it. Admission therefore needs no write to the store.
//!
//! [`ranges`] acquires, recovers, hands over and drops ranges; `admission` accepts or
//! refuses submissions; `dispatch` queues and places tasks; `progress` handles the
//! reports of gates; [`submission`] holds the state of one submission.

mod admission;
mod dispatch;
mod progress;
pub mod ranges;
pub mod submission;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::Config;
use crate::fleet::Fleet;
use crate::id::{MemberId, RangeId, SubmissionId};
use crate::load::LoadSample;
use crate::message::{Answer, Message, Operation};
use crate::placement::Placer;
use crate::retry::RetryBudget;
use crate::run_times::RunTimes;
use crate::time::Moment;
use admission::DeferredSubmission;
use dispatch::Backlog;
use ranges::HeldRange;
use submission::SubmissionRecord;

/// An effect that the surrounding process must carry out.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// Send a message.
    Send {
        /// Recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Log a change of a range's state.
    Range {
        /// The range.
        range: RangeId,
        /// Name of the change.
        event: &'static str,
    },
}

/// Actions in the order in which they must be carried out.
pub type OwnerActions = Vec<OwnerAction>;

/// The owner role of an agent.
#[derive(Debug)]
pub struct Owner {
    id: MemberId,
    config: Arc<Config>,
    /// Monotonic end of the store lease.
    lease_until_us: u64,
    /// Whether the local wall clock differs too much from the peers' clocks.
    clock_skewed: bool,
    /// Ranges that are held or being acquired.
    ranges: HashMap<RangeId, HeldRange>,
    /// Ranges that this process has ever served.
    served: HashSet<RangeId>,
    /// Submissions received while their range was being acquired.
    deferred: HashMap<RangeId, Vec<DeferredSubmission>>,
    /// State received from previous owners, until the table assigns the range.
    received_handovers: HashMap<RangeId, crate::message::Handover>,
    /// All retained submissions, open or not.
    submissions: HashMap<SubmissionId, SubmissionRecord>,
    /// Monotonic deadlines of the open submissions, in microseconds.
    deadlines: BTreeSet<(u64, SubmissionId)>,
    /// Wall-clock times at which records are removed, in milliseconds.
    expiries: BTreeSet<(u64, SubmissionId)>,
    /// Waiting tasks.
    backlog: Backlog,
    placer: Placer,
    /// Budget for retries of refused and lost tasks.
    retries: RetryBudget,
    /// Measured run times by service and kind.
    run_times: RunTimes,
    rng: StdRng,
}

impl Owner {
    /// Creates an owner without ranges for the process `id` in `failure_domain`.
    pub fn new(id: MemberId, failure_domain: &str, config: Arc<Config>, seed: u64) -> Owner {
        Owner {
            id: id.clone(),
            lease_until_us: 0,
            clock_skewed: false,
            ranges: HashMap::new(),
            served: HashSet::new(),
            deferred: HashMap::new(),
            received_handovers: HashMap::new(),
            submissions: HashMap::new(),
            deadlines: BTreeSet::new(),
            expiries: BTreeSet::new(),
            backlog: Backlog::default(),
            placer: Placer::new(id, failure_domain, config.clone(), seed),
            retries: RetryBudget::new(&config.policy),
            run_times: RunTimes::default(),
            rng: StdRng::seed_from_u64(seed),
            config,
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.placer.configure(config.clone());
        self.config = config;
    }

    /// Sets the end of the store lease on the local monotonic clock.
    pub fn set_lease_until(&mut self, until_us: u64) {
        self.lease_until_us = until_us;
    }

    /// Sets whether the local wall clock differs too much from the peers' clocks. While
    /// it does, no ids are admitted.
    pub fn set_clock_skewed(&mut self, skewed: bool) {
        self.clock_skewed = skewed;
    }

    /// Merges load samples and dispatches the tasks that can now be placed.
    pub fn on_load_samples(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        samples: &[LoadSample],
    ) -> OwnerActions {
        self.record_loads(now, samples);
        if self.backlog.is_empty() {
            return Vec::new();
        }
        self.dispatch(now, fleet)
    }

    /// Merges load samples without dispatching.
    pub fn record_loads(&mut self, now: Moment, samples: &[LoadSample]) {
        self.placer.merge_samples(now, samples);
    }

    /// Load samples to attach to the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.placer.samples(peer)
    }

    /// The placer, which holds loads and ejections.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    /// All retained submissions by id.
    pub fn submissions(&self) -> &HashMap<SubmissionId, SubmissionRecord> {
        &self.submissions
    }

    /// Ranges that are held or being acquired.
    pub fn held_ranges(&self) -> &HashMap<RangeId, HeldRange> {
        &self.ranges
    }

    /// Whether no submission is open.
    pub fn is_idle(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let mut actions = self.advance_ranges(now, fleet);
        actions.extend(self.submit_deferred(now, fleet));
        actions.extend(self.expire_overdue(now));
        actions.extend(self.send_inquiries(now, fleet));
        self.purge_expired(now);
        self.backlog.release_delayed(now);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    fn purge_expired(&mut self, now: Moment) {
        while let Some((expiry, id)) = self.expiries.first().copied() {
            if expiry > now.wall_ms {
                break;
            }
            self.expiries.pop_first();
            let record = self.submissions.get(&id);
            if record.is_some_and(|record| record.open_tasks().is_empty()) {
                self.submissions.remove(&id);
            }
        }
    }

    fn range_of(&self, id: SubmissionId) -> RangeId {
        id.range(self.config.ownership.ranges)
    }

    /// Wall-clock time until which a record is kept: its id may be resubmitted or its
    /// answer looked up until then.
    fn retain_until_ms(&self, now: Moment, id: SubmissionId) -> u64 {
        let ownership = &self.config.ownership;
        let resubmit_until_ms = id.time_ms() + ownership.retention_ms + ownership.skew_ms;
        let lookup_until_ms = now.wall_ms + ownership.retention_ms / 5;
        resubmit_until_ms.max(lookup_until_ms)
    }

    fn inquiry_interval(&self) -> Duration {
        Duration::from_millis(self.config.policy.inquiry_ms)
    }
}

fn send(to: &MemberId, message: Message) -> OwnerAction {
    OwnerAction::Send {
        to: to.clone(),
        message,
    }
}

fn answer_to(to: &MemberId, id: SubmissionId, about: Operation, answer: Answer) -> OwnerAction {
    send(to, Message::Answer { id, about, answer })
}
