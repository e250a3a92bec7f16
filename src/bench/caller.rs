//! Callers: send what is planned, come back as a careful client would, and
//! note what they were told.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::bench::CALLER_DELAY;
use crate::bench::history::{Attempt, History, SubmissionRecord};
use crate::bench::workload::{Planned, Workload};
use crate::client::{EntryClient, EntryReply};
use crate::code::Effect;
use crate::id::SubmissionId;
use crate::local::LocalFleet;
use crate::time::{Timer, micros};

/// Wait before a caller comes back that was not told when.
const COME_BACK: Duration = Duration::from_millis(150);
/// Time after its deadline for which a caller listens.
const LISTEN: Duration = Duration::from_millis(900);

struct Shared {
    timer: Timer,
    clients: Vec<EntryClient>,
    history: Arc<History>,
    open: Mutex<HashSet<String>>,
    cancelled: Mutex<HashSet<String>>,
    seed: u64,
}

/// The callers of a run.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

impl Callers {
    /// Callers of all entries of `fleet`.
    pub fn new(fleet: &LocalFleet, history: Arc<History>, seed: u64) -> Callers {
        let addrs: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.addr).collect();
        let shared = Shared {
            timer: fleet.timer.clone(),
            clients: addrs.into_iter().map(EntryClient::new).collect(),
            history,
            open: Mutex::default(),
            cancelled: Mutex::default(),
            seed,
        };
        Callers {
            shared: Arc::new(shared),
        }
    }

    /// Sends everything at its time and waits for all answers.
    pub async fn run(self, workload: Workload) {
        let start_us = self.shared.timer.now().mono_us;
        let mut calls = JoinSet::new();
        for (number, planned) in workload.submissions.into_iter().enumerate() {
            let due_us = start_us + micros(planned.at);
            let left = self.shared.timer.now().left(due_us);
            self.shared.timer.sleep(left).await;
            let caller = self.clone();
            calls.spawn(async move { caller.call(number, planned).await });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Cancels a share of what is open.
    pub async fn cancel_some(&self, percent: usize) {
        let open: Vec<String> = lock(&self.shared.open).iter().cloned().collect();
        let count = open.len() * percent / 100;
        for id in open.into_iter().take(count) {
            lock(&self.shared.cancelled).insert(id.clone());
            let client = self.shared.clients[0].clone();
            let path = format!("/v1/jobs/{id}");
            tokio::spawn(async move { client.call(Method::DELETE, &path, &[], "").await });
        }
    }

    async fn call(&self, number: usize, planned: Planned) {
        let now = self.shared.timer.now();
        let id = SubmissionId::random(now.wall_ms).to_string();
        lock(&self.shared.open).insert(id.clone());
        let body = body(&id, &planned);
        let mut record = SubmissionRecord {
            id: id.clone(),
            sent_us: now.mono_us,
            done_us: 0,
            attempts: Vec::new(),
            results: 0,
            own_results: false,
            cancelled: false,
            planned,
        };
        let deadline_us = now.after(record.planned.deadline);
        loop {
            let wait = self.attempt(number, &mut record, &body, deadline_us).await;
            let Some(wait) = wait else {
                break;
            };
            if self.shared.timer.now().left(deadline_us) <= wait {
                break;
            }
            self.shared.timer.sleep(wait).await;
        }
        record.done_us = self.shared.timer.now().mono_us;
        lock(&self.shared.open).remove(&id);
        record.cancelled = lock(&self.shared.cancelled).contains(&id);
        self.shared.history.done(record);
    }

    /// Tries once; says after what time to come back, if that makes sense.
    async fn attempt(
        &self,
        number: usize,
        record: &mut SubmissionRecord,
        body: &str,
        deadline_us: u64,
    ) -> Option<Duration> {
        let tries = record.attempts.len();
        let entry = (number + tries + self.shared.seed as usize) % self.shared.clients.len();
        let client = &self.shared.clients[entry];
        let sent = self.shared.timer.now();
        let left = sent.left(deadline_us);
        let reply = self
            .shared
            .timer
            .within(left + LISTEN, self.send(client, record, body, left));
        let reply = reply.await.flatten();
        record.attempts.push(Attempt {
            sent_us: sent.mono_us,
            answered_us: self.shared.timer.now().mono_us,
            code: reply.as_ref().map(code).unwrap_or_default(),
            effect: reply.as_ref().and_then(effect),
        });
        let Some(reply) = reply else {
            return Some(COME_BACK);
        };
        if reply.status == 200 {
            note_results(record, &reply);
            return None;
        }
        comes_back(&reply)
    }

    async fn send(
        &self,
        client: &EntryClient,
        record: &SubmissionRecord,
        body: &str,
        left: Duration,
    ) -> Option<EntryReply> {
        let planned = &record.planned;
        let path = match planned.is_job {
            true => format!("/v1/services/{}/jobs", planned.service),
            false => format!("/v1/services/{}/requests", planned.service),
        };
        let left_ms = left.as_millis().max(1).to_string();
        let mut headers = vec![
            ("idempotency-key", record.id.as_str()),
            ("winghold-kind", &planned.kind),
            ("winghold-deadline-ms", left_ms.as_str()),
        ];
        if let Some(team) = &planned.team {
            headers.push(("winghold-team", team));
        }
        if record.attempts.is_empty() {
            headers.push(("winghold-attempt", "first"));
        }
        self.shared.timer.sleep(CALLER_DELAY).await;
        let reply = client
            .call(Method::POST, &path, &headers, body.to_string())
            .await;
        self.shared.timer.sleep(CALLER_DELAY).await;
        reply.ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn body(id: &str, planned: &Planned) -> String {
    let task = |index: usize| json!({ "run_ms": planned.run_ms[index], "nonce": nonce(id, index) });
    match planned.is_job {
        false => task(0).to_string(),
        true => {
            let tasks: Vec<Value> = (0..planned.run_ms.len()).map(task).collect();
            json!({ "tasks": tasks }).to_string()
        }
    }
}

fn nonce(id: &str, index: usize) -> String {
    format!("{id}:{index}")
}

fn code(reply: &EntryReply) -> String {
    match reply.status {
        200 => "COMPLETE".to_string(),
        _ => reply.json()["name"]
            .as_str()
            .unwrap_or_default()
            .to_string(),
    }
}

fn effect(reply: &EntryReply) -> Option<Effect> {
    let header = reply
        .headers
        .get("winghold-effect")
        .and_then(|value| value.to_str().ok());
    let body = reply.json();
    match header.or(body["effect"].as_str()) {
        Some("not_run") => Some(Effect::NotRun),
        Some("ran") => Some(Effect::Ran),
        Some("unknown") => Some(Effect::Unknown),
        _ => None,
    }
}

/// A refusal of what was not run, and an answer that may still come, are worth
/// another try with the same id.
fn comes_back(reply: &EntryReply) -> Option<Duration> {
    let body = reply.json();
    let again = matches!(
        body["name"].as_str(),
        Some("OVERLOADED" | "QUOTA_EXCEEDED" | "NO_OWNER" | "STOPPING")
    );
    let told = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    match (again, told) {
        (true, told) => Some(told.unwrap_or(COME_BACK)),
        (false, told) => told,
    }
}

fn note_results(record: &mut SubmissionRecord, reply: &EntryReply) {
    let body = reply.json();
    let results: Vec<&Value> = match record.planned.is_job {
        true => body["results"]
            .as_array()
            .map(|all| all.iter().collect())
            .unwrap_or_default(),
        false => vec![&body],
    };
    let own = |(index, result): (usize, &&Value)| {
        result["echo"]["nonce"].as_str() == Some(&nonce(&record.id, index))
    };
    record.own_results = results.iter().enumerate().all(own);
    record.results = results.len();
}
