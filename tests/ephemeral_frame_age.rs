//! The age of frames: when their sender decided what they carry, as their receiver estimates it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use winghold::ephemeral::frame_clock::{FrameClock, FrameClocks};
use winghold::ephemeral::job::{JobId, Priority, Resources, RunId};
use winghold::ephemeral::message::{Frame, ProcessId, StartOrder, ToEntry, ToGate};
use winghold::ephemeral::session::{SessionEvent, SessionId, Sessions};
use winghold::time::{Moment, MonotonicClock, Timer};

const MS: u64 = 1_000;
const MAX_AGE: Duration = Duration::from_millis(227);

/// A clock set by the test.
#[derive(Default)]
struct ManualClock {
    micros: AtomicU64,
}

impl ManualClock {
    fn advance(&self, micros: u64) {
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }
}

impl MonotonicClock for ManualClock {
    fn read(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

/// Otherwise an order that was decided before a pause of its sender looks new to its receiver.
#[tokio::test]
async fn frame_carries_the_time_of_the_turn_that_decided_it() {
    let clock = Arc::new(ManualClock::default());
    let timer = Timer::on_clock(clock.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (accepted, _) = listener.accept().await.unwrap();
    let mut sender = Sessions::<ToGate, ToEntry>::new(MAX_AGE, |_| true);
    let (tx, mut rx) = unbounded_channel();
    let mut receiver =
        Sessions::<ToEntry, ToGate>::new(MAX_AGE, move |event| tx.send(event).is_ok());
    receiver.open(accepted);
    let session = sender.open(stream.unwrap());
    clock.advance(10 * MS);
    sender.send(session, ToGate::Beat);
    assert!(sender.flush(timer.now()).is_empty());
    clock.advance(300 * MS);
    let Some(SessionEvent::Frame { frame, .. }) = rx.recv().await else {
        panic!("no frame");
    };
    assert_eq!(frame.sent_us, 10 * MS);
}

/// Guards against a turn with so many orders that their frame exceeds its limit, which would end the
/// session with the gate.
#[tokio::test]
async fn the_orders_of_a_large_job_are_spread_over_frames() {
    const ORDERS: u32 = 2_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (accepted, _) = listener.accept().await.unwrap();
    let mut sender = Sessions::<ToGate, ToEntry>::new(MAX_AGE, |_| true);
    let (tx, mut rx) = unbounded_channel();
    let mut receiver =
        Sessions::<ToEntry, ToGate>::new(MAX_AGE, move |event| tx.send(event).is_ok());
    receiver.open(accepted);
    let session = sender.open(stream.unwrap());
    let payload: Arc<str> = "x".repeat(4_000).into();
    for index in 0..ORDERS {
        sender.send(session, order(index, payload.clone()));
    }
    assert!(sender.flush(Timer::coarse().now()).is_empty());
    let mut received = Vec::new();
    while received.len() < ORDERS as usize {
        let Some(SessionEvent::Frame { frame, .. }) = rx.recv().await else {
            panic!("the session ended after {} orders", received.len());
        };
        received.extend(frame.messages.into_iter().map(|message| match message {
            ToGate::Start(order) => order.run.index,
            other => panic!("{other:?}"),
        }));
    }
    assert_eq!(received, Vec::from_iter(0..ORDERS));
}

fn order(index: u32, payload: Arc<str>) -> ToGate {
    ToGate::Start(Box::new(StartOrder {
        run: RunId {
            job: JobId(1),
            index,
            run: 1,
        },
        payload,
        needs: Resources::default(),
        patience_us: 0,
        priority: Priority::NORMAL,
        leaves_headroom: false,
        by_median: false,
        due_us: 0,
        expected_us: 0,
        movable: false,
        implicated: false,
        number: u64::from(index),
        label: None,
    }))
}

/// Receiving end of sessions with gates; each session is a connection to itself that is never
/// read.
struct Receiver {
    sessions: Sessions<ToGate, ToEntry>,
    listener: TcpListener,
    peers: Vec<TcpStream>,
}

impl Receiver {
    async fn new() -> Receiver {
        Receiver {
            sessions: Sessions::new(MAX_AGE, |_| true),
            listener: TcpListener::bind("127.0.0.1:0").await.unwrap(),
            peers: Vec::new(),
        }
    }

    async fn open(&mut self) -> SessionId {
        let stream = TcpStream::connect(self.listener.local_addr().unwrap()).await;
        self.peers.push(self.listener.accept().await.unwrap().0);
        self.sessions.open(stream.unwrap())
    }

    /// Age of a frame, in milliseconds.
    fn age_ms(&mut self, now_ms: u64, session: SessionId, frame: &Frame<ToEntry>) -> Option<u64> {
        let age_us = self.sessions.age_us(at(now_ms), session, frame)?;
        Some(age_us / MS)
    }
}

fn at(now_ms: u64) -> Moment {
    Moment {
        mono_us: now_ms * MS,
        wall_ms: 0,
    }
}

fn gate(incarnation: u64) -> ProcessId {
    ProcessId {
        name: "g".into(),
        incarnation,
    }
}

fn hello(sent_ms: u64, incarnation: u64) -> Frame<ToEntry> {
    let message = ToEntry::Hello {
        gate: gate(incarnation),
        config: 0,
    };
    Frame {
        sent_us: sent_ms * MS,
        messages: vec![message],
    }
}

fn losses(sent_ms: u64) -> Frame<ToEntry> {
    Frame {
        sent_us: sent_ms * MS,
        messages: vec![ToEntry::Losses(Vec::new())],
    }
}

/// Otherwise the first frame of a new connection may have waited for any time, and all later
/// ones look too young by as much.
#[tokio::test]
async fn age_is_known_from_the_first_frame_of_a_new_connection_on() {
    let mut receiver = Receiver::new().await;
    let first = receiver.open().await;
    assert_eq!(receiver.age_ms(5_010, first, &hello(10, 1)), Some(0));
    receiver.sessions.close(first);
    let second = receiver.open().await;
    assert_eq!(receiver.age_ms(6_300, second, &hello(1_000, 1)), Some(300));
    assert_eq!(receiver.age_ms(6_350, second, &losses(1_250)), Some(100));
    receiver.sessions.close(second);
    let restarted = receiver.open().await;
    assert_eq!(receiver.age_ms(7_000, restarted, &hello(0, 2)), Some(0));
}

/// Otherwise a frame would be acted on although nothing limits its age.
#[tokio::test]
async fn frame_of_an_unnamed_sender_has_no_age() {
    let mut receiver = Receiver::new().await;
    let session = receiver.open().await;
    assert_eq!(receiver.age_ms(5_000, session, &losses(10)), None);
    assert_eq!(receiver.age_ms(5_000, session, &hello(10, 1)), Some(0));
    assert_eq!(receiver.age_ms(5_150, session, &losses(10)), Some(150));
}

/// Otherwise the ages of a long connection rise until all its frames count as late.
#[test]
fn clock_drift_makes_frames_neither_late_nor_young() {
    const DAY_MS: u64 = 86_400_000;
    for drift_ppm in [-100_i64, 0, 100] {
        let mut frames = FrameClock::default();
        let mut now_ms = 0;
        while now_ms < 3 * DAY_MS {
            now_ms += 1_213;
            let now_us = now_ms * MS;
            let drift_us = now_us as i64 * drift_ppm / 1_000_000;
            let sent_us = (now_us as i64 - drift_us) as u64;
            let age_us = frames.age_us(at(now_ms), sent_us);
            assert!(age_us <= MS, "{age_us} us at {drift_ppm} ppm");
            let late_us = frames.age_us(at(now_ms + 200), sent_us);
            assert!(late_us >= 199 * MS, "{late_us} us at {drift_ppm} ppm");
        }
    }
}

/// Otherwise a process that did not run for long would take what waited meanwhile for new.
#[test]
fn frames_that_waited_during_a_long_pause_are_late() {
    let mut clocks = FrameClocks::new(MAX_AGE);
    let max_us = MAX_AGE.as_micros() as u64;
    assert_eq!(clocks.age_us(at(1_000), &gate(1), 0), 0);
    for waited in 0..20 {
        let age_us = clocks.age_us(at(61_000), &gate(1), (58_000 + waited) * MS);
        assert!(age_us > max_us, "{age_us} us");
    }
}

/// Otherwise a process whose clock was stopped for a while could never be reached again.
#[test]
fn peer_whose_clock_was_set_back_is_in_time_again_after_a_while() {
    let mut clocks = FrameClocks::new(MAX_AGE);
    let max_us = MAX_AGE.as_micros() as u64;
    assert_eq!(clocks.age_us(at(10_000), &gate(1), 10_000 * MS), 0);
    let ages = (0..30).map(|step| {
        let now_ms = 20_000 + step * 50;
        clocks.age_us(at(now_ms), &gate(1), (now_ms - 5_000) * MS)
    });
    let late = ages.filter(|age_us| *age_us > max_us).count();
    assert!((20..=23).contains(&late), "{late} late frames");
}

/// Otherwise each restart of a peer would add an estimate for good.
#[test]
fn clocks_of_silent_peers_are_forgotten() {
    let mut clocks = FrameClocks::new(MAX_AGE);
    for incarnation in 0..1_000 {
        let now = at(incarnation * 1_000);
        clocks.age_us(now, &gate(incarnation), 0);
        clocks.forget_silent(now, |peer| *peer == gate(0));
    }
    assert!((50..=70).contains(&clocks.len()), "{}", clocks.len());
    assert!(clocks.age_us(at(1_000_000), &gate(0), 0) > 900_000 * MS);
}
