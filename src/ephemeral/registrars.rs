//! Registrars: the gates at which entries register jobs before they start a task.
//!
//! Two entries may have the same job, as a caller without an answer resends it to any entry and
//! the network may deliver its first request late. All entries choose the same registrars, by a
//! hash of the gates' names, and the same registrar for a job, by a hash of both, so that it
//! detects the conflict. The number of registrars grows with the square root of the fleet, which bounds
//! both the sessions of an entry and the jobs of a registrar.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ephemeral::job::JobId;

/// Minimum number of registrars.
const MIN_REGISTRARS: usize = 4;

/// The registrars among the gates that an entry knows.
#[derive(Debug, Default)]
pub struct Registrars {
    /// Known gates, by a rank that is the same for all entries.
    gates: BTreeMap<u64, Arc<str>>,
    /// Gates that could not be reached at the last attempt.
    unreachable: HashSet<Arc<str>>,
    /// The registrars, then the gates that stand in for unreachable ones.
    wanted: Vec<Arc<str>>,
    /// Number of registrars at the head of `wanted`.
    count: usize,
}

impl Registrars {
    /// Adds a gate.
    pub fn insert(&mut self, gate: &Arc<str>) {
        if self.gates.insert(rank(gate), gate.clone()).is_none() {
            self.choose();
        }
    }

    /// Removes a gate.
    pub fn remove(&mut self, gate: &str) {
        if self.gates.remove(&rank(gate)).is_some() {
            self.unreachable.remove(gate);
            self.choose();
        }
    }

    /// Records whether a gate can be reached.
    pub fn set_reachable(&mut self, gate: &Arc<str>, is_reachable: bool) {
        let changed = match is_reachable {
            true => self.unreachable.remove(gate),
            false => self.unreachable.insert(gate.clone()),
        };
        if changed {
            self.choose();
        }
    }

    /// Whether the last attempt to reach a gate did not fail.
    pub fn is_reachable(&self, gate: &str) -> bool {
        !self.unreachable.contains(gate)
    }

    fn choose(&mut self) {
        let square_root = self.gates.len().isqrt();
        self.count = square_root.max(MIN_REGISTRARS).min(self.gates.len());
        let mut missing = self.count;
        self.wanted.clear();
        for (index, gate) in self.gates.values().enumerate() {
            if index >= self.count && missing == 0 {
                break;
            }
            self.wanted.push(gate.clone());
            if !self.unreachable.contains(gate) {
                missing = missing.saturating_sub(1);
            }
        }
    }

    /// Whether no gate is known.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Whether an entry keeps a session with this gate to register jobs.
    pub fn is_wanted(&self, gate: &str) -> bool {
        self.wanted.iter().any(|wanted| **wanted == *gate)
    }

    /// Gates at which a job may be registered, the preferred one first.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = &Arc<str>> {
        let (registrars, substitutes) = self.wanted.split_at(self.count.min(self.wanted.len()));
        let mut ordered: Vec<&Arc<str>> = registrars.iter().collect();
        ordered.sort_by_cached_key(|gate| job_rank(job, gate));
        ordered.into_iter().chain(substitutes)
    }
}

fn rank(gate: &str) -> u64 {
    xxh3_64(gate.as_bytes())
}

fn job_rank(job: JobId, gate: &str) -> u64 {
    xxh3_64_with_seed(gate.as_bytes(), job.0)
}
