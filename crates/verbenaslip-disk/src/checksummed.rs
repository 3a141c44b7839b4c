//! The format of files that are replaced as a whole: magic, length, checksum and content.

use displaydoc::Display;

/// The first bytes of each file.
const MAGIC: [u8; 8] = *b"VSLIPC01";
/// The size of the header: magic, length and checksum.
const HEADER_BYTES: usize = 8 + 8 + 4;

/// A fault in the format of a file.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// the file does not begin with the expected magic
    Magic,
    /// the file does not have the length in its header
    Length,
    /// the checksum does not match
    Checksum,
}

impl std::error::Error for Fault {}

/// Encodes content in the file format.
pub fn encode(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Returns the content of an encoded file.
///
/// # Errors
///
/// Returns the fault if the bytes are not a valid file.
pub fn decode(bytes: &[u8]) -> Result<&[u8], Fault> {
    let (magic, rest) = bytes.split_first_chunk::<8>().ok_or(Fault::Magic)?;
    if *magic != MAGIC {
        return Err(Fault::Magic);
    }
    let (length, rest) = rest.split_first_chunk::<8>().ok_or(Fault::Length)?;
    let (checksum, content) = rest.split_first_chunk::<4>().ok_or(Fault::Length)?;
    if u64::from_le_bytes(*length) != content.len() as u64 {
        return Err(Fault::Length);
    }
    if u32::from_le_bytes(*checksum) != crc32fast::hash(content) {
        return Err(Fault::Checksum);
    }
    Ok(content)
}
