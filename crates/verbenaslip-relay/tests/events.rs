//! Event streams that break off at any position.

use verbenaslip_relay::forward::events::Splitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn a_stream_cut_anywhere_gives_whole_events_only() {
    // Guards against passing on a partial event. An upstream breaks off in the middle of an event
    // and another one continues after the last whole event; the caller would read the partial
    // event and the next whole one as one event.
    for cut in 0..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut given = Vec::new();
        for byte in &STREAM[..cut] {
            given.extend_from_slice(&splitter.push(&[*byte]));
        }
        splitter.discard_partial();
        let whole = given.windows(2).filter(|two| two == b"\n\n").count();
        assert!(STREAM.starts_with(&given), "cut at {cut}");
        assert!(given.is_empty() || given.ends_with(b"\n\n"), "cut at {cut}");
        assert_eq!(splitter.last_id, (whole > 0).then_some(whole as u64), "cut at {cut}");
    }
}

#[test]
fn what_is_left_at_a_good_end_is_given() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a").is_empty());
    assert_eq!(&splitter.take_rest()[..], b"id: 1\ndata: a");
}

#[test]
fn line_ends_with_carriage_returns_are_understood() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 7\r\ndata: a\r\n\r\nid: 8").len(), 18);
    assert_eq!(splitter.last_id, Some(7));
}
