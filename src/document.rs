//! Reading YAML so that every fault names its key and its line.
//!
//! Unknown keys are all reported together with one type error, if there is
//! one; a document whose types are right then gets all the faults of meaning
//! that its owner finds.

use marked_yaml::Node;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    key: String,
    text: String,
}

impl Fault {
    /// A fault at `key`, a path such as `services[0].kinds[1].name`.
    pub fn new(key: &str, text: &str) -> Fault {
        Fault {
            key: key.to_string(),
            text: text.to_string(),
        }
    }

    fn line_of(&self, document: &str) -> String {
        match find_line(document, &self.key) {
            Some(line) => format!("line {line}: {}: {}", self.key, self.text),
            None => format!("{}: {}", self.key, self.text),
        }
    }
}

/// Reads a document; unknown keys are faults.
pub fn parse<T: DeserializeOwned>(document: &str) -> Result<T> {
    let mut unknown = Vec::new();
    let mut on_unknown = |path: serde_ignored::Path<'_>| unknown.push(key_path(&path.to_string()));
    let yaml = serde_yaml_ng::Deserializer::from_str(document);
    let mut track = serde_path_to_error::Track::new();
    let yaml = serde_path_to_error::Deserializer::new(yaml, &mut track);
    let parsed = serde_ignored::deserialize(yaml, &mut on_unknown);
    let mut faults: Vec<Fault> = unknown
        .iter()
        .map(|key| Fault::new(key, "unknown key"))
        .collect();
    match parsed {
        Ok(value) => {
            reject(document, &faults)?;
            Ok(value)
        }
        Err(err) => {
            let key = track.path().to_string();
            faults.push(Fault::new(&key, &err.to_string()));
            Err(invalid(document, &faults))
        }
    }
}

/// Fails with all `faults` if there are any.
pub fn reject(document: &str, faults: &[Fault]) -> Result<()> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(invalid(document, faults))
}

fn invalid(document: &str, faults: &[Fault]) -> Error {
    Error::Invalid(faults.iter().map(|fault| fault.line_of(document)).collect())
}

/// Turns `a.0.b` into `a[0].b`.
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
