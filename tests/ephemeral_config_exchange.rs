//! Configurations that an entry gets from other entries, one message at a time.

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

/// Longer than one part.
const BYTES: usize = 40_000;

fn document(version: u64) -> ConfigDocument {
    let text: Vec<u8> = (0..BYTES).map(|at| (at as u64 + version) as u8).collect();
    ConfigDocument {
        version,
        text: text.into(),
    }
}

fn first(version: u64) -> ConfigPartRequest {
    ConfigPartRequest { version, offset: 0 }
}

/// What the entry asked for since the last call, and on which session.
fn asked(bench: &mut Bench) -> Vec<(SessionId, ConfigPartRequest)> {
    let asked = bench.actions.drain(..).filter_map(|action| match action {
        DispatchAction::Send {
            session,
            message: ToGate::WantConfig(wanted),
        } => Some((session, wanted)),
        _ => None,
    });
    asked.collect()
}

fn learned(bench: &Bench) -> Vec<&ConfigDocument> {
    let learned = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::ConfigReceived(document) => Some(document),
        _ => None,
    });
    learned.collect()
}

/// An entry with version 5 that was told of version 6 by its gates.
fn behind(gates: u64) -> Bench {
    let mut bench = Bench::new(gates);
    bench.dispatcher.apply_config(document(5));
    for gate in 1..=gates {
        bench.tell(gate, ToEntry::ConfigVersion(6));
    }
    bench.collect();
    bench
}

#[test]
fn a_new_configuration_is_told_by_its_version_only() {
    let mut bench = Bench::new(3);
    bench.dispatcher.apply_config(document(5));
    bench.dispatcher.apply_config(document(4));
    bench.collect();
    let told: Vec<&ToGate> = bench
        .actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send { message, .. } if !matches!(message, ToGate::Hello { .. }) => {
                Some(message)
            }
            _ => None,
        })
        .collect();
    assert_eq!(told.len(), 3, "{told:?}");
    let versions = told.iter();
    assert!(
        versions
            .clone()
            .all(|one| matches!(one, ToGate::ConfigVersion(5)))
    );
}

#[test]
fn a_gate_that_connected_before_the_change_is_told_after_its_hello() {
    let mut bench = Bench::new(1);
    bench.dispatcher.apply_config(document(5));
    bench.collect();
    bench.actions.clear();
    bench.connect(1);
    let told = bench.actions.iter().any(|action| {
        let expected = ToGate::ConfigVersion(5);
        matches!(action, DispatchAction::Send { message, .. }
            if format!("{message:?}") == format!("{expected:?}"))
    });
    assert!(told);
}

#[test]
fn the_store_goes_first_and_an_older_version_is_never_asked_for() {
    let mut bench = Bench::new(2);
    bench.dispatcher.apply_config(document(5));
    bench.tell(1, ToEntry::ConfigVersion(4));
    bench.tell(1, ToEntry::ConfigVersion(5));
    bench.steady(3_000);
    assert!(asked(&mut bench).is_empty(), "nothing newer");
    bench.tell(1, ToEntry::ConfigVersion(6));
    bench.steady(900);
    assert!(asked(&mut bench).is_empty(), "the store may still give it");
    bench.dispatcher.apply_config(document(6));
    bench.steady(3_000);
    assert!(asked(&mut bench).is_empty(), "the store gave it");
}

#[test]
fn a_document_comes_part_by_part_and_one_at_a_time() {
    let mut bench = behind(2);
    bench.steady(1_000);
    let newer = document(6);
    let mut parts = 0;
    let mut wanted = asked(&mut bench);
    while let [(session, part)] = wanted[..] {
        assert_eq!(part.version, 6);
        let part = newer.part(part).expect("a part");
        assert!(part.bytes.len() <= 16 << 10);
        parts += 1;
        bench.tell(session.0, ToEntry::ConfigPart(part));
        if learned(&bench).len() == 1 {
            break;
        }
        wanted = asked(&mut bench);
    }
    assert_eq!(parts, 3);
    assert_eq!(learned(&bench), [&newer]);
}

#[test]
fn a_part_that_does_not_come_is_asked_for_at_another_gate() {
    let mut bench = behind(3);
    bench.steady(1_000);
    let [(one, part)] = asked(&mut bench)[..] else {
        panic!("one part");
    };
    let part = document(6).part(part).expect("a part");
    bench.tell(one.0, ToEntry::ConfigPart(part.clone()));
    assert_eq!(asked(&mut bench).len(), 1, "the next part");
    bench.steady(500);
    let [(other, wanted)] = asked(&mut bench)[..] else {
        panic!("one part");
    };
    assert_ne!(one, other);
    assert_eq!(wanted.offset, part.bytes.len() as u64, "what came is kept");
    bench.tell(one.0, ToEntry::ConfigPart(part));
    assert!(asked(&mut bench).is_empty(), "a part that came twice");
}

#[test]
fn whoever_has_a_newer_version_begins_with_that() {
    let mut bench = behind(1);
    bench.steady(1_000);
    let [(session, wanted)] = asked(&mut bench)[..] else {
        panic!("one part");
    };
    let old = document(6).part(wanted).expect("a part");
    bench.tell(session.0, ToEntry::ConfigPart(old));
    let [(_, wanted)] = asked(&mut bench)[..] else {
        panic!("one part");
    };
    let newer = document(8);
    let mut part = newer.part(wanted);
    while let Some(next) = part.take() {
        bench.tell(session.0, ToEntry::ConfigPart(next));
        if let Some(wanted) = last_asked(&bench) {
            part = newer.part(wanted);
        }
        if learned(&bench).len() == 1 {
            break;
        }
    }
    assert_eq!(learned(&bench), [&newer]);
}

/// What the entry asked for last.
fn last_asked(bench: &Bench) -> Option<ConfigPartRequest> {
    let asked = bench.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            message: ToGate::WantConfig(wanted),
            ..
        } => Some(*wanted),
        _ => None,
    });
    asked.last()
}

/// The load of a gate that knows all that was sent to it.
fn seen() -> GateLoad {
    GateLoad {
        seen: u64::MAX,
        ..load(1_000, 0)
    }
}

#[test]
fn a_gate_that_is_quiet_is_not_asked() {
    let mut bench = behind(2);
    bench.submit(1, job(1, 2), 1);
    let at: Vec<u64> = bench.starts.iter().map(|(session, _)| session.0).collect();
    assert!(at.contains(&1) && at.contains(&2), "{at:?}");
    for turn in 0..100 {
        bench.load(1, seen());
        if turn < 75 {
            bench.load(2, seen());
        }
        bench.pass(10);
    }
    let sessions: Vec<u64> = asked(&mut bench).iter().map(|(one, _)| one.0).collect();
    assert_eq!(sessions, [1]);
}

#[test]
fn an_entry_gives_parts_of_what_it_has_only() {
    let mut bench = Bench::new(1);
    bench.dispatcher.apply_config(document(5));
    bench.collect();
    bench.actions.clear();
    let asker = SessionId(77);
    for version in [6, 5, 3] {
        let wanted = first(version);
        bench.tell(1, ToEntry::WantConfig { asker, wanted });
    }
    let beyond = ConfigPartRequest {
        version: 5,
        offset: BYTES as u64,
    };
    let wanted = beyond;
    bench.tell(1, ToEntry::WantConfig { asker, wanted });
    let given: Vec<u64> = bench
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
    assert_eq!(given, [5, 5], "for version 5, and for the older one");
}

/// What a gate sent, as text.
fn sent(bench: &mut gate_bench::Bench) -> Vec<(u64, ToEntry)> {
    let sent = bench.actions.drain(..).filter_map(|action| match action {
        GateAction::Send { session, message } if !matches!(message, ToEntry::Load(_)) => {
            Some((session.0, message))
        }
        _ => None,
    });
    sent.collect()
}

fn hello(bench: &mut gate_bench::Bench, session: u64, config: u64) {
    let entry = process(&format!("e{session}"), session);
    let open = Vec::new();
    let message = ToGate::Hello {
        entry,
        config,
        open,
    };
    tell(bench, session, message);
}

fn tell(bench: &mut gate_bench::Bench, session: u64, message: ToGate) {
    bench
        .gate
        .handle_message(bench.now, SessionId(session), message);
    bench.collect();
}

#[test]
fn a_gate_tells_entries_that_are_behind_and_carries_parts_between_them() {
    let mut bench = gate_bench::Bench::unlisted();
    hello(&mut bench, 21, 5);
    hello(&mut bench, 22, 5);
    hello(&mut bench, 23, 5);
    sent(&mut bench);
    tell(&mut bench, 21, ToGate::ConfigVersion(6));
    let told = sent(&mut bench);
    let sessions: Vec<u64> = told.iter().map(|(session, _)| *session).collect();
    assert_eq!(sessions, [22, 23]);
    assert!(
        told.iter()
            .all(|(_, one)| matches!(one, ToEntry::ConfigVersion(6)))
    );
    tell(&mut bench, 23, ToGate::ConfigVersion(6));
    assert!(sent(&mut bench).is_empty(), "the others know");
    hello(&mut bench, 24, 6);
    let [(24, ToEntry::Hello { config: 6, .. })] = &sent(&mut bench)[..] else {
        panic!("a hello tells the newest version");
    };

    tell(&mut bench, 22, ToGate::WantConfig(first(6)));
    let [(holder, ToEntry::WantConfig { asker, wanted })] = sent(&mut bench)[..] else {
        panic!("one holder is asked");
    };
    assert!([21, 23, 24].contains(&holder));
    assert_eq!(asker, SessionId(22));
    let part = document(6).part(wanted).expect("a part");
    let answer = ToGate::ConfigPart {
        asker,
        part: part.clone(),
    };
    tell(&mut bench, holder, answer);
    let passed = sent(&mut bench);
    let [(22, ToEntry::ConfigPart(passed))] = &passed[..] else {
        panic!("the part goes to whoever asked: {passed:?}");
    };
    assert_eq!(*passed, part);
}

#[test]
fn an_entry_that_connects_with_a_newer_version_is_told_of() {
    let mut bench = gate_bench::Bench::unlisted();
    hello(&mut bench, 21, 5);
    sent(&mut bench);
    hello(&mut bench, 22, 6);
    let told = sent(&mut bench);
    let behind = told.iter().find(|(session, _)| *session == 21);
    assert!(
        matches!(behind, Some((_, ToEntry::ConfigVersion(6)))),
        "{told:?}"
    );
}

#[test]
fn a_gate_without_a_holder_or_an_asker_sends_nothing() {
    let mut bench = gate_bench::Bench::unlisted();
    hello(&mut bench, 21, 5);
    hello(&mut bench, 22, 5);
    sent(&mut bench);
    tell(&mut bench, 21, ToGate::WantConfig(first(6)));
    assert!(sent(&mut bench).is_empty(), "no entry has version 6");
    let part = ConfigPart {
        version: 6,
        offset: 0,
        total: 1,
        bytes: "x".into(),
    };
    let asker = SessionId(99);
    tell(&mut bench, 21, ToGate::ConfigPart { asker, part });
    assert!(sent(&mut bench).is_empty(), "nobody asked");
}
