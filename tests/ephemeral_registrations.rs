//! Registration of jobs at gates, which keeps two entries from running the same job.

mod dispatcher_bench;
mod gate_bench;

use std::sync::Arc;

use dispatcher_bench::{Bench as EntryBench, full, job, load};
use gate_bench::{Bench as GateBench, MS, process};
use winghold::code::ResultCode;
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::dispatcher::{DispatchAction, WaiterId};
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::JobId;
use winghold::ephemeral::message::{ProcessId, RunEnd, ToEntry, ToGate};
use winghold::ephemeral::registrars::Registrars;
use winghold::ephemeral::session::SessionId;

const JOB: JobId = JobId(7);
const FIRST: SessionId = SessionId(11);
const SECOND: SessionId = SessionId(12);
/// Time left to the callers of registered jobs.
const FOR_US: u64 = 20_000 * MS;
/// Interval at which connected entries send frames.
const FRAME_MS: u64 = 50;
/// Longer than runs can go on after the last frame of their entry.
const LONGEST_RUN_MS: u64 = 1_400;
/// Shorter than that.
const SHORTER_RUN_MS: u64 = 1_200;

fn names(gates: &Registrars, job: JobId) -> Vec<String> {
    gates.of_job(job).map(|gate| gate.to_string()).collect()
}

fn registrars(count: usize) -> Registrars {
    let mut registrars = Registrars::default();
    for gate in 0..count {
        registrars.insert(&format!("g{gate}").into());
    }
    registrars
}

/// Guards against entries that look for each other at different gates.
#[test]
fn entries_that_know_the_same_gates_choose_the_same_registrars() {
    let mut reversed = Registrars::default();
    for gate in (0..75).rev() {
        reversed.insert(&format!("g{gate}").into());
    }
    let forward = registrars(75);
    for job in (0..100).map(JobId) {
        assert_eq!(names(&forward, job), names(&reversed, job));
    }
}

/// Guards against a registrar that has most of the jobs, and against too many sessions.
#[test]
fn jobs_are_spread_over_as_many_registrars_as_the_square_root_of_the_fleet() {
    for (gates, count) in [(3, 3), (11, 4), (75, 8), (800, 28)] {
        let registrars = registrars(gates);
        assert_eq!(names(&registrars, JOB).len(), count, "{gates} gates");
        let first = |job: u64| names(&registrars, JobId(job * 77)).swap_remove(0);
        let firsts: Vec<String> = (0..2_000).map(first).collect();
        for gate in names(&registrars, JOB) {
            let jobs = firsts.iter().filter(|first| **first == gate).count();
            assert!(jobs * count < 2_000 * 2, "{gate} has {jobs} of {gates}");
        }
    }
}

/// Guards against jobs that go to other registrars because one of them is unreachable.
#[test]
fn an_unreachable_registrar_changes_only_its_own_jobs() {
    let mut registrars = registrars(75);
    let preferred = |registrars: &Registrars, job: u64| names(registrars, JobId(job));
    let before: Vec<Vec<String>> = (0..200).map(|job| preferred(&registrars, job)).collect();
    let lost: Arc<str> = before[0][0].as_str().into();
    registrars.set_reachable(&lost, false);
    for (job, before) in (0..).zip(before) {
        let now = preferred(&registrars, job);
        assert_eq!(now[..before.len()], before);
        assert_eq!(now.len(), before.len() + 1, "one gate stands in");
    }
}

fn entry(name: &str) -> ProcessId {
    process(name, 1)
}

/// A gate with two connected entries.
fn gate_with_entries() -> GateBench {
    let mut bench = GateBench::ready();
    bench.advance(FRAME_MS);
    connect(&mut bench, FIRST, entry("e1"));
    connect(&mut bench, SECOND, entry("e2"));
    bench.actions.clear();
    bench
}

fn connect(bench: &mut GateBench, session: SessionId, entry: ProcessId) {
    let (config, open) = (0, Vec::new());
    send(
        bench,
        session,
        ToGate::Hello {
            entry,
            config,
            open,
        },
    );
}

fn send(bench: &mut GateBench, session: SessionId, message: ToGate) {
    bench.gate.handle_message(bench.now, session, message);
    bench.gate.frame_received(bench.now, session);
    bench.collect();
}

fn register(bench: &mut GateBench, session: SessionId) {
    let (for_us, confirmed) = (FOR_US, false);
    let message = ToGate::Register {
        job: JOB,
        for_us,
        confirmed,
    };
    send(bench, session, message);
}

/// Advances the time while these entries send heartbeats.
fn advance(bench: &mut GateBench, ms: u64, connected: &[SessionId]) {
    for _ in 0..ms / FRAME_MS {
        bench.advance(FRAME_MS);
        for session in connected {
            send(bench, *session, ToGate::Beat);
        }
    }
}

/// Answers and inquiries about registrations since the last call, as session and name.
fn told(bench: &mut GateBench) -> Vec<(SessionId, &'static str)> {
    let actions = std::mem::take(&mut bench.actions);
    let sent = actions.iter().filter_map(|action| match action {
        GateAction::Send { session, message } => Some((*session, message)),
        _ => None,
    });
    let told = sent.filter_map(|(session, message)| match message {
        ToEntry::Registered { job } if *job == JOB => Some((session, "registered")),
        ToEntry::HeldElsewhere { job } if *job == JOB => Some((session, "held")),
        ToEntry::CompletedElsewhere { job } if *job == JOB => Some((session, "completed")),
        ToEntry::Inquiry { job } if *job == JOB => Some((session, "inquiry")),
        _ => None,
    });
    told.collect()
}

/// Guards against a second entry that starts a job while the first one runs it.
#[test]
fn second_entry_waits_until_the_first_has_released_the_job() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    assert_eq!(told(&mut bench), [(FIRST, "registered")]);
    register(&mut bench, SECOND);
    assert_eq!(told(&mut bench), [(SECOND, "held"), (FIRST, "inquiry")]);
    advance(&mut bench, 3_000, &[FIRST, SECOND]);
    assert_eq!(told(&mut bench), []);
    let (job, complete) = (JOB, false);
    send(&mut bench, FIRST, ToGate::Released { job, complete });
    assert_eq!(told(&mut bench), [(SECOND, "registered")]);
}

/// Guards against running a job again that another entry has completed.
#[test]
fn second_entry_is_told_that_the_first_has_completed_the_job() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    register(&mut bench, SECOND);
    told(&mut bench);
    let (job, complete) = (JOB, true);
    send(&mut bench, FIRST, ToGate::Released { job, complete });
    assert_eq!(told(&mut bench), [(SECOND, "completed")]);
}

/// Guards against an entry that is registered after its caller has left.
#[test]
fn entry_that_waits_no_longer_is_not_registered() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    register(&mut bench, SECOND);
    let (job, complete) = (JOB, false);
    send(&mut bench, SECOND, ToGate::Released { job, complete });
    told(&mut bench);
    send(&mut bench, FIRST, ToGate::Released { job, complete });
    assert_eq!(told(&mut bench), []);
}

/// Guards against a start beside the runs of an entry that has died, which go on until their
/// leases expire, and against waiting for it for longer.
#[test]
fn job_of_a_silent_entry_is_registered_for_the_next_once_its_runs_have_ended() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    register(&mut bench, SECOND);
    told(&mut bench);
    bench.gate.session_closed(FIRST);
    advance(&mut bench, SHORTER_RUN_MS, &[SECOND]);
    assert_eq!(told(&mut bench), []);
    advance(&mut bench, LONGEST_RUN_MS - SHORTER_RUN_MS, &[SECOND]);
    assert_eq!(told(&mut bench), [(SECOND, "registered")]);
}

/// Guards against the same with an entry that starts again at once under its name.
#[test]
fn job_of_an_earlier_incarnation_is_registered_once_its_runs_have_ended() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    advance(&mut bench, 200, &[FIRST]);
    let again = SessionId(13);
    connect(&mut bench, again, process("e1", 2));
    told(&mut bench);
    register(&mut bench, again);
    assert_eq!(told(&mut bench), [(again, "held")]);
    advance(&mut bench, SHORTER_RUN_MS, &[again]);
    assert_eq!(told(&mut bench), []);
    advance(&mut bench, LONGEST_RUN_MS - SHORTER_RUN_MS, &[again]);
    assert_eq!(told(&mut bench), [(again, "registered")]);
}

/// Guards against taking entries for silent whose frames this process has not read in a pause.
#[test]
fn entry_is_not_taken_for_silent_after_a_pause_of_the_gate() {
    let mut bench = gate_with_entries();
    register(&mut bench, FIRST);
    bench.advance(FRAME_MS);
    told(&mut bench);
    bench.now.mono_us += 3_000 * MS;
    register(&mut bench, SECOND);
    assert_eq!(told(&mut bench), [(SECOND, "held"), (FIRST, "inquiry")]);
    bench.advance(0);
    assert_eq!(told(&mut bench), []);
}

/// Guards against a gate that has started again and does not know of a job that is running.
#[test]
fn confirmed_registration_makes_its_entry_the_holder() {
    let mut bench = gate_with_entries();
    let (job, for_us, confirmed) = (JOB, FOR_US, true);
    let message = ToGate::Register {
        job,
        for_us,
        confirmed,
    };
    send(&mut bench, FIRST, message);
    assert_eq!(told(&mut bench), []);
    register(&mut bench, SECOND);
    assert_eq!(told(&mut bench), [(SECOND, "held"), (FIRST, "inquiry")]);
}

/// A dispatcher that knows its `gates`, which do not answer registrations by themselves.
fn dispatcher(gates: u64) -> EntryBench {
    let mut bench = EntryBench::new(gates);
    bench.answers_registrations = false;
    bench.publish_gates(gates);
    bench
}

/// Jobs that the dispatcher has asked gates to register since the last call, with the gate.
fn requested(bench: &mut EntryBench) -> Vec<(SessionId, JobId)> {
    let actions = std::mem::take(&mut bench.actions);
    let requested = actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::Register { job, confirmed, .. },
        } if !confirmed => Some((*session, *job)),
        _ => None,
    });
    requested.collect()
}

/// Releases of jobs that the dispatcher has sent since the last call, with whether they are complete.
fn released(bench: &mut EntryBench) -> Vec<(JobId, bool)> {
    let actions = std::mem::take(&mut bench.actions);
    let released = actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::Released { job, complete },
            ..
        } => Some((*job, *complete)),
        _ => None,
    });
    released.collect()
}

/// Submits the job and returns the gate that was asked to register it.
fn submitted(bench: &mut EntryBench) -> u64 {
    bench.actions.clear();
    bench.submit(1, job(JOB.0, 2), 0);
    let requested = requested(bench);
    assert_eq!(requested.len(), 1);
    requested[0].0.0
}

/// Guards against a start before another entry with the same job can be found.
#[test]
fn no_task_starts_before_its_job_is_registered() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    assert_eq!(bench.starts, []);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 2);
}

/// Guards against jobs that wait for a registrar that is gone.
#[test]
fn next_registrar_is_asked_if_the_first_does_not_answer() {
    let mut bench = dispatcher(5);
    let first = submitted(&mut bench);
    bench.advance(60);
    let again = requested(&mut bench);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0.0, first);
    bench.deliver(again[0].0.0, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 2);
}

/// Guards against a refusal, which says that the job has not run, of a job that another entry has.
#[test]
fn job_that_another_entry_holds_does_not_start_and_is_not_refused() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::HeldElsewhere { job: JOB });
    bench.advance_connected(2_500);
    assert_eq!(bench.starts, []);
    assert!(
        matches!(
            bench.codes()[..],
            [ResultCode::OutcomeUnknown | ResultCode::DeadlinePassed]
        ),
        "{:?}",
        bench.codes()
    );
}

/// Guards against a start by the late answer of another registrar than the one that has reported
/// that the job is held.
#[test]
fn only_the_registrar_that_reports_a_holder_can_end_the_wait() {
    let mut bench = dispatcher(5);
    let first = submitted(&mut bench);
    bench.advance(60);
    let second = requested(&mut bench)[0].0.0;
    bench.deliver(second, ToEntry::HeldElsewhere { job: JOB });
    bench.deliver(first, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts, []);
    bench.deliver(second, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 2);
}

/// Guards against two entries that go on with a job after a registrar has detected it.
#[test]
fn entry_stops_a_job_that_is_held_at_a_preferred_registrar() {
    let mut bench = dispatcher(5);
    let first = submitted(&mut bench);
    bench.advance(60);
    let second = requested(&mut bench)[0].0.0;
    bench.deliver(second, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 2);
    bench.deliver(first, ToEntry::HeldElsewhere { job: JOB });
    assert_eq!(bench.stops.len(), 2);
}

/// Guards against two entries that both stop.
#[test]
fn entry_goes_on_with_a_job_that_is_held_at_a_less_preferred_registrar() {
    let mut bench = dispatcher(5);
    let first = submitted(&mut bench);
    bench.deliver(first, ToEntry::Registered { job: JOB });
    let others = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::Register {
                confirmed: true, ..
            },
        } => Some(session.0),
        _ => None,
    });
    let others: Vec<u64> = others.collect();
    assert_eq!(others.len(), 1, "a second registrar knows of the job");
    bench.deliver(others[0], ToEntry::HeldElsewhere { job: JOB });
    assert_eq!(bench.stops, []);
}

/// Guards against running a job again that another entry has completed.
#[test]
fn job_that_another_entry_has_completed_is_answered_without_a_start() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::HeldElsewhere { job: JOB });
    bench.deliver(gate, ToEntry::CompletedElsewhere { job: JOB });
    assert_eq!(bench.starts, []);
    assert_eq!(bench.codes(), [ResultCode::Complete]);
}

/// Guards against the release of a job some of whose runs have not stopped yet.
#[test]
fn job_is_released_only_after_its_last_run_has_ended() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    bench.deliver(gate, ToEntry::Inquiry { job: JOB });
    bench.dispatcher.remove_waiter(bench.now, WaiterId(1), JOB);
    bench.collect();
    assert_eq!(released(&mut bench), []);
    let starts = bench.starts.clone();
    bench.end_run(starts[0], RunEnd::Stopped);
    assert_eq!(released(&mut bench), []);
    bench.end_run(starts[1], RunEnd::Stopped);
    assert_eq!(released(&mut bench), [(JOB, false)]);
}

/// Guards against waiting for good for the end of a run whose gate is gone.
#[test]
fn job_is_released_once_its_runs_have_ended_by_time() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    bench.deliver(gate, ToEntry::Inquiry { job: JOB });
    bench.dispatcher.remove_waiter(bench.now, WaiterId(1), JOB);
    bench.advance_connected(SHORTER_RUN_MS);
    assert_eq!(released(&mut bench), []);
    bench.advance_connected(LONGEST_RUN_MS - SHORTER_RUN_MS);
    assert_eq!(released(&mut bench), [(JOB, false)]);
}

/// Guards against a resent job that starts at the same entry while runs of it are still stopping.
#[test]
fn job_that_comes_again_waits_for_the_runs_of_its_first_submission() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    let starts = bench.starts.clone();
    bench.dispatcher.remove_waiter(bench.now, WaiterId(1), JOB);
    bench.submit(2, job(JOB.0, 2), 0);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 2, "nothing but the first runs");
    starts
        .into_iter()
        .for_each(|start| bench.end_run(start, RunEnd::Stopped));
    bench.advance(10);
    let gate = requested(&mut bench)[0].0.0;
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    assert_eq!(bench.starts.len(), 4);
}

/// Guards against a waiting entry that is never answered, as nobody has the job.
#[test]
fn inquiry_about_an_unknown_job_is_answered_at_once() {
    let mut bench = dispatcher(5);
    bench.actions.clear();
    bench.deliver(1, ToEntry::Inquiry { job: JOB });
    assert_eq!(released(&mut bench), [(JOB, false)]);
}

/// Guards against running a job anew whose answer was lost on the way to its caller.
#[test]
fn inquiry_about_a_completed_job_says_so() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    for start in bench.starts.clone() {
        bench.end_run(start, RunEnd::Done);
    }
    bench.actions.clear();
    bench.deliver(gate, ToEntry::Inquiry { job: JOB });
    assert_eq!(released(&mut bench), [(JOB, true)]);
}

/// Guards against starts by a registration that may have been passed on during a pause.
#[test]
fn registration_is_requested_again_after_a_pause_of_the_entry() {
    let mut bench = dispatcher(5);
    bench.submit(1, job(JOB.0, 1), 0);
    let gate = requested(&mut bench)[0].0.0;
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    let start = bench.starts[0];
    bench.deliver(start.0.0, ToEntry::Began { run: start.1 });
    (1..=5).for_each(|gate| bench.load(gate, full(3_000 * MS)));
    bench.end_run(start, RunEnd::Stopped);
    bench.starts.clear();
    bench.advance(600);
    (1..=5).for_each(|gate| bench.connect(gate));
    (1..=5).for_each(|gate| bench.load(gate, load(1_000, 0)));
    bench.advance(10);
    assert_eq!(bench.starts, []);
    assert!(!requested(&mut bench).is_empty());
}

/// Guards against a restarted registrar that lets a second entry start a running job.
#[test]
fn running_job_is_registered_again_at_a_registrar_that_connects() {
    let mut bench = dispatcher(5);
    let gate = submitted(&mut bench);
    bench.deliver(gate, ToEntry::Registered { job: JOB });
    bench.dispatcher.disconnected(bench.now, SessionId(gate));
    bench.collect();
    bench.actions.clear();
    bench.connect(gate);
    let again = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::Register { confirmed, .. },
        } => Some((session.0, *confirmed)),
        _ => None,
    });
    assert_eq!(again.collect::<Vec<(u64, bool)>>(), [(gate, true)]);
}

/// Guards against starts without a registration once gates have records.
#[test]
fn jobs_are_registered_as_soon_as_a_gate_has_a_record() {
    let mut bench = EntryBench::new(2);
    bench.answers_registrations = false;
    bench.submit(1, job(1, 1), 0);
    assert_eq!(bench.starts.len(), 1, "no gate has a record");
    let record = GateRecord {
        gate: "g1".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        worker: None,
        losses: Vec::new(),
    };
    let changes = vec![record].into();
    bench.dispatcher.update_gates(bench.now, &changes);
    bench.submit(2, job(2, 1), 0);
    assert_eq!(bench.starts.len(), 1);
}
