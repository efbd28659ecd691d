//! Tables as text, HTML and Markdown.

use std::fmt::Write;

use serde::Serialize;

/// A table with a title.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Cells, row by row.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Table {
        Table {
            title: title.into(),
            columns: columns.iter().map(|&name| name.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The cell in a column of the first row whose first cell is `row`.
    #[must_use]
    pub fn cell(&self, row: &str, column: &str) -> Option<&str> {
        let position = self.columns.iter().position(|name| name == column)?;
        let row = self.rows.iter().find(|cells| cells[0] == row)?;
        row.get(position).map(String::as_str)
    }

    /// The table in aligned columns, with its title above.
    #[must_use]
    pub fn to_text(&self) -> String {
        let widths = self.widths();
        let mut text = format!("{}\n", self.title);
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            let mut line = String::new();
            for (position, cell) in row.iter().enumerate() {
                let width = widths[position];
                // Writing to a string does not fail.
                let _ = match position {
                    0 => write!(line, "{cell:<width$}"),
                    _ => write!(line, "  {cell:>width$}"),
                };
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        (0..self.columns.len())
            .map(|column| {
                let rows = std::iter::once(&self.columns).chain(&self.rows);
                rows.filter_map(|row| row.get(column))
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or(0)
            })
            .collect()
    }

    /// The table in HTML, with its title above.
    #[must_use]
    pub fn to_html(&self) -> String {
        let line = |cells: &[String], tag: &str| {
            let cells = cells.iter().map(|cell| format!("<{tag}>{cell}</{tag}>"));
            format!("<tr>{}</tr>", cells.collect::<String>())
        };
        let rows = self.rows.iter().map(|row| line(row, "td"));
        format!(
            "<h3>{}</h3><table>{}{}</table>",
            self.title,
            line(&self.columns, "th"),
            rows.collect::<String>()
        )
    }

    /// The table in Markdown, with its title above.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let mut text = format!("**{}**\n\n", self.title);
        text.push_str(&line(&self.columns));
        text.push_str(&format!("|{}\n", "---|".repeat(self.columns.len())));
        for row in &self.rows {
            text.push_str(&line(row));
        }
        text
    }
}
