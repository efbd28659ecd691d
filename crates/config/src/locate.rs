//! Finds the line of a field in a TOML text and the field at a place.
//!
//! The text is parsed a second time for this, so it is only done once an
//! error is known.

use std::{fmt, ops::Range};

use toml::de::{DeArray, DeTable, DeValue};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The field, such as `model[0].placement[1].zone`; empty where the syntax is at fault.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl FieldError {
    /// An error at a field; the line is looked up in the text.
    #[must_use]
    pub fn at(text: &str, field: FieldPath, message: impl Into<String>) -> Self {
        FieldError {
            line: Locator::new(text).and_then(|locator| locator.line_of(&field)),
            field: field.to_string(),
            message: message.into(),
        }
    }

    /// Turns a parser's error into one that names line and field.
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

/// One step from a table or array to what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// The way from the root of a file to a field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath(Vec<Step>);

impl FieldPath {
    /// The field of this name at the root.
    #[must_use]
    pub fn root(key: &str) -> Self {
        FieldPath::default().key(key)
    }

    /// The field of this name below.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.with(Step::Key(key.to_owned()))
    }

    /// The element of this number below, from 0.
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

/// Finds lines of fields in one text.
pub struct Locator<'a> {
    text: &'a str,
    root: toml::Spanned<DeTable<'a>>,
}

impl<'a> Locator<'a> {
    /// Parses the text; `None` when its syntax is wrong.
    #[must_use]
    pub fn new(text: &'a str) -> Option<Self> {
        let root = DeTable::parse(text).ok()?;
        Some(Locator { text, root })
    }

    /// The line of a field, from 1; of the nearest table around it when the
    /// field is absent; `None` when that is the root.
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

/// Where a key stands and its value.
fn entry_of<'t, 'a>(
    table: &'t DeTable<'a>,
    key: &str,
) -> Option<(usize, &'t toml::Spanned<DeValue<'a>>)> {
    table
        .iter()
        .find(|(name, _)| name.get_ref().as_ref() == key)
        .map(|(name, value)| (name.span().start, value))
}

/// The deepest field whose key or value lies at the span.
fn field_at(text: &str, span: &Range<usize>) -> Option<FieldPath> {
    let root = DeTable::parse(text).ok()?;
    let mut best = FieldPath::default();
    search_table(root.get_ref(), &FieldPath::default(), span, &mut best);
    Some(best)
}

fn search_table(
    table: &DeTable<'_>,
    path: &FieldPath,
    wanted: &Range<usize>,
    best: &mut FieldPath,
) {
    for (name, value) in table.iter() {
        let here = path.key(name.get_ref());
        if covers(&name.span(), wanted) || covers(&value.span(), wanted) {
            *best = here.clone();
        }
        search_value(value.get_ref(), &here, wanted, best);
    }
}

fn search_value(
    value: &DeValue<'_>,
    path: &FieldPath,
    wanted: &Range<usize>,
    best: &mut FieldPath,
) {
    match value {
        DeValue::Table(table) => search_table(table, path, wanted, best),
        DeValue::Array(array) => {
            for (index, element) in array.iter().enumerate() {
                let here = path.index(index);
                if covers(&element.span(), wanted) {
                    *best = here.clone();
                }
                search_value(element.get_ref(), &here, wanted, best);
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

/// The parser's words on one line; the name of a key that stands twice is added.
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
