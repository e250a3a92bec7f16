//! What operators do with a fleet, through any of its entries.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use crate::client::{EntryClient, EntryReply};
use crate::code::ResultCode;
use crate::error::{Error, Result};
use crate::query::{Row, Select, Statement};

/// A configuration as an entry gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentConfig {
    /// Its revision; 0 if there is none.
    pub revision: u64,
    /// The document.
    pub document: String,
}

/// What a statement gives.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Rows.
    Rows(Vec<Row>),
    /// One JSON value.
    Value(Value),
}

/// An operator at an entry.
pub struct Operator {
    client: EntryClient,
    who: String,
}

impl Operator {
    /// The operator `who` at the entry at `addr`.
    pub fn new(addr: SocketAddr, who: &str) -> Operator {
        Operator {
            client: EntryClient::new(addr),
            who: who.to_string(),
        }
    }

    /// Carries out a statement.
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
            Statement::Drain(target) => self.drain(target, true, "").await.map(revision),
            Statement::Undrain(target) => self.drain(target, false, "").await.map(revision),
            Statement::Evacuate(domain) => self.evacuate(domain, true, "").await.map(revision),
            Statement::Unevacuate(domain) => self.evacuate(domain, false, "").await.map(revision),
        }
    }

    /// Rows of a table.
    pub async fn select(&self, select: &Select) -> Result<Vec<Row>> {
        let rows = self.table(&select.table, "").await?;
        Ok(select.apply(rows))
    }

    /// Steps of a submission, oldest first.
    pub async fn why(&self, id: &str) -> Result<Vec<Row>> {
        let rows = self.table("steps", &format!("?about={id}")).await?;
        match rows.is_empty() {
            true => Err(Error::Other(format!("no process knows {id}"))),
            false => Ok(rows),
        }
    }

    async fn table(&self, name: &str, query: &str) -> Result<Vec<Row>> {
        let path = format!("/v1/operator/tables/{name}{query}");
        let reply = self.client.call(Method::GET, &path, &[], "").await?;
        let rows = accepted(&reply)?;
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
        accepted(&reply)
    }

    /// Submits a job.
    pub async fn submit_job(&self, service: &str, body: &str, waits: bool) -> Result<Value> {
        let path = format!("/v1/services/{service}/jobs?wait={waits}");
        let reply = self
            .client
            .call(Method::POST, &path, &[], body.to_string())
            .await?;
        accepted(&reply)
    }

    /// How a job is.
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
            _ => accepted(&reply),
        }
    }

    /// Drains a target, or ends its drain; gives the new revision.
    pub async fn drain(&self, target: &str, drained: bool, note: &str) -> Result<u64> {
        let verb = if drained { "drain" } else { "undrain" };
        let path = format!("/v1/operator/targets/{target}/{verb}");
        self.switch(&path, note).await
    }

    /// Evacuates a failure domain, or takes it back; gives the new revision.
    pub async fn evacuate(&self, domain: &str, evacuated: bool, note: &str) -> Result<u64> {
        let verb = if evacuated { "evacuate" } else { "unevacuate" };
        let path = format!("/v1/operator/domains/{domain}/{verb}");
        self.switch(&path, note).await
    }

    async fn switch(&self, path: &str, note: &str) -> Result<u64> {
        let body = json!({ "who": self.who, "note": note, "change_id": change_id() });
        let reply = self
            .client
            .call(Method::POST, path, &[], body.to_string())
            .await?;
        changed(&reply)
    }

    /// The configuration in the store.
    pub async fn config(&self) -> Result<CurrentConfig> {
        let reply = self
            .client
            .call(Method::GET, "/v1/operator/config", &[], "")
            .await?;
        let body = accepted(&reply)?;
        Ok(CurrentConfig {
            revision: body["revision"].as_u64().unwrap_or(0),
            document: body["document"].as_str().unwrap_or_default().to_string(),
        })
    }

    /// Replaces the configuration at revision `base`; gives the new revision.
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
        changed(&reply)
    }

    /// The trail of changes, oldest first.
    pub async fn history(&self) -> Result<Vec<Row>> {
        self.table("changes", "").await
    }
}

fn revision(revision: u64) -> Output {
    Output::Value(json!({ "revision": revision }))
}

fn change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// The body of a success; a refusal becomes an error.
fn accepted(reply: &EntryReply) -> Result<Value> {
    let body = reply.json();
    if reply.status < 300 {
        return Ok(body);
    }
    let named = |code: &&ResultCode| body["name"] == code.name();
    let message = body["message"].as_str().unwrap_or_default().to_string();
    match ResultCode::ALL.iter().find(named) {
        Some(code) => {
            let effect = body["effect"].as_str().unwrap_or("unknown");
            Err(Error::Refused(*code, format!("{message} ({effect})")))
        }
        None => Err(Error::Other(message)),
    }
}

fn changed(reply: &EntryReply) -> Result<u64> {
    let body = reply.json();
    let message = body["message"].as_str().unwrap_or_default().to_string();
    match reply.status {
        200 => Ok(body["revision"].as_u64().unwrap_or(0)),
        409 => Err(Error::Conflict(body["current"].as_u64().unwrap_or(0))),
        400 => Err(Error::Invalid(vec![message])),
        _ => Err(Error::Unreachable(message)),
    }
}
