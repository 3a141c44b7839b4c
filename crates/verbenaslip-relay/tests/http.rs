//! Heads and bodies as literal bytes: what is accepted and what is refused.

use bytes::BytesMut;
use verbenaslip_relay::http::{Decoder, Framing, MessageError, RequestHead, ResponseHead, Step};

fn parse_request(bytes: &str) -> Result<RequestHead, MessageError> {
    RequestHead::parse(bytes.as_bytes())
}

#[test]
fn ambiguous_requests_are_refused() {
    // Guards against a lenient parser. If the end of a request is found at different positions
    // here and at the upstream, the upstream runs a request that no caller sent.
    let cases = [
        ("GET / HTTP/1.1\nHost: a\r\n\r\n", MessageError::ControlCharacter),
        ("GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", MessageError::ControlCharacter),
        ("GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", MessageError::ControlCharacter),
        ("GET / HTTP/1.1\r\nHost: a\0\r\n\r\n", MessageError::ControlCharacter),
        ("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", MessageError::HeaderField),
        ("GET / HTTP/1.1\r\nHost : a\r\n\r\n", MessageError::HeaderField),
        ("GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", MessageError::HeaderField),
        ("GET / HTTP/1.1\r\n\r\n", MessageError::Host),
        ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", MessageError::Host),
        ("GET  / HTTP/1.1\r\nHost: a\r\n\r\n", MessageError::StartLine),
        ("GET / HTTP/2.0\r\nHost: a\r\n\r\n", MessageError::StartLine),
        ("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", MessageError::StartLine),
        ("G(T / HTTP/1.1\r\nHost: a\r\n\r\n", MessageError::StartLine),
    ];
    for (bytes, error) in cases {
        assert_eq!(parse_request(bytes), Err(error), "{bytes:?}");
    }
}

#[test]
fn body_with_two_lengths_is_refused() {
    let cases = [
        ("Content-Length: 3\r\nContent-Length: 3", Err(MessageError::BodyLength)),
        ("Content-Length: 3\r\nTransfer-Encoding: chunked", Err(MessageError::BodyLength)),
        ("Content-Length: +3", Err(MessageError::BodyLength)),
        ("Content-Length: 3, 3", Err(MessageError::BodyLength)),
        ("Transfer-Encoding: gzip, chunked", Err(MessageError::TransferCoding)),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            Err(MessageError::TransferCoding),
        ),
        ("Content-Length: 3", Ok(Framing::Length(3))),
        ("Transfer-Encoding: Chunked", Ok(Framing::Chunked)),
        ("X: 1", Ok(Framing::Empty)),
    ];
    for (fields, framing) in cases {
        let head = parse_request(&format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n\r\n"));
        assert_eq!(head.and_then(|head| head.framing()), framing, "{fields:?}");
    }
}

#[test]
fn answer_without_length_ends_with_its_connection() {
    let head =
        |fields: &str| ResponseHead::parse(format!("HTTP/1.1 200 OK\r\n{fields}\r\n").as_bytes());
    let framing = |fields: &str, method| head(fields).and_then(|head| head.framing(method));
    assert_eq!(framing("", "GET"), Ok(Framing::UntilClose));
    assert_eq!(framing("Content-Length: 5\r\n", "HEAD"), Ok(Framing::Empty));
    assert!(Decoder::new(Framing::UntilClose).may_end_with_connection());
    assert!(!Decoder::new(Framing::Chunked).may_end_with_connection());
    assert!(!Decoder::new(Framing::Length(1)).may_end_with_connection());
}

#[test]
fn malformed_response_heads_are_refused() {
    for bytes in ["HTTP/1.1 20 OK\r\n\r\n", "garbage\r\n\r\n", "HTTP/1.1\r\n\r\n"] {
        assert!(ResponseHead::parse(bytes.as_bytes()).is_err(), "{bytes:?}");
    }
}

/// Holds a decoded body, whether it is complete, and how many bytes follow it.
type Decoded = (Vec<u8>, bool, usize);

/// Decodes bytes that arrive one by one, which must make no difference.
fn decode(framing: Framing, bytes: &[u8]) -> Result<Decoded, MessageError> {
    let mut decoder = Decoder::new(framing);
    let (mut body, mut buffer) = (Vec::new(), BytesMut::new());
    for (index, byte) in bytes.iter().enumerate() {
        buffer.extend_from_slice(&[*byte]);
        loop {
            match decoder.step(&mut buffer)? {
                Step::Data(piece) => body.extend_from_slice(&piece),
                Step::NeedMore => break,
                Step::End => return Ok((body, true, bytes.len() - index - 1)),
            }
        }
    }
    Ok((body, false, 0))
}

#[test]
fn bodies_end_at_their_stated_length() {
    let complete = decode(Framing::Chunked, b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nT: 1\r\n\r\nrest");
    assert_eq!(complete, Ok((b"hello!".to_vec(), true, 4)));
    let cut = decode(Framing::Chunked, b"5\r\nhello\r\n");
    assert_eq!(cut, Ok((b"hello".to_vec(), false, 0)));
    assert_eq!(decode(Framing::Length(2), b"abc"), Ok((b"ab".to_vec(), true, 1)));
    assert_eq!(decode(Framing::Length(4), b"abc"), Ok((b"abc".to_vec(), false, 0)));
}

#[test]
fn malformed_chunks_are_refused() {
    for bytes in
        ["5\nhello\r\n", "x\r\n", "5\r\nhelloXX", "-1\r\n", "ffffffffffffffffff\r\n", "\r\n"]
    {
        assert_eq!(
            decode(Framing::Chunked, bytes.as_bytes()),
            Err(MessageError::Chunk),
            "{bytes:?}"
        );
    }
}

// Guards against limits on lines alone: their number would be unbounded.
#[test]
fn trailers_and_chunk_extensions_have_limits() {
    let trailers = |count: usize| format!("0\r\n{}\r\n", "ab: cdef\r\n".repeat(count));
    assert!(decode(Framing::Chunked, trailers(2_048).as_bytes()).is_ok());
    assert!(decode(Framing::Chunked, trailers(2_049).as_bytes()).is_err());
    let extension = "x".repeat(1_000);
    let chunks = |count: usize, data: &str| {
        let chunk = format!("{:x};{extension}\r\n{data}\r\n", data.len());
        chunk.repeat(count) + "0\r\n\r\n"
    };
    assert!(decode(Framing::Chunked, chunks(65, "a").as_bytes()).is_ok());
    assert!(decode(Framing::Chunked, chunks(66, "a").as_bytes()).is_err());
    assert!(decode(Framing::Chunked, chunks(100, &extension).as_bytes()).is_ok());
}

// Guards against the first part of another answer that is read as a part of the head behind it.
#[test]
fn head_that_begins_within_another_is_refused() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\n";
    let other = "HTTP/1.1 404 Not Found\r\nA: b\r\nC: d\r\n";
    for end in 1..other.len() {
        let joined = format!("{}{head}", &other[..end]);
        assert!(ResponseHead::parse(joined.as_bytes()).is_err(), "{joined:?}");
    }
    for value in ["HTTP/1.1 proxy", "HTTP/1.1 2000", "HTTP/2 200", "HTTP/1.1 20", "HTTP/1.1"] {
        let sound = format!("HTTP/1.1 200 OK\r\nVia: {value}\r\n\r\n");
        assert!(ResponseHead::parse(sound.as_bytes()).is_ok(), "{sound:?}");
    }
}
