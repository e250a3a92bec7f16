//! Parses YAML and reports errors with their key and line.
//!
//! [`parse`] reports all unknown keys, and the first type error if there is one. Callers
//! validate the values of the parsed document and report all errors with [`ensure_valid`].

use marked_yaml::Node;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    key: String,
    text: String,
}

impl ValidationError {
    /// Creates an error at `key`, a path such as `services[0].kinds[1].name`.
    pub fn new(key: &str, text: &str) -> ValidationError {
        ValidationError {
            key: key.to_string(),
            text: text.to_string(),
        }
    }

    fn describe(&self, document: &str) -> String {
        match find_line(document, &self.key) {
            Some(line) => format!("line {line}: {}: {}", self.key, self.text),
            None => format!("{}: {}", self.key, self.text),
        }
    }
}

/// Parses a document; unknown keys are errors.
pub fn parse<T: DeserializeOwned>(document: &str) -> Result<T> {
    let mut unknown = Vec::new();
    let mut on_unknown = |path: serde_ignored::Path<'_>| unknown.push(key_path(&path.to_string()));
    let yaml = serde_yaml_ng::Deserializer::from_str(document);
    let mut track = serde_path_to_error::Track::new();
    let yaml = serde_path_to_error::Deserializer::new(yaml, &mut track);
    let parsed = serde_ignored::deserialize(yaml, &mut on_unknown);
    let mut errors: Vec<ValidationError> = unknown
        .iter()
        .map(|key| ValidationError::new(key, "unknown key"))
        .collect();
    match parsed {
        Ok(value) => {
            ensure_valid(document, &errors)?;
            Ok(value)
        }
        Err(err) => {
            let key = track.path().to_string();
            errors.push(ValidationError::new(&key, &err.to_string()));
            Err(invalid(document, &errors))
        }
    }
}

/// Fails if `errors` is not empty.
pub fn ensure_valid(document: &str, errors: &[ValidationError]) -> Result<()> {
    if errors.is_empty() {
        return Ok(());
    }
    Err(invalid(document, errors))
}

fn invalid(document: &str, errors: &[ValidationError]) -> Error {
    Error::Invalid(
        errors
            .iter()
            .map(|error| error.describe(document))
            .collect(),
    )
}

/// Converts `a.0.b` to `a[0].b`.
fn key_path(dotted: &str) -> String {
    let mut key = String::new();
    for part in dotted.split('.').filter(|part| *part != "?") {
        if part.parse::<usize>().is_ok() {
            key.push_str(&format!("[{part}]"));
        } else if key.is_empty() {
            key.push_str(part);
        } else {
            key.push_str(&format!(".{part}"));
        }
    }
    key
}

fn find_line(document: &str, key: &str) -> Option<usize> {
    let root = marked_yaml::parse_yaml(0, document).ok()?;
    let mut node = &root;
    for part in key.replace('[', ".").replace(']', "").split('.') {
        node = match child(node, part) {
            Some(child) => child,
            None => break,
        };
    }
    node.span().start().map(|mark| mark.line())
}

fn child<'n>(node: &'n Node, part: &str) -> Option<&'n Node> {
    match (node, part.parse::<usize>()) {
        (Node::Sequence(list), Ok(index)) => list.get(index),
        (Node::Mapping(map), _) => map.get_node(part),
        _ => None,
    }
}
