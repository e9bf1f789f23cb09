//! Frames: data with a length and a checksum.
//!
//! The checksum also covers the file number and the offset. A frame that was copied into the data
//! of another one, or left over from another file, is therefore not valid.

/// Marks the start of a frame. The last byte is the version of the format.
const MAGIC: [u8; 4] = *b"RBL\x01";
/// Size of the header in bytes: magic, length and checksum of 4 bytes each.
const HEADER_BYTES: usize = 12;

/// Encodes a frame for an offset in a file.
pub(crate) fn write(file: u64, offset: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(file, offset, content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Returns the content of the frame at an offset and the offset after it, or `None` if the frame is
/// incomplete or invalid.
pub(crate) fn read(file: u64, bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let (magic, rest) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(rest[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(rest[4..].try_into().ok()?);
    let end = (offset + HEADER_BYTES).checked_add(length)?;
    let content = bytes.get(offset + HEADER_BYTES..end)?;
    let valid = checksum(file, offset as u64, content) == expected;
    valid.then_some((content, end))
}

/// Returns whether a valid frame starts anywhere after an offset.
pub(crate) fn any_after(file: u64, bytes: &[u8], offset: usize) -> bool {
    let positions = offset + 1..bytes.len();
    positions.into_iter().any(|position| read(file, bytes, position).is_some())
}

fn checksum(file: u64, offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
