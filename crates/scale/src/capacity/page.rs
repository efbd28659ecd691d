//! Generated tables of the capacity page.
//!
//! The page is written by hand except for the parts between a line
//! `<!-- measured: NAME -->` and the line `<!-- end measured -->`. `NAME` is the
//! marker of a [`Role`], or `budgets` for the use of the budgets of a node.

use std::{collections::BTreeSet, fmt};

use super::{
    budget::{Budget, NODE_BUDGETS},
    file::MeasuredFile,
    format::{format_figure, format_number},
    measurement::{Kind, Measurement, Role},
    size::{FleetSize, GRANITE_LANE, HANBIT, TWO_YEAR_PLAN},
};

const MARKER_PREFIX: &str = "<!-- measured: ";
const MARKER_SUFFIX: &str = " -->";
const END_MARKER: &str = "<!-- end measured -->";
const BUDGETS_MARKER: &str = "budgets";
const NOT_MEASURED: &str = "not yet measured";
/// Pairs of id suffixes: a cost with the first suffix is contained in the cost of the same
/// role with the second suffix. Contained costs are shown but not summed.
const CONTAINED_COSTS: [(&str, &str); 2] = [
    ("memory.ledger.tenants", "memory.process"),
    ("cpu.ledger.changes", "cpu.changes"),
];
const DEPLOYMENTS: [FleetSize; 3] = [GRANITE_LANE, HANBIT, TWO_YEAR_PLAN];

/// Error of rendering the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// A marker does not name a role.
    UnknownMarker(String),
    /// A generated part has no end marker.
    UnterminatedPart(String),
    /// The page has no part for a role, so the costs of the role would be missing.
    MissingRole(&'static str),
}

impl fmt::Display for PageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownMarker(name) => write!(formatter, "no role is called `{name}`"),
            Self::UnterminatedPart(name) => {
                write!(formatter, "the part `{name}` has no `{END_MARKER}`")
            }
            Self::MissingRole(name) => write!(formatter, "the page has no part `{name}`"),
        }
    }
}

impl std::error::Error for PageError {}

/// Replaces the generated parts of a page and copies all other text.
///
/// # Errors
/// When a marker is invalid or a role has no marker.
pub fn render_page(page: &str, measured: &MeasuredFile) -> Result<String, PageError> {
    let mut rendered = String::with_capacity(page.len());
    let mut roles = BTreeSet::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        push_line(&mut rendered, line);
        let Some(name) = parse_marker(line) else {
            continue;
        };
        if name == BUDGETS_MARKER {
            rendered.push_str(&budgets_table(measured));
        } else {
            let role = Role::ALL
                .into_iter()
                .find(|role| role.marker() == name)
                .ok_or_else(|| PageError::UnknownMarker(name.to_owned()))?;
            rendered.push_str(&role_table(role, measured));
            roles.insert(role);
        }
        lines
            .find(|line| *line == END_MARKER)
            .ok_or_else(|| PageError::UnterminatedPart(name.to_owned()))?;
        push_line(&mut rendered, END_MARKER);
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

fn parse_marker(line: &str) -> Option<&str> {
    line.strip_prefix(MARKER_PREFIX)?
        .strip_suffix(MARKER_SUFFIX)
}

fn role_table(role: Role, measured: &MeasuredFile) -> String {
    let mut text = String::from("\n");
    push_line(&mut text, &table_header());
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
            push_line(&mut text, &measurement_row(row, is_contained(row, &rows)));
        }
        let summed: Vec<&Measurement> = rows
            .iter()
            .copied()
            .filter(|row| !is_contained(row, &rows))
            .collect();
        if rows.len() > 1 && kind != Kind::Time {
            push_line(&mut text, &total_row(kind, &summed));
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

fn table_header() -> String {
    let names: Vec<&str> = DEPLOYMENTS.iter().map(|size| size.name).collect();
    format!(
        "| What | Measured line | Worked out | {} |",
        names.join(" | ")
    )
}

/// Whether another row includes this cost.
fn is_contained(row: &Measurement, rows: &[&Measurement]) -> bool {
    CONTAINED_COSTS.iter().any(|(contained, container)| {
        row.id.ends_with(contained) && rows.iter().any(|other| other.id.ends_with(container))
    })
}

fn measurement_row(measurement: &Measurement, is_contained: bool) -> String {
    let note = if is_contained {
        ", part of another row"
    } else {
        ""
    };
    let cells: Vec<String> = DEPLOYMENTS
        .iter()
        .map(|size| cell(measurement.kind, measurement.sustained_at(size)))
        .collect();
    format!(
        "| {}: {} (`{}`{note}) | {} | {} | {} |",
        measurement.kind.name(),
        measurement.what,
        measurement.id,
        format_line(measurement),
        format_extrapolation(measurement),
        cells.join(" | ")
    )
}

fn cell(kind: Kind, value: Option<f64>) -> String {
    value.map_or_else(|| "–".to_owned(), |value| format_figure(kind, value, false))
}

/// Fixed part and slope of the fitted line, with the measured sizes.
fn format_line(measurement: &Measurement) -> String {
    let per_occurrence = measurement.each.is_some();
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
        format_figure(measurement.kind, line.fixed, per_occurrence),
        format_figure(measurement.kind, line.slope, per_occurrence),
        measurement.per.name(),
        sizes.join(", ")
    )
}

/// Calculation of the value at the planned size.
fn format_extrapolation(measurement: &Measurement) -> String {
    let size = &TWO_YEAR_PLAN;
    let (Some(count), Some(value)) = (size.count_of(measurement.per), measurement.cost_at(size))
    else {
        return "–".to_owned();
    };
    let per_occurrence = measurement.each.is_some();
    let line = measurement.line();
    let mut extrapolation = format!(
        "{} + {} × {count} = {}",
        format_figure(measurement.kind, line.fixed, per_occurrence),
        format_figure(measurement.kind, line.slope, per_occurrence),
        format_figure(measurement.kind, value, per_occurrence)
    );
    if let Some(rate) = measurement.each.and_then(|each| each.per_second(size)) {
        extrapolation.push_str(&format!(", × {}/s", format_number(rate)));
    }
    if measurement.is_extrapolated(size) {
        extrapolation.push_str(" (extrapolated)");
    }
    extrapolation
}

fn total_row(kind: Kind, rows: &[&Measurement]) -> String {
    let cells: Vec<String> = DEPLOYMENTS
        .iter()
        .map(|size| {
            let total = rows.iter().filter_map(|row| row.sustained_at(size)).sum();
            format!("**{}**", format_figure(kind, total, false))
        })
        .collect();
    format!(
        "| **{}: sum of what is measured** | | | {} |",
        kind.name(),
        cells.join(" | ")
    )
}

/// Table of the node budgets: use at the planned size, and the multiple of the planned size
/// at which the budget is exhausted.
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
    let limit = format_figure(budget.kind, budget.limit, false);
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
            |multiple| format!("{} × the plan", format_number(multiple)),
        );
    format!(
        "| {} | {limit} | {} | {} % | {multiple} |",
        budget.kind.name(),
        format_figure(budget.kind, used, false),
        format_number(used / budget.limit * 100.0)
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
