//! Bodies, as they are delimited on a connection.

use bytes::{Buf, Bytes, BytesMut};

use crate::http::MessageError;

/// The longest line of a chunk's size, or of a trailer, in bytes.
const LINE: usize = 1 << 10;

/// Says how a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// By its length.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Takes the body out of the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
}

/// Says what the next bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes of a body with a length.
    Length(u64),
    /// The size of a chunk.
    Size,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// Trailers, up to an empty line.
    Trailer,
    /// Bytes up to the end of the connection.
    Close,
    /// Nothing: the body is whole.
    End,
}

/// Says what became of the bytes at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A piece of the body.
    Data(Bytes),
    /// More bytes are needed.
    More,
    /// The body is whole.
    End,
}

impl Decoder {
    /// Starts at the first byte of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size,
            Framing::Close => State::Close,
        };
        Self { state }
    }

    /// Tells whether the body is whole if the connection ends in good order here.
    pub fn may_end(&self) -> bool {
        matches!(self.state, State::Close | State::End)
    }

    /// Takes the next piece.
    ///
    /// # Errors
    ///
    /// Refuses malformed chunks.
    pub fn step(&mut self, bytes: &mut BytesMut) -> Result<Step, MessageError> {
        loop {
            match self.state {
                State::End => return Ok(Step::End),
                _ if bytes.is_empty() => return Ok(Step::More),
                State::Close => return Ok(Step::Data(bytes.split().freeze())),
                State::Length(left) => {
                    let (piece, left) = take(bytes, left);
                    self.state = if left == 0 { State::End } else { State::Length(left) };
                    return Ok(Step::Data(piece));
                }
                State::Chunk(left) => {
                    let (piece, left) = take(bytes, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Step::Data(piece));
                }
                State::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(Step::More);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(MessageError::Chunk);
                    }
                    bytes.advance(2);
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = line(bytes)? else { return Ok(Step::More) };
                    let size = size(&line)?;
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::Trailer => {
                    let Some(line) = line(bytes)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        self.state = State::End;
                    }
                }
            }
        }
    }
}

/// Writes a piece of a body as a chunk.
pub fn write_chunk(piece: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}

/// Ends a body of chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn take(bytes: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let have = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    let piece = bytes.split_to(have).freeze();
    (piece, left - have as u64)
}

/// Takes one line that ends with CRLF.
fn line(bytes: &mut BytesMut) -> Result<Option<Bytes>, MessageError> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > LINE { Err(MessageError::Chunk) } else { Ok(None) };
    };
    let whole = bytes.split_to(end + 1).freeze();
    let line = whole.strip_suffix(b"\r\n").ok_or(MessageError::Chunk)?;
    if line.len() > LINE || line.contains(&b'\r') {
        return Err(MessageError::Chunk);
    }
    Ok(Some(whole.slice_ref(line)))
}

/// Reads the size of a chunk; an extension after it is allowed and means nothing.
fn size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let fits = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| fits).ok_or(MessageError::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| MessageError::Chunk)
}
