//! The gates of the large fleet and what their workers answer.

use std::collections::{BTreeMap, VecDeque};

use winghold::ephemeral::frame_counts::frame_kind;
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{PollCall, StartAnswer, StartCall, StopCall, WorkerReport};
use winghold::logging;
use winghold::time::Moment;

use super::{Flight, LargeFleet, STEP_US};

/// Pause between two reports of a worker.
const REPORT_US: u64 = 1_500_000;

enum Answer {
    Start(StartCall, StartAnswer),
    Stop(StopCall),
    Hold(Moment, PollCall),
}

pub struct GateSide {
    pub gate: Gate,
    answers: VecDeque<(u64, Answer)>,
    report_at_us: u64,
}

impl GateSide {
    pub fn new(me: ProcessId, limits: Limits) -> GateSide {
        GateSide {
            gate: Gate::new(me, limits, logging::discard()),
            answers: VecDeque::new(),
            report_at_us: 0,
        }
    }
}

impl LargeFleet {
    pub(super) fn gate_reads(&mut self, flight: Flight<ToGate>) {
        let now = self.now();
        let Some((_, gate)) = self.sessions.get(&flight.session).copied() else {
            return;
        };
        if let Some(side) = &mut self.gates[gate] {
            for message in flight.messages {
                side.gate.handle_message(now, flight.session, message);
            }
            side.gate.frame_received(now, flight.session);
        }
    }

    pub(super) fn gate_turn(&mut self, index: usize) {
        let now = self.now();
        self.report(index, now);
        self.worker_answers(index, now);
        let Some(side) = &mut self.gates[index] else {
            return;
        };
        side.gate.tick(now);
        let actions = side.gate.take_actions(now);
        self.carry_out_gate(index, actions);
    }

    fn report(&mut self, index: usize, now: Moment) {
        let worker = &self.workers[index];
        let Some(side) = &mut self.gates[index] else {
            return;
        };
        if now.mono_us < side.report_at_us {
            return;
        }
        side.report_at_us = now.mono_us + REPORT_US;
        let report = WorkerReport {
            id: worker.id.clone(),
            service: "s".into(),
            addr: String::new(),
            leaving: false,
            leaves_in_ms: None,
            capacity: worker.capacity,
            labels: Vec::new(),
            clock_ms: worker.clock_ms(now.mono_us),
            sequence: now.mono_us,
        };
        side.gate.worker_report(now, report);
    }

    fn worker_answers(&mut self, index: usize, now: Moment) {
        let worker = &mut self.workers[index];
        let Some(side) = &mut self.gates[index] else {
            return;
        };
        for (at_us, answer) in std::mem::take(&mut side.answers) {
            let woken = matches!(&answer, Answer::Hold(_, call)
                if worker.has_end_after(call.acked_end));
            match answer {
                answer if at_us > now.mono_us && !woken => {
                    side.answers.push_back((at_us, answer));
                }
                Answer::Start(call, answer) => {
                    let worker = &call.worker;
                    side.gate.start_answered(now, worker, call.run, Ok(answer));
                }
                Answer::Stop(call) => {
                    side.gate.stop_answered(now, &call.worker, call.run, Ok(()));
                }
                Answer::Hold(sent, call) => {
                    let renewed = PollCall {
                        lease_until_ms: None,
                        ..call.clone()
                    };
                    let reply = worker.poll(now.mono_us, &renewed);
                    side.gate.poll_answered(now, sent, &call, Ok(reply));
                }
            }
        }
    }

    fn carry_out_gate(&mut self, index: usize, actions: Vec<GateAction>) {
        let now = self.now();
        let mut outbox: BTreeMap<SessionId, Vec<ToEntry>> = BTreeMap::new();
        for action in actions {
            match action {
                GateAction::Send { session, message } => {
                    outbox.entry(session).or_default().push(message);
                }
                GateAction::Close(session) => self.close(session),
                GateAction::SetWorker(_) | GateAction::StoreLosses(_) => {}
                GateAction::Start(call) => {
                    let work_us = self.work_us(index, call.run);
                    let worker = &mut self.workers[index];
                    let (reply, began) = worker.start(now.mono_us, &call, work_us);
                    self.counts.starts += u64::from(began);
                    let clock_ms = Some(worker.clock_ms(now.mono_us));
                    let answer = Answer::Start(call, StartAnswer { reply, clock_ms });
                    self.answer_in(index, STEP_US, answer);
                }
                GateAction::Stop(call) => {
                    let _ = self.workers[index].stop(now.mono_us, call.run, call.fence);
                    self.answer_in(index, STEP_US, Answer::Stop(call));
                }
                GateAction::Poll(call) => {
                    let worker = &mut self.workers[index];
                    worker.poll(now.mono_us, &call);
                    let wait_us = call.wait_ms * 1_000 + STEP_US;
                    self.answer_in(index, wait_us, Answer::Hold(now, call));
                }
            }
        }
        for (session, messages) in outbox {
            self.count(frame_kind(&messages));
            self.to_entries.push_back(Flight {
                at_us: now.mono_us + STEP_US,
                session,
                sent_us: now.mono_us,
                messages,
            });
        }
    }

    fn answer_in(&mut self, index: usize, wait_us: u64, answer: Answer) {
        if let Some(side) = &mut self.gates[index] {
            side.answers.push_back((self.now_us + wait_us, answer));
        }
    }
}
