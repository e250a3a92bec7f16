//! The owner of key ranges: decides once for every submission whether it runs.
//!
//! Each submission id falls into one range, each range has one owner, and the
//! owner keeps every id it accepted for as long as callers may send it again.
//! An id that is not kept is taken as new only if this owner must have seen it
//! had it been accepted: it is above the range's horizon, or recovery proved
//! that no gate started any of it. So no write to the store is needed for a
//! task, and no clock decides more than the horizon does.
//!
//! The parts: [`ranges`] gains, recovers, hands over and loses ranges;
//! `admission` takes submissions in; `dispatch` places their tasks; `progress`
//! takes what gates report; `entry` is one submission.

mod admission;
mod dispatch;
pub mod entry;
mod progress;
pub mod ranges;

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
use admission::Parked;
use dispatch::Backlog;
use entry::Entry;
use ranges::Held;

/// What an owner asks of the process around it.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// Send a message.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// A range changed; for the log.
    Range {
        /// The range.
        range: RangeId,
        /// What happened to it.
        event: &'static str,
    },
}

/// Messages and notes, in order.
pub type OwnerActions = Vec<OwnerAction>;

/// The owner part of an agent.
#[derive(Debug)]
pub struct Owner {
    me: MemberId,
    config: Arc<Config>,
    lease_until_us: u64,
    clock_off: bool,
    ranges: HashMap<RangeId, Held>,
    /// Ranges that this process has served at some time.
    served: HashSet<RangeId>,
    /// Submissions that came while their range was being gained.
    parked: HashMap<RangeId, Vec<Parked>>,
    handovers: HashMap<RangeId, crate::message::Handover>,
    entries: HashMap<SubmissionId, Entry>,
    deadlines: BTreeSet<(u64, SubmissionId)>,
    expiries: BTreeSet<(u64, SubmissionId)>,
    backlog: Backlog,
    placer: Placer,
    retries: RetryBudget,
    run_times: RunTimes,
    rng: StdRng,
}

impl Owner {
    /// An owner of nothing, in the process `me` in `failure_domain`.
    pub fn new(me: MemberId, failure_domain: &str, config: Arc<Config>, seed: u64) -> Owner {
        Owner {
            me: me.clone(),
            lease_until_us: 0,
            clock_off: false,
            ranges: HashMap::new(),
            served: HashSet::new(),
            parked: HashMap::new(),
            handovers: HashMap::new(),
            entries: HashMap::new(),
            deadlines: BTreeSet::new(),
            expiries: BTreeSet::new(),
            backlog: Backlog::default(),
            placer: Placer::new(me, failure_domain, config.clone(), seed),
            retries: RetryBudget::new(&config.policy),
            run_times: RunTimes::default(),
            rng: StdRng::seed_from_u64(seed),
            config,
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.placer.configure(config.clone());
        self.config = config;
    }

    /// The lease in the store is good until `until_us` on the own clock.
    pub fn leased_until(&mut self, until_us: u64) {
        self.lease_until_us = until_us;
    }

    /// Whether the own wall clock is too far from the peers' to judge ids.
    pub fn clock_off(&mut self, off: bool) {
        self.clock_off = off;
    }

    /// Takes in load samples and sends what can now be placed.
    pub fn observe(&mut self, now: Moment, fleet: &Fleet, samples: &[LoadSample]) -> OwnerActions {
        self.note_loads(now, samples);
        if self.backlog.is_empty() {
            return Vec::new();
        }
        self.dispatch(now, fleet)
    }

    /// Takes in load samples only.
    pub fn note_loads(&mut self, now: Moment, samples: &[LoadSample]) {
        self.placer.observe(now, samples);
    }

    /// Samples for the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.placer.samples(peer)
    }

    /// What is known of loads and ejections.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    /// The submissions it knows.
    pub fn entries(&self) -> &HashMap<SubmissionId, Entry> {
        &self.entries
    }

    /// The ranges it holds.
    pub fn held(&self) -> &HashMap<RangeId, Held> {
        &self.ranges
    }

    /// Whether no submission is open.
    pub fn idle(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Moment, fleet: &Fleet) -> OwnerActions {
        let mut actions = self.advance_ranges(now, fleet);
        actions.extend(self.submit_parked(now, fleet));
        actions.extend(self.end_late(now));
        actions.extend(self.inquire(now, fleet));
        self.forget_old(now);
        self.backlog.wake(now);
        actions.extend(self.dispatch(now, fleet));
        actions
    }

    fn forget_old(&mut self, now: Moment) {
        while let Some((expiry, id)) = self.expiries.first().copied() {
            if expiry > now.wall_ms {
                break;
            }
            self.expiries.pop_first();
            let entry = self.entries.get(&id);
            if entry.is_some_and(|entry| entry.open_tasks().is_empty()) {
                self.entries.remove(&id);
            }
        }
    }

    fn range_of(&self, id: SubmissionId) -> RangeId {
        id.range(self.config.ownership.ranges)
    }

    fn keep_until(&self, now: Moment, id: SubmissionId) -> u64 {
        let ownership = &self.config.ownership;
        let resubmitted = id.time_ms() + ownership.retention_ms + ownership.skew_ms;
        let polled = now.wall_ms + ownership.retention_ms / 5;
        resubmitted.max(polled)
    }

    fn inquiry_after(&self) -> Duration {
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
