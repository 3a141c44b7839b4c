//! Where a command writes.

use std::io::{self, Write};

use serde_json::{Value, json};

use crate::error::Error;

/// Takes results on one stream and remarks on the other.
pub struct Terminal<'a> {
    out: &'a mut dyn Write,
    remarks: &'a mut dyn Write,
    json: bool,
}

impl<'a> Terminal<'a> {
    /// Writes results to `out` and remarks to `remarks`; with `json` results are one JSON object.
    pub fn new(out: &'a mut dyn Write, remarks: &'a mut dyn Write, json: bool) -> Self {
        Self { out, remarks, json }
    }

    /// Tells whether results are wanted as JSON.
    pub(crate) fn wants_json(&self) -> bool {
        self.json
    }

    /// Writes a result for people, as is.
    pub(crate) fn text(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())
    }

    /// Writes a result: the object for scripts, or the text and a line end for people.
    pub(crate) fn result(&mut self, object: &Value, text: &str) -> io::Result<()> {
        if self.json {
            return writeln!(self.out, "{object}");
        }
        writeln!(self.out, "{text}")
    }

    /// Writes what people may want to know meanwhile; it is no part of the result.
    pub(crate) fn remark(&mut self, text: &str) {
        // A remark that can't be written must not end a command whose result can.
        let _ = writeln!(self.remarks, "{text}");
    }

    /// Writes why a command was not done.
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
