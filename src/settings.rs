//! The settings of one process: what it is, where it listens, whom it knows.
//!
//! Read from YAML at start and never changed while the process runs. Whatever
//! the whole fleet shares is in [`crate::config`] instead.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::{self, Fault};
use crate::error::Result;

/// What every process needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Unique name of this process in the fleet.
    pub name: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Rack that it runs in.
    #[serde(default)]
    pub rack: String,
    /// Where other processes of the fleet reach it; port 0 takes a free one.
    pub peer_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Peers asked for configuration and members while the store is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Least level that is logged.
    #[serde(default = "Process::default_log")]
    pub log: LogLevel,
    /// Where metrics go over UDP; none if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Longest time that a stop may take.
    #[serde(default = "Process::default_stop_ms")]
    pub stop_ms: u64,
}

impl Process {
    fn default_log() -> LogLevel {
        LogLevel::Info
    }

    fn default_stop_ms() -> u64 {
        30_000
    }

    fn faults(&self) -> Vec<Fault> {
        let named = [
            ("process.name", &self.name),
            ("process.failure_domain", &self.failure_domain),
        ];
        named
            .iter()
            .filter(|(_, value)| value.is_empty())
            .map(|(key, _)| Fault::new(key, "must not be empty"))
            .collect()
    }
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Every decision.
    Debug,
    /// Changes of state.
    Info,
    /// What an operator should look at.
    Warning,
    /// Faults.
    Error,
}

/// Settings of `winghold-entry`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// What every process needs.
    pub process: Process,
    /// Where callers and operators reach it; port 0 takes a free one.
    pub http_listen: SocketAddr,
}

impl EntrySettings {
    /// Reads and checks a document.
    pub fn from_yaml(text: &str) -> Result<EntrySettings> {
        let settings: EntrySettings = document::parse(text)?;
        document::reject(text, &settings.process.faults())?;
        Ok(settings)
    }
}

/// Settings of `winghold-agent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSettings {
    /// What every process needs.
    pub process: Process,
    /// The service whose target this is.
    pub service: String,
    /// The target beside it.
    pub target: SocketAddr,
    /// Tasks that the target runs at once.
    #[serde(default = "AgentSettings::default_slots")]
    pub slots: u32,
    /// Connections that the target takes.
    #[serde(default = "AgentSettings::default_connections")]
    pub connections: u32,
    /// Accelerators of the target's worker.
    #[serde(default)]
    pub accelerators: u32,
}

impl AgentSettings {
    fn default_slots() -> u32 {
        8
    }

    fn default_connections() -> u32 {
        64
    }

    /// Reads and checks a document.
    pub fn from_yaml(text: &str) -> Result<AgentSettings> {
        let settings: AgentSettings = document::parse(text)?;
        let mut faults = settings.process.faults();
        if settings.slots == 0 {
            faults.push(Fault::new("slots", "must be above 0"));
        }
        if settings.connections < settings.slots {
            faults.push(Fault::new("connections", "must be at least `slots`"));
        }
        document::reject(text, &faults)?;
        Ok(settings)
    }
}
