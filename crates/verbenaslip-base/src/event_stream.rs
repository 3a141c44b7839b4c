//! Where events end in a `text/event-stream`, and which numbers they have.
//!
//! Lines end with LF, CRLF or CR; an empty line ends an event. Lines that begin with a colon are
//! comments and belong to no event.

/// Byte order mark with which a stream may begin.
pub const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Describes why bytes between two ends of events are no event of a numbered stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No line names an `id`.
    NoId,
    /// The `id` is empty.
    EmptyId,
    /// The `id` is not a decimal number of at most 64 bits.
    InvalidId,
    /// Several lines name an `id`.
    SeveralIds,
    /// The `id` is not above that of the event before.
    StaleId,
    /// The `id` lies between those of the two events before, so that the last of these is doubtful.
    SkippedId,
    /// The bytes are not UTF-8.
    Encoding,
    /// A line is no field: it has neither a colon after a name nor the name of a known field.
    Field,
    /// The event is longer than its reader holds.
    TooLong,
}

impl Fault {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoId => "no_id",
            Self::EmptyId => "empty_id",
            Self::InvalidId => "invalid_id",
            Self::SeveralIds => "several_ids",
            Self::StaleId => "stale_id",
            Self::SkippedId => "skipped_id",
            Self::Encoding => "encoding",
            Self::Field => "field",
            Self::TooLong => "too_long",
        }
    }
}

/// Fields that the format defines; they may lack a colon and a value.
const KNOWN_FIELDS: [&str; 4] = ["id", "event", "data", "retry"];

/// Collects the lines of an event as they arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Block {
    has_fields: bool,
    id: Option<u64>,
}

impl Block {
    /// Adds a line, without its end; returns the number of the event if the line names it.
    ///
    /// # Errors
    ///
    /// Fails if the line is not UTF-8 or no field, or if it names another `id` or one that is not a
    /// number.
    pub fn add_line(&mut self, line: &[u8]) -> Result<Option<u64>, Fault> {
        if line.is_empty() {
            return Ok(None);
        }
        let line = std::str::from_utf8(line).map_err(|_| Fault::Encoding)?;
        if line.starts_with(':') {
            return Ok(None);
        }
        self.has_fields = true;
        let (name, value) = parse_field(line)?;
        if name != "id" {
            return Ok(None);
        }
        let id = parse_id(value)?;
        if self.id.replace(id).is_some() { Err(Fault::SeveralIds) } else { Ok(Some(id)) }
    }

    /// Ends the event; returns its number, or `None` if there were only comments and empty lines.
    ///
    /// # Errors
    ///
    /// Fails if no line has named an `id`.
    pub fn end(self) -> Result<Option<u64>, Fault> {
        if self.has_fields && self.id.is_none() { Err(Fault::NoId) } else { Ok(self.id) }
    }
}

/// Returns whether a byte ends a line; the two of a CRLF end one line and an empty one.
pub fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Parses the name and the value of a field.
fn parse_field(line: &str) -> Result<(&str, &str), Fault> {
    let is_in_name = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    match line.split_once(':') {
        Some((name, value)) if name.bytes().all(is_in_name) => {
            Ok((name, value.strip_prefix(' ').unwrap_or(value)))
        }
        None if KNOWN_FIELDS.contains(&line) => Ok((line, "")),
        _ => Err(Fault::Field),
    }
}

fn parse_id(text: &str) -> Result<u64, Fault> {
    match text {
        "" => Err(Fault::EmptyId),
        // The standard parser allows a sign.
        _ if !text.bytes().all(|byte| byte.is_ascii_digit()) => Err(Fault::InvalidId),
        _ => text.parse().map_err(|_| Fault::InvalidId),
    }
}

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
        while let Some(length) = self.advance_to_end(&bytes[end.unwrap_or(0)..]) {
            end = Some(end.unwrap_or(0) + length);
        }
        end
    }

    /// Moves past bytes of the stream up to the first point between two events; returns how many
    /// of them there are, or `None` if they contain no such point and are all passed.
    pub fn advance_to_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            // In a stream that uses CRLF, only the next byte tells that a CR alone has ended a line.
            if self.line == Line::AfterReturn && self.uses_crlf && *byte != b'\n' {
                self.line = Line::Start;
                if self.is_between_events() {
                    return Some(index);
                }
            }
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
                return Some(index + 1);
            }
        }
        None
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
