//! When a gate sends its load to entries, and how long its loop may pause.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::ToEntry;
use winghold::ephemeral::worker::StartReply;

/// Without a confirmation the entry would consider the connection dead and dial again.
#[test]
fn queued_start_is_confirmed_within_two_ticks() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    bench.advance(1);
    bench.actions.clear();
    bench.order(run(2), 1_000, 500);
    bench.advance(10);
    bench.advance(10);
    assert_eq!(bench.last_load().seen, 2);
}

/// Number of load messages sent to entries.
fn load_messages(bench: &Bench) -> usize {
    let loads = bench.actions.iter().filter(|action| {
        matches!(
            action,
            GateAction::Send {
                message: ToEntry::Load(_),
                ..
            }
        )
    });
    loads.count()
}

#[test]
fn idle_entry_receives_the_load_rarely() {
    let mut bench = Bench::ready();
    bench.advance(10);
    bench.actions.clear();
    for _ in 0..300 {
        bench.gate.frame_received(bench.now, ENTRY);
        bench.advance(10);
    }
    let loads = load_messages(&bench);
    assert!((2..=3).contains(&loads), "{loads} in 3 s");
}

#[test]
fn pause_is_shorter_while_a_load_is_due() {
    let mut bench = Bench::ready();
    bench.advance(10);
    assert_eq!(bench.gate.longest_pause(bench.now).as_millis(), 50);
    bench.order(run(1), 1_000, 0);
    assert_eq!(bench.gate.longest_pause(bench.now).as_millis(), 10);
    bench.answer_start(run(1), Ok(StartReply::Running));
    assert_eq!(bench.gate.longest_pause(bench.now).as_millis(), 50);
    bench.order(run(2), 1_000, 500);
    assert_eq!(bench.gate.longest_pause(bench.now).as_millis(), 10);
}

#[test]
fn runs_of_a_silent_entry_are_stopped_on_time() {
    let mut bench = Bench::ready();
    bench.order(run(1), 1_000, 0);
    bench.answer_start(run(1), Ok(StartReply::Running));
    let began_us = bench.now.mono_us;
    for _ in 0..100 {
        let pause = bench.gate.longest_pause(bench.now);
        if !bench.stops().is_empty() || pause.is_zero() {
            break;
        }
        bench.now.mono_us += pause.as_micros() as u64;
        bench.advance(0);
    }
    assert_eq!(bench.stops(), [run(1)]);
    let took_ms = (bench.now.mono_us - began_us) / MS;
    assert!((455..=457).contains(&took_ms), "{took_ms} ms");
}
