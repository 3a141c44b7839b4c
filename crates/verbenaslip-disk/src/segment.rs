//! The form of a log file: a header, then records.
//!
//! A record is length, checksum and floor (4 bytes each, little-endian), then the entry in
//! `postcard`. The checksum covers length, floor and entry. The floor is how much of the file was
//! durable when the record was written. A record without an entry is a seal.

use displaydoc::Display;
use verbenaslip_replica::entry::Entry;

/// Begins every log file.
const MAGIC: [u8; 8] = *b"VSLIPL01";
/// Bytes of the header: mark, first index, checksum.
pub const HEADER: usize = 8 + 8 + 4;
/// Bytes of a record before its entry.
const RECORD: usize = 4 + 4 + 4;

/// Holds what a log file contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The index in the header; none when the header is not whole.
    pub first: Option<u64>,
    /// The entries, each with its place.
    pub records: Vec<Record>,
    /// Where the last whole record ends.
    pub end: u64,
    /// What stands after it, if that is not the end of the file.
    pub fault: Option<Fault>,
}

/// Holds an entry and its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Where the record begins.
    pub offset: u64,
    /// The entry.
    pub entry: Entry,
}

/// Tells of bytes that are no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is wrong.
    pub what: What,
    /// Whether a later record shows that these bytes were durable once, so that this is no torn tail.
    pub durable: bool,
}

/// Says what is wrong at the end of the whole records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum What {
    /// the file's header is not whole
    Header,
    /// a record is cut off
    Cut,
    /// a record's checksum does not match
    Checksum,
    /// a record's entry can't be read
    Entry,
}

/// Returns the header of a log file that begins at an index.
pub fn header(first: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&first.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Adds the record of an entry.
pub fn put(entry: &Entry, floor: u64, bytes: &mut Vec<u8>) {
    let content = postcard::to_stdvec(entry).unwrap_or_default();
    put_record(&content, floor, bytes);
}

/// Adds a record without an entry, which tells how much is durable.
pub fn put_seal(floor: u64, bytes: &mut Vec<u8>) {
    put_record(&[], floor, bytes);
}

/// Reads a log file; takes any bytes.
pub fn scan(bytes: &[u8]) -> Scan {
    let Some(first) = read_header(bytes) else {
        // The header is synced before any record is written, so behind a broken one there must
        // be nothing; otherwise it was whole once.
        let fault = Fault { what: What::Header, durable: bytes.len() > HEADER };
        return Scan { first: None, records: Vec::new(), end: 0, fault: Some(fault) };
    };
    let mut records = Vec::new();
    let mut offset = HEADER;
    let fault = loop {
        if offset == bytes.len() {
            break None;
        }
        match read(bytes, offset) {
            Ok(read) => {
                let place = offset as u64;
                records.extend(read.entry.map(|entry| Record { offset: place, entry }));
                offset = read.end;
            }
            Err(what) => break Some(Fault { what, durable: was_durable(bytes, offset) }),
        }
    };
    Scan { first: Some(first), records, end: offset as u64, fault }
}

/// Holds one record as it was read.
struct Read {
    entry: Option<Entry>,
    floor: u32,
    end: usize,
}

/// Adds a record.
fn put_record(content: &[u8], floor: u64, bytes: &mut Vec<u8>) {
    let length = (content.len() as u32).to_le_bytes();
    let floor = u32::try_from(floor).unwrap_or(u32::MAX).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(length, floor, content).to_le_bytes());
    bytes.extend_from_slice(&floor);
    bytes.extend_from_slice(content);
}

/// Reads the index in a header, none when it is not whole.
fn read_header(bytes: &[u8]) -> Option<u64> {
    let (fields, rest) = bytes.split_first_chunk::<16>()?;
    let (checksum, _) = rest.split_first_chunk::<4>()?;
    let first = fields.strip_prefix(&MAGIC)?.first_chunk::<8>()?;
    let whole = u32::from_le_bytes(*checksum) == crc32fast::hash(fields);
    whole.then_some(u64::from_le_bytes(*first))
}

/// Reads the record at an offset.
fn read(bytes: &[u8], offset: usize) -> Result<Read, What> {
    let rest = bytes.get(offset..).ok_or(What::Cut)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(What::Cut)?;
    let (sum, rest) = rest.split_first_chunk::<4>().ok_or(What::Cut)?;
    let (floor, rest) = rest.split_first_chunk::<4>().ok_or(What::Cut)?;
    let size = u32::from_le_bytes(*length) as usize;
    let content = rest.get(..size).ok_or(What::Cut)?;
    if u32::from_le_bytes(*sum) != checksum(*length, *floor, content) {
        return Err(What::Checksum);
    }
    let entry = if content.is_empty() {
        None
    } else {
        Some(postcard::from_bytes(content).map_err(|_| What::Entry)?)
    };
    Ok(Read { entry, floor: u32::from_le_bytes(*floor), end: offset + RECORD + size })
}

/// Tells whether any record after a fault says that the fault's place was durable.
fn was_durable(bytes: &[u8], fault: usize) -> bool {
    let later = fault.saturating_add(1)..bytes.len().saturating_sub(RECORD - 1);
    later
        .into_iter()
        .any(|offset| read(bytes, offset).is_ok_and(|read| read.floor as usize > fault))
}

/// Returns a record's checksum.
fn checksum(length: [u8; 4], floor: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&floor);
    hasher.update(content);
    hasher.finalize()
}
