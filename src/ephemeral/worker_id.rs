//! Which life of a worker something belongs to.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One life of a worker. It may start again under the name that it had; it knows nothing
/// of before then, and its counts start anew, so that the name alone tells no life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerId {
    /// Name that it registers with.
    pub name: Arc<str>,
    /// When it started, in Unix milliseconds, where workers tell it.
    pub born_ms: Option<u64>,
}

impl From<&str> for WorkerId {
    /// A worker that does not tell when it started.
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
