//! Encoding of records.
//!
//! A record is the content length, a checksum of the content and a checksum of these two fields,
//! each 4 bytes in little-endian order, and then the content.

use std::path::Path;

use crate::StoreError;

/// Size of a record header in bytes.
pub(crate) const HEADER_BYTES: usize = 12;
/// Value that checksums are XORed with, so that a header of zeros is invalid.
const CHECKSUM_MASK: u32 = 0x5a49_4e4e;

/// Appends a record to `out`.
pub(crate) fn encode(out: &mut Vec<u8>, content: &[u8]) {
    let len = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut header = [0; 8];
    header[..4].copy_from_slice(&len.to_le_bytes());
    header[4..].copy_from_slice(&(crc32c::crc32c(content) ^ CHECKSUM_MASK).to_le_bytes());
    out.extend_from_slice(&header);
    out.extend_from_slice(&(crc32c::crc32c(&header) ^ CHECKSUM_MASK).to_le_bytes());
    out.extend_from_slice(content);
}

/// Complete records of a file.
pub(crate) struct RecordScan<'a> {
    /// File offset and content of each complete record.
    pub(crate) records: Vec<(u64, &'a [u8])>,
    /// Total size of the complete records. The bytes after them are an incomplete record.
    pub(crate) valid_bytes: u64,
}

impl RecordScan<'_> {
    /// Returns whether the file ends with an incomplete record.
    pub(crate) fn is_torn(&self, bytes: &[u8]) -> bool {
        self.valid_bytes < bytes.len() as u64
    }
}

/// Reads the records in `bytes`, the content of `file`.
///
/// # Errors
///
/// Returns an error with the offset of a corrupt record. An incomplete record at the end is not an
/// error.
pub(crate) fn scan<'a>(
    file: &Path,
    step: &'static str,
    bytes: &'a [u8],
) -> Result<RecordScan<'a>, StoreError> {
    let mut records = Vec::new();
    let mut offset = 0;
    loop {
        let corrupt = |message: &str| StoreError::corrupt(file, offset as u64, step, message);
        let rest = bytes.get(offset..).unwrap_or_default();
        let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
            break;
        };
        // The header has its own checksum. Without it, a corrupt length would look like an
        // incomplete record at the end, and all records after it would be lost without an error.
        if read_u32(header, 8) != crc32c::crc32c(&header[..8]) ^ CHECKSUM_MASK {
            return Err(corrupt("checksum mismatch in the record header"));
        }
        let len = usize::try_from(read_u32(header, 0)).unwrap_or(usize::MAX);
        let Some(content) = body.get(..len) else {
            break;
        };
        if read_u32(header, 4) != crc32c::crc32c(content) ^ CHECKSUM_MASK {
            return Err(corrupt("checksum mismatch in the record content"));
        }
        records.push((offset as u64, content));
        offset += HEADER_BYTES + len;
    }
    Ok(RecordScan {
        records,
        valid_bytes: offset as u64,
    })
}

/// Reads the records in `bytes` before the first corrupt one.
///
/// # Errors
///
/// Returns the error of [`scan`] if the bytes before the corrupt record cannot be read either.
pub(crate) fn scan_valid_prefix<'a>(
    file: &Path,
    step: &'static str,
    bytes: &'a [u8],
) -> Result<RecordScan<'a>, StoreError> {
    let mut prefix = bytes;
    loop {
        let error = match scan(file, step, prefix) {
            Ok(scan) => return Ok(scan),
            Err(error) => error,
        };
        let offset = error.offset.and_then(|o| usize::try_from(o).ok());
        match offset.and_then(|offset| prefix.get(..offset)) {
            Some(shorter) if shorter.len() < prefix.len() => prefix = shorter,
            _ => return Err(error),
        }
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut value = [0; 4];
    if let Some(source) = bytes.get(offset..offset + 4) {
        value.copy_from_slice(source);
    }
    u32::from_le_bytes(value)
}
