//! Prints rows as a table or as JSON.

use std::collections::BTreeSet;

use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;
use winghold::operator::Output;
use winghold::query::{Row, text};

use crate::clap_app::Format;

/// Prints an output; a table has the given `columns`, or all if there are none.
pub fn print(output: &Output, format: Format, columns: &[String]) {
    match (output, format) {
        (Output::Rows(rows), Format::Table) => println!("{}", table(rows, columns)),
        (Output::Rows(rows), Format::Json) => println!("{}", pretty(&rows)),
        (Output::Value(value), Format::Json) => println!("{}", pretty(value)),
        (Output::Value(Value::Object(row)), Format::Table) => {
            row.iter()
                .for_each(|(key, value)| println!("{key}: {}", text(value)));
        }
        (Output::Value(value), Format::Table) => println!("{}", text(value)),
    }
}

fn pretty(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn table(rows: &[Row], columns: &[String]) -> String {
    let columns = match columns.is_empty() {
        false => columns.to_vec(),
        true => all_columns(rows),
    };
    let mut builder = Builder::default();
    builder.push_record(&columns);
    for row in rows {
        let cell = |column: &String| row.get(column).map(text).unwrap_or_default();
        builder.push_record(columns.iter().map(cell));
    }
    let mut table = builder.build();
    table.with(Style::blank());
    table.to_string()
}

/// Columns of all rows, with those that identify a row first.
fn all_columns(rows: &[Row]) -> Vec<String> {
    let names: BTreeSet<&String> = rows.iter().flat_map(|row| row.keys()).collect();
    let leading_names = ["step", "name", "id", "revision", "service", "kind", "state"];
    let first = leading_names
        .iter()
        .filter(|leading| names.iter().any(|name| name == *leading));
    let rest = names
        .iter()
        .filter(|name| !leading_names.contains(&name.as_str()));
    first
        .map(|leading| (*leading).to_string())
        .chain(rest.map(|name| (*name).clone()))
        .collect()
}
