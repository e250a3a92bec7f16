//! Connection attempts to gates.
//!
//! Unreachable gates are retried with [`Backoff`]. An attempt without an answer is abandoned
//! early and repeated, as TCP resends the first packet only after a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::backoff::Backoff;
use crate::ephemeral::directory::{GateChanges, MISSING_RECORD_GRACE};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// An attempt to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DialAttempt {
    /// Name of the gate.
    pub gate: Arc<str>,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// When to abandon the attempt.
    pub timeout: Duration,
}

#[derive(Debug)]
struct DialState {
    addr: SocketAddr,
    session: Option<SessionId>,
    /// Whether the connection may have failed, so that a second one should be opened.
    suspect: bool,
    pending: bool,
    /// Pause between the starts of two attempts; also the timeout of each.
    backoff: Backoff,
    /// Earliest time of the next attempt, in monotonic microseconds.
    next_us: u64,
    /// When the gate's record disappeared, if it did.
    missing_since_us: Option<u64>,
}

impl DialState {
    fn new(addr: SocketAddr) -> DialState {
        DialState {
            addr,
            session: None,
            suspect: false,
            pending: false,
            backoff: Backoff::default(),
            next_us: 0,
            missing_since_us: None,
        }
    }

    fn is_gone(&self, now: Moment) -> bool {
        let is_missing = self
            .missing_since_us
            .is_some_and(|at_us| now.mono_us > at_us + micros(MISSING_RECORD_GRACE));
        is_missing && self.session.is_none() && !self.pending
    }

    fn begin_attempt(&mut self, now: Moment) -> Option<Duration> {
        let is_connected = self.session.is_some() && !self.suspect;
        if is_connected || self.pending || now.mono_us < self.next_us {
            return None;
        }
        self.pending = true;
        self.next_us = now.after(self.backoff.pause());
        Some(self.backoff.pause())
    }
}

/// Connection state of the gates that an entry may have sessions with.
#[derive(Debug, Default)]
pub struct Dialer {
    gates: HashMap<Arc<str>, DialState>,
}

impl Dialer {
    /// Applies changes of gate records.
    pub fn update_records(&mut self, now: Moment, changes: GateChanges) {
        for gate in &changes.removed {
            if let Some(dial) = self.gates.get_mut(gate) {
                dial.missing_since_us.get_or_insert(now.mono_us);
            }
        }
        for record in changes.written {
            let dial = self.gates.entry(record.gate);
            let dial = dial.or_insert_with(|| DialState::new(record.addr));
            dial.missing_since_us = None;
            if dial.addr != record.addr {
                // The backoff applies to the old address only.
                dial.addr = record.addr;
                dial.backoff = Backoff::default();
                dial.next_us = now.mono_us;
            }
        }
    }

    /// Begins and returns the attempts that are due, to gates for which `is_wanted` is true;
    /// removes gates whose record has been missing for too long.
    pub fn due_attempts(
        &mut self,
        now: Moment,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Vec<DialAttempt> {
        self.gates.retain(|_, dial| !dial.is_gone(now));
        let wanted = self.gates.iter_mut().filter(|(name, _)| is_wanted(name));
        let due = wanted.filter_map(|(name, dial)| {
            let timeout = dial.begin_attempt(now)?;
            Some(DialAttempt {
                gate: name.clone(),
                addr: dial.addr,
                timeout,
            })
        });
        due.collect()
    }

    /// Records a failed attempt.
    pub fn attempt_failed(&mut self, gate: &str) {
        if let Some(dial) = self.gates.get_mut(gate) {
            dial.pending = false;
            dial.backoff.grow();
        }
    }

    /// Records a successful attempt; calls `open` to open the session, unless the gate was
    /// removed meanwhile.
    pub fn connected(&mut self, gate: &str, open: impl FnOnce() -> SessionId) -> Option<SessionId> {
        let dial = self.gates.get_mut(gate)?;
        dial.pending = false;
        dial.suspect = false;
        dial.backoff = Backoff::default();
        let session = open();
        dial.session = Some(session);
        Some(session)
    }

    /// Requests a second connection to a gate, as the present one may have failed.
    pub fn suspect_connection(&mut self, gate: &str) {
        if let Some(dial) = self.gates.get_mut(gate) {
            dial.suspect = true;
        }
    }

    /// Records the end of a session.
    pub fn session_closed(&mut self, session: SessionId) {
        let dials = self.gates.values_mut();
        for dial in dials.filter(|dial| dial.session == Some(session)) {
            dial.session = None;
            dial.suspect = false;
        }
    }
}
