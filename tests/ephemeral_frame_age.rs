//! The age of frames: when their sender decided what they carry, as their receiver estimates it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use winghold::ephemeral::message::{ToEntry, ToGate};
use winghold::ephemeral::session::{SessionEvent, Sessions};
use winghold::time::{MonotonicClock, Timer};

const MS: u64 = 1_000;

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
    let mut sender = Sessions::<ToGate, ToEntry>::new(|_| true);
    let (tx, mut rx) = unbounded_channel();
    let mut receiver = Sessions::<ToEntry, ToGate>::new(move |event| tx.send(event).is_ok());
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
