//! Settings of a process: its identity and addresses.
//!
//! Read from YAML at start and constant while the process runs. Settings shared by the fleet
//! are in [`crate::config`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::{self, ValidationError};
use crate::error::Result;

/// Settings common to all processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Failure domain of the process.
    pub failure_domain: String,
    /// Rack of the process.
    #[serde(default)]
    pub rack: String,
    /// Listening address for peers; port 0 selects a free port.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of peers that provide configuration and members while the store is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Minimum log level.
    #[serde(default = "Process::default_log")]
    pub log: LogLevel,
    /// UDP address for metrics; none are sent if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Maximum duration of a shutdown.
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

    fn errors(&self) -> Vec<ValidationError> {
        let named = [
            ("process.name", &self.name),
            ("process.failure_domain", &self.failure_domain),
        ];
        named
            .iter()
            .filter(|(_, value)| value.is_empty())
            .map(|(key, _)| ValidationError::new(key, "must not be empty"))
            .collect()
    }
}

/// Log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Individual decisions.
    Debug,
    /// State changes.
    Info,
    /// Conditions that need an operator's attention.
    Warning,
    /// Errors.
    Error,
}

/// Settings of `winghold-entry`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// Settings common to all processes.
    pub process: Process,
    /// Listening address for callers and operators; port 0 selects a free port.
    pub http_listen: SocketAddr,
}

impl EntrySettings {
    /// Parses and validates a document.
    pub fn from_yaml(text: &str) -> Result<EntrySettings> {
        let settings: EntrySettings = document::parse(text)?;
        document::ensure_valid(text, &settings.process.errors())?;
        Ok(settings)
    }
}

/// Settings of `winghold-agent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSettings {
    /// Settings common to all processes.
    pub process: Process,
    /// Service of the target.
    pub service: String,
    /// Address of the local target.
    pub target: SocketAddr,
    /// Number of tasks that the target runs concurrently.
    #[serde(default = "AgentSettings::default_slots")]
    pub slots: u32,
    /// Maximum number of connections to the target.
    #[serde(default = "AgentSettings::default_connections")]
    pub connections: u32,
    /// Number of accelerators of the target's worker.
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

    /// Parses and validates a document.
    pub fn from_yaml(text: &str) -> Result<AgentSettings> {
        let settings: AgentSettings = document::parse(text)?;
        let mut errors = settings.process.errors();
        if settings.slots == 0 {
            errors.push(ValidationError::new("slots", "must be above 0"));
        }
        if settings.connections < settings.slots {
            errors.push(ValidationError::new(
                "connections",
                "must be at least `slots`",
            ));
        }
        document::ensure_valid(text, &errors)?;
        Ok(settings)
    }
}
