//! Configuration of the fleet: a YAML document with a revision.
//!
//! [`crate::document`] parses the YAML into the types of this module, rejects unknown keys
//! and locates errors by line; this module validates the values.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::{self, ValidationError};
use crate::error::Result;

/// Configuration of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Regions and their failure domains.
    pub regions: Vec<Region>,
    /// Services and their request kinds.
    pub services: Vec<Service>,
    /// Teams and their quotas; submissions without a team have no quota.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Names of drained targets; stored beside the document.
    #[serde(skip)]
    pub drained: Vec<String>,
    /// Names of evacuated failure domains; stored beside the document.
    #[serde(skip)]
    pub evacuated: Vec<String>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Placement, queues and retries.
    #[serde(default)]
    pub policy: Policy,
    /// Ownership of key ranges.
    #[serde(default)]
    pub ownership: Ownership,
}

/// Group of failure domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Names of its failure domains, unique in the fleet.
    pub failure_domains: Vec<String>,
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, part of the URL.
    pub name: String,
    /// Request kinds; the first is the default.
    pub kinds: Vec<Kind>,
}

/// Kind of a request or task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Name, unique within its service.
    pub name: String,
    /// Whether a task may be repeated after an unknown outcome.
    #[serde(default)]
    pub repeatable: bool,
    /// Priority; 0 is the highest.
    #[serde(default = "Kind::default_priority")]
    pub priority: u8,
    /// Deadline of requests that specify none.
    #[serde(default = "Kind::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Declared run time, used until run times have been measured.
    #[serde(default = "Kind::default_expected_ms")]
    pub expected_ms: u64,
    /// Number of accelerators that a running task occupies.
    #[serde(default)]
    pub accelerators: u32,
    /// Load of this kind in `winghold bench`.
    #[serde(default)]
    pub bench: Option<BenchLoad>,
}

impl Kind {
    fn default_priority() -> u8 {
        1
    }

    fn default_deadline_ms() -> u64 {
        10_000
    }

    fn default_expected_ms() -> u64 {
        200
    }
}

/// Synthetic load of a kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BenchLoad {
    /// Weight of this kind among all tasks.
    pub weight: f64,
    /// Tasks per submission; 1 is a request, more a job.
    #[serde(default = "BenchLoad::default_tasks")]
    pub tasks: u32,
    /// Median run time.
    pub median_ms: f64,
    /// 99th percentile of the run time.
    pub p99_ms: f64,
    /// Number of submissions that arrive together.
    #[serde(default = "BenchLoad::default_tasks")]
    pub burst: u32,
}

impl BenchLoad {
    fn default_tasks() -> u32 {
        1
    }
}

/// A team and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Weight relative to other teams under contention.
    #[serde(default = "Team::default_share")]
    pub share: u32,
    /// Maximum number of slots in use across the fleet; 0 means no limit.
    #[serde(default)]
    pub max_slots: u32,
}

impl Team {
    fn default_share() -> u32 {
        1
    }
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum total size of headers in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers.
    pub headers: usize,
    /// Timeout for receiving all headers.
    pub header_ms: u64,
    /// Timeout for receiving the body.
    pub body_ms: u64,
    /// Maximum number of callers' connections per entry.
    pub connections: usize,
    /// Maximum number of tasks per job.
    pub job_tasks: usize,
    /// Maximum deadline of a request.
    pub deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            headers: 64,
            header_ms: 5_000,
            body_ms: 10_000,
            connections: 4_096,
            job_tasks: 1_000,
            deadline_ms: 600_000,
        }
    }
}

/// Policy that selects the target of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Earliest expected completion among candidates, by reported load.
    #[default]
    LeastFinish,
    /// Uniformly random; a baseline.
    Random,
    /// Round robin; a baseline.
    RoundRobin,
}

impl Placement {
    /// Whether tasks wait at their owner while all targets are full.
    pub fn binds_late(self) -> bool {
        self == Placement::LeastFinish
    }
}

/// Placement, queues and retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Policy that selects targets.
    pub placement: Placement,
    /// Maximum number of tasks waiting at a target.
    pub target_queue: usize,
    /// Highest priority number that counts as urgent.
    pub urgent_priority: u8,
    /// Number of slots of each target reserved for urgent tasks.
    pub reserved_slots: u32,
    /// How often a gate without a free slot returns an urgent task to its owner for
    /// another placement before it queues the task.
    pub urgent_redirects: u32,
    /// Waiting time after which any task may use reserved slots.
    pub reserve_patience_ms: u64,
    /// Maximum number of tasks waiting at an owner.
    pub owner_queue: usize,
    /// Retries allowed per 100 first attempts.
    pub retry_percent: u32,
    /// Maximum number of unused retries that accumulate, and the initial number.
    pub retry_burst: u32,
    /// Initial retry delay; doubles with each retry, with jitter.
    pub retry_backoff_ms: u64,
    /// Percentage of failed runs at which a target is ejected.
    pub eject_failures_percent: u32,
    /// Maximum percentage of targets ejected at the same time.
    pub eject_cap_percent: u32,
    /// Duration of an ejection.
    pub eject_ms: u64,
    /// Time after which an owner queries the target of an unfinished task.
    pub inquiry_ms: u64,
    /// Lease of a running task at its worker.
    pub task_lease_ms: u64,
    /// Whether a cancellation stops running tasks.
    pub cancel_stops_running: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            placement: Placement::LeastFinish,
            target_queue: 16,
            urgent_priority: 1,
            reserved_slots: 2,
            urgent_redirects: 1,
            reserve_patience_ms: 2_000,
            owner_queue: 10_000,
            retry_percent: 10,
            retry_burst: 20,
            retry_backoff_ms: 25,
            eject_failures_percent: 90,
            eject_cap_percent: 30,
            eject_ms: 5_000,
            inquiry_ms: 2_000,
            task_lease_ms: 5_000,
            cancel_stops_running: true,
        }
    }
}

impl Policy {
    /// Whether a task of `priority` that has waited for `waited` may use reserved slots.
    pub fn is_urgent(&self, priority: u8, waited: Duration) -> bool {
        let max_wait = Duration::from_millis(self.reserve_patience_ms);
        priority <= self.urgent_priority || waited >= max_wait
    }
}

/// Ownership of key ranges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ownership {
    /// Number of key ranges; cannot be changed in an existing fleet.
    pub ranges: u32,
    /// Maximum number of members that own ranges.
    pub max_owners: usize,
    /// Duration of an owner's lease in the store.
    pub lease_ms: u64,
    /// Maximum difference between the wall clocks of two processes.
    pub skew_ms: u64,
    /// Retention time of answers.
    pub retention_ms: u64,
    /// Whether an owner may use its own target. Recovery after its crash then cannot prove
    /// that a task did not run.
    pub self_placement: bool,
}

impl Default for Ownership {
    fn default() -> Ownership {
        Ownership {
            ranges: 64,
            max_owners: 128,
            lease_ms: 2_000,
            skew_ms: 200,
            retention_ms: 300_000,
            self_placement: false,
        }
    }
}

impl Ownership {
    /// Duration of an owner's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Time that a new owner waits after the lease of a crashed owner expired.
    pub fn takeover_wait(&self) -> Duration {
        Duration::from_millis(2 * self.skew_ms)
    }
}

impl Config {
    /// Whether a target gets no new tasks because it is drained or its domain evacuated.
    pub fn excludes(&self, target: &str, domain: &str) -> bool {
        let drained = self.drained.iter().any(|name| name == target);
        drained || self.evacuated.iter().any(|name| name == domain)
    }

    /// Initial configuration of a process: no services, defaults elsewhere.
    pub fn empty() -> Config {
        Config {
            regions: Vec::new(),
            services: Vec::new(),
            teams: Vec::new(),
            drained: Vec::new(),
            evacuated: Vec::new(),
            limits: Limits::default(),
            policy: Policy::default(),
            ownership: Ownership::default(),
        }
    }

    /// Parses and validates a document.
    ///
    /// # Errors
    /// [`crate::error::Error::Invalid`] with one line per error.
    pub fn from_yaml(text: &str) -> Result<Config> {
        let config: Config = document::parse(text)?;
        document::ensure_valid(text, &config.errors())?;
        Ok(config)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Region of a failure domain.
    pub fn region_of(&self, domain: &str) -> Option<&Region> {
        self.regions
            .iter()
            .find(|region| region.failure_domains.iter().any(|name| name == domain))
    }

    fn errors(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        self.check_regions(&mut errors);
        self.check_services(&mut errors);
        self.check_teams(&mut errors);
        self.check_numbers(&mut errors);
        errors
    }

    fn check_regions(&self, errors: &mut Vec<ValidationError>) {
        if self.regions.is_empty() {
            errors.push(ValidationError::new("regions", "needs at least one region"));
        }
        let mut seen = HashSet::new();
        for (i, region) in self.regions.iter().enumerate() {
            for (j, domain) in region.failure_domains.iter().enumerate() {
                if !seen.insert(domain) {
                    let key = format!("regions[{i}].failure_domains[{j}]");
                    errors.push(ValidationError::new(
                        &key,
                        &format!("`{domain}` stands twice"),
                    ));
                }
            }
        }
    }

    fn check_services(&self, errors: &mut Vec<ValidationError>) {
        if self.services.is_empty() {
            errors.push(ValidationError::new(
                "services",
                "needs at least one service",
            ));
        }
        let mut seen = HashSet::new();
        for (i, service) in self.services.iter().enumerate() {
            let key = format!("services[{i}]");
            if !seen.insert(&service.name) {
                let text = format!("`{}` stands twice", service.name);
                errors.push(ValidationError::new(&format!("{key}.name"), &text));
            }
            if service.kinds.is_empty() {
                errors.push(ValidationError::new(
                    &format!("{key}.kinds"),
                    "needs at least one kind",
                ));
            }
            service.check_kinds(&key, errors);
        }
    }

    fn check_teams(&self, errors: &mut Vec<ValidationError>) {
        let mut seen = HashSet::new();
        for (i, team) in self.teams.iter().enumerate() {
            if !seen.insert(&team.name) {
                let text = format!("`{}` stands twice", team.name);
                errors.push(ValidationError::new(&format!("teams[{i}].name"), &text));
            }
            if team.share == 0 {
                errors.push(ValidationError::new(
                    &format!("teams[{i}].share"),
                    "must be above 0",
                ));
            }
        }
    }

    fn check_numbers(&self, errors: &mut Vec<ValidationError>) {
        let positive = [
            ("limits.body_bytes", self.limits.body_bytes as u64),
            ("limits.header_ms", self.limits.header_ms),
            ("limits.body_ms", self.limits.body_ms),
            ("limits.connections", self.limits.connections as u64),
            ("limits.job_tasks", self.limits.job_tasks as u64),
            ("ownership.ranges", u64::from(self.ownership.ranges)),
            ("ownership.max_owners", self.ownership.max_owners as u64),
            ("policy.inquiry_ms", self.policy.inquiry_ms),
            ("policy.task_lease_ms", self.policy.task_lease_ms),
        ];
        let zero = positive.iter().filter(|(_, value)| *value == 0);
        errors.extend(zero.map(|(key, _)| ValidationError::new(key, "must be above 0")));
        if self.ownership.lease_ms < 3 * self.ownership.skew_ms {
            let text = "must be at least three times ownership.skew_ms";
            errors.push(ValidationError::new("ownership.lease_ms", text));
        }
        if self.ownership.retention_ms < self.limits.deadline_ms.min(60_000) {
            let text = "must cover the longest deadline, up to a minute";
            errors.push(ValidationError::new("ownership.retention_ms", text));
        }
        if self.policy.eject_cap_percent > 100 {
            errors.push(ValidationError::new(
                "policy.eject_cap_percent",
                "is a percentage",
            ));
        }
    }
}

impl Service {
    /// Finds a kind by name; the first kind if `name` is absent.
    pub fn kind(&self, name: Option<&str>) -> Option<&Kind> {
        match name {
            Some(name) => self.kinds.iter().find(|kind| kind.name == name),
            None => self.kinds.first(),
        }
    }

    fn check_kinds(&self, key: &str, errors: &mut Vec<ValidationError>) {
        let mut seen = HashSet::new();
        for (i, kind) in self.kinds.iter().enumerate() {
            let key = format!("{key}.kinds[{i}]");
            if !seen.insert(&kind.name) {
                let text = format!("`{}` stands twice", kind.name);
                errors.push(ValidationError::new(&format!("{key}.name"), &text));
            }
            if kind.deadline_ms == 0 {
                errors.push(ValidationError::new(
                    &format!("{key}.deadline_ms"),
                    "must be above 0",
                ));
            }
        }
    }
}
