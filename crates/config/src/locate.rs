//! Finds the line of a field in a TOML text, and the field at a position.
//!
//! This parses the text a second time, so it is only done after an error was
//! found.

use std::{fmt, ops::Range};

use toml::de::{DeArray, DeTable, DeValue};

/// An error in a file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The line, from 1, if known.
    pub line: Option<usize>,
    /// The field, such as `model[0].placement[1].zone`; empty for a syntax error.
    pub field: String,
    /// Description of the error.
    pub message: String,
}

impl FieldError {
    /// Creates an error at a field; the line is looked up in the text.
    #[must_use]
    pub fn at(text: &str, field: FieldPath, message: impl Into<String>) -> Self {
        FieldError {
            line: Locator::new(text).and_then(|locator| locator.line_of(&field)),
            field: field.to_string(),
            message: message.into(),
        }
    }

    /// Converts a parser error and adds line and field.
    #[must_use]
    pub fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let span = error.span();
        let field = span
            .as_ref()
            .filter(|span| !span.is_empty())
            .and_then(|span| field_at(text, span))
            .unwrap_or_default();
        FieldError {
            line: span.map(|span| line_at(text, span.start)),
            field: field.to_string(),
            message: message_of(text, error),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for FieldError {}

/// One step from a table or array to one of its elements.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// The path from the root of a file to a field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath(Vec<Step>);

impl FieldPath {
    /// The path of a field at the root.
    #[must_use]
    pub fn root(key: &str) -> Self {
        FieldPath::default().key(key)
    }

    /// The path of a field of the table at this path.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.with(Step::Key(key.to_owned()))
    }

    /// The path of an element of the array at this path, from 0.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.with(Step::Index(index))
    }

    fn with(&self, step: Step) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        FieldPath(steps)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) if position == 0 => formatter.write_str(key)?,
                Step::Key(key) => write!(formatter, ".{key}")?,
                Step::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Finds the lines of fields in one text.
pub struct Locator<'a> {
    text: &'a str,
    root: toml::Spanned<DeTable<'a>>,
}

impl<'a> Locator<'a> {
    /// Parses the text; `None` on a syntax error.
    #[must_use]
    pub fn new(text: &'a str) -> Option<Self> {
        let root = DeTable::parse(text).ok()?;
        Some(Locator { text, root })
    }

    /// The line of a field, from 1. If the field is absent, the line of the
    /// innermost table that should contain it; `None` if that is the root.
    #[must_use]
    pub fn line_of(&self, path: &FieldPath) -> Option<usize> {
        let mut table = Some(self.root.get_ref());
        let mut array = None;
        let mut found = None;
        for step in &path.0 {
            let entry = match step {
                Step::Key(key) => table.and_then(|table| entry_of(table, key)),
                Step::Index(index) => array
                    .and_then(|array: &DeArray<'a>| array.get(*index))
                    .map(|value| (value.span().start, value)),
            };
            let Some((offset, value)) = entry else {
                break;
            };
            found = Some(offset);
            table = value.get_ref().as_table();
            array = value.get_ref().as_array();
        }
        found.map(|offset| line_at(self.text, offset))
    }
}

/// The offset of a key and its value.
fn entry_of<'t, 'a>(
    table: &'t DeTable<'a>,
    key: &str,
) -> Option<(usize, &'t toml::Spanned<DeValue<'a>>)> {
    table
        .iter()
        .find(|(name, _)| name.get_ref().as_ref() == key)
        .map(|(name, value)| (name.span().start, value))
}

/// The most deeply nested field whose key or value covers the span.
fn field_at(text: &str, span: &Range<usize>) -> Option<FieldPath> {
    let root = DeTable::parse(text).ok()?;
    let mut best = FieldPath::default();
    search_table(root.get_ref(), &FieldPath::default(), span, &mut best);
    Some(best)
}

fn search_table(table: &DeTable<'_>, path: &FieldPath, span: &Range<usize>, best: &mut FieldPath) {
    for (name, value) in table.iter() {
        let here = path.key(name.get_ref());
        if covers(&name.span(), span) || covers(&value.span(), span) {
            *best = here.clone();
        }
        search_value(value.get_ref(), &here, span, best);
    }
}

fn search_value(value: &DeValue<'_>, path: &FieldPath, span: &Range<usize>, best: &mut FieldPath) {
    match value {
        DeValue::Table(table) => search_table(table, path, span, best),
        DeValue::Array(array) => {
            for (index, element) in array.iter().enumerate() {
                let here = path.index(index);
                if covers(&element.span(), span) {
                    *best = here.clone();
                }
                search_value(element.get_ref(), &here, span, best);
            }
        }
        _ => {}
    }
}

fn covers(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end && outer.start < outer.end
}

fn line_at(text: &str, offset: usize) -> usize {
    1 + text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

/// The parser's message on one line, with the name of a duplicate key added.
fn message_of(text: &str, error: &toml::de::Error) -> String {
    const DUPLICATE: &str = "duplicate key";
    match error.span().and_then(|span| text.get(span)) {
        Some(key) if error.message() == DUPLICATE => format!("{DUPLICATE} `{key}`"),
        _ => one_line(error.message()),
    }
}

fn one_line(message: &str) -> String {
    message
        .lines()
        .map(str::trim)
        .collect::<Vec<_>>()
        .join("; ")
}
