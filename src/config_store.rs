//! Changing the configuration in the store.
//!
//! A change is one compare-and-swap of the record that holds both the document
//! and its trail, so no change is without its entry. An answer that is lost is
//! read back by the change's id, not repeated.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::error::{Error, Result};
use crate::fleet::{CONFIG_KEY, Change, ConfigRecord, MAX_CHANGES};
use crate::store::{Expect, Store, StoreEntry, StoreError, StoreReply, StoreRequest};
use crate::time::Timer;

/// Tries before an operator is told that the store does not answer.
const TRIES: u32 = 5;
/// Wait between two tries.
const RETRY: Duration = Duration::from_millis(200);
/// Most characters of a difference that the trail keeps.
const DIFFERENCE_KEPT: usize = 2_000;

/// What a change does.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replaces the document, if it is still at revision `base`.
    Document {
        /// Revision that the operator saw; 0 for none.
        base: u64,
        /// The new document.
        document: String,
    },
    /// Drains a target, or ends its drain; the document stays.
    Drain {
        /// Name of the target.
        target: String,
        /// Whether it is drained from now on.
        drained: bool,
    },
    /// Evacuates a failure domain, or takes it back; the document stays.
    Evacuate {
        /// Name of the domain.
        domain: String,
        /// Whether it is evacuated from now on.
        evacuated: bool,
    },
}

/// A change that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// What it does.
    pub edit: Edit,
    /// Who proposes it.
    pub who: String,
    /// What it is for.
    pub note: String,
    /// Names it; the same id is accepted once.
    pub change_id: String,
}

enum Written {
    Yes(u64),
    Raced,
    Unsure,
}

/// The configuration in the store.
pub struct ConfigStore {
    store: Arc<dyn Store>,
    timer: Timer,
}

impl ConfigStore {
    /// The configuration in `store`.
    pub fn new(store: Arc<dyn Store>, timer: Timer) -> ConfigStore {
        ConfigStore { store, timer }
    }

    /// The record and its revision in the store.
    pub async fn read(&self) -> Result<Option<(ConfigRecord, u64)>> {
        let prefix = CONFIG_KEY.to_string();
        match self.store.call(StoreRequest::Get { prefix }).await? {
            StoreReply::Entries { entries, .. } => Ok(entries.first().and_then(parse)),
            _ => Err(Error::Store(StoreError::Unanswered)),
        }
    }

    /// Makes a change; gives its revision.
    ///
    /// # Errors
    /// [`Error::Conflict`] if somebody else was first, [`Error::Invalid`] if
    /// the document is wrong, [`Error::Store`] if the store does not answer.
    pub async fn propose(&self, proposal: &Proposal) -> Result<u64> {
        let mut failure = Error::Store(StoreError::Unanswered);
        for attempt in 0..TRIES {
            if attempt > 0 {
                self.timer.sleep(RETRY).await;
            }
            match self.try_once(proposal).await {
                Ok(Written::Yes(revision)) => return Ok(revision),
                Ok(Written::Raced | Written::Unsure) => {}
                Err(Error::Store(err)) => failure = Error::Store(err),
                Err(err) => return Err(err),
            }
        }
        Err(failure)
    }

    async fn try_once(&self, proposal: &Proposal) -> Result<Written> {
        let current = self.read().await?;
        let record = current.as_ref().map(|(record, _)| record);
        if let Some(revision) = record.and_then(|record| accepted(record, &proposal.change_id)) {
            return Ok(Written::Yes(revision));
        }
        let next = next_record(record, proposal, self.timer.now().wall_ms)?;
        let expect = match &current {
            Some((_, revision)) => Expect::Revision(*revision),
            None => Expect::Absent,
        };
        self.write(&next, expect).await
    }

    async fn write(&self, record: &ConfigRecord, expect: Expect) -> Result<Written> {
        let value = serde_json::to_vec(record).map_err(|err| Error::Other(err.to_string()))?;
        let request = StoreRequest::Put {
            key: CONFIG_KEY.to_string(),
            value: value.into(),
            expect,
            lease: None,
        };
        match self.store.call(request).await {
            Ok(StoreReply::Written { .. }) => Ok(Written::Yes(record.revision)),
            Ok(StoreReply::Conflict { .. }) => Ok(Written::Raced),
            _ => Ok(Written::Unsure),
        }
    }
}

fn parse(entry: &StoreEntry) -> Option<(ConfigRecord, u64)> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some((record, entry.revision))
}

/// The revision that a change made, if it is in the trail.
fn accepted(record: &ConfigRecord, change_id: &str) -> Option<u64> {
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
            let change = set(&mut next.drained, target, *drained);
            format!("{change}drained: {target}")
        }
        Edit::Evacuate { domain, evacuated } => {
            check_domain(&before, domain)?;
            let change = set(&mut next.evacuated, domain, *evacuated);
            format!("{change}evacuated: {domain}")
        }
    };
    next.changes.push(Change {
        revision: next.revision,
        change_id: proposal.change_id.clone(),
        who: proposal.who.clone(),
        at_ms: wall_ms,
        note: proposal.note.clone(),
        difference: difference.chars().take(DIFFERENCE_KEPT).collect(),
    });
    let surplus = next.changes.len().saturating_sub(MAX_CHANGES);
    next.changes.drain(..surplus);
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

/// Puts a name on a list or takes it off; returns the sign of that for the trail.
fn set(names: &mut Vec<String>, name: &str, listed: bool) -> char {
    names.retain(|other| other != name);
    if !listed {
        return '-';
    }
    names.push(name.to_string());
    '+'
}

/// That the configuration in force knows a failure domain.
fn check_domain(record: &ConfigRecord, domain: &str) -> Result<()> {
    let config = Config::from_yaml(&record.document)?;
    match config.region_of(domain) {
        Some(_) => Ok(()),
        None => Err(Error::Invalid(vec![format!(
            "{domain}: no such failure domain"
        )])),
    }
}

/// Lines that only one of two documents has.
fn difference(before: &str, after: &str) -> String {
    let only = |lines: &str, other: &str, sign: char| -> Vec<String> {
        let other: std::collections::HashSet<&str> = other.lines().collect();
        let alone = lines.lines().filter(|line| !other.contains(line));
        alone.map(|line| format!("{sign}{line}")).collect()
    };
    let mut lines = only(before, after, '-');
    lines.extend(only(after, before, '+'));
    lines.join("\n")
}
