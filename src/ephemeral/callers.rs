//! Whether a caller is still connected.
//!
//! A caller that disconnects may resend its job to another entry. The end of its connection is
//! read by the task that serves the connection, but later than the request if both have waited in
//! the socket while this process did not run. The state of the socket is therefore checked when
//! a job is dispatched.

use std::os::fd::AsFd;
use std::sync::Arc;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Socket of a caller.
pub type CallerSocket = Arc<dyn AsFd + Send + Sync>;

/// Socket states in which the caller reads no answer any more.
const DISCONNECTED: PollFlags = PollFlags::RDHUP
    .union(PollFlags::HUP)
    .union(PollFlags::ERR)
    .union(PollFlags::NVAL);
/// Makes `poll` return at once.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// Whether a caller has closed or reset its connection; `false` if the state is unknown.
pub fn is_disconnected(socket: &CallerSocket) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(socket.as_fd(), PollFlags::RDHUP)];
    poll(&mut fds, Some(&NO_WAIT)).is_ok() && fds[0].revents().intersects(DISCONNECTED)
}
