//! HTTP server of an entry: reads calls, passes them to the loop and writes the answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde_json::json;
use slog::{debug, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::code::{Effect, ResultCode};
use crate::entry::parse::{self, ID_HEADER, ParseResult, Parsed, refusal};
use crate::entry::{Handle, operator};
use crate::error::Result;
use crate::id::SubmissionId;
use crate::message::{Answer, Operation, Submission};
use crate::supervisor::StopSignal;

/// Answer header with the id of the submission.
const ANSWER_ID_HEADER: &str = "winghold-id";
/// Answer header with the number of the result code.
const ANSWER_CODE_HEADER: &str = "winghold-code";
/// Answer header that says whether the submission ran.
const ANSWER_EFFECT_HEADER: &str = "winghold-effect";
/// Minimum buffer size that hyper accepts.
const MIN_HEADER_BUF_BYTES: usize = 8 << 10;
/// Maximum wait for open connections when the entry stops.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Reply to a connection above the limit.
const CONNECTION_LIMIT_REPLY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
retry-after: 1\r\nconnection: close\r\n\r\n";

pub(crate) type Reply = Response<Full<Bytes>>;

/// Serves until `stop`, then closes connections as they become idle.
pub(crate) async fn serve(listener: TcpListener, handle: Handle, stop: StopSignal) -> Result<()> {
    let graceful = GracefulShutdown::new();
    let connections = handle.view().config.limits.connections;
    let permits = Arc::new(Semaphore::new(connections));
    let stop_requested = stop.requested();
    tokio::pin!(stop_requested);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop_requested => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(handle.log, "cannot accept a connection"; "error" => %err);
                handle.timer.sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        match permits.clone().try_acquire_owned() {
            Ok(permit) => {
                let connection = serve_connection(stream, &handle, &graceful);
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) => {
                tokio::spawn(reject_connection(stream));
            }
        }
    }
    drop(listener);
    handle
        .timer
        .timeout(CONNECTION_CLOSE_TIMEOUT, graceful.shutdown())
        .await;
    Ok(())
}

async fn reject_connection(mut stream: TcpStream) {
    let _ = stream.write_all(CONNECTION_LIMIT_REPLY).await;
    let _ = stream.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    handle: &Handle,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    let _ = stream.set_nodelay(true);
    let limits = handle.view().config.limits.clone();
    let log = handle.log.clone();
    let handle = handle.clone();
    let service = service_fn(move |req| {
        let handle = handle.clone();
        async move { Ok::<_, Infallible>(answer(&handle, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_ms))
        .max_headers(limits.headers)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUF_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        if let Err(err) = connection.await {
            debug!(log, "connection failed"; "error" => %err);
        }
    }
}

async fn answer(handle: &Handle, req: Request<Incoming>) -> Reply {
    let stopping = handle.view().stopping;
    let mut reply = route(handle, req).await;
    if stopping {
        reply
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn route(handle: &Handle, req: Request<Incoming>) -> Reply {
    let path = req.uri().path().to_string();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = req.method().clone();
    match (&method, parts.as_slice()) {
        (&Method::POST, ["v1", "services", service, "requests"]) => {
            submit(handle, service, req, false).await
        }
        (&Method::POST, ["v1", "services", service, "jobs"]) => {
            submit(handle, service, req, true).await
        }
        (&Method::GET, ["v1", "jobs", id]) => call_by_id(handle, Operation::Lookup, id).await,
        (&Method::DELETE, ["v1", "jobs" | "requests", id]) => {
            call_by_id(handle, Operation::Cancel, id).await
        }
        (&Method::GET, ["v1", "ready"]) => ready(handle),
        (_, ["v1", "operator", rest @ ..]) => operator::route(handle, &method, rest, req).await,
        _ => error_reply(
            None,
            &refusal(ResultCode::NotFound, &format!("path: no `{path}`")),
        ),
    }
}

/// Answers the readiness check of the load balancer.
fn ready(handle: &Handle) -> Reply {
    let view = handle.view();
    let ready = !view.stopping && view.revision > 0 && view.has_owners;
    let status = if ready { 200 } else { 503 };
    let body = json!({ "ready": ready, "config": view.revision });
    json_reply(status, &body)
}

async fn submit(handle: &Handle, service: &str, req: Request<Incoming>, is_job: bool) -> Reply {
    let waits = req
        .uri()
        .query()
        .is_none_or(|query| !query.contains("wait=false"));
    let submission_id = req.headers().get(ID_HEADER).and_then(|id| id.to_str().ok());
    let submission_id = submission_id.and_then(|id| id.parse().ok());
    match read_submission(handle, service, req, is_job).await {
        Err(answer) => error_reply(submission_id, &answer),
        Ok(parsed) if waits => submit_and_wait(handle, parsed).await,
        Ok(parsed) => submit_without_waiting(handle, parsed).await,
    }
}

async fn read_submission(
    handle: &Handle,
    service: &str,
    req: Request<Incoming>,
    is_job: bool,
) -> ParseResult<Parsed> {
    let (head, body) = req.into_parts();
    let config = handle.view().config;
    let body = read_body(handle, body).await?;
    let wall_ms = handle.timer.now().wall_ms;
    match is_job {
        true => parse::job(&config, service, &head.headers, &body, wall_ms),
        false => parse::request(&config, service, &head.headers, body, wall_ms),
    }
}

/// Reads a body within the size and time limits.
pub(crate) async fn read_body(handle: &Handle, body: Incoming) -> ParseResult<Bytes> {
    let limits = handle.view().config.limits.clone();
    let max_bytes = limits.body_bytes;
    let too_large = || {
        let text = format!("body: over the limit of {max_bytes} bytes");
        refusal(ResultCode::TooLarge, &text)
    };
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let reading = Limited::new(body, max_bytes).collect();
    let limit = Duration::from_millis(limits.body_ms);
    match handle.timer.timeout(limit, reading).await {
        None => Err(refusal(ResultCode::SlowCaller, "body: sent too slowly")),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Some(Err(_)) => Err(refusal(ResultCode::BadRequest, "body: not all of it came")),
    }
}

async fn submit_and_wait(handle: &Handle, parsed: Parsed) -> Reply {
    let Parsed { submission, fresh } = parsed;
    let (id, is_job) = (submission.id, submission.is_job);
    let answer = handle.call(Operation::Submit, submission, fresh).await;
    reply(id, is_job, &answer.unwrap_or_else(entry_stopped))
}

/// Submits without waiting for the result; answers once the owner confirms the submission.
async fn submit_without_waiting(handle: &Handle, parsed: Parsed) -> Reply {
    let Parsed { submission, fresh } = parsed;
    let id = submission.id;
    let lookup = Submission {
        tasks: Vec::new(),
        ..submission.clone()
    };
    handle.send(Operation::Submit, submission, fresh);
    let answer = handle.call(Operation::Lookup, lookup, false).await;
    reply(id, true, &answer.unwrap_or_else(entry_stopped))
}

async fn call_by_id(handle: &Handle, operation: Operation, id: &str) -> Reply {
    let id = match parse::parse_id(id) {
        Ok(id) => id,
        Err(answer) => return error_reply(None, &answer),
    };
    let submission = Submission::id_only(id, handle.view().config.limits.deadline_ms.min(10_000));
    let answer = handle.call(operation, submission, false).await;
    reply(id, true, &answer.unwrap_or_else(entry_stopped))
}

fn entry_stopped() -> Answer {
    Answer::failure(ResultCode::Stopping, Effect::Unknown, "the entry stopped")
}

fn reply(id: SubmissionId, is_job: bool, answer: &Answer) -> Reply {
    match (answer.code, is_job, answer.results.first()) {
        (ResultCode::Complete, false, Some(body)) => {
            with_answer_headers(id, answer, Response::new(Full::new(body.clone())))
        }
        (ResultCode::Complete, true, _) => with_answer_headers(id, answer, job_reply(id, answer)),
        _ => error_reply(Some(id), answer),
    }
}

/// Answer of a finished job; results that are JSON are embedded unchanged.
fn job_reply(id: SubmissionId, answer: &Answer) -> Reply {
    let mut body = format!(
        "{{\"id\":\"{id}\",\"code\":{},\"name\":\"{}\",\"effect\":\"ran\",\"results\":[",
        answer.code.number(),
        answer.code.name(),
    );
    for (index, result) in answer.results.iter().enumerate() {
        if index > 0 {
            body.push(',');
        }
        body.push_str(&as_json(result));
    }
    body.push_str("]}\n");
    Response::new(Full::new(Bytes::from(body)))
}

fn as_json(result: &Bytes) -> String {
    let text = String::from_utf8_lossy(result);
    match serde_json::from_str::<&serde_json::value::RawValue>(&text) {
        Ok(raw) => raw.get().to_string(),
        Err(_) => json!(text).to_string(),
    }
}

fn with_answer_headers(id: SubmissionId, answer: &Answer, mut reply: Reply) -> Reply {
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(ANSWER_CODE_HEADER, HeaderValue::from(answer.code.number()));
    headers.insert(
        ANSWER_EFFECT_HEADER,
        HeaderValue::from_static(effect_name(answer.effect)),
    );
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(ANSWER_ID_HEADER, id);
    }
    reply
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::NotRun => "not_run",
        Effect::Ran => "ran",
        Effect::Unknown => "unknown",
    }
}

/// Reply for a failure or refusal.
pub(crate) fn error_reply(id: Option<SubmissionId>, answer: &Answer) -> Reply {
    let body = json!({
        "id": id.map(|id| id.to_string()),
        "code": answer.code.number(),
        "name": answer.code.name(),
        "effect": effect_name(answer.effect),
        "message": answer.message,
        "retry_after_ms": answer.retry_after_ms,
    });
    let mut reply = json_reply(answer.code.status(), &body);
    if let Some(ms) = answer.retry_after_ms {
        let seconds = HeaderValue::from(ms.div_ceil(1_000));
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// Reply with a JSON body.
pub(crate) fn json_reply(status: u16, body: &serde_json::Value) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
