//! Streams of events that end at any position.

use verbenaslip_base::event_stream::{Block, Fault, Position, is_line_end};

/// Returns the lengths after which a stream may end.
fn ends(stream: &str) -> Vec<usize> {
    let may_end = |length: &usize| {
        let mut position = Position::default();
        position.advance(&stream.as_bytes()[..*length]);
        position.is_between_events()
    };
    (0..=stream.len()).filter(may_end).collect()
}

#[test]
fn a_stream_may_end_only_between_events() {
    assert_eq!(ends("id: 1\ndata: a\n\ndata: b\n\n"), [0, 15, 24]);
    assert_eq!(ends("id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n"), [0, 18, 29]);
    assert_eq!(ends("data: a\r\rdata: b\r\r"), [0, 9, 18]);
}

#[test]
fn a_comment_is_no_event() {
    assert_eq!(ends(": a\n\ndata: b\n: c\n\n"), [0, 4, 5, 18]);
    let mut position = Position::default();
    position.advance(b": a\n\n\n");
    assert!(!position.has_events());
    position.advance(b"data: b\n\n");
    assert!(position.has_events());
}

#[test]
fn the_pieces_of_a_stream_make_no_difference() {
    let stream = b"data: a\r\n\r\n: c\r\nid: 2\r\n\r\n\n\r";
    let mut whole = Position::default();
    assert_eq!(whole.advance(stream), Some(stream.len() - 1));
    let mut by_byte = Position::default();
    let between = stream.iter().map(|byte| by_byte.advance(&[*byte])).filter(Option::is_some);
    assert_eq!(between.count(), 4);
    assert_eq!(by_byte, whole);
}

fn event_id(bytes: &[u8]) -> Result<Option<u64>, Fault> {
    let mut block = Block::default();
    for line in bytes.split(|byte| is_line_end(*byte)) {
        block.add_line(line)?;
    }
    block.end()
}

#[test]
fn carriage_returns_end_events_of_a_stream_that_has_used_both_characters() {
    assert_eq!(ends("data: a\r\n\r\ndata: b\r\rdata: c\r\n\r\n"), [0, 11, 31]);
    let mut position = Position::default();
    assert_eq!(position.advance_to_end(b"data: a\r\n\r\n"), Some(11));
    assert_eq!(position.advance_to_end(b"data: b\r\rdata: c"), Some(9));
}

#[test]
fn an_event_has_one_number() {
    assert_eq!(event_id(b"id: 7\ndata: a\n\n"), Ok(Some(7)));
    assert_eq!(event_id(b"weight-versions: 3\r\ndata: a\r\nid:007\r\n\r\n"), Ok(Some(7)));
    assert_eq!(event_id(b": id: 3\rid: 18446744073709551615\r\r"), Ok(Some(u64::MAX)));
    assert_eq!(event_id(b"event\nid: 7\ndata\nx_y-2: z\n\n"), Ok(Some(7)));
    assert_eq!(event_id(b": a comment\n\n"), Ok(None));
    assert_eq!(event_id(b"\r\n"), Ok(None));
}

#[test]
fn bytes_without_a_number_are_no_event() {
    let faults = [
        (&b"data: a\n\n"[..], Fault::NoId),
        (b"ID: 7\n\n", Fault::NoId),
        (b" id: 7\n\n", Fault::Field),
        (b"\xef\xbb\xbfid: 7\n\n", Fault::Field),
        (b"5\r\nhello\r\nid: 7\n\n", Fault::Field),
        (b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\n", Fault::Field),
        (b"id:\ndata: a\n\n", Fault::EmptyId),
        (b"id\ndata: a\n\n", Fault::EmptyId),
        (b"id: x\n\n", Fault::InvalidId),
        (b"id: +7\n\n", Fault::InvalidId),
        (b"id: -7\n\n", Fault::InvalidId),
        (b"id: 7 \n\n", Fault::InvalidId),
        (b"id:  7\n\n", Fault::InvalidId),
        (b"id: 7\0\n\n", Fault::InvalidId),
        (b"id: 18446744073709551616\n\n", Fault::InvalidId),
        (b"id: 7\nid: 7\n\n", Fault::SeveralIds),
        (b"id: 7\ndata: \xff\n\n", Fault::Encoding),
    ];
    for (block, fault) in faults {
        assert_eq!(event_id(block), Err(fault), "{:?}", String::from_utf8_lossy(block));
    }
}
