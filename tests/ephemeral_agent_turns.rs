//! The event loop of an agent: pauses within a turn, and the age of the frames that it reads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use winghold::ephemeral::agent::{Agent, AgentHandle, AgentParts};
use winghold::ephemeral::directory::PublishedState;
use winghold::ephemeral::job::{JobId, Priority, Resources, RunId};
use winghold::ephemeral::limits::Limits;
use winghold::ephemeral::message::{ProcessId, StartOrder, ToEntry, ToGate};
use winghold::ephemeral::session::Sessions;
use winghold::ephemeral::worker::{
    PollCall, PollReply, RunningRow, StartAnswer, StartCall, StartReply, StopCall,
    WorkerCallFuture, WorkerClient, WorkerReport,
};
use winghold::logging;
use winghold::metrics::{Metrics, Registry};
use winghold::time::{Moment, MonotonicClock, Timer};

/// Length of each pause; longer than the difference that a slow clock makes to a lease.
const PAUSE_US: u64 = 400_000;
/// Clock readings of the agent among which one is followed by a pause.
const READINGS: u64 = 12;

const MS: u64 = 1_000;
const NEEDS: Resources = Resources {
    cpu_milli: 1_000,
    memory_mb: 10,
    accelerators: 0,
};
const RUN: RunId = RunId {
    job: JobId(1),
    index: 0,
    run: 1,
};

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
            capacity: NEEDS,
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

/// A worker that answers all calls and records stops and how long leases are on its clock.
struct FakeWorker {
    clock: Arc<PausingClock>,
    started: Mutex<Vec<RunId>>,
    stopped: Mutex<Vec<RunId>>,
    lease_ms: Mutex<Vec<u64>>,
}

impl WorkerClient for FakeWorker {
    fn set_addr(&self, _: &str) {}

    fn start(&self, call: StartCall) -> WorkerCallFuture<StartAnswer> {
        self.started.lock().unwrap().push(call.run);
        let answer = StartAnswer {
            reply: StartReply::Running,
            clock_ms: Some(self.clock.worker_clock_ms()),
        };
        Box::pin(async move { Ok(answer) })
    }

    fn stop(&self, call: StopCall) -> WorkerCallFuture<()> {
        self.stopped.lock().unwrap().push(call.run);
        Box::pin(async { Ok(()) })
    }

    fn poll_runs(&self, call: PollCall) -> WorkerCallFuture<PollReply> {
        let clock_ms = self.clock.worker_clock_ms();
        if let Some(until_ms) = call.lease_until_ms {
            let lease_ms = until_ms.saturating_sub(clock_ms);
            self.lease_ms.lock().unwrap().push(lease_ms);
        }
        let started = self.started.lock().unwrap().clone();
        let running = started
            .into_iter()
            .map(|run| RunningRow { run, percent: 10 });
        let running = running.collect();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            Ok(PollReply {
                clock_ms,
                running,
                ..PollReply::default()
            })
        })
    }
}

fn limits() -> Limits {
    Limits::new(
        Duration::from_millis(1_300),
        Duration::from_secs(1),
        Duration::from_millis(50),
    )
}

fn process(name: &str) -> ProcessId {
    ProcessId {
        name: name.into(),
        incarnation: 1,
    }
}

/// An agent that has found its worker; returns the address on which it listens, too.
async fn agent_with(clock: &Arc<PausingClock>) -> (Arc<FakeWorker>, std::net::SocketAddr) {
    let worker = Arc::new(FakeWorker {
        clock: clock.clone(),
        started: Mutex::default(),
        stopped: Mutex::default(),
        lease_ms: Mutex::default(),
    });
    let parts = AgentParts {
        process: process("g"),
        limits: limits(),
        worker: worker.clone(),
        published: watch::Sender::new(PublishedState::default()),
        evacuations: false,
        timer: Timer::on_clock(clock.clone()),
        metrics: Metrics::in_memory(Registry::default()),
        log: logging::discard(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (agent, handle) = Agent::new(parts, listener);
    *clock.handle.lock().unwrap() = Some(handle);
    tokio::spawn(agent.run());
    clock.report();
    (worker, addr)
}

/// Otherwise what arrived during the pause counts as read before it, and the worker's clock as
/// ahead of its true reading.
#[tokio::test]
async fn pause_within_a_turn_makes_no_lease_longer() {
    let clock = Arc::new(PausingClock::default());
    let (worker, _) = agent_with(&clock).await;
    for countdown in 1..=READINGS {
        tokio::time::sleep(Duration::from_millis(15)).await;
        clock.countdown.store(countdown, Ordering::Relaxed);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let lease_ms = worker.lease_ms.lock().unwrap();
    assert!(lease_ms.len() > READINGS as usize, "{lease_ms:?}");
    let longest_ms = lease_ms.iter().max().unwrap();
    assert!(
        *longest_ms <= limits().lease.as_millis() as u64 + 1,
        "{longest_ms} ms"
    );
}

fn start() -> ToGate {
    ToGate::Start(Box::new(StartOrder {
        run: RUN,
        payload: "p".into(),
        needs: NEEDS,
        patience_us: 0,
        priority: Priority::NORMAL,
        leaves_headroom: false,
        by_median: false,
        due_us: 100 * MS,
        expected_us: 10_000 * MS,
        movable: false,
        implicated: false,
        number: 1,
        label: None,
    }))
}

/// Real time in which the agent handles what was sent; its clock stands meanwhile.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

/// Waits until the agent has called the worker for `RUN`; `false` if it does not.
async fn is_called(runs: &Mutex<Vec<RunId>>) -> bool {
    for _ in 0..50 {
        settle().await;
        if *runs.lock().unwrap() == [RUN] {
            return true;
        }
    }
    false
}

/// Otherwise a run outlives its entry by the age of the entry's last frame as well.
#[tokio::test]
async fn silence_of_an_entry_counts_from_the_sending_of_its_last_frame() {
    let clock = Arc::new(PausingClock::default());
    clock.micros.store(1_000 * MS, Ordering::Relaxed);
    let sent = Moment {
        mono_us: 1_000 * MS,
        wall_ms: 0,
    };
    let (worker, addr) = agent_with(&clock).await;
    let mut entry = Sessions::<ToGate, ToEntry>::new(limits().max_frame_age, |_| true);
    let session = entry.open(TcpStream::connect(addr).await.unwrap());
    let hello = ToGate::Hello {
        entry: process("e"),
        config: 0,
        open: Vec::new(),
    };
    entry.send(session, hello);
    entry.flush(sent);
    settle().await;
    entry.send(session, start());
    entry.flush(sent);
    assert!(is_called(&worker.started).await);
    clock.micros.fetch_add(200 * MS, Ordering::Relaxed);
    entry.send(session, ToGate::Beat);
    entry.flush(sent);
    settle().await;
    clock.micros.fetch_add(250 * MS, Ordering::Relaxed);
    settle().await;
    assert_eq!(*worker.stopped.lock().unwrap(), []);
    clock.micros.fetch_add(10 * MS, Ordering::Relaxed);
    assert!(is_called(&worker.stopped).await);
}
