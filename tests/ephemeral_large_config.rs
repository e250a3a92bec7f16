//! A configuration of many routes on entries with narrow links.
//!
//! Seen: a configuration of 1,400 routes was acknowledged, and from then on hardly
//! a job was served; entries went on serving routes of an older configuration for
//! more than 3 s. How: each entry sent the whole document to each gate, on the
//! connection that carries heartbeats and orders, and again with each new session.
//! On 25 Mbit/s that is seconds of the link; heartbeats behind it came late, the
//! sessions ended before the document had come, and the next ones began with it
//! again. The store's answers waited in the same queue. Proved by a run in which only
//! this was changed: of what callers were owed 0.996 was served in place of 0.133, and
//! no request met an older configuration in place of 69.

mod narrow_links;

use std::time::Duration;

use narrow_links::Machines;
use winghold::ephemeral::message::ConfigDocument;

/// Entries, as many as a deployment in four failure domains has at least.
const ENTRIES: usize = 4;
/// Gates, a third of the number on a larger deployment.
const GATES: usize = 24;
/// Size of a document of 2,800 routes.
const BYTES: usize = 500_000;
/// Longest time from the acknowledgement of a configuration until it is in force.
const IN_FORCE: Duration = Duration::from_secs(3);

fn large(version: u64) -> ConfigDocument {
    ConfigDocument {
        version,
        text: vec![b'x'; BYTES].into(),
    }
}

fn connected() -> Machines {
    let mut machines = Machines::new(ENTRIES, GATES);
    machines.run_for(Duration::from_secs(1));
    assert_eq!(machines.ended, 0, "calm before the change");
    machines
}

#[test]
fn a_large_configuration_does_not_hold_up_heartbeats() {
    let mut machines = connected();
    let before = machines.sent(0);
    for entry in 0..ENTRIES {
        machines.read(entry, large(2));
    }
    machines.run_for(IN_FORCE);
    assert_eq!(machines.ended, 0, "sessions ended");
    let sent = machines.sent(0) - before;
    assert!(sent < BYTES, "{sent} bytes, though every entry has it");
}

#[test]
fn an_entry_that_cannot_read_the_store_gets_a_large_configuration_from_others() {
    let mut machines = connected();
    for entry in 1..ENTRIES {
        machines.read(entry, large(2));
    }
    machines.run_for(IN_FORCE);
    let version = machines.in_force(0).map(|(version, _)| version);
    assert_eq!(version, Some(2), "in the entry that was not told");
    assert_eq!(machines.ended, 0, "sessions ended");
}
