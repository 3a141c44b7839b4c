//! The part of HTTP/1.1 that forwarding needs.
//!
//! A library that hides the bytes is unsuitable here: answers must go back unchanged, and bytes
//! that arrive after an answer must be visible so that they are not taken for the next answer.

pub mod body;
pub mod connection;
pub mod head;
pub mod reader;

pub use body::{Decoder, Framing, Step};
pub use connection::Connection;
pub use head::{Field, RequestHead, ResponseHead};
pub use reader::{Message, UnreadMessage};

use displaydoc::Display;

/// Describes why bytes are not a message that can be forwarded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MessageError {
    /// the head is longer than allowed
    HeadTooLong,
    /// the first line is not one of HTTP/1.1
    StartLine,
    /// a line does not end with CRLF, or holds a control character
    ControlCharacter,
    /// a header field is malformed or folded over several lines
    HeaderField,
    /// the Host header is missing or given twice
    Host,
    /// the length of the body is given twice or in two ways
    BodyLength,
    /// the transfer coding is not known here
    TransferCoding,
    /// the chunks of the body are malformed
    Chunk,
    /// the body is larger than allowed
    BodyTooLarge,
    /// there is no memory left for the body
    OutOfMemory,
    /// the request did not arrive in time
    Timeout,
}

impl std::error::Error for MessageError {}
