//! Reads streams of server-sent events.

/// Splits bytes into events as they come.
#[derive(Default)]
pub(crate) struct Parser {
    buffer: Vec<u8>,
}

/// Holds one event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<u32>,
    pub(crate) name: Option<String>,
    pub(crate) data: String,
}

impl Parser {
    /// Takes bytes and returns the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn parse(block: &str) -> Event {
    let mut event = Event::default();
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = value.parse().ok(),
            "event" => event.name = Some(value.to_owned()),
            "data" => {
                if !event.data.is_empty() {
                    event.data.push('\n');
                }
                event.data.push_str(value);
            }
            _ => (),
        }
    }
    event
}
