//! Callers: they send jobs, wait, resend them and check the answers.

use rand::RngExt;
use winghold::code::{Effect, ResultCode};
use winghold::ephemeral::dispatcher::WaiterId;
use winghold::ephemeral::job::JobId;
use winghold::message::Answer;
use winghold::time::micros;

use super::crashes::MIN_CRASHES_OF_FAILED_TASK;
use super::{CALLER_TIMEOUT_US, Caller, EntryEvent, Fleet, RESEND_DELAY};

impl Fleet {
    pub fn submit(&mut self, count: u32, estimate_us: u64) {
        self.last_job += 1;
        let caller = Caller {
            count,
            estimate_us,
            waiter: None,
            resend_at_us: None,
            started: false,
            only_refused: true,
            losses_reported: false,
            first_sent_us: self.now_us,
            answer: None,
        };
        let id = JobId(self.last_job);
        self.callers.insert(id, caller);
        self.send(id);
    }

    /// The job that was submitted last.
    pub fn last_job(&self) -> JobId {
        JobId(self.last_job)
    }

    /// Submits a job whose caller has sent it before: that request reaches `entry` now, the
    /// resent one another entry after `resent_after_us`.
    pub fn submit_after_late_request(
        &mut self,
        count: u32,
        estimate_us: u64,
        entry: usize,
        resent_after_us: u64,
    ) {
        self.last_job += 1;
        let caller = Caller {
            count,
            estimate_us,
            waiter: None,
            resend_at_us: Some(self.now_us + resent_after_us),
            started: false,
            only_refused: false,
            losses_reported: false,
            first_sent_us: self.now_us,
            answer: None,
        };
        self.callers.insert(self.last_job(), caller);
        self.deliver_late(self.last_job(), entry);
    }

    /// Delivers a request to an entry whose caller has left it unnoticed.
    pub fn deliver_late(&mut self, id: JobId, entry: usize) {
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        if let (Some(caller), Some(process)) = (self.callers.get_mut(&id), &mut self.entries[entry])
        {
            // This request is not refused with the others.
            caller.only_refused = false;
            let submit = EntryEvent::Submit(waiter, id.0, caller.count, caller.estimate_us);
            process.inbox.push_back(submit);
        }
    }

    pub(super) fn send(&mut self, id: JobId) {
        let index = self.rng.random_range(0..self.entries.len());
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        let now_us = self.now_us;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.resend_at_us = None;
        let (count, estimate_us) = (caller.count, caller.estimate_us);
        match &mut self.entries[index] {
            None => caller.resend_at_us = Some(now_us + micros(RESEND_DELAY)),
            Some(entry) => {
                caller.waiter = Some((waiter, index, now_us));
                entry.waiters.insert(waiter, id);
                let submit = EntryEvent::Submit(waiter, id.0, count, estimate_us);
                entry.inbox.push_back(submit);
            }
        }
    }

    /// Schedules a resend after a broken connection or an answer with an unknown outcome.
    pub(super) fn schedule_resend(&mut self, id: JobId, waiter: WaiterId) {
        let resend_at_us = self.now_us + micros(RESEND_DELAY);
        if let Some(caller) = self.callers.get_mut(&id)
            && caller.waiter.is_some_and(|(current, ..)| current == waiter)
        {
            caller.waiter = None;
            caller.only_refused = false;
            caller.resend_at_us = Some(resend_at_us);
        }
    }

    pub(super) fn answered(&mut self, entry: usize, waiter: WaiterId, answer: &Answer) {
        let Some(process) = &mut self.entries[entry] else {
            return;
        };
        let Some(id) = process.waiters.remove(&waiter) else {
            return;
        };
        let refusal = answer.effect == Effect::NotRun && answer.code == ResultCode::Overloaded;
        let unknown = matches!(
            answer.code,
            ResultCode::OutcomeUnknown | ResultCode::DeadlinePassed
        );
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.losses_reported = unknown && answer.message.contains("may have been lost");
        }
        if unknown {
            self.unknown += 1;
            self.schedule_resend(id, waiter);
            self.stop_resending_after_timeout(id);
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.waiter.is_none_or(|(current, ..)| current != waiter) {
            return;
        }
        caller.waiter = None;
        caller.answer = Some(answer.code.number());
        if refusal {
            if caller.only_refused && caller.started {
                let text = format!("{id} was refused after one of its tasks started");
                self.violations.push(text);
            }
            return;
        }
        let crashes = self.crashes_while_running(id);
        if answer.code == ResultCode::TaskFailed && crashes < MIN_CRASHES_OF_FAILED_TASK {
            let text = format!("{id} failed, but only {crashes} workers crashed while they ran it");
            self.violations.push(text);
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        self.completed += usize::from(answer.code == ResultCode::Complete);
        caller.only_refused = false;
    }

    /// Ends the resends of a caller that still gets reports of possible losses after its
    /// timeout.
    fn stop_resending_after_timeout(&mut self, id: JobId) {
        if let Some(caller) = self.callers.get_mut(&id)
            && caller.losses_reported
            && self.now_us > caller.first_sent_us + CALLER_TIMEOUT_US
        {
            caller.resend_at_us = None;
        }
    }

    pub(super) fn step_callers(&mut self) {
        let now_us = self.now_us;
        let mut hang_up = Vec::new();
        let mut again = Vec::new();
        for (id, caller) in &mut self.callers {
            if let Some((_, _, sent_us)) = caller.waiter
                && now_us > sent_us + CALLER_TIMEOUT_US
            {
                hang_up.push(*id);
            }
            if caller.resend_at_us.is_some_and(|at| now_us >= at) {
                again.push(*id);
            }
        }
        for id in hang_up {
            self.hang_up(id);
        }
        for id in again {
            self.send(id);
        }
    }

    /// Ends the connection of the job's caller, who sends the job again later.
    pub fn hang_up(&mut self, id: JobId) {
        let resend_at_us = self.now_us + micros(RESEND_DELAY);
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some((waiter, entry, _)) = caller.waiter.take() else {
            return;
        };
        caller.only_refused = false;
        caller.resend_at_us = Some(resend_at_us);
        if let Some(process) = &mut self.entries[entry] {
            process.waiters.remove(&waiter);
            process.inbox.push_back(EntryEvent::CallerLeft(waiter, id));
        }
    }
}
