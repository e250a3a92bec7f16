//! Memory that callers' requests hold in an entry: bodies that are being read, and open jobs.
//!
//! Each request may hold a little without being counted, as the number of connections is limited
//! ([`super::caller_connections`]). What exceeds that is taken from one budget for all requests, so
//! that many large requests together stay within the memory of the instance, and ordinary ones are
//! served beside them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use quick_error::quick_error;

/// Memory of a request that is not counted, in bytes.
pub const UNCOUNTED_BYTES: u64 = 8 << 10;

quick_error! {
    /// Why a request gets no memory.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NoMemory {
        /// Other requests hold it now.
        Now {
            display("other requests hold the memory of this entry")
        }
        /// The request needs more than all requests together may hold.
        Ever {
            display("the request needs more memory than this entry has for requests")
        }
    }
}

/// Budget for the memory of requests.
#[derive(Debug)]
pub struct RequestMemory {
    total_bytes: u64,
    used_bytes: AtomicU64,
}

impl RequestMemory {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: u64) -> Arc<RequestMemory> {
        Arc::new(RequestMemory {
            total_bytes,
            used_bytes: AtomicU64::new(0),
        })
    }

    /// Begins a request, which holds nothing yet.
    pub fn begin_request(self: &Arc<Self>) -> RequestShare {
        RequestShare {
            memory: self.clone(),
            counted_bytes: 0,
        }
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: u64) -> Result<(), NoMemory> {
        let add = |used: u64| {
            let used = used.checked_add(bytes)?;
            (used <= self.total_bytes).then_some(used)
        };
        let taken = self
            .used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map(|_| ()).map_err(|_| NoMemory::Now)
    }

    fn give_back(&self, bytes: u64) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Part of the budget that one request holds; given back when dropped.
#[derive(Debug)]
pub struct RequestShare {
    memory: Arc<RequestMemory>,
    counted_bytes: u64,
}

impl RequestShare {
    /// Changes what the request holds to `bytes` in all. It holds as much as before if that fails.
    pub fn resize(&mut self, bytes: u64) -> Result<(), NoMemory> {
        let counted_bytes = bytes.saturating_sub(UNCOUNTED_BYTES);
        if counted_bytes > self.memory.total_bytes {
            return Err(NoMemory::Ever);
        }
        match counted_bytes.checked_sub(self.counted_bytes) {
            Some(more_bytes) => self.memory.take(more_bytes)?,
            None => self.memory.give_back(self.counted_bytes - counted_bytes),
        }
        self.counted_bytes = counted_bytes;
        Ok(())
    }
}

impl Drop for RequestShare {
    fn drop(&mut self) {
        self.memory.give_back(self.counted_bytes);
    }
}
