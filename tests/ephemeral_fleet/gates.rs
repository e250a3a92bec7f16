//! One step of a gate: worker answers, reading its connections, and applying its actions.

use std::collections::{HashMap, VecDeque};

use rand::RngExt;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::ToEntry;
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{PollCall, WorkerCallError};
use winghold::time::Moment;

use super::connections::{Connection, Read};
use super::{Fleet, HEARTBEAT_INTERVAL_US, WorkerAnswer};

impl Fleet {
    pub(super) fn step_gate(&mut self, index: usize) {
        let now = self.gate_moment(index);
        let frozen = self.gates[index]
            .as_ref()
            .is_none_or(|process| process.frozen_until_us > self.now_us);
        if frozen {
            return;
        }
        self.apply_evacuation_state(index, now);
        self.send_heartbeat(index, now);
        self.deliver_worker_answers(index, now);
        self.read_gate_connections(index, now);
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        process.gate.tick(now);
        let actions = process.gate.take_actions(now);
        self.apply_gate_actions(index, actions);
    }

    pub(super) fn send_heartbeat(&mut self, index: usize, now: Moment) {
        let now_us = self.now_us;
        let worker = &self.workers[index];
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        let due = now_us >= process.reported_us + HEARTBEAT_INTERVAL_US;
        if !due || !worker.up || worker.unresponsive_until_us > now_us {
            return;
        }
        process.reported_us = now_us;
        let id = worker.id.clone();
        let report = self.build_report(index, id);
        if let Some(process) = &mut self.gates[index] {
            process.gate.worker_report(now, report);
        }
    }

    pub(super) fn deliver_worker_answers(&mut self, index: usize, now: Moment) {
        let now_us = self.now_us;
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        let worker = &mut self.workers[index];
        let mut waiting = VecDeque::new();
        while let Some((at_us, answer)) = process.answers.pop_front() {
            let reset = !worker.up && worker.refuses;
            let woken = matches!(&answer, WorkerAnswer::Poll(_, call, true)
                if reset || worker.has_end_after(call.acked_end));
            if at_us > now_us && !woken {
                waiting.push_back((at_us, answer));
                continue;
            }
            match answer {
                WorkerAnswer::Start(worker_id, run, answer) => {
                    process.gate.start_answered(now, &worker_id, run, answer);
                }
                WorkerAnswer::Stop(worker_id, run, answer) => {
                    process.gate.stop_answered(now, &worker_id, run, answer);
                }
                WorkerAnswer::Poll(sent, call, answers) => {
                    let same = worker.is_addressed_by(&call);
                    let answer = match (answers && worker.up, same) {
                        (false, _) if !worker.up && worker.refuses => Err(WorkerCallError::Refused),
                        (false, _) => Err(WorkerCallError::Unanswered),
                        (true, false) => Err(WorkerCallError::OtherIncarnation),
                        (true, true) => Ok(worker.poll(
                            now_us,
                            &PollCall {
                                lease_until_ms: None,
                                ..call.clone()
                            },
                        )),
                    };
                    if answer.is_err() {
                        process.gate.poll_failed(now, reset);
                    }
                    process.gate.poll_answered(now, sent, &call, answer);
                }
            }
        }
        process.answers = waiting;
    }

    pub(super) fn read_gate_connections(&mut self, index: usize, now: Moment) {
        let mut lost = Vec::new();
        let (now_us, max_frame_age_us) = (self.now_us, self.max_frame_age_us());
        for at in 0..self.connections.len() {
            if self.connections[at].gate != index {
                continue;
            }
            let entry = self.connections[at].entry;
            let readable = self.reachable(entry, index) || self.entries[entry].is_none();
            let Some(process) = &mut self.gates[index] else {
                return;
            };
            let connection = &mut self.connections[at];
            let link = &mut connection.to_gate;
            while readable
                && let Some(read) = link.read(
                    now_us,
                    now,
                    &connection.entry_id,
                    &mut process.clocks,
                    max_frame_age_us,
                )
            {
                let Read::Messages(age_us, messages) = read else {
                    connection.to_entry.closed = true;
                    break;
                };
                for message in messages {
                    process
                        .gate
                        .handle_message(now, connection.gate_session, message);
                }
                let sent = match self.disabled.sending_time {
                    true => now,
                    false => Moment {
                        mono_us: now.mono_us.saturating_sub(age_us),
                        ..now
                    },
                };
                process.gate.frame_received(sent, connection.gate_session);
            }
            if link.closed && link.frames.is_empty() {
                lost.push(connection.gate_session);
            }
        }
        if let Some(process) = &mut self.gates[index] {
            for session in lost {
                process.gate.session_closed(session);
            }
        }
    }

    pub(super) fn apply_gate_actions(&mut self, index: usize, actions: Vec<GateAction>) {
        let sent_us = self.gate_moment(index).mono_us;
        let mut outbox: HashMap<SessionId, Vec<ToEntry>> = HashMap::new();
        for action in actions {
            match action {
                GateAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                GateAction::Close(session) => {
                    let of = |one: &Connection| one.gate == index && one.gate_session == session;
                    self.close_connections(of, true);
                }
                GateAction::SetWorker(_) => {}
                GateAction::StoreLosses(losses) => self.stored_losses[index] = losses,
                GateAction::Start(call) => self.send_start(index, call),
                GateAction::Stop(call) => self.send_stop(index, &call),
                GateAction::Poll(call) => self.send_poll(index, call),
            }
        }
        let at_us = self.now_us + self.rng.random_range(500..4_000);
        for (session, messages) in outbox {
            let connection = self.connections.iter_mut().find(|one| {
                one.gate == index
                    && one.gate_session == session
                    && !one.to_entry.closed
                    && !one.silent
            });
            if let Some(connection) = connection {
                let frame = (at_us, sent_us, messages);
                connection.to_entry.frames.push_back(frame);
            }
        }
    }
}
