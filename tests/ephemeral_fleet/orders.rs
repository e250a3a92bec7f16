//! Orders on their way to workers: answered, lost, or carried out late.

use rand::RngExt;
use winghold::ephemeral::worker::{
    PollCall, StartAnswer, StartCall, StartReply, StopCall, WorkerCallError,
};

use super::{Answered, Fleet, HOLD_LIMIT_US, Late, ORDER_LIMIT_US, STEP_US};

impl Fleet {
    /// Whether nothing listens at the worker.
    fn is_refused(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        !worker.up && worker.refuses
    }

    /// Whether an order is lost, and when it is carried out all the same.
    pub(super) fn fate(&mut self, index: usize) -> (bool, Option<u64>) {
        let worker = &self.workers[index];
        if !worker.up || worker.mute_until_us > self.now_us {
            return (true, None);
        }
        if self.rng.random_range(0..100) >= self.unanswered {
            return (false, Some(self.now_us));
        }
        let later = match self.rng.random_range(0..3) {
            0 => Some(self.now_us),
            1 => Some(self.now_us + self.rng.random_range(100_000..600_000)),
            _ => Some(self.now_us + self.rng.random_range(2_000_000..12_000_000)),
        };
        (true, later)
    }

    pub(super) fn answer_at(&mut self, index: usize, at_us: u64, answer: Answered) {
        if let Some(process) = &mut self.gates[index] {
            process.answers.push_back((at_us, answer));
        }
    }

    pub(super) fn order_start(&mut self, index: usize, call: StartCall) {
        let (meant, run) = (call.worker.clone(), call.run);
        let evacuated_us = self.evacuated.get(&index);
        if evacuated_us.is_some_and(|heard_us| *heard_us <= self.now_us) {
            let text = format!("{run} is ordered in a failure domain that is evacuated");
            self.violations.push(text);
        }
        if self.is_refused(index) {
            let at_us = self.now_us + STEP_US;
            let answer = Answered::Start(meant, run, Err(WorkerCallError::Refused));
            self.answer_at(index, at_us, answer);
            return;
        }
        let (lost, at_us) = self.fate(index);
        if lost {
            if let Some(at_us) = at_us {
                self.late.push((at_us, Late::Start(index, call)));
            }
            let at_us = self.now_us + ORDER_LIMIT_US;
            let answer = Answered::Start(meant, run, Err(WorkerCallError::Unanswered));
            self.answer_at(index, at_us, answer);
            return;
        }
        let reply = self.begin(index, &call);
        let clock_ms = Some(self.workers[index].clock_ms(self.now_us));
        let answer = StartAnswer { reply, clock_ms };
        let at_us = self.now_us + STEP_US;
        self.answer_at(index, at_us, Answered::Start(meant, run, Ok(answer)));
    }

    pub(super) fn order_stop(&mut self, index: usize, call: &StopCall) {
        let (meant, run, fence) = (call.worker.clone(), call.run, call.fence);
        if self.is_refused(index) {
            let at_us = self.now_us + STEP_US;
            let answer = Answered::Stop(meant, run, Err(WorkerCallError::Refused));
            self.answer_at(index, at_us, answer);
            return;
        }
        let (lost, at_us) = self.fate(index);
        if let (true, Some(at_us)) = (lost, at_us) {
            self.late.push((at_us, Late::Stop(index, call.clone())));
        }
        let answer = match lost {
            true => Err(WorkerCallError::Unanswered),
            false if meant.name != self.workers[index].id.name => {
                Err(WorkerCallError::OtherIncarnation)
            }
            false if self.workers[index].stop(self.now_us, run, fence) => Ok(()),
            // The platform answers 409, which the adapter takes for no answer.
            false => Err(WorkerCallError::Protocol),
        };
        let wait_us = if lost { ORDER_LIMIT_US } else { STEP_US };
        let at_us = self.now_us + wait_us;
        self.answer_at(index, at_us, Answered::Stop(meant, run, answer));
    }

    pub(super) fn order_hold(&mut self, index: usize, call: PollCall) {
        let (lost, _) = self.fate(index);
        if !lost && self.workers[index].is_named_in(&call) {
            // The lease counts from the arrival, the lists from the answer.
            let renewal = PollCall {
                acked_end: call.acked_end,
                ..call.clone()
            };
            self.workers[index].hold(self.now_us, &renewal);
        }
        let wait_us = if self.is_refused(index) {
            STEP_US
        } else if lost {
            HOLD_LIMIT_US
        } else {
            call.wait_ms * 1_000 + 1
        };
        let sent = self.gate_moment(index);
        let at_us = self.now_us + wait_us;
        self.answer_at(index, at_us, Answered::Hold(sent, call, !lost));
    }

    pub(super) fn late_orders(&mut self) {
        let now_us = self.now_us;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at_us, _)| *at_us <= now_us);
        self.late = later;
        let due: Vec<(u64, Late)> = due;
        for (_, order) in due {
            match order {
                Late::Start(index, call) => {
                    self.begin(index, &call);
                }
                Late::Stop(index, call) if call.worker.name == self.workers[index].id.name => {
                    self.workers[index].stop(now_us, call.run, call.fence);
                }
                Late::Stop(..) => {}
            }
        }
    }

    /// A start reaches a worker: the promises are checked here.
    pub(super) fn begin(&mut self, index: usize, call: &StartCall) -> StartReply {
        let run = call.run;
        let work_us = 30_000 + (run.job.0 * 7_919 % 10) * 250_000;
        let elsewhere = self
            .workers
            .iter()
            .any(|worker| worker.up && worker.runs(run.job, run.index));
        let (reply, began) = self.workers[index].start(self.now_us, call, work_us);
        if !began {
            return reply;
        }
        self.starts += 1;
        self.note_begin(index, run);
        if elsewhere {
            let text = format!("{run} runs twice at {} us", self.now_us);
            self.violations.push(text);
        }
        if let Some(caller) = self.callers.get_mut(&run.job) {
            let refused = caller.refused_all && caller.answer.is_some();
            caller.started = true;
            if refused {
                let text = format!("{run} started after its refusal");
                self.violations.push(text);
            }
        }
        reply
    }
}
