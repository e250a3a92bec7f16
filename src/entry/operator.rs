//! HTTP calls of operators: configuration, its history, drains, evacuations and tables.

use bytes::Bytes;
use http::{Method, Request};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use slog::info;

use crate::code::ResultCode;
use crate::config_store::{ConfigStore, Edit, Proposal};
use crate::entry::Handle;
use crate::entry::http::{Reply, error_reply, json_reply, read_body};
use crate::entry::parse::refusal;
use crate::error::Error;
use crate::fleet::ConfigRecord;
use crate::id::SubmissionId;

/// Tables whose rows come from the members.
const MEMBER_TABLES: &[&str] = &[
    "requests", "jobs", "tasks", "steps", "targets", "workers", "members", "ranges",
];

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyBody {
    base: u64,
    document: String,
    who: String,
    #[serde(default)]
    note: String,
    change_id: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SwitchBody {
    who: String,
    #[serde(default)]
    note: String,
    change_id: String,
}

/// Answers an operator's call.
pub(crate) async fn route(
    handle: &Handle,
    method: &Method,
    path: &[&str],
    req: Request<Incoming>,
) -> Reply {
    match (method, path) {
        (&Method::GET, ["config"]) => config(handle).await,
        (&Method::PUT, ["config"]) => apply(handle, req).await,
        (&Method::GET, ["history"]) => history(handle).await,
        (&Method::POST, ["targets", name, "drain"]) => drain(handle, name, true, req).await,
        (&Method::POST, ["targets", name, "undrain"]) => drain(handle, name, false, req).await,
        (&Method::POST, ["domains", name, "evacuate"]) => evacuate(handle, name, true, req).await,
        (&Method::POST, ["domains", name, "unevacuate"]) => {
            evacuate(handle, name, false, req).await
        }
        (&Method::GET, ["services"]) => json_reply(200, &services(handle)),
        (&Method::GET, ["tables", name]) => table(handle, name, req.uri().query()).await,
        _ => error_reply(
            None,
            &refusal(ResultCode::NotFound, "path: no such operator call"),
        ),
    }
}

fn config_store(handle: &Handle) -> ConfigStore {
    ConfigStore::new(handle.store.clone(), handle.timer.clone())
}

async fn config(handle: &Handle) -> Reply {
    match config_store(handle).read().await {
        Ok(Some((record, _))) => json_reply(200, &config_json(&record)),
        Ok(None) => json_reply(
            200,
            &json!({ "revision": 0, "document": "", "drained": [], "evacuated": [] }),
        ),
        Err(err) => config_error_reply(&err),
    }
}

fn config_json(record: &ConfigRecord) -> Value {
    json!({
        "revision": record.revision,
        "document": record.document,
        "drained": record.drained,
        "evacuated": record.evacuated,
    })
}

async fn history(handle: &Handle) -> Reply {
    match config_store(handle).read().await {
        Ok(record) => {
            let changes = record.map(|(record, _)| record.changes).unwrap_or_default();
            json_reply(200, &json!(changes))
        }
        Err(err) => config_error_reply(&err),
    }
}

async fn apply(handle: &Handle, req: Request<Incoming>) -> Reply {
    let body: ApplyBody = match read_json(handle, req).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let edit = Edit::Document {
        base: body.base,
        document: body.document,
    };
    let proposal = Proposal {
        edit,
        who: body.who,
        note: body.note,
        change_id: body.change_id,
    };
    propose(handle, proposal).await
}

async fn drain(handle: &Handle, target: &str, drained: bool, req: Request<Incoming>) -> Reply {
    let edit = Edit::Drain {
        target: target.to_string(),
        drained,
    };
    propose_edit(handle, edit, req).await
}

async fn evacuate(handle: &Handle, domain: &str, evacuated: bool, req: Request<Incoming>) -> Reply {
    let edit = Edit::Evacuate {
        domain: domain.to_string(),
        evacuated,
    };
    propose_edit(handle, edit, req).await
}

/// Reads the rest of a change from the body and proposes the edit.
async fn propose_edit(handle: &Handle, edit: Edit, req: Request<Incoming>) -> Reply {
    let body: SwitchBody = match read_json(handle, req).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let proposal = Proposal {
        edit,
        who: body.who,
        note: body.note,
        change_id: body.change_id,
    };
    propose(handle, proposal).await
}

async fn propose(handle: &Handle, proposal: Proposal) -> Reply {
    match config_store(handle).propose(&proposal).await {
        Ok(revision) => {
            info!(handle.log, "configuration accepted"; "revision" => revision,
                "who" => &proposal.who, "change" => &proposal.change_id);
            json_reply(200, &json!({ "revision": revision }))
        }
        Err(err) => config_error_reply(&err),
    }
}

fn config_error_reply(err: &Error) -> Reply {
    let (status, current) = match err {
        Error::Invalid(_) => (400, None),
        Error::Conflict(current) => (409, Some(*current)),
        _ => (503, None),
    };
    json_reply(
        status,
        &json!({ "message": err.to_string(), "current": current }),
    )
}

async fn read_json<T: serde::de::DeserializeOwned>(
    handle: &Handle,
    req: Request<Incoming>,
) -> Result<T, Reply> {
    let body = read_body(handle, req.into_body())
        .await
        .map_err(|answer| error_reply(None, &answer))?;
    serde_json::from_slice(&body).map_err(|err| {
        let text = format!("body: {err}");
        error_reply(None, &refusal(ResultCode::BadRequest, &text))
    })
}

fn services(handle: &Handle) -> Value {
    let config = handle.view().config;
    let row = |service: &crate::config::Service, kind: &crate::config::Kind| {
        json!({
            "service": service.name,
            "kind": kind.name,
            "repeatable": kind.repeatable,
            "priority": kind.priority,
            "deadline_ms": kind.deadline_ms,
            "accelerators": kind.accelerators,
        })
    };
    let kinds = config
        .services
        .iter()
        .flat_map(|service| service.kinds.iter().map(move |kind| row(service, kind)));
    Value::Array(kinds.collect())
}

async fn table(handle: &Handle, name: &str, query: Option<&str>) -> Reply {
    let about = query.and_then(|query| query.strip_prefix("about="));
    let about: Option<SubmissionId> = about.and_then(|id| id.parse().ok());
    match name {
        "services" => json_reply(200, &services(handle)),
        "changes" => history(handle).await,
        name if MEMBER_TABLES.contains(&name) => {
            let rows = handle.rows(name, about).await;
            json_reply(200, &merge_rows(&rows))
        }
        _ => error_reply(
            None,
            &refusal(ResultCode::NotFound, &format!("table: no `{name}`")),
        ),
    }
}

fn merge_rows(parts: &[Bytes]) -> Value {
    let parts = parts
        .iter()
        .filter_map(|part| serde_json::from_slice::<Vec<Value>>(part).ok());
    Value::Array(parts.flatten().collect())
}
