//! Arbitrary bytes in place of numbered streams, cut into arbitrary pieces.

use proptest::prelude::*;
use proptest::sample::select;
use verbenaslip_base::event_stream::BYTE_ORDER_MARK;
use verbenaslip_relay::forward::events::{Foreign, Sequence};

/// Parts of which the streams consist.
const PARTS: [&[u8]; 20] = [
    b"id: 1",
    b"id: 2",
    b"id: 3",
    b"id:4",
    b"id: 5",
    b"id",
    b"id:",
    b"data: a",
    b"data",
    b"x-y: z",
    b"\n",
    b"\n",
    b"\r",
    b"\r",
    b"\r\n",
    b"\r\n",
    b": c",
    b"\xef\xbb\xbf",
    b"garbage",
    b"\xff",
];

/// What a caller reads of a stream: the values of `id` of each event.
#[derive(Debug, Default, PartialEq, Eq)]
struct Read {
    events: Vec<Vec<String>>,
    /// Whether the stream ends between two events.
    ends_between: bool,
}

/// Reads a stream as its format defines: lines end with CRLF, LF or CR, and an empty line ends an
/// event.
fn read(stream: &[u8]) -> Read {
    let text = stream.strip_prefix(BYTE_ORDER_MARK).unwrap_or(stream);
    let text = String::from_utf8_lossy(text).replace("\r\n", "\n").replace('\r', "\n");
    let (mut events, mut ids, mut has_fields) = (Vec::new(), Vec::new(), false);
    let mut lines: Vec<&str> = text.split('\n').collect();
    let rest = lines.pop().unwrap_or_default();
    for line in lines {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name {
            "" if !line.is_empty() => {}
            "" if has_fields => {
                events.push(std::mem::take(&mut ids));
                has_fields = false;
            }
            "" => {}
            _ => {
                has_fields = true;
                if name == "id" {
                    ids.push(value.trim_start().to_owned());
                }
            }
        }
    }
    Read { events, ends_between: rest.is_empty() && !has_fields }
}

/// Pushes pieces until one holds foreign bytes; returns what was passed on.
fn pass<'a>(
    sequence: &mut Sequence,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> (Vec<u8>, Option<Foreign>) {
    let mut passed = Vec::new();
    for piece in pieces {
        let split = sequence.push(piece);
        passed.extend_from_slice(&split.sound);
        if split.foreign.is_some() {
            return (passed, split.foreign);
        }
    }
    (passed, None)
}

/// Returns why what a caller reads is no sequence of whole events with increasing numbers.
fn fault(stream: &[u8]) -> Option<String> {
    let read = read(stream);
    let ids: Option<Vec<u64>> = read
        .events
        .iter()
        .map(|ids| match &ids[..] {
            [id] => id.parse().ok(),
            _ => None,
        })
        .collect();
    let Some(ids) = ids else { return Some(format!("an event without one number: {read:?}")) };
    if !ids.is_sorted_by(|one, next| one < next) {
        return Some(format!("numbers that do not increase: {read:?}"));
    }
    (!read.ends_between).then(|| format!("a partial event: {read:?}"))
}

fn stream() -> impl Strategy<Value = Vec<u8>> {
    let part = select(PARTS.to_vec());
    prop::collection::vec(part, 0..24).prop_map(|parts| parts.concat())
}

fn any_stream() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![4 => stream(), 1 => prop::collection::vec(any::<u8>(), 0..64)]
}

/// Splits bytes into pieces of the given lengths, and the rest.
fn cut<'a>(mut bytes: &'a [u8], lengths: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    for length in lengths {
        let (piece, rest) = bytes.split_at((*length).min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces.push(bytes);
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a fault that is found only if bytes arrive in certain pieces.
    #[test]
    fn pieces_make_no_difference(bytes in any_stream(), lengths in prop::collection::vec(0..7_usize, 0..40)) {
        let whole = pass(&mut Sequence::default(), [&bytes[..]]);
        let in_pieces = pass(&mut Sequence::default(), cut(&bytes, &lengths));
        prop_assert_eq!(&whole, &in_pieces);
        prop_assert_eq!(whole, pass(&mut Sequence::default(), bytes.chunks(1)));
    }

    // Guards against bytes that a caller reads as anything but whole events with increasing numbers.
    #[test]
    fn callers_read_whole_events_with_increasing_numbers(answers in prop::collection::vec(any_stream(), 1..4)) {
        let mut sequence = Sequence::default();
        let mut passed = Vec::new();
        for answer in &answers {
            sequence.begin_answer(None);
            passed.extend(pass(&mut sequence, answer.chunks(5)).0);
        }
        prop_assert_eq!(fault(&passed), None, "{:?}", String::from_utf8_lossy(&passed));
    }

    // Guards against a stream that counts as whole although nothing tells that it has ended.
    #[test]
    fn stream_that_ends_with_its_connection_is_whole_only_after_an_event(bytes in any_stream()) {
        let mut sequence = Sequence::default();
        let (passed, foreign) = pass(&mut sequence, [&bytes[..]]);
        if foreign.is_none() && sequence.is_whole(true) {
            prop_assert_eq!(&passed, &bytes);
            prop_assert!(!read(&passed).events.is_empty(), "{:?}", String::from_utf8_lossy(&passed));
        }
    }
}

/// Returns an event of a length.
fn event(length: usize) -> Vec<u8> {
    let mut event = b"id: 1\ndata: ".to_vec();
    event.resize(length - 2, b'x');
    event.extend_from_slice(b"\n\n");
    event
}

// Guards against a limit that depends on the pieces in which an event arrives.
#[test]
fn limit_of_an_event_is_the_same_in_all_pieces() {
    let limit = 256 << 10;
    for length in [limit - 1, limit, limit + 1, limit + 2, limit + (60 << 10)] {
        let event = event(length);
        let fault = |size| pass(&mut Sequence::default(), event.chunks(size)).1.map(|it| it.fault);
        assert_eq!(
            fault(length),
            fault(1),
            "{} bytes above the limit",
            length as i64 - limit as i64
        );
    }
}
