//! The fleet's configuration: one YAML document with a revision.
//!
//! It is read once into plain structs, checked as a whole, and passed by
//! reference from there on. Spans are written in milliseconds and named so.
//! Unknown keys are refused. [`crate::document`] reads the YAML and finds the
//! lines of what is wrong.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::{self, Fault};
use crate::error::Result;

/// The whole configuration of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Regions and their failure domains.
    pub regions: Vec<Region>,
    /// Services and their kinds of request.
    pub services: Vec<Service>,
    /// Teams and their quotas; a submission without a team is unmetered.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Names of targets that operators drain; kept beside the document.
    #[serde(skip)]
    pub drained: Vec<String>,
    /// Failure domains that operators have evacuated; kept beside the document.
    #[serde(skip)]
    pub evacuated: Vec<String>,
    /// What callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// Placement, queues and retries.
    #[serde(default)]
    pub policy: Policy,
    /// Ownership of key ranges.
    #[serde(default)]
    pub ownership: Ownership,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Its failure domains; their names are unique in the fleet.
    pub failure_domains: Vec<String>,
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, part of the URL.
    pub name: String,
    /// Kinds of request; the first is the default.
    pub kinds: Vec<Kind>,
}

/// A kind of request or task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Name, unique within its service.
    pub name: String,
    /// Whether it may run again after an unknown outcome.
    #[serde(default)]
    pub repeatable: bool,
    /// Priority; 0 is the most urgent.
    #[serde(default = "Kind::default_priority")]
    pub priority: u8,
    /// Deadline of a request that names none.
    #[serde(default = "Kind::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Declared run time; replaced by what is measured.
    #[serde(default = "Kind::default_expected_ms")]
    pub expected_ms: u64,
    /// Accelerators that one task holds while it runs.
    #[serde(default)]
    pub accelerators: u32,
    /// Load that `winghold bench` puts on this kind.
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

/// Synthetic load of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BenchLoad {
    /// Share of all tasks.
    pub weight: f64,
    /// Tasks of one submission; 1 is a request.
    #[serde(default = "BenchLoad::default_tasks")]
    pub tasks: u32,
    /// Median run time.
    pub median_ms: f64,
    /// 99th percentile of the run time.
    pub p99_ms: f64,
    /// Submissions that arrive together.
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
    /// Weight against other teams where they compete.
    #[serde(default = "Team::default_share")]
    pub share: u32,
    /// Most slots at once in the whole fleet; 0 is no limit.
    #[serde(default)]
    pub max_slots: u32,
}

impl Team {
    fn default_share() -> u32 {
        1
    }
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Bytes of all headers.
    pub header_bytes: usize,
    /// Number of headers.
    pub headers: usize,
    /// Time to send all headers.
    pub header_ms: u64,
    /// Time to send the whole body.
    pub body_ms: u64,
    /// Connections of callers at one entry.
    pub connections: usize,
    /// Tasks of a job.
    pub job_tasks: usize,
    /// Longest deadline that a caller may ask for.
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

/// How a target is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Least expected finish among candidates, by reported load.
    #[default]
    LeastFinish,
    /// Uniformly at random; a baseline.
    Random,
    /// In turn; a baseline.
    RoundRobin,
}

impl Placement {
    /// Whether a task waits at its owner while every target looks full.
    pub fn binds_late(self) -> bool {
        self == Placement::LeastFinish
    }
}

/// Placement, queues and retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// How a target is chosen.
    pub placement: Placement,
    /// Tasks that may wait at one target.
    pub target_queue: usize,
    /// Highest priority number that counts as urgent.
    pub urgent_priority: u8,
    /// Slots of each target that are kept for urgent tasks.
    pub reserved_slots: u32,
    /// How often a gate without a free slot sends an urgent task back to its
    /// owner, to be placed anew, before it lets it wait.
    pub urgent_redirects: u32,
    /// Time after which a task that waits may use them all the same.
    pub reserve_patience_ms: u64,
    /// Tasks that may wait at one owner.
    pub owner_queue: usize,
    /// Retries allowed for every 100 first tries.
    pub retry_percent: u32,
    /// Retries allowed before the percentage counts.
    pub retry_burst: u32,
    /// First delay before a retry; doubled each time, with jitter.
    pub retry_backoff_ms: u64,
    /// Share of failed runs, in percent, from which a target is ejected.
    pub eject_failures_percent: u32,
    /// Most targets ejected at once, in percent.
    pub eject_cap_percent: u32,
    /// How long a target stays ejected.
    pub eject_ms: u64,
    /// Time after which an unfinished task's target is asked about it.
    pub inquiry_ms: u64,
    /// Lease under which a worker runs a task.
    pub task_lease_ms: u64,
    /// Whether a cancel stops tasks that run.
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
    /// Whether a task of `priority` that has waited for `waited` may use every
    /// slot.
    pub fn is_urgent(&self, priority: u8, waited: Duration) -> bool {
        let patience = Duration::from_millis(self.reserve_patience_ms);
        priority <= self.urgent_priority || waited >= patience
    }
}

/// Ownership of key ranges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ownership {
    /// Number of key ranges; fixed for the life of a fleet.
    pub ranges: u32,
    /// Most members that own ranges.
    pub max_owners: usize,
    /// Lease of an owner in the store.
    pub lease_ms: u64,
    /// Largest difference between the wall clocks of two processes.
    pub skew_ms: u64,
    /// How long the answer of a submission is kept.
    pub retention_ms: u64,
    /// Whether an owner may use its own target. Recovery after its crash then
    /// cannot prove that a task did not run.
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
    /// Lease of an owner.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long a new owner waits once the lease of a crashed one ran out.
    pub fn takeover_wait(&self) -> Duration {
        Duration::from_millis(2 * self.skew_ms)
    }
}

impl Config {
    /// Whether operators want no new work for a target in a failure domain.
    pub fn bars(&self, target: &str, domain: &str) -> bool {
        let drained = self.drained.iter().any(|name| name == target);
        drained || self.evacuated.iter().any(|name| name == domain)
    }

    /// The configuration of a process that has none from the store yet: no
    /// services, and defaults for everything else.
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

    /// Reads and checks a document.
    ///
    /// # Errors
    /// [`crate::error::Error::Invalid`] with a line for every fault.
    pub fn from_yaml(text: &str) -> Result<Config> {
        let config: Config = document::parse(text)?;
        document::reject(text, &config.faults())?;
        Ok(config)
    }

    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The team named `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// The region that holds `domain`.
    pub fn region_of(&self, domain: &str) -> Option<&Region> {
        self.regions
            .iter()
            .find(|region| region.failure_domains.iter().any(|name| name == domain))
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check_regions(&mut faults);
        self.check_services(&mut faults);
        self.check_teams(&mut faults);
        self.check_numbers(&mut faults);
        faults
    }

    fn check_regions(&self, faults: &mut Vec<Fault>) {
        if self.regions.is_empty() {
            faults.push(Fault::new("regions", "needs at least one region"));
        }
        let mut seen = HashSet::new();
        for (i, region) in self.regions.iter().enumerate() {
            for (j, domain) in region.failure_domains.iter().enumerate() {
                if !seen.insert(domain) {
                    let key = format!("regions[{i}].failure_domains[{j}]");
                    faults.push(Fault::new(&key, &format!("`{domain}` stands twice")));
                }
            }
        }
    }

    fn check_services(&self, faults: &mut Vec<Fault>) {
        if self.services.is_empty() {
            faults.push(Fault::new("services", "needs at least one service"));
        }
        let mut seen = HashSet::new();
        for (i, service) in self.services.iter().enumerate() {
            let key = format!("services[{i}]");
            if !seen.insert(&service.name) {
                let text = format!("`{}` stands twice", service.name);
                faults.push(Fault::new(&format!("{key}.name"), &text));
            }
            if service.kinds.is_empty() {
                faults.push(Fault::new(
                    &format!("{key}.kinds"),
                    "needs at least one kind",
                ));
            }
            service.check_kinds(&key, faults);
        }
    }

    fn check_teams(&self, faults: &mut Vec<Fault>) {
        let mut seen = HashSet::new();
        for (i, team) in self.teams.iter().enumerate() {
            if !seen.insert(&team.name) {
                let text = format!("`{}` stands twice", team.name);
                faults.push(Fault::new(&format!("teams[{i}].name"), &text));
            }
            if team.share == 0 {
                faults.push(Fault::new(&format!("teams[{i}].share"), "must be above 0"));
            }
        }
    }

    fn check_numbers(&self, faults: &mut Vec<Fault>) {
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
        faults.extend(zero.map(|(key, _)| Fault::new(key, "must be above 0")));
        if self.ownership.lease_ms < 3 * self.ownership.skew_ms {
            let text = "must be at least three times ownership.skew_ms";
            faults.push(Fault::new("ownership.lease_ms", text));
        }
        if self.ownership.retention_ms < self.limits.deadline_ms.min(60_000) {
            let text = "must cover the longest deadline, up to a minute";
            faults.push(Fault::new("ownership.retention_ms", text));
        }
        if self.policy.eject_cap_percent > 100 {
            faults.push(Fault::new("policy.eject_cap_percent", "is a percentage"));
        }
    }
}

impl Service {
    /// The kind named `name`, or the first if there is no name.
    pub fn kind(&self, name: Option<&str>) -> Option<&Kind> {
        match name {
            Some(name) => self.kinds.iter().find(|kind| kind.name == name),
            None => self.kinds.first(),
        }
    }

    fn check_kinds(&self, key: &str, faults: &mut Vec<Fault>) {
        let mut seen = HashSet::new();
        for (i, kind) in self.kinds.iter().enumerate() {
            let key = format!("{key}.kinds[{i}]");
            if !seen.insert(&kind.name) {
                let text = format!("`{}` stands twice", kind.name);
                faults.push(Fault::new(&format!("{key}.name"), &text));
            }
            if kind.deadline_ms == 0 {
                faults.push(Fault::new(&format!("{key}.deadline_ms"), "must be above 0"));
            }
        }
    }
}
