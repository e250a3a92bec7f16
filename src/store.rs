//! The platform's key-value store, as winghold uses it.
//!
//! A call may fail after it took effect; [`StoreError::Unanswered`] says so,
//! and whoever called reads back before it concludes anything. Revisions are
//! the store's count of writes.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Handle of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// What a write expects to find under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// Nothing.
    Absent,
    /// The value written at this revision.
    Revision(u64),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads every key with a prefix.
    Get {
        /// The prefix.
        prefix: String,
    },
    /// Waits until a key with the prefix changes after a revision; answered with the
    /// changes, or with all entries by a store that does not tell changes or has
    /// forgotten them.
    Watch {
        /// The prefix.
        prefix: String,
        /// Revision already known.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key if it holds what is expected.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Bytes,
        /// What it must hold now.
        expect: Expect,
        /// Lease with which it vanishes.
        lease: Option<LeaseId>,
    },
    /// Starts a lease.
    Grant {
        /// Its length in milliseconds.
        ttl_ms: u64,
    },
    /// Prolongs a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
}

impl StoreRequest {
    /// Its name among the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreRequest::Get { .. } => "get",
            StoreRequest::Watch { .. } => "watch",
            StoreRequest::Put { .. } => "put",
            StoreRequest::Grant { .. } => "grant",
            StoreRequest::Renew { .. } => "renew",
            StoreRequest::Revoke { .. } => "revoke",
        }
    }
}

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision at which it was written.
    pub revision: u64,
    /// Lease with which it vanishes.
    pub lease: Option<LeaseId>,
}

/// What became of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChange {
    /// It was written.
    Written(StoreEntry),
    /// It was removed, or its lease ended.
    Removed {
        /// The key.
        key: String,
    },
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Keys at a revision of the store.
    Entries {
        /// The store's revision.
        revision: u64,
        /// The keys, in order.
        entries: Vec<StoreEntry>,
    },
    /// Changes, oldest first.
    Changes {
        /// Revision to watch from next: that of the last change, or the one already
        /// known if there is none.
        revision: u64,
        /// The changes.
        changes: Vec<StoreChange>,
    },
    /// The write took effect.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The key holds something else.
    Conflict {
        /// What it holds, if anything.
        current: Option<StoreEntry>,
    },
    /// A lease was granted, renewed or ended.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has run out.
    LeaseGone,
    /// The call was over the store's rate and did nothing.
    RateLimited,
}

quick_error! {
    /// Why a call to the store has no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// Nothing came back; the call may have taken effect.
        Unanswered {
            display("no answer; the call may have taken effect")
        }
        /// The store took another kind of call than was made.
        Protocol {
            display("unexpected reply")
        }
    }
}

/// Future of a call to the store.
pub type StoreFuture<'a> =
    Pin<Box<dyn Future<Output = Result<StoreReply, StoreError>> + Send + 'a>>;

/// The store.
pub trait Store: Send + Sync {
    /// Makes one call.
    fn call(&self, req: StoreRequest) -> StoreFuture<'_>;
}
