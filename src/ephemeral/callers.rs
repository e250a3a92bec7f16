//! Callers that wait for an answer, and whether they are still connected.
//!
//! A caller that disconnects may resend its job to another entry. The end of its connection is
//! usually read by the task that serves the connection, but later than the request if both have
//! waited in the socket while this process did not run, and never while unread bytes precede it.
//! The state of the sockets is therefore checked when a job is dispatched and at intervals.

use std::collections::HashMap;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::ephemeral::dispatcher::WaiterId;
use crate::ephemeral::job::JobId;
use crate::time::{Moment, micros};

/// Socket of a caller.
pub type CallerSocket = Arc<dyn AsFd + Send + Sync>;

/// What is known of a caller when its request is submitted.
pub struct CallerRequest {
    /// Its connection.
    pub socket: CallerSocket,
    /// When the head of its request was read.
    pub received: Moment,
    /// How long the caller waits from then on.
    pub wait: Duration,
    /// Longest time that the request may have been in transit: the time since its connection was
    /// accepted or carried the previous answer.
    pub max_transit: Duration,
}

impl CallerRequest {
    /// Whether the caller may have left and resent its job, `resend` later, before this request
    /// arrived.
    pub fn may_be_resent(&self, resend: Duration) -> bool {
        self.max_transit >= resend
    }
}

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

struct Waiting {
    job: JobId,
    socket: CallerSocket,
}

/// Callers that wait for an answer.
#[derive(Default)]
pub struct Callers {
    waiting: HashMap<WaiterId, Waiting>,
    /// Time of the last check, in monotonic microseconds.
    checked_us: u64,
}

impl Callers {
    /// Adds a caller.
    pub fn insert(&mut self, waiter: WaiterId, job: JobId, socket: CallerSocket) {
        self.waiting.insert(waiter, Waiting { job, socket });
    }

    /// Removes a caller that has its answer or has disconnected.
    pub fn remove(&mut self, waiter: WaiterId) {
        self.waiting.remove(&waiter);
    }

    /// Removes and returns the disconnected callers and their jobs, if the last check was
    /// `interval` ago or earlier.
    pub fn take_disconnected(&mut self, now: Moment, interval: Duration) -> Vec<(WaiterId, JobId)> {
        if now.mono_us < self.checked_us + micros(interval) {
            return Vec::new();
        }
        self.checked_us = now.mono_us;
        let sockets = self.waiting.values().map(|waiting| &waiting.socket);
        let disconnected = are_disconnected(sockets);
        let waiting = self.waiting.iter().zip(disconnected);
        let gone: Vec<(WaiterId, JobId)> = waiting
            .filter(|(_, disconnected)| *disconnected)
            .map(|((waiter, waiting), _)| (*waiter, waiting.job))
            .collect();
        for (waiter, _) in &gone {
            self.waiting.remove(waiter);
        }
        gone
    }
}

/// Whether a caller has closed or reset its connection.
pub fn is_disconnected(socket: &CallerSocket) -> bool {
    are_disconnected(std::iter::once(socket)).contains(&true)
}

/// Whether each caller has closed or reset its connection; `false` where the state is unknown.
fn are_disconnected<'a>(sockets: impl Iterator<Item = &'a CallerSocket>) -> Vec<bool> {
    let mut fds: Vec<PollFd<'_>> = sockets
        .map(|socket| PollFd::from_borrowed_fd(socket.as_fd(), PollFlags::RDHUP))
        .collect();
    let polled = !fds.is_empty() && poll(&mut fds, Some(&NO_WAIT)).is_ok();
    fds.iter()
        .map(|fd| polled && fd.revents().intersects(DISCONNECTED))
        .collect()
}
