//! Exchange of configuration documents between entries. The gate tracks the version of each
//! entry, notifies those that are behind, and relays parts of documents; it stores none.

use super::{Gate, GateAction};
use crate::ephemeral::message::{ConfigPart, ConfigPartRequest, ProcessId, ToEntry};
use crate::ephemeral::session::SessionId;

impl Gate {
    /// Newest version that a connected entry has, or 0.
    pub(super) fn newest_config(&self) -> u64 {
        let versions = self.entries.values().map(|state| state.config);
        versions.max().unwrap_or(0)
    }

    /// Records an entry's version and notifies the entries that have an older one.
    pub(super) fn note_config_version(&mut self, entry: &ProcessId, version: u64) {
        let before = self.newest_config();
        if let Some(state) = self.entries.get_mut(entry) {
            state.config = version;
        }
        if version <= before {
            return;
        }
        let others = self.entries.iter();
        let behind: Vec<ProcessId> = others
            .filter(|(_, state)| state.config < version)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in behind {
            self.send(&entry, ToEntry::ConfigVersion(version));
        }
    }

    /// Forwards a request for part of a document to an entry that has it.
    pub(super) fn request_config_part(&mut self, asker: SessionId, wanted: ConfigPartRequest) {
        let holders = self.entries.values();
        let holders: Vec<SessionId> = holders
            .filter(|state| state.config >= wanted.version)
            .filter_map(|state| state.session)
            .collect();
        if holders.is_empty() {
            return;
        }
        // Other gates choose other holders, so a retry elsewhere reaches another entry.
        let index = self.me.incarnation.wrapping_add(asker.0) % holders.len() as u64;
        let session = holders[index as usize];
        let message = ToEntry::WantConfig { asker, wanted };
        self.actions.push(GateAction::Send { session, message });
    }

    /// Forwards a part of a document to the entry that requested it, if it is still
    /// connected.
    pub(super) fn forward_config_part(&mut self, asker: SessionId, part: ConfigPart) {
        if self.sessions.contains_key(&asker) {
            self.actions.push(GateAction::Send {
                session: asker,
                message: ToEntry::ConfigPart(part),
            });
        }
    }
}
