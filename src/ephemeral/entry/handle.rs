//! Handle of an entry for its HTTP server.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use super::Event;
use crate::code::ResultCode;
use crate::ephemeral::callers::CallerRequest;
use crate::ephemeral::cancellations::CancellationRecorder;
use crate::ephemeral::dispatcher::{JobState, WaiterId};
use crate::ephemeral::job::{JobId, JobSpec};
use crate::ephemeral::routes::{Route, RouteTable};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::Timer;

/// Longest wait of a request for the first configuration; short enough to reject the job within
/// its latency objective. A rejection counts as late after a quarter of the objective, which is
/// not known before the configuration.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(35);

/// Delay of a request whose caller may have left before it arrived. A network that held the
/// request back delivers the end of the connection up to a round trip later.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(10);

/// A submitted job on its way to the dispatcher.
pub(super) struct Submission {
    pub waiter: WaiterId,
    pub spec: JobSpec,
    pub route: Arc<Route>,
    pub caller: CallerRequest,
    pub reply: oneshot::Sender<Answer>,
}

/// State of the entry that the HTTP server reads.
#[derive(Debug, Default)]
pub(super) struct EntryStatus {
    pub gates: usize,
    pub jobs: usize,
    pub leaving: bool,
}

/// Handle of an entry for its HTTP server.
#[derive(Clone)]
pub struct EntryHandle {
    pub(super) events: UnboundedSender<Event>,
    pub(super) status: Arc<Mutex<EntryStatus>>,
    pub(super) table: watch::Receiver<Arc<RouteTable>>,
    pub(super) waiters: Arc<AtomicU64>,
    pub(super) cancellations: CancellationRecorder,
    /// Interval after which a caller resends a job.
    pub(super) resend: Duration,
    /// Clock and timers.
    pub timer: Timer,
    /// Sink for metrics.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

/// Notifies the entry if the caller disconnects before its answer.
struct WaiterGuard {
    events: UnboundedSender<Event>,
    waiter: WaiterId,
    job: JobId,
    answered: bool,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.events.send(Event::WaiterGone(self.waiter, self.job));
        }
    }
}

impl EntryHandle {
    fn with_status<T>(&self, read: impl FnOnce(&EntryStatus) -> T) -> T {
        read(&self.status.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The configuration in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.borrow().clone()
    }

    /// The configuration in force; waits at most [`FIRST_CONFIG_TIMEOUT`] for the first one.
    pub async fn wait_for_table(&self) -> Arc<RouteTable> {
        let mut table = self.table.clone();
        let first = table.wait_for(|table| table.version > 0);
        match self.timer.timeout(FIRST_CONFIG_TIMEOUT, first).await {
            Some(Ok(table)) => table.clone(),
            // Timed out, or the entry has ended.
            _ => self.table(),
        }
    }

    /// Whether callers should be routed to this entry.
    pub fn is_ready(&self) -> bool {
        let configured = self.table.borrow().version > 0;
        configured && self.with_status(|status| status.gates > 0 && !status.leaving)
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.with_status(|status| status.jobs)
    }

    /// Reports the entry as not ready from now on.
    pub fn leave(&self) {
        let _ = self.events.send(Event::Leave);
    }

    /// State of a job at this entry.
    pub async fn job_state(&self, job: JobId) -> JobState {
        let (reply, state) = oneshot::channel();
        let _ = self.events.send(Event::JobState(job, reply));
        state.await.unwrap_or(JobState::Unknown)
    }

    /// Cancels a job here at once and at the other entries through the store. Returns whether the
    /// cancellation is recorded there; if not, another entry may still start the job.
    pub async fn cancel(&self, job: JobId) -> bool {
        let _ = self.events.send(Event::Cancel(job));
        self.cancellations.record(job).await
    }

    /// Runs a job. Dropping the future counts as a disconnect of the caller.
    pub async fn submit(&self, spec: JobSpec, route: Arc<Route>, caller: CallerRequest) -> Answer {
        if caller.may_be_resent(self.resend) {
            self.timer.sleep(LATE_REQUEST_DELAY).await;
        }
        let number = self.waiters.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let mut guard = WaiterGuard {
            events: self.events.clone(),
            waiter: WaiterId(number),
            job: spec.id,
            answered: false,
        };
        let submission = Submission {
            waiter: WaiterId(number),
            spec,
            route,
            caller,
            reply,
        };
        let _ = self.events.send(Event::Submit(Box::new(submission)));
        let answer = answer.await;
        guard.answered = true;
        answer.unwrap_or_else(|_| Answer::not_run(ResultCode::Stopping, "the entry stopped"))
    }
}
