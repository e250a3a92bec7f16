//! Validates configuration, settings and queries, and the documented result codes.

use winghold::code::ResultCode;
use winghold::config::Config;
use winghold::error::Error;
use winghold::query::{self, Statement};
use winghold::settings::{AgentSettings, EntrySettings};

const LOGGER_INTAKE: &str = include_str!("../examples/logger-intake.yaml");
const LANESURE: &str = include_str!("../examples/lanesure.yaml");
const CODES_PAGE: &str = include_str!("../docs/RESULT-CODES.md");

fn errors(text: &str) -> Vec<String> {
    match Config::from_yaml(text) {
        Err(Error::Invalid(errors)) => errors,
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
fn every_unknown_key_is_reported_with_its_line() {
    let text = format!("{LOGGER_INTAKE}\npolicy:\n  plaicement: random\nlimitz: {{}}\n");
    let errors = errors(&text);
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert!(
        errors
            .iter()
            .any(|error| error.contains("policy.plaicement: unknown key"))
    );
    assert!(
        errors
            .iter()
            .any(|error| error.contains("limitz: unknown key"))
    );
    assert!(
        errors.iter().all(|error| error.starts_with("line ")),
        "{errors:?}"
    );
}

#[test]
fn all_invalid_values_are_reported_together() {
    let text = "
regions: [{ name: r, failure_domains: [a, a] }]
services:
  - name: s
    kinds: [{ name: k }, { name: k }]
teams: [{ name: t, share: 0 }]
limits: { body_bytes: 0 }
ownership: { lease_ms: 100, skew_ms: 200 }
";
    let errors = errors(text);
    let keys = [
        "regions[0].failure_domains[1]",
        "services[0].kinds[1].name",
        "teams[0].share",
        "limits.body_bytes",
        "ownership.lease_ms",
    ];
    for key in keys {
        assert!(
            errors.iter().any(|error| error.contains(key)),
            "{key} in {errors:?}"
        );
    }
}

#[test]
fn an_error_about_a_wrong_type_names_the_key() {
    let errors = errors("regions: 3\nservices: []\n");
    assert!(errors[0].contains("regions"), "{errors:?}");
}

#[test]
fn settings_errors_name_the_invalid_key() {
    let text = "
process: { name: '', failure_domain: a, peer_listen: '127.0.0.1:0', store: '127.0.0.1:7000' }
service: s
target: 127.0.0.1:9000
slots: 8
connections: 4
";
    let Err(Error::Invalid(errors)) = AgentSettings::from_yaml(text) else {
        panic!("expected invalid settings to be refused");
    };
    assert!(errors.iter().any(|error| error.contains("process.name")));
    assert!(errors.iter().any(|error| error.contains("connections")));
    assert!(EntrySettings::from_yaml("http_listen: 3").is_err());
}

#[test]
fn queries_filter_sort_and_limit_rows() {
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
fn query_errors_name_their_column() {
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
fn the_documentation_lists_every_result_code() {
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {} | {} |",
            code.number(),
            code.name(),
            code.status()
        );
        assert!(
            CODES_PAGE.contains(&row),
            "docs/RESULT-CODES.md has no row `{row}`"
        );
    }
}
