//! Changes the configuration in the store.
//!
//! The document and its history are one record, and a change is a compare-and-swap of it,
//! so every change has a history entry. If a response is lost, the record is read again and
//! searched for the change's id before the write is repeated.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::error::{Error, Result};
use crate::fleet::{CONFIG_KEY, Change, ConfigRecord, MAX_CHANGES};
use crate::store::{Expect, Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::Timer;

/// Maximum number of attempts per change.
const MAX_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of characters of a difference in the history.
const MAX_DIFFERENCE_CHARS: usize = 2_000;

/// Content of a change.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replaces the document if it is at revision `base`.
    Document {
        /// Revision that the operator edited; 0 if there was no document.
        base: u64,
        /// The new document.
        document: String,
    },
    /// Drains a target, or ends its drain; does not change the document.
    Drain {
        /// Name of the target.
        target: String,
        /// Whether the target is drained.
        drained: bool,
    },
    /// Evacuates a failure domain, or ends its evacuation; does not change the document.
    Evacuate {
        /// Name of the domain.
        domain: String,
        /// Whether the domain is evacuated.
        evacuated: bool,
    },
}

/// Change requested by an operator.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Content of the change.
    pub edit: Edit,
    /// Name of the operator.
    pub who: String,
    /// Reason for the change.
    pub note: String,
    /// Idempotency key of the change.
    pub change_id: String,
}

enum WriteOutcome {
    Written(u64),
    Conflict,
    Unknown,
}

/// Access to the configuration in the store.
pub struct ConfigStore {
    store: Arc<dyn Store>,
    timer: Timer,
}

impl ConfigStore {
    /// Creates access to the configuration in `store`.
    pub fn new(store: Arc<dyn Store>, timer: Timer) -> ConfigStore {
        ConfigStore { store, timer }
    }

    /// Reads the record and its store revision.
    pub async fn read(&self) -> Result<Option<(ConfigRecord, u64)>> {
        let prefix = CONFIG_KEY.to_string();
        match self.store.call(StoreRequest::Get { prefix }).await? {
            StoreReply::Entries { entries, .. } => Ok(entries.first().and_then(parse)),
            _ => Err(Error::Store(StoreError::Unanswered)),
        }
    }

    /// Applies a change and returns its revision.
    ///
    /// # Errors
    /// [`Error::Conflict`] if another change was applied first, [`Error::Invalid`] if the
    /// document is invalid, [`Error::Store`] if the store does not answer.
    pub async fn propose(&self, proposal: &Proposal) -> Result<u64> {
        let mut failure = Error::Store(StoreError::Unanswered);
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                self.timer.sleep(RETRY_DELAY).await;
            }
            match self.attempt_change(proposal).await {
                Ok(WriteOutcome::Written(revision)) => return Ok(revision),
                Ok(WriteOutcome::Conflict | WriteOutcome::Unknown) => {}
                Err(Error::Store(err)) => failure = Error::Store(err),
                Err(err) => return Err(err),
            }
        }
        Err(failure)
    }

    async fn attempt_change(&self, proposal: &Proposal) -> Result<WriteOutcome> {
        let current = self.read().await?;
        let record = current.as_ref().map(|(record, _)| record);
        if let Some(revision) =
            record.and_then(|record| revision_of_change(record, &proposal.change_id))
        {
            return Ok(WriteOutcome::Written(revision));
        }
        let next = next_record(record, proposal, self.timer.now().wall_ms)?;
        let expect = match &current {
            Some((_, revision)) => Expect::Revision(*revision),
            None => Expect::Absent,
        };
        self.write(&next, expect).await
    }

    async fn write(&self, record: &ConfigRecord, expect: Expect) -> Result<WriteOutcome> {
        let value = serde_json::to_vec(record).map_err(|err| Error::Other(err.to_string()))?;
        let request = StoreRequest::Put {
            key: CONFIG_KEY.to_string(),
            value: value.into(),
            expect,
            lease: None,
        };
        match self.store.call(request).await {
            Ok(StoreReply::Written { .. }) => Ok(WriteOutcome::Written(record.revision)),
            Ok(StoreReply::Conflict { .. }) => Ok(WriteOutcome::Conflict),
            _ => Ok(WriteOutcome::Unknown),
        }
    }
}

fn parse(entry: &StoreEntry) -> Option<(ConfigRecord, u64)> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some((record, entry.revision))
}

/// Revision of a change, if the history contains it.
fn revision_of_change(record: &ConfigRecord, change_id: &str) -> Option<u64> {
    let change = record
        .changes
        .iter()
        .rev()
        .find(|change| change.change_id == change_id);
    change.map(|change| change.revision)
}

fn next_record(
    current: Option<&ConfigRecord>,
    proposal: &Proposal,
    wall_ms: u64,
) -> Result<ConfigRecord> {
    let before = current.cloned().unwrap_or_else(|| ConfigRecord {
        revision: 0,
        document: String::new(),
        drained: Vec::new(),
        evacuated: Vec::new(),
        changes: Vec::new(),
    });
    let mut next = before.clone();
    next.revision += 1;
    let difference = match &proposal.edit {
        Edit::Document { base, document } => replace_document(&before, &mut next, *base, document)?,
        Edit::Drain { target, drained } => {
            let change = set_listed(&mut next.drained, target, *drained);
            format!("{change}drained: {target}")
        }
        Edit::Evacuate { domain, evacuated } => {
            check_domain(&before, domain)?;
            let change = set_listed(&mut next.evacuated, domain, *evacuated);
            format!("{change}evacuated: {domain}")
        }
    };
    next.changes.push(Change {
        revision: next.revision,
        change_id: proposal.change_id.clone(),
        who: proposal.who.clone(),
        at_ms: wall_ms,
        note: proposal.note.clone(),
        difference: difference.chars().take(MAX_DIFFERENCE_CHARS).collect(),
    });
    let excess = next.changes.len().saturating_sub(MAX_CHANGES);
    next.changes.drain(..excess);
    Ok(next)
}

fn replace_document(
    before: &ConfigRecord,
    next: &mut ConfigRecord,
    base: u64,
    document: &str,
) -> Result<String> {
    if base != before.revision {
        return Err(Error::Conflict(before.revision));
    }
    let config = Config::from_yaml(document)?;
    let old = Config::from_yaml(&before.document).ok();
    if old.is_some_and(|old| old.ownership.ranges != config.ownership.ranges) {
        let text = "ownership.ranges: fixed for the life of a fleet".to_string();
        return Err(Error::Invalid(vec![text]));
    }
    next.document = document.to_string();
    if before.document.is_empty() {
        return Ok(format!(
            "first document, {} lines",
            document.lines().count()
        ));
    }
    Ok(difference(&before.document, document))
}

/// Adds or removes a name; returns the sign of the change for the history.
fn set_listed(names: &mut Vec<String>, name: &str, listed: bool) -> char {
    names.retain(|other| other != name);
    if !listed {
        return '-';
    }
    names.push(name.to_string());
    '+'
}

/// Fails if the current document has no such failure domain.
fn check_domain(record: &ConfigRecord, domain: &str) -> Result<()> {
    let config = Config::from_yaml(&record.document)?;
    match config.region_of(domain) {
        Some(_) => Ok(()),
        None => Err(Error::Invalid(vec![format!(
            "{domain}: no such failure domain"
        )])),
    }
}

/// Lines that occur in only one of two documents.
fn difference(before: &str, after: &str) -> String {
    let lines_missing_from = |lines: &str, other: &str, sign: char| -> Vec<String> {
        let other: std::collections::HashSet<&str> = other.lines().collect();
        let unmatched = lines.lines().filter(|line| !other.contains(line));
        unmatched.map(|line| format!("{sign}{line}")).collect()
    };
    let mut lines = lines_missing_from(before, after, '-');
    lines.extend(lines_missing_from(after, before, '+'));
    lines.join("\n")
}
