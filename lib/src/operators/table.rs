//! Text tables with aligned columns.

use std::fmt;

const COLUMN_SEPARATOR: &str = "  ";

/// A table of text cells with a heading.
#[derive(Clone, Debug)]
pub struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with column headings and without rows.
    pub fn new(heading: &[&str]) -> Self {
        Self { heading: heading.iter().map(|&cell| cell.to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row, which must have one cell for each column heading.
    pub fn push(&mut self, row: Vec<String>) {
        debug_assert_eq!(row.len(), self.heading.len());
        self.rows.push(row);
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn widths(&self) -> Vec<usize> {
        let lines = || std::iter::once(&self.heading).chain(&self.rows);
        let width = |column: usize| lines().map(|line| line[column].chars().count()).max();
        (0..self.heading.len()).map(|column| width(column).unwrap_or(0)).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for line in std::iter::once(&self.heading).chain(&self.rows) {
            let pad = |(cell, width): (&String, &usize)| format!("{cell:<width$}");
            let cells: Vec<_> = line.iter().zip(&widths).map(pad).collect();
            writeln!(f, "{}", cells.join(COLUMN_SEPARATOR).trim_end())?;
        }
        Ok(())
    }
}
