//! Lines of text with their columns under each other.

/// The blank between two columns.
const COLUMN_GAP: &str = "  ";

/// Collects lines of equally many cells.
pub(super) struct Columns {
    lines: Vec<Vec<String>>,
}

impl Columns {
    /// Starts with the names of the columns.
    pub(super) fn new(names: &[&str]) -> Self {
        Self { lines: vec![names.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a line.
    pub(super) fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.lines.push(cells.into_iter().collect());
    }

    /// Returns the lines, or a remark in their place if there are none.
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
