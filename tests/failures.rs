//! Failures one by one and in pairs, on a fake fleet in virtual time.

mod common;

use std::time::Duration;

use common::{FakeFleet, Trouble};
use winghold::code::{Effect, ResultCode};
use winghold::id::{MemberId, SubmissionId, TaskId};
use winghold::message::{Message, Refusal, Submission};
use winghold::owner::OwnerAction;

const SECOND: Duration = Duration::from_secs(1);

fn submit_many(fleet: &mut FakeFleet, count: usize, tasks: usize) -> Vec<SubmissionId> {
    let ids: Vec<SubmissionId> = (0..count).map(|_| fleet.id()).collect();
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", tasks, 20_000));
    ids
}

fn code(fleet: &FakeFleet, id: SubmissionId) -> ResultCode {
    fleet.answer(id).expect("it is answered").code
}

#[test]
fn a_quiet_fleet_answers_everything_once() {
    let mut fleet = FakeFleet::new(4, 1);
    let ids = submit_many(&mut fleet, 20, 3);
    fleet.run(3 * SECOND);
    fleet.check(&ids);
    for id in ids {
        assert_eq!(code(&fleet, id), ResultCode::Complete);
        assert_eq!(fleet.starts_of(id), 3);
    }
}

#[test]
fn a_resubmission_joins_or_gets_the_kept_answer() {
    let mut fleet = FakeFleet::new(4, 2);
    let ids = submit_many(&mut fleet, 5, 1);
    fleet.run(SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 1, 5_000));
    fleet.run(SECOND);
    fleet.check(&ids);
    for id in ids {
        assert_eq!(fleet.answers[&id].len(), 2);
        assert_eq!(fleet.starts_of(id), 1);
    }
}

#[test]
fn an_owner_that_dies_is_replaced_and_nothing_starts_twice() {
    let mut fleet = FakeFleet::new(4, 3);
    let ids = submit_many(&mut fleet, 30, 2);
    fleet.run(Duration::from_millis(30));
    let victim = fleet.owner_of(ids[0]);
    fleet.kill(victim);
    fleet.run(10 * SECOND);
    fleet.check(&ids);
    let complete = ids
        .iter()
        .filter(|id| code(&fleet, **id) == ResultCode::Complete)
        .count();
    let unknown = ids
        .iter()
        .filter(|id| code(&fleet, **id) == ResultCode::OutcomeUnknown)
        .count();
    assert_eq!(complete + unknown, ids.len());
    assert!(complete > ids.len() / 3, "{complete} complete");
}

#[test]
fn ids_of_a_dead_owner_run_once_it_is_proved_that_they_did_not() {
    let mut fleet = FakeFleet::new(4, 4);
    let id = fleet.id();
    let victim = fleet.owner_of(id);
    fleet.kill(victim);
    fleet.submit(id, "once", 1, 15_000);
    fleet.run(8 * SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Complete);
    assert_eq!(fleet.starts_of(id), 1);
}

#[test]
fn an_old_id_is_unknown_when_a_gate_was_lost_with_its_owner() {
    let mut fleet = FakeFleet::new(5, 5);
    let id = fleet.id();
    let owner = fleet.owner_of(id);
    let other = (owner + 1) % 5;
    fleet.kill(owner);
    fleet.kill(other);
    fleet.run(6 * SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.run(6 * SECOND);
    assert_eq!(code(&fleet, id), ResultCode::OutcomeUnknown);
    assert_eq!(fleet.starts_of(id), 0);
    let new = fleet.id();
    fleet.submit(new, "once", 1, 5_000);
    fleet.run(SECOND);
    assert_eq!(code(&fleet, new), ResultCode::Complete);
}

#[test]
fn a_paused_owner_that_wakes_up_starts_nothing_again() {
    let mut fleet = FakeFleet::new(4, 6);
    let ids = submit_many(&mut fleet, 30, 2);
    let victim = fleet.owner_of(ids[0]);
    fleet.run(Duration::from_millis(20));
    fleet.members[victim].paused_until_us = fleet.now_us + 6_000_000;
    fleet.run(4 * SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 2, 10_000));
    fleet.run(12 * SECOND);
    fleet.check(&ids);
}

#[test]
fn clocks_at_the_edge_of_the_allowed_skew_do_not_start_twice() {
    for (skew_ms, seed) in [(100, 7), (-100, 8)] {
        let mut fleet = FakeFleet::new(4, seed);
        let ids = submit_many(&mut fleet, 20, 1);
        let victim = fleet.owner_of(ids[0]);
        (0..4)
            .filter(|one| *one != victim)
            .for_each(|one| fleet.members[one].skew_ms = skew_ms);
        fleet.run(Duration::from_millis(20));
        fleet.kill(victim);
        for _ in 0..10 {
            ids.iter()
                .for_each(|id| fleet.submit(*id, "once", 1, 2_000));
            fleet.run(SECOND);
        }
        fleet.check(&ids);
    }
}

#[test]
fn a_store_outage_longer_than_the_lease_gives_clear_refusals_and_ends() {
    let mut fleet = FakeFleet::new(4, 9);
    fleet.store.down = true;
    fleet.run(3 * SECOND);
    let id = fleet.id();
    fleet.submit(id, "once", 1, 20_000);
    fleet.run(Duration::from_millis(500));
    let answer = fleet.answer(id).expect("it is refused at once");
    assert_eq!(answer.code, ResultCode::NoOwner);
    assert_eq!(answer.effect, Effect::NotRun);
    assert!(answer.retry_after_ms.is_some());
    fleet.store.down = false;
    fleet.run(3 * SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.run(SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Complete);
}

#[test]
fn work_under_way_goes_on_while_the_store_is_down() {
    let mut fleet = FakeFleet::new(4, 10);
    fleet.store.down = true;
    let ids = submit_many(&mut fleet, 20, 4);
    fleet.run(2 * SECOND);
    for id in &ids {
        assert_eq!(code(&fleet, *id), ResultCode::Complete);
    }
    fleet.check(&ids);
}

#[test]
fn ranges_go_on_with_their_table_after_an_outage() {
    let mut fleet = FakeFleet::new(4, 11);
    let ids = submit_many(&mut fleet, 10, 1);
    fleet.run(SECOND);
    fleet.store.down = true;
    fleet.run(4 * SECOND);
    fleet.store.down = false;
    fleet.run(4 * SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 1, 2_000));
    fleet.run(SECOND);
    for id in &ids {
        assert_eq!(code(&fleet, *id), ResultCode::Complete);
        assert_eq!(fleet.starts_of(*id), 1);
    }
}

#[test]
fn lost_answers_of_the_store_stop_nothing_for_long() {
    let mut fleet = FakeFleet::new(4, 12);
    for _ in 0..6 {
        fleet.store.loses_answers = true;
        fleet.run(Duration::from_millis(300));
        fleet.store.loses_answers = false;
        fleet.run(Duration::from_millis(400));
    }
    let ids = submit_many(&mut fleet, 10, 1);
    fleet.run(2 * SECOND);
    ids.iter()
        .for_each(|id| assert_eq!(code(&fleet, *id), ResultCode::Complete));
}

#[test]
fn a_planned_stop_hands_over_and_cuts_nothing() {
    let mut fleet = FakeFleet::new(4, 13);
    let mut ids = submit_many(&mut fleet, 30, 3);
    fleet.run(Duration::from_millis(30));
    let leaver = fleet.owner_of(ids[0]);
    fleet.stop(leaver);
    for _ in 0..20 {
        ids.extend(submit_many(&mut fleet, 3, 2));
        fleet.run(Duration::from_millis(200));
    }
    fleet.run(4 * SECOND);
    assert!(fleet.has_left(leaver));
    fleet.check(&ids);
    ids.iter()
        .for_each(|id| assert_eq!(code(&fleet, *id), ResultCode::Complete));
    let resubmitted = ids[0];
    fleet.submit(resubmitted, "once", 3, 2_000);
    fleet.run(SECOND);
    assert_eq!(code(&fleet, resubmitted), ResultCode::Complete);
    assert_eq!(fleet.starts_of(resubmitted), 3);
}

#[test]
fn a_leaving_gate_starts_nothing_new() {
    let mut fleet = FakeFleet::new(4, 14);
    fleet.stop(2);
    let told_us = fleet.now_us;
    for _ in 0..10 {
        submit_many(&mut fleet, 8, 1);
        fleet.run(Duration::from_millis(300));
    }
    let leaver = fleet.members[2].id.clone();
    let late = fleet
        .start_times
        .iter()
        .filter(|(at, gate, _)| *gate == leaver && *at > told_us);
    assert_eq!(late.count(), 0);
}

#[test]
fn a_cancel_that_overtakes_its_submission_bars_it() {
    let mut fleet = FakeFleet::new(4, 15);
    let id = fleet.id();
    fleet.cancel(id);
    fleet.run(SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.run(SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Cancelled);
    assert_eq!(fleet.starts_of(id), 0);
}

#[test]
fn messages_that_are_lost_doubled_and_late_start_nothing_twice() {
    let mut fleet = FakeFleet::new(4, 16);
    fleet.trouble = Trouble {
        lost: 10,
        doubled: 20,
        late_ms: 80,
    };
    let ids = submit_many(&mut fleet, 40, 3);
    fleet.run(25 * SECOND);
    fleet.check(&ids);
    let complete = ids
        .iter()
        .filter(|id| code(&fleet, **id) == ResultCode::Complete)
        .count();
    assert!(complete >= ids.len() * 9 / 10, "{complete} complete");
}

#[test]
fn a_late_refusal_of_an_earlier_attempt_moves_nothing() {
    for seed in 17..23 {
        let mut fleet = FakeFleet::new(3, seed);
        fleet.trouble = Trouble {
            lost: 0,
            doubled: 90,
            late_ms: 150,
        };
        let ids = submit_many(&mut fleet, 30, 1);
        fleet.run(10 * SECOND);
        fleet.check(&ids);
    }
}

#[test]
fn a_process_whose_clock_is_off_takes_no_new_ids() {
    let mut fleet = FakeFleet::new(4, 30);
    let first = fleet.id();
    let victim = fleet.owner_of(first);
    fleet.members[victim].skew_ms = -700;
    for _ in 0..40 {
        submit_many(&mut fleet, 4, 1);
        fleet.run(Duration::from_millis(300));
    }
    let id = std::iter::repeat_with(|| fleet.id())
        .take(200)
        .collect::<Vec<_>>()
        .into_iter()
        .find(|id| fleet.owner_of(*id) == victim)
        .expect("some id is the victim's");
    fleet.submit(id, "once", 1, 3_000);
    fleet.run(4 * SECOND);
    assert_ne!(code(&fleet, id), ResultCode::Complete);
    assert_eq!(fleet.starts_of(id), 0);
}

/// Where the one start among `actions` goes, and its attempt.
fn started(actions: &[OwnerAction]) -> (MemberId, u32) {
    let start = actions.iter().find_map(|action| match action {
        OwnerAction::Send {
            to,
            message: Message::Start(start),
        } => Some((to.clone(), start.attempt)),
        _ => None,
    });
    start.expect("a start is sent")
}

#[test]
fn a_second_copy_of_a_refusal_does_not_take_back_a_later_attempt() {
    let mut fleet = FakeFleet::new(3, 31);
    let id = fleet.id();
    let task = TaskId {
        submission: id,
        index: 0,
    };
    let (index, now, entry) = (fleet.owner_of(id), fleet.now(), fleet.entry.clone());
    let one = &mut fleet.members[index];
    let mut submission = Submission::id_only(id, 5_000);
    submission.service = "s".into();
    submission.kind = "once".into();
    submission.tasks = vec!["{}".into()];
    let owner = &mut one.member.owner;
    let (mut gate, mut attempt) = started(&owner.submit(now, &one.fleet, &entry, submission));
    let mut refused: Vec<(MemberId, u32)> = Vec::new();
    while !refused.iter().any(|(earlier, _)| *earlier == gate) {
        refused.push((gate.clone(), attempt));
        let actions = owner.on_refused(now, &one.fleet, &gate, task, attempt, Refusal::Busy);
        (gate, attempt) = started(&actions);
    }
    for (earlier, attempt) in refused {
        owner.on_refused(now, &one.fleet, &earlier, task, attempt, Refusal::Busy);
        let state = &owner.submissions()[&id].open_tasks()[0];
        assert_eq!(state.gate(), Some(&gate), "taken back by a copy");
    }
}
