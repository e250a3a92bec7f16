//! Parser of the operators' query and command language.
//!
//! ```text
//! select name, running from targets where running > 3 order by running desc limit 5
//! why 0190a6c2-...
//! submit logger-intake burst-check {"main":"M-17"}
//! cancel 0190a6c2-...
//! drain logger-intake-03
//! undrain logger-intake-03
//! evacuate cumbaya
//! unevacuate cumbaya
//! ```

use std::cmp::Ordering;

use serde_json::{Map, Value};
use winnow::ascii::{Caseless, dec_uint, float, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, separated, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{rest, take_while};

use crate::error::{Error, Result};

/// A row of a table.
pub type Row = Map<String, Value>;

/// Names of the tables.
pub const TABLES: &[&str] = &[
    "requests", "jobs", "tasks", "steps", "targets", "workers", "members", "ranges", "services",
    "changes",
];

/// Query or command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Query rows of a table.
    Select(Select),
    /// Explain the placement or rejection of a submission.
    Why(String),
    /// Submit a request.
    Submit {
        /// Service name.
        service: String,
        /// Request kind.
        kind: String,
        /// Payload for the target.
        payload: String,
    },
    /// Cancel a submission.
    Cancel(String),
    /// Drain a target.
    Drain(String),
    /// End a target's drain.
    Undrain(String),
    /// Evacuate a failure domain.
    Evacuate(String),
    /// End the evacuation of a failure domain.
    Unevacuate(String),
}

/// Query for rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Select {
    /// Column names; all columns if empty.
    pub columns: Vec<String>,
    /// Table name.
    pub table: String,
    /// Conditions that a row must satisfy.
    pub conditions: Vec<Condition>,
    /// Sort order.
    pub order: Option<Order>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// Sort order of rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Column name.
    pub column: String,
    /// Whether to sort in descending order.
    pub descending: bool,
}

/// A condition on a column.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Column name.
    pub column: String,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value to compare with.
    pub value: Value,
}

/// Comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less than.
    Less,
    /// Less than or equal.
    LessOrEqual,
    /// Greater than.
    Greater,
    /// Greater than or equal.
    GreaterOrEqual,
    /// Contains a substring.
    Like,
}

impl Comparison {
    fn matches(self, left: &Value, right: &Value) -> bool {
        if self == Comparison::Like {
            return text(left).contains(&text(right));
        }
        let order = compare(left, right);
        match self {
            Comparison::Equal => order == Ordering::Equal,
            Comparison::NotEqual => order != Ordering::Equal,
            Comparison::Less => order == Ordering::Less,
            Comparison::LessOrEqual => order != Ordering::Greater,
            Comparison::Greater => order == Ordering::Greater,
            Comparison::GreaterOrEqual => order != Ordering::Less,
            Comparison::Like => false,
        }
    }
}

/// Formats a value without quotes.
pub fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn compare(left: &Value, right: &Value) -> Ordering {
    match (left.as_f64(), right.as_f64()) {
        (Some(left), Some(right)) => left.total_cmp(&right),
        _ => text(left).cmp(&text(right)),
    }
}

impl Select {
    /// Filters, sorts and limits rows, and selects their columns.
    pub fn apply(&self, rows: Vec<Row>) -> Vec<Row> {
        let mut rows: Vec<Row> = rows.into_iter().filter(|row| self.matches(row)).collect();
        if let Some(order) = &self.order {
            rows.sort_by(|a, b| order.compare(a, b));
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows.into_iter().map(|row| self.project(row)).collect()
    }

    fn matches(&self, row: &Row) -> bool {
        self.conditions.iter().all(|condition| {
            let value = row.get(&condition.column).unwrap_or(&Value::Null);
            condition.comparison.matches(value, &condition.value)
        })
    }

    fn project(&self, row: Row) -> Row {
        if self.columns.is_empty() {
            return row;
        }
        let pick = |column: &String| (column.clone(), row.get(column).cloned().unwrap_or_default());
        self.columns.iter().map(pick).collect()
    }
}

impl Order {
    fn compare(&self, a: &Row, b: &Row) -> Ordering {
        let value = |row: &Row| row.get(&self.column).cloned().unwrap_or_default();
        let order = compare(&value(a), &value(b));
        if self.descending {
            order.reverse()
        } else {
            order
        }
    }
}

/// Parses a statement.
///
/// ```
/// use winghold::query::{Statement, parse};
///
/// let statement = parse("drain logger-intake-03").unwrap();
/// assert_eq!(statement, Statement::Drain("logger-intake-03".to_string()));
/// ```
///
/// # Errors
/// [`Error::Query`] with the column of the error, counted from 1.
pub fn parse(input: &str) -> Result<Statement> {
    let parsed = terminated(statement, (multispace0, opt(';'), multispace0, eof)).parse(input);
    let statement = parsed.map_err(|err| {
        let column = input[..err.offset()].chars().count() + 1;
        Error::Query(column, expected_message(err.inner()))
    })?;
    check_table(input, statement)
}

fn check_table(input: &str, statement: Statement) -> Result<Statement> {
    match &statement {
        Statement::Select(select) if !TABLES.contains(&select.table.as_str()) => {
            let at = input.find(&select.table).unwrap_or(0);
            let column = input[..at].chars().count() + 1;
            let message = format!("no table `{}`; one of {}", select.table, TABLES.join(", "));
            Err(Error::Query(column, message))
        }
        _ => Ok(statement),
    }
}

fn expected_message(err: &ContextError) -> String {
    let expected = err.context().find_map(|context| match context {
        StrContext::Expected(StrContextValue::Description(text)) => Some(*text),
        _ => None,
    });
    format!("expected {}", expected.unwrap_or("the end"))
}

fn expected(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

fn keyword<'i>(word: &'static str) -> impl ModalParser<&'i str, (), ContextError> {
    (Caseless(word), word_end).void()
}

fn word_end(input: &mut &str) -> ModalResult<()> {
    let at_end = input.chars().next().is_none_or(|c| !is_word_char(c));
    match at_end {
        true => Ok(()),
        false => Err(winnow::error::ErrMode::Backtrack(ContextError::new())),
    }
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.')
}

fn word(input: &mut &str) -> ModalResult<String> {
    take_while(1.., is_word_char)
        .map(str::to_string)
        .parse_next(input)
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    multispace0.parse_next(input)?;
    let name = |verb, what| {
        preceded(
            (keyword(verb), multispace1),
            cut_err(word.context(expected(what))),
        )
    };
    alt((
        select.map(Statement::Select),
        name("why", "an id").map(Statement::Why),
        name("cancel", "an id").map(Statement::Cancel),
        name("drain", "a target").map(Statement::Drain),
        name("undrain", "a target").map(Statement::Undrain),
        name("evacuate", "a failure domain").map(Statement::Evacuate),
        name("unevacuate", "a failure domain").map(Statement::Unevacuate),
        submit,
    ))
    .context(expected(
        "select, why, submit, cancel, drain, undrain, evacuate or unevacuate",
    ))
    .parse_next(input)
}

fn submit(input: &mut &str) -> ModalResult<Statement> {
    let service = preceded(
        (keyword("submit"), multispace1),
        word.context(expected("a service")),
    );
    let kind = preceded(multispace1, word.context(expected("a kind")));
    let payload = preceded(multispace1, rest.context(expected("a JSON payload")));
    (service, kind, payload)
        .map(
            |(service, kind, payload): (String, String, &str)| Statement::Submit {
                service,
                kind,
                payload: payload.trim().to_string(),
            },
        )
        .parse_next(input)
}

fn select(input: &mut &str) -> ModalResult<Select> {
    (keyword("select"), multispace1).parse_next(input)?;
    let columns = cut_err(columns.context(expected("columns or *"))).parse_next(input)?;
    multispace1.parse_next(input)?;
    cut_err((keyword("from"), multispace1).context(expected("from"))).parse_next(input)?;
    let table = cut_err(word.context(expected("a table"))).parse_next(input)?;
    let filter = (multispace1, keyword("where"), multispace1);
    let conditions = opt(preceded(filter, cut_err(conditions))).parse_next(input)?;
    let order = opt(order).parse_next(input)?;
    let number = dec_uint::<_, usize, _>.context(expected("a number"));
    let limit = (multispace1, keyword("limit"), multispace1);
    let limit = opt(preceded(limit, cut_err(number))).parse_next(input)?;
    Ok(Select {
        columns,
        table,
        conditions: conditions.unwrap_or_default(),
        order,
        limit,
    })
}

fn columns(input: &mut &str) -> ModalResult<Vec<String>> {
    let comma = (multispace0, ',', multispace0);
    alt(('*'.map(|_| Vec::new()), separated(1.., word, comma))).parse_next(input)
}

fn conditions(input: &mut &str) -> ModalResult<Vec<Condition>> {
    let and = (multispace1, keyword("and"), multispace1);
    separated(1.., condition.context(expected("a condition")), and).parse_next(input)
}

fn condition(input: &mut &str) -> ModalResult<Condition> {
    let column = word.parse_next(input)?;
    multispace0.parse_next(input)?;
    let comparison = cut_err(comparison.context(expected("a comparison"))).parse_next(input)?;
    multispace0.parse_next(input)?;
    let value = cut_err(value.context(expected("a value"))).parse_next(input)?;
    Ok(Condition {
        column,
        comparison,
        value,
    })
}

fn comparison(input: &mut &str) -> ModalResult<Comparison> {
    alt((
        "!=".value(Comparison::NotEqual),
        "<=".value(Comparison::LessOrEqual),
        ">=".value(Comparison::GreaterOrEqual),
        "=".value(Comparison::Equal),
        "<".value(Comparison::Less),
        ">".value(Comparison::Greater),
        keyword("like").value(Comparison::Like),
    ))
    .parse_next(input)
}

fn value(input: &mut &str) -> ModalResult<Value> {
    let quoted = delimited('\'', take_while(0.., |c| c != '\''), '\'');
    let number = terminated(float::<_, f64, _>, word_end).map(Value::from);
    alt((
        quoted.map(Value::from),
        keyword("true").value(Value::Bool(true)),
        keyword("false").value(Value::Bool(false)),
        number,
        word.map(Value::from),
    ))
    .parse_next(input)
}

fn order(input: &mut &str) -> ModalResult<Order> {
    (
        multispace1,
        keyword("order"),
        multispace1,
        keyword("by"),
        multispace1,
    )
        .parse_next(input)?;
    let column = cut_err(word.context(expected("a column"))).parse_next(input)?;
    let direction = alt((keyword("desc").value(true), keyword("asc").value(false)));
    let mut descending = preceded(multispace1, direction);
    let descending = opt(descending.by_ref()).parse_next(input)?.unwrap_or(false);
    Ok(Order { column, descending })
}
