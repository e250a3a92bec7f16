//! Connections between entries and gates, and the faults of connections.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::RngExt;
use winghold::ephemeral::frame_clock::FrameClocks;
use winghold::ephemeral::message::{ProcessId, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::time::{Moment, micros};

use super::Fleet;

pub(super) struct Link<M> {
    pub(super) frames: VecDeque<(u64, u64, Vec<M>)>,
    /// The receiver may still read buffered frames.
    pub(super) closed: bool,
}

impl<M> Default for Link<M> {
    fn default() -> Self {
        Link {
            frames: VecDeque::new(),
            closed: false,
        }
    }
}

pub(super) struct Connection {
    pub(super) entry: usize,
    pub(super) gate: usize,
    pub(super) entry_id: ProcessId,
    pub(super) gate_id: ProcessId,
    pub(super) entry_session: SessionId,
    pub(super) gate_session: SessionId,
    pub(super) to_gate: Link<ToGate>,
    pub(super) to_entry: Link<ToEntry>,
    /// Drops everything, also its close, while a new connection would work.
    pub(super) silent: bool,
}

/// Result of reading a frame from a link.
pub(super) enum Read<M> {
    /// With the estimated age of the frame, in microseconds.
    Messages(u64, Vec<M>),
    /// The frame exceeded its maximum age; the link is closed.
    Late,
}

impl<M> Link<M> {
    /// Reads the next frame of `sender` that arrived by `now_us`; `now` is the reader's clock.
    pub(super) fn read(
        &mut self,
        now_us: u64,
        now: Moment,
        sender: &ProcessId,
        clocks: &mut FrameClocks,
        max_frame_age_us: u64,
    ) -> Option<Read<M>> {
        let arrived = |(at_us, ..): &mut (u64, u64, Vec<M>)| *at_us <= now_us;
        let (_, sent_us, messages) = self.frames.pop_front_if(arrived)?;
        let age_us = clocks.age_us(now, sender, sent_us);
        if age_us <= max_frame_age_us {
            return Some(Read::Messages(age_us, messages));
        }
        self.closed = true;
        self.frames.clear();
        Some(Read::Late)
    }
}

impl Fleet {
    /// Maximum age of a frame that is still handled.
    pub(super) fn max_frame_age_us(&self) -> u64 {
        match self.disabled.frame_age {
            true => u64::MAX,
            false => micros(self.limits.max_frame_age),
        }
    }

    pub fn reset_connections(&mut self, entry: usize) {
        self.close_connections(|connection| connection.entry == entry, true);
    }

    /// Closes an entry's session with a gate if it has no work there; idle sessions reopen
    /// only after [`Fleet::reconnect`].
    pub fn disconnect_idle(&mut self, entry: usize, gate: usize) {
        if self.has_work(entry, gate) {
            return;
        }
        self.separated.insert((entry, gate));
        self.close_connections(|one| (one.entry, one.gate) == (entry, gate), true);
    }

    /// Lets an entry open sessions with all gates again.
    pub fn reconnect(&mut self, entry: usize) {
        self.separated.retain(|(separated, _)| *separated != entry);
    }

    /// Whether an entry wants a session with a gate. Without records of gates, it wants
    /// sessions only for work.
    fn has_work(&self, entry: usize, gate: usize) -> bool {
        let process = self.entries[entry].as_ref();
        process.is_some_and(|process| process.dispatcher.wants_session(&format!("gate-{gate}")))
    }

    /// Makes all connections of an entry drop everything without closing.
    pub fn silence_connections(&mut self, entry: usize) {
        let of_entry = self.connections.iter_mut().filter(|one| one.entry == entry);
        for connection in of_entry {
            connection.silent = true;
            connection.to_gate.frames.clear();
            connection.to_entry.frames.clear();
        }
    }

    /// Closes connections; a reset may discard unread frames. Silent connections do not
    /// notify the other side.
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

    /// Connects entries to gates that they have no connection to.
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
                let wanted = match self.registers_jobs {
                    true => self.has_work(entry, gate),
                    false => !self.separated.contains(&(entry, gate)) || self.has_work(entry, gate),
                };
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
            entry_id: caller.id.clone(),
            gate_id: called.id.clone(),
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
