//! One step of an entry: reading its connections, and applying the dispatcher's actions.

use std::collections::HashMap;

use rand::RngExt;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::message::ToGate;
use winghold::ephemeral::session::SessionId;
use winghold::time::Moment;

use super::connections::{Connection, Read};
use super::{CALLER_TIMEOUT_US, EntryEvent, Fleet, route, spec};

impl Fleet {
    pub(super) fn step_entry(&mut self, index: usize) {
        let now = self.moment(index);
        let frozen = self.entries[index]
            .as_ref()
            .is_none_or(|process| process.frozen_until_us > self.now_us);
        if frozen {
            return;
        }
        self.write_after_pause(index);
        self.read_entry_connections(index, now);
        let Some(process) = &mut self.entries[index] else {
            return;
        };
        process.dispatcher.tick(now);
        while let Some(event) = process.inbox.pop_front() {
            match event {
                EntryEvent::Submit(waiter, id, count, estimate_us) => {
                    let spec = spec(id, count, estimate_us);
                    let (route, wait_us) = (route(id, 3), CALLER_TIMEOUT_US);
                    process.dispatcher.submit(now, waiter, spec, route, wait_us);
                }
                EntryEvent::CallerLeft(waiter, id) => {
                    process.dispatcher.remove_waiter(now, waiter, id)
                }
            }
        }
        let actions = process.dispatcher.take_actions(now);
        let starts = |action: &DispatchAction| {
            matches!(
                action,
                DispatchAction::Send {
                    message: ToGate::Start(_),
                    ..
                }
            )
        };
        if actions.iter().any(starts)
            && let Some(pause_us) = process.pause_before_writing_us.take()
        {
            process.unwritten = Some((now.mono_us, actions));
            self.freeze_entry(index, pause_us);
            return;
        }
        self.apply_entry_actions(index, now.mono_us, actions);
    }

    /// Makes the next turn of an entry that sends a start pause between its decisions and the
    /// writing of its frames.
    pub fn pause_before_writing(&mut self, entry: usize, for_us: u64) {
        if let Some(process) = &mut self.entries[entry] {
            process.pause_before_writing_us = Some(for_us);
        }
    }

    fn write_after_pause(&mut self, index: usize) {
        let process = self.entries[index].as_mut();
        if let Some((decided_us, actions)) = process.and_then(|one| one.unwritten.take()) {
            self.apply_entry_actions(index, decided_us, actions);
        }
    }

    pub(super) fn read_entry_connections(&mut self, index: usize, now: Moment) {
        let mut lost = Vec::new();
        let (now_us, max_frame_age_us) = (self.now_us, self.max_frame_age_us());
        for at in 0..self.connections.len() {
            if self.connections[at].entry != index {
                continue;
            }
            let gate = self.connections[at].gate;
            let readable = self.reachable(index, gate) || self.gates[gate].is_none();
            let Some(process) = &mut self.entries[index] else {
                return;
            };
            let connection = &mut self.connections[at];
            let link = &mut connection.to_entry;
            while readable
                && let Some(read) = link.read(
                    now_us,
                    now,
                    &connection.gate_id,
                    &mut process.clocks,
                    max_frame_age_us,
                )
            {
                let Read::Messages(_, messages) = read else {
                    connection.to_gate.closed = true;
                    break;
                };
                process
                    .dispatcher
                    .frame_received(now, connection.entry_session);
                for message in messages {
                    process
                        .dispatcher
                        .handle_message(now, connection.entry_session, message);
                }
            }
            if link.closed && link.frames.is_empty() {
                lost.push(connection.entry_session);
            }
        }
        if let Some(process) = &mut self.entries[index] {
            for session in lost {
                process.dispatcher.disconnected(now, session);
            }
        }
    }

    /// Carries out the actions that an entry decided at `decided_us` on its clock.
    pub(super) fn apply_entry_actions(
        &mut self,
        index: usize,
        decided_us: u64,
        actions: Vec<DispatchAction>,
    ) {
        let sent_us = match self.disabled.decision_time {
            true => self.moment(index).mono_us,
            false => decided_us,
        };
        let mut outbox: HashMap<SessionId, Vec<ToGate>> = HashMap::new();
        let mut redial = Vec::new();
        for action in actions {
            match action {
                DispatchAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                DispatchAction::Close(session) | DispatchAction::CloseSurplus(session) => {
                    let of = |one: &Connection| one.entry == index && one.entry_session == session;
                    self.connections.retain(|one| !one.silent || !of(one));
                    self.close_connections(of, true);
                }
                DispatchAction::Redial(name) => redial.push(name),
                DispatchAction::Reply { waiter, answer } => {
                    self.answered(index, waiter, &answer);
                }
                DispatchAction::ConfigReceived(_) => {}
            }
        }
        let at_us = self.now_us + self.rng.random_range(500..4_000);
        for (session, messages) in outbox {
            let connection = self.connections.iter_mut().find(|one| {
                one.entry == index && one.entry_session == session && !one.to_gate.closed
            });
            if let Some(connection) = connection.filter(|one| !one.silent) {
                let frame = (at_us, sent_us, messages);
                connection.to_gate.frames.push_back(frame);
            }
        }
        for name in redial {
            self.redial(index, &name);
        }
    }

    /// Opens a connection beside the present one, which may be dead.
    pub(super) fn redial(&mut self, entry: usize, name: &str) {
        let gate = (0..self.gates.len()).find(|gate| name == format!("gate-{gate}"));
        if let Some(gate) = gate.filter(|gate| self.reachable(entry, *gate)) {
            self.connect(entry, gate);
        }
    }
}
