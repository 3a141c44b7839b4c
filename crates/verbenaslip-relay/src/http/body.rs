//! Message bodies and their framing on a connection.

use bytes::{Buf, Bytes, BytesMut};

use crate::http::MessageError;

/// Limit on the bytes of a chunk-size line or a trailer line.
const MAX_LINE_BYTES: usize = 1 << 10;

/// Limit on the bytes of all trailer lines of a body.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Limit on the bytes by which the chunk extensions of a body exceed its data.
const MAX_EXTENSION_BYTES: usize = 64 << 10;

/// Describes how a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has a known length in bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Extracts a body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    /// Bytes of the trailer lines so far.
    trailer_bytes: usize,
    /// Bytes by which the chunk extensions so far exceed the data.
    extension_bytes: usize,
}

/// Describes what the next bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes of a body with a known length.
    Length(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// Remaining bytes of a chunk.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkLineEnd,
    /// Trailers, up to an empty line.
    Trailer,
    /// Bytes up to the end of the connection.
    UntilClose,
    /// Nothing: the body is complete.
    End,
}

/// Describes the result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A piece of the body.
    Data(Bytes),
    /// More bytes are needed.
    NeedMore,
    /// The body is complete.
    End,
}

impl Decoder {
    /// Creates a decoder at the first byte of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, trailer_bytes: 0, extension_bytes: 0 }
    }

    /// Returns whether the body is complete if the connection is closed cleanly here.
    pub fn may_end_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose | State::End)
    }

    /// Decodes the next piece.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed, or trailers or chunk extensions are too long.
    pub fn step(&mut self, bytes: &mut BytesMut) -> Result<Step, MessageError> {
        loop {
            match self.state {
                State::End => return Ok(Step::End),
                _ if bytes.is_empty() => return Ok(Step::NeedMore),
                State::UntilClose => return Ok(Step::Data(bytes.split().freeze())),
                State::Length(left) => {
                    let (piece, left) = take_up_to(bytes, left);
                    self.state = if left == 0 { State::End } else { State::Length(left) };
                    return Ok(Step::Data(piece));
                }
                State::ChunkData(left) => {
                    let (piece, left) = take_up_to(bytes, left);
                    self.state =
                        if left == 0 { State::ChunkLineEnd } else { State::ChunkData(left) };
                    return Ok(Step::Data(piece));
                }
                State::ChunkLineEnd => {
                    if bytes.len() < 2 {
                        return Ok(Step::NeedMore);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(MessageError::Chunk);
                    }
                    bytes.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => {
                    let Some(line) = take_line(bytes)? else { return Ok(Step::NeedMore) };
                    let (size, extension_bytes) = parse_chunk_size(&line)?;
                    let data_bytes = usize::try_from(size).unwrap_or(usize::MAX);
                    self.extension_bytes += extension_bytes;
                    self.extension_bytes = self.extension_bytes.saturating_sub(data_bytes);
                    if self.extension_bytes > MAX_EXTENSION_BYTES {
                        return Err(MessageError::Chunk);
                    }
                    self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                }
                State::Trailer => {
                    let Some(line) = take_line(bytes)? else { return Ok(Step::NeedMore) };
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(MessageError::Chunk);
                    }
                    if line.is_empty() {
                        self.state = State::End;
                    }
                }
            }
        }
    }
}

/// Writes a piece of a body as one chunk.
pub fn write_chunk(piece: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}

/// Chunk that ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn take_up_to(bytes: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let available = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    let piece = bytes.split_to(available).freeze();
    (piece, left - available as u64)
}

/// Takes one line that ends with CRLF; returns `None` if it has not arrived completely.
fn take_line(bytes: &mut BytesMut) -> Result<Option<Bytes>, MessageError> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_LINE_BYTES { Err(MessageError::Chunk) } else { Ok(None) };
    };
    let raw_line = bytes.split_to(end + 1).freeze();
    let line = raw_line.strip_suffix(b"\r\n").ok_or(MessageError::Chunk)?;
    if line.len() > MAX_LINE_BYTES || line.contains(&b'\r') {
        return Err(MessageError::Chunk);
    }
    Ok(Some(raw_line.slice_ref(line)))
}

/// Parses a chunk size; a chunk extension is allowed and ignored, and its length is returned too.
fn parse_chunk_size(line: &[u8]) -> Result<(u64, usize), MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_valid).ok_or(MessageError::Chunk)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| MessageError::Chunk)?;
    Ok((size, line.len() - digits.len()))
}
