//! Which gates are dialed, and when.
//!
//! A gate that is away is dialed again and again. A machine without power says
//! nothing, and the first packet of an attempt is sent again only after a second,
//! so an attempt that gets no answer is given up early and begun anew. The pause
//! grows with the absence: a gate that comes back is found within a quarter of
//! the time that it was away, and one that stays away costs little.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ephemeral::directory::GateRecord;
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Length of the first attempt: many round trips between failure domains (1 ms).
const FIRST_ATTEMPT: Duration = Duration::from_millis(40);
/// Times the last attempt that the next one is given.
const GROWTH: f64 = 1.25;
/// Longest attempt; two fit into the time after which a record is given up.
const LONGEST_ATTEMPT: Duration = Duration::from_millis(400);
/// How long a gate without a record is still dialed (the users' letter: two
/// seconds after the store is back).
const MISSING: Duration = Duration::from_secs(2);

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
    pending: bool,
    /// Length of the next attempt.
    next_limit: Duration,
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
            pending: false,
            next_limit: FIRST_ATTEMPT,
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
        if self.session.is_some() || self.pending || now.mono_us < self.next_us {
            return None;
        }
        self.pending = true;
        self.next_us = now.after(self.next_limit);
        Some(self.next_limit)
    }
}

/// The gates that an entry keeps sessions with.
#[derive(Debug, Default)]
pub struct Dials {
    gates: HashMap<Arc<str>, Dial>,
}

impl Dials {
    /// These are the gates that have a record now.
    pub fn know(&mut self, now: Moment, records: Vec<GateRecord>) {
        for (name, dial) in &mut self.gates {
            let listed = records.iter().any(|record| record.gate.name == *name);
            match listed {
                true => dial.missing_us = None,
                false => {
                    dial.missing_us.get_or_insert(now.mono_us);
                }
            }
        }
        for record in records {
            let dial = self.gates.entry(record.gate.name);
            let dial = dial.or_insert_with(|| Dial::new(record.addr));
            if dial.addr != record.addr {
                // Where it listens now it has not been away.
                dial.addr = record.addr;
                dial.next_limit = FIRST_ATTEMPT;
                dial.next_us = now.mono_us;
            }
        }
    }

    /// Attempts that are to begin now; forgets gates that are gone.
    pub fn attempts(&mut self, now: Moment) -> Vec<Attempt> {
        self.gates.retain(|_, dial| !dial.is_gone(now));
        let due = self.gates.iter_mut().filter_map(|(name, dial)| {
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
            dial.next_limit = dial.next_limit.mul_f64(GROWTH).min(LONGEST_ATTEMPT);
        }
    }

    /// An attempt succeeded; `open` opens the session, unless the gate was
    /// forgotten meanwhile.
    pub fn connected(&mut self, gate: &str, open: impl FnOnce() -> SessionId) -> Option<SessionId> {
        let dial = self.gates.get_mut(gate)?;
        dial.pending = false;
        dial.next_limit = FIRST_ATTEMPT;
        let session = open();
        dial.session = Some(session);
        Some(session)
    }

    /// A session ended.
    pub fn lost(&mut self, session: SessionId) {
        let dials = self.gates.values_mut();
        for dial in dials.filter(|dial| dial.session == Some(session)) {
            dial.session = None;
        }
    }
}
