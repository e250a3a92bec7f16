//! Interface of the platform's key-value store.
//!
//! A call that fails with [`StoreError::Unanswered`] may have taken effect, so its caller
//! must read the key again. A revision is the store's write counter.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Handle of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(u64),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads all keys with a prefix.
    Get {
        /// The prefix.
        prefix: String,
    },
    /// Waits until a key with the prefix changes after a revision. Returns
    /// [`StoreReply::Changes`], empty if there is none within `wait_ms`. A store that reports
    /// no single changes, or no longer has those after the revision, returns
    /// [`StoreReply::Entries`] with all entries of the prefix instead.
    Watch {
        /// The prefix.
        prefix: String,
        /// Last revision known to the client.
        after: u64,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key if the precondition holds.
    Put {
        /// The key.
        key: String,
        /// New value.
        value: Bytes,
        /// Precondition.
        expect: Expect,
        /// Lease whose end removes the key.
        lease: Option<LeaseId>,
    },
    /// Grants a lease.
    Grant {
        /// Duration in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
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
    /// Name in metrics.
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

/// Key and value in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last write.
    pub revision: u64,
    /// Lease whose end removes the key.
    pub lease: Option<LeaseId>,
}

/// Change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChange {
    /// The key was written.
    Written(StoreEntry),
    /// The key was removed, or its lease ended.
    Removed {
        /// The key.
        key: String,
    },
}

/// Reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Entries at a revision of the store.
    Entries {
        /// Revision of the store.
        revision: u64,
        /// The entries, sorted by key.
        entries: Vec<StoreEntry>,
    },
    /// Changes, oldest first.
    Changes {
        /// Revision to watch from next: that of the last change, or that of the request if
        /// there is none.
        revision: u64,
        /// The changes.
        changes: Vec<StoreChange>,
    },
    /// The write took effect.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// The precondition does not hold.
    Conflict {
        /// Current entry, if the key exists.
        current: Option<StoreEntry>,
    },
    /// A lease was granted, renewed or ended.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// The lease has expired.
    LeaseGone,
    /// The call exceeded the store's rate limit and had no effect.
    RateLimited,
}

quick_error! {
    /// Error of a call to the store.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// No reply arrived; the call may have taken effect.
        Unanswered {
            display("no answer; the call may have taken effect")
        }
        /// The reply does not match the call.
        Protocol {
            display("unexpected reply")
        }
    }
}

/// Future of a call to the store.
pub type StoreFuture<'a> =
    Pin<Box<dyn Future<Output = Result<StoreReply, StoreError>> + Send + 'a>>;

/// Client of the store.
pub trait Store: Send + Sync {
    /// Makes one call.
    fn call(&self, req: StoreRequest) -> StoreFuture<'_>;
}
