//! Clock readings for state machines, and the timer of a process.
//!
//! State machines do not read clocks; they get a [`Moment`]. Its monotonic time is used for
//! leases and deadlines, and its wall time only for comparison with submission ids. The
//! monotonic time includes time in which the machine was suspended, so that leases and
//! deadlines expire meanwhile. The timer has its own thread, as the runtime's timers round
//! up to whole milliseconds.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{mpsc, oneshot};

/// Reading of the monotonic and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time in microseconds since the start of the process.
    pub mono_us: u64,
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Moment {
    /// Monotonic time `span` after this moment, in microseconds.
    pub fn after(&self, span: Duration) -> u64 {
        self.mono_us + micros(span)
    }

    /// Time remaining until the monotonic time `until_us`; zero if it has passed.
    pub fn remaining(&self, until_us: u64) -> Duration {
        Duration::from_micros(until_us.saturating_sub(self.mono_us))
    }
}

/// Converts a duration to whole microseconds.
pub fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

struct Alarm {
    at: Instant,
    tx: oneshot::Sender<()>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Alarm) -> bool {
        self.at == other.at
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Alarm) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Alarm) -> Ordering {
        other.at.cmp(&self.at)
    }
}

#[derive(Default)]
struct Queue {
    alarms: BinaryHeap<Alarm>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Owner of the timer thread, which ends when this is dropped.
struct TimerThread {
    shared: Arc<Shared>,
}

impl Drop for TimerThread {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_one();
    }
}

/// Clock that never goes backwards.
pub trait MonotonicClock: Send + Sync {
    /// Time since an arbitrary origin.
    fn read(&self) -> Duration;
}

/// Clock of the tokio runtime, which tests can pause.
struct RuntimeClock {
    start: tokio::time::Instant,
}

impl MonotonicClock for RuntimeClock {
    fn read(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Time since boot, which includes time in suspension.
struct BootClock {
    start: Duration,
}

impl BootClock {
    fn new() -> BootClock {
        BootClock {
            start: since_boot(),
        }
    }
}

impl MonotonicClock for BootClock {
    fn read(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(
        read.tv_sec.unsigned_abs(),
        read.tv_nsec.unsigned_abs() as u32,
    )
}

/// Handle of the timer; clones share it.
#[derive(Clone)]
pub struct Timer {
    clock: Arc<dyn MonotonicClock>,
    /// Absent if the runtime's timers are used.
    thread: Option<Arc<TimerThread>>,
}

impl Timer {
    /// Starts a timer with its own thread.
    pub fn start() -> Timer {
        let shared = Arc::new(Shared::default());
        let worker = shared.clone();
        std::thread::Builder::new()
            .name("timer".to_string())
            .spawn(move || run_timer_thread(&worker))
            .expect("the timer thread can be spawned");
        Timer {
            clock: Arc::new(BootClock::new()),
            thread: Some(Arc::new(TimerThread { shared })),
        }
    }

    /// Creates a timer on the runtime's timers, which have millisecond resolution and save
    /// the CPU time of a timer thread.
    pub fn coarse() -> Timer {
        Timer::on_clock(Arc::new(BootClock::new()))
    }

    /// Creates a timer on the runtime's timers and clock, for tests that pause it.
    pub fn on_runtime_clock() -> Timer {
        let start = tokio::time::Instant::now();
        Timer::on_clock(Arc::new(RuntimeClock { start }))
    }

    /// Creates a timer on the runtime's timers with moments of `clock`.
    pub fn on_clock(clock: Arc<dyn MonotonicClock>) -> Timer {
        Timer {
            clock,
            thread: None,
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Moment {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Moment {
            mono_us: micros(self.clock.read()),
            wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
        }
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Duration) {
        if span.is_zero() {
            return;
        }
        let Some(thread) = &self.thread else {
            tokio::time::sleep(span).await;
            return;
        };
        let (tx, rx) = oneshot::channel();
        let at = Instant::now() + span;
        thread.shared.lock().alarms.push(Alarm { at, tx });
        thread.shared.changed.notify_one();
        let _ = rx.await;
    }

    /// Creates a receiver of periodic ticks; a tick is dropped if the previous one has not
    /// been received.
    pub fn interval(&self, period: Duration) -> mpsc::Receiver<()> {
        let (tx, rx) = mpsc::channel(1);
        let timer = self.clone();
        tokio::spawn(async move {
            while !tx.is_closed() {
                timer.sleep(period).await;
                let _ = tx.try_send(());
            }
        });
        rx
    }

    /// Runs `future` for at most `span`; `None` if it takes longer.
    pub async fn timeout<F: Future>(&self, span: Duration, future: F) -> Option<F::Output> {
        // If both are ready after a late wake-up, the output is returned.
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(span) => None,
        }
    }
}

fn run_timer_thread(shared: &Shared) {
    let mut queue = shared.lock();
    while !queue.closed {
        let now = Instant::now();
        let next = queue.alarms.peek().map(|alarm| alarm.at);
        queue = match next {
            Some(at) if at <= now => {
                let alarm = queue.alarms.pop();
                let _ = alarm.map(|alarm| alarm.tx.send(()));
                queue
            }
            Some(at) => {
                let wait = shared.changed.wait_timeout(queue, at - now);
                wait.unwrap_or_else(PoisonError::into_inner).0
            }
            None => {
                let wait = shared.changed.wait(queue);
                wait.unwrap_or_else(PoisonError::into_inner)
            }
        };
    }
}
