//! The measured tables of the page.
//!
//! The page is written by hand but for the parts between a line
//! `<!-- measured: NAME -->` and the line `<!-- end measured -->`. `NAME` is the
//! marker of a [`Role`], or `budgets` for what is left of the budgets of a node.

use std::{collections::BTreeSet, fmt};

use super::{
    budget::{Budget, NODE_BUDGETS},
    file::MeasuredFile,
    format::{figure, number},
    measurement::{Kind, Measurement, Role},
    size::{FleetSize, GRANITE_LANE, HANBIT, TWO_YEAR_PLAN},
};

const START: &str = "<!-- measured: ";
const START_END: &str = " -->";
const END: &str = "<!-- end measured -->";
const BUDGETS_MARKER: &str = "budgets";
const NOT_MEASURED: &str = "not yet measured";
/// Costs that are contained in another one of the same role: end of the id, and
/// that of the containing one. They are shown and not summed.
const PARTS: [(&str, &str); 2] = [
    ("memory.ledger.tenants", "memory.process"),
    ("cpu.ledger.changes", "cpu.changes"),
];
const SIZES: [FleetSize; 3] = [GRANITE_LANE, HANBIT, TWO_YEAR_PLAN];

/// Why a page cannot be rendered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// A marker names no role.
    UnknownMarker(String),
    /// A part is not ended.
    UnterminatedPart(String),
    /// A role has no part on the page, so its figures would be missing.
    MissingRole(&'static str),
}

impl fmt::Display for PageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownMarker(name) => write!(formatter, "no role is called `{name}`"),
            Self::UnterminatedPart(name) => write!(formatter, "the part `{name}` has no `{END}`"),
            Self::MissingRole(name) => write!(formatter, "the page has no part `{name}`"),
        }
    }
}

impl std::error::Error for PageError {}

/// Renders the measured parts of a page anew; everything else stays.
///
/// # Errors
/// When the markers are wrong or a role has none.
pub fn render_page(page: &str, measured: &MeasuredFile) -> Result<String, PageError> {
    let mut rendered = String::with_capacity(page.len());
    let mut roles = BTreeSet::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        push_line(&mut rendered, line);
        let Some(name) = marker_of(line) else {
            continue;
        };
        if name == BUDGETS_MARKER {
            rendered.push_str(&budgets_table(measured));
        } else {
            let role = Role::ALL
                .into_iter()
                .find(|role| role.marker() == name)
                .ok_or_else(|| PageError::UnknownMarker(name.to_owned()))?;
            rendered.push_str(&tables_of(role, measured));
            roles.insert(role);
        }
        lines
            .find(|line| *line == END)
            .ok_or_else(|| PageError::UnterminatedPart(name.to_owned()))?;
        push_line(&mut rendered, END);
    }
    match Role::ALL.into_iter().find(|role| !roles.contains(role)) {
        Some(missing) => Err(PageError::MissingRole(missing.marker())),
        None => Ok(rendered),
    }
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

fn marker_of(line: &str) -> Option<&str> {
    line.strip_prefix(START)?.strip_suffix(START_END)
}

fn tables_of(role: Role, measured: &MeasuredFile) -> String {
    let mut text = String::from("\n");
    push_line(&mut text, &header());
    push_line(&mut text, "|---|---|---|---|---|---|");
    let mut missing = Vec::new();
    for kind in Kind::ALL {
        let rows: Vec<&Measurement> = measured
            .measurements
            .iter()
            .filter(|measurement| measurement.role == role && measurement.kind == kind)
            .collect();
        if rows.is_empty() {
            missing.push(kind.name());
        }
        for row in &rows {
            push_line(&mut text, &row_of(row, is_part(row, &rows)));
        }
        let summed: Vec<&Measurement> = rows
            .iter()
            .copied()
            .filter(|row| !is_part(row, &rows))
            .collect();
        if rows.len() > 1 && kind != Kind::Time {
            push_line(&mut text, &total_of(kind, &summed));
        }
    }
    if !missing.is_empty() {
        push_line(&mut text, "");
        let line = format!("{NOT_MEASURED} for this role: {}.", missing.join(", "));
        push_line(&mut text, &line);
    }
    push_sources(&mut text, role, measured);
    text.push('\n');
    text
}

fn header() -> String {
    let names: Vec<&str> = SIZES.iter().map(|size| size.name).collect();
    format!(
        "| What | Measured line | Worked out | {} |",
        names.join(" | ")
    )
}

/// Whether another row contains this cost.
fn is_part(row: &Measurement, rows: &[&Measurement]) -> bool {
    PARTS.iter().any(|(part, whole)| {
        row.id.ends_with(part) && rows.iter().any(|other| other.id.ends_with(whole))
    })
}

fn row_of(measurement: &Measurement, is_part: bool) -> String {
    let note = if is_part { ", part of another row" } else { "" };
    let cells: Vec<String> = SIZES
        .iter()
        .map(|size| cell(measurement.kind, measurement.sustained_at(size)))
        .collect();
    format!(
        "| {}: {} (`{}`{note}) | {} | {} | {} |",
        measurement.kind.name(),
        measurement.what,
        measurement.id,
        line_of(measurement),
        work_of(measurement),
        cells.join(" | ")
    )
}

fn cell(kind: Kind, value: Option<f64>) -> String {
    value.map_or_else(|| "–".to_owned(), |value| figure(kind, value, false))
}

/// Fixed part and slope, with the sizes that were measured.
fn line_of(measurement: &Measurement) -> String {
    let once = measurement.each.is_some();
    let line = measurement.line();
    let sizes: Vec<String> = measurement
        .points
        .iter()
        .map(|point| point.size.to_string())
        .collect();
    let each = measurement
        .each
        .map(|frequency| format!(" each {}", frequency.name()))
        .unwrap_or_default();
    format!(
        "{} + {} × {}{each}, at {}",
        figure(measurement.kind, line.fixed, once),
        figure(measurement.kind, line.slope, once),
        measurement.per.name(),
        sizes.join(", ")
    )
}

/// The extrapolation to the plan, written out.
fn work_of(measurement: &Measurement) -> String {
    let size = &TWO_YEAR_PLAN;
    let (Some(count), Some(value)) = (size.of(measurement.per), measurement.at(size)) else {
        return "–".to_owned();
    };
    let once = measurement.each.is_some();
    let line = measurement.line();
    let mut work = format!(
        "{} + {} × {count} = {}",
        figure(measurement.kind, line.fixed, once),
        figure(measurement.kind, line.slope, once),
        figure(measurement.kind, value, once)
    );
    if let Some(rate) = measurement.each.and_then(|each| each.per_second(size)) {
        work.push_str(&format!(", × {}/s", number(rate)));
    }
    if measurement.is_extrapolated(size) {
        work.push_str(" (extrapolated)");
    }
    work
}

fn total_of(kind: Kind, rows: &[&Measurement]) -> String {
    let cells: Vec<String> = SIZES
        .iter()
        .map(|size| {
            let total = rows.iter().filter_map(|row| row.sustained_at(size)).sum();
            format!("**{}**", figure(kind, total, false))
        })
        .collect();
    format!(
        "| **{}: sum of what is measured** | | | {} |",
        kind.name(),
        cells.join(" | ")
    )
}

/// What each budget of a node is used by, and the size at which it is used up.
fn budgets_table(measured: &MeasuredFile) -> String {
    let mut text = String::from("\n");
    push_line(
        &mut text,
        "| Budget of a node | Limit | Plan | Share | Used up at |",
    );
    push_line(&mut text, "|---|---|---|---|---|");
    for budget in &NODE_BUDGETS {
        push_line(&mut text, &budget_row(budget, measured));
    }
    text.push('\n');
    text
}

fn budget_row(budget: &Budget, measured: &MeasuredFile) -> String {
    let limit = figure(budget.kind, budget.limit, false);
    let Some(used) = budget.used_at(&TWO_YEAR_PLAN, measured) else {
        return format!(
            "| {} | {limit} | {NOT_MEASURED} | – | – |",
            budget.kind.name()
        );
    };
    let multiple = budget
        .exhausting_multiple(&TWO_YEAR_PLAN, measured)
        .map_or_else(
            || "never by what is measured".to_owned(),
            |multiple| format!("{} × the plan", number(multiple)),
        );
    format!(
        "| {} | {limit} | {} | {} % | {multiple} |",
        budget.kind.name(),
        figure(budget.kind, used, false),
        number(used / budget.limit * 100.0)
    )
}

fn push_sources(text: &mut String, role: Role, measured: &MeasuredFile) {
    let sources: BTreeSet<String> = measured
        .measurements
        .iter()
        .filter(|measurement| measurement.role == role)
        .map(|measurement| {
            let source = &measurement.source;
            format!(
                "`{}` at commit {} on {}",
                source.command, source.commit, source.date
            )
        })
        .collect();
    if sources.is_empty() {
        return;
    }
    push_line(text, "");
    let sources: Vec<String> = sources.into_iter().collect();
    push_line(text, &format!("Source: {}.", sources.join("; ")));
}
