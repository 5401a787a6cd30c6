//! Framing: length, checksum of the content, checksum of the frame, content.

use std::path::Path;

use crate::StoreError;

/// Bytes before the content of a record.
pub(crate) const FRAME: usize = 12;
/// Content that differs from it; a frame of zeros is then never valid.
const MASK: u32 = 0x5a49_4e4e;

/// Adds a record to `out`.
pub(crate) fn encode(out: &mut Vec<u8>, content: &[u8]) {
    let len = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut head = [0; 8];
    head[..4].copy_from_slice(&len.to_le_bytes());
    head[4..].copy_from_slice(&(crc32c::crc32c(content) ^ MASK).to_le_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(&(crc32c::crc32c(&head) ^ MASK).to_le_bytes());
    out.extend_from_slice(content);
}

/// Records of a file.
pub(crate) struct Scan<'a> {
    /// Content of each complete record with the byte at which the record begins.
    pub(crate) records: Vec<(u64, &'a [u8])>,
    /// Bytes of the complete records; what follows is torn.
    pub(crate) valid: u64,
}

impl Scan<'_> {
    /// Whether the file ends inside a record.
    pub(crate) fn is_torn(&self, bytes: &[u8]) -> bool {
        self.valid < bytes.len() as u64
    }
}

/// Reads the records of `bytes`, the content of `file`.
///
/// # Errors
///
/// Returns a corrupt record with its offset. A file that ends inside a record is no error.
pub(crate) fn scan<'a>(
    file: &Path,
    step: &'static str,
    bytes: &'a [u8],
) -> Result<Scan<'a>, StoreError> {
    let mut records = Vec::new();
    let mut at = 0;
    loop {
        let corrupt = |why: &str| StoreError::corrupt(file, at as u64, step, why);
        let rest = bytes.get(at..).unwrap_or_default();
        let Some((frame, body)) = rest.split_at_checked(FRAME) else {
            break;
        };
        // The frame has its own checksum: a damaged length would otherwise look like a torn record
        // and hide every record after it.
        if word(frame, 8) != crc32c::crc32c(&frame[..8]) ^ MASK {
            return Err(corrupt("wrong checksum of the record's frame"));
        }
        let len = usize::try_from(word(frame, 0)).unwrap_or(usize::MAX);
        let Some(content) = body.get(..len) else {
            break;
        };
        if word(frame, 4) != crc32c::crc32c(content) ^ MASK {
            return Err(corrupt("wrong checksum of the record"));
        }
        records.push((at as u64, content));
        at += FRAME + len;
    }
    Ok(Scan {
        records,
        valid: at as u64,
    })
}

/// Reads the records of `bytes` up to the first damaged one.
///
/// # Errors
///
/// As for [`scan`], when what precedes the damage cannot be read either.
pub(crate) fn scan_sound<'a>(
    file: &Path,
    step: &'static str,
    bytes: &'a [u8],
) -> Result<Scan<'a>, StoreError> {
    let mut sound = bytes;
    loop {
        let error = match scan(file, step, sound) {
            Ok(scan) => return Ok(scan),
            Err(error) => error,
        };
        let at = error.offset.and_then(|o| usize::try_from(o).ok());
        match at.and_then(|at| sound.get(..at)) {
            Some(shorter) if shorter.len() < sound.len() => sound = shorter,
            _ => return Err(error),
        }
    }
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    if let Some(part) = bytes.get(at..at + 4) {
        word.copy_from_slice(part);
    }
    u32::from_le_bytes(word)
}
