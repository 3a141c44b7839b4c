//! The format of a log file: a header followed by records.
//!
//! A record consists of its length, its checksum and the number of durable bytes (4 bytes each,
//! little-endian), followed by the log entry in `postcard` encoding. The checksum covers all but
//! itself. The number of durable bytes tells how much of the file was durable when the record was
//! written. A record without a log entry is a seal.

use displaydoc::Display;
use verbenaslip_replica::entry::Entry;

/// The first bytes of each log file.
const MAGIC: [u8; 8] = *b"VSLIPL01";
/// The size of the file header: magic, first index and checksum.
pub const HEADER_BYTES: usize = 8 + 8 + 4;
/// The size of a record's header, which precedes the entry.
const RECORD_HEADER_BYTES: usize = 4 + 4 + 4;

/// Holds the content of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The index in the header, or `None` if the header is incomplete or invalid.
    pub first_index: Option<u64>,
    /// The entries with their offsets.
    pub records: Vec<Record>,
    /// The offset at which the last valid record ends.
    pub valid_bytes: u64,
    /// The fault after the last valid record, if any.
    pub fault: Option<Fault>,
}

/// Holds a log entry and its offset in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The offset of the record, in bytes.
    pub offset: u64,
    /// The log entry.
    pub entry: Entry,
}

/// Describes bytes that are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Whether a later record proves that these bytes were durable, so that they are not a torn
    /// tail.
    pub was_durable: bool,
}

/// The kind of a fault after the valid records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// the file's header is incomplete
    Header,
    /// a record is truncated
    Truncated,
    /// a record's checksum does not match
    Checksum,
    /// a record's entry can't be decoded
    Entry,
}

/// Returns the header of a log file that starts at an index.
pub fn encode_header(first_index: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&first_index.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Appends the record of a log entry to `bytes`.
pub fn append_record(entry: &Entry, durable_bytes: u64, bytes: &mut Vec<u8>) {
    let content = postcard::to_stdvec(entry).unwrap_or_default();
    append_content(&content, durable_bytes, bytes);
}

/// Appends a seal, which only records how many bytes are durable, to `bytes`.
pub fn append_seal(durable_bytes: u64, bytes: &mut Vec<u8>) {
    append_content(&[], durable_bytes, bytes);
}

/// Reads a log file. Any bytes are allowed.
pub fn scan(bytes: &[u8]) -> Scan {
    let Some(first_index) = decode_header(bytes) else {
        // The header is synced before the first record is written. So bytes after an invalid header
        // prove that the header was durable once.
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

/// A decoded record.
struct DecodedRecord {
    entry: Option<Entry>,
    durable_bytes: u32,
    end: usize,
}

/// Appends a record with encoded content to `bytes`.
fn append_content(content: &[u8], durable_bytes: u64, bytes: &mut Vec<u8>) {
    let length = (content.len() as u32).to_le_bytes();
    let durable_bytes = u32::try_from(durable_bytes).unwrap_or(u32::MAX).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(length, durable_bytes, content).to_le_bytes());
    bytes.extend_from_slice(&durable_bytes);
    bytes.extend_from_slice(content);
}

/// Returns the first index in a header, or `None` if the header is incomplete or invalid.
fn decode_header(bytes: &[u8]) -> Option<u64> {
    let (fields, rest) = bytes.split_first_chunk::<16>()?;
    let (checksum, _) = rest.split_first_chunk::<4>()?;
    let first_index = fields.strip_prefix(&MAGIC)?.first_chunk::<8>()?;
    let is_valid = u32::from_le_bytes(*checksum) == crc32fast::hash(fields);
    is_valid.then_some(u64::from_le_bytes(*first_index))
}

/// Decodes the record at an offset.
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

/// Returns whether any record after a fault states that the bytes of the fault were durable.
fn was_durable(bytes: &[u8], fault: usize) -> bool {
    let later = fault.saturating_add(1)..bytes.len().saturating_sub(RECORD_HEADER_BYTES - 1);
    later.into_iter().any(|offset| {
        decode_record(bytes, offset).is_ok_and(|record| record.durable_bytes as usize > fault)
    })
}

/// Returns the checksum of a record.
fn checksum(length: [u8; 4], durable_bytes: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&durable_bytes);
    hasher.update(content);
    hasher.finalize()
}
