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
pub const HEADER_BYTES: usize = 8 + 8 + 4;
/// Bytes of a record before its entry.
const RECORD_HEADER_BYTES: usize = 4 + 4 + 4;

/// Holds what a log file contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The index in the header; none when the header is not whole.
    pub first_index: Option<u64>,
    /// The entries, each with its place.
    pub records: Vec<Record>,
    /// Where the last whole record ends.
    pub valid_bytes: u64,
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
    pub kind: FaultKind,
    /// Whether a later record shows that these bytes were durable once, so that this is no torn tail.
    pub was_durable: bool,
}

/// Says what is wrong at the end of the whole records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// the file's header is not whole
    Header,
    /// a record is cut off
    Truncated,
    /// a record's checksum does not match
    Checksum,
    /// a record's entry can't be read
    Entry,
}

/// Returns the header of a log file that begins at an index.
pub fn encode_header(first_index: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&first_index.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Adds the record of an entry.
pub fn append_record(entry: &Entry, durable_bytes: u64, bytes: &mut Vec<u8>) {
    let content = postcard::to_stdvec(entry).unwrap_or_default();
    append_content(&content, durable_bytes, bytes);
}

/// Adds a record without an entry, which tells how much is durable.
pub fn append_seal(durable_bytes: u64, bytes: &mut Vec<u8>) {
    append_content(&[], durable_bytes, bytes);
}

/// Reads a log file; takes any bytes.
pub fn scan(bytes: &[u8]) -> Scan {
    let Some(first_index) = decode_header(bytes) else {
        // The header is synced before any record is written, so behind a broken one there must
        // be nothing; otherwise it was whole once.
        let fault = Fault { kind: FaultKind::Header, was_durable: bytes.len() > HEADER_BYTES };
        return Scan { first_index: None, records: Vec::new(), valid_bytes: 0, fault: Some(fault) };
    };
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    let fault = loop {
        if offset == bytes.len() {
            break None;
        }
        match decode_record(bytes, offset) {
            Ok(record) => {
                let start = offset as u64;
                records.extend(record.entry.map(|entry| Record { offset: start, entry }));
                offset = record.end;
            }
            Err(kind) => break Some(Fault { kind, was_durable: was_durable(bytes, offset) }),
        }
    };
    Scan { first_index: Some(first_index), records, valid_bytes: offset as u64, fault }
}

/// Holds one record as it was read.
struct DecodedRecord {
    entry: Option<Entry>,
    durable_bytes: u32,
    end: usize,
}

/// Adds a record.
fn append_content(content: &[u8], durable_bytes: u64, bytes: &mut Vec<u8>) {
    let length = (content.len() as u32).to_le_bytes();
    let durable_bytes = u32::try_from(durable_bytes).unwrap_or(u32::MAX).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(length, durable_bytes, content).to_le_bytes());
    bytes.extend_from_slice(&durable_bytes);
    bytes.extend_from_slice(content);
}

/// Reads the index in a header, none when it is not whole.
fn decode_header(bytes: &[u8]) -> Option<u64> {
    let (fields, rest) = bytes.split_first_chunk::<16>()?;
    let (checksum, _) = rest.split_first_chunk::<4>()?;
    let first_index = fields.strip_prefix(&MAGIC)?.first_chunk::<8>()?;
    let is_valid = u32::from_le_bytes(*checksum) == crc32fast::hash(fields);
    is_valid.then_some(u64::from_le_bytes(*first_index))
}

/// Reads the record at an offset.
fn decode_record(bytes: &[u8], offset: usize) -> Result<DecodedRecord, FaultKind> {
    let rest = bytes.get(offset..).ok_or(FaultKind::Truncated)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(FaultKind::Truncated)?;
    let (stored_checksum, rest) = rest.split_first_chunk::<4>().ok_or(FaultKind::Truncated)?;
    let (durable_bytes, rest) = rest.split_first_chunk::<4>().ok_or(FaultKind::Truncated)?;
    let size = u32::from_le_bytes(*length) as usize;
    let content = rest.get(..size).ok_or(FaultKind::Truncated)?;
    if u32::from_le_bytes(*stored_checksum) != checksum(*length, *durable_bytes, content) {
        return Err(FaultKind::Checksum);
    }
    let entry = if content.is_empty() {
        None
    } else {
        Some(postcard::from_bytes(content).map_err(|_| FaultKind::Entry)?)
    };
    Ok(DecodedRecord {
        entry,
        durable_bytes: u32::from_le_bytes(*durable_bytes),
        end: offset + RECORD_HEADER_BYTES + size,
    })
}

/// Tells whether any record after a fault says that the fault's place was durable.
fn was_durable(bytes: &[u8], fault: usize) -> bool {
    let later = fault.saturating_add(1)..bytes.len().saturating_sub(RECORD_HEADER_BYTES - 1);
    later.into_iter().any(|offset| {
        decode_record(bytes, offset).is_ok_and(|record| record.durable_bytes as usize > fault)
    })
}

/// Returns a record's checksum.
fn checksum(length: [u8; 4], durable_bytes: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&durable_bytes);
    hasher.update(content);
    hasher.finalize()
}
