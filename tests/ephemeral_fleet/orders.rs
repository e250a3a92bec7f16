//! Orders to workers: answered, lost, or carried out late.

use rand::RngExt;
use slog::debug;
use winghold::ephemeral::worker::{
    PollCall, StartAnswer, StartCall, StartReply, StopCall, WorkerCallError,
};

use super::{Fleet, LateOrder, ORDER_TIMEOUT_US, POLL_TIMEOUT_US, STEP_US, WorkerAnswer};

impl Fleet {
    /// Whether the worker is down and refuses connections.
    fn refuses_connections(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        !worker.up && worker.refuses
    }

    /// Whether a call on a new connection is refused.
    fn refuses_new_connections(&self, index: usize) -> bool {
        let until_us = self.workers[index].refuses_new_until_us;
        self.refuses_connections(index) || until_us > self.now_us
    }

    /// Draws whether the answer to an order is lost, and when the order is carried out.
    pub(super) fn draw_delivery(&mut self, index: usize) -> (bool, Option<u64>) {
        let worker = &self.workers[index];
        if !worker.up || worker.unresponsive_until_us > self.now_us {
            return (true, None);
        }
        if self.rng.random_range(0..100) >= self.unanswered_percent {
            return (false, Some(self.now_us));
        }
        let later = match self.rng.random_range(0..3) {
            0 => Some(self.now_us),
            1 => Some(self.now_us + self.rng.random_range(100_000..600_000)),
            _ => Some(self.now_us + self.rng.random_range(2_000_000..12_000_000)),
        };
        (true, later)
    }

    pub(super) fn queue_answer(&mut self, index: usize, at_us: u64, answer: WorkerAnswer) {
        if let Some(process) = &mut self.gates[index] {
            process.answers.push_back((at_us, answer));
        }
    }

    pub(super) fn send_start(&mut self, index: usize, call: StartCall) {
        let (worker_id, run) = (call.worker.clone(), call.run);
        let evacuated_us = self.evacuated.get(&index);
        if evacuated_us.is_some_and(|known_at_us| *known_at_us <= self.now_us) {
            let text = format!("{run} was ordered in an evacuated failure domain");
            self.violations.push(text);
        }
        if self.refuses_new_connections(index) {
            let at_us = self.now_us + STEP_US;
            let answer = WorkerAnswer::Start(worker_id, run, Err(WorkerCallError::Refused));
            self.queue_answer(index, at_us, answer);
            return;
        }
        let (lost, at_us) = self.draw_delivery(index);
        if lost {
            if let Some(at_us) = at_us {
                self.late.push((at_us, LateOrder::Start(index, call)));
            }
            let at_us = self.now_us + ORDER_TIMEOUT_US;
            let answer = WorkerAnswer::Start(worker_id, run, Err(WorkerCallError::Unanswered));
            self.queue_answer(index, at_us, answer);
            return;
        }
        let reply = self.deliver_start(index, &call);
        let clock_ms = Some(self.workers[index].clock_ms(self.now_us));
        let answer = StartAnswer { reply, clock_ms };
        let at_us = self.now_us + STEP_US;
        self.queue_answer(
            index,
            at_us,
            WorkerAnswer::Start(worker_id, run, Ok(answer)),
        );
    }

    pub(super) fn send_stop(&mut self, index: usize, call: &StopCall) {
        let (worker_id, run, fence) = (call.worker.clone(), call.run, call.fence);
        if self.refuses_new_connections(index) {
            let at_us = self.now_us + STEP_US;
            let answer = WorkerAnswer::Stop(worker_id, run, Err(WorkerCallError::Refused));
            self.queue_answer(index, at_us, answer);
            return;
        }
        let (lost, at_us) = self.draw_delivery(index);
        if let (true, Some(at_us)) = (lost, at_us) {
            self.late
                .push((at_us, LateOrder::Stop(index, call.clone())));
        }
        let answer = match lost {
            true => Err(WorkerCallError::Unanswered),
            false if worker_id.name != self.workers[index].id.name => {
                Err(WorkerCallError::OtherIncarnation)
            }
            false if self.workers[index].stop(self.now_us, run, fence) => Ok(()),
            // The adapter reports the platform's status 409 as a protocol error.
            false => Err(WorkerCallError::Protocol),
        };
        let wait_us = if lost { ORDER_TIMEOUT_US } else { STEP_US };
        let at_us = self.now_us + wait_us;
        self.queue_answer(index, at_us, WorkerAnswer::Stop(worker_id, run, answer));
    }

    pub(super) fn send_poll(&mut self, index: usize, call: PollCall) {
        let (lost, _) = self.draw_delivery(index);
        let lost = lost || call.check && self.refuses_new_connections(index);
        if !lost && self.workers[index].is_addressed_by(&call) {
            // The lease is renewed on arrival, the lists are taken when the answer is sent.
            let renewal = PollCall {
                acked_end: call.acked_end,
                ..call.clone()
            };
            self.workers[index].poll(self.now_us, &renewal);
        }
        let wait_us = if self.refuses_connections(index) {
            STEP_US
        } else if lost {
            POLL_TIMEOUT_US
        } else {
            call.wait_ms * 1_000 + 1
        };
        let sent = self.gate_moment(index);
        let at_us = self.now_us + wait_us;
        self.queue_answer(index, at_us, WorkerAnswer::Poll(sent, call, !lost));
    }

    pub(super) fn carry_out_late_orders(&mut self) {
        let now_us = self.now_us;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at_us, _)| *at_us <= now_us);
        self.late = later;
        let due: Vec<(u64, LateOrder)> = due;
        for (_, order) in due {
            match order {
                LateOrder::Start(index, call) => {
                    self.deliver_start(index, &call);
                }
                LateOrder::Stop(index, call) if call.worker.name == self.workers[index].id.name => {
                    self.workers[index].stop(now_us, call.run, call.fence);
                }
                LateOrder::Stop(..) => {}
            }
        }
    }

    /// Delivers a start to a worker and checks the guarantees of starts.
    pub(super) fn deliver_start(&mut self, index: usize, call: &StartCall) -> StartReply {
        let run = call.run;
        let work_us = 30_000 + (run.job.0 * 7_919 % 10) * 250_000;
        let runs_elsewhere = self
            .workers
            .iter()
            .any(|worker| worker.up && worker.runs(run.job, run.index));
        let (reply, began) = self.workers[index].start(self.now_us, call, work_us);
        debug!(self.log, "start delivered"; "run" => %run, "worker" => %call.worker,
            "reply" => ?reply, "began" => began, "work_us" => work_us);
        if !began {
            return reply;
        }
        self.starts += 1;
        self.record_start(index, run);
        if runs_elsewhere {
            let text = format!(
                "{run} started at {} us while another run of its task is in progress",
                self.now_us
            );
            self.violations.push(text);
        }
        if let Some(caller) = self.callers.get_mut(&run.job) {
            let refused = caller.only_refused && caller.answer.is_some();
            caller.started = true;
            if refused {
                let text = format!("{run} started after its job was refused");
                self.violations.push(text);
            }
        }
        reply
    }
}
