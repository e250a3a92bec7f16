//! Simulates entries on narrow links and their gates in virtual time.
//!
//! The frames of an entry share its link in each direction, in sending order; links of gates
//! are unlimited. A late frame ends its session, and the entry reconnects.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use winghold::ephemeral::dispatcher::{DispatchAction, Dispatcher};
use winghold::ephemeral::frame_clock::FrameClock;
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ConfigDocument, Frame, ProcessId, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::logging;
use winghold::time::{Moment, micros};

/// 25 Mbit/s.
const BYTES_PER_US: f64 = 3.125;
/// One-way network delay.
const LINK_DELAY_US: u64 = 500;
/// Interval of the process loops.
const STEP_US: u64 = 1_000;

/// One direction of a link.
#[derive(Default)]
struct Link {
    free_us: u64,
    sent_bytes: usize,
}

impl Link {
    /// Transmits a frame; returns its arrival time.
    fn transmit(&mut self, now_us: u64, bytes: usize) -> u64 {
        let took_us = (bytes as f64 / BYTES_PER_US) as u64;
        self.free_us = self.free_us.max(now_us) + took_us;
        self.sent_bytes += bytes;
        self.free_us + LINK_DELAY_US
    }
}

struct EntryNode {
    dispatcher: Dispatcher,
    up: Link,
    down: Link,
    /// Version of the applied configuration and the time at which it was applied.
    config: Option<(u64, u64)>,
}

/// Frames in transit in one direction: arrival time, sending time and messages.
struct Channel<M> {
    frames: VecDeque<(u64, u64, Vec<M>)>,
    clock: FrameClock,
}

impl<M> Default for Channel<M> {
    fn default() -> Channel<M> {
        Channel {
            frames: VecDeque::new(),
            clock: FrameClock::default(),
        }
    }
}

impl<M> Channel<M> {
    /// Takes the next frame whose arrival time has passed; returns its age and messages.
    fn receive(&mut self, now: Moment) -> Option<(u64, Vec<M>)> {
        let (at_us, ..) = self.frames.front()?;
        if *at_us > now.mono_us {
            return None;
        }
        let (_, sent_us, messages) = self.frames.pop_front()?;
        Some((self.clock.age_us(now, sent_us), messages))
    }
}

struct Session {
    id: SessionId,
    entry: usize,
    gate: usize,
    to_gate: Channel<ToGate>,
    to_entry: Channel<ToEntry>,
}

/// Entries and gates, with a session between each entry and each gate.
pub struct LinkedFleet {
    now: Moment,
    limits: Limits,
    entries: Vec<EntryNode>,
    gates: Vec<Gate>,
    sessions: Vec<Session>,
    last_session: u64,
    /// Number of sessions that have ended.
    pub ended_sessions: usize,
}

impl LinkedFleet {
    pub fn new(entries: usize, gates: usize) -> LinkedFleet {
        let limits = Limits::new(
            Duration::from_millis(1_300),
            Duration::from_secs(1),
            Duration::from_millis(50),
        );
        let process = |name: String, incarnation: usize| ProcessId {
            name: name.into(),
            incarnation: incarnation as u64 + 1,
        };
        let entry = |index: usize| EntryNode {
            dispatcher: Dispatcher::new(
                process(format!("entry-{index}"), index),
                limits,
                logging::discard(),
            ),
            up: Link::default(),
            down: Link::default(),
            config: None,
        };
        let gate = |index: usize| {
            let me = process(format!("gate-{index}"), index);
            Gate::new(me, limits, logging::discard())
        };
        LinkedFleet {
            now: Moment {
                mono_us: 1_000_000,
                wall_ms: 0,
            },
            limits,
            entries: (0..entries).map(entry).collect(),
            gates: (0..gates).map(gate).collect(),
            sessions: Vec::new(),
            last_session: 0,
            ended_sessions: 0,
        }
    }

    /// Passes a configuration to an entry as if it had read it in the store.
    pub fn load_config(&mut self, entry: usize, document: ConfigDocument) {
        self.apply_config(entry, document);
    }

    /// Version applied in an entry, and the time since then in milliseconds.
    pub fn applied_config(&self, entry: usize) -> Option<(u64, u64)> {
        let (version, since_us) = self.entries[entry].config?;
        Some((version, (self.now.mono_us - since_us) / 1_000))
    }

    /// Number of bytes that an entry has sent.
    pub fn sent_bytes(&self, entry: usize) -> usize {
        self.entries[entry].up.sent_bytes
    }

    pub fn run_for(&mut self, span: Duration) {
        let until_us = self.now.after(span);
        while self.now.mono_us < until_us {
            self.now.mono_us += STEP_US;
            self.connect();
            self.deliver();
            for entry in 0..self.entries.len() {
                self.entry_turn(entry);
            }
            for gate in 0..self.gates.len() {
                self.gate_turn(gate);
            }
        }
    }

    fn apply_config(&mut self, entry: usize, document: ConfigDocument) {
        let node = &mut self.entries[entry];
        if node
            .config
            .is_none_or(|(version, _)| version < document.version)
        {
            node.config = Some((document.version, self.now.mono_us));
            node.dispatcher.apply_config(document);
        }
    }

    fn connect(&mut self) {
        for entry in 0..self.entries.len() {
            for gate in 0..self.gates.len() {
                let here = |one: &Session| (one.entry, one.gate) == (entry, gate);
                if self.sessions.iter().any(here) {
                    continue;
                }
                self.last_session += 1;
                let id = SessionId(self.last_session);
                self.sessions.push(Session {
                    id,
                    entry,
                    gate,
                    to_gate: Channel::default(),
                    to_entry: Channel::default(),
                });
                let name: Arc<str> = format!("gate-{gate}").into();
                self.entries[entry]
                    .dispatcher
                    .connected(self.now, &name, id);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let max_age_us = micros(self.limits.max_frame_age);
        let mut late_sessions = Vec::new();
        for session in &mut self.sessions {
            let gate = &mut self.gates[session.gate];
            while let Some((age_us, messages)) = session.to_gate.receive(now) {
                if age_us > max_age_us {
                    late_sessions.push(session.id);
                    break;
                }
                for message in messages {
                    gate.handle_message(now, session.id, message);
                }
                gate.frame_received(now, session.id);
            }
            let dispatcher = &mut self.entries[session.entry].dispatcher;
            while let Some((age_us, messages)) = session.to_entry.receive(now) {
                if age_us > max_age_us {
                    late_sessions.push(session.id);
                    break;
                }
                dispatcher.frame_received(now, session.id);
                for message in messages {
                    dispatcher.handle_message(now, session.id, message);
                }
            }
        }
        for session in late_sessions {
            self.end_session(session);
        }
    }

    fn end_session(&mut self, id: SessionId) {
        let Some(at) = self.sessions.iter().position(|one| one.id == id) else {
            return;
        };
        let session = self.sessions.remove(at);
        self.ended_sessions += 1;
        self.entries[session.entry]
            .dispatcher
            .disconnected(self.now, id);
        self.gates[session.gate].session_closed(id);
    }

    fn entry_turn(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.entries[index];
        node.dispatcher.tick(now);
        let mut outbox: HashMap<SessionId, Vec<ToGate>> = HashMap::new();
        for action in node.dispatcher.take_actions(now) {
            match action {
                DispatchAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                DispatchAction::Close(session) | DispatchAction::CloseSurplus(session) => {
                    self.end_session(session)
                }
                DispatchAction::ConfigReceived(document) => self.apply_config(index, document),
                // A suspected session either ends soon or receives a frame.
                DispatchAction::Redial(_) | DispatchAction::Reply { .. } => {}
            }
        }
        let up = &mut self.entries[index].up;
        for session in &mut self.sessions {
            if let Some(messages) = outbox.remove(&session.id) {
                let bytes = frame_bytes(now, &messages);
                let at_us = up.transmit(now.mono_us, bytes);
                session
                    .to_gate
                    .frames
                    .push_back((at_us, now.mono_us, messages));
            }
        }
    }

    fn gate_turn(&mut self, index: usize) {
        let now = self.now;
        let gate = &mut self.gates[index];
        gate.tick(now);
        let mut outbox: HashMap<SessionId, Vec<ToEntry>> = HashMap::new();
        for action in gate.take_actions(now) {
            match action {
                GateAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                GateAction::Close(session) => self.end_session(session),
                // There is no worker.
                _ => {}
            }
        }
        for session in &mut self.sessions {
            if let Some(messages) = outbox.remove(&session.id) {
                let bytes = frame_bytes(now, &messages);
                let down = &mut self.entries[session.entry].down;
                let at_us = down.transmit(now.mono_us, bytes);
                session
                    .to_entry
                    .frames
                    .push_back((at_us, now.mono_us, messages));
            }
        }
    }
}

fn frame_bytes<M: Serialize + Clone>(now: Moment, messages: &[M]) -> usize {
    let frame = Frame {
        sent_us: now.mono_us,
        messages: messages.to_vec(),
    };
    rmp_serde::to_vec(&frame).expect("a frame is encoded").len()
}
