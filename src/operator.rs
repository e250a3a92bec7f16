//! Client for operators' calls, through any entry of a fleet.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use crate::client::{EntryClient, EntryReply};
use crate::code::ResultCode;
use crate::error::{Error, Result};
use crate::query::{Row, Select, Statement};

/// Configuration returned by an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentConfig {
    /// Revision, or 0 if there is no configuration.
    pub revision: u64,
    /// Document text.
    pub document: String,
}

/// Output of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Rows.
    Rows(Vec<Row>),
    /// Single JSON value.
    Value(Value),
}

/// Sends an operator's calls to an entry.
pub struct Operator {
    client: EntryClient,
    who: String,
}

impl Operator {
    /// Creates a client of the entry at `addr` for the operator `who`.
    pub fn new(addr: SocketAddr, who: &str) -> Operator {
        Operator {
            client: EntryClient::new(addr),
            who: who.to_string(),
        }
    }

    /// Executes a statement.
    pub async fn execute(&self, statement: &Statement) -> Result<Output> {
        match statement {
            Statement::Select(select) => self.select(select).await.map(Output::Rows),
            Statement::Why(id) => self.why(id).await.map(Output::Rows),
            Statement::Submit {
                service,
                kind,
                payload,
            } => {
                let reply = self.submit(service, Some(kind), payload).await?;
                Ok(Output::Value(reply))
            }
            Statement::Cancel(id) => self.cancel(id).await.map(Output::Value),
            Statement::Drain(target) => self.drain(target, true, "").await.map(revision_output),
            Statement::Undrain(target) => self.drain(target, false, "").await.map(revision_output),
            Statement::Evacuate(domain) => {
                self.evacuate(domain, true, "").await.map(revision_output)
            }
            Statement::Unevacuate(domain) => {
                self.evacuate(domain, false, "").await.map(revision_output)
            }
        }
    }

    /// Selects rows of a table.
    pub async fn select(&self, select: &Select) -> Result<Vec<Row>> {
        let rows = self.table(&select.table, "").await?;
        Ok(select.apply(rows))
    }

    /// Returns the steps of a submission, oldest first.
    pub async fn why(&self, id: &str) -> Result<Vec<Row>> {
        let rows = self.table("steps", &format!("?about={id}")).await?;
        match rows.is_empty() {
            true => Err(Error::Other(format!("no process has a record of {id}"))),
            false => Ok(rows),
        }
    }

    async fn table(&self, name: &str, query: &str) -> Result<Vec<Row>> {
        let path = format!("/v1/operator/tables/{name}{query}");
        let reply = self.client.call(Method::GET, &path, &[], "").await?;
        let rows = success_body(&reply)?;
        let rows = rows.as_array().cloned().unwrap_or_default();
        let object = |row: Value| match row {
            Value::Object(row) => Some(row),
            _ => None,
        };
        Ok(rows.into_iter().filter_map(object).collect())
    }

    /// Submits a request and waits for its answer.
    pub async fn submit(&self, service: &str, kind: Option<&str>, payload: &str) -> Result<Value> {
        let path = format!("/v1/services/{service}/requests");
        let headers: Vec<(&str, &str)> = kind
            .map(|kind| ("winghold-kind", kind))
            .into_iter()
            .collect();
        let payload = payload.to_string();
        let reply = self
            .client
            .call(Method::POST, &path, &headers, payload)
            .await?;
        success_body(&reply)
    }

    /// Submits a job; with `waits`, waits for its answer.
    pub async fn submit_job(&self, service: &str, body: &str, waits: bool) -> Result<Value> {
        let path = format!("/v1/services/{service}/jobs?wait={waits}");
        let reply = self
            .client
            .call(Method::POST, &path, &[], body.to_string())
            .await?;
        success_body(&reply)
    }

    /// Returns the state of a job.
    pub async fn job(&self, id: &str) -> Result<Value> {
        let reply = self
            .client
            .call(Method::GET, &format!("/v1/jobs/{id}"), &[], "")
            .await?;
        Ok(reply.json())
    }

    /// Cancels a submission.
    pub async fn cancel(&self, id: &str) -> Result<Value> {
        let reply = self
            .client
            .call(Method::DELETE, &format!("/v1/jobs/{id}"), &[], "")
            .await?;
        match reply.json() {
            body if body["name"] == ResultCode::Cancelled.name() => Ok(body),
            _ => success_body(&reply),
        }
    }

    /// Drains a target or ends its drain; returns the new revision.
    pub async fn drain(&self, target: &str, drained: bool, note: &str) -> Result<u64> {
        let verb = if drained { "drain" } else { "undrain" };
        let path = format!("/v1/operator/targets/{target}/{verb}");
        self.post_change(&path, note).await
    }

    /// Evacuates a failure domain or ends its evacuation; returns the new revision.
    pub async fn evacuate(&self, domain: &str, evacuated: bool, note: &str) -> Result<u64> {
        let verb = if evacuated { "evacuate" } else { "unevacuate" };
        let path = format!("/v1/operator/domains/{domain}/{verb}");
        self.post_change(&path, note).await
    }

    async fn post_change(&self, path: &str, note: &str) -> Result<u64> {
        let body = json!({ "who": self.who, "note": note, "change_id": change_id() });
        let reply = self
            .client
            .call(Method::POST, path, &[], body.to_string())
            .await?;
        new_revision(&reply)
    }

    /// Returns the configuration in the store.
    pub async fn config(&self) -> Result<CurrentConfig> {
        let reply = self
            .client
            .call(Method::GET, "/v1/operator/config", &[], "")
            .await?;
        let body = success_body(&reply)?;
        Ok(CurrentConfig {
            revision: body["revision"].as_u64().unwrap_or(0),
            document: body["document"].as_str().unwrap_or_default().to_string(),
        })
    }

    /// Replaces the configuration of revision `base`; returns the new revision.
    pub async fn apply(&self, base: u64, document: &str, note: &str) -> Result<u64> {
        let body = json!({
            "base": base,
            "document": document,
            "who": self.who,
            "note": note,
            "change_id": change_id(),
        });
        let path = "/v1/operator/config";
        let reply = self
            .client
            .call(Method::PUT, path, &[], body.to_string())
            .await?;
        new_revision(&reply)
    }

    /// Returns the history of changes, oldest first.
    pub async fn history(&self) -> Result<Vec<Row>> {
        self.table("changes", "").await
    }
}

fn revision_output(revision: u64) -> Output {
    Output::Value(json!({ "revision": revision }))
}

fn change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns the body of a success, or the refusal as an error.
fn success_body(reply: &EntryReply) -> Result<Value> {
    let body = reply.json();
    if reply.status < 300 {
        return Ok(body);
    }
    let has_name = |code: &&ResultCode| body["name"] == code.name();
    let message = body["message"].as_str().unwrap_or_default().to_string();
    match ResultCode::ALL.iter().find(has_name) {
        Some(code) => {
            let effect = body["effect"].as_str().unwrap_or("unknown");
            Err(Error::Refused(*code, format!("{message} ({effect})")))
        }
        None => Err(Error::Other(message)),
    }
}

fn new_revision(reply: &EntryReply) -> Result<u64> {
    let body = reply.json();
    let message = body["message"].as_str().unwrap_or_default().to_string();
    match reply.status {
        200 => Ok(body["revision"].as_u64().unwrap_or(0)),
        409 => Err(Error::Conflict(body["current"].as_u64().unwrap_or(0))),
        400 => Err(Error::Invalid(vec![message])),
        _ => Err(Error::Unreachable(message)),
    }
}
