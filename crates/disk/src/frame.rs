//! Frames: bytes with a length and a checksum.
//!
//! The checksum covers the number of the file and the place in it too, so that a frame copied into
//! the data of another one, or left over from another file, is none.

/// The mark at the start of a frame; its last byte is the version of the format.
const MARK: [u8; 4] = *b"RBL\x01";
/// The length of what stands before the content, in bytes: mark, length, checksum.
const HEAD: usize = 12;

/// Appends a frame for a place in a file.
pub(crate) fn write(file: u64, offset: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + content.len());
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(file, offset, content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Returns the content of the frame at a place in a file and the place behind it, if it is whole.
pub(crate) fn read(file: u64, bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let head = bytes.get(offset..offset + HEAD)?;
    let (mark, rest) = head.split_at(MARK.len());
    if mark != MARK {
        return None;
    }
    let length = u32::from_le_bytes(rest[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(rest[4..].try_into().ok()?);
    let end = (offset + HEAD).checked_add(length)?;
    let content = bytes.get(offset + HEAD..end)?;
    let whole = checksum(file, offset as u64, content) == expected;
    whole.then_some((content, end))
}

/// Returns whether a whole frame stands anywhere behind a place in a file.
pub(crate) fn any_behind(file: u64, bytes: &[u8], offset: usize) -> bool {
    let places = offset + 1..bytes.len();
    places.into_iter().any(|place| read(file, bytes, place).is_some())
}

fn checksum(file: u64, offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
