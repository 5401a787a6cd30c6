//! Parser for JSON with comments that reports the position of errors.

use std::fmt;
use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// Error of [`parse_jsonc`] with its position in the source text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsoncError {
    /// Line, from 1; 0 if the error has no position.
    pub line: usize,
    /// Column in bytes, from 1; 0 for the start of the text or if the error has no position.
    pub column: usize,
    /// Description of the error, without the position.
    pub message: String,
}

impl fmt::Display for JsoncError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

impl std::error::Error for JsoncError {}

/// Parses JSON with `//`, `/* */` and `#` comments.
///
/// Comments are replaced by spaces and their line breaks are kept, so that positions in errors are
/// those of the source text.
///
/// # Errors
///
/// Returns a [`JsoncError`] for a syntax error, an unclosed comment, an unknown or missing field or
/// a value of the wrong type.
pub fn parse_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let mut stripped = String::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_string(&mut stripped)
        .map_err(|e| JsoncError {
            line: 0,
            column: 0,
            message: format!("comment is not closed: {e}"),
        })?;
    let stripped = restore_line_breaks(text, stripped);
    serde_json::from_str(&stripped).map_err(|e| JsoncError {
        line: e.line(),
        column: e.column(),
        message: strip_position(&e.to_string()).to_owned(),
    })
}

/// Restores the line breaks in block comments, which `json_comments` replaces by spaces, so that
/// line numbers in errors are correct. `json_comments` keeps the length of the text.
fn restore_line_breaks(text: &str, stripped: String) -> String {
    let mut bytes = stripped.into_bytes();
    for (byte, source_byte) in bytes.iter_mut().zip(text.bytes()) {
        if source_byte == b'\n' {
            *byte = source_byte;
        }
    }
    // Replacing a space by a line break keeps the text valid UTF-8.
    String::from_utf8(bytes).unwrap_or_default()
}

/// Removes the position that serde_json appends to its messages, since [`JsoncError`] prints its
/// own.
fn strip_position(text: &str) -> &str {
    text.rfind(" at line ").map_or(text, |end| &text[..end])
}
