//! Transfer of newer configurations from other entries, by way of gates.
//!
//! Each entry reads the configuration from the store and announces its version to the
//! gates, which pass the version on. An entry with an older version requests the document
//! part by part, and a gate forwards each request to an entry that has it. Only one part is
//! in transit at a time, so a large document does not delay heartbeats and orders. If every entry
//! sent a large document to every gate, slow links would be full for seconds, and sessions would
//! end and send it again when they reopen.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use slog::info;

use super::{DispatchAction, Dispatcher};
use crate::ephemeral::message::{ConfigDocument, ConfigPart, ConfigPartRequest, ToGate};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// How long the store may take to deliver a version that other entries have; longer than
/// the largest document takes on a slow link (1 MB in base64: 0.45 s on 25 Mbit/s).
const STORE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Current configuration, and the newer one that other entries have.
#[derive(Debug, Default)]
pub(super) struct Configs {
    current: Option<ConfigDocument>,
    newer: Option<NewerVersion>,
}

/// Newer version that other entries have.
#[derive(Debug)]
struct NewerVersion {
    version: u64,
    since_us: u64,
    /// Number of requests sent to gates.
    tries: u64,
    fetch: Option<Fetch>,
}

/// Partly received document.
#[derive(Debug)]
struct Fetch {
    version: u64,
    text: BytesMut,
    requested_us: u64,
}

impl Configs {
    /// Current version; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// Records that some entry has this version.
    fn record_version(&mut self, now: Moment, version: u64) {
        if version <= self.version() {
            return;
        }
        let newer = self.newer.get_or_insert(NewerVersion {
            version,
            since_us: now.mono_us,
            tries: 0,
            fetch: None,
        });
        newer.version = newer.version.max(version);
    }

    fn set_current(&mut self, document: ConfigDocument) {
        self.newer = self
            .newer
            .take()
            .filter(|newer| newer.version > document.version);
        self.current = Some(document);
    }
}

impl NewerVersion {
    /// Whether a part should be requested, or requested again from another gate.
    fn is_due(&self, now: Moment, answer_timeout: Duration) -> bool {
        match &self.fetch {
            None => now.mono_us >= self.since_us + micros(STORE_GRACE_PERIOD),
            Some(fetch) => now.mono_us >= fetch.requested_us + micros(answer_timeout),
        }
    }

    /// Returns the request for the next part and notes its time.
    fn next_request(&mut self, now: Moment) -> ConfigPartRequest {
        let version = self.version;
        let fetch = self.fetch.get_or_insert(Fetch {
            version,
            text: BytesMut::new(),
            requested_us: 0,
        });
        fetch.requested_us = now.mono_us;
        ConfigPartRequest {
            version: fetch.version,
            offset: fetch.text.len() as u64,
        }
    }
}

impl Fetch {
    /// Appends a part if it is the next one, and returns whether it was. The first part of
    /// a newer version starts over.
    fn append(&mut self, part: &ConfigPart) -> bool {
        if part.version > self.version && part.offset == 0 {
            self.version = part.version;
            self.text.clear();
        }
        let next = part.version == self.version && part.offset == self.text.len() as u64;
        if next {
            self.text.extend_from_slice(&part.bytes);
        }
        next
    }
}

impl Dispatcher {
    /// Makes a configuration current and announces its version to the gates.
    pub fn apply_config(&mut self, document: ConfigDocument) {
        if document.version <= self.configs.version() {
            return;
        }
        let open = self.gates.values().filter_map(|gate| gate.session);
        let sends = open.map(|session| DispatchAction::Send {
            session,
            message: ToGate::ConfigVersion(document.version),
        });
        self.actions.extend(sends);
        self.configs.set_current(document);
    }

    /// Records the newest version that a gate has announced.
    pub(super) fn record_gate_config(&mut self, now: Moment, name: &Arc<str>, version: u64) {
        if let Some(gate) = self.gates.get_mut(name) {
            gate.config = version;
        }
        self.configs.record_version(now, version);
    }

    /// Requests a newer configuration that the store did not deliver in time.
    pub(super) fn fetch_config(&mut self, now: Moment) {
        let answer_timeout = self.limits.peer_timeout;
        let Some(newer) = &mut self.configs.newer else {
            return;
        };
        if !newer.is_due(now, answer_timeout) {
            return;
        }
        let holders = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.config >= newer.version && !gate.overdue);
        let holders: Vec<(&Arc<str>, SessionId)> = holders
            .filter_map(|(name, gate)| Some((name, gate.session?)))
            .collect();
        if holders.is_empty() {
            return;
        }
        // Each entry starts at a different gate, and each attempt goes to the next one.
        let index = self.process_id.incarnation.wrapping_add(newer.tries) % holders.len() as u64;
        let (name, session) = holders[index as usize];
        newer.tries += 1;
        let wanted = newer.next_request(now);
        info!(self.log, "requested a configuration part"; "version" => wanted.version,
            "offset" => wanted.offset, "gate" => &**name, "tries" => newer.tries,
            "behind_us" => now.mono_us - newer.since_us);
        let message = ToGate::WantConfig(wanted);
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Handles a part of a newer configuration.
    pub(super) fn receive_config_part(
        &mut self,
        now: Moment,
        session: SessionId,
        part: &ConfigPart,
    ) {
        let Some(newer) = &mut self.configs.newer else {
            return;
        };
        let Some(fetch) = &mut newer.fetch else {
            return;
        };
        if !fetch.append(part) {
            return;
        }
        if fetch.text.len() as u64 >= part.total {
            let document = ConfigDocument {
                version: fetch.version,
                text: std::mem::take(&mut fetch.text).freeze(),
            };
            self.configs.newer = None;
            self.actions.push(DispatchAction::ConfigReceived(document));
            return;
        }
        let message = ToGate::WantConfig(newer.next_request(now));
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Answers a request of another entry, forwarded by a gate.
    pub(super) fn send_config_part(
        &mut self,
        session: SessionId,
        asker: SessionId,
        wanted: ConfigPartRequest,
    ) {
        let document = self.configs.current.as_ref();
        let Some(part) = document.and_then(|document| document.part(wanted)) else {
            return;
        };
        let message = ToGate::ConfigPart { asker, part };
        self.actions.push(DispatchAction::Send { session, message });
    }
}
