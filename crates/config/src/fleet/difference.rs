//! Human-readable differences between two fleet files, field by field.
//!
//! The files are compared in serialised form, so new fields of the types are
//! included automatically.

use std::{collections::HashMap, fmt};

use toml::Value;

use super::Fleet;

/// Fields that identify an element of a list.
const IDENTIFYING_FIELDS: [&str; 2] = ["name", "zone"];

/// One difference between two fleet files.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The changed part of the file, such as `model "quote-writer", placement "worcester"`.
    pub subject: String,
    /// The kind of change.
    pub kind: ChangeKind,
}

/// The kind of a [`Change`].
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The subject is added.
    Added,
    /// The subject is removed.
    Removed,
    /// A field of the subject changes; `None` stands for an absent field.
    Field {
        /// The field.
        field: String,
        /// The old value, as in the file.
        old: Option<String>,
        /// The new value, as in the file.
        new: Option<String>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added => write!(formatter, "{} is added", self.subject),
            ChangeKind::Removed => write!(formatter, "{} is removed", self.subject),
            ChangeKind::Field { field, old, new } => {
                if !self.subject.is_empty() {
                    write!(formatter, "{}: ", self.subject)?;
                }
                let old = old.as_deref().unwrap_or("(none)");
                let new = new.as_deref().unwrap_or("(none)");
                write!(formatter, "{field} {old} -> {new}")
            }
        }
    }
}

impl Fleet {
    /// The changes when `new` replaces this file, in the order of the sections.
    #[must_use]
    pub fn diff(&self, new: &Fleet) -> Vec<Change> {
        let mut changes = Vec::new();
        if let (Ok(old), Ok(new)) = (Value::try_from(self), Value::try_from(new)) {
            compare(&mut changes, "", "", Some(&old), Some(&new));
        }
        changes
    }
}

/// Compares one field of a subject.
fn compare(
    changes: &mut Vec<Change>,
    subject: &str,
    field: &str,
    old: Option<&Value>,
    new: Option<&Value>,
) {
    match (old, new) {
        _ if old == new => {}
        (Some(Value::Table(old)), Some(Value::Table(new))) => {
            compare_tables(changes, &nested(subject, field), old, new);
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            compare_lists(changes, subject, field, old, new);
        }
        (Some(Value::Array(old)), None) => compare_lists(changes, subject, field, old, &[]),
        (None, Some(Value::Array(new))) => compare_lists(changes, subject, field, &[], new),
        _ => changes.push(Change {
            subject: subject.to_owned(),
            kind: ChangeKind::Field {
                field: field.to_owned(),
                old: old.map(Value::to_string),
                new: new.map(Value::to_string),
            },
        }),
    }
}

fn compare_tables(changes: &mut Vec<Change>, subject: &str, old: &toml::Table, new: &toml::Table) {
    for (field, value) in old {
        compare(changes, subject, field, Some(value), new.get(field));
    }
    for (field, value) in new {
        if !old.contains_key(field) {
            compare(changes, subject, field, None, Some(value));
        }
    }
}

/// Compares lists of named elements, regardless of their order.
fn compare_lists(
    changes: &mut Vec<Change>,
    subject: &str,
    field: &str,
    old: &[Value],
    new: &[Value],
) {
    let old_by_name: HashMap<&str, &Value> = old
        .iter()
        .map(|element| (name_of(element), element))
        .collect();
    let new_by_name: HashMap<&str, &Value> = new
        .iter()
        .map(|element| (name_of(element), element))
        .collect();
    for element in old {
        let name = name_of(element);
        let named = nested(subject, &format!("{field} {name:?}"));
        match new_by_name.get(name) {
            Some(replacement) => compare(changes, &named, "", Some(element), Some(replacement)),
            None => changes.push(Change {
                subject: named,
                kind: ChangeKind::Removed,
            }),
        }
    }
    for element in new {
        let name = name_of(element);
        if !old_by_name.contains_key(name) {
            changes.push(Change {
                subject: nested(subject, &format!("{field} {name:?}")),
                kind: ChangeKind::Added,
            });
        }
    }
}

fn name_of(element: &Value) -> &str {
    IDENTIFYING_FIELDS
        .iter()
        .find_map(|field| element.get(field))
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn nested(subject: &str, part: &str) -> String {
    match (subject, part) {
        ("", part) => part.to_owned(),
        (subject, "") => subject.to_owned(),
        (subject, part) => format!("{subject}, {part}"),
    }
}
