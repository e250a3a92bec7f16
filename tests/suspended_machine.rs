//! A machine that is suspended for seconds: its usual steady clock leaves that time out.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use winghold::ephemeral::session::FrameClock;
use winghold::ephemeral::suspension::Suspension;
use winghold::time::{MonotonicClock, Timer};

const SECOND_US: u64 = 1_000_000;

/// A clock that the test sets.
#[derive(Default)]
struct SetClock {
    micros: AtomicU64,
}

impl SetClock {
    fn pass(&self, micros: u64) {
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }
}

impl MonotonicClock for SetClock {
    fn read(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

/// While it was suspended a peer went on sending; what waited in the buffer is as old as
/// the peer's clock says, and the process knows that it stood still.
#[test]
fn what_waited_while_the_machine_was_suspended_is_old() {
    let clock = Arc::new(SetClock::default());
    let timer = Timer::on_clock(clock.clone());
    let mut frames = FrameClock::default();
    let mut suspension = Suspension::new(timer.now());
    assert_eq!(frames.age_us(timer.now(), 10 * SECOND_US), 0);
    clock.pass(5 * SECOND_US);
    let gap = suspension.record_turn(timer.now());
    assert_eq!(gap, Some(Duration::from_secs(5)));
    let age_us = frames.age_us(timer.now(), 11 * SECOND_US);
    assert_eq!(age_us, 4 * SECOND_US);
    assert_eq!(frames.age_us(timer.now(), 15 * SECOND_US), 0);
}

fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(
        read.tv_sec.unsigned_abs(),
        read.tv_nsec.unsigned_abs() as u32,
    )
}

/// Programs read the clock that counts suspension: between two readings it has gone on
/// for as long as that one.
#[test]
fn programs_read_the_clock_that_counts_suspension() {
    for timer in [Timer::start(), Timer::coarse()] {
        let before = (since_boot(), timer.now(), since_boot());
        std::thread::sleep(Duration::from_millis(20));
        let after = (since_boot(), timer.now(), since_boot());
        let passed = Duration::from_micros(after.1.mono_us - before.1.mono_us);
        let slack = Duration::from_micros(1);
        assert!(passed + slack >= after.0 - before.2, "{passed:?}");
        assert!(passed <= after.2 - before.0 + slack, "{passed:?}");
    }
}
