//! A process's view of the fleet: members, key ranges and configuration.
//!
//! Each of the three has a store revision and is replaced only by a higher one, so updates
//! from a watch and from peers may arrive in any order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::id::{Epoch, MemberId, RangeId};

/// Store key of the configuration.
pub const CONFIG_KEY: &str = "winghold/config";
/// Store key of the table of key ranges.
pub const TABLE_KEY: &str = "winghold/ranges";
/// Prefix of the store keys of member records.
pub const MEMBER_PREFIX: &str = "winghold/members/";
/// Prefix of all store keys of winghold.
pub const PREFIX: &str = "winghold/";

/// A member's record in the store, written under the member's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Process id.
    pub id: MemberId,
    /// Number of leases that the process has held, including this one.
    pub session: u32,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Rack.
    pub rack: String,
    /// Service of the target.
    pub service: String,
    /// Number of tasks that the target runs concurrently.
    pub slots: u32,
    /// Number of accelerators of the target's worker.
    pub accelerators: u32,
    /// Whether the process is leaving the fleet.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether `holder` is this member with its current lease.
    pub fn is_holder(&self, holder: &Holder) -> bool {
        self.id == holder.member && self.session == holder.session
    }

    /// This member with its current lease.
    pub fn holder(&self) -> Holder {
        Holder {
            member: self.id.clone(),
            session: self.session,
        }
    }
}

/// A member during one of its leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The member.
    pub member: MemberId,
    /// Number of the lease.
    pub session: u32,
}

/// How an owner acquired its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acquisition {
    /// The range had no owner before.
    First,
    /// The previous owner handed it over.
    HandedOver,
    /// The same process has a new lease, and no other process owned the range in between.
    Resumed,
    /// The previous owner has left the fleet.
    TakenOver,
}

/// Table row of one key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Owner.
    pub owner: Holder,
    /// Incremented at each change of owner.
    pub epoch: Epoch,
    /// How the owner acquired the range.
    #[serde(rename = "passage")]
    pub acquisition: Acquisition,
    /// Wall-clock time at which a gate other than the owner's last left. Tasks with older ids may
    /// have been started there and can't be recovered.
    pub departure_ms: u64,
    /// Wall-clock time at which the owner acquired the range. The owner's own gate may hold tasks
    /// of the range that a previous owner started.
    #[serde(default)]
    pub since_ms: u64,
}

/// Table of key ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Store revision of the table; 0 if there is none yet.
    #[serde(default)]
    pub revision: u64,
    /// One row for each range.
    pub rows: Vec<Row>,
    /// Gates at which owners may start tasks.
    pub gates: Vec<MemberId>,
}

impl Table {
    /// Row of `range`.
    pub fn row(&self, range: RangeId) -> Option<&Row> {
        self.rows.get(range.0 as usize)
    }

    /// Number of ranges that `member` owns.
    pub fn owned_count(&self, member: &MemberId) -> usize {
        self.rows
            .iter()
            .filter(|row| row.owner.member == *member)
            .count()
    }
}

/// Configuration and its change history, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Revision of the document, from 1.
    pub revision: u64,
    /// YAML document.
    pub document: String,
    /// Names of drained targets.
    #[serde(default)]
    pub drained: Vec<String>,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<String>,
    /// Latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// Maximum number of changes in the history.
pub const MAX_CHANGES: usize = 1_000;

/// Accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Resulting revision.
    pub revision: u64,
    /// Unique id of the change; a client whose answer was lost finds its change by it.
    pub change_id: String,
    /// Author.
    pub who: String,
    /// Time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Author's note.
    pub note: String,
    /// Removed and added lines.
    pub difference: String,
}

/// A process's view of the fleet, as sent to a peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if known.
    pub config: Option<ConfigRecord>,
    /// The table of key ranges, if known.
    pub table: Option<Table>,
    /// Store revision at which the members were read.
    pub members_revision: u64,
    /// Members.
    pub members: Vec<MemberRecord>,
}

/// Which parts of the view an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetChanges {
    /// Whether the configuration changed.
    pub config: bool,
    /// Whether the table changed.
    pub table: bool,
    /// Whether the members changed.
    pub members: bool,
}

/// This process's view of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    config_record: Option<Arc<ConfigRecord>>,
    config: Arc<Config>,
    table: Arc<Table>,
    members_revision: u64,
    members: BTreeMap<MemberId, MemberRecord>,
    /// Gates of the table whose store record has expired; their process may still run.
    expired_gates: BTreeMap<MemberId, MemberRecord>,
}

impl Fleet {
    /// Creates an empty view with an initial configuration.
    pub fn new(config: Config) -> Fleet {
        Fleet {
            config_record: None,
            config: Arc::new(config),
            table: Arc::new(Table::default()),
            members_revision: 0,
            members: BTreeMap::new(),
            expired_gates: BTreeMap::new(),
        }
    }

    /// Current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Revision of the current configuration; 0 if none was received yet.
    pub fn config_revision(&self) -> u64 {
        self.config_record
            .as_ref()
            .map_or(0, |record| record.revision)
    }

    /// Record of the current configuration.
    pub fn config_record(&self) -> Option<&Arc<ConfigRecord>> {
        self.config_record.as_ref()
    }

    /// Table of key ranges.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Members by id.
    pub fn members(&self) -> &BTreeMap<MemberId, MemberRecord> {
        &self.members
    }

    /// Whether a member's target is drained or its failure domain evacuated.
    pub fn is_excluded(&self, record: &MemberRecord) -> bool {
        self.config
            .excludes(&record.id.name, &record.failure_domain)
    }

    /// Applies a configuration if it is valid and newer; returns whether it did.
    pub fn apply_config(&mut self, record: ConfigRecord) -> bool {
        if record.revision <= self.config_revision() {
            return false;
        }
        let Ok(mut config) = Config::from_yaml(&record.document) else {
            return false;
        };
        config.drained = record.drained.clone();
        config.evacuated = record.evacuated.clone();
        self.config = Arc::new(config);
        self.config_record = Some(Arc::new(record));
        true
    }

    /// Applies a table if it is newer; returns whether it did.
    pub fn apply_table(&mut self, table: Table) -> bool {
        if table.revision <= self.table.revision {
            return false;
        }
        let gates = &table.gates;
        self.expired_gates.retain(|id, _| gates.contains(id));
        self.table = Arc::new(table);
        true
    }

    /// Applies the members read at store `revision`; returns whether they changed.
    pub fn apply_members(&mut self, revision: u64, members: Vec<MemberRecord>) -> bool {
        if revision <= self.members_revision {
            return false;
        }
        self.members_revision = revision;
        let by_id = members
            .into_iter()
            .map(|record| (record.id.clone(), record));
        let members: BTreeMap<_, _> = by_id.collect();
        let changed = members != self.members;
        let previous = std::mem::replace(&mut self.members, members);
        let gates = &self.table.gates;
        let expired = previous.into_iter().filter(|(id, _)| gates.contains(id));
        self.expired_gates.extend(expired);
        changed
    }

    /// Record of `member`, including a gate whose store record has expired.
    pub fn member_record(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.members
            .get(member)
            .or_else(|| self.expired_gates.get(member))
    }

    /// Gates at which owners may start tasks of `service`.
    pub fn gates<'f>(&'f self, service: &'f str) -> impl Iterator<Item = &'f MemberRecord> {
        let gates = self.table.gates.iter();
        let records = gates.filter_map(|id| self.member_record(id));
        records.filter(move |record| record.service == service)
    }

    /// Applies the newer parts of a peer's snapshot.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> FleetChanges {
        FleetChanges {
            config: snapshot
                .config
                .is_some_and(|record| self.apply_config(record)),
            table: snapshot.table.is_some_and(|table| self.apply_table(table)),
            members: self.apply_members(snapshot.members_revision, snapshot.members),
        }
    }

    /// Snapshot of this view for a peer.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            config: self.config_record.as_deref().cloned(),
            table: Some((*self.table).clone()),
            members_revision: self.members_revision,
            members: self.members.values().cloned().collect(),
        }
    }
}
