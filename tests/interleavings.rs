//! Checks that no random sequence of failures starts a task twice or makes a "not run" answer false.

mod common;

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use common::{FakeFleet, NetworkFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use winghold::id::SubmissionId;

const MEMBERS: usize = 4;

/// One event of a case.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Submit,
    SubmitJob,
    Resubmit(u8),
    Cancel(u8),
    Kill(u8),
    Restart(u8),
    Pause(u8),
    Stop(u8),
    StoreDown,
    StoreLosesAnswers,
    StoreUp,
    NetworkUp,
    NetworkFaulty,
    Wait(u8),
}

struct Scenario {
    fleet: FakeFleet,
    ids: Vec<SubmissionId>,
    last_incarnation: u64,
}

impl Scenario {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit => self.submit(1),
            Event::SubmitJob => self.submit(5),
            Event::Resubmit(choice) => self.resubmit(choice),
            Event::Cancel(choice) => self.cancel(choice),
            Event::Kill(choice) => self.kill(choice),
            Event::Restart(choice) => self.restart(choice),
            Event::Pause(choice) => {
                let index = choice as usize % self.fleet.members.len();
                let pause_us = 100_000 * u64::from(choice);
                self.fleet.members[index].paused_until_us = self.fleet.now_us + pause_us;
            }
            Event::Stop(choice) => {
                let index = choice as usize % self.fleet.members.len();
                if self.fleet.members[index].alive {
                    self.fleet.stop(index);
                }
            }
            Event::StoreDown => self.fleet.store.down = true,
            Event::StoreLosesAnswers => self.fleet.store.loses_answers = true,
            Event::StoreUp => {
                self.fleet.store.down = false;
                self.fleet.store.loses_answers = false;
            }
            Event::NetworkUp => self.fleet.network_faults = NetworkFaults::default(),
            Event::NetworkFaulty => {
                self.fleet.network_faults = NetworkFaults {
                    lost_percent: 15,
                    duplicated_percent: 25,
                    max_delay_ms: 120,
                };
            }
            Event::Wait(units) => {
                self.fleet
                    .advance(Duration::from_millis(20 * u64::from(units)));
            }
        }
        self.fleet.advance(Duration::from_millis(30));
    }

    fn submit(&mut self, tasks: usize) {
        let id = self.fleet.new_id();
        self.ids.push(id);
        self.fleet.submit(id, "once", tasks, 4_000);
    }

    fn pick_id(&self, choice: u8) -> Option<SubmissionId> {
        let count = self.ids.len();
        (count > 0).then(|| self.ids[choice as usize % count])
    }

    /// Resubmits an id with as many tasks as have started, at least one.
    fn resubmit(&mut self, choice: u8) {
        let Some(id) = self.pick_id(choice) else {
            return;
        };
        let tasks = self
            .fleet
            .starts
            .keys()
            .filter(|task| task.submission == id)
            .count();
        self.fleet.submit(id, "once", tasks.clamp(1, 5), 4_000);
    }

    fn cancel(&mut self, choice: u8) {
        if let Some(id) = self.pick_id(choice) {
            self.fleet.cancel(id);
        }
    }

    fn kill(&mut self, choice: u8) {
        let index = choice as usize % self.fleet.members.len();
        if self.fleet.members[index].alive {
            self.fleet.kill(index);
        }
    }

    fn restart(&mut self, choice: u8) {
        self.last_incarnation += 1;
        self.fleet
            .add_member(choice as usize % MEMBERS, self.last_incarnation);
    }
}

/// Number of cases; each is seeded with its index.
const CASES: u64 = 400;
const EVENTS_PER_CASE: usize = 30;

fn events(case: u64) -> Vec<Event> {
    let mut bytes = [0; 8 * EVENTS_PER_CASE];
    StdRng::seed_from_u64(case).fill(&mut bytes[..]);
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
    let events = std::iter::repeat_with(|| Event::generate(&mut driver));
    events.take(EVENTS_PER_CASE).flatten().collect()
}

fn run_case(case: u64) {
    let mut scenario = Scenario {
        fleet: FakeFleet::new(MEMBERS, case),
        ids: Vec::new(),
        last_incarnation: 1,
    };
    for event in events(case) {
        scenario.apply(event);
    }
    scenario.fleet.advance(Duration::from_secs(6));
    scenario.fleet.check(&scenario.ids);
    scenario
        .ids
        .iter()
        .for_each(|id| scenario.fleet.check_not_run(*id));
}

#[test]
fn no_event_sequence_starts_a_task_twice_or_runs_a_task_answered_as_not_run() {
    for case in 0..CASES {
        let outcome = std::panic::catch_unwind(|| run_case(case));
        assert!(outcome.is_ok(), "case {case}: {:?}", events(case));
    }
}
