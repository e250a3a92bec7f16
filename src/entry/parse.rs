//! Parses callers' requests into submissions. A refusal names the invalid field.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::code::ResultCode;
use crate::config::{Config, Kind, Service};
use crate::id::SubmissionId;
use crate::message::{Answer, Submission};

/// Header with the submission id.
pub const ID_HEADER: &str = "idempotency-key";
/// Header with the time until the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "winghold-deadline-ms";
/// Header with the kind of request.
pub const KIND_HEADER: &str = "winghold-kind";
/// Header with the team.
pub const TEAM_HEADER: &str = "winghold-team";
/// Header with the priority.
pub const PRIORITY_HEADER: &str = "winghold-priority";
/// Header that declares the first attempt of an id.
pub const ATTEMPT_HEADER: &str = "winghold-attempt";

/// Parsed submission.
#[derive(Debug)]
pub struct Parsed {
    /// The submission.
    pub submission: Submission,
    /// Whether its id cannot have been sent before.
    pub fresh: bool,
}

/// Result of parsing; the error is the answer to the caller.
pub type ParseResult<T> = Result<T, Answer>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    id: Option<String>,
    kind: Option<String>,
    team: Option<String>,
    priority: Option<u8>,
    deadline_ms: Option<u64>,
    tasks: Vec<Box<serde_json::value::RawValue>>,
}

#[derive(Debug, Default)]
struct SubmissionOptions {
    id: Option<String>,
    kind: Option<String>,
    team: Option<String>,
    priority: Option<u8>,
    deadline_ms: Option<u64>,
}

/// Parses a request, whose body is the payload.
pub fn request(
    config: &Config,
    service: &str,
    headers: &HeaderMap,
    body: Bytes,
    wall_ms: u64,
) -> ParseResult<Parsed> {
    check_json("body", &body)?;
    let options = options_from_headers(headers)?;
    build_submission(
        config,
        service,
        headers,
        options,
        vec![body],
        false,
        wall_ms,
    )
}

/// Parses a job, whose body lists the tasks.
pub fn job(
    config: &Config,
    service: &str,
    headers: &HeaderMap,
    body: &[u8],
    wall_ms: u64,
) -> ParseResult<Parsed> {
    let job: JobBody = serde_json::from_slice(body)
        .map_err(|err| refusal(ResultCode::BadRequest, &format!("body: {err}")))?;
    check_task_count(config, job.tasks.len())?;
    let header_options = options_from_headers(headers)?;
    let options = SubmissionOptions {
        id: job.id.or(header_options.id),
        kind: job.kind.or(header_options.kind),
        team: job.team.or(header_options.team),
        priority: job.priority.or(header_options.priority),
        deadline_ms: job.deadline_ms.or(header_options.deadline_ms),
    };
    let payload = |task: &serde_json::value::RawValue| Bytes::from(task.get().to_string());
    let tasks = job.tasks.iter().map(|task| payload(task)).collect();
    build_submission(config, service, headers, options, tasks, true, wall_ms)
}

fn check_json(field: &str, body: &[u8]) -> ParseResult<()> {
    let parsed: Result<&serde_json::value::RawValue, _> = serde_json::from_slice(body);
    parsed
        .map(|_| ())
        .map_err(|err| refusal(ResultCode::BadRequest, &format!("{field}: {err}")))
}

fn check_task_count(config: &Config, count: usize) -> ParseResult<()> {
    if count == 0 {
        return Err(refusal(
            ResultCode::BadRequest,
            "tasks: a job needs at least one",
        ));
    }
    if count > config.limits.job_tasks {
        let text = format!(
            "tasks: {count} are over the limit of {}",
            config.limits.job_tasks
        );
        return Err(refusal(ResultCode::TooLarge, &text));
    }
    Ok(())
}

fn options_from_headers(headers: &HeaderMap) -> ParseResult<SubmissionOptions> {
    Ok(SubmissionOptions {
        id: header_text(headers, ID_HEADER)?.map(str::to_string),
        kind: header_text(headers, KIND_HEADER)?.map(str::to_string),
        team: header_text(headers, TEAM_HEADER)?.map(str::to_string),
        priority: header_number(headers, PRIORITY_HEADER)?,
        deadline_ms: header_number(headers, DEADLINE_HEADER)?,
    })
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> ParseResult<Option<&'h str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| refusal(ResultCode::BadRequest, &format!("{name}: not text")))
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> ParseResult<Option<T>> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let number = text.trim().parse();
    let fault = || {
        refusal(
            ResultCode::BadRequest,
            &format!("{name}: `{text}` is no number"),
        )
    };
    number.map(Some).map_err(|_| fault())
}

fn build_submission(
    config: &Config,
    service: &str,
    headers: &HeaderMap,
    options: SubmissionOptions,
    tasks: Vec<Bytes>,
    is_job: bool,
    wall_ms: u64,
) -> ParseResult<Parsed> {
    let service = find_service(config, service)?;
    let kind = find_kind(service, options.kind.as_deref())?;
    check_team(config, options.team.as_deref())?;
    let (id, is_generated) = parse_or_generate_id(options.id.as_deref(), wall_ms)?;
    let budget_ms = resolve_deadline_ms(config, kind, options.deadline_ms)?;
    let is_first_attempt = headers
        .get(ATTEMPT_HEADER)
        .is_some_and(|value| value == "first");
    let mut submission = Submission {
        id,
        service: Arc::from(service.name.as_str()),
        kind: Arc::from(kind.name.as_str()),
        team: options.team.as_deref().map(Arc::from),
        priority: options.priority.unwrap_or(kind.priority),
        budget_ms,
        is_job,
        digest: 0,
        call: rand::random(),
        tasks,
    };
    submission.digest = digest(&submission);
    let fresh = is_generated || is_first_attempt;
    Ok(Parsed { submission, fresh })
}

fn find_service<'c>(config: &'c Config, name: &str) -> ParseResult<&'c Service> {
    let service = config.service(name);
    service.ok_or_else(|| refusal(ResultCode::NotFound, &format!("service: no `{name}`")))
}

fn find_kind<'s>(service: &'s Service, name: Option<&str>) -> ParseResult<&'s Kind> {
    let kind = service.kind(name);
    let fault = || {
        let name = name.unwrap_or_default();
        refusal(
            ResultCode::NotFound,
            &format!("kind: `{}` has no `{name}`", service.name),
        )
    };
    kind.ok_or_else(fault)
}

fn check_team(config: &Config, team: Option<&str>) -> ParseResult<()> {
    match team {
        Some(team) if config.team(team).is_none() => {
            Err(refusal(ResultCode::NotFound, &format!("team: no `{team}`")))
        }
        _ => Ok(()),
    }
}

fn resolve_deadline_ms(
    config: &Config,
    kind: &Kind,
    requested_ms: Option<u64>,
) -> ParseResult<u64> {
    let max_ms = config.limits.deadline_ms;
    match requested_ms {
        None => Ok(kind.deadline_ms),
        Some(0) => Err(refusal(
            ResultCode::BadRequest,
            "deadline_ms: must be above 0",
        )),
        Some(ms) if ms > max_ms => Err(refusal(
            ResultCode::BadRequest,
            &format!("deadline_ms: over the limit of {max_ms}"),
        )),
        Some(ms) => Ok(ms),
    }
}

/// Parses or generates an id, and returns whether it was generated.
fn parse_or_generate_id(text: Option<&str>, wall_ms: u64) -> ParseResult<(SubmissionId, bool)> {
    match text {
        Some(text) => Ok((parse_id(text)?, false)),
        None => Ok((SubmissionId::random(wall_ms), true)),
    }
}

/// Parses an id.
pub fn parse_id(text: &str) -> ParseResult<SubmissionId> {
    text.parse()
        .map_err(|err: crate::error::Error| refusal(ResultCode::BadId, &err.to_string()))
}

/// Hash of the parts that must be equal when an id is sent again.
fn digest(submission: &Submission) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(submission.service.as_bytes());
    hash.update(submission.kind.as_bytes());
    hash.update(&[u8::from(submission.is_job)]);
    for task in &submission.tasks {
        hash.update(&(task.len() as u64).to_le_bytes());
        hash.update(task);
    }
    hash.digest()
}

/// Answer to a request that the entry rejects.
pub fn refusal(code: ResultCode, text: &str) -> Answer {
    Answer::not_run(code, text)
}
