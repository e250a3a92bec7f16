//! Configuration transfer between entries through gates.

mod dispatcher_bench;
mod gate_bench;

use dispatcher_bench::{Bench, job, load};
use gate_bench::process;
use winghold::ephemeral::dispatcher::DispatchAction;
use winghold::ephemeral::gate::GateAction;
use winghold::ephemeral::message::{
    ConfigDocument, ConfigPart, ConfigPartRequest, GateLoad, ToEntry, ToGate,
};
use winghold::ephemeral::session::SessionId;

/// More than one part.
const DOCUMENT_BYTES: usize = 40_000;

fn document(version: u64) -> ConfigDocument {
    let text: Vec<u8> = (0..DOCUMENT_BYTES)
        .map(|at| (at as u64 + version) as u8)
        .collect();
    ConfigDocument {
        version,
        text: text.into(),
    }
}

fn first_part(version: u64) -> ConfigPartRequest {
    ConfigPartRequest { version, offset: 0 }
}

/// Parts that the entry requested since the last call, with their sessions.
fn requested_parts(bench: &mut Bench) -> Vec<(SessionId, ConfigPartRequest)> {
    let requests = bench.actions.drain(..).filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::WantConfig(wanted),
        } => Some((session, wanted)),
        _ => None,
    });
    requests.collect()
}

fn received_documents(bench: &Bench) -> Vec<&ConfigDocument> {
    let documents = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::ConfigReceived(document) => Some(document),
        _ => None,
    });
    documents.collect()
}

/// An entry with version 5 whose gates have announced version 6.
fn outdated_entry(gates: u64) -> Bench {
    let mut bench = Bench::new(gates);
    bench.dispatcher.apply_config(document(5));
    for gate in 1..=gates {
        bench.deliver(gate, ToEntry::ConfigVersion(6));
    }
    bench.collect();
    bench
}

#[test]
fn new_configuration_is_announced_by_version_only() {
    let mut bench = Bench::new(3);
    bench.dispatcher.apply_config(document(5));
    bench.dispatcher.apply_config(document(4));
    bench.collect();
    let announced: Vec<&ToGate> = bench
        .actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send { message, .. } if !matches!(message, ToGate::Hello { .. }) => {
                Some(message)
            }
            _ => None,
        })
        .collect();
    assert_eq!(announced.len(), 3, "{announced:?}");
    let versions = announced.iter();
    assert!(
        versions
            .clone()
            .all(|one| matches!(one, ToGate::ConfigVersion(5)))
    );
}

#[test]
fn new_version_is_announced_after_the_hello_of_a_gate() {
    let mut bench = Bench::new(1);
    bench.dispatcher.apply_config(document(5));
    bench.collect();
    bench.actions.clear();
    bench.connect(1);
    let announced = bench.actions.iter().any(|action| {
        let expected = ToGate::ConfigVersion(5);
        matches!(action, DispatchAction::Send { message, .. }
            if format!("{message:?}") == format!("{expected:?}"))
    });
    assert!(announced);
}

#[test]
fn only_newer_versions_that_the_store_does_not_deliver_are_requested() {
    let mut bench = Bench::new(2);
    bench.dispatcher.apply_config(document(5));
    bench.deliver(1, ToEntry::ConfigVersion(4));
    bench.deliver(1, ToEntry::ConfigVersion(5));
    bench.advance_connected(3_000);
    assert!(requested_parts(&mut bench).is_empty(), "no newer version");
    bench.deliver(1, ToEntry::ConfigVersion(6));
    bench.advance_connected(900);
    assert!(
        requested_parts(&mut bench).is_empty(),
        "the store may still deliver it"
    );
    bench.dispatcher.apply_config(document(6));
    bench.advance_connected(3_000);
    assert!(
        requested_parts(&mut bench).is_empty(),
        "the store delivered it"
    );
}

#[test]
fn document_is_transferred_in_parts_one_at_a_time() {
    let mut bench = outdated_entry(2);
    bench.advance_connected(1_000);
    let newer = document(6);
    let mut parts = 0;
    let mut wanted = requested_parts(&mut bench);
    while let [(session, part)] = wanted[..] {
        assert_eq!(part.version, 6);
        let part = newer.part(part).expect("a part");
        assert!(part.bytes.len() <= 16 << 10);
        parts += 1;
        bench.deliver(session.0, ToEntry::ConfigPart(part));
        if received_documents(&bench).len() == 1 {
            break;
        }
        wanted = requested_parts(&mut bench);
    }
    assert_eq!(parts, 3);
    assert_eq!(received_documents(&bench), [&newer]);
}

#[test]
fn missing_part_is_requested_through_another_gate() {
    let mut bench = outdated_entry(3);
    bench.advance_connected(1_000);
    let [(gate, part)] = requested_parts(&mut bench)[..] else {
        panic!("one part");
    };
    let part = document(6).part(part).expect("a part");
    bench.deliver(gate.0, ToEntry::ConfigPart(part.clone()));
    assert_eq!(requested_parts(&mut bench).len(), 1, "the next part");
    bench.advance_connected(500);
    let [(other, wanted)] = requested_parts(&mut bench)[..] else {
        panic!("one part");
    };
    assert_ne!(gate, other);
    assert_eq!(
        wanted.offset,
        part.bytes.len() as u64,
        "received parts are kept"
    );
    bench.deliver(gate.0, ToEntry::ConfigPart(part));
    assert!(
        requested_parts(&mut bench).is_empty(),
        "a repeated part is ignored"
    );
}

#[test]
fn transfer_restarts_when_a_part_has_a_newer_version() {
    let mut bench = outdated_entry(1);
    bench.advance_connected(1_000);
    let [(session, wanted)] = requested_parts(&mut bench)[..] else {
        panic!("one part");
    };
    let old = document(6).part(wanted).expect("a part");
    bench.deliver(session.0, ToEntry::ConfigPart(old));
    let [(_, wanted)] = requested_parts(&mut bench)[..] else {
        panic!("one part");
    };
    let newer = document(8);
    let mut part = newer.part(wanted);
    while let Some(next) = part.take() {
        bench.deliver(session.0, ToEntry::ConfigPart(next));
        if let Some(wanted) = last_requested_part(&bench) {
            part = newer.part(wanted);
        }
        if received_documents(&bench).len() == 1 {
            break;
        }
    }
    assert_eq!(received_documents(&bench), [&newer]);
}

/// The part that the entry requested last.
fn last_requested_part(bench: &Bench) -> Option<ConfigPartRequest> {
    let requests = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::WantConfig(wanted),
            ..
        } => Some(*wanted),
        _ => None,
    });
    requests.last()
}

/// The load of a gate that has received all orders.
fn idle_load() -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(1_000, 0)
    }
}

#[test]
fn silent_gate_gets_no_request() {
    let mut bench = outdated_entry(2);
    bench.submit(1, job(1, 2), 1);
    let at: Vec<u64> = bench.starts.iter().map(|(session, _)| session.0).collect();
    assert!(at.contains(&1) && at.contains(&2), "{at:?}");
    for turn in 0..100 {
        bench.load(1, idle_load());
        if turn < 75 {
            bench.load(2, idle_load());
        }
        bench.advance(10);
    }
    let sessions: Vec<u64> = requested_parts(&mut bench)
        .iter()
        .map(|(one, _)| one.0)
        .collect();
    assert_eq!(sessions, [1]);
}

#[test]
fn entry_sends_only_parts_of_its_own_version() {
    let mut bench = Bench::new(1);
    bench.dispatcher.apply_config(document(5));
    bench.collect();
    bench.actions.clear();
    let asker = SessionId(77);
    for version in [6, 5, 3] {
        let wanted = first_part(version);
        bench.deliver(1, ToEntry::WantConfig { asker, wanted });
    }
    let beyond = ConfigPartRequest {
        version: 5,
        offset: DOCUMENT_BYTES as u64,
    };
    let wanted = beyond;
    bench.deliver(1, ToEntry::WantConfig { asker, wanted });
    let sent_versions: Vec<u64> = bench
        .actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send {
                message: ToGate::ConfigPart { asker, part },
                ..
            } => {
                assert_eq!(*asker, SessionId(77));
                Some(part.version)
            }
            _ => None,
        })
        .collect();
    assert_eq!(
        sent_versions,
        [5, 5],
        "for version 5, and for the older version"
    );
}

/// Messages that the gate sent since the last call, without loads.
fn take_sent(bench: &mut gate_bench::Bench) -> Vec<(u64, ToEntry)> {
    let sent = bench.actions.drain(..).filter_map(|action| match action {
        GateAction::Send { session, message } if !matches!(message, ToEntry::Load(_)) => {
            Some((session.0, message))
        }
        _ => None,
    });
    sent.collect()
}

fn connect_entry(bench: &mut gate_bench::Bench, session: u64, config: u64) {
    let entry = process(&format!("e{session}"), session);
    let open = Vec::new();
    let message = ToGate::Hello {
        entry,
        config,
        open,
    };
    send_to_gate(bench, session, message);
}

fn send_to_gate(bench: &mut gate_bench::Bench, session: u64, message: ToGate) {
    bench
        .gate
        .handle_message(bench.now, SessionId(session), message);
    bench.collect();
}

#[test]
fn gate_announces_versions_to_outdated_entries_and_relays_parts() {
    let mut bench = gate_bench::Bench::without_run_list();
    connect_entry(&mut bench, 21, 5);
    connect_entry(&mut bench, 22, 5);
    connect_entry(&mut bench, 23, 5);
    take_sent(&mut bench);
    send_to_gate(&mut bench, 21, ToGate::ConfigVersion(6));
    let announced = take_sent(&mut bench);
    let sessions: Vec<u64> = announced.iter().map(|(session, _)| *session).collect();
    assert_eq!(sessions, [22, 23]);
    assert!(
        announced
            .iter()
            .all(|(_, one)| matches!(one, ToEntry::ConfigVersion(6)))
    );
    send_to_gate(&mut bench, 23, ToGate::ConfigVersion(6));
    assert!(
        take_sent(&mut bench).is_empty(),
        "the others have this version"
    );
    connect_entry(&mut bench, 24, 6);
    let [(24, ToEntry::Hello { config: 6, .. })] = &take_sent(&mut bench)[..] else {
        panic!("a hello carries the newest version");
    };

    send_to_gate(&mut bench, 22, ToGate::WantConfig(first_part(6)));
    let [(holder, ToEntry::WantConfig { asker, wanted })] = take_sent(&mut bench)[..] else {
        panic!("the request goes to one entry that has the version");
    };
    assert!([21, 23, 24].contains(&holder));
    assert_eq!(asker, SessionId(22));
    let part = document(6).part(wanted).expect("a part");
    let answer = ToGate::ConfigPart {
        asker,
        part: part.clone(),
    };
    send_to_gate(&mut bench, holder, answer);
    let relayed = take_sent(&mut bench);
    let [(22, ToEntry::ConfigPart(relayed))] = &relayed[..] else {
        panic!("the part goes to the entry that requested it: {relayed:?}");
    };
    assert_eq!(*relayed, part);
}

#[test]
fn newer_version_of_a_connecting_entry_is_announced_to_others() {
    let mut bench = gate_bench::Bench::without_run_list();
    connect_entry(&mut bench, 21, 5);
    take_sent(&mut bench);
    connect_entry(&mut bench, 22, 6);
    let announced = take_sent(&mut bench);
    let behind = announced.iter().find(|(session, _)| *session == 21);
    assert!(
        matches!(behind, Some((_, ToEntry::ConfigVersion(6)))),
        "{announced:?}"
    );
}

#[test]
fn gate_drops_requests_and_parts_without_a_recipient() {
    let mut bench = gate_bench::Bench::without_run_list();
    connect_entry(&mut bench, 21, 5);
    connect_entry(&mut bench, 22, 5);
    take_sent(&mut bench);
    send_to_gate(&mut bench, 21, ToGate::WantConfig(first_part(6)));
    assert!(take_sent(&mut bench).is_empty(), "no entry has version 6");
    let part = ConfigPart {
        version: 6,
        offset: 0,
        total: 1,
        bytes: "x".into(),
    };
    let asker = SessionId(99);
    send_to_gate(&mut bench, 21, ToGate::ConfigPart { asker, part });
    assert!(take_sent(&mut bench).is_empty(), "no entry requested it");
}
