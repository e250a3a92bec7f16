//! Workers that restart under the same name with no state and reset counters and clocks.
//! Their start time distinguishes the incarnations.

mod gate_bench;

use gate_bench::*;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::job::RunId;
use winghold::ephemeral::message::RunEnd;
use winghold::ephemeral::worker::{
    EndedRow, PollCall, PollReply, RunningRow, StartAnswer, StartReply, WorkerCallError, WorkerEnd,
    WorkerReport,
};
use winghold::ephemeral::worker_id::WorkerId;

/// Start time of the first incarnation.
const BORN_MS: u64 = 1_700_000_000_000;
/// Start time of the next incarnation.
const NEXT_BORN_MS: u64 = BORN_MS + 9_000;

fn born(born_ms: u64) -> WorkerId {
    WorkerId {
        name: "w".into(),
        born_ms: Some(born_ms),
    }
}

fn report_of(id: WorkerId, sequence: u64) -> WorkerReport {
    WorkerReport {
        id,
        ..report("w", false, sequence)
    }
}

/// Whether the action expects an answer of the worker.
fn expects_answer(action: &mut GateAction) -> bool {
    matches!(action, GateAction::Poll(_) | GateAction::Stop(_))
}

/// A gate and a simulated worker that reports its start time.
struct Restarts {
    bench: Bench,
    /// The current incarnation.
    worker: WorkerId,
    clock_ms: u64,
    running: Vec<RunId>,
    ended: Vec<(u64, RunId)>,
    /// Highest fencing token that this incarnation has received.
    fence: u64,
    /// Highest run end that was acknowledged to this incarnation.
    acked_end: u64,
    /// Whether stops are lost.
    loses_stops: bool,
}

impl Restarts {
    fn ready() -> Restarts {
        let mut bench = Bench::without_worker();
        bench
            .gate
            .worker_report(bench.now, report_of(born(BORN_MS), 40));
        bench.collect();
        let mut restarts = Restarts {
            bench,
            worker: born(BORN_MS),
            clock_ms: 400_000,
            running: Vec::new(),
            ended: Vec::new(),
            fence: 0,
            acked_end: 0,
            loses_stops: false,
        };
        restarts.answer();
        restarts.answer();
        restarts.bench.connect_entry(Vec::new());
        restarts.clear_actions();
        restarts
    }

    /// Starts with a run that the worker has listed.
    fn with_run() -> Restarts {
        let mut restarts = Restarts::ready();
        restarts.bench.order(run(1), 600, 100);
        restarts.bench.answer_start(run(1), Ok(StartReply::Running));
        restarts.running.push(run(1));
        restarts.pass(60);
        restarts.clear_actions();
        restarts
    }

    /// Clears the recorded actions except those that expect an answer.
    fn clear_actions(&mut self) {
        self.bench.actions.retain_mut(expects_answer);
    }

    /// Restarts the worker.
    fn restart(&mut self, born_ms: u64) {
        self.worker = born(born_ms);
        self.clock_ms = 1_000;
        self.running.clear();
        self.ended.clear();
        self.fence = 0;
        self.acked_end = 0;
    }

    fn report(&mut self, id: WorkerId, sequence: u64) {
        let now = self.bench.now;
        self.bench.gate.worker_report(now, report_of(id, sequence));
        self.bench.collect();
    }

    fn poll_reply(&self, call: &PollCall) -> PollReply {
        let admitted = call.fence.is_none_or(|fence| fence >= self.fence);
        let running = self.running.iter().filter(|_| admitted);
        let ended = self.ended.iter().filter(|_| admitted);
        PollReply {
            born_ms: self.worker.born_ms,
            clock_ms: self.clock_ms,
            fenced: !admitted,
            running: running
                .map(|run| RunningRow {
                    run: *run,
                    percent: (self.clock_ms / 5 % 100) as u32,
                })
                .collect(),
            ended: ended
                .map(|(number, run)| EndedRow {
                    number: *number,
                    run: *run,
                    end: WorkerEnd::Done,
                })
                .collect(),
        }
    }

    /// Answers the pending polls and stops.
    fn answer(&mut self) {
        let actions: Vec<GateAction> = self.bench.actions.extract_if(.., expects_answer).collect();
        let sent = self.bench.now;
        self.bench.now.mono_us += MS;
        self.clock_ms += 1;
        let now = self.bench.now;
        for action in actions {
            match action {
                GateAction::Poll(call) => {
                    let reply = self.poll_reply(&call);
                    self.fence = self.fence.max(call.fence.unwrap_or(0));
                    if call.worker.as_ref() == Some(&self.worker) {
                        self.acked_end = self.acked_end.max(call.acked_end);
                    }
                    let gate = &mut self.bench.gate;
                    gate.poll_answered(now, sent, &call, Ok(reply));
                }
                GateAction::Stop(call) => {
                    let answer = match call.fence >= self.fence {
                        _ if self.loses_stops => Err(WorkerCallError::Unanswered),
                        true => Ok(()),
                        false => Err(WorkerCallError::Protocol),
                    };
                    if answer.is_ok() {
                        self.running.retain(|run| *run != call.run);
                    }
                    let gate = &mut self.bench.gate;
                    gate.stop_answered(now, &call.worker, call.run, answer);
                }
                _ => {}
            }
        }
        self.bench.collect();
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(10) {
            self.bench.gate.frame_received(self.bench.now, ENTRY);
            self.pass_in_silence(10);
        }
    }

    /// As `pass`, while the entry is silent.
    fn pass_in_silence(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(10) {
            self.bench.advance(10);
            self.clock_ms += 10;
            self.answer();
        }
    }

    /// Whether the pending poll renews the lease.
    fn renews(&self) -> bool {
        let actions = self.bench.actions.iter();
        let mut polls = actions.filter_map(|action| match action {
            GateAction::Poll(call) if !call.check => Some(call.lease_until_ms.is_some()),
            _ => None,
        });
        polls.next_back().expect("a poll")
    }

    fn known_worker(&mut self) -> Option<WorkerId> {
        self.pass(20);
        let load = self.bench.last_load();
        load.worker.as_ref().map(|worker| worker.id.clone())
    }
}

/// Its report sequence restarts far below that of the previous incarnation.
#[test]
fn restarted_worker_is_a_new_incarnation() {
    let mut restarts = Restarts::with_run();
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(restarts.known_worker(), Some(born(NEXT_BORN_MS)));
}

#[test]
fn run_list_reveals_a_restart_before_the_first_report() {
    let mut restarts = Restarts::with_run();
    restarts.restart(NEXT_BORN_MS);
    restarts.pass(100);
    restarts.bench.order(run(2), 600, 0);
    assert_eq!(
        restarts.bench.ordered(),
        [],
        "the capacity is unknown before the first report"
    );
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(1_100);
    assert_eq!(restarts.known_worker(), Some(born(NEXT_BORN_MS)));
    assert!(restarts.bench.ends().contains(&(run(1), RunEnd::Stopped)));
}

#[test]
fn acknowledged_ends_do_not_carry_over_to_the_next_incarnation() {
    let mut restarts = Restarts::with_run();
    restarts.running.clear();
    restarts.ended.push((57, run(1)));
    restarts.pass(60);
    assert_eq!(restarts.acked_end, 57);
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(1_100);
    restarts.bench.order(run(2), 600, 100);
    assert_eq!(restarts.bench.ordered(), [run(2)]);
    restarts.bench.answer_start(run(2), Ok(StartReply::Running));
    restarts.ended.push((1, run(2)));
    restarts.pass(60);
    assert_eq!(restarts.acked_end, 1);
    assert!(restarts.bench.ends().contains(&(run(2), RunEnd::Done)));
}

#[test]
fn report_of_the_previous_incarnation_is_ignored() {
    let mut restarts = Restarts::ready();
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(1_100);
    restarts.bench.order(run(2), 600, 100);
    restarts.bench.answer_start(run(2), Ok(StartReply::Running));
    restarts.running.push(run(2));
    restarts.report(born(BORN_MS), 90);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.known_worker(), Some(born(NEXT_BORN_MS)));
}

/// The wall clock may have been set back before the current incarnation started, so a later
/// start time proves nothing.
#[test]
fn report_with_a_later_start_time_is_ignored_while_the_current_incarnation_answers() {
    let mut restarts = Restarts::with_run();
    restarts.report(born(NEXT_BORN_MS), 7);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.known_worker(), Some(born(BORN_MS)));
}

#[test]
fn incarnation_with_an_earlier_start_time_is_adopted() {
    let mut restarts = Restarts::with_run();
    restarts.restart(BORN_MS - 5_000);
    restarts.report(born(BORN_MS - 5_000), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(restarts.known_worker(), Some(born(BORN_MS - 5_000)));
}

#[test]
fn start_received_by_the_next_incarnation_is_tracked_there() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(NEXT_BORN_MS);
    restarts.running.push(run(1));
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [], "the run continues");
    restarts.running.clear();
    restarts.ended.push((1, run(1)));
    restarts.pass(60);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Done)]);
}

/// The run is barred before its end is reported, and it is not reported as not run.
#[test]
fn pending_start_is_barred_at_the_next_incarnation() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    let stops = |restarts: &Restarts| restarts.bench.stops().contains(&run(1));
    let mut barred = false;
    for _ in 0..20 {
        restarts.bench.advance(5);
        barred |= stops(&restarts);
        assert!(barred || restarts.bench.ends().is_empty());
        restarts.answer();
    }
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Stopped)]);
}

/// A start call for the previous incarnation may have raised the fencing token far above the
/// clock of the current one.
#[test]
fn fencing_token_of_the_previous_incarnation_does_not_lock_the_gate_out() {
    for fence in [400_001, BORN_MS + 400_001, 2 * BORN_MS] {
        let mut restarts = Restarts::ready();
        restarts.restart(NEXT_BORN_MS);
        restarts.fence = fence;
        restarts.report(born(NEXT_BORN_MS), 1);
        restarts.pass(1_100);
        restarts.bench.order(run(2), 600, 100);
        assert_eq!(restarts.bench.ordered(), [run(2)], "token {fence}");
    }
}

/// Otherwise the next incarnation could accept start calls for the previous one.
#[test]
fn fencing_token_increases_with_each_incarnation() {
    let mut restarts = Restarts::ready();
    let before = restarts.fence;
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(100);
    assert!(restarts.fence > before, "{} {before}", restarts.fence);
}

/// A departure without a start time names only the worker and may be stale.
#[test]
fn departure_without_start_time_does_not_end_the_current_incarnation() {
    let mut restarts = Restarts::with_run();
    let now = restarts.bench.now;
    restarts.bench.gate.worker_left(now, &"w".into());
    restarts.bench.collect();
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.known_worker(), Some(born(BORN_MS)));
}

#[test]
fn incarnation_that_left_by_its_start_time_is_not_adopted_again() {
    let mut restarts = Restarts::ready();
    let now = restarts.bench.now;
    restarts.bench.gate.worker_left(now, &born(BORN_MS));
    restarts.report(born(BORN_MS), 41);
    assert_eq!(restarts.known_worker(), None);
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.known_worker(), Some(born(NEXT_BORN_MS)));
}

/// Such a report may come from another sender.
#[test]
fn report_without_a_start_time_is_ignored_if_the_worker_has_one() {
    let mut restarts = Restarts::with_run();
    let mut leaving = report("w", true, 99);
    leaving.capacity.cpu_milli = 1;
    let now = restarts.bench.now;
    restarts.bench.gate.worker_report(now, leaving);
    restarts
        .bench
        .gate
        .worker_report(now, report("x", false, 99));
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.known_worker(), Some(born(BORN_MS)));
}

/// No current incarnation contradicts the report.
#[test]
fn report_without_a_start_time_is_ignored_after_the_worker_is_gone() {
    let mut restarts = Restarts::ready();
    let now = restarts.bench.now;
    let refused = Err(WorkerCallError::Refused);
    let gate = &mut restarts.bench.gate;
    gate.start_answered(now, &born(BORN_MS), run(9), refused);
    gate.worker_report(now, report("x", false, 99));
    restarts.bench.collect();
    assert_eq!(restarts.bench.last_load().worker, None);
    restarts.pass(20);
    assert_eq!(restarts.known_worker(), None);
}

#[test]
fn late_answer_for_the_previous_incarnation_is_ignored() {
    let mut restarts = Restarts::with_run();
    restarts.restart(NEXT_BORN_MS);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(1_100);
    let now = restarts.bench.now;
    let refused = Err(WorkerCallError::Refused);
    let gate = &mut restarts.bench.gate;
    gate.start_answered(now, &born(BORN_MS), run(9), refused);
    gate.stop_answered(now, &born(BORN_MS), run(9), Err(WorkerCallError::Refused));
    assert_eq!(restarts.known_worker(), Some(born(NEXT_BORN_MS)));
}

/// The new incarnation may have received a lease for the previous one, which ends much later
/// on its own clock.
#[test]
fn no_run_starts_while_a_lease_of_the_previous_incarnation_may_hold() {
    let mut restarts = Restarts::with_run();
    restarts.restart(NEXT_BORN_MS);
    restarts.pass(60);
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(300);
    restarts.bench.order(run(2), 100, 0);
    assert_eq!(restarts.bench.ordered(), []);
    restarts.pass(900);
    restarts.bench.order(run(3), 100, 0);
    assert_eq!(restarts.bench.ordered(), [run(3)]);
}

/// The new incarnation may accept the start and its lease before its first report.
#[test]
fn start_answer_with_a_reset_clock_is_attributed_to_a_new_incarnation() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(NEXT_BORN_MS);
    restarts.running.push(run(1));
    let answer = StartAnswer {
        reply: StartReply::Running,
        clock_ms: Some(1_000),
    };
    let now = restarts.bench.now;
    let gate = &mut restarts.bench.gate;
    gate.start_answered(now, &born(BORN_MS), run(1), Ok(answer));
    restarts.bench.collect();
    let asked = restarts.bench.actions.iter().any(|action| match action {
        GateAction::Poll(call) => call.check,
        _ => false,
    });
    assert!(asked, "the worker is polled at once");
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(100);
    assert_eq!(
        restarts.bench.ends(),
        [],
        "the run continues at the new incarnation"
    );
}

/// Guards against a lease that keeps a run active after its entry has died, if the gate was stopping
/// the run when the worker restarted and the start reached the next incarnation.
#[test]
fn lease_is_not_renewed_for_a_stopped_run_of_a_silent_entry_after_a_restart() {
    let mut restarts = Restarts::ready();
    restarts.loses_stops = true;
    restarts.bench.order(run(1), 600, 100);
    for _ in 0..3 {
        let (bench, answer) = (&mut restarts.bench, Err(WorkerCallError::Unanswered));
        let worker = &restarts.worker;
        bench.gate.start_answered(bench.now, worker, run(1), answer);
        bench.collect();
    }
    assert_eq!(restarts.bench.stops(), [run(1)]);
    restarts.restart(NEXT_BORN_MS);
    restarts.running.push(run(1));
    restarts.report(born(NEXT_BORN_MS), 1);
    restarts.pass(1_200);
    assert!(restarts.renews(), "the entry is heard");
    restarts.pass_in_silence(500);
    assert!(!restarts.renews());
    restarts.pass_in_silence(400);
    assert!(!restarts.renews());
}
