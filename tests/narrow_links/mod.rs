//! Entries on narrow links and the gates they talk to, in virtual time.
//!
//! Frames of an entry share its link, each way, in the order in which they were
//! sent; a gate's link is wide. A frame that was under way for too long ends its
//! session, as in the processes' own loops, and the entry connects anew.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use winghold::ephemeral::dispatcher::{DispatchAction, Dispatcher};
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ConfigDocument, Frame, ProcessId, ToEntry, ToGate};
use winghold::ephemeral::session::{FrameClock, SessionId};
use winghold::logging;
use winghold::time::{Moment, micros};

/// Bytes in a microsecond on a link of 25 Mbit/s.
const BYTES_PER_US: f64 = 3.125;
/// One way between two machines.
const DELAY_US: u64 = 500;
/// A turn of a process's loop.
const STEP_US: u64 = 1_000;

/// One direction of a link.
#[derive(Default)]
struct Link {
    free_us: u64,
    carried: usize,
}

impl Link {
    /// When a frame that is sent now has arrived.
    fn carry(&mut self, now_us: u64, bytes: usize) -> u64 {
        let took_us = (bytes as f64 / BYTES_PER_US) as u64;
        self.free_us = self.free_us.max(now_us) + took_us;
        self.carried += bytes;
        self.free_us + DELAY_US
    }
}

struct EntryMachine {
    dispatcher: Dispatcher,
    up: Link,
    down: Link,
    /// The configuration in force, and since when.
    config: Option<(u64, u64)>,
}

/// Frames on their way: arrival, the sender's clock, messages.
struct Way<M> {
    frames: VecDeque<(u64, u64, Vec<M>)>,
    clock: FrameClock,
}

impl<M> Default for Way<M> {
    fn default() -> Way<M> {
        Way {
            frames: VecDeque::new(),
            clock: FrameClock::default(),
        }
    }
}

impl<M> Way<M> {
    /// The next frame that has arrived, with its age.
    fn arrived(&mut self, now: Moment) -> Option<(u64, Vec<M>)> {
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
    to_gate: Way<ToGate>,
    to_entry: Way<ToEntry>,
}

/// Entries and gates, each entry connected to each gate.
pub struct Machines {
    now: Moment,
    limits: Limits,
    entries: Vec<EntryMachine>,
    gates: Vec<Gate>,
    sessions: Vec<Session>,
    last_session: u64,
    /// Sessions that ended, for whatever reason.
    pub ended: usize,
}

impl Machines {
    pub fn new(entries: usize, gates: usize) -> Machines {
        let limits = Limits::new(
            Duration::from_millis(1_300),
            Duration::from_secs(1),
            Duration::from_millis(50),
        );
        let process = |name: String, incarnation: usize| ProcessId {
            name: name.into(),
            incarnation: incarnation as u64 + 1,
        };
        let entry = |index: usize| EntryMachine {
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
        Machines {
            now: Moment {
                mono_us: 1_000_000,
                wall_ms: 0,
            },
            limits,
            entries: (0..entries).map(entry).collect(),
            gates: (0..gates).map(gate).collect(),
            sessions: Vec::new(),
            last_session: 0,
            ended: 0,
        }
    }

    /// An entry read a configuration in the store.
    pub fn read(&mut self, entry: usize, document: ConfigDocument) {
        self.put_in_force(entry, document);
    }

    /// Version in force in an entry, and the time since then in milliseconds.
    pub fn in_force(&self, entry: usize) -> Option<(u64, u64)> {
        let (version, since_us) = self.entries[entry].config?;
        Some((version, (self.now.mono_us - since_us) / 1_000))
    }

    /// Bytes that an entry has sent.
    pub fn sent(&self, entry: usize) -> usize {
        self.entries[entry].up.carried
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

    fn put_in_force(&mut self, entry: usize, document: ConfigDocument) {
        let machine = &mut self.entries[entry];
        if machine
            .config
            .is_none_or(|(version, _)| version < document.version)
        {
            machine.config = Some((document.version, self.now.mono_us));
            machine.dispatcher.apply_config(document);
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
                    to_gate: Way::default(),
                    to_entry: Way::default(),
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
        let oldest_us = micros(self.limits.max_frame_age);
        let mut late = Vec::new();
        for session in &mut self.sessions {
            let gate = &mut self.gates[session.gate];
            while let Some((age_us, messages)) = session.to_gate.arrived(now) {
                if age_us > oldest_us {
                    late.push(session.id);
                    break;
                }
                for message in messages {
                    gate.handle_message(now, session.id, message);
                }
                gate.frame_received(now, session.id);
            }
            let dispatcher = &mut self.entries[session.entry].dispatcher;
            while let Some((age_us, messages)) = session.to_entry.arrived(now) {
                if age_us > oldest_us {
                    late.push(session.id);
                    break;
                }
                dispatcher.frame_received(now, session.id);
                for message in messages {
                    dispatcher.handle_message(now, session.id, message);
                }
            }
        }
        for session in late {
            self.end(session);
        }
    }

    fn end(&mut self, id: SessionId) {
        let Some(at) = self.sessions.iter().position(|one| one.id == id) else {
            return;
        };
        let session = self.sessions.remove(at);
        self.ended += 1;
        self.entries[session.entry].dispatcher.disconnected(id);
        self.gates[session.gate].session_closed(id);
    }

    fn entry_turn(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.entries[index];
        machine.dispatcher.tick(now);
        let mut outbox: HashMap<SessionId, Vec<ToGate>> = HashMap::new();
        for action in machine.dispatcher.take_actions(now) {
            match action {
                DispatchAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                DispatchAction::Close(session) | DispatchAction::CloseSurplus(session) => {
                    self.end(session)
                }
                DispatchAction::ConfigReceived(document) => self.put_in_force(index, document),
                // The session that is doubted ends before long, or it is heard.
                DispatchAction::Redial(_) | DispatchAction::Reply { .. } => {}
            }
        }
        let up = &mut self.entries[index].up;
        for session in &mut self.sessions {
            if let Some(messages) = outbox.remove(&session.id) {
                let bytes = frame_bytes(now, &messages);
                let at_us = up.carry(now.mono_us, bytes);
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
                GateAction::Close(session) => self.end(session),
                // There is no worker.
                _ => {}
            }
        }
        for session in &mut self.sessions {
            if let Some(messages) = outbox.remove(&session.id) {
                let bytes = frame_bytes(now, &messages);
                let down = &mut self.entries[session.entry].down;
                let at_us = down.carry(now.mono_us, bytes);
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
