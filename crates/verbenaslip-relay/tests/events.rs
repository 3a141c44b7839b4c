//! Streams that break off or hold foreign bytes at any position.

use verbenaslip_base::event_stream::Fault;
use verbenaslip_relay::forward::event_memory::EventMemory;
use verbenaslip_relay::forward::events::{Foreign, Sequence, Split};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Returns what a stream that begins with these bytes passes on, and what is foreign in it.
fn split(bytes: &[u8]) -> Split {
    Sequence::default().push(bytes)
}

fn text(split: &Split) -> String {
    String::from_utf8_lossy(&split.sound).into_owned()
}

#[test]
fn stream_cut_anywhere_yields_only_whole_events() {
    // Guards against passing on a partial event. An upstream breaks off in the middle of an event
    // and another one continues after the last whole event; the caller would read the partial
    // event and the next whole one as one event.
    for cut in 0..=STREAM.len() {
        let mut sequence = Sequence::default();
        let mut output = Vec::new();
        for byte in &STREAM[..cut] {
            let split = sequence.push(&[*byte]);
            assert_eq!(split.foreign, None, "cut at {cut}");
            output.extend_from_slice(&split.sound);
        }
        sequence.begin_answer(None);
        let event_count = output.windows(2).filter(|pair| pair == b"\n\n").count();
        assert!(STREAM.starts_with(&output), "cut at {cut}");
        assert!(output.is_empty() || output.ends_with(b"\n\n"), "cut at {cut}");
        assert_eq!(
            sequence.last_id(),
            (event_count > 0).then_some(event_count as u64),
            "cut at {cut}"
        );
        let rest = &STREAM[output.len()..];
        assert_eq!(&sequence.push(rest).sound[..], rest, "cut at {cut}");
    }
}

#[test]
fn event_without_its_end_is_not_passed_on() {
    let mut sequence = Sequence::default();
    assert!(sequence.push(b"id: 1\ndata: a").sound.is_empty());
    assert!(!sequence.is_whole(false));
}

#[test]
fn crlf_line_ends_are_accepted() {
    let mut sequence = Sequence::default();
    assert_eq!(sequence.push(b"id: 7\r\ndata: a\r\n\r\nid: 8").sound.len(), 18);
    assert_eq!(sequence.last_id(), Some(7));
}

#[test]
fn nothing_is_believed_after_foreign_bytes() {
    let split = split(b"id: 4\ndata: a\n\n: c\ndata: b\n\nid: 5\ndata: c\n\n");
    assert_eq!(text(&split), "id: 4\ndata: a\n\n: c\n");
    assert_eq!(split.foreign, Some(Foreign { fault: Fault::NoId, after: Some(4), events: 1 }));
}

#[test]
fn numbers_only_increase() {
    assert_eq!(split(b"id: 0\n\nid: 3\n\nid: 900\n\n").foreign, None);
    for stream in [&b"id: 1\n\nid: 3\n\nid: 3\n\n"[..], b"id: 1\n\nid: 3\n\nid: 1\n\n"] {
        let foreign = split(stream).foreign;
        assert_eq!(foreign, Some(Foreign { fault: Fault::StaleId, after: Some(3), events: 2 }));
    }
    for stream in [&b"id: 1\n\nid: 9000\n\nid: 2\n\n"[..], b"id: 8\n\nid: 9000\n\nid: 9\n\n"] {
        let foreign = split(stream).foreign;
        let after = Some(9000);
        assert_eq!(foreign, Some(Foreign { fault: Fault::SkippedId, after, events: 2 }));
    }
}

#[test]
fn numbers_go_on_from_those_that_the_caller_has() {
    let mut sequence = Sequence::default();
    sequence.begin_answer(Some(3));
    assert_eq!(sequence.push(b"id: 4\n\nid: 5").foreign, None);
    sequence.begin_answer(Some(3));
    let split = sequence.push(b"id: 4\n\n");
    let foreign = Foreign { fault: Fault::StaleId, after: Some(4), events: 1 };
    assert_eq!(split, Split { sound: Default::default(), foreign: Some(foreign) });
}

#[test]
fn an_answer_may_begin_with_a_byte_order_mark() {
    let mut sequence = Sequence::default();
    assert_eq!(text(&sequence.push("\u{feff}id: 1\n\n".as_bytes())), "\u{feff}id: 1\n\n");
    assert!(sequence.push("\u{feff}id: 2\n\n".as_bytes()).foreign.is_some());
    sequence.begin_answer(None);
    assert_eq!(text(&sequence.push("\u{feff}id: 2\n\n".as_bytes())), "id: 2\n\n");
}

#[test]
fn event_is_held_up_to_a_limit() {
    let long = |length: usize| format!("id: 1\ndata: {}", "x".repeat(length));
    assert_eq!(split(long(200 << 10).as_bytes()).foreign, None);
    let fault = split(long(256 << 10).as_bytes()).foreign.map(|it| it.fault);
    assert_eq!(fault, Some(Fault::TooLong));
}

// Guards against streams whose events do not end, and which together take the memory of the machine.
#[test]
fn events_that_do_not_end_share_the_memory_for_events() {
    const MACHINE_BYTES: usize = 128 << 20;
    const LIMIT: usize = MACHINE_BYTES / 16;
    let memory = EventMemory::new(MACHINE_BYTES);
    let mut streams: Vec<Sequence> = (0..200).map(|_| Sequence::new(memory.clone())).collect();
    let mut broken_off = 0;
    for piece in 0..62 {
        let text = if piece == 0 { "id: 1\ndata: ".to_owned() } else { "x".repeat(4 << 10) };
        streams.retain_mut(|it| {
            let foreign = it.push(text.as_bytes()).foreign;
            assert!(foreign.is_none_or(|it| it.fault == Fault::TooLong), "{foreign:?}");
            broken_off += usize::from(foreign.is_some());
            foreign.is_none()
        });
        assert!(memory.held() <= LIMIT, "{} bytes", memory.held());
        let short = format!("id: 1\ndata: {}", "x".repeat(16_000));
        assert_eq!(Sequence::new(memory.clone()).push(short.as_bytes()).foreign, None);
    }
    assert!(broken_off > 0 && !streams.is_empty(), "{broken_off} broken off");
    drop(streams);
    assert_eq!(memory.held(), 0);
}
