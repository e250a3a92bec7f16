//! A worker that starts again under the name it had: it holds nothing, knows nothing of
//! before, and its counts and its clock start anew. Its birth tells its lives apart.

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

/// Birth of the life that is present first.
const BORN_MS: u64 = 1_700_000_000_000;
/// Birth of the next one.
const LATER_MS: u64 = BORN_MS + 9_000;

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

/// Whether the worker is to answer it.
fn is_open(action: &mut GateAction) -> bool {
    matches!(action, GateAction::Poll(_) | GateAction::Stop(_))
}

/// A gate beside a worker that tells its birth, and the answers of that worker.
struct Restarts {
    bench: Bench,
    /// The life that answers.
    worker: WorkerId,
    clock_ms: u64,
    running: Vec<RunId>,
    ended: Vec<(u64, RunId)>,
    /// Highest fencing token that the life has seen.
    fence: u64,
    /// Ends that were acknowledged in calls for it.
    acked_end: u64,
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
        };
        restarts.answer();
        restarts.answer();
        restarts.bench.connect_entry(Vec::new());
        restarts.forget();
        restarts
    }

    /// A run that this life was seen to run.
    fn with_run() -> Restarts {
        let mut restarts = Restarts::ready();
        restarts.bench.order(run(1), 600, 100);
        restarts.bench.answer_start(run(1), Ok(StartReply::Running));
        restarts.running.push(run(1));
        restarts.pass(60);
        restarts.forget();
        restarts
    }

    /// Forgets what the gate did, but for what is still to be answered.
    fn forget(&mut self) {
        self.bench.actions.retain_mut(is_open);
    }

    /// The worker starts again.
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

    fn lists(&self, call: &PollCall) -> PollReply {
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

    /// Answers what is asked now.
    fn answer(&mut self) {
        let actions: Vec<GateAction> = self.bench.actions.extract_if(.., is_open).collect();
        let sent = self.bench.now;
        self.bench.now.mono_us += MS;
        self.clock_ms += 1;
        let now = self.bench.now;
        for action in actions {
            match action {
                GateAction::Poll(call) => {
                    let reply = self.lists(&call);
                    self.fence = self.fence.max(call.fence.unwrap_or(0));
                    if call.worker.as_ref() == Some(&self.worker) {
                        self.acked_end = self.acked_end.max(call.acked_end);
                    }
                    let gate = &mut self.bench.gate;
                    gate.poll_answered(now, sent, &call, Ok(reply));
                }
                GateAction::Stop(call) => {
                    let answer = match call.fence >= self.fence {
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
            self.bench.advance(10);
            self.clock_ms += 10;
            self.answer();
        }
    }

    fn knows(&mut self) -> Option<WorkerId> {
        self.pass(20);
        let load = self.bench.last_load();
        load.worker.as_ref().map(|worker| worker.id.clone())
    }
}

/// Its reports count from the start again, far below those of the life before.
#[test]
fn a_worker_that_started_again_is_another_life() {
    let mut restarts = Restarts::with_run();
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(restarts.knows(), Some(born(LATER_MS)));
}

/// Within one heartbeat nothing but the lists tells.
#[test]
fn a_list_tells_that_the_worker_started_again_before_it_reports() {
    let mut restarts = Restarts::with_run();
    restarts.restart(LATER_MS);
    restarts.pass(100);
    restarts.bench.order(run(2), 600, 0);
    assert_eq!(
        restarts.bench.ordered(),
        [],
        "nobody knows what its room is"
    );
    restarts.report(born(LATER_MS), 1);
    restarts.pass(1_100);
    assert_eq!(restarts.knows(), Some(born(LATER_MS)));
    assert!(restarts.bench.ends().contains(&(run(1), RunEnd::Stopped)));
}

#[test]
fn ends_of_the_life_before_acknowledge_none_of_the_next() {
    let mut restarts = Restarts::with_run();
    restarts.running.clear();
    restarts.ended.push((57, run(1)));
    restarts.pass(60);
    assert_eq!(restarts.acked_end, 57);
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
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
fn a_report_of_the_life_before_changes_nothing() {
    let mut restarts = Restarts::ready();
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(1_100);
    restarts.bench.order(run(2), 600, 100);
    restarts.bench.answer_start(run(2), Ok(StartReply::Running));
    restarts.running.push(run(2));
    restarts.report(born(BORN_MS), 90);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.knows(), Some(born(LATER_MS)));
}

/// A report that was held up is no proof, even one of a later birth: the wall clock may
/// have been put back before the present life began.
#[test]
fn a_report_of_a_later_birth_changes_nothing_while_the_present_life_answers() {
    let mut restarts = Restarts::with_run();
    restarts.report(born(LATER_MS), 7);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.knows(), Some(born(BORN_MS)));
}

#[test]
fn a_life_that_was_born_earlier_by_a_clock_put_back_is_followed() {
    let mut restarts = Restarts::with_run();
    restarts.restart(BORN_MS - 5_000);
    restarts.report(born(BORN_MS - 5_000), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Stopped)]);
    assert_eq!(restarts.knows(), Some(born(BORN_MS - 5_000)));
}

/// The order was meant for the life before, and its name is that of the present one.
#[test]
fn an_order_that_came_to_the_next_life_is_not_given_up_while_it_runs_there() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(LATER_MS);
    restarts.running.push(run(1));
    restarts.report(born(LATER_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [], "it runs");
    restarts.running.clear();
    restarts.ended.push((1, run(1)));
    restarts.pass(60);
    assert_eq!(restarts.bench.ends(), [(run(1), RunEnd::Done)]);
}

/// What may still be on its way is barred at the next life before its entry hears that it
/// is over, and its entry does not hear that it never ran.
#[test]
fn an_order_on_its_way_is_barred_at_the_next_life() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
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

/// An order of the life before brought the next one its fencing token, which is far above
/// that one's clock: the gate must find one above it.
#[test]
fn a_fencing_token_from_before_does_not_shut_the_gate_out() {
    for fence in [400_001, BORN_MS + 400_001, 2 * BORN_MS] {
        let mut restarts = Restarts::ready();
        restarts.restart(LATER_MS);
        restarts.fence = fence;
        restarts.report(born(LATER_MS), 1);
        restarts.pass(1_100);
        restarts.bench.order(run(2), 600, 100);
        assert_eq!(restarts.bench.ordered(), [run(2)], "token {fence}");
    }
}

/// Orders under the token of the life before are ignored once the next one has seen its own.
#[test]
fn fencing_tokens_rise_from_life_to_life() {
    let mut restarts = Restarts::ready();
    let before = restarts.fence;
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(100);
    assert!(restarts.fence > before, "{} {before}", restarts.fence);
}

/// It names the worker only, and may have been held up.
#[test]
fn a_departure_of_the_life_before_does_not_end_the_present_one() {
    let mut restarts = Restarts::with_run();
    let now = restarts.bench.now;
    restarts.bench.gate.worker_left(now, &"w".into());
    restarts.bench.collect();
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), []);
    assert_eq!(restarts.knows(), Some(born(BORN_MS)));
}

#[test]
fn a_life_that_leaves_by_its_birth_does_not_come_back() {
    let mut restarts = Restarts::ready();
    let now = restarts.bench.now;
    restarts.bench.gate.worker_left(now, &born(BORN_MS));
    restarts.report(born(BORN_MS), 41);
    assert_eq!(restarts.knows(), None);
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.knows(), Some(born(LATER_MS)));
}

/// It may be of another writer.
#[test]
fn a_report_without_a_birth_names_nobody_where_workers_tell_theirs() {
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
    assert_eq!(restarts.knows(), Some(born(BORN_MS)));
}

/// While no life is there, nothing else would contradict it.
#[test]
fn a_report_without_a_birth_is_not_followed_after_the_worker_is_gone() {
    let mut restarts = Restarts::ready();
    let now = restarts.bench.now;
    let refused = Err(WorkerCallError::Refused);
    let gate = &mut restarts.bench.gate;
    gate.start_answered(now, &born(BORN_MS), run(9), refused);
    gate.worker_report(now, report("x", false, 99));
    restarts.bench.collect();
    assert_eq!(restarts.bench.last_load().worker, None);
    restarts.pass(20);
    assert_eq!(restarts.knows(), None);
}

/// An answer to an order for the life before tells nothing of the present one.
#[test]
fn a_late_answer_for_the_life_before_is_passed_over() {
    let mut restarts = Restarts::with_run();
    restarts.restart(LATER_MS);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(1_100);
    let now = restarts.bench.now;
    let refused = Err(WorkerCallError::Refused);
    let gate = &mut restarts.bench.gate;
    gate.start_answered(now, &born(BORN_MS), run(9), refused);
    gate.stop_answered(now, &born(BORN_MS), run(9), Err(WorkerCallError::Refused));
    assert_eq!(restarts.knows(), Some(born(LATER_MS)));
}

/// The present life takes the end of a lease that was meant for the one before, on a clock
/// that reads far less: until that has run out for certain, a gate that died could not be
/// sure that its runs are over.
#[test]
fn nothing_begins_while_a_lease_of_the_life_before_may_hold() {
    let mut restarts = Restarts::with_run();
    restarts.restart(LATER_MS);
    restarts.pass(60);
    restarts.report(born(LATER_MS), 1);
    restarts.pass(300);
    restarts.bench.order(run(2), 100, 0);
    assert_eq!(restarts.bench.ordered(), []);
    restarts.pass(900);
    restarts.bench.order(run(3), 100, 0);
    assert_eq!(restarts.bench.ordered(), [run(3)]);
}

/// It may take the order, and a lease by it, long before its first report or list.
#[test]
fn an_answer_by_a_clock_that_started_anew_is_not_that_of_the_life_that_was_meant() {
    let mut restarts = Restarts::ready();
    restarts.bench.order(run(1), 600, 100);
    restarts.restart(LATER_MS);
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
    assert!(asked, "the worker is asked at once");
    restarts.report(born(LATER_MS), 1);
    restarts.pass(100);
    assert_eq!(restarts.bench.ends(), [], "it runs on the next life");
}
