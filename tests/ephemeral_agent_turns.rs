//! Pauses of an agent between reading its clock and handling its inputs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use winghold::ephemeral::agent::{Agent, AgentHandle, AgentParts};
use winghold::ephemeral::directory::PublishedState;
use winghold::ephemeral::job::Resources;
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::ProcessId;
use winghold::ephemeral::worker::{
    PollCall, PollReply, StartAnswer, StartCall, StopCall, WorkerCallError, WorkerCallFuture,
    WorkerClient, WorkerReport,
};
use winghold::logging;
use winghold::metrics::{Metrics, Registry};
use winghold::time::{MonotonicClock, Timer};

/// Length of each pause; longer than the difference that a slow clock makes to a lease.
const PAUSE_US: u64 = 400_000;
/// Clock readings of the agent among which one is followed by a pause.
const READINGS: u64 = 12;

/// A clock that is read, then the process pauses and its inputs arrive.
#[derive(Default)]
struct PausingClock {
    micros: AtomicU64,
    /// Readings until the next pause; 0 if there is none.
    countdown: AtomicU64,
    handle: Mutex<Option<AgentHandle>>,
}

impl PausingClock {
    fn worker_clock_ms(&self) -> u64 {
        1_000 + self.micros.load(Ordering::Relaxed) / 1_000
    }

    fn report(&self) {
        let clock_ms = self.worker_clock_ms();
        let handle = self.handle.lock().unwrap();
        handle.as_ref().unwrap().report(WorkerReport {
            id: "w".into(),
            service: "s".into(),
            addr: "10.0.0.1:80".into(),
            leaving: false,
            leaves_in_ms: None,
            capacity: Resources::default(),
            labels: Vec::new(),
            clock_ms,
            sequence: clock_ms,
        });
    }
}

impl MonotonicClock for PausingClock {
    fn read(&self) -> Duration {
        let read = self.micros.load(Ordering::Relaxed);
        let left = self.countdown.load(Ordering::Relaxed);
        self.countdown
            .store(left.saturating_sub(1), Ordering::Relaxed);
        if left == 1 {
            self.micros.fetch_add(PAUSE_US, Ordering::Relaxed);
            self.report();
        }
        Duration::from_micros(read)
    }
}

/// A worker that answers polls and records how long the leases are on its clock.
struct LeaseRecorder {
    clock: Arc<PausingClock>,
    lease_ms: Mutex<Vec<u64>>,
}

impl WorkerClient for LeaseRecorder {
    fn set_addr(&self, _: &str) {}

    fn start(&self, _: StartCall) -> WorkerCallFuture<StartAnswer> {
        Box::pin(async { Err(WorkerCallError::Unanswered) })
    }

    fn stop(&self, _: StopCall) -> WorkerCallFuture<()> {
        Box::pin(async { Ok(()) })
    }

    fn poll_runs(&self, call: PollCall) -> WorkerCallFuture<PollReply> {
        let clock_ms = self.clock.worker_clock_ms();
        if let Some(until_ms) = call.lease_until_ms {
            let lease_ms = until_ms.saturating_sub(clock_ms);
            self.lease_ms.lock().unwrap().push(lease_ms);
        }
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            Ok(PollReply {
                clock_ms,
                ..PollReply::default()
            })
        })
    }
}

/// Otherwise what arrived during the pause counts as read before it, and the worker's clock as
/// ahead of its true reading.
#[tokio::test]
async fn pause_within_a_turn_makes_no_lease_longer() {
    let limits = Limits::new(
        Duration::from_millis(1_300),
        Duration::from_secs(1),
        Duration::from_millis(50),
    );
    let clock = Arc::new(PausingClock::default());
    let worker = Arc::new(LeaseRecorder {
        clock: clock.clone(),
        lease_ms: Mutex::default(),
    });
    let parts = AgentParts {
        process: ProcessId {
            name: "g".into(),
            incarnation: 1,
        },
        limits,
        worker: worker.clone(),
        published: watch::Sender::new(PublishedState::default()),
        evacuations: false,
        timer: Timer::on_clock(clock.clone()),
        metrics: Metrics::in_memory(Registry::default()),
        log: logging::discard(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (agent, handle) = Agent::new(parts, listener);
    *clock.handle.lock().unwrap() = Some(handle);
    tokio::spawn(agent.run());
    clock.report();
    for countdown in 1..=READINGS {
        tokio::time::sleep(Duration::from_millis(15)).await;
        clock.countdown.store(countdown, Ordering::Relaxed);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let lease_ms = worker.lease_ms.lock().unwrap();
    assert!(lease_ms.len() > READINGS as usize, "{lease_ms:?}");
    let longest_ms = lease_ms.iter().max().unwrap();
    assert!(
        *longest_ms <= limits.lease.as_millis() as u64 + 1,
        "{longest_ms} ms"
    );
}
