//! Server-sent events, read from bytes as they come.

/// The most bytes of one event, with the comments before it.
const EVENT_MAX: usize = 1 << 20;

/// Holds one event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// The event's name; empty for a usual one.
    pub name: String,
    /// The data, lines joined by newlines.
    pub data: String,
}

/// Says that the bytes are no event stream, or that an event is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

/// Puts events together from bytes in pieces of any size.
#[derive(Default)]
pub(crate) struct Parser {
    line: Vec<u8>,
    event: Event,
    filled: bool,
    /// Bytes since the last event.
    size: usize,
    ready: Vec<Event>,
}

impl Parser {
    /// Takes bytes and returns the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Malformed> {
        for &byte in bytes {
            if byte == b'\n' {
                self.end_line()?;
                continue;
            }
            self.size += 1;
            if self.size > EVENT_MAX {
                return Err(Malformed);
            }
            self.line.push(byte);
        }
        Ok(std::mem::take(&mut self.ready))
    }

    fn end_line(&mut self) -> Result<(), Malformed> {
        let line = std::mem::take(&mut self.line);
        let line = String::from_utf8(line).map_err(|_| Malformed)?;
        let line = line.strip_suffix('\r').unwrap_or(&line);
        if line.is_empty() {
            self.end_event();
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.filled {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.filled = true;
            }
            "event" => value.clone_into(&mut self.event.name),
            _ => {}
        }
        Ok(())
    }

    fn end_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if std::mem::take(&mut self.filled) {
            self.ready.push(event);
            self.size = 0;
        }
    }
}
