//! Detection of callers that have disconnected, with real sockets.

use std::io::Write;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

use winghold::ephemeral::callers::{CallerSocket, Callers, is_disconnected};
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::job::JobId;
use winghold::time::Moment;

const INTERVAL: Duration = Duration::from_millis(46);

fn at_ms(ms: u64) -> Moment {
    Moment {
        mono_us: ms * 1_000,
        wall_ms: 0,
    }
}

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

/// Guards against runs that go on for a caller that left while the entry did not run.
#[test]
fn disconnected_callers_are_found_once_the_interval_is_over() {
    let mut callers = Callers::default();
    let mut open = Vec::new();
    for number in 0..3 {
        let (caller, entry) = UnixStream::pair().unwrap();
        callers.insert(WaiterId(number), JobId(number + 10), Arc::new(entry));
        open.push(caller);
    }
    assert_eq!(callers.take_disconnected(at_ms(1_000), INTERVAL), []);
    drop(open.remove(1));
    assert_eq!(callers.take_disconnected(at_ms(1_045), INTERVAL), []);
    let gone = [(WaiterId(1), JobId(11))];
    assert_eq!(callers.take_disconnected(at_ms(1_046), INTERVAL), gone);
    assert_eq!(
        callers.take_disconnected(at_ms(2_000), INTERVAL),
        [],
        "reported once"
    );
}

/// Guards against counting the end of a connection whose caller has its answer as a disconnect.
#[test]
fn answered_callers_are_not_reported() {
    let mut callers = Callers::default();
    let (caller, entry) = UnixStream::pair().unwrap();
    callers.insert(WaiterId(1), JobId(1), Arc::new(entry));
    callers.remove(WaiterId(1));
    drop(caller);
    assert_eq!(callers.take_disconnected(at_ms(1_000), INTERVAL), []);
}
