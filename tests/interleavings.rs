//! Arbitrary failures, one after the other and together, against the promises.

mod common;

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use common::{FakeFleet, Trouble};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use winghold::id::SubmissionId;

const MEMBERS: usize = 4;

/// One thing that happens.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Happening {
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
    Calm,
    Storm,
    Wait(u8),
}

struct Run {
    fleet: FakeFleet,
    once: Vec<SubmissionId>,
    runs: u64,
}

impl Run {
    fn apply(&mut self, happening: Happening) {
        match happening {
            Happening::Submit => self.submit(1),
            Happening::SubmitJob => self.submit(5),
            Happening::Resubmit(which) => self.resubmit(which),
            Happening::Cancel(which) => self.cancel(which),
            Happening::Kill(which) => self.kill(which),
            Happening::Restart(which) => self.restart(which),
            Happening::Pause(which) => {
                let index = which as usize % self.fleet.members.len();
                let pause_us = 100_000 * u64::from(which);
                self.fleet.members[index].paused_until_us = self.fleet.now_us + pause_us;
            }
            Happening::Stop(which) => {
                let index = which as usize % self.fleet.members.len();
                if self.fleet.members[index].alive {
                    self.fleet.stop(index);
                }
            }
            Happening::StoreDown => self.fleet.store.down = true,
            Happening::StoreLosesAnswers => self.fleet.store.loses_answers = true,
            Happening::StoreUp => {
                self.fleet.store.down = false;
                self.fleet.store.loses_answers = false;
            }
            Happening::Calm => self.fleet.trouble = Trouble::default(),
            Happening::Storm => {
                self.fleet.trouble = Trouble {
                    lost: 15,
                    doubled: 25,
                    late_ms: 120,
                };
            }
            Happening::Wait(tenths) => {
                self.fleet
                    .run(Duration::from_millis(20 * u64::from(tenths)));
            }
        }
        self.fleet.run(Duration::from_millis(30));
    }

    fn submit(&mut self, tasks: usize) {
        let id = self.fleet.id();
        self.once.push(id);
        self.fleet.submit(id, "once", tasks, 4_000);
    }

    fn chosen(&self, which: u8) -> Option<SubmissionId> {
        let count = self.once.len();
        (count > 0).then(|| self.once[which as usize % count])
    }

    /// A caller sends again what it sent before, with as many tasks.
    fn resubmit(&mut self, which: u8) {
        let Some(id) = self.chosen(which) else {
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

    fn cancel(&mut self, which: u8) {
        if let Some(id) = self.chosen(which) {
            self.fleet.cancel(id);
        }
    }

    fn kill(&mut self, which: u8) {
        let index = which as usize % self.fleet.members.len();
        if self.fleet.members[index].alive {
            self.fleet.kill(index);
        }
    }

    fn restart(&mut self, which: u8) {
        self.runs += 1;
        self.fleet.add_member(which as usize % MEMBERS, self.runs);
    }
}

/// Cases that CI runs; each draws everything from its own number.
const CASES: u64 = 400;
/// Happenings of one case.
const LENGTH: usize = 30;

fn happenings(case: u64) -> Vec<Happening> {
    let mut bytes = [0; 8 * LENGTH];
    StdRng::seed_from_u64(case).fill(&mut bytes[..]);
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
    let drawn = std::iter::repeat_with(|| Happening::generate(&mut driver));
    drawn.take(LENGTH).flatten().collect()
}

fn run_case(case: u64) {
    let mut run = Run {
        fleet: FakeFleet::new(MEMBERS, case),
        once: Vec::new(),
        runs: 1,
    };
    for happening in happenings(case) {
        run.apply(happening);
    }
    run.fleet.run(Duration::from_secs(6));
    run.fleet.check(&run.once);
    run.once.iter().for_each(|id| run.fleet.check_not_run(*id));
}

#[test]
fn no_interleaving_starts_a_task_twice_or_makes_not_run_a_lie() {
    for case in 0..CASES {
        let outcome = std::panic::catch_unwind(|| run_case(case));
        assert!(outcome.is_ok(), "case {case}: {:?}", happenings(case));
    }
}
