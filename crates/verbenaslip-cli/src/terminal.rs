//! Output of commands.

use std::io::{self, Write};

use serde_json::{Value, json};

use crate::error::Error;

/// Writes results to one stream, remarks and errors to another.
pub struct Terminal<'a> {
    out: &'a mut dyn Write,
    remarks: &'a mut dyn Write,
    json: bool,
}

impl<'a> Terminal<'a> {
    /// Creates a terminal that writes results to `out`, remarks and errors to `remarks`.
    ///
    /// With `json`, results and errors are written as JSON; remarks are always plain text.
    pub fn new(out: &'a mut dyn Write, remarks: &'a mut dyn Write, json: bool) -> Self {
        Self { out, remarks, json }
    }

    /// Returns whether results are to be written as JSON.
    pub(crate) fn wants_json(&self) -> bool {
        self.json
    }

    /// Writes a result unchanged.
    pub(crate) fn text(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())
    }

    /// Writes a line with the result: the object in JSON mode, otherwise the text.
    pub(crate) fn result(&mut self, object: &Value, text: &str) -> io::Result<()> {
        if self.json {
            return writeln!(self.out, "{object}");
        }
        writeln!(self.out, "{text}")
    }

    /// Writes a remark, such as progress, that is not part of the result.
    pub(crate) fn remark(&mut self, text: &str) {
        // A failure to write a remark must not fail the command.
        let _ = writeln!(self.remarks, "{text}");
    }

    /// Writes the error of a failed command.
    pub(crate) fn report_error(&mut self, error: &Error) {
        let exit = error.exit() as u8;
        let text = if self.json {
            json!({ "error": { "message": error.to_string(), "exit": exit } }).to_string()
        } else {
            format!("verbenaslip: {error}")
        };
        self.remark(&text);
    }
}
