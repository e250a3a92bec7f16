//! Callers that send planned submissions, retry them as a well-behaved client does and record
//! the answers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::bench::CALLER_DELAY;
use crate::bench::history::{Attempt, History, SubmissionRecord};
use crate::bench::workload::{PlannedSubmission, Workload};
use crate::client::{EntryClient, EntryReply};
use crate::code::Effect;
use crate::id::SubmissionId;
use crate::local::LocalFleet;
use crate::time::{Timer, micros};

/// Delay before a retry if the answer suggests none.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after its deadline for which a caller waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(900);

struct Shared {
    timer: Timer,
    clients: Vec<EntryClient>,
    history: Arc<History>,
    open: Mutex<HashSet<String>>,
    cancelled: Mutex<HashSet<String>>,
    seed: u64,
}

/// Callers of a run.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

impl Callers {
    /// Creates callers of all entries of `fleet`.
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

    /// Sends each submission at its time and waits for all answers.
    pub async fn run(self, workload: Workload) {
        let start_us = self.shared.timer.now().mono_us;
        let mut calls = JoinSet::new();
        for (number, planned) in workload.submissions.into_iter().enumerate() {
            let due_us = start_us + micros(planned.at);
            let left = self.shared.timer.now().remaining(due_us);
            self.shared.timer.sleep(left).await;
            let caller = self.clone();
            calls.spawn(async move { caller.submit(number, planned).await });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Cancels a percentage of the open submissions.
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

    async fn submit(&self, number: usize, planned: PlannedSubmission) {
        let now = self.shared.timer.now();
        let id = SubmissionId::random(now.wall_ms).to_string();
        lock(&self.shared.open).insert(id.clone());
        let body = body(&id, &planned);
        let mut record = SubmissionRecord {
            id: id.clone(),
            sent_us: now.mono_us,
            ended_us: 0,
            attempts: Vec::new(),
            results: 0,
            has_own_results: false,
            cancelled: false,
            planned,
        };
        let deadline_us = now.after(record.planned.deadline);
        loop {
            let wait = self.attempt(number, &mut record, &body, deadline_us).await;
            let Some(wait) = wait else {
                break;
            };
            if self.shared.timer.now().remaining(deadline_us) <= wait {
                break;
            }
            self.shared.timer.sleep(wait).await;
        }
        record.ended_us = self.shared.timer.now().mono_us;
        lock(&self.shared.open).remove(&id);
        record.cancelled = lock(&self.shared.cancelled).contains(&id);
        self.shared.history.record_submission(record);
    }

    /// Sends the submission once; returns the delay before a retry, if one is useful.
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
        let left = sent.remaining(deadline_us);
        let reply = self
            .shared
            .timer
            .timeout(left + ANSWER_GRACE, self.send(client, record, body, left));
        let reply = reply.await.flatten();
        record.attempts.push(Attempt {
            sent_us: sent.mono_us,
            answered_us: self.shared.timer.now().mono_us,
            code: reply.as_ref().map(code).unwrap_or_default(),
            effect: reply.as_ref().and_then(effect),
        });
        let Some(reply) = reply else {
            return Some(RETRY_DELAY);
        };
        if reply.status == 200 {
            record_results(record, &reply);
            return None;
        }
        retry_delay(&reply)
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

fn body(id: &str, planned: &PlannedSubmission) -> String {
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

/// Delay before a retry with the same id. Submissions that were rejected unrun, or whose answer
/// is pending, are retried.
fn retry_delay(reply: &EntryReply) -> Option<Duration> {
    let body = reply.json();
    let retryable = matches!(
        body["name"].as_str(),
        Some("OVERLOADED" | "QUOTA_EXCEEDED" | "NO_OWNER" | "STOPPING")
    );
    let suggested = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    match (retryable, suggested) {
        (true, suggested) => Some(suggested.unwrap_or(RETRY_DELAY)),
        (false, suggested) => suggested,
    }
}

fn record_results(record: &mut SubmissionRecord, reply: &EntryReply) {
    let body = reply.json();
    let results: Vec<&Value> = match record.planned.is_job {
        true => body["results"]
            .as_array()
            .map(|all| all.iter().collect())
            .unwrap_or_default(),
        false => vec![&body],
    };
    let is_own = |(index, result): (usize, &&Value)| {
        result["echo"]["nonce"].as_str() == Some(&nonce(&record.id, index))
    };
    record.has_own_results = results.iter().enumerate().all(is_own);
    record.results = results.len();
}
