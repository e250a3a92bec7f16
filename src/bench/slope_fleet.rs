//! Synthetic members, tables and submissions for measuring slopes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::config::Config;
use crate::fleet::{Acquisition, ConfigRecord, Fleet, Holder, MemberRecord, Row, Table};
use crate::gate::{Gate, GateAction, GateSettings, RunResult};
use crate::id::{Epoch, MemberId, RangeId, SubmissionId, TaskId};
use crate::load::LoadSample;
use crate::message::{Message, Start, Submission, TaskOutcome};
use crate::owner::{Owner, OwnerAction};
use crate::time::Moment;

const WALL_MS: u64 = 1_800_000_000_000;

/// Id of a synthetic member, with a name of realistic length.
pub fn member(index: usize) -> MemberId {
    MemberId::new(
        &format!("logger-intake-{index:04}"),
        0x1234_5678_9abc + index as u64,
    )
}

/// Record of a synthetic member.
pub fn record(index: usize) -> MemberRecord {
    MemberRecord {
        id: member(index),
        session: 1,
        peer: ([10, 20, (index / 250) as u8, (index % 250) as u8], 7400).into(),
        failure_domain: ["a", "b", "c", "d"][index % 4].to_string(),
        rack: format!("rack-{:03}", index / 3),
        service: "s".to_string(),
        slots: 64,
        accelerators: 1,
        leaving: false,
    }
}

/// Load sample of a synthetic member.
pub fn sample(index: usize) -> LoadSample {
    LoadSample {
        gate: member(index),
        number: 123_456,
        running: 30 + (index % 20) as u32,
        urgent_queued: 0,
        queued: 2,
        mean_run_us: 180_000,
        slowness_percent: 100,
        failed_percent: 0,
        leaving: false,
    }
}

/// Table with 128 owners and `gates` gates.
pub fn table(ranges: u32, gates: usize) -> Table {
    let row = |index: u32| Row {
        owner: Holder {
            member: member(index as usize % 128),
            session: 1,
        },
        epoch: Epoch(3),
        acquisition: Acquisition::HandedOver,
        departure_ms: WALL_MS,
        since_ms: WALL_MS,
    };
    Table {
        revision: 7,
        rows: (0..ranges).map(row).collect(),
        gates: (0..gates).map(member).collect(),
    }
}

/// Configuration document with `teams` teams.
pub fn document(teams: usize) -> String {
    let mut text = String::from(
        "regions:\n  - { name: r1, failure_domains: [a, b] }\n  \
         - { name: r2, failure_domains: [c, d] }\n\
         services: [{ name: s, kinds: [{ name: k, priority: 1 }] }]\nteams:\n",
    );
    for team in 0..teams {
        text.push_str(&format!(
            "  - {{ name: team-{team:03}, share: 2, max_slots: 400 }}\n"
        ));
    }
    text
}

/// Payload of a task.
pub fn payload() -> Bytes {
    Bytes::from_static(br#"{"run_ms":120,"nonce":"01a236c9-1fd0-77da-af6a-23ac97d0e672:17"}"#)
}

/// Result of a task.
pub fn result() -> Bytes {
    Bytes::from_static(
        br#"{"echo":{"run_ms":120,"nonce":"01a236c9-1fd0-77da-af6a-23ac97d0e672:17"},"ok":true}"#,
    )
}

/// Start message of a task.
pub fn start(task: TaskId) -> Start {
    Start {
        task,
        range: RangeId(17),
        epoch: Epoch(3),
        kind: Arc::from("k"),
        team: Some(Arc::from("team-017")),
        priority: 1,
        urgent: true,
        budget_ms: 9_000,
        expected_us: 150_000,
        attempt: 0,
        payload: payload(),
    }
}

/// Synthetic fleet with an owner of all ranges and a gate.
pub struct SlopeFleet {
    /// View of the fleet.
    pub fleet: Fleet,
    owner: Owner,
    gate: Gate,
    entry: MemberId,
}

impl SlopeFleet {
    /// Creates a fleet of `members` members and `ranges` ranges.
    pub fn new(members: usize, ranges: u32) -> SlopeFleet {
        let mut fleet = Fleet::new(Config::empty());
        let text = format!("{}ownership: {{ ranges: {ranges} }}\n", document(2));
        fleet.apply_config(ConfigRecord {
            revision: 1,
            document: text,
            drained: Vec::new(),
            evacuated: Vec::new(),
            changes: Vec::new(),
        });
        fleet.apply_members(5, (0..members).map(record).collect());
        let mut table = table(ranges, members);
        for row in &mut table.rows {
            row.acquisition = Acquisition::First;
        }
        fleet.apply_table(table);
        let me = member(members + 1);
        let mut own = (**fleet.table()).clone();
        own.revision += 1;
        let holder = Holder {
            member: me.clone(),
            session: 1,
        };
        own.rows
            .iter_mut()
            .for_each(|row| row.owner = holder.clone());
        let mut owned = fleet.clone();
        owned.apply_table(own);
        let mut owner = Owner::new(me.clone(), "a", fleet.config().clone(), 1);
        owner.set_lease_until(u64::MAX);
        owner.reconcile(now(), &owned, Some(&holder));
        let settings = GateSettings {
            member: me,
            service: "s".to_string(),
            slots: 1_000,
            failure_domain: "a".to_string(),
        };
        let gate = Gate::new(settings, fleet.config());
        let entry = MemberId::new("entry", 1);
        SlopeFleet {
            fleet,
            owner,
            gate,
            entry,
        }
    }

    /// Submits a request and leaves it open.
    pub fn open_request(&mut self, number: usize) {
        self.submit(number);
    }

    fn submit(&mut self, number: usize) -> Vec<OwnerAction> {
        let id = id(number);
        let mut submission = Submission::id_only(id, 3_600_000);
        submission.service = Arc::from("s");
        submission.kind = Arc::from("k");
        submission.priority = 1;
        submission.tasks = vec![payload()];
        let entry = self.entry.clone();
        self.owner.submit(now(), &self.fleet, &entry, submission)
    }

    /// Submits a request and finishes it immediately.
    pub fn run_request(&mut self, number: usize) {
        for action in self.submit(number) {
            let OwnerAction::Send {
                to,
                message: Message::Start(start),
            } = action
            else {
                continue;
            };
            let outcome = TaskOutcome::Done(Bytes::copy_from_slice(&result()));
            self.owner
                .on_finished(now(), &self.fleet, &to, start.task, outcome, 1_000);
        }
    }

    /// Starts a task at the gate and finishes it immediately.
    pub fn run_at_gate(&mut self, number: usize) {
        let submission = id(number);
        let task = TaskId {
            submission,
            index: 0,
        };
        let entry = self.entry.clone();
        for action in self.gate.start(now(), &entry, start(task)) {
            if let GateAction::Run { task, .. } = action {
                let outcome = TaskOutcome::Done(Bytes::copy_from_slice(&result()));
                self.gate.run_ended(now(), task, RunResult::Ended(outcome));
            }
        }
    }

    /// Ticks the owner 1 ms later.
    pub fn tick(&mut self) {
        let now = Moment {
            mono_us: now().mono_us + 1_000,
            ..now()
        };
        self.owner.tick(now, &self.fleet);
    }
}

/// Id of a synthetic submission; the multiplication spreads the number over all bits.
fn id(number: usize) -> SubmissionId {
    let random = (number as u128 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    SubmissionId::from_parts(WALL_MS, random)
}

fn now() -> Moment {
    let mono_us = Duration::from_secs(100).as_micros() as u64;
    Moment {
        mono_us,
        wall_ms: WALL_MS,
    }
}
