//! Connections between entries and gates: opened, closed, cut and dead.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::RngExt;
use winghold::ephemeral::message::{ToEntry, ToGate};
use winghold::ephemeral::session::{FrameClock, SessionId};
use winghold::time::{Moment, micros};

use super::Fleet;

pub(super) struct Link<M> {
    pub(super) frames: VecDeque<(u64, u64, Vec<M>)>,
    pub(super) clock: FrameClock,
    /// The receiver may still read what is in its buffer.
    pub(super) closed: bool,
}

impl<M> Default for Link<M> {
    fn default() -> Self {
        Link {
            frames: VecDeque::new(),
            clock: FrameClock::default(),
            closed: false,
        }
    }
}

pub(super) struct Connection {
    pub(super) entry: usize,
    pub(super) gate: usize,
    pub(super) entry_session: SessionId,
    pub(super) gate_session: SessionId,
    pub(super) to_gate: Link<ToGate>,
    pub(super) to_entry: Link<ToEntry>,
    /// Carries nothing any more, not even its end, while a new one would work.
    pub(super) silent: bool,
}

/// What a process finds when it reads a link.
pub(super) enum Read<M> {
    Messages(Vec<M>),
    /// A frame that was under way for too long; the link is closed.
    Late,
}

impl<M> Link<M> {
    /// The next frame that has arrived by `now_us`, on the reader's clock at `now`.
    pub(super) fn read(&mut self, now_us: u64, now: Moment, most_age_us: u64) -> Option<Read<M>> {
        let arrived = |(at_us, ..): &mut (u64, u64, Vec<M>)| *at_us <= now_us;
        let (_, sent_us, messages) = self.frames.pop_front_if(arrived)?;
        if self.clock.age_us(now, sent_us) <= most_age_us {
            return Some(Read::Messages(messages));
        }
        self.closed = true;
        self.frames.clear();
        Some(Read::Late)
    }
}

impl Fleet {
    /// Age from which frames are not acted on.
    pub(super) fn most_age_us(&self) -> u64 {
        match self.without.frame_age {
            true => u64::MAX,
            false => micros(self.limits.max_frame_age),
        }
    }

    pub fn reset_connections(&mut self, entry: usize) {
        self.close_connections(|connection| connection.entry == entry, true);
    }

    /// An entry closes its session with a gate where it has no work, and opens none
    /// until [`Fleet::join`].
    pub fn part(&mut self, entry: usize, gate: usize) {
        if self.has_work(entry, gate) {
            return;
        }
        self.apart.insert((entry, gate));
        self.close_connections(|one| (one.entry, one.gate) == (entry, gate), true);
    }

    /// An entry has sessions with all gates again.
    pub fn join(&mut self, entry: usize) {
        self.apart.retain(|(parted, _)| *parted != entry);
    }

    /// Whether an entry has work at a gate: it knows no records, and wants sessions
    /// for that only.
    fn has_work(&self, entry: usize, gate: usize) -> bool {
        let process = self.entries[entry].as_ref();
        process.is_some_and(|process| process.dispatcher.wants_session(&format!("gate-{gate}")))
    }

    /// Every connection of an entry goes dead without a word.
    pub fn silence_connections(&mut self, entry: usize) {
        let of_entry = self.connections.iter_mut().filter(|one| one.entry == entry);
        for connection in of_entry {
            connection.silent = true;
            connection.to_gate.frames.clear();
            connection.to_entry.frames.clear();
        }
    }

    /// Closes connections; with a reset what the peers have not read is lost. The
    /// end of a dead connection does not reach its other side.
    pub(super) fn close_connections(&mut self, which: impl Fn(&Connection) -> bool, reset: bool) {
        let buffered = self.rng.random_bool(0.5);
        let alive = self.connections.iter_mut().filter(|one| !one.silent);
        for connection in alive.filter(|one| which(one)) {
            connection.to_gate.closed = true;
            connection.to_entry.closed = true;
            if reset && !buffered {
                connection.to_gate.frames.clear();
                connection.to_entry.frames.clear();
            }
        }
    }

    pub(super) fn reachable(&self, entry: usize, gate: usize) -> bool {
        let up = |until_us: u64| until_us <= self.now_us;
        let entry = self.entries[entry].as_ref();
        let gate = self.gates[gate].as_ref();
        entry.is_some_and(|process| up(process.cut_until_us))
            && gate.is_some_and(|process| up(process.cut_until_us))
    }

    /// Entries connect to gates they have no connection to.
    pub(super) fn dial(&mut self) {
        for entry in 0..self.entries.len() {
            for gate in 0..self.gates.len() {
                let awake = self.entries[entry]
                    .as_ref()
                    .is_some_and(|process| process.frozen_until_us <= self.now_us);
                let open = self
                    .connections
                    .iter()
                    .any(|one| (one.entry, one.gate) == (entry, gate) && !one.to_entry.closed);
                let wanted = !self.apart.contains(&(entry, gate)) || self.has_work(entry, gate);
                if awake && !open && wanted && self.reachable(entry, gate) {
                    self.connect(entry, gate);
                }
            }
        }
    }

    pub(super) fn connect(&mut self, entry: usize, gate: usize) {
        let now = self.moment(entry);
        let (Some(caller), Some(called)) = (&mut self.entries[entry], &mut self.gates[gate]) else {
            return;
        };
        caller.sessions += 1;
        called.sessions += 1;
        let entry_session = SessionId(caller.sessions);
        let connection = Connection {
            entry,
            gate,
            entry_session,
            gate_session: SessionId(called.sessions),
            to_gate: Link::default(),
            to_entry: Link::default(),
            silent: false,
        };
        self.connections.push(connection);
        let name: Arc<str> = format!("gate-{gate}").into();
        caller.dispatcher.connected(now, &name, entry_session);
    }

    pub(super) fn drop_closed(&mut self) {
        self.connections.retain(|connection| {
            let read =
                connection.to_gate.frames.is_empty() && connection.to_entry.frames.is_empty();
            !(connection.to_gate.closed && connection.to_entry.closed && read)
        });
    }
}
