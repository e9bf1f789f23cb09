//! Text tables.

use std::fmt;

/// A text table with aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with column headings.
    pub fn new(headings: &[&str]) -> Table {
        Table { rows: vec![headings.iter().map(|text| (*text).to_owned()).collect()] }
    }

    /// Appends a row of cells.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                line.push_str(&format!("{cell:<width$}  ", width = self.width(column)));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
