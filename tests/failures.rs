//! Single and paired failures of members, clocks, network and store, on a simulated fleet.

mod common;

use std::time::Duration;

use common::{FakeFleet, NetworkFaults};
use winghold::code::{Effect, ResultCode};
use winghold::id::{MemberId, SubmissionId, TaskId};
use winghold::message::{Message, Refusal, Submission};
use winghold::owner::OwnerAction;

const SECOND: Duration = Duration::from_secs(1);

fn submit_many(fleet: &mut FakeFleet, count: usize, tasks: usize) -> Vec<SubmissionId> {
    let ids: Vec<SubmissionId> = (0..count).map(|_| fleet.new_id()).collect();
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", tasks, 20_000));
    ids
}

fn code(fleet: &FakeFleet, id: SubmissionId) -> ResultCode {
    fleet.answer(id).expect("submission is answered").code
}

#[test]
fn a_fleet_without_failures_completes_each_submission_once() {
    let mut fleet = FakeFleet::new(4, 1);
    let ids = submit_many(&mut fleet, 20, 3);
    fleet.advance(3 * SECOND);
    fleet.check(&ids);
    for id in ids {
        assert_eq!(code(&fleet, id), ResultCode::Complete);
        assert_eq!(fleet.starts_of(id), 3);
    }
}

#[test]
fn a_resubmission_gets_the_same_answer_without_a_second_start() {
    let mut fleet = FakeFleet::new(4, 2);
    let ids = submit_many(&mut fleet, 5, 1);
    fleet.advance(SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 1, 5_000));
    fleet.advance(SECOND);
    fleet.check(&ids);
    for id in ids {
        assert_eq!(fleet.answers[&id].len(), 2);
        assert_eq!(fleet.starts_of(id), 1);
    }
}

#[test]
fn a_killed_owner_is_replaced_without_starting_a_task_twice() {
    let mut fleet = FakeFleet::new(4, 3);
    let ids = submit_many(&mut fleet, 30, 2);
    fleet.advance(Duration::from_millis(30));
    let victim = fleet.owner_of(ids[0]);
    fleet.kill(victim);
    fleet.advance(10 * SECOND);
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
fn a_submission_to_a_dead_owner_runs_once_it_is_proved_not_run() {
    let mut fleet = FakeFleet::new(4, 4);
    let id = fleet.new_id();
    let victim = fleet.owner_of(id);
    fleet.kill(victim);
    fleet.submit(id, "once", 1, 15_000);
    fleet.advance(8 * SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Complete);
    assert_eq!(fleet.starts_of(id), 1);
}

#[test]
fn an_old_id_has_unknown_outcome_after_its_owner_and_a_gate_are_lost() {
    let mut fleet = FakeFleet::new(5, 5);
    let id = fleet.new_id();
    let owner = fleet.owner_of(id);
    let other = (owner + 1) % 5;
    fleet.kill(owner);
    fleet.kill(other);
    fleet.advance(6 * SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.advance(6 * SECOND);
    assert_eq!(code(&fleet, id), ResultCode::OutcomeUnknown);
    assert_eq!(fleet.starts_of(id), 0);
    let new = fleet.new_id();
    fleet.submit(new, "once", 1, 5_000);
    fleet.advance(SECOND);
    assert_eq!(code(&fleet, new), ResultCode::Complete);
}

#[test]
fn a_paused_owner_starts_no_task_twice_after_it_resumes() {
    let mut fleet = FakeFleet::new(4, 6);
    let ids = submit_many(&mut fleet, 30, 2);
    let victim = fleet.owner_of(ids[0]);
    fleet.advance(Duration::from_millis(20));
    fleet.members[victim].paused_until_us = fleet.now_us + 6_000_000;
    fleet.advance(4 * SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 2, 10_000));
    fleet.advance(12 * SECOND);
    fleet.check(&ids);
}

#[test]
fn clocks_at_the_limit_of_allowed_skew_cause_no_second_start() {
    for (skew_ms, seed) in [(100, 7), (-100, 8)] {
        let mut fleet = FakeFleet::new(4, seed);
        let ids = submit_many(&mut fleet, 20, 1);
        let victim = fleet.owner_of(ids[0]);
        (0..4)
            .filter(|one| *one != victim)
            .for_each(|one| fleet.members[one].skew_ms = skew_ms);
        fleet.advance(Duration::from_millis(20));
        fleet.kill(victim);
        for _ in 0..10 {
            ids.iter()
                .for_each(|id| fleet.submit(*id, "once", 1, 2_000));
            fleet.advance(SECOND);
        }
        fleet.check(&ids);
    }
}

#[test]
fn submissions_are_refused_during_a_long_store_outage_and_complete_after_it() {
    let mut fleet = FakeFleet::new(4, 9);
    fleet.store.down = true;
    fleet.advance(3 * SECOND);
    let id = fleet.new_id();
    fleet.submit(id, "once", 1, 20_000);
    fleet.advance(Duration::from_millis(500));
    let answer = fleet.answer(id).expect("submission is refused at once");
    assert_eq!(answer.code, ResultCode::NoOwner);
    assert_eq!(answer.effect, Effect::NotRun);
    assert!(answer.retry_after_ms.is_some());
    fleet.store.down = false;
    fleet.advance(3 * SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.advance(SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Complete);
}

#[test]
fn submissions_made_just_after_a_store_outage_begins_complete() {
    let mut fleet = FakeFleet::new(4, 10);
    fleet.store.down = true;
    let ids = submit_many(&mut fleet, 20, 4);
    fleet.advance(2 * SECOND);
    for id in &ids {
        assert_eq!(code(&fleet, *id), ResultCode::Complete);
    }
    fleet.check(&ids);
}

#[test]
fn owners_keep_their_answers_across_a_store_outage() {
    let mut fleet = FakeFleet::new(4, 11);
    let ids = submit_many(&mut fleet, 10, 1);
    fleet.advance(SECOND);
    fleet.store.down = true;
    fleet.advance(4 * SECOND);
    fleet.store.down = false;
    fleet.advance(4 * SECOND);
    ids.iter()
        .for_each(|id| fleet.submit(*id, "once", 1, 2_000));
    fleet.advance(SECOND);
    for id in &ids {
        assert_eq!(code(&fleet, *id), ResultCode::Complete);
        assert_eq!(fleet.starts_of(*id), 1);
    }
}

#[test]
fn submissions_complete_after_the_store_lost_answers() {
    let mut fleet = FakeFleet::new(4, 12);
    for _ in 0..6 {
        fleet.store.loses_answers = true;
        fleet.advance(Duration::from_millis(300));
        fleet.store.loses_answers = false;
        fleet.advance(Duration::from_millis(400));
    }
    let ids = submit_many(&mut fleet, 10, 1);
    fleet.advance(2 * SECOND);
    ids.iter()
        .for_each(|id| assert_eq!(code(&fleet, *id), ResultCode::Complete));
}

#[test]
fn a_planned_stop_hands_over_ranges_without_losing_submissions() {
    let mut fleet = FakeFleet::new(4, 13);
    let mut ids = submit_many(&mut fleet, 30, 3);
    fleet.advance(Duration::from_millis(30));
    let leaving = fleet.owner_of(ids[0]);
    fleet.stop(leaving);
    for _ in 0..20 {
        ids.extend(submit_many(&mut fleet, 3, 2));
        fleet.advance(Duration::from_millis(200));
    }
    fleet.advance(4 * SECOND);
    assert!(fleet.has_left(leaving));
    fleet.check(&ids);
    ids.iter()
        .for_each(|id| assert_eq!(code(&fleet, *id), ResultCode::Complete));
    let resubmitted = ids[0];
    fleet.submit(resubmitted, "once", 3, 2_000);
    fleet.advance(SECOND);
    assert_eq!(code(&fleet, resubmitted), ResultCode::Complete);
    assert_eq!(fleet.starts_of(resubmitted), 3);
}

#[test]
fn a_leaving_gate_starts_no_new_tasks() {
    let mut fleet = FakeFleet::new(4, 14);
    fleet.stop(2);
    let stop_us = fleet.now_us;
    for _ in 0..10 {
        submit_many(&mut fleet, 8, 1);
        fleet.advance(Duration::from_millis(300));
    }
    let leaving = fleet.members[2].id.clone();
    let starts_after_stop = fleet
        .start_times
        .iter()
        .filter(|(at, gate, _)| *gate == leaving && *at > stop_us);
    assert_eq!(starts_after_stop.count(), 0);
}

#[test]
fn a_cancel_that_arrives_before_its_submission_prevents_its_start() {
    let mut fleet = FakeFleet::new(4, 15);
    let id = fleet.new_id();
    fleet.cancel(id);
    fleet.advance(SECOND);
    fleet.submit(id, "once", 1, 5_000);
    fleet.advance(SECOND);
    assert_eq!(code(&fleet, id), ResultCode::Cancelled);
    assert_eq!(fleet.starts_of(id), 0);
}

#[test]
fn lost_duplicated_and_delayed_messages_cause_no_second_start() {
    let mut fleet = FakeFleet::new(4, 16);
    fleet.network_faults = NetworkFaults {
        lost_percent: 10,
        duplicated_percent: 20,
        max_delay_ms: 80,
    };
    let ids = submit_many(&mut fleet, 40, 3);
    fleet.advance(25 * SECOND);
    fleet.check(&ids);
    let complete = ids
        .iter()
        .filter(|id| code(&fleet, **id) == ResultCode::Complete)
        .count();
    assert!(complete >= ids.len() * 9 / 10, "{complete} complete");
}

#[test]
fn a_late_refusal_of_an_earlier_attempt_causes_no_second_start() {
    for seed in 17..23 {
        let mut fleet = FakeFleet::new(3, seed);
        fleet.network_faults = NetworkFaults {
            lost_percent: 0,
            duplicated_percent: 90,
            max_delay_ms: 150,
        };
        let ids = submit_many(&mut fleet, 30, 1);
        fleet.advance(10 * SECOND);
        fleet.check(&ids);
    }
}

#[test]
fn a_member_whose_clock_exceeds_the_allowed_skew_accepts_no_new_ids() {
    let mut fleet = FakeFleet::new(4, 30);
    let first = fleet.new_id();
    let victim = fleet.owner_of(first);
    fleet.members[victim].skew_ms = -700;
    for _ in 0..40 {
        submit_many(&mut fleet, 4, 1);
        fleet.advance(Duration::from_millis(300));
    }
    let id = std::iter::repeat_with(|| fleet.new_id())
        .take(200)
        .collect::<Vec<_>>()
        .into_iter()
        .find(|id| fleet.owner_of(*id) == victim)
        .expect("one of the ids belongs to the victim's ranges");
    fleet.submit(id, "once", 1, 3_000);
    fleet.advance(4 * SECOND);
    assert_ne!(code(&fleet, id), ResultCode::Complete);
    assert_eq!(fleet.starts_of(id), 0);
}

/// Gate and attempt of the first start message among `actions`.
fn sent_start(actions: &[OwnerAction]) -> (MemberId, u32) {
    let start = actions.iter().find_map(|action| match action {
        OwnerAction::Send {
            to,
            message: Message::Start(start),
        } => Some((to.clone(), start.attempt)),
        _ => None,
    });
    start.expect("a start message is sent")
}

#[test]
fn a_duplicate_refusal_does_not_withdraw_a_later_attempt() {
    let mut fleet = FakeFleet::new(3, 31);
    let id = fleet.new_id();
    let task = TaskId {
        submission: id,
        index: 0,
    };
    let (index, now, entry) = (fleet.owner_of(id), fleet.now(), fleet.entry.clone());
    let fake = &mut fleet.members[index];
    let mut submission = Submission::id_only(id, 5_000);
    submission.service = "s".into();
    submission.kind = "once".into();
    submission.tasks = vec!["{}".into()];
    let owner = &mut fake.member.owner;
    let (mut gate, mut attempt) = sent_start(&owner.submit(now, &fake.fleet, &entry, submission));
    let mut refused: Vec<(MemberId, u32)> = Vec::new();
    while !refused.iter().any(|(earlier, _)| *earlier == gate) {
        refused.push((gate.clone(), attempt));
        let actions = owner.on_refused(now, &fake.fleet, &gate, task, attempt, Refusal::Busy);
        (gate, attempt) = sent_start(&actions);
    }
    for (earlier, attempt) in refused {
        owner.on_refused(now, &fake.fleet, &earlier, task, attempt, Refusal::Busy);
        let state = &owner.submissions()[&id].open_tasks()[0];
        assert_eq!(
            state.gate(),
            Some(&gate),
            "attempt withdrawn by a duplicate refusal"
        );
    }
}
