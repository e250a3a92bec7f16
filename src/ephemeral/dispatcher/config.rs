//! Configurations that other entries have and this one could not read.
//!
//! Each entry reads the configuration in the store and tells gates its version. A
//! gate passes the version on, nothing else; an entry that stays behind asks for the
//! document, part by part, and a gate asks an entry that has it. One part at a time
//! is under way, so a document of any size holds up the heartbeats and orders on the
//! same connections by one part at most. Where every entry sent a document of 2,800
//! routes to every gate, links of 25 Mbit/s were full for seconds, sessions ended and
//! began with it again, and next to no job was served (a deployment of 82 machines).

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use slog::info;

use super::{DispatchAction, Dispatcher};
use crate::ephemeral::message::{ConfigDocument, ConfigPart, ConfigPartRequest, ToGate};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// How long an entry leaves it to the store to give it a version that others have:
/// the largest document (1 MB, in base64) takes 0.45 s on 25 Mbit/s.
const STORE_FIRST: Duration = Duration::from_secs(1);

/// The configuration in force here, and the newer one that others have.
#[derive(Debug, Default)]
pub(super) struct Configs {
    current: Option<ConfigDocument>,
    behind: Option<Behind>,
}

/// A version that others have.
#[derive(Debug)]
struct Behind {
    version: u64,
    since_us: u64,
    /// Gates that were asked so far.
    tries: u64,
    fetch: Option<Fetch>,
}

/// A document that comes part by part.
#[derive(Debug)]
struct Fetch {
    version: u64,
    text: BytesMut,
    asked_us: u64,
}

impl Configs {
    /// The version in force; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// A gate says that some entry has this version.
    fn heard_of(&mut self, now: Moment, version: u64) {
        if version <= self.version() {
            return;
        }
        let behind = self.behind.get_or_insert(Behind {
            version,
            since_us: now.mono_us,
            tries: 0,
            fetch: None,
        });
        behind.version = behind.version.max(version);
    }

    fn put_in_force(&mut self, document: ConfigDocument) {
        self.behind = self
            .behind
            .take()
            .filter(|behind| behind.version > document.version);
        self.current = Some(document);
    }
}

impl Behind {
    /// Whether a part should be asked for, or be asked for anew elsewhere.
    fn is_due(&self, now: Moment, silence: Duration) -> bool {
        match &self.fetch {
            None => now.mono_us >= self.since_us + micros(STORE_FIRST),
            Some(fetch) => now.mono_us >= fetch.asked_us + micros(silence),
        }
    }

    /// What to ask for next.
    fn wanted(&mut self, now: Moment) -> ConfigPartRequest {
        let version = self.version;
        let fetch = self.fetch.get_or_insert(Fetch {
            version,
            text: BytesMut::new(),
            asked_us: 0,
        });
        fetch.asked_us = now.mono_us;
        ConfigPartRequest {
            version: fetch.version,
            offset: fetch.text.len() as u64,
        }
    }
}

impl Fetch {
    /// Takes a part if it is the next one; whoever has a newer version than the one
    /// asked for begins with that.
    fn take(&mut self, part: &ConfigPart) -> bool {
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
    /// This configuration is in force here; tells gates its version.
    pub fn config_in_force(&mut self, document: ConfigDocument) {
        if document.version <= self.configs.version() {
            return;
        }
        let open = self.gates.values().filter_map(|gate| gate.session);
        let sends = open.map(|session| DispatchAction::Send {
            session,
            message: ToGate::ConfigVersion(document.version),
        });
        self.actions.extend(sends);
        self.configs.put_in_force(document);
    }

    /// A gate tells the newest version that it knows an entry to have.
    pub(super) fn gate_knows_config(&mut self, now: Moment, name: &Arc<str>, version: u64) {
        if let Some(gate) = self.gates.get_mut(name) {
            gate.config = version;
        }
        self.configs.heard_of(now, version);
    }

    /// Asks for what the store did not give in time.
    pub(super) fn fetch_config(&mut self, now: Moment) {
        let silence = self.limits.peer_timeout;
        let Some(behind) = &mut self.configs.behind else {
            return;
        };
        if !behind.is_due(now, silence) {
            return;
        }
        let knowing = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.config >= behind.version && !gate.quiet);
        let knowing: Vec<(&Arc<str>, SessionId)> = knowing
            .filter_map(|(name, gate)| Some((name, gate.session?)))
            .collect();
        if knowing.is_empty() {
            return;
        }
        // Entries begin at different gates, and each try goes to another one.
        let turn = self.me.incarnation.wrapping_add(behind.tries) % knowing.len() as u64;
        let (name, session) = knowing[turn as usize];
        behind.tries += 1;
        let wanted = behind.wanted(now);
        info!(self.log, "configuration asked for"; "version" => wanted.version,
            "offset" => wanted.offset, "gate" => &**name, "tries" => behind.tries,
            "behind_us" => now.mono_us - behind.since_us);
        let message = ToGate::WantConfig(wanted);
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// Part of a newer configuration came from a gate.
    pub(super) fn config_part(&mut self, now: Moment, session: SessionId, part: &ConfigPart) {
        let Some(behind) = &mut self.configs.behind else {
            return;
        };
        let Some(fetch) = &mut behind.fetch else {
            return;
        };
        if !fetch.take(part) {
            return;
        }
        if fetch.text.len() as u64 >= part.total {
            let document = ConfigDocument {
                version: fetch.version,
                text: std::mem::take(&mut fetch.text).freeze(),
            };
            self.configs.behind = None;
            self.actions.push(DispatchAction::Learned(document));
            return;
        }
        let message = ToGate::WantConfig(behind.wanted(now));
        self.actions.push(DispatchAction::Send { session, message });
    }

    /// A gate asks on behalf of another entry.
    pub(super) fn give_config_part(
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
