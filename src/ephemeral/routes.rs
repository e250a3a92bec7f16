//! Routes: which jobs the configuration in force allows, and on what terms.

use std::sync::Arc;

use crate::ephemeral::job::Priority;
use crate::ephemeral::scheduling::Scheduling;

/// Terms of one kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers address.
    pub host: String,
    /// Beginning of the paths that belong to it.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting, in microseconds.
    pub timeout_us: u64,
    /// Times the longest task that the answer may take within its objective.
    pub stretch: f64,
    /// What the latency objective adds to that, in microseconds.
    pub slack_us: u64,
}

impl Route {
    /// Who is served first: with priority classes each goes before the next; otherwise the
    /// most urgent goes before all others, which share what is left by their objectives.
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

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time to send the headers, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// What holds until the first configuration comes.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Its version; 0 before the first one came.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// How work is scheduled where room is short.
    pub scheduling: Scheduling,
}

impl RouteTable {
    /// The route with the longest prefix of `path` on `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
