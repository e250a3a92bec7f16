//! Identity of a worker incarnation.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One incarnation of a worker. A worker may restart under the same name, without any state
/// of its previous incarnation, so the name alone does not identify it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerId {
    /// Name under which it registers.
    pub name: Arc<str>,
    /// Start time in Unix milliseconds, if reported.
    pub born_ms: Option<u64>,
}

impl From<&str> for WorkerId {
    /// Creates an identity without a start time.
    fn from(name: &str) -> WorkerId {
        WorkerId {
            name: name.into(),
            born_ms: None,
        }
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(f, "{}@{born_ms}", self.name),
            None => f.write_str(&self.name),
        }
    }
}
