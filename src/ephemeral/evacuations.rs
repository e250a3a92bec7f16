//! Failure domains that operators have evacuated: nothing more is started there.
//!
//! Each gate reads the operators' keys itself and refuses starts by itself, so that what
//! an entry has not heard of does not matter: it may be cut off, frozen or new. Entries
//! learn from the loads of gates which of them take no work, and need no keys. A gate that
//! loses the store goes on with the last state that it read.
//!
//! It costs each gate one watch in [`EvacuationKeys::wait`]: with 3 s, 65 gates make 22
//! calls a second beside the 43 that renew their records.

use std::collections::BTreeSet;
use std::time::Duration;

use slog::{info, warn};

use crate::ephemeral::follower::{Follower, Keys};

/// Where operators name evacuated failure domains.
#[derive(Clone, Debug)]
pub struct EvacuationKeys {
    /// What their keys begin with; the rest is the name of the domain.
    pub prefix: String,
    /// The failure domain of this process.
    pub domain: String,
    /// All failure domains of the deployment.
    pub domains: BTreeSet<String>,
    /// Longest wait of a watch for a change: one whose connection died without a word is
    /// begun anew a call's time limit after it.
    pub wait: Duration,
}

/// Follows the keys, and tells whether the own failure domain is evacuated, first and at
/// each change, until `tell` says that nobody listens.
pub async fn follow(follower: Follower, keys: EvacuationKeys, tell: impl Fn(bool) -> bool) {
    let log = follower.log.clone();
    let mut before = BTreeSet::new();
    let mut note = |evacuated: BTreeSet<String>| {
        for domain in evacuated.difference(&before) {
            match keys.domains.contains(domain) {
                true => info!(log, "failure domain evacuated"; "domain" => domain),
                false => warn!(log, "evacuation of an unknown domain"; "domain" => domain),
            }
        }
        for domain in before.difference(&evacuated) {
            info!(log, "failure domain taken back"; "domain" => domain);
        }
        let ours = evacuated.contains(&keys.domain);
        before = evacuated;
        tell(ours)
    };
    let follow = Keys {
        prefix: &keys.prefix,
        what: "evacuations",
        leased: false,
        wait: keys.wait,
    };
    let told = follower.follow(&follow, |entries| {
        let names = entries.iter().map(|entry| entry.key.as_str());
        let domains = names.filter_map(|key| key.strip_prefix(keys.prefix.as_str()));
        note(domains.map(str::to_string).collect())
    });
    told.await;
}
