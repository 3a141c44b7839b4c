//! Where events end in a `text/event-stream`.
//!
//! Lines end with LF, CRLF or CR; an empty line ends an event. Lines that begin with a colon are
//! comments and belong to no event.

/// Tracks whether a stream stands between two events.
///
/// A stream that ends elsewhere has been broken off: inside a line (of a comment, too), inside a
/// CRLF, or after an event without its empty line. A stream may end after the line of a comment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    line: Line,
    /// Whether a line of an event has begun since the last empty line.
    in_event: bool,
    /// Whether a line has ended with CRLF, so that a CR alone is half of a line end.
    uses_crlf: bool,
    has_events: bool,
}

/// Describes what has been read of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing.
    #[default]
    Start,
    /// Nothing, but the CR that ended the line before, to which an LF may belong.
    AfterReturn,
    /// A part of a comment.
    Comment,
    /// A part of a field of an event.
    Field,
}

impl Position {
    /// Moves past bytes of the stream; returns how many of them there are up to the last point
    /// between two events, if they contain one.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.line == Line::AfterReturn => {
                    self.uses_crlf = true;
                    self.line = Line::Start;
                }
                b'\n' => self.end_line(Line::Start),
                b'\r' => self.end_line(Line::AfterReturn),
                _ if matches!(self.line, Line::Comment | Line::Field) => continue,
                b':' => self.line = Line::Comment,
                _ => {
                    self.line = Line::Field;
                    self.in_event = true;
                }
            }
            if self.is_between_events() {
                end = Some(index + 1);
            }
        }
        end
    }

    /// Returns whether the last event is whole.
    pub fn is_between_events(&self) -> bool {
        let is_between_lines = match self.line {
            Line::Start => true,
            Line::AfterReturn => !self.uses_crlf,
            Line::Comment | Line::Field => false,
        };
        is_between_lines && !self.in_event
    }

    /// Returns whether a stream that ends here is whole.
    ///
    /// An upstream that crashes may close its connection in order. Where only that ends a stream,
    /// one without a single event is not whole either.
    pub fn is_whole(&self, ends_with_connection: bool) -> bool {
        self.is_between_events() && (self.has_events || !ends_with_connection)
    }

    /// Returns whether the stream has had a whole event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    fn end_line(&mut self, next: Line) {
        let is_empty = matches!(self.line, Line::Start | Line::AfterReturn);
        if is_empty && std::mem::take(&mut self.in_event) {
            self.has_events = true;
        }
        self.line = next;
    }
}

/// Returns whether the value of a `Content-Type` field names an event stream, with or without
/// parameters.
pub fn is_content_type(value: &[u8]) -> bool {
    let media_type = value.split(|byte| *byte == b';').next().unwrap_or_default();
    media_type.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
}
