//! Which target a task goes to.
//!
//! Loads arrive late, on frames that carry work, and several owners place at
//! once. Picking the emptiest target would make them all pick the same one
//! between two samples; so a target with free slots is drawn at random, with
//! odds that grow with its free slots and shrink with its slowness. Where none
//! is free, the least expected wait wins. Work just sent counts until a later
//! sample must contain it.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::config::{Config, Placement, Policy};
use crate::fleet::{Fleet, MemberRecord};
use crate::id::MemberId;
use crate::load::{KnownLoad, LoadSample, LoadTable};
use crate::time::{Moment, micros};

/// A sample may miss what was sent less than this before it came.
const SAMPLE_LAG: Duration = Duration::from_millis(4);
/// Age from which a sample is thought to have improved.
const SAMPLE_STALE_RUNS: u64 = 4;
/// Tasks that are not urgent and may wait at a target.
const LATE_QUEUE: f64 = 1.0;
/// Power to which free slots count.
const FREE_SLOT_POWER: i32 = 2;
/// Mean run time of a target that nothing is known of.
const UNKNOWN_MEAN_US: u64 = 100_000;

/// What a task needs.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Service of the target.
    pub service: &'a str,
    /// Accelerators of the target's worker.
    pub accelerators: u32,
    /// Whether it may use the slots that are kept for urgent tasks.
    pub urgent: bool,
    /// Targets that are out of the question.
    pub avoid: &'a [MemberId],
}

/// Where a task goes, and why.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this gate.
    Gate {
        /// The gate.
        gate: MemberId,
        /// The load that it was thought to have.
        load: f64,
        /// Number of gates that were weighed.
        candidates: usize,
    },
    /// Every target looks full; wait.
    Busy,
    /// No target takes it now.
    Nowhere,
}

#[derive(Debug, Default)]
struct Sent {
    /// When tasks were sent that no sample contains yet.
    unseen_us: VecDeque<u64>,
    /// Tasks that have not ended.
    open: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until_us: u64,
}

/// Chooses targets.
#[derive(Debug)]
pub struct Placer {
    me: MemberId,
    failure_domain: String,
    config: Arc<Config>,
    book: LoadTable,
    sent: HashMap<MemberId, Sent>,
    ejected: HashMap<MemberId, Ejection>,
    turn: usize,
    rng: StdRng,
}

struct Candidate<'f> {
    record: &'f MemberRecord,
    slots: f64,
    load: f64,
    mean_us: u64,
    slowness: f64,
}

impl Candidate<'_> {
    fn free(&self) -> f64 {
        (self.slots - self.load).max(0.0)
    }

    fn odds(&self) -> f64 {
        self.free().powi(FREE_SLOT_POWER) / self.slowness.max(0.2).powi(FREE_SLOT_POWER)
    }

    fn wait_us(&self) -> f64 {
        let ahead = self.load + 1.0 - self.slots;
        ahead.max(0.0) * self.mean_us as f64 / self.slots
    }

    fn queued(&self) -> f64 {
        (self.load - self.slots).max(0.0)
    }
}

impl Placer {
    /// A placer for the process `me` in `failure_domain`.
    pub fn new(me: MemberId, failure_domain: &str, config: Arc<Config>, seed: u64) -> Placer {
        Placer {
            me,
            failure_domain: failure_domain.to_string(),
            config,
            book: LoadTable::default(),
            sent: HashMap::new(),
            ejected: HashMap::new(),
            turn: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    fn policy(&self) -> &Policy {
        &self.config.policy
    }

    /// Takes in samples.
    pub fn observe(&mut self, now: Moment, samples: &[LoadSample]) {
        self.book.merge(samples, now.mono_us);
        for sample in samples {
            self.forget_seen(&sample.gate);
            self.judge(now, sample);
        }
    }

    fn forget_seen(&mut self, gate: &MemberId) {
        let (Some(known), Some(sent)) = (self.book.get(gate), self.sent.get_mut(gate)) else {
            return;
        };
        let seen_us = known.at_us.saturating_sub(micros(SAMPLE_LAG));
        sent.unseen_us.retain(|at| *at > seen_us);
    }

    fn judge(&mut self, now: Moment, sample: &LoadSample) {
        let failing = sample.failed_percent >= self.policy().eject_failures_percent;
        if !failing {
            self.ejected.remove(&sample.gate);
            return;
        }
        let span = Duration::from_millis(self.policy().eject_ms);
        let until_us = now.after(span);
        let gate = sample.gate.clone();
        self.ejected.entry(gate).or_insert(Ejection { until_us });
    }

    /// Samples for the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.book.for_frame(peer)
    }

    /// Targets that are ejected now.
    pub fn ejected(&self) -> impl Iterator<Item = &MemberId> {
        self.ejected.keys()
    }

    /// What is known of the load of `gate`.
    pub fn known(&self, gate: &MemberId) -> Option<&KnownLoad> {
        self.book.get(gate)
    }

    /// A task was sent to `gate`; to an ejected one it is a trial, and the next
    /// trial is a while off.
    pub fn sent(&mut self, now: Moment, gate: &MemberId) {
        let next_trial_us = now.after(Duration::from_millis(self.policy().eject_ms));
        if let Some(ejection) = self.ejected.get_mut(gate) {
            ejection.until_us = ejection.until_us.max(next_trial_us);
        }
        let sent = self.sent.entry(gate.clone()).or_default();
        sent.unseen_us.push_back(now.mono_us);
        sent.open += 1;
    }

    /// A task that was sent to `gate` is no longer there.
    pub fn ended(&mut self, gate: &MemberId) {
        if let Some(sent) = self.sent.get_mut(gate) {
            sent.open = sent.open.saturating_sub(1);
        }
    }

    /// Forgets a gate that is gone.
    pub fn forget(&mut self, gate: &MemberId) {
        self.book.remove(gate);
        self.sent.remove(gate);
        self.ejected.remove(gate);
    }

    /// Whether any target of the fleet could ever run this.
    pub fn could_run(&self, fleet: &Fleet, want: &Want<'_>) -> bool {
        fleet
            .gates(want.service)
            .any(|record| record.accelerators >= want.accelerators)
    }

    /// Chooses a target.
    pub fn choose(&mut self, now: Moment, fleet: &Fleet, want: &Want<'_>) -> Choice {
        let ejected = self.ejected_in_force(now, fleet, want.service);
        let fit: Vec<Candidate<'_>> = fleet
            .gates(want.service)
            .filter(|record| self.takes(fleet, record, want))
            .filter(|record| !ejected.contains(&record.id))
            .map(|record| self.candidate(now, record, want.urgent))
            .collect();
        let fit = self.nearest(fleet, fit);
        if fit.is_empty() {
            return Choice::Nowhere;
        }
        match self.policy().placement {
            Placement::Random => self.any(&fit),
            Placement::RoundRobin => self.next_in_turn(&fit),
            Placement::LeastFinish => self.least_finish(&fit, want.urgent),
        }
    }

    fn takes(&self, fleet: &Fleet, record: &MemberRecord, want: &Want<'_>) -> bool {
        let own = record.id == self.me && !self.config.ownership.self_placement;
        let known = self.book.get(&record.id);
        let refuses = known.is_some_and(|known| known.sample.leaving);
        let fits = record.accelerators >= want.accelerators;
        let leaving = record.leaving || refuses || fleet.is_excluded(record);
        fits && !own && !leaving && !want.avoid.contains(&record.id)
    }

    /// Ejected targets that get no task now; after the time of ejection a
    /// target gets one task at a time, as a trial.
    fn ejected_in_force(&self, now: Moment, fleet: &Fleet, service: &str) -> Vec<MemberId> {
        let total = fleet.gates(service).count();
        let cap = total * self.policy().eject_cap_percent as usize / 100;
        let mut ejected: Vec<(&MemberId, &Ejection)> = self.ejected.iter().collect();
        ejected.sort_by_key(|(gate, ejection)| (ejection.until_us, (*gate).clone()));
        let barred = ejected.into_iter().take(cap);
        let on_trial = |gate: &MemberId| self.sent.get(gate).is_none_or(|sent| sent.open == 0);
        barred
            .filter(|(gate, ejection)| ejection.until_us > now.mono_us || !on_trial(gate))
            .map(|(gate, _)| gate.clone())
            .collect()
    }

    fn candidate<'f>(&self, now: Moment, record: &'f MemberRecord, urgent: bool) -> Candidate<'f> {
        let slots = f64::from(self.usable_slots(record.slots, urgent));
        let unseen = self
            .sent
            .get(&record.id)
            .map_or(0, |sent| sent.unseen_us.len());
        let Some(known) = self.book.get(&record.id) else {
            return Candidate {
                record,
                slots,
                load: unseen as f64,
                mean_us: UNKNOWN_MEAN_US,
                slowness: 1.0,
            };
        };
        let sample = &known.sample;
        Candidate {
            record,
            slots,
            load: believed_load(now, known, record.slots, urgent) + unseen as f64,
            mean_us: sample.mean_run_us.max(1),
            slowness: f64::from(sample.slowness_percent) / 100.0,
        }
    }

    /// Tasks that may wait at a target before this owner keeps one back: few of
    /// those that are not urgent, since what waits here can still go elsewhere.
    fn queue_ahead(&self, urgent: bool) -> f64 {
        match urgent {
            true => self.policy().target_queue as f64 / 2.0,
            false => LATE_QUEUE,
        }
    }

    /// Slots of a target that a task may use; never none.
    fn usable_slots(&self, slots: u32, urgent: bool) -> u32 {
        let reserved = if urgent {
            0
        } else {
            self.policy().reserved_slots
        };
        slots.saturating_sub(reserved).max(1)
    }

    /// Candidates in this process's region, or all if there is none.
    fn nearest<'f>(&self, fleet: &Fleet, fit: Vec<Candidate<'f>>) -> Vec<Candidate<'f>> {
        let Some(region) = fleet.config().region_of(&self.failure_domain) else {
            return fit;
        };
        let here = |candidate: &Candidate<'f>| {
            region
                .failure_domains
                .contains(&candidate.record.failure_domain)
        };
        if fit.iter().any(&here) {
            return fit.into_iter().filter(&here).collect();
        }
        fit
    }

    fn any(&mut self, fit: &[Candidate<'_>]) -> Choice {
        let index = self.rng.random_range(0..fit.len());
        chosen(fit, index)
    }

    fn next_in_turn(&mut self, fit: &[Candidate<'_>]) -> Choice {
        self.turn += 1;
        chosen(fit, self.turn % fit.len())
    }

    fn least_finish(&mut self, fit: &[Candidate<'_>], urgent: bool) -> Choice {
        let total: f64 = fit.iter().map(Candidate::odds).sum();
        if total > 0.0 {
            let at = self.rng.random::<f64>() * total;
            return chosen(fit, draw(fit, at));
        }
        let limit = self.queue_ahead(urgent);
        let open = fit
            .iter()
            .enumerate()
            .filter(|(_, one)| one.queued() < limit);
        let best = open.min_by(|(_, a), (_, b)| a.wait_us().total_cmp(&b.wait_us()));
        match best {
            Some((index, _)) => chosen(fit, index),
            None => Choice::Busy,
        }
    }
}

/// Load of a target now, as far as it goes before the task; what an old sample
/// counted has partly finished.
fn believed_load(now: Moment, known: &KnownLoad, slots: u32, urgent: bool) -> f64 {
    let sample = &known.sample;
    let queued = if urgent {
        sample.urgent_queued
    } else {
        sample.queued
    };
    let load = f64::from(sample.running + queued);
    let age_us = now.mono_us.saturating_sub(known.at_us);
    let stale_us = SAMPLE_STALE_RUNS * sample.mean_run_us;
    let idle_us = age_us.saturating_sub(stale_us) as f64;
    let finished = idle_us * f64::from(slots) / sample.mean_run_us.max(1) as f64;
    (load - finished).max(0.0)
}

fn draw(fit: &[Candidate<'_>], at: f64) -> usize {
    let mut left = at;
    for (index, candidate) in fit.iter().enumerate() {
        left -= candidate.odds();
        if left < 0.0 {
            return index;
        }
    }
    fit.len() - 1
}

fn chosen(fit: &[Candidate<'_>], index: usize) -> Choice {
    let candidate = &fit[index];
    Choice::Gate {
        gate: candidate.record.id.clone(),
        load: candidate.load,
        candidates: fit.len(),
    }
}

/// A jittered delay before retry number `attempt`.
pub fn backoff(rng: &mut impl Rng, first: Duration, attempt: u32) -> Duration {
    let doubled = first * 2u32.saturating_pow(attempt.min(6));
    doubled.mul_f64(rng.random_range(0.5..1.5))
}
