//! Rows of an agent for operators' tables.

use bytes::Bytes;
use serde_json::{Value, json};

use crate::agent::Core;
use crate::id::SubmissionId;
use crate::owner::submission::{Step, SubmissionRecord, TaskState};
use crate::time::Moment;

/// Maximum number of rows per table and process.
const MAX_ROWS: usize = 5_000;

impl Core {
    /// Returns the rows of `table` as a JSON array.
    pub(super) fn rows(&self, now: Moment, table: &str, about: Option<SubmissionId>) -> Bytes {
        let rows: Vec<Value> = match table {
            "requests" => self.submission_rows(now, about, false),
            "jobs" => self.submission_rows(now, about, true),
            "tasks" => self.task_rows(about),
            "steps" => self.step_rows(about),
            "targets" => vec![self.target_row()],
            "workers" => vec![self.worker_row()],
            "members" => vec![self.member_row(now)],
            "ranges" => self.range_rows(),
            _ => Vec::new(),
        };
        serde_json::to_vec(&rows).unwrap_or_default().into()
    }

    fn records(&self, about: Option<SubmissionId>) -> impl Iterator<Item = &SubmissionRecord> {
        let records = self.member.owner.submissions().values();
        let matching =
            records.filter(move |record| about.is_none_or(|id| record.submission.id == id));
        matching.take(MAX_ROWS)
    }

    fn submission_rows(&self, now: Moment, about: Option<SubmissionId>, jobs: bool) -> Vec<Value> {
        let records = self.records(about);
        let records = records.filter(|record| record.submission.is_job == jobs);
        let row = |record: &SubmissionRecord| {
            let submission = &record.submission;
            let answer = record.answer();
            json!({
                "id": submission.id.to_string(),
                "service": submission.service,
                "kind": submission.kind,
                "team": submission.team,
                "priority": submission.priority,
                "state": record.state_name(),
                "effect": answer.map(|answer| answer.effect),
                "tasks": record.open_tasks().len(),
                "owner": self.node.me.name,
                "age_ms": now.wall_ms.saturating_sub(record.accepted_ms),
            })
        };
        records.map(row).collect()
    }

    fn task_rows(&self, about: Option<SubmissionId>) -> Vec<Value> {
        let records = self.records(about);
        let rows = records.flat_map(|record| {
            let tasks = (0u32..).zip(record.open_tasks());
            tasks.map(move |(index, state)| self.task_row(record, index, state))
        });
        rows.take(MAX_ROWS).collect()
    }

    fn task_row(&self, record: &SubmissionRecord, index: u32, state: &TaskState) -> Value {
        json!({
            "id": record.submission.id.to_string(),
            "index": index,
            "service": record.submission.service,
            "kind": record.submission.kind,
            "state": state.state_name(),
            "target": state.gate().map(|gate| gate.name.clone()),
            "owner": self.node.me.name,
        })
    }

    fn step_rows(&self, about: Option<SubmissionId>) -> Vec<Value> {
        let mut rows = Vec::new();
        for record in self.records(about) {
            let answer = record.answer();
            rows.push(json!({
                "step": "accepted",
                "owner": self.node.me.name,
                "range": record.range.0,
                "at_ms": record.accepted_ms,
            }));
            rows.extend(record.steps.iter().map(step_row));
            rows.extend(answer.map(|answer| {
                json!({
                    "step": "answered",
                    "code": answer.code.name(),
                    "effect": answer.effect,
                    "message": answer.message,
                })
            }));
        }
        rows
    }

    fn target_row(&self) -> Value {
        let placer = self.member.owner.placer();
        let ejected: Vec<_> = placer
            .ejected_gates()
            .map(|gate| gate.name.clone())
            .collect();
        let sample = placer.load_of(&self.node.me).map(|known| &known.sample);
        let config = self.node.fleet.config();
        let name = self.node.me.name.to_string();
        json!({
            "name": name,
            "service": self.settings.service,
            "failure_domain": self.settings.process.failure_domain,
            "slots": self.settings.slots,
            "running": self.member.gate.running(),
            "queued": sample.map_or(0, |sample| sample.queued),
            "mean_run_ms": sample.map_or(0, |sample| sample.mean_run_us / 1_000),
            "failed_percent": sample.map_or(0, |sample| sample.failed_percent),
            "drained": config.drained.contains(&name),
            "evacuated": config.evacuated.contains(&self.settings.process.failure_domain),
            "ejects": ejected,
        })
    }

    fn worker_row(&self) -> Value {
        json!({
            "name": self.node.me.name,
            "target": self.settings.target.to_string(),
            "rack": self.settings.process.rack,
            "failure_domain": self.settings.process.failure_domain,
            "accelerators": self.settings.accelerators,
            "running": self.member.gate.running(),
        })
    }

    fn member_row(&self, now: Moment) -> Value {
        let counts = self.node.message_counters.read();
        let lease_until_us = self.member.ownership.lease_until_us();
        json!({
            "name": self.node.me.name,
            "run": format!("{:08x}", self.node.me.run as u32),
            "role": "agent",
            "peer": self.node.fleet.member_record(&self.node.me).map(|record| record.peer.to_string()),
            "failure_domain": self.settings.process.failure_domain,
            "config": self.node.fleet.config_revision(),
            "table": self.node.fleet.table().revision,
            "ranges": self.member.owner.held_ranges().len(),
            "lease_left_ms": now.remaining(lease_until_us).as_millis() as u64,
            "stopping": self.member.is_stopping(),
            "work_messages": counts.work,
            "control_messages": counts.control,
            "void_messages": counts.void,
        })
    }

    fn range_rows(&self) -> Vec<Value> {
        let mut held: Vec<_> = self.member.owner.held_ranges().iter().collect();
        held.sort_by_key(|(range, _)| **range);
        let row = |(range, held): &(&crate::id::RangeId, &crate::owner::ranges::HeldRange)| {
            json!({
                "range": range.0,
                "owner": self.node.me.name,
                "epoch": held.epoch.0,
                "state": held.state_name(),
            })
        };
        held.iter().map(row).collect()
    }
}

fn step_row(step: &Step) -> Value {
    match step {
        Step::Placed {
            index,
            gate,
            load,
            candidates,
        } => json!({
            "step": "placed",
            "task": index,
            "target": gate.name,
            "load": (load * 10.0).round() / 10.0,
            "candidates": candidates,
        }),
        Step::Refused {
            index,
            gate,
            reason,
        } => json!({
            "step": "refused",
            "task": index,
            "target": gate.name,
            "reason": reason,
        }),
        Step::Lost { index, gate } => json!({
            "step": "lost",
            "task": index,
            "target": gate.name,
        }),
        Step::Inherited => json!({ "step": "inherited" }),
    }
}
