//! Names of submissions, tasks, members and key ranges.
//!
//! A submission carries a UUIDv7. Its first 48 bits are the caller's wall
//! clock in milliseconds, which ownership compares with its horizon; all of
//! its bits are hashed to find its key range.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::{Timestamp, Uuid};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Error, Result};

/// UUID version whose first 48 bits are a wall clock.
const UUID_VERSION: usize = 7;

/// A submission's id, chosen by the caller or minted by an entry.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SubmissionId(u128);

impl SubmissionId {
    /// Mints an id for wall clock `wall_ms` from random bits.
    pub fn mint(wall_ms: u64, random: u128) -> SubmissionId {
        let bytes = random.to_be_bytes();
        let mut tail = [0u8; 10];
        tail.copy_from_slice(&bytes[..10]);
        let id = uuid::Builder::from_unix_timestamp_millis(wall_ms, &tail).into_uuid();
        SubmissionId(id.as_u128())
    }

    /// Mints an id for wall clock `wall_ms` from the thread's generator.
    pub fn random(wall_ms: u64) -> SubmissionId {
        SubmissionId::mint(wall_ms, rand::random())
    }

    /// The caller's wall clock, in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        let stamp = Uuid::from_u128(self.0).get_timestamp();
        stamp.as_ref().map_or(0, unix_millis)
    }

    /// The key range of this id when there are `ranges` of them.
    pub fn range(self, ranges: u32) -> RangeId {
        let hash = xxh3_64(&self.0.to_be_bytes());
        RangeId((hash % u64::from(ranges.max(1))) as u32)
    }
}

fn unix_millis(stamp: &Timestamp) -> u64 {
    let (secs, nanos) = stamp.to_unix();
    secs * 1_000 + u64::from(nanos) / 1_000_000
}

impl FromStr for SubmissionId {
    type Err = Error;

    fn from_str(text: &str) -> Result<SubmissionId> {
        let id = Uuid::try_parse(text).map_err(|_| Error::BadId(text.to_string()))?;
        if id.get_version_num() != UUID_VERSION {
            return Err(Error::BadId(text.to_string()));
        }
        Ok(SubmissionId(id.as_u128()))
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}

impl fmt::Debug for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// One task of a submission; a request is task 0 of its own submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The submission it belongs to.
    pub submission: SubmissionId,
    /// Its place in the submission, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.submission, self.index)
    }
}

/// Number of a key range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RangeId(pub u32);

/// Count of the owners that a key range has had.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// One run of a process: its configured name and the run's random number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// Name from the process settings.
    pub name: Arc<str>,
    /// Differs between two runs under one name.
    pub run: u64,
}

impl MemberId {
    /// A member named `name` in its run `run`.
    pub fn new(name: &str, run: u64) -> MemberId {
        let name = Arc::from(name);
        MemberId { name, run }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:08x}", self.name, self.run as u32)
    }
}
