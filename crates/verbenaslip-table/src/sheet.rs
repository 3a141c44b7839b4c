//! The table as a CSV file.

use std::collections::BTreeMap;

use csv::{QuoteStyle, ReaderBuilder, StringRecord, WriterBuilder};

use crate::column::Column;
use crate::problem::{Problem, Problems};
use crate::row::{Preference, Row};
use crate::table::{Line, Table};

/// Bounds a file, in bytes.
pub const MAX_FILE: usize = 1 << 20;

impl Table {
    /// Reads a table from a CSV file.
    ///
    /// The columns may stand in any order. A byte order mark, Windows line ends, blank around
    /// values and empty lines do no harm, since spreadsheets leave them.
    ///
    /// # Errors
    ///
    /// Returns every problem in the file at once.
    pub fn parse(file: &[u8]) -> Result<Self, Problems> {
        let text = text(file).map_err(|problem| Problems(vec![problem]))?;
        let mut sheet = Sheet::default();
        let lines = sheet.read(&text);
        let table = Self::gather(lines, &mut sheet.problems);
        if sheet.problems.is_empty() { Ok(table) } else { Err(Problems(sheet.problems)) }
    }

    /// Writes the table in its canonical form: columns and rows in fixed order, `\n` line ends.
    pub fn to_csv(&self) -> String {
        let mut writer =
            WriterBuilder::new().quote_style(QuoteStyle::Necessary).from_writer(vec![]);
        let header = Column::ALL.map(Column::name);
        let rows = self.rows().iter().map(|row| Column::ALL.map(|column| row.cell(column)));
        // Writing to memory fails only on records of unequal length, and all have one cell a column.
        let _ = writer.write_record(header);
        for row in rows {
            let _ = writer.write_record(row);
        }
        let bytes = writer.into_inner().unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// Reads one file and gathers what is wrong with it.
#[derive(Default)]
struct Sheet {
    /// Where each column stands.
    columns: BTreeMap<Column, usize>,
    /// How many cells a row has.
    width: usize,
    problems: Vec<Problem>,
}

impl Sheet {
    /// Reads header and rows; a row whose key can't be read is left out.
    fn read(&mut self, text: &str) -> Vec<Line> {
        let mut reader =
            ReaderBuilder::new().has_headers(false).flexible(true).from_reader(text.as_bytes());
        let mut record = StringRecord::new();
        let mut lines = Vec::new();
        let mut header = true;
        while reader.read_record(&mut record).unwrap_or_default() {
            let number = first_line(&record, reader.position().line());
            if record.iter().all(|cell| cell.trim().is_empty()) {
                continue;
            }
            if header {
                header = false;
                self.header(number, &record);
            } else if let Some(row) = self.row(number, &record) {
                lines.push(Line { number, row });
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
        lines
    }

    /// Finds the columns; each must stand exactly once.
    fn header(&mut self, number: u32, record: &StringRecord) {
        self.width = record.len();
        if !record.iter().any(|name| Column::named(name.trim()).is_some()) {
            let value = record.iter().collect::<Vec<_>>().join(",");
            let allowed = format!("a header, with commas: {}", all_columns());
            self.problems.push(Problem::new(number, "", &value, allowed));
            return;
        }
        for (place, name) in record.iter().map(str::trim).enumerate() {
            let Some(column) = Column::named(name) else {
                let allowed = format!("only these columns, between commas: {}", all_columns());
                self.problems.push(Problem::new(number, name, name, allowed));
                continue;
            };
            if self.columns.insert(column, place).is_some() {
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

    /// Reads one row, or notes why it can't be read.
    fn row(&mut self, number: u32, record: &StringRecord) -> Option<Row> {
        if let Some(cell) = record.iter().find(|cell| cell.contains('\n')) {
            let allowed = "cells of one line; a quote may have been left open";
            self.problems.push(Problem::new(number, "", cell, allowed));
            return None;
        }
        if self.columns.is_empty() {
            return None;
        }
        if record.len() != self.width {
            let allowed = format!("{} cells, as in the header", self.width);
            let value = format!("{} cells", record.len());
            self.problems.push(Problem::new(number, "", &value, allowed));
            return None;
        }
        let before = self.problems.len();
        let mut cells = Cells { number, record, sheet: self };
        let row = cells.row();
        cells.check(&row);
        if self.problems.len() == before {
            self.problems.extend(row.compare(number));
        }
        let keyed = [Column::Team, Column::Class].iter().all(|key| self.columns.contains_key(key));
        keyed.then_some(row)
    }
}

/// Reads the cells of one row.
struct Cells<'a> {
    number: u32,
    record: &'a StringRecord,
    sheet: &'a mut Sheet,
}

impl Cells<'_> {
    fn row(&mut self) -> Row {
        Row {
            team: self.text(Column::Team).into(),
            class: self.text(Column::Class).into(),
            weight: self.number(Column::Weight),
            priority: self.number(Column::Priority),
            rate: self.limit(Column::Rate),
            burst: self.number(Column::Burst),
            concurrency: self.number(Column::Concurrency),
            tokens_per_s: self.limit(Column::TokensPerS),
            deadline_ms: self.number(Column::DeadlineMs),
            first_token_ms: self.number(Column::FirstTokenMs),
            max_output_tokens: self.number(Column::MaxOutputTokens),
            max_wait_ms: self.number(Column::MaxWaitMs),
            retries_percent: self.number(Column::RetriesPercent),
            reserve_percent: self.number(Column::ReservePercent),
            prefer: self.prefer(),
            note: self.text(Column::Note).into(),
        }
    }

    /// Notes the cells of a row that hold text which is not allowed.
    fn check(&mut self, row: &Row) {
        for column in [Column::Team, Column::Class, Column::Note] {
            if !row.fits(column) {
                self.refuse(column);
            }
        }
    }

    /// Returns a cell without blank around it; empty where the header lacks the column.
    fn text(&self, column: Column) -> &str {
        let place = self.sheet.columns.get(&column);
        place.and_then(|place| self.record.get(*place)).unwrap_or_default().trim()
    }

    fn prefer(&mut self) -> Preference {
        let found = Preference::named(self.text(Column::Prefer));
        found.unwrap_or_else(|| {
            self.refuse(Column::Prefer);
            Preference::default()
        })
    }

    /// Returns a number that may be left out.
    fn limit(&mut self, column: Column) -> Option<u32> {
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
        let number = number.filter(|number| bounds.is_none_or(|bounds| bounds.hold(*number)));
        number.unwrap_or_else(|| {
            self.refuse(column);
            0
        })
    }

    /// Notes a cell whose value is not allowed; a missing column has been noted once already.
    fn refuse(&mut self, column: Column) {
        if self.sheet.columns.contains_key(&column) {
            let problem = Problem::cell(self.number, column, self.text(column), column.allowed());
            self.sheet.problems.push(problem);
        }
    }
}

/// Returns the line at which a record began, from the line after its end.
fn first_line(record: &StringRecord, after: u64) -> u32 {
    let breaks: usize = record.iter().map(|cell| cell.matches('\n').count()).sum();
    // A quote left open swallows the line end of the file, so that no line follows.
    let open = record.iter().next_back().is_some_and(|cell| cell.ends_with('\n'));
    let lines = breaks as u64 + u64::from(!open);
    u32::try_from(after.saturating_sub(lines)).unwrap_or(u32::MAX)
}

/// Decodes a file and gives every line the same end, the last one too.
fn text(file: &[u8]) -> Result<String, Problem> {
    if file.len() > MAX_FILE {
        let value = format!("{} bytes", file.len());
        return Err(Problem::new(0, "", &value, format!("at most {MAX_FILE} bytes")));
    }
    let text = std::str::from_utf8(file).map_err(|error| {
        let good = &file[..error.valid_up_to()];
        let row = good.iter().filter(|byte| **byte == b'\n').count() as u32 + 1;
        let line = good.rsplit(|byte| *byte == b'\n').next().unwrap_or_default();
        Problem::new(row, "", &String::from_utf8_lossy(line), "text in UTF-8")
    })?;
    Ok(text.replace("\r\n", "\n").replace('\r', "\n") + "\n")
}

fn all_columns() -> String {
    Column::ALL.map(Column::name).join(",")
}
