//! Failure domains that operators have evacuated: no runs are started there.
//!
//! Each gate reads the operators' keys and refuses starts itself, independently of the entries.
//! The load that a gate sends to entries contains this state. A gate that cannot reach the store
//! keeps the last known state.

use std::collections::BTreeSet;
use std::time::Duration;

use slog::{info, warn};

use crate::ephemeral::follower::{Follower, WatchedKeys};

/// Keys under which operators list evacuated failure domains.
#[derive(Clone, Debug)]
pub struct EvacuationKeys {
    /// Prefix of the keys; the rest of a key is the name of the domain.
    pub prefix: String,
    /// The failure domain of this process.
    pub domain: String,
    /// All failure domains of the deployment.
    pub domains: BTreeSet<String>,
    /// Longest wait of a watch for a change; bounds the delay if its connection fails silently.
    pub max_wait: Duration,
}

/// Follows the keys and passes to `on_change` whether the failure domain of this process is
/// evacuated, first and at each change of the keys, until `on_change` returns `false`.
pub async fn follow(follower: Follower, keys: EvacuationKeys, on_change: impl Fn(bool) -> bool) {
    let log = follower.log.clone();
    let mut previous = BTreeSet::new();
    let mut update = |evacuated: BTreeSet<String>| {
        for domain in evacuated.difference(&previous) {
            match keys.domains.contains(domain) {
                true => info!(log, "failure domain evacuated"; "domain" => domain),
                false => warn!(log, "unknown failure domain evacuated"; "domain" => domain),
            }
        }
        for domain in previous.difference(&evacuated) {
            info!(log, "failure domain no longer evacuated"; "domain" => domain);
        }
        let is_evacuated = evacuated.contains(&keys.domain);
        previous = evacuated;
        on_change(is_evacuated)
    };
    let follow = WatchedKeys {
        prefix: &keys.prefix,
        label: "evacuations",
        leased: false,
        max_wait: keys.max_wait,
    };
    let following = follower.follow(&follow, |entries| {
        let names = entries.iter().map(|entry| entry.key.as_str());
        let domains = names.filter_map(|key| key.strip_prefix(keys.prefix.as_str()));
        update(domains.map(str::to_string).collect())
    });
    following.await;
}
