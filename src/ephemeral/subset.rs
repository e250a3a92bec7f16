//! Subset of the gates that an entry keeps sessions with.
//!
//! Each session costs heartbeats and load reports even without work. An entry therefore
//! connects to a minimum number of gates, plus enough gates for several times its recent
//! demand. The number of frames then grows with the work and not with entries times gates.
//!
//! Gates are chosen by rendezvous hashing of the entry's and the gate's names. Entries need
//! not coordinate, a gate that is added or removed changes few sessions, and load
//! spreads over all gates. Gates that are unreachable or take no work are replaced by
//! others.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ephemeral::directory::{GateChanges, MISSING_RECORD_GRACE};
use crate::ephemeral::job::JobSpec;
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::placement::PlacementRequest;
use crate::ephemeral::registrars::Registrars;
use crate::time::{Moment, micros};

/// Minimum number of gates for each service.
const MIN_GATES: usize = 16;
/// Minimum number of gates on a rack that holds a job's data; tasks may also run elsewhere.
const MIN_GATES_ON_RACK: usize = 4;
/// Capacity of the chosen gates as a multiple of the demand, as other entries share them.
const CAPACITY_FACTOR: f64 = 4.0;
/// Half-life of the recorded demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(10);
/// How long gates are kept for a job kind after its last job.
const KIND_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of job kinds tracked; other jobs use the gates of their service.
const MAX_KINDS: usize = 64;
/// Interval between two choices while only the demand changes.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);
/// How long after the first records further gates may be missing, as the agents of a deployment
/// start together with its entries.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Kind of jobs that can run on the same workers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKind {
    service: Arc<str>,
    label: Option<String>,
    rack: Option<String>,
}

impl JobKind {
    /// Kinds of a job: that of its service, and that of its data's rack if it has one.
    pub fn of(service: &Arc<str>, spec: &JobSpec) -> Vec<JobKind> {
        let general = JobKind {
            service: service.clone(),
            label: spec.constraints.label.clone(),
            rack: None,
        };
        let rack = spec.constraints.data_rack.clone();
        let on_rack = rack.map(|rack| JobKind {
            rack: Some(rack),
            ..general.clone()
        });
        std::iter::once(general).chain(on_rack).collect()
    }

    /// Whether jobs of this kind may run on `worker`.
    fn runs_on(&self, worker: &WorkerTraits) -> bool {
        let labels = self.label.iter().chain(&self.rack);
        worker.service == *self.service && labels.into_iter().all(|l| worker.labels.contains(l))
    }

    fn min_gates(&self) -> usize {
        match self.rack {
            Some(_) => MIN_GATES_ON_RACK,
            None => MIN_GATES,
        }
    }
}

/// Whether the workers of the fleet can run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// Some worker could run it if it were empty.
    Fits,
    /// No worker has the capacity now, but some worker had.
    CapacityReduced,
    /// No worker has ever had the capacity.
    Impossible,
    /// No known worker could run it, but not all workers are known.
    Unknown,
}

/// Recent demand of a job kind.
#[derive(Clone, Copy, Debug)]
struct Demand {
    cpu_milli: f64,
    at_us: u64,
}

impl Demand {
    fn decayed(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.cpu_milli * 0.5f64.powf(elapsed_us / micros(DEMAND_HALF_LIFE) as f64)
    }

    fn is_expired(&self, now: Moment) -> bool {
        now.mono_us > self.at_us + micros(KIND_RETENTION)
    }
}

/// Gate that has a record, or had one until recently.
#[derive(Debug)]
struct Candidate {
    name: Arc<str>,
    worker: Option<WorkerTraits>,
    /// Time since which its record has been missing.
    missing_since_us: Option<u64>,
}

/// Chooses the gates of one entry.
#[derive(Debug)]
pub struct Subset {
    entry_name: Arc<str>,
    /// By rank in this entry's order.
    candidates: BTreeMap<u64, Candidate>,
    /// Gates that are unreachable or take no work now.
    unavailable: HashSet<Arc<str>>,
    /// Whether there may be gates that are not known yet.
    may_miss_gates: bool,
    /// Time of the first records, in monotonic microseconds.
    first_update_us: Option<u64>,
    demands: HashMap<JobKind, Demand>,
    wanted: HashSet<Arc<str>>,
    registrars: Registrars,
    choice_due: bool,
    last_choice_us: u64,
}

impl Subset {
    /// Creates a subset without gates for the entry of this name.
    pub fn new(entry_name: Arc<str>) -> Subset {
        Subset {
            entry_name,
            candidates: BTreeMap::new(),
            unavailable: HashSet::new(),
            may_miss_gates: false,
            first_update_us: None,
            demands: HashMap::new(),
            wanted: HashSet::new(),
            registrars: Registrars::default(),
            choice_due: false,
            last_choice_us: 0,
        }
    }

    fn rank(&self, gate: &str) -> u64 {
        xxh3_64(format!("{}/{gate}", self.entry_name).as_bytes())
    }

    /// Applies changes of the gates' records.
    pub fn update(&mut self, now: Moment, changes: &GateChanges) {
        self.may_miss_gates = changes.partial;
        self.first_update_us.get_or_insert(now.mono_us);
        for gate in &changes.removed {
            let rank = self.rank(gate);
            if let Some(candidate) = self.candidates.get_mut(&rank) {
                candidate.missing_since_us.get_or_insert(now.mono_us);
            }
        }
        for record in &changes.written {
            let rank = self.rank(&record.gate);
            let candidate = Candidate {
                name: record.gate.clone(),
                worker: record.worker.as_ref().map(|worker| worker.traits.clone()),
                missing_since_us: None,
            };
            self.registrars.insert(&candidate.name);
            self.candidates.insert(rank, candidate);
        }
        self.choice_due = true;
    }

    /// Records whether a gate can be reached and takes work.
    pub fn set_available(&mut self, gate: &Arc<str>, is_available: bool) {
        self.choice_due |= match is_available {
            true => self.unavailable.remove(gate),
            false => self.unavailable.insert(gate.clone()),
        };
    }

    /// Records the processor time that open jobs of a kind need, in thousandths of a core.
    pub fn record_demand(&mut self, now: Moment, kind: &JobKind, cpu_milli: u64) {
        let known = self.demands.get(kind);
        if known.is_none() && self.demands.len() >= MAX_KINDS {
            return;
        }
        self.choice_due |= known.is_none();
        let before = known.map_or(0.0, |demand| demand.decayed(now));
        let demand = Demand {
            cpu_milli: before.max(cpu_milli as f64),
            at_us: now.mono_us,
        };
        self.demands.insert(kind.clone(), demand);
    }

    /// Chooses the gates again if records or availability changed or the interval has
    /// passed.
    pub fn choose(&mut self, now: Moment) {
        if !self.choice_due && now.mono_us < self.last_choice_us + micros(CHOICE_INTERVAL) {
            return;
        }
        self.choice_due = false;
        self.last_choice_us = now.mono_us;
        self.evict_old(now);
        let mut wanted = HashSet::new();
        for kind in self.kinds() {
            let demand = self.demands.get(&kind);
            let cpu_milli = demand.map_or(0.0, |demand| demand.decayed(now)) * CAPACITY_FACTOR;
            self.add_gates(&kind, cpu_milli, &mut wanted);
        }
        self.wanted = wanted;
    }

    /// Removes expired job kinds and gates whose record has been missing for too long.
    fn evict_old(&mut self, now: Moment) {
        self.demands.retain(|_, demand| !demand.is_expired(now));
        let gone = self.candidates.extract_if(.., |_, candidate| {
            let missing = candidate.missing_since_us;
            missing.is_some_and(|since_us| now.mono_us > since_us + micros(MISSING_RECORD_GRACE))
        });
        for (_, candidate) in gone {
            self.registrars.remove(&candidate.name);
            self.unavailable.remove(&candidate.name);
        }
    }

    /// Recent job kinds, and one kind for each service.
    fn kinds(&self) -> BTreeSet<JobKind> {
        let workers = self
            .candidates
            .values()
            .filter_map(|candidate| candidate.worker.as_ref());
        let services = workers.map(|worker| JobKind {
            service: worker.service.as_str().into(),
            label: None,
            rack: None,
        });
        self.demands.keys().cloned().chain(services).collect()
    }

    /// Adds the first gates in rank order with enough capacity for a job kind. A gate whose
    /// worker is unknown matches every kind.
    fn add_gates(&self, kind: &JobKind, cpu_milli: f64, wanted: &mut HashSet<Arc<str>>) {
        let (mut gates, mut cpu_milli_total) = (0, 0.0);
        for candidate in self.candidates.values() {
            if gates >= kind.min_gates() && cpu_milli_total >= cpu_milli {
                return;
            }
            let worker = candidate.worker.as_ref();
            if worker.is_some_and(|worker| !kind.runs_on(worker)) {
                continue;
            }
            wanted.insert(candidate.name.clone());
            if !self.unavailable.contains(&candidate.name) {
                gates += 1;
                cpu_milli_total += worker.map_or(0.0, |worker| worker.capacity.cpu_milli as f64);
            }
        }
    }

    /// Number of known gates and of chosen gates.
    pub fn counts(&self) -> (usize, usize) {
        (self.candidates.len(), self.wanted.len())
    }

    /// Whether the gate is in the subset.
    pub fn is_wanted(&self, gate: &str) -> bool {
        self.wanted.contains(gate)
    }

    /// Whether a session with the gate is needed, as it is in the subset or a registrar.
    pub fn needs_session(&self, gate: &str) -> bool {
        self.is_wanted(gate) || self.registrars.is_wanted(gate)
    }

    /// Whether the gate is a registrar outside the subset.
    pub fn is_only_registrar(&self, gate: &str) -> bool {
        !self.is_wanted(gate) && self.registrars.is_wanted(gate)
    }

    /// The gates at which jobs are registered.
    pub fn registrars(&self) -> &Registrars {
        &self.registrars
    }

    /// Records whether a gate can be reached, whether or not it takes work.
    pub fn set_reachable(&mut self, gate: &Arc<str>, is_reachable: bool) {
        self.registrars.set_reachable(gate, is_reachable);
    }

    /// Whether the gate has a record, or had one until recently.
    pub fn is_known(&self, gate: &str) -> bool {
        self.candidates.contains_key(&self.rank(gate))
    }

    /// Whether some gate may take work: one that is not known to be unavailable, or one whose
    /// record has not been read.
    pub fn may_have_available_gate(&self, now: Moment) -> bool {
        let mut names = self.candidates.values().map(|candidate| &candidate.name);
        let first_us = self.first_update_us;
        let discovers =
            first_us.is_some_and(|first_us| now.mono_us < first_us + micros(DISCOVERY_PERIOD));
        discovers || self.may_miss_gates || names.any(|name| !self.unavailable.contains(name))
    }

    /// Whether the workers of the fleet could run this number of tasks at the same time if they were
    /// idle, or may, as not all of them are known.
    pub fn may_fit(&self, request: &PlacementRequest<'_>, tasks: u64) -> bool {
        let workers = || self.candidates.values().map(|gate| gate.worker.as_ref());
        self.may_miss_gates
            || request.fit_together(tasks, &mut workers().flatten())
            || workers().any(|worker| worker.is_none())
    }

    /// Whether the workers of the fleet can run a task.
    pub fn feasibility(&self, request: &PlacementRequest<'_>) -> Feasibility {
        let workers = || {
            self.candidates
                .values()
                .map(|candidate| candidate.worker.as_ref())
        };
        if workers().flatten().any(|worker| request.fits(worker)) {
            return Feasibility::Fits;
        }
        if workers().flatten().any(|worker| request.could_fit(worker)) {
            return Feasibility::CapacityReduced;
        }
        let all_known = workers().all(|worker| worker.is_some());
        match all_known && !self.may_miss_gates {
            true => Feasibility::Impossible,
            false => Feasibility::Unknown,
        }
    }
}
