//! Text tables with aligned columns.

/// The space between two columns.
const COLUMN_GAP: &str = "  ";

/// Holds the rows of a text table, each with the same number of cells.
pub(super) struct Columns {
    lines: Vec<Vec<String>>,
}

impl Columns {
    /// Creates a table with a header row.
    pub(super) fn new(names: &[&str]) -> Self {
        Self { lines: vec![names.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(super) fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.lines.push(cells.into_iter().collect());
    }

    /// Returns the aligned rows, or `empty_text` if there are none below the header.
    pub(super) fn render(&self, empty_text: &str) -> String {
        if self.lines.len() == 1 {
            return empty_text.to_owned();
        }
        let count = self.lines[0].len();
        let width = |column: usize| {
            let cells = self.lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..count).map(width).collect();
        let pad = |(cell, width): (&String, &usize)| format!("{cell:width$}");
        let line = |cells: &Vec<String>| {
            let cells: Vec<String> = cells.iter().zip(&widths).map(pad).collect();
            cells.join(COLUMN_GAP).trim_end().to_owned()
        };
        self.lines.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
