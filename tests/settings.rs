//! Configuration, settings, queries and the table of result codes.

use winghold::code::ResultCode;
use winghold::config::Config;
use winghold::error::Error;
use winghold::query::{self, Statement};
use winghold::settings::{AgentSettings, EntrySettings};

const LOGGER_INTAKE: &str = include_str!("../examples/logger-intake.yaml");
const LANESURE: &str = include_str!("../examples/lanesure.yaml");
const CODES_PAGE: &str = include_str!("../docs/RESULT-CODES.md");

fn faults(text: &str) -> Vec<String> {
    match Config::from_yaml(text) {
        Err(Error::Invalid(faults)) => faults,
        other => panic!("{other:?}"),
    }
}

#[test]
fn both_examples_are_valid() {
    for text in [LOGGER_INTAKE, LANESURE] {
        Config::from_yaml(text).expect("the example is valid");
    }
}

#[test]
fn every_unknown_key_is_named_with_its_line() {
    let text = format!("{LOGGER_INTAKE}\npolicy:\n  plaicement: random\nlimitz: {{}}\n");
    let faults = faults(&text);
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(
        faults
            .iter()
            .any(|fault| fault.contains("policy.plaicement: unknown key"))
    );
    assert!(
        faults
            .iter()
            .any(|fault| fault.contains("limitz: unknown key"))
    );
    assert!(
        faults.iter().all(|fault| fault.starts_with("line ")),
        "{faults:?}"
    );
}

#[test]
fn every_fault_of_meaning_is_reported_at_once() {
    let text = "
regions: [{ name: r, failure_domains: [a, a] }]
services:
  - name: s
    kinds: [{ name: k }, { name: k }]
teams: [{ name: t, share: 0 }]
limits: { body_bytes: 0 }
ownership: { lease_ms: 100, skew_ms: 200 }
";
    let faults = faults(text);
    let keys = [
        "regions[0].failure_domains[1]",
        "services[0].kinds[1].name",
        "teams[0].share",
        "limits.body_bytes",
        "ownership.lease_ms",
    ];
    for key in keys {
        assert!(
            faults.iter().any(|fault| fault.contains(key)),
            "{key} in {faults:?}"
        );
    }
}

#[test]
fn a_wrong_type_names_its_key() {
    let faults = faults("regions: 3\nservices: []\n");
    assert!(faults[0].contains("regions"), "{faults:?}");
}

#[test]
fn settings_name_the_key_that_is_wrong() {
    let text = "
process: { name: '', failure_domain: a, peer_listen: '127.0.0.1:0', store: '127.0.0.1:7000' }
service: s
target: 127.0.0.1:9000
slots: 8
connections: 4
";
    let Err(Error::Invalid(faults)) = AgentSettings::from_yaml(text) else {
        panic!("the settings are wrong");
    };
    assert!(faults.iter().any(|fault| fault.contains("process.name")));
    assert!(faults.iter().any(|fault| fault.contains("connections")));
    assert!(EntrySettings::from_yaml("http_listen: 3").is_err());
}

#[test]
fn queries_select_order_and_limit() {
    let statement = query::parse(
        "select name, n from targets where n >= 2 and name != 'c' order by n desc limit 2",
    );
    let Ok(Statement::Select(select)) = statement else {
        panic!("{statement:?}");
    };
    let rows = serde_json::json!([
        { "name": "a", "n": 1 }, { "name": "b", "n": 2 }, { "name": "c", "n": 9 },
        { "name": "d", "n": 3 }, { "name": "e", "n": 10 }
    ]);
    let rows: Vec<query::Row> = serde_json::from_value(rows).expect("rows");
    let names: Vec<String> = select
        .apply(rows)
        .iter()
        .map(|row| query::text(&row["name"]))
        .collect();
    assert_eq!(names, ["e", "d"]);
}

#[test]
fn faults_of_a_query_point_at_their_column() {
    let cases = [
        ("selec x from targets", 1),
        ("select x frm targets", 10),
        ("select * from nope", 15),
        ("select * from targets where n >", 32),
        ("select * from targets limit x", 29),
        ("drain", 1),
    ];
    for (text, column) in cases {
        match query::parse(text) {
            Err(Error::Query(at, _)) => assert_eq!(at, column, "{text}"),
            other => panic!("{text}: {other:?}"),
        }
    }
}

#[test]
fn the_page_of_result_codes_lists_every_code() {
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {} | {} |",
            code.number(),
            code.name(),
            code.status()
        );
        assert!(
            CODES_PAGE.contains(&row),
            "docs/RESULT-CODES.md lacks `{row}`"
        );
    }
}
