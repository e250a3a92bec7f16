//! What callers may use of the memory and the descriptors of an instance.

/// Divisor of the memory that gives the part for large requests.
const REQUEST_MEMORY_DIVISOR: u64 = 8;
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
    /// Memory that large requests may hold together, in bytes.
    pub fn request_memory_bytes(&self) -> u64 {
        self.memory_bytes / REQUEST_MEMORY_DIVISOR
    }
}
