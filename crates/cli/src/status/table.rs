//! Text tables with aligned columns.

use std::fmt;

/// Spaces between columns.
const GAP: &str = "  ";

/// A table whose column widths depend on all rows.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new<const N: usize>(headers: [&str; N]) -> Self {
        Table {
            rows: vec![headers.map(str::to_owned).to_vec()],
        }
    }

    pub(super) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or_default()
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{GAP}{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
