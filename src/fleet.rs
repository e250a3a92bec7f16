//! What every process knows of the fleet: members, key ranges, configuration.
//!
//! Each of the three has a revision from the store and is only ever replaced
//! by a higher one, so it does not matter whether news comes from a watch or
//! from a peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::id::{Epoch, MemberId, RangeId};

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "winghold/config";
/// Key of the table of key ranges in the store.
pub const TABLE_KEY: &str = "winghold/ranges";
/// Prefix of the members' records in the store.
pub const MEMBER_PREFIX: &str = "winghold/members/";
/// Prefix of everything that winghold keeps in the store.
pub const PREFIX: &str = "winghold/";

/// What a gate says about itself; lives in the store under its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub id: MemberId,
    /// Count of the leases that this process has held.
    pub session: u32,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Rack.
    pub rack: String,
    /// Service of its target.
    pub service: String,
    /// Tasks that its target runs at once.
    pub slots: u32,
    /// Accelerators of its target's worker.
    pub accelerators: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether it holds the lease that `holder` names.
    pub fn holds(&self, holder: &Holder) -> bool {
        self.id == holder.member && self.session == holder.session
    }

    /// The holder that this record stands for.
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
    /// Its lease.
    pub session: u32,
}

/// How a range came to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Passage {
    /// It never had an owner.
    First,
    /// The owner before handed it over.
    HandedOver,
    /// The same process got a new lease, and nobody held it in between.
    Resumed,
    /// The owner before is gone.
    TakenOver,
}

/// One key range in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who owns it.
    pub owner: Holder,
    /// Raised with every change of owner.
    pub epoch: Epoch,
    /// How it came to its owner.
    pub passage: Passage,
    /// Wall clock by which a gate other than the owner's was lost or left;
    /// what older ids started there cannot be recovered.
    pub departure_ms: u64,
    /// Wall clock by which its owner got it; the owner's gate may hold tasks
    /// that an owner before started there.
    #[serde(default)]
    pub since_ms: u64,
}

/// The table of key ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Revision of the store at which it was written; 0 before the first.
    #[serde(default)]
    pub revision: u64,
    /// One row for each range.
    pub rows: Vec<Row>,
    /// Gates on which owners may start tasks.
    pub gates: Vec<MemberId>,
}

impl Table {
    /// The row of `range`.
    pub fn row(&self, range: RangeId) -> Option<&Row> {
        self.rows.get(range.0 as usize)
    }

    /// Number of rows that `member` owns.
    pub fn owned_by(&self, member: &MemberId) -> usize {
        self.rows
            .iter()
            .filter(|row| row.owner.member == *member)
            .count()
    }
}

/// The configuration with its trail of changes, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Revision of the document; 1 is the first.
    pub revision: u64,
    /// The YAML document.
    pub document: String,
    /// Names of targets that operators drain.
    #[serde(default)]
    pub drained: Vec<String>,
    /// Failure domains that operators have evacuated.
    #[serde(default)]
    pub evacuated: Vec<String>,
    /// The latest changes, oldest first.
    pub changes: Vec<Change>,
}

/// Most changes that are kept with the configuration.
pub const CHANGES_KEPT: usize = 1_000;

/// One accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: u64,
    /// Names the change, so that a lost answer can be read back.
    pub change_id: String,
    /// Who made it.
    pub who: String,
    /// Wall clock in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it was for.
    pub note: String,
    /// Lines taken out and put in.
    pub difference: String,
}

/// Everything that a process knows of the fleet, as sent to a peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if known.
    pub config: Option<ConfigRecord>,
    /// The table of key ranges, if known.
    pub table: Option<Table>,
    /// Revision of the store at which the members were read.
    pub members_revision: u64,
    /// The members.
    pub members: Vec<MemberRecord>,
}

/// What changed when news was taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The configuration.
    pub config: bool,
    /// The table.
    pub table: bool,
    /// The members.
    pub members: bool,
}

/// What this process knows of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    record: Option<Arc<ConfigRecord>>,
    config: Arc<Config>,
    table: Arc<Table>,
    members_revision: u64,
    members: BTreeMap<MemberId, MemberRecord>,
    /// Gates of the table whose records vanished from the store; a lapsed
    /// lease does not mean that the process is gone.
    remembered: BTreeMap<MemberId, MemberRecord>,
}

impl Fleet {
    /// Knows nothing but a configuration to start from.
    pub fn new(config: Config) -> Fleet {
        Fleet {
            record: None,
            config: Arc::new(config),
            table: Arc::new(Table::default()),
            members_revision: 0,
            members: BTreeMap::new(),
            remembered: BTreeMap::new(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Its revision; 0 if none came from the store yet.
    pub fn config_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.revision)
    }

    /// The record in force.
    pub fn record(&self) -> Option<&Arc<ConfigRecord>> {
        self.record.as_ref()
    }

    /// The table of key ranges.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The members by id.
    pub fn members(&self) -> &BTreeMap<MemberId, MemberRecord> {
        &self.members
    }

    /// Whether operators want no new work for a member's target: they drain it, or have
    /// evacuated its failure domain.
    pub fn bars(&self, record: &MemberRecord) -> bool {
        self.config.bars(&record.id.name, &record.failure_domain)
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub fn take_config(&mut self, record: ConfigRecord) -> bool {
        if record.revision <= self.config_revision() {
            return false;
        }
        let Ok(mut config) = Config::from_yaml(&record.document) else {
            return false;
        };
        config.drained = record.drained.clone();
        config.evacuated = record.evacuated.clone();
        self.config = Arc::new(config);
        self.record = Some(Arc::new(record));
        true
    }

    /// Takes a table, unless it is older than the present one.
    pub fn take_table(&mut self, table: Table) -> bool {
        if table.revision <= self.table.revision {
            return false;
        }
        let gates = &table.gates;
        self.remembered.retain(|id, _| gates.contains(id));
        self.table = Arc::new(table);
        true
    }

    /// Takes the list of members that the store held at `revision`.
    pub fn take_members(&mut self, revision: u64, members: Vec<MemberRecord>) -> bool {
        if revision <= self.members_revision {
            return false;
        }
        self.members_revision = revision;
        let by_id = members
            .into_iter()
            .map(|record| (record.id.clone(), record));
        let members: BTreeMap<_, _> = by_id.collect();
        let changed = members != self.members;
        let before = std::mem::replace(&mut self.members, members);
        let gates = &self.table.gates;
        let vanished = before.into_iter().filter(|(id, _)| gates.contains(id));
        self.remembered.extend(vanished);
        changed
    }

    /// The record of `member`, even if its lease has just lapsed.
    pub fn record_of(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.members
            .get(member)
            .or_else(|| self.remembered.get(member))
    }

    /// The gates on which owners may start tasks of `service`.
    pub fn gates<'f>(&'f self, service: &'f str) -> impl Iterator<Item = &'f MemberRecord> {
        let gates = self.table.gates.iter();
        let records = gates.filter_map(|id| self.record_of(id));
        records.filter(move |record| record.service == service)
    }

    /// Takes whatever of a peer's snapshot is newer.
    pub fn take_snapshot(&mut self, snapshot: Snapshot) -> News {
        News {
            config: snapshot
                .config
                .is_some_and(|record| self.take_config(record)),
            table: snapshot.table.is_some_and(|table| self.take_table(table)),
            members: self.take_members(snapshot.members_revision, snapshot.members),
        }
    }

    /// Everything that this process knows.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            config: self.record.as_deref().cloned(),
            table: Some((*self.table).clone()),
            members_revision: self.members_revision,
            members: self.members.values().cloned().collect(),
        }
    }
}
