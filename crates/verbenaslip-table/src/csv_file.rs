//! Reads and writes the table as a CSV file.

use std::collections::BTreeMap;

use csv::{QuoteStyle, ReaderBuilder, StringRecord, WriterBuilder};

use crate::column::Column;
use crate::problem::{Problem, Problems};
use crate::row::{Preference, Row};
use crate::table::{NumberedRow, Table};

/// The maximum size of a file.
pub const MAX_FILE_BYTES: usize = 1 << 20;

impl Table {
    /// Reads a table from a CSV file.
    ///
    /// The columns may be in any order. A byte order mark, Windows line ends, whitespace around
    /// values and empty lines are accepted, since spreadsheets write them.
    ///
    /// # Errors
    ///
    /// Returns all problems in the file at once.
    pub fn parse(file: &[u8]) -> Result<Self, Problems> {
        let text = decode(file).map_err(|problem| Problems(vec![problem]))?;
        let mut parser = CsvParser::default();
        let rows = parser.parse_rows(&text);
        let table = Self::from_numbered_rows(rows, &mut parser.problems);
        if parser.problems.is_empty() { Ok(table) } else { Err(Problems(parser.problems)) }
    }

    /// Returns the table as CSV in canonical form: fixed order of columns and rows, `\n` line ends.
    pub fn to_csv(&self) -> String {
        let mut writer =
            WriterBuilder::new().quote_style(QuoteStyle::Necessary).from_writer(vec![]);
        let header = Column::ALL.map(Column::name);
        let rows = self.rows().iter().map(|row| Column::ALL.map(|column| row.cell(column)));
        // Writing to memory fails only if records differ in length; here all have the same length.
        let _ = writer.write_record(header);
        for row in rows {
            let _ = writer.write_record(row);
        }
        let bytes = writer.into_inner().unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// Parses a CSV file and collects its problems.
#[derive(Default)]
struct CsvParser {
    /// The index of each column in a record.
    columns: BTreeMap<Column, usize>,
    /// The number of cells in the header, which every row must have.
    column_count: usize,
    problems: Vec<Problem>,
}

impl CsvParser {
    /// Parses the header and the rows; a row whose key cannot be read is left out.
    fn parse_rows(&mut self, text: &str) -> Vec<NumberedRow> {
        let mut reader =
            ReaderBuilder::new().has_headers(false).flexible(true).from_reader(text.as_bytes());
        let mut record = StringRecord::new();
        let mut rows = Vec::new();
        let mut header = true;
        while reader.read_record(&mut record).unwrap_or_default() {
            let number = start_line(&record, reader.position().line());
            if record.iter().all(|cell| cell.trim().is_empty()) {
                continue;
            }
            if header {
                header = false;
                self.parse_header(number, &record);
            } else if let Some(row) = self.parse_row(number, &record) {
                rows.push(NumberedRow { number, row });
            }
        }
        if header {
            self.problems.push(Problem::new(
                0,
                "",
                "",
                format!("a header, with commas: {}", all_columns()),
            ));
        }
        rows
    }

    /// Finds the index of each column and reports unknown, duplicate and missing columns.
    fn parse_header(&mut self, number: u32, record: &StringRecord) {
        self.column_count = record.len();
        if !record.iter().any(|name| Column::from_name(name.trim()).is_some()) {
            let value = record.iter().collect::<Vec<_>>().join(",");
            let allowed = format!("a header, with commas: {}", all_columns());
            self.problems.push(Problem::new(number, "", &value, allowed));
            return;
        }
        for (index, name) in record.iter().map(str::trim).enumerate() {
            let Some(column) = Column::from_name(name) else {
                let allowed = format!("only these columns, between commas: {}", all_columns());
                self.problems.push(Problem::new(number, name, name, allowed));
                continue;
            };
            if self.columns.insert(column, index).is_some() {
                self.problems.push(Problem::cell(number, column, name, "each column once"));
            }
        }
        for column in Column::ALL {
            if !self.columns.contains_key(&column) {
                let allowed = "every column; this one is missing";
                self.problems.push(Problem::cell(number, column, "", allowed));
            }
        }
    }

    /// Parses one row and reports its problems; returns none if the key cannot be read.
    fn parse_row(&mut self, number: u32, record: &StringRecord) -> Option<Row> {
        if let Some(cell) = record.iter().find(|cell| cell.contains('\n')) {
            let allowed = "cells of one line; a quote may have been left open";
            self.problems.push(Problem::new(number, "", cell, allowed));
            return None;
        }
        if self.columns.is_empty() {
            return None;
        }
        if record.len() != self.column_count {
            let allowed = format!("{} cells, as in the header", self.column_count);
            let value = format!("{} cells", record.len());
            self.problems.push(Problem::new(number, "", &value, allowed));
            return None;
        }
        let before = self.problems.len();
        let mut row_parser = RowParser { number, record, parser: self };
        let row = row_parser.parse();
        row_parser.check_texts(&row);
        if self.problems.len() == before {
            self.problems.extend(row.check_deadline(number));
        }
        let has_key =
            [Column::Team, Column::Class].iter().all(|key| self.columns.contains_key(key));
        has_key.then_some(row)
    }
}

/// Parses the cells of one row.
struct RowParser<'a> {
    number: u32,
    record: &'a StringRecord,
    parser: &'a mut CsvParser,
}

impl RowParser<'_> {
    fn parse(&mut self) -> Row {
        Row {
            team: self.text(Column::Team).into(),
            class: self.text(Column::Class).into(),
            weight: self.number(Column::Weight),
            priority: self.number(Column::Priority),
            rate: self.optional_number(Column::Rate),
            burst: self.number(Column::Burst),
            concurrency: self.number(Column::Concurrency),
            tokens_per_s: self.optional_number(Column::TokensPerS),
            deadline_ms: self.number(Column::DeadlineMs),
            first_token_ms: self.number(Column::FirstTokenMs),
            max_output_tokens: self.number(Column::MaxOutputTokens),
            max_wait_ms: self.number(Column::MaxWaitMs),
            retries_percent: self.number(Column::RetriesPercent),
            reserve_percent: self.number(Column::ReservePercent),
            prefer: self.preference(),
            note: self.text(Column::Note).into(),
        }
    }

    /// Reports cells whose text is not allowed.
    fn check_texts(&mut self, row: &Row) {
        for column in [Column::Team, Column::Class, Column::Note] {
            if !row.is_cell_valid(column) {
                self.report(column);
            }
        }
    }

    /// Returns a cell's text without surrounding whitespace; empty if the column is missing.
    fn text(&self, column: Column) -> &str {
        let index = self.parser.columns.get(&column);
        index.and_then(|index| self.record.get(*index)).unwrap_or_default().trim()
    }

    fn preference(&mut self) -> Preference {
        let found = Preference::from_name(self.text(Column::Prefer));
        found.unwrap_or_else(|| {
            self.report(Column::Prefer);
            Preference::default()
        })
    }

    /// Returns a number, or none if the cell is empty.
    fn optional_number(&mut self, column: Column) -> Option<u32> {
        if self.text(column).is_empty() {
            return None;
        }
        Some(self.number(column))
    }

    fn number(&mut self, column: Column) -> u32 {
        let text = self.text(column);
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = digits.then(|| text.parse().ok()).flatten();
        let bounds = column.bounds();
        let number = number.filter(|number| bounds.is_none_or(|bounds| bounds.contains(*number)));
        number.unwrap_or_else(|| {
            self.report(column);
            0
        })
    }

    /// Reports a cell whose value is not allowed; a missing column was already reported once.
    fn report(&mut self, column: Column) {
        if self.parser.columns.contains_key(&column) {
            let problem = Problem::cell(self.number, column, self.text(column), column.allowed());
            self.parser.problems.push(problem);
        }
    }
}

/// Returns the line at which a record starts, given the number of the line after its end.
fn start_line(record: &StringRecord, next_line: u64) -> u32 {
    let line_breaks: usize = record.iter().map(|cell| cell.matches('\n').count()).sum();
    // An unclosed quote takes in the last line end of the file, so that no line follows the record.
    let open_quote = record.iter().next_back().is_some_and(|cell| cell.ends_with('\n'));
    let lines = line_breaks as u64 + u64::from(!open_quote);
    u32::try_from(next_line.saturating_sub(lines)).unwrap_or(u32::MAX)
}

/// Decodes UTF-8 and makes every line end with `\n`, the last one included.
fn decode(file: &[u8]) -> Result<String, Problem> {
    if file.len() > MAX_FILE_BYTES {
        let value = format!("{} bytes", file.len());
        return Err(Problem::new(0, "", &value, format!("at most {MAX_FILE_BYTES} bytes")));
    }
    let text = std::str::from_utf8(file).map_err(|error| {
        let valid = &file[..error.valid_up_to()];
        let row = valid.iter().filter(|byte| **byte == b'\n').count() as u32 + 1;
        let line = valid.rsplit(|byte| *byte == b'\n').next().unwrap_or_default();
        Problem::new(row, "", &String::from_utf8_lossy(line), "text in UTF-8")
    })?;
    Ok(text.replace("\r\n", "\n").replace('\r', "\n") + "\n")
}

fn all_columns() -> String {
    Column::ALL.map(Column::name).join(",")
}
