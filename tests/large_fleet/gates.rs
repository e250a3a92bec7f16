//! Simulated gates of the large fleet and the answers of their workers.

use std::collections::{BTreeMap, VecDeque};

use winghold::ephemeral::frame_counts::frame_kind;
use winghold::ephemeral::gate::{Gate, GateAction};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, ToEntry, ToGate};
use winghold::ephemeral::session::SessionId;
use winghold::ephemeral::worker::{PollCall, StartAnswer, StartCall, StopCall, WorkerReport};
use winghold::logging;
use winghold::time::Moment;

use super::{FrameInTransit, LargeFleet, STEP_US};

const REPORT_INTERVAL_US: u64 = 1_500_000;

enum Answer {
    Start(StartCall, StartAnswer),
    Stop(StopCall),
    Poll(Moment, PollCall),
}

pub struct GateProcess {
    pub gate: Gate,
    answers: VecDeque<(u64, Answer)>,
    next_report_us: u64,
}

impl GateProcess {
    pub fn new(me: ProcessId, limits: Limits) -> GateProcess {
        GateProcess {
            gate: Gate::new(me, limits, logging::discard()),
            answers: VecDeque::new(),
            next_report_us: 0,
        }
    }
}

impl LargeFleet {
    pub(super) fn handle_gate_frame(&mut self, frame: FrameInTransit<ToGate>) {
        let now = self.now();
        let Some((_, gate)) = self.sessions.get(&frame.session).copied() else {
            return;
        };
        if let Some(process) = &mut self.gates[gate] {
            for message in frame.messages {
                process.gate.handle_message(now, frame.session, message);
            }
            process.gate.frame_received(now, frame.session);
        }
    }

    pub(super) fn tick_gate(&mut self, index: usize) {
        let now = self.now();
        self.report(index, now);
        self.deliver_worker_answers(index, now);
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        process.gate.tick(now);
        let actions = process.gate.take_actions(now);
        self.execute_gate_actions(index, actions);
    }

    fn report(&mut self, index: usize, now: Moment) {
        let worker = &self.workers[index];
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        if now.mono_us < process.next_report_us {
            return;
        }
        process.next_report_us = now.mono_us + REPORT_INTERVAL_US;
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
        process.gate.worker_report(now, report);
    }

    fn deliver_worker_answers(&mut self, index: usize, now: Moment) {
        let worker = &mut self.workers[index];
        let Some(process) = &mut self.gates[index] else {
            return;
        };
        for (at_us, answer) in std::mem::take(&mut process.answers) {
            let woken = matches!(&answer, Answer::Poll(_, call)
                if worker.has_end_after(call.acked_end));
            match answer {
                answer if at_us > now.mono_us && !woken => {
                    process.answers.push_back((at_us, answer));
                }
                Answer::Start(call, answer) => {
                    let worker = &call.worker;
                    process
                        .gate
                        .start_answered(now, worker, call.run, Ok(answer));
                }
                Answer::Stop(call) => {
                    process
                        .gate
                        .stop_answered(now, &call.worker, call.run, Ok(()));
                }
                Answer::Poll(sent, call) => {
                    let without_lease = PollCall {
                        lease_until_ms: None,
                        ..call.clone()
                    };
                    let reply = worker.poll(now.mono_us, &without_lease);
                    process.gate.poll_answered(now, sent, &call, Ok(reply));
                }
            }
        }
    }

    fn execute_gate_actions(&mut self, index: usize, actions: Vec<GateAction>) {
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
                    self.schedule_answer(index, STEP_US, answer);
                }
                GateAction::Stop(call) => {
                    let _ = self.workers[index].stop(now.mono_us, call.run, call.fence);
                    self.schedule_answer(index, STEP_US, Answer::Stop(call));
                }
                GateAction::Poll(call) => {
                    let worker = &mut self.workers[index];
                    worker.poll(now.mono_us, &call);
                    let wait_us = call.wait_ms * 1_000 + STEP_US;
                    self.schedule_answer(index, wait_us, Answer::Poll(now, call));
                }
            }
        }
        for (session, messages) in outbox {
            self.count(frame_kind(&messages));
            self.to_entries.push_back(FrameInTransit {
                at_us: now.mono_us + STEP_US,
                session,
                sent_us: now.mono_us,
                messages,
            });
        }
    }

    fn schedule_answer(&mut self, index: usize, wait_us: u64, answer: Answer) {
        if let Some(process) = &mut self.gates[index] {
            process.answers.push_back((self.now_us + wait_us, answer));
        }
    }
}
