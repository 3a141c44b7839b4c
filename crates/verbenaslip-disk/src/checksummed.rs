//! Files that are replaced whole: a mark, a length, a checksum and the content.

use displaydoc::Display;

/// Begins every such file.
const MAGIC: [u8; 8] = *b"VSLIPC01";
/// Bytes before the content: mark, length, checksum.
const HEADER_BYTES: usize = 8 + 8 + 4;

/// Says what is wrong with a file.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// it does not begin as it should
    Magic,
    /// it is shorter or longer than it says
    Length,
    /// its checksum does not match
    Checksum,
}

impl std::error::Error for Fault {}

/// Wraps content for a file.
pub fn encode(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Returns the content of a file.
///
/// # Errors
///
/// Returns what is wrong with it.
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
