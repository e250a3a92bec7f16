//! Guards against changes of the encoding on the wire, in the store and in settings files:
//! each fixture must decode, and encode to the same names and bytes.

use std::fs;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use winghold::code::{Effect, ResultCode};
use winghold::config::{Config, Placement};
use winghold::ephemeral::directory::GateRecord;
use winghold::ephemeral::message::{Frame, ToEntry, ToGate};
use winghold::fleet::{ConfigRecord, MemberRecord, Table};
use winghold::message::Frame as PeerFrame;
use winghold::settings::{AgentSettings, EntrySettings, LogLevel};
use winghold::store::{StoreReply, StoreRequest};
use winghold::worker::Usage;

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/encodings");
    let text = fs::read_to_string(path.join(file)).expect(file);
    text.trim_end().to_string()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks JSON, and MessagePack with and without field names against hexadecimal digits.
fn check<T: DeserializeOwned + Serialize>(name: &str) {
    let json = read(&format!("{name}.json"));
    let value: T = serde_json::from_str(&json).expect(name);
    let names: Value = serde_json::from_str(&json).expect(name);
    assert_eq!(serde_json::to_value(&value).expect(name), names, "names");

    let named = rmp_serde::to_vec_named(&value).expect(name);
    let by_position = rmp_serde::to_vec(&value).expect(name);
    let encoded = format!("{}\n{}", hex(&named), hex(&by_position));
    assert_eq!(encoded, read(&format!("{name}.hex")), "bytes");

    for bytes in [named, by_position] {
        let decoded: T = rmp_serde::from_slice(&bytes).expect(name);
        assert_eq!(
            serde_json::to_value(&decoded).expect(name),
            names,
            "decoded"
        );
    }
}

#[test]
fn frames_to_gates_keep_their_encoding() {
    check::<Frame<ToGate>>("to_gate");
}

#[test]
fn orders_that_require_a_label_keep_their_encoding() {
    check::<Frame<ToGate>>("labelled_order");
}

#[test]
fn frames_to_entries_keep_their_encoding() {
    check::<Frame<ToEntry>>("to_entry");
}

#[test]
fn gate_records_keep_their_encoding() {
    check::<GateRecord>("gate_record");
}

#[test]
fn peer_frames_keep_their_encoding() {
    check::<PeerFrame>("peer_frame");
}

#[test]
fn effects_keep_their_encoding() {
    check::<Vec<Effect>>("effects");
}

#[test]
fn result_codes_keep_their_encoding() {
    check::<Vec<ResultCode>>("result_codes");
}

#[test]
fn member_tables_keep_their_encoding() {
    check::<Table>("members_table");
}

#[test]
fn member_records_keep_their_encoding() {
    check::<MemberRecord>("member_record");
}

#[test]
fn config_records_keep_their_encoding() {
    check::<ConfigRecord>("config_record");
}

#[test]
fn store_requests_keep_their_encoding() {
    check::<Vec<StoreRequest>>("store_requests");
}

#[test]
fn store_replies_keep_their_encoding() {
    check::<Vec<StoreReply>>("store_replies");
}

#[test]
fn configurations_keep_their_encoding() {
    check::<Config>("configuration");
}

#[test]
fn placements_keep_their_encoding() {
    check::<Vec<Placement>>("placements");
}

#[test]
fn entry_settings_keep_their_encoding() {
    check::<EntrySettings>("entry_settings");
}

#[test]
fn agent_settings_keep_their_encoding() {
    check::<AgentSettings>("agent_settings");
}

#[test]
fn log_levels_keep_their_encoding() {
    check::<Vec<LogLevel>>("log_levels");
}

#[test]
fn resource_usage_keeps_its_encoding() {
    check::<Usage>("usage");
}
