//! Connections of callers: how many an entry keeps open, and which one it closes for a new one.
//!
//! A connection whose request is being served is never closed. Of the others, which are idle or
//! still send a request, the one that has been so for longest goes first: ordinary callers send
//! their requests at once.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use crate::time::Moment;

#[derive(Debug)]
struct Open {
    /// Since when it is idle or sends a request, in monotonic microseconds; `None` while its
    /// request is served.
    waiting_since_us: Option<u64>,
    /// Closes it.
    close: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    opened: u64,
    open: HashMap<u64, Open>,
    /// Connections that may be closed, the oldest first.
    closable: BTreeSet<(u64, u64)>,
}

impl State {
    fn set_waiting(&mut self, number: u64, since_us: Option<u64>) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        if let Some(before_us) = std::mem::replace(&mut open.waiting_since_us, since_us) {
            self.closable.remove(&(before_us, number));
        }
        if let Some(since_us) = since_us {
            self.closable.insert((since_us, number));
        }
    }

    fn remove(&mut self, number: u64) -> Option<Open> {
        self.set_waiting(number, None);
        self.open.remove(&number)
    }

    /// Closes the oldest connection that may be closed; `false` if there is none.
    fn close_oldest(&mut self) -> bool {
        let Some((_, number)) = self.closable.first().copied() else {
            return false;
        };
        if let Some(open) = self.remove(number) {
            // The connection may have ended.
            let _ = open.close.send(());
        }
        true
    }
}

/// Open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    state: Mutex<State>,
}

/// What happened to make room for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There was room.
    Free,
    /// An older connection was closed.
    ClosedOldest,
}

impl CallerConnections {
    /// Allows `max` connections.
    pub fn new(max: usize) -> Arc<CallerConnections> {
        Arc::new(CallerConnections {
            max,
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection that was accepted at `now`; `None` if all others are being served. The
    /// receiver resolves when it is to be closed.
    pub fn open(
        self: &Arc<Self>,
        now: Moment,
    ) -> Option<(OpenConnection, oneshot::Receiver<()>, Admission)> {
        let mut state = self.lock();
        let admission = match state.open.len() < self.max {
            true => Admission::Free,
            false if state.close_oldest() => Admission::ClosedOldest,
            false => return None,
        };
        let (close, closed) = oneshot::channel();
        state.opened += 1;
        let number = state.opened;
        let waiting_since_us = None;
        state.open.insert(
            number,
            Open {
                waiting_since_us,
                close,
            },
        );
        state.set_waiting(number, Some(now.mono_us));
        drop(state);
        let connection = OpenConnection {
            connections: self.clone(),
            number,
        };
        Some((connection, closed, admission))
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.lock().open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An open connection; removed when dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<CallerConnections>,
    number: u64,
}

impl OpenConnection {
    /// Records that its request is being served from now on.
    pub fn begin_serving(&self) {
        self.connections.lock().set_waiting(self.number, None);
    }

    /// Records that its request was answered at `now`.
    pub fn end_serving(&self, now: Moment) {
        let mut state = self.connections.lock();
        state.set_waiting(self.number, Some(now.mono_us));
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.number);
    }
}
