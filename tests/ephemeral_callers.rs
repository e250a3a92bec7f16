//! Detection of callers that have disconnected, with real sockets.

use std::io::Write;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

use winghold::ephemeral::callers::{CallerSocket, is_disconnected};

/// Guards against dispatching a job whose caller has left, also behind bytes that nobody reads.
#[test]
fn closed_connection_is_detected_behind_unread_bytes() {
    let (mut caller, entry) = UnixStream::pair().unwrap();
    let socket: CallerSocket = Arc::new(entry);
    assert!(!is_disconnected(&socket));
    caller.write_all(b"unread").unwrap();
    assert!(!is_disconnected(&socket));
    drop(caller);
    assert!(is_disconnected(&socket));
}
