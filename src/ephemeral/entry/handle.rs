//! The handle of an entry for its HTTP side.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use super::Event;
use crate::code::ResultCode;
use crate::ephemeral::dispatcher::WaiterId;
use crate::ephemeral::job::{JobId, JobSpec};
use crate::ephemeral::routes::{Route, RouteTable};
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::time::{Timer, micros};

/// Longest wait of a caller for the first configuration: it is there 15 ms after
/// the start, and a refusal counts as late after a quarter of the job's
/// objective, which is not known before; most are above 150 ms.
const FIRST_TABLE: Duration = Duration::from_millis(35);

/// A job on its way to the dispatcher.
pub(super) struct Submit {
    pub waiter: WaiterId,
    pub spec: JobSpec,
    pub route: Arc<Route>,
    pub wait_us: u64,
    pub reply: oneshot::Sender<Answer>,
}

/// What the HTTP side sees of the entry.
#[derive(Debug, Default)]
pub(super) struct View {
    pub gates: usize,
    pub jobs: usize,
    pub leaving: bool,
}

/// Handle on an entry for its HTTP side.
#[derive(Clone)]
pub struct EntryHandle {
    pub(super) events: UnboundedSender<Event>,
    pub(super) view: Arc<Mutex<View>>,
    pub(super) table: watch::Receiver<Arc<RouteTable>>,
    pub(super) waiters: Arc<AtomicU64>,
    /// Timer service.
    pub timer: Timer,
    /// Where counts go.
    pub metrics: Metrics,
    /// Where events are logged.
    pub log: Logger,
}

/// Tells the entry when a caller is gone before its answer.
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
    fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The configuration in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.borrow().clone()
    }

    /// The configuration in force; a caller that comes before the first one
    /// waits for it, for at most [`FIRST_TABLE`].
    pub async fn table_soon(&self) -> Arc<RouteTable> {
        let mut table = self.table.clone();
        let known = table.wait_for(|table| table.version > 0);
        match self.timer.within(FIRST_TABLE, known).await {
            Some(Ok(table)) => table.clone(),
            // Too late, or the entry is gone.
            _ => self.table(),
        }
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let configured = self.table.borrow().version > 0;
        configured && self.with_view(|view| view.gates > 0 && !view.leaving)
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.with_view(|view| view.jobs)
    }

    /// Takes no place among those that are sent callers any more.
    pub fn leave(&self) {
        let _ = self.events.send(Event::Leave);
    }

    /// Runs a job; the caller is taken as gone if the future is dropped.
    pub async fn submit(&self, spec: JobSpec, route: Arc<Route>, wait: Duration) -> Answer {
        let number = self.waiters.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let mut guard = WaiterGuard {
            events: self.events.clone(),
            waiter: WaiterId(number),
            job: spec.id,
            answered: false,
        };
        let submit = Submit {
            waiter: WaiterId(number),
            spec,
            route,
            wait_us: micros(wait),
            reply,
        };
        let _ = self.events.send(Event::Submit(Box::new(submit)));
        let answer = answer.await;
        guard.answered = true;
        answer.unwrap_or_else(|_| Answer::not_run(ResultCode::Stopping, "the entry stopped"))
    }
}
