//! Configurations on their way from one entry to another.
//!
//! A gate knows which version each entry has, tells those that are behind, and
//! carries parts of documents between them; it keeps none.

use super::{Gate, GateAction};
use crate::ephemeral::message::{ConfigPart, ConfigPartRequest, ProcessId, ToEntry};
use crate::ephemeral::session::SessionId;

impl Gate {
    /// The newest version that a connected entry has; 0 if none has any.
    pub(super) fn newest_config(&self) -> u64 {
        let versions = self.owners.values().map(|owner| owner.config);
        versions.max().unwrap_or(0)
    }

    /// An entry has this version: tells those that have an older one.
    pub(super) fn entry_has_config(&mut self, entry: &ProcessId, version: u64) {
        let before = self.newest_config();
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.config = version;
        }
        if version <= before {
            return;
        }
        let others = self.owners.iter();
        let behind: Vec<ProcessId> = others
            .filter(|(_, owner)| owner.config < version)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in behind {
            self.tell(&entry, ToEntry::ConfigVersion(version));
        }
    }

    /// An entry wants part of a document: asks one that has it.
    pub(super) fn want_config(&mut self, asker: SessionId, wanted: ConfigPartRequest) {
        let holders = self.owners.values();
        let holders: Vec<SessionId> = holders
            .filter(|owner| owner.config >= wanted.version)
            .filter_map(|owner| owner.session)
            .collect();
        if holders.is_empty() {
            return;
        }
        // Another gate turns to another holder, should this one not answer.
        let turn = self.me.incarnation.wrapping_add(asker.0) % holders.len() as u64;
        let session = holders[turn as usize];
        let message = ToEntry::WantConfig { asker, wanted };
        self.actions.push(GateAction::Send { session, message });
    }

    /// Passes a part on to the entry that asked for it, if it is still there.
    pub(super) fn pass_config_part(&mut self, asker: SessionId, part: ConfigPart) {
        if self.sessions.contains_key(&asker) {
            self.actions.push(GateAction::Send {
                session: asker,
                message: ToEntry::ConfigPart(part),
            });
        }
    }
}
