//! Event streams that break off at any position.

use verbenaslip_relay::forward::events::Splitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn stream_cut_anywhere_yields_only_whole_events() {
    // Guards against passing on a partial event. An upstream breaks off in the middle of an event
    // and another one continues after the last whole event; the caller would read the partial
    // event and the next whole one as one event.
    for cut in 0..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut output = Vec::new();
        for byte in &STREAM[..cut] {
            output.extend_from_slice(&splitter.push(&[*byte]));
        }
        splitter.discard_partial();
        let event_count = output.windows(2).filter(|pair| pair == b"\n\n").count();
        assert!(STREAM.starts_with(&output), "cut at {cut}");
        assert!(output.is_empty() || output.ends_with(b"\n\n"), "cut at {cut}");
        assert_eq!(
            splitter.last_id,
            (event_count > 0).then_some(event_count as u64),
            "cut at {cut}"
        );
    }
}

#[test]
fn rest_is_returned_at_a_clean_end() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a").is_empty());
    assert_eq!(&splitter.take_rest()[..], b"id: 1\ndata: a");
}

#[test]
fn crlf_line_ends_are_accepted() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 7\r\ndata: a\r\n\r\nid: 8").len(), 18);
    assert_eq!(splitter.last_id, Some(7));
}
