//! Which gates an entry keeps sessions with.
//!
//! What two processes say to each other to stay in touch goes out for each session,
//! work or none. So an entry has no session with every gate, but with as many as its
//! own work needs: a few, and for what it has asked for of late several times the room.
//! Frames then grow with the work of the fleet, and not with entries times gates (55
//! entries and 240 gates: 98 frames for each task that began with all sessions open).
//!
//! Which gates these are follows from a hash of both names (rendezvous hashing): each
//! entry takes the first ones of an order of its own. Entries need not know each other,
//! a gate that comes or goes moves one session an entry, and the sets of entries overlap
//! so that load spreads over them all. Gates that are away or take no work do not count,
//! so that the set is filled up with others.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ephemeral::directory::{GateChanges, MISSING_RECORD_GRACE};
use crate::ephemeral::job::JobSpec;
use crate::ephemeral::message::WorkerTraits;
use crate::ephemeral::placement::Want;
use crate::time::{Moment, micros};

/// Gates of each service that an entry has sessions with at least. A job of eight tasks
/// finds the emptiest of twice as many.
const LEAST: usize = 16;
/// The same of a rack that data of a job lies on: a few, as tasks may run elsewhere.
const LEAST_ON_RACK: usize = 4;
/// Times the room that an entry's open jobs want that its gates have in all, as they share
/// these gates with the jobs of other entries. Reasoned, not varied: with it 0.97 of the
/// jobs are in time at 0.94 of the room of 70 gates, where callers come to entries unevenly.
const ROOM_SHARE: f64 = 4.0;
/// Time in which what was asked for counts half; a wave of callers lasts seconds.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// How long a kind of job that does not come any more keeps its gates.
const KEEP_KIND: Duration = Duration::from_secs(30);
/// Most kinds of jobs that are told apart; the others share the gates of their service.
const MOST_KINDS: usize = 64;
/// Pause between two choices while nothing but the demand changes.
const CHOOSE_AGAIN: Duration = Duration::from_millis(200);

/// Jobs that can run on the same workers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKind {
    service: Arc<str>,
    label: Option<String>,
    rack: Option<String>,
}

impl JobKind {
    /// The kinds that a job belongs to: its service's, and its rack's if its data lies
    /// on one.
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

    /// Whether its jobs may run on `worker`.
    fn runs_on(&self, worker: &WorkerTraits) -> bool {
        let labels = self.label.iter().chain(&self.rack);
        worker.service == *self.service && labels.into_iter().all(|l| worker.labels.contains(l))
    }

    fn least_gates(&self) -> usize {
        match self.rack {
            Some(_) => LEAST_ON_RACK,
            None => LEAST,
        }
    }
}

/// What the workers of the whole fleet can do for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prospect {
    /// Some worker could run it.
    Fits,
    /// None has the capacity now, but some worker had.
    HasShrunk,
    /// None could ever run it.
    Never,
    /// None that is known, but not all gates have told their worker.
    Unknown,
}

/// What jobs of a kind have asked for of late.
#[derive(Clone, Copy, Debug)]
struct Demand {
    cpu_milli: f64,
    at_us: u64,
}

impl Demand {
    fn at(&self, now: Moment) -> f64 {
        let elapsed_us = now.mono_us.saturating_sub(self.at_us) as f64;
        self.cpu_milli * 0.5f64.powf(elapsed_us / micros(HALF_LIFE) as f64)
    }

    fn is_past(&self, now: Moment) -> bool {
        now.mono_us > self.at_us + micros(KEEP_KIND)
    }
}

/// A gate that has a record, or had one a moment ago.
#[derive(Debug)]
struct Candidate {
    name: Arc<str>,
    worker: Option<WorkerTraits>,
    /// Since when it has no record, if so.
    missing_us: Option<u64>,
}

/// Chooses the gates of one entry.
#[derive(Debug)]
pub struct Subset {
    me: Arc<str>,
    /// By their place in this entry's order.
    candidates: BTreeMap<u64, Candidate>,
    /// Gates that cannot be reached or take no work now.
    away: HashSet<Arc<str>>,
    /// Whether there may be gates that are not known yet.
    partial: bool,
    demands: HashMap<JobKind, Demand>,
    wanted: HashSet<Arc<str>>,
    changed: bool,
    chosen_us: u64,
}

impl Subset {
    /// A subset for the entry of this name, which knows no gate yet.
    pub fn new(me: Arc<str>) -> Subset {
        Subset {
            me,
            candidates: BTreeMap::new(),
            away: HashSet::new(),
            partial: false,
            demands: HashMap::new(),
            wanted: HashSet::new(),
            changed: false,
            chosen_us: 0,
        }
    }

    fn place(&self, gate: &str) -> u64 {
        xxh3_64(format!("{}/{gate}", self.me).as_bytes())
    }

    /// Records of gates have changed.
    pub fn know(&mut self, now: Moment, changes: &GateChanges) {
        self.partial = changes.partial;
        for gate in &changes.removed {
            let place = self.place(gate);
            if let Some(candidate) = self.candidates.get_mut(&place) {
                candidate.missing_us.get_or_insert(now.mono_us);
            }
        }
        for record in &changes.written {
            let place = self.place(&record.gate);
            let candidate = Candidate {
                name: record.gate.clone(),
                worker: record.worker.as_ref().map(|worker| worker.traits.clone()),
                missing_us: None,
            };
            self.candidates.insert(place, candidate);
        }
        self.changed = true;
    }

    /// Whether a gate can be reached and takes work.
    pub fn note(&mut self, gate: &Arc<str>, serves: bool) {
        self.changed |= match serves {
            true => self.away.remove(gate),
            false => self.away.insert(gate.clone()),
        };
    }

    /// Jobs of a kind want this much processor time at once, in thousandths of a core.
    pub fn ask(&mut self, now: Moment, kind: &JobKind, cpu_milli: u64) {
        let known = self.demands.get(kind);
        if known.is_none() && self.demands.len() >= MOST_KINDS {
            return;
        }
        self.changed |= known.is_none();
        let before = known.map_or(0.0, |demand| demand.at(now));
        let demand = Demand {
            cpu_milli: before.max(cpu_milli as f64),
            at_us: now.mono_us,
        };
        self.demands.insert(kind.clone(), demand);
    }

    /// Chooses anew where something has changed.
    pub fn choose(&mut self, now: Moment) {
        if !self.changed && now.mono_us < self.chosen_us + micros(CHOOSE_AGAIN) {
            return;
        }
        self.changed = false;
        self.chosen_us = now.mono_us;
        self.forget_old(now);
        let mut wanted = HashSet::new();
        for kind in self.kinds() {
            let demand = self.demands.get(&kind);
            let cpu_milli = demand.map_or(0.0, |demand| demand.at(now)) * ROOM_SHARE;
            self.want_gates(&kind, cpu_milli, &mut wanted);
        }
        self.wanted = wanted;
    }

    /// Forgets gates without a record, and kinds of jobs that do not come any more.
    fn forget_old(&mut self, now: Moment) {
        self.demands.retain(|_, demand| !demand.is_past(now));
        let gone = self.candidates.extract_if(.., |_, candidate| {
            let missing = candidate.missing_us;
            missing.is_some_and(|since_us| now.mono_us > since_us + micros(MISSING_RECORD_GRACE))
        });
        for (_, candidate) in gone {
            self.away.remove(&candidate.name);
        }
    }

    /// The kinds of recent jobs, and one for each service.
    fn kinds(&self) -> BTreeSet<JobKind> {
        let workers = self
            .candidates
            .values()
            .filter_map(|one| one.worker.as_ref());
        let services = workers.map(|worker| JobKind {
            service: worker.service.as_str().into(),
            label: None,
            rack: None,
        });
        self.demands.keys().cloned().chain(services).collect()
    }

    /// Adds the first gates of the order with enough room for a kind of jobs. A gate
    /// whose worker is not known yet counts for every kind.
    fn want_gates(&self, kind: &JobKind, cpu_milli: f64, wanted: &mut HashSet<Arc<str>>) {
        let (mut gates, mut room) = (0, 0.0);
        for candidate in self.candidates.values() {
            if gates >= kind.least_gates() && room >= cpu_milli {
                return;
            }
            let worker = candidate.worker.as_ref();
            if worker.is_some_and(|worker| !kind.runs_on(worker)) {
                continue;
            }
            wanted.insert(candidate.name.clone());
            if !self.away.contains(&candidate.name) {
                gates += 1;
                room += worker.map_or(0.0, |worker| worker.capacity.cpu_milli as f64);
            }
        }
    }

    /// Number of gates that are known, and of those that sessions are wanted with.
    pub fn sizes(&self) -> (usize, usize) {
        (self.candidates.len(), self.wanted.len())
    }

    /// Whether the entry wants a session with this gate.
    pub fn wants(&self, gate: &str) -> bool {
        self.wanted.contains(gate)
    }

    /// Whether the gate has, or had a moment ago, a record.
    pub fn knows(&self, gate: &str) -> bool {
        self.candidates.contains_key(&self.place(gate))
    }

    /// What the workers of the whole fleet can do for it.
    pub fn prospect(&self, want: &Want<'_>) -> Prospect {
        let workers = || self.candidates.values().map(|one| one.worker.as_ref());
        if workers().flatten().any(|worker| want.fits(worker)) {
            return Prospect::Fits;
        }
        if workers().flatten().any(|worker| want.could_fit(worker)) {
            return Prospect::HasShrunk;
        }
        let all_told = workers().all(|worker| worker.is_some());
        match all_told && !self.partial {
            true => Prospect::Never,
            false => Prospect::Unknown,
        }
    }
}
