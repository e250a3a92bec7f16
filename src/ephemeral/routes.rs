//! Routes: the kinds of jobs that the configuration allows, and their settings.

use std::sync::Arc;

use crate::ephemeral::job::Priority;
use crate::ephemeral::scheduling::Scheduling;

/// Settings for one kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the paths that belong to the route.
    pub path_prefix: String,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Longest time that a caller waits, in microseconds.
    pub timeout_us: u64,
    /// Latency objective as a multiple of the longest task's run time.
    pub stretch: f64,
    /// Fixed time added to the objective, in microseconds.
    pub slack_us: u64,
}

impl Route {
    /// Effective priority. Without priority classes only the most urgent priority is told
    /// apart from the others.
    pub fn priority(&self, scheduling: &Scheduling) -> Priority {
        match self.priority {
            0 => Priority::URGENT,
            priority if scheduling.priority_classes => {
                Priority(priority.min(Priority::BEST_EFFORT.0 - 1))
            }
            _ => Priority::NORMAL,
        }
    }
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time to send the headers, in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Limits before the first configuration.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Current configuration of an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version; 0 before the first configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Scheduling features that are on.
    pub scheduling: Scheduling,
}

impl RouteTable {
    /// Returns the route on `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
