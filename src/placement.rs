//! Selects a target for a task.
//!
//! Load samples arrive with a delay, and several owners place tasks concurrently. A
//! target with free slots is therefore drawn at random, weighted by its free slots and
//! its speed, so that owners don't all select the same one. If no slot is free, the
//! target with the shortest expected wait is selected. Tasks sent after the latest
//! sample are added to the load.

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

/// Tasks sent within this time before a sample arrives are assumed to be missing in it.
const SAMPLE_LAG: Duration = Duration::from_millis(4);
/// Age of a sample, in mean run times, from which its load is assumed to decrease.
const STALE_AFTER_RUNS: u64 = 4;
/// Queue length at a target below which non-urgent tasks are still sent.
const NON_URGENT_TARGET_QUEUE: f64 = 1.0;
/// Exponent of free slots and of slowness in the selection weight.
const WEIGHT_EXPONENT: i32 = 2;
/// Mean run time assumed for a target without samples.
const DEFAULT_MEAN_RUN_US: u64 = 100_000;

/// Requirements of a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Required service.
    pub service: &'a str,
    /// Required accelerators of the target's worker.
    pub accelerators: u32,
    /// Whether it may use the slots reserved for urgent tasks.
    pub urgent: bool,
    /// Gates to exclude.
    pub avoid: &'a [MemberId],
}

/// Result of a placement.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the task to a gate.
    Gate {
        /// The gate.
        gate: MemberId,
        /// Its estimated load.
        load: f64,
        /// Number of gates considered.
        candidates: usize,
    },
    /// All eligible targets appear full.
    Busy,
    /// No target is eligible now.
    NoTarget,
}

#[derive(Debug, Default)]
struct SentTasks {
    /// Send times of tasks that no sample includes yet.
    unsampled_us: VecDeque<u64>,
    /// Tasks that have not ended.
    open: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until_us: u64,
}

/// Selects targets from load samples, sent tasks and ejections.
#[derive(Debug)]
pub struct Placer {
    id: MemberId,
    failure_domain: String,
    config: Arc<Config>,
    loads: LoadTable,
    sent: HashMap<MemberId, SentTasks>,
    ejected: HashMap<MemberId, Ejection>,
    round_robin_index: usize,
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
    fn free_slots(&self) -> f64 {
        (self.slots - self.load).max(0.0)
    }

    fn weight(&self) -> f64 {
        self.free_slots().powi(WEIGHT_EXPONENT) / self.slowness.max(0.2).powi(WEIGHT_EXPONENT)
    }

    fn expected_wait_us(&self) -> f64 {
        let ahead = self.load + 1.0 - self.slots;
        ahead.max(0.0) * self.mean_us as f64 / self.slots
    }

    fn queued(&self) -> f64 {
        (self.load - self.slots).max(0.0)
    }
}

impl Placer {
    /// Creates a placer for the process `id` in `failure_domain`.
    pub fn new(id: MemberId, failure_domain: &str, config: Arc<Config>, seed: u64) -> Placer {
        Placer {
            id,
            failure_domain: failure_domain.to_string(),
            config,
            loads: LoadTable::default(),
            sent: HashMap::new(),
            ejected: HashMap::new(),
            round_robin_index: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    fn policy(&self) -> &Policy {
        &self.config.policy
    }

    /// Merges load samples and updates ejections.
    pub fn merge_samples(&mut self, now: Moment, samples: &[LoadSample]) {
        self.loads.merge(samples, now.mono_us);
        for sample in samples {
            self.drop_sampled(&sample.gate);
            self.update_ejection(now, sample);
        }
    }

    fn drop_sampled(&mut self, gate: &MemberId) {
        let (Some(known), Some(sent)) = (self.loads.get(gate), self.sent.get_mut(gate)) else {
            return;
        };
        let sampled_us = known.at_us.saturating_sub(micros(SAMPLE_LAG));
        sent.unsampled_us.retain(|at| *at > sampled_us);
    }

    fn update_ejection(&mut self, now: Moment, sample: &LoadSample) {
        let failing = sample.failed_percent >= self.policy().eject_failures_percent;
        if !failing {
            self.ejected.remove(&sample.gate);
            return;
        }
        let duration = Duration::from_millis(self.policy().eject_ms);
        let until_us = now.after(duration);
        let gate = sample.gate.clone();
        self.ejected.entry(gate).or_insert(Ejection { until_us });
    }

    /// Load samples to attach to the next frame to `peer`.
    pub fn samples(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        self.loads.for_frame(peer)
    }

    /// Gates of ejected targets.
    pub fn ejected_gates(&self) -> impl Iterator<Item = &MemberId> {
        self.ejected.keys()
    }

    /// Latest known load of `gate`.
    pub fn load_of(&self, gate: &MemberId) -> Option<&KnownLoad> {
        self.loads.get(gate)
    }

    /// Records that a task was sent to `gate`. A task sent to an ejected gate is a
    /// trial and postpones the next one.
    pub fn record_sent(&mut self, now: Moment, gate: &MemberId) {
        let next_trial_us = now.after(Duration::from_millis(self.policy().eject_ms));
        if let Some(ejection) = self.ejected.get_mut(gate) {
            ejection.until_us = ejection.until_us.max(next_trial_us);
        }
        let sent = self.sent.entry(gate.clone()).or_default();
        sent.unsampled_us.push_back(now.mono_us);
        sent.open += 1;
    }

    /// Records that a task sent to `gate` is no longer there.
    pub fn record_ended(&mut self, gate: &MemberId) {
        if let Some(sent) = self.sent.get_mut(gate) {
            sent.open = sent.open.saturating_sub(1);
        }
    }

    /// Removes a departed gate.
    pub fn remove_gate(&mut self, gate: &MemberId) {
        self.loads.remove(gate);
        self.sent.remove(gate);
        self.ejected.remove(gate);
    }

    /// Whether the fleet has a target that meets the requirements, regardless of load.
    pub fn can_ever_run(&self, fleet: &Fleet, request: &PlacementRequest<'_>) -> bool {
        fleet
            .gates(request.service)
            .any(|record| record.accelerators >= request.accelerators)
    }

    /// Selects a target.
    pub fn choose(&mut self, now: Moment, fleet: &Fleet, request: &PlacementRequest<'_>) -> Choice {
        let ejected = self.excluded_gates(now, fleet, request.service);
        let candidates: Vec<Candidate<'_>> = fleet
            .gates(request.service)
            .filter(|record| self.is_eligible(fleet, record, request))
            .filter(|record| !ejected.contains(&record.id))
            .map(|record| self.candidate(now, record, request.urgent))
            .collect();
        let candidates = self.prefer_own_region(fleet, candidates);
        if candidates.is_empty() {
            return Choice::NoTarget;
        }
        match self.policy().placement {
            Placement::Random => self.choose_random(&candidates),
            Placement::RoundRobin => self.choose_round_robin(&candidates),
            Placement::LeastFinish => self.choose_least_finish(&candidates, request.urgent),
        }
    }

    fn is_eligible(
        &self,
        fleet: &Fleet,
        record: &MemberRecord,
        request: &PlacementRequest<'_>,
    ) -> bool {
        let is_own = record.id == self.id && !self.config.ownership.self_placement;
        let known = self.loads.get(&record.id);
        let sampled_leaving = known.is_some_and(|known| known.sample.leaving);
        let fits = record.accelerators >= request.accelerators;
        let leaving = record.leaving || sampled_leaving || fleet.is_excluded(record);
        fits && !is_own && !leaving && !request.avoid.contains(&record.id)
    }

    /// Ejected gates that receive no task now, limited to a share of all gates. After the
    /// ejection time, a gate receives one trial task at a time.
    fn excluded_gates(&self, now: Moment, fleet: &Fleet, service: &str) -> Vec<MemberId> {
        let total = fleet.gates(service).count();
        let cap = total * self.policy().eject_cap_percent as usize / 100;
        let mut ejected: Vec<(&MemberId, &Ejection)> = self.ejected.iter().collect();
        ejected.sort_by_key(|(gate, ejection)| (ejection.until_us, (*gate).clone()));
        let capped = ejected.into_iter().take(cap);
        let can_try = |gate: &MemberId| self.sent.get(gate).is_none_or(|sent| sent.open == 0);
        capped
            .filter(|(gate, ejection)| ejection.until_us > now.mono_us || !can_try(gate))
            .map(|(gate, _)| gate.clone())
            .collect()
    }

    fn candidate<'f>(&self, now: Moment, record: &'f MemberRecord, urgent: bool) -> Candidate<'f> {
        let slots = f64::from(self.usable_slots(record.slots, urgent));
        let unsampled = self
            .sent
            .get(&record.id)
            .map_or(0, |sent| sent.unsampled_us.len());
        let Some(known) = self.loads.get(&record.id) else {
            return Candidate {
                record,
                slots,
                load: unsampled as f64,
                mean_us: DEFAULT_MEAN_RUN_US,
                slowness: 1.0,
            };
        };
        let sample = &known.sample;
        Candidate {
            record,
            slots,
            load: estimated_load(now, known, record.slots, urgent) + unsampled as f64,
            mean_us: sample.mean_run_us.max(1),
            slowness: f64::from(sample.slowness_percent) / 100.0,
        }
    }

    /// Queue length at which a target counts as full. It is short for non-urgent tasks,
    /// which can still go elsewhere while they wait at the owner.
    fn max_target_queue(&self, urgent: bool) -> f64 {
        match urgent {
            true => self.policy().target_queue as f64 / 2.0,
            false => NON_URGENT_TARGET_QUEUE,
        }
    }

    /// Slots of a target that a task may use; at least one.
    fn usable_slots(&self, slots: u32, urgent: bool) -> u32 {
        let reserved = if urgent {
            0
        } else {
            self.policy().reserved_slots
        };
        slots.saturating_sub(reserved).max(1)
    }

    /// Candidates in the local region, or all if the region has none.
    fn prefer_own_region<'f>(
        &self,
        fleet: &Fleet,
        candidates: Vec<Candidate<'f>>,
    ) -> Vec<Candidate<'f>> {
        let Some(region) = fleet.config().region_of(&self.failure_domain) else {
            return candidates;
        };
        let is_local = |candidate: &Candidate<'f>| {
            region
                .failure_domains
                .contains(&candidate.record.failure_domain)
        };
        if candidates.iter().any(&is_local) {
            return candidates.into_iter().filter(&is_local).collect();
        }
        candidates
    }

    fn choose_random(&mut self, candidates: &[Candidate<'_>]) -> Choice {
        let index = self.rng.random_range(0..candidates.len());
        gate_choice(candidates, index)
    }

    fn choose_round_robin(&mut self, candidates: &[Candidate<'_>]) -> Choice {
        self.round_robin_index += 1;
        gate_choice(candidates, self.round_robin_index % candidates.len())
    }

    fn choose_least_finish(&mut self, candidates: &[Candidate<'_>], urgent: bool) -> Choice {
        let total: f64 = candidates.iter().map(Candidate::weight).sum();
        if total > 0.0 {
            let point = self.rng.random::<f64>() * total;
            return gate_choice(candidates, draw_weighted(candidates, point));
        }
        let limit = self.max_target_queue(urgent);
        let with_room = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.queued() < limit);
        let best = with_room
            .min_by(|(_, a), (_, b)| a.expected_wait_us().total_cmp(&b.expected_wait_us()));
        match best {
            Some((index, _)) => gate_choice(candidates, index),
            None => Choice::Busy,
        }
    }
}

/// Estimated load ahead of a task at a target; an urgent task has only urgent tasks ahead
/// of it in the queue. The load of an old sample is reduced by the tasks that have likely
/// finished since.
fn estimated_load(now: Moment, known: &KnownLoad, slots: u32, urgent: bool) -> f64 {
    let sample = &known.sample;
    let queued = if urgent {
        sample.urgent_queued
    } else {
        sample.queued
    };
    let load = f64::from(sample.running + queued);
    let age_us = now.mono_us.saturating_sub(known.at_us);
    let stale_us = STALE_AFTER_RUNS * sample.mean_run_us;
    let elapsed_us = age_us.saturating_sub(stale_us) as f64;
    let finished = elapsed_us * f64::from(slots) / sample.mean_run_us.max(1) as f64;
    (load - finished).max(0.0)
}

fn draw_weighted(candidates: &[Candidate<'_>], point: f64) -> usize {
    let mut remaining = point;
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= candidate.weight();
        if remaining < 0.0 {
            return index;
        }
    }
    candidates.len() - 1
}

fn gate_choice(candidates: &[Candidate<'_>], index: usize) -> Choice {
    let candidate = &candidates[index];
    Choice::Gate {
        gate: candidate.record.id.clone(),
        load: candidate.load,
        candidates: candidates.len(),
    }
}

/// Exponential backoff with jitter before retry number `attempt`.
pub fn backoff(rng: &mut impl Rng, first: Duration, attempt: u32) -> Duration {
    let doubled = first * 2u32.saturating_pow(attempt.min(6));
    doubled.mul_f64(rng.random_range(0.5..1.5))
}
