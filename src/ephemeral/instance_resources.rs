//! What callers may use of the memory and the descriptors of an instance.

use crate::ephemeral::request_memory::UNCOUNTED_BYTES;

/// Descriptors of an instance that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Divisor of the other descriptors that gives the part for the process's own connections and
/// listeners.
const OWN_SOCKETS_DIVISOR: u64 = 8;
/// Divisor of the memory that gives the part for connections of callers.
const CONNECTION_MEMORY_DIVISOR: u64 = 2;
/// Divisor of the memory that gives the part for large requests.
const REQUEST_MEMORY_DIVISOR: u64 = 8;
/// Memory of one connection in bytes: its read buffer, its unread bytes, what its request holds
/// uncounted, and its state.
const CONNECTION_BYTES: u64 = (16 << 10) + UNREAD_BYTES as u64 + UNCOUNTED_BYTES + (8 << 10);
/// Receive buffer of a caller's connection in bytes; bounds what arrives but is not read.
pub const UNREAD_BYTES: usize = 16 << 10;

/// Memory and descriptors of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceResources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Open files and sockets.
    pub descriptors: u64,
}

impl InstanceResources {
    /// Connections of callers that an entry on this instance keeps open; at least one.
    pub fn max_connections(&self) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = sockets - sockets / OWN_SOCKETS_DIVISOR;
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(1) as usize
    }

    /// Memory that large requests may hold together, in bytes.
    pub fn request_memory_bytes(&self) -> u64 {
        self.memory_bytes / REQUEST_MEMORY_DIVISOR
    }
}
