//! Guards against clocks that leave out the time in which the machine is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use winghold::ephemeral::frame_clock::FrameClock;
use winghold::ephemeral::suspension::{Pauses, Suspension};
use winghold::metrics::{Metrics, Registry};
use winghold::time::{MonotonicClock, Timer};

const SECOND_US: u64 = 1_000_000;

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

/// The age of frames buffered during a suspension follows from the sender's clock, and the
/// suspension is detected.
#[test]
fn frames_buffered_during_a_suspension_count_as_old() {
    let clock = Arc::new(ManualClock::default());
    let timer = Timer::on_clock(clock.clone());
    let mut frames = FrameClock::default();
    let mut suspension = Suspension::new(timer.now());
    assert_eq!(frames.age_us(timer.now(), 10 * SECOND_US), 0);
    clock.advance(5 * SECOND_US);
    let gap = suspension.record_turn(timer.now());
    assert_eq!(gap, Some(Duration::from_secs(5)));
    let age_us = frames.age_us(timer.now(), 11 * SECOND_US);
    assert_eq!(age_us, 4 * SECOND_US);
    assert_eq!(frames.age_us(timer.now(), 15 * SECOND_US), 0);
}

/// A process that gets processor time only now and then would look like one that never stood
/// still, as each gap is below the threshold of a suspension.
#[test]
fn short_pauses_are_counted() {
    let clock = Arc::new(ManualClock::default());
    let timer = Timer::on_clock(clock.clone());
    let wait = Duration::from_millis(10);
    let mut pauses = Pauses::new(timer.now());
    let mut turn_after_ms = |ms: u64| {
        clock.advance(ms * 1_000);
        pauses.record_turn(timer.now(), wait)
    };
    assert_eq!(turn_after_ms(10), None);
    assert_eq!(turn_after_ms(20), None);
    assert_eq!(turn_after_ms(60), Some(Duration::from_millis(50)));
    assert_eq!(turn_after_ms(210), Some(Duration::from_millis(200)));
    let registry = Registry::default();
    let metrics = Metrics::in_memory(registry.clone());
    for _ in 0..2 {
        pauses.report(&metrics);
        let page = registry.render();
        assert_eq!(page, "winghold.paused_ms 250\nwinghold.pauses 2\n");
    }
}

fn boot_time() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(
        read.tv_sec.unsigned_abs(),
        read.tv_nsec.unsigned_abs() as u32,
    )
}

#[test]
fn timers_follow_the_clock_that_counts_suspension() {
    for timer in [Timer::start(), Timer::coarse()] {
        let before = (boot_time(), timer.now(), boot_time());
        std::thread::sleep(Duration::from_millis(20));
        let after = (boot_time(), timer.now(), boot_time());
        let elapsed = Duration::from_micros(after.1.mono_us - before.1.mono_us);
        let tolerance = Duration::from_micros(1);
        assert!(elapsed + tolerance >= after.0 - before.2, "{elapsed:?}");
        assert!(elapsed <= after.2 - before.0 + tolerance, "{elapsed:?}");
    }
}
