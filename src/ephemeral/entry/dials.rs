//! Which gates are dialed, and when.
//!
//! A gate that is away is dialed again and again. A machine without power says
//! nothing, and the first packet of an attempt is sent again only after a second,
//! so an attempt that gets no answer is given up early and begun anew, as
//! [`Backoff`] says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::backoff::Backoff;
use crate::ephemeral::directory::{GateChanges, MISSING};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// An attempt to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Name of the gate.
    pub gate: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// When to give the attempt up.
    pub limit: Duration,
}

#[derive(Debug)]
struct Dial {
    addr: SocketAddr,
    session: Option<SessionId>,
    /// Whether the session's connection may be dead, so that another is wanted.
    doubted: bool,
    pending: bool,
    /// Its pause is also the length of the next attempt.
    backoff: Backoff,
    /// Earliest time of the next attempt, in monotonic microseconds.
    next_us: u64,
    /// Since when it has no record, if so.
    missing_us: Option<u64>,
}

impl Dial {
    fn new(addr: SocketAddr) -> Dial {
        Dial {
            addr,
            session: None,
            doubted: false,
            pending: false,
            backoff: Backoff::default(),
            next_us: 0,
            missing_us: None,
        }
    }

    fn is_gone(&self, now: Moment) -> bool {
        let missing = self
            .missing_us
            .is_some_and(|at_us| now.mono_us > at_us + micros(MISSING));
        missing && self.session.is_none() && !self.pending
    }

    fn begin_attempt(&mut self, now: Moment) -> Option<Duration> {
        let served = self.session.is_some() && !self.doubted;
        if served || self.pending || now.mono_us < self.next_us {
            return None;
        }
        self.pending = true;
        self.next_us = now.after(self.backoff.pause());
        Some(self.backoff.pause())
    }
}

/// The gates that an entry may have sessions with.
#[derive(Debug, Default)]
pub struct Dials {
    gates: HashMap<Arc<str>, Dial>,
}

impl Dials {
    /// Records of gates have changed.
    pub fn know(&mut self, now: Moment, changes: GateChanges) {
        for gate in &changes.removed {
            if let Some(dial) = self.gates.get_mut(gate) {
                dial.missing_us.get_or_insert(now.mono_us);
            }
        }
        for record in changes.written {
            let dial = self.gates.entry(record.gate);
            let dial = dial.or_insert_with(|| Dial::new(record.addr));
            dial.missing_us = None;
            if dial.addr != record.addr {
                // Where it listens now it has not been away.
                dial.addr = record.addr;
                dial.backoff = Backoff::default();
                dial.next_us = now.mono_us;
            }
        }
    }

    /// Attempts that are to begin now at gates that a session is wanted with; forgets
    /// gates that are gone.
    pub fn attempts(&mut self, now: Moment, wants: impl Fn(&str) -> bool) -> Vec<Attempt> {
        self.gates.retain(|_, dial| !dial.is_gone(now));
        let wanted = self.gates.iter_mut().filter(|(name, _)| wants(name));
        let due = wanted.filter_map(|(name, dial)| {
            let limit = dial.begin_attempt(now)?;
            Some(Attempt {
                gate: name.clone(),
                addr: dial.addr,
                limit,
            })
        });
        due.collect()
    }

    /// An attempt failed.
    pub fn failed(&mut self, gate: &str) {
        if let Some(dial) = self.gates.get_mut(gate) {
            dial.pending = false;
            dial.backoff.grow();
        }
    }

    /// An attempt succeeded; `open` opens the session, unless the gate was
    /// forgotten meanwhile.
    pub fn connected(&mut self, gate: &str, open: impl FnOnce() -> SessionId) -> Option<SessionId> {
        let dial = self.gates.get_mut(gate)?;
        dial.pending = false;
        dial.doubted = false;
        dial.backoff = Backoff::default();
        let session = open();
        dial.session = Some(session);
        Some(session)
    }

    /// The connection of a gate's session may be dead: another one is wanted
    /// beside it.
    pub fn doubt(&mut self, gate: &str) {
        if let Some(dial) = self.gates.get_mut(gate) {
            dial.doubted = true;
        }
    }

    /// A session ended.
    pub fn lost(&mut self, session: SessionId) {
        let dials = self.gates.values_mut();
        for dial in dials.filter(|dial| dial.session == Some(session)) {
            dial.session = None;
            dial.doubted = false;
        }
    }
}
