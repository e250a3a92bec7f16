//! A large configuration on entries with narrow links must not delay heartbeats so much that
//! sessions end, and must reach every entry in time.

mod narrow_links;

use std::time::Duration;

use narrow_links::LinkedFleet;
use winghold::ephemeral::message::ConfigDocument;

const ENTRIES: usize = 4;
const GATES: usize = 24;
/// Size of the configuration document.
const CONFIG_BYTES: usize = 500_000;
/// Maximum time from reading a configuration in the store until every entry applies it.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

fn large_config(version: u64) -> ConfigDocument {
    ConfigDocument {
        version,
        text: vec![b'x'; CONFIG_BYTES].into(),
    }
}

fn connected_fleet() -> LinkedFleet {
    let mut fleet = LinkedFleet::new(ENTRIES, GATES);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(
        fleet.ended_sessions, 0,
        "no session ended before the change"
    );
    fleet
}

#[test]
fn large_configuration_does_not_delay_heartbeats() {
    let mut fleet = connected_fleet();
    let before = fleet.sent_bytes(0);
    for entry in 0..ENTRIES {
        fleet.load_config(entry, large_config(2));
    }
    fleet.run_for(APPLY_TIMEOUT);
    assert_eq!(fleet.ended_sessions, 0, "no session ended");
    let sent = fleet.sent_bytes(0) - before;
    assert!(
        sent < CONFIG_BYTES,
        "{sent} bytes sent, though every entry has the document"
    );
}

#[test]
fn entry_without_the_store_gets_a_large_configuration_from_gates() {
    let mut fleet = connected_fleet();
    for entry in 1..ENTRIES {
        fleet.load_config(entry, large_config(2));
    }
    fleet.run_for(APPLY_TIMEOUT);
    let version = fleet.applied_config(0).map(|(version, _)| version);
    assert_eq!(version, Some(2), "in the entry that cannot read the store");
    assert_eq!(fleet.ended_sessions, 0, "no session ended");
}
